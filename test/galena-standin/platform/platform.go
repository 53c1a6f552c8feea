// Package platform is a fake worker platform: it serves the gRPC service Worker
// from a table of tasks, leases and VMs in memory.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/galenahead/galenahead/galenapb"
)

// Options are the settings of the fake platform.
type Options struct {
	Out             io.Writer
	Address         string
	EvidenceAddress string
	DrainTime       time.Duration
	RebootTime      time.Duration
	// RunTime is the time after which a task is done; 0 lets tasks run until they are
	// stopped.
	RunTime time.Duration
	// UsageLag is the age of usage reports.
	UsageLag time.Duration
	// UseShare is the share of its requested resources that a task uses.
	UseShare float64
	// FailVMs are VMs on which every task fails after FailAfter.
	FailVMs   []string
	FailAfter time.Duration
}

func (o *Options) tasksFailOn(vm string) bool { return slices.Contains(o.FailVMs, vm) }

// NewCmdPlatform returns the subcommand platform. Tests pass runF to replace Run.
func NewCmdPlatform(out io.Writer, runF func(context.Context, *Options) error) *cobra.Command {
	o := &Options{Out: out}
	if runF == nil {
		runF = Run
	}
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Serve the worker platform's gRPC interface from memory",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runF(cmd.Context(), o)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&o.Address, "address", "127.0.0.1:7000", "gRPC listen address (ip:port)")
	flags.StringVar(&o.EvidenceAddress, "evidence-address", "127.0.0.1:7001", "HTTP listen address (ip:port)")
	flags.DurationVar(&o.DrainTime, "drain-time", 100*time.Millisecond, "time to drain a VM (duration)")
	flags.DurationVar(&o.RebootTime, "reboot-time", time.Second, "time to reboot a VM (duration)")
	flags.DurationVar(&o.RunTime, "run-time", 0, "run time of a task, 0 without end (duration)")
	flags.DurationVar(&o.UsageLag, "usage-lag", time.Second, "age of usage reports (duration)")
	flags.Float64Var(&o.UseShare, "use-share", 0.5, "share of its declared size that a task uses (0 and up)")
	flags.StringSliceVar(&o.FailVMs, "fail-vm", nil, "VMs on which every task fails (name[,name...])")
	flags.DurationVar(&o.FailAfter, "fail-after", 50*time.Millisecond, "time until such a task fails (duration)")
	return cmd
}

// Run serves until ctx is done, then writes the evidence to Out.
func Run(ctx context.Context, o *Options) error {
	grpcListener, err := net.Listen("tcp4", o.Address)
	if err != nil {
		return eris.Wrap(err, "listen for gRPC")
	}
	httpListener, err := net.Listen("tcp4", o.EvidenceAddress)
	if err != nil {
		_ = grpcListener.Close()
		return eris.Wrap(err, "listen for HTTP")
	}
	return New(o).Serve(ctx, grpcListener, httpListener)
}

// Platform implements the gRPC service Worker.
type Platform struct {
	galenapb.UnimplementedWorkerServer

	table *table
}

// New returns a platform that is not yet serving.
func New(o *Options) *Platform { return &Platform{table: newTable(o)} }

// Serve is like Run, but uses existing listeners for gRPC and HTTP.
func (p *Platform) Serve(ctx context.Context, grpcListener, httpListener net.Listener) error {
	server := grpc.NewServer()
	galenapb.RegisterWorkerServer(server, p)
	evidence := &fasthttp.Server{Handler: p.handleEvidence, CloseOnShutdown: true}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return server.Serve(grpcListener) })
	g.Go(func() error { return evidence.Serve(httpListener) })
	g.Go(func() error {
		<-ctx.Done()
		server.GracefulStop()
		return evidence.Shutdown()
	})
	if err := g.Wait(); err != nil {
		return eris.Wrap(err, "serve")
	}
	return p.writeEvidence(p.table.options.Out)
}

func (p *Platform) handleEvidence(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != "/evidence" {
		ctx.Error("only /evidence", fasthttp.StatusNotFound)
		return
	}
	ctx.SetContentType("application/json")
	_ = p.writeEvidence(ctx)
}

func (p *Platform) writeEvidence(w io.Writer) error {
	p.table.mu.Lock()
	defer p.table.mu.Unlock()
	return json.NewEncoder(w).Encode(p.table.evidence)
}

// Start starts a task under a lease.
func (p *Platform) Start(_ context.Context, r *galenapb.TaskRequest) (*galenapb.TaskReply, error) {
	return p.table.startTask(r), nil
}

// Renew extends the lease of a running task.
func (p *Platform) Renew(_ context.Context, r *galenapb.TaskRequest) (*galenapb.TaskReply, error) {
	return p.table.updateTask(r, func(tk *task) { tk.expires = p.table.now().Add(leaseDuration(r)) }), nil
}

// Stop ends a task.
func (p *Platform) Stop(_ context.Context, r *galenapb.TaskRequest) (*galenapb.TaskReply, error) {
	return p.table.updateTask(r, func(tk *task) { tk.state = stateStopped }), nil
}

// Throttle limits a task to a share of its processors.
func (p *Platform) Throttle(_ context.Context, r *galenapb.ThrottleRequest) (*galenapb.TaskReply, error) {
	return p.table.updateTask(r.GetTask(), func(tk *task) { tk.throttle = r.GetSharePercent() }), nil
}

// Checkpoint saves a task's progress and ends it.
func (p *Platform) Checkpoint(_ context.Context, r *galenapb.TaskRequest) (*galenapb.TaskReply, error) {
	return p.table.updateTask(r, func(tk *task) { tk.state = stateCheckpointed }), nil
}

// Usage reports the usage of a VM as it was before the usage lag.
func (p *Platform) Usage(_ context.Context, r *galenapb.UsageRequest) (*galenapb.UsageReply, error) {
	return p.table.vmUsage(r.GetVm()), nil
}

// Drain stops a VM from accepting new tasks.
func (p *Platform) Drain(_ context.Context, r *galenapb.VMRequest) (*galenapb.VMReply, error) {
	return p.table.drainVM(r), nil
}

// Resume ends a drain without a reboot.
func (p *Platform) Resume(_ context.Context, r *galenapb.VMRequest) (*galenapb.VMReply, error) {
	return p.table.resumeVM(r), nil
}

// Reboot restarts a drained VM.
func (p *Platform) Reboot(_ context.Context, r *galenapb.VMRequest) (*galenapb.VMReply, error) {
	return p.table.rebootVM(r), nil
}
