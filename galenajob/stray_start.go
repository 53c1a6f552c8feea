package galenajob

import (
	"time"

	"github.com/galenahead/galenahead"
)

// A start command without a response may be executed seconds after it was sent, also by a later
// incarnation of the instance that nobody has heard of. That one runs the work item for up to
// Params.MaxLease, or longer if it also executes a renewal late. If the instance is lost, the work
// item waits until that is over, until an instance answers at that address and lists what it runs,
// or until the host has refused connections for refusalTime.

// maxCallDelay is the longest time after which a call without a response is executed, as the
// users state it.
const maxCallDelay = 12 * time.Second

// strayCheckInterval is how often the scheduler looks for stray starts that are over.
const strayCheckInterval = 100 * time.Millisecond

// strayStart describes the start commands of a work item that have no response.
type strayStart struct {
	instance galenahead.InstanceID
	address  string
	// run is the run that they start, or zero if they start several.
	run int64
	// until is the latest time at which one of them may be executed: maxCallDelay after the last one
	// was given up. renewedAt is when the last call was sent that renews the lease of what runs on
	// the instance.
	until, renewedAt time.Time
	// inFlight is set if the only command had no result yet when its run was given up.
	inFlight bool
	// reported is set once TakeStrayWaits has returned the work item, and holdRecorded once the end
	// of its wait is recorded.
	reported, holdRecorded bool
}

// givenUpAt returns when the last one was given up.
func (c *strayStart) givenUpAt() time.Time { return c.until.Add(-maxCallDelay) }

// heldUntil returns when whatever the commands have started has certainly ended.
func (c *strayStart) heldUntil(p Params) time.Time {
	last := c.until
	if renewed := c.renewedAt.Add(maxCallDelay); renewed.After(last) {
		last = renewed
	}
	return last.Add(p.LongestLease())
}

// UnansweredStart is a start command without a response, or, with Over set, the end of the doubt about
// it. It must be recorded, so that the next owner knows where the work item may still start.
type UnansweredStart struct {
	Item     ItemID
	Instance galenahead.InstanceID
	Address  string
	// GivenUpAt is when the command was given up, or had no response for long.
	GivenUpAt time.Time
	// Hold is how long after GivenUpAt the work item waits at most, or zero if it does not wait yet.
	Hold time.Duration
	// Over reports that nothing can come of the command any more, so that its record is deleted.
	Over bool
}

// UnansweredRecord is the record of the last unanswered start of a work item. Its times are those
// of the command, whoever reads it and when.
type UnansweredRecord struct {
	Instance galenahead.InstanceID
	Address  string
	// GivenUpAt is when the command was given up, on the clock of this replica, and TimeOfDay the
	// same on that of the replica that has recorded it.
	GivenUpAt, TimeOfDay time.Time
	// Hold is that of UnansweredStart.
	Hold time.Duration
}

// TakeUnansweredStarts returns what is to be recorded of unanswered starts since the last call of
// TakeUnansweredStarts, in this order.
func (s *Scheduler) TakeUnansweredStarts() []UnansweredStart {
	u := s.unansweredStarts
	s.unansweredStarts = nil
	return u
}

// StrayWait is a work item that waits because an earlier start may still be executed.
type StrayWait struct {
	Item     ItemID
	Instance galenahead.InstanceID
	// Until is how long it waits if the instance stays silent.
	Until time.Time
}

// TakeStrayWaits returns the waits that have begun since the last call of TakeStrayWaits.
func (s *Scheduler) TakeStrayWaits() []StrayWait {
	w := s.strayWaits
	s.strayWaits = nil
	return w
}

// reportUnansweredStart lets the start of the work item's run be recorded.
func (s *Scheduler) reportUnansweredStart(now time.Time, it *item) {
	if s.params.MaxLease > 0 {
		it.startRecorded = true
		s.unansweredStarts = append(s.unansweredStarts, UnansweredStart{Item: it.id(), Instance: it.instance.ID, Address: it.instance.Address, GivenUpAt: now})
	}
}

// ReportStartsInFlight lets the starts in flight be recorded, because the owner ends before they have a
// result.
func (s *Scheduler) ReportStartsInFlight(now time.Time) {
	for _, inst := range s.sortedInstances() {
		for _, it := range inst.sortedItems() {
			known := it.startRecorded && it.startsSent == 1
			if it.phase == phaseStarting && it.inFlight && !known {
				s.reportUnansweredStart(now, it)
			}
		}
	}
}

// reportAnsweredStart lets the record of a start be deleted that took long and then had a result, also
// that it was not sent.
func (s *Scheduler) reportAnsweredStart(it *item) {
	if it.startRecorded && it.stray == nil && it.startsSent == 1 {
		it.startRecorded = false
		s.unansweredStarts = append(s.unansweredStarts, UnansweredStart{Item: it.id(), Instance: it.instance.ID, Over: true})
	}
}

// noteStrayStart records that a start command of the work item's run has no response.
func (s *Scheduler) noteStrayStart(now time.Time, it *item) {
	if s.params.MaxLease == 0 {
		return
	}
	s.reportUnansweredStart(now, it)
	inst := it.instance
	c := strayStart{instance: inst.ID, address: inst.Address, run: it.run, until: now.Add(maxCallDelay), renewedAt: inst.renewedAt}
	if it.stray != nil && it.stray.run != c.run {
		c.run = 0
	}
	s.setStrayStart(it, c)
}

// noteStartInFlight is noteStrayStart if a start command of the work item is in flight, whose run is
// given up.
func (s *Scheduler) noteStartInFlight(now time.Time, it *item) {
	if it.phase != phaseStarting || !it.inFlight || it.instance == nil {
		return
	}
	s.noteStrayStart(now, it)
	if it.stray != nil {
		it.stray.inFlight = it.startsSent == 1
	}
}

// endUnsentStart handles the result that a start command was not sent, of which the run may have been
// given up.
func (s *Scheduler) endUnsentStart(a Action) {
	if it := s.activeItem(a.Item); it != nil && it.stray != nil && it.stray.inFlight && it.stray.instance == a.Instance.ID && it.stray.run == a.Run {
		s.resolveStrayStart(it)
	}
}

func (s *Scheduler) setStrayStart(it *item, c strayStart) {
	s.clearStrayStart(it)
	it.stray = &c
	items := s.strayStarts[c.instance]
	if items == nil {
		items = map[*item]struct{}{}
		s.strayStarts[c.instance] = items
	}
	items[it] = struct{}{}
}

func (s *Scheduler) clearStrayStart(it *item) {
	if it.stray == nil {
		return
	}
	items := s.strayStarts[it.stray.instance]
	delete(items, it)
	if len(items) == 0 {
		delete(s.strayStarts, it.stray.instance)
	}
	it.stray = nil
}

// resolveStrayStart ends the wait of a work item of whose start nothing can come any more.
func (s *Scheduler) resolveStrayStart(it *item) {
	s.unansweredStarts = append(s.unansweredStarts, UnansweredStart{Item: it.id(), Instance: it.stray.instance, Over: true})
	s.clearStrayStart(it)
}

// inheritStrayStarts takes over the unanswered starts that earlier owners have recorded. If the
// work item did not wait yet, the earlier owner may have renewed the lease of the instance until now, but
// of a silent one for UnresponsiveAfter at most, and it has forgotten the start once the instance has answered.
func (s *Scheduler) inheritStrayStarts(now time.Time, j *job) {
	if s.params.MaxLease == 0 {
		return
	}
	for k, u := range j.Unanswered {
		it := j.item(k)
		if it == nil || it.done {
			continue
		}
		until := u.GivenUpAt.Add(maxCallDelay)
		c := strayStart{instance: u.Instance, address: u.Address, until: until, renewedAt: until.Add(s.params.UnresponsiveAfter)}
		if now.Before(c.renewedAt) {
			c.renewedAt = now
		}
		if u.Hold > 0 {
			c.renewedAt, c.holdRecorded = u.GivenUpAt.Add(u.Hold-s.params.LongestLease()-maxCallDelay), true
		}
		if now.Before(c.heldUntil(s.params)) {
			s.setStrayStart(it, c)
		}
	}
}

// noteExecuted records that an instance lists the run or its end. A start command that was sent
// once is not executed again.
func (s *Scheduler) noteExecuted(it *item, run int64) {
	if it.stray != nil && it.stray.run == run && it.run == run && it.startsSent == 1 {
		s.resolveStrayStart(it)
	}
}

// answerStrayStarts handles a response of the instance that lists all its runs and ends. Work items
// without a run wait no longer, since the incarnation that has responded executes no earlier start
// of them. For those with a run there, the commands count until none can be executed any more.
func (s *Scheduler) answerStrayStarts(inst *instance, sent time.Time) {
	for it := range s.strayStarts[inst.ID] {
		executable := it.stray.until
		if it.phase == phasePending {
			executable = it.stray.givenUpAt()
		}
		if !sent.Before(executable) {
			s.resolveStrayStart(it)
		}
	}
}

// endStrayStartsAt handles the first response of an incarnation. Starts that were sent to its address for
// another instance can't be executed any more, and what they have started has ended with that instance.
func (s *Scheduler) endStrayStartsAt(inst *instance, sent time.Time) {
	for id, items := range s.strayStarts {
		if id == inst.ID {
			continue
		}
		for it := range items {
			if it.stray.address == inst.Address && sent.After(it.stray.givenUpAt()) {
				s.resolveStrayStart(it)
			}
		}
	}
}

// HandleOtherInstance records that another instance answered a poll at sent.
func (s *Scheduler) HandleOtherInstance(id galenahead.InstanceID, sent time.Time) {
	s.HandleNoResponse(id, sent)
	s.endStrayStartsOf(id, sent)
}

// endStrayStartsOf handles the answer of another instance at the address: the one that the starts
// were sent to has ended, and that one refuses them.
func (s *Scheduler) endStrayStartsOf(id galenahead.InstanceID, sent time.Time) {
	for it := range s.strayStarts[id] {
		if sent.After(it.stray.givenUpAt()) {
			s.resolveStrayStart(it)
		}
	}
}

// endStrayStarts forgets the stray starts that are over or of no importance.
func (s *Scheduler) endStrayStarts(now time.Time) {
	if now.Sub(s.strayCheckedAt) < strayCheckInterval {
		return
	}
	s.strayCheckedAt = now
	for id, items := range s.strayStarts {
		ended := false
		if inst := s.instances[id]; inst != nil {
			s.keepRenewal(inst)
			ended = inst.hasEnded(now)
		}
		for it := range items {
			switch {
			case it.done || it.set.job.final || now.After(it.stray.heldUntil(s.params)):
				s.clearStrayStart(it)
			case ended:
				s.resolveStrayStart(it)
			case it.phase == phasePending:
				s.reportStrayWait(it)
			}
		}
	}
}

// reportStrayWait lets the wait of a work item be logged, and its end be recorded, once.
func (s *Scheduler) reportStrayWait(it *item) {
	c := it.stray
	if !c.reported {
		c.reported = true
		s.strayWaits = append(s.strayWaits, StrayWait{it.id(), c.instance, c.heldUntil(s.params)})
	}
	if !c.holdRecorded {
		c.holdRecorded = true
		givenUp := c.givenUpAt()
		s.unansweredStarts = append(s.unansweredStarts, UnansweredStart{
			Item: it.id(), Instance: c.instance, Address: c.address, GivenUpAt: givenUp, Hold: c.heldUntil(s.params).Sub(givenUp),
		})
	}
}

// awaitsEnd reports whether work items wait for the instance, and its host refuses connections, so that
// more calls soon show that it has ended.
func (s *Scheduler) awaitsEnd(now time.Time, inst *instance) bool {
	return len(s.strayStarts[inst.ID]) > 0 && inst.refuses(now)
}

// keepRenewal updates when the lease of the instance was renewed, for its stray starts.
func (s *Scheduler) keepRenewal(inst *instance) {
	for it := range s.strayStarts[inst.ID] {
		if inst.renewedAt.After(it.stray.renewedAt) {
			it.stray.renewedAt = inst.renewedAt
		}
	}
}
