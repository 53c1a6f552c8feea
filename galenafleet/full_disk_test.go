package galenafleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenawal"
)

var errDiskFull = eris.New("no space left on device")

// fullDir is the data directory of a simDaemon. Everything but reading fails while the
// daemon's disk is full; a part of a write stays in the file. Syncs have no effect, since
// no simulation takes the power away.
type fullDir struct {
	galenawal.Dir
	daemon *simDaemon
}

type fullFile struct {
	galenawal.File
	daemon *simDaemon
}

func (d *simDaemon) unlessFull(op func() error) error {
	if d.full.Load() {
		return errDiskFull
	}
	return op()
}

func (d fullDir) Open(name string) (galenawal.File, error) {
	if d.daemon.full.Load() {
		return nil, errDiskFull
	}
	f, err := d.Dir.Open(name)
	return fullFile{f, d.daemon}, err
}

func (d fullDir) Rename(from, to string) error {
	return d.daemon.unlessFull(func() error { return d.Dir.Rename(from, to) })
}

func (d fullDir) Remove(name string) error {
	return d.daemon.unlessFull(func() error { return d.Dir.Remove(name) })
}

func (d fullDir) Sync() error { return d.daemon.unlessFull(func() error { return nil }) }

func (f fullFile) Sync() error { return f.daemon.unlessFull(func() error { return nil }) }

func (f fullFile) Write(p []byte) (int, error) {
	if !f.daemon.full.Load() {
		return f.File.Write(p)
	}
	n, err := f.File.Write(p[:len(p)/2])
	if err == nil {
		err = errDiskFull
	}
	return n, err
}

// diskSeries fills the disks of a deployment one after the other. Daemons whose disk
// failed are restarted after a second.
type diskSeries struct {
	*memberSim
	// order is the order in which the disks become full.
	order []int
	// restartAt is when a daemon that is down is started next.
	restartAt map[*simDaemon]time.Time
	// incarnations are the incarnations of the replicas when they first started.
	incarnations map[*simDaemon]uint64
	proposed     int
	acked        []string
}

func newDiskSeries(dir string, seed uint64, disks, losses int) *diskSeries {
	sim := &memberSim{
		dir: dir, losses: losses, startable: true, snapshotEntries: 16, catchUp: 4 * time.Second,
		rand: rand.New(rand.NewPCG(seed, uint64(disks))), bootstraps: map[string][]galenahead.Member{},
	}
	for i := range disks {
		sim.daemons = append(sim.daemons, &simDaemon{sim: sim, address: fmt.Sprintf("10.0.0.%d:7000", 10+i), disk: true, bootstrap: true})
		sim.seeds = append(sim.seeds, sim.daemons[i].address)
	}
	sim.seeds = sim.seeds[:3]
	return &diskSeries{memberSim: sim, order: sim.rand.Perm(disks), restartAt: map[*simDaemon]time.Time{}, incarnations: map[*simDaemon]uint64{}}
}

// supervise restarts daemons whose disk failed, and checks that each replica is the one
// that it was.
func (s *diskSeries) supervise() error {
	const reopenDelay = time.Second
	now := time.Now()
	for _, d := range s.daemons {
		if d.node != nil {
			select {
			case <-d.diskFailed:
				d.stop()
				d.node = nil
				s.restartAt[d] = now.Add(reopenDelay)
			default:
			}
		}
		if d.node == nil && !now.Before(s.restartAt[d]) {
			if err := d.tryStart(); err != nil {
				s.restartAt[d] = now.Add(reopenDelay)
				continue
			}
		}
		if d.node == nil {
			continue
		}
		incarnation := d.node.Status().Incarnation
		if first, ok := s.incarnations[d]; ok && first != incarnation {
			return eris.Errorf("%s has started anew", d.address)
		}
		s.incarnations[d] = incarnation
	}
	return nil
}

// propose proposes a command at the leader, if there is one.
func (s *diskSeries) propose() error {
	const proposeTimeout = 100 * time.Millisecond
	leader, ok := s.leader()
	if !ok {
		return eris.New("no leader")
	}
	s.proposed++
	command := fmt.Sprintf("<%d>", s.proposed)
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	_, err := leader.node.Propose(ctx, []byte(command))
	if err == nil {
		s.acked = append(s.acked, command)
	}
	return err
}

// work proposes commands and supervises the daemons for d.
func (s *diskSeries) work(d time.Duration) error {
	for end := time.Now().Add(d); time.Now().Before(end); {
		_ = s.propose() // may fail while a disk is full
		time.Sleep(50 * time.Millisecond)
		if err := s.supervise(); err != nil {
			return err
		}
	}
	return nil
}

// play fills one disk at the first start and then each disk once, one in three for so
// long that its voter is replaced. It then checks the members, the state and leaders.
func (s *diskSeries) play() error {
	defer s.end()
	first := s.daemons[s.intN(len(s.daemons))]
	first.full.Store(true)
	for end := time.Now().Add(s.duration(4 * time.Second)); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if err := s.supervise(); err != nil {
			return err
		}
	}
	first.full.Store(false)
	if err := s.work(bootstrapTime); err != nil {
		return err
	}
	for _, i := range s.order {
		d := s.daemons[i]
		fullFor := time.Second + s.duration(4*time.Second)
		if s.intN(3) == 0 {
			fullFor = maxVoterTimeout + s.duration(4*time.Second)
		}
		d.full.Store(true)
		err := s.work(fullFor)
		d.full.Store(false)
		if err != nil {
			return err
		}
		if err := s.work(s.duration(2 * time.Second)); err != nil {
			return err
		}
	}
	if err := s.work(2 * time.Second); err != nil { // all have been restarted
		return err
	}
	if err := s.settle(); err != nil {
		return eris.Wrap(err, "long after the last disk had room")
	}
	return s.checkLeaders()
}

// checkLeaders lets replicas lead in turn and checks that each commits a command and has
// all that were acknowledged.
func (s *diskSeries) checkLeaders() error {
	for range s.daemons {
		if err := s.propose(); err != nil {
			return eris.Wrap(err, "propose long after the last disk had room")
		}
		leader, _ := s.leader()
		state := string(leader.state.all())
		for _, command := range s.acked {
			if strings.Count(state, command) != 1 {
				return eris.Errorf("%s has the acknowledged command %s %d times", leader.address, command, strings.Count(state, command))
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		err := leader.node.TransferLeadership(ctx)
		cancel()
		if err != nil {
			return eris.Wrap(err, "transfer leadership")
		}
		time.Sleep(time.Second)
	}
	return nil
}

// Guards against a log that refuses changes, lacks voters or loses what was acknowledged
// after the disks of its replicas were full one after the other, also if a disk is full
// at the first start or for so long that its voter is replaced.
func TestMembersAfterDisksWereFullInTurn(t *testing.T) {
	const seeds = 4
	for _, tt := range []struct{ disks, losses int }{{3, 1}, {4, 1}, {5, 1}, {5, 2}, {6, 2}} {
		for seed := range uint64(seeds) {
			t.Run(fmt.Sprintf("%d disks, %d losses, seed %d", tt.disks, tt.losses, seed), func(t *testing.T) {
				t.Parallel()
				dir := t.TempDir()
				synctest.Test(t, func(t *testing.T) {
					if err := newDiskSeries(dir, seed, tt.disks, tt.losses).play(); err != nil {
						t.Fatal(err)
					}
				})
			})
		}
	}
}
