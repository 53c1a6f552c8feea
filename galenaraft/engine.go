package galenaraft

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenawal"
)

// snapshotLimits holds the thresholds for snapshots and log compaction; see Config.
type snapshotLimits struct {
	// logEntries and logBytes are the number of entries and the growth of the log
	// file after which a snapshot is taken.
	logEntries uint64
	logBytes   int64
	// retainedEntries is the number of entries that stay in the log after a
	// snapshot, so that a slightly lagging replica needs no snapshot.
	retainedEntries uint64
}

// maxApplyTime bounds the application of entries between two passes over the inputs,
// so that a long log delays no heartbeat. It is well below the heartbeat interval.
const maxApplyTime = 20 * time.Millisecond

// pendingProposal is an appended entry whose result the proposer waits for. term is
// the term in which the entry was appended.
type pendingProposal struct {
	term uint64
	done func(result []byte, err error)
}

// pendingRead is a read barrier that waits until local state is current.
type pendingRead struct {
	// index is the index that must be applied first. It is zero until the first
	// entry of the leader's term is committed.
	index uint64
	done  func(error)
}

// engine connects a core to its log files and its state machine. It uses no
// goroutines. It calls every done function exactly once: from persistAndApply or
// stop, or, on failure, from the method that done was passed to.
type engine struct {
	core         *core
	wal          *galenawal.Log
	stateMachine galenahead.StateMachine
	limits       snapshotLimits
	applyTime    time.Duration

	diagnostics  diagnostics
	appliedIndex uint64
	// snapshotIndex is the index of the latest snapshot, and logSizeAtSnapshot the
	// size of the log file right after that snapshot.
	snapshotIndex     uint64
	logSizeAtSnapshot int64
	pendingProposals  map[uint64]pendingProposal
	pendingReads      []*pendingRead
	pendingTransfers  []func(error)
}

func newEngine(c *core, w *galenawal.Log, m galenahead.StateMachine, s galenawal.Snapshot, l snapshotLimits) (*engine, error) {
	e := &engine{core: c, wal: w, stateMachine: m, limits: l, applyTime: maxApplyTime, pendingProposals: make(map[uint64]pendingProposal)}
	c.loadSnapshot = w.LoadSnapshot
	e.appliedIndex, e.snapshotIndex = s.Index, s.Index
	if s.Index == 0 {
		return e, nil
	}
	return e, eris.Wrap(m.Restore(s.Data), "restore snapshot")
}

// propose appends a command and passes its result to done.
func (e *engine) propose(now time.Duration, command []byte, done func([]byte, error)) {
	index, err := e.core.propose(now, command)
	e.awaitCommit(index, err, done)
}

// change appends a membership change and passes its result to done.
func (e *engine) change(now time.Duration, change galenahead.MemberChange, done func(error)) {
	index, err := e.core.change(now, change)
	e.awaitCommit(index, err, func(_ []byte, err error) { done(err) })
}

// awaitCommit registers done for the entry at index, or calls it if err is set.
func (e *engine) awaitCommit(index uint64, err error, done func([]byte, error)) {
	if err != nil {
		done(nil, err)
		return
	}
	e.pendingProposals[index] = pendingProposal{term: e.core.hardState.Term, done: done}
}

// readBarrier calls done with nil once local state is current, or with an error if
// this replica is not the leader.
func (e *engine) readBarrier(done func(error)) {
	e.pendingReads = append(e.pendingReads, &pendingRead{done: done})
}

// transfer starts a leadership transfer. It calls done with nil once another
// replica is the leader, or with an error.
func (e *engine) transfer(now time.Duration, done func(error)) {
	if err := e.core.startTransfer(now); err != nil {
		done(err)
		return
	}
	e.pendingTransfers = append(e.pendingTransfers, done)
}

// persistAndApply makes the core's state durable, applies committed entries for at most
// about applyTime and returns the messages to send. An error is fatal for the replica.
// It reads the clock again after syncing the files, since a sync can take longer than
// the lease.
func (e *engine) persistAndApply(clock func() time.Duration) ([]Message, error) {
	c := e.core
	if c.role == RoleLeader {
		if err := c.broadcast(clock(), false); err != nil {
			return nil, err
		}
	}
	if err := e.persist(clock); err != nil {
		return nil, err
	}
	start := clock()
	c.advanceCommit(start)
	e.apply(clock, start+e.applyTime)
	end := clock()
	e.diagnostics.record(&e.diagnostics.apply, end, end-start)
	e.resolvePending(end)
	if err := e.snapshotIfDue(clock); err != nil {
		return nil, err
	}
	out := c.outbox
	c.outbox = nil
	return out, nil
}

func (e *engine) persist(clock func() time.Duration) error {
	c := e.core
	if c.pendingSnapshot != nil {
		if err := e.installSnapshot(*c.pendingSnapshot); err != nil {
			return err
		}
		c.pendingSnapshot = nil
	}
	unstable := c.log.entriesAfter(c.log.stableIndex)
	if len(unstable) == 0 && !c.hardStateDirty {
		return nil
	}
	e.diagnostics.beginSync(clock())
	if err := e.wal.Append(c.hardState, unstable); err != nil {
		return err
	}
	e.diagnostics.endSync(clock())
	c.log.stableIndex = c.log.lastIndex()
	c.hardStateDirty = false
	return nil
}

// installSnapshot stores a snapshot from the leader and restores it.
func (e *engine) installSnapshot(s galenawal.Snapshot) error {
	if err := e.wal.SaveSnapshot(s); err != nil {
		return err
	}
	if err := e.wal.Compact(e.core.hardState, nil); err != nil {
		return err
	}
	e.appliedIndex, e.snapshotIndex, e.logSizeAtSnapshot = s.Index, s.Index, e.wal.Size()
	return eris.Wrap(e.stateMachine.Restore(s.Data), "restore snapshot")
}

// hasUnapplied reports whether committed entries wait for the next persistAndApply.
func (e *engine) hasUnapplied() bool { return e.appliedIndex < e.core.commitIndex }

// apply applies committed entries, at least one and then until the deadline.
func (e *engine) apply(clock func() time.Duration, deadline time.Duration) {
	for first := true; e.hasUnapplied() && (first || clock() < deadline); first = false {
		e.appliedIndex++
		entry := e.core.log.entries[e.appliedIndex-e.core.log.baseIndex-1]
		var result []byte
		if entry.Kind == galenawal.EntryCommand {
			result = e.stateMachine.Apply(entry.Index, entry.Data)
		}
		p, ok := e.pendingProposals[entry.Index]
		if !ok {
			continue
		}
		delete(e.pendingProposals, entry.Index)
		if p.term == entry.Term {
			p.done(result, nil)
		} else {
			p.done(nil, galenahead.ErrNoQuorum)
		}
	}
}

// resolvePending calls done for every pending proposal, read and transfer whose
// result is known.
func (e *engine) resolvePending(now time.Duration) {
	isLeader := e.core.role == RoleLeader
	for index, p := range e.pendingProposals {
		if !isLeader || p.term != e.core.hardState.Term {
			delete(e.pendingProposals, index)
			p.done(nil, galenahead.ErrNoQuorum)
		}
	}
	e.resolvePendingReads(now, isLeader)
	e.resolvePendingTransfers(now, isLeader)
}

// resolvePendingTransfers resolves the transfers once another replica is the
// leader. If it did so earlier, the process could exit before it sent the
// TimeoutNow message.
func (e *engine) resolvePendingTransfers(now time.Duration, isLeader bool) {
	c := e.core
	var err error
	switch {
	case isLeader && c.transferring():
		return
	case isLeader:
		err = eris.Wrap(galenahead.ErrNoQuorum, "the other voter did not catch up in time")
	case c.leader != (galenawal.ID{}):
	case now < c.transferDeadline:
		return
	default:
		err = eris.Wrap(galenahead.ErrNoQuorum, "the other voter did not take over in time")
	}
	for _, done := range e.pendingTransfers {
		done(err)
	}
	e.pendingTransfers = nil
}

func (e *engine) resolvePendingReads(now time.Duration, isLeader bool) {
	var unresolved []*pendingRead
	for _, read := range e.pendingReads {
		if !isLeader {
			read.done(galenahead.ErrNotLeader)
			continue
		}
		if read.index == 0 && e.core.commitIndex >= e.core.firstIndexInTerm {
			read.index = e.core.commitIndex
		}
		if read.index == 0 || e.appliedIndex < read.index || !e.core.holdsLease(now) {
			unresolved = append(unresolved, read)
			continue
		}
		read.done(nil)
	}
	e.pendingReads = unresolved
}

// snapshotIfDue takes a snapshot and compacts the log if a limit is reached.
func (e *engine) snapshotIfDue(clock func() time.Duration) error {
	if e.appliedIndex-e.snapshotIndex < e.limits.logEntries && e.wal.Size()-e.logSizeAtSnapshot < e.limits.logBytes {
		return nil
	}
	if e.appliedIndex == e.snapshotIndex {
		return nil
	}
	start := clock()
	data, err := e.stateMachine.Snapshot()
	if err != nil {
		return eris.Wrap(err, "take snapshot")
	}
	c := e.core
	term, _ := c.log.term(e.appliedIndex)
	s := galenawal.Snapshot{Index: e.appliedIndex, Term: term, Members: c.membersAt(e.appliedIndex), Data: data}
	if err := e.wal.SaveSnapshot(s); err != nil {
		return err
	}
	c.compact(e.appliedIndex, e.compactionIndex())
	if err := e.wal.Compact(c.hardState, c.log.entries); err != nil {
		return err
	}
	e.snapshotIndex, e.logSizeAtSnapshot = e.appliedIndex, e.wal.Size()
	end := clock()
	e.diagnostics.record(&e.diagnostics.snapshot, end, end-start)
	return nil
}

// compactionIndex returns the index up to which the log is compacted. Up to
// limits.retainedEntries entries after it stay, with at most batchBytes of data.
func (e *engine) compactionIndex() uint64 {
	l := &e.core.log
	size := 0
	index := e.appliedIndex
	for index > l.baseIndex && e.appliedIndex-index < e.limits.retainedEntries {
		size += len(l.entries[index-l.baseIndex-1].Data)
		if size > batchBytes {
			break
		}
		index--
	}
	return index
}

// stop makes this replica a follower and fails all pending requests. The outcome of
// pending proposals is unknown.
func (e *engine) stop(now time.Duration) {
	e.core.becomeFollower(now, e.core.hardState.Term, galenawal.ID{})
	for _, p := range e.pendingProposals {
		p.done(nil, galenahead.ErrNoQuorum)
	}
	for _, read := range e.pendingReads {
		read.done(galenahead.ErrNotLeader)
	}
	for _, done := range e.pendingTransfers {
		done(galenahead.ErrNoQuorum)
	}
	e.pendingProposals, e.pendingReads, e.pendingTransfers = nil, nil, nil
}
