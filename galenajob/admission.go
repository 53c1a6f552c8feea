package galenajob

import (
	"time"

	"github.com/galenahead/galenahead"
)

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
	j := &job{Job: record, queue: s.queues[record.Queue], unplanned: true, criticalPath: criticalPath(&record.Spec), acceptedAt: now}
	rate := s.startRate.perSecond(now)
	if !s.limits.StartLimited {
		rate = max(rate, s.limits.MilliCPU)
	}
	ahead, share := s.workAhead(now, j)
	if rate <= 0 || ahead == 0 {
		return 0, true
	}
	wait := workTime(ahead, rate)
	limit := hopelessFactor*j.objective() - j.criticalPath
	if wait <= limit {
		return 0, true
	}
	before := s.turnAway(now, j, max(1, int64(share*float64(rate))))
	return min(max(minRetryAfter, wait-limit+before), maxRetryAfter), false
}

// turnedAway is the work of the jobs that were rejected until a time, less what could have
// been done since.
type turnedAway struct {
	work int64
	at   time.Time
}

// turnAway records that a job is rejected, and returns how long the work of those of its
// account that were rejected before takes at the account's rate.
func (s *Scheduler) turnAway(now time.Time, j *job, rate int64) time.Duration {
	t := s.turnedAway[j.Account]
	left := max(0, t.work-int64(now.Sub(t.at).Seconds()*float64(rate)))
	if s.turnedAway == nil {
		s.turnedAway = map[galenahead.AccountName]turnedAway{}
	}
	s.turnedAway[j.Account] = turnedAway{left + j.remainingWork(), now}
	return workTime(left, rate)
}

// workTime returns how long work of the given amount takes at a rate in a second.
func workTime(work, rate int64) time.Duration {
	return time.Duration(float64(work) / float64(rate) * float64(time.Second))
}

// workAhead returns the remaining work, in core milliseconds, of the jobs with waiting work
// items that come before a new job, and the part of the pool's rate that the job's account has.
func (s *Scheduler) workAhead(now time.Time, j *job) (work int64, share float64) {
	j.key = j.rank(now)
	if s.ledger.Active() {
		return s.workAheadOfAccount(j)
	}
	var sum int64
	for _, o := range s.order.sorted {
		if compareJobs(o, j) >= 0 {
			break
		}
		if o.waitsForRoom() {
			sum += o.key.remainingWork
		}
	}
	return sum, 1
}

// waitsForRoom reports whether work items of the job wait that end by themselves.
func (j *job) waitsForRoom() bool { return !j.settled && !j.longRunning && j.Spec.Repetitions == 0 }
