package galenajob

import "time"

// Outcome is the result of sending a command to an instance.
type Outcome int

// Results of commands.
const (
	// OutcomeUnknown means that there was no response. The instance may have executed
	// the command, or may still do so.
	OutcomeUnknown Outcome = iota
	OutcomeDone
	// OutcomeNoRoom means that the command was not executed for lack of capacity.
	OutcomeNoRoom
	// OutcomeNoTicket means that the command was not executed for lack of a valid
	// ticket.
	OutcomeNoTicket
	// OutcomeDeadlinePassed means that the command was not executed because its
	// deadline had passed.
	OutcomeDeadlinePassed
	// OutcomeBusy means that the command was not executed because the instance was
	// busy.
	OutcomeBusy
	// OutcomeOldRun means that the instance has already had this run or a later one of
	// the work item.
	OutcomeOldRun
	// OutcomeFenced means that the instance has seen a higher fencing token.
	OutcomeFenced
	// OutcomeOtherIncarnation means that another incarnation responded at the address.
	OutcomeOtherIncarnation
	// OutcomeInvalid means that the instance will never accept the command.
	OutcomeInvalid
	// OutcomeUnsent means that no part of this attempt was sent, because the instance
	// did not accept a connection.
	OutcomeUnsent
	// OutcomeDeferred means that no part of this attempt was sent, for a reason that
	// says nothing about the instance.
	OutcomeDeferred
	// OutcomeRefused is OutcomeUnsent if the host of the instance has refused the connection, so
	// that no incarnation listens at its address. It is not sent between daemons.
	OutcomeRefused
)

// unsent reports whether no part of the attempt was sent because the instance did not accept a
// connection.
func (o Outcome) unsent() bool { return o == OutcomeUnsent || o == OutcomeRefused }

// HandleOutcome handles the outcome of a start or stop command that was sent at sent.
// clock is the clock reading in the response, or zero.
func (s *Scheduler) HandleOutcome(now time.Time, a Action, o Outcome, clock int64, sent time.Time) {
	if a.Kind == ActStart && (o.unsent() || o == OutcomeDeferred) {
		s.endUnsentStart(a)
	}
	inst := s.instances[a.Instance.ID]
	if inst == nil {
		return
	}
	takesLease := a.Kind == ActStart && clock > 0 && (o == OutcomeDone || o == OutcomeOldRun || o == OutcomeNoRoom)
	if a.Fence != inst.fence {
		// The clock and the silence of an earlier incarnation say nothing about this one.
		if a.Kind == ActStart && (o.unsent() || o == OutcomeDeferred || s.isEarlierClock(inst, clock)) {
			inst.endStrayCall()
		}
		return
	}
	restarted := clock > 0 && clock < inst.clock && sent.After(inst.clockAt)
	if restarted && takesLease {
		// An incarnation that is not known yet has answered.
		inst.holdLease(now, s.params.LongestLease())
	}
	switch o {
	case OutcomeUnknown, OutcomeUnsent:
		s.HandleNoResponse(inst.ID, sent)
	case OutcomeRefused:
		inst.noteRefusal(sent)
	case OutcomeOtherIncarnation:
		s.endStrayStartsOf(inst.ID, sent)
	case OutcomeDeferred:
	default:
		s.noteResponse(now, inst, clock)
		if takesLease && !restarted {
			inst.grantedUntil = max(inst.grantedUntil, a.Deadline)
		}
	}
	it := inst.items[a.Item]
	if it == nil || it.run != a.Run || it.phase == phaseStale {
		return
	}
	if a.Kind == ActStop {
		s.handleStopOutcome(now, it, o)
		return
	}
	switch {
	case o != OutcomeUnknown:
		s.reportAnsweredStart(it)
	case it.phase != phaseRunning || it.startsSent > 1:
		s.noteStrayStart(now, it)
	}
	if it.phase != phaseStarting {
		return
	}
	it.inFlight = false
	if o == OutcomeUnknown {
		if it.uncertainSince.IsZero() {
			it.uncertainSince = now
		}
		it.unansweredUntil = max(it.unansweredUntil, a.Deadline)
	}
	s.handleStartOutcome(now, inst, it, o)
	if restarted {
		// The crash that the next poll shows was before this run.
		it.runningSince = time.Time{}
	}
}

func (s *Scheduler) handleStartOutcome(now time.Time, inst *instance, it *item, o Outcome) {
	switch o {
	case OutcomeDone:
		it.confirmRunning(now)
		it.set.job.started = true
	case OutcomeOldRun:
		// An earlier attempt may have started the run. The next poll shows whether
		// it is running, has ended, or never started.
		it.confirmRunning(now)
	case OutcomeUnknown, OutcomeFenced:
		it.notBefore = now.Add(s.params.ResendInterval)
	case OutcomeDeadlinePassed:
		// The response has corrected the estimate of the instance's clock, so the
		// next deadline will be valid.
		it.notBefore = now
	case OutcomeOtherIncarnation:
		// Delayed copies of the command name the same address and incarnation, so
		// the instance rejects them as well.
		it.notBefore = now.Add(s.params.ResendInterval)
		inst.suspect(now, s.params.SuspectTime, s.params.SuspectTime)
	default:
		s.handleRefusedStart(now, inst, it, o)
	}
}

// handleRefusedStart handles the outcome of an attempt that did not execute the start.
// The work item may start elsewhere if no earlier attempt can still execute it.
// Otherwise the same start is repeated, which soonest tells whether the run exists, or
// stopped if a repeat would be refused as well.
func (s *Scheduler) handleRefusedStart(now time.Time, inst *instance, it *item, o Outcome) {
	uncertain := it.unansweredUntil != 0
	if !uncertain {
		it.release(now)
	}
	it.notBefore = now.Add(s.params.ResendInterval)
	switch o {
	case OutcomeUnsent, OutcomeRefused:
		it.failedOn = inst.ID
	case OutcomeNoTicket:
		it.set.dropTicket(inst.ID)
		if !uncertain {
			it.notBefore = time.Time{}
		}
	case OutcomeNoRoom:
		it.failedOn = inst.ID
	case OutcomeBusy, OutcomeInvalid:
		it.failedOn = inst.ID
		inst.suspect(now, s.params.SuspectTime, s.params.SuspectTime)
	}
	if !uncertain {
		return
	}
	repeatable := o == OutcomeBusy || o.unsent() || o == OutcomeDeferred
	if !repeatable {
		s.evict(now, it, "start refused")
	}
}

func (s *Scheduler) handleStopOutcome(now time.Time, it *item, o Outcome) {
	if it.phase != phaseStopping {
		return
	}
	it.inFlight = false
	if o == OutcomeDone || o == OutcomeOldRun {
		if it.confirmed.IsZero() {
			// The instance lists the end within the stop timeout. A run that it does
			// not list after that has never started.
			it.confirmed = now.Add(s.params.StopTimeout)
		}
		it.notBefore = it.confirmed.Add(s.params.ResendInterval)
		return
	}
	it.notBefore = now.Add(s.params.ResendInterval)
}

// String returns the name of the outcome in logs and counters.
func (o Outcome) String() string {
	names := [...]string{"unknown", "done", "no_room", "no_ticket", "late", "busy", "old", "fenced", "other_life", "invalid", "unsent", "deferred", "refused"}
	if o < 0 || int(o) >= len(names) {
		return "undefined"
	}
	return names[o]
}
