package galenaraft

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenawal"
)

const (
	// batchBytes is the maximum total size of the entries in one append request,
	// unless a single entry is larger.
	batchBytes = 512 << 10
	// chunkBytes is the default maximum size of the data in a snapshot chunk.
	chunkBytes = 256 << 10
	// resendHeartbeats is the number of heartbeat intervals after which entries or
	// a chunk without a response are sent again. It doubles with each time, up to
	// maxResendDoublings times, so that repeats do not delay a large entry further.
	resendHeartbeats   = 4
	maxResendDoublings = 4
	// maxDuration is the end of the lease of a sole voter, which never expires. Its
	// negative is a time before any other.
	maxDuration = time.Duration(1<<63 - 1)
)

// becomeLeader makes this replica the leader of the current term.
func (c *core) becomeLeader(now time.Duration) error {
	c.role = RoleLeader
	c.leader = c.id
	c.votes = nil
	c.electedAt = now
	c.progress = make(map[galenawal.ID]*progress)
	c.syncProgress(now)
	if p := c.progress[c.lastLeader]; p != nil {
		p.silentSince = min(now, c.lastLeaderContact)
	}
	c.firstIndexInTerm = c.log.lastIndex() + 1
	data, err := encodeLeader(c.id)
	if err != nil {
		return err
	}
	if err := c.append(galenawal.EntryNoop, data); err != nil {
		return err
	}
	c.nextHeartbeat = now + c.timing.heartbeatInterval
	return c.broadcast(now, true)
}

// syncProgress adds and removes progress so that it covers exactly the other
// members.
func (c *core) syncProgress(now time.Duration) {
	for id := range c.progress {
		if _, ok := c.members().find(id); !ok {
			delete(c.progress, id)
		}
	}
	for _, m := range c.members().members {
		id := idOf(m)
		if id != c.id && c.progress[id] == nil {
			c.progress[id] = &progress{nextIndex: c.log.lastIndex() + 1, silentSince: now}
		}
	}
}

// append appends a new entry of the current term to the log.
func (c *core) append(kind galenawal.EntryKind, data []byte) error {
	return c.truncateAndAppend(galenawal.Entry{Index: c.log.lastIndex() + 1, Term: c.hardState.Term, Kind: kind, Data: data})
}

// propose appends a command and returns its index. It fails with ErrNotLeader if
// it did not append the command.
func (c *core) propose(now time.Duration, command []byte) (uint64, error) {
	if c.role != RoleLeader || c.transferring() || !c.holdsLease(now) {
		return 0, galenahead.ErrNotLeader
	}
	err := c.append(galenawal.EntryCommand, command)
	return c.log.lastIndex(), err
}

// change appends a membership change and returns its index.
func (c *core) change(now time.Duration, change galenahead.MemberChange) (uint64, error) {
	if c.role != RoleLeader || c.transferring() || !c.holdsLease(now) {
		return 0, galenahead.ErrNotLeader
	}
	// Two member lists that differ by one replica have overlapping majorities, but
	// the cluster can rely on that only if the earlier list is committed. A leader
	// knows this only once an entry of its own term is committed.
	if c.commitIndex < c.firstIndexInTerm || c.commitIndex < c.members().index {
		return 0, eris.Wrap(galenahead.ErrNotReady, "the previous membership is not committed yet")
	}
	ms, err := c.members().withChange(change)
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
	c.syncProgress(now)
	return c.log.lastIndex(), nil
}

// contacts returns the contact with each member, or nil if this replica is not the leader.
func (c *core) contacts(now time.Duration) []galenahead.MemberContact {
	if c.role != RoleLeader {
		return nil
	}
	out := make([]galenahead.MemberContact, len(c.members().members))
	for i, m := range c.members().members {
		switch p := c.progress[idOf(m)]; {
		case p == nil:
			out[i].Responded = true // this replica
		case p.responded:
			out[i] = galenahead.MemberContact{Silence: now - p.respondedAt, Responded: true}
		default:
			out[i].Silence = now - p.silentSince
		}
	}
	return out
}

// checkPromotion fails unless the learner has every committed entry and has
// responded to a request sent within the last lease duration.
func (c *core) checkPromotion(now time.Duration, m galenahead.Member) error {
	i, err := c.members().indexOf(m)
	if err != nil {
		return err
	}
	learner := c.members().members[i]
	if learner.Voter {
		return eris.Wrapf(galenahead.ErrInvalid, "replica %s is a voter already", m.Name)
	}
	p := c.progress[idOf(learner)]
	if !c.injected.skipPromotionCheck && (!p.responded || p.matchIndex < c.commitIndex || now >= p.ackedSendTime+c.timing.leaseDuration) {
		return eris.Wrapf(galenahead.ErrNotReady, "replica %s has %d of %d entries", m.Name, p.matchIndex, c.commitIndex)
	}
	return nil
}

// startTransfer starts a leadership transfer to the other voter with the highest
// matchIndex among those that responded within the lease duration.
func (c *core) startTransfer(now time.Duration) error {
	if c.role != RoleLeader {
		return galenahead.ErrNotLeader
	}
	target := galenawal.ID{}
	for _, m := range c.members().members {
		p := c.progress[idOf(m)]
		if p == nil || !m.Voter || !p.responded || now >= p.ackedSendTime+c.timing.leaseDuration {
			continue
		}
		if target == (galenawal.ID{}) || p.matchIndex > c.progress[target].matchIndex {
			target = idOf(m)
		}
	}
	if target == (galenawal.ID{}) {
		return eris.Wrap(galenahead.ErrNoQuorum, "no other voter answers")
	}
	c.transferTarget = target
	c.transferDeadline = now + c.timing.minElectionTimeout
	c.completeTransfer(now)
	return nil
}

func (c *core) transferring() bool { return c.transferTarget != (galenawal.ID{}) }

// completeTransfer tells the transfer target to campaign if it has every entry and
// all entries are committed. This replica steps down at the same time, because
// voters do not wait for its lease in a campaign of the transfer target.
func (c *core) completeTransfer(now time.Duration) {
	p := c.progress[c.transferTarget]
	if p == nil || p.matchIndex < c.log.lastIndex() || c.commitIndex < c.log.lastIndex() {
		return
	}
	c.send(Message{Kind: KindTimeoutNow, To: c.transferTarget})
	c.becomeFollower(now, c.hardState.Term, galenawal.ID{})
}

// leaseStart returns the start of the lease: the latest time such that a majority
// of the voters has acknowledged requests that this leader sent at that time or
// later. The leader itself counts as acknowledged at now.
func (c *core) leaseStart(now time.Duration) time.Duration {
	var ackTimes []time.Duration
	for _, m := range c.members().members {
		if !m.Voter {
			continue
		}
		p := c.progress[idOf(m)]
		switch {
		case idOf(m) == c.id:
			ackTimes = append(ackTimes, now)
		case p != nil && p.responded:
			ackTimes = append(ackTimes, p.ackedSendTime)
		default:
			ackTimes = append(ackTimes, -maxDuration)
		}
	}
	slices.Sort(ackTimes)
	return ackTimes[(len(ackTimes)-1)/2]
}

// leaseEnd returns the time at which the lease of this leader expires. It is in the
// past if this replica is not the leader.
func (c *core) leaseEnd(now time.Duration) time.Duration {
	if c.role != RoleLeader {
		return -maxDuration
	}
	if c.members().voterCount() == 1 && c.members().isVoter(c.id) {
		return maxDuration
	}
	return c.leaseStart(now) + c.timing.leaseDuration
}

func (c *core) holdsLease(now time.Duration) bool {
	return now < c.leaseEnd(now) || (c.injected.skipLeaseCheck && c.role == RoleLeader)
}

// broadcast sends new entries to all other members. If heartbeat is set, it also
// sends an append request without entries to members that have all entries or
// have not responded to the entries in flight.
func (c *core) broadcast(now time.Duration, heartbeat bool) error {
	for _, m := range c.members().members {
		p := c.progress[idOf(m)]
		if p == nil {
			continue
		}
		if err := c.replicate(now, idOf(m), p, heartbeat); err != nil {
			return err
		}
	}
	return nil
}

// replicate sends the next entries or snapshot chunk to one member; see broadcast.
func (c *core) replicate(now time.Duration, id galenawal.ID, p *progress, heartbeat bool) error {
	inFlight := now < p.resendAt
	switch {
	case inFlight && heartbeat:
		// Use the acknowledged index, where the logs are known to match.
		c.sendEntries(now, id, max(p.matchIndex, c.log.baseIndex), nil)
	case inFlight:
	case p.snapshot != nil || p.nextIndex <= c.log.baseIndex:
		return c.sendChunk(now, id, p)
	case heartbeat || p.nextIndex <= c.log.lastIndex():
		es := c.log.batchAfter(p.nextIndex-1, batchBytes)
		if len(es) > 0 {
			c.scheduleResend(now, p)
		}
		c.sendEntries(now, id, p.nextIndex-1, es)
	}
	return nil
}

// scheduleResend sets when the entries or the chunk that are sent now are sent again.
func (c *core) scheduleResend(now time.Duration, p *progress) {
	if p.resendAt == 0 {
		p.resends = 0
	} else {
		p.resends++
	}
	p.sentAt = now
	p.resendAt = now + c.resendInterval()<<min(p.resends, maxResendDoublings)
}

// resendInterval is the time after which entries or a chunk are sent again for the
// first time.
func (c *core) resendInterval() time.Duration { return resendHeartbeats * c.timing.heartbeatInterval }

// sendEntries sends an append request with the entries es, which follow the index
// after.
func (c *core) sendEntries(now time.Duration, to galenawal.ID, after uint64, es []galenawal.Entry) {
	t, _ := c.log.term(after)
	c.send(Message{Kind: KindAppend, To: to, Index: after, LogTerm: t, CommitIndex: c.commitIndex, Entries: es, Sent: now})
}

// sendChunk sends the next chunk of the snapshot in p, or of the stored snapshot if
// p has none.
func (c *core) sendChunk(now time.Duration, to galenawal.ID, p *progress) error {
	if p.snapshot == nil {
		s, err := c.loadSnapshot()
		if err != nil {
			return err
		}
		p.snapshot, p.snapshotOffset = &s, 0
	}
	s := p.snapshot
	end := min(len(s.Data), p.snapshotOffset+c.maxChunkBytes)
	c.scheduleResend(now, p)
	c.send(Message{Kind: KindSnapshot, To: to, Sent: now, Chunk: &SnapshotChunk{
		Index: s.Index, Term: s.Term, Members: s.Members,
		Offset: p.snapshotOffset, Total: len(s.Data), Data: s.Data[p.snapshotOffset:end],
	}})
	return nil
}

// recordResponse records a response for the lease and returns the progress of its
// sender. It returns nil if this replica is not the leader of the response's term
// or the sender is not a member.
func (c *core) recordResponse(now time.Duration, m Message) *progress {
	if c.role != RoleLeader || m.Term != c.hardState.Term {
		return nil
	}
	p := c.progress[m.From]
	if p != nil {
		p.ackedSendTime = max(p.ackedSendTime, m.Sent)
		p.responded = true
		p.respondedAt = now
		if p.resendAt > now && m.Sent >= p.sentAt+c.resendInterval() {
			// The replica answers what was sent later, so that what is in flight is
			// probably lost.
			p.resendAt, p.resends = now, 0
		}
	}
	return p
}

func (c *core) stepAppendResponse(now time.Duration, m Message) error {
	p := c.recordResponse(now, m)
	if p == nil {
		return nil
	}
	if m.Reject && p.snapshot != nil {
		return nil
	}
	if m.Reject {
		if m.Index+1 < p.nextIndex {
			p.nextIndex = max(m.Index, p.matchIndex) + 1
		}
		p.resendAt = 0
		return c.replicate(now, m.From, p, false)
	}
	return c.advanceMatch(now, m.From, p, m.Index)
}

// advanceMatch records that the log of a replica matches up to index, commits
// entries and sends the next ones.
func (c *core) advanceMatch(now time.Duration, id galenawal.ID, p *progress, index uint64) error {
	if index > c.log.lastIndex() {
		return nil // malformed message
	}
	if index > p.matchIndex {
		p.matchIndex = index
		p.resendAt = 0
	}
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	if p.matchIndex >= c.log.baseIndex {
		p.snapshot = nil
	}
	c.advanceCommit(now)
	if c.role != RoleLeader {
		return nil
	}
	if c.transferring() {
		c.completeTransfer(now)
	}
	if c.role != RoleLeader {
		return nil
	}
	return c.replicate(now, id, p, false)
}

func (c *core) stepSnapshotResponse(now time.Duration, m Message) error {
	p := c.recordResponse(now, m)
	if p == nil || m.Chunk == nil {
		return nil
	}
	if m.Index > 0 {
		p.resendAt = 0
		p.snapshot = nil
		return c.advanceMatch(now, m.From, p, m.Index)
	}
	if p.snapshot == nil || p.snapshot.Index != m.Chunk.Index {
		return nil
	}
	p.snapshotOffset = min(m.Chunk.Offset, len(p.snapshot.Data))
	p.resendAt = 0
	return c.replicate(now, m.From, p, false)
}

// advanceCommit commits all entries up to the highest index that a majority of the
// voters has made durable, provided that the entry there is of the current term.
func (c *core) advanceCommit(now time.Duration) {
	if c.role != RoleLeader {
		return
	}
	var matchIndexes []uint64
	for _, m := range c.members().members {
		if !m.Voter {
			continue
		}
		p := c.progress[idOf(m)]
		switch {
		case idOf(m) == c.id:
			matchIndexes = append(matchIndexes, c.log.stableIndex)
		case p != nil:
			matchIndexes = append(matchIndexes, p.matchIndex)
		}
	}
	slices.Sort(matchIndexes)
	index := matchIndexes[(len(matchIndexes)-1)/2]
	if t, ok := c.log.term(index); !ok || t != c.hardState.Term || index <= c.commitIndex {
		return
	}
	c.commitIndex = index
	if _, ok := c.members().find(c.id); !ok && c.commitIndex >= c.members().index {
		// The committed change removed this replica. The other replicas learn the
		// commit index from its last heartbeat.
		_ = c.broadcast(now, true)
		c.becomeFollower(now, c.hardState.Term, galenawal.ID{})
	}
}
