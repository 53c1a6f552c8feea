package command

import (
	"context"
	"net"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenadaemon"
	"github.com/galenahead/galenahead/galenafleet"
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

// serve starts the servers, the directory and the watch of the settings in group.
// handle handles the requests of operators and instances, and closing reports
// whether the daemon is stopping.
func (c *controlBase) serve(ctx context.Context, group *errgroup.Group, handle fasthttp.RequestHandler, closing func() bool) error {
	ln, err := galenadaemon.Listen(c.settings.Listen.Peer)
	if err != nil {
		return err
	}
	server := &galenarpc.Server{Mux: &c.mux}
	group.Go(func() error { return server.Serve(ctx, ln) })
	if err := serveHTTP(ctx, group, platform.NewServer(handle, closing), c.settings.Listen.Operator); err != nil {
		return err
	}
	if err := serveHTTP(ctx, group, platform.NewStatusServer(func() error { return nil }), c.settings.Listen.Status); err != nil {
		return err
	}
	group.Go(func() error { return c.directory.Run(ctx) })
	group.Go(func() error { return c.watchSettings(ctx) })
	return nil
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

// Run serves until ctx ends, and then finishes the requests in flight.
func (r *redirector) Run(ctx context.Context) error {
	var group errgroup.Group
	handler := &platform.RedirectHandler{OwnerHost: r.leaderHost, Port: int(r.settings.Listen.Operator.Port())}
	if err := r.serve(ctx, &group, handler.Handle, func() bool { return ctx.Err() != nil }); err != nil {
		return err
	}
	r.log.Info("data_directory is empty; this control daemon keeps no replica and redirects requests to the owner")
	<-ctx.Done()
	r.log.Info("control daemon is stopping")
	return group.Wait()
}
