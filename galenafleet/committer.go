package galenafleet

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
)

const (
	// commitTimeout bounds one proposal. The owner's session ends if the log does
	// not answer within it.
	commitTimeout = 2 * time.Second
	// leaseRetryPause is the pause before a proposal is made again that the log did not
	// append because its lease had expired.
	leaseRetryPause = 10 * time.Millisecond
	// maxBatchOps and maxBatchBytes bound one log entry. They are well below the
	// largest command that the log accepts.
	maxBatchOps   = 512
	maxBatchBytes = 512 << 10
	// maxQueuedProposals bounds the proposals that wait for the next log entry.
	maxQueuedProposals = 4096
)

// committer proposes operations to the log. It batches concurrent operations into
// one log entry, so that they share one fsync.
type committer struct {
	log termLog
	// term is the only term in which the log may append the proposals.
	term  uint64
	queue chan proposal
	// onFailure ends the session after a proposal whose outcome is unknown.
	onFailure context.CancelCauseFunc
	// ended is closed when the session has ended.
	ended <-chan struct{}
	// commits are the proposals to the log, and ops the operations in them.
	commits durationStat
	ops     atomic.Int64

	mu sync.Mutex
	// oldest is when the oldest proposal under way was queued, or zero.
	oldest time.Time
	// lastDelay is how long the last proposals took since they were queued.
	lastDelay time.Duration
}

type proposal struct {
	ops      []Op
	size     int
	done     chan<- commitResult
	queuedAt time.Time
}

// commitResult holds the results of a proposal, or why the log will never accept it.
type commitResult struct {
	results []Result
	err     error
}

// termLog is the part of a Log that a committer uses.
type termLog interface {
	LeaderTerm() (term uint64, leased bool)
	ProposeInTerm(ctx context.Context, term uint64, command []byte) ([]byte, error)
}

func newCommitter(log termLog, term uint64, ended <-chan struct{}, onFailure context.CancelCauseFunc) *committer {
	return &committer{log: log, term: term, queue: make(chan proposal, maxQueuedProposals), onFailure: onFailure, ended: ended}
}

// commit returns the results of ops once they are durable and applied. It fails with
// ErrInvalid if ops are too large for the log, which has recorded nothing then. With any
// other error, the session has ended and the outcome of ops is unknown. It is not
// cancelled with the request that caused it, since the owner must act on every operation
// that is recorded.
func (c *committer) commit(ops ...Op) ([]Result, error) {
	size := 0
	for i := range ops {
		size += estimateSize(&ops[i])
	}
	done := make(chan commitResult, 1)
	select {
	case c.queue <- proposal{ops, size, done, time.Now()}:
	case <-c.ended:
		return nil, eris.Wrap(galenahead.ErrNotLeader, "commit was not begun")
	}
	select {
	case r := <-done:
		return r.results, r.err
	case <-c.ended:
	}
	return nil, eris.Wrap(galenahead.ErrNoQuorum, "commit")
}

// estimateSize returns an estimate of the encoded size of op in bytes.
func estimateSize(op *Op) int {
	const base = 256
	switch {
	case op.Config != nil:
		return base + 2*len(op.Config.Source) + 128*len(op.Config.Queues)
	case op.Submit != nil:
		return base + len(op.Submit.Spec.Payload) + 128*len(op.Submit.Spec.Steps)
	}
	return base
}

// loop batches and proposes queued operations until ctx ends or a proposal fails.
func (c *committer) loop(ctx context.Context) error {
	var deferred *proposal
	for {
		var batch []proposal
		size := 0
		if deferred != nil {
			batch, size, deferred = append(batch, *deferred), deferred.size, nil
		} else {
			select {
			case p := <-c.queue:
				batch, size = append(batch, p), p.size
			case <-ctx.Done():
				return nil
			}
		}
		ops := len(batch[0].ops)
	collect:
		for {
			select {
			case p := <-c.queue:
				if ops+len(p.ops) > maxBatchOps || size+p.size > maxBatchBytes {
					deferred = &p
					break collect
				}
				batch, size, ops = append(batch, p), size+p.size, ops+len(p.ops)
			default:
				break collect
			}
		}
		c.beginProposal(batch[0].queuedAt)
		if err := c.proposeBatch(ctx, batch); err != nil {
			c.onFailure(err)
			return nil
		}
		c.endProposal()
	}
}

func (c *committer) beginProposal(queuedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.oldest = queuedAt
}

func (c *committer) endProposal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastDelay, c.oldest = time.Since(c.oldest), time.Time{}
}

// delay returns how long an operation takes that is proposed now, judged by the last
// ones and those under way. It is zero if nothing is under way.
func (c *committer) delay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.oldest.IsZero() {
		return 0
	}
	return max(c.lastDelay, time.Since(c.oldest))
}

// proposeBatch proposes a batch in one log entry. If the log never accepts such an entry,
// each proposal gets an entry of its own, and one that is not accepted either is refused.
func (c *committer) proposeBatch(ctx context.Context, batch []proposal) error {
	err := c.propose(ctx, batch)
	if !errors.Is(err, galenahead.ErrInvalid) {
		return err
	}
	if len(batch) == 1 {
		batch[0].done <- commitResult{err: err}
		return nil
	}
	for i := range batch {
		if err := c.proposeBatch(ctx, batch[i:i+1]); err != nil {
			return err
		}
	}
	return nil
}

// proposeInTerm proposes a command once the lease of the log is valid, as long as the term
// goes on.
func (c *committer) proposeInTerm(ctx context.Context, command []byte) ([]byte, error) {
	for {
		out, err := c.log.ProposeInTerm(ctx, c.term, command)
		if !errors.Is(err, galenahead.ErrNotLeader) || ctx.Err() != nil {
			return out, err
		}
		// The log has not appended the command.
		if term, _ := c.log.LeaderTerm(); term != c.term {
			return nil, err
		}
		select {
		case <-ctx.Done():
		case <-time.After(leaseRetryPause):
		}
	}
}

func (c *committer) propose(ctx context.Context, batch []proposal) error {
	var ops []Op
	for _, p := range batch {
		ops = append(ops, p.ops...)
	}
	b, err := encodeCommand(ops)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	start := time.Now()
	out, err := c.proposeInTerm(callCtx, b)
	c.commits.record(time.Since(start))
	c.ops.Add(int64(len(ops)))
	if err != nil {
		return err
	}
	var results []Result
	if err := decoding.Unmarshal(out, &results); err != nil {
		return eris.Wrap(err, "decode results")
	}
	if len(results) != len(ops) {
		return eris.Errorf("%d results for %d operations", len(results), len(ops))
	}
	for _, p := range batch {
		p.done <- commitResult{results: results[:len(p.ops):len(p.ops)]}
		results = results[len(p.ops):]
	}
	return nil
}
