package galenaentry

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenadaemon"
	"github.com/galenahead/galenahead/galenapeer"
	"github.com/galenahead/galenahead/galenaretry"
	"github.com/galenahead/galenahead/galenatimer"
)

var update = flag.Bool("update", false, "rewrite golden files")

func golden(t *testing.T, name, got string) {
	t.Helper()
	is := is.New(t)
	if *update {
		is.NoErr(os.WriteFile("testdata/"+name, []byte(got), 0o644))
	}
	want, err := os.ReadFile("testdata/" + name)
	is.NoErr(err)
	is.Equal(got, string(want))
}

// fakeUpstream echoes request bodies, counts runs and can block requests.
type fakeUpstream struct {
	runs, inFlight atomic.Int64
	// unblock lets one blocked request continue, or all once it is closed. Nil
	// blocks no request.
	unblock chan struct{}

	mu           sync.Mutex
	peakInFlight int64
}

func (u *fakeUpstream) handle(c *fasthttp.RequestCtx) {
	u.runs.Add(1)
	n := u.inFlight.Add(1)
	defer u.inFlight.Add(-1)
	u.mu.Lock()
	u.peakInFlight = max(u.peakInFlight, n)
	u.mu.Unlock()
	if u.unblock != nil {
		<-u.unblock
	}
	c.SetBody(c.PostBody())
}

// serveDelayed returns the address of an upstream that sends the first bytes of
// an answer at once, and the rest when it is unblocked.
func (u *fakeUpstream) serveDelayed(t testing.TB) string {
	return serve(t, func(c *fasthttp.RequestCtx) {
		body := string(c.PostBody())
		c.HijackSetNoResponse(true)
		c.Hijack(func(nc net.Conn) {
			_, _ = nc.Write([]byte("HTTP/1.1 200 OK\r\n"))
			u.runs.Add(1)
			<-u.unblock
			fmt.Fprintf(nc, "Content-Length: %d\r\n\r\n%s", len(body), body)
		})
	})
}

// Guards against a second run of a resent request, and against answering it with
// anything but the recorded result.
func TestResendGetsRecordedResult(t *testing.T) {
	is := is.New(t)
	u := &fakeUpstream{unblock: make(chan struct{})}
	f := newFixture(t, u.handle)
	first := make(chan galenahead.Answer)
	go func() { first <- f.send("1-a", false, 1) }()
	f.waitFor(func() bool { return u.runs.Load() == 1 })
	is.Equal(f.send("1-a", false, 2), galenahead.Unknown(ReasonClaimedByAnotherAttempt))
	close(u.unblock)
	a := <-first
	is.Equal(a.Outcome, galenahead.OutcomeRan)
	is.Equal(string(a.Body), "1-a")
	f.Server.claimRecorder.inFlight.Wait()
	is.Equal(f.send("1-a", false, 3), a)
	is.Equal(u.runs.Load(), int64(1))
}

// Guards against the answer not_run for a request that may have run: not_run
// requires a granted claim, an idempotent request or a first delivery. Also
// guards against a rejection that keeps the claim, an unknown outcome that
// releases it, and a rejection without a reason, such as of an unknown service.
func TestOutcomesGolden(t *testing.T) {
	cases := []struct {
		name string
		set  func(f *fixture)
	}{
		{"entry not ready", func(f *fixture) { f.policy.err = galenahead.ErrNotReady }},
		{"entry stopping", func(f *fixture) { f.httpHandler.stopping.Store(true) }},
		{"claim undecided", func(f *fixture) { f.claims.err = galenahead.ErrClaimUndecided }},
		{"key malformed", func(f *fixture) { f.claims.err = galenahead.ErrBadKey }},
		{"key expired", func(f *fixture) { f.claims.err = galenahead.ErrKeyExpired }},
		{"service unknown", func(f *fixture) { f.SetServices(f.t.Context(), nil) }},
		{"queue full", func(f *fixture) { f.slots.freeSlots = 0; f.fillQueue() }},
		{"no slot in time", func(f *fixture) { f.slots.freeSlots = 0; go f.expireQueue() }},
		{"upstream unreachable", func(f *fixture) { f.slots.address = "127.0.0.1:1" }},
		{"answer lost", func(f *fixture) { f.slots.address = serveClosed(f.t) }},
		{"answered", func(*fixture) {}},
	}
	var out strings.Builder
	for _, tc := range cases {
		for _, idempotent := range []bool{true, false} {
			for delivery := range 3 {
				t.Run("", func(t *testing.T) {
					f := newFixture(t, (&fakeUpstream{}).handle)
					go f.advanceUntilDone()
					tc.set(f)
					a := f.send("1-a", idempotent, delivery)
					f.Server.claimRecorder.inFlight.Wait()
					fmt.Fprintf(&out, "%s: idempotent=%t delivery=%d: %s %s claim=%s slots=%d\n", tc.name, idempotent, delivery,
						a.Outcome, a.Reason, f.claims.state("1-a"), f.slots.freeCount())
				})
			}
		}
	}
	golden(t, "outcomes.golden", out.String())
}

// advanceUntilDone advances the clock until the test ends, so that retry delays
// pass.
func (f *fixture) advanceUntilDone() {
	for f.t.Context().Err() == nil {
		f.clock.advance(time.Millisecond)
		time.Sleep(time.Millisecond)
	}
}

func (f *fixture) fillQueue() {
	d, _ := f.dispatchers.get("counter")
	for {
		if _, err := d.queue.Push(f.clock.Now(), galenahead.Request{Caller: "shop", Deadline: f.clock.Now().Add(time.Hour)}); err != nil {
			return
		}
	}
}

// expireQueue waits for one queued request and advances the clock past its
// deadline.
func (f *fixture) expireQueue() {
	d, _ := f.dispatchers.get("counter")
	f.waitFor(func() bool { return d.queue.Len() == 1 })
	f.clock.advance(2 * time.Minute)
}

// serveClosed returns the address of an upstream that reads a request and
// closes the connection.
func serveClosed(t testing.TB) string {
	return serve(t, func(c *fasthttp.RequestCtx) { c.HijackSetNoResponse(true); c.Hijack(func(net.Conn) {}) })
}

// Guards against the answer not_run after an attempt that may have run, when its
// retry gets no slot before the deadline.
func TestRetryKeepsAnswerOfEarlierAttempt(t *testing.T) {
	for _, earlier := range []galenahead.Answer{galenahead.Unknown(ReasonAnswerLost), {Outcome: galenahead.OutcomeRan, Status: 500}} {
		x := &Exchange{Request: galenahead.Request{Idempotent: true, Deadline: time.Now().Add(time.Hour)}}
		attempts := 0
		f := newFixture(t, nil)
		go f.advanceUntilDone()
		h := retryFilter(&galenaretry.Budgets{}, f.clock)(func(_ context.Context, x *Exchange) galenahead.Answer {
			attempts++
			x.Attempts, x.Retriable = attempts, attempts == 1
			if attempts == 1 {
				return earlier
			}
			return galenahead.NotRun(ReasonDeadline)
		})
		is.New(t).Equal(h(t.Context(), x), earlier)
		is.New(t).Equal(attempts, 2)
	}
}

// Guards against an answer after the deadline that is not recorded for a resend,
// keeps its slot, or is returned as the answer of another request.
func TestLateAnswerIsRecorded(t *testing.T) {
	is := is.New(t)
	u := &fakeUpstream{unblock: make(chan struct{}, 1)}
	f := newFixture(t, nil)
	f.slots.address = u.serveDelayed(t)
	first := make(chan galenahead.Answer)
	go func() { first <- f.send("1-a", false, 1) }()
	f.waitFor(func() bool { return u.runs.Load() == 1 })
	f.clock.advance(time.Minute)
	is.Equal(<-first, galenahead.Unknown(ReasonAnswerLate))
	is.Equal(f.slots.freeCount(), testSlots-1)
	u.unblock <- struct{}{}
	f.waitFor(func() bool { return f.claims.state("1-a") == galenahead.ClaimDone })
	is.Equal(f.slots.freeCount(), testSlots)
	is.Equal(string(f.send("1-a", false, 2).Body), "1-a")
	u.unblock <- struct{}{}
	is.Equal(string(f.send("1-b", false, 1).Body), "1-b")
	is.Equal(u.runs.Load(), int64(2))
}

// Guards against sending with an expired slot lease, and against failing the
// request instead of taking another slot.
func TestExpiredLeaseIsRetried(t *testing.T) {
	is := is.New(t)
	u := &fakeUpstream{}
	f := newFixture(t, u.handle)
	f.slots.expiredLeases = 2
	go f.advanceUntilDone()
	is.Equal(f.send("1-a", false, 1).Outcome, galenahead.OutcomeRan)
	is.Equal(u.runs.Load(), int64(1))
	is.Equal(f.slots.lastID, uint64(3))
	is.Equal(f.slots.freeCount(), testSlots)
}

// Guards against more connections to one instance, including idle ones, than
// this entry's share of the configured number, and against taking more slots
// than there are connections.
func TestConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	u := &fakeUpstream{unblock: make(chan struct{})}
	f := newFixture(t, u.handle)
	f.SetServices(t.Context(), []Service{{Name: "counter", Connections: 40}})
	var wg sync.WaitGroup
	for i := range testSlots {
		wg.Go(func() { is.Equal(f.send(fmt.Sprint("1-", i), false, 1).Outcome, galenahead.OutcomeRan) })
	}
	d, _ := f.dispatchers.get("counter")
	f.waitFor(func() bool { return u.runs.Load() == 3 && d.queue.Len() == testSlots-3 })
	is.Equal(f.slots.freeCount(), testSlots-3)
	close(u.unblock)
	wg.Wait()
	is.Equal(u.peakInFlight, int64(3))
	is.Equal(f.connectionShare(5), int64(1))
	is.Equal(f.connectionShare(64), int64(5))
}

// Guards against answers that reach the wrong request and against bodies that
// change when the HTTP library reuses its buffers, while some requests time out
// and their connections are reused. Run it with the race detector.
func TestAnswersAreNotCrossed(t *testing.T) {
	f := newFixtureWithTimers(t, &galenatimer.Service{}, func(c *fasthttp.RequestCtx) {
		if b := c.PostBody(); b[len(b)-1]%8 == 0 {
			time.Sleep(4 * time.Millisecond)
		}
		c.SetBody(c.PostBody())
	})
	addr := serve(t, f.httpHandler.serve)
	var wg sync.WaitGroup
	for w := range 16 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(w)))
			for i := range 100 {
				sendRandom(t, addr, fmt.Sprintf("1-%d-%d", w, i), rng)
			}
		})
	}
	wg.Wait()
}

// Guards against a request that changes when the HTTP library reuses its buffers
// while a late attempt still sends the request.
func TestRequestOutlivesBuffers(t *testing.T) {
	is := is.New(t)
	c := &fasthttp.RequestCtx{}
	fillRequest(&c.Request, "e", "1-a")
	c.Request.Header.SetRequestURI("/quote")
	c.Request.SetBodyString("body")
	x, err := parseRequest(c, time.Time{}, time.Second)
	is.NoErr(err)
	body, ok := (*galenadaemon.Intake)(nil).Read(c)
	is.True(ok)
	x.Request.Body = body.Data
	for _, b := range [][]byte{c.Request.Body(), c.Request.Header.RequestURI(), c.Request.Header.Peek(HeaderKey)} {
		clear(b)
	}
	is.Equal(string(x.Request.Body), "body")
	is.Equal(x.Request.Path, "/quote")
	is.Equal(x.Request.Key, galenahead.RequestKey("1-a"))
}

// sendRandom sends a body of random length that repeats the key. A quarter of
// the requests has the longest deadline and must run.
func sendRandom(t *testing.T, addr, key string, rng *rand.Rand) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	fillRequest(req, addr, key)
	deadline := 1 + rng.IntN(40)
	longDeadline := rng.IntN(4) == 0
	if longDeadline {
		deadline = int(maxDeadline.Milliseconds())
	}
	req.Header.Set(HeaderIdempotent, strconv.FormatBool(rng.IntN(2) == 0))
	req.Header.Set(HeaderDeadline, strconv.Itoa(deadline))
	req.SetBodyString(strings.Repeat(key+";", 1+rng.IntN(2000)) + string(rune('a'+rng.IntN(26))))
	if err := fasthttp.Do(req, resp); err != nil {
		t.Error(err)
		return
	}
	ran := string(resp.Header.Peek(HeaderOutcome)) == string(galenahead.OutcomeRan)
	if ran && string(resp.Body()) != string(req.Body()) || string(resp.Header.Peek(HeaderKey)) != key {
		t.Errorf("request %s got the answer of another request", key)
	}
	if longDeadline && !ran {
		t.Errorf("request %s did not run before the longest deadline: %s", key, &resp.Header)
	}
}

func fillRequest(req *fasthttp.Request, addr, key string) {
	req.SetRequestURI("http://" + addr + "/quote")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set(HeaderService, "counter")
	req.Header.Set(HeaderCaller, "shop")
	req.Header.Set(HeaderKey, key)
}

// Guards against requests that stay queued after their caller closed its
// connection.
func TestDisconnectedCallerIsDropped(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	f.slots.freeSlots = 0
	c, err := net.Dial("tcp", serve(t, f.httpHandler.serve))
	is.NoErr(err)
	req := fasthttp.AcquireRequest()
	fillRequest(req, "e", "1-a")
	_, err = req.WriteTo(c)
	is.NoErr(err)
	d, _ := f.dispatchers.get("counter")
	f.waitFor(func() bool { return d.queue.Len() == 1 })
	is.NoErr(c.Close())
	f.waitFor(func() bool { f.clock.advance(0); return d.queue.Len() == 0 })
	is.Equal(<-f.answers, galenahead.NotRun(ReasonCancelled))
	is.Equal(f.claims.state("1-a"), galenahead.ClaimState("free"))
}

// Guards against requests that wait forever, or fail while they are being sent,
// when their service is no longer configured.
func TestRemovedServiceEndsRequests(t *testing.T) {
	is := is.New(t)
	u := &fakeUpstream{unblock: make(chan struct{})}
	f := newFixture(t, u.handle)
	f.slots.freeSlots = 1
	sent, waiting := make(chan galenahead.Answer), make(chan galenahead.Answer)
	go func() { sent <- f.send("1-a", false, 1) }()
	f.waitFor(func() bool { return u.runs.Load() == 1 })
	go func() { waiting <- f.send("1-b", false, 1) }()
	d, _ := f.dispatchers.get("counter")
	f.waitFor(func() bool { return d.queue.Len() == 1 })
	f.SetServices(t.Context(), nil)
	is.Equal(<-waiting, galenahead.NotRun(ReasonServiceUnknown))
	f.waitFor(func() bool { d.mu.Lock(); defer d.mu.Unlock(); return d.stopped })
	x := &Exchange{Request: galenahead.Request{Service: "counter", Deadline: f.clock.Now().Add(time.Minute)}}
	ticket, err := d.enqueue(x)
	is.NoErr(err)
	<-ticket.Done()
	close(u.unblock)
	is.Equal((<-sent).Outcome, galenahead.OutcomeRan)
	is.Equal(f.slots.freeCount(), 1)
	sendAfterRemoval := Chain(f.forwarder.handle, queueFilter(f.dispatchers), func(next Handler) Handler {
		return func(ctx context.Context, x *Exchange) galenahead.Answer {
			f.SetServices(t.Context(), nil)
			return next(ctx, x)
		}
	})
	f.SetServices(t.Context(), []Service{{Name: "counter"}})
	is.Equal(sendAfterRemoval(t.Context(), x).Outcome, galenahead.OutcomeRan)
}

// Guards against a stop that interrupts a request or its late answer, and
// against accepting new requests while the entry stops.
func TestStopFinishesRequests(t *testing.T) {
	is := is.New(t)
	u := &fakeUpstream{unblock: make(chan struct{})}
	f := newFixture(t, nil)
	f.slots.address = u.serveDelayed(t)
	first := make(chan galenahead.Answer)
	go func() { first <- f.send("1-a", false, 1) }()
	f.waitFor(func() bool { return u.runs.Load() == 1 })
	f.clock.advance(time.Minute)
	is.Equal((<-first).Reason, ReasonAnswerLate)
	stopped := make(chan error)
	go func() { stopped <- f.Stop(t.Context()) }()
	f.waitFor(f.httpHandler.stopping.Load)
	is.Equal(f.send("1-b", false, 1), galenahead.NotRun(ReasonEntryStopping))
	select {
	case <-stopped:
		t.Fatal("Stop returned with an attempt in flight")
	default:
	}
	close(u.unblock)
	is.NoErr(<-stopped)
	is.Equal(f.claims.state("1-a"), galenahead.ClaimDone)
}

// Guards against reusing a decision that is older than servingTTL or outlives the
// confirmation that it is based on, for example after a pause of the process, and
// against caching a decision not to serve.
func TestServingCache(t *testing.T) {
	is := is.New(t)
	c := newClock()
	decisions := 0
	serving := galenapeer.ServingDecision{Ready: true, Age: galenapeer.ConfirmationTTL - servingTTL/2}
	cache := &servingCache{timers: c, decide: func() galenapeer.ServingDecision { decisions++; return serving }}
	for _, step := range []struct {
		pass time.Duration
		age  time.Duration
		want int
	}{{0, serving.Age, 1}, {servingTTL/2 - 1, 0, 1}, {1, 0, 2}, {servingTTL - 1, 0, 2}, {1, 0, 3}, {time.Hour, 4 * time.Second, 4}, {0, 0, 5}, {0, 0, 5}} {
		c.advance(step.pass)
		serving.Age = step.age
		is.NoErr(cache.check())
		is.Equal(decisions, step.want)
	}
	c.advance(servingTTL)
	serving.Ready = false
	for range 2 {
		is.True(errors.Is(cache.check(), galenahead.ErrNotReady))
	}
	is.Equal(decisions, 7)
}

// Guards against errors that do not state the value found and the values
// allowed, and against accepting announcements that exceed a limit.
func TestMalformedInputGolden(t *testing.T) {
	var out strings.Builder
	long := strings.Repeat("x", galenahead.MaxIDLength+1)
	for _, h := range []string{HeaderService, HeaderCaller, HeaderKey, HeaderDeadline, HeaderIdempotent, HeaderDelivery} {
		for _, v := range []string{"", "0", "-1", "yes", "99999999999999999999", "30001", long} {
			c := &fasthttp.RequestCtx{}
			fillRequest(&c.Request, "e", "1-a")
			c.Request.Header.Set(h, v)
			_, err := parseRequest(c, time.Time{}, time.Second)
			fmt.Fprintf(&out, "%s=%.8q: %v\n", h, v, err)
		}
	}
	good := `"instance":"i","address":"127.0.0.1:1","service":"s","data_centre":"d","rack":"r","vm":"v","slots":8,"connections":64,"lease_ms":3000`
	n := &announcer{announce: func(context.Context, galenahead.Announcement) error { return nil }}
	for _, extra := range []string{
		``, `,"instance":""`, `,"vm":"` + long + `"`, `,"rack":7`, `,"address":"host:80"`, `,"slots":0`, `,"slots":65537`,
		`,"connections":0`, `,"lease_ms":3001`, `,"in_flight":-1`, `,"leaving":true`, `,`,
	} {
		c := &fasthttp.RequestCtx{}
		c.Request.Header.SetMethod(fasthttp.MethodPost)
		c.Request.SetRequestURI(PathAnnounce)
		c.Request.SetBodyString("{" + good + extra + "}")
		n.serve(c)
		fmt.Fprintf(&out, "announcement %.16s: %d %s\n", extra, c.Response.StatusCode(), strings.TrimSpace(string(c.Response.Body())))
	}
	golden(t, "malformed.golden", out.String())
}

// Guards against headers that crash the parser, exceed a limit, or are rejected
// with an error other than errHeader.
func FuzzParseRequest(f *testing.F) {
	f.Add("counter", "shop", "1-a", "100", "true", "1")
	f.Add("", "shop\r\n", "-", "-1", "TRUE", "0")
	f.Add("s", strings.Repeat("c", 65), "1-\x00", "30001", "", "9223372036854775808")
	f.Fuzz(func(t *testing.T, service, caller, key, deadline, idempotent, delivery string) {
		c := &fasthttp.RequestCtx{}
		h := &c.Request.Header
		for name, v := range map[string]string{HeaderService: service, HeaderCaller: caller, HeaderKey: key,
			HeaderDeadline: deadline, HeaderIdempotent: idempotent, HeaderDelivery: delivery} {
			h.Set(name, v)
		}
		x, err := parseRequest(c, time.Time{}, time.Second)
		if err != nil {
			is.New(t).True(errors.Is(err, errHeader))
			return
		}
		left := x.Request.Deadline.Sub(time.Time{})
		is.New(t).True(left > 0 && left <= maxDeadline && x.Delivery >= 0)
		is.New(t).True(x.Request.Key != "" && len(x.Request.Caller) <= galenahead.MaxIDLength)
		is.New(t).True(!x.Request.Idempotent || idempotent == "true")
	})
}
