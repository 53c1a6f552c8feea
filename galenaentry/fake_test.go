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

// clock is a timer service whose time advances only by calls of advance.
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

// advance advances the time, fires the timers that are due and ticks every
// subscription.
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

// fakeClaimer is a Claimer that keeps the claims in a map. If err is set, every
// Claim fails with it.
type fakeClaimer struct {
	mu      sync.Mutex
	err     error
	results map[galenahead.RequestKey]galenahead.ClaimResult
}

func (c *fakeClaimer) Claim(_ context.Context, k galenahead.RequestKey, _ string) (galenahead.ClaimResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := c.results[k]; ok || c.err != nil {
		return r, c.err
	}
	c.set(k, galenahead.ClaimResult{State: galenahead.ClaimRunning})
	return galenahead.ClaimResult{State: galenahead.ClaimGranted}, nil
}

func (c *fakeClaimer) set(k galenahead.RequestKey, r galenahead.ClaimResult) {
	if c.results == nil {
		c.results = make(map[galenahead.RequestKey]galenahead.ClaimResult)
	}
	c.results[k] = r
}

func (c *fakeClaimer) Finish(_ context.Context, k galenahead.RequestKey, _ string, a galenahead.Answer) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.set(k, galenahead.ClaimResult{State: galenahead.ClaimDone, Answer: a})
	return nil
}

func (c *fakeClaimer) Release(_ context.Context, k galenahead.RequestKey, _ string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.results, k)
	return nil
}

// state returns the claim state of k, "free" when there is none.
func (c *fakeClaimer) state(k galenahead.RequestKey) galenahead.ClaimState {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := c.results[k]; ok {
		return r.State
	}
	return "free"
}

// fakeSlotPool is a slot pool with one instance.
type fakeSlotPool struct {
	mu      sync.Mutex
	address string
	// freeSlots counts the slots that are not in use. expiredLeases is the number
	// of further calls of Valid that report an expired lease.
	freeSlots, expiredLeases int
	lastID                   uint64
}

func (*fakeSlotPool) SetWaiting(galenahead.ServiceName, map[galenahead.CallerName]int) {}
func (*fakeSlotPool) Changed(galenahead.ServiceName) <-chan struct{}                   { return nil }
func (*fakeSlotPool) Capacity(galenahead.ServiceName) (int, bool)                      { return 1, true }
func (s *fakeSlotPool) Take(n galenahead.ServiceName, f func([]galenahead.SlotLease) int) (galenahead.SlotLease, bool) {
	return s.TakeFor(n, "", f)
}

func (s *fakeSlotPool) Instances(galenahead.ServiceName) int { return 1 }

func (s *fakeSlotPool) TakeFor(n galenahead.ServiceName, _ galenahead.CallerName, choose func([]galenahead.SlotLease) int) (galenahead.SlotLease, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := galenahead.SlotLease{ID: s.lastID + 1, Service: n, Instance: "i", Address: s.address}
	if s.freeSlots == 0 || choose([]galenahead.SlotLease{l}) < 0 {
		return galenahead.SlotLease{}, false
	}
	s.freeSlots--
	s.lastID++
	return l, true
}

// Valid returns false for the first expiredLeases calls.
func (s *fakeSlotPool) Valid(galenahead.SlotLease) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expiredLeases--
	return s.expiredLeases < 0
}

func (s *fakeSlotPool) Put(galenahead.SlotLease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freeSlots++
}

func (s *fakeSlotPool) freeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.freeSlots
}

type fakePolicy struct{ err error }

func (p *fakePolicy) CheckServing() error                                { return p.err }
func (*fakePolicy) DefaultDeadline(galenahead.ServiceName) time.Duration { return time.Minute }

// answerCollector is an Observer that collects the answers.
type answerCollector chan galenahead.Answer

func (c answerCollector) Answered(_ *Exchange, a galenahead.Answer, _ time.Time) { c <- a }

const testSlots = 8

// fixture is a server with fakes at its interfaces and an upstream on loopback
// that runs handle.
type fixture struct {
	*Server
	t       testing.TB
	clock   *clock
	claims  *fakeClaimer
	slots   *fakeSlotPool
	policy  *fakePolicy
	answers answerCollector
}

func newFixture(t testing.TB, handle fasthttp.RequestHandler) *fixture {
	t.Helper()
	c := newClock()
	f := newFixtureWithTimers(t, c, handle)
	f.clock = c
	return f
}

// newFixtureWithTimers returns a fixture with the given timer service and without
// a clock.
func newFixtureWithTimers(t testing.TB, timers galenahead.Timers, handle fasthttp.RequestHandler) *fixture {
	t.Helper()
	f := &fixture{
		t: t, claims: &fakeClaimer{}, policy: &fakePolicy{}, answers: make(answerCollector, 1<<16),
		slots: &fakeSlotPool{address: serve(t, handle), freeSlots: testSlots},
	}
	f.Server = NewServer(ServerConfig{
		LiveEntries: func() int { return 1 },
		Name:        "e", Timers: timers, ServingPolicy: f.policy, Claims: f.claims, Slots: f.slots, Router: &galenaroute.Router{},
		Observer: f.answers, Entries: 12,
	})
	f.SetServices(t.Context(), []Service{{Name: "counter"}})
	t.Cleanup(f.forwarder.sender.Pool.Close)
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
	return f.httpHandler.answer(&Exchange{ID: f.httpHandler.newID(), Delivery: delivery, Request: galenahead.Request{
		Key: galenahead.RequestKey(key), Service: "counter", Caller: "shop", Idempotent: idempotent, Method: "POST",
		Path: "/", Arrived: now, Deadline: now.Add(time.Minute), Body: []byte(key),
	}})
}

// waitTimeout fails a test whose condition is never met. It is far above the time
// that any test needs.
const waitTimeout = 30 * time.Second

// waitFor waits until other goroutines meet a condition.
func (f *fixture) waitFor(ok func() bool) {
	f.t.Helper()
	for start := time.Now(); !ok(); {
		if time.Since(start) > waitTimeout {
			f.t.Fatal("condition was not met in time")
		}
		time.Sleep(time.Millisecond)
	}
}
