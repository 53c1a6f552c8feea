package galenacontrol

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

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
	return &galenapb.TaskReply{Accepted: true, State: taskRunning, Epoch: r.GetEpoch()}, nil
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
	p := &fakePlatform{drained: make(map[string]bool)}
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
		r, err := store.Propose(t.Context(), galenastate.Command{
			RequestID: ch.Kind() + clock.now.String(), Base: store.View().Revision(), Operator: "o", Change: ch,
		})
		if err != nil || r.Err() != nil {
			t.Fatal(err, r.Err())
		}
		clock.now = clock.now.Add(time.Second)
	}
	return d, p, clock
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
	vm, _ := d.Store.View().VM(worker)
	r, err := d.Store.Propose(t.Context(), galenastate.Command{Change: galenastate.Change{VMRemove: &galenastate.VMRemove{VM: worker}},
		RequestID: "remove", Base: d.Store.View().Revision(), Operator: "o"})
	is.NoErr(err)
	is.NoErr(r.Err())
	is.True(vm.Epoch > 0)
	p.silent = true
	clock.now = clock.now.Add(2 * time.Second)
	is.Equal(d.stepJobs(t.Context()).Worker, worker) // its lease may still hold
	clock.now = clock.now.Add(3 * time.Second)
	is.Equal(d.stepJobs(t.Context()).State, galenastate.JobQueued)
}
