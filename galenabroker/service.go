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
	// tickInterval is the time between two checks of elections and leases.
	tickInterval = 50 * time.Millisecond
	// callTimeout bounds calls between entries.
	callTimeout = 500 * time.Millisecond
	// minSyncGap is the shortest time between two sync messages to one entry, so
	// that several requests share a message under load.
	minSyncGap = 2 * time.Millisecond
	// maxServices is the number of known services at which announcements of
	// unknown services are rejected.
	maxServices = 256
	// maxReportedUptime is the largest uptime that an entry reports. Entries that
	// have been running for longer report this value.
	maxReportedUptime = time.Hour
)

// Config configures a Service.
type Config struct {
	Self galenahead.EntryName
	// Entries is the configured list of all entries, including this one.
	Entries   []galenapeer.Entry
	RPCClient galenahead.RPCClient
	Timers    galenahead.Timers
	// MaxRequest is the longest time between the sending of a request and its
	// deadline; 0 selects DefaultMaxRequest. It must be equal on all entries.
	MaxRequest time.Duration
	// Random is the source of random numbers; nil selects math/rand/v2.
	Random func() uint64
}

// Service is the slot pool of one entry. It is also the broker of the services for
// which the entry is elected. It implements galenahead.SlotPool.
type Service struct {
	cfg   Config
	clock *galenapeer.Clock
	links []*peerLink

	// electorMu guards elector and pauses.
	electorMu sync.Mutex
	elector   *Elector
	pauses    pauseDetector

	// mu guards services and drained.
	mu       sync.RWMutex
	services map[galenahead.ServiceName]*serviceState
	drained  map[galenahead.VMName]struct{}
}

var _ galenahead.SlotPool = (*Service)(nil)

// New returns a Service that does nothing until Run is called.
func New(cfg Config) *Service {
	if cfg.MaxRequest == 0 {
		cfg.MaxRequest = DefaultMaxRequest
	}
	if cfg.Random == nil {
		cfg.Random = rand.Uint64
	}
	s := &Service{
		cfg:      cfg,
		clock:    galenapeer.NewClock(cfg.Timers),
		services: make(map[galenahead.ServiceName]*serviceState),
	}
	s.elector = NewElector(s.clock.Now(), cfg.Self, cfg.Entries, cfg.Random)
	for _, e := range cfg.Entries {
		s.links = append(s.links, &peerLink{service: s, peer: e, syncWake: make(chan struct{}, 1), pushWake: make(chan struct{}, 1)})
	}
	return s
}

// Register registers the service's RPC methods with m.
func (s *Service) Register(m *galenarpc.Mux) {
	galenarpc.Handle(m, methodLease, func(_ context.Context, q LeaseRequest) (LeaseReply, error) {
		return s.vote(q), nil
	})
	galenarpc.Handle(m, methodSync, func(_ context.Context, q SyncRequest) (SyncReply, error) {
		return s.serveSync(q), nil
	})
	galenarpc.Handle(m, methodGrant, func(_ context.Context, q GrantMessage) (bool, error) {
		s.applyGrants(q.Items)
		return true, nil
	})
	galenarpc.Handle(m, methodAnnounce, func(_ context.Context, q AnnounceRequest) (bool, error) {
		return true, s.serveAnnounce(q)
	})
	galenarpc.Handle(m, methodOutstanding, func(_ context.Context, _ struct{}) ([]Outstanding, error) {
		return s.Outstanding(), nil
	})
}

// Run takes part in elections, renews slots and acts as broker until ctx ends. It
// then releases the broker leases and returns nil.
func (s *Service) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, l := range s.links {
		wg.Go(func() { l.syncLoop(ctx) })
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

// SetServices adds services, so that a broker is elected for each of them.
func (s *Service) SetServices(names []galenahead.ServiceName) {
	for _, n := range names {
		s.state(n)
	}
}

// SetDrained replaces the set of VMs whose instances get no new requests.
func (s *Service) SetDrained(vms []galenahead.VMName) {
	set := make(map[galenahead.VMName]struct{}, len(vms))
	for _, v := range vms {
		set[v] = struct{}{}
	}
	s.mu.Lock()
	s.drained = set
	s.mu.Unlock()
	now := s.clock.Now()
	for _, st := range s.allStates() {
		st.mu.Lock()
		st.drained = set
		st.holder.SetDrained(set)
		if a := st.currentAllocator(now); a != nil {
			a.SetDrained(now, set)
			s.wakePushLoops(a)
		}
		st.mu.Unlock()
	}
}

// Announce forwards an upstream's announcement to the service's broker. It fails
// with ErrInvalid if the announcement is malformed or would add a service beyond the
// limit, with ErrNotReady while no broker is known and just after the process was
// paused, or with the broker's or the transport's error.
func (s *Service) Announce(ctx context.Context, ann galenahead.Announcement) error {
	if ann.Service == "" || len(ann.Service) > galenahead.MaxIDLength || s.serviceLimitReached(ann.Service) {
		return eris.Wrapf(galenahead.ErrInvalid, "announced service %q", ann.Service)
	}
	s.electorMu.Lock()
	recentlyPaused := s.pauses.recentlyPaused(s.clock.Now())
	s.electorMu.Unlock()
	if recentlyPaused {
		return eris.Wrap(galenahead.ErrNotReady, "entry was paused")
	}
	st := s.state(ann.Service)
	st.mu.Lock()
	broker, epoch := st.holder.Broker()
	q := AnnounceRequest{Epoch: epoch, TickMS: st.brokerTick, Announcement: ann}
	st.mu.Unlock()
	if broker == "" {
		return eris.Wrapf(galenahead.ErrNotReady, "service %s has no broker yet", ann.Service)
	}
	if broker == s.cfg.Self {
		q.TickMS = s.clock.Now().Mono.Milliseconds()
		return s.serveAnnounce(q)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.cfg.RPCClient.Call(ctx, s.link(broker).peer.Address, methodAnnounce, q, nil)
}

// Outstanding returns the numbers of slots counted as in use, by VM, for each
// service that this entry brokers.
func (s *Service) Outstanding() []Outstanding {
	now := s.clock.Now()
	var out []Outstanding
	for _, st := range s.allStates() {
		st.mu.Lock()
		if a := st.currentAllocator(now); a != nil {
			out = append(out, a.Outstanding(now))
		}
		st.mu.Unlock()
	}
	return out
}

// SetWaiting sets the numbers of requests for a service that wait at this entry, by
// caller. It has no effect for services that were neither set nor announced.
func (s *Service) SetWaiting(service galenahead.ServiceName, waiting map[galenahead.CallerName]int) {
	st, ok := s.lookup(service)
	if !ok {
		return
	}
	now := s.clock.Now()
	st.mu.Lock()
	st.holder.SetWaiting(waiting)
	broker, _ := st.holder.Broker()
	due := st.holder.Due(now)
	st.mu.Unlock()
	if due {
		s.link(broker).signalSync()
	}
}

// Take marks one held slot as in use. It attributes the slot to one of the callers
// given to SetWaiting.
func (s *Service) Take(service galenahead.ServiceName, choose func(candidates []galenahead.SlotLease) int) (galenahead.SlotLease, bool) {
	return s.TakeFor(service, "", choose)
}

// TakeFor is like Take, but attributes the slot to the given caller, which makes the
// division of slots among callers exact.
func (s *Service) TakeFor(service galenahead.ServiceName, caller galenahead.CallerName, choose func(candidates []galenahead.SlotLease) int) (galenahead.SlotLease, bool) {
	st, ok := s.lookup(service)
	if !ok {
		return galenahead.SlotLease{}, false
	}
	now := s.clock.Now()
	st.mu.Lock()
	l, expires, ok := st.holder.Take(now, caller, choose)
	st.mu.Unlock()
	if !ok {
		return galenahead.SlotLease{}, false
	}
	return l.WithExpires(s.clock.Time(expires)), true
}

// Valid reports whether a request may be sent on l now. Call it right before
// sending.
func (s *Service) Valid(l galenahead.SlotLease) bool {
	st, ok := s.lookup(l.Service)
	if !ok {
		return false
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	// Reads the clock while holding the lock, since the lease may expire during the
	// wait for the lock.
	return st.holder.Valid(s.clock.Now(), l.ID)
}

// Put returns a slot after its request ended or was not sent.
func (s *Service) Put(l galenahead.SlotLease) {
	st, ok := s.lookup(l.Service)
	if !ok {
		return
	}
	now := s.clock.Now()
	st.mu.Lock()
	if st.holder.Put(now, l.ID) {
		st.notify()
	}
	broker, _ := st.holder.Broker()
	due := st.holder.Due(now)
	st.mu.Unlock()
	if due {
		s.link(broker).signalSync()
	}
}

// Changed returns a channel that is closed when slots of the service become
// available at this entry. It returns nil for services that were neither set nor
// announced.
func (s *Service) Changed(service galenahead.ServiceName) <-chan struct{} {
	st, ok := s.lookup(service)
	if !ok {
		return nil
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.slotsAdded == nil {
		st.slotsAdded = make(chan struct{})
	}
	return st.slotsAdded
}

// Capacity returns the total number of usable slots of the service, and whether it has
// any instance, as of the broker's last renewal.
func (s *Service) Capacity(service galenahead.ServiceName) (int, bool) {
	st, ok := s.lookup(service)
	if !ok {
		return 0, false
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.holder.Capacity()
}

func (s *Service) tick(ctx context.Context) {
	now := s.clock.Now()
	s.electorMu.Lock()
	s.pauses.tick(now)
	items := s.elector.Tick(now)
	s.electorMu.Unlock()
	s.sendLeases(ctx, now, items)
	s.updateAllocators(now)
	for _, st := range s.allStates() {
		if broker, due := st.tick(s, now); due {
			s.link(broker).signalSync()
		}
	}
}

// sendLeases sends the items to every other entry and applies them to this entry's
// own slots.
func (s *Service) sendLeases(ctx context.Context, now galenapeer.Instant, items []LeaseItem) {
	if len(items) == 0 {
		return
	}
	for i := range items {
		s.addSize(now, &items[i])
	}
	q := LeaseRequest{From: s.cfg.Self, TickMS: now.Mono.Milliseconds(), Items: items}
	s.followBrokers(now, q)
	for _, l := range s.links {
		if l.peer.Name != s.cfg.Self {
			go (&leaseCall{link: l, request: q, sent: now}).run(ctx)
		}
	}
}

// addSize adds the size of the service to a renewal.
func (s *Service) addSize(now galenapeer.Instant, item *LeaseItem) {
	st := s.state(item.Service)
	st.mu.Lock()
	defer st.mu.Unlock()
	if a := st.currentAllocator(now); a != nil && item.Kind == LeaseRenew {
		item.Slots, item.Instances = a.Size(now)
		item.Settled = a.settled(now)
	}
}

func (s *Service) vote(q LeaseRequest) LeaseReply {
	if !slices.ContainsFunc(s.links, func(l *peerLink) bool { return l.peer.Name == q.From }) {
		return LeaseReply{From: s.cfg.Self}
	}
	now := s.clock.Now()
	q.Items = slices.DeleteFunc(q.Items, func(item LeaseItem) bool {
		if s.serviceLimitReached(item.Service) {
			return true
		}
		s.state(item.Service)
		return false
	})
	s.electorMu.Lock()
	r := s.elector.Vote(now, q)
	s.electorMu.Unlock()
	s.followBrokers(now, q)
	return r
}

// followBrokers makes this entry follow the brokers whose renewals are in q.
func (s *Service) followBrokers(now galenapeer.Instant, q LeaseRequest) {
	for _, item := range q.Items {
		if item.Kind != LeaseRenew {
			continue
		}
		st := s.state(item.Service)
		st.mu.Lock()
		st.holder.FollowBroker(now, q.From, item)
		if broker, epoch := st.holder.Broker(); broker == q.From && epoch == item.Epoch {
			if st.brokerTickEpoch != epoch {
				st.brokerTick, st.brokerTickEpoch = 0, epoch
			}
			st.brokerTick = max(st.brokerTick, q.TickMS)
		}
		st.mu.Unlock()
	}
}

// updateAllocators creates, extends and discards slot allocators according to this
// entry's broker leases.
func (s *Service) updateAllocators(now galenapeer.Instant) {
	for name, st := range s.allStates() {
		s.electorMu.Lock()
		lease, held := s.elector.Lease(now, name)
		s.electorMu.Unlock()
		st.mu.Lock()
		ok := st.updateLease(s, name, lease, held)
		st.mu.Unlock()
		if !ok {
			s.electorMu.Lock()
			s.elector.Abandon(now, name, lease.Epoch)
			s.electorMu.Unlock()
		}
	}
}

func (s *Service) serveSync(q SyncRequest) SyncReply {
	now := s.clock.Now()
	r := SyncReply{Items: make([]GrantItem, 0, len(q.Items))}
	for _, item := range q.Items {
		st, ok := s.lookup(item.Service)
		if !ok {
			continue
		}
		st.mu.Lock()
		a := st.currentAllocator(now)
		if a != nil {
			g, err := a.Sync(now, q, item)
			switch {
			case err == nil:
				r.Items = append(r.Items, g)
			case errors.Is(err, galenahead.ErrLeaseExpired):
				r.ClosedSessions = append(r.ClosedSessions, item.SessionID)
			}
			s.wakePushLoops(a)
		}
		st.mu.Unlock()
	}
	return r
}

func (s *Service) serveAnnounce(q AnnounceRequest) error {
	now := s.clock.Now()
	st, ok := s.lookup(q.Announcement.Service)
	if !ok {
		return eris.Wrapf(galenahead.ErrNotLeader, "announce %s", q.Announcement.Instance)
	}
	st.mu.Lock()
	a := st.currentAllocator(now)
	err := galenahead.ErrNotLeader
	if a != nil {
		err = a.Announce(now, q)
		s.wakePushLoops(a)
	}
	st.mu.Unlock()
	if err != nil {
		return eris.Wrapf(err, "announce %s", q.Announcement.Instance)
	}
	return nil
}

func (s *Service) applyGrants(items []GrantItem) {
	now := s.clock.Now()
	for _, item := range items {
		if !s.serviceLimitReached(item.Service) {
			s.state(item.Service).applyGrants(now, item)
		}
	}
}

// wakePushLoops wakes the push loops of the entries whose grants or limits changed.
func (s *Service) wakePushLoops(a *Allocator) {
	for _, e := range a.ChangedEntries() {
		s.link(e.Name).signalPush()
	}
}

// StepDown permanently releases this entry's broker leases, so that the next
// elections need not wait until they expire. While Run continues, the entry reports
// its slots to the new brokers, so that these need not wait for the expiry of its
// slots either. Therefore call StepDown some hundred milliseconds before Run's
// context ends.
func (s *Service) StepDown(ctx context.Context) {
	now := s.clock.Now()
	s.electorMu.Lock()
	items := s.elector.Resign(now)
	s.electorMu.Unlock()
	s.updateAllocators(now)
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

func (s *Service) link(name galenahead.EntryName) *peerLink {
	i := slices.IndexFunc(s.links, func(l *peerLink) bool { return l.peer.Name == name })
	return s.links[i]
}

func (s *Service) lookup(name galenahead.ServiceName) (*serviceState, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	st, ok := s.services[name]
	return st, ok
}

// state returns the state of a service, which it adds if necessary.
func (s *Service) state(name galenahead.ServiceName) *serviceState {
	if st, ok := s.lookup(name); ok {
		return st
	}
	return s.addState(name)
}

func (s *Service) addState(name galenahead.ServiceName) *serviceState {
	s.electorMu.Lock()
	s.elector.AddService(s.clock.Now(), name)
	s.electorMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if st, ok := s.services[name]; ok {
		return st
	}
	st := &serviceState{holder: NewSlotHolder(name, uint32(s.cfg.Random())), drained: s.drained}
	st.holder.SetDrained(s.drained)
	s.services[name] = st
	return st
}

// serviceLimitReached reports whether the service is unknown and can't be added.
func (s *Service) serviceLimitReached(name galenahead.ServiceName) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	_, ok := s.services[name]
	return !ok && len(s.services) >= maxServices
}

func (s *Service) allStates() map[galenahead.ServiceName]*serviceState {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make(map[galenahead.ServiceName]*serviceState, len(s.services))
	for n, st := range s.services {
		out[n] = st
	}
	return out
}
