package galenacontrol

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenaconfig"
	"github.com/galenahead/galenahead/galenadaemon"
	"github.com/galenahead/galenahead/galenaintake"
	"github.com/galenahead/galenahead/galenametric"
	"github.com/galenahead/galenahead/galenapb"
	"github.com/galenahead/galenahead/galenaraft"
	"github.com/galenahead/galenahead/galenarpc"
	"github.com/galenahead/galenahead/galenasettings"
	"github.com/galenahead/galenahead/galenastate"
	"github.com/galenahead/galenahead/galenatimer"
)

const (
	// leadershipTransferTimeout bounds the wait until another replica leads.
	leadershipTransferTimeout = 2 * time.Second
	// gracefulStopTimeout bounds the wait for operators' calls in flight.
	gracefulStopTimeout = 5 * time.Second
	// maxOperatorMessage is the largest size of an operator's request in bytes.
	maxOperatorMessage = 1 << 20
)

// Daemon is one control daemon.
type Daemon struct {
	settings        galenasettings.Control
	log             *logrus.Logger
	timers          *galenatimer.Service
	client          *galenarpc.Client
	store           *Store
	node            *galenaraft.Node
	mux             galenarpc.Mux
	operatorService *OperatorService
	driver          *Driver
	metrics         galenametric.Metrics
	// fatal receives the first error after which the process must end.
	fatal chan error
	// grpcServer serves operatorService, and operatorIntake bounds what it holds of calls.
	grpcServer     *grpc.Server
	operatorIntake *operatorIntake
	// machine is what the process may use, and intake bounds what its status server holds.
	machine  galenaintake.Machine
	intake   *galenadaemon.Intake
	stopping atomic.Bool
}

// NewDaemon opens the data directory and returns a daemon that serves once Run
// is called.
func NewDaemon(s galenasettings.Control, log *logrus.Logger) (*Daemon, error) {
	d := &Daemon{
		settings: s, log: log, timers: &galenatimer.Service{}, client: &galenarpc.Client{},
		store: &Store{}, fatal: make(chan error, 1),
		machine: galenaintake.ThisMachine(s.Process.MachineMemoryMB, s.Process.MaxOpenFiles),
	}
	d.intake = (&galenadaemon.Intake{Budget: d.machine.NewBudget(), Logger: log, Metrics: &d.metrics}).WithMaxBody(galenadaemon.StatusMaxBody)
	d.operatorIntake = &operatorIntake{
		budget: d.intake.Budget, conns: galenaintake.Conns{Max: d.machine.PeerConns(), Displaced: d.intake.CountDisplaced},
	}
	d.grpcServer = grpc.NewServer(d.operatorIntake.serverOptions()...)
	node, err := galenaraft.Open(galenaraft.Config{
		Name: galenahead.ReplicaName(s.Process.Name), Path: s.DataDirectory, StateMachine: d.store,
		RPCClient: d.client, Timers: d.timers, Log: log, Fatal: d.reportFatal,
	})
	if err != nil {
		return nil, eris.Wrapf(err, "open data directory %s", s.DataDirectory)
	}
	d.node = node
	d.store.Log = node
	d.buildComponents()
	return d, nil
}

// reportFatal makes Run return err, which ends the process. After a failed sync
// the process cannot know which of its writes are durable.
func (d *Daemon) reportFatal(err error) {
	select {
	case d.fatal <- err:
	default:
	}
}

func (d *Daemon) buildComponents() {
	entries := make([]galenahead.EntryName, 0, len(d.settings.Entries))
	for _, e := range d.settings.Entries {
		entries = append(entries, e.Name)
	}
	publisher := galenaconfig.NewPublisher(d.store, d.timers, entries)
	reports := &ReportCollector{Timers: d.timers, Store: d.store, Entries: entries}
	d.node.Register(&d.mux)
	publisher.Register(&d.mux)
	reports.Register(&d.mux)
	addresses := make(map[galenahead.ReplicaName]string)
	for _, c := range d.settings.Control {
		addresses[c.Name] = c.Operator.String()
	}
	initialSettings := map[string]float64{
		galenastate.SettingBufferCost:  d.settings.Weights.BufferCost,
		galenastate.SettingRolloutTime: d.settings.Weights.RolloutTime,
	}
	d.operatorService = &OperatorService{
		Store: d.store, Publisher: publisher, Timers: d.timers, Addresses: addresses,
		PeerAddress: d.settings.Listen.Peer.String(), OnRollout: d.recordRollout, InitialSettings: initialSettings,
	}
	d.driver = &Driver{
		Store: d.store, Reports: reports, Timers: d.timers, Log: d.log, Metrics: &d.metrics,
		Platform: &PlatformClient{Address: d.settings.Platform.Worker.String()}, RenewInterval: d.settings.Platform.RenewInterval,
		InitialSettings: initialSettings,
	}
}

// Run serves until ctx ends, then transfers the leadership and returns nil. It
// returns the first error of a component.
func (d *Daemon) Run(ctx context.Context) error {
	operatorListener, err := galenadaemon.Listen(d.settings.Listen.Operator)
	if err != nil {
		return err
	}
	peerListener, err := galenadaemon.Listen(d.settings.Listen.Peer)
	if err != nil {
		return err
	}
	statusListener, err := galenadaemon.Listen(d.settings.Listen.Status)
	if err != nil {
		return err
	}
	d.metrics.Publish("galena_control")
	// The components keep serving during the leadership transfer.
	servingCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, servingCtx := errgroup.WithContext(servingCtx)
	g.Go(func() error { return d.node.Run(servingCtx) })
	g.Go(func() error {
		s := &galenarpc.Server{
			Mux: &d.mux, Budget: d.machine.NewBudget(),
			Conns: galenaintake.Conns{Max: d.machine.PeerConns(), Displaced: d.intake.CountDisplaced},
		}
		return s.Serve(servingCtx, peerListener)
	})
	g.Go(func() error { return d.serveOperators(servingCtx, d.operatorIntake.listen(operatorListener)) })
	g.Go(func() error {
		s := &galenadaemon.StatusServer{Ready: d.ready, Intake: d.intake}
		return s.Serve(servingCtx, statusListener, d.machine.StatusConns(), d.log)
	})
	g.Go(func() error { return d.driver.Run(servingCtx) })
	g.Go(func() error { return d.waitForShutdown(ctx, servingCtx, stop) })
	err = g.Wait()
	d.client.Close()
	return err
}

// waitForShutdown waits for a fatal error or the end of ctx. At the end of ctx
// it shuts the daemon down in order: readiness fails for StopDelay, then the
// leadership is transferred, operators' calls finish, and stop is called.
func (d *Daemon) waitForShutdown(ctx, servingCtx context.Context, stop context.CancelFunc) error {
	select {
	case <-servingCtx.Done():
		return nil
	case err := <-d.fatal:
		return err
	case <-ctx.Done():
	}
	d.stopping.Store(true)
	select {
	case <-servingCtx.Done():
	case <-d.timers.After(servingCtx, d.settings.Process.StopDelay):
	}
	d.transferLeadership()
	d.stopOperatorServer()
	stop()
	return nil
}

// stopOperatorServer accepts no more operators' calls and waits for those in
// flight, for at most gracefulStopTimeout.
func (d *Daemon) stopOperatorServer() {
	stopper := &gracefulStopper{server: d.grpcServer, done: make(chan struct{})}
	go stopper.run()
	select {
	case <-stopper.done:
	case <-d.timers.After(context.Background(), gracefulStopTimeout):
	}
}

// gracefulStopper stops a gRPC server and closes done once its calls have ended.
type gracefulStopper struct {
	server *grpc.Server
	done   chan struct{}
}

func (s *gracefulStopper) run() {
	defer close(s.done)
	s.server.GracefulStop()
}

// transferLeadership transfers the leadership to another replica if this one
// leads.
func (d *Daemon) transferLeadership() {
	ctx, cancel := context.WithTimeout(context.Background(), leadershipTransferTimeout)
	defer cancel()
	// If the transfer fails, the others elect a leader after the election timeout.
	if err := d.node.TransferLeadership(ctx); err != nil {
		d.log.WithField("error", err.Error()).Info("leadership transfer failed")
	}
}

func (d *Daemon) serveOperators(ctx context.Context, ln net.Listener) error {
	galenapb.RegisterControlServer(d.grpcServer, d.operatorService)
	stop := context.AfterFunc(ctx, func() { d.operatorIntake.stop(d.grpcServer) })
	defer stop()
	if err := d.grpcServer.Serve(ln); err != nil && ctx.Err() == nil {
		return eris.Wrap(err, "serve operators' calls")
	}
	return nil
}

// recordRollout records the rollout time of one configuration change in the
// metrics.
func (d *Daemon) recordRollout(took time.Duration) { d.metrics.Rollout.Record("configuration", took) }

// ready returns nil if this replica knows a leader and is not stopping.
func (d *Daemon) ready() error {
	if d.stopping.Load() {
		return eris.New("stopping")
	}
	if d.node.Status().Leader == "" {
		return eris.New("no leader known")
	}
	return nil
}
