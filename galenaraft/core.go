package galenaraft

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenawal"
)

// Role is the role of a replica in the cluster.
type Role string

// Roles of a replica.
const (
	RoleFollower     Role = "follower"
	RolePreCandidate Role = "pre_candidate"
	RoleCandidate    Role = "candidate"
	RoleLeader       Role = "leader"
	RoleLearner      Role = "learner"
	// RoleBlank is shown for a replica that has no stored state and has never taken
	// part in a cluster.
	RoleBlank Role = "blank"
)

// timing holds the durations that the core uses; see Config.
type timing struct {
	heartbeatInterval  time.Duration
	minElectionTimeout time.Duration
	maxElectionTimeout time.Duration
	leaseDuration      time.Duration
}

// injectedFaults disable rules of the core. Only tests set them, to prove that
// the invariant checks of random simulations detect each fault.
type injectedFaults struct {
	// ignoreIncarnation accepts messages to other incarnations of this replica.
	ignoreIncarnation bool
	// skipLeaseCheck lets a leader act without a lease.
	skipLeaseCheck bool
	// skipPromotionCheck promotes learners that have not caught up.
	skipPromotionCheck bool
	// skipVoteRestriction grants votes while another leader may hold a lease.
	skipVoteRestriction bool
}

// progress is the replication state of another replica as its leader tracks it.
type progress struct {
	// matchIndex is the index up to which the replica's durable log is known to
	// match the leader's.
	matchIndex uint64
	// nextIndex is the index of the next entry to send.
	nextIndex uint64
	// ackedSendTime is the leader's time at which it sent the latest request that
	// the replica responded to.
	ackedSendTime time.Duration
	// respondedAt is when the last response was handled.
	respondedAt time.Duration
	// silentSince is when the replica was last heard of before it responded in this term.
	silentSince time.Duration
	// responded reports whether the replica has responded in this term.
	responded bool
	// resendAt is the time at which the entries or the chunk in flight are sent
	// again; zero if nothing is in flight.
	resendAt time.Duration
	// sentAt is when the entries or the chunk in flight were last sent, and resends
	// counts how often they were sent again.
	sentAt  time.Duration
	resends int
	// snapshot is the snapshot that is being sent, or nil, and snapshotOffset the
	// offset of the next chunk.
	snapshot       *galenawal.Snapshot
	snapshotOffset int
}

// core is the deterministic part of a replica. Its inputs are messages, ticks and
// proposals, each with the monotonic time at which it arrives. Its outputs are
// the entries of log that are not durable yet, hardState, pendingSnapshot,
// commitIndex and outbox.
type core struct {
	id       galenawal.ID
	timing   timing
	rand     *rand.Rand
	injected injectedFaults
	// maxChunkBytes is the maximum size of the data in a snapshot chunk.
	maxChunkBytes int
	// loadSnapshot returns the stored snapshot. A leader sends it to a replica that
	// needs entries which the log no longer contains.
	loadSnapshot func() (galenawal.Snapshot, error)

	hardState galenawal.HardState
	// hardStateDirty is set while hardState is not durable.
	hardStateDirty bool
	log            entryLog
	commitIndex    uint64
	// memberLists holds the member list of the snapshot and all later ones in the
	// log. The last one is in effect, even before it is committed.
	memberLists []memberList
	// lastLeaderTerm is the newest term whose leader is known from the log, and
	// lastLeader is that leader.
	lastLeaderTerm uint64
	lastLeader     galenawal.ID
	// fastElectionUntil is set if this replica was the last leader when it started.
	// Until then it campaigns at every heartbeat interval.
	fastElectionUntil time.Duration

	role   Role
	leader galenawal.ID
	// lastLeaderContact is the time at which this replica last received a message
	// from a leader, or started.
	lastLeaderContact time.Duration
	// electionDeadline is the time at which a voter starts a pre-vote.
	electionDeadline time.Duration
	votes            map[galenawal.ID]bool

	progress map[galenawal.ID]*progress
	// firstIndexInTerm is the index of the first entry of the term in which this
	// replica is the leader.
	firstIndexInTerm uint64
	electedAt        time.Duration
	nextHeartbeat    time.Duration
	// transferTarget is the voter to which leadership is being transferred; zero if
	// there is no transfer.
	transferTarget   galenawal.ID
	transferDeadline time.Duration

	// partialSnapshot collects the chunks of a snapshot from the leader.
	partialSnapshot galenawal.Snapshot
	// pendingSnapshot is a complete snapshot from the leader that the engine has not
	// stored and restored yet.
	pendingSnapshot *galenawal.Snapshot
	// lostVoters holds the other voters as of when this replica stepped down because
	// no majority of the voters responded; the Node logs and clears it.
	lostVoters []voterContact
	// outbox holds the messages to send once the state is durable.
	outbox []Message
}

func newCore(s galenawal.State, name galenahead.ReplicaName, t timing, r *rand.Rand, now time.Duration) (*core, error) {
	c := &core{
		id:                galenawal.ID{Name: name, Incarnation: s.Incarnation},
		timing:            t,
		rand:              r,
		maxChunkBytes:     chunkBytes,
		hardState:         s.HardState,
		commitIndex:       s.Snapshot.Index,
		role:              RoleFollower,
		lastLeaderContact: now,
	}
	c.log.reset(s.Snapshot.Index, s.Snapshot.Term)
	if len(s.Entries) > 0 && s.Entries[0].Index <= s.Snapshot.Index {
		// The term of the entry before the first retained one is unknown, so the
		// first retained entry becomes the base.
		c.log.reset(s.Entries[0].Index, s.Entries[0].Term)
		s.Entries = s.Entries[1:]
	}
	c.log.entries = s.Entries
	c.log.stableIndex = c.log.lastIndex()
	c.memberLists = []memberList{{index: s.Snapshot.Index, members: s.Snapshot.Members}}
	for _, e := range c.log.entries {
		if err := c.recordMembers(e); err != nil {
			return nil, err
		}
		c.recordLeader(e)
	}
	c.resetElectionDeadline(now)
	if c.isLastLeader(c.id) {
		c.fastElectionUntil = now + t.minElectionTimeout
		c.electionDeadline = now
	}
	return c, nil
}

// members returns the member list in effect.
func (c *core) members() memberList { return c.memberLists[len(c.memberLists)-1] }

// blank reports whether this replica has no stored state.
func (c *core) blank() bool { return c.hardState.Term == 0 && c.log.lastIndex() == 0 }

func (c *core) resetElectionDeadline(now time.Duration) {
	spread := c.timing.maxElectionTimeout - c.timing.minElectionTimeout
	c.electionDeadline = now + c.timing.minElectionTimeout + time.Duration(c.rand.Int64N(int64(spread)))
}

// recordLeader records the leader of e's term if e contains its ID.
func (c *core) recordLeader(e galenawal.Entry) {
	if e.Kind != galenawal.EntryNoop || e.Term <= c.lastLeaderTerm {
		return
	}
	// No-op entries written by earlier versions do not contain the leader's ID.
	if id, ok := decodeLeader(e.Data); ok {
		c.lastLeaderTerm, c.lastLeader = e.Term, id
	}
}

// isLastLeader reports whether id is or was the leader of the current term. If so,
// no other replica can hold a lease: a lease of an earlier term expired before the
// current term had a leader, and this replica has not voted in a later term.
func (c *core) isLastLeader(id galenawal.ID) bool {
	return c.hardState.Term > 0 && c.lastLeaderTerm == c.hardState.Term && c.lastLeader == id
}

// recordMembers records the member list of e if it contains one.
func (c *core) recordMembers(e galenawal.Entry) error {
	if e.Kind != galenawal.EntryMembers || e.Index <= c.members().index {
		return nil
	}
	ms, err := decodeMembers(e.Data)
	if err != nil {
		return eris.Wrapf(galenahead.ErrCorrupt, "members at entry %d: %v", e.Index, err)
	}
	c.memberLists = append(c.memberLists, memberList{index: e.Index, members: ms})
	return nil
}

// truncateAndAppend replaces all entries and member lists from e.Index on with e.
// It fails with galenahead.ErrCorrupt if that would replace a committed entry.
func (c *core) truncateAndAppend(e galenawal.Entry) error {
	if e.Index <= c.commitIndex {
		return eris.Wrapf(galenahead.ErrCorrupt, "committed entry %d would be replaced", e.Index)
	}
	c.memberLists = slices.DeleteFunc(c.memberLists, func(s memberList) bool { return s.index >= e.Index })
	c.log.truncateAndAppend(e)
	c.recordLeader(e)
	return c.recordMembers(e)
}

// send adds m to the outbox. It sets the sender and, if m has no term, the current
// term.
func (c *core) send(m Message) {
	m.From = c.id
	if m.Term == 0 {
		m.Term = c.hardState.Term
	}
	c.outbox = append(c.outbox, m)
}

// bootstrap starts a new cluster with the given members. This replica must be
// blank.
func (c *core) bootstrap(now time.Duration, ms []galenahead.Member) error {
	if !c.blank() {
		return eris.Wrap(galenahead.ErrConflict, "this replica holds state already")
	}
	names := make(map[galenahead.ReplicaName]bool)
	for _, m := range ms {
		if err := checkMember(m); err != nil {
			return err
		}
		if names[m.Name] {
			return eris.Wrapf(galenahead.ErrInvalid, "member %s is listed twice", m.Name)
		}
		names[m.Name] = true
	}
	if !(memberList{members: ms}).isVoter(c.id) {
		return eris.Wrapf(galenahead.ErrInvalid,
			"the members do not include this replica, %s with incarnation %d, as a voter", c.id.Name, c.id.Incarnation)
	}
	data, err := encodeMembers(ms)
	if err != nil {
		return err
	}
	c.hardState.Term = 1
	c.hardStateDirty = true
	// No leader can exist yet, so the first election can start immediately.
	c.electionDeadline = now
	return c.truncateAndAppend(galenawal.Entry{Index: 1, Term: 1, Kind: galenawal.EntryMembers, Data: data})
}

// tick starts elections, sends heartbeats and handles timeouts as of now.
func (c *core) tick(now time.Duration) error {
	if c.role == RoleLeader {
		return c.tickLeader(now)
	}
	if !c.members().isVoter(c.id) {
		return nil
	}
	// A sole voter waits for the deadline too: it may have become the sole voter by
	// a membership change whose leader still holds a lease.
	if now >= c.electionDeadline {
		return c.preCampaign(now)
	}
	return nil
}

func (c *core) tickLeader(now time.Duration) error {
	if now >= max(c.leaseStart(now), c.electedAt)+c.timing.minElectionTimeout {
		// No majority has responded for the minimum election timeout, so the other
		// voters may already have elected another leader.
		c.lostVoters = c.appendVoterContacts(nil)
		c.becomeFollower(now, c.hardState.Term, galenawal.ID{})
		return nil
	}
	if c.transferring() && now >= c.transferDeadline {
		c.transferTarget = galenawal.ID{}
	}
	if now >= c.nextHeartbeat {
		c.nextHeartbeat = now + c.timing.heartbeatInterval
		return c.broadcast(now, true)
	}
	return nil
}

// becomeFollower makes this replica a follower of leader in term. leader is zero
// if it is unknown.
func (c *core) becomeFollower(now time.Duration, term uint64, leader galenawal.ID) {
	if term > c.hardState.Term {
		c.hardState = galenawal.HardState{Term: term}
		c.hardStateDirty = true
	}
	if c.role != RoleFollower {
		c.resetElectionDeadline(now)
	}
	if c.role != RoleFollower || c.leader != leader {
		c.partialSnapshot = galenawal.Snapshot{}
	}
	c.role = RoleFollower
	c.leader = leader
	c.votes = nil
	c.progress = nil
	c.transferTarget = galenawal.ID{}
}

// step handles one message. It ignores messages to another incarnation of this
// replica.
func (c *core) step(now time.Duration, m Message) error {
	if m.To != c.id {
		if !c.injected.ignoreIncarnation || m.To.Name != c.id.Name {
			return nil
		}
		id := c.id
		c.id = m.To
		defer func() { c.id = id }()
	}
	switch m.Kind {
	case KindAppend, KindSnapshot:
		return c.stepLeaderRequest(now, m)
	case KindPreVote:
		c.stepPreVote(now, m)
	case KindVote:
		c.stepVote(now, m)
	case KindTimeoutNow:
		if m.Term == c.hardState.Term && c.role == RoleFollower && c.members().isVoter(c.id) {
			return c.campaign(now, true)
		}
	case KindPreVoteResponse, KindVoteResponse, KindAppendResponse, KindSnapshotResponse, KindNewerTerm:
		return c.stepResponse(now, m)
	}
	return nil
}

func (c *core) stepResponse(now time.Duration, m Message) error {
	if m.Term > c.hardState.Term && (m.Kind != KindPreVoteResponse || m.Reject) {
		c.becomeFollower(now, m.Term, galenawal.ID{})
		return nil
	}
	switch m.Kind {
	case KindPreVoteResponse:
		if c.role == RolePreCandidate && m.Term == c.hardState.Term+1 && c.countVote(m) {
			return c.campaign(now, false)
		}
	case KindVoteResponse:
		if c.role == RoleCandidate && m.Term == c.hardState.Term && c.countVote(m) {
			return c.becomeLeader(now)
		}
	case KindAppendResponse:
		return c.stepAppendResponse(now, m)
	case KindSnapshotResponse:
		return c.stepSnapshotResponse(now, m)
	}
	return nil
}

// countVote records a vote response and reports whether a majority of the voters
// has granted its vote.
func (c *core) countVote(m Message) bool {
	if m.Reject {
		return false
	}
	c.votes[m.From] = true
	return c.hasVoteQuorum()
}

func (c *core) hasVoteQuorum() bool {
	return c.members().hasQuorum(func(id galenawal.ID) bool { return c.votes[id] })
}

// preCampaign starts a pre-vote: it asks the other voters whether they would vote
// for this replica in the next term, without starting that term.
func (c *core) preCampaign(now time.Duration) error {
	c.becomeFollower(now, c.hardState.Term, galenawal.ID{})
	c.resetElectionDeadline(now)
	if now < c.fastElectionUntil {
		// The other replicas may not be reachable yet, so retry soon.
		c.electionDeadline = now + c.timing.heartbeatInterval
	}
	c.role = RolePreCandidate
	c.votes = map[galenawal.ID]bool{c.id: true}
	if c.hasVoteQuorum() {
		return c.campaign(now, false)
	}
	c.requestVotes(Message{Kind: KindPreVote, Term: c.hardState.Term + 1})
	return nil
}

// campaign starts an election in the next term. transfer is set if the leader has
// asked for it in a leadership transfer.
func (c *core) campaign(now time.Duration, transfer bool) error {
	c.becomeFollower(now, c.hardState.Term+1, galenawal.ID{})
	c.resetElectionDeadline(now)
	c.hardState.Vote = c.id
	c.role = RoleCandidate
	c.votes = map[galenawal.ID]bool{c.id: true}
	if c.hasVoteQuorum() {
		return c.becomeLeader(now)
	}
	c.requestVotes(Message{Kind: KindVote, Transfer: transfer})
	return nil
}

// requestVotes sends m with the position of the last log entry to all other voters.
func (c *core) requestVotes(m Message) {
	m.Index = c.log.lastIndex()
	m.LogTerm = c.log.lastTerm()
	for _, member := range c.members().members {
		if member.Voter && idOf(member) != c.id {
			m.To = idOf(member)
			c.send(m)
		}
	}
}

// isVoteRestricted reports whether a vote for candidate could elect a second leader
// while another one holds a lease. A candidate that was the leader of the current
// term is exempt, since it gave up the only lease that can exist.
func (c *core) isVoteRestricted(now time.Duration, candidate galenawal.ID) bool {
	if c.role == RoleLeader {
		return c.holdsLease(now)
	}
	if c.isLastLeader(candidate) || c.injected.skipVoteRestriction {
		return false
	}
	return now < c.lastLeaderContact+c.timing.minElectionTimeout
}

// isLogUpToDate reports whether the candidate's log is at least as up to date as
// this replica's log.
func (c *core) isLogUpToDate(m Message) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.lastIndex()
}

func (c *core) stepPreVote(now time.Duration, m Message) {
	resp := Message{Kind: KindPreVoteResponse, To: m.From, Term: m.Term}
	if m.Term <= c.hardState.Term || c.isVoteRestricted(now, m.From) || !c.isLogUpToDate(m) {
		resp.Reject = true
		resp.Term = c.hardState.Term
	}
	c.send(resp)
}

func (c *core) stepVote(now time.Duration, m Message) {
	if !m.Transfer && c.isVoteRestricted(now, m.From) {
		return
	}
	if m.Term > c.hardState.Term {
		c.becomeFollower(now, m.Term, galenawal.ID{})
	}
	canVote := c.hardState.Vote == (galenawal.ID{}) || c.hardState.Vote == m.From
	grant := m.Term == c.hardState.Term && canVote && c.isLogUpToDate(m)
	if grant && c.hardState.Vote != m.From {
		c.hardState.Vote = m.From
		c.hardStateDirty = true
	}
	if grant {
		c.resetElectionDeadline(now)
	}
	c.send(Message{Kind: KindVoteResponse, To: m.From, Reject: !grant})
}

// stepLeaderRequest handles an append or snapshot request, which only leaders
// send.
func (c *core) stepLeaderRequest(now time.Duration, m Message) error {
	if m.Term < c.hardState.Term {
		c.send(Message{Kind: KindNewerTerm, To: m.From})
		return nil
	}
	kind := KindAppendResponse
	if m.Kind == KindSnapshot {
		kind = KindSnapshotResponse
	}
	resp := Message{Kind: kind, To: m.From, Sent: m.Sent}
	c.becomeFollower(now, m.Term, m.From)
	c.lastLeaderContact = now
	c.fastElectionUntil = 0
	c.resetElectionDeadline(now)
	resp.Term = m.Term
	var err error
	if m.Kind == KindSnapshot {
		err = c.acceptChunk(m, &resp)
	} else {
		err = c.acceptEntries(m, &resp)
	}
	if err == nil {
		c.send(resp)
	}
	return err
}

// acceptEntries handles an append request and fills in the response.
func (c *core) acceptEntries(m Message, resp *Message) error {
	if m.Index < c.log.baseIndex {
		resp.Index = c.commitIndex
		return nil
	}
	if t, ok := c.log.term(m.Index); !ok || t != m.LogTerm {
		resp.Reject = true
		resp.Index = c.retryFrom(m.Index)
		return nil
	}
	for i, e := range m.Entries {
		if e.Index != m.Index+uint64(i)+1 {
			return nil // malformed message; resp acknowledges nothing
		}
		if t, ok := c.log.term(e.Index); ok && t == e.Term {
			continue
		}
		if err := c.truncateAndAppend(e); err != nil {
			return err
		}
	}
	resp.Index = m.Index + uint64(len(m.Entries))
	c.commitIndex = max(c.commitIndex, min(m.CommitIndex, resp.Index))
	return nil
}

// retryFrom returns the preceding index that the leader should try after a
// mismatch at index: the last index before the mismatching term, so that each
// round trip skips a whole term.
func (c *core) retryFrom(index uint64) uint64 {
	if index > c.log.lastIndex() {
		return c.log.lastIndex()
	}
	t, _ := c.log.term(index)
	for index > c.commitIndex && index > c.log.baseIndex {
		index--
		if o, _ := c.log.term(index); o != t {
			break
		}
	}
	return index
}

// acceptChunk handles a snapshot request and fills in the response. With the last
// chunk it replaces the log with the snapshot and sets pendingSnapshot.
func (c *core) acceptChunk(m Message, resp *Message) error {
	chunk := m.Chunk
	if chunk == nil {
		return nil
	}
	resp.Chunk = &SnapshotChunk{Index: chunk.Index, Term: chunk.Term}
	if t, ok := c.log.term(chunk.Index); chunk.Index <= c.commitIndex || (ok && t == chunk.Term) {
		// The log already contains everything in the snapshot. Keep the log, because
		// its later entries may have been acknowledged.
		c.commitIndex = max(c.commitIndex, chunk.Index)
		resp.Index = c.commitIndex
		return nil
	}
	if c.partialSnapshot.Index != chunk.Index || c.partialSnapshot.Term != chunk.Term {
		c.partialSnapshot = galenawal.Snapshot{Index: chunk.Index, Term: chunk.Term, Members: chunk.Members}
	}
	if chunk.Offset == len(c.partialSnapshot.Data) {
		c.partialSnapshot.Data = append(c.partialSnapshot.Data, chunk.Data...)
	}
	resp.Chunk.Offset = len(c.partialSnapshot.Data)
	if len(c.partialSnapshot.Data) < chunk.Total {
		return nil
	}
	s := c.partialSnapshot
	c.partialSnapshot = galenawal.Snapshot{}
	c.pendingSnapshot = &s
	c.log.reset(s.Index, s.Term)
	c.commitIndex = s.Index
	c.memberLists = []memberList{{index: s.Index, members: s.Members}}
	resp.Index = s.Index
	return nil
}

// membersAt returns the member list in effect at index.
func (c *core) membersAt(index uint64) []galenahead.Member {
	members := c.memberLists[0].members
	for _, s := range c.memberLists {
		if s.index <= index {
			members = s.members
		}
	}
	return members
}

// compact removes the log entries up to retainAfter and the member lists that are
// no longer in effect at index.
func (c *core) compact(index, retainAfter uint64) {
	ms := c.membersAt(index)
	c.memberLists = slices.DeleteFunc(c.memberLists, func(s memberList) bool { return s.index <= index })
	c.memberLists = slices.Insert(c.memberLists, 0, memberList{index: index, members: ms})
	c.log.compact(retainAfter)
}

// displayRole returns the role to show in the status: it also distinguishes blank
// replicas and learners.
func (c *core) displayRole() Role {
	switch {
	case c.blank():
		return RoleBlank
	case c.role == RoleFollower && !c.members().isVoter(c.id):
		return RoleLearner
	}
	return c.role
}
