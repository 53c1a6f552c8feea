// Package galenaqueue holds the requests of a service that wait for a slot.
// Callers share the slots by deficit round robin; among the requests of one
// caller, the one with the earliest deadline is served first. The current time
// is a parameter, so that a sequence of calls always has the same result.
package galenaqueue

import (
	"sync"
	"time"

	"github.com/galenahead/galenahead"
)

const (
	// defaultMaxRequests bounds the waiting requests of one service.
	defaultMaxRequests = 4096
	// defaultMaxBytes bounds the bodies of the waiting requests of one service.
	defaultMaxBytes = 32 << 20
	// maxCost bounds the cost of one request in quanta, so that a wrong estimate
	// cannot make Pop visit the callers more than maxCost times.
	maxCost = 64
	// popIntervalWeight is the weight of the newest interval in the moving average
	// of the time between two pops.
	popIntervalWeight = 1.0 / 32
)

// Estimate is the expected run time of a request; zero when nothing is known.
type Estimate struct {
	// Low is a low quantile. A request with less time left is rejected.
	Low time.Duration
	// High is a high quantile. A request with less time left is rejected while
	// its caller is above its share, because other requests use the slot better.
	High time.Duration
	// Mean is the mean run time over all requests of the service. Waiting times
	// are derived from it, because the requests ahead are of all classes.
	Mean time.Duration
}

// Config configures a Queue. The zero value has the default limits, equal
// weights and no estimates.
type Config struct {
	// MaxRequests bounds the waiting requests; 0 means 4096.
	MaxRequests int
	// MaxBytes bounds the bodies of the waiting requests; 0 means 32 MiB.
	MaxBytes int
	// Weights are the callers' relative shares; a caller not listed has weight 1.
	Weights map[galenahead.CallerName]int
	// Estimate returns the learned run time of a request.
	Estimate func(galenahead.Request) Estimate
	// Cost returns how much of its caller's share a request uses, 1 for an average
	// request. Nil counts every request as 1.
	Cost func(galenahead.Request) float64
}

// Queue holds the waiting requests of one service. The zero value is an empty
// queue with the zero Config.
type Queue struct {
	mu    sync.Mutex
	cfg   Config
	flows map[galenahead.CallerName]*flow
	// current is the flow being served; the flows form a ring.
	current     *flow
	waiting     int
	bytes       int
	slots       int
	expired     int64
	sequence    uint64
	lastPop     time.Time
	popInterval float64 // average seconds between two pops while requests wait
}

// New returns an empty queue.
func New(cfg Config) *Queue { return &Queue{cfg: cfg} }

// SetWeights replaces the callers' weights, for example after a configuration
// change.
func (q *Queue) SetWeights(weights map[galenahead.CallerName]int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.cfg.Weights = weights
	for _, f := range q.flows {
		f.weight = q.weight(f.caller)
	}
}

// SetSlots sets how many slots this queue can expect to use. With 0, the
// default, the low quantile of a request's own run time is the only estimate
// that can reject it.
func (q *Queue) SetSlots(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots = slots
}

// Push queues r. It fails with ErrDeadline when r cannot finish in time and
// with ErrQueueFull when r's caller has reached its part of the limits.
func (q *Queue) Push(now time.Time, r galenahead.Request) (*Ticket, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	f := q.flow(r.Caller)
	if err := q.admit(now, f, r); err != nil {
		q.removeIdle(f)
		return nil, err
	}
	t := newTicket(now, r, f)
	est := q.estimate(r)
	t.latestStart = r.Deadline.Add(-est.Low)
	t.latestSafeStart = r.Deadline.Add(-max(est.Low, est.High))
	q.sequence++
	t.sequence = q.sequence
	f.push(t)
	q.waiting++
	q.bytes += t.size
	if !f.inRing {
		q.addToRing(f)
	}
	return t, nil
}

// Pop removes the next request to serve. It drops requests that can no longer
// finish in time.
func (q *Queue) Pop(now time.Time) (*Ticket, bool) {
	return q.Dispatch(now, func(galenahead.Request) (galenahead.SlotLease, bool) {
		return galenahead.SlotLease{}, true
	})
}

// Dispatch calls acquire with the next request to serve and removes the request
// with the slot lease that acquire returns. If acquire returns false, the
// request stays queued. acquire is called with the queue locked and must not
// call methods of the queue.
func (q *Queue) Dispatch(now time.Time, acquire func(galenahead.Request) (galenahead.SlotLease, bool)) (*Ticket, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	f := q.nextFlow(now)
	if f == nil {
		return nil, false
	}
	t := f.heap[0]
	lease, ok := acquire(t.request)
	if !ok {
		return nil, false
	}
	f.deficit -= q.cost(t.request)
	f.pop()
	q.removeFromCounts(t)
	q.updatePopInterval(now)
	t.lease = lease
	t.finish(StateDispatched)
	return t, true
}

// Cancel removes t. It returns false when t is no longer waiting. Its amortized
// cost does not depend on the length of the queue.
func (q *Queue) Cancel(t *Ticket) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.state != StateWaiting {
		return false
	}
	q.removeFromCounts(t)
	// The ticket may stay in the heap; the memory of its body is freed at once.
	t.request.Body = nil
	t.finish(StateCancelled)
	t.flow.compact()
	return true
}

// Expire drops the requests that can no longer finish in time and returns their
// number. The entry calls it periodically, so that these requests are answered
// even while no slot becomes free.
func (q *Queue) Expire(now time.Time) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	before := q.expired
	for _, f := range q.flows {
		q.purge(now, f)
	}
	return int(q.expired - before)
}

// Waiting returns the number of waiting requests by caller.
func (q *Queue) Waiting() map[galenahead.CallerName]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	counts := make(map[galenahead.CallerName]int, len(q.flows))
	for name, f := range q.flows {
		if f.waiting > 0 {
			counts[name] = f.waiting
		}
	}
	return counts
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting
}

// nextFlow returns the flow whose first request is to be served, or nil.
func (q *Queue) nextFlow(now time.Time) *flow {
	for q.current != nil {
		f := q.current
		q.purge(now, f)
		if f.waiting == 0 {
			q.removeFromRing(f)
			continue
		}
		if !f.quantumAdded {
			f.deficit += float64(f.weight)
			f.quantumAdded = true
		}
		if f.deficit >= q.cost(f.heap[0].request) {
			return f
		}
		f.quantumAdded = false
		q.current = f.next
	}
	return nil
}

// purge removes cancelled requests from the front of f, and drops those that can
// no longer finish in time.
func (q *Queue) purge(now time.Time, f *flow) {
	for len(f.heap) > 0 {
		t := f.heap[0]
		if t.state == StateWaiting {
			if !now.After(t.latestSafeStart) || !now.After(t.latestStart) && !q.aboveShare(f) {
				return
			}
			q.removeFromCounts(t)
			q.expired++
			t.finish(StateExpired)
		}
		f.pop()
	}
}

// aboveShare reports whether more requests of f wait than it has slots by its
// share. The backlog of other callers never puts a caller above its share.
func (q *Queue) aboveShare(f *flow) bool {
	return q.slots > 0 && f.waiting*max(1, len(q.flows)) > q.slots
}

// removeFromCounts subtracts a request that no longer waits from the counts.
func (q *Queue) removeFromCounts(t *Ticket) {
	t.flow.waiting--
	t.flow.bytes -= t.size
	q.waiting--
	q.bytes -= t.size
}

func (q *Queue) flow(caller galenahead.CallerName) *flow {
	f := q.flows[caller]
	if f != nil {
		return f
	}
	if q.flows == nil {
		q.flows = make(map[galenahead.CallerName]*flow)
	}
	f = &flow{caller: caller, weight: q.weight(caller)}
	q.flows[caller] = f
	return f
}

func (q *Queue) weight(caller galenahead.CallerName) int {
	return max(1, q.cfg.Weights[caller])
}

// removeIdle deletes f unless it is in the ring, so that memory is bounded by
// the waiting requests.
func (q *Queue) removeIdle(f *flow) {
	if !f.inRing {
		delete(q.flows, f.caller)
	}
}

// addToRing inserts f after the flow being served, so that a caller that was
// idle gets its share back with the next slot.
func (q *Queue) addToRing(f *flow) {
	f.inRing = true
	if q.current == nil {
		f.prev, f.next = f, f
		q.current = f
		return
	}
	f.prev, f.next = q.current, q.current.next
	f.prev.next = f
	f.next.prev = f
}

// removeFromRing deletes f, the flow being served. A flow leaves the ring only
// at its turn, so that a caller that empties its queue and returns within one
// round cannot move ahead of the others.
func (q *Queue) removeFromRing(f *flow) {
	q.current = f.next
	if f.next == f {
		q.current = nil
	}
	f.prev.next = f.next
	f.next.prev = f.prev
	f.inRing = false
	delete(q.flows, f.caller)
}

func (q *Queue) cost(r galenahead.Request) float64 {
	if q.cfg.Cost == nil {
		return 1
	}
	return min(max(q.cfg.Cost(r), 0), maxCost)
}

func (q *Queue) estimate(r galenahead.Request) Estimate {
	if q.cfg.Estimate == nil {
		return Estimate{}
	}
	return q.cfg.Estimate(r)
}
