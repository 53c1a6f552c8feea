package galenaplace

import (
	"cmp"
	"slices"

	"github.com/galenahead/galenahead"
)

const (
	// maxPlans bounds the workers for which a preemption is planned. The cheapest
	// plan is used.
	maxPlans = 32
	// checkpointCost is the cost of checkpointing a job relative to throttling one:
	// a checkpointed job must be placed and started again.
	checkpointCost = 10
)

// preemption is a plan to make room on a worker: the jobs to checkpoint and the
// jobs to throttle.
type preemption struct {
	worker   *worker
	preempt  []galenahead.JobID
	throttle []galenahead.JobID
}

func (p *preemption) cost() int { return checkpointCost*len(p.preempt) + len(p.throttle) }

// placeByPreemption looks for a worker that has room for the job once deferrable
// jobs are checkpointed or throttled. It exceeds the spread limits only when no
// tier has another worker.
func (x *Index) placeByPreemption(q *query) (galenahead.Placement, bool) {
	for _, overSpread := range []bool{false, true} {
		for _, t := range x.tiers(q.spec.Pool) {
			best := q.searchPreemption(t.group, overSpread)
			if best == nil {
				continue
			}
			p := q.placement(best.worker, ReasonPreemption)
			p.Preempt, p.Throttle = best.preempt, best.throttle
			return p, true
		}
	}
	return galenahead.Placement{}, false
}

// searchPreemption returns the cheapest of the first maxPlans plans. It starts with
// the data centres and racks that have the fewest jobs of the service.
func (q *query) searchPreemption(g *group, overSpread bool) *preemption {
	var best *preemption
	plans := 0
	for _, dc := range q.orderedDCs(g) {
		if !overSpread && q.service.jobCounts[dc.domain] >= q.dcLimit {
			break
		}
		for _, rack := range q.preemptibleRacks(dc, overSpread) {
			for _, w := range rack.workers {
				q.candidates++
				plan := q.planPreemption(w)
				if plan == nil {
					continue
				}
				if best == nil || plan.cost() < best.cost() {
					best = plan
				}
				if plans++; plans == maxPlans {
					return best
				}
			}
		}
	}
	return best
}

// preemptibleRacks returns the racks of a data centre in which the job may fit once
// deferrable jobs are preempted, in ascending order of the number of jobs of the
// service.
func (q *query) preemptibleRacks(dc *dcWorkers, overSpread bool) []*rackWorkers {
	var racks []*rackWorkers
	for _, rack := range dc.racks {
		fits := rack.maxPreemptible.covers(q.estimate.min(rack.minSize))
		if fits && (overSpread || q.service.jobCounts[rack.domain] < q.rackLimit) {
			racks = append(racks, rack)
		}
	}
	slices.SortStableFunc(racks, func(a, b *rackWorkers) int {
		return cmp.Compare(q.service.jobCounts[a.domain], q.service.jobCounts[b.domain])
	})
	return racks
}

// planPreemption returns a plan for a worker, if possible one that only throttles
// jobs. It returns nil when preempting all deferrable jobs would not make enough
// room.
func (q *query) planPreemption(w *worker) *preemption {
	need, ok := q.chargeOn(w)
	free := w.free()
	if !ok || !free.plus(w.deferrable).covers(need) {
		return nil
	}
	jobs := deferrableJobs(w)
	if p := planThrottling(w, jobs, need.minus(free)); p != nil {
		return p
	}
	return planCheckpoints(w, jobs, need.minus(free))
}

// deferrableJobs returns the deferrable jobs of a worker, newest first, because the
// newest jobs lose the least progress.
func deferrableJobs(w *worker) []*job {
	jobs := make([]*job, 0, len(w.jobs))
	for _, j := range w.jobs {
		if !j.urgent {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(b.startedAt, a.startedAt), cmp.Compare(a.id, b.id))
	})
	return jobs
}

// planThrottling returns a plan that only throttles jobs, or nil when this is not
// enough. Throttling frees neither memory nor accelerators.
func planThrottling(w *worker, jobs []*job, short size) *preemption {
	if short.memoryMB > 0 || short.accelerators > 0 {
		return nil
	}
	plan := &preemption{worker: w}
	for _, j := range jobs {
		if short.milliCPU <= 0 {
			break
		}
		if !j.throttled {
			short.milliCPU -= int64(j.charge.milliCPU) - throttledCharge(j.charge.size()).milliCPU
			plan.throttle = append(plan.throttle, j.id)
		}
	}
	if short.milliCPU > 0 {
		return nil
	}
	return plan
}

// planCheckpoints repeatedly chooses the job that covers most of the remaining
// shortage, and finally drops the jobs that turn out not to be needed.
func planCheckpoints(w *worker, jobs []*job, short size) *preemption {
	var chosen []*job
	for !(size{}).covers(short) {
		best := slices.MaxFunc(jobs, func(a, b *job) int {
			return cmp.Compare(coverage(a.charge.size(), short), coverage(b.charge.size(), short))
		})
		jobs = slices.DeleteFunc(jobs, func(j *job) bool { return j == best })
		chosen = append(chosen, best)
		short = short.minus(best.charge.size())
	}
	plan := &preemption{worker: w}
	for _, j := range chosen {
		if shortIfKept := short.plus(j.charge.size()); (size{}).covers(shortIfKept) {
			short = shortIfKept
			continue
		}
		plan.preempt = append(plan.preempt, j.id)
	}
	return plan
}

// coverage returns the covered fraction of a shortage, summed over the resources.
func coverage(charge, short size) float64 {
	return fraction(charge.milliCPU, short.milliCPU) + fraction(charge.memoryMB, short.memoryMB) + fraction(charge.accelerators, short.accelerators)
}

func fraction(charge, short int64) float64 {
	if short <= 0 {
		return 0
	}
	return float64(min(charge, short)) / float64(short)
}
