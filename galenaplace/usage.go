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
	rampTime = time.Second
	// learningRate is the share of a measured error that one report corrects.
	learningRate = 0.2
	// minRatio and maxRatio bound the learned size relative to the declared
	// one, so that a few odd reports cannot make a service free or unplaceable.
	minRatio = 0.05
	maxRatio = 4
	// maxEnded bounds the jobs remembered between two reports of a worker.
	maxEnded = 64
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

// estimate returns the learned size of a job.
func (s *service) estimate(declared size) size {
	return size{scale(declared.milli, s.cores), scale(declared.mb, s.memory), declared.acc}
}

func scale(n int64, ratio float64) int64 {
	return int64(math.Ceil(float64(n) * (1 + ratio)))
}

// charge returns what a job is taken to use on a worker of a size, and whether
// the worker could hold it when empty. A job that is estimated larger than the
// worker but declared to fit takes the whole worker, since its estimate comes
// from other jobs.
func charge(s *service, spec galenahead.JobSpec, of size) (size, bool) {
	declared := declaredSize(spec)
	e := s.estimate(declared)
	if of.covers(e) {
		return e, true
	}
	return e.min(of), of.covers(declared)
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
	if w == nil || !u.MeasuredAt.After(w.measuredAt) {
		return
	}
	w.measuredAt = u.MeasuredAt
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
	j.charge, _ = charge(j.service, j.spec, w.size)
	if j.throttled {
		j.charge = throttled(j.charge)
	}
	w.charged = w.charged.plus(j.charge)
	if !j.spec.Urgent {
		w.deferrable = w.deferrable.plus(j.charge)
	}
	if w.recently(j.changed) {
		if x.mutation != mutateRecent {
			w.recent = w.recent.plus(j.charge)
		}
		if !w.recently(j.started) {
			// The report holds at least the throttled use of the job.
			full, _ := charge(j.service, j.spec, w.size)
			w.measured = w.measured.minus(throttled(full))
		}
		return
	}
	// Accelerators are not measured.
	w.measured.acc += j.charge.acc
}

// prune forgets the jobs that ended before the newest report was measured.
// Those that started after it stay, since a later report may hold them.
func (w *worker) prune() {
	w.ended = slices.DeleteFunc(w.ended, func(e ended) bool { return !e.at.After(w.measuredAt) })
}

// held returns what the newest report holds for certain of an ended job.
func (w *worker) held(e ended) size {
	switch {
	case w.recently(e.started):
		return size{}
	case w.recently(e.changed):
		return throttled(e.charge)
	}
	return e.charge
}

// recently tells whether the newest usage report does not show for certain
// what changed at t.
func (w *worker) recently(t time.Time) bool { return t.After(w.measuredAt.Add(-rampTime)) }

// uncount takes the charge of a job off the part of the use that holds it.
func (w *worker) uncount(j *job) {
	if w.recently(j.changed) {
		w.recent = w.recent.minus(j.charge).floor()
		return
	}
	w.measured = w.measured.minus(j.charge).floor()
}

// leave takes a job off the use of its worker.
func (w *worker) leave(j *job, at time.Time) {
	w.uncount(j)
	if len(w.ended) == maxEnded {
		w.ended = w.ended[1:]
	}
	e := ended{j.service, declaredSize(j.spec), j.charge, j.throttled, j.started, j.changed, at}
	w.ended = append(w.ended, e)
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
		if !e.started.After(w.measuredAt) && (e.throttled || w.recently(e.changed)) {
			return false
		}
	}
	return len(w.jobs) > 0
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
		sums[j.service] = sums[j.service].plus(declaredSize(j.spec))
	}
	for _, e := range w.ended {
		if !e.started.After(w.measuredAt) {
			sums[e.service] = sums[e.service].plus(e.declared)
		}
	}
	parts := make([]part, 0, len(sums))
	for s, sum := range sums {
		parts = append(parts, part{s, sum})
	}
	slices.SortFunc(parts, func(a, b part) int { return cmp.Compare(a.service.name, b.service.name) })
	return parts
}

// learn corrects the ratios of the services on the worker towards the measured
// usage (normalized least mean squares), each in proportion to its part of the
// declared size.
func (w *worker) learn(u Usage) {
	parts := w.parts()
	coresError, memoryError := float64(u.CoresMilli), float64(u.MemoryMB)
	coresNorm, memoryNorm := 0.0, 0.0
	for _, p := range parts {
		milli, mb := float64(p.declared.milli), float64(p.declared.mb)
		coresError -= milli * (1 + p.service.cores)
		memoryError -= mb * (1 + p.service.memory)
		coresNorm += milli * milli
		memoryNorm += mb * mb
	}
	for _, p := range parts {
		s := p.service
		s.cores = correct(s.cores, coresError*float64(p.declared.milli), coresNorm)
		s.memory = correct(s.memory, memoryError*float64(p.declared.mb), memoryNorm)
	}
}

func correct(ratio, gradient, norm float64) float64 {
	if norm == 0 {
		return ratio
	}
	return min(max(ratio+learningRate*gradient/norm, minRatio-1), maxRatio-1)
}
