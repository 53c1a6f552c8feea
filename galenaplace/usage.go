package galenaplace

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/galenahead/galenahead"
)

const (
	// rampTime is how long a new job may run before it shows in the measured
	// usage. It also covers the clock difference to the platform.
	rampTime = int64(time.Second)
	// learningRate is the share of a measured error that one report corrects.
	learningRate = 0.05
	// margin is how many learned deviations a job is charged above its learned
	// size until its use is measured. With 0, 18% of the full workers in
	// BenchmarkPolicies end up over their size, with 3 less than 2%, for 0.5%
	// fewer jobs.
	margin = 3
	// minRatio and maxRatio bound the learned size relative to the declared
	// one, so that a few odd reports cannot make a service free or unplaceable.
	minRatio = 0.05
	maxRatio = 4
	// maxEnded bounds the jobs remembered between two reports of a worker, since
	// a worker that sends no reports would otherwise fill the memory.
	maxEnded = 16
)

// service is what is known of the jobs of one service.
type service struct {
	name  galenahead.ServiceName
	total int
	// counts holds the jobs in each rack and data centre.
	counts map[*domain]int
	// cores and memory are the learned sizes relative to the declared ones, less
	// 1: the declared size is the prior.
	cores  float64
	memory float64
	// coresDeviation and memoryDeviation are the mean deviations of a job from
	// its learned size, relative to the declared one.
	coresDeviation  float64
	memoryDeviation float64
	// maxShare is the largest share of the jobs in one rack or data centre; 0
	// means defaultShare.
	maxShare float64
}

func (s *service) count(w *worker, d int) {
	if s.counts == nil {
		s.counts = map[*domain]int{}
	}
	s.total += d
	s.counts[w.rack] += d
	s.counts[w.dc] += d
}

// estimate returns the learned size of a job whose use is measured.
func (s *service) estimate(declared size) size {
	return size{scale(declared.milli, s.cores), scale(declared.mb, s.memory), declared.acc}
}

// cautious returns the learned size of a job whose use is not measured yet.
func (s *service) cautious(declared size) size {
	return size{
		scale(declared.milli, s.cores+margin*s.coresDeviation),
		scale(declared.mb, s.memory+margin*s.memoryDeviation),
		declared.acc,
	}
}

func scale(n int64, ratio float64) int64 {
	return int64(math.Ceil(float64(n) * (1 + ratio)))
}

// charge returns what a job is taken to use on a worker of a size, and whether
// the worker could hold it when empty. A job that is estimated larger than the
// worker but declared to fit takes the whole worker, since its estimate comes
// from other jobs.
func charge(estimate, declared, of size) (size, bool) {
	if of.covers(estimate) {
		return estimate, true
	}
	return estimate.min(of), of.covers(declared)
}

// full returns the charge of a job that is not throttled.
func (j *job) full(measured bool) size {
	declared := j.declared.size()
	estimate := j.service.cautious(declared)
	if measured {
		estimate = j.service.estimate(declared)
	}
	c, _ := charge(estimate, declared, j.worker.size)
	return c
}

// Learned returns the learned sizes of a service's jobs relative to their
// declared ones.
func (x *Index) Learned(name galenahead.ServiceName) (cores, memory float64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.services[name]
	if s == nil {
		return 1, 1
	}
	return 1 + s.cores, 1 + s.memory
}

// Usage is a worker's usage as measured at a time.
type Usage struct {
	MeasuredAt time.Time
	// CoresMilli is in thousandths of a processor.
	CoresMilli int64
	MemoryMB   int64
}

// Report records a usage report. What started on the worker since the report
// was measured is added to it, and what ended since is taken off. Reports that
// are not newer than the last one, and those of unknown workers, are ignored.
func (x *Index) Report(name galenahead.VMName, u Usage) {
	x.mu.Lock()
	defer x.mu.Unlock()
	w := x.workers[name]
	if w == nil || u.MeasuredAt.UnixNano() <= w.measuredAt {
		return
	}
	w.measuredAt = u.MeasuredAt.UnixNano()
	w.prune()
	if w.settled() {
		w.learn(u)
	}
	w.charged, w.deferrable, w.recent = size{}, size{}, size{}
	w.measured = size{milli: u.CoresMilli, mb: u.MemoryMB}
	for _, e := range w.ended {
		w.measured = w.measured.minus(w.held(e))
	}
	for _, j := range w.jobs {
		x.renew(w, j)
	}
	w.measured = w.measured.floor()
	w.add(size{}, true)
}

// renew charges a job with the newest estimate.
func (x *Index) renew(w *worker, j *job) {
	full := j.full(!w.recently(j.changed))
	now := full
	if j.throttled {
		now = throttled(full)
	}
	j.charge = pack(now)
	w.charged = w.charged.plus(now)
	if !j.urgent {
		w.deferrable = w.deferrable.plus(now)
	}
	if !w.recently(j.changed) {
		// Accelerators are not measured.
		w.measured.acc += now.acc
		return
	}
	if x.mutation != mutateRecent {
		w.recent = w.recent.plus(now)
	}
	if !w.recently(j.started) {
		// The report holds at least the throttled use of the job.
		least := throttled(full)
		w.measured = w.measured.minus(size{milli: least.milli, mb: least.mb})
	}
}

// prune forgets the jobs that ended before the newest report was measured.
// Those that started after it stay, since a later report may hold them.
func (w *worker) prune() {
	w.ended = slices.DeleteFunc(w.ended, func(e ended) bool { return e.at <= w.measuredAt })
}

// held returns what the newest report holds for certain of an ended job.
func (w *worker) held(e ended) size {
	switch {
	case w.recently(e.started):
		return size{}
	case w.recently(e.changed):
		return throttled(e.charge.size())
	}
	return e.charge.size()
}

// recently tells whether the newest usage report does not show for certain
// what changed at t.
func (w *worker) recently(t int64) bool { return t > w.measuredAt-rampTime }

// uncount takes the charge of a job off the part of the use that holds it.
func (w *worker) uncount(j *job) {
	if w.recently(j.changed) {
		w.recent = w.recent.minus(j.charge.size()).floor()
		return
	}
	w.measured = w.measured.minus(j.charge.size()).floor()
}

// leave takes a job off the use of its worker.
func (w *worker) leave(j *job, at int64) {
	w.uncount(j)
	if len(w.ended) == maxEnded {
		w.forgotten = w.ended[0].at
		w.ended = slices.Delete(w.ended, 0, 1)
	}
	w.ended = append(w.ended, ended{*j, at})
}

// settled tells whether the newest report measures the jobs of the worker at
// their usual size.
func (w *worker) settled() bool {
	for _, j := range w.jobs {
		if j.throttled || w.recently(j.changed) {
			return false
		}
	}
	for _, e := range w.ended {
		if e.started <= w.measuredAt && (e.throttled || w.recently(e.changed)) {
			return false
		}
	}
	return len(w.jobs) > 0 && w.forgotten <= w.measuredAt
}

// part is what the jobs of one service on a worker declare together.
type part struct {
	service  *service
	declared size
}

// parts returns the parts of the usage in the newest report, ordered by
// service, so that sums of floating-point numbers do not depend on map order.
func (w *worker) parts() []part {
	sums := map[*service]size{}
	for _, j := range w.jobs {
		sums[j.service] = sums[j.service].plus(j.declared.size())
	}
	for _, e := range w.ended {
		if e.started <= w.measuredAt {
			sums[e.service] = sums[e.service].plus(e.declared.size())
		}
	}
	parts := make([]part, 0, len(sums))
	for s, sum := range sums {
		parts = append(parts, part{s, sum})
	}
	slices.SortFunc(parts, func(a, b part) int { return cmp.Compare(a.service.name, b.service.name) })
	return parts
}

// learn corrects the sizes of the services on the worker towards the measured
// usage (normalized least mean squares), each in proportion to its part of the
// declared size.
func (w *worker) learn(u Usage) {
	parts := w.parts()
	var cores, memory regression
	for _, p := range parts {
		cores.add(float64(p.declared.milli), p.service.cores)
		memory.add(float64(p.declared.mb), p.service.memory)
	}
	cores.measure(float64(u.CoresMilli))
	memory.measure(float64(u.MemoryMB))
	for _, p := range parts {
		s := p.service
		s.cores, s.coresDeviation = cores.correct(float64(p.declared.milli), s.cores, s.coresDeviation)
		s.memory, s.memoryDeviation = memory.correct(float64(p.declared.mb), s.memory, s.memoryDeviation)
	}
}

// regression is one step of learning for one resource.
type regression struct {
	expected float64
	// norm is the sum of the squared declared sizes.
	norm float64
	err  float64
}

func (r *regression) add(declared, ratio float64) {
	r.expected += declared * (1 + ratio)
	r.norm += declared * declared
}

func (r *regression) measure(used float64) { r.err = used - r.expected }

// correct returns the new ratio and deviation of a service.
func (r *regression) correct(declared, ratio, deviation float64) (newRatio, newDeviation float64) {
	if r.norm == 0 {
		return ratio, deviation
	}
	ratio += learningRate * r.err * declared / r.norm
	deviation += learningRate * (math.Abs(r.err)/math.Sqrt(r.norm) - deviation)
	return min(max(ratio, minRatio-1), maxRatio-1), deviation
}
