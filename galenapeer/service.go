package galenapeer

import (
	"context"
	"sync"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenarpc"
)

const (
	methodHeartbeat = "peer.heartbeat"
	// callTimeout bounds one exchange; a later reply could not count as live.
	callTimeout = LiveTTL
)

// Config configures a Service.
type Config struct {
	Self galenahead.EntryName
	// Entries is the configured list of all entries, with this one.
	Entries []Entry
	Caller  galenahead.Caller
	Timers  galenahead.Timers
}

// Service runs the peer table of one entry. Its methods are safe for
// concurrent use.
type Service struct {
	cfg   Config
	clock *Clock
	beats []*beat

	mu    sync.Mutex
	table *Table
}

// New returns a service that is idle until Run.
func New(cfg Config) *Service {
	s := &Service{cfg: cfg, clock: NewClock(cfg.Timers), table: NewTable(cfg.Self, cfg.Entries)}
	for _, e := range cfg.Entries {
		if e.Name != cfg.Self && Calls(cfg.Entries, cfg.Self, e.Name) {
			s.beats = append(s.beats, &beat{service: s, peer: e})
		}
	}
	return s
}

// Register adds the service's method to m.
func (s *Service) Register(m *galenarpc.Mux) {
	galenarpc.Handle(m, methodHeartbeat, func(_ context.Context, h Heartbeat) (Heartbeat, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.table.Receive(s.clock.Now(), h), nil
	})
}

// Run exchanges heartbeats until ctx ends, and then returns nil.
func (s *Service) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, b := range s.beats {
		wg.Go(func() { b.loop(ctx) })
	}
	wg.Wait()
	return nil
}

// Confirm records that the leader confirmed revision as the latest in reply to
// a question asked at asked, a reading of the timer service.
func (s *Service) Confirm(asked time.Time, revision galenahead.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Confirm(Instant{Mono: asked.Sub(s.clock.base)}, revision)
}

// Hold records that the content of revision is held without a statement of the
// leader.
func (s *Service) Hold(revision galenahead.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Hold(revision)
}

// Live tells whether the peer is live.
func (s *Service) Live(name galenahead.EntryName) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Live(s.clock.Now(), name)
}

// LiveCount returns the number of live entries, this one included.
func (s *Service) LiveCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	n := 1
	for _, e := range s.cfg.Entries {
		if e.Name != s.cfg.Self && s.table.Live(now, e.Name) {
			n++
		}
	}
	return n
}

// Majority tells whether a majority of entries is live.
func (s *Service) Majority() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Majority(s.clock.Now())
}

// ClockTrusted tells whether the own clock is near the majority's median.
func (s *Service) ClockTrusted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.ClockTrusted(s.clock.Now())
}

// ClockOffset returns the own clock minus the majority's median clock.
func (s *Service) ClockOffset() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.ClockOffset(s.clock.Now())
}

// Serving decides whether this entry may serve.
func (s *Service) Serving() Serving {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Serving(s.clock.Now())
}

// beat exchanges heartbeats with one peer.
type beat struct {
	service *Service
	peer    Entry
}

func (b *beat) loop(ctx context.Context) {
	ticks := b.service.cfg.Timers.Subscribe(ctx, "peer.heartbeat", HeartbeatInterval)
	for {
		b.exchange(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
	}
}

// exchange sends one heartbeat. A failure needs no handling: the peer stops
// being live when no exchange succeeds.
func (b *beat) exchange(ctx context.Context) {
	s := b.service
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.mu.Lock()
	sent := s.clock.Now()
	req := s.table.Request(sent, b.peer.Name)
	s.mu.Unlock()
	var reply Heartbeat
	err := s.cfg.Caller.Call(ctx, b.peer.Address, methodHeartbeat, req, &reply)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Reply(sent, s.clock.Now(), reply)
}
