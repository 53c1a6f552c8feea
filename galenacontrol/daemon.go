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
	"github.com/galenahead/galenahead/galenametric"
	"github.com/galenahead/galenahead/galenapb"
	"github.com/galenahead/galenahead/galenaraft"
	"github.com/galenahead/galenahead/galenarpc"
	"github.com/galenahead/galenahead/galenasettings"
	"github.com/galenahead/galenahead/galenastate"
	"github.com/galenahead/galenahead/galenatimer"
)

const (
	// handOverTimeout bounds the wait for another replica to take over.
	handOverTimeout = 2 * time.Second
	// finishTimeout bounds the wait for operators' calls in flight.
	finishTimeout = 5 * time.Second
	// maxOperatorMessage is the largest operators' request, in bytes.
	maxOperatorMessage = 1 << 20
)

// Daemon is one control daemon.
type Daemon struct {
	settings galenasettings.Control
	log      *logrus.Logger
	timers   *galenatimer.Service
	client   *galenarpc.Client
	store    *Store
	node     *galenaraft.Node
	mux      galenarpc.Mux
	operator *Operator
	driver   *Driver
	metrics  galenametric.Metrics
	fatal    chan error
	// operators serves operators' calls.
	operators *grpc.Server
	stopping  atomic.Bool
}

// NewDaemon opens the data directory of a control daemon.
func NewDaemon(s galenasettings.Control, log *logrus.Logger) (*Daemon, error) {
	d := &Daemon{
		settings: s, log: log, timers: &galenatimer.Service{}, client: &galenarpc.Client{},
		store: &Store{}, fatal: make(chan error, 1),
		operators: grpc.NewServer(grpc.MaxRecvMsgSize(maxOperatorMessage)),
	}
	node, err := galenaraft.Open(galenaraft.Config{
		Name: galenahead.ReplicaName(s.Process.Name), Path: s.DataDirectory, StateMachine: d.store,
		Caller: d.client, Timers: d.timers, Log: log, Fatal: d.fail,
	})
	if err != nil {
		return nil, eris.Wrapf(err, "open data directory %s", s.DataDirectory)
	}
	d.node = node
	d.store.Log = node
	d.wire()
	return d, nil
}

// fail ends the process: after a failed sync nothing is known to be durable.
func (d *Daemon) fail(err error) {
	select {
	case d.fatal <- err:
	default:
	}
}

func (d *Daemon) wire() {
	entries := make([]galenahead.EntryName, 0, len(d.settings.Entries))
	for _, e := range d.settings.Entries {
		entries = append(entries, e.Name)
	}
	publisher := galenaconfig.NewPublisher(d.store, d.timers, entries)
	reports := &Reports{Timers: d.timers, Store: d.store}
	d.node.Register(&d.mux)
	publisher.Register(&d.mux)
	reports.Register(&d.mux)
	addresses := make(map[galenahead.ReplicaName]string)
	for _, c := range d.settings.Control {
		addresses[c.Name] = c.Operator.String()
	}
	weights := map[string]float64{
		galenastate.SettingBufferCost:  d.settings.Weights.BufferCost,
		galenastate.SettingRolloutTime: d.settings.Weights.RolloutTime,
	}
	d.operator = &Operator{
		Store: d.store, Publisher: publisher, Timers: d.timers, Addresses: addresses,
		PeerAddress: d.settings.Listen.Peer.String(), RolledOut: d.rolledOut, Initial: weights,
	}
	d.driver = &Driver{
		Store: d.store, Reports: reports, Timers: d.timers, Log: d.log, Metrics: &d.metrics,
		Platform: &Platform{Address: d.settings.Platform.Worker.String()}, RenewInterval: d.settings.Platform.RenewInterval,
		Weights: weights,
	}
}

// Run serves until ctx ends, hands the leadership over and returns nil, or
// returns the first error.
func (d *Daemon) Run(ctx context.Context) error {
	operators, err := galenadaemon.Listen(d.settings.Listen.Operator)
	if err != nil {
		return err
	}
	peers, err := galenadaemon.Listen(d.settings.Listen.Peer)
	if err != nil {
		return err
	}
	status, err := galenadaemon.Listen(d.settings.Listen.Status)
	if err != nil {
		return err
	}
	d.metrics.Publish("galena_control")
	// Serving goes on while the leadership is handed over.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, serving := errgroup.WithContext(serving)
	g.Go(func() error { return d.node.Run(serving) })
	g.Go(func() error { return (&galenarpc.Server{Mux: &d.mux}).Serve(serving, peers) })
	g.Go(func() error { return d.serveOperators(serving, operators) })
	g.Go(func() error { return (&galenadaemon.Status{Ready: d.ready}).Serve(serving, status) })
	g.Go(func() error { return d.driver.Run(serving) })
	g.Go(func() error { return d.awaitStop(ctx, serving, stop) })
	err = g.Wait()
	d.client.Close()
	return err
}

// awaitStop waits for the end of ctx or a fatal error.
func (d *Daemon) awaitStop(ctx, serving context.Context, stop context.CancelFunc) error {
	select {
	case <-serving.Done():
		return nil
	case err := <-d.fatal:
		return err
	case <-ctx.Done():
	}
	d.stopping.Store(true)
	select {
	case <-serving.Done():
	case <-d.timers.After(serving, d.settings.Process.StopDelay):
	}
	d.handOver()
	d.finishCalls()
	stop()
	return nil
}

// finishCalls waits for the operators' calls in flight.
func (d *Daemon) finishCalls() {
	s := &gracefulStop{server: d.operators, done: make(chan struct{})}
	go s.run()
	select {
	case <-s.done:
	case <-d.timers.After(context.Background(), finishTimeout):
	}
}

// gracefulStop stops a gRPC server once its calls have ended.
type gracefulStop struct {
	server *grpc.Server
	done   chan struct{}
}

func (s *gracefulStop) run() {
	defer close(s.done)
	s.server.GracefulStop()
}

// handOver gives the leadership to another replica, if this one leads.
func (d *Daemon) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	// Without a successor the others elect one after the election timeout.
	if err := d.node.TransferLeadership(ctx); err != nil {
		d.log.WithField("error", err.Error()).Info("leadership was not handed over")
	}
}

func (d *Daemon) serveOperators(ctx context.Context, ln net.Listener) error {
	galenapb.RegisterControlServer(d.operators, d.operator)
	stop := context.AfterFunc(ctx, d.operators.Stop)
	defer stop()
	if err := d.operators.Serve(ln); err != nil && ctx.Err() == nil {
		return eris.Wrap(err, "serve operators")
	}
	return nil
}

// rolledOut records the roll-out time of one configuration change.
func (d *Daemon) rolledOut(took time.Duration) { d.metrics.Rollout.Record("configuration", took) }

// ready reports whether this replica knows a leader and is not stopping.
func (d *Daemon) ready() error {
	if d.stopping.Load() {
		return eris.New("stopping")
	}
	if d.node.Status().Leader == "" {
		return eris.New("no leader known")
	}
	return nil
}
