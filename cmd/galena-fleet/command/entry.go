package command

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
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
	// answerBy is when the daemon must have answered all requests. It is nil while
	// that time is not known.
	answerBy atomic.Pointer[time.Time]
}

const (
	// answerReserve is the time between the last response and the end of the grace
	// period.
	answerReserve = 500 * time.Millisecond
	// exitReserve is the time between the close of the last connection and the end
	// of the grace period.
	exitReserve = 200 * time.Millisecond
)

// stopDelay returns how long the entry continues to serve after it reports that it
// is not ready. It leaves a request that arrives last its full time.
func (e *entryDaemon) stopDelay() time.Duration {
	delay := e.settings.Process.StopDelay
	if grace := e.settings.GracePeriod; grace > 0 {
		delay = min(delay, max(0, grace-answerReserve-platform.CallerTimeout))
	}
	return delay
}

// drainTimeout returns how long connections with a request may stay open after the
// stop delay.
func (e *entryDaemon) drainTimeout() time.Duration {
	if grace := e.settings.GracePeriod; grace > 0 {
		return max(exitReserve, grace-e.stopDelay()-exitReserve)
	}
	return platform.CallerTimeout + answerReserve
}

// setAnswerBy sets the time by which requests must be answered if the daemon stops
// now.
func (e *entryDaemon) setAnswerBy() {
	if grace := e.settings.GracePeriod; grace > 0 {
		t := time.Now().Add(grace - answerReserve)
		e.answerBy.Store(&t)
	}
}

// requestDeadline returns the time by which requests must be answered, or the zero
// time.
func (e *entryDaemon) requestDeadline() time.Time {
	if t := e.answerBy.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

func runEntry(_ context.Context, path string, f galenasettings.Fleet, load loadFunc, log *galenadaemon.Log) (galenadaemon.Runner, error) {
	timers := &galenatimer.BootTimeService{}
	// The directory's queries must not wait behind requests for their turn at the owner.
	rpcClient := &galenarpc.Client{Stamped: true}
	directory := &galenafleet.Directory{RPCClient: &galenarpc.Client{}, Timers: timers, Logger: log.Logger}
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
// entries, and answers the requests that have arrived. The directory runs until
// then, since the owner may change.
func (e *entryDaemon) Run(ctx context.Context) error {
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	serveCtx, stopServing := context.WithCancel(workCtx)
	defer stopServing()
	var servers, workers errgroup.Group
	intake := e.newIntake(e.directory.MaxBody)
	callerHandler := &platform.CallerHandler{Owner: e.ownerClient, AnswerBy: e.requestDeadline, Intake: intake}
	callerServer := platform.NewServer(callerHandler.Handle, intake, e.closing.Load, e.log.Logger)
	callers := httpListen{e.settings.Listen.Caller, e.drainTimeout(), intake, e.machine().CallerConns()}
	if err := serveHTTP(serveCtx, &servers, callerServer, callers); err != nil {
		return err
	}
	statusServer := platform.NewStatusServer(e.ready, intake.WithMaxBody(galenadaemon.StatusMaxBody), e.log.Logger)
	status := httpListen{e.settings.Listen.Status, e.drainTimeout(), intake, e.machine().StatusConns()}
	if err := serveHTTP(serveCtx, &servers, statusServer, status); err != nil {
		return err
	}
	workers.Go(func() error { return e.directory.Run(workCtx) })
	workers.Go(func() error { return e.watchSettings(workCtx) })
	<-ctx.Done()
	e.setAnswerBy()
	e.closing.Store(true)
	delay := e.stopDelay()
	e.log.WithFields(logrus.Fields{
		"stop_delay": delay.String(), "grace_period": e.settings.GracePeriod.String(),
	}).Info("entry daemon is stopping")
	time.Sleep(delay)
	stopServing()
	err := servers.Wait()
	stopWork()
	return errors.Join(err, workers.Wait())
}
