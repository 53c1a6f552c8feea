package galenacontrol

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenapb"
	"github.com/galenahead/galenahead/galenastate"
)

// platformTimeout bounds one call to the worker platform.
const platformTimeout = time.Second

// States of tasks and VMs as the platform reports them; docs/interfaces.md
// lists them.
const (
	taskRunning      = "running"
	taskDone         = "done"
	taskFailed       = "failed"
	taskStopped      = "stopped"
	taskCheckpointed = "checkpointed"
	taskExpired      = "expired"
	vmUp             = "up"
)

// Platform calls the worker platform over gRPC.
type Platform struct {
	// Address is an IP address with port.
	Address string

	mu     sync.Mutex
	client galenapb.WorkerClient
}

func (p *Platform) worker() (galenapb.WorkerClient, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client != nil {
		return p.client, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+p.Address,
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy(), grpc.WithDisableRetry())
	if err != nil {
		return nil, eris.Wrapf(err, "connect to the worker platform at %s", p.Address)
	}
	p.client = galenapb.NewWorkerClient(conn)
	return p.client, nil
}

// task is one command for the task of a job.
type task struct {
	job   galenastate.Job
	lease time.Duration
}

func (t task) request() *galenapb.TaskRequest {
	return &galenapb.TaskRequest{
		Job: string(t.job.ID), Vm: string(t.job.Worker), Epoch: uint64(t.job.Epoch), LeaseMs: t.lease.Milliseconds(),
		Cores: t.job.Cores, MemoryMb: t.job.MemoryMB, Accelerators: t.job.Accelerators,
	}
}

// taskCall is a method of the platform for one task.
type taskCall func(galenapb.WorkerClient, context.Context, *galenapb.TaskRequest, ...grpc.CallOption) (*galenapb.TaskReply, error)

// call calls a method for a task.
func (p *Platform) call(ctx context.Context, method taskCall, t task) (*galenapb.TaskReply, error) {
	w, err := p.worker()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	return method(w, ctx, t.request())
}

// Drain tells the platform that a VM takes no new work.
func (p *Platform) Drain(ctx context.Context, vm galenahead.VMName, epoch galenahead.Epoch) (*galenapb.VMReply, error) {
	return p.vm(ctx, galenapb.WorkerClient.Drain, vm, epoch)
}

// Reboot restarts a drained VM. It is repeated until the VM is up.
func (p *Platform) Reboot(ctx context.Context, vm galenahead.VMName, epoch galenahead.Epoch) (*galenapb.VMReply, error) {
	return p.vm(ctx, galenapb.WorkerClient.Reboot, vm, epoch)
}

// Resume ends a drain without a reboot.
func (p *Platform) Resume(ctx context.Context, vm galenahead.VMName, epoch galenahead.Epoch) (*galenapb.VMReply, error) {
	return p.vm(ctx, galenapb.WorkerClient.Resume, vm, epoch)
}

type vmCall func(galenapb.WorkerClient, context.Context, *galenapb.VMRequest, ...grpc.CallOption) (*galenapb.VMReply, error)

func (p *Platform) vm(ctx context.Context, method vmCall, vm galenahead.VMName, epoch galenahead.Epoch) (*galenapb.VMReply, error) {
	w, err := p.worker()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	return method(w, ctx, &galenapb.VMRequest{Vm: string(vm), Epoch: uint64(epoch)})
}

// Usage returns a VM's usage as of some time ago.
func (p *Platform) Usage(ctx context.Context, vm galenahead.VMName) (*galenapb.UsageReply, error) {
	w, err := p.worker()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	return w.Usage(ctx, &galenapb.UsageRequest{Vm: string(vm)})
}

// Throttle limits a task to a share of its processors, 1 to 100 percent.
func (p *Platform) Throttle(ctx context.Context, t task, percent int32) (*galenapb.TaskReply, error) {
	w, err := p.worker()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	return w.Throttle(ctx, &galenapb.ThrottleRequest{Task: t.request(), SharePercent: percent})
}
