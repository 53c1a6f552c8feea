package galenaraft

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenawal"
)

// limits holds the thresholds for snapshots.
type limits struct {
	// entries and bytes of log after which a snapshot is taken.
	entries uint64
	bytes   int64
	// retained entries stay in the log after a snapshot, so that a replica that
	// is a little behind needs no snapshot.
	retained uint64
}

// proposal is an appended entry whose proposer waits.
type proposal struct {
	term uint64
	done func(result []byte, err error)
}

// barrier is a read that waits until local state is current.
type barrier struct {
	// index must be applied first; zero until the leader's own first entry is
	// committed.
	index uint64
	done  func(error)
}

// engine joins a core with its files and its state machine. It has no
// goroutines. Every done function is called exactly once, from flush, or from
// the call that took it when that call fails.
type engine struct {
	core    *core
	wal     *galenawal.Log
	machine galenahead.StateMachine
	limits  limits

	applied uint64
	// taken is the position of the latest snapshot, and base the size of the
	// log file right after it.
	taken     uint64
	base      int64
	proposals map[uint64]proposal
	barriers  []*barrier
	transfers []func(error)
}

func newEngine(c *core, w *galenawal.Log, m galenahead.StateMachine, s galenawal.Snapshot, l limits) (*engine, error) {
	e := &engine{core: c, wal: w, machine: m, limits: l, proposals: make(map[uint64]proposal)}
	c.load = w.LoadSnapshot
	e.applied, e.taken = s.Index, s.Index
	if s.Index == 0 {
		return e, nil
	}
	return e, eris.Wrap(m.Restore(s.Data), "restore snapshot")
}

// propose appends a command for which done gets the outcome.
func (e *engine) propose(now time.Duration, command []byte, done func([]byte, error)) {
	index, err := e.core.propose(now, command)
	e.wait(index, err, done)
}

// change appends a membership change for which done gets the outcome.
func (e *engine) change(now time.Duration, change galenahead.MemberChange, done func(error)) {
	index, err := e.core.change(now, change)
	e.wait(index, err, func(_ []byte, err error) { done(err) })
}

func (e *engine) wait(index uint64, err error, done func([]byte, error)) {
	if err != nil {
		done(nil, err)
		return
	}
	e.proposals[index] = proposal{term: e.core.hard.Term, done: done}
}

// read calls done once local state is current, or with the reason why it
// cannot be.
func (e *engine) read(done func(error)) {
	e.barriers = append(e.barriers, &barrier{done: done})
}

// transfer calls done once another replica leads.
func (e *engine) transfer(now time.Duration, done func(error)) {
	if err := e.core.transfer(now); err != nil {
		done(err)
		return
	}
	e.transfers = append(e.transfers, done)
}

// flush makes the core's decisions durable, applies what is committed and
// returns the messages to send. An error is fatal for the replica. The clock
// is read again after the files were synced, since that can take longer than
// the lease.
func (e *engine) flush(clock func() time.Duration) ([]Message, error) {
	c := e.core
	if c.role == RoleLeader {
		if err := c.broadcast(clock(), false); err != nil {
			return nil, err
		}
	}
	if err := e.persist(); err != nil {
		return nil, err
	}
	c.advanceCommit(clock())
	e.apply()
	e.resolve(clock())
	if err := e.snapshot(); err != nil {
		return nil, err
	}
	out := c.out
	c.out = nil
	return out, nil
}

func (e *engine) persist() error {
	c := e.core
	if c.install != nil {
		if err := e.install(*c.install); err != nil {
			return err
		}
		c.install = nil
	}
	unstable := c.log.from(c.log.stable)
	if len(unstable) == 0 && !c.hardDirty {
		return nil
	}
	if err := e.wal.Append(c.hard, unstable); err != nil {
		return err
	}
	c.log.stable = c.log.last()
	c.hardDirty = false
	return nil
}

// install stores a snapshot from the leader and restores it.
func (e *engine) install(s galenawal.Snapshot) error {
	if err := e.wal.SaveSnapshot(s); err != nil {
		return err
	}
	if err := e.wal.Compact(e.core.hard, nil); err != nil {
		return err
	}
	e.applied, e.taken, e.base = s.Index, s.Index, e.wal.Size()
	return eris.Wrap(e.machine.Restore(s.Data), "restore snapshot")
}

func (e *engine) apply() {
	for e.applied < e.core.commit {
		e.applied++
		entry := e.core.log.entries[e.applied-e.core.log.base-1]
		var result []byte
		if entry.Kind == galenawal.EntryCommand {
			result = e.machine.Apply(entry.Index, entry.Data)
		}
		p, ok := e.proposals[entry.Index]
		if !ok {
			continue
		}
		delete(e.proposals, entry.Index)
		if p.term == entry.Term {
			p.done(result, nil)
		} else {
			p.done(nil, galenahead.ErrNoQuorum)
		}
	}
}

// resolve ends whatever waits and can be decided now.
func (e *engine) resolve(now time.Duration) {
	leads := e.core.role == RoleLeader
	for index, p := range e.proposals {
		if !leads || p.term != e.core.hard.Term {
			delete(e.proposals, index)
			p.done(nil, galenahead.ErrNoQuorum)
		}
	}
	e.resolveBarriers(now, leads)
	e.resolveTransfers(now, leads)
}

// resolveTransfers ends the transfers once another replica leads: a replica that
// stops earlier could take the request to take over with it.
func (e *engine) resolveTransfers(now time.Duration, leads bool) {
	c := e.core
	var err error
	switch {
	case leads && c.transferring():
		return
	case leads:
		err = eris.Wrap(galenahead.ErrNoQuorum, "the other voter did not catch up in time")
	case c.leader != (galenawal.ID{}):
	case now < c.transferBy:
		return
	default:
		err = eris.Wrap(galenahead.ErrNoQuorum, "the other voter did not take over in time")
	}
	for _, done := range e.transfers {
		done(err)
	}
	e.transfers = nil
}

func (e *engine) resolveBarriers(now time.Duration, leads bool) {
	var open []*barrier
	for _, b := range e.barriers {
		if !leads {
			b.done(galenahead.ErrNotLeader)
			continue
		}
		if b.index == 0 && e.core.commit >= e.core.first {
			b.index = e.core.commit
		}
		if b.index == 0 || e.applied < b.index || !e.core.holdsLease(now) {
			open = append(open, b)
			continue
		}
		b.done(nil)
	}
	e.barriers = open
}

// snapshot takes a snapshot and compacts the log when that is due.
func (e *engine) snapshot() error {
	if e.applied-e.taken < e.limits.entries && e.wal.Size()-e.base < e.limits.bytes {
		return nil
	}
	if e.applied == e.taken {
		return nil
	}
	data, err := e.machine.Snapshot()
	if err != nil {
		return eris.Wrap(err, "take snapshot")
	}
	c := e.core
	term, _ := c.log.term(e.applied)
	s := galenawal.Snapshot{Index: e.applied, Term: term, Members: c.membersAt(e.applied), Data: data}
	if err := e.wal.SaveSnapshot(s); err != nil {
		return err
	}
	c.compact(e.applied, e.retainAfter())
	if err := e.wal.Compact(c.hard, c.log.entries); err != nil {
		return err
	}
	e.taken, e.base = e.applied, e.wal.Size()
	return nil
}

// retainAfter returns the position after which entries stay in the log.
func (e *engine) retainAfter() uint64 {
	l := &e.core.log
	size := 0
	index := e.applied
	for index > l.base && e.applied-index < e.limits.retained {
		size += len(l.entries[index-l.base-1].Data)
		if size > batchBytes {
			break
		}
		index--
	}
	return index
}

// stop ends leadership and whatever waits, with an unknown outcome.
func (e *engine) stop(now time.Duration) {
	e.core.follow(now, e.core.hard.Term, galenawal.ID{})
	for _, p := range e.proposals {
		p.done(nil, galenahead.ErrNoQuorum)
	}
	for _, b := range e.barriers {
		b.done(galenahead.ErrNotLeader)
	}
	for _, done := range e.transfers {
		done(galenahead.ErrNoQuorum)
	}
	e.proposals, e.barriers, e.transfers = nil, nil, nil
}
