package galenaentry

import (
	"context"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/galenahead/galenahead"
)

// ServingPolicy tells whether this entry may serve requests now.
type ServingPolicy interface {
	// CheckServing returns nil, or why requests must be refused.
	CheckServing() error
	// DefaultDeadline returns the deadline of a service's requests that name none.
	DefaultDeadline(service galenahead.ServiceName) time.Duration
}

// httpHandler turns HTTP requests into exchanges and their answers into HTTP.
type httpHandler struct {
	name     galenahead.EntryName
	started  time.Time
	policy   ServingPolicy
	timers   galenahead.Timers
	pipeline Handler
	// rejectStopping answers while the entry stops. It decides the claim first,
	// so that a resend gets its recorded result or a certain not_run.
	rejectStopping Handler
	observer       Observer
	inFlight       atomic.Int64
	lastSequence   atomic.Uint64
	stopping       atomic.Bool
}

// serve handles one HTTP request of a caller.
func (a *httpHandler) serve(c *fasthttp.RequestCtx) {
	a.inFlight.Add(1)
	defer a.inFlight.Add(-1)
	now := a.timers.Now()
	service := galenahead.ServiceName(c.Request.Header.Peek(HeaderService))
	x, err := parseRequest(c, now, a.policy.DefaultDeadline(service))
	if err != nil {
		writeAnswer(c, nil, galenahead.NotRun(ReasonBadRequest), err.Error())
		return
	}
	x.ID = a.newID()
	x.CallerDisconnected = connectionClosedFunc(c)
	ans := a.answer(x)
	writeAnswer(c, x, ans, "")
	a.observer.Answered(x, ans, a.timers.Now())
}

// answer refuses the request when this entry must not serve, and passes it
// through the filters otherwise.
func (a *httpHandler) answer(x *Exchange) galenahead.Answer {
	if a.stopping.Load() {
		return a.rejectStopping(context.Background(), x)
	}
	if err := a.policy.CheckServing(); err != nil {
		return reject(x, ReasonEntryNotReady)
	}
	return a.pipeline(context.Background(), x)
}

// newID returns an identifier that no other entry and no other run of this
// entry uses.
func (a *httpHandler) newID() string {
	b := make([]byte, 0, 2*galenahead.MaxIDLength)
	b = append(b, a.name...)
	b = append(b, '.')
	b = strconv.AppendInt(b, a.started.UnixNano(), 36)
	b = append(b, '.')
	b = strconv.AppendUint(b, a.lastSequence.Add(1), 36)
	return string(b)
}

// connectionClosedFunc returns a function that reports whether the caller closed
// its connection. It may be called only while the request is being handled.
func connectionClosedFunc(c *fasthttp.RequestCtx) func() bool {
	sc, ok := c.Conn().(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	return func() bool {
		closed := false
		err := raw.Control(func(fd uintptr) {
			var b [1]byte
			n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			closed = n == 0 && err == nil || err == syscall.ECONNRESET
		})
		return err != nil || closed
	}
}
