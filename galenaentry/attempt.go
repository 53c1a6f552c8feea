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
// deadline. The slot stays in use meanwhile, because the instance may still be
// working.
const lateAnswerTimeout = 10 * time.Second

// forwarder sends requests to upstreams. An attempt whose answer is late goes on
// after its caller was answered.
type forwarder struct {
	sender *galenaupstream.Sender
	timers galenahead.Timers
	// inFlight counts the attempts in flight, for a graceful stop.
	inFlight sync.WaitGroup
}

// handle is the last step of the pipeline. It sends the request once with the
// slot of x and waits for the answer until the caller's deadline. Both happen in
// the goroutine of the caller's request, unless the answer is late or arrives in
// parts.
func (f *forwarder) handle(ctx context.Context, x *Exchange) galenahead.Answer {
	x.Attempts++
	request := x.Request
	request.Body = nil // the attempt may outlive the request, and holds no body then
	att := &attempt{
		forwarder: f, dispatcher: x.dispatcher, lease: x.Lease, request: &request, onLateAnswer: x.onLateAnswer, start: f.timers.Now(),
	}
	f.inFlight.Add(1)
	sent, err := f.sender.Begin(att.lease.Address, x.Request, x.ID+"."+strconv.Itoa(x.Attempts), att.canSend)
	if err == nil && !sent.WaitReady() {
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

// attempt is one try to send a request to one instance and get its answer.
type attempt struct {
	forwarder    *forwarder
	dispatcher   *dispatcher
	lease        galenahead.SlotLease
	request      *galenahead.Request
	onLateAnswer func(galenahead.Answer)
	start        time.Time
	// result receives the result of an attempt that may outlive its caller.
	result chan attemptResult

	mu sync.Mutex
	// finished is set when the answer or an error was received.
	finished bool
	// abandoned is set when the caller was answered before the attempt finished.
	abandoned bool
	// reported is set when the router got the result of the attempt.
	reported bool
}

// reportToRouter reports the result of the attempt to the router. Only the first
// call has an effect.
func (t *attempt) reportToRouter(now time.Time, kind galenaroute.ResultKind, runTime time.Duration) {
	t.mu.Lock()
	first := !t.reported
	t.reported = true
	t.mu.Unlock()
	if first {
		t.dispatcher.router.Observe(now, t.lease, galenaroute.Result{Kind: kind, Class: galenaroute.Class(*t.request), RunTime: runTime})
	}
}

// attemptResult is the answer of an attempt and whether it may be retried.
type attemptResult struct {
	answer    galenahead.Answer
	retriable bool
}

// giveUpAt returns when the attempt stops waiting for an answer.
func (t *attempt) giveUpAt() time.Time { return t.request.Deadline.Add(lateAnswerTimeout) }

// waitUntilDeadline receives the answer in a separate goroutine and waits for it
// until the caller's deadline.
func (t *attempt) waitUntilDeadline(ctx context.Context, x *Exchange, sent *galenaupstream.PendingRequest) galenahead.Answer {
	f := t.forwarder
	t.result = make(chan attemptResult, 1)
	go t.run(sent)
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

// run waits for the answer of an attempt that may outlive its caller.
func (t *attempt) run(sent *galenaupstream.PendingRequest) {
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

// complete reports the result of the attempt to the router and releases the
// slot, which the instance no longer uses.
func (t *attempt) complete(a galenahead.Answer, err error) attemptResult {
	now := t.forwarder.timers.Now()
	t.reportToRouter(now, routeResultKind(a, err), now.Sub(t.start))
	t.dispatcher.releaseSlot(t.lease)
	return classify(t.request, a, err)
}

// canSend reports whether the slot lease and the deadline still allow to send
// the request. It is called right before the first byte is sent.
func (t *attempt) canSend() bool {
	return t.dispatcher.slots.Valid(t.lease) && t.forwarder.timers.Now().Before(t.request.Deadline)
}

// markFinished marks the attempt as finished and reports whether its caller
// still waits.
func (t *attempt) markFinished() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.finished = true
	return !t.abandoned
}

// abandon marks the attempt as abandoned unless it has finished, and reports
// whether it did. The answer of an abandoned attempt is late.
func (t *attempt) abandon() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.abandoned = !t.finished
	return t.abandoned
}

// routeResultKind classifies the result of an attempt for the router. A refused
// connection counts as a failure of the instance, an expired slot lease does
// not.
func routeResultKind(a galenahead.Answer, err error) galenaroute.ResultKind {
	switch {
	case errors.Is(err, galenahead.ErrLeaseExpired):
		return galenaroute.Unsent
	case err != nil || a.Status >= fasthttp.StatusInternalServerError:
		return galenaroute.Failed
	}
	return galenaroute.Succeeded
}

// classify converts the result of an attempt into an answer. Only an idempotent
// request may be retried after its first byte was sent.
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
