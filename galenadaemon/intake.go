package galenadaemon

import (
	"bytes"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/galenahead/galenahead/galenaintake"
	"github.com/galenahead/galenahead/galenalog"
	"github.com/galenahead/galenahead/galenametric"
)

// Cause is why a request was refused or a connection closed, in counters and the log.
type Cause string

// Causes of refusals.
const (
	// CauseTooLarge is a body beyond its limit.
	CauseTooLarge Cause = "body_too_large"
	// CauseNoBudget means that there is no room for the request now. It was not handled.
	CauseNoBudget Cause = "no_memory_budget"
	// CauseUnreadable is a body that can't be read to its end.
	CauseUnreadable Cause = "body_unreadable"
	// CauseDisplaced is a connection that was closed for the sake of another one.
	CauseDisplaced Cause = "connection_displaced"
)

const (
	// DefaultMaxBody is the limit of a body, in bytes, where there is no other.
	DefaultMaxBody = 4 << 20
	// StatusMaxBody is the limit of the body of a status request, which needs none.
	StatusMaxBody = 16 << 10
	// NoBudgetRetryAfter is how long a client should wait that was refused for want of room.
	NoBudgetRetryAfter = time.Second
	// smallAnswer is the length of an answer up to which the bound on connections covers it.
	smallAnswer = 8 << 10
)

// Intake bounds what the HTTP servers of a process hold of what others send, and of the answers that
// they don't read. A nil Intake bounds nothing.
type Intake struct {
	// Budget bounds the bodies that are being read or handled, and unread answers.
	Budget *galenaintake.Budget
	// MaxBody returns the limit of one body, in bytes. If it is nil, that is DefaultMaxBody.
	MaxBody func() int
	// Refuse answers a request that is refused. If it is nil, the answer is that of RefusePlainly.
	Refuse  func(c *fasthttp.RequestCtx, cause Cause)
	Logger  *logrus.Logger
	Metrics *galenametric.Metrics

	lines galenalog.Limit
	// decoding is held while a large body is decoded: that takes a multiple of its length, and
	// there is one processor for it anyway.
	decoding sync.Mutex
}

// WithMaxBody returns an intake with another limit of bodies, which shares the budget.
func (i *Intake) WithMaxBody(n int) *Intake {
	return &Intake{Budget: i.Budget, MaxBody: func() int { return n }, Refuse: i.Refuse, Logger: i.Logger, Metrics: i.Metrics}
}

// Body is the body of a request, with what it holds of the budget. It must be closed once the request
// is answered. Its zero value is an empty body.
type Body struct {
	Data []byte
	hold *galenaintake.Hold
}

// Read reads the body of a request. If it can't be held, Read answers the request and reports false:
// the request was not handled.
func (i *Intake) Read(c *fasthttp.RequestCtx) (Body, bool) {
	stream := c.RequestBodyStream()
	if i == nil || stream == nil {
		// The server uses its buffer again.
		return Body{Data: bytes.Clone(c.PostBody())}, true
	}
	abort := func() {}
	if conn, ok := c.Conn().(RequestConn); ok {
		abort = conn.Abort
		conn.SetReceiving(true)
		defer conn.SetReceiving(false)
	}
	b := Body{hold: i.Budget.Open(abort)}
	var err error
	b.Data, err = galenaintake.Read(stream, b.hold, int64(c.Request.Header.ContentLength()), int64(i.maxBody()))
	if err == nil {
		return b, true
	}
	b.Close()
	switch {
	case errors.Is(err, galenaintake.ErrTooLarge):
		i.RefuseFor(c, CauseTooLarge)
	case errors.Is(err, galenaintake.ErrNoBudget):
		i.RefuseFor(c, CauseNoBudget)
	default:
		i.RefuseFor(c, CauseUnreadable)
	}
	// What is left of the body is no request.
	c.SetConnectionClose()
	return Body{}, false
}

// Close ends what the body holds. It may be called more than once.
func (b *Body) Close() {
	if b.hold != nil {
		b.hold.Close()
	}
}

// Keep charges n bytes that the request holds beside its body, and fails with
// galenaintake.ErrNoBudget if there is no room for them.
func (b *Body) Keep(n int64) error {
	if b.hold == nil || b.hold.Grow(n) {
		return nil
	}
	return galenaintake.ErrNoBudget
}

// Decode decodes the body by f. Large bodies are decoded one at a time.
func (i *Intake) Decode(b *Body, f func(data []byte) error) error {
	if i != nil && len(b.Data) > galenaintake.LargeFrom {
		i.decoding.Lock()
		defer i.decoding.Unlock()
	}
	return f(b.Data)
}

// Answer sets the body of an answer. A long one counts against the budget until the client has read
// it, and the connection is closed if others need that room.
func (i *Intake) Answer(c *fasthttp.RequestCtx, data []byte) {
	if i == nil || len(data) <= smallAnswer {
		c.Response.SetBodyRaw(data)
		return
	}
	end := func() {}
	if conn, ok := c.Conn().(RequestConn); ok {
		end = conn.End
	}
	hold := i.Budget.OpenAnswer(int64(len(data)), end)
	c.SetBodyStream(&heldReader{Reader: bytes.NewReader(data), hold: hold}, len(data))
}

// heldReader is the body of an answer.
type heldReader struct {
	*bytes.Reader
	hold *galenaintake.Hold
}

// Close implements io.Closer. The server closes the body once it is written, or can't be.
func (r *heldReader) Close() error {
	r.hold.Close()
	return nil
}

func (i *Intake) maxBody() int {
	if i == nil || i.MaxBody == nil {
		return DefaultMaxBody
	}
	return i.MaxBody()
}

// RefuseFor refuses a request, and counts and logs that.
func (i *Intake) RefuseFor(c *fasthttp.RequestCtx, cause Cause) {
	if i == nil {
		RefusePlainly(c, cause)
		return
	}
	i.count(cause)
	if ok, leftOut := i.lines.Allow(time.Now()); ok && i.Logger != nil {
		galenalog.Info(i.Logger, "request refused", intakeLine{cause, c.RemoteIP().String(), int64(c.Request.Header.ContentLength()), leftOut})
	}
	if i.Refuse == nil {
		RefusePlainly(c, cause)
		return
	}
	i.Refuse(c, cause)
}

// RefusePlainly answers a request that is refused with a status and a line of text.
func RefusePlainly(c *fasthttp.RequestCtx, cause Cause) {
	switch cause {
	case CauseTooLarge:
		c.Error("the body is larger than the limit", fasthttp.StatusRequestEntityTooLarge)
	case CauseNoBudget:
		c.Error("no room for the request now; try again", fasthttp.StatusServiceUnavailable)
		SetRetryAfter(c, NoBudgetRetryAfter)
	default:
		c.Error("the body can't be read", fasthttp.StatusBadRequest)
	}
}

// SetRetryAfter tells the client when to come back, in whole seconds.
func SetRetryAfter(c *fasthttp.RequestCtx, d time.Duration) {
	c.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int((d+time.Second-1)/time.Second)))
}

func (i *Intake) count(cause Cause) {
	if i.Metrics != nil {
		i.Metrics.Counters.Add("refused_"+string(cause), 1)
	}
}

// CountDisplaced counts and logs a connection that was closed for the sake of another one.
func (i *Intake) CountDisplaced() {
	if i == nil {
		return
	}
	i.count(CauseDisplaced)
	if ok, leftOut := i.lines.Allow(time.Now()); ok && i.Logger != nil {
		galenalog.Info(i.Logger, "connection closed", intakeLine{cause: CauseDisplaced, leftOut: leftOut})
	}
}

// intakeLine is the log line of what was refused or closed for want of room.
type intakeLine struct {
	cause  Cause
	source string
	// announced is the length of the body, or negative if it is unknown.
	announced, leftOut int64
}

// AppendFields implements galenalog.Line.
func (l intakeLine) AppendFields(b []byte) []byte {
	b = galenalog.AppendString(b, "cause", string(l.cause))
	if l.source != "" {
		b = galenalog.AppendString(b, "source", l.source)
		b = galenalog.AppendInt(b, "announced_bytes", l.announced)
	}
	return galenalog.AppendInt(b, "lines_left_out", l.leftOut)
}
