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

// simulation applies random events to an index and keeps its own simple record of
// the running jobs to check the index against. Jobs use exactly what they declare.
type simulation struct {
	index   *Index
	rng     *rand.Rand
	now     time.Time
	workers []Worker
	jobs    []runningJob
	quotas  map[galenahead.TeamName]Quota
	// pendingReports holds the usage reports that are not delivered yet.
	pendingReports []pendingReport
	preemptions    int
	overSpread     int
}

type runningJob struct {
	galenahead.JobSpec
	worker    galenahead.VMName
	throttled bool
}

func (j runningJob) use() size {
	if j.throttled {
		return throttledCharge(declaredSize(j.JobSpec))
	}
	return declaredSize(j.JobSpec)
}

type pendingReport struct {
	worker galenahead.VMName
	usage  Usage
}

func newSimulation(seed uint64, fault injectedFault) *simulation {
	sim := &simulation{index: &Index{injectedFault: fault}, rng: rand.New(rand.NewPCG(seed, seed)), now: t0, quotas: map[galenahead.TeamName]Quota{}}
	sim.index.SetPool("p0", true)
	for i := range 48 {
		w := Worker{Name: galenahead.VMName(fmt.Sprintf("w%02d", i)), Pool: galenahead.PoolName(fmt.Sprintf("p%d", i%4)),
			DataCentre: galenahead.DataCentre(fmt.Sprintf("d%d", i/4%2)), Rack: galenahead.RackName(fmt.Sprintf("r%d", i/4%4)),
			Cores: 32 + 32*(i%2), MemoryMB: 65536, Accelerators: i % 5 / 4 * 4, Condition: Up, Reserved: i%11 == 10}
		sim.workers = append(sim.workers, w)
		sim.index.SetWorker(w)
	}
	for i := range 20 {
		team := galenahead.TeamName(fmt.Sprintf("t%d", i))
		sim.quotas[team] = Quota{Cores: 80 + 20*i, MemoryMB: 400_000, Accelerators: 8}
		sim.index.SetQuota(team, sim.quotas[team])
	}
	return sim
}

func (sim *simulation) run(steps int) error {
	for i := range steps {
		sim.now = sim.now.Add(300 * time.Millisecond)
		if err := sim.tick(); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		if err := sim.check(); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
	}
	return nil
}

func (sim *simulation) tick() error {
	switch n := sim.rng.IntN(100); {
	case n < 55:
		return sim.placeRandomJob()
	case n < 78 && len(sim.jobs) > 0:
		sim.endJob(sim.jobs[sim.rng.IntN(len(sim.jobs))].ID)
	case n < 90:
		w := sim.workers[sim.rng.IntN(len(sim.workers))]
		u := sim.usage(w.Name)
		sim.pendingReports = append(sim.pendingReports, pendingReport{w.Name, Usage{sim.now, u.milliCPU, u.memoryMB}})
		if len(sim.pendingReports) > 3 {
			sim.index.Report(sim.pendingReports[0].worker, sim.pendingReports[0].usage)
			sim.pendingReports = sim.pendingReports[1:]
		}
	case n < 94:
		w := &sim.workers[sim.rng.IntN(len(sim.workers))]
		w.Condition = []Condition{Up, Up, Up, Draining, Parked}[sim.rng.IntN(5)]
		sim.index.SetWorker(*w)
	case n < 99 && len(sim.jobs) > 0:
		j := &sim.jobs[sim.rng.IntN(len(sim.jobs))]
		j.throttled = !sim.index.Unthrottle(j.ID, sim.now)
	default:
		w := sim.workers[sim.rng.IntN(len(sim.workers))]
		for _, id := range sim.index.RemoveWorker(w.Name) {
			sim.jobs = slices.DeleteFunc(sim.jobs, func(j runningJob) bool { return j.ID == id })
		}
		sim.index.SetWorker(w)
	}
	return nil
}

func (sim *simulation) endJob(id galenahead.JobID) {
	sim.index.End(id, sim.now)
	sim.jobs = slices.DeleteFunc(sim.jobs, func(j runningJob) bool { return j.ID == id })
}

func (sim *simulation) randomJob() galenahead.JobSpec {
	s := galenahead.JobSpec{
		ID:      galenahead.JobID(fmt.Sprintf("j%d", sim.now.UnixMilli())),
		Team:    galenahead.TeamName(fmt.Sprintf("t%d", sim.rng.IntN(20))),
		Pool:    galenahead.PoolName(fmt.Sprintf("p%d", 1+sim.rng.IntN(3))),
		Service: galenahead.ServiceName(fmt.Sprintf("s%d", sim.rng.IntN(8))),
		Cores:   1 + sim.rng.IntN(24), MemoryMB: 512 << sim.rng.IntN(7), Urgent: sim.rng.IntN(4) == 0,
	}
	if sim.rng.IntN(10) == 0 {
		s.Accelerators = 1 + sim.rng.IntN(2)
	}
	return s
}

// placeRandomJob places one job and checks the decision against an exhaustive search
// of the workers.
func (sim *simulation) placeRandomJob() error {
	s := sim.randomJob()
	p, err := sim.index.Place(s, sim.now)
	q := sim.index.query(s)
	switch {
	case errors.Is(err, galenahead.ErrQuota):
		if checkQuota(sim.quotas[s.Team], sim.used(s.Team).plus(declaredSize(s))) == nil {
			return fmt.Errorf("%s is within the quota but was rejected", s.ID)
		}
		return nil
	case errors.Is(err, galenahead.ErrNoWorker):
		return sim.checkRejection(q)
	case err != nil:
		return err
	}
	w := sim.index.workers[p.Worker]
	if sim.index.workers[p.Worker].Condition != Up || w.Pool != s.Pool && w.Pool != "p0" {
		return fmt.Errorf("%s was placed on %+v, which must not run it", s.ID, w.Worker)
	}
	if err := sim.checkSpread(q, w, p); err != nil {
		return err
	}
	for _, id := range slices.Concat(p.Preempt, p.Throttle) {
		i := slices.IndexFunc(sim.jobs, func(j runningJob) bool { return j.ID == id })
		if sim.jobs[i].Urgent || sim.jobs[i].worker != p.Worker {
			return fmt.Errorf("%s was preempted for %s but is urgent or on another worker", id, s.ID)
		}
		sim.jobs[i].throttled = true
	}
	sim.jobs = slices.DeleteFunc(sim.jobs, func(j runningJob) bool { return slices.Contains(p.Preempt, j.ID) })
	sim.jobs = append(sim.jobs, runningJob{JobSpec: s, worker: p.Worker})
	if p.Reason == ReasonPreemption {
		sim.preemptions++
	}
	return sim.index.Commit(s, p, sim.now)
}

// eligible returns the workers that may run a job.
func (sim *simulation) eligible(s galenahead.JobSpec) []*worker {
	var ws []*worker
	for _, spec := range sim.workers {
		if spec.Condition == Up && (spec.Pool == s.Pool || spec.Pool == "p0") {
			ws = append(ws, sim.index.workers[spec.Name])
		}
	}
	return ws
}

// checkRejection returns an error if a worker has room for a job that found none. For
// an urgent job, deferrable jobs count as free room.
func (sim *simulation) checkRejection(q *query) error {
	for _, w := range sim.eligible(q.spec) {
		room := w.free()
		if q.spec.Urgent {
			room = room.plus(sim.sum(func(j runningJob) bool { return j.worker == w.Name && !j.Urgent }))
		}
		if room.covers(q.declared) {
			return fmt.Errorf("%s was rejected but %s has room", q.spec.ID, w.Name)
		}
	}
	return nil
}

// checkSpread returns an error if a placement exceeds a spread limit although
// another worker with room would not exceed one.
func (sim *simulation) checkSpread(q *query, chosen *worker, p galenahead.Placement) error {
	countJobs := func(match func(*worker) bool) int {
		n := 0
		for _, j := range sim.jobs {
			if j.Service == q.spec.Service && match(sim.index.workers[j.worker]) {
				n++
			}
		}
		return n
	}
	overSpread := func(w *worker) bool {
		return countJobs(func(o *worker) bool { return o.rack == w.rack }) >= q.rackLimit ||
			countJobs(func(o *worker) bool { return o.dc == w.dc }) >= q.dcLimit
	}
	if total := countJobs(func(*worker) bool { return true }); q.rackLimit > int(math.Ceil(float64(total+1)/2)) && sim.racks(q.spec.Pool) > 1 {
		return fmt.Errorf("limit of %d jobs in one rack for a service of %d jobs, want at most half of them", q.rackLimit, total+1)
	}
	if !overSpread(chosen) {
		return nil
	}
	sim.overSpread++
	if p.Reason != ReasonPreemption && !strings.HasSuffix(p.Reason, overSpreadSuffix) {
		return fmt.Errorf("%s exceeds a spread limit for reason %q", q.spec.ID, p.Reason)
	}
	for _, w := range sim.eligible(q.spec) {
		if !overSpread(w) && w.free().covers(q.declared) {
			return fmt.Errorf("%s exceeds a spread limit although %s had room", q.spec.ID, w.Name)
		}
	}
	return nil
}

func (sim *simulation) racks(pool galenahead.PoolName) int {
	racks := map[*failureDomain]bool{}
	for _, w := range sim.workers {
		if w.Pool == pool && w.Condition == Up && !w.Reserved {
			racks[sim.index.workers[w.Name].rack] = true
		}
	}
	return len(racks)
}

func (sim *simulation) sum(include func(runningJob) bool) size {
	var total size
	for _, j := range sim.jobs {
		if include(j) {
			total = total.plus(j.use())
		}
	}
	return total
}

func (sim *simulation) usage(name galenahead.VMName) size {
	return sim.sum(func(j runningJob) bool { return j.worker == name })
}

func (sim *simulation) used(team galenahead.TeamName) size {
	var total size
	for _, j := range sim.jobs {
		if j.Team == team {
			total = total.plus(declaredSize(j.JobSpec))
		}
	}
	return total
}

func checkQuota(q Quota, used size) error {
	if (size{int64(q.Cores) * 1000, int64(q.MemoryMB), int64(q.Accelerators)}).covers(used) {
		return nil
	}
	return fmt.Errorf("quota %+v is exceeded by %+v", q, used)
}

// check returns an error if an invariant is violated: workers within their size,
// teams within their quota, and the same number of jobs in the index.
func (sim *simulation) check() error {
	uses, teams := map[galenahead.VMName]size{}, map[galenahead.TeamName]size{}
	for _, j := range sim.jobs {
		uses[j.worker] = uses[j.worker].plus(j.use())
		teams[j.Team] = teams[j.Team].plus(declaredSize(j.JobSpec))
	}
	for name, u := range uses {
		if w := sim.index.workers[name]; !w.size.covers(u) {
			return fmt.Errorf("%s of size %+v uses %+v", name, w.size, u)
		}
	}
	for team, used := range teams {
		if err := checkQuota(sim.quotas[team], used); err != nil {
			return err
		}
	}
	if len(sim.jobs) != len(sim.index.jobs) {
		return fmt.Errorf("%d jobs in the index, want the %d running ones", len(sim.index.jobs), len(sim.jobs))
	}
	return nil
}

// Guards against an overloaded worker, an exceeded quota, a service with more than
// half of its jobs in one rack although its pools have another worker with room,
// and an urgent job that is rejected although preemption would make room.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	for seed := range uint64(10) {
		sim := newSimulation(seed, faultNone)
		if err := sim.run(3000); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if sim.preemptions == 0 || sim.overSpread == 0 {
			t.Fatalf("seed %d: %d preemptions and %d placements over a spread limit, want some of both", seed, sim.preemptions, sim.overSpread)
		}
	}
}

// Guards against invariant checks that miss the defect they are meant to detect.
func TestInvariantChecksDetectInjectedFaults(t *testing.T) {
	for _, fault := range []injectedFault{faultIgnoreQuota, faultIgnoreSpread, faultNoPreemption, faultIgnoreCondition} {
		is := is.New(t)
		err := newSimulation(1, fault).run(3000)
		t.Logf("injected fault %d: %v", fault, err)
		is.True(err != nil) // a check detects the disabled rule
	}
}

// Guards against decisions that depend on map order.
func TestSameCallsGiveSameDecisions(t *testing.T) {
	is := is.New(t)
	a, b := newSimulation(5, faultNone), newSimulation(5, faultNone)
	is.NoErr(a.run(1500))
	is.NoErr(b.run(1500))
	is.Equal(a.jobs, b.jobs)
}

// Guards against learning from a delayed report that includes jobs which the index
// no longer knows. All jobs use what they declare, so nothing may be learned. Seed 6
// produces such a report.
func TestAccurateDeclarationsKeepLearnedSizes(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(6, faultNone)
	is.NoErr(sim.run(3000))
	for _, s := range sim.index.services {
		is.Equal([]float64{s.coresOffset, s.memoryOffset}, []float64{0, 0})
	}
}
