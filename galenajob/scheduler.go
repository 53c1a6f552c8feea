package galenajob

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenaaccount"
)

// Params are the timeouts of a Scheduler. All but MaxLease must be set.
type Params struct {
	// Lease is how long an instance may run work after a start command or a poll
	// before the lease must be renewed.
	Lease time.Duration
	// MaxLease is the longest lease that an instance grants. It shortens a longer one, as one
	// that was meant for an earlier incarnation, on whose clock its end was. Zero means that
	// no incarnation takes the lease of another.
	MaxLease time.Duration
	// UnresponsiveAfter is how long an instance may leave calls unanswered before its
	// lease is no longer renewed and commands to it are no longer repeated.
	UnresponsiveAfter time.Duration
	// ResendInterval is the delay before a command without a result is repeated.
	ResendInterval time.Duration
	// SuspectTime is how long an instance gets no work after runs of several jobs have failed
	// there. With each further job, the time doubles in which it gets only work for which no other
	// instance has room.
	SuspectTime time.Duration
	// RestartDelay is the delay before a failed work item starts again.
	RestartDelay time.Duration
	// DrainGracePeriod is how long runs on an instance that is evacuated may continue
	// before they are stopped. Checkpointing runs on a draining instance are
	// stopped after half of it.
	DrainGracePeriod time.Duration
	// GoneAfter is how long an instance may show no sign of life before it is
	// given up, once its lease has expired.
	GoneAfter time.Duration
	// StopTimeout is the longest time that an instance takes to stop a run.
	StopTimeout time.Duration
	// AdviceTimeout is the delay before an advice request without a response is
	// repeated.
	AdviceTimeout time.Duration
	// MaxStarting bounds the start commands that wait for a result, so that the owner
	// has no more work under way than it can finish soon. A command without a result
	// for ResendInterval no longer counts, nor do repeated ones, so that silent
	// instances do not block the others. A gang may exceed the bound. Zero means no
	// bound.
	MaxStarting int
}

// runsPerEpoch separates the run numbers of successive owners, so that a new
// owner need not know the last run number of the previous one.
const runsPerEpoch = 1000

// incarnationsPerEpoch bounds the incarnations of one instance for which one owner
// can issue fencing tokens.
const incarnationsPerEpoch = 1000

// Fences issues the fencing tokens of one owner. The schedulers of all its services
// share it, since an instance may return under its ID to the same or another service:
// a delayed command to its earlier life must not carry the token of the present one.
// The zero value is ready to use.
type Fences struct {
	mu   sync.Mutex
	last map[galenahead.InstanceID]int64
	// openCallAt holds when instances were removed while a call to them was open.
	openCallAt map[galenahead.InstanceID]time.Time
}

// next returns a token that is higher than all that were issued for the instance, and
// at least lowest.
func (f *Fences) next(id galenahead.InstanceID, lowest int64) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.last == nil {
		f.last = map[galenahead.InstanceID]int64{}
	}
	token := max(lowest, f.last[id]+1)
	f.last[id] = token
	return token
}

// Scheduler schedules the jobs of one service. It is not safe for concurrent
// use. All times are on one monotonic clock, except for the start times of
// recurring jobs.
type Scheduler struct {
	Service galenahead.ServiceName
	fences  *Fences
	// ledger counts what client accounts may have running. It may be nil.
	ledger *galenaaccount.Ledger
	// overlaps bounds the occurrences of recurring jobs that overlap. It may be nil.
	overlaps Overlaps
	params   Params
	epoch    int64

	queues map[string]Queue
	jobs   map[galenahead.JobID]*job
	// misplaced holds the jobs whose queue another service runs now.
	misplaced map[galenahead.JobID]*job
	order     jobOrder
	instances map[galenahead.InstanceID]*instance
	// sorted holds the instances in the order of their IDs, or nil after a change.
	sorted  []*instance
	actions []Action
	gone    []galenahead.InstanceID
	// overdue is what TakeOverdue returns next.
	overdue  []galenahead.InstanceID
	lateRuns []LateRun
	// lost holds the instances that were lost under runs on probation, and crashes what
	// TakeCrashes returns next.
	lost    map[galenahead.InstanceID]lostInstance
	crashes []Crash
	// fenced is what TakeFenced returns next.
	fenced []FencedIncarnation
	// strayStarts holds the work items with stray starts by instance, as of strayCheckedAt.
	strayStarts    map[galenahead.InstanceID]map[*item]struct{}
	strayCheckedAt time.Time
	// unansweredStarts is what TakeUnansweredStarts returns next, and strayWaits what
	// TakeStrayWaits does.
	unansweredStarts []UnansweredStart
	strayWaits       []StrayWait
	// clearances is what TakeClearances returns next.
	clearances []Clearance
	// held is the instance that is kept free for a suspect until heldUntil, or nil.
	held      *instance
	heldUntil time.Time
	// checkedAt is the time of the last plan, and hearingSince when this process began to hear
	// its instances, or again after a gap.
	checkedAt, hearingSince time.Time
	// limits is what Admit counts on, or nil. turnedAway is what it has rejected, by account.
	limits     *PoolLimits
	startRate  startRate
	turnedAway map[galenahead.AccountName]turnedAway
	// turns is a buffer for the order of accounts, and expecting holds the jobs of which an
	// earlier owner may have started work items that were not found yet.
	turns     accountTurns
	expecting []*job
	// reservations are the instances that are kept free for long-running work.
	reservations []reservation
	// suspicions holds what TakeSuspicions returns next.
	suspicions []Suspicion
	// lapsedRuns holds what TakeLapsedRuns returns next.
	lapsedRuns []LapsedRun
	// evacuations holds the evacuation deadlines of the instances that are evacuated.
	// It includes instances that are not registered, so that one that registers
	// again gets no work before its planned move or maintenance.
	evacuations map[galenahead.InstanceID]evacuation
	// starting counts the work items whose start counts against MaxStarting, as of the
	// current plan.
	starting int
	// firstStarts holds the work items whose first start command was sent without a result
	// so far, and some others.
	firstStarts []*item
	// ready is a buffer for the item sets of one job.
	ready []*itemSet
	// tooLarge holds reservations for which the current plan has found no room.
	tooLarge []Resources
	// unreconciled counts the instances that may still run work of a previous
	// owner.
	unreconciled int
	wall         time.Time
	// arrivals holds the jobs accepted within the longest of arrivalWindows, oldest
	// first.
	arrivals []arrival
}

// NewScheduler returns a scheduler for the owner of the given epoch, whose other
// schedulers use the same fences.
func NewScheduler(service galenahead.ServiceName, epoch uint64, p Params, fences *Fences) *Scheduler {
	return &Scheduler{
		Service: service, fences: fences, params: p, epoch: int64(epoch),
		queues:      map[string]Queue{},
		jobs:        map[galenahead.JobID]*job{},
		misplaced:   map[galenahead.JobID]*job{},
		instances:   map[galenahead.InstanceID]*instance{},
		evacuations: map[galenahead.InstanceID]evacuation{},
		lost:        map[galenahead.InstanceID]lostInstance{},
		strayStarts: map[galenahead.InstanceID]map[*item]struct{}{},
	}
}

// SetQueue sets the configuration of a queue.
func (s *Scheduler) SetQueue(q Queue) { s.SetQueues([]Queue{q}) }

// SetQueues sets the configurations of queues. Others stay as they are.
func (s *Scheduler) SetQueues(queues []Queue) {
	for _, q := range queues {
		s.queues[q.Name] = q
	}
	for _, j := range s.jobs {
		if q, ok := s.queues[j.Queue]; ok {
			j.queue, j.estimates.valid = q, false
			s.order.touch(j)
			s.notePlacement(j)
		}
	}
}

// AddJob adds a job that is not final and was accepted age ago. inherited marks a
// job that an earlier owner may have started.
func (s *Scheduler) AddJob(now time.Time, record *Job, age time.Duration, inherited bool) {
	j := s.addJob(record, now.Add(-age))
	if j == nil {
		return
	}
	j.inherited = inherited
	if inherited {
		s.inheritStrayStarts(now, j)
		s.expectRuns(j, record.Accepted.Add(age))
	}
	if !inherited && !j.longRunning {
		s.arrivals = append(s.arrivals, arrival{now, j.remainingWork()})
	}
}

// addJob adds a job, or returns nil if the scheduler has it.
func (s *Scheduler) addJob(record *Job, acceptedAt time.Time) *job {
	if _, ok := s.jobs[record.ID]; ok {
		return nil
	}
	j := &job{
		Job: record, queue: s.queues[record.Queue], sets: map[int][]*itemSet{}, acceptedAt: acceptedAt,
		started: len(record.Items) > 0 || !record.Over.Empty(),
		ledger:  s.ledger, criticalPath: criticalPath(&record.Spec), smallest: smallestNeed(&record.Spec), longRunning: record.Spec.LongRunning(),
	}
	s.jobs[record.ID] = j
	s.order.touch(j)
	s.notePlacement(j)
	return j
}

// AddInheritedInstance adds an instance on which an earlier owner may have started
// work. The leases of that owner have expired by reconciledBy.
func (s *Scheduler) AddInheritedInstance(now time.Time, in Instance, reconciledBy time.Time) {
	inst := s.addInstance(now, in)
	if inst.unreconciled {
		return
	}
	inst.unreconciled, inst.reconciledBy = true, reconciledBy
	inst.heldUntil, inst.inheritedAt = reconciledBy, now
	s.unreconciled++
}

// AddInstance adds an instance or updates its attributes. The registration must
// be durable before the call.
func (s *Scheduler) AddInstance(now time.Time, in Instance) {
	inst := s.addInstance(now, in)
	inst.heartbeatAt = now
	if in.Draining && inst.drainingSince.IsZero() {
		inst.drainingSince = now
	}
}

// IsLaterIncarnation reports whether the scheduler knows another incarnation of the instance.
func (s *Scheduler) IsLaterIncarnation(in Instance) bool {
	inst := s.instances[in.ID]
	return inst != nil && inst.Born != in.Born
}

func (s *Scheduler) addInstance(now time.Time, in Instance) *instance {
	inst, ok := s.instances[in.ID]
	if !ok {
		inst = &instance{
			Instance: in, fence: s.fences.next(in.ID, s.epoch*incarnationsPerEpoch), items: map[ItemID]*item{},
			clockAt: now, respondedAt: now, heartbeatAt: now, idleSince: now,
		}
		if at := s.fences.takeOpenCall(in.ID); !at.IsZero() && now.Sub(at) < callMemory {
			s.expectStrayCalls(now, inst, 1)
			inst.followsAnother = true
		}
		s.noteReturn(now, in)
		s.ledger.AddCapacity(in.Capacity)
		inst.evacuation, inst.evacuating = s.evacuations[in.ID]
		s.instances[in.ID] = inst
		s.sorted = nil
		return inst
	}
	if s.IsLaterIncarnation(in) {
		s.beginIncarnation(now, inst, in.Born)
	}
	draining := inst.Draining && in.Born == inst.Born
	s.ledger.AddCapacity(in.Capacity.Sub(inst.Capacity))
	inst.Instance = in
	inst.Draining = in.Draining || draining
	return inst
}

// beginIncarnation handles the restart of an instance. Its runs are gone, but a
// delayed command to the earlier incarnation could still reach the new one. The
// higher fencing token keeps it out.
func (s *Scheduler) beginIncarnation(now time.Time, inst *instance, born int64) {
	inst.Born = born
	s.beginStrayCalls(now, inst)
	inst.fence = s.fences.next(inst.ID, inst.fence)
	inst.fenceConfirmed, inst.fencedAt = false, time.Time{}
	inst.Draining, inst.drainingSince, inst.leaving = false, time.Time{}, false
	inst.earlierClock = inst.estimatedClock(now)
	inst.clock, inst.clockAt, inst.maxDeadline, inst.grantedUntil = 0, now, 0, 0
	inst.seenSeq, inst.cursor, inst.ackedSeq, inst.recording = 0, 0, 0, false
	inst.lateRuns, inst.addressReused = nil, false
	s.setStrays(inst, nil)
	s.noteReturn(now, inst.Instance)
	for _, it := range inst.sortedItems() {
		s.crashes = append(s.crashes, s.noteLoss(now, inst, it)...)
		s.noteStartInFlight(now, it)
		it.setPhase(phaseStale)
		it.inFlight = false
		it.pace, it.pacing = 100, paceState{}
	}
}

// Heartbeat records a heartbeat of an instance with a reading of its clock, and
// reports whether the scheduler knows the instance.
func (s *Scheduler) Heartbeat(now time.Time, id galenahead.InstanceID, clock int64) (known bool) {
	inst := s.instances[id]
	if inst == nil {
		return false
	}
	inst.heartbeatAt = now
	inst.updateClock(now, clock)
	return true
}

// Drain marks an instance as draining. It gets no new work.
func (s *Scheduler) Drain(now time.Time, id galenahead.InstanceID) {
	if inst := s.instances[id]; inst != nil && !inst.Draining {
		inst.Draining, inst.drainingSince = true, now
	}
}

// Leave records that an instance has deregistered and is about to end, and returns the number
// of work items there. It may run them until it has ended, which nothing shows, or its lease
// has expired. They are stopped, and TakeGone returns the instance once nothing runs there.
func (s *Scheduler) Leave(now time.Time, id galenahead.InstanceID) (items int) {
	inst := s.instances[id]
	if inst == nil {
		return 0
	}
	s.Drain(now, id)
	inst.leaving = true
	return len(inst.items)
}

// RemoveInstance removes an instance that has certainly ended, or whose lease has expired.
// Its work items may start elsewhere immediately.
func (s *Scheduler) RemoveInstance(now time.Time, id galenahead.InstanceID) {
	inst := s.instances[id]
	if inst == nil {
		return
	}
	if inst.removing {
		s.abandonLostInstance(now, inst)
	}
	s.noteCallsOfRemoved(now, inst)
	s.keepRenewal(inst)
	for _, it := range inst.items {
		s.abandonRun(now, it)
	}
	s.markReconciled(inst)
	if s.held == inst {
		s.endHold()
	}
	s.releaseReservations(now, inst)
	if !inst.removing {
		delete(s.lost, id) // it has left, or was ordered away
	}
	s.setStrays(inst, nil)
	s.ledger.AddCapacity(Resources{}.Sub(inst.Capacity))
	delete(s.instances, id)
	s.sorted = nil
}

// Reconciled reports whether the work of earlier owners is known on all instances.
func (s *Scheduler) Reconciled() bool { return s.unreconciled == 0 }

func (s *Scheduler) markReconciled(inst *instance) {
	if inst.unreconciled {
		inst.unreconciled = false
		s.unreconciled--
	}
}

// abandonRun makes a work item pending again after its run was lost or has ended.
func (s *Scheduler) abandonRun(now time.Time, it *item) {
	s.noteStartInFlight(now, it)
	it.release(now)
}

// evacuation is the evacuation of an instance.
type evacuation struct {
	// deadline is when the runs that are left are stopped, as far as their steps allow.
	deadline time.Time
	// vacating marks an instance that is only wanted for another pool: runs on it may end
	// by themselves, and its long-running work items move only within the limits of their
	// steps.
	vacating bool
}

// SetEvacuating starts or cancels the evacuation of an instance before a planned move
// or maintenance. An evacuating instance gets no new work, and its work items move
// elsewhere as their steps allow. The evacuation continues if the instance is removed
// and registers again, and may start before the instance registers.
func (s *Scheduler) SetEvacuating(now time.Time, id galenahead.InstanceID, evacuating bool) {
	if e, ok := s.evacuations[id]; ok == evacuating && !e.vacating {
		return
	}
	if evacuating {
		s.evacuations[id] = evacuation{deadline: now.Add(s.params.DrainGracePeriod)}
	} else {
		delete(s.evacuations, id)
	}
	s.updateEvacuation(id)
}

// SetVacating keeps new work off an instance, so that it becomes idle when what runs there
// has ended. It has no effect on an instance that is evacuated. SetEvacuating cancels it.
func (s *Scheduler) SetVacating(id galenahead.InstanceID) {
	if _, ok := s.evacuations[id]; !ok {
		s.evacuations[id] = evacuation{vacating: true}
		s.updateEvacuation(id)
	}
}

func (s *Scheduler) updateEvacuation(id galenahead.InstanceID) {
	if inst := s.instances[id]; inst != nil {
		inst.evacuation, inst.evacuating = s.evacuations[id]
	}
}

// SetMaintenanceDue marks an instance that will be taken down for maintenance later.
// Long-running work items are placed on other instances if possible.
func (s *Scheduler) SetMaintenanceDue(id galenahead.InstanceID) {
	if inst := s.instances[id]; inst != nil {
		inst.maintenanceDue = true
	}
}

// IdleSince reports whether nothing runs or may run on the instance, and since when.
// An unknown instance is idle.
func (s *Scheduler) IdleSince(id galenahead.InstanceID) (since time.Time, idle bool) {
	inst := s.instances[id]
	if inst == nil {
		return time.Time{}, true
	}
	return inst.idleSince, inst.idle()
}

// idle reports whether nothing runs or may run on the instance.
func (inst *instance) idle() bool { return len(inst.items) == 0 && !inst.unreconciled }

// RemoveJob removes a job that is durably completed, failed or cancelled, and stops
// its remaining runs.
func (s *Scheduler) RemoveJob(now time.Time, id galenahead.JobID) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	j.final = true
	j.freeOverlaps(0)
	s.endExpectations(j)
	s.order.remove(j)
	delete(s.jobs, id)
	delete(s.misplaced, id)
	for _, sets := range j.sets {
		for _, set := range sets {
			for i := range set.items {
				if it := &set.items[i]; it.instance != nil && !it.endUnrecorded {
					s.stop(now, it, "job is final")
				}
			}
		}
	}
}

// StartsExhausted reports whether no more starts may be sent until earlier ones have
// a result, as of the last plan.
func (s *Scheduler) StartsExhausted() bool {
	return s.params.MaxStarting > 0 && s.starting >= s.params.MaxStarting
}

// SetMaxStarting changes Params.MaxStarting.
func (s *Scheduler) SetMaxStarting(n int) { s.params.MaxStarting = n }

// HasActions reports whether actions wait for the next plan.
func (s *Scheduler) HasActions() bool { return len(s.actions) > 0 }

// CountWaiting returns the number of jobs of a queue that have not started.
func (s *Scheduler) CountWaiting(queue string) int {
	count := 0
	for _, j := range s.jobs {
		if j.Queue == queue && !j.started {
			count++
		}
	}
	return count
}

// JobStarted reports whether a work item of the job has started.
func (s *Scheduler) JobStarted(id galenahead.JobID) bool {
	j := s.jobs[id]
	return j != nil && j.started
}

// stop begins to stop the run of a work item, unless it is already stopping.
func (s *Scheduler) stop(now time.Time, it *item, reason string) {
	if it.phase == phaseStopping || it.phase == phaseStale || it.instance == nil {
		return
	}
	if it.phase == phaseStarting && it.inFlight {
		it.unansweredUntil = it.startDeadline
		s.noteStartInFlight(now, it)
	}
	it.setPhase(phaseStopping)
	it.confirmed, it.inFlight = time.Time{}, false
	it.notBefore = now
	s.emitStop(now, it, reason)
}

func (s *Scheduler) emitStop(now time.Time, it *item, reason string) {
	it.inFlight = true
	it.notBefore = now.Add(s.params.ResendInterval)
	s.actions = append(s.actions, Action{
		Kind: ActStop, Instance: it.instance.Instance, Fence: it.instance.fence, Item: it.id(), Run: it.run, Reason: reason,
	})
}

// HandleNoResponse records that a call sent to the instance at sent got no response.
func (s *Scheduler) HandleNoResponse(id galenahead.InstanceID, sent time.Time) {
	inst := s.instances[id]
	if inst == nil {
		return
	}
	inst.pollOpen = false
	inst.noteNoResponse(sent)
	inst.endRefusal(sent)
	if sent.After(inst.lostCallAt) {
		inst.lostCallAt = sent
	}
}

// noteNoResponse records that a call to the instance got no response, whether it was sent or not.
func (inst *instance) noteNoResponse(sent time.Time) {
	if inst.unansweredSince.IsZero() && sent.After(inst.respondedAt) {
		inst.unansweredSince = sent
	}
}

// unresponsive reports whether calls to the instance have been unanswered for too
// long. Its lease is then no longer renewed.
func (s *Scheduler) unresponsive(now time.Time, inst *instance) bool {
	return !inst.unansweredSince.IsZero() && now.Sub(inst.unansweredSince) > s.params.UnresponsiveAfter
}

// TakeGone returns the instances that were given up, or have left and run nothing any more,
// since the last call of TakeGone. They get no work until RemoveInstance removes them.
func (s *Scheduler) TakeGone() []galenahead.InstanceID {
	g := s.gone
	s.gone = nil
	return g
}

// TakeOverdue returns the idle instances that were found since the last call of TakeOverdue to have
// shown no sign of life for some time, so that they must be polled.
func (s *Scheduler) TakeOverdue() []galenahead.InstanceID {
	o := s.overdue
	s.overdue = nil
	return o
}

// Instances returns the IDs of all instances in order.
func (s *Scheduler) Instances() []galenahead.InstanceID {
	out := make([]galenahead.InstanceID, 0, len(s.instances))
	for _, inst := range s.sortedInstances() {
		out = append(out, inst.ID)
	}
	return out
}

// sortedInstances returns all instances in the order of their IDs. The caller must not
// change the slice.
func (s *Scheduler) sortedInstances() []*instance {
	if s.sorted == nil {
		s.sorted = slices.SortedFunc(maps.Values(s.instances), func(a, b *instance) int { return cmp.Compare(a.ID, b.ID) })
	}
	return s.sorted
}
