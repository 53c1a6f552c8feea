package galenaraft

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenawal"
)

// Role is what a replica currently does.
type Role string

// Roles of a replica.
const (
	RoleFollower     Role = "follower"
	RolePreCandidate Role = "pre_candidate"
	RoleCandidate    Role = "candidate"
	RoleLeader       Role = "leader"
	RoleLearner      Role = "learner"
	RoleBlank        Role = "blank"
)

// timing holds the durations that the core needs.
type timing struct {
	heartbeat   time.Duration
	minElection time.Duration
	maxElection time.Duration
	lease       time.Duration
}

// mutations switch off rules of the core. Only tests set them, to prove that
// the checks on random histories catch each fault.
type mutations struct {
	ignoreIncarnation bool
	noLeaseCheck      bool
	promoteEarly      bool
	releaseAnyone     bool
}

// progress is what a leader knows of another replica.
type progress struct {
	// match is the last position that is durable there.
	match uint64
	next  uint64
	// acked is the leader's time of the latest message that was answered.
	acked time.Duration
	// heard tells whether any message was answered in this term.
	heard bool
	// waitUntil is when entries or a chunk in flight are sent again; zero when
	// nothing is in flight.
	waitUntil time.Duration
	// snapshot is being sent, from offset on.
	snapshot *galenawal.Snapshot
	offset   int
}

// core is the deterministic part of a replica. Its inputs are messages, ticks,
// proposals and the monotonic time at which each arrives; its outputs are the
// unstable part of log, the hard state, install, commit and out.
type core struct {
	id     galenawal.ID
	timing timing
	rand   *rand.Rand
	mut    mutations
	// chunk bounds the part of a snapshot in one message, in bytes.
	chunk int
	// load returns the stored snapshot for a replica that lags behind the log.
	load func() (galenawal.Snapshot, error)

	hard      galenawal.HardState
	hardDirty bool
	log       entryLog
	commit    uint64
	// sets holds the member lists from the snapshot on; the last one counts.
	sets []memberSet
	// led is the newest term whose leader the log has told, and ledBy that leader.
	led   uint64
	ledBy galenawal.ID
	// eagerUntil is until when this replica, which was the last leader when it
	// started, campaigns with each heartbeat.
	eagerUntil time.Duration

	role   Role
	leader galenawal.ID
	// contact is when this replica last heard from a leader, or started.
	contact  time.Duration
	deadline time.Duration
	votes    map[galenawal.ID]bool

	progress map[galenawal.ID]*progress
	// first is the index of the first entry of the term that this replica
	// leads.
	first      uint64
	electedAt  time.Duration
	nextBeat   time.Duration
	transferTo galenawal.ID
	transferBy time.Duration

	incoming galenawal.Snapshot
	// install is a received snapshot that has yet to be stored and restored.
	install *galenawal.Snapshot
	out     []Message
}

func newCore(s galenawal.State, name galenahead.ReplicaName, t timing, r *rand.Rand, now time.Duration) (*core, error) {
	c := &core{
		id:      galenawal.ID{Name: name, Incarnation: s.Incarnation},
		timing:  t,
		rand:    r,
		chunk:   chunkBytes,
		hard:    s.HardState,
		commit:  s.Snapshot.Index,
		role:    RoleFollower,
		contact: now,
	}
	c.log.reset(s.Snapshot.Index, s.Snapshot.Term)
	if len(s.Entries) > 0 && s.Entries[0].Index <= s.Snapshot.Index {
		// Nothing is known before the first retained entry, so it becomes the
		// base.
		c.log.reset(s.Entries[0].Index, s.Entries[0].Term)
		s.Entries = s.Entries[1:]
	}
	c.log.entries = s.Entries
	c.log.stable = c.log.last()
	c.sets = []memberSet{{index: s.Snapshot.Index, members: s.Snapshot.Members}}
	for _, e := range c.log.entries {
		if err := c.noteMembers(e); err != nil {
			return nil, err
		}
		c.noteLeader(e)
	}
	c.resetDeadline(now)
	if c.ledLast(c.id) {
		c.eagerUntil = now + t.minElection
		c.deadline = now
	}
	return c, nil
}

func (c *core) members() memberSet { return c.sets[len(c.sets)-1] }

func (c *core) blank() bool { return c.hard.Term == 0 && c.log.last() == 0 }

func (c *core) resetDeadline(now time.Duration) {
	spread := c.timing.maxElection - c.timing.minElection
	c.deadline = now + c.timing.minElection + time.Duration(c.rand.Int64N(int64(spread)))
}

// noteLeader records who leads the term of e, if e tells that.
func (c *core) noteLeader(e galenawal.Entry) {
	if e.Kind != galenawal.EntryNoop || e.Term <= c.led {
		return
	}
	// Entries of earlier versions do not name the leader.
	if id, ok := decodeLeader(e.Data); ok {
		c.led, c.ledBy = e.Term, id
	}
}

// ledLast tells whether id leads or has led the present term. Nobody else holds
// a lease in that case: one of an earlier term ended before this term had a
// leader, and this replica has promised nothing to a later one.
func (c *core) ledLast(id galenawal.ID) bool {
	return c.hard.Term > 0 && c.led == c.hard.Term && c.ledBy == id
}

// noteMembers records the member list of e, if it carries one.
func (c *core) noteMembers(e galenawal.Entry) error {
	if e.Kind != galenawal.EntryMembers || e.Index <= c.members().index {
		return nil
	}
	ms, err := decodeMembers(e.Data)
	if err != nil {
		return eris.Wrapf(galenahead.ErrCorrupt, "members at entry %d: %v", e.Index, err)
	}
	c.sets = append(c.sets, memberSet{index: e.Index, members: ms})
	return nil
}

// put appends e to the log and replaces what was there.
func (c *core) put(e galenawal.Entry) error {
	if e.Index <= c.commit {
		return eris.Wrapf(galenahead.ErrCorrupt, "committed entry %d would be replaced", e.Index)
	}
	c.sets = slices.DeleteFunc(c.sets, func(s memberSet) bool { return s.index >= e.Index })
	c.log.put(e)
	c.noteLeader(e)
	return c.noteMembers(e)
}

func (c *core) send(m Message) {
	m.From = c.id
	if m.Term == 0 {
		m.Term = c.hard.Term
	}
	c.out = append(c.out, m)
}

// bootstrap starts a blank cluster with the given members.
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
	if !(memberSet{members: ms}).voter(c.id) {
		return eris.Wrapf(galenahead.ErrInvalid,
			"the members do not include this replica, %s with incarnation %d, as a voter", c.id.Name, c.id.Incarnation)
	}
	data, err := encodeMembers(ms)
	if err != nil {
		return err
	}
	c.hard.Term = 1
	c.hardDirty = true
	// No leader can exist yet, so the first election need not wait.
	c.deadline = now
	return c.put(galenawal.Entry{Index: 1, Term: 1, Kind: galenawal.EntryMembers, Data: data})
}

// tick advances everything that depends on time.
func (c *core) tick(now time.Duration) error {
	if c.role == RoleLeader {
		return c.tickLeader(now)
	}
	if !c.members().voter(c.id) {
		return nil
	}
	// The only voter waits as well: it may have become that by a change whose
	// leader still holds a lease.
	if now >= c.deadline {
		return c.preCampaign(now)
	}
	return nil
}

func (c *core) tickLeader(now time.Duration) error {
	if now >= max(c.leaseStart(now), c.electedAt)+c.timing.minElection {
		// A majority has not answered for as long as it needs to elect another
		// leader.
		c.follow(now, c.hard.Term, galenawal.ID{})
		return nil
	}
	if c.transferring() && now >= c.transferBy {
		c.transferTo = galenawal.ID{}
	}
	if now >= c.nextBeat {
		c.nextBeat = now + c.timing.heartbeat
		return c.broadcast(now, true)
	}
	return nil
}

// follow makes this replica a follower in term.
func (c *core) follow(now time.Duration, term uint64, leader galenawal.ID) {
	if term > c.hard.Term {
		c.hard = galenawal.HardState{Term: term}
		c.hardDirty = true
	}
	if c.role != RoleFollower {
		c.resetDeadline(now)
	}
	if c.role != RoleFollower || c.leader != leader {
		c.incoming = galenawal.Snapshot{}
	}
	c.role = RoleFollower
	c.leader = leader
	c.votes = nil
	c.progress = nil
	c.transferTo = galenawal.ID{}
}

// step handles one message.
func (c *core) step(now time.Duration, m Message) error {
	if m.To != c.id {
		if !c.mut.ignoreIncarnation || m.To.Name != c.id.Name {
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
	case KindTakeOver:
		if m.Term == c.hard.Term && c.role == RoleFollower && c.members().voter(c.id) {
			return c.campaign(now, true)
		}
	case KindPreVoteResponse, KindVoteResponse, KindAppendResponse, KindSnapshotResponse, KindNewerTerm:
		return c.stepResponse(now, m)
	}
	return nil
}

func (c *core) stepResponse(now time.Duration, m Message) error {
	if m.Term > c.hard.Term && (m.Kind != KindPreVoteResponse || m.Reject) {
		c.follow(now, m.Term, galenawal.ID{})
		return nil
	}
	switch m.Kind {
	case KindPreVoteResponse:
		if c.role == RolePreCandidate && m.Term == c.hard.Term+1 && c.countVote(m) {
			return c.campaign(now, false)
		}
	case KindVoteResponse:
		if c.role == RoleCandidate && m.Term == c.hard.Term && c.countVote(m) {
			return c.lead(now)
		}
	case KindAppendResponse:
		return c.stepAppendResponse(now, m)
	case KindSnapshotResponse:
		return c.stepSnapshotResponse(now, m)
	}
	return nil
}

// countVote records a response and tells whether a majority has granted.
func (c *core) countVote(m Message) bool {
	if m.Reject {
		return false
	}
	c.votes[m.From] = true
	return c.won()
}

func (c *core) won() bool {
	return c.members().quorum(func(id galenawal.ID) bool { return c.votes[id] })
}

func (c *core) preCampaign(now time.Duration) error {
	c.follow(now, c.hard.Term, galenawal.ID{})
	c.resetDeadline(now)
	if now < c.eagerUntil {
		// The others may not listen yet.
		c.deadline = now + c.timing.heartbeat
	}
	c.role = RolePreCandidate
	c.votes = map[galenawal.ID]bool{c.id: true}
	if c.won() {
		return c.campaign(now, false)
	}
	c.requestVotes(Message{Kind: KindPreVote, Term: c.hard.Term + 1})
	return nil
}

func (c *core) campaign(now time.Duration, transfer bool) error {
	c.follow(now, c.hard.Term+1, galenawal.ID{})
	c.resetDeadline(now)
	c.hard.Vote = c.id
	c.role = RoleCandidate
	c.votes = map[galenawal.ID]bool{c.id: true}
	if c.won() {
		return c.lead(now)
	}
	c.requestVotes(Message{Kind: KindVote, Transfer: transfer})
	return nil
}

func (c *core) requestVotes(m Message) {
	m.Index = c.log.last()
	m.LogTerm = c.log.lastTerm()
	for _, o := range c.members().members {
		if o.Voter && idOf(o) != c.id {
			m.To = idOf(o)
			c.send(m)
		}
	}
}

// bound tells whether this replica must not help to elect the candidate yet. A
// candidate that led the present term has given up the only lease there can be.
func (c *core) bound(now time.Duration, candidate galenawal.ID) bool {
	if c.role == RoleLeader {
		return c.holdsLease(now)
	}
	if c.ledLast(candidate) || c.mut.releaseAnyone {
		return false
	}
	return now < c.contact+c.timing.minElection
}

// current tells whether the candidate's log is at least as new as this one.
func (c *core) current(m Message) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.last()
}

func (c *core) stepPreVote(now time.Duration, m Message) {
	r := Message{Kind: KindPreVoteResponse, To: m.From, Term: m.Term}
	if m.Term <= c.hard.Term || c.bound(now, m.From) || !c.current(m) {
		r.Reject = true
		r.Term = c.hard.Term
	}
	c.send(r)
}

func (c *core) stepVote(now time.Duration, m Message) {
	if !m.Transfer && c.bound(now, m.From) {
		return
	}
	if m.Term > c.hard.Term {
		c.follow(now, m.Term, galenawal.ID{})
	}
	free := c.hard.Vote == (galenawal.ID{}) || c.hard.Vote == m.From
	grant := m.Term == c.hard.Term && free && c.current(m)
	if grant && c.hard.Vote != m.From {
		c.hard.Vote = m.From
		c.hardDirty = true
	}
	if grant {
		c.resetDeadline(now)
	}
	c.send(Message{Kind: KindVoteResponse, To: m.From, Reject: !grant})
}

// stepLeaderRequest handles what only a leader sends.
func (c *core) stepLeaderRequest(now time.Duration, m Message) error {
	if m.Term < c.hard.Term {
		c.send(Message{Kind: KindNewerTerm, To: m.From})
		return nil
	}
	kind := KindAppendResponse
	if m.Kind == KindSnapshot {
		kind = KindSnapshotResponse
	}
	r := Message{Kind: kind, To: m.From, Sent: m.Sent}
	c.follow(now, m.Term, m.From)
	c.contact = now
	c.eagerUntil = 0
	c.resetDeadline(now)
	r.Term = m.Term
	var err error
	if m.Kind == KindSnapshot {
		err = c.acceptChunk(m, &r)
	} else {
		err = c.acceptEntries(m, &r)
	}
	if err == nil {
		c.send(r)
	}
	return err
}

func (c *core) acceptEntries(m Message, r *Message) error {
	if m.Index < c.log.base {
		r.Index = c.commit
		return nil
	}
	if t, ok := c.log.term(m.Index); !ok || t != m.LogTerm {
		r.Reject = true
		r.Index = c.retryFrom(m.Index)
		return nil
	}
	for i, e := range m.Entries {
		if e.Index != m.Index+uint64(i)+1 {
			return nil // an ill-formed message; r acknowledges nothing
		}
		if t, ok := c.log.term(e.Index); ok && t == e.Term {
			continue
		}
		if err := c.put(e); err != nil {
			return err
		}
	}
	r.Index = m.Index + uint64(len(m.Entries))
	c.commit = max(c.commit, min(m.Commit, r.Index))
	return nil
}

// retryFrom returns where the leader should try after a mismatch at index: the
// position before the term that does not match, so that one round trip skips
// one term.
func (c *core) retryFrom(index uint64) uint64 {
	if index > c.log.last() {
		return c.log.last()
	}
	t, _ := c.log.term(index)
	for index > c.commit && index > c.log.base {
		index--
		if o, _ := c.log.term(index); o != t {
			break
		}
	}
	return index
}

// acceptChunk collects a snapshot and installs it when it is complete.
func (c *core) acceptChunk(m Message, r *Message) error {
	k := m.Chunk
	if k == nil {
		return nil
	}
	r.Chunk = &Chunk{Index: k.Index, Term: k.Term}
	if t, ok := c.log.term(k.Index); k.Index <= c.commit || (ok && t == k.Term) {
		// The log has all that the snapshot has. It must be kept, because its
		// later entries may have been acknowledged.
		c.commit = max(c.commit, k.Index)
		r.Index = c.commit
		return nil
	}
	if c.incoming.Index != k.Index || c.incoming.Term != k.Term {
		c.incoming = galenawal.Snapshot{Index: k.Index, Term: k.Term, Members: k.Members}
	}
	if k.Offset == len(c.incoming.Data) {
		c.incoming.Data = append(c.incoming.Data, k.Data...)
	}
	r.Chunk.Offset = len(c.incoming.Data)
	if len(c.incoming.Data) < k.Total {
		return nil
	}
	s := c.incoming
	c.incoming = galenawal.Snapshot{}
	c.install = &s
	c.log.reset(s.Index, s.Term)
	c.commit = s.Index
	c.sets = []memberSet{{index: s.Index, members: s.Members}}
	r.Index = s.Index
	return nil
}

// membersAt returns the members at the position index.
func (c *core) membersAt(index uint64) []galenahead.Member {
	at := c.sets[0].members
	for _, s := range c.sets {
		if s.index <= index {
			at = s.members
		}
	}
	return at
}

// compact forgets entries up to keep after a snapshot at index.
func (c *core) compact(index, keep uint64) {
	ms := c.membersAt(index)
	c.sets = slices.DeleteFunc(c.sets, func(s memberSet) bool { return s.index <= index })
	c.sets = slices.Insert(c.sets, 0, memberSet{index: index, members: ms})
	c.log.compact(keep)
}

// status returns the role for display.
func (c *core) status() Role {
	switch {
	case c.blank():
		return RoleBlank
	case c.role == RoleFollower && !c.members().voter(c.id):
		return RoleLearner
	}
	return c.role
}
