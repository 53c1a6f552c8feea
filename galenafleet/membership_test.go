package galenafleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenametric"
	"github.com/galenahead/galenahead/galenaraft"
	"github.com/galenahead/galenahead/galenarpc"
	"github.com/galenahead/galenahead/galenatimer"
	"github.com/galenahead/galenahead/galenawal"
)

// memberSim is a simulated deployment of control daemons, some without a disk, that
// find each other through seeds.
type memberSim struct {
	dir    string
	losses int
	seeds  []string
	// startable reports that a seed has a disk, without which there is no bootstrap.
	startable bool
	// lossy makes the network delay and lose messages.
	lossy    bool
	daemons  []*simDaemon
	injected membershipFaults
	// snapshotEntries is the number of entries between two snapshots of the log, or zero
	// for the default.
	snapshotEntries uint64
	// catchUp is how long a lost daemon counts as lost after its successor has started, or
	// zero if that is not bounded.
	catchUp time.Duration
	// spread asks for voters in all data centres.
	spread bool

	mu   sync.Mutex
	rand *rand.Rand
	// bootstraps holds the members of each bootstrap of a log, by the address of the
	// replica that did it.
	bootstraps map[string][]galenahead.Member
	// refused reports that a daemon has logged that the log is not bootstrapped.
	refused bool
}

// simDaemon is a control daemon of a memberSim. node is nil if it has no disk.
type simDaemon struct {
	sim       *memberSim
	address   string
	disk      bool
	bootstrap bool
	// dataCentre is where the daemon runs.
	dataCentre galenahead.DataCentre
	// gone makes all calls to the daemon hang.
	gone atomic.Bool
	// mux serves the daemon's methods; nil while the daemon is down.
	mux       atomic.Pointer[galenarpc.Mux]
	directory *Directory
	node      *galenaraft.Node
	state     *recorder
	metrics   *galenametric.Metrics
	stop      func()
	// full makes writes to the disk fail. diskFailed is closed when the node has ended
	// because of that.
	full       atomic.Bool
	diskFailed chan struct{}
}

// recorder is a state machine that stores its commands.
type recorder struct{ commands atomic.Pointer[[]byte] }

func (r *recorder) Apply(_ uint64, command []byte) []byte {
	all := slices.Concat(r.all(), command)
	r.commands.Store(&all)
	return nil
}

func (r *recorder) all() []byte {
	if p := r.commands.Load(); p != nil {
		return *p
	}
	return nil
}

func (r *recorder) Snapshot() ([]byte, error) { return r.all(), nil }

func (r *recorder) Restore(b []byte) error {
	r.commands.Store(&b)
	return nil
}

// bootstrapRecorder records the bootstraps of a log, also those that may have been
// carried out.
type bootstrapRecorder struct {
	*galenaraft.Node
	daemon *simDaemon
}

func (b bootstrapRecorder) Bootstrap(ctx context.Context, members []galenahead.Member) error {
	err := b.Node.Bootstrap(ctx, members)
	if err == nil || errors.Is(err, galenahead.ErrNoQuorum) {
		sim := b.daemon.sim
		sim.mu.Lock()
		defer sim.mu.Unlock()
		sim.bootstraps[b.daemon.address] = members
	}
	return err
}

// refusalHook records the refusal to bootstrap.
type refusalHook struct{ sim *memberSim }

func (refusalHook) Levels() []logrus.Level { return []logrus.Level{logrus.ErrorLevel} }

func (h refusalHook) Fire(*logrus.Entry) error {
	h.sim.mu.Lock()
	defer h.sim.mu.Unlock()
	h.sim.refused = true
	return nil
}

func newMemberSim(dir string, seed uint64) *memberSim {
	sim := &memberSim{
		dir: dir, rand: rand.New(rand.NewPCG(seed, seed)), bootstraps: map[string][]galenahead.Member{},
	}
	sim.losses = 1 + sim.rand.IntN(2)
	sim.lossy = sim.rand.IntN(2) == 0
	disks, diskless := 1+sim.rand.IntN(7), sim.rand.IntN(5)
	for i := range disks + diskless {
		sim.daemons = append(sim.daemons, &simDaemon{sim: sim, disk: i < disks, bootstrap: true})
	}
	sim.rand.Shuffle(len(sim.daemons), func(i, j int) { sim.daemons[i], sim.daemons[j] = sim.daemons[j], sim.daemons[i] })
	for i, d := range sim.daemons {
		d.address = fmt.Sprintf("10.0.0.%d:7000", 10+i)
		sim.seeds = append(sim.seeds, d.address)
	}
	sim.rand.Shuffle(len(sim.seeds), func(i, j int) { sim.seeds[i], sim.seeds[j] = sim.seeds[j], sim.seeds[i] })
	sim.seeds = sim.seeds[:min(3, len(sim.seeds))]
	sim.startable = slices.ContainsFunc(sim.seeds, func(a string) bool { return sim.find(a).disk })
	return sim
}

// intN, perm and duration return random numbers for concurrent callers.
func (sim *memberSim) intN(n int) int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.rand.IntN(n)
}

func (sim *memberSim) perm(n int) []int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.rand.Perm(n)
}

func (sim *memberSim) duration(most time.Duration) time.Duration {
	return time.Duration(sim.intN(int(most)))
}

func (sim *memberSim) find(address string) *simDaemon {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, d := range sim.daemons {
		if d.address == address {
			return d
		}
	}
	return nil
}

// Call implements galenahead.RPCClient. On a lossy network, one in fifty calls is
// lost, and one in twenty is late; a late call is carried out even if the caller has
// given up.
func (sim *memberSim) Call(ctx context.Context, address, method string, params, result any) error {
	if sim.lossy && sim.intN(50) == 0 {
		<-ctx.Done()
		return ctx.Err()
	}
	delay := sim.duration(4 * time.Millisecond)
	if sim.lossy && sim.intN(20) == 0 {
		delay = sim.duration(time.Second)
	}
	done := make(chan error, 1)
	var out json.RawMessage
	go func() {
		time.Sleep(delay)
		if sim.find(address).gone.Load() {
			<-ctx.Done()
			done <- ctx.Err()
			return
		}
		mux := sim.find(address).mux.Load()
		if mux == nil {
			done <- eris.Wrap(galenahead.ErrUnreachable, "daemon is down")
			return
		}
		callCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		done <- mux.Call(callCtx, method, params, &out)
	}()
	select {
	case err := <-done:
		if err != nil {
			return err
		}
		return json.Unmarshal(out, result)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// start starts the daemon as a new process.
func (d *simDaemon) start() {
	if err := d.tryStart(); err != nil {
		panic(err)
	}
}

// tryStart starts the daemon unless its disk is full.
func (d *simDaemon) tryStart() error {
	sim := d.sim
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	logger.AddHook(refusalHook{sim})
	timers := &galenatimer.Service{}
	directory := &Directory{RPCClient: sim, Timers: timers, Logger: logger}
	directory.SetSeeds(sim.seeds)
	d.directory = directory
	mux := &galenarpc.Mux{}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	d.node = nil
	closeDir := func() error { return nil }
	if d.disk {
		d.state = &recorder{}
		dir, err := galenawal.OpenDir(d.dataDirectory())
		if err != nil {
			cancel()
			return err
		}
		closeDir = dir.Close
		failed := make(chan struct{})
		node, err := galenaraft.Open(galenaraft.Config{
			Name: galenahead.ReplicaName(d.address), Dir: fullDir{dir, d}, StateMachine: d.state, RPCClient: sim, Timers: timers,
			Tick: 25 * time.Millisecond, Heartbeat: 120 * time.Millisecond, Lease: 500 * time.Millisecond,
			MinElectionTimeout: 650 * time.Millisecond, MaxElectionTimeout: 1100 * time.Millisecond, CallTimeout: 400 * time.Millisecond,
			SnapshotEntries: sim.snapshotEntries, RetainedEntries: sim.snapshotEntries / 2, Fatal: func(error) { close(failed) },
		})
		if err != nil {
			cancel()
			return errors.Join(err, closeDir())
		}
		d.node, d.diskFailed = node, failed
		d.metrics = &galenametric.Metrics{}
		node.Register(mux)
		self := galenahead.Member{Name: galenahead.ReplicaName(d.address), Address: d.address, Incarnation: node.Status().Incarnation}
		directory.Self = func() LeaderInfo {
			st := node.Status()
			return LeaderInfo{
				Self: self, DataCentre: d.dataCentre, Blank: st.Role == roleBlank, Term: st.Term, Members: st.Members,
				Leader: string(st.Leader), Silence: directory.Silence(st),
			}
		}
		directory.Announce = true
		mm := &MembershipManager{
			Self: self, Log: bootstrapRecorder{node, d}, Directory: directory, Timers: timers, Logger: logger, Metrics: d.metrics,
			Bootstrap: d.bootstrap, Seeds: sim.seeds, VoterCount: sim.voterCount(), CatchUp: sim.catchUp,
			DataCentre: d.dataCentre, SpreadVoters: sim.spread, injected: sim.injected,
		}
		group.Go(func() error { return node.Run(ctx) })
		group.Go(func() error { return mm.Run(ctx) })
	} else {
		directory.Self = func() LeaderInfo {
			members, term := directory.Members()
			return LeaderInfo{Self: galenahead.Member{Address: d.address}, NoReplica: true, Members: members, Term: term}
		}
	}
	directory.Register(mux)
	group.Go(func() error { return directory.Run(ctx) })
	d.mux.Store(mux)
	d.stop = func() {
		d.mux.Store(nil)
		cancel()
		_ = group.Wait()
		_ = closeDir()
	}
	return nil
}

func (d *simDaemon) dataDirectory() string { return filepath.Join(d.sim.dir, d.address) }

func (sim *memberSim) voterCount() int { return 2*sim.losses + 1 }

func (sim *memberSim) withDisk() []*simDaemon {
	return slices.DeleteFunc(slices.Clone(sim.daemons), func(d *simDaemon) bool { return !d.disk })
}

// startAll starts all daemons in a random order, within 0.3 s or, in one of four
// simulations, within 2 s.
func (sim *memberSim) startAll() {
	spread := 300 * time.Millisecond
	if sim.intN(4) == 0 {
		spread = 2 * time.Second
	}
	var group errgroup.Group
	for _, d := range sim.daemons {
		delay := sim.duration(spread)
		group.Go(func() error { time.Sleep(delay); d.start(); return nil })
	}
	_ = group.Wait()
}

func (sim *memberSim) stopAll() {
	for _, d := range sim.daemons {
		d.stop()
	}
}

// leader returns the daemon that leads the log, if there is one.
func (sim *memberSim) leader() (*simDaemon, bool) {
	for _, d := range sim.withDisk() {
		if d.node != nil && d.node.HoldsLease() {
			return d, true
		}
	}
	return nil, false
}

// checkMembers fails unless there is one log, all replicas are its members, and it
// has as many voters as it should.
func (sim *memberSim) checkMembers() error {
	if len(sim.bootstraps) > 1 {
		return eris.Errorf("%d replicas have bootstrapped a log", len(sim.bootstraps))
	}
	leader, ok := sim.leader()
	if !sim.startable {
		if ok || len(sim.bootstraps) > 0 || !sim.refused {
			return eris.New("no seed has a disk, but the log was bootstrapped or the refusal is not logged")
		}
		return nil
	}
	if !ok {
		return eris.New("no leader")
	}
	disks := sim.withDisk()
	members := leader.node.Status().Members
	voters := 0
	for _, m := range members {
		if m.Voter {
			voters++
		}
	}
	want := min(sim.voterCount(), len(disks))
	if len(members) != len(disks) || voters < want {
		return eris.Errorf("%d members with %d voters, want %d with at least %d", len(members), voters, len(disks), want)
	}
	for _, d := range sim.daemons {
		if got, _ := d.directory.Leader(); got != leader.address {
			return eris.Errorf("%s names %q as the leader, want %q", d.address, got, leader.address)
		}
	}
	missing := int64(sim.voterCount() - want)
	if got := leader.metrics.Snapshot().Counters[missingVotersMetric]; got != missing {
		return eris.Errorf("%d voters are reported as missing, want %d", got, missing)
	}
	return nil
}

// settleTime is long enough for the bootstrap, for all changes of the members, and
// for the report of missing voters.
const settleTime = 25 * time.Second

// settle waits until all daemons have settled. It checks them several times, since
// a daemon that has just lost a message may search for the leader.
func (sim *memberSim) settle() error {
	time.Sleep(settleTime)
	var err error
	for range 10 {
		if err = sim.checkMembers(); err == nil {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return err
}

// bootstrapTime is long enough for the bootstrap unless daemons restart.
const bootstrapTime = 6 * time.Second

// play starts the deployment, restarts some of its daemons, and finally restarts all
// at once without as many disks as the settings allow to be lost.
func (sim *memberSim) play() error {
	defer sim.end()
	restarts := sim.intN(4)
	if err := sim.playStart(restarts); err != nil {
		return err
	}
	if err := sim.settle(); err != nil {
		return eris.Wrap(err, "after the start")
	}
	disks := sim.withDisk()
	if !sim.startable || len(disks) < sim.voterCount() {
		return nil
	}
	if err := sim.playSeedsWithoutDisk(); err != nil {
		return err
	}
	return sim.playDiskLosses(disks)
}

// playSeedsWithoutDisk replaces the seeds by daemons without a disk, and restarts
// these all at once.
func (sim *memberSim) playSeedsWithoutDisk() error {
	var seeds []string
	for _, d := range sim.daemons {
		if !d.disk {
			seeds = append(seeds, d.address)
		}
	}
	if len(seeds) == 0 {
		return nil
	}
	sim.seeds = seeds
	for _, d := range sim.daemons {
		if d.disk {
			d.directory.SetSeeds(seeds)
			continue
		}
		d.stop()
	}
	for _, a := range seeds {
		sim.find(a).start()
	}
	return eris.Wrap(sim.settle(), "after the restart of seeds without a disk")
}

// end stops all daemons and waits for late calls.
func (sim *memberSim) end() {
	sim.stopAll()
	time.Sleep(3 * time.Second)
}

// playStart starts the deployment and restarts some of its daemons.
func (sim *memberSim) playStart(restarts int) error {
	sim.startAll()
	for range restarts {
		time.Sleep(sim.duration(time.Second))
		d := sim.daemons[sim.intN(len(sim.daemons))]
		d.stop()
		time.Sleep(sim.duration(500 * time.Millisecond))
		d.start()
	}
	time.Sleep(bootstrapTime)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if len(sim.bootstraps) > 1 {
		return eris.Errorf("%d replicas have bootstrapped a log", len(sim.bootstraps))
	}
	disks := len(sim.withDisk())
	if restarts > 0 || sim.lossy && disks < sim.voterCount() {
		return nil // a replica may be out of reach when the wait for it ends
	}
	for _, members := range sim.bootstraps {
		if want := min(sim.voterCount(), disks); len(members) < want {
			return eris.Errorf("log bootstrapped with %d members, want at least %d", len(members), want)
		}
	}
	return nil
}

func (sim *memberSim) playDiskLosses(disks []*simDaemon) error {
	const command = "acknowledged"
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	leader, _ := sim.leader()
	if _, err := leader.node.Propose(ctx, []byte(command)); err != nil {
		return eris.Wrap(err, "propose")
	}
	sim.stopAll()
	lost := sim.rand.Perm(len(disks))[:sim.losses]
	for _, i := range lost {
		disks[i].bootstrap = false
		if err := os.RemoveAll(disks[i].dataDirectory()); err != nil {
			return err
		}
	}
	sim.startAll()
	if err := sim.settle(); err != nil {
		return eris.Wrap(err, "after the loss of disks")
	}
	leader, _ = sim.leader()
	if got := string(leader.state.all()); got != command {
		return eris.Errorf("the log has the commands %q, want %q", got, command)
	}
	return nil
}

// Guards against a second log, against replicas that never join and daemons that
// never find the leader, and against a log with so few voters that the tolerated
// losses of disks lose what was acknowledged, when some control daemons and some or
// all seeds have no disk.
func TestBootstrapSimulations(t *testing.T) {
	simulations := 48
	if n, err := strconv.Atoi(os.Getenv("GALENA_HISTORIES")); err == nil {
		simulations = n
	}
	for seed := range uint64(simulations) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			synctest.Test(t, func(t *testing.T) {
				sim := newMemberSim(dir, seed)
				if err := sim.play(); err != nil {
					t.Fatalf("%d losses, seeds %v: %v", sim.losses, sim.seeds, err)
				}
			})
		})
	}
}

// Guards against checks of the simulation that do not detect faults in the
// bootstrap.
func TestBootstrapSimulationsDetectFaults(t *testing.T) {
	const secondLog, fewMembers = "replicas have bootstrapped a log", "log bootstrapped with"
	// Silent seeds matter in one of some eighty seeds, and the order of goroutines varies.
	const maxSeeds = 2000
	for _, tt := range []struct {
		name   string
		faults membershipFaults
		want   string
	}{
		{"any seed decides", membershipFaults{anySeedDecides: true}, secondLog},
		{"silent seeds are ignored", membershipFaults{ignoreSilentSeeds: true, skipWait: true}, secondLog},
		{"no wait for replicas", membershipFaults{skipWait: true}, fewMembers},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			detected := false
			for seed := uint64(0); seed < maxSeeds && !detected; seed++ {
				dir := t.TempDir()
				synctest.Test(t, func(*testing.T) {
					sim := newMemberSim(dir, seed)
					sim.injected = tt.faults
					defer sim.end()
					err := sim.playStart(0)
					detected = err != nil && strings.Contains(err.Error(), tt.want)
				})
			}
			is.New(t).True(detected)
		})
	}
}
