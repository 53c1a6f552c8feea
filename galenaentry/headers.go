package galenaentry

import (
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenabroker"
)

// Headers of callers' requests and answers; docs/interfaces.md describes them.
const (
	HeaderService    = "X-Galena-Service"
	HeaderCaller     = "X-Galena-Caller"
	HeaderKey        = "X-Galena-Key"
	HeaderDeadline   = "X-Galena-Deadline-Ms"
	HeaderIdempotent = "X-Galena-Idempotent"
	HeaderDelivery   = "X-Galena-Delivery"
	HeaderOutcome    = "X-Galena-Outcome"
	HeaderReason     = "X-Galena-Reason"
)

// maxDeadline bounds the time a request may take. Brokers keep counting the
// slots of a failed entry as used for that long.
const maxDeadline = galenabroker.DefaultMaxRequest

// errHeader reports a missing or malformed header.
var errHeader = eris.New("bad header")

// parseRequest copies the request, without its body, out of the HTTP library's buffers. A request
// without a deadline gets fallback.
func parseRequest(c *fasthttp.RequestCtx, now time.Time, fallback time.Duration) (*Exchange, error) {
	h := &c.Request.Header
	service, err := idHeader(h, HeaderService)
	if err != nil {
		return nil, err
	}
	caller, err := idHeader(h, HeaderCaller)
	if err != nil {
		return nil, err
	}
	key, err := idHeader(h, HeaderKey)
	if err != nil {
		return nil, err
	}
	idempotent, err := boolHeader(h, HeaderIdempotent)
	if err != nil {
		return nil, err
	}
	deadline, err := deadlineHeader(h, fallback)
	if err != nil {
		return nil, err
	}
	delivery, err := deliveryHeader(h)
	if err != nil {
		return nil, err
	}
	r := galenahead.Request{
		Key: galenahead.RequestKey(key), Service: galenahead.ServiceName(service),
		Caller: galenahead.CallerName(caller), Idempotent: idempotent,
		Arrived: now, Deadline: now.Add(deadline),
		Method: string(h.Method()), Path: string(h.RequestURI()),
		ContentType: string(h.ContentType()),
	}
	return &Exchange{Request: r, Delivery: delivery}, nil
}

func idHeader(h *fasthttp.RequestHeader, name string) (string, error) {
	v := string(h.Peek(name))
	if v == "" || len(v) > galenahead.MaxIDLength {
		return "", eris.Wrapf(errHeader, "%s is %q; allowed are 1 to %d bytes", name, v, galenahead.MaxIDLength)
	}
	return v, nil
}

func boolHeader(h *fasthttp.RequestHeader, name string) (bool, error) {
	v := h.Peek(name)
	switch string(v) {
	case "true":
		return true, nil
	case "false", "":
		// A request without the header is treated as not idempotent.
		return false, nil
	}
	return false, eris.Wrapf(errHeader, "%s is %q; allowed are true and false", name, v)
}

func deadlineHeader(h *fasthttp.RequestHeader, fallback time.Duration) (time.Duration, error) {
	v := string(h.Peek(HeaderDeadline))
	if v == "" {
		return fallback, nil
	}
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms < 1 || ms > maxDeadline.Milliseconds() {
		return 0, eris.Wrapf(errHeader, "%s is %q; allowed are 1 to %d milliseconds", HeaderDeadline, v, maxDeadline.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func deliveryHeader(h *fasthttp.RequestHeader) (int, error) {
	v := string(h.Peek(HeaderDelivery))
	if v == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < 1 {
		return 0, eris.Wrapf(errHeader, "%s is %q; allowed are whole numbers from 1", HeaderDelivery, v)
	}
	return n, nil
}
