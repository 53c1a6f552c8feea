package galenajob

import "time"

// canStart reports whether the work item may start on the instance now.
func (s *Scheduler) canStart(inst *instance, it *item) bool {
	return s.fits(inst, it) && inst.takesStartsOf(it.set.job) && (!it.suspect() || inst.mayIsolate(it.set.job))
}

// fits reports whether the instance takes work and has room for the work item.
func (s *Scheduler) fits(inst *instance, it *item) bool {
	return s.takesWork(inst, it) && inst.free().Covers(it.set.step.reservation())
}

// takesWork reports whether the instance takes work and, but for room, the work item.
func (s *Scheduler) takesWork(inst *instance, it *item) bool {
	set := it.set
	if !inst.fenceConfirmed || inst.unreconciled || inst.Draining || inst.evacuating || inst.removing ||
		!inst.hasLabel(set.step.Label) || !inst.unansweredSince.IsZero() {
		return false
	}
	return set.step.MaxPerInstance == 0 || set.countOn(inst) < set.step.MaxPerInstance
}

// mayUse reports whether the work item may start on the instance once it has room and no
// other work keeps it off.
func (s *Scheduler) mayUse(now time.Time, inst *instance, it *item) bool {
	return s.takesWork(inst, it) && inst.permits(now, it)
}

// permits reports whether the instance is not barred, and the work item has a
// ticket for it if it needs one.
func (inst *instance) permits(now time.Time, it *item) bool {
	return !inst.barred(now) && (!it.set.job.queue.RequiresAdvice || it.set.hasTicket(now, inst))
}

// countOn counts the work items of the set that occupy the instance.
func (set *itemSet) countOn(inst *instance) int {
	c := 0
	for i := range set.items {
		if set.items[i].instance == inst {
			c++
		}
	}
	return c
}

// chooseInstance returns the best instance to start the work item on, or nil
// when none can take it. A suspected one comes after all others, and the one that was lost
// under the work item last after these.
func (s *Scheduler) chooseInstance(now time.Time, it *item) *instance {
	var best *instance
	var bestScore float64
	for _, inst := range s.sortedInstances() {
		if !s.canStart(inst, it) || !inst.permits(now, it) {
			continue
		}
		score := s.score(inst, it)
		if inst.suspected(now) {
			score -= weightSuspected
		}
		if it.lostLast(inst) {
			score -= weightLostOn
		}
		if best == nil || score > bestScore || (score == bestScore && inst.ID < best.ID) {
			best, bestScore = inst, score
		}
	}
	return best
}

// Weights of placement criteria, relative to the utilization of a full instance,
// which is 1.
const (
	weightDataRack       = 4
	weightSameRack       = 2
	weightFailedOn       = 3
	weightMaintenanceDue = 2
	// weightInterference keeps serving work items away from best-effort ones and
	// from each other.
	weightInterference = 2
	// weightSuspected is more than all above together, and weightLostOn more than that.
	weightSuspected = 1000
	weightLostOn    = 2000
)

// score rates the instance for a start of the work item; higher is better. Fuller
// instances score higher, so that others stay empty and can leave the pool.
func (s *Scheduler) score(inst *instance, it *item) float64 {
	step := it.set.step
	score := utilization(inst.used, inst.Capacity)
	if it.suspect() {
		score = -score // the least work is lost with it
	}
	if step.DataRack != "" && string(step.DataRack) == inst.rack() {
		score += weightDataRack
	}
	if inst.maintenanceDue && step.LongRunning {
		score -= weightMaintenanceDue
	}
	if inst.ID == it.failedOn {
		score -= weightFailedOn
	}
	if step.RackSensitive && it.set.usesRack(inst.rack()) {
		score += weightSameRack
	}
	if step.Filling || step.TargetLatency > 0 {
		for _, o := range inst.items {
			other := o.set.step
			if (step.Filling && other.TargetLatency > 0) || (step.TargetLatency > 0 && (other.Filling || other.TargetLatency > 0)) {
				score -= weightInterference
			}
		}
	}
	return score
}

// usesRack reports whether a work item of the set occupies an instance in the
// rack.
func (set *itemSet) usesRack(rack string) bool {
	for i := range set.items {
		if inst := set.items[i].instance; inst != nil && inst.rack() == rack {
			return true
		}
	}
	return false
}

// utilization returns the used share of the scarcest resource.
func utilization(used, capacity Resources) float64 {
	part := func(u, c int64) float64 {
		if c <= 0 {
			return 0
		}
		return float64(u) / float64(c)
	}
	return max(part(used.MilliCPU, capacity.MilliCPU), part(used.MemoryMB, capacity.MemoryMB), part(used.GPU, capacity.GPU))
}
