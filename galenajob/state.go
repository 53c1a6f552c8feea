package galenajob

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenahead/galenahead"
)

// phase is what is known of the run of a work item.
type phase int

const (
	// phasePending has no run.
	phasePending phase = iota
	// phaseStarting has been ordered and not been confirmed.
	phaseStarting
	phaseRunning
	// phaseStopping has been told to stop.
	phaseStopping
	// phaseStale was ordered from an earlier life of its instance. A delayed
	// order could still start it there, until the present life is fenced.
	phaseStale
)

// item is a work item.
type item struct {
	set   *itemSet
	index int
	phase phase
	// run is the number of the last run that is known.
	run  int64
	on   *instance
	done bool
	// failed counts the recorded failures.
	failed     int
	checkpoint string
	// avoid is the instance on which the last run failed.
	avoid galenahead.InstanceID
	// notBefore delays a restart or the repetition of an order.
	notBefore time.Time
	// confirmed is when the instance confirmed the last order, or zero.
	confirmed time.Time
	inFlight  bool
	// orders counts the copies of the start that were sent.
	orders int
	// order counts the placements on the instance.
	order int64
	// ended marks a run whose end waits to be recorded.
	ended   bool
	percent int
	usage   int64
	pace    int
}

func (it *item) id() ItemID {
	return ItemID{it.set.job.ID, ItemKey{it.set.occurrence, it.set.index, it.index}}
}

// atWork tells whether a long-running item serves now.
// An instance that leaves calls unanswered may have crashed.
func (it *item) atWork() bool {
	return it.phase == phaseRunning && it.percent >= 100 && it.on.silentSince.IsZero()
}

// itemSet is one occurrence of one step.
type itemSet struct {
	job        *job
	step       *Step
	occurrence int
	index      int
	items      []item
	left       int
	tickets    map[galenahead.InstanceID]ticket
	// asked is when the advisor was last asked, or zero.
	asked time.Time
}

// ticket allows the work items of one step to start on an instance.
type ticket struct {
	text    string
	born    int64
	expires time.Time
}

// unavailable counts the work items that are not at work.
func (st *itemSet) unavailable() int {
	n := 0
	for i := range st.items {
		if !st.items[i].atWork() {
			n++
		}
	}
	return n
}

// job is a job that is not final.
type job struct {
	*Job
	queue Queue
	// sets holds the item sets of each occurrence that is due.
	sets map[int][]*itemSet
	// chain is the estimated time of the longest chain of steps.
	chain time.Duration
	// since is when the job was accepted, on the steady clock.
	since time.Time
	// earlier marks a job accepted before this owner took office: its work items
	// may run where the owner has not looked yet.
	earlier   bool
	cancelled bool
	started   bool
	nextDue   int
	key       sortKey
}

// item returns a work item, or nil.
func (j *job) item(k ItemKey) *item {
	if k.Step < 0 || k.Step >= len(j.Spec.Steps) || k.Occurrence < 0 || k.Occurrence >= j.Spec.Occurrences() {
		return nil
	}
	sets := j.occurrence(k.Occurrence)
	if k.Index < 0 || k.Index >= len(sets[k.Step].items) {
		return nil
	}
	return &sets[k.Step].items[k.Index]
}

// occurrence returns the item sets of an occurrence and makes them at the
// first call.
func (j *job) occurrence(n int) []*itemSet {
	if sets, ok := j.sets[n]; ok {
		return sets
	}
	sets := make([]*itemSet, len(j.Spec.Steps))
	for i := range j.Spec.Steps {
		step := &j.Spec.Steps[i]
		st := &itemSet{job: j, step: step, occurrence: n, index: i, items: make([]item, step.Count), left: step.Count}
		for k := range st.items {
			it := &st.items[k]
			it.set, it.index, it.pace = st, k, 100
			f, ok := j.Items[ItemKey{n, i, k}]
			if !ok {
				continue
			}
			it.done, it.failed = f.Done, len(f.Failed)
			if f.Done {
				st.left--
			}
		}
		sets[i] = st
	}
	j.sets[n] = sets
	return sets
}

// open tells whether all steps before st are done.
func (st *itemSet) open() bool {
	sets := st.job.sets[st.occurrence]
	for _, a := range st.step.After {
		if a >= 0 && a < len(sets) && sets[a].left > 0 {
			return false
		}
	}
	return true
}

// chainOf returns the estimated time of the longest chain of steps.
func chainOf(spec *Spec) time.Duration {
	ends := make([]time.Duration, len(spec.Steps))
	var longest time.Duration
	for i := range spec.Steps {
		var begin time.Duration
		for _, a := range spec.Steps[i].After {
			if a >= 0 && a < i {
				begin = max(begin, ends[a])
			}
		}
		ends[i] = begin + spec.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// instance is an instance with what was ordered there.
type instance struct {
	Instance
	// fence is the fencing token of orders to this life.
	fence int64
	// fenced tells that the instance has seen the fence, and so carries out no
	// order of an earlier owner or to an earlier life.
	fenced bool
	// unresolved marks an instance that an earlier owner may have given orders
	// to and that has not been fenced, until resolveAt.
	unresolved bool
	resolveAt  time.Time
	used       Resources
	items      map[ItemID]*item
	// placed counts the work items ever placed here.
	placed int64
	// clock is the instance's clock in milliseconds as of clockAt.
	clock   int64
	clockAt time.Time
	// deadline is the highest deadline given, on the instance's clock.
	deadline int64
	// seen is the sequence of the last end that was read, cursor of the last one
	// that is dealt with, acked of the last one that the instance may forget.
	seen, cursor, acked int64
	// recording tells that ends up to seen wait to be recorded.
	recording bool
	answered  time.Time
	beat      time.Time
	// silentSince is when the first call without an answer was sent since the
	// last answer, or zero.
	silentSince time.Time
	suspectTill time.Time
	strikes     int
	strikeJob   galenahead.JobID
	// leaving is a planned move or upkeep.
	leaving bool
	// due is a planned upkeep later on.
	due       bool
	leaveSoon time.Time
	drainedAt time.Time
	idleSince time.Time
	pacedAt   time.Time
}

// clockRate is the slowest rate of an instance's clock, by the users' statement
// that it may be 2% slow.
const clockRate = 0.98

// lapseSlack covers the granularity of millisecond clocks.
const lapseSlack = 50 * time.Millisecond

// lapsed tells whether everything ordered on the instance has lapsed.
func (n *instance) lapsed(now time.Time) bool {
	if n.deadline == 0 {
		return true
	}
	rest := time.Duration(float64(n.deadline-n.clock)/clockRate) * time.Millisecond
	return now.After(n.clockAt.Add(rest + lapseSlack))
}

// noteClock takes over a reading of the instance's clock.
func (n *instance) noteClock(now time.Time, clock int64) {
	if clock <= 0 {
		return
	}
	// An older reading that is received late must not move the estimate back.
	est := n.clock + now.Sub(n.clockAt).Milliseconds()
	if n.clockAt.IsZero() || clock >= est {
		n.clock, n.clockAt = clock, now
	}
}

// extend returns a deadline on the instance's clock that ends after lease.
func (n *instance) extend(now time.Time, lease time.Duration) int64 {
	d := n.clock + now.Sub(n.clockAt).Milliseconds() + lease.Milliseconds()
	n.deadline = max(n.deadline, d)
	return d
}

// sorted returns the work items on n in the order in which they came, so that
// the same events always lead to the same decisions.
func (n *instance) sorted() []*item {
	out := make([]*item, 0, len(n.items))
	for _, it := range n.items {
		out = append(out, it)
	}
	slices.SortFunc(out, func(a, b *item) int { return cmp.Compare(a.order, b.order) })
	return out
}

func (n *instance) free() Resources { return n.Capacity.Sub(n.used) }

func (n *instance) rack() string {
	if len(n.Labels) == 0 {
		return ""
	}
	return n.Labels[len(n.Labels)-1]
}

func (n *instance) has(label string) bool { return label == "" || slices.Contains(n.Labels, label) }

// place puts a run of it on n.
func (n *instance) place(it *item, run int64) {
	n.placed++
	it.on, it.run, it.order = n, run, n.placed
	it.confirmed, it.percent, it.usage, it.pace = time.Time{}, 0, 0, 100
	it.ended, it.orders = false, 0
	n.items[it.id()] = it
	n.used = n.used.Add(it.set.step.claim())
}

// release takes the run of it from its instance.
func (it *item) release(now time.Time) {
	n := it.on
	if n == nil {
		return
	}
	delete(n.items, it.id())
	n.used = n.used.Sub(it.set.step.claim())
	if len(n.items) == 0 {
		n.idleSince = now
	}
	it.on, it.phase, it.confirmed, it.inFlight = nil, phasePending, time.Time{}, false
	it.percent, it.usage, it.notBefore = 0, 0, time.Time{}
}
