package galenaraft

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
)

// callResult is the result of a request that Run handled.
type callResult struct {
	result []byte
	err    error
}

// submit passes a request to Run and waits for its result. It fails with
// ErrNotLeader if Run did not start the request, and with ErrNoQuorum if ctx or
// Run ended before the result was known.
func (n *Node) submit(ctx context.Context, begin func(now time.Duration, done func([]byte, error))) ([]byte, error) {
	results := make(chan callResult, 1)
	// Defer the reply until the published state includes the request's effects, so
	// that the calling goroutine sees them in Status.
	done := func(result []byte, err error) {
		n.deferredReplies = append(n.deferredReplies, func() { results <- callResult{result, err} })
	}
	err := n.enqueue(ctx, func(now time.Duration) error {
		if ctx.Err() != nil {
			done(nil, galenahead.ErrNotLeader)
			return nil
		}
		begin(now, done)
		return nil
	})
	if err != nil {
		return nil, eris.Wrap(galenahead.ErrNotLeader, err.Error())
	}
	select {
	case r := <-results:
		return r.result, r.err
	case <-ctx.Done():
		return nil, eris.Wrap(galenahead.ErrNoQuorum, ctx.Err().Error())
	case <-n.stopped:
	}
	select {
	case r := <-results:
		return r.result, r.err
	default:
		return nil, eris.Wrap(galenahead.ErrNoQuorum, "this replica stopped")
	}
}

// Propose implements galenahead.ReplicatedLog. It also fails with
// galenahead.ErrInvalid if the command is longer than MaxCommandBytes.
func (n *Node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	return n.ProposeInTerm(ctx, 0, command)
}

// ProposeInTerm is Propose for a command that must not be appended in another term of
// this replica as leader. Term 0 stands for any.
func (n *Node) ProposeInTerm(ctx context.Context, term uint64, command []byte) ([]byte, error) {
	if len(command) > MaxCommandBytes {
		return nil, eris.Wrapf(galenahead.ErrInvalid, "command of %d bytes is longer than %d", len(command), MaxCommandBytes)
	}
	return n.submit(ctx, func(now time.Duration, done func([]byte, error)) {
		if term != 0 && term != n.engine.core.hardState.Term {
			done(nil, galenahead.ErrNotLeader)
			return
		}
		n.engine.propose(now, command, done)
	})
}

// ReadBarrier implements galenahead.ReplicatedLog. On a new leader it waits until
// the lease begins. It fails with ErrNotLeader, with ErrLeaseExpired if the lease
// expired before the calling goroutine was scheduled again, and with ErrNoQuorum
// if ctx ends.
func (n *Node) ReadBarrier(ctx context.Context) error {
	_, err := n.submit(ctx, func(_ time.Duration, done func([]byte, error)) {
		n.engine.readBarrier(func(err error) { done(nil, err) })
	})
	if err != nil {
		return err
	}
	if n.now() >= n.published.Load().leaseEnd {
		return galenahead.ErrLeaseExpired
	}
	return nil
}

// Status implements galenahead.ReplicatedLog.
func (n *Node) Status() galenahead.LogStatus { return n.published.Load().status }

// HoldsLease reports whether this replica is the leader and its lease is valid
// now.
func (n *Node) HoldsLease() bool { return n.now() < n.published.Load().leaseEnd }

// LeaderTerm returns the term in which this replica leads, or zero if it does not lead,
// and whether its lease is valid now. A lease that has expired may become valid again in
// the same term. No other replica has led in between: the voters whose answers renew the
// lease have not voted in a later term before.
func (n *Node) LeaderTerm() (term uint64, leased bool) {
	p := n.published.Load()
	if p.status.Role != string(RoleLeader) {
		return 0, false
	}
	return p.status.Term, n.now() < p.leaseEnd
}

// Syncs returns the number of records that this replica has synced to its log
// since Open.
func (n *Node) Syncs() uint64 { return n.published.Load().syncs }

// ChangeMember implements galenahead.ReplicatedLog. In a promotion or removal, an
// incarnation of zero selects the current member of that name. Besides
// ErrNotLeader and ErrNoQuorum, it fails with ErrNotReady while an earlier change
// is not committed or the learner has not caught up, with ErrConflict if a
// replica to be added is already a member under any incarnation, and with
// ErrNotFound and ErrInvalid.
func (n *Node) ChangeMember(ctx context.Context, change galenahead.MemberChange) error {
	_, err := n.submit(ctx, func(now time.Duration, done func([]byte, error)) {
		n.engine.change(now, change, func(err error) { done(nil, err) })
	})
	return err
}

// Bootstrap implements galenahead.ReplicatedLog. The members must include this
// replica as a voter, and each member must have an incarnation.
func (n *Node) Bootstrap(ctx context.Context, members []galenahead.Member) error {
	_, err := n.submit(ctx, func(now time.Duration, done func([]byte, error)) {
		done(nil, n.engine.core.bootstrap(now, members))
	})
	return err
}

// TransferLeadership implements galenahead.ReplicatedLog. It returns nil once
// another replica is the leader. It fails with ErrNotLeader if this replica was
// not the leader, and with ErrNoQuorum if no other voter responds, catches up or
// becomes the leader in time.
func (n *Node) TransferLeadership(ctx context.Context) error {
	_, err := n.submit(ctx, func(now time.Duration, done func([]byte, error)) {
		n.engine.transfer(now, func(err error) { done(nil, err) })
	})
	return err
}
