package galenajob

import "time"

const (
	// paceInterval is the shortest time between two changes of pace on an
	// instance, since usage is of the last half second.
	paceInterval = 600 * time.Millisecond
	// paceDown and paceUp are the parts of the target latency above and below
	// which filling work items are slowed down or sped up.
	paceDown = 0.8
	paceUp   = 0.5
	paceStep = 25
)

// pace slows filling work items down while serving ones beside them come near
// their target latency, and speeds them up again.
func (s *Scheduler) pace(now time.Time, n *instance) {
	var worst float64
	var filling []*item
	for _, it := range n.items {
		if it.phase != phaseRunning || it.ended {
			continue
		}
		if t := it.set.step.TargetLatency; t > 0 && it.percent >= 100 {
			worst = max(worst, float64(it.usage)/float64(t.Milliseconds()))
		}
		if it.set.step.Filling {
			filling = append(filling, it)
		}
	}
	if len(filling) == 0 || now.Sub(n.pacedAt) < paceInterval {
		return
	}
	for _, it := range filling {
		next := it.pace
		switch {
		case worst >= 1:
			next = 0
		case worst > paceDown:
			next = max(0, it.pace-2*paceStep)
		case worst < paceUp:
			next = min(100, it.pace+paceStep)
		}
		if next == it.pace {
			continue
		}
		it.pace = next
		n.pacedAt = now
		s.out = append(s.out, Action{
			Kind: ActPace, Instance: n.Instance, Fence: n.fence, Item: it.id(), Run: it.run, Percent: next,
			Reason: "tail latency beside it",
		})
	}
}
