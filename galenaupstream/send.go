package galenaupstream

import (
	"bufio"
	"bytes"
	"errors"
	"os"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/galenahead/galenahead"
)

// Headers of a request to an upstream. The upstream may echo HeaderKey and
// HeaderAttempt in its response, which must then match the request.
const (
	HeaderKey      = "X-Galena-Key"
	HeaderCaller   = "X-Galena-Caller"
	HeaderDeadline = "X-Galena-Deadline-Ms"
	HeaderAttempt  = "X-Galena-Attempt"
)

// Errors of Sender and PendingRequest, to be tested with errors.Is.
var (
	// ErrUnsent reports that no byte of the request reached the upstream.
	ErrUnsent = eris.New("request was not sent")
	// ErrResponseLost reports that at least a part of the request was sent and no
	// complete response was received.
	ErrResponseLost = eris.New("request was sent but its response was lost")
	// ErrMismatch reports a response that belongs to another request.
	ErrMismatch = eris.New("response belongs to another request")
)

// Sender sends requests to upstreams.
type Sender struct {
	// MaxBody is the maximum size of a response body in bytes; 0 means 16 MiB.
	MaxBody int
	// Pool manages the connections.
	Pool Pool
}

const defaultMaxBody = 16 << 20

// Send sends r to addr and returns the upstream's complete response. It never sends
// r twice. It calls valid right before writing the first byte, and sends nothing if
// valid returns false. It stops sending at the request's deadline, and stops waiting
// for the response at until. It fails with ErrUnsent, ErrResponseLost or
// ErrMismatch.
func (s *Sender) Send(addr string, r galenahead.Request, attempt string, until time.Time, valid func() bool) (galenahead.Answer, error) {
	sent, err := s.Begin(addr, r, attempt, valid)
	if err != nil {
		return galenahead.Answer{}, err
	}
	return sent.Finish(until)
}

// PendingRequest is a request that was sent and whose response has not been read.
// Its methods are not safe for concurrent use. Finish must be called to release the
// connection.
type PendingRequest struct {
	sender  *Sender
	conn    *conn
	addr    string
	request galenahead.Request
	attempt string
	resp    *fasthttp.Response
	// headerRead is set once the header of resp has been read.
	headerRead bool
	// err is the first error of reading the response.
	err error
}

// Begin sends r to addr, at most until the request's deadline. It calls valid right
// before writing the first byte, and sends nothing if valid returns false. It fails
// with ErrUnsent or ErrResponseLost.
func (s *Sender) Begin(addr string, r galenahead.Request, attempt string, valid func() bool) (*PendingRequest, error) {
	c, err := s.Pool.acquire(addr, r.Deadline)
	if err != nil {
		return nil, eris.Wrap(ErrUnsent, err.Error())
	}
	if err := c.SetDeadline(r.Deadline); err != nil {
		s.Pool.discard(addr, c)
		return nil, eris.Wrap(ErrUnsent, err.Error())
	}
	if !valid() {
		s.Pool.put(addr, c)
		return nil, errors.Join(ErrUnsent, galenahead.ErrLeaseExpired)
	}
	before := c.written
	if err := writeRequest(c, addr, r, attempt); err != nil {
		s.Pool.discard(addr, c)
		if c.written == before {
			return nil, eris.Wrap(ErrUnsent, err.Error())
		}
		return nil, eris.Wrap(ErrResponseLost, err.Error())
	}
	r.Body = nil // it is sent
	return &PendingRequest{sender: s, conn: c, addr: addr, request: r, attempt: attempt, resp: fasthttp.AcquireResponse()}, nil
}

// WaitReady waits until the first part of the response arrives, at most until the
// request's deadline, and reports whether Finish can return without waiting. It
// returns false if the deadline has passed or if the response is incomplete.
func (t *PendingRequest) WaitReady() bool {
	reader := t.conn.reader
	if _, err := reader.Peek(1); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
		t.err = err
		return true
	}
	buffered, _ := reader.Peek(reader.Buffered())
	if bytes.HasPrefix(buffered, interimPrefix) || !bytes.Contains(buffered, headerEnd) {
		return false
	}
	t.err = readFinalHeader(reader, t.resp)
	t.headerRead = true
	length := t.resp.Header.ContentLength()
	return t.err != nil || hasNoBody(t.resp, t.request.Method) || length >= 0 && length <= reader.Buffered()
}

var (
	// interimPrefix is the beginning of a 1xx response.
	interimPrefix = []byte("HTTP/1.1 1")
	// headerEnd is the end of a header.
	headerEnd = []byte("\r\n\r\n")
)

// Finish returns the upstream's complete response. It stops waiting for it at until,
// and fails with ErrResponseLost or ErrMismatch.
func (t *PendingRequest) Finish(until time.Time) (galenahead.Answer, error) {
	defer fasthttp.ReleaseResponse(t.resp)
	a, reusable, err := t.read(until)
	if err != nil || !reusable {
		t.sender.Pool.discard(t.addr, t.conn)
		return a, err
	}
	t.sender.Pool.put(t.addr, t.conn)
	return a, nil
}

func (t *PendingRequest) read(until time.Time) (galenahead.Answer, bool, error) {
	maxBody := t.sender.MaxBody
	if maxBody == 0 {
		maxBody = defaultMaxBody
	}
	if t.err == nil && !t.headerRead {
		t.err = t.conn.SetDeadline(until)
	}
	if t.err == nil && !t.headerRead {
		t.err = readFinalHeader(t.conn.reader, t.resp)
	}
	if t.err == nil {
		t.err = t.readBody(until, maxBody)
	}
	if t.err != nil {
		return galenahead.Answer{}, false, eris.Wrap(ErrResponseLost, t.err.Error())
	}
	return newAnswer(t.conn, t.resp, t.request, t.attempt)
}

// readBody reads the body after the header. It rejects a response whose body ends
// only when the connection is closed, because such a response cannot be
// distinguished from a truncated one.
func (t *PendingRequest) readBody(until time.Time, maxBody int) error {
	if hasNoBody(t.resp, t.request.Method) {
		return nil
	}
	length := t.resp.Header.ContentLength()
	if length < -1 {
		return eris.New("response has neither a content length nor chunked encoding")
	}
	if length < 0 || length > t.conn.reader.Buffered() {
		if err := t.conn.SetDeadline(until); err != nil {
			return err
		}
	}
	if err := t.resp.ReadBody(t.conn.reader, maxBody); err != nil {
		return err
	}
	if length == -1 {
		return t.resp.Header.ReadTrailer(t.conn.reader)
	}
	return nil
}

// hasNoBody reports whether the response ends with its header.
func hasNoBody(resp *fasthttp.Response, method string) bool {
	status := resp.StatusCode()
	return method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// maxInterimResponses is the number of header blocks to read, including those of 1xx
// responses, until one must be that of the final response.
const maxInterimResponses = 8

// readFinalHeader reads headers until that of the final response, skipping those of
// 1xx responses.
func readFinalHeader(r *bufio.Reader, resp *fasthttp.Response) error {
	for range maxInterimResponses {
		if err := resp.Header.Read(r); err != nil {
			return err
		}
		if resp.StatusCode() >= fasthttp.StatusOK || resp.StatusCode() == fasthttp.StatusSwitchingProtocols {
			return nil
		}
	}
	return eris.New("too many interim responses")
}

func writeRequest(c *conn, addr string, r galenahead.Request, attempt string) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(r.Method)
	// The URI and host are set in the header, because req.SetHost parses the path.
	// fasthttp sends a parsed path in a normalized form, which may identify another
	// resource.
	req.Header.SetRequestURI(r.Path)
	req.Header.SetHost(addr)
	if r.ContentType != "" {
		req.Header.SetContentType(r.ContentType)
	}
	req.Header.Set(HeaderKey, string(r.Key))
	req.Header.Set(HeaderCaller, string(r.Caller))
	req.Header.Set(HeaderAttempt, attempt)
	remainingMS := max(time.Until(r.Deadline).Milliseconds(), 0)
	var digits [20]byte
	req.Header.SetBytesV(HeaderDeadline, strconv.AppendInt(digits[:0], remainingMS, 10))
	req.SetBodyRaw(r.Body)
	if err := req.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// newAnswer checks that the response belongs to the request and copies it, because
// fasthttp reuses the buffers of resp. It also reports whether the connection can be
// used again.
func newAnswer(c *conn, resp *fasthttp.Response, r galenahead.Request, attempt string) (galenahead.Answer, bool, error) {
	if !echoMatches(resp, HeaderKey, string(r.Key)) || !echoMatches(resp, HeaderAttempt, attempt) {
		return galenahead.Answer{}, false, ErrMismatch
	}
	a := galenahead.Answer{
		Outcome:     galenahead.OutcomeRan,
		Status:      resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		Body:        append([]byte(nil), resp.Body()...),
	}
	reusable := !resp.ConnectionClose() && c.reader.Buffered() == 0
	return a, reusable, nil
}

// echoMatches reports whether the response has the wanted value of a header or lacks
// the header.
func echoMatches(resp *fasthttp.Response, header, want string) bool {
	got := resp.Header.Peek(header)
	return len(got) == 0 || string(got) == want
}
