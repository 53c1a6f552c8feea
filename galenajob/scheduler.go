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
	// arrivals holds the jobs that came within the longest of arrivalWindows,
	// oldest first.
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

// Beat notes a sign of life and a reading of the clock of an instance, and tells
// whether that is known.
func (s *Scheduler) Beat(now time.Time, id galenahead.InstanceID, clock int64) (known bool) {
	n := s.instances[id]
	if n == nil {
		return false
	}
	n.beat = now
	n.noteClock(now, clock)
	return true
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

// Finish drops a job that is completed, failed or cancelled, which must be
// durable, and stops what still runs of it.
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
