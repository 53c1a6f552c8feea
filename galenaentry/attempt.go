package galenaentry

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenaroute"
	"github.com/galenahead/galenahead/galenaupstream"
)

// lateLimit is how long an attempt waits for an answer after its caller's
// deadline. The slot stays in use, because the instance may still be working.
const lateLimit = 10 * time.Second

// attempts sends requests and outlives their callers where an answer is late.
type attempts struct {
	sender *galenaupstream.Sender
	timers galenahead.Timers
	// open counts the attempts in flight, for a graceful stop.
	open sync.WaitGroup
}

// handle is the last step of the pipeline: it sends the request once under the
// slot of x and waits for the answer until the caller's deadline. The caller's
// goroutine does both, unless the answer is late or comes in parts.
func (s *attempts) handle(ctx context.Context, x *Exchange) galenahead.Answer {
	x.Attempts++
	t := &attempt{
		owner: s, lane: x.lane, lease: x.Lease, request: &x.Request, late: x.late, start: s.timers.Now(),
	}
	s.open.Add(1)
	sent, err := s.sender.Begin(t.lease.Address, x.Request, x.ID+"."+strconv.Itoa(x.Attempts), t.valid)
	if err == nil && !sent.Ready() {
		return t.outlive(ctx, x, sent)
	}
	defer s.open.Done()
	var a galenahead.Answer
	if err == nil {
		a, err = sent.Finish(t.until())
	}
	r := t.end(a, err)
	x.Retriable = r.retriable
	return r.answer
}

// attempt is one sending of a request to one instance.
type attempt struct {
	owner   *attempts
	lane    *lane
	lease   galenahead.SlotLease
	request *galenahead.Request
	late    func(galenahead.Answer)
	start   time.Time
	// result has the result of an attempt that may outlive its caller.
	result chan result

	mu        sync.Mutex
	finished  bool
	abandoned bool
	observed  bool
}

// observe tells the router the result of the attempt; only the first call
// counts.
func (t *attempt) observe(now time.Time, kind galenaroute.Kind, took time.Duration) {
	t.mu.Lock()
	first := !t.observed
	t.observed = true
	t.mu.Unlock()
	if first {
		t.lane.router.Observe(now, t.lease, galenaroute.Result{Kind: kind, Class: galenaroute.Class(*t.request), RunTime: took})
	}
}

type result struct {
	answer    galenahead.Answer
	retriable bool
}

// until is when the attempt gives up.
func (t *attempt) until() time.Time { return t.request.Deadline.Add(lateLimit) }

// outlive waits for the rest of the answer until the caller's deadline and
// leaves the attempt to its own goroutine.
func (t *attempt) outlive(ctx context.Context, x *Exchange, sent *galenaupstream.Sent) galenahead.Answer {
	s := t.owner
	t.result = make(chan result, 1)
	go t.run(sent)
	select {
	case r := <-t.result:
		x.Retriable = r.retriable
		return r.answer
	case <-s.timers.After(ctx, t.request.Deadline.Sub(s.timers.Now())):
	}
	if !t.abandon() {
		r := <-t.result
		x.Retriable = r.retriable
		return r.answer
	}
	now := s.timers.Now()
	t.observe(now, galenaroute.TimedOut, now.Sub(t.start))
	return galenahead.Unknown(ReasonAnswerLate)
}

// run receives the answer of an attempt that may outlive its caller.
func (t *attempt) run(sent *galenaupstream.Sent) {
	defer t.owner.open.Done()
	r := t.end(sent.Finish(t.until()))
	if t.finish() {
		t.result <- r
		return
	}
	if t.late != nil {
		t.late(r.answer)
	}
}

// end returns the slot once the instance is done with the request.
func (t *attempt) end(a galenahead.Answer, err error) result {
	now := t.owner.timers.Now()
	t.observe(now, kindOf(a, err), now.Sub(t.start))
	t.lane.put(t.lease)
	return classify(t.request, a, err)
}

// valid is asked right before the first byte is sent.
func (t *attempt) valid() bool {
	return t.lane.slots.Valid(t.lease) && t.owner.timers.Now().Before(t.request.Deadline)
}

// finish reports whether the caller still waits.
func (t *attempt) finish() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.finished = true
	return !t.abandoned
}

// abandon reports whether the attempt is still open; its answer is then late.
func (t *attempt) abandon() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.abandoned = !t.finished
	return t.abandoned
}

// kindOf classifies the result of sending for the router. A refused connection
// counts as a failure of the instance, an expired slot lease does not.
func kindOf(a galenahead.Answer, err error) galenaroute.Kind {
	switch {
	case errors.Is(err, galenahead.ErrLeaseExpired):
		return galenaroute.Unsent
	case err != nil || a.Status >= fasthttp.StatusInternalServerError:
		return galenaroute.Failed
	}
	return galenaroute.Succeeded
}

// classify turns the result of sending into an answer. Only an idempotent
// request may be repeated after its first byte was sent.
func classify(r *galenahead.Request, a galenahead.Answer, err error) result {
	switch {
	case err == nil:
		return result{answer: a, retriable: r.Idempotent && a.Status >= fasthttp.StatusInternalServerError}
	case errors.Is(err, galenaupstream.ErrUnsent):
		return result{answer: galenahead.NotRun(ReasonUnsent), retriable: true}
	case errors.Is(err, galenaupstream.ErrMismatch):
		return result{answer: galenahead.Unknown(ReasonWrongAnswer), retriable: r.Idempotent}
	}
	return result{answer: galenahead.Unknown(ReasonAnswerLost), retriable: r.Idempotent}
}
