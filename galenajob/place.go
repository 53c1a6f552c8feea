package galenajob

import "time"

// usable tells whether it may start on n now.
func (s *Scheduler) usable(n *instance, it *item) bool {
	st := it.set
	if !n.fenced || n.Draining || n.leaving || !n.has(st.step.Label) || !n.silentSince.IsZero() {
		return false
	}
	if !n.free().Holds(st.step.claim()) {
		return false
	}
	if st.step.MaxPerInstance > 0 && st.on(n) >= st.step.MaxPerInstance {
		return false
	}
	return true
}

// on counts the work items of st that occupy n.
func (st *itemSet) on(n *instance) int {
	c := 0
	for i := range st.items {
		if st.items[i].on == n {
			c++
		}
	}
	return c
}

// choose returns the instance for a start of it, or nil when none has room.
func (s *Scheduler) choose(now time.Time, it *item) *instance {
	var best *instance
	var bestScore float64
	for _, n := range s.instances {
		if !s.usable(n, it) || now.Before(n.suspectTill) {
			continue
		}
		if it.set.job.queue.Advised && !it.set.ticketFor(now, n) {
			continue
		}
		score := s.score(n, it)
		if best == nil || score > bestScore || (score == bestScore && n.ID < best.ID) {
			best, bestScore = n, score
		}
	}
	return best
}

// Weights of a placement, in units of a wholly used instance.
const (
	weightDataRack = 4
	weightSameRack = 2
	weightAvoid    = 3
	weightDue      = 2
	// weightApart keeps serving and filling work items off each other.
	weightApart = 2
)

// score rates n for it; higher is better. Work is packed, so that other instances stay
// empty and can leave the pool.
func (s *Scheduler) score(n *instance, it *item) float64 {
	step := it.set.step
	used := share(n.used, n.Capacity)
	score := used
	if step.DataRack != "" && string(step.DataRack) == n.rack() {
		score += weightDataRack
	}
	if n.due && step.LongRunning {
		score -= weightDue
	}
	if n.ID == it.avoid {
		score -= weightAvoid
	}
	if step.RackSensitive && it.set.usesRack(n.rack()) {
		score += weightSameRack
	}
	if step.Filling || step.TargetLatency > 0 {
		for _, o := range n.items {
			other := o.set.step
			if (step.Filling && other.TargetLatency > 0) || (step.TargetLatency > 0 && (other.Filling || other.TargetLatency > 0)) {
				score -= weightApart
			}
		}
	}
	return score
}

// usesRack tells whether a work item of st occupies an instance of the rack.
func (st *itemSet) usesRack(rack string) bool {
	for i := range st.items {
		if on := st.items[i].on; on != nil && on.rack() == rack {
			return true
		}
	}
	return false
}

// share returns the largest used part of a capacity.
func share(used, capacity Resources) float64 {
	part := func(u, c int64) float64 {
		if c <= 0 {
			return 0
		}
		return float64(u) / float64(c)
	}
	return max(part(used.MilliCPU, capacity.MilliCPU), part(used.MemoryMB, capacity.MemoryMB), part(used.GPU, capacity.GPU))
}
