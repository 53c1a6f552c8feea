package galenajob

import (
	"slices"
	"time"

	"github.com/galenahead/galenahead"
)

// Params bound the decisions of a Scheduler. All are set.
type Params struct {
	// Lease is how long an order lets its instance work without a new one.
	Lease time.Duration
	// Silence is how long an instance may leave calls unanswered before it gets
	// no new work.
	Silence time.Duration
	// Resend is the pause before an order without an answer is repeated.
	Resend time.Duration
	// Suspicion is how long an instance that fails work of several jobs gets no
	// work; it doubles with each further failure.
	Suspicion time.Duration
	// Restart is the pause before a failed work item is tried again.
	Restart time.Duration
	// DrainPatience is how long a leaving instance may finish what runs before
	// it is stopped.
	DrainPatience time.Duration
	// GoneAfter is after how long without a sign of life an idle instance is
	// forgotten.
	GoneAfter time.Duration
	// StopTimeout is the longest time a stop takes on an instance.
	StopTimeout time.Duration
	// AdviceWait is when an unanswered question to the advisor is asked again.
	AdviceWait time.Duration
}

// runsPerEpoch separates the run numbers of owners, so that a new owner need
// not know how far the last one counted.
const runsPerEpoch = 1000

// livesPerEpoch bounds the lives of one instance that one owner can fence.
const livesPerEpoch = 1000

// Scheduler schedules the jobs of one service. It is not safe for concurrent
// use. Times are of one steady clock but for occurrences of recurring jobs.
type Scheduler struct {
	Service galenahead.ServiceName
	params  Params
	epoch   int64

	queues    map[string]Queue
	jobs      map[galenahead.JobID]*job
	instances map[galenahead.InstanceID]*instance
	out       []Action
	gone      []galenahead.InstanceID
	// blocked counts the instances that may run work of an earlier owner.
	blocked int
	wall    time.Time
	// arrivals holds the jobs that came within arrivalWindow, oldest first.
	arrivals []arrival
}

// NewScheduler returns a scheduler for the owner of the given epoch.
func NewScheduler(service galenahead.ServiceName, epoch uint64, p Params) *Scheduler {
	return &Scheduler{
		Service: service, params: p, epoch: int64(epoch),
		queues:    map[string]Queue{},
		jobs:      map[galenahead.JobID]*job{},
		instances: map[galenahead.InstanceID]*instance{},
	}
}

// SetQueue sets what the configuration says of a queue.
func (s *Scheduler) SetQueue(q Queue) {
	s.queues[q.Name] = q
	for _, j := range s.jobs {
		if j.Queue == q.Name {
			j.queue = q
		}
	}
}

// AddJob adds a job that is not final. earlier marks one that an earlier owner
// may have started.
func (s *Scheduler) AddJob(now time.Time, facts *Job, age time.Duration, earlier bool) {
	if _, ok := s.jobs[facts.ID]; ok {
		return
	}
	j := &job{
		Job: facts, queue: s.queues[facts.Queue], sets: map[int][]*itemSet{},
		chain: chainOf(&facts.Spec), since: now.Add(-age), earlier: earlier, started: len(facts.Items) > 0,
	}
	s.jobs[facts.ID] = j
	if !earlier && !facts.Spec.LongRunning() {
		s.arrivals = append(s.arrivals, arrival{now, j.workLeft()})
	}
}

// AddKnownInstance adds an instance that an earlier owner knew and may have
// given orders to. What it ordered there has lapsed by resolveAt.
func (s *Scheduler) AddKnownInstance(now time.Time, in Instance, resolveAt time.Time) {
	n := s.addInstance(now, in)
	if n.unresolved {
		return
	}
	n.unresolved, n.resolveAt = true, resolveAt
	s.blocked++
}

// AddInstance adds an instance or updates what is known of it. Its
// registration must be durable.
func (s *Scheduler) AddInstance(now time.Time, in Instance) {
	n := s.addInstance(now, in)
	n.beat = now
	if in.Draining && n.drainedAt.IsZero() {
		n.drainedAt = now
	}
}

func (s *Scheduler) addInstance(now time.Time, in Instance) *instance {
	n, ok := s.instances[in.ID]
	if !ok {
		n = &instance{
			Instance: in, fence: s.epoch * livesPerEpoch, items: map[ItemID]*item{},
			clockAt: now, answered: now, beat: now, idleSince: now,
		}
		s.instances[in.ID] = n
		return n
	}
	if in.Born != n.Born {
		s.reborn(now, n, in.Born)
	}
	draining := n.Draining && in.Born == n.Born
	n.Instance = in
	n.Draining = in.Draining || draining
	return n
}

// reborn handles a new life of an instance under the same id. What ran there
// is gone, but a delayed order to the earlier life could still reach the new
// one; the higher fence keeps it out.
func (s *Scheduler) reborn(now time.Time, n *instance, born int64) {
	n.Born = born
	n.fence++
	n.fenced = false
	n.Draining, n.drainedAt = false, time.Time{}
	n.clock, n.clockAt, n.deadline, n.seen, n.cursor, n.acked, n.recording = 0, now, 0, 0, 0, 0, false
	for _, it := range n.items {
		it.phase, it.inFlight = phaseStale, false
	}
}

// Beat notes a sign of life and a reading of the instance's clock.
func (s *Scheduler) Beat(now time.Time, id galenahead.InstanceID, clock int64) {
	if n := s.instances[id]; n != nil {
		n.beat = now
		n.noteClock(now, clock)
	}
}

// Drain notes that an instance leaves. It gets no new work from now on.
func (s *Scheduler) Drain(now time.Time, id galenahead.InstanceID) {
	if n := s.instances[id]; n != nil && !n.Draining {
		n.Draining, n.drainedAt = true, now
	}
}

// Remove forgets an instance that has ended. What ran there may start
// elsewhere at once.
func (s *Scheduler) Remove(now time.Time, id galenahead.InstanceID) {
	n := s.instances[id]
	if n == nil {
		return
	}
	for _, it := range n.items {
		s.lose(now, it)
	}
	s.resolve(n)
	delete(s.instances, id)
}

func (s *Scheduler) resolve(n *instance) {
	if n.unresolved {
		n.unresolved = false
		s.blocked--
	}
}

// lose ends the run of it without a result.
func (s *Scheduler) lose(now time.Time, it *item) {
	it.release(now)
}

// Leave marks an instance for a planned move or upkeep: it gets no new work,
// and what runs there moves elsewhere as its steps allow.
func (s *Scheduler) Leave(now time.Time, id galenahead.InstanceID, leaving bool) {
	n := s.instances[id]
	if n == nil || n.leaving == leaving {
		return
	}
	n.leaving = leaving
	n.leaveSoon = now.Add(s.params.DrainPatience)
}

// Due marks an instance that is to leave for an upkeep later; lasting work goes
// elsewhere where it can.
func (s *Scheduler) Due(id galenahead.InstanceID) {
	if n := s.instances[id]; n != nil {
		n.due = true
	}
}

// Idle tells whether nothing runs or may run on the instance, or it is not
// known, and since when.
func (s *Scheduler) Idle(id galenahead.InstanceID) (since time.Time, idle bool) {
	n := s.instances[id]
	if n == nil {
		return time.Time{}, true
	}
	return n.idleSince, len(n.items) == 0 && !n.unresolved
}

// Cancel stops a job for good; its cancelling must be durable.
func (s *Scheduler) Cancel(now time.Time, id galenahead.JobID) { s.Finish(now, id) }

// Finish drops a job that has become final, and stops what still runs of it.
func (s *Scheduler) Finish(now time.Time, id galenahead.JobID) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	j.cancelled = true
	delete(s.jobs, id)
	for _, sets := range j.sets {
		for _, st := range sets {
			for i := range st.items {
				if it := &st.items[i]; it.on != nil && !it.ended {
					s.stop(now, it, "job is final")
				}
			}
		}
	}
}

// Waiting returns how many jobs of a queue have not begun.
func (s *Scheduler) Waiting(queue string) int {
	n := 0
	for _, j := range s.jobs {
		if j.Queue == queue && !j.started {
			n++
		}
	}
	return n
}

// Started tells whether a work item of the job has begun.
func (s *Scheduler) Started(id galenahead.JobID) bool {
	j := s.jobs[id]
	return j != nil && j.started
}

// stop orders the end of a run.
func (s *Scheduler) stop(now time.Time, it *item, reason string) {
	if it.phase == phaseStopping || it.phase == phaseStale || it.on == nil {
		return
	}
	it.phase, it.confirmed, it.inFlight = phaseStopping, time.Time{}, false
	it.notBefore = now
	s.orderStop(now, it, reason)
}

func (s *Scheduler) orderStop(now time.Time, it *item, reason string) {
	it.inFlight = true
	it.notBefore = now.Add(s.params.Resend)
	s.out = append(s.out, Action{
		Kind: ActStop, Instance: it.on.Instance, Fence: it.on.fence, Item: it.id(), Run: it.run, Reason: reason,
	})
}

// HoldOrder is a renewal of the lease of an instance, with a look at it.
type HoldOrder struct {
	Instance Instance
	Fence    int64
	Cursor   int64
	// Deadline is on the instance's clock; zero renews nothing.
	Deadline int64
	// Wait tells that the answer may wait for an end.
	Wait bool
}

// Hold returns the next look at an instance, and false when none is needed.
func (s *Scheduler) Hold(now time.Time, id galenahead.InstanceID) (HoldOrder, bool) {
	n := s.instances[id]
	if n == nil || (n.fenced && len(n.items) == 0 && n.acked >= n.seen) {
		return HoldOrder{}, false
	}
	o := HoldOrder{Instance: n.Instance, Fence: n.fence, Cursor: n.cursor, Wait: n.fenced && len(n.items) > 0}
	if n.fenced && len(n.items) > 0 && !s.silent(now, n) {
		o.Deadline = n.extend(now, s.params.Lease)
	}
	return o, true
}

// HoldAnswer is the answer to a look.
type HoldAnswer struct {
	Fence int64
	Clock int64
	Born  int64
	// Cursor is the cursor that the look carried.
	Cursor int64
	// Sent is when the look was sent.
	Sent time.Time
	Runs []Run
	Ends []End
	// More tells that further ends follow after these.
	More bool
}

// Held takes over the answer to a look. It returns the ends that must be
// recorded before the cursor may pass them; Recorded reports that they are.
func (s *Scheduler) Held(now time.Time, id galenahead.InstanceID, a HoldAnswer) []End {
	n := s.instances[id]
	if n == nil || a.Fence != n.fence {
		return nil
	}
	if a.Born != 0 && n.Born != 0 && a.Born != n.Born {
		s.reborn(now, n, a.Born)
		return nil
	}
	s.heard(now, n, a.Clock)
	n.fenced = true
	n.acked = max(n.acked, a.Cursor)
	record := s.takeEnds(now, n, a.Ends)
	s.takeRuns(now, n, a)
	if n.unresolved {
		// Everything that an earlier owner started here is adopted by now, and the
		// fence keeps its late orders out.
		s.resolve(n)
	}
	s.pace(now, n)
	return record
}

// heard notes an answer of the instance.
func (s *Scheduler) heard(now time.Time, n *instance, clock int64) {
	n.answered, n.silentSince = now, time.Time{}
	n.noteClock(now, clock)
}

// takeEnds handles ends that were not read before.
func (s *Scheduler) takeEnds(now time.Time, n *instance, ends []End) []End {
	var record []End
	for _, e := range ends {
		if e.Sequence <= n.seen {
			continue
		}
		n.seen = e.Sequence
		it := s.find(n, e.Item)
		if it == nil {
			continue
		}
		ours := it.on == n && it.run == e.Number
		if e.How == EndDone || e.How == EndFailed {
			// No other run may start until the end is recorded, also when an earlier
			// owner started this one.
			if ours || it.on == nil {
				it.ended = true
			}
			it.run = max(it.run, e.Number)
			record = append(record, e)
			continue
		}
		if ours {
			s.endedWithoutResult(now, it, e)
		}
	}
	if len(record) == 0 && !n.recording {
		n.cursor = n.seen
	}
	n.recording = n.recording || len(record) > 0
	return record
}

func (s *Scheduler) endedWithoutResult(now time.Time, it *item, e End) {
	if e.Checkpoint != "" && it.set.step.Checkpointing {
		it.checkpoint = e.Checkpoint
	}
	it.release(now)
}

// find returns a work item of an active job, or of a final one that still
// occupies n.
func (s *Scheduler) find(n *instance, id ItemID) *item {
	if it := n.items[id]; it != nil {
		return it
	}
	if j := s.jobs[id.Job]; j != nil {
		return j.item(id.Item)
	}
	return nil
}

// takeRuns compares what runs on n with what should.
func (s *Scheduler) takeRuns(now time.Time, n *instance, a HoldAnswer) {
	listed := make(map[ItemID]bool, len(a.Runs))
	for _, r := range a.Runs {
		it := s.find(n, r.Item)
		if it != nil && it.on == n && it.run == r.Number {
			listed[r.Item] = true
			s.confirm(now, it, r)
			continue
		}
		if it != nil && it.on == nil && !it.done && !it.ended && !it.set.job.cancelled {
			s.adopt(now, n, it, r)
			listed[r.Item] = true
			continue
		}
		s.out = append(s.out, Action{
			Kind: ActStop, Instance: n.Instance, Fence: n.fence, Item: r.Item, Run: r.Number, Reason: "unexpected run",
		})
	}
	for id, it := range n.items {
		if listed[id] || it.ended || a.More {
			continue
		}
		if it.phase == phaseStale || (!it.confirmed.IsZero() && it.confirmed.Before(a.Sent)) {
			s.lose(now, it)
		}
	}
}

// confirm notes that the run of it is listed.
func (s *Scheduler) confirm(now time.Time, it *item, r Run) {
	if it.phase == phaseStarting || it.phase == phaseStale {
		it.phase, it.confirmed = phaseRunning, now
	}
	it.set.job.started = true
	it.percent, it.usage = r.Percent, r.Usage
	if r.Checkpoint != "" && it.set.step.Checkpointing {
		it.checkpoint = r.Checkpoint
	}
}

// adopt takes over a run that an earlier owner started, or one that was
// started by a delayed order.
func (s *Scheduler) adopt(now time.Time, n *instance, it *item, r Run) {
	n.place(it, r.Number)
	it.phase, it.confirmed = phaseRunning, now
	s.confirm(now, it, r)
}

// Recorded tells that the ends that Held returned for the instance are durable,
// and lets the cursor pass them. fresh tells for each whether it was not
// recorded before.
func (s *Scheduler) Recorded(now time.Time, id galenahead.InstanceID, born int64, ends []End, fresh []bool) {
	n := s.instances[id]
	for i, e := range ends {
		s.settle(now, n, e, fresh[i])
	}
	if n != nil && n.Born == born && len(ends) > 0 {
		n.recording = false
		n.cursor = max(n.cursor, ends[len(ends)-1].Sequence)
	}
}

// settle applies a recorded end.
func (s *Scheduler) settle(now time.Time, n *instance, e End, fresh bool) {
	var it *item
	if n != nil {
		it = n.items[e.Item]
	}
	if it == nil {
		if j := s.jobs[e.Item.Job]; j != nil {
			it = j.item(e.Item.Item)
		}
	}
	if it == nil {
		return
	}
	if it.on == nil {
		it.ended = false
	} else if it.on.ID == instanceID(n) && it.run == e.Number {
		it.ended = false
		it.release(now)
	}
	switch {
	case !fresh:
	case e.How == EndDone:
		s.done(now, n, it)
	default:
		s.failed(now, n, it)
	}
}

func instanceID(n *instance) galenahead.InstanceID {
	if n == nil {
		return ""
	}
	return n.ID
}

func (s *Scheduler) done(now time.Time, n *instance, it *item) {
	if n != nil {
		n.strikes, n.suspectTill, n.strikeJob = 0, time.Time{}, ""
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
		m.set.left--
		if m.on != nil && m.phase != phaseStopping && !m.set.step.Gang {
			s.stop(now, m, "another run is done")
		}
	}
}

func (s *Scheduler) failed(now time.Time, n *instance, it *item) {
	it.failed++
	it.notBefore = now.Add(s.params.Restart)
	if n == nil {
		return
	}
	it.avoid = n.ID
	if it.set.step.LongRunning || n.strikeJob == it.set.job.ID {
		return
	}
	n.strikeJob = it.set.job.ID
	n.strikes++
	if n.strikes >= 2 {
		n.suspectTill = now.Add(s.params.Suspicion << min(n.strikes-2, 4))
	}
}

// Unanswered notes that a call to the instance, sent at sent, got no answer.
func (s *Scheduler) Unanswered(id galenahead.InstanceID, sent time.Time) {
	n := s.instances[id]
	if n != nil && n.silentSince.IsZero() && sent.After(n.answered) {
		n.silentSince = sent
	}
}

// silent tells whether the instance leaves calls unanswered.
func (s *Scheduler) silent(now time.Time, n *instance) bool {
	return !n.silentSince.IsZero() && now.Sub(n.silentSince) > s.params.Silence
}

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

// Gone returns the instances that are given up since the last call.
func (s *Scheduler) Gone() []galenahead.InstanceID {
	g := s.gone
	s.gone = nil
	return g
}

// Instances returns the ids of all instances.
func (s *Scheduler) Instances() []galenahead.InstanceID {
	ids := make([]galenahead.InstanceID, 0, len(s.instances))
	for id := range s.instances {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// String returns the outcome as logs and counters name it.
func (o Outcome) String() string {
	names := [...]string{"unknown", "done", "no_room", "no_ticket", "late", "busy", "old", "fenced", "other_life", "invalid", "unsent"}
	if o < 0 || int(o) >= len(names) {
		return "undefined"
	}
	return names[o]
}
