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

	// DefaultTimeout bounds the wait for a replica's reply. A reply usually takes
	// one round trip of about 3 ms.
	DefaultTimeout = 300 * time.Millisecond
	// maxDeliveries is how many times a result or a release is sent to a replica
	// that does not reply.
	maxDeliveries = 3
	// redeliveryDelay is the delay before the second delivery. It doubles with each
	// further delivery.
	redeliveryDelay = 100 * time.Millisecond
	// maxBallots is how many ballots a claim holds if the votes are split.
	maxBallots = 4
	// maxSplitDelay is the upper bound of the random delay after a split vote.
	maxSplitDelay = 20 * time.Millisecond
	// tickInterval is the time between two purges of the claim table.
	tickInterval = time.Second
)

// Config configures a Service.
type Config struct {
	Self galenahead.EntryName
	// Entries is the configured list of all entries, including this one.
	Entries   []galenapeer.Entry
	RPCClient galenahead.RPCClient
	Timers    galenahead.Timers
	// ClockTrusted reports whether this entry's clock is close to the median of the
	// entries' clocks.
	ClockTrusted func() bool
	// MaxKeys bounds the number of keys in the claim table; 0 selects
	// DefaultMaxKeys.
	MaxKeys int
	// MaxResultBytes bounds the size of all recorded results; 0 selects MaxTotalResultBytes, which
	// is the most.
	MaxResultBytes int64
	// Timeout bounds a call to a replica; 0 selects DefaultTimeout.
	Timeout time.Duration
	// Random is the source of random numbers; nil selects math/rand/v2.
	Random func() uint64
}

// Service makes an entry a claim replica and claims keys for the requests of the
// entry. It implements galenahead.Claimer.
type Service struct {
	cfg         Config
	clock       *galenapeer.Clock
	table       *Table
	incarnation uint32
	sequence    atomic.Uint64
	granted     [shardCount]grantShard
	// batchers has one batcher for each entry, in the order of Config.Entries.
	batchers []*batcher
}

var _ galenahead.Claimer = (*Service)(nil)

// grantKey identifies a granted attempt by its key and the attempt id that was
// passed to Claim.
type grantKey struct {
	key     galenahead.RequestKey
	attempt string
}

// grantShard holds the sequence numbers of granted attempts that are neither
// finished nor released.
type grantShard struct {
	mu        sync.Mutex
	sequences map[grantKey]uint64
}

// New returns a service with an empty claim table.
func New(cfg Config) *Service {
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.Random == nil {
		cfg.Random = rand.Uint64
	}
	s := &Service{cfg: cfg, clock: galenapeer.NewClock(cfg.Timers), incarnation: uint32(cfg.Random())}
	now := s.clock.Now()
	s.table = NewTable(now, cfg.Entries, cfg.MaxKeys)
	if cfg.MaxResultBytes > 0 {
		s.table.maxResultBytes = min(cfg.MaxResultBytes, MaxTotalResultBytes)
	}
	// Starting at the time of day makes sequence numbers increase across restarts.
	// If the clock stepped back, fences from before the restart reject some claims,
	// which is safe.
	s.sequence.Store(uint64(now.Wall.UnixNano()))
	for _, e := range cfg.Entries {
		s.batchers = append(s.batchers, &batcher{service: s, peer: e})
	}
	return s
}

// Register adds the RPC method of the claim replica to m.
func (s *Service) Register(m *galenarpc.Mux) {
	galenarpc.Handle(m, methodBatch, func(_ context.Context, b Batch) (BatchReply, error) {
		return s.executeBatch(b), nil
	})
}

// executeBatch executes operations at this replica.
func (s *Service) executeBatch(b Batch) BatchReply {
	r := BatchReply{Votes: make([]VoteReply, len(b.Ops))}
	now, trusted := s.clock.Now(), s.cfg.ClockTrusted()
	for i, op := range b.Ops {
		a := Attempt{Entry: b.Entry, Incarnation: b.Incarnation, Sequence: op.Sequence}
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

// Run periodically purges the claim table until ctx is done, and then returns
// nil.
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

// KeyCount returns the number of keys in this replica's claim table.
func (s *Service) KeyCount() int { return s.table.Len() }

// Claim claims key for attempt, which must be unique for the key. If it fails with
// ErrClaimUndecided, an earlier attempt may nevertheless have run.
func (s *Service) Claim(ctx context.Context, key galenahead.RequestKey, attempt string) (galenahead.ClaimResult, error) {
	issued, err := key.IssueTime()
	if err != nil {
		return galenahead.ClaimResult{}, err
	}
	age := s.clock.Now().Wall.Sub(issued)
	if s.cfg.ClockTrusted() && (age > ClaimWindow+clockMargin || age < -MaxKeyAhead-clockMargin) {
		// The key is outside the claim window by any trusted clock of a replica.
		return galenahead.ClaimResult{}, galenahead.ErrKeyExpired
	}
	for range maxBallots {
		sequence := s.sequence.Add(1)
		decision, ballot := s.requestVotes(ctx, Op{Kind: OpVote, Key: key, Sequence: sequence})
		if decision == Granted {
			s.shard(key).add(grantKey{key, attempt}, sequence)
			return galenahead.ClaimResult{State: galenahead.ClaimGranted}, nil
		}
		// The release also goes to replicas that did not reply, because they may
		// have voted for the attempt.
		s.submitToAll(Op{Kind: OpRelease, Key: key, Sequence: sequence})
		if decision != Split {
			return claimResult(decision, ballot)
		}
		delay := time.Duration(s.cfg.Random() % uint64(maxSplitDelay))
		select {
		case <-ctx.Done():
			return claimResult(Running, ballot)
		case <-s.cfg.Timers.After(ctx, delay):
		}
	}
	return galenahead.ClaimResult{State: galenahead.ClaimRunning}, nil
}

// Finish records the result of a granted attempt. It returns nil when a quorum of
// replicas has replied, and fails with ErrNoQuorum otherwise.
func (s *Service) Finish(ctx context.Context, key galenahead.RequestKey, attempt string, a galenahead.Answer) error {
	sequence, ok := s.shard(key).remove(grantKey{key, attempt})
	if !ok {
		return eris.Wrapf(galenahead.ErrNotFound, "attempt %s of %s", attempt, key)
	}
	op := Op{Kind: OpFinish, Key: key, Sequence: sequence}
	if resultSize(&a) <= MaxResultBytes {
		op.Answer = &a
	}
	return s.submitToQuorum(ctx, op)
}

// Release gives up a granted attempt of which no byte was sent. It returns nil
// when a quorum of replicas has replied, and fails with ErrNoQuorum otherwise.
func (s *Service) Release(ctx context.Context, key galenahead.RequestKey, attempt string) error {
	sequence, ok := s.shard(key).remove(grantKey{key, attempt})
	if !ok {
		return eris.Wrapf(galenahead.ErrNotFound, "attempt %s of %s", attempt, key)
	}
	return s.submitToQuorum(ctx, Op{Kind: OpRelease, Key: key, Sequence: sequence})
}

// requestVotes asks all replicas for their votes in parallel and returns as soon as
// the ballot is decided. The calls that remain are not cancelled, so that their
// replicas also learn about the attempt.
func (s *Service) requestVotes(ctx context.Context, op Op) (Decision, *Ballot) {
	replies := s.submitToAll(op)
	ballot := &Ballot{}
	for range cap(replies) {
		select {
		case <-ctx.Done():
			return ballot.Close(), ballot
		case r := <-replies:
			if d := ballot.Add(r.replica, r.vote); d != Pending {
				return d, ballot
			}
		}
	}
	return ballot.Close(), ballot
}

func claimResult(decision Decision, ballot *Ballot) (galenahead.ClaimResult, error) {
	switch decision {
	case Done:
		return galenahead.ClaimResult{State: galenahead.ClaimDone, Answer: ballot.Answer()}, nil
	case Running, Split:
		return galenahead.ClaimResult{State: galenahead.ClaimRunning}, nil
	case Expired:
		return galenahead.ClaimResult{}, galenahead.ErrKeyExpired
	}
	return galenahead.ClaimResult{}, galenahead.ErrClaimUndecided
}

// submitToQuorum submits an operation to all replicas of its key and waits for the
// replies of a quorum.
func (s *Service) submitToQuorum(ctx context.Context, op Op) error {
	replies := s.submitToAll(op)
	confirmed := 0
	for range cap(replies) {
		select {
		case <-ctx.Done():
			return galenahead.ErrNoQuorum
		case r := <-replies:
			if r.ok {
				confirmed++
			}
		}
		if confirmed == quorum {
			return nil
		}
	}
	return galenahead.ErrNoQuorum
}

// submitToAll submits an operation to all replicas of its key. The returned
// channel is buffered for all replies.
func (s *Service) submitToAll(op Op) <-chan opReply {
	replicas := Replicas(s.cfg.Entries, op.Key)
	replies := make(chan opReply, len(replicas))
	for i, entry := range replicas {
		s.batchers[entry].submit(&pendingOp{op: op, replica: i, replies: replies})
	}
	return replies
}

func (s *Service) shard(key galenahead.RequestKey) *grantShard {
	return &s.granted[xxhash.Sum64String(string(key))%shardCount]
}

func (g *grantShard) add(k grantKey, sequence uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sequences == nil {
		g.sequences = make(map[grantKey]uint64)
	}
	g.sequences[k] = sequence
}

func (g *grantShard) remove(k grantKey) (uint64, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	sequence, ok := g.sequences[k]
	delete(g.sequences, k)
	return sequence, ok
}
