package galenaplace

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/galenahead/galenahead"
)

// policy chooses a worker and the jobs that are checkpointed or throttled.
type policy interface {
	place(s galenahead.JobSpec) (galenahead.Placement, error)
}

// world runs jobs whose true size differs from the declared one by a factor of
// their service and by 20% noise.
type world struct {
	*fleet
	now   time.Time
	index map[galenahead.VMName]int
	byJob map[galenahead.JobID]*simJob
	// declared is what jobs declare on each worker, actual what they use.
	declared []size
	actual   []size
	on       []map[galenahead.JobID]*simJob
	pending  []report
	// side draws what depends on the policy, so that all get the same arrivals.
	side        *rand.Rand
	checkpoints int
	throttles   int
	refused     int
	urgent      int
}

type simJob struct {
	galenahead.JobSpec
	actual size
	worker int
}

func newWorld(n int) *world {
	w := &world{fleet: newFleet(n), now: t0, index: map[galenahead.VMName]int{}, byJob: map[galenahead.JobID]*simJob{},
		declared: make([]size, n), actual: make([]size, n), on: make([]map[galenahead.JobID]*simJob, n), side: rand.New(rand.NewPCG(2, 2))}
	for i, spec := range w.workers {
		w.index[spec.Name] = i
		w.on[i] = map[galenahead.JobID]*simJob{}
	}
	return w
}

// factor returns the true size of a service's jobs relative to the declared
// one: 0.4 to 1.3.
func factor(s galenahead.ServiceName) float64 {
	h := uint64(0)
	for _, c := range s {
		h = h*131 + uint64(c)
	}
	return 0.4 + 0.9*rand.New(rand.NewPCG(h, 7)).Float64()
}

func (w *world) arrive(p policy) bool {
	s := w.draw(w.rng.IntN(5) == 0)
	noise := factor(s.Service) * (0.8 + 0.4*w.rng.Float64())
	d := declaredSize(s)
	j := &simJob{JobSpec: s, actual: size{int64(float64(d.milli) * noise), int64(float64(d.mb) * noise), 0}}
	if s.Urgent {
		w.urgent++
	}
	at, err := p.place(s)
	if err != nil {
		if s.Urgent {
			w.refused++
		}
		return false
	}
	for _, id := range at.Preempt {
		w.end(id)
		w.checkpoints++
	}
	for _, id := range at.Throttle {
		w.throttle(id)
	}
	j.worker = w.index[at.Worker]
	_ = w.x.Commit(s, at, w.now)
	w.byJob[s.ID] = j
	w.on[j.worker][s.ID] = j
	w.jobs = append(w.jobs, s.ID)
	w.declared[j.worker] = w.declared[j.worker].plus(d)
	w.actual[j.worker] = w.actual[j.worker].plus(j.actual)
	return true
}

func (w *world) end(id galenahead.JobID) {
	j := w.byJob[id]
	if j == nil {
		return
	}
	w.x.End(id, w.now)
	delete(w.byJob, id)
	delete(w.on[j.worker], id)
	w.declared[j.worker] = w.declared[j.worker].minus(declaredSize(j.JobSpec))
	w.actual[j.worker] = w.actual[j.worker].minus(j.actual)
}

func (w *world) throttle(id galenahead.JobID) {
	w.throttles++
	j := w.byJob[id]
	w.actual[j.worker] = w.actual[j.worker].minus(j.actual)
	j.actual = throttled(j.actual)
	w.actual[j.worker] = w.actual[j.worker].plus(j.actual)
}

// report measures one worker and delivers an earlier measurement.
func (w *world) report(i int) {
	u := Usage{w.now, w.actual[i].milli, w.actual[i].mb}
	w.pending = append(w.pending, report{w.workers[i].Name, u})
	if len(w.pending) > len(w.workers) {
		w.x.Report(w.pending[0].worker, w.pending[0].usage)
		w.pending = w.pending[1:]
	}
}

// steady lets jobs come, go and report, at about 5 jobs for each worker.
func (w *world) steady(p policy, rounds int) {
	for r := range rounds {
		for i := range w.workers {
			w.now = w.now.Add(2 * time.Millisecond)
			w.report(i)
			if i%4 == 0 && w.arrive(p) && r > rounds/3 {
				w.end(w.jobs[w.side.IntN(len(w.jobs))])
			}
		}
	}
}

// fillUp offers jobs until the fleet is full.
func (w *world) fillUp(p policy, offers int) {
	for i := range offers {
		w.now = w.now.Add(2 * time.Millisecond)
		w.report(i % len(w.workers))
		w.arrive(p)
	}
}

// spread returns the mean over services of the largest share of jobs in one
// rack and in one data centre.
func (w *world) spread() (rack, dc float64) {
	type place struct {
		service galenahead.ServiceName
		domain  *domain
	}
	counts, total := map[place]int{}, map[galenahead.ServiceName]int{}
	for _, j := range w.byJob {
		iw := w.x.workers[w.workers[j.worker].Name]
		counts[place{j.Service, iw.rack}]++
		counts[place{j.Service, iw.dc}]++
		total[j.Service]++
	}
	racks, dcs := map[galenahead.ServiceName]int{}, map[galenahead.ServiceName]int{}
	for p, n := range counts {
		if w.x.dcs[galenahead.DataCentre(p.domain.name)] == p.domain {
			dcs[p.service] = max(dcs[p.service], n)
			continue
		}
		racks[p.service] = max(racks[p.service], n)
	}
	for s, n := range total {
		rack += float64(racks[s]) / float64(n) / float64(len(total))
		dc += float64(dcs[s]) / float64(n) / float64(len(total))
	}
	return rack, dc
}

// indexPolicy is the Index itself.
type indexPolicy struct{ w *world }

func (p indexPolicy) place(s galenahead.JobSpec) (galenahead.Placement, error) {
	return p.w.x.Place(s, p.w.now)
}

// fitPolicy trusts declared sizes, in the job's pool and then in the spare
// one. Among the workers that fit it takes the fullest, or a random one. For
// urgent jobs it checkpoints deferrable jobs on such a worker.
type fitPolicy struct {
	w      *world
	random bool
}

func (p fitPolicy) place(s galenahead.JobSpec) (galenahead.Placement, error) {
	need := declaredSize(s)
	for _, yield := range []bool{false, s.Urgent} {
		for _, pool := range []galenahead.PoolName{s.Pool, "p0"} {
			if i := p.choose(pool, need, yield); i >= 0 {
				return galenahead.Placement{Worker: p.w.workers[i].Name, Preempt: p.leave(i, need)}, nil
			}
		}
	}
	return galenahead.Placement{}, galenahead.ErrNoWorker
}

func (p fitPolicy) free(i int, yield bool) size {
	w := p.w.x.workers[p.w.workers[i].Name]
	free := w.size.minus(p.w.declared[i])
	if yield {
		for _, j := range p.w.on[i] {
			if !j.Urgent {
				free = free.plus(declaredSize(j.JobSpec))
			}
		}
	}
	return free
}

func (p fitPolicy) choose(pool galenahead.PoolName, need size, yield bool) int {
	best, score, n := -1, 0.0, 0
	for i, spec := range p.w.workers {
		if spec.Pool != pool {
			continue
		}
		free := p.free(i, yield)
		if !free.covers(need) {
			continue
		}
		n++
		left := room(p.w.x.workers[spec.Name], free.minus(need))
		if p.random && p.w.side.IntN(n) == 0 || !p.random && (best < 0 || left < score) {
			best, score = i, left
		}
	}
	return best
}

func (p fitPolicy) leave(i int, need size) []galenahead.JobID {
	var ids []galenahead.JobID
	free := p.free(i, false)
	for _, iw := range p.w.x.workers[p.w.workers[i].Name].jobs {
		if j := p.w.byJob[iw.id]; !j.Urgent && !free.covers(need) {
			free = free.plus(declaredSize(j.JobSpec))
			ids = append(ids, j.ID)
		}
	}
	return ids
}

// BenchmarkPolicies compares the Index with best fit and random fit on the
// same arrivals: packed jobs, overloaded workers, spread and moves.
func BenchmarkPolicies(b *testing.B) {
	const workers, rounds, offers = 500, 60, 4000
	for _, name := range []string{"index", "best-fit", "random-fit"} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				w := newWorld(workers)
				var p policy = indexPolicy{w}
				if name != "index" {
					p = fitPolicy{w, name == "random-fit"}
				}
				w.steady(p, rounds)
				w.spreadTo(b)
				w.fillUp(p, offers)
				w.packedTo(b)
			}
		})
	}
}

// spreadTo reports the mean over services of the largest part in one rack and
// in one data centre, at a moderate load.
func (w *world) spreadTo(b *testing.B) {
	rack, dc := w.spread()
	b.ReportMetric(100*rack, "%rack")
	b.ReportMetric(100*dc, "%dc")
}

// packedTo reports what runs on the full fleet.
func (w *world) packedTo(b *testing.B) {
	overloaded, used, total := 0, 0.0, 0.0
	for i := range w.workers {
		s := w.x.workers[w.workers[i].Name].size
		if !s.covers(w.actual[i]) {
			overloaded++
		}
		used += float64(w.actual[i].milli)
		total += float64(s.milli)
	}
	b.ReportMetric(float64(len(w.byJob)), "jobs")
	b.ReportMetric(100*float64(overloaded)/float64(len(w.workers)), "%overloaded")
	b.ReportMetric(100*used/total, "%cores")
	b.ReportMetric(float64(w.checkpoints), "checkpoints")
	b.ReportMetric(float64(w.throttles), "throttles")
	b.ReportMetric(float64(w.urgent), "urgent")
	b.ReportMetric(float64(w.refused), "urgent-refused")
	b.ReportMetric(0, "ns/op")
}
