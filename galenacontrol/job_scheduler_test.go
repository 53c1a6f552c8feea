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

// immediateLog applies each proposed command at once.
type immediateLog struct {
	galenahead.ReplicatedLog
	store *Store
	index uint64
}

func (l *immediateLog) Propose(_ context.Context, command []byte) ([]byte, error) {
	l.index++
	return l.store.Apply(l.index, command), nil
}

func (*immediateLog) ReadBarrier(context.Context) error { return nil }

// fakePlatform is a worker platform that rejects the start of tasks on drained VMs
// and fails checkpoints if it is unresponsive.
type fakePlatform struct {
	galenapb.WorkerClient
	unresponsive bool
	drainedVMs   map[string]bool
	resumedVMs   []string
	doneJobs     map[string]bool
	sharePercent map[string]int32
}

func (p *fakePlatform) Throttle(_ context.Context, r *galenapb.ThrottleRequest, _ ...grpc.CallOption) (*galenapb.TaskReply, error) {
	p.sharePercent[r.GetTask().GetJob()] = r.GetSharePercent()
	return &galenapb.TaskReply{Accepted: true, State: taskRunning}, nil
}

func (p *fakePlatform) Start(_ context.Context, r *galenapb.TaskRequest, _ ...grpc.CallOption) (*galenapb.TaskReply, error) {
	if p.drainedVMs[r.GetVm()] {
		return &galenapb.TaskReply{State: "unknown"}, nil
	}
	return &galenapb.TaskReply{Accepted: true, State: taskRunning, Epoch: r.GetEpoch()}, nil
}

func (p *fakePlatform) Checkpoint(context.Context, *galenapb.TaskRequest, ...grpc.CallOption) (*galenapb.TaskReply, error) {
	if p.unresponsive {
		return nil, errors.New("no response")
	}
	return &galenapb.TaskReply{Accepted: true, State: taskCheckpointed}, nil
}

func (p *fakePlatform) Renew(_ context.Context, r *galenapb.TaskRequest, _ ...grpc.CallOption) (*galenapb.TaskReply, error) {
	state := taskRunning
	if p.doneJobs[r.GetJob()] {
		state = taskDone
	}
	return &galenapb.TaskReply{Accepted: true, State: state, Epoch: r.GetEpoch()}, nil
}

func (p *fakePlatform) Resume(_ context.Context, r *galenapb.VMRequest, _ ...grpc.CallOption) (*galenapb.VMReply, error) {
	p.resumedVMs = append(p.resumedVMs, r.GetVm())
	delete(p.drainedVMs, r.GetVm())
	return &galenapb.VMReply{Accepted: true, State: vmUp}, nil
}

// manualClock is a clock that only changes when a test sets it.
type manualClock struct {
	galenahead.Timers
	now time.Time
}

func (c *manualClock) Now() time.Time { return c.now }

// newJobFixture returns a driver with two workers and one submitted job.
func newJobFixture(t *testing.T) (*Driver, *fakePlatform, *manualClock) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	clock := &manualClock{now: time.Unix(1000, 0)}
	p := &fakePlatform{drainedVMs: make(map[string]bool), doneJobs: make(map[string]bool), sharePercent: make(map[string]int32)}
	store := &Store{}
	store.Log = &immediateLog{store: store}
	d := &Driver{Store: store, Platform: &PlatformClient{client: p}, Timers: clock, Log: log, RenewInterval: time.Second}
	d.reset()
	for _, ch := range []galenastate.Change{
		{PoolSet: &galenastate.Pool{Name: "p"}},
		{TeamSet: &galenastate.TeamSet{Name: "t", Quota: galenastate.Size{Cores: 9, MemoryMB: 9}}},
		{VMAdd: &galenastate.VMAdd{Name: "a", Pool: "p", DataCentre: "d", Rack: "r", Cores: 4, MemoryMB: 4}},
		{VMAdd: &galenastate.VMAdd{Name: "b", Pool: "p", DataCentre: "d", Rack: "r", Cores: 4, MemoryMB: 4}},
		{JobSubmit: &galenastate.JobSubmit{ID: "j", Team: "t", Pool: "p", Cores: 4, MemoryMB: 4}},
	} {
		d.applyOperatorChange(t, ch)
		clock.now = clock.now.Add(time.Second)
	}
	return d, p, clock
}

// applyOperatorChange commits an operator's change.
func (d *Driver) applyOperatorChange(t *testing.T, ch galenastate.Change) {
	t.Helper()
	base := d.Store.View().Revision()
	r, err := d.Store.Propose(t.Context(), galenastate.Command{
		RequestID: fmt.Sprintf("%s-%d", ch.Kind(), base), BaseRevision: base, Operator: "o", Change: ch,
	})
	if err != nil || r.Err() != nil {
		t.Fatal(err, r.Err())
	}
}

func (d *Driver) reconcileJobs(ctx context.Context) galenastate.Job {
	v := d.Store.View()
	d.resumeVMs(ctx, v)
	d.scheduler.reconcile(ctx, v, d.tracker.update(v))
	j, _ := d.Store.View().Job("j")
	return j
}

// Guards against placing a job repeatedly on a worker that rejects it because it
// is still drained at the platform, and against not resuming such a worker.
func TestRejectedStartAvoidsWorker(t *testing.T) {
	is := is.New(t)
	d, p, _ := newJobFixture(t)
	p.drainedVMs["a"], p.drainedVMs["b"] = true, true
	first := d.reconcileJobs(t.Context()).Worker
	is.True(first != "")
	is.Equal(d.reconcileJobs(t.Context()).State, galenastate.JobQueued) // rejected
	second := d.reconcileJobs(t.Context()).Worker
	is.True(second != "" && second != first)
	is.Equal(p.resumedVMs, []string{string(first)})
	d.reconcileJobs(t.Context())                                         // rejected as well
	is.Equal(d.reconcileJobs(t.Context()).Worker, galenahead.VMName("")) // both workers are avoided
}

// Guards against a job that stays forever on a worker that is being removed and
// does not respond.
func TestUnreachableLeavingWorkerLosesJob(t *testing.T) {
	is := is.New(t)
	d, p, clock := newJobFixture(t)
	worker := d.reconcileJobs(t.Context()).Worker
	is.Equal(d.reconcileJobs(t.Context()).State, galenastate.JobRunning)
	d.applyOperatorChange(t, galenastate.Change{VMRemove: &galenastate.VMRemove{VM: worker}})
	p.unresponsive = true
	clock.now = clock.now.Add(2 * time.Second)
	is.Equal(d.reconcileJobs(t.Context()).Worker, worker) // its lease may still be valid
	clock.now = clock.now.Add(3 * time.Second)
	is.Equal(d.reconcileJobs(t.Context()).State, galenastate.JobQueued)
}

// Guards against a task that stays throttled after the urgent task has ended.
func TestThrottleIsLifted(t *testing.T) {
	is := is.New(t)
	d, p, clock := newJobFixture(t)
	worker := d.reconcileJobs(t.Context()).Worker
	d.reconcileJobs(t.Context())
	for _, name := range []galenahead.VMName{"a", "b"} {
		if name != worker {
			d.applyOperatorChange(t, galenastate.Change{VMRemove: &galenastate.VMRemove{VM: name}})
		}
	}
	d.applyOperatorChange(t, galenastate.Change{JobSubmit: &galenastate.JobSubmit{ID: "u", Team: "t", Pool: "p", Cores: 2, Urgent: true, MemoryMB: 0}})
	d.reconcileJobs(t.Context())
	d.reconcileJobs(t.Context())
	is.Equal(p.sharePercent["j"], int32(25))
	u, _ := d.Store.View().Job("u")
	is.Equal(u.State, galenastate.JobRunning)
	p.doneJobs["u"] = true
	clock.now = clock.now.Add(time.Second)
	d.reconcileJobs(t.Context())
	d.reconcileJobs(t.Context())
	is.Equal(p.sharePercent["j"], int32(100))
}

// Guards against a conflict between an operator's first change and the initial
// settings of the leader.
func TestInitialSettingsPrecedeOperatorChanges(t *testing.T) {
	is := is.New(t)
	d, _, _ := newJobFixture(t)
	d.InitialSettings = map[string]float64{"buffer_cost": 5, "rollout_time": 1}
	o := &OperatorService{Store: d.Store, InitialSettings: d.InitialSettings}
	for range len(d.InitialSettings) {
		_, err := o.Get(t.Context(), &galenapb.GetRequest{Kind: "settings"})
		is.Equal(status.Code(err), codes.Unavailable)
		d.setInitialSettings(t.Context(), d.Store.View())
	}
	r, err := o.Get(t.Context(), &galenapb.GetRequest{Kind: "settings"})
	is.NoErr(err)
	is.Equal(len(r.GetSettings()), 2)
}
