package galenaentry

import (
	"context"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenadaemon"
)

// ServingPolicy decides whether this entry may serve requests now, and how long
// a request without a deadline may take.
type ServingPolicy interface {
	// CheckServing returns nil, or the reason why requests must be rejected.
	CheckServing() error
	// DefaultDeadline returns the deadline of a service's requests that set none.
	DefaultDeadline(service galenahead.ServiceName) time.Duration
}

// httpHandler converts callers' HTTP requests into exchanges, and answers into
// HTTP responses.
type httpHandler struct {
	name     galenahead.EntryName
	started  time.Time
	policy   ServingPolicy
	timers   galenahead.Timers
	pipeline Handler
	// rejectStopping answers requests while the entry stops. It decides the claim
	// first, so that a resend gets its recorded result, or not_run only where that
	// is certain.
	rejectStopping Handler
	observer       Observer
	// intake bounds the bodies of requests and unread answers. It may be nil.
	intake       *galenadaemon.Intake
	inFlight     atomic.Int64
	lastSequence atomic.Uint64
	stopping     atomic.Bool
}

// serve handles one HTTP request of a caller.
func (h *httpHandler) serve(c *fasthttp.RequestCtx) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	now := h.timers.Now()
	service := galenahead.ServiceName(c.Request.Header.Peek(HeaderService))
	x, err := parseRequest(c, now, h.policy.DefaultDeadline(service))
	if err != nil {
		h.writeAnswer(c, nil, galenahead.NotRun(ReasonBadRequest), err.Error())
		return
	}
	body, ok := h.intake.Read(c)
	if !ok {
		return
	}
	defer body.Close()
	x.Request.Body = body.Data
	x.ID = h.newID()
	x.CallerDisconnected = connectionClosedFunc(c)
	ans := h.answer(x)
	h.writeAnswer(c, x, ans, "")
	h.observer.Answered(x, ans, h.timers.Now())
	// An attempt whose answer is late may keep the exchange.
	x.Request.Body = nil
}

// refuse answers a request that is refused because of its body, or because there is no room for it.
// Nothing of it was sent to an upstream.
func (h *httpHandler) refuse(c *fasthttp.RequestCtx, cause galenadaemon.Cause) {
	if cause != galenadaemon.CauseNoBudget {
		h.writeAnswer(c, nil, galenahead.NotRun(ReasonBadRequest), string(cause))
		if cause == galenadaemon.CauseTooLarge {
			c.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
		}
		return
	}
	ans := galenahead.NotRun(ReasonEntryOverloaded)
	x, err := parseRequest(c, h.timers.Now(), 0)
	if err == nil {
		// An earlier delivery of the key may have run.
		ans = reject(x, ReasonEntryOverloaded)
	}
	h.writeAnswer(c, x, ans, "")
}

// answer rejects the request when this entry must not serve, and passes it
// through the filters otherwise.
func (h *httpHandler) answer(x *Exchange) galenahead.Answer {
	if h.stopping.Load() {
		return h.rejectStopping(context.Background(), x)
	}
	if err := h.policy.CheckServing(); err != nil {
		return reject(x, ReasonEntryNotReady)
	}
	return h.pipeline(context.Background(), x)
}

// newID returns an identifier that is unique across all entries and their
// restarts.
func (h *httpHandler) newID() string {
	b := make([]byte, 0, 2*galenahead.MaxIDLength)
	b = append(b, h.name...)
	b = append(b, '.')
	b = strconv.AppendInt(b, h.started.UnixNano(), 36)
	b = append(b, '.')
	b = strconv.AppendUint(b, h.lastSequence.Add(1), 36)
	return string(b)
}

// connectionClosedFunc returns a function that reports whether the caller closed
// its connection. That function may be called only while the request is being
// handled.
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
