package galenaraft

import (
	"testing"
	"time"
)

// crashAll ends every process at the same moment; all are back after down.
func (s *simulation) crashAll(down time.Duration) {
	for _, r := range s.replicas {
		r.crash(down)
	}
}

// awaitLeader runs until a replica leads and its lease holds, and returns it
// with the time that took.
func (s *simulation) awaitLeader(bound time.Duration) (*replica, time.Duration) {
	start := s.now
	for s.now < start+bound && s.err == nil {
		if l := s.leader(); l != nil && l.engine.core.holdsLease(l.clock()) {
			return l, s.now - start
		}
		s.run(simStep)
	}
	return nil, bound
}

// Guards against a log that has no leader for a whole election timeout after
// all replicas lost power, although the last leader is back and nobody else can
// hold a lease.
func TestLastLeaderReturnsAtOnce(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulation(seed, 3, faults{})
		s.commit(5)
		last := s.leader()
		s.crashAll(300 * time.Millisecond)
		s.run(300 * time.Millisecond)
		l, took := s.awaitLeader(settle)
		if s.err != nil {
			t.Fatalf("seed %d: %v", seed, s.err)
		}
		if l != last {
			t.Fatalf("seed %d: the last leader does not lead again", seed)
		}
		if limit := DefaultMinElectionTimeout / 2; took > limit {
			t.Errorf("seed %d: without a leader for %v after the start, want at most %v", seed, took, limit)
		}
		before := s.succeeded
		l.propose()
		s.run(time.Second)
		if s.succeeded != before+1 {
			t.Errorf("seed %d: the new leader commits nothing", seed)
		}
	}
}

// Guards against a replica that campaigns early on the word of a term that
// another replica has led since, whose lease still holds.
func TestDeposedLeaderWaits(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulation(seed, 3, faults{})
		s.commit(5)
		deposed := s.leader()
		deposed.engine.transfer(deposed.clock(), func(error) {})
		deposed.flush()
		s.run(time.Second)
		l := s.leader()
		if l == nil || l == deposed {
			t.Fatalf("seed %d: the lead was not handed over", seed)
		}
		term := l.engine.core.hard.Term
		deposed.crash(simStep)
		s.run(settle)
		if s.err != nil {
			t.Fatalf("seed %d: %v", seed, s.err)
		}
		if now := s.leader(); now != l || now.engine.core.hard.Term != term {
			t.Errorf("seed %d: the restart of an earlier leader changed the leader", seed)
		}
	}
}
