package galenafleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
)

// lossSeries loses daemons for good, again and again. Each gets a successor with an empty
// disk at another address, and no other is lost before the successor counts as one.
type lossSeries struct {
	*memberSim
	alive []*simDaemon
}

func newLossSeries(dir string, seed uint64, losses, spares int, catchUp time.Duration) *lossSeries {
	sim := &memberSim{
		dir: dir, losses: losses, startable: true, catchUp: catchUp,
		rand: rand.New(rand.NewPCG(seed, uint64(losses+spares))), bootstraps: map[string][]galenahead.Member{},
	}
	s := &lossSeries{memberSim: sim}
	for range 2*losses + 1 + spares {
		d := s.addDaemon(true)
		sim.seeds = append(sim.seeds, d.address)
	}
	sim.seeds = sim.seeds[:3]
	return s
}

func (s *lossSeries) addDaemon(bootstrap bool) *simDaemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := &simDaemon{sim: s.memberSim, address: fmt.Sprintf("10.0.0.%d:7000", 10+len(s.daemons)), disk: true, bootstrap: bootstrap}
	s.daemons = append(s.daemons, d)
	s.alive = append(s.alive, d)
	return d
}

// loseSome loses as many daemons at once as the settings allow, and starts their successors.
// The leader is the first of them if loseLeader is set, and otherwise none of them.
func (s *lossSeries) loseSome(loseLeader bool) error {
	leader, ok := s.leader()
	if !ok {
		return eris.New("no leader before a loss")
	}
	var lost, left []*simDaemon
	for _, i := range s.perm(len(s.alive)) {
		d := s.alive[i]
		switch {
		case d == leader && loseLeader:
			lost = append([]*simDaemon{d}, lost...)
		case d == leader:
			left = append(left, d)
		default:
			lost = append(lost, d)
		}
	}
	lost, left = lost[:s.losses], append(left, lost[s.losses:]...)
	for _, d := range lost {
		d.gone.Store(true)
		d.stop()
		d.node = nil
	}
	time.Sleep(100 * time.Millisecond)
	s.alive = left
	s.seeds = nil
	for _, d := range left[:min(3, len(left))] {
		s.seeds = append(s.seeds, d.address)
	}
	for _, d := range lost {
		successor := s.addDaemon(false)
		successor.dataCentre = d.dataCentre
		successor.start()
	}
	return nil
}

// transfer makes another replica the leader at some moment of the catch-up time.
func (s *lossSeries) transfer() {
	time.Sleep(s.duration(s.catchUp / 2))
	leader, ok := s.leader()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = leader.node.TransferLeadership(ctx) // the target may be late
}

// play loses daemons in several rounds. Between two rounds it waits just as long as the
// successors need to count.
func (s *lossSeries) play(transfer bool) error {
	const rounds = 4
	defer s.end()
	s.startAll()
	time.Sleep(bootstrapTime)
	var acked string
	for round := range rounds {
		if err := s.proposeSoon(fmt.Sprintf("<%d>", round)); err != nil {
			return eris.Wrapf(err, "before loss %d", round)
		}
		acked += fmt.Sprintf("<%d>", round)
		if err := s.loseSome(s.intN(2) == 0); err != nil {
			return eris.Wrapf(err, "loss %d", round)
		}
		countsAt := time.Now().Add(s.catchUp)
		if transfer {
			s.transfer()
		}
		time.Sleep(time.Until(countsAt))
	}
	if err := s.proposeSoon("<end>"); err != nil {
		return eris.Wrap(err, "after the last loss")
	}
	leader, _ := s.leader()
	if got := string(leader.state.all()); got != acked+"<end>" {
		return eris.Errorf("the log has %q, want %q", got, acked+"<end>")
	}
	return nil
}

// proposeSoon proposes a command until a leader commits it, for the time of an election.
func (s *lossSeries) proposeSoon(command string) error {
	err := eris.New("no leader")
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		leader, ok := s.leader()
		if !ok {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err = leader.node.Propose(ctx, []byte(command))
		cancel()
		if err == nil {
			return nil
		}
	}
	return err
}

// Guards against a log without a majority after losses one after the other, each as soon as
// the successors of the one before count, also if the leader changes in between.
func TestLogOutlivesSuccessiveLosses(t *testing.T) {
	const seeds = 6
	for _, tt := range []struct {
		losses, spares int
		catchUp        time.Duration
	}{{1, 0, 4 * time.Second}, {1, 1, 4 * time.Second}, {2, 0, 6 * time.Second}, {2, 1, 6 * time.Second}} {
		for seed := range uint64(seeds) {
			for _, transfer := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d losses, %d spares, seed %d, transfer %t", tt.losses, tt.spares, seed, transfer), func(t *testing.T) {
					t.Parallel()
					dir := t.TempDir()
					synctest.Test(t, func(t *testing.T) {
						if err := newLossSeries(dir, seed, tt.losses, tt.spares, tt.catchUp).play(transfer); err != nil {
							t.Fatal(err)
						}
					})
				})
			}
		}
	}
}
