package galenaraft

import (
	"testing"
	"time"
)

// settle is long enough for an election and a membership change.
const settle = 10 * time.Second

// commit proposes n commands and returns how many succeeded.
func (s *simulation) commit(n int) int {
	before := s.succeeded
	for range n {
		if l := s.leader(); l != nil {
			l.propose()
		}
		s.run(100 * time.Millisecond)
	}
	return s.succeeded - before
}

// loseDisk loses the disk of replica i and runs the repair up to the wanted
// number of membership changes: 1 removes the old identity, 2 adds the new one
// as a learner, 3 promotes it.
func (s *simulation) loseDisk(i, changes int) {
	s.replicas[i].wipe()
	s.run(settle)
	for range changes {
		s.repair()
		s.run(time.Second)
	}
}

// loseForGood ends replica i and its disk for good.
func (s *simulation) loseForGood(i int) {
	s.replicas[i].gone = true
	s.replicas[i].crash(0)
	s.run(settle)
}

// holders counts the running replicas whose durable log or snapshot reaches
// position index.
func (s *simulation) holders(index uint64) int {
	n := 0
	for _, r := range s.replicas {
		if r.engine != nil && r.engine.core.log.stable >= index {
			n++
		}
	}
	return n
}

// Guards against acknowledged commands that are lost, and against a cluster
// that serves without a majority, when a second VM is lost during or right
// after the repair of a first one.
func TestSecondLossAfterRepair(t *testing.T) {
	tests := []struct {
		name    string
		size    int
		changes int // membership changes of the repair before the second loss
		losses  int // VMs lost for good after that
		serves  bool
		holders int // running replicas that hold every acknowledged command
	}{
		{"3 replicas, old identity still a voter", 3, 0, 1, false, 1},
		{"3 replicas, old identity removed", 3, 1, 1, false, 1},
		{"3 replicas, new identity still a learner", 3, 2, 1, false, 2},
		{"3 replicas, new identity promoted", 3, 3, 1, true, 2},
		{"5 replicas, old identity still a voter", 5, 0, 1, true, 3},
		{"5 replicas, new identity still a learner", 5, 2, 1, true, 4},
		{"5 replicas, learner, two more lost", 5, 2, 2, false, 3},
		{"5 replicas, promoted, two more lost", 5, 3, 2, true, 3},
		{"5 replicas, promoted, three more lost", 5, 3, 3, false, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSimulation(7, tt.size, faults{})
			if got := s.commit(30); got != 30 {
				t.Fatalf("%d of 30 commands succeeded before the losses", got)
			}
			s.loseDisk(tt.size-1, tt.changes)
			s.commit(5)
			acked := s.acked
			for i := range tt.losses {
				s.loseForGood(i)
			}
			if got := s.holders(acked); got != tt.holders {
				t.Errorf("%d replicas hold every acknowledged command, want %d", got, tt.holders)
			}
			reads := s.reads
			for _, r := range s.replicas {
				if r.engine != nil {
					r.read()
				}
			}
			serves := s.commit(5) == 5
			if serves != tt.serves || (s.reads > reads) != tt.serves {
				t.Errorf("accepts commands: %v, serves reads: %v, want %v", serves, s.reads > reads, tt.serves)
			}
			if s.err != nil {
				t.Error(s.err)
			}
		})
	}
}
