package galenajob

import (
	"cmp"
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

// Action is an order to an instance or a question to the advisor. The answer
// goes to Ordered or Advised.
type Action struct {
	Kind     ActionKind
	Instance Instance
	Fence    int64
	Item     ItemID
	Run      int64
	// Payload, Deadline, Checkpoint and Ticket belong to a start. Deadline is in
	// milliseconds of the instance's clock.
	Payload    string
	Deadline   int64
	Checkpoint string
	Ticket     string
	// Percent belongs to a pace.
	Percent int
	// Candidates belongs to a question to the advisor.
	Candidates []galenahead.InstanceID
	// Reason, Waited and Free explain the decision in the log.
	Reason string
	Waited time.Duration
	Free   Resources
}

// lateFactor is how many times its objective a job may take to be worth
// anything, by the users' terms.
const lateFactor = 3

// Classes of jobs in the order in which they are served.
const (
	classLasting = iota
	classOnTime
	classLate
	classHopeless
)

// sortKey orders the jobs that want instances.
type sortKey struct {
	class    int
	priority int
	// work is the estimated processor time left, in milliseconds of a core.
	work int64
	due  time.Time
}

// Plan advances everything that depends on time and returns the actions that
// follow from it and from the events since the last call.
func (s *Scheduler) Plan(now, wall time.Time) []Action {
	s.wall = wall
	s.watch(now)
	for _, id := range s.Instances() {
		n := s.instances[id]
		s.empty(now, n)
		s.repeat(now, n)
	}
	for _, j := range s.ranked(now) {
		for _, st := range s.ready(j) {
			s.fill(now, st)
		}
	}
	out := s.out
	s.out = nil
	return out
}

// watch notes lapses, and instances that are not heard of any more.
func (s *Scheduler) watch(now time.Time) {
	for _, id := range s.Instances() {
		n := s.instances[id]
		if n.unresolved && now.After(n.resolveAt) {
			s.resolve(n)
		}
		if len(n.items) > 0 && s.silent(now, n) && n.lapsed(now) {
			for _, it := range n.sorted() {
				if it.phase != phaseStale && !it.ended {
					s.lose(now, it)
				}
			}
		}
		last := n.beat
		if n.answered.After(last) {
			last = n.answered
		}
		if now.Sub(last) > s.params.GoneAfter && n.lapsed(now) && !n.unresolved {
			s.gone = append(s.gone, id)
		}
	}
}

// repeat sends orders again that were not answered.
func (s *Scheduler) repeat(now time.Time, n *instance) {
	if s.silent(now, n) {
		return
	}
	for _, it := range n.sorted() {
		if it.inFlight || now.Before(it.notBefore) {
			continue
		}
		switch it.phase {
		case phaseStarting:
			s.orderStart(now, it, "repeated")
		case phaseStopping:
			s.orderStop(now, it, "repeated")
		}
	}
}

// empty moves work off an instance that leaves.
func (s *Scheduler) empty(now time.Time, n *instance) {
	if !n.Draining && !n.leaving {
		return
	}
	for _, it := range n.sorted() {
		if it.phase != phaseRunning || it.ended {
			continue
		}
		step := it.set.step
		switch {
		case step.LongRunning:
			if n.Draining || step.MaxUnavailable == 0 || s.mayTake(it) {
				s.stop(now, it, "instance leaves")
			}
		case n.Draining && step.Checkpointing && now.Sub(n.drainedAt) > s.params.DrainPatience/2:
			s.stop(now, it, "instance leaves")
		case n.leaving && !n.Draining && now.After(n.leaveSoon):
			s.stop(now, it, "instance leaves")
		}
	}
}

// mayTake tells whether one more work item of the step of it may be taken off
// its instance, and has somewhere else to go.
func (s *Scheduler) mayTake(it *item) bool {
	away := it.set.unavailable()
	if !it.atWork() {
		// Whether it really is away is not certain, so it is not taken for granted.
		away--
	}
	if away >= it.set.step.MaxUnavailable {
		return false
	}
	for _, n := range s.instances {
		if n != it.on && s.usable(n, it) {
			return true
		}
	}
	return false
}

// ranked returns the jobs in the order in which they are served.
func (s *Scheduler) ranked(now time.Time) []*job {
	jobs := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		if j.earlier && s.blocked > 0 {
			continue
		}
		j.key = s.rank(now, j)
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(
			cmp.Compare(a.key.class, b.key.class),
			cmp.Compare(a.key.priority, b.key.priority),
			cmp.Compare(a.key.work, b.key.work),
			a.key.due.Compare(b.key.due),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return jobs
}

func (s *Scheduler) rank(now time.Time, j *job) sortKey {
	if j.Spec.LongRunning() {
		return sortKey{class: classLasting, priority: j.queue.Priority, due: j.since}
	}
	objective := j.objective()
	if j.Spec.Repetitions > 0 {
		return sortKey{class: classOnTime, priority: j.queue.Priority, due: j.since.Add(objective)}
	}
	left := j.remaining()
	spent := now.Sub(j.since)
	k := sortKey{classHopeless, j.queue.Priority, j.workLeft(), j.since.Add(objective)}
	switch {
	case spent+left <= objective:
		k.class = classOnTime
	case spent+left <= lateFactor*objective:
		k.class = classLate
	}
	return k
}

func (j *job) objective() time.Duration {
	return time.Duration(j.queue.Stretch*float64(j.chain)) + j.queue.TargetLatency
}

// remaining returns the estimated time of the longest chain of steps that are
// not done.
func (j *job) remaining() time.Duration {
	sets := j.occurrence(0)
	ends := make([]time.Duration, len(sets))
	var longest time.Duration
	for i, st := range sets {
		var begin time.Duration
		for _, a := range st.step.After {
			if a >= 0 && a < i {
				begin = max(begin, ends[a])
			}
		}
		if st.left > 0 {
			ends[i] = begin + st.step.Estimate
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// workLeft returns the estimated processor time of the work items that are not
// done, in milliseconds of a core.
func (j *job) workLeft() int64 {
	var sum int64
	for _, st := range j.occurrence(0) {
		sum += int64(st.left) * st.step.Need.MilliCPU * st.step.Estimate.Milliseconds() / 1000
	}
	return sum
}

// ready returns the item sets of j whose turn has come.
func (s *Scheduler) ready(j *job) []*itemSet {
	for j.nextDue < j.Spec.Occurrences() && !s.wall.Before(j.Spec.Due(j.nextDue)) {
		j.occurrence(j.nextDue)
		j.nextDue++
	}
	var ready []*itemSet
	for k := range j.nextDue {
		for _, st := range j.sets[k] {
			if st.left > 0 && st.open() {
				ready = append(ready, st)
			}
		}
	}
	return ready
}

// fill starts work items of st where there is room.
func (s *Scheduler) fill(now time.Time, st *itemSet) {
	if st.job.queue.Advised && !s.advise(now, st) {
		return
	}
	if st.step.Gang {
		s.fillGang(now, st)
		return
	}
	for i := range st.items {
		it := &st.items[i]
		if it.done || it.phase != phasePending || it.ended || now.Before(it.notBefore) || it.exhausted() {
			continue
		}
		n := s.choose(now, it)
		if n == nil {
			return
		}
		s.start(now, it, n, s.nextRun(it.run))
	}
}

// fillGang starts all members of a gang at once, or none.
func (s *Scheduler) fillGang(now time.Time, st *itemSet) {
	run, checkpoint := int64(0), ""
	for i := range st.items {
		it := &st.items[i]
		if it.done || it.phase != phasePending || it.ended || now.Before(it.notBefore) || it.exhausted() {
			return
		}
		run = max(run, it.run)
		if it.checkpoint != "" {
			checkpoint = it.checkpoint
		}
	}
	run = s.nextRun(run)
	for i := range st.items {
		it := &st.items[i]
		n := s.choose(now, it)
		if n == nil {
			for k := range i {
				st.items[k].release(now)
			}
			return
		}
		n.place(it, run)
		it.phase = phaseStarting
	}
	for i := range st.items {
		it := &st.items[i]
		it.checkpoint = checkpoint
		s.orderStart(now, it, "gang complete")
	}
}

func (it *item) exhausted() bool {
	return !it.set.step.LongRunning && it.failed >= max(1, it.set.job.MaxAttempts)
}

func (s *Scheduler) nextRun(last int64) int64 { return max(last, s.epoch*runsPerEpoch) + 1 }

// start begins a run of it on n.
func (s *Scheduler) start(now time.Time, it *item, n *instance, run int64) {
	n.place(it, run)
	it.phase = phaseStarting
	s.orderStart(now, it, "room")
}

func (s *Scheduler) orderStart(now time.Time, it *item, reason string) {
	n := it.on
	it.inFlight = true
	it.orders++
	it.notBefore = now.Add(s.params.Resend)
	a := Action{
		Kind: ActStart, Instance: n.Instance, Fence: n.fence, Item: it.id(), Run: it.run,
		Payload: it.set.job.Spec.Payload, Deadline: n.extend(now, s.params.Lease),
		Reason: reason, Waited: now.Sub(it.set.job.since), Free: n.free(),
	}
	if it.set.step.Checkpointing {
		a.Checkpoint = it.checkpoint
	}
	if t, ok := it.set.tickets[n.ID]; ok {
		a.Ticket = t.text
	}
	s.out = append(s.out, a)
}
