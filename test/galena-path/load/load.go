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
	// maxMicros is the largest latency told apart, in microseconds.
	maxMicros = 60_000_000
	// digits is the number of significant decimal digits of a latency.
	digits = 3
	// bodyBytes is the size of a request body.
	bodyBytes = 256
	// exchangeTimeout bounds one request.
	exchangeTimeout = 10 * time.Second
)

// Target is what requests are sent to.
type Target struct {
	Address string
	Service string
	// Idempotent is the value of X-Galena-Idempotent.
	Idempotent bool
	// Entry tells that the target is an entry, whose answers state the outcome.
	Entry bool
}

// Options are the settings of one run.
type Options struct {
	Connections int
	Duration    time.Duration
	// Rate is the number of requests per second over all connections, sent at
	// even intervals on each; 0 sends the next request at each answer.
	Rate float64
	Seed uint64
}

// Result is the result of one run.
type Result struct {
	// PerSecond is the number of answers per second.
	PerSecond float64
	P50, P99  time.Duration
}

// Run sends requests for the time of the options. It fails at the first answer
// that is not complete, correct and the request's own.
func Run(ctx context.Context, t Target, o Options) (Result, error) {
	g, ctx := errgroup.WithContext(ctx)
	rng := rand.New(rand.NewPCG(o.Seed, o.Seed))
	start := time.Now()
	workers := make([]*worker, o.Connections)
	for i := range workers {
		w := &worker{target: t, number: i, latency: hdr.New(1, maxMicros, digits), start: start, end: start.Add(o.Duration)}
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
	all := hdr.New(1, maxMicros, digits)
	for _, w := range workers {
		all.Merge(w.latency)
	}
	return Result{
		PerSecond: float64(all.TotalCount()) / time.Since(start).Seconds(),
		P50:       micros(all.ValueAtQuantile(50)),
		P99:       micros(all.ValueAtQuantile(99)),
	}, nil
}

func micros(v int64) time.Duration { return time.Duration(v) * time.Microsecond }

// worker sends requests over one connection, one at a time.
type worker struct {
	target   Target
	number   int
	interval time.Duration
	start    time.Time
	end      time.Time
	latency  *hdr.Histogram

	conn net.Conn
	r    *bufio.Reader
	w    *bufio.Writer
	req  fasthttp.Request
	resp fasthttp.Response
	sent int
}

func (w *worker) run(ctx context.Context) error {
	d := net.Dialer{}
	conn, err := d.DialContext(ctx, "tcp", w.target.Address)
	if err != nil {
		return eris.Wrap(err, "connect")
	}
	defer func() { _ = conn.Close() }()
	w.conn, w.r, w.w = conn, bufio.NewReader(conn), bufio.NewWriter(conn)
	w.prepare()
	for due := w.start; due.Before(w.end) && ctx.Err() == nil; due = w.next(due) {
		from := wait(due)
		if err := w.exchange(); err != nil {
			return err
		}
		// A latency below the resolution of one microsecond counts as one.
		if err := w.latency.RecordValue(max(1, time.Since(from).Microseconds())); err != nil {
			return eris.Wrap(err, "record latency")
		}
	}
	return ctx.Err()
}

func (w *worker) next(due time.Time) time.Time {
	if w.interval == 0 {
		return time.Now()
	}
	return due.Add(w.interval)
}

// wait waits for due and returns when the latency of the request begins: at due
// when the connection was not free in time, so that the wait for it counts, and
// else when the timer has fired, so that a late timer does not count.
func wait(due time.Time) time.Time {
	left := time.Until(due)
	if left <= 0 {
		return due
	}
	time.Sleep(left)
	return time.Now()
}

func (w *worker) prepare() {
	w.req.Header.SetMethod(fasthttp.MethodPost)
	w.req.Header.SetRequestURI("/quote")
	w.req.Header.SetHost(w.target.Address)
	w.req.Header.SetContentType("text/plain")
	w.req.Header.Set("X-Galena-Service", w.target.Service)
	w.req.Header.Set("X-Galena-Caller", "shop-"+strconv.Itoa(w.number%4))
	w.req.Header.Set("X-Galena-Deadline-Ms", strconv.FormatInt(exchangeTimeout.Milliseconds(), 10))
	w.req.Header.Set("X-Galena-Idempotent", strconv.FormatBool(w.target.Idempotent))
	w.req.Header.Set("X-Galena-Delivery", "1")
	w.req.SetBody(bytes.Repeat([]byte{'a' + byte(w.number%26)}, bodyBytes))
}

func (w *worker) exchange() error {
	w.sent++
	key := strconv.AppendInt(nil, time.Now().UnixMilli(), 10)
	key = append(key, '-')
	key = strconv.AppendInt(key, int64(w.number), 36)
	key = append(key, '.')
	key = strconv.AppendInt(key, int64(w.sent), 36)
	w.req.Header.SetBytesV("X-Galena-Key", key)
	if err := w.conn.SetDeadline(time.Now().Add(exchangeTimeout)); err != nil {
		return eris.Wrap(err, "set deadline")
	}
	if err := w.req.Write(w.w); err != nil {
		return eris.Wrap(err, "send")
	}
	if err := w.w.Flush(); err != nil {
		return eris.Wrap(err, "send")
	}
	if err := w.resp.Read(w.r); err != nil {
		return eris.Wrap(err, "receive")
	}
	return w.check(key)
}

// check compares the answer with what the stand-in upstream sends: the key, a
// line on the run, and the request's body.
func (w *worker) check(key []byte) error {
	body := w.resp.Body()
	ran := !w.target.Entry || string(w.resp.Header.Peek("X-Galena-Outcome")) == "ran"
	if ran && w.resp.StatusCode() == fasthttp.StatusOK && bytes.HasPrefix(body, key) && bytes.HasSuffix(body, w.req.Body()) {
		return nil
	}
	return eris.Errorf("%s: status %d, outcome %q, reason %q, body %.80q", key, w.resp.StatusCode(),
		w.resp.Header.Peek("X-Galena-Outcome"), w.resp.Header.Peek("X-Galena-Reason"), body)
}
