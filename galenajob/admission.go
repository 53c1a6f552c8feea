package galenajob

import "time"

const (
	// rateBucket and rateBuckets set the period over which the rate of started work is
	// measured: 2 s, about as long as work items take.
	rateBucket  = 250 * time.Millisecond
	rateBuckets = 8
	// minRetryAfter and maxRetryAfter bound when the caller of a rejected job may come back.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// startRate measures how much work is started. Its zero value is ready to use.
type startRate struct {
	work [rateBuckets]int64
	// bucket is the number of the present bucket since the Unix epoch of the clock.
	bucket int64
}

func (r *startRate) add(now time.Time, work int64) {
	r.advance(now)
	r.work[r.bucket%rateBuckets] += work
}

// perSecond returns the work that was started in a second, on average.
func (r *startRate) perSecond(now time.Time) int64 {
	r.advance(now)
	var sum int64
	for _, w := range r.work {
		sum += w
	}
	return sum * int64(time.Second) / int64(rateBuckets*rateBucket)
}

func (r *startRate) advance(now time.Time) {
	b := now.UnixNano() / int64(rateBucket)
	for i := max(r.bucket+1, b-rateBuckets+1); i <= b; i++ {
		r.work[i%rateBuckets] = 0
	}
	r.bucket = max(r.bucket, b)
}

// PoolLimits is what the service can count on for the work that waits.
type PoolLimits struct {
	// MilliCPU is the processor capacity that the service has or will soon have, without
	// long-running work, in thousandths of a core.
	MilliCPU int64
	// StartLimited is set while instances stay idle because the owner cannot start work
	// faster. Only the measured rate of starts counts then.
	StartLimited bool
}

// SetPoolLimits sets what Admit counts on. Before the first call, it accepts all jobs.
func (s *Scheduler) SetPoolLimits(l PoolLimits) { s.limits = &l }

// Admit reports whether a new job could still be of use, given the work that would come
// before it. If not, it returns after what time the same job could be accepted. Callers
// that are turned away one after the other get times in the same order.
func (s *Scheduler) Admit(now time.Time, record *Job) (retryAfter time.Duration, ok bool) {
	if s.limits == nil || record.Spec.LongRunning() || record.Spec.Repetitions > 0 {
		return 0, true
	}
	j := &job{Job: record, queue: s.queues[record.Queue], sets: map[int][]*itemSet{}, criticalPath: criticalPath(&record.Spec), acceptedAt: now}
	rate := s.startRate.perSecond(now)
	if !s.limits.StartLimited {
		rate = max(rate, s.limits.MilliCPU)
	}
	ahead := s.workAhead(now, j)
	if rate <= 0 || ahead == 0 {
		return 0, true
	}
	wait := workTime(ahead, rate)
	limit := hopelessFactor*j.objective() - j.criticalPath
	if wait <= limit {
		return 0, true
	}
	turnedAway := max(0, s.turnedAway-int64(now.Sub(s.turnedAwayAt).Seconds()*float64(rate)))
	s.turnedAway, s.turnedAwayAt = turnedAway+j.remainingWork(), now
	return min(max(minRetryAfter, wait-limit+workTime(turnedAway, rate)), maxRetryAfter), false
}

// workTime returns how long work of the given amount takes at a rate in a second.
func workTime(work, rate int64) time.Duration {
	return time.Duration(float64(work) / float64(rate) * float64(time.Second))
}

// workAhead returns the remaining work, in core milliseconds, of the jobs with waiting work
// items that come before a new job.
func (s *Scheduler) workAhead(now time.Time, j *job) int64 {
	j.key = j.rank(now)
	var sum int64
	for _, o := range s.order.sorted {
		if compareJobs(o, j) >= 0 {
			break
		}
		if !o.settled && !o.longRunning && o.Spec.Repetitions == 0 {
			sum += o.key.remainingWork
		}
	}
	return sum
}
