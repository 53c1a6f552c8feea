package command

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenadaemon"
	"github.com/galenahead/galenahead/galenafleet"
	"github.com/galenahead/galenahead/galenaintake"
	"github.com/galenahead/galenahead/galenarpc"
	"github.com/galenahead/galenahead/galenasettings"
	"github.com/galenahead/galenahead/galenatimer"
	"github.com/galenahead/galenahead/platform"
)

// controlBase holds what control daemons with and without a replica share: they
// serve operators, instances and other daemons.
type controlBase struct {
	baseDaemon
	mux galenarpc.Mux
}

// operatorDrainTimeout is longer than a request of an operator or an instance may
// take.
const operatorDrainTimeout = 2 * time.Second

// controlWork is what a control daemon does besides what controlBase does.
type controlWork struct {
	// handle handles the requests of operators and instances, whose bodies intake bounds.
	handle fasthttp.RequestHandler
	intake *galenadaemon.Intake
	// start starts further work, which runs until the requests that have arrived are
	// answered. It may be nil.
	start func(ctx context.Context, workers *errgroup.Group)
	// failed is closed when the work cannot go on; it may be nil.
	failed <-chan struct{}
	// beforeStop is called before the servers stop; it may be nil.
	beforeStop func()
}

// serve serves until ctx ends or the work fails, and then answers the requests that
// have arrived. All else runs until then, since those requests may need the owner.
func (c *controlBase) serve(ctx context.Context, w controlWork) error {
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	serveCtx, stopServing := context.WithCancel(workCtx)
	defer stopServing()
	var servers, workers errgroup.Group
	ln, err := galenadaemon.Listen(c.settings.Listen.Peer)
	if err != nil {
		return err
	}
	server := &galenarpc.Server{Mux: &c.mux, Budget: c.machine().NewBudget(), Conns: galenaintake.Conns{Max: c.machine().PeerConns()}}
	workers.Go(func() error { return server.Serve(workCtx, ln) })
	operatorServer := platform.NewServer(w.handle, w.intake, func() bool { return ctx.Err() != nil }, c.log.Logger)
	operators := httpListen{c.settings.Listen.Operator, operatorDrainTimeout, w.intake, c.machine().PeerConns()}
	if err := serveHTTP(serveCtx, &servers, operatorServer, operators); err != nil {
		return err
	}
	statusServer := platform.NewStatusServer(func() error { return nil }, w.intake.WithMaxBody(galenadaemon.StatusMaxBody), c.log.Logger)
	status := httpListen{c.settings.Listen.Status, operatorDrainTimeout, w.intake, c.machine().StatusConns()}
	if err := serveHTTP(serveCtx, &servers, statusServer, status); err != nil {
		return err
	}
	workers.Go(func() error { return c.directory.Run(workCtx) })
	workers.Go(func() error { return c.watchSettings(workCtx) })
	if w.start != nil {
		w.start(workCtx, &workers)
	}
	select {
	case <-ctx.Done():
		c.log.Info("control daemon is stopping")
		if w.beforeStop != nil {
			w.beforeStop()
		}
	case <-w.failed:
		stopWork()
	}
	stopServing()
	err = servers.Wait()
	stopWork()
	return errors.Join(err, workers.Wait())
}

// leaderHost returns the host of the leader.
func (c *controlBase) leaderHost() (string, bool) {
	addr, ok := c.directory.Leader()
	if !ok {
		return "", false
	}
	host, _, err := net.SplitHostPort(addr)
	return host, err == nil
}

// redirector is a control daemon without a data directory. It keeps no replica and
// never owns the fleet. It redirects the requests of operators and instances to the
// owner, so that a configuration crosses its network link only once, and names the
// members of the log to other daemons.
type redirector struct {
	controlBase
	self galenahead.Member
}

func newRedirector(path string, f galenasettings.Fleet, load loadFunc, log *galenadaemon.Log) *redirector {
	timers := &galenatimer.BootTimeService{}
	r := &redirector{self: galenahead.Member{Name: f.Replica(), Address: f.Listen.Peer.String()}}
	directory := &galenafleet.Directory{RPCClient: &galenarpc.Client{}, Timers: timers, Logger: log.Logger, Self: r.leaderInfo}
	directory.SetSeeds(f.Control.SeedPeers())
	r.baseDaemon = baseDaemon{path: path, settings: f, load: load, log: log, timers: timers, directory: directory}
	directory.Register(&r.mux)
	galenafleet.RegisterNotOwner(&r.mux)
	return r
}

// leaderInfo names the members that other daemons have named. It names no leader,
// since only replicas know at first hand whether one leads.
func (r *redirector) leaderInfo() galenafleet.LeaderInfo {
	members, term := r.directory.Members()
	return galenafleet.LeaderInfo{Self: r.self, NoReplica: true, Term: term, Members: members}
}

// Run serves until ctx ends, and then answers the requests that have arrived.
func (r *redirector) Run(ctx context.Context) error {
	handler := &platform.RedirectHandler{OwnerHost: r.leaderHost, Port: int(r.settings.Listen.Operator.Port())}
	r.log.Info("data_directory is empty; this control daemon keeps no replica and redirects requests to the owner")
	return r.serve(ctx, controlWork{handle: handler.Handle, intake: r.newIntake(maxPlatformBody)})
}
