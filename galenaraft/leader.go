package galenaraft

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenawal"
)

const (
	// batchBytes bounds the commands in one append message.
	batchBytes = 512 << 10
	// chunkBytes is the default bound of the part of a snapshot in one message.
	chunkBytes = 256 << 10
	// resendBeats is after how many heartbeats unanswered entries are sent
	// again.
	resendBeats = 4
	// infinite is the end of the lease of the only voter.
	infinite = time.Duration(1<<63 - 1)
)

// lead makes this replica the leader of its term.
func (c *core) lead(now time.Duration) error {
	c.role = RoleLeader
	c.leader = c.id
	c.votes = nil
	c.electedAt = now
	c.progress = make(map[galenawal.ID]*progress)
	c.syncProgress()
	c.first = c.log.last() + 1
	data, err := encodeLeader(c.id)
	if err != nil {
		return err
	}
	if err := c.append(galenawal.EntryNoop, data); err != nil {
		return err
	}
	c.nextBeat = now + c.timing.heartbeat
	return c.broadcast(now, true)
}

// syncProgress tracks exactly the other members.
func (c *core) syncProgress() {
	for id := range c.progress {
		if _, ok := c.members().find(id); !ok {
			delete(c.progress, id)
		}
	}
	for _, m := range c.members().members {
		id := idOf(m)
		if id != c.id && c.progress[id] == nil {
			c.progress[id] = &progress{next: c.log.last() + 1}
		}
	}
}

func (c *core) append(kind galenawal.EntryKind, data []byte) error {
	return c.put(galenawal.Entry{Index: c.log.last() + 1, Term: c.hard.Term, Kind: kind, Data: data})
}

// propose appends a command and returns its index. It fails with ErrNotLeader
// when nothing was appended.
func (c *core) propose(now time.Duration, command []byte) (uint64, error) {
	if c.role != RoleLeader || c.transferring() || !c.holdsLease(now) {
		return 0, galenahead.ErrNotLeader
	}
	err := c.append(galenawal.EntryCommand, command)
	return c.log.last(), err
}

// change appends a membership change and returns its index.
func (c *core) change(now time.Duration, change galenahead.MemberChange) (uint64, error) {
	if c.role != RoleLeader || c.transferring() || !c.holdsLease(now) {
		return 0, galenahead.ErrNotLeader
	}
	// Two sets of voters that differ by one replica share a majority only if
	// the earlier one is committed, and a leader knows that only once an entry
	// of its own term is committed.
	if c.commit < c.first || c.commit < c.members().index {
		return 0, eris.Wrap(galenahead.ErrNotReady, "the previous membership is not committed yet")
	}
	ms, err := c.members().with(change)
	if err != nil {
		return 0, err
	}
	if change.Action == galenahead.MemberPromote {
		if err := c.checkPromotion(now, change.Member); err != nil {
			return 0, err
		}
	}
	data, err := encodeMembers(ms)
	if err != nil {
		return 0, err
	}
	if err := c.append(galenawal.EntryMembers, data); err != nil {
		return 0, err
	}
	c.syncProgress()
	return c.log.last(), nil
}

// checkPromotion fails unless the learner holds every committed entry and has
// answered within the lease time.
func (c *core) checkPromotion(now time.Duration, m galenahead.Member) error {
	i, err := c.members().named(m)
	if err != nil {
		return err
	}
	learner := c.members().members[i]
	if learner.Voter {
		return eris.Wrapf(galenahead.ErrInvalid, "replica %s is a voter already", m.Name)
	}
	p := c.progress[idOf(learner)]
	if !c.mut.promoteEarly && (!p.heard || p.match < c.commit || now >= p.acked+c.timing.lease) {
		return eris.Wrapf(galenahead.ErrNotReady, "replica %s has %d of %d entries", m.Name, p.match, c.commit)
	}
	return nil
}

// transfer starts to hand leadership to the most advanced other voter.
func (c *core) transfer(now time.Duration) error {
	if c.role != RoleLeader {
		return galenahead.ErrNotLeader
	}
	best := galenawal.ID{}
	for _, m := range c.members().members {
		p := c.progress[idOf(m)]
		if p == nil || !m.Voter || !p.heard || now >= p.acked+c.timing.lease {
			continue
		}
		if best == (galenawal.ID{}) || p.match > c.progress[best].match {
			best = idOf(m)
		}
	}
	if best == (galenawal.ID{}) {
		return eris.Wrap(galenahead.ErrNoQuorum, "no other voter answers")
	}
	c.transferTo = best
	c.transferBy = now + c.timing.minElection
	c.handOver(now)
	return nil
}

func (c *core) transferring() bool { return c.transferTo != (galenawal.ID{}) }

// handOver lets the chosen replica campaign once it has every entry. This
// replica stops leading first, because that campaign ignores its lease.
func (c *core) handOver(now time.Duration) {
	p := c.progress[c.transferTo]
	if p == nil || p.match < c.log.last() || c.commit < c.log.last() {
		return
	}
	c.send(Message{Kind: KindTakeOver, To: c.transferTo})
	c.follow(now, c.hard.Term, galenawal.ID{})
}

// leaseStart returns the latest time at which a majority, by its answers, was
// bound to this leader.
func (c *core) leaseStart(now time.Duration) time.Duration {
	var times []time.Duration
	for _, m := range c.members().members {
		if !m.Voter {
			continue
		}
		p := c.progress[idOf(m)]
		switch {
		case idOf(m) == c.id:
			times = append(times, now)
		case p != nil && p.heard:
			times = append(times, p.acked)
		default:
			times = append(times, -infinite)
		}
	}
	slices.Sort(times)
	return times[(len(times)-1)/2]
}

// leaseEnd returns when the lease of this leader ends.
func (c *core) leaseEnd(now time.Duration) time.Duration {
	if c.role != RoleLeader {
		return -infinite
	}
	if c.members().voters() == 1 && c.members().voter(c.id) {
		return infinite
	}
	return c.leaseStart(now) + c.timing.lease
}

func (c *core) holdsLease(now time.Duration) bool {
	return now < c.leaseEnd(now) || (c.mut.noLeaseCheck && c.role == RoleLeader)
}

// broadcast sends entries to all other members; with beat also to those that
// have them all or have not answered the last ones.
func (c *core) broadcast(now time.Duration, beat bool) error {
	for _, m := range c.members().members {
		p := c.progress[idOf(m)]
		if p == nil {
			continue
		}
		if err := c.replicate(now, idOf(m), p, beat); err != nil {
			return err
		}
	}
	return nil
}

func (c *core) replicate(now time.Duration, id galenawal.ID, p *progress, beat bool) error {
	waiting := now < p.waitUntil
	switch {
	case waiting && beat:
		// The position that the replica has acknowledged always matches.
		c.sendEntries(now, id, max(p.match, c.log.base), nil)
	case waiting:
	case p.snapshot != nil || p.next <= c.log.base:
		return c.sendChunk(now, id, p)
	case beat || p.next <= c.log.last():
		es := c.log.batch(p.next-1, batchBytes)
		if len(es) > 0 {
			p.waitUntil = now + resendBeats*c.timing.heartbeat
		}
		c.sendEntries(now, id, p.next-1, es)
	}
	return nil
}

func (c *core) sendEntries(now time.Duration, to galenawal.ID, after uint64, es []galenawal.Entry) {
	t, _ := c.log.term(after)
	c.send(Message{Kind: KindAppend, To: to, Index: after, LogTerm: t, Commit: c.commit, Entries: es, Sent: now})
}

func (c *core) sendChunk(now time.Duration, to galenawal.ID, p *progress) error {
	if p.snapshot == nil {
		s, err := c.load()
		if err != nil {
			return err
		}
		p.snapshot, p.offset = &s, 0
	}
	s := p.snapshot
	end := min(len(s.Data), p.offset+c.chunk)
	p.waitUntil = now + resendBeats*c.timing.heartbeat
	c.send(Message{Kind: KindSnapshot, To: to, Sent: now, Chunk: &Chunk{
		Index: s.Index, Term: s.Term, Members: s.Members,
		Offset: p.offset, Total: len(s.Data), Data: s.Data[p.offset:end],
	}})
	return nil
}

// heardFrom records an answer and returns the progress of its sender.
func (c *core) heardFrom(m Message) *progress {
	if c.role != RoleLeader || m.Term != c.hard.Term {
		return nil
	}
	p := c.progress[m.From]
	if p != nil {
		p.acked = max(p.acked, m.Sent)
		p.heard = true
	}
	return p
}

func (c *core) stepAppendResponse(now time.Duration, m Message) error {
	p := c.heardFrom(m)
	if p == nil {
		return nil
	}
	if m.Reject && p.snapshot != nil {
		return nil
	}
	if m.Reject {
		if m.Index+1 < p.next {
			p.next = max(m.Index, p.match) + 1
		}
		p.waitUntil = 0
		return c.replicate(now, m.From, p, false)
	}
	return c.advance(now, m.From, p, m.Index)
}

// advance records that a replica holds the log up to index.
func (c *core) advance(now time.Duration, id galenawal.ID, p *progress, index uint64) error {
	if index > c.log.last() {
		return nil // an ill-formed message
	}
	if index > p.match {
		p.match = index
		p.waitUntil = 0
	}
	p.next = max(p.next, p.match+1)
	if p.match >= c.log.base {
		p.snapshot = nil
	}
	c.advanceCommit(now)
	if c.role != RoleLeader {
		return nil
	}
	if c.transferring() {
		c.handOver(now)
	}
	if c.role != RoleLeader {
		return nil
	}
	return c.replicate(now, id, p, false)
}

func (c *core) stepSnapshotResponse(now time.Duration, m Message) error {
	p := c.heardFrom(m)
	if p == nil || m.Chunk == nil {
		return nil
	}
	if m.Index > 0 {
		p.waitUntil = 0
		p.snapshot = nil
		return c.advance(now, m.From, p, m.Index)
	}
	if p.snapshot == nil || p.snapshot.Index != m.Chunk.Index {
		return nil
	}
	p.offset = min(m.Chunk.Offset, len(p.snapshot.Data))
	p.waitUntil = 0
	return c.replicate(now, m.From, p, false)
}

// advanceCommit commits the newest entry of this term that a majority holds.
func (c *core) advanceCommit(now time.Duration) {
	if c.role != RoleLeader {
		return
	}
	var held []uint64
	for _, m := range c.members().members {
		if !m.Voter {
			continue
		}
		p := c.progress[idOf(m)]
		switch {
		case idOf(m) == c.id:
			held = append(held, c.log.stable)
		case p != nil:
			held = append(held, p.match)
		}
	}
	slices.Sort(held)
	index := held[(len(held)-1)/2]
	if t, ok := c.log.term(index); !ok || t != c.hard.Term || index <= c.commit {
		return
	}
	c.commit = index
	if _, ok := c.members().find(c.id); !ok && c.commit >= c.members().index {
		// This replica has removed itself. Its last message tells the others.
		_ = c.broadcast(now, true)
		c.follow(now, c.hard.Term, galenawal.ID{})
	}
}
