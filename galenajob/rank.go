package galenajob

import (
	"cmp"
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
}

// jobOrder keeps the jobs of a scheduler in scheduling order. Few of them change their
// place between two plans, so that only these are sorted. Its zero value is ready to use.
type jobOrder struct {
	// sorted holds the jobs in the order of the last plan, and added those since.
	sorted, added []*job
	// moved and spare are buffers.
	moved, spare []*job
}

func (o *jobOrder) add(j *job) { o.added = append(o.added, j) }

// update removes final jobs and returns the others in scheduling order, which is valid
// until the next call.
func (o *jobOrder) update(now time.Time) []*job {
	kept := o.sorted[:0]
	o.moved = o.moved[:0]
	for _, j := range o.sorted {
		switch k := j.rank(now); {
		case j.final:
		case k == j.key:
			kept = append(kept, j)
		default:
			j.key = k
			o.moved = append(o.moved, j)
		}
	}
	for _, j := range o.added {
		if !j.final {
			j.key = j.rank(now)
			o.moved = append(o.moved, j)
		}
	}
	slices.SortFunc(o.moved, compareJobs)
	merged := o.spare[:0]
	rest := o.moved
	for _, j := range kept {
		for len(rest) > 0 && compareJobs(rest[0], j) < 0 {
			merged, rest = append(merged, rest[0]), rest[1:]
		}
		merged = append(merged, j)
	}
	merged = append(merged, rest...)
	// The buffers must not keep final jobs.
	clear(o.sorted)
	clear(o.moved)
	clear(o.added)
	o.sorted, o.spare, o.added = merged, o.sorted, o.added[:0]
	return o.sorted
}

// compareJobs compares two jobs by their scheduling order.
func compareJobs(a, b *job) int {
	if c := cmp.Compare(a.key.class, b.key.class); c != 0 {
		return c
	}
	if c := cmp.Compare(a.key.priority, b.key.priority); c != 0 {
		return c
	}
	if c := cmp.Compare(a.key.remainingWork, b.key.remainingWork); c != 0 {
		return c
	}
	if c := a.key.due.Compare(b.key.due); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
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
	k := sortKey{classHopeless, j.queue.Priority, e.work, e.due}
	switch {
	case j.Spec.Repetitions > 0:
		k.class, k.remainingWork = classOnTime, 0
	case !now.After(e.onTimeUntil):
		k.class = classOnTime
	case !now.After(e.lateUntil):
		k.class = classLate
	}
	return k
}

// jobEstimates is what the rank of a job depends on beside the time. It is valid until a
// work item of the job is done or the configuration of its queue changes.
type jobEstimates struct {
	valid bool
	// work is the remaining work, in core milliseconds.
	work int64
	due  time.Time
	// onTimeUntil and lateUntil are the latest times at which the job, if all of it starts
	// then, is done within its objective, and before it is of no use.
	onTimeUntil, lateUntil time.Time
}

func (j *job) estimate() jobEstimates {
	objective := j.objective()
	accepted, left := j.acceptedAt, j.remainingTime()
	return jobEstimates{
		valid: true, work: j.remainingWork(), due: accepted.Add(objective),
		onTimeUntil: accepted.Add(objective - left), lateUntil: accepted.Add(hopelessFactor*objective - left),
	}
}

func (j *job) objective() time.Duration {
	return time.Duration(j.queue.Stretch*float64(j.criticalPath)) + j.queue.TargetLatency
}

// remainingTime returns the estimated duration of the longest chain of dependent
// steps that are not done.
func (j *job) remainingTime() time.Duration {
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
	for _, set := range j.occurrence(0) {
		sum += int64(set.itemsLeft) * set.step.Need.MilliCPU * set.step.Estimate.Milliseconds() / 1000
	}
	return sum
}
