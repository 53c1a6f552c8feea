package galenaentry

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenadaemon"
)

// Observer is notified of every answered request.
type Observer interface {
	// Answered is called once for each exchange, after its answer was written.
	Answered(x *Exchange, a galenahead.Answer, now time.Time)
}

// writeAnswer writes the answer of x, which is nil for a request that could not
// be parsed. text is an optional human-readable body for a request that did not
// run; without it, the body is the reason.
func (h *httpHandler) writeAnswer(c *fasthttp.RequestCtx, x *Exchange, a galenahead.Answer, text string) {
	header := &c.Response.Header
	header.Set(HeaderOutcome, string(a.Outcome))
	if a.Reason != "" {
		header.Set(HeaderReason, a.Reason)
	}
	if x != nil {
		header.Set(HeaderKey, string(x.Request.Key))
	}
	if a.Reason == ReasonEntryOverloaded || a.Reason == ReasonQueueFull {
		galenadaemon.SetRetryAfter(c, galenadaemon.NoBudgetRetryAfter)
	}
	c.SetStatusCode(httpStatus(a))
	if a.Outcome != galenahead.OutcomeRan {
		if text == "" {
			text = a.Reason
		}
		c.SetContentType("text/plain; charset=utf-8")
		c.SetBodyString(text + "\n")
		return
	}
	if a.ContentType != "" {
		c.SetContentType(a.ContentType)
	}
	h.intake.Answer(c, a.Body)
}

// httpStatus returns the HTTP status of an answer: the upstream's own when the
// request ran, 400 for a request that no entry accepts, 503 for one that may be
// sent again, and 504 when it is not known whether the request ran.
func httpStatus(a galenahead.Answer) int {
	switch {
	case a.Outcome == galenahead.OutcomeRan:
		return a.Status
	case a.Outcome == galenahead.OutcomeUnknown:
		return fasthttp.StatusGatewayTimeout
	case a.Reason == ReasonBadRequest || a.Reason == ReasonBadKey:
		return fasthttp.StatusBadRequest
	}
	return fasthttp.StatusServiceUnavailable
}

// rejectUnreadable answers a request whose header could not be read. Nothing of it was sent to an
// upstream.
func (h *httpHandler) rejectUnreadable(c *fasthttp.RequestCtx, err error) {
	h.writeAnswer(c, nil, galenahead.NotRun(ReasonBadRequest), err.Error())
	c.SetConnectionClose()
}
