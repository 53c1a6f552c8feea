package galenajob

import (
	"slices"
	"time"

	"github.com/galenahead/galenahead"
)

// ActionKind is a kind of action.
type ActionKind string

// Kinds of actions.
const (
	ActStart  ActionKind = "start"
	ActStop   ActionKind = "stop"
	ActPace   ActionKind = "pace"
	ActAdvise ActionKind = "advise"
)

// Action is a command to an instance or an advice request to the advisor. The
// outcome of a start or stop command must be passed to HandleOutcome, and the
// response to an advice request to HandleAdvice.
type Action struct {
	Kind     ActionKind
	Instance Instance
	Fence    int64
	Item     ItemID
	Run      int64
	// Payload, Deadline, Checkpoint and Ticket are set for a start. Deadline is in
	// milliseconds of the instance's clock.
	Payload    string
	Deadline   int64
	Checkpoint string
	Ticket     string
	// Percent is set for a pace command: the share of its full speed at which the
	// run may work.
	Percent int
	// Candidates is set for an advice request.
	Candidates []galenahead.InstanceID
	// Reason, Waited and Free explain the decision in the log.
	Reason string
	Waited time.Duration
	Free   Resources
}

// reasonRepeated is the reason of a command that had no outcome and is sent again.
const reasonRepeated = "repeated"

// Repeated reports whether the command had no outcome and is sent again.
func (a *Action) Repeated() bool { return a.Reason == reasonRepeated }

// Plan applies timeouts, schedules work and returns the actions that result from
// this and from the events since the last call. now is on the monotonic clock,
// wall on the wall clock.
func (s *Scheduler) Plan(now, wall time.Time) []Action {
	s.wall = wall
	s.checkLiveness(now)
	s.endStrayStarts(now)
	s.releaseHeld(now)
	s.releaseReservations(now, nil)
	for _, inst := range s.sortedInstances() {
		s.evacuate(now, inst)
		s.resendCommands(now, inst)
	}
	s.countStarting(now)
	s.tooLarge = s.tooLarge[:0]
	if s.unreconciled == 0 {
		s.endAllExpectations()
	}
	s.planJobs(now, s.order.update(now))
	out := s.actions
	s.actions = nil
	return out
}

// planJobs starts work items of jobs in scheduling order.
func (s *Scheduler) planJobs(now time.Time, sorted []*job) {
	if s.ledger.Active() {
		s.planByShare(now, sorted)
		return
	}
	for _, j := range sorted {
		if s.StartsExhausted() {
			return
		}
		s.planJob(now, j)
	}
}

// maySchedule reports whether work items of the job may wait for an instance here.
func (s *Scheduler) maySchedule(j *job) bool {
	if j.inherited && s.unreconciled > 0 {
		return false // it may run on instances that are not reconciled
	}
	return !j.settled && !s.awaitsReassignment(j)
}

// planJob starts work items of a job.
func (s *Scheduler) planJob(now time.Time, j *job) {
	if s.hasNoRoom(j) || !s.maySchedule(j) {
		return
	}
	s.ready = s.readySets(j, s.ready[:0])
	settled := j.Spec.Repetitions == 0
	for _, set := range s.ready {
		if !s.StartsExhausted() {
			s.startItems(now, set)
		}
		settled = settled && set.pending() == 0
	}
	j.settled = settled
}

// maxPlanGap is the longest time between two plans, and much longer than usual, in which
// this process can have heard its instances.
const maxPlanGap = time.Second

// overdueFraction is the fraction of GoneAfter after which an idle instance is polled that has shown no
// sign of life. It is longer than the time between two heartbeats.
const overdueFraction = 3

// maxOverduePerPlan bounds the overdue instances that one plan finds: if no heartbeats arrive at all, polls
// of all idle instances would take the owner more than they tell.
const maxOverduePerPlan = 4

// checkLiveness gives up runs whose lease has expired, and finds instances that
// have shown no sign of life for GoneAfter. Time in which this process did not run, for
// example because it was suspended, does not count as their silence. An idle instance is polled
// long before it is given up, since a start that it does not answer delays its work item.
func (s *Scheduler) checkLiveness(now time.Time) {
	if now.Sub(s.checkedAt) > maxPlanGap {
		s.hearingSince = now
	}
	s.checkedAt = now
	for _, inst := range s.sortedInstances() {
		if inst.unreconciled && now.After(inst.reconciledBy) {
			s.markReconciled(inst)
		}
		if len(inst.items) > 0 && s.unresponsive(now, inst) && inst.leaseExpired(now) {
			s.abandonLostInstance(now, inst)
		}
		last := inst.heartbeatAt
		if inst.respondedAt.After(last) {
			last = inst.respondedAt
		}
		if s.hearingSince.After(last) {
			last = s.hearingSince
		}
		if len(s.overdue) < maxOverduePerPlan && inst.idle() && !inst.overdue && inst.unansweredSince.IsZero() && now.Sub(last) > s.params.GoneAfter/overdueFraction {
			inst.overdue = true
			s.overdue = append(s.overdue, inst.ID)
		}
		ends := inst.leaving || now.Sub(last) > s.params.GoneAfter && !s.awaitsEnd(now, inst)
		if ends && !inst.removing && (inst.leaving && inst.idle() || inst.leaseExpired(now) && !inst.unreconciled) {
			inst.removing = true
			s.gone = append(s.gone, inst.ID)
		}
	}
}

// abandonLostInstance gives up the runs of an instance that does not respond, after its
// lease has expired.
func (s *Scheduler) abandonLostInstance(now time.Time, inst *instance) {
	var crashes []Crash
	for _, it := range inst.sortedItems() {
		if it.phase == phaseStale || it.endUnrecorded {
			continue
		}
		crashes = append(crashes, s.noteLoss(now, inst, it)...)
		s.abandonRun(now, it)
	}
	s.noteLostInstance(now, inst, crashes)
}

// resendCommands repeats start and stop commands without a result. A start is stopped in
// place of repeated on an instance that leaves, or if repeats have given no certainty for
// the time of a lease, so that no more attempts prolong the uncertainty.
func (s *Scheduler) resendCommands(now time.Time, inst *instance) {
	if s.unresponsive(now, inst) {
		return
	}
	if inst.unconfirmed == 0 {
		return
	}
	for _, it := range inst.sortedItems() {
		if !it.resendDue(now) {
			continue
		}
		switch it.phase {
		case phaseStarting:
			leaves := inst.Draining || inst.evacuating
			uncertain := !it.uncertainSince.IsZero() && now.Sub(it.uncertainSince) > s.params.Lease
			switch {
			case !leaves && !uncertain:
				s.emitStart(now, it, reasonRepeated)
			case !s.mayEnd(now, it):
				// The polls show whether it is at work.
			case leaves:
				s.evict(now, it, "instance leaves")
			default:
				it.failedOn = inst.ID
				s.evict(now, it, "start without certainty")
			}
		case phaseStopping:
			if s.mayStopNow(now, it) {
				s.emitStop(now, it, reasonRepeated)
			}
		}
	}
}

// mayStopNow reports whether the stop of a work item may be sent again. One that its step's
// limit allowed may still be at work while others have become unavailable since.
func (s *Scheduler) mayStopNow(now time.Time, it *item) bool {
	return !it.evicted || it.set.job.final || s.mayEnd(now, it)
}

// limited reports whether the step's limit of unavailable work items applies to the end of
// the work item's run. On a draining instance it ends in any case.
func (it *item) limited() bool {
	step := it.set.step
	return step.LongRunning && step.MaxUnavailable > 0 && !it.instance.Draining
}

// mayEnd reports whether the run of a work item may be stopped as far as its step's limit
// goes. One whose start got no answer may be at work.
func (s *Scheduler) mayEnd(now time.Time, it *item) bool { return !it.limited() || s.mayEvict(now, it) }

// evict stops the run of a work item, whose end the step's limit allows now.
func (s *Scheduler) evict(now time.Time, it *item, reason string) {
	it.evicted = it.limited()
	s.stop(now, it, reason)
}

// countStarting counts the starts that count against MaxStarting.
func (s *Scheduler) countStarting(now time.Time) {
	s.firstStarts = slices.DeleteFunc(s.firstStarts, func(it *item) bool {
		it.inFirstStarts = s.startPending(now, it)
		if it.phase == phaseStarting && it.inFlight && it.startsSent == 1 && !it.inFirstStarts {
			s.reportUnansweredStart(now, it) // the owner may be gone before the call ends
		}
		return !it.inFirstStarts
	})
	s.starting = len(s.firstStarts)
}

// startPending reports whether the item's start counts against MaxStarting. A repeated
// start, or one whose result is late, waits for an instance that is probably gone, and
// takes the owner nothing meanwhile.
func (s *Scheduler) startPending(now time.Time, it *item) bool {
	return it.phase == phaseStarting && it.inFlight && it.startsSent == 1 && now.Before(it.notBefore)
}

// resendDue reports whether the item's last command has no result and is to be sent
// again.
func (it *item) resendDue(now time.Time) bool {
	return (it.phase == phaseStarting || it.phase == phaseStopping) && !it.inFlight && !now.Before(it.notBefore)
}

// evacuate stops runs on a draining or evacuating instance, as far as their steps
// allow, so that their work items restart elsewhere.
func (s *Scheduler) evacuate(now time.Time, inst *instance) {
	if !inst.Draining && !inst.evacuating {
		return
	}
	for _, it := range inst.sortedItems() {
		if it.phase != phaseRunning || it.endUnrecorded {
			continue
		}
		step := it.set.step
		switch {
		case inst.leaving:
			s.stop(now, it, "instance leaves")
		case step.LongRunning:
			if inst.vacating() && (!it.limited() || !s.mayRestart(it)) {
				continue
			}
			if s.mayEnd(now, it) {
				s.evict(now, it, "instance leaves")
			}
		case inst.Draining && step.Checkpointing && now.Sub(inst.drainingSince) > s.params.DrainGracePeriod/2:
			s.stop(now, it, "instance leaves")
		case inst.evacuating && !inst.Draining && !inst.vacating() && now.After(inst.evacuation.deadline):
			s.stop(now, it, "instance leaves")
		}
	}
}

// vacating reports whether the instance is emptied only because another pool wants its
// machine.
func (inst *instance) vacating() bool {
	return inst.evacuating && inst.evacuation.vacating && !inst.Draining
}

// mayEvict reports whether the step's limit of unavailable work items allows the
// work item to stop, and another instance can run it. If only room is missing, it reserves
// some.
func (s *Scheduler) mayEvict(now time.Time, it *item) bool {
	unavailable := it.set.unavailable(now) + it.set.leaving(now)
	if !it.serving(now) {
		// The work item may still serve, so that it does not count as unavailable.
		unavailable--
	}
	if unavailable >= it.set.step.MaxUnavailable {
		return false
	}
	for _, inst := range s.instances {
		if inst != it.instance && s.canStart(inst, it) {
			return true
		}
	}
	s.reserveFor(now, it)
	return false
}

// readySets appends the item sets of due occurrences whose dependencies are done to ready.
func (s *Scheduler) readySets(j *job, ready []*itemSet) []*itemSet {
	j.closeOver()
	s.openDue(j)
	for _, k := range j.openAndDue() {
		for _, set := range j.sets[k] {
			if set.itemsLeft > 0 && set.dependenciesDone() {
				ready = append(ready, set)
			}
		}
	}
	return ready
}

// startItems starts pending work items of the set while an instance can take
// them.
func (s *Scheduler) startItems(now time.Time, set *itemSet) {
	if set.job.queue.RequiresAdvice {
		s.startAdvisedItems(now, set)
		return
	}
	s.placeItems(now, set)
}

// placeItems starts pending work items of the set on instances that it may use.
func (s *Scheduler) placeItems(now time.Time, set *itemSet) {
	if set.step.Gang {
		s.startGang(now, set)
		return
	}
	full := false
	for i := range set.items {
		it := &set.items[i]
		if it.done || it.phase != phasePending || it.unrecordedEnds > 0 || now.Before(it.notBefore) || it.attemptsExhausted() || it.stray != nil {
			continue
		}
		if s.StartsExhausted() {
			return
		}
		// What has no room for others may be kept free for a suspect.
		full = full || s.isTooLarge(set)
		switch {
		case full && set.suspects == 0:
			return
		case full && !it.suspect():
			continue
		case !s.mayTake(it):
			return
		}
		inst := s.chooseInstance(now, it)
		switch {
		case inst == nil && it.suspect():
			s.holdForSuspect(now, it)
			continue
		case inst == nil:
			if set.step.LongRunning {
				s.reserveFor(now, it)
			}
			s.recordTooLarge(set)
			full = true
			continue
		case inst == s.held:
			s.endHold()
		}
		if !s.take(it) {
			return
		}
		if set.step.LongRunning {
			s.useReservation(set.job, inst)
		}
		s.startItem(now, it, inst, s.nextRun(it.lastRun()))
	}
}

// recordTooLarge records that no instance has room for the set's work items, if room
// is all that they need. It holds for the current plan, in which no room becomes
// free.
func (s *Scheduler) recordTooLarge(set *itemSet) {
	if set.startableAnywhere() {
		s.tooLarge = append(s.tooLarge, set.step.reservation())
	}
}

// hasNoRoom reports whether no instance has room for any work item of the job, as far as
// smaller ones have shown in the current plan. With a long backlog that is most of what a
// plan needs to know.
func (s *Scheduler) hasNoRoom(j *job) bool {
	// A suspect may have an instance kept free, a recurring job gets due, and advice is
	// requested before there is room.
	return j.suspects == 0 && j.Spec.Repetitions == 0 && !j.queue.RequiresAdvice && s.lacksRoomFor(j.smallest)
}

// isTooLarge reports whether no instance has room for the set's work items, as far as
// smaller ones have shown in the current plan.
func (s *Scheduler) isTooLarge(set *itemSet) bool { return s.lacksRoomFor(set.step.reservation()) }

func (s *Scheduler) lacksRoomFor(need Resources) bool {
	return slices.ContainsFunc(s.tooLarge, func(r Resources) bool { return need.Covers(r) })
}

// startGang starts all members of a gang together, or none.
func (s *Scheduler) startGang(now time.Time, set *itemSet) {
	run, checkpoint := int64(0), ""
	for i := range set.items {
		it := &set.items[i]
		if it.done || it.phase != phasePending || it.unrecordedEnds > 0 || now.Before(it.notBefore) || it.attemptsExhausted() || it.stray != nil {
			return
		}
		run = max(run, it.lastRun())
		if it.checkpoint != "" {
			checkpoint = it.checkpoint
		}
	}
	run = s.nextRun(run)
	var earlier []int64
	for i := range set.items {
		it := &set.items[i]
		inst := s.chooseInstance(now, it)
		if inst == nil || !s.take(it) {
			if inst == nil && it.suspect() {
				s.holdForSuspect(now, it)
			}
			for k, r := range earlier {
				set.items[k].release(now)
				set.items[k].run = r
			}
			return
		}
		earlier = append(earlier, it.run)
		inst.place(it, run)
		it.setPhase(phaseStarting)
	}
	for i := range set.items {
		it := &set.items[i]
		it.checkpoint = checkpoint
		s.emitStart(now, it, "gang complete")
	}
}

func (it *item) attemptsExhausted() bool {
	return !it.set.step.LongRunning && it.failures >= max(1, it.set.job.MaxAttempts)
}

// lastRun returns the highest run number that was used.
func (it *item) lastRun() int64 { return max(it.run, it.sentRun) }

func (s *Scheduler) nextRun(last int64) int64 { return max(last, s.epoch*runsPerEpoch) + 1 }

// startItem starts a run of the work item on the instance.
func (s *Scheduler) startItem(now time.Time, it *item, inst *instance, run int64) {
	inst.place(it, run)
	it.setPhase(phaseStarting)
	s.emitStart(now, it, "room")
}

func (s *Scheduler) emitStart(now time.Time, it *item, reason string) {
	inst := it.instance
	it.inFlight, it.sentRun = true, max(it.sentRun, it.run)
	it.startsSent++
	if it.startsSent == 1 {
		s.noteTrial(now, inst)
		s.starting++
		if !it.inFirstStarts {
			it.inFirstStarts = true
			s.firstStarts = append(s.firstStarts, it)
		}
		step := it.set.step
		s.startRate.add(now, step.Need.MilliCPU*step.Estimate.Milliseconds()/1000)
	}
	it.notBefore = now.Add(s.params.ResendInterval)
	it.startDeadline = inst.extendDeadline(now, s.params.Lease)
	a := Action{
		Kind: ActStart, Instance: inst.Instance, Fence: inst.fence, Item: it.id(), Run: it.run,
		Payload: it.set.job.Spec.Payload, Deadline: it.startDeadline,
		Reason: reason, Waited: now.Sub(it.set.job.acceptedAt), Free: inst.free(),
	}
	if it.set.step.Checkpointing {
		a.Checkpoint = it.checkpoint
	}
	if t, ok := it.set.tickets[inst.ID]; ok {
		a.Ticket = t.text
	}
	s.actions = append(s.actions, a)
}
