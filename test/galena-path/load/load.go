// Package load sends requests over a fixed number of connections and measures
// throughput and latency.
package load

import (
	"bufio"
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

const (
	// maxLatencyMicros is the largest latency that the histogram records, in
	// microseconds.
	maxLatencyMicros = 60_000_000
	// latencyDigits is the number of significant decimal digits of a latency.
	latencyDigits = 3
	// bodyBytes is the size of a request body.
	bodyBytes = 256
	// requestTimeout limits the time of one request.
	requestTimeout = 10 * time.Second
)

// Target describes the server that requests are sent to.
type Target struct {
	Address string
	Service string
	// Idempotent is the value of the header X-Galena-Idempotent.
	Idempotent bool
	// ViaEntry is true if the target is an entry, whose responses must have the outcome
	// ran.
	ViaEntry bool
}

// Options are the settings of one run.
type Options struct {
	Connections int
	Duration    time.Duration
	// Rate is the number of requests per second over all connections, which each send
	// at even intervals. If it is 0, each connection sends the next request as soon as
	// it has received a response.
	Rate float64
	Seed uint64
}

// Result is the result of one run.
type Result struct {
	// PerSecond is the number of responses per second.
	PerSecond float64
	P50, P99  time.Duration
}

// Run sends requests to t for o.Duration. It fails at the first response that is
// incomplete, wrong, or belongs to another request.
func Run(ctx context.Context, t Target, o Options) (Result, error) {
	g, ctx := errgroup.WithContext(ctx)
	rng := rand.New(rand.NewPCG(o.Seed, o.Seed))
	start := time.Now()
	workers := make([]*worker, o.Connections)
	for i := range workers {
		w := &worker{target: t, index: i, latency: hdr.New(1, maxLatencyMicros, latencyDigits), start: start, end: start.Add(o.Duration)}
		if o.Rate > 0 {
			w.interval = time.Duration(float64(o.Connections) / o.Rate * float64(time.Second))
			w.start = start.Add(time.Duration(rng.Float64() * float64(w.interval)))
		}
		workers[i] = w
		g.Go(func() error { return w.run(ctx) })
	}
	if err := g.Wait(); err != nil {
		return Result{}, err
	}
	all := hdr.New(1, maxLatencyMicros, latencyDigits)
	for _, w := range workers {
		all.Merge(w.latency)
	}
	return Result{
		PerSecond: float64(all.TotalCount()) / time.Since(start).Seconds(),
		P50:       microseconds(all.ValueAtQuantile(50)),
		P99:       microseconds(all.ValueAtQuantile(99)),
	}, nil
}

func microseconds(v int64) time.Duration { return time.Duration(v) * time.Microsecond }

// worker sends requests over one connection, one at a time.
type worker struct {
	target   Target
	index    int
	interval time.Duration
	start    time.Time
	end      time.Time
	latency  *hdr.Histogram

	conn      net.Conn
	reader    *bufio.Reader
	writer    *bufio.Writer
	req       fasthttp.Request
	resp      fasthttp.Response
	sentCount int
}

func (w *worker) run(ctx context.Context) error {
	d := net.Dialer{}
	conn, err := d.DialContext(ctx, "tcp", w.target.Address)
	if err != nil {
		return eris.Wrap(err, "connect")
	}
	defer func() { _ = conn.Close() }()
	w.conn, w.reader, w.writer = conn, bufio.NewReader(conn), bufio.NewWriter(conn)
	w.prepareRequest()
	for sendAt := w.start; sendAt.Before(w.end) && ctx.Err() == nil; sendAt = w.nextSend(sendAt) {
		latencyStart := waitUntil(sendAt)
		if err := w.sendRequest(); err != nil {
			return err
		}
		// The histogram's lowest value is one microsecond.
		if err := w.latency.RecordValue(max(1, time.Since(latencyStart).Microseconds())); err != nil {
			return eris.Wrap(err, "record latency")
		}
	}
	return ctx.Err()
}

func (w *worker) nextSend(sendAt time.Time) time.Time {
	if w.interval == 0 {
		return time.Now()
	}
	return sendAt.Add(w.interval)
}

// waitUntil waits until sendAt and returns the time from which the latency of the
// request is measured. If sendAt has already passed because the connection was busy,
// this is sendAt, so that the latency includes the wait for the connection. Otherwise
// it is the time when the timer fired, so that a late timer does not count.
func waitUntil(sendAt time.Time) time.Time {
	left := time.Until(sendAt)
	if left <= 0 {
		return sendAt
	}
	time.Sleep(left)
	return time.Now()
}

func (w *worker) prepareRequest() {
	w.req.Header.SetMethod(fasthttp.MethodPost)
	w.req.Header.SetRequestURI("/quote")
	w.req.Header.SetHost(w.target.Address)
	w.req.Header.SetContentType("text/plain")
	w.req.Header.Set("X-Galena-Service", w.target.Service)
	w.req.Header.Set("X-Galena-Caller", "shop-"+strconv.Itoa(w.index%4))
	w.req.Header.Set("X-Galena-Deadline-Ms", strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	w.req.Header.Set("X-Galena-Idempotent", strconv.FormatBool(w.target.Idempotent))
	w.req.Header.Set("X-Galena-Delivery", "1")
	w.req.SetBody(bytes.Repeat([]byte{'a' + byte(w.index%26)}, bodyBytes))
}

func (w *worker) sendRequest() error {
	w.sentCount++
	key := strconv.AppendInt(nil, time.Now().UnixMilli(), 10)
	key = append(key, '-')
	key = strconv.AppendInt(key, int64(w.index), 36)
	key = append(key, '.')
	key = strconv.AppendInt(key, int64(w.sentCount), 36)
	w.req.Header.SetBytesV("X-Galena-Key", key)
	if err := w.conn.SetDeadline(time.Now().Add(requestTimeout)); err != nil {
		return eris.Wrap(err, "set deadline")
	}
	if err := w.req.Write(w.writer); err != nil {
		return eris.Wrap(err, "send")
	}
	if err := w.writer.Flush(); err != nil {
		return eris.Wrap(err, "send")
	}
	if err := w.resp.Read(w.reader); err != nil {
		return eris.Wrap(err, "receive")
	}
	return w.checkResponse(key)
}

// checkResponse checks that the response is what the stand-in upstream sends: the
// key, a line that identifies the run, and the request's body.
func (w *worker) checkResponse(key []byte) error {
	body := w.resp.Body()
	ran := !w.target.ViaEntry || string(w.resp.Header.Peek("X-Galena-Outcome")) == "ran"
	if ran && w.resp.StatusCode() == fasthttp.StatusOK && bytes.HasPrefix(body, key) && bytes.HasSuffix(body, w.req.Body()) {
		return nil
	}
	return eris.Errorf("%s: status %d, outcome %q, reason %q, body %.80q", key, w.resp.StatusCode(),
		w.resp.Header.Peek("X-Galena-Outcome"), w.resp.Header.Peek("X-Galena-Reason"), body)
}
