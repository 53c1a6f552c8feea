package galenabroker

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenapeer"
	"github.com/galenahead/galenahead/galenarpc"
)

const (
	methodLease       = "broker.lease"
	methodSync        = "broker.sync"
	methodGrant       = "broker.grant"
	methodAnnounce    = "broker.announce"
	methodOutstanding = "broker.outstanding"

	// DefaultMaxRequest is the default bound on a request's deadline.
	DefaultMaxRequest = 30 * time.Second
	// tickInterval is the step of elections and expiries.
	tickInterval = 50 * time.Millisecond
	// callTimeout bounds calls between entries.
	callTimeout = 500 * time.Millisecond
	// syncGap is the shortest time between two messages to one broker, so that
	// requests under load share messages.
	syncGap = 2 * time.Millisecond
	// maxServices bounds the services that become known by announcements.
	maxServices = 256
	// longUptime is reported by entries that run for longer.
	longUptime = time.Hour
)

// Config configures a Service.
type Config struct {
	Self galenahead.EntryName
	// Entries is the configured list of all entries, with this one.
	Entries []galenapeer.Entry
	Caller  galenahead.Caller
	Timers  galenahead.Timers
	// MaxRequest bounds the time from the sending of a request until its
	// deadline; 0 selects DefaultMaxRequest. It must be equal on all entries.
	MaxRequest time.Duration
	// Random is the source of random numbers; nil selects the runtime's.
	Random func() uint64
}

// Service is the slot pool of one entry and the broker of the services that it
// was elected for. It implements galenahead.SlotPool.
type Service struct {
	cfg   Config
	clock *galenapeer.Clock
	links []*link

	// electorMu guards elector and stall.
	electorMu sync.Mutex
	elector   *Elector
	stall     stall

	mu      sync.RWMutex
	desks   map[galenahead.ServiceName]*desk
	drained map[galenahead.VMName]struct{}
}

var _ galenahead.SlotPool = (*Service)(nil)

// New returns a service that is idle until Run.
func New(cfg Config) *Service {
	if cfg.MaxRequest == 0 {
		cfg.MaxRequest = DefaultMaxRequest
	}
	if cfg.Random == nil {
		cfg.Random = rand.Uint64
	}
	s := &Service{
		cfg:   cfg,
		clock: galenapeer.NewClock(cfg.Timers),
		desks: make(map[galenahead.ServiceName]*desk),
	}
	s.elector = NewElector(s.clock.Now(), cfg.Self, cfg.Entries, cfg.Random)
	for _, e := range cfg.Entries {
		s.links = append(s.links, &link{service: s, peer: e, wake: make(chan struct{}, 1), push: make(chan struct{}, 1)})
	}
	return s
}

// Register adds the service's methods to m.
func (s *Service) Register(m *galenarpc.Mux) {
	galenarpc.Handle(m, methodLease, func(_ context.Context, q LeaseRequest) (LeaseReply, error) {
		return s.vote(q), nil
	})
	galenarpc.Handle(m, methodSync, func(_ context.Context, q SyncRequest) (SyncReply, error) {
		return s.serveSync(q), nil
	})
	galenarpc.Handle(m, methodGrant, func(_ context.Context, q GrantMessage) (bool, error) {
		s.accept(q.Items)
		return true, nil
	})
	galenarpc.Handle(m, methodAnnounce, func(_ context.Context, q AnnounceRequest) (bool, error) {
		return true, s.serveAnnounce(q)
	})
	galenarpc.Handle(m, methodOutstanding, func(_ context.Context, _ struct{}) ([]Outstanding, error) {
		return s.Outstanding(), nil
	})
}

// Run takes part in elections, renews slots and serves as broker until ctx
// ends. It then gives its leases up and returns nil.
func (s *Service) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, l := range s.links {
		wg.Go(func() { l.loop(ctx) })
		wg.Go(func() { l.pushLoop(ctx) })
	}
	ticks := s.cfg.Timers.Subscribe(ctx, "broker.tick", tickInterval)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticks:
			s.tick(ctx)
		}
	}
	wg.Wait()
	s.StepDown(ctx)
	return nil
}

// SetServices makes services known, so that a broker is elected for each.
func (s *Service) SetServices(names []galenahead.ServiceName) {
	for _, n := range names {
		s.desk(n)
	}
}

// SetDrained replaces the set of VMs whose instances get no new work.
func (s *Service) SetDrained(vms []galenahead.VMName) {
	set := make(map[galenahead.VMName]struct{}, len(vms))
	for _, v := range vms {
		set[v] = struct{}{}
	}
	s.mu.Lock()
	s.drained = set
	s.mu.Unlock()
	now := s.clock.Now()
	for _, d := range s.allDesks() {
		d.mu.Lock()
		d.drained = set
		d.holdings.SetDrained(set)
		if l := d.current(now); l != nil {
			l.SetDrained(now, set)
			s.wakePushes(l)
		}
		d.mu.Unlock()
	}
}

// Announce forwards an upstream's announcement to the service's broker. It
// fails with ErrInvalid for a malformed announcement or too many services, with
// ErrNotReady while no broker is known and just after the process was paused,
// and with the broker's or the transport's error.
func (s *Service) Announce(ctx context.Context, a galenahead.Announcement) error {
	if a.Service == "" || len(a.Service) > galenahead.MaxIDLength || s.full(a.Service) {
		return eris.Wrapf(galenahead.ErrInvalid, "announced service %q", a.Service)
	}
	s.electorMu.Lock()
	stalled := s.stall.stalled(s.clock.Now())
	s.electorMu.Unlock()
	if stalled {
		return eris.Wrap(galenahead.ErrNotReady, "entry was paused")
	}
	d := s.desk(a.Service)
	d.mu.Lock()
	broker, epoch := d.holdings.Broker()
	q := AnnounceRequest{Epoch: epoch, TickMS: d.heardTick, Announcement: a}
	d.mu.Unlock()
	if broker == "" {
		return eris.Wrapf(galenahead.ErrNotReady, "service %s has no broker yet", a.Service)
	}
	if broker == s.cfg.Self {
		q.TickMS = s.clock.Now().Mono.Milliseconds()
		return s.serveAnnounce(q)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.cfg.Caller.Call(ctx, s.link(broker).peer.Address, methodAnnounce, q, nil)
}

// Outstanding returns the slots counted as in use by VM, for each service that
// this entry brokers.
func (s *Service) Outstanding() []Outstanding {
	now := s.clock.Now()
	var out []Outstanding
	for _, d := range s.allDesks() {
		d.mu.Lock()
		if l := d.current(now); l != nil {
			out = append(out, l.Outstanding(now))
		}
		d.mu.Unlock()
	}
	return out
}

// Want declares how many requests of a service wait here, by caller. It has no
// effect for services that are neither set nor announced.
func (s *Service) Want(service galenahead.ServiceName, waiting map[galenahead.CallerName]int) {
	d, ok := s.known(service)
	if !ok {
		return
	}
	now := s.clock.Now()
	d.mu.Lock()
	d.holdings.Want(waiting)
	broker, _ := d.holdings.Broker()
	due := d.holdings.Due(now)
	d.mu.Unlock()
	if due {
		s.link(broker).signal()
	}
}

// Take marks one held slot as in use, on behalf of one of the callers given to
// Want.
func (s *Service) Take(service galenahead.ServiceName, choose func(candidates []galenahead.SlotLease) int) (galenahead.SlotLease, bool) {
	return s.TakeFor(service, "", choose)
}

// TakeFor is Take with the caller whose request uses the slot, which makes the
// sharing between callers exact.
func (s *Service) TakeFor(service galenahead.ServiceName, caller galenahead.CallerName, choose func(candidates []galenahead.SlotLease) int) (galenahead.SlotLease, bool) {
	d, ok := s.known(service)
	if !ok {
		return galenahead.SlotLease{}, false
	}
	now := s.clock.Now()
	d.mu.Lock()
	l, expires, ok := d.holdings.Take(now, caller, choose)
	d.mu.Unlock()
	if !ok {
		return galenahead.SlotLease{}, false
	}
	return l.WithExpires(s.clock.Time(expires)), true
}

// Valid tells right before sending whether l may still be used.
func (s *Service) Valid(l galenahead.SlotLease) bool {
	d, ok := s.known(l.Service)
	if !ok {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	// The clock is read under the lock, since waiting for it takes time.
	return d.holdings.Valid(s.clock.Now(), l.ID)
}

// Put returns a slot after its request ended or was not sent.
func (s *Service) Put(l galenahead.SlotLease) {
	d, ok := s.known(l.Service)
	if !ok {
		return
	}
	now := s.clock.Now()
	d.mu.Lock()
	if d.holdings.Put(now, l.ID) {
		d.notify()
	}
	broker, _ := d.holdings.Broker()
	due := d.holdings.Due(now)
	d.mu.Unlock()
	if due {
		s.link(broker).signal()
	}
}

// Changed returns a channel that is closed when slots of the service become
// available here. It returns nil for services that are neither set nor
// announced.
func (s *Service) Changed(service galenahead.ServiceName) <-chan struct{} {
	d, ok := s.known(service)
	if !ok {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.changed == nil {
		d.changed = make(chan struct{})
	}
	return d.changed
}

// Known tells whether the service has any instance, and how many slots it has
// in all, by the broker's last renewal.
func (s *Service) Known(service galenahead.ServiceName) (int, bool) {
	d, ok := s.known(service)
	if !ok {
		return 0, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holdings.Known()
}

func (s *Service) tick(ctx context.Context) {
	now := s.clock.Now()
	s.electorMu.Lock()
	s.stall.tick(now)
	items := s.elector.Tick(now)
	s.electorMu.Unlock()
	s.lease(ctx, now, items)
	s.followTenures(now)
	for _, d := range s.allDesks() {
		if broker, due := d.tick(s, now); due {
			s.link(broker).signal()
		}
	}
}

// lease sends the items to every other entry, and to the own holdings.
func (s *Service) lease(ctx context.Context, now galenapeer.Instant, items []LeaseItem) {
	if len(items) == 0 {
		return
	}
	for i := range items {
		s.describe(now, &items[i])
	}
	q := LeaseRequest{From: s.cfg.Self, TickMS: now.Mono.Milliseconds(), Items: items}
	s.join(now, q)
	for _, l := range s.links {
		if l.peer.Name != s.cfg.Self {
			go (&leaseCall{link: l, request: q, sent: now}).run(ctx)
		}
	}
}

func (s *Service) describe(now galenapeer.Instant, item *LeaseItem) {
	d := s.desk(item.Service)
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.current(now); l != nil && item.Kind == LeaseHeld {
		item.Slots, item.Instances = l.Size(now)
		item.Settled = l.settled(now)
	}
}

func (s *Service) vote(q LeaseRequest) LeaseReply {
	if !slices.ContainsFunc(s.links, func(l *link) bool { return l.peer.Name == q.From }) {
		return LeaseReply{From: s.cfg.Self}
	}
	now := s.clock.Now()
	for _, item := range q.Items {
		s.desk(item.Service)
	}
	s.electorMu.Lock()
	r := s.elector.Vote(now, q)
	s.electorMu.Unlock()
	s.join(now, q)
	return r
}

// join lets the holdings follow the brokers that the items tell of.
func (s *Service) join(now galenapeer.Instant, q LeaseRequest) {
	for _, item := range q.Items {
		if item.Kind != LeaseHeld {
			continue
		}
		d := s.desk(item.Service)
		d.mu.Lock()
		d.holdings.Join(now, q.From, item)
		if broker, epoch := d.holdings.Broker(); broker == q.From && epoch == item.Epoch {
			if d.heardEpoch != epoch {
				d.heardTick, d.heardEpoch = 0, epoch
			}
			d.heardTick = max(d.heardTick, q.TickMS)
		}
		d.mu.Unlock()
	}
}

// followTenures starts and ends ledgers by the elector's leases.
func (s *Service) followTenures(now galenapeer.Instant) {
	for name, d := range s.allDesks() {
		s.electorMu.Lock()
		t, held := s.elector.Tenure(now, name)
		s.electorMu.Unlock()
		d.mu.Lock()
		ok := d.serve(s, name, t, held)
		d.mu.Unlock()
		if !ok {
			s.electorMu.Lock()
			s.elector.Abandon(now, name, t.Epoch)
			s.electorMu.Unlock()
		}
	}
}

func (s *Service) serveSync(q SyncRequest) SyncReply {
	now := s.clock.Now()
	r := SyncReply{Items: make([]GrantItem, 0, len(q.Items))}
	for _, item := range q.Items {
		d := s.desk(item.Service)
		d.mu.Lock()
		l := d.current(now)
		if l != nil {
			g, err := l.Sync(now, q, item)
			switch {
			case err == nil:
				r.Items = append(r.Items, g)
			case errors.Is(err, galenahead.ErrLeaseExpired):
				r.Retired = append(r.Retired, item.Life)
			}
			s.wakePushes(l)
		}
		d.mu.Unlock()
	}
	return r
}

func (s *Service) serveAnnounce(q AnnounceRequest) error {
	now := s.clock.Now()
	d := s.desk(q.Announcement.Service)
	d.mu.Lock()
	l := d.current(now)
	err := galenahead.ErrNotLeader
	if l != nil {
		err = l.Announce(now, q)
		s.wakePushes(l)
	}
	d.mu.Unlock()
	if err != nil {
		return eris.Wrapf(err, "announce %s", q.Announcement.Instance)
	}
	return nil
}

func (s *Service) accept(items []GrantItem) {
	now := s.clock.Now()
	for _, item := range items {
		s.desk(item.Service).accept(now, item)
	}
}

// wakePushes wakes the loops of entries whose grants or limits changed.
func (s *Service) wakePushes(l *Ledger) {
	for _, e := range l.Changed() {
		s.link(e.Name).signalPush()
	}
}

// StepDown gives the broker leases up for good, so that the next elections need
// not wait for their end. While Run goes on, the entry reports its slots to the
// new brokers, which need not wait for the expiry of its slots either: call it
// some hundred milliseconds before Run's context ends.
func (s *Service) StepDown(ctx context.Context) {
	now := s.clock.Now()
	s.electorMu.Lock()
	items := s.elector.Resign(now)
	s.electorMu.Unlock()
	s.followTenures(now)
	if len(items) == 0 {
		return
	}
	var wg sync.WaitGroup
	q := LeaseRequest{From: s.cfg.Self, TickMS: now.Mono.Milliseconds(), Items: items}
	for _, l := range s.links {
		if l.peer.Name != s.cfg.Self {
			c := &leaseCall{link: l, request: q, sent: now}
			wg.Go(func() { c.run(context.WithoutCancel(ctx)) })
		}
	}
	wg.Wait()
}

func (s *Service) link(name galenahead.EntryName) *link {
	i := slices.IndexFunc(s.links, func(l *link) bool { return l.peer.Name == name })
	return s.links[i]
}

func (s *Service) known(name galenahead.ServiceName) (*desk, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	d, ok := s.desks[name]
	return d, ok
}

// desk returns the desk of a service, which becomes known by it.
func (s *Service) desk(name galenahead.ServiceName) *desk {
	if d, ok := s.known(name); ok {
		return d
	}
	return s.addDesk(name)
}

func (s *Service) addDesk(name galenahead.ServiceName) *desk {
	s.electorMu.Lock()
	s.elector.Learn(s.clock.Now(), name)
	s.electorMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if d, ok := s.desks[name]; ok {
		return d
	}
	d := &desk{holdings: NewHoldings(name, uint32(s.cfg.Random())), drained: s.drained}
	d.holdings.SetDrained(s.drained)
	s.desks[name] = d
	return d
}

// full tells whether the service is unknown and cannot be added.
func (s *Service) full(name galenahead.ServiceName) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	_, ok := s.desks[name]
	return !ok && len(s.desks) >= maxServices
}

func (s *Service) allDesks() map[galenahead.ServiceName]*desk {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make(map[galenahead.ServiceName]*desk, len(s.desks))
	for n, d := range s.desks {
		out[n] = d
	}
	return out
}
