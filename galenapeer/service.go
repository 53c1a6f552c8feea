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
	// callTimeout bounds one exchange. A reply that takes longer than LiveTTL
	// does not show that the peer is live.
	callTimeout = LiveTTL
)

// Config configures a Service.
type Config struct {
	Self galenahead.EntryName
	// Entries is the configured list of all entries, including Self.
	Entries   []Entry
	RPCClient galenahead.RPCClient
	Timers    galenahead.Timers
}

// Service exchanges heartbeats with the peers of one entry and maintains its
// Table. Its methods are safe for concurrent use.
type Service struct {
	cfg     Config
	clock   *Clock
	senders []*heartbeatSender

	mu    sync.Mutex
	table *Table
}

// New returns a service that exchanges no heartbeats until Run is called.
func New(cfg Config) *Service {
	s := &Service{cfg: cfg, clock: NewClock(cfg.Timers), table: NewTable(cfg.Self, cfg.Entries)}
	for _, e := range cfg.Entries {
		if e.Name != cfg.Self && InitiatesExchange(cfg.Entries, cfg.Self, e.Name) {
			s.senders = append(s.senders, &heartbeatSender{service: s, peer: e})
		}
	}
	return s
}

// Register adds the heartbeat method to m.
func (s *Service) Register(m *galenarpc.Mux) {
	galenarpc.Handle(m, methodHeartbeat, func(_ context.Context, h Heartbeat) (Heartbeat, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.table.HandleRequest(s.clock.Now(), h), nil
	})
}

// Run exchanges heartbeats until ctx ends, and then returns nil.
func (s *Service) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, sender := range s.senders {
		wg.Go(func() { sender.run(ctx) })
	}
	wg.Wait()
	return nil
}

// Confirm records that the control leader confirmed revision as the latest in
// its reply to a request that was sent at requestedAt, a reading of the timer
// service.
func (s *Service) Confirm(requestedAt time.Time, revision galenahead.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Confirm(Instant{Mono: requestedAt.Sub(s.clock.base)}, revision)
}

// RecordRevision records that this entry has applied revision, which the control
// leader has not confirmed to it.
func (s *Service) RecordRevision(revision galenahead.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordRevision(revision)
}

// Live reports whether the peer is live.
func (s *Service) Live(name galenahead.EntryName) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Live(s.clock.Now(), name)
}

// LiveCount returns the number of live entries, including this one.
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

// HasMajority reports whether a majority of entries is live.
func (s *Service) HasMajority() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.HasMajority(s.clock.Now())
}

// ClockTrusted reports whether this entry's clock is within MaxClockOffset of
// the majority's median.
func (s *Service) ClockTrusted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.ClockTrusted(s.clock.Now())
}

// ClockOffset returns this entry's clock minus the majority's median clock. It
// returns false without a majority of clocks.
func (s *Service) ClockOffset() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.ClockOffset(s.clock.Now())
}

// Serving decides whether this entry may serve requests.
func (s *Service) Serving() ServingDecision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Serving(s.clock.Now())
}

// heartbeatSender initiates the heartbeat exchanges with one peer.
type heartbeatSender struct {
	service *Service
	peer    Entry
}

func (h *heartbeatSender) run(ctx context.Context) {
	ticks := h.service.cfg.Timers.Subscribe(ctx, "peer.heartbeat", HeartbeatInterval)
	for {
		h.exchange(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
	}
}

// exchange sends one heartbeat and handles the reply. Errors are ignored: a peer
// stops being live when no exchange succeeds within LiveTTL.
func (h *heartbeatSender) exchange(ctx context.Context) {
	s := h.service
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.mu.Lock()
	sentAt := s.clock.Now()
	req := s.table.NewRequest(sentAt, h.peer.Name)
	s.mu.Unlock()
	var reply Heartbeat
	err := s.cfg.RPCClient.Call(ctx, h.peer.Address, methodHeartbeat, req, &reply)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.HandleReply(sentAt, s.clock.Now(), reply)
}
