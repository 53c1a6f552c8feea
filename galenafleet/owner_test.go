package galenafleet

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"slices"
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
	"github.com/galenahead/galenahead/galenajob"
	"github.com/galenahead/galenahead/galenametric"
	"github.com/galenahead/galenahead/galenatimer"
)

// fakeLog is the log of a single replica. Tests can take away its lease and its
// quorum.
type fakeLog struct {
	galenahead.ReplicatedLog
	state *State
	// holdsLease is whether the replica leads. gap takes away the lease alone.
	holdsLease, gap, blocked atomic.Bool
	// terms counts the terms before the present one, which is 1 in the zero value.
	terms atomic.Uint64
	// delay is how long it takes to commit an entry.
	delay atomic.Int64
	// maxCommand is the size of the longest command that is accepted, or zero.
	maxCommand atomic.Int64
	index      uint64
}

func (l *fakeLog) HoldsLease() bool                            { return l.holdsLease.Load() && !l.gap.Load() }
func (l *fakeLog) Diagnostics() map[string]any                 { return map[string]any{"replica": "a"} }
func (l *fakeLog) RecentDelays() (loopGap, sync time.Duration) { return 0, 0 }
func (l *fakeLog) ReadBarrier(context.Context) error           { return nil }
func (l *fakeLog) Status() galenahead.LogStatus {
	return galenahead.LogStatus{Members: []galenahead.Member{{Name: "a", Voter: true}}}
}
func (l *fakeLog) LeaderTerm() (term uint64, leased bool) {
	if !l.holdsLease.Load() {
		return 0, false
	}
	return 1 + l.terms.Load(), l.HoldsLease()
}

func (l *fakeLog) ProposeInTerm(ctx context.Context, term uint64, command []byte) ([]byte, error) {
	if leads, leased := l.LeaderTerm(); leads != term || !leased {
		return nil, galenahead.ErrNotLeader
	}
	return l.Propose(ctx, command)
}

func (l *fakeLog) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if l.blocked.Load() {
		<-ctx.Done()
		return nil, galenahead.ErrNoQuorum
	}
	if delay := time.Duration(l.delay.Load()); delay > 0 {
		select {
		case <-ctx.Done():
			return nil, galenahead.ErrNoQuorum
		case <-time.After(delay):
		}
	}
	if limit := l.maxCommand.Load(); limit > 0 && int64(len(command)) > limit {
		return nil, eris.Wrap(galenahead.ErrInvalid, "command is too long")
	}
	l.index++
	return l.state.Apply(l.index, command), nil
}

// fakeInstances accepts every command, and ends all runs at the next poll.
type fakeInstances struct {
	mu      sync.Mutex
	running map[galenajob.ItemID]int64
	ends    []galenajob.End
	// onEnd is called once, when ends are first listed.
	onEnd func()
}

func (f *fakeInstances) Start(_ context.Context, a galenajob.Action, _ time.Duration) (galenajob.Outcome, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[a.Item] = a.Run
	return galenajob.OutcomeDone, 1000, nil
}

func (f *fakeInstances) Stop(context.Context, galenajob.Action, time.Duration) (galenajob.Outcome, int64, error) {
	return galenajob.OutcomeDone, 1000, nil
}

func (f *fakeInstances) Pace(context.Context, galenajob.Action, time.Duration) error { return nil }

func (f *fakeInstances) RenewAndPoll(_ context.Context, req galenajob.PollRequest, wait, _ time.Duration) (galenajob.PollResponse, error) {
	time.Sleep(wait)
	f.mu.Lock()
	defer f.mu.Unlock()
	for item, run := range f.running {
		f.ends = append(f.ends, galenajob.End{Sequence: int64(len(f.ends) + 1), Item: item, Number: run, Reason: galenajob.EndDone})
		delete(f.running, item)
	}
	if f.onEnd != nil && len(f.ends) > 0 {
		f.onEnd()
		f.onEnd = nil
	}
	return galenajob.PollResponse{Clock: 1000, Born: req.Instance.Born, Ends: slices.Clone(f.ends)}, nil
}

// fakeMachines fails to list machines.
type fakeMachines struct{ MachineClient }

func (fakeMachines) List(context.Context) ([]Machine, error) { return nil, eris.New("no list") }

func testOwner() (*Owner, *fakeLog) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	s := &State{Timers: &galenatimer.Service{}}
	l := &fakeLog{state: s}
	l.holdsLease.Store(true)
	return &Owner{
		Name: "a", Log: l, State: s, Instances: &fakeInstances{running: map[galenajob.ItemID]int64{}}, Machines: fakeMachines{},
		Timers: s.Timers, Logger: logger, Metrics: &galenametric.Metrics{}, FinalJobRetention: time.Minute,
		Params: testOwnerParams(),
	}, l
}

func testOwnerParams() galenajob.Params {
	return galenajob.Params{
		Lease: 4 * time.Second, UnresponsiveAfter: time.Second, ResendInterval: 100 * time.Millisecond, SuspectTime: time.Second,
		RestartDelay: 50 * time.Millisecond, DrainGracePeriod: time.Second, GoneAfter: 10 * time.Second,
	}
}

var testConfig = Config{
	Version: 1, Services: []Service{{Name: "counter"}},
	Queues: []QueueRule{{Name: "q", Host: "h", Prefix: "/q/", Service: "counter", MaxAttempts: 2, Stretch: 1.6}},
}

// testHeartbeat is the first heartbeat of an instance.
var testHeartbeat = Heartbeat{Sequence: 1, Clock: 1000, Instance: galenajob.Instance{
	ID: "i", Born: 1, Service: "counter", Capacity: galenajob.Resources{MilliCPU: 1000},
}}

// startOwner runs o, which becomes the owner, and applies a configuration. stop ends
// it.
func startOwner(t *testing.T, o *Owner, cfg Config) (ctx context.Context, stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = o.Run(ctx) }()
	time.Sleep(100 * time.Millisecond)
	if _, err := o.Configure(ctx, cfg); err != nil {
		t.Fatal(err)
	}
	return ctx, func() { cancel(); synctest.Wait() }
}

// Guards against any break in the path of a job from acceptance to completion.
func TestJobRunsFromSubmitToCompletion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = o.Run(ctx) }()
		time.Sleep(100 * time.Millisecond)
		submit := Request{Kind: RequestSubmit, Host: "h", Path: "/q/j1", Spec: &galenajob.Spec{Steps: []galenajob.Step{{Count: 2}, {Count: 1, After: []int{0}}}}}

		r, err := o.Do(ctx, submit)
		is.NoErr(err)
		is.Equal(r.Outcome, OutcomeUnready) // no configuration yet
		_, err = o.Configure(ctx, testConfig)
		is.NoErr(err)
		_, err = o.Heartbeat(ctx, testHeartbeat)
		is.NoErr(err)
		for range 2 {
			r, err = o.Do(ctx, submit)
			is.NoErr(err)
			is.Equal(r.Outcome, OutcomeAccepted) // also if it is sent again
		}
		time.Sleep(5 * time.Second)
		r, err = o.Do(ctx, Request{Kind: RequestState, Host: "h", Path: "/q/j1"})
		is.NoErr(err)
		is.Equal(r.State, galenajob.StateCompleted)
		r, err = o.Do(ctx, Request{Kind: RequestState, Host: "h", Path: "/q/j2"})
		is.NoErr(err)
		is.Equal(r.Outcome, OutcomeNoJob)
		cancel()
		synctest.Wait()
	})
}

// Guards against answers from an owner that has lost its lease or its quorum.
func TestOwnerWithoutLeaseOrQuorumReturnsErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, l := testOwner()
		ctx, stop := startOwner(t, o, testConfig)

		l.holdsLease.Store(false)
		_, err := o.Configuration(ctx, Empty{})
		is.True(eris.Is(err, galenahead.ErrNotLeader))
		time.Sleep(time.Second)
		l.holdsLease.Store(true)
		time.Sleep(time.Second)
		d, err := o.Configuration(ctx, Empty{})
		is.NoErr(err)
		is.Equal(d.Version, uint64(1))

		l.blocked.Store(true)
		began := time.Now()
		_, err = o.Configure(ctx, Config{Version: 2})
		is.True(eris.Is(err, galenahead.ErrNoQuorum))
		is.True(time.Since(began) <= commitTimeout+time.Second)
		stop()
	})
}

// Guards against a durable job, instance or end of a run on which the owner does not
// act, because the caller disconnected or the instance deregistered during the
// commit.
func TestActsOnCommittedRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, l := testOwner()
		ctx, stop := startOwner(t, o, testConfig)
		l.delay.Store(int64(50 * time.Millisecond))
		shortLivedCtx := func() context.Context {
			c, cancel := context.WithCancel(ctx)
			time.AfterFunc(20*time.Millisecond, cancel)
			return c
		}

		hb := testHeartbeat
		_, _ = o.Heartbeat(shortLivedCtx(), hb)
		hb.Sequence++
		_, err := o.Heartbeat(ctx, hb)
		is.NoErr(err)
		submit := Request{Kind: RequestSubmit, Host: "h", Path: "/q/j1", Spec: &galenajob.Spec{Steps: []galenajob.Step{{Count: 2}, {Count: 1, After: []int{0}}}}}
		_, _ = o.Do(shortLivedCtx(), submit)
		r, err := o.Do(ctx, submit)
		is.NoErr(err)
		is.Equal(r.Outcome, OutcomeAccepted)

		// The instance deregisters while the ends of the first step are committed.
		f := o.Instances.(*fakeInstances)
		f.mu.Lock()
		f.onEnd = func() {
			go func() { _, _ = o.Leave(ctx, LeaveRequest{ID: "i", Born: 1}) }()
		}
		f.mu.Unlock()
		time.Sleep(2 * time.Second)
		hb.Sequence, hb.Instance.ID = 1, "i2"
		_, err = o.Heartbeat(ctx, hb)
		is.NoErr(err)
		time.Sleep(8 * time.Second)
		r, err = o.Do(ctx, Request{Kind: RequestState, Host: "h", Path: "/q/j1"})
		is.NoErr(err)
		is.Equal(r.State, galenajob.StateCompleted)
		stop()
	})
}

// Guards against acknowledging that an instance drains before that is durable, because a
// repeat of its heartbeat arrived while the first copy was being committed.
func TestRepeatedHeartbeatWaitsForTheFirstOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, log := testOwner()
		ctx, stop := startOwner(t, o, testConfig)
		_, err := o.Heartbeat(ctx, testHeartbeat)
		is.NoErr(err)
		late := testHeartbeat
		late.Sequence = 2
		hb := testHeartbeat
		hb.Sequence, hb.Instance.Draining = 3, true

		log.delay.Store(int64(700 * time.Millisecond))
		go func() { _, _ = o.Heartbeat(ctx, hb) }()
		time.Sleep(attemptTimeout)
		for _, repeat := range []Heartbeat{hb, late} {
			_, err = o.Heartbeat(ctx, repeat)
			is.NoErr(err)
			in, _ := o.State.instance("i")
			is.True(in.Draining)
		}

		hb.Sequence, hb.Instance.Born = 1, 2 // started again
		log.blocked.Store(true)
		go func() { _, _ = o.Heartbeat(ctx, hb) }()
		time.Sleep(attemptTimeout)
		_, err = o.Heartbeat(ctx, hb)
		in, _ := o.State.instance("i")
		is.Equal(in.Born, int64(1))
		is.True(err != nil)
		stop()
	})
}

// Guards against a cancelled job that runs, because the cancellation arrived while the job
// was being submitted and was answered with "no such job".
func TestCancelWaitsForSubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, log := testOwner()
		ctx, stop := startOwner(t, o, testConfig)
		log.delay.Store(int64(300 * time.Millisecond))
		submit := Request{Kind: RequestSubmit, Host: "h", Path: "/q/j1", Spec: &galenajob.Spec{Steps: []galenajob.Step{{Count: 1}}}}
		go func() { _, _ = o.Do(ctx, submit) }()
		time.Sleep(100 * time.Millisecond)
		r, err := o.Do(ctx, Request{Kind: RequestCancel, Host: "h", Path: "/q/j1"})
		is.NoErr(err)
		is.Equal(r.Outcome, OutcomeAccepted)
		time.Sleep(time.Second)
		_, _, state, _ := o.State.JobState("j1")
		is.Equal(state, galenajob.StateCancelled)

		// A submission whose outcome is unknown leaves that of the cancellation open.
		log.blocked.Store(true)
		submit.Path = "/q/j2"
		go func() { _, _ = o.Do(ctx, submit) }()
		time.Sleep(100 * time.Millisecond)
		_, err = o.Do(ctx, Request{Kind: RequestCancel, Host: "h", Path: "/q/j2"})
		is.True(err != nil)
		stop()
	})
}

// Guards against a job that stays scheduled after it was cancelled, because its submission
// passed it to the scheduler after the cancellation.
func TestJobCancelledDuringSubmissionIsNotScheduled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, log := testOwner()
		ctx, stop := startOwner(t, o, testConfig)
		sess := o.session.Load()
		// The submission is under way until it has passed the job on.
		sess.beginSubmit("j1")
		is.True(sess.submitsAlone("j1"))
		_, err := sess.committer.commit(Op{Submit: &galenajob.Job{
			ID: "j1", Queue: "q", Service: "counter", Spec: galenajob.Spec{Steps: []galenajob.Step{{Count: 1}}},
		}})
		is.NoErr(err)
		before := log.index
		answered := make(chan Reply, 1)
		go func() {
			r, _ := o.Do(ctx, Request{Kind: RequestCancel, Host: "h", Path: "/q/j1"})
			answered <- r
		}()
		time.Sleep(100 * time.Millisecond)
		is.Equal(log.index, before) // not cancelled yet
		sess.endSubmit("j1")
		is.Equal((<-answered).Outcome, OutcomeAccepted)
		stop()
	})
}

// Guards against one job or configuration that is too large for the log and, each time that
// it is sent, ends the owner's session and leaves the outcome of all other requests open.
func TestTooLargeRequestIsRefusedAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, log := testOwner()
		ctx, stop := startOwner(t, o, testConfig)
		epoch := o.session.Load().epoch
		log.maxCommand.Store(4 << 10)
		log.delay.Store(int64(50 * time.Millisecond))
		submit := func(path string, steps int) Reply {
			r, err := o.Do(ctx, Request{Kind: RequestSubmit, Host: "h", Path: path, Spec: &galenajob.Spec{Steps: make([]galenajob.Step, steps)}})
			is.NoErr(err)
			return r
		}
		var group errgroup.Group
		for i := range 4 {
			// These share one log entry, which the large one makes too long.
			group.Go(func() error { is.Equal(submit(fmt.Sprint("/q/j", i), 1).Outcome, OutcomeAccepted); return nil })
		}
		group.Go(func() error { is.Equal(submit("/q/large", 2000).Outcome, OutcomeInvalid); return nil })
		_ = group.Wait()
		_, _, _, known := o.State.JobState("large")
		is.True(!known)

		large := testConfig
		large.Version, large.Source = 2, make([]byte, 8<<10)
		_, err := o.Configure(ctx, large)
		is.True(eris.Is(err, galenahead.ErrInvalid))
		is.Equal(o.State.Config().Version, uint64(1))
		time.Sleep(time.Second)
		is.Equal(o.session.Load().epoch, epoch)
		stop()
	})
}

// Guards against a late copy of the deregistration of an earlier incarnation that removes
// the present one, whose work would then start elsewhere as well, because the present one
// was being registered when the copy arrived.
func TestLateLeaveKeepsNewIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, log := testOwner()
		ctx, stop := startOwner(t, o, testConfig)
		_, err := o.Heartbeat(ctx, testHeartbeat)
		is.NoErr(err)
		again := testHeartbeat
		again.Instance.Born = 2
		log.delay.Store(int64(200 * time.Millisecond))
		go func() { _, _ = o.Heartbeat(ctx, again) }()
		time.Sleep(100 * time.Millisecond)
		_, err = o.Leave(ctx, LeaveRequest{ID: "i", Born: 1})
		is.NoErr(err)
		time.Sleep(time.Second)
		in, ok := o.State.instance("i")
		is.True(ok)
		is.Equal(in.Born, int64(2))
		o.session.Load().shardFor("counter").inspect(func(_ time.Time, s *galenajob.Scheduler) {
			is.Equal(s.Instances(), []galenahead.InstanceID{"i"})
		})
		stop()
	})
}

// Guards against an instance that gets work after it has left, because a late copy of its
// last heartbeat registered it again.
func TestLateHeartbeatDoesNotRegisterInstanceThatLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		ctx, stop := startOwner(t, o, testConfig)
		_, err := o.Heartbeat(ctx, testHeartbeat)
		is.NoErr(err)
		_, err = o.Leave(ctx, LeaveRequest{ID: "i", Born: 1})
		is.NoErr(err)
		late := testHeartbeat
		late.Sequence = 2
		_, err = o.Heartbeat(ctx, late)
		is.NoErr(err)
		_, ok := o.State.instance("i")
		is.True(!ok)

		late.Instance.Born, late.Sequence = 2, 1 // started again
		_, err = o.Heartbeat(ctx, late)
		is.NoErr(err)
		_, ok = o.State.instance("i")
		is.True(ok)
		stop()
	})
}

// Guards against a registered instance that never gets work, because it sent a
// heartbeat while the scheduler removed it.
func TestReregisteredInstanceGetsWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		ctx, stop := startOwner(t, o, testConfig)
		hb := testHeartbeat
		_, err := o.Heartbeat(ctx, hb)
		is.NoErr(err)
		o.session.Load().shardFor("counter").removeInstance("i")
		hb.Sequence++
		_, err = o.Heartbeat(ctx, hb)
		is.NoErr(err)
		_, err = o.Do(ctx, Request{Kind: RequestSubmit, Host: "h", Path: "/q/j1", Spec: &galenajob.Spec{Steps: []galenajob.Step{{Count: 1}}}})
		is.NoErr(err)
		time.Sleep(5 * time.Second)
		r, err := o.Do(ctx, Request{Kind: RequestState, Host: "h", Path: "/q/j1"})
		is.NoErr(err)
		is.Equal(r.State, galenajob.StateCompleted)
		stop()
	})
}

// Guards against a new owner that stops the running work of earlier owners, because it
// polls instances before it has loaded their jobs.
func TestNewOwnerKeepsRunsOfEarlierOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const jobs = 500
		sim := newFleetSimulation(0)
		m := sim.machines["m0"]
		o, _ := testOwner()
		o.Instances, o.Machines = sim, sim
		apply(t, o.State, Op{Owner: &OwnerOp{"b"}}, Op{Instance: &galenajob.Instance{
			ID: m.life.id, Born: m.life.born, Service: "counter", Capacity: galenajob.Resources{MilliCPU: jobs, MemoryMB: jobs},
		}})
		spec := galenajob.Spec{Steps: []galenajob.Step{{Count: 1, Need: galenajob.Resources{MilliCPU: 1}, LongRunning: true}}}
		for i := range jobs {
			id := galenahead.JobID(fmt.Sprint("j", i))
			apply(t, o.State, Op{Submit: &galenajob.Job{ID: id, Queue: "q", Service: "counter", Spec: spec}})
			m.life.runs[galenajob.ItemID{Job: id}] = &simRun{1001, time.Now()}
		}
		_, stop := startOwner(t, o, testConfig)
		time.Sleep(time.Second)
		sim.mu.Lock()
		stopped, running := len(m.life.ends), len(m.life.runs)
		sim.mu.Unlock()
		stop()
		time.Sleep(time.Second)
		is.Equal(stopped, 0)
		is.Equal(running, jobs)
	})
}

// Guards against a large configuration that is committed once for each time that an
// operator sends it while its commit is slow.
func TestConfigurationSentAgainIsCommittedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, log := testOwner()
		ctx, stop := startOwner(t, o, testConfig)
		log.delay.Store(int64(200 * time.Millisecond))
		before := log.index
		c := testConfig
		c.Version = 2
		var group errgroup.Group
		for range 8 {
			group.Go(func() error { _, err := o.Configure(ctx, c); return err })
		}
		is.NoErr(group.Wait())
		is.Equal(o.State.Config().Version, uint64(2))
		is.Equal(log.index, before+1)
		stop()
	})
}

// hangingInstances answers no start, and each poll after its wait.
type hangingInstances struct{ fakeInstances }

func (f *hangingInstances) Start(context.Context, galenajob.Action, time.Duration) (galenajob.Outcome, int64, error) {
	time.Sleep(5 * time.Second)
	return galenajob.OutcomeUnknown, 0, context.DeadlineExceeded
}

// Guards against a fleet without an owner while the calls of an ended session wait for
// instances that do not answer.
func TestNextSessionDoesNotWaitForCallsOfTheLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, log := testOwner()
		o.Instances = &hangingInstances{fakeInstances{running: map[galenajob.ItemID]int64{}}}
		ctx, stop := startOwner(t, o, testConfig)
		_, err := o.Heartbeat(ctx, testHeartbeat)
		is.NoErr(err)
		time.Sleep(200 * time.Millisecond)
		spec := &galenajob.Spec{Payload: "p", Steps: []galenajob.Step{{Count: 1, Need: galenajob.Resources{MilliCPU: 1}, Estimate: time.Second}}}
		_, err = o.Do(ctx, Request{Kind: RequestSubmit, Host: "h", Path: "/q/1", Spec: spec})
		is.NoErr(err)
		time.Sleep(100 * time.Millisecond)
		log.holdsLease.Store(false)
		time.Sleep(100 * time.Millisecond)
		log.holdsLease.Store(true)
		time.Sleep(200 * time.Millisecond)
		r, err := o.Do(ctx, Request{Kind: RequestState, Host: "h", Path: "/q/1"})
		is.NoErr(err)
		is.Equal(r.Outcome, OutcomeState)
		stop()
		time.Sleep(10 * time.Second) // the calls return
	})
}

// Guards against jobs that wait for an answer until their callers give up while commits
// take too long, against rejecting a job that an earlier attempt may have made
// accepted, and against rejecting jobs once commits are quick again.
func TestSlowCommitsRejectNewJobsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, log := testOwner()
		ctx, stop := startOwner(t, o, testConfig)
		spec := &galenajob.Spec{Payload: "p", Steps: []galenajob.Step{{Count: 1, Need: galenajob.Resources{MilliCPU: 1}, Estimate: time.Second}}}
		submit := func(id string) (Reply, time.Duration) {
			start := time.Now()
			r, err := o.Do(ctx, Request{Kind: RequestSubmit, Host: "h", Path: "/q/" + id, Spec: spec})
			is.NoErr(err)
			return r, time.Since(start)
		}
		const slow = 1500 * time.Millisecond
		log.delay.Store(int64(slow))
		var group errgroup.Group
		group.Go(func() error {
			r, _ := submit("first")
			is.Equal(r.Outcome, OutcomeAccepted)
			return nil
		})
		time.Sleep(maxCommitDelay + 10*time.Millisecond)
		for i := range 20 {
			r, took := submit(fmt.Sprint("new", i))
			is.Equal(r.Outcome, OutcomeRejected)
			is.Equal(took, time.Duration(0))
			is.True(r.RetryAfter >= time.Second)
			_, _, _, known := o.State.JobState(galenahead.JobID(fmt.Sprint("new", i)))
			is.True(!known)
		}
		r, _ := submit("first")
		is.Equal(r.Outcome, OutcomeAccepted)
		is.NoErr(group.Wait())
		log.delay.Store(0)
		time.Sleep(2 * slow)
		r, _ = submit("new0")
		is.Equal(r.Outcome, OutcomeAccepted)
		stop()
	})
}

// Guards against a work item that never starts, and counts as starting for good,
// because the lease of the log was renewed between a dropped command and the owner's
// next check.
func TestStartDroppedWithoutLeaseIsSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, log := testOwner()
		ctx, stop := startOwner(t, o, testConfig)
		_, err := o.Heartbeat(ctx, testHeartbeat)
		is.NoErr(err)
		time.Sleep(205 * time.Millisecond)
		sess := o.session.Load()
		sh := sess.shardFor("counter")
		spec := galenajob.Spec{Steps: []galenajob.Step{{Count: 1}}}
		sh.inspect(func(now time.Time, s *galenajob.Scheduler) {
			s.AddJob(now, &galenajob.Job{ID: "j", Queue: "q", Service: "counter", Spec: spec, MaxAttempts: 1, ItemsLeft: 1}, 0, false)
		})
		log.holdsLease.Store(false)
		sh.plan(sess.ctx)
		synctest.Wait()
		log.holdsLease.Store(true)
		time.Sleep(time.Second)
		is.Equal(o.session.Load(), sess) // the session goes on
		f := o.Instances.(*fakeInstances)
		f.mu.Lock()
		is.Equal(len(f.running)+len(f.ends), 1)
		f.mu.Unlock()
		stop()
		time.Sleep(2 * time.Second) // the poll returns
	})
}

// Guards against a service that plans nothing while the removals of many silent
// instances are committed one after another.
func TestSilentInstancesAreRemovedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, log := testOwner()
		instances := newStoppableInstances()
		o.Instances = instances
		ctx, stop := startOwner(t, o, testConfig)
		for i := range 50 {
			hb := testHeartbeat
			hb.Instance.ID = galenahead.InstanceID(fmt.Sprint("i", i))
			_, err := o.Heartbeat(ctx, hb)
			is.NoErr(err)
			synctest.Wait() // the first poll is answered
			instances.setCutOff(hb.Instance.ID, true)
		}
		log.delay.Store(int64(300 * time.Millisecond))
		time.Sleep(o.Params.GoneAfter + time.Second)
		is.Equal(len(o.State.registeredInstances()), 0)
		stop()
	})
}

// BenchmarkMatchQueue measures finding the queue of a request, by the number of queues.
func BenchmarkMatchQueue(b *testing.B) {
	for _, queues := range []int{50, 2000} {
		b.Run(fmt.Sprint("queues=", queues), func(b *testing.B) {
			s := &State{}
			c := &Config{Version: 1}
			for i := range queues {
				c.Queues = append(c.Queues, QueueRule{Name: fmt.Sprint("q", i), Host: fmt.Sprintf("h%d.example", i%20), Prefix: fmt.Sprintf("/p%d/", i)})
			}
			s.setConfig(c)
			for b.Loop() {
				s.MatchQueue("h7.example", "/p27/5c0e")
			}
		})
	}
}

// Guards against a job that runs although it is cancelled, because its cancellation came
// between its record and its arrival at the scheduler.
func TestJobCancelledDuringItsSubmissionDoesNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		ctx, stop := startOwner(t, o, testConfig)
		sess := o.session.Load()
		for i := range 3000 {
			id := galenahead.JobID(fmt.Sprint("j", i))
			r := Request{Host: "h", Path: "/q/" + string(id), Spec: &galenajob.Spec{Steps: []galenajob.Step{{Count: 1}}}}
			var g errgroup.Group
			g.Go(func() error {
				r.Kind = RequestSubmit
				_, err := o.Do(ctx, r)
				return err
			})
			for {
				if _, _, _, known := o.State.JobState(id); known {
					break
				}
				runtime.Gosched()
			}
			_, err := sess.cancel("", id)
			is.NoErr(err)
			is.NoErr(g.Wait())
			active := false
			sess.shardFor("counter").inspect(func(now time.Time, s *galenajob.Scheduler) { _, active = s.ViewJob(now, id) })
			is.True(!active)
		}
		stop()
	})
}
