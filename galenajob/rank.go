package galenajob

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// hopelessFactor is the multiple of its objective after which a job's result is
// of no use, as the users define it.
const hopelessFactor = 3

// Classes of jobs in scheduling order.
const (
	classLongRunning = iota
	classOnTime
	classLate
	// classExcess is that of the jobs beyond the rates of their accounts.
	classExcess
	classHopeless
)

// sortKey is the scheduling order of a job.
type sortKey struct {
	class    int
	priority int
	// remainingWork is the estimated remaining processor time, in core
	// milliseconds.
	remainingWork int64
	due           time.Time
	// begun is set once a work item of the job is done, and for recurring jobs.
	begun bool
}

// jobOrder keeps the jobs of a scheduler in scheduling order. Only jobs whose rank may have
// changed since the last plan are ranked anew, so that a plan does not cost what waits. Its
// zero value is ready to use.
type jobOrder struct {
	sorted []*job
	// stale holds the jobs whose rank may have changed, each once.
	stale []*job
	// transitions holds when the classes of jobs change by themselves.
	transitions transitionHeap
}

// touch makes the next update rank the job anew, or for the first time.
func (o *jobOrder) touch(j *job) {
	if !j.rankStale {
		j.rankStale = true
		o.stale = append(o.stale, j)
	}
}

// remove removes a job, if it has been ranked.
func (o *jobOrder) remove(j *job) {
	if !j.ranked {
		return
	}
	i, _ := slices.BinarySearchFunc(o.sorted, j, compareJobs)
	o.sorted = slices.Delete(o.sorted, i, i+1)
	j.ranked = false
}

// update returns the jobs that are not final in scheduling order, which is valid until the
// next call.
func (o *jobOrder) update(now time.Time) []*job {
	for len(o.transitions) > 0 && now.After(o.transitions[0].at) {
		j := heap.Pop(&o.transitions).(transition).job
		j.transitionAt = time.Time{}
		o.touch(j)
	}
	for _, j := range o.stale {
		j.rankStale = false
		if j.final {
			continue
		}
		if k := j.rank(now); !j.ranked || k != j.key {
			o.remove(j)
			j.key, j.ranked = k, true
			i, _ := slices.BinarySearchFunc(o.sorted, j, compareJobs)
			o.sorted = slices.Insert(o.sorted, i, j)
		}
		o.awaitTransition(j)
	}
	clear(o.stale) // the buffer must not keep final jobs
	o.stale = o.stale[:0]
	return o.sorted
}

// awaitTransition schedules when the job is ranked anew because its class changes.
func (o *jobOrder) awaitTransition(j *job) {
	at, ok := j.classEnds()
	if ok && (j.transitionAt.IsZero() || at.Before(j.transitionAt)) {
		j.transitionAt = at
		heap.Push(&o.transitions, transition{at, j})
	}
}

// transition is the time at which the class of a job may change by itself.
type transition struct {
	at  time.Time
	job *job
}

// transitionHeap is a heap of transitions, the earliest first.
type transitionHeap []transition

// Len implements heap.Interface.
func (h transitionHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h transitionHeap) Less(i, k int) bool { return h[i].at.Before(h[k].at) }

// Swap implements heap.Interface.
func (h transitionHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

// Push implements heap.Interface.
func (h *transitionHeap) Push(x any) { *h = append(*h, x.(transition)) }

// Pop implements heap.Interface.
func (h *transitionHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = transition{}
	*h = (*h)[:last]
	return t
}

// compareJobs compares two jobs by their scheduling order.
func compareJobs(a, b *job) int {
	if c := cmp.Compare(a.key.class, b.key.class); c != 0 {
		return c
	}
	if c := cmp.Compare(a.key.priority, b.key.priority); c != 0 {
		return c
	}
	if a.key.class == classOnTime {
		if c := compareOnTime(a, b); c != 0 {
			return c
		}
	}
	if c := cmp.Compare(a.key.remainingWork, b.key.remainingWork); c != 0 {
		return c
	}
	if c := a.key.due.Compare(b.key.due); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}

// compareOnTime orders the jobs that can still be done within their objective, or returns zero
// if the work that is left decides. What has been done for a job is lost if it comes late, so
// that those with work done go first. Of the others the newest goes first: with more work than
// the service can do, the oldest would each have waited until they are late.
func compareOnTime(a, b *job) int {
	switch {
	case a.key.begun && b.key.begun:
		return 0
	case a.key.begun:
		return -1
	case b.key.begun:
		return 1
	}
	return b.key.due.Compare(a.key.due)
}

// rank returns the scheduling order of the job at a time.
func (j *job) rank(now time.Time) sortKey {
	if j.longRunning {
		return sortKey{class: classLongRunning, priority: j.queue.Priority, due: j.acceptedAt}
	}
	if !j.estimates.valid {
		j.estimates = j.estimate()
	}
	e := &j.estimates
	k := sortKey{classHopeless, j.queue.Priority, e.work, e.due, e.begun}
	switch {
	case j.Spec.Repetitions > 0:
		k.class, k.remainingWork, k.begun = classOnTime, 0, true
	case j.Excess && !now.After(e.lateUntil):
		k.class = classExcess
	case !now.After(e.onTimeUntil):
		k.class = classOnTime
	case !now.After(e.lateUntil):
		k.class = classLate
	}
	return k
}

// classEnds returns until when the job keeps its present class, if it does not stay in it.
func (j *job) classEnds() (at time.Time, ok bool) {
	switch {
	case j.longRunning, j.Spec.Repetitions > 0:
	case j.key.class == classOnTime:
		return j.estimates.onTimeUntil, true
	case j.key.class == classLate, j.key.class == classExcess:
		return j.estimates.lateUntil, true
	}
	return time.Time{}, false
}

// jobEstimates is what the rank of a job depends on beside the time. It is valid until a
// work item of the job is done or the configuration of its queue changes.
type jobEstimates struct {
	valid bool
	// work is the remaining work, in core milliseconds.
	work  int64
	due   time.Time
	begun bool
	// onTimeUntil and lateUntil are the latest times at which the job, if all of it starts
	// then, is done within its objective, and before it is of no use.
	onTimeUntil, lateUntil time.Time
}

func (j *job) estimate() jobEstimates {
	objective := j.objective()
	accepted, left := j.acceptedAt, j.remainingTime()
	return jobEstimates{
		valid: true, work: j.remainingWork(), due: accepted.Add(objective), begun: j.begun(),
		onTimeUntil: accepted.Add(objective - left), lateUntil: accepted.Add(hopelessFactor*objective - left),
	}
}

// begun reports whether a work item of the job is done.
func (j *job) begun() bool {
	if j.unplanned {
		return false
	}
	return slices.ContainsFunc(j.occurrence(0), func(set *itemSet) bool { return set.itemsLeft < set.step.Count })
}

func (j *job) objective() time.Duration {
	return time.Duration(j.queue.Stretch*float64(j.criticalPath)) + j.queue.TargetLatency
}

// remainingTime returns the estimated duration of the longest chain of dependent
// steps that are not done.
func (j *job) remainingTime() time.Duration {
	if j.unplanned {
		return j.criticalPath
	}
	sets := j.occurrence(0)
	var buf [8]time.Duration
	ends := slices.Grow(buf[:0], len(sets))[:len(sets)]
	var longest time.Duration
	for i, set := range sets {
		var begin time.Duration
		for _, a := range set.step.After {
			if a >= 0 && a < i {
				begin = max(begin, ends[a])
			}
		}
		if set.itemsLeft > 0 {
			ends[i] = begin + set.step.Estimate
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// remainingWork returns the estimated processor time of the work items that are
// not done, in core milliseconds.
func (j *job) remainingWork() int64 {
	var sum int64
	if j.unplanned {
		for i := range j.Spec.Steps {
			sum += j.Spec.Steps[i].work(j.Spec.Steps[i].Count)
		}
		return sum
	}
	for _, set := range j.occurrence(0) {
		sum += set.step.work(set.itemsLeft)
	}
	return sum
}

// work returns the estimated processor time of n work items of s, in core milliseconds.
func (s *Step) work(n int) int64 {
	return int64(n) * s.Need.MilliCPU * s.Estimate.Milliseconds() / 1000
}
