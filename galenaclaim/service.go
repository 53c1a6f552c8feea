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
	methodBatch = "claim.batch"

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
	// pipes leads to each entry, in the order of the configured list.
	pipes []*pipe
}

var _ galenahead.Claimer = (*Service)(nil)

type openKey struct {
	key     galenahead.RequestKey
	attempt string
}

// openShard holds the granted attempts that are neither finished nor released.
type openShard struct {
	mu     sync.Mutex
	orders map[openKey]uint64
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
	for _, e := range cfg.Entries {
		s.pipes = append(s.pipes, &pipe{service: s, peer: e})
	}
	return s
}

// Register adds the replica's method to m.
func (s *Service) Register(m *galenarpc.Mux) {
	galenarpc.Handle(m, methodBatch, func(_ context.Context, b Batch) (BatchReply, error) {
		return s.serve(b), nil
	})
}

// serve executes the operations at this replica.
func (s *Service) serve(b Batch) BatchReply {
	r := BatchReply{Votes: make([]VoteReply, len(b.Ops))}
	now, trusted := s.clock.Now(), s.cfg.ClockTrusted()
	for i, op := range b.Ops {
		a := Attempt{Entry: b.Entry, Life: b.Life, Order: op.Order}
		switch op.Kind {
		case OpVote:
			r.Votes[i] = s.table.Vote(now, trusted, VoteRequest{op.Key, a})
		case OpFinish:
			s.table.Finish(now, trusted, FinishRequest{op.Key, a, op.Answer})
		case OpRelease:
			s.table.Release(now, trusted, ReleaseRequest{op.Key, a})
		}
	}
	return r
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
		order := s.order.Add(1)
		d, b := s.vote(ctx, Op{Kind: OpVote, Key: key, Order: order})
		if d == Granted {
			s.shard(key).add(openKey{key, attempt}, order)
			return galenahead.ClaimResult{State: galenahead.ClaimGranted}, nil
		}
		// Replicas that did not answer get the release too, as they may have
		// voted.
		s.send(Op{Kind: OpRelease, Key: key, Order: order})
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
	order, ok := s.shard(key).remove(openKey{key, attempt})
	if !ok {
		return eris.Wrapf(galenahead.ErrNotFound, "attempt %s of %s", attempt, key)
	}
	op := Op{Kind: OpFinish, Key: key, Order: order}
	if resultSize(&a) <= MaxResult {
		op.Answer = &a
	}
	return s.deliver(ctx, op)
}

// Release gives up a granted attempt of which no byte was sent. It returns when
// a quorum has withdrawn its vote, and fails with ErrNoQuorum otherwise.
func (s *Service) Release(ctx context.Context, key galenahead.RequestKey, attempt string) error {
	order, ok := s.shard(key).remove(openKey{key, attempt})
	if !ok {
		return eris.Wrapf(galenahead.ErrNotFound, "attempt %s of %s", attempt, key)
	}
	return s.deliver(ctx, Op{Kind: OpRelease, Key: key, Order: order})
}

// vote asks all replicas at once. The remaining calls go on when the ballot is
// decided, so that the replicas get to know the attempt.
func (s *Service) vote(ctx context.Context, op Op) (Decision, *Ballot) {
	replies := s.send(op)
	b := &Ballot{}
	for range cap(replies) {
		select {
		case <-ctx.Done():
			return b.Close(), b
		case r := <-replies:
			if d := b.Add(r.number, r.vote); d != Pending {
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

// deliver sends an operation to all replicas of its key and waits for a quorum.
func (s *Service) deliver(ctx context.Context, op Op) error {
	replies := s.send(op)
	n := 0
	for range cap(replies) {
		select {
		case <-ctx.Done():
			return galenahead.ErrNoQuorum
		case r := <-replies:
			if r.ok {
				n++
			}
		}
		if n == quorum {
			return nil
		}
	}
	return galenahead.ErrNoQuorum
}

// send starts an operation at all replicas of its key. The channel has room for
// all replies.
func (s *Service) send(op Op) <-chan opReply {
	replicas := Replicas(s.cfg.Entries, op.Key)
	replies := make(chan opReply, len(replicas))
	for i, r := range replicas {
		s.pipes[r].submit(&pending{op: op, number: i, replies: replies})
	}
	return replies
}

func (s *Service) shard(key galenahead.RequestKey) *openShard {
	return &s.open[xxhash.Sum64String(string(key))%shardCount]
}

func (o *openShard) add(k openKey, order uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.orders == nil {
		o.orders = make(map[openKey]uint64)
	}
	o.orders[k] = order
}

func (o *openShard) remove(k openKey) (uint64, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	order, ok := o.orders[k]
	delete(o.orders, k)
	return order, ok
}
