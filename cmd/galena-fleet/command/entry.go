package command

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/galenahead/galenahead/galenadaemon"
	"github.com/galenahead/galenahead/galenafleet"
	"github.com/galenahead/galenahead/galenametric"
	"github.com/galenahead/galenahead/galenarpc"
	"github.com/galenahead/galenahead/galenasettings"
	"github.com/galenahead/galenahead/galenatimer"
	"github.com/galenahead/galenahead/platform"
)

// entryDaemon serves callers by forwarding their requests to the owner of the
// fleet.
type entryDaemon struct {
	baseDaemon
	closing atomic.Bool
}

func runEntry(_ context.Context, path string, f galenasettings.Fleet, load loadFunc, log *galenadaemon.Log) (galenadaemon.Runner, error) {
	timers := &galenatimer.BootTimeService{}
	rpcClient := &galenarpc.Client{}
	directory := &galenafleet.Directory{RPCClient: rpcClient, Timers: timers, Logger: log.Logger}
	directory.SetSeeds(f.Control.SeedPeers())
	metrics := &galenametric.Metrics{}
	metrics.Publish("galena")
	return &entryDaemon{baseDaemon: baseDaemon{
		path: path, settings: f, load: load, log: log, timers: timers, directory: directory,
		ownerClient: &galenafleet.OwnerClient{Directory: directory, RPCClient: rpcClient, Logger: log.Logger, Metrics: metrics},
	}}, nil
}

// errNoLeader is the response of /ready and /readiness while no leader is known.
var errNoLeader = eris.New("no control daemon leads, as far as is known")

// ready returns nil if the entry can serve requests, which takes a known leader.
func (e *entryDaemon) ready() error {
	if e.closing.Load() {
		return eris.New("the entry stops")
	}
	if _, ok := e.directory.Leader(); !ok {
		return errNoLeader
	}
	return nil
}

// Run serves until ctx ends. It then reports that it is not ready, continues to
// serve for the stop delay, so that the load balancer sends callers to other
// entries, and finishes the requests in flight.
func (e *entryDaemon) Run(ctx context.Context) error {
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	callerHandler := &platform.CallerHandler{Owner: e.ownerClient}
	if err := serveHTTP(serveCtx, &group, platform.NewServer(callerHandler.Handle, e.closing.Load), e.settings.Listen.Caller); err != nil {
		return err
	}
	statusServer := platform.NewStatusServer(e.ready)
	if err := serveHTTP(serveCtx, &group, statusServer, e.settings.Listen.Status); err != nil {
		return err
	}
	group.Go(func() error { return e.directory.Run(serveCtx) })
	group.Go(func() error { return e.watchSettings(serveCtx) })
	<-ctx.Done()
	e.closing.Store(true)
	e.log.WithField("stop_delay", e.settings.Process.StopDelay.String()).Info("entry daemon is stopping")
	time.Sleep(e.settings.Process.StopDelay)
	stop()
	return group.Wait()
}
