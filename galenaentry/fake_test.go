package galenaentry

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenaroute"
)

// clock is a timer service whose time moves only by advance.
type clock struct {
	mu    sync.Mutex
	now   time.Time
	after map[chan time.Time]time.Time
	ticks []chan time.Time
}

func newClock() *clock { return &clock{now: time.Now(), after: make(map[chan time.Time]time.Time)} }

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) Subscribe(context.Context, string, time.Duration) <-chan time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ticks = append(c.ticks, make(chan time.Time, 1))
	return c.ticks[len(c.ticks)-1]
}

func (c *clock) After(_ context.Context, d time.Duration) <-chan time.Time {
	ch := make(chan time.Time, 1)
	c.mu.Lock()
	c.after[ch] = c.now.Add(d)
	c.mu.Unlock()
	c.advance(0)
	return ch
}

// advance moves the time, fires what is due and ticks every subscription.
func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	for ch, at := range c.after {
		if !c.now.Before(at) {
			ch <- c.now
			delete(c.after, ch)
		}
	}
	for _, ch := range c.ticks {
		select {
		case ch <- c.now:
		default:
		}
	}
}

// claims is a Claimer on one table, or one that always fails with err.
type claims struct {
	mu      sync.Mutex
	err     error
	results map[galenahead.RequestKey]galenahead.ClaimResult
}

func (c *claims) Claim(_ context.Context, k galenahead.RequestKey, _ string) (galenahead.ClaimResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := c.results[k]; ok || c.err != nil {
		return r, c.err
	}
	c.set(k, galenahead.ClaimResult{State: galenahead.ClaimRunning})
	return galenahead.ClaimResult{State: galenahead.ClaimGranted}, nil
}

func (c *claims) set(k galenahead.RequestKey, r galenahead.ClaimResult) {
	if c.results == nil {
		c.results = make(map[galenahead.RequestKey]galenahead.ClaimResult)
	}
	c.results[k] = r
}

func (c *claims) Finish(_ context.Context, k galenahead.RequestKey, _ string, a galenahead.Answer) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.set(k, galenahead.ClaimResult{State: galenahead.ClaimDone, Answer: a})
	return nil
}

func (c *claims) Release(_ context.Context, k galenahead.RequestKey, _ string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.results, k)
	return nil
}

// state returns the claim state of k, "free" when there is none.
func (c *claims) state(k galenahead.RequestKey) galenahead.ClaimState {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := c.results[k]; ok {
		return r.State
	}
	return "free"
}

// slots is a slot pool of one instance.
type slots struct {
	mu            sync.Mutex
	address       string
	free, expired int
	id            uint64
}

func (*slots) Want(galenahead.ServiceName, map[galenahead.CallerName]int) {}
func (*slots) Changed(galenahead.ServiceName) <-chan struct{}             { return nil }
func (*slots) Known(galenahead.ServiceName) (int, bool)                   { return 1, true }
func (s *slots) Take(n galenahead.ServiceName, f func([]galenahead.SlotLease) int) (galenahead.SlotLease, bool) {
	return s.TakeFor(n, "", f)
}

// Instances returns that there is one instance.
func (s *slots) Instances(galenahead.ServiceName) int { return 1 }

func (s *slots) TakeFor(n galenahead.ServiceName, _ galenahead.CallerName, choose func([]galenahead.SlotLease) int) (galenahead.SlotLease, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := galenahead.SlotLease{ID: s.id + 1, Service: n, Instance: "i", Address: s.address}
	if s.free == 0 || choose([]galenahead.SlotLease{l}) < 0 {
		return galenahead.SlotLease{}, false
	}
	s.free--
	s.id++
	return l, true
}

// Valid fails for the first expired leases.
func (s *slots) Valid(galenahead.SlotLease) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expired--
	return s.expired < 0
}

func (s *slots) Put(galenahead.SlotLease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.free++
}

func (s *slots) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.free
}

type gate struct{ err error }

func (g *gate) Serving() error                              { return g.err }
func (*gate) Deadline(galenahead.ServiceName) time.Duration { return time.Minute }

// observed collects the answers.
type observed chan galenahead.Answer

func (o observed) Answered(_ *Exchange, a galenahead.Answer, _ time.Time) { o <- a }

const testSlots = 8

// fixture is a server with fakes at its interfaces and an upstream on loopback
// that runs handle.
type fixture struct {
	*Server
	t       testing.TB
	clock   *clock
	claims  *claims
	slots   *slots
	gate    *gate
	answers observed
}

func newFixture(t testing.TB, handle fasthttp.RequestHandler) *fixture {
	t.Helper()
	c := newClock()
	f := newFixtureOn(t, c, handle)
	f.clock = c
	return f
}

// newFixtureOn is newFixture with another timer service than its clock.
func newFixtureOn(t testing.TB, timers galenahead.Timers, handle fasthttp.RequestHandler) *fixture {
	t.Helper()
	f := &fixture{
		t: t, claims: &claims{}, gate: &gate{}, answers: make(observed, 1<<16),
		slots: &slots{address: serve(t, handle), free: testSlots},
	}
	f.Server = NewServer(ServerConfig{
		LiveEntries: func() int { return 1 },
		Name:        "e", Timers: timers, Gate: f.gate, Claims: f.claims, Slots: f.slots, Router: &galenaroute.Router{},
		Observer: f.answers, Entries: 12,
	})
	f.SetServices(t.Context(), []Service{{Name: "counter"}})
	t.Cleanup(f.attempts.sender.Pool.Close)
	return f
}

// serve returns the address of an HTTP server on loopback.
func serve(t testing.TB, handle fasthttp.RequestHandler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fasthttp.Server{Handler: handle}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String()
}

// send passes a request with a minute left through the filters.
func (f *fixture) send(key string, idempotent bool, delivery int) galenahead.Answer {
	now := f.clock.Now()
	return f.accept.answer(&Exchange{ID: f.accept.newID(), Delivery: delivery, Request: galenahead.Request{
		Key: galenahead.RequestKey(key), Service: "counter", Caller: "shop", Idempotent: idempotent, Method: "POST",
		Path: "/", Arrived: now, Deadline: now.Add(time.Minute), Body: []byte(key),
	}})
}

// stuckAfter ends a test whose condition never comes, far above what any needs.
const stuckAfter = 30 * time.Second

// until waits for a condition that other goroutines bring about.
func (f *fixture) until(ok func() bool) {
	f.t.Helper()
	for start := time.Now(); !ok(); {
		if time.Since(start) > stuckAfter {
			f.t.Fatal("condition was not reached")
		}
		time.Sleep(time.Millisecond)
	}
}
