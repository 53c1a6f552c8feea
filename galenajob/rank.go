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

// rankedJobs returns the jobs in scheduling order. Inherited jobs wait until all
// instances are reconciled.
func (s *Scheduler) rankedJobs(now time.Time) []*job {
	jobs := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		if j.inherited && s.unreconciled > 0 {
			continue
		}
		j.key = s.rank(now, j)
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, compareJobs)
	return jobs
}

// compareJobs compares two jobs by their scheduling order. It compares only as much
// as it needs, since each plan sorts all jobs.
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

func (s *Scheduler) rank(now time.Time, j *job) sortKey {
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
