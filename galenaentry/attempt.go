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

// lateAnswerTimeout is how long an attempt waits for an answer after its caller's
// deadline. The slot stays in use, because the instance may still be working.
const lateAnswerTimeout = 10 * time.Second

// forwarder sends requests and outlives their callers where an answer is late.
type forwarder struct {
	sender *galenaupstream.Sender
	timers galenahead.Timers
	// inFlight counts the attempts in flight, for a graceful stop.
	inFlight sync.WaitGroup
}

// handle is the last step of the pipeline: it sends the request once under the
// slot of x and waits for the answer until the caller's deadline. The caller's
// goroutine does both, unless the answer is late or comes in parts.
func (f *forwarder) handle(ctx context.Context, x *Exchange) galenahead.Answer {
	x.Attempts++
	att := &attempt{
		forwarder: f, dispatcher: x.dispatcher, lease: x.Lease, request: &x.Request, onLateAnswer: x.onLateAnswer, start: f.timers.Now(),
	}
	f.inFlight.Add(1)
	sent, err := f.sender.Begin(att.lease.Address, x.Request, x.ID+"."+strconv.Itoa(x.Attempts), att.canSend)
	if err == nil && !sent.Ready() {
		return att.waitUntilDeadline(ctx, x, sent)
	}
	defer f.inFlight.Done()
	var a galenahead.Answer
	if err == nil {
		a, err = sent.Finish(att.giveUpAt())
	}
	res := att.complete(a, err)
	x.Retriable = res.retriable
	return res.answer
}

// attempt is one sending of a request to one instance.
type attempt struct {
	forwarder    *forwarder
	dispatcher   *dispatcher
	lease        galenahead.SlotLease
	request      *galenahead.Request
	onLateAnswer func(galenahead.Answer)
	start        time.Time
	// result has the result of an attempt that may outlive its caller.
	result chan attemptResult

	mu        sync.Mutex
	finished  bool
	abandoned bool
	reported  bool
}

// reportToRouter tells the router the result of the attempt; only the first call
// counts.
func (t *attempt) reportToRouter(now time.Time, kind galenaroute.Kind, runTime time.Duration) {
	t.mu.Lock()
	first := !t.reported
	t.reported = true
	t.mu.Unlock()
	if first {
		t.dispatcher.router.Observe(now, t.lease, galenaroute.Result{Kind: kind, Class: galenaroute.Class(*t.request), RunTime: runTime})
	}
}

type attemptResult struct {
	answer    galenahead.Answer
	retriable bool
}

// giveUpAt is when the attempt gives up.
func (t *attempt) giveUpAt() time.Time { return t.request.Deadline.Add(lateAnswerTimeout) }

// waitUntilDeadline waits for the rest of the answer until the caller's deadline and
// leaves the attempt to its own goroutine.
func (t *attempt) waitUntilDeadline(ctx context.Context, x *Exchange, sent *galenaupstream.Sent) galenahead.Answer {
	f := t.forwarder
	t.result = make(chan attemptResult, 1)
	go t.receive(sent)
	select {
	case res := <-t.result:
		x.Retriable = res.retriable
		return res.answer
	case <-f.timers.After(ctx, t.request.Deadline.Sub(f.timers.Now())):
	}
	if !t.abandon() {
		res := <-t.result
		x.Retriable = res.retriable
		return res.answer
	}
	now := f.timers.Now()
	t.reportToRouter(now, galenaroute.TimedOut, now.Sub(t.start))
	return galenahead.Unknown(ReasonAnswerLate)
}

// receive receives the answer of an attempt that may outlive its caller.
func (t *attempt) receive(sent *galenaupstream.Sent) {
	defer t.forwarder.inFlight.Done()
	res := t.complete(sent.Finish(t.giveUpAt()))
	if t.markFinished() {
		t.result <- res
		return
	}
	if t.onLateAnswer != nil {
		t.onLateAnswer(res.answer)
	}
}

// complete returns the slot once the instance is done with the request.
func (t *attempt) complete(a galenahead.Answer, err error) attemptResult {
	now := t.forwarder.timers.Now()
	t.reportToRouter(now, routeResultKind(a, err), now.Sub(t.start))
	t.dispatcher.releaseSlot(t.lease)
	return classify(t.request, a, err)
}

// canSend is asked right before the first byte is sent.
func (t *attempt) canSend() bool {
	return t.dispatcher.slots.Valid(t.lease) && t.forwarder.timers.Now().Before(t.request.Deadline)
}

// markFinished reports whether the caller still waits.
func (t *attempt) markFinished() bool {
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

// routeResultKind classifies the result of sending for the router. A refused connection
// counts as a failure of the instance, an expired slot lease does not.
func routeResultKind(a galenahead.Answer, err error) galenaroute.Kind {
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
func classify(r *galenahead.Request, a galenahead.Answer, err error) attemptResult {
	switch {
	case err == nil:
		return attemptResult{answer: a, retriable: r.Idempotent && a.Status >= fasthttp.StatusInternalServerError}
	case errors.Is(err, galenaupstream.ErrUnsent):
		return attemptResult{answer: galenahead.NotRun(ReasonUpstreamUnreachable), retriable: true}
	case errors.Is(err, galenaupstream.ErrMismatch):
		return attemptResult{answer: galenahead.Unknown(ReasonAnswerMismatch), retriable: r.Idempotent}
	}
	return attemptResult{answer: galenahead.Unknown(ReasonAnswerLost), retriable: r.Idempotent}
}
