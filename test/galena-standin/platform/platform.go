// Package platform is a fake worker platform: the gRPC service Worker with a
// table of tasks, leases and VMs in memory.
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

// Options are the settings of the platform.
type Options struct {
	Out             io.Writer
	Address         string
	EvidenceAddress string
	DrainTime       time.Duration
	RebootTime      time.Duration
	// RunTime ends tasks as done; 0 lets them run until they are stopped.
	RunTime time.Duration
	// UsageLag is the age of usage reports.
	UsageLag time.Duration
	// UseShare is the share of its declared size that a task uses.
	UseShare float64
	// FailVMs are VMs on which every task fails after FailAfter.
	FailVMs   []string
	FailAfter time.Duration
}

func (o *Options) fails(vm string) bool { return slices.Contains(o.FailVMs, vm) }

// NewCmdPlatform returns the subcommand.
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

// Run serves until ctx ends, then writes the evidence to Out.
func Run(ctx context.Context, o *Options) error {
	rpc, err := net.Listen("tcp4", o.Address)
	if err != nil {
		return eris.Wrap(err, "listen for gRPC")
	}
	web, err := net.Listen("tcp4", o.EvidenceAddress)
	if err != nil {
		_ = rpc.Close()
		return eris.Wrap(err, "listen for HTTP")
	}
	return New(o).Serve(ctx, rpc, web)
}

// Platform implements the service Worker.
type Platform struct {
	galenapb.UnimplementedWorkerServer

	table *table
}

// New returns a platform that is not yet serving.
func New(o *Options) *Platform { return &Platform{table: newTable(o)} }

// Serve is Run on existing listeners for gRPC and HTTP.
func (p *Platform) Serve(ctx context.Context, rpc, web net.Listener) error {
	server := grpc.NewServer()
	galenapb.RegisterWorkerServer(server, p)
	evidence := &fasthttp.Server{Handler: p.handle, CloseOnShutdown: true}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return server.Serve(rpc) })
	g.Go(func() error { return evidence.Serve(web) })
	g.Go(func() error {
		<-ctx.Done()
		server.GracefulStop()
		return evidence.Shutdown()
	})
	if err := g.Wait(); err != nil {
		return eris.Wrap(err, "serve")
	}
	return p.write(p.table.options.Out)
}

func (p *Platform) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != "/evidence" {
		ctx.Error("only /evidence", fasthttp.StatusNotFound)
		return
	}
	ctx.SetContentType("application/json")
	_ = p.write(ctx)
}

func (p *Platform) write(w io.Writer) error {
	p.table.mu.Lock()
	defer p.table.mu.Unlock()
	return json.NewEncoder(w).Encode(p.table.evidence)
}

// Start starts a task under a lease.
func (p *Platform) Start(_ context.Context, r *galenapb.TaskRequest) (*galenapb.TaskReply, error) {
	return p.table.start(r), nil
}

// Renew extends the lease of a running task.
func (p *Platform) Renew(_ context.Context, r *galenapb.TaskRequest) (*galenapb.TaskReply, error) {
	return p.table.update(r, func(k *task) { k.expires = p.table.now().Add(lease(r)) }), nil
}

// Stop ends a task.
func (p *Platform) Stop(_ context.Context, r *galenapb.TaskRequest) (*galenapb.TaskReply, error) {
	return p.table.update(r, func(k *task) { k.state = stateStopped }), nil
}

// Throttle limits a task to a share of its processors.
func (p *Platform) Throttle(_ context.Context, r *galenapb.ThrottleRequest) (*galenapb.TaskReply, error) {
	return p.table.update(r.GetTask(), func(k *task) { k.throttle = r.GetSharePercent() }), nil
}

// Checkpoint saves a task's progress and ends it.
func (p *Platform) Checkpoint(_ context.Context, r *galenapb.TaskRequest) (*galenapb.TaskReply, error) {
	return p.table.update(r, func(k *task) { k.state = stateCheckpointed }), nil
}

// Usage reports the usage of a VM as of the usage lag ago.
func (p *Platform) Usage(_ context.Context, r *galenapb.UsageRequest) (*galenapb.UsageReply, error) {
	return p.table.usage(r.GetVm()), nil
}

// Drain takes a VM out of service for new tasks.
func (p *Platform) Drain(_ context.Context, r *galenapb.VMRequest) (*galenapb.VMReply, error) {
	return p.table.drain(r), nil
}

// Resume ends a drain without a reboot.
func (p *Platform) Resume(_ context.Context, r *galenapb.VMRequest) (*galenapb.VMReply, error) {
	return p.table.resume(r), nil
}

// Reboot restarts a drained VM.
func (p *Platform) Reboot(_ context.Context, r *galenapb.VMRequest) (*galenapb.VMReply, error) {
	return p.table.reboot(r), nil
}
