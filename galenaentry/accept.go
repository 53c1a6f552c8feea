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

// Gate tells whether this entry may serve requests now.
type Gate interface {
	// Serving returns nil, or why requests must be refused.
	Serving() error
	// Deadline returns the deadline of a service's requests that name none.
	Deadline(service galenahead.ServiceName) time.Duration
}

// acceptor turns HTTP requests into exchanges and their answers into HTTP.
type acceptor struct {
	name    galenahead.EntryName
	started time.Time
	gate    Gate
	timers  galenahead.Timers
	handle  Handler
	// refuseStopping answers while the entry stops. It decides the claim first,
	// so that a resend gets its recorded result or a certain not_run.
	refuseStopping Handler
	observer       Observer
	inFlight       atomic.Int64
	sequence       atomic.Uint64
	stopping       atomic.Bool
}

// serve handles one HTTP request of a caller.
func (a *acceptor) serve(c *fasthttp.RequestCtx) {
	a.inFlight.Add(1)
	defer a.inFlight.Add(-1)
	now := a.timers.Now()
	service := galenahead.ServiceName(c.Request.Header.Peek(HeaderService))
	x, err := parseRequest(c, now, a.gate.Deadline(service))
	if err != nil {
		writeAnswer(c, nil, galenahead.NotRun(ReasonBadRequest), err.Error())
		return
	}
	x.ID = a.newID()
	x.Gone = connectionClosed(c)
	ans := a.answer(x)
	writeAnswer(c, x, ans, "")
	a.observer.Answered(x, ans, a.timers.Now())
}

// answer refuses the request when this entry must not serve, and passes it
// through the filters otherwise.
func (a *acceptor) answer(x *Exchange) galenahead.Answer {
	if a.stopping.Load() {
		return a.refuseStopping(context.Background(), x)
	}
	if err := a.gate.Serving(); err != nil {
		return refuse(x, ReasonNotReady)
	}
	return a.handle(context.Background(), x)
}

// newID returns an identifier that no other entry and no other run of this
// entry uses.
func (a *acceptor) newID() string {
	b := make([]byte, 0, 2*galenahead.MaxIDLength)
	b = append(b, a.name...)
	b = append(b, '.')
	b = strconv.AppendInt(b, a.started.UnixNano(), 36)
	b = append(b, '.')
	b = strconv.AppendUint(b, a.sequence.Add(1), 36)
	return string(b)
}

// connectionClosed returns a function that reports whether the caller closed
// its connection. It may be called only while the request is being handled.
func connectionClosed(c *fasthttp.RequestCtx) func() bool {
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
