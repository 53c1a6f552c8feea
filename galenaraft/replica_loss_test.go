package galenaraft

import (
	"testing"
	"time"
)

// settleTime is long enough for an election and a membership change.
const settleTime = 10 * time.Second

// proposeCommands proposes n commands and returns the number that succeeded.
func (s *simulation) proposeCommands(n int) int {
	before := s.succeeded
	for range n {
		if l := s.leader(); l != nil {
			l.propose()
		}
		s.run(100 * time.Millisecond)
	}
	return s.succeeded - before
}

// loseDataAndRepair deletes the data of replica i and performs the first of the
// three membership changes of the repair: 1 removes the old incarnation, 2 adds
// the new one as a learner, and 3 promotes it.
func (s *simulation) loseDataAndRepair(i, changes int) {
	s.replicas[i].loseData()
	s.run(settleTime)
	for range changes {
		s.repair()
		s.run(time.Second)
	}
}

// losePermanently stops replica i, which never starts again.
func (s *simulation) losePermanently(i int) {
	s.replicas[i].permanentlyLost = true
	s.replicas[i].crash(0)
	s.run(settleTime)
}

// countReplicasWith returns the number of running replicas whose durable log or
// snapshot reaches index.
func (s *simulation) countReplicasWith(index uint64) int {
	n := 0
	for _, r := range s.replicas {
		if r.engine != nil && r.engine.core.log.stableIndex >= index {
			n++
		}
	}
	return n
}

// Guards against lost acknowledged commands and against a cluster that serves
// without a majority, when a second VM is lost during or shortly after the repair
// of the first one.
func TestSecondLossAfterRepair(t *testing.T) {
	tests := []struct {
		name    string
		size    int
		changes int // membership changes of the repair before the second loss
		losses  int // VMs lost permanently after that
		serves  bool
		holders int // running replicas that have every acknowledged command
	}{
		{"3 replicas, old incarnation still a voter", 3, 0, 1, false, 1},
		{"3 replicas, old incarnation removed", 3, 1, 1, false, 1},
		{"3 replicas, new incarnation still a learner", 3, 2, 1, false, 2},
		{"3 replicas, new incarnation promoted", 3, 3, 1, true, 2},
		{"5 replicas, old incarnation still a voter", 5, 0, 1, true, 3},
		{"5 replicas, new incarnation still a learner", 5, 2, 1, true, 4},
		{"5 replicas, new incarnation a learner, two more lost", 5, 2, 2, false, 3},
		{"5 replicas, new incarnation promoted, two more lost", 5, 3, 2, true, 3},
		{"5 replicas, new incarnation promoted, three more lost", 5, 3, 3, false, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSimulation(7, tt.size, simulationFaults{})
			if got := s.proposeCommands(30); got != 30 {
				t.Fatalf("%d of 30 commands succeeded before the losses", got)
			}
			s.loseDataAndRepair(tt.size-1, tt.changes)
			s.proposeCommands(5)
			ackedIndex := s.ackedIndex
			for i := range tt.losses {
				s.losePermanently(i)
			}
			if got := s.countReplicasWith(ackedIndex); got != tt.holders {
				t.Errorf("%d replicas have every acknowledged command, want %d", got, tt.holders)
			}
			reads := s.reads
			for _, r := range s.replicas {
				if r.engine != nil {
					r.read()
				}
			}
			serves := s.proposeCommands(5) == 5
			if serves != tt.serves || (s.reads > reads) != tt.serves {
				t.Errorf("accepts commands: %v, serves reads: %v, want %v", serves, s.reads > reads, tt.serves)
			}
			if s.err != nil {
				t.Error(s.err)
			}
		})
	}
}
