package galenaraft

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenawal"
)

// simStep is the resolution of virtual time.
const simStep = 5 * time.Millisecond

// simulationFaults are the faults that a simulation injects into the code under
// test.
type simulationFaults struct {
	injected    injectedFaults
	skipLogSync bool
}

// simulation runs replicas in virtual time over a faulty network and faulty disks.
// It checks the invariants after every event and stores the first violation in err.
type simulation struct {
	rand          *rand.Rand
	faults        simulationFaults
	now           time.Duration
	replicas      []*replica
	events        map[time.Duration][]func()
	faultsEnabled bool
	err           error

	leaders          map[uint64]galenawal.ID
	committed        []galenawal.Entry // index 0 is unused
	stateHashes      []uint64          // state hash after each index
	maxCommittedTerm uint64
	// maxLeasedTerm is the highest term in which a replica has held a lease.
	maxLeasedTerm    uint64          // highest term of a committed entry
	ackedIndex       uint64          // highest index of an acknowledged command
	rejectedCommands map[string]bool // commands reported as not appended
	proposals        int
	succeeded        int
	reads            int
	repairs          int
}

// replica is one process and its disk.
type replica struct {
	sim             *simulation
	name            galenahead.ReplicaName
	disk            *memDisk
	engine          *engine // nil while down
	id              galenawal.ID
	generation      int // number of starts and crashes of the process
	state           hashState
	clockOrigin     time.Duration
	clockRate       float64
	pausedUntil     time.Duration
	dataLost        bool                                     // the repair after a loss of the data is not finished
	permanentlyLost bool                                     // never starts again
	blockedUntil    map[galenahead.ReplicaName]time.Duration // by receiver of messages
	durableIndex    uint64
	checkedCommit   uint64 // last checked commit index
	checkedMembers  uint64 // index of the last checked member list
}

// hashState is a state machine whose state is a hash of all its commands.
type hashState struct {
	replica   *replica
	lastIndex uint64
	hash      uint64
}

func (h *hashState) Apply(index uint64, command []byte) []byte {
	h.lastIndex = index
	h.hash = nextStateHash(h.hash, index, command)
	s := h.replica.sim
	s.checkCommitted(h.replica.engine.core, h.replica)
	for uint64(len(s.stateHashes)) <= index {
		s.stateHashes = append(s.stateHashes, 0)
	}
	if s.stateHashes[index] != 0 && s.stateHashes[index] != h.hash {
		s.fail("%s applied another sequence of commands up to %d", h.replica.name, index)
	}
	s.stateHashes[index] = h.hash
	return binary.BigEndian.AppendUint64(nil, index)
}

func nextStateHash(previous, index uint64, command []byte) uint64 {
	b := binary.BigEndian.AppendUint64(nil, previous)
	b = binary.BigEndian.AppendUint64(b, index)
	return xxhash.Sum64(append(b, command...))
}

func (h *hashState) Snapshot() ([]byte, error) {
	b := binary.BigEndian.AppendUint64(nil, h.lastIndex)
	return binary.BigEndian.AppendUint64(b, h.hash), nil
}

func (h *hashState) Restore(b []byte) error {
	h.lastIndex = binary.BigEndian.Uint64(b)
	h.hash = binary.BigEndian.Uint64(b[8:])
	if h.lastIndex > 0 && h.replica.sim.stateHashes[h.lastIndex] != h.hash {
		h.replica.sim.fail("%s restored a state that was never applied", h.replica.name)
	}
	return nil
}

func (s *simulation) fail(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf("at %v: "+format, append([]any{s.now}, args...)...)
	}
}

// newSimulation starts n replicas, bootstraps the first one and runs until there is
// a leader.
func newSimulation(seed uint64, n int, f simulationFaults) *simulation {
	s := &simulation{
		rand:             rand.New(rand.NewPCG(seed, uint64(n))),
		faults:           f,
		events:           map[time.Duration][]func(){},
		leaders:          map[uint64]galenawal.ID{},
		committed:        make([]galenawal.Entry, 1),
		rejectedCommands: map[string]bool{},
	}
	var ms []galenahead.Member
	for i := range n {
		r := &replica{sim: s, name: galenahead.ReplicaName(rune('a' + i)), disk: newMemDisk(s.rand)}
		r.disk.skipLogSync = f.skipLogSync
		r.blockedUntil = map[galenahead.ReplicaName]time.Duration{}
		s.replicas = append(s.replicas, r)
		r.startProcess()
		ms = append(ms, galenahead.Member{Name: r.name, Address: string(r.name), Incarnation: r.id.Incarnation, Voter: true})
	}
	first := s.replicas[0]
	if err := first.engine.core.bootstrap(first.clock(), ms); err != nil {
		s.fail("bootstrap: %v", err)
	}
	first.persistAndSend()
	// Wait until a majority has stored the bootstrap entry. Until then, the loss of
	// one data directory could lose the cluster.
	s.run(2 * DefaultMaxElectionTimeout)
	return s
}

// clock returns the replica's monotonic time, which drifts from virtual time.
func (r *replica) clock() time.Duration {
	return time.Duration(float64(r.sim.now-r.clockOrigin) * r.clockRate)
}

// startProcess starts the process with the data on its disk.
func (r *replica) startProcess() {
	s := r.sim
	r.generation++
	r.clockOrigin = s.now - time.Duration(s.rand.IntN(1e9))
	r.clockRate = 1 + (s.rand.Float64()-0.5)/25
	r.pausedUntil = 0
	r.state = hashState{replica: r}
	switch err := r.open(); {
	case errors.Is(err, errCrash):
		r.crash(0)
		return
	case errors.Is(err, errFull):
		r.reopen()
		return
	case err != nil:
		s.fail("%s cannot start: %v", r.name, err)
		return
	}
	s.schedule(DefaultTick, r.whileRunning(r.tick))
}

func (r *replica) open() error {
	s := r.sim
	w, st, err := galenawal.Open(r.disk, func() uint64 { return 1 + s.rand.Uint64N(1<<62) })
	if err != nil {
		return err
	}
	t := timing{DefaultHeartbeat, DefaultMinElectionTimeout, DefaultMaxElectionTimeout, DefaultLease}
	c, err := newCore(st, r.name, t, s.rand, r.clock())
	if err != nil {
		return err
	}
	c.injected, c.maxChunkBytes = s.faults.injected, 7
	r.id, r.checkedCommit, r.checkedMembers, r.durableIndex = c.id, c.commitIndex, c.members().index, c.log.stableIndex
	r.engine, err = newEngine(c, w, &r.state, st.Snapshot, snapshotLimits{logEntries: 24, logBytes: 1 << 20, retainedEntries: 6})
	if err == nil && r == s.replicas[0] {
		// This replica applies one entry at a time.
		r.engine.applyTime = 0
	}
	return err
}

// whileRunning returns a function that calls f only if the current process still
// runs. If the process is paused, the call is delayed until the pause ends.
func (r *replica) whileRunning(f func()) func() {
	generation := r.generation
	var run func()
	run = func() {
		if r.engine == nil || r.generation != generation {
			return
		}
		if r.sim.now < r.pausedUntil {
			r.sim.schedule(r.pausedUntil-r.sim.now, run)
			return
		}
		f()
	}
	return run
}

// schedule calls f after d, rounded down to a multiple of simStep but at least one
// step.
func (s *simulation) schedule(d time.Duration, f func()) {
	t := s.now + max(d.Truncate(simStep), simStep)
	s.events[t] = append(s.events[t], f)
}

func (r *replica) tick() {
	r.handleError(r.engine.core.tick(r.clock()))
	r.persistAndSend()
	r.sim.schedule(DefaultTick, r.whileRunning(r.tick))
}

// handleError ends the process after a failed write, as Node.Run does. Any other error
// fails the simulation.
func (r *replica) handleError(err error) {
	switch {
	case err == nil:
	case errors.Is(err, galenawal.ErrWriteFailed):
		// Check the committed entries now: after the restart they may be in the
		// snapshot, where they cannot be checked.
		r.sim.checkCommitted(r.engine.core, r)
		if errors.Is(err, errFull) {
			r.reopen()
		} else {
			r.crash(0)
		}
	default:
		r.sim.fail("%s: %v", r.name, err)
	}
}

// persistAndSend makes the replica's state durable and sends its messages.
func (r *replica) persistAndSend() {
	if r.engine == nil {
		return
	}
	out, err := r.engine.persistAndApply(r.clock)
	r.handleError(err)
	if err != nil {
		return
	}
	r.durableIndex = r.engine.core.log.stableIndex
	for _, m := range out {
		r.sim.deliver(r, m)
	}
}

// crash ends the process and restarts it after down, or after a random time if down
// is zero.
func (r *replica) crash(down time.Duration) {
	r.engine = nil
	r.generation++
	if down == 0 {
		down = time.Duration(r.sim.rand.IntN(2000)) * time.Millisecond
	}
	generation := r.generation
	r.sim.schedule(down, func() {
		if r.generation != generation || r.permanentlyLost {
			return
		}
		r.disk.recoverFromCrash()
		if r.sim.faultsEnabled && r.sim.rand.IntN(2) == 0 {
			r.disk.opsUntilCrash = 1 + r.sim.rand.IntN(20)
		}
		r.startProcess()
	})
}

// reopen ends the replica and opens it again after a second with what can be read from
// its disk, as a daemon does whose disk is full.
func (r *replica) reopen() {
	r.engine = nil
	r.generation++
	generation := r.generation
	r.sim.schedule(time.Second, func() {
		if r.generation == generation {
			r.disk.evict()
			r.startProcess()
		}
	})
}

// loseData replaces the disk with an empty one and crashes the process.
func (r *replica) loseData() {
	r.disk = newMemDisk(r.sim.rand)
	r.disk.skipLogSync = r.sim.faults.skipLogSync
	r.dataLost = true
	r.crash(0)
}

// deliver delivers a message to its receiver. With faults enabled, it may lose,
// duplicate or delay the message.
func (s *simulation) deliver(from *replica, m Message) {
	for _, to := range s.replicas {
		if to.name != m.To.Name || from.blockedUntil[to.name] > s.now {
			continue
		}
		copies := 1
		delay := time.Duration(1+s.rand.IntN(10)) * time.Millisecond
		if s.faultsEnabled {
			switch roll := s.rand.IntN(100); {
			case roll < 4:
				copies = 0
			case roll < 8:
				copies = 2
			case roll < 11:
				delay = time.Duration(s.rand.IntN(4000)) * time.Millisecond
			}
		}
		for range copies {
			s.schedule(delay, func() {
				if to.engine != nil {
					to.whileRunning(func() { to.receive(m) })()
				}
			})
			delay += time.Duration(s.rand.IntN(300)) * time.Millisecond
		}
	}
}

func (r *replica) receive(m Message) {
	r.handleError(r.engine.core.step(r.clock(), m))
	// Several messages may share a sync, as in Node.processInputs.
	if r.sim.rand.IntN(4) > 0 {
		r.persistAndSend()
	}
}

// propose proposes a unique command and checks its result.
func (r *replica) propose() {
	s := r.sim
	s.proposals++
	command := fmt.Sprintf("command %d", s.proposals)
	callbacks := 0
	r.engine.propose(r.clock(), []byte(command), func(result []byte, err error) {
		if callbacks++; callbacks > 1 {
			s.fail("%q got %d results", command, callbacks)
		}
		if errors.Is(err, galenahead.ErrNotLeader) {
			s.rejectedCommands[command] = true
		}
		if err != nil {
			return
		}
		s.succeeded++
		index := binary.BigEndian.Uint64(result)
		if string(s.committed[index].Data) != command {
			s.fail("%q got the result of another command", command)
		}
		s.ackedIndex = max(s.ackedIndex, index)
	})
}

// read requests a read barrier and checks that the state is current afterwards. The
// process may be paused between the request and the lease check.
func (r *replica) read() {
	s := r.sim
	ackedBefore := s.ackedIndex
	r.engine.readBarrier(func(err error) {
		if err != nil {
			return
		}
		s.reads++
		if term := r.engine.core.hardState.Term; term < s.maxCommittedTerm {
			s.fail("%s served a read in term %d after term %d committed", r.name, term, s.maxCommittedTerm)
		}
		if r.engine.appliedIndex < ackedBefore {
			s.fail("%s served a read at index %d that misses acknowledged index %d", r.name, r.engine.appliedIndex, ackedBefore)
		}
	})
	if s.faultsEnabled && s.rand.IntN(100) == 0 {
		r.pausedUntil = s.now + time.Duration(s.rand.IntN(4000))*time.Millisecond
	}
	s.schedule(simStep, r.whileRunning(r.persistAndSend))
}

// run advances time by d and checks the invariants after every event.
func (s *simulation) run(d time.Duration) {
	for end := s.now + d; s.now < end && s.err == nil; {
		s.now += simStep
		due := s.events[s.now]
		delete(s.events, s.now)
		for _, f := range due {
			f()
			s.checkInvariants()
		}
	}
}

// checkInvariants checks the invariants of every running replica.
func (s *simulation) checkInvariants() {
	for _, r := range s.replicas {
		if r.engine != nil {
			s.checkCommitted(r.engine.core, r)
			s.checkLeader(r.engine.core, r)
			r.checkedMembers = r.engine.core.members().index
		}
	}
}

// checkCommitted checks that all replicas commit the same entries, and no command
// that was reported as not appended.
func (s *simulation) checkCommitted(c *core, r *replica) {
	for ; r.checkedCommit < c.commitIndex; r.checkedCommit++ {
		index := r.checkedCommit + 1
		if index <= c.log.baseIndex {
			continue
		}
		e := c.log.entries[index-c.log.baseIndex-1]
		if index == uint64(len(s.committed)) {
			s.committed = append(s.committed, e)
			s.maxCommittedTerm = max(s.maxCommittedTerm, e.Term)
			if s.rejectedCommands[string(e.Data)] {
				s.fail("%q was committed after it was reported as not appended", e.Data)
			}
		}
		if index >= uint64(len(s.committed)) {
			s.fail("%s committed entry %d before entry %d", r.name, index, len(s.committed))
			return
		}
		if o := s.committed[index]; o.Term != e.Term || string(o.Data) != string(e.Data) {
			s.fail("%s committed another entry at %d", r.name, index)
		}
	}
}

// checkLeader checks that a leader is the only one of its term and the only one with a
// lease, has every committed entry of earlier terms, and promotes a learner only if the
// learner has every entry that the leader knows to be committed.
func (s *simulation) checkLeader(c *core, r *replica) {
	if c.role != RoleLeader {
		return
	}
	s.checkLease(r)
	otherLeader, ok := s.leaders[c.hardState.Term]
	if ok && otherLeader != r.id {
		s.fail("%v and %v lead term %d", otherLeader, r.id, c.hardState.Term)
	}
	if !ok {
		s.leaders[c.hardState.Term] = r.id
		s.checkNewLeader(c, r)
	}
	if members := c.members(); members.index > r.checkedMembers && len(c.memberLists) > 1 {
		previous := c.memberLists[len(c.memberLists)-2]
		for _, promoted := range s.replicas {
			if members.isVoter(promoted.id) && !previous.isVoter(promoted.id) && promoted.durableIndex < c.commitIndex {
				s.fail("%s promoted %s, which has %d of %d entries", r.name, promoted.name, promoted.durableIndex, c.commitIndex)
			}
		}
	}
}

// holdsLease reports whether the process runs and its replica holds a lease.
func (r *replica) holdsLease() bool {
	return r.engine != nil && r.clock() < r.engine.core.leaseEnd(r.clock())
}

// checkLease checks that no other replica holds a lease while r does, and that none of a
// later term has held one or committed an entry. So a lease that is valid again after a gap
// has been that of no other replica in between.
func (s *simulation) checkLease(r *replica) {
	if !r.holdsLease() {
		return
	}
	for _, o := range s.replicas {
		if o != r && o.holdsLease() {
			s.fail("%s holds a lease while %s holds a lease", r.name, o.name)
		}
	}
	term := r.engine.core.hardState.Term
	if latest := max(s.maxLeasedTerm, s.maxCommittedTerm); term < latest {
		s.fail("%s holds a lease in term %d after term %d has had a leader", r.name, term, latest)
	}
	s.maxLeasedTerm = max(s.maxLeasedTerm, term)
}

// checkNewLeader checks that no other replica holds a lease of an earlier term and that
// the new leader has the last committed entry of earlier terms. Late votes can elect a
// leader in a term that has passed: it never gets a lease.
func (s *simulation) checkNewLeader(c *core, r *replica) {
	for _, o := range s.replicas {
		if o != r && o.holdsLease() && o.engine.core.hardState.Term < c.hardState.Term {
			s.fail("%s leads term %d while %s holds a lease", r.name, c.hardState.Term, o.name)
		}
	}
	index := uint64(len(s.committed)) - 1
	if index <= c.log.baseIndex || s.committed[index].Term >= c.hardState.Term {
		return
	}
	if t, ok := c.log.term(index); !ok || t != s.committed[index].Term {
		s.fail("%s leads term %d without committed entry %d", r.name, c.hardState.Term, index)
	}
}

// leader returns the running leader of the highest term, or nil if there is none.
func (s *simulation) leader() *replica {
	var l *replica
	for _, r := range s.replicas {
		if r.engine == nil || r.engine.core.role != RoleLeader || s.now < r.pausedUntil {
			continue
		}
		if l == nil || r.engine.core.hardState.Term > l.engine.core.hardState.Term {
			l = r
		}
	}
	return l
}

// repair performs the next membership change that restores a replica after a loss
// of its data, as an operator would.
func (s *simulation) repair() {
	l := s.leader()
	for _, r := range s.replicas {
		if l == nil || !r.dataLost || r.engine == nil {
			continue
		}
		members := l.engine.core.members()
		change := galenahead.MemberChange{Action: galenahead.MemberAddLearner}
		change.Member = galenahead.Member{Name: r.name, Address: string(r.name), Incarnation: r.id.Incarnation}
		if members.isVoter(r.id) && l.engine.core.commitIndex >= members.index {
			r.dataLost = false
			s.repairs++
			continue
		}
		if _, ok := members.find(r.id); ok {
			change.Action = galenahead.MemberPromote
		} else if _, err := members.indexOf(galenahead.Member{Name: r.name}); err == nil {
			change.Action = galenahead.MemberRemove
			change.Member.Incarnation = 0
		}
		l.engine.change(l.clock(), change, func(error) {})
		l.persistAndSend()
		return
	}
}

// runRandomActions performs random actions for d: requests of clients, repairs by
// an operator, and faults.
func (s *simulation) runRandomActions(d time.Duration) {
	s.faultsEnabled = true
	for end := s.now + d; s.now < end && s.err == nil; {
		r := s.replicas[s.rand.IntN(len(s.replicas))]
		if r.engine != nil && s.now >= r.pausedUntil {
			s.randomAction(r)
		}
		s.checkInvariants()
		s.run(time.Duration(5+s.rand.IntN(60)) * time.Millisecond)
	}
}

// phaseDuration is the duration of the alternating phases of a simulation: one with
// proposals, then one with only reads. In a read-only phase, the log of a
// disconnected replica stays as up to date as the others.
const phaseDuration = 4 * time.Second

func (s *simulation) readOnlyPhase() bool { return (s.now/phaseDuration)%2 == 1 }

// randomAction performs a random request, repair or fault, mostly at replica r.
func (s *simulation) randomAction(r *replica) {
	ms := func(n int) time.Duration { return time.Duration(s.rand.IntN(n)) * time.Millisecond }
	switch roll := s.rand.IntN(1000); {
	case roll < 200:
		for range 1 + s.rand.IntN(4) {
			if !s.readOnlyPhase() {
				r.propose()
			}
		}
	case roll < 350:
		r.read()
	case roll < 500:
		s.repair()
	case roll < 506:
		o := s.replicas[s.rand.IntN(len(s.replicas))]
		r.blockedUntil[o.name] = s.now + ms(4000)
	case roll < 510:
		// The two replicas lose their connection, but stay connected to the others.
		o := s.replicas[s.rand.IntN(len(s.replicas))]
		r.blockedUntil[o.name] = s.now + ms(4000)
		o.blockedUntil[r.name] = r.blockedUntil[o.name]
	case roll < 516:
		for _, o := range s.replicas {
			r.blockedUntil[o.name] = s.now + ms(5000)
			o.blockedUntil[r.name] = s.now + ms(5000)
		}
	case roll < 520:
		r.pausedUntil = s.now + ms(4000)
	case roll < 524:
		r.crash(0)
	case roll < 530:
		r.disk.opsUntilCrash = 1 + s.rand.IntN(8)
	case roll < 532:
		if l := s.leader(); l != nil {
			l.crash(simStep + ms(100))
		}
	case roll < 534:
		s.crashAll(simStep + ms(1000))
	case roll < 538:
		r.engine.transfer(r.clock(), func(error) {})
		r.persistAndSend()
	case roll < 546:
		// Only one replica at a time may lose its data: the next one may lose its data
		// once the repair of the first is committed.
		for _, o := range s.replicas {
			if o.dataLost {
				return
			}
		}
		r.loseData()
	default:
		if l := s.leader(); l != nil {
			if !s.readOnlyPhase() {
				l.propose()
			}
			l.read()
		}
	}
}

// recoverAndCheck ends all faults, finishes the repairs and checks that the cluster
// works again.
func (s *simulation) recoverAndCheck() {
	s.faultsEnabled = false
	for _, r := range s.replicas {
		r.pausedUntil = 0
		r.disk.opsUntilCrash, r.disk.opsUntilFull, r.disk.full = -1, -1, false
		clear(r.blockedUntil)
	}
	for range 60 {
		s.run(500 * time.Millisecond)
		s.repair()
	}
	before := s.succeeded
	l := s.leader()
	if l == nil {
		s.fail("no leader after all faults ended")
		return
	}
	l.propose()
	s.run(time.Second)
	if s.succeeded == before && s.err == nil {
		s.fail("no proposal succeeds after all faults ended")
	}
	for _, r := range s.replicas {
		if s.err == nil && (r.dataLost || r.engine == nil || r.state.lastIndex != l.state.lastIndex) {
			s.fail("%s did not catch up after all faults ended", r.name)
		}
	}
}
