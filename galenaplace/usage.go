package galenaplace

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/galenahead/galenahead"
)

const (
	// measurementLag is how long a new job may run before the measured usage shows
	// it. It also covers the clock difference to the platform.
	measurementLag = int64(time.Second)
	// learningRate is the share of the estimation error that one report corrects.
	learningRate = 0.05
	// deviationMargin is the number of mean deviations that the charge of a job is
	// above its learned size until its use is measured. With 0, 18% of the full
	// workers in BenchmarkPolicies are overloaded; with 3 less than 2% are, at the
	// cost of 0.5% fewer jobs.
	deviationMargin = 3
	// minLearnedRatio and maxLearnedRatio bound the learned size relative to the
	// declared one, so that a few outliers cannot reduce the charge of a service to
	// nothing or make it too large for all workers.
	minLearnedRatio = 0.05
	maxLearnedRatio = 4
	// maxEndedJobs bounds the ended jobs kept between two reports of a worker, since
	// a worker without reports would otherwise use ever more memory.
	maxEndedJobs = 16
)

// service holds the job counts and learned sizes of a service.
type service struct {
	name     galenahead.ServiceName
	jobCount int
	// jobCounts is the number of jobs in each rack and data centre.
	jobCounts map[*failureDomain]int
	// coresOffset and memoryOffset are the learned sizes relative to the declared
	// ones, minus 1. The zero value stands for the declared size, which is the
	// initial estimate.
	coresOffset  float64
	memoryOffset float64
	// coresDeviation and memoryDeviation are the mean deviations of a job from its
	// learned size, relative to the declared size.
	coresDeviation  float64
	memoryDeviation float64
	// maxShare is the largest share of the jobs in one rack or data centre. 0 means
	// defaultShare.
	maxShare float64
}

func (s *service) countJob(w *worker, delta int) {
	if s.jobCounts == nil {
		s.jobCounts = map[*failureDomain]int{}
	}
	s.jobCount += delta
	s.jobCounts[w.rack] += delta
	s.jobCounts[w.dc] += delta
}

// estimate returns the learned size of a job whose use is measured.
func (s *service) estimate(declared size) size {
	return size{scale(declared.milliCPU, s.coresOffset), scale(declared.memoryMB, s.memoryOffset), declared.accelerators}
}

// conservativeEstimate returns the learned size plus a safety margin, for a job
// whose use is not measured yet.
func (s *service) conservativeEstimate(declared size) size {
	return size{
		scale(declared.milliCPU, s.coresOffset+deviationMargin*s.coresDeviation),
		scale(declared.memoryMB, s.memoryOffset+deviationMargin*s.memoryDeviation),
		declared.accelerators,
	}
}

func scale(n int64, offset float64) int64 {
	return int64(math.Ceil(float64(n) * (1 + offset)))
}

// boundedCharge returns the charge of a job on a worker of the given size, and
// whether the empty worker could run the job. The charge never exceeds the worker:
// a job with a larger estimate still fits if its declared size does, since the
// estimate comes from other jobs.
func boundedCharge(estimate, declared, workerSize size) (size, bool) {
	if workerSize.covers(estimate) {
		return estimate, true
	}
	return estimate.min(workerSize), workerSize.covers(declared)
}

// unthrottledCharge returns the charge of a job that is not throttled.
func (j *job) unthrottledCharge(measured bool) size {
	declared := j.declared.size()
	estimate := j.service.conservativeEstimate(declared)
	if measured {
		estimate = j.service.estimate(declared)
	}
	c, _ := boundedCharge(estimate, declared, j.worker.size)
	return c
}

// LearnedRatios returns the learned sizes of a service's jobs relative to their
// declared sizes.
func (x *Index) LearnedRatios(name galenahead.ServiceName) (cores, memory float64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.services[name]
	if s == nil {
		return 1, 1
	}
	return 1 + s.coresOffset, 1 + s.memoryOffset
}

// Usage is the measured usage of a worker.
type Usage struct {
	MeasuredAt time.Time
	// MilliCPU is in thousandths of a processor.
	MilliCPU int64
	MemoryMB int64
}

// Report records a usage report. Jobs that started on the worker after the
// measurement are added to the usage, and jobs that ended after it are subtracted.
// Reports that are not newer than the last one and reports of unknown workers are
// ignored.
func (x *Index) Report(name galenahead.VMName, u Usage) {
	x.mu.Lock()
	defer x.mu.Unlock()
	w := x.workers[name]
	if w == nil || u.MeasuredAt.UnixNano() <= w.measuredAt {
		return
	}
	w.measuredAt = u.MeasuredAt.UnixNano()
	w.pruneEnded()
	if w.representative() {
		w.learn(u)
	}
	w.charged, w.deferrable, w.unmeasured = size{}, size{}, size{}
	w.measured = size{milliCPU: u.MilliCPU, memoryMB: u.MemoryMB}
	for _, e := range w.endedJobs {
		w.measured = w.measured.minus(w.measuredCharge(e))
	}
	for _, j := range w.jobs {
		x.refreshCharge(w, j)
	}
	w.measured = w.measured.nonNegative()
	w.addCharge(size{}, true)
}

// refreshCharge updates the charge of a job to the newest estimate and adds it to
// the totals of the worker.
func (x *Index) refreshCharge(w *worker, j *job) {
	full := j.unthrottledCharge(!w.isUnmeasured(j.changedAt))
	now := full
	if j.throttled {
		now = throttledCharge(full)
	}
	j.charge = compact(now)
	w.charged = w.charged.plus(now)
	if !j.urgent {
		w.deferrable = w.deferrable.plus(now)
	}
	if !w.isUnmeasured(j.changedAt) {
		// Accelerators are not measured.
		w.measured.accelerators += now.accelerators
		return
	}
	if x.injectedFault != faultIgnoreUnmeasured {
		w.unmeasured = w.unmeasured.plus(now)
	}
	if !w.isUnmeasured(j.startedAt) {
		// The report includes at least the throttled use of the job.
		least := throttledCharge(full)
		w.measured = w.measured.minus(size{milliCPU: least.milliCPU, memoryMB: least.memoryMB})
	}
}

// pruneEnded removes the jobs that ended before the newest report was measured.
// Jobs that started after the measurement stay, since a later report may include
// them.
func (w *worker) pruneEnded() {
	w.endedJobs = slices.DeleteFunc(w.endedJobs, func(e endedJob) bool { return e.endedAt <= w.measuredAt })
}

// measuredCharge returns the part of an ended job's charge that the newest report
// certainly includes.
func (w *worker) measuredCharge(e endedJob) size {
	switch {
	case w.isUnmeasured(e.startedAt):
		return size{}
	case w.isUnmeasured(e.changedAt):
		return throttledCharge(e.charge.size())
	}
	return e.charge.size()
}

// isUnmeasured reports whether the newest usage report may not show a change at t.
func (w *worker) isUnmeasured(t int64) bool { return t > w.measuredAt-measurementLag }

// subtractCharge subtracts the charge of a job from the part of the use that
// includes it.
func (w *worker) subtractCharge(j *job) {
	if w.isUnmeasured(j.changedAt) {
		w.unmeasured = w.unmeasured.minus(j.charge.size()).nonNegative()
		return
	}
	w.measured = w.measured.minus(j.charge.size()).nonNegative()
}

// recordEnd subtracts a job from the use of its worker and adds it to endedJobs.
func (w *worker) recordEnd(j *job, at int64) {
	w.subtractCharge(j)
	if len(w.endedJobs) == maxEndedJobs {
		w.droppedEndAt = w.endedJobs[0].endedAt
		w.endedJobs = slices.Delete(w.endedJobs, 0, 1)
	}
	w.endedJobs = append(w.endedJobs, endedJob{*j, at})
}

// representative reports whether the newest report measures all jobs of the worker
// unthrottled, so that their sizes can be learned from it.
func (w *worker) representative() bool {
	for _, j := range w.jobs {
		if j.throttled || w.isUnmeasured(j.changedAt) {
			return false
		}
	}
	for _, e := range w.endedJobs {
		if e.startedAt <= w.measuredAt && (e.throttled || w.isUnmeasured(e.changedAt)) {
			return false
		}
	}
	return len(w.jobs) > 0 && w.droppedEndAt <= w.measuredAt
}

// serviceShare is the total declared size of the jobs of one service on a worker.
type serviceShare struct {
	service  *service
	declared size
}

// serviceShares returns the services with jobs in the newest report. They are
// ordered by name, so that sums of floating-point numbers do not depend on map
// order.
func (w *worker) serviceShares() []serviceShare {
	sums := map[*service]size{}
	for _, j := range w.jobs {
		sums[j.service] = sums[j.service].plus(j.declared.size())
	}
	for _, e := range w.endedJobs {
		if e.startedAt <= w.measuredAt {
			sums[e.service] = sums[e.service].plus(e.declared.size())
		}
	}
	shares := make([]serviceShare, 0, len(sums))
	for s, sum := range sums {
		shares = append(shares, serviceShare{s, sum})
	}
	slices.SortFunc(shares, func(a, b serviceShare) int { return cmp.Compare(a.service.name, b.service.name) })
	return shares
}

// learn adjusts the learned sizes of the services on the worker to the measured
// usage, each in proportion to its share of the declared size (normalized least
// mean squares).
func (w *worker) learn(u Usage) {
	shares := w.serviceShares()
	var cores, memory lmsStep
	for _, p := range shares {
		cores.addService(float64(p.declared.milliCPU), p.service.coresOffset)
		memory.addService(float64(p.declared.memoryMB), p.service.memoryOffset)
	}
	cores.setMeasured(float64(u.MilliCPU))
	memory.setMeasured(float64(u.MemoryMB))
	for _, p := range shares {
		s := p.service
		s.coresOffset, s.coresDeviation = cores.correct(float64(p.declared.milliCPU), s.coresOffset, s.coresDeviation)
		s.memoryOffset, s.memoryDeviation = memory.correct(float64(p.declared.memoryMB), s.memoryOffset, s.memoryDeviation)
	}
}

// lmsStep is one step of the least mean squares filter for one resource.
type lmsStep struct {
	expected float64
	// squaredNorm is the sum of the squared declared sizes.
	squaredNorm float64
	residual    float64
}

func (r *lmsStep) addService(declared, offset float64) {
	r.expected += declared * (1 + offset)
	r.squaredNorm += declared * declared
}

func (r *lmsStep) setMeasured(used float64) { r.residual = used - r.expected }

// correct returns the new offset and mean deviation of a service.
func (r *lmsStep) correct(declared, offset, deviation float64) (newOffset, newDeviation float64) {
	if r.squaredNorm == 0 {
		return offset, deviation
	}
	offset += learningRate * r.residual * declared / r.squaredNorm
	deviation += learningRate * (math.Abs(r.residual)/math.Sqrt(r.squaredNorm) - deviation)
	return min(max(offset, minLearnedRatio-1), maxLearnedRatio-1), deviation
}
