package galenacontrol

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenapb"
	"github.com/galenahead/galenahead/galenastate"
)

// directLog applies what is proposed at once.
type directLog struct {
	galenahead.ReplicatedLog
	store *Store
	index uint64
}

func (l *directLog) Propose(_ context.Context, command []byte) ([]byte, error) {
	l.index++
	return l.store.Apply(l.index, command), nil
}

func (*directLog) ReadBarrier(context.Context) error { return nil }

// fakePlatform answers Start and Resume with its state, or nothing at all.
type fakePlatform struct {
	galenapb.WorkerClient
	silent  bool
	drained map[string]bool
	resumed []string
	done    map[string]bool
	percent map[string]int32
}

func (p *fakePlatform) Throttle(_ context.Context, r *galenapb.ThrottleRequest, _ ...grpc.CallOption) (*galenapb.TaskReply, error) {
	p.percent[r.GetTask().GetJob()] = r.GetSharePercent()
	return &galenapb.TaskReply{Accepted: true, State: taskRunning}, nil
}

func (p *fakePlatform) Start(_ context.Context, r *galenapb.TaskRequest, _ ...grpc.CallOption) (*galenapb.TaskReply, error) {
	if p.drained[r.GetVm()] {
		return &galenapb.TaskReply{State: "unknown"}, nil
	}
	return &galenapb.TaskReply{Accepted: true, State: taskRunning, Epoch: r.GetEpoch()}, nil
}

func (p *fakePlatform) Checkpoint(context.Context, *galenapb.TaskRequest, ...grpc.CallOption) (*galenapb.TaskReply, error) {
	if p.silent {
		return nil, errors.New("no answer")
	}
	return &galenapb.TaskReply{Accepted: true, State: taskCheckpointed}, nil
}

func (p *fakePlatform) Renew(_ context.Context, r *galenapb.TaskRequest, _ ...grpc.CallOption) (*galenapb.TaskReply, error) {
	state := taskRunning
	if p.done[r.GetJob()] {
		state = taskDone
	}
	return &galenapb.TaskReply{Accepted: true, State: state, Epoch: r.GetEpoch()}, nil
}

func (p *fakePlatform) Resume(_ context.Context, r *galenapb.VMRequest, _ ...grpc.CallOption) (*galenapb.VMReply, error) {
	p.resumed = append(p.resumed, r.GetVm())
	delete(p.drained, r.GetVm())
	return &galenapb.VMReply{Accepted: true, State: vmUp}, nil
}

// fixedClock is a clock that tests set.
type fixedClock struct {
	galenahead.Timers
	now time.Time
}

func (c *fixedClock) Now() time.Time { return c.now }

// newJobFixture returns a driver with two workers and one submitted job.
func newJobFixture(t *testing.T) (*Driver, *fakePlatform, *fixedClock) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	clock := &fixedClock{now: time.Unix(1000, 0)}
	p := &fakePlatform{drained: make(map[string]bool), done: make(map[string]bool), percent: make(map[string]int32)}
	store := &Store{}
	store.Log = &directLog{store: store}
	d := &Driver{Store: store, Platform: &Platform{client: p}, Timers: clock, Log: log, RenewInterval: time.Second}
	d.reset()
	for _, ch := range []galenastate.Change{
		{PoolSet: &galenastate.Pool{Name: "p"}},
		{TeamSet: &galenastate.TeamSet{Name: "t", Quota: galenastate.Size{Cores: 9, MemoryMB: 9}}},
		{VMAdd: &galenastate.VMAdd{Name: "a", Pool: "p", DataCentre: "d", Rack: "r", Cores: 4, MemoryMB: 4}},
		{VMAdd: &galenastate.VMAdd{Name: "b", Pool: "p", DataCentre: "d", Rack: "r", Cores: 4, MemoryMB: 4}},
		{JobSubmit: &galenastate.JobSubmit{ID: "j", Team: "t", Pool: "p", Cores: 4, MemoryMB: 4}},
	} {
		d.operate(t, ch)
		clock.now = clock.now.Add(time.Second)
	}
	return d, p, clock
}

// operate makes an operator's change.
func (d *Driver) operate(t *testing.T, ch galenastate.Change) {
	t.Helper()
	base := d.Store.View().Revision()
	r, err := d.Store.Propose(t.Context(), galenastate.Command{
		RequestID: fmt.Sprintf("%s-%d", ch.Kind(), base), Base: base, Operator: "o", Change: ch,
	})
	if err != nil || r.Err() != nil {
		t.Fatal(err, r.Err())
	}
}

func (d *Driver) stepJobs(ctx context.Context) galenastate.Job {
	v := d.Store.View()
	d.resume(ctx, v)
	d.jobs.step(ctx, v, d.tracker.follow(v))
	j, _ := d.Store.View().Job("j")
	return j
}

// Guards against placing a job again and again on a worker that refuses it,
// and against leaving such a worker drained.
func TestRefusedStartPausesWorker(t *testing.T) {
	is := is.New(t)
	d, p, _ := newJobFixture(t)
	p.drained["a"], p.drained["b"] = true, true
	first := d.stepJobs(t.Context()).Worker
	is.True(first != "")
	is.Equal(d.stepJobs(t.Context()).State, galenastate.JobQueued) // refused
	second := d.stepJobs(t.Context()).Worker
	is.True(second != "" && second != first)
	is.Equal(p.resumed, []string{string(first)})
	d.stepJobs(t.Context())                                         // refused as well
	is.Equal(d.stepJobs(t.Context()).Worker, galenahead.VMName("")) // both paused
}

// Guards against a job that stays for ever on a worker that leaves and does not
// answer.
func TestSilentLeavingWorkerLosesJob(t *testing.T) {
	is := is.New(t)
	d, p, clock := newJobFixture(t)
	worker := d.stepJobs(t.Context()).Worker
	is.Equal(d.stepJobs(t.Context()).State, galenastate.JobRunning)
	d.operate(t, galenastate.Change{VMRemove: &galenastate.VMRemove{VM: worker}})
	p.silent = true
	clock.now = clock.now.Add(2 * time.Second)
	is.Equal(d.stepJobs(t.Context()).Worker, worker) // its lease may still hold
	clock.now = clock.now.Add(3 * time.Second)
	is.Equal(d.stepJobs(t.Context()).State, galenastate.JobQueued)
}

// Guards against a task that stays throttled after the urgent one has ended.
func TestThrottleIsLifted(t *testing.T) {
	is := is.New(t)
	d, p, clock := newJobFixture(t)
	worker := d.stepJobs(t.Context()).Worker
	d.stepJobs(t.Context())
	for _, name := range []galenahead.VMName{"a", "b"} {
		if name != worker {
			d.operate(t, galenastate.Change{VMRemove: &galenastate.VMRemove{VM: name}})
		}
	}
	d.operate(t, galenastate.Change{JobSubmit: &galenastate.JobSubmit{ID: "u", Team: "t", Pool: "p", Cores: 2, Urgent: true, MemoryMB: 0}})
	d.stepJobs(t.Context())
	d.stepJobs(t.Context())
	is.Equal(p.percent["j"], int32(25))
	u, _ := d.Store.View().Job("u")
	is.Equal(u.State, galenastate.JobRunning)
	p.done["u"] = true
	clock.now = clock.now.Add(time.Second)
	d.stepJobs(t.Context())
	d.stepJobs(t.Context())
	is.Equal(p.percent["j"], int32(100))
}

// Guards against an operator's first change that loses against the initial
// settings of the leader.
func TestInitialSettingsComeFirst(t *testing.T) {
	is := is.New(t)
	d, _, _ := newJobFixture(t)
	d.Weights = map[string]float64{"buffer_cost": 5, "rollout_time": 1}
	o := &Operator{Store: d.Store, Initial: d.Weights}
	for range len(d.Weights) {
		_, err := o.Get(t.Context(), &galenapb.GetRequest{Kind: "settings"})
		is.Equal(status.Code(err), codes.Unavailable)
		d.setWeights(t.Context(), d.Store.View())
	}
	r, err := o.Get(t.Context(), &galenapb.GetRequest{Kind: "settings"})
	is.NoErr(err)
	is.Equal(len(r.GetSettings()), 2)
}
