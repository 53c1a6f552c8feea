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

// entry answers callers.
type entry struct {
	daemon
	closing atomic.Bool
}

func runEntry(_ context.Context, path string, f galenasettings.Fleet, load loader, log *galenadaemon.Log) (galenadaemon.Runner, error) {
	timers := &galenatimer.Steady{}
	caller := &galenarpc.Client{}
	directory := &galenafleet.Directory{Caller: caller, Timers: timers, Logger: log.Logger}
	directory.SetSeeds(f.Control.SeedPeers())
	metrics := &galenametric.Metrics{}
	metrics.Publish("galena")
	return &entry{daemon: daemon{
		path: path, settings: f, load: load, log: log, timers: timers, directory: directory,
		gateway: &galenafleet.Gateway{Directory: directory, Caller: caller, Logger: log.Logger, Metrics: metrics},
	}}, nil
}

var errNoOwner = eris.New("no control daemon leads, as far as is known")

// ready tells whether requests can be answered here.
func (e *entry) ready() error {
	if e.closing.Load() {
		return eris.New("the entry stops")
	}
	if _, ok := e.directory.Leader(); !ok {
		return errNoOwner
	}
	return nil
}

// Run serves until ctx ends. It then reports that it is not ready, goes on for
// the stop delay, so that the balancer sends callers elsewhere, and finishes
// what has begun.
func (e *entry) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	front := &platform.Front{Fleet: e.gateway}
	if err := serveHTTP(serving, &group, platform.NewServer(front.Handle, e.closing.Load), e.settings.Listen.Caller); err != nil {
		return err
	}
	status := platform.NewStatus(e.ready)
	if err := serveHTTP(serving, &group, status, e.settings.Listen.Status); err != nil {
		return err
	}
	group.Go(func() error { return e.directory.Run(serving) })
	group.Go(func() error { return e.watchSettings(serving) })
	<-ctx.Done()
	e.closing.Store(true)
	e.log.WithField("stop_delay", e.settings.Process.StopDelay.String()).Info("entry stops")
	time.Sleep(e.settings.Process.StopDelay)
	stop()
	return group.Wait()
}
