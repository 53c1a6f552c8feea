package galenaqueue

import (
	"time"

	"github.com/galenahead/galenahead"
)

// admit returns nil if r may be queued, and otherwise the reason to reject it.
func (q *Queue) admit(now time.Time, f *flow, r galenahead.Request) error {
	est := q.estimate(r)
	if now.Add(est.Low).After(r.Deadline) {
		return galenahead.ErrDeadline
	}
	if !q.withinLimits(f, len(r.Body)) {
		return galenahead.ErrQueueFull
	}
	wait := q.expectedWait(f, r.Deadline, est)
	runTime := est.Low
	if q.aboveShare(f) {
		runTime = max(runTime, est.High)
	}
	if now.Add(wait + runTime).After(r.Deadline) {
		return galenahead.ErrDeadline
	}
	return nil
}

// withinLimits reports whether one more request of f is within the limits. A
// caller may use as much as is still free, so a single caller gets at most half
// of the queue and a burst always leaves room for the others.
func (q *Queue) withinLimits(f *flow, size int) bool {
	maxRequests, maxBytes := q.cfg.MaxRequests, q.cfg.MaxBytes
	if maxRequests == 0 {
		maxRequests = defaultMaxRequests
	}
	if maxBytes == 0 {
		maxBytes = defaultMaxBytes
	}
	return f.waiting < maxRequests-q.waiting && f.bytes+size <= maxBytes-q.bytes
}

// expectedWait estimates how long a request of f with the given deadline would
// wait.
func (q *Queue) expectedWait(f *flow, deadline time.Time, est Estimate) time.Duration {
	if q.slots == 0 || est.Mean == 0 {
		return 0
	}
	perSecond := float64(q.slots) / est.Mean.Seconds()
	if q.popInterval > 0 {
		perSecond = max(perSecond, 1/q.popInterval)
	}
	seconds := q.requestsAhead(f, deadline) / perSecond
	return time.Duration(seconds * float64(time.Second))
}

// requestsAhead estimates how many requests would be served before a request of
// f with the given deadline: those of f with an earlier deadline, and those that
// the other callers are served in as many round robin rounds.
func (q *Queue) requestsAhead(f *flow, deadline time.Time) float64 {
	own := f.countEarlier(deadline)
	rounds := own / float64(f.weight)
	total := own
	for _, other := range q.flows {
		if other != f {
			total += min(float64(other.waiting), rounds*float64(other.weight))
		}
	}
	return total
}

// updatePopInterval updates the moving average of the time between two pops
// while requests wait. It must be called after each pop.
func (q *Queue) updatePopInterval(now time.Time) {
	if !q.lastPop.IsZero() {
		interval := now.Sub(q.lastPop).Seconds()
		q.popInterval += (interval - q.popInterval) * popIntervalWeight
	}
	q.lastPop = now
	if q.waiting == 0 {
		q.lastPop = time.Time{}
	}
}
