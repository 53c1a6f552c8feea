package galenaraft

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead/galenawal"
)

// crashAll crashes all processes at the same time and restarts them after down.
func (s *simulation) crashAll(down time.Duration) {
	for _, r := range s.replicas {
		r.crash(down)
	}
}

// awaitLeader runs until there is a leader with a valid lease. It returns the
// leader and the elapsed time, or nil after timeout.
func (s *simulation) awaitLeader(timeout time.Duration) (*replica, time.Duration) {
	start := s.now
	for s.now < start+timeout && s.err == nil {
		if l := s.leader(); l != nil && l.engine.core.holdsLease(l.clock()) {
			return l, s.now - start
		}
		s.run(simStep)
	}
	return nil, timeout
}

// Guards against a cluster that waits for a full election timeout after a power
// loss of all replicas, although the last leader has restarted and no other
// replica can hold a lease.
func TestLastLeaderIsReelectedAfterPowerLoss(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulation(seed, 3, simulationFaults{})
		s.proposeCommands(5)
		lastLeader := s.leader()
		s.crashAll(300 * time.Millisecond)
		s.run(300 * time.Millisecond)
		l, elapsed := s.awaitLeader(settleTime)
		if s.err != nil {
			t.Fatalf("seed %d: %v", seed, s.err)
		}
		if l != lastLeader {
			t.Fatalf("seed %d: the last leader was not elected again", seed)
		}
		if limit := DefaultMinElectionTimeout / 2; elapsed > limit {
			t.Errorf("seed %d: no leader for %v after the restart, want at most %v", seed, elapsed, limit)
		}
		before := s.succeeded
		l.propose()
		s.run(time.Second)
		if s.succeeded != before+1 {
			t.Errorf("seed %d: the new leader did not commit a command", seed)
		}
	}
}

// Guards against a restarted replica that campaigns early because it was the
// leader of an older term, although another replica has become the leader since
// and holds a lease.
func TestFormerLeaderDoesNotDisruptCurrentLeader(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulation(seed, 3, simulationFaults{})
		s.proposeCommands(5)
		former := s.leader()
		former.engine.transfer(former.clock(), func(error) {})
		former.persistAndSend()
		s.run(time.Second)
		l := s.leader()
		if l == nil || l == former {
			t.Fatalf("seed %d: leadership was not transferred", seed)
		}
		term := l.engine.core.hardState.Term
		former.crash(simStep)
		s.run(settleTime)
		if s.err != nil {
			t.Fatalf("seed %d: %v", seed, s.err)
		}
		if now := s.leader(); now != l || now.engine.core.hardState.Term != term {
			t.Errorf("seed %d: the restart of the former leader changed the leader", seed)
		}
	}
}

// Guards against a large entry that is sent again and again while it is still on its
// way, so that a slow link carries nothing else.
func TestEntryInFlightIsSentAgainLessOften(t *testing.T) {
	s := newSimulation(1, 3, simulationFaults{})
	s.proposeCommands(1)
	c := s.leader().engine.core
	if err := c.append(galenawal.EntryCommand, make([]byte, 64<<10)); err != nil {
		t.Fatal(err)
	}
	for id, p := range c.progress {
		c.outbox = nil
		const span = 10 * time.Second
		start := s.leader().clock()
		for now := start; now < start+span; now += c.timing.heartbeatInterval {
			if err := c.replicate(now, id, p, true); err != nil {
				t.Fatal(err)
			}
		}
		withEntries := 0
		for _, m := range c.outbox {
			if len(m.Entries) > 0 {
				withEntries++
			}
		}
		if withEntries < 2 || withEntries > 6 {
			t.Errorf("the entry was sent %d times in %v, want 2 to 6", withEntries, span)
		}
		if heartbeats := len(c.outbox) - withEntries; heartbeats < int(span/c.timing.heartbeatInterval)/2 {
			t.Errorf("%d heartbeats in %v", heartbeats, span)
		}
	}
}

// Guards against replicas that send and answer no heartbeats after a restart of all of
// them, because they apply a long log in one step.
func TestReplicasAnswerWhileTheyApplyALongLog(t *testing.T) {
	const commands = 2000
	root := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(t, root, Config{}, "a", "b", "c")
		time.Sleep(electionWait)
		for range commands {
			_, err := c.leader().Propose(t.Context(), []byte("x"))
			is.NoErr(err)
		}
		c.stop()
		var nodes []*runningNode
		for _, name := range []string{"a", "b", "c"} {
			n := c.start(name, Config{})
			n.stateMachine.applyTime.Store(int64(time.Millisecond))
			nodes = append(nodes, n)
		}
		defer c.stop()
		longestGap, leases := time.Duration(0), map[uint64]bool{}
		for range 2 * electionWait / DefaultTick {
			time.Sleep(DefaultTick)
			for _, n := range nodes {
				gap, _ := n.RecentDelays()
				longestGap = max(longestGap, gap)
				if n.HoldsLease() {
					leases[n.Status().Term] = true
				}
			}
		}
		t.Logf("longest gap %v, %d terms with a lease", longestGap, len(leases))
		is.True(longestGap <= DefaultHeartbeat)
		is.Equal(len(leases), 1)
		is.NoErr(c.leader().ReadBarrier(t.Context()))
		is.Equal(c.leader().stateMachine.total.Load(), uint64(commands))
	})
}
