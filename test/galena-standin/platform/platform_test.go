package platform

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead/galenapb"
)

func taskRequest(job, vm string, epoch uint64) *galenapb.TaskRequest {
	return &galenapb.TaskRequest{Job: job, Vm: vm, Epoch: epoch, LeaseMs: 1000, Cores: 4, MemoryMb: 100}
}

// Guards against a fake whose evidence hides duplicate starts, old epochs, expired
// leases or usage lag from the tests that rely on it.
func TestTaskEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := New(&Options{UsageLag: 500 * time.Millisecond, UseShare: 0.5, FailVMs: []string{"bad"}, FailAfter: time.Millisecond})
		ctx := t.Context()
		r, _ := p.Start(ctx, taskRequest("j", "a", 2))
		is.True(r.Accepted)
		_, _ = p.Start(ctx, taskRequest("j", "a", 2)) // a resend
		is.Equal(p.table.evidence.Starts["j"], 1)
		r, _ = p.Renew(ctx, taskRequest("j", "a", 1))
		is.True(!r.Accepted)
		is.Equal(p.table.evidence.StaleEpochs, 1)
		u, _ := p.Usage(ctx, &galenapb.UsageRequest{Vm: "a"})
		is.Equal(u.CoresUsedMilli, int32(0)) // the report is older than the task
		time.Sleep(600 * time.Millisecond)
		u, _ = p.Usage(ctx, &galenapb.UsageRequest{Vm: "a"})
		is.Equal(u.CoresUsedMilli, int32(2000))
		r, _ = p.Start(ctx, taskRequest("j", "b", 3))
		is.True(r.Accepted)
		is.Equal(p.table.evidence.OverlappingStarts, 1)
		time.Sleep(1001 * time.Millisecond)
		r, _ = p.Renew(ctx, taskRequest("j", "b", 3))
		is.Equal(r.State, stateExpired)
		r, _ = p.Start(ctx, taskRequest("k", "bad", 1))
		is.Equal(r.State, stateRunning)
		time.Sleep(time.Millisecond)
		r, _ = p.Renew(ctx, taskRequest("k", "bad", 1))
		is.Equal(r.State, stateFailed)
		_, _ = p.Start(ctx, taskRequest("c", "a", 1))
		r, _ = p.Checkpoint(ctx, taskRequest("c", "a", 1))
		is.Equal(r.State, stateCheckpointed)
		is.True(r.Accepted)
	})
}

// Guards against a reboot that is accepted for a VM that is not drained, and against
// a reboot that interrupts running tasks without being counted.
func TestDrainAndReboot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := New(&Options{DrainTime: time.Second, RebootTime: 2 * time.Second})
		ctx := t.Context()
		v := &galenapb.VMRequest{Vm: "a", Epoch: 5}
		_, _ = p.Start(ctx, &galenapb.TaskRequest{Job: "j", Vm: "a", Epoch: 1, LeaseMs: 60_000})
		r, _ := p.Reboot(ctx, v)
		is.True(!r.Accepted)
		r, _ = p.Drain(ctx, v)
		is.Equal(r.State, stateDraining)
		taskReply, _ := p.Start(ctx, taskRequest("x", "a", 1))
		is.True(!taskReply.Accepted)
		time.Sleep(time.Second)
		r, _ = p.Drain(ctx, &galenapb.VMRequest{Vm: "a", Epoch: 4})
		is.True(!r.Accepted) // older epoch
		r, _ = p.Reboot(ctx, v)
		is.True(r.Accepted)
		r, _ = p.Reboot(ctx, v)
		is.True(r.Accepted) // a resend
		is.Equal(p.table.evidence.RebootsWithTasks, 1)
		is.Equal(p.table.evidence.Reboots, []Reboot{{VM: "a", Epoch: 5, RunningTasks: []string{"j"}}})
		time.Sleep(2 * time.Second)
		taskReply, _ = p.Start(ctx, taskRequest("x", "a", 1))
		is.True(taskReply.Accepted)
	})
}
