package galenaraft

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
)

// outcome is what a caller waits for.
type outcome struct {
	result []byte
	err    error
}

// submit hands a request to Run and waits for its outcome. It fails with
// ErrNotLeader when the request was not handed over, and with ErrNoQuorum when
// the wait ended early.
func (n *Node) submit(ctx context.Context, start func(now time.Duration, done func([]byte, error))) ([]byte, error) {
	answer := make(chan outcome, 1)
	// Whoever waits must see the state that the answer belongs to.
	done := func(result []byte, err error) {
		n.held = append(n.held, func() { answer <- outcome{result, err} })
	}
	err := n.do(ctx, func(now time.Duration) error {
		if ctx.Err() != nil {
			done(nil, galenahead.ErrNotLeader)
			return nil
		}
		start(now, done)
		return nil
	})
	if err != nil {
		return nil, eris.Wrap(galenahead.ErrNotLeader, err.Error())
	}
	select {
	case o := <-answer:
		return o.result, o.err
	case <-ctx.Done():
		return nil, eris.Wrap(galenahead.ErrNoQuorum, ctx.Err().Error())
	case <-n.stopped:
	}
	select {
	case o := <-answer:
		return o.result, o.err
	default:
		return nil, eris.Wrap(galenahead.ErrNoQuorum, "this replica stopped")
	}
}

// Propose implements galenahead.ReplicatedLog. It fails with
// galenahead.ErrInvalid when the command is longer than MaxCommand.
func (n *Node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > MaxCommand {
		return nil, eris.Wrapf(galenahead.ErrInvalid, "command of %d bytes is longer than %d", len(command), MaxCommand)
	}
	return n.submit(ctx, func(now time.Duration, done func([]byte, error)) {
		n.engine.propose(now, command, done)
	})
}

// ReadBarrier implements galenahead.ReplicatedLog. It waits for the lease of a
// new leader. It fails with ErrNotLeader, with ErrLeaseExpired when the lease
// ended while this goroutine waited to run, and with ErrNoQuorum when ctx ends.
func (n *Node) ReadBarrier(ctx context.Context) error {
	_, err := n.submit(ctx, func(_ time.Duration, done func([]byte, error)) {
		n.engine.read(func(err error) { done(nil, err) })
	})
	if err != nil {
		return err
	}
	if n.now() >= n.view.Load().leaseEnd {
		return galenahead.ErrLeaseExpired
	}
	return nil
}

// Status implements galenahead.ReplicatedLog.
func (n *Node) Status() galenahead.LogStatus { return n.view.Load().status }

// HoldsLease tells whether this replica leads and its lease holds now.
func (n *Node) HoldsLease() bool { return n.now() < n.view.Load().leaseEnd }

// Syncs returns how many records this replica has synced to its log since Open.
func (n *Node) Syncs() uint64 { return n.view.Load().syncs }

// ChangeMember implements galenahead.ReplicatedLog. An incarnation of zero in
// a promotion or removal stands for the one that is a member. Besides
// ErrNotLeader and ErrNoQuorum it fails with ErrNotReady while an earlier
// change is not committed or the learner has not caught up, with ErrConflict
// when another incarnation of an added replica is a member, with ErrNotFound
// and with ErrInvalid.
func (n *Node) ChangeMember(ctx context.Context, change galenahead.MemberChange) error {
	_, err := n.submit(ctx, func(now time.Duration, done func([]byte, error)) {
		n.engine.change(now, change, func(err error) { done(nil, err) })
	})
	return err
}

// Bootstrap implements galenahead.ReplicatedLog. The members must include this
// replica as a voter, and each needs its incarnation.
func (n *Node) Bootstrap(ctx context.Context, members []galenahead.Member) error {
	_, err := n.submit(ctx, func(now time.Duration, done func([]byte, error)) {
		done(nil, n.engine.core.bootstrap(now, members))
	})
	return err
}

// TransferLeadership implements galenahead.ReplicatedLog. It returns nil once
// another replica leads, and fails with ErrNotLeader when this one did not lead,
// and with ErrNoQuorum when no other voter answers, catches up or takes over.
func (n *Node) TransferLeadership(ctx context.Context) error {
	_, err := n.submit(ctx, func(now time.Duration, done func([]byte, error)) {
		n.engine.transfer(now, func(err error) { done(nil, err) })
	})
	return err
}
