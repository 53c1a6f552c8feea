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

// States of tasks and VMs as the platform reports them, documented in
// docs/interfaces.md.
const (
	taskRunning      = "running"
	taskDone         = "done"
	taskFailed       = "failed"
	taskStopped      = "stopped"
	taskCheckpointed = "checkpointed"
	taskExpired      = "expired"
	vmUp             = "up"
)

// PlatformClient calls the worker platform over gRPC. It connects on the first
// call.
type PlatformClient struct {
	// Address is the IP address and port of the worker platform.
	Address string

	mu     sync.Mutex
	client galenapb.WorkerClient
}

func (p *PlatformClient) workerClient() (galenapb.WorkerClient, error) {
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

// taskParams contains the parameters of a platform call for the task of a job.
type taskParams struct {
	job   galenastate.Job
	lease time.Duration
}

func (t taskParams) request() *galenapb.TaskRequest {
	return &galenapb.TaskRequest{
		Job: string(t.job.ID), Vm: string(t.job.Worker), Epoch: uint64(t.job.Epoch), LeaseMs: t.lease.Milliseconds(),
		Cores: t.job.Cores, MemoryMb: t.job.MemoryMB, Accelerators: t.job.Accelerators,
	}
}

// taskMethod is a gRPC method of the platform for a task.
type taskMethod func(galenapb.WorkerClient, context.Context, *galenapb.TaskRequest, ...grpc.CallOption) (*galenapb.TaskReply, error)

func (p *PlatformClient) callTask(ctx context.Context, method taskMethod, t taskParams) (*galenapb.TaskReply, error) {
	w, err := p.workerClient()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	return method(w, ctx, t.request())
}

// Drain makes the platform start no new work on a VM. The driver repeats the call
// until the VM is drained.
func (p *PlatformClient) Drain(ctx context.Context, vm galenahead.VMName, epoch galenahead.Epoch) (*galenapb.VMReply, error) {
	return p.callVM(ctx, galenapb.WorkerClient.Drain, vm, epoch)
}

// Reboot reboots a drained VM. The driver repeats the call until the VM is up.
func (p *PlatformClient) Reboot(ctx context.Context, vm galenahead.VMName, epoch galenahead.Epoch) (*galenapb.VMReply, error) {
	return p.callVM(ctx, galenapb.WorkerClient.Reboot, vm, epoch)
}

// Resume ends a drain without a reboot.
func (p *PlatformClient) Resume(ctx context.Context, vm galenahead.VMName, epoch galenahead.Epoch) (*galenapb.VMReply, error) {
	return p.callVM(ctx, galenapb.WorkerClient.Resume, vm, epoch)
}

// vmMethod is a gRPC method of the platform for a VM.
type vmMethod func(galenapb.WorkerClient, context.Context, *galenapb.VMRequest, ...grpc.CallOption) (*galenapb.VMReply, error)

func (p *PlatformClient) callVM(ctx context.Context, method vmMethod, vm galenahead.VMName, epoch galenahead.Epoch) (*galenapb.VMReply, error) {
	w, err := p.workerClient()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	return method(w, ctx, &galenapb.VMRequest{Vm: string(vm), Epoch: uint64(epoch)})
}

// Usage returns a VM's resource usage as last measured by the platform.
func (p *PlatformClient) Usage(ctx context.Context, vm galenahead.VMName) (*galenapb.UsageReply, error) {
	w, err := p.workerClient()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	return w.Usage(ctx, &galenapb.UsageRequest{Vm: string(vm)})
}

// Throttle limits a task to a share of its processors, 1 to 100 percent.
func (p *PlatformClient) Throttle(ctx context.Context, t taskParams, percent int32) (*galenapb.TaskReply, error) {
	w, err := p.workerClient()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	return w.Throttle(ctx, &galenapb.ThrottleRequest{Task: t.request(), SharePercent: percent})
}
