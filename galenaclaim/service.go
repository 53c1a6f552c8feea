package galenaclaim

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenapeer"
	"github.com/galenahead/galenahead/galenarpc"
)

const (
	methodVote    = "claim.vote"
	methodFinish  = "claim.finish"
	methodRelease = "claim.release"

	// DefaultTimeout bounds the wait for a replica's reply. Replies usually
	// come after one round trip of about 3 ms.
	DefaultTimeout = 300 * time.Millisecond
	// deliveries is how often a result or a release is sent to a replica.
	deliveries = 3
	// redeliveryDelay is the wait before the first repeated delivery; it
	// doubles with each.
	redeliveryDelay = 100 * time.Millisecond
	// ballots is how many attempts a claim makes when the votes are split.
	ballots = 4
	// splitDelay is the longest random wait after split votes.
	splitDelay = 20 * time.Millisecond
	// tickInterval is the time between two purges of the claim table.
	tickInterval = time.Second
)

// Config configures a Service.
type Config struct {
	Self galenahead.EntryName
	// Entries is the configured list of all entries, with this one.
	Entries []galenapeer.Entry
	Caller  galenahead.Caller
	Timers  galenahead.Timers
	// ClockTrusted tells whether the own clock is near the peers' median.
	ClockTrusted func() bool
	// MaxKeys bounds the claim table; 0 selects DefaultMaxKeys.
	MaxKeys int
	// Timeout bounds a call; 0 selects DefaultTimeout.
	Timeout time.Duration
	// Random is the source of random numbers; nil selects the runtime's.
	Random func() uint64
}

// Service is the replica and the client side of one entry. It implements
// galenahead.Claimer.
type Service struct {
	cfg   Config
	clock *galenapeer.Clock
	table *Table
	life  uint32
	order atomic.Uint64
	open  [shardCount]openShard
}

var _ galenahead.Claimer = (*Service)(nil)

type openKey struct {
	key     galenahead.RequestKey
	attempt string
}

// openShard holds the granted attempts that are neither finished nor released.
type openShard struct {
	mu       sync.Mutex
	attempts map[openKey]Attempt
}

// New returns a service with an empty claim table.
func New(cfg Config) *Service {
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.Random == nil {
		cfg.Random = rand.Uint64
	}
	s := &Service{cfg: cfg, clock: galenapeer.NewClock(cfg.Timers), life: uint32(cfg.Random())}
	now := s.clock.Now()
	s.table = NewTable(now, cfg.Entries, cfg.MaxKeys)
	// Orders grow across restarts as long as the clock does. Where it stepped
	// back, fences of the former process refuse some claims, which is safe.
	s.order.Store(uint64(now.Wall.UnixNano()))
	return s
}

// Register adds the replica's methods to m.
func (s *Service) Register(m *galenarpc.Mux) {
	galenarpc.Handle(m, methodVote, func(_ context.Context, q VoteRequest) (VoteReply, error) {
		return s.table.Vote(s.clock.Now(), s.cfg.ClockTrusted(), q), nil
	})
	galenarpc.Handle(m, methodFinish, func(_ context.Context, q FinishRequest) (bool, error) {
		s.table.Finish(s.clock.Now(), s.cfg.ClockTrusted(), q)
		return true, nil
	})
	galenarpc.Handle(m, methodRelease, func(_ context.Context, q ReleaseRequest) (bool, error) {
		s.table.Release(s.clock.Now(), s.cfg.ClockTrusted(), q)
		return true, nil
	})
}

// Run purges the claim table until ctx ends, and then returns nil.
func (s *Service) Run(ctx context.Context) error {
	ticks := s.cfg.Timers.Subscribe(ctx, "claim.tick", tickInterval)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
			s.table.Tick(s.clock.Now(), s.cfg.ClockTrusted())
		}
	}
}

// Keys returns the number of keys in this replica's claim table.
func (s *Service) Keys() int { return s.table.Len() }

// Claim asks for the key on behalf of attempt, which must be unique for the
// key. ErrClaimUndecided does not prove that no earlier attempt ran.
func (s *Service) Claim(ctx context.Context, key galenahead.RequestKey, attempt string) (galenahead.ClaimResult, error) {
	issued, err := key.IssueTime()
	if err != nil {
		return galenahead.ClaimResult{}, err
	}
	age := s.clock.Now().Wall.Sub(issued)
	if s.cfg.ClockTrusted() && (age > Window+clockMargin || age < -MaxAhead-clockMargin) {
		// No trusted clock of a replica finds the key within the window.
		return galenahead.ClaimResult{}, galenahead.ErrKeyExpired
	}
	for range ballots {
		a := Attempt{Entry: s.cfg.Self, Life: s.life, Order: s.order.Add(1)}
		d, b := s.vote(ctx, VoteRequest{Key: key, Attempt: a})
		if d == Granted {
			s.shard(key).add(openKey{key, attempt}, a)
			return galenahead.ClaimResult{State: galenahead.ClaimGranted}, nil
		}
		s.withdraw(ctx, key, a)
		if d != Split {
			return result(d, b)
		}
		delay := time.Duration(s.cfg.Random() % uint64(splitDelay))
		select {
		case <-ctx.Done():
			return result(Running, b)
		case <-s.cfg.Timers.After(ctx, delay):
		}
	}
	return galenahead.ClaimResult{State: galenahead.ClaimRunning}, nil
}

// Finish records the result of a granted attempt. It returns when a quorum has
// recorded it, and fails with ErrNoQuorum otherwise.
func (s *Service) Finish(ctx context.Context, key galenahead.RequestKey, attempt string, a galenahead.Answer) error {
	at, ok := s.shard(key).remove(openKey{key, attempt})
	if !ok {
		return eris.Wrapf(galenahead.ErrNotFound, "attempt %s of %s", attempt, key)
	}
	q := FinishRequest{Key: key, Attempt: at}
	if resultSize(&a) <= MaxResult {
		q.Answer = &a
	}
	return s.deliver(ctx, key, methodFinish, q, func() { s.table.Finish(s.clock.Now(), s.cfg.ClockTrusted(), q) })
}

// Release gives up a granted attempt of which no byte was sent. It returns when
// a quorum has withdrawn its vote, and fails with ErrNoQuorum otherwise.
func (s *Service) Release(ctx context.Context, key galenahead.RequestKey, attempt string) error {
	at, ok := s.shard(key).remove(openKey{key, attempt})
	if !ok {
		return eris.Wrapf(galenahead.ErrNotFound, "attempt %s of %s", attempt, key)
	}
	return s.release(ctx, key, at)
}

func (s *Service) release(ctx context.Context, key galenahead.RequestKey, a Attempt) error {
	q := ReleaseRequest{Key: key, Attempt: a}
	return s.deliver(ctx, key, methodRelease, q, func() { s.table.Release(s.clock.Now(), s.cfg.ClockTrusted(), q) })
}

// withdraw releases the votes of an attempt that was not granted, without
// waiting. Replicas that did not answer get it too, as they may have voted.
func (s *Service) withdraw(ctx context.Context, key galenahead.RequestKey, a Attempt) {
	q := ReleaseRequest{Key: key, Attempt: a}
	s.send(ctx, key, methodRelease, q, func() { s.table.Release(s.clock.Now(), s.cfg.ClockTrusted(), q) })
}

// vote asks all replicas at once.
func (s *Service) vote(ctx context.Context, q VoteRequest) (Decision, *Ballot) {
	replies := make(chan numberedReply, replicaCount)
	replicas := Replicas(s.cfg.Entries, q.Key)
	for i, r := range replicas {
		c := &voteCall{service: s, number: i, peer: s.cfg.Entries[r], request: q, replies: replies}
		if c.peer.Name == s.cfg.Self {
			replies <- numberedReply{i, s.table.Vote(s.clock.Now(), s.cfg.ClockTrusted(), q)}
			continue
		}
		go c.run(ctx)
	}
	b := &Ballot{}
	for range replicas {
		select {
		case <-ctx.Done():
			return b.Close(), b
		case r := <-replies:
			if d := b.Add(r.number, r.reply); d != Pending {
				return d, b
			}
		}
	}
	return b.Close(), b
}

func result(d Decision, b *Ballot) (galenahead.ClaimResult, error) {
	switch d {
	case Done:
		return galenahead.ClaimResult{State: galenahead.ClaimDone, Answer: b.Answer()}, nil
	case Running, Split:
		return galenahead.ClaimResult{State: galenahead.ClaimRunning}, nil
	case Expired:
		return galenahead.ClaimResult{}, galenahead.ErrKeyExpired
	}
	return galenahead.ClaimResult{}, galenahead.ErrClaimUndecided
}

// deliver sends a message to all replicas of key and waits for a quorum.
func (s *Service) deliver(ctx context.Context, key galenahead.RequestKey, method string, params any, local func()) error {
	acks := s.send(ctx, key, method, params, local)
	n := 0
	for range cap(acks) {
		select {
		case <-ctx.Done():
			return galenahead.ErrNoQuorum
		case ok := <-acks:
			if ok {
				n++
			}
		}
		if n == quorum {
			return nil
		}
	}
	return galenahead.ErrNoQuorum
}

func (s *Service) send(ctx context.Context, key galenahead.RequestKey, method string, params any, local func()) chan bool {
	replicas := Replicas(s.cfg.Entries, key)
	acks := make(chan bool, len(replicas))
	for _, r := range replicas {
		peer := s.cfg.Entries[r]
		if peer.Name == s.cfg.Self {
			local()
			acks <- true
			continue
		}
		d := &delivery{service: s, peer: peer, method: method, params: params, acks: acks}
		go d.run(ctx)
	}
	return acks
}

func (s *Service) shard(key galenahead.RequestKey) *openShard {
	return &s.open[xxhash.Sum64String(string(key))%shardCount]
}

type numberedReply struct {
	number int
	reply  VoteReply
}

// voteCall asks one replica. The call goes on when the ballot is decided
// earlier, so that the replica is known to have the message.
type voteCall struct {
	service *Service
	number  int
	peer    galenapeer.Entry
	request VoteRequest
	replies chan<- numberedReply
}

func (c *voteCall) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.service.cfg.Timeout)
	defer cancel()
	var r VoteReply
	err := c.service.cfg.Caller.Call(ctx, c.peer.Address, methodVote, c.request, &r)
	if err != nil {
		r = VoteReply{}
	}
	c.replies <- numberedReply{c.number, r}
}

// delivery sends one message to one replica, with repetitions.
type delivery struct {
	service *Service
	peer    galenapeer.Entry
	method  string
	params  any
	acks    chan<- bool
}

func (d *delivery) run(ctx context.Context) {
	ctx = context.WithoutCancel(ctx)
	delay := redeliveryDelay
	for range deliveries {
		if d.call(ctx) == nil {
			d.acks <- true
			return
		}
		<-d.service.cfg.Timers.After(ctx, delay)
		delay *= 2
	}
	d.acks <- false
}

func (d *delivery) call(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.service.cfg.Timeout)
	defer cancel()
	return d.service.cfg.Caller.Call(ctx, d.peer.Address, d.method, d.params, nil)
}

func (o *openShard) add(k openKey, a Attempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.attempts == nil {
		o.attempts = make(map[openKey]Attempt)
	}
	o.attempts[k] = a
}

func (o *openShard) remove(k openKey) (Attempt, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a, ok := o.attempts[k]
	delete(o.attempts, k)
	return a, ok
}
