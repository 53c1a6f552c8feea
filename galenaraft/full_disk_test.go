package galenaraft

import (
	"fmt"
	"testing"
	"time"

	"github.com/galenahead/galenahead/galenawal"
)

// fullDiskSeries fills the disks of the replicas one after the other.
type fullDiskSeries struct {
	*simulation
	// ids are the replicas by name as they first started, or since they lost their data.
	ids map[*replica]galenawal.ID
}

// work runs for d with a load that makes replicas write, and repairs a replica that lost
// its data.
func (s *fullDiskSeries) work(d time.Duration) {
	for end := s.now + d; s.now < end && s.err == nil; {
		if l := s.leader(); l != nil {
			for range 1 + s.rand.IntN(3) {
				l.propose()
			}
			l.persistAndSend()
		}
		if s.rand.IntN(4) == 0 {
			s.repair()
		}
		s.checkInvariants() // before later events, since a promotion is checked against the commit index
		s.run(50 * time.Millisecond)
		s.checkFiles()
	}
}

// checkFiles checks that no replica has quarantined its data or started anew.
func (s *fullDiskSeries) checkFiles() {
	for _, r := range s.replicas {
		if r.engine == nil {
			continue
		}
		if id, ok := s.ids[r]; ok && id != r.id {
			s.fail("%s started anew as %d, was %d", r.name, r.id.Incarnation, id.Incarnation)
		}
		s.ids[r] = r.id
		if _, ok := r.disk.files["identity.damaged"]; ok {
			s.fail("%s quarantined its data", r.name)
		}
	}
}

// fill makes the disk of r full after ops operations, or after some seconds, and waits
// until it has room again.
func (s *fullDiskSeries) fill(r *replica, ops int) {
	const maxWait, reopenTime = 5 * time.Second, 2 * time.Second
	disk := r.disk
	disk.opsUntilFull = ops
	fullFor := time.Duration(500+s.rand.IntN(4000)) * time.Millisecond
	full := false
	disk.onFull = func() {
		full = true
		s.schedule(fullFor, func() { disk.full = false })
	}
	for end := s.now + maxWait; !full && s.now < end && s.err == nil; {
		s.work(50 * time.Millisecond)
	}
	if !full {
		disk.opsUntilFull, disk.full = -1, true
		disk.onFull()
	}
	if s.rand.IntN(2) == 0 {
		// Another disk is slow, so that its replica waits for it until this one has room.
		other := s.replicas[s.rand.IntN(len(s.replicas))]
		other.pausedUntil = s.now + fullFor + time.Duration(s.rand.IntN(2000))*time.Millisecond
	}
	for disk.full && s.err == nil {
		s.work(50 * time.Millisecond)
	}
	s.work(time.Duration(s.rand.IntN(int(reopenTime))))
	if s.rand.IntN(4) == 0 {
		s.crashAll(300 * time.Millisecond)
	}
}

// disturb brings about a state in which the disk of r then becomes full.
func (s *fullDiskSeries) disturb(r *replica) {
	switch s.rand.IntN(6) {
	case 0:
		r.crash(100 * time.Millisecond) // it becomes full while r starts
	case 1:
		for _, o := range s.replicas {
			if o.dataLost {
				return
			}
		}
		delete(s.ids, r)
		r.loseData() // while r catches up as a learner
	case 2:
		if l := s.leader(); l != nil {
			l.engine.transfer(l.clock(), func(error) {}) // while r votes or begins to lead
			l.persistAndSend()
		}
	case 3:
		if l := s.leader(); l != nil {
			l.crash(0)
		}
	}
}

// checkLeaders lets replicas lead in turn and checks that each commits a proposal.
func (s *fullDiskSeries) checkLeaders() {
	led := map[*replica]bool{}
	for range 3 * len(s.replicas) {
		l, _ := s.awaitLeader(settleTime)
		if l == nil || s.err != nil {
			s.fail("no leader long after the disks had room again")
			return
		}
		led[l] = true
		before := s.succeeded
		l.propose()
		s.run(time.Second)
		if s.succeeded == before {
			s.fail("%s leads but commits nothing long after the disks had room again", l.name)
		}
		if members := l.engine.core.members(); members.voterCount() != len(s.replicas) {
			s.fail("the log has %d voters, want %d", members.voterCount(), len(s.replicas))
		}
		l.engine.transfer(l.clock(), func(error) {})
		l.persistAndSend()
		s.run(500 * time.Millisecond)
	}
	if len(led) < 2 {
		s.fail("only %d replica has led", len(led))
	}
}

// Guards against replicas that lose what they have acknowledged, quarantine their data or
// never commit again after their disks were full for some seconds, one after the other.
// Each disk becomes full at the same position in its operations: while its replica
// starts, takes or installs a snapshot, catches up, votes or begins to lead.
func TestDisksFullInTurn(t *testing.T) {
	const positions, seeds = 40, 2
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprintf("%d replicas", size), func(t *testing.T) {
			t.Parallel()
			for ops := 1; ops <= positions; ops++ {
				for seed := range uint64(seeds) {
					s := &fullDiskSeries{newSimulation(1000*uint64(ops)+seed, size, simulationFaults{}), map[*replica]galenawal.ID{}}
					for _, i := range s.rand.Perm(size) {
						s.disturb(s.replicas[i])
						s.fill(s.replicas[i], ops)
					}
					s.recoverAndCheck()
					s.checkLeaders()
					s.crashAll(time.Second)
					s.recoverAndCheck()
					s.checkFiles()
					if s.err != nil {
						t.Fatalf("full at operation %d, seed %d: %v", ops, seed, s.err)
					}
				}
			}
		})
	}
}
