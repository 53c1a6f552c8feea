package galenaplace

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
)

// history is a random history of an index, next to a plain record of what
// runs where. Jobs use exactly what they declare.
type history struct {
	x       *Index
	rng     *rand.Rand
	now     time.Time
	workers []Worker
	jobs    []running
	quotas  map[galenahead.TeamName]Quota
	// pending holds usage reports on their way.
	pending []report
	yields  int
	crowded int
}

type running struct {
	galenahead.JobSpec
	worker    galenahead.VMName
	throttled bool
}

func (j running) use() size {
	if j.throttled {
		return throttled(declaredSize(j.JobSpec))
	}
	return declaredSize(j.JobSpec)
}

type report struct {
	worker galenahead.VMName
	usage  Usage
}

func newHistory(seed uint64, m mutation) *history {
	h := &history{x: &Index{mutation: m}, rng: rand.New(rand.NewPCG(seed, seed)), now: t0, quotas: map[galenahead.TeamName]Quota{}}
	h.x.SetPool("p0", true)
	for i := range 48 {
		w := Worker{Name: galenahead.VMName(fmt.Sprintf("w%02d", i)), Pool: galenahead.PoolName(fmt.Sprintf("p%d", i%4)),
			DataCentre: galenahead.DataCentre(fmt.Sprintf("d%d", i/4%2)), Rack: galenahead.RackName(fmt.Sprintf("r%d", i/4%4)),
			Cores: 32 + 32*(i%2), MemoryMB: 65536, Accelerators: i % 5 / 4 * 4, Condition: Up, Reserved: i%11 == 10}
		h.workers = append(h.workers, w)
		h.x.SetWorker(w)
	}
	for i := range 20 {
		team := galenahead.TeamName(fmt.Sprintf("t%d", i))
		h.quotas[team] = Quota{Cores: 80 + 20*i, MemoryMB: 400_000, Accelerators: 8}
		h.x.SetQuota(team, h.quotas[team])
	}
	return h
}

func (h *history) run(steps int) error {
	for i := range steps {
		h.now = h.now.Add(300 * time.Millisecond)
		if err := h.step(); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		if err := h.check(); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
	}
	return nil
}

func (h *history) step() error {
	switch n := h.rng.IntN(100); {
	case n < 55:
		return h.arrive()
	case n < 78 && len(h.jobs) > 0:
		h.end(h.jobs[h.rng.IntN(len(h.jobs))].ID)
	case n < 90:
		w := h.workers[h.rng.IntN(len(h.workers))]
		u := h.usage(w.Name)
		h.pending = append(h.pending, report{w.Name, Usage{h.now, u.milli, u.mb}})
		if len(h.pending) > 3 {
			h.x.Report(h.pending[0].worker, h.pending[0].usage)
			h.pending = h.pending[1:]
		}
	case n < 94:
		w := &h.workers[h.rng.IntN(len(h.workers))]
		w.Condition = []Condition{Up, Up, Up, Draining, Parked}[h.rng.IntN(5)]
		h.x.SetWorker(*w)
	case n < 99 && len(h.jobs) > 0:
		j := &h.jobs[h.rng.IntN(len(h.jobs))]
		j.throttled = !h.x.Unthrottle(j.ID, h.now)
	default:
		w := h.workers[h.rng.IntN(len(h.workers))]
		for _, id := range h.x.RemoveWorker(w.Name) {
			h.jobs = slices.DeleteFunc(h.jobs, func(j running) bool { return j.ID == id })
		}
		h.x.SetWorker(w)
	}
	return nil
}

func (h *history) end(id galenahead.JobID) {
	h.x.End(id, h.now)
	h.jobs = slices.DeleteFunc(h.jobs, func(j running) bool { return j.ID == id })
}

func (h *history) draw() galenahead.JobSpec {
	s := galenahead.JobSpec{
		ID:      galenahead.JobID(fmt.Sprintf("j%d", h.now.UnixMilli())),
		Team:    galenahead.TeamName(fmt.Sprintf("t%d", h.rng.IntN(20))),
		Pool:    galenahead.PoolName(fmt.Sprintf("p%d", 1+h.rng.IntN(3))),
		Service: galenahead.ServiceName(fmt.Sprintf("s%d", h.rng.IntN(8))),
		Cores:   1 + h.rng.IntN(24), MemoryMB: 512 << h.rng.IntN(7), Urgent: h.rng.IntN(4) == 0,
	}
	if h.rng.IntN(10) == 0 {
		s.Accelerators = 1 + h.rng.IntN(2)
	}
	return s
}

// arrive places one job and checks the decision against a search of all
// workers.
func (h *history) arrive() error {
	s := h.draw()
	p, err := h.x.Place(s, h.now)
	q := h.x.query(s)
	switch {
	case errors.Is(err, galenahead.ErrQuota):
		if over(h.quotas[s.Team], h.used(s.Team).plus(declaredSize(s))) == nil {
			return fmt.Errorf("%s is within the quota but was refused", s.ID)
		}
		return nil
	case errors.Is(err, galenahead.ErrNoWorker):
		return h.checkRefusal(q)
	case err != nil:
		return err
	}
	w := h.x.workers[p.Worker]
	if h.x.workers[p.Worker].Condition != Up || w.Pool != s.Pool && w.Pool != "p0" {
		return fmt.Errorf("%s was placed on %+v", s.ID, w.Worker)
	}
	if err := h.checkSpread(q, w, p); err != nil {
		return err
	}
	for _, id := range slices.Concat(p.Preempt, p.Throttle) {
		i := slices.IndexFunc(h.jobs, func(j running) bool { return j.ID == id })
		if h.jobs[i].Urgent || h.jobs[i].worker != p.Worker {
			return fmt.Errorf("%s gives way for %s", id, s.ID)
		}
		h.jobs[i].throttled = true
	}
	h.jobs = slices.DeleteFunc(h.jobs, func(j running) bool { return slices.Contains(p.Preempt, j.ID) })
	h.jobs = append(h.jobs, running{JobSpec: s, worker: p.Worker})
	if p.Reason == ReasonYield {
		h.yields++
	}
	return h.x.Commit(s, p, h.now)
}

// eligible returns the workers that may run a job.
func (h *history) eligible(s galenahead.JobSpec) []*worker {
	var ws []*worker
	for _, spec := range h.workers {
		if spec.Condition == Up && (spec.Pool == s.Pool || spec.Pool == "p0") {
			ws = append(ws, h.x.workers[spec.Name])
		}
	}
	return ws
}

// checkRefusal reports a worker that had room, for an urgent job also once all
// deferrable jobs gave way.
func (h *history) checkRefusal(q *query) error {
	for _, w := range h.eligible(q.spec) {
		room := w.free()
		if q.spec.Urgent {
			room = room.plus(h.sum(func(j running) bool { return j.worker == w.Name && !j.Urgent }))
		}
		if room.covers(q.declared) {
			return fmt.Errorf("%s was refused but %s has room", q.spec.ID, w.Name)
		}
	}
	return nil
}

// checkSpread reports a place that holds more than its share of the service
// although another worker with room would not.
func (h *history) checkSpread(q *query, chosen *worker, p galenahead.Placement) error {
	per := func(same func(*worker) bool) int {
		n := 0
		for _, j := range h.jobs {
			if j.Service == q.spec.Service && same(h.x.workers[j.worker]) {
				n++
			}
		}
		return n
	}
	crowded := func(w *worker) bool {
		return per(func(o *worker) bool { return o.rack == w.rack }) >= q.rackLimit ||
			per(func(o *worker) bool { return o.dc == w.dc }) >= q.dcLimit
	}
	if total := per(func(*worker) bool { return true }); q.rackLimit > int(math.Ceil(float64(total+1)/2)) && h.racks(q.spec.Pool) > 1 {
		return fmt.Errorf("limit %d of %d jobs in one rack", q.rackLimit, total+1)
	}
	if !crowded(chosen) {
		return nil
	}
	h.crowded++
	if p.Reason != ReasonYield && !strings.HasSuffix(p.Reason, crowdedSuffix) {
		return fmt.Errorf("%s went to a crowded rack for reason %q", q.spec.ID, p.Reason)
	}
	for _, w := range h.eligible(q.spec) {
		if !crowded(w) && w.free().covers(q.declared) {
			return fmt.Errorf("%s went to a crowded rack although %s had room", q.spec.ID, w.Name)
		}
	}
	return nil
}

func (h *history) racks(pool galenahead.PoolName) int {
	racks := map[*domain]bool{}
	for _, w := range h.workers {
		if w.Pool == pool && w.Condition == Up && !w.Reserved {
			racks[h.x.workers[w.Name].rack] = true
		}
	}
	return len(racks)
}

func (h *history) sum(include func(running) bool) size {
	var total size
	for _, j := range h.jobs {
		if include(j) {
			total = total.plus(j.use())
		}
	}
	return total
}

func (h *history) usage(name galenahead.VMName) size {
	return h.sum(func(j running) bool { return j.worker == name })
}

func (h *history) used(team galenahead.TeamName) size {
	var total size
	for _, j := range h.jobs {
		if j.Team == team {
			total = total.plus(declaredSize(j.JobSpec))
		}
	}
	return total
}

func over(q Quota, used size) error {
	if (size{int64(q.Cores) * 1000, int64(q.MemoryMB), int64(q.Accelerators)}).covers(used) {
		return nil
	}
	return fmt.Errorf("quota %+v is exceeded by %+v", q, used)
}

// check holds what must be true after every step.
func (h *history) check() error {
	uses, teams := map[galenahead.VMName]size{}, map[galenahead.TeamName]size{}
	for _, j := range h.jobs {
		uses[j.worker] = uses[j.worker].plus(j.use())
		teams[j.Team] = teams[j.Team].plus(declaredSize(j.JobSpec))
	}
	for name, u := range uses {
		if w := h.x.workers[name]; !w.size.covers(u) {
			return fmt.Errorf("%s of size %+v uses %+v", name, w.size, u)
		}
	}
	for team, used := range teams {
		if err := over(h.quotas[team], used); err != nil {
			return err
		}
	}
	if len(h.jobs) != len(h.x.jobs) {
		return fmt.Errorf("%d jobs in the index, %d run", len(h.x.jobs), len(h.jobs))
	}
	return nil
}

// Guards against a worker over its size, a quota exceeded, a service that
// loses more than half with one rack although its pools have another place,
// and an urgent job refused although deferrable work could give way.
func TestHistories(t *testing.T) {
	for seed := range uint64(10) {
		h := newHistory(seed, mutateNone)
		if err := h.run(3000); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if h.yields == 0 || h.crowded == 0 {
			t.Fatalf("seed %d: %d yields, %d crowded places; the history is too easy", seed, h.yields, h.crowded)
		}
	}
}

// Guards against checks in TestHistories that cannot fail.
func TestHistoriesCatchMutations(t *testing.T) {
	for _, m := range []mutation{mutateQuota, mutateSpread, mutateYield, mutateCondition} {
		is := is.New(t)
		err := newHistory(1, m).run(3000)
		t.Logf("mutation %d: %v", m, err)
		is.True(err != nil) // the check catches an index without the rule
	}
}

// Guards against decisions that depend on map order.
func TestSameCallsGiveSameDecisions(t *testing.T) {
	is := is.New(t)
	a, b := newHistory(5, mutateNone), newHistory(5, mutateNone)
	is.NoErr(a.run(1500))
	is.NoErr(b.run(1500))
	is.Equal(a.jobs, b.jobs)
}

// Guards against sizes that are learned from jobs that a report in flight
// holds but the index has forgotten. Seed 6 found such a report.
func TestExactJobsLearnNothing(t *testing.T) {
	is := is.New(t)
	h := newHistory(6, mutateNone)
	is.NoErr(h.run(3000))
	for _, s := range h.x.services {
		is.Equal([]float64{s.cores, s.memory}, []float64{0, 0})
	}
}
