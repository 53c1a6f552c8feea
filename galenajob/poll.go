package galenajob

import (
	"time"

	"github.com/galenahead/galenahead"
)

// PollRequest is a poll of an instance: it renews the lease of the instance and
// asks for its runs and ends.
type PollRequest struct {
	Instance Instance
	Fence    int64
	Cursor   int64
	// Deadline is the end of the renewed lease on the instance's clock. Zero does
	// not renew the lease.
	Deadline int64
	// MayWait allows the instance to delay the response until a run ends.
	MayWait bool
}

// NextPoll returns the next poll of an instance, and false when none is needed.
func (s *Scheduler) NextPoll(now time.Time, id galenahead.InstanceID) (PollRequest, bool) {
	inst := s.instances[id]
	if inst == nil || inst.removing || !inst.needsPoll() {
		return PollRequest{}, false
	}
	inst.pollOpen = false
	req := PollRequest{Instance: inst.Instance, Fence: inst.fence, Cursor: inst.cursor}
	if inst.ackedSeq >= inst.cursor || !inst.unansweredSince.IsZero() {
		// A later incarnation may execute the poll, whose ends begin at 1 again.
		req.Cursor = 0
	}
	if !inst.fenceConfirmed || len(inst.items) == 0 {
		return req, true
	}
	// After a call without a response, the answer to the next one matters more than
	// what it says, since the lease is not renewed before.
	req.MayWait = inst.unansweredSince.IsZero() && !inst.unreconciled && !inst.awaitsProbation()
	if !s.unresponsive(now, inst) && !inst.leaving {
		req.Deadline = inst.extendDeadline(now, s.params.Lease)
	}
	inst.pollOpen = req.Deadline > 0
	return req, true
}

// needsPoll reports whether the scheduler needs a response of the instance. One that has
// left a call unanswered gets no work before its next response, so that it is polled even
// if it has no work.
func (inst *instance) needsPoll() bool {
	return !inst.fenceConfirmed || inst.unreconciled || len(inst.items) > 0 || inst.ackedSeq < inst.seenSeq || !inst.unansweredSince.IsZero() || inst.overdue
}

// PollPause returns how long another poll of the instance would be of no use: one that
// may still be stopping runs of an earlier owner is polled again when it has done so.
func (s *Scheduler) PollPause(now time.Time, id galenahead.InstanceID) time.Duration {
	inst := s.instances[id]
	if inst == nil || !inst.unreconciled || !inst.fenceConfirmed {
		return 0
	}
	if len(inst.items) > 0 && inst.maxDeadline == 0 {
		return 0 // the lease is not renewed yet
	}
	return max(0, inst.fencedAt.Add(s.params.StopTimeout).Sub(now))
}

// PollResponse is the response to a poll.
type PollResponse struct {
	Fence int64
	Clock int64
	Born  int64
	// Cursor is the cursor of the poll, and Deadline its deadline.
	Cursor, Deadline int64
	// Sent is when the poll was sent.
	Sent time.Time
	Runs []Run
	Ends []End
	// More is set when the instance has more ends than the response lists.
	More bool
}

// HandlePoll handles the response to a poll. It returns the ends that must be
// recorded durably and then passed to ConfirmRecorded. Until then the cursor stays
// before them, so that the instance keeps them.
func (s *Scheduler) HandlePoll(now time.Time, id galenahead.InstanceID, resp PollResponse) []End {
	inst := s.instances[id]
	if inst == nil || inst.removing {
		return nil
	}
	isLater := resp.Born != 0 && inst.Born != 0 && resp.Born != inst.Born
	if resp.Fence != inst.fence {
		if resp.Deadline > 0 && resp.Born != 0 && resp.Born < inst.Born {
			inst.endStrayCall() // an earlier incarnation has answered it
		}
		return nil
	}
	if isLater {
		s.beginIncarnation(now, inst, resp.Born)
		inst.updateClock(now, resp.Clock)
		return nil
	}
	inst.pollOpen = false
	s.noteResponse(now, inst, resp.Clock)
	// Before all ends of an inherited instance are read, it gets no work and no lease, so that
	// what runs there ends by reconciledBy.
	inst.fenceConfirmed = inst.fenceConfirmed || !inst.unreconciled || !resp.More
	if inst.fencedAt.IsZero() {
		s.confirmFence(now, inst)
		s.endStrayStartsAt(inst, resp.Sent)
	}
	inst.ackedSeq = max(inst.ackedSeq, resp.Cursor)
	inst.grantedUntil = max(inst.grantedUntil, resp.Deadline)
	toRecord := s.processEnds(now, inst, resp.Ends)
	s.reconcileRuns(now, inst, resp)
	if !resp.More {
		s.answerStrayStarts(inst, resp.Sent)
	}
	if inst.unreconciled && !resp.More && !resp.Sent.Before(inst.fencedAt.Add(s.params.StopTimeout)) {
		// All runs that an earlier owner started here are adopted now, their ends are
		// known, and the fencing token keeps out its delayed commands. Its last stops,
		// whose runs may be missing from the list, have ended.
		s.markReconciled(inst)
	}
	s.adjustPace(now, inst)
	return toRecord
}

// noteResponse records that the instance has responded.
func (s *Scheduler) noteResponse(now time.Time, inst *instance, clock int64) {
	inst.respondedAt, inst.unansweredSince, inst.addressReused = now, time.Time{}, false
	inst.refusedSince, inst.overdue = time.Time{}, false
	delete(s.lost, inst.ID) // it was only out of reach
	inst.updateClock(now, clock)
}

// processEnds handles the ends that were not received before, and returns those
// that must be recorded.
func (s *Scheduler) processEnds(now time.Time, inst *instance, ends []End) []End {
	var toRecord []End
	for _, e := range ends {
		if e.Sequence <= inst.seenSeq {
			continue
		}
		inst.seenSeq = e.Sequence
		it := s.findItem(inst, e.Item)
		ours := it != nil && it.instance == inst && it.run == e.Number
		hasResult := e.Reason == EndDone || e.Reason == EndFailed
		if hasResult && !ours {
			s.noteLateRun(inst, e.Item, e.Number, e.Reason)
		}
		if e.Reason == EndLeaseExpired {
			s.noteLapsedRun(inst, e, it)
		}
		if it == nil {
			continue
		}
		s.noteExecuted(it, e.Number)
		if hasResult {
			// No other run may start until all ends are recorded, even when a previous
			// owner started this one.
			it.unrecordedEnds++
			it.endUnrecorded = it.endUnrecorded || ours
			it.run = max(it.run, e.Number)
			toRecord = append(toRecord, e)
			continue
		}
		if ours {
			s.handleEndWithoutResult(now, it, e)
		}
	}
	if len(toRecord) == 0 && !inst.recording {
		inst.cursor = inst.seenSeq
	}
	inst.recording = inst.recording || len(toRecord) > 0
	return toRecord
}

func (s *Scheduler) handleEndWithoutResult(now time.Time, it *item, e End) {
	if e.Checkpoint != "" && it.set.step.Checkpointing {
		it.checkpoint = e.Checkpoint
	}
	s.abandonRun(now, it)
}

// findItem returns a work item of an active job, or one of a final job that
// still occupies the instance, or nil.
func (s *Scheduler) findItem(inst *instance, id ItemID) *item {
	if it := inst.items[id]; it != nil {
		return it
	}
	return s.activeItem(id)
}

// activeItem returns a work item of an active job, or nil.
func (s *Scheduler) activeItem(id ItemID) *item {
	if j := s.jobs[id.Job]; j != nil {
		return j.item(id.Item)
	}
	return nil
}

// reconcileRuns compares the listed runs with those that the scheduler expects
// on the instance. It adopts unknown runs of pending work items, stops other
// unexpected runs, and gives up runs that are no longer listed.
func (s *Scheduler) reconcileRuns(now time.Time, inst *instance, resp PollResponse) {
	listedItems := make(map[ItemID]bool, len(resp.Runs))
	var strays []stray
	for _, r := range resp.Runs {
		it := s.findItem(inst, r.Item)
		if it != nil && it.instance == inst && it.run == r.Number {
			listedItems[r.Item] = true
			s.confirm(now, it, r)
			if it.phase == phaseRunning && (it.set.job.final || (it.done && !it.set.step.Gang)) {
				s.stop(now, it, "unexpected run")
			}
			continue
		}
		s.noteLateRun(inst, r.Item, r.Number, "")
		if it != nil && it.instance == inst && it.phase == phaseStale {
			s.abandonRun(now, it) // this incarnation has executed another start of the work item
		}
		if it != nil && it.mayAdopt(r.Number) {
			s.adopt(now, inst, it, r)
			listedItems[r.Item] = true
			continue
		}
		if it != nil {
			strays = append(strays, stray{it.set.job.Account, it.set.step.Need})
		}
		s.actions = append(s.actions, Action{
			Kind: ActStop, Instance: inst.Instance, Fence: inst.fence, Item: r.Item, Run: r.Number, Reason: "unexpected run",
		})
	}
	s.setStrays(inst, strays)
	for id, it := range inst.items {
		if listedItems[id] || it.endUnrecorded || resp.More {
			continue
		}
		missing := !it.confirmed.IsZero() && it.confirmed.Before(resp.Sent)
		if missing || it.phase == phaseStale || it.startExpired(resp.Clock, s.params.StopTimeout) {
			s.abandonRun(now, it)
		}
	}
}

// startExpired reports whether no attempt to start the run can be executed any more,
// because the instance, at a reading of its clock, does not list the run after the
// deadlines of all attempts without a response. A run that is being stopped may be
// missing from the list for stopTimeout before its end is listed.
func (it *item) startExpired(clock int64, stopTimeout time.Duration) bool {
	if it.unansweredUntil == 0 || clock <= it.unansweredUntil || (it.phase == phaseStarting && it.inFlight) {
		return false
	}
	if it.absentClock == 0 {
		it.absentClock = clock
	}
	return it.phase == phaseStarting || clock > it.absentClock+stopTimeout.Milliseconds()
}

// confirm updates a work item from its listed run.
func (s *Scheduler) confirm(now time.Time, it *item, r Run) {
	if it.phase == phaseStarting || it.phase == phaseStale {
		it.confirmRunning(now)
	}
	it.unansweredUntil = 0
	s.noteExecuted(it, r.Number)
	s.endProbation(it)
	it.set.job.started = true
	it.percent, it.usage = r.Percent, r.Usage
	if r.Checkpoint != "" && it.set.step.Checkpointing {
		it.checkpoint = r.Checkpoint
	}
}

// mayAdopt reports whether a listed run of the work item is its present one. While ends are
// being recorded, that is only a run after all of them.
func (it *item) mayAdopt(run int64) bool {
	return it.instance == nil && !it.done && !it.set.job.final && (it.unrecordedEnds == 0 || run > it.run)
}

// adopt assigns a listed run to a pending work item. An earlier owner or a
// delayed command has started it.
func (s *Scheduler) adopt(now time.Time, inst *instance, it *item, r Run) {
	s.noteExecuted(it, r.Number)
	inst.place(it, r.Number)
	s.charge(it)
	it.ageUnknown = true
	it.confirmRunning(now)
	s.confirm(now, it, r)
}

// ConfirmRecorded confirms that ends from a poll of the instance are durable, and
// moves the cursor past them. newlyRecorded reports for each of them whether it was
// not recorded before.
func (s *Scheduler) ConfirmRecorded(now time.Time, id galenahead.InstanceID, born int64, ends []End, newlyRecorded []bool) {
	inst := s.instances[id]
	for i, e := range ends {
		s.applyRecordedEnd(now, inst, e, newlyRecorded[i])
	}
	if inst != nil && inst.Born == born && len(ends) > 0 {
		inst.recording = false
		inst.cursor = max(inst.cursor, ends[len(ends)-1].Sequence)
	}
}

// applyRecordedEnd updates the schedule by an end that is now durable.
func (s *Scheduler) applyRecordedEnd(now time.Time, inst *instance, e End, newlyRecorded bool) {
	var it *item
	if inst != nil {
		it = inst.items[e.Item]
	}
	if it == nil {
		if j := s.jobs[e.Item.Job]; j != nil {
			it = j.item(e.Item.Item)
		}
	}
	if it == nil {
		return
	}
	it.unrecordedEnds--
	if it.instance != nil && it.instance.ID == instanceID(inst) && it.run == e.Number {
		s.abandonRun(now, it)
	}
	switch {
	case !newlyRecorded:
	case e.Reason == EndDone:
		s.itemDone(now, inst, it, e.Number)
	default:
		s.itemFailed(now, inst, it)
	}
}

func instanceID(inst *instance) galenahead.InstanceID {
	if inst == nil {
		return ""
	}
	return inst.ID
}

// itemDone handles the recorded end of a run that is done.
func (s *Scheduler) itemDone(now time.Time, inst *instance, it *item, run int64) {
	if inst != nil {
		inst.endSuspicion()
	}
	if it.set.step.LongRunning {
		return
	}
	members := []*item{it}
	if it.set.step.Gang {
		members = members[:0]
		for i := range it.set.items {
			members = append(members, &it.set.items[i])
		}
	}
	for _, m := range members {
		if m.done {
			continue
		}
		m.done = true
		m.set.itemsLeft--
		m.set.job.estimates.valid, m.set.job.settled = false, false
		s.order.touch(m.set.job)
		// The other members of the same run of a gang end by themselves.
		if m.instance != nil && m.phase != phaseStopping && (!m.set.step.Gang || m.run != run) {
			s.stop(now, m, "another run is done")
		}
	}
}

func (s *Scheduler) itemFailed(now time.Time, inst *instance, it *item) {
	it.failures++
	it.notBefore = now.Add(s.params.RestartDelay)
	if inst == nil {
		return
	}
	it.failedOn = inst.ID
	if !it.set.step.LongRunning {
		s.noteFailure(now, inst, it.set)
	}
}
