package galenajob

import (
	"slices"
	"time"
)

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
	// lateCommandTime is how long after it was sent a command without a response may
	// still be executed.
	lateCommandTime = 15 * time.Second
	// paceRepeatInterval is the time between repeats of a pace while a command with
	// another one may still be executed.
	paceRepeatInterval = time.Second
)

// paceState is the state of the pace commands to the current run of a work item.
type paceState struct {
	// sentAt is when the last command was sent. inFlight reports that it has no outcome
	// yet, and confirmed that the instance has executed it.
	sentAt              time.Time
	inFlight, confirmed bool
	// unanswered holds the commands without a response that may still be executed.
	unanswered []unansweredPace
}

// unansweredPace is a pace command without a response, which may be executed until the
// given time.
type unansweredPace struct {
	percent int
	until   time.Time
}

// adjustPace slows down the best-effort work items of an instance while the tail
// latency of serving work items there approaches its target, and speeds them up
// again afterwards. It repeats a pace that the instance may not have.
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
	mayChange := now.Sub(inst.paceChangedAt) >= minPaceInterval
	for _, it := range bestEffort {
		if it.pacing.inFlight {
			continue
		}
		next := it.pace
		switch {
		case !mayChange:
		case worstRatio >= 1:
			next = 0
		case worstRatio > slowDownAbove:
			next = max(0, it.pace-2*paceStepPercent)
		case worstRatio < speedUpBelow:
			next = min(100, it.pace+paceStepPercent)
		}
		if next != it.pace {
			it.pace = next
			inst.paceChangedAt = now
			s.emitPace(now, it, "tail latency beside it")
			continue
		}
		if s.paceInDoubt(now, it) {
			s.emitPace(now, it, reasonRepeated)
		}
	}
}

// paceInDoubt reports whether the pace of a run has to be sent again: the instance has
// not confirmed it, may yet execute an earlier command with another pace, or runs work
// that an earlier owner may have paced.
func (s *Scheduler) paceInDoubt(now time.Time, it *item) bool {
	p := &it.pacing
	switch {
	case p.sentAt.IsZero():
		return it.startsSent == 0
	case !p.confirmed:
		return now.Sub(p.sentAt) >= s.params.ResendInterval
	}
	p.unanswered = slices.DeleteFunc(p.unanswered, func(u unansweredPace) bool { return p.sentAt.After(u.until) })
	overdue := now.Sub(p.sentAt) >= paceRepeatInterval
	return overdue && slices.ContainsFunc(p.unanswered, func(u unansweredPace) bool { return u.percent != it.pace })
}

// emitPace sends the pace of a work item.
func (s *Scheduler) emitPace(now time.Time, it *item, reason string) {
	inst, p := it.instance, &it.pacing
	p.sentAt, p.inFlight, p.confirmed = now, true, false
	s.actions = append(s.actions, Action{
		Kind: ActPace, Instance: inst.Instance, Fence: inst.fence, Item: it.id(), Run: it.run, Percent: it.pace, Reason: reason,
	})
}

// HandlePaceOutcome handles the outcome of a pace command that was sent at sent.
func (s *Scheduler) HandlePaceOutcome(a Action, o Outcome, sent time.Time) {
	inst := s.instances[a.Instance.ID]
	if inst == nil {
		return
	}
	it := inst.items[a.Item]
	if it == nil || it.run != a.Run {
		return
	}
	p := &it.pacing
	p.inFlight = false
	switch o {
	case OutcomeDone:
		p.confirmed = true
	case OutcomeDeferred, OutcomeUnsent, OutcomeRefused:
	default:
		p.unanswered = append(p.unanswered, unansweredPace{a.Percent, sent.Add(lateCommandTime)})
	}
}
