package galenajob

import "time"

// Outcome is the answer to an order.
type Outcome int

// Answers to orders.
const (
	// OutcomeUnknown: no answer; the order may be carried out, also later.
	OutcomeUnknown Outcome = iota
	OutcomeDone
	// OutcomeRoom, OutcomeTicket, OutcomeLate and OutcomeBusy: nothing was done.
	OutcomeRoom
	OutcomeTicket
	OutcomeLate
	OutcomeBusy
	// OutcomeOld: this run or a later one has been there already.
	OutcomeOld
	// OutcomeFenced: another owner gives orders now.
	OutcomeFenced
	// OutcomeOther: another life answers at the address.
	OutcomeOther
	// OutcomeInvalid: the instance does not accept the order at all.
	OutcomeInvalid
	// OutcomeUnsent: this copy of the order was not delivered.
	OutcomeUnsent
)

// Ordered takes over the answer to a start or stop.
func (s *Scheduler) Ordered(now time.Time, a Action, o Outcome, clock int64, sent time.Time) {
	n := s.instances[a.Instance.ID]
	if n == nil {
		return
	}
	switch o {
	case OutcomeUnknown, OutcomeUnsent:
		s.Unanswered(n.ID, sent)
	case OutcomeOther:
	default:
		s.heard(now, n, clock)
	}
	it := n.items[a.Item]
	if it == nil || it.run != a.Run || a.Fence != n.fence || it.phase == phaseStale {
		return
	}
	if a.Kind == ActStop {
		s.stopAnswered(now, it, o)
		return
	}
	if it.phase != phaseStarting {
		return
	}
	it.inFlight = false
	s.startAnswered(now, n, it, o)
}

func (s *Scheduler) startAnswered(now time.Time, n *instance, it *item, o Outcome) {
	switch o {
	case OutcomeDone:
		it.phase, it.confirmed = phaseRunning, now
		it.set.job.started = true
	case OutcomeOld:
		// The run may have started by an earlier copy of the order; the next look
		// tells whether it runs, has ended, or never was.
		it.phase, it.confirmed = phaseRunning, now
	case OutcomeUnsent:
		if it.orders == 1 {
			it.release(now)
			it.notBefore = now.Add(s.params.Resend)
			it.avoid = n.ID
		}
	case OutcomeUnknown, OutcomeFenced:
		it.notBefore = now.Add(s.params.Resend)
	case OutcomeLate:
		// The estimate of the instance's clock has been corrected by the answer.
		it.notBefore = now
	case OutcomeTicket:
		delete(it.set.tickets, n.ID)
		it.release(now)
	case OutcomeRoom:
		it.release(now)
		it.notBefore = now.Add(s.params.Resend)
		it.avoid = n.ID
	case OutcomeBusy, OutcomeInvalid:
		it.release(now)
		it.notBefore = now.Add(s.params.Resend)
		it.avoid = n.ID
		n.suspectTill = now.Add(s.params.Suspicion)
	case OutcomeOther:
		// Late copies of the order go to the same address with the same life
		// named, so none can be carried out any more than this one.
		it.notBefore = now.Add(s.params.Resend)
		n.suspectTill = now.Add(s.params.Suspicion)
	}
}

func (s *Scheduler) stopAnswered(now time.Time, it *item, o Outcome) {
	if it.phase != phaseStopping {
		return
	}
	it.inFlight = false
	if o == OutcomeDone || o == OutcomeOld {
		if it.confirmed.IsZero() {
			// The end is listed within the stop timeout; a run that is not listed
			// after that never started.
			it.confirmed = now.Add(s.params.StopTimeout)
		}
		it.notBefore = it.confirmed.Add(s.params.Resend)
		return
	}
	it.notBefore = now.Add(s.params.Resend)
}

// String returns the outcome as logs and counters name it.
func (o Outcome) String() string {
	names := [...]string{"unknown", "done", "no_room", "no_ticket", "late", "busy", "old", "fenced", "other_life", "invalid", "unsent"}
	if o < 0 || int(o) >= len(names) {
		return "undefined"
	}
	return names[o]
}
