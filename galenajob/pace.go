package galenajob

import "time"

const (
	// minPaceInterval is the shortest time between two pace changes on an
	// instance. Usage covers the last half second, so that an earlier reading
	// would not show the effect of the last change.
	minPaceInterval = 600 * time.Millisecond
	// slowDownAbove and speedUpBelow are the ratios of tail latency to target
	// latency above and below which best-effort work items change their pace.
	slowDownAbove   = 0.8
	speedUpBelow    = 0.5
	paceStepPercent = 25
)

// adjustPace slows down the best-effort work items of an instance while the tail
// latency of serving work items there approaches its target, and speeds them up
// again afterwards.
func (s *Scheduler) adjustPace(now time.Time, inst *instance) {
	var worstRatio float64
	var bestEffort []*item
	for _, it := range inst.items {
		if it.phase != phaseRunning || it.endUnrecorded {
			continue
		}
		if t := it.set.step.TargetLatency; t > 0 && it.percent >= 100 {
			worstRatio = max(worstRatio, float64(it.usage)/float64(t.Milliseconds()))
		}
		if it.set.step.Filling {
			bestEffort = append(bestEffort, it)
		}
	}
	if len(bestEffort) == 0 || now.Sub(inst.paceChangedAt) < minPaceInterval {
		return
	}
	for _, it := range bestEffort {
		next := it.pace
		switch {
		case worstRatio >= 1:
			next = 0
		case worstRatio > slowDownAbove:
			next = max(0, it.pace-2*paceStepPercent)
		case worstRatio < speedUpBelow:
			next = min(100, it.pace+paceStepPercent)
		}
		if next == it.pace {
			continue
		}
		it.pace = next
		inst.paceChangedAt = now
		s.actions = append(s.actions, Action{
			Kind: ActPace, Instance: inst.Instance, Fence: inst.fence, Item: it.id(), Run: it.run, Percent: next,
			Reason: "tail latency beside it",
		})
	}
}
