package galenafleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenagate"
	"github.com/galenahead/galenahead/galenajob"
	"github.com/galenahead/galenahead/galenalog"
	"github.com/galenahead/galenahead/galenametric"
	"github.com/galenahead/galenahead/galenaraft"
	"github.com/galenahead/galenahead/galenarpc"
	"github.com/galenahead/galenahead/galenatimer"
	"github.com/galenahead/galenahead/galenawal"
)

// slowDir is a data directory on a disk that takes diskSyncTime for a sync, during which
// the calling thread is blocked.
type slowDir struct{ *galenawal.OSDir }

type slowFile struct{ galenawal.File }

const diskSyncTime = 6 * time.Millisecond

func (d slowDir) Open(name string) (galenawal.File, error) {
	f, err := d.OSDir.Open(name)
	return slowFile{f}, err
}

func (f slowFile) Sync() error {
	ts := unix.NsecToTimespec(diskSyncTime.Nanoseconds())
	_ = unix.Nanosleep(&ts, nil)
	return f.File.Sync()
}

// leasedInstances is a benchInstances whose runs end when their lease expires.
type leasedInstances struct {
	*benchInstances
	mu        sync.Mutex
	deadlines map[galenahead.InstanceID]int64
	lasting   map[galenajob.ItemID]galenahead.InstanceID
	// lapsed counts the long-running runs whose lease has expired.
	lapsed int
}

func (f *leasedInstances) extend(id galenahead.InstanceID, deadline int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deadlines[id] = max(f.deadlines[id], deadline)
}

func (f *leasedInstances) Start(ctx context.Context, a galenajob.Action, limit time.Duration) (galenajob.Outcome, int64, error) {
	f.extend(a.Instance.ID, a.Deadline)
	o, clock, err := f.benchInstances.Start(ctx, a, limit)
	if ms, _ := strconv.Atoi(a.Payload); ms == 0 {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.lasting[a.Item] = a.Instance.ID
	}
	return o, clock, err
}

func (f *leasedInstances) RenewAndPoll(ctx context.Context, req galenajob.PollRequest, wait, limit time.Duration) (galenajob.PollResponse, error) {
	f.extend(req.Instance.ID, req.Deadline)
	return f.benchInstances.RenewAndPoll(ctx, req, wait, limit)
}

// run checks the leases of the long-running runs until ctx ends.
func (f *leasedInstances) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		now := f.clock()
		f.mu.Lock()
		for item, id := range f.lasting {
			if now > f.deadlines[id] {
				f.lapsed++
				delete(f.lasting, item)
				f.end(f.byID[id], item, galenajob.EndLeaseExpired)
			}
		}
		f.mu.Unlock()
	}
}

func (f *leasedInstances) counts() (lasting, lapsed int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.lasting), f.lapsed
}

// overloadedFleet is a fleet of three replicas of the log with real sockets and disks, and
// an owner on each of them.
type overloadedFleet struct {
	owners    []*Owner
	addrs     []string
	instances *leasedInstances
	all       []galenajob.Instance
}

const (
	overloadInstances = 150
	overloadLasting   = 24
	overloadLastJobs  = 5
)

func newOverloadedFleet(ctx context.Context, t *testing.T) *overloadedFleet {
	f := &overloadedFleet{instances: &leasedInstances{
		benchInstances: &benchInstances{began: time.Now(), byID: map[galenahead.InstanceID]*benchInstance{}},
		deadlines:      map[galenahead.InstanceID]int64{}, lasting: map[galenajob.ItemID]galenahead.InstanceID{},
	}}
	capacity := galenajob.Resources{MilliCPU: 64000, MemoryMB: 128000}
	for i := range overloadInstances {
		in := galenajob.Instance{ID: galenahead.InstanceID(fmt.Sprintf("i-%04d", i)), Born: 1, Service: "counter", Address: "10.0.0.1:80", Capacity: capacity}
		f.all = append(f.all, in)
		f.instances.byID[in.ID] = &benchInstance{runs: map[galenajob.ItemID]benchRun{}, ended: make(chan struct{}, 1)}
	}
	var members []galenahead.Member
	var nodes []*galenaraft.Node
	var listeners []net.Listener
	for i := range 3 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		dir, err := galenawal.OpenDir(t.TempDir())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = dir.Close() })
		timers := &galenatimer.BootTimeService{}
		o, _ := testOwner()
		o.Name, o.Timers, o.Instances = galenahead.ReplicaName(strconv.Itoa(i)), timers, f.instances
		o.State = &State{Timers: timers, ProcessStart: time.Now().Round(0)}
		o.Params.StopTimeout, o.Params.MaxStarting = 200*time.Millisecond, 256
		o.Params.UnresponsiveAfter, o.Params.ResendInterval = 900*time.Millisecond, 150*time.Millisecond
		o.FinalJobRetention = 2 * time.Minute
		o.Gate = &galenagate.Gate{}
		w := galenalog.NewWriter(io.Discard)
		t.Cleanup(func() { _ = w.Close() })
		o.Logger = galenalog.New(w, logrus.InfoLevel)
		o.Metrics = &galenametric.Metrics{}
		client := &galenarpc.Client{Stamped: true}
		t.Cleanup(client.Close)
		// The timers of a control daemon.
		node, err := galenaraft.Open(galenaraft.Config{
			Name: o.Name, Dir: slowDir{dir}, StateMachine: o.State, RPCClient: client, Timers: timers, Tick: 25 * time.Millisecond,
			Heartbeat: 120 * time.Millisecond, Lease: 500 * time.Millisecond, MinElectionTimeout: 650 * time.Millisecond,
			MaxElectionTimeout: 1100 * time.Millisecond, CallTimeout: 650 * time.Millisecond,
		})
		if err != nil {
			t.Fatal(err)
		}
		o.Log = node
		f.owners, nodes, listeners = append(f.owners, o), append(nodes, node), append(listeners, ln)
		f.addrs = append(f.addrs, ln.Addr().String())
		members = append(members, galenahead.Member{Name: o.Name, Address: ln.Addr().String(), Incarnation: node.Status().Incarnation, Voter: true})
	}
	for i, node := range nodes {
		mux := &galenarpc.Mux{}
		node.Register(mux)
		f.owners[i].Register(mux)
		go func() { _ = (&galenarpc.Server{Mux: mux}).Serve(ctx, listeners[i]) }()
		go func() { _ = node.Run(ctx) }()
		go func() { _ = f.owners[i].Run(ctx) }()
	}
	if err := nodes[0].Bootstrap(ctx, members); err != nil {
		t.Fatal(err)
	}
	go f.instances.run(ctx)
	return f
}

// session returns the session of the present owner, or nil.
func (f *overloadedFleet) session() *ownerSession {
	for _, o := range f.owners {
		if sess, err := o.currentSession(); err == nil {
			return sess
		}
	}
	return nil
}

func (f *overloadedFleet) await(t *testing.T, what string, ready func(sess *ownerSession) bool) {
	t.Helper()
	for range 2000 {
		if sess := f.session(); sess != nil && ready(sess) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for %s", what)
}

// pressVariable names the owners' addresses to a process that presses them.
const pressVariable = "GALENA_PRESS_OWNERS"

// TestMain runs the tests, or the load of TestLeasesHoldWhileOwnerIsOverloaded in a process
// of its own.
func TestMain(m *testing.M) {
	addrs := os.Getenv(pressVariable)
	if addrs == "" {
		os.Exit(m.Run())
	}
	p := &pressure{addrs: strings.Split(addrs, ",")}
	answered := p.measure()
	p.press(int(pressFactor * answered))
	fmt.Printf("%.0f requests a second were answered alone, %d of %d when %.0f a second were sent\n",
		answered, p.answered.Load(), p.sent.Load(), pressFactor*answered)
}

const (
	measureTime      = time.Second
	pressTime        = 8 * time.Second
	pressConnections = 60
	measureAtOnce    = 8
	// pressFactor is how many times the requests are sent that the owner answers alone.
	pressFactor = 6.0
)

// pressure is the load of many daemons that send requests to the owner.
type pressure struct {
	addrs                []string
	jobs, sent, answered atomic.Int64
	// owner is the index of the address that was the owner's last.
	owner atomic.Int64
}

// measure returns how many requests a second the owner answers, a few at a time on each
// connection.
func (p *pressure) measure() float64 {
	ctx, cancel := context.WithTimeout(context.Background(), measureTime)
	defer cancel()
	var wg sync.WaitGroup
	for range pressConnections {
		client := &galenarpc.Client{Stamped: true}
		defer client.Close()
		for range measureAtOnce {
			wg.Go(func() {
				for ctx.Err() == nil {
					p.send(ctx, client)
				}
			})
		}
	}
	wg.Wait()
	return float64(p.answered.Swap(0)) / measureTime.Seconds()
}

// press sends rate requests a second for pressTime, whatever becomes of them.
func (p *pressure) press(rate int) {
	p.sent.Store(0)
	ctx, cancel := context.WithTimeout(context.Background(), pressTime)
	defer cancel()
	var wg sync.WaitGroup
	for range pressConnections {
		wg.Go(func() {
			client := &galenarpc.Client{Stamped: true}
			defer client.Close()
			start := time.Now()
			for i := 0; ctx.Err() == nil; i++ {
				time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second * pressConnections / time.Duration(rate))))
				wg.Go(func() { p.send(ctx, client) })
			}
			<-ctx.Done()
		})
	}
	wg.Wait()
}

// send sends a request, one of four for a new job, and waits for the answer as long as a
// daemon does.
func (p *pressure) send(ctx context.Context, client *galenarpc.Client) {
	p.sent.Add(1)
	r := Request{Kind: RequestState, Host: "h", Path: fmt.Sprintf("/counter0/job-%08d", rand.Int64N(p.jobs.Load()+1))}
	if rand.IntN(4) == 0 {
		r = Request{Kind: RequestSubmit, Host: "h", Path: fmt.Sprintf("/counter0/job-%08d", p.jobs.Add(1)), Spec: benchJob(8, []int{640}, 8000, 640*time.Millisecond, false)}
	}
	owner := p.owner.Load()
	callCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	switch err := client.Call(callCtx, p.addrs[int(owner)%len(p.addrs)], MethodDo, r, &Reply{}); {
	case err == nil:
		p.answered.Add(1)
	case errors.Is(err, galenahead.ErrNotLeader):
		p.owner.CompareAndSwap(owner, owner+1)
	}
}

// Guards against long-running work that lapses on sound instances because the owner is
// short of processor: the log and the renewal of leases waited behind requests and starts,
// so that the owner changed, and each change polled all instances anew.
func TestLeasesHoldWhileOwnerIsOverloaded(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f := newOverloadedFleet(ctx, t)
	cfg := Config{Version: 1, Services: []Service{{Name: "counter"}}}
	for i := range 2 {
		q := "counter" + strconv.Itoa(i)
		cfg.Queues = append(cfg.Queues, QueueRule{Name: q, Host: "h", Prefix: "/" + q + "/", Service: "counter", MaxAttempts: 3, Stretch: 1.6, TargetLatency: 600 * time.Millisecond})
	}
	f.await(t, "an owner", func(sess *ownerSession) bool {
		_, err := sess.Owner.Configure(ctx, cfg)
		return err == nil
	})
	for _, in := range f.all {
		f.await(t, "a registration", func(sess *ownerSession) bool {
			_, err := sess.Owner.Heartbeat(ctx, Heartbeat{Instance: in, Sequence: 1, Clock: f.instances.clock()})
			return err == nil
		})
	}
	for i := range overloadLastJobs {
		f.await(t, "a long-running job", func(sess *ownerSession) bool {
			r, err := sess.Owner.Do(ctx, Request{
				Kind: RequestSubmit, Host: "h", Path: "/counter1/lasting-" + strconv.Itoa(i), Spec: benchJob(overloadLasting, []int{0}, 9000, time.Second, true),
			})
			return err == nil && r.Outcome == OutcomeAccepted
		})
	}
	f.await(t, "the long-running runs", func(*ownerSession) bool {
		n, _ := f.instances.counts()
		return n == overloadLasting*overloadLastJobs
	})
	before := f.session()

	exe, err := os.Executable()
	is.NoErr(err)
	load := exec.CommandContext(ctx, exe)
	load.Env = append(os.Environ(), pressVariable+"="+strings.Join(f.addrs, ","))
	report, err := load.CombinedOutput()
	is.NoErr(err)
	lasting, lapsed := f.instances.counts()
	after := f.session()
	t.Logf("%d starts; %s", f.instances.starts.Load(), report)
	is.Equal(lapsed, 0)                                  // long-running runs whose lease expired
	is.Equal(lasting, overloadLasting*overloadLastJobs)  // long-running runs at work
	is.True(after != nil && after == before)             // the same session goes on
	is.True(f.instances.starts.Load() > overloadLasting) // and starts work
}
