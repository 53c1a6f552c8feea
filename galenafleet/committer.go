package galenafleet

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
)

const (
	// commitTimeout bounds one proposal. The owner's session ends if the log does
	// not answer within it.
	commitTimeout = 2 * time.Second
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
	log   galenahead.ReplicatedLog
	queue chan proposal
	// onFailure ends the session after a proposal whose outcome is unknown.
	onFailure context.CancelCauseFunc
	// ended is closed when the session has ended.
	ended <-chan struct{}
	// commits are the proposals to the log, and ops the operations in them.
	commits durationStat
	ops     atomic.Int64
}

type proposal struct {
	ops  []Op
	size int
	done chan<- []Result
}

func newCommitter(log galenahead.ReplicatedLog, ended <-chan struct{}, onFailure context.CancelCauseFunc) *committer {
	return &committer{log: log, queue: make(chan proposal, maxQueuedProposals), onFailure: onFailure, ended: ended}
}

// commit returns the results of ops once they are durable and applied. If it
// returns an error, the session has ended and the outcome of ops is unknown. It is
// not cancelled with the request that caused it, since the owner must act on every
// operation that is recorded.
func (c *committer) commit(ops ...Op) ([]Result, error) {
	size := 0
	for i := range ops {
		size += estimateSize(&ops[i])
	}
	done := make(chan []Result, 1)
	select {
	case c.queue <- proposal{ops, size, done}:
	case <-c.ended:
		return nil, eris.Wrap(galenahead.ErrNotLeader, "commit was not begun")
	}
	select {
	case r := <-done:
		return r, nil
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
		if err := c.propose(ctx, batch); err != nil {
			c.onFailure(err)
			return nil
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
	out, err := c.log.Propose(callCtx, b)
	c.commits.record(time.Since(start))
	c.ops.Add(int64(len(ops)))
	if err != nil {
		return err
	}
	var results []Result
	if err := cbor.Unmarshal(out, &results); err != nil {
		return eris.Wrap(err, "decode results")
	}
	if len(results) != len(ops) {
		return eris.Errorf("%d results for %d operations", len(results), len(ops))
	}
	for _, p := range batch {
		p.done <- results[:len(p.ops):len(p.ops)]
		results = results[len(p.ops):]
	}
	return nil
}
