package galenaentry

import (
	"context"
	"expvar"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenabroker"
	"github.com/galenahead/galenahead/galenabudget"
	"github.com/galenahead/galenahead/galenaclaim"
	"github.com/galenahead/galenahead/galenaconfig"
	"github.com/galenahead/galenahead/galenadaemon"
	"github.com/galenahead/galenahead/galenaintake"
	"github.com/galenahead/galenahead/galenametric"
	"github.com/galenahead/galenahead/galenapeer"
	"github.com/galenahead/galenahead/galenaqueue"
	"github.com/galenahead/galenahead/galenaroute"
	"github.com/galenahead/galenahead/galenarpc"
	"github.com/galenahead/galenahead/galenasettings"
	"github.com/galenahead/galenahead/galenastate"
	"github.com/galenahead/galenahead/galenatimer"
)

const (
	// stopTimeout bounds the wait for requests in flight on SIGTERM. It is the
	// longest deadline plus the time for which an attempt may outlive it.
	stopTimeout = maxDeadline + lateAnswerTimeout
	// bytesPerClaim is the memory of one claimed key, in bytes.
	bytesPerClaim = 175
	// ppm is the value of budget_ppm that stands for a share of 1.
	ppm = 1e6
	// claimPart is the part of the machine's memory that claimed keys take at most, and bodiesInBudget
	// how many of the largest bodies the budget holds where the memory is not known.
	claimPart      = 4
	bodiesInBudget = 8
	// maxAnnouncementBytes is the largest announcement, in bytes.
	maxAnnouncementBytes = 16 << 10
)

// Daemon is one entry daemon.
type Daemon struct {
	settings         galenasettings.Entry
	log              *logrus.Logger
	timers           *galenatimer.Service
	client           *galenarpc.Client
	mux              galenarpc.Mux
	peers            *galenapeer.Service
	claims           *galenaclaim.Service
	broker           *galenabroker.Service
	follower         *galenaconfig.Follower
	server           *Server
	reporter         *reporter
	suspectPublisher *suspectPublisher
	telemetry        *telemetry
	metrics          *galenametric.Metrics
	servingCache     *servingCache
	// machine is what the process may use, and intake bounds what it holds of what others send.
	machine galenaintake.Machine
	intake  *galenadaemon.Intake
	// workCtx is the context of the background work of the daemon's components.
	workCtx    context.Context
	cancelWork context.CancelFunc
	draining   chan struct{}
}

// NewDaemon returns a daemon that does nothing until Run.
func NewDaemon(s galenasettings.Entry, log *logrus.Logger, droppedLogLines func() int64) *Daemon {
	d := &Daemon{
		settings: s, log: log, timers: &galenatimer.Service{}, client: &galenarpc.Client{}, draining: make(chan struct{}),
		metrics: &galenametric.Metrics{},
	}
	d.workCtx, d.cancelWork = context.WithCancel(context.Background())
	d.machine = galenaintake.ThisMachine(s.Process.MachineMemoryMB, s.Process.MaxOpenFiles)
	d.intake = d.newIntake()
	self := galenahead.EntryName(s.Process.Name)
	entries := peerEntries(s)
	d.peers = galenapeer.New(galenapeer.Config{Self: self, Entries: entries, RPCClient: d.client, Timers: d.timers})
	d.claims = galenaclaim.New(galenaclaim.Config{
		Self: self, Entries: entries, RPCClient: d.client, Timers: d.timers, ClockTrusted: d.peers.ClockTrusted,
		MaxKeys: d.claimBytes() / bytesPerClaim, MaxResultBytes: d.machine.CacheBytes(),
	})
	d.broker = galenabroker.New(galenabroker.Config{Self: self, Entries: entries, RPCClient: d.client, Timers: d.timers})
	d.servingCache = &servingCache{timers: d.timers, decide: d.peers.Serving}
	d.follower = d.newFollower(self, entries)
	d.buildServer(self, droppedLogLines)
	for _, component := range []interface{ Register(*galenarpc.Mux) }{d.peers, d.claims, d.broker, d.follower, d.suspectPublisher} {
		component.Register(&d.mux)
	}
	return d
}

func peerEntries(s galenasettings.Entry) []galenapeer.Entry {
	entries := make([]galenapeer.Entry, 0, len(s.Entries))
	for _, e := range s.Entries {
		entries = append(entries, galenapeer.Entry{Name: e.Name, DataCentre: e.DataCentre, Address: e.Peer.String()})
	}
	return entries
}

func (d *Daemon) newFollower(self galenahead.EntryName, entries []galenapeer.Entry) *galenaconfig.Follower {
	addresses := make(map[galenahead.EntryName]string, len(entries))
	for _, e := range entries {
		addresses[e.Name] = e.Address
	}
	return galenaconfig.NewFollower(galenaconfig.FollowerConfig{
		Self: self, Control: controlAddresses(d.settings), Entries: addresses, RPCClient: d.client, Timers: d.timers,
		Peers: d.peers, OnApply: d.apply,
	})
}

func controlAddresses(s galenasettings.Entry) []string {
	list := make([]string, 0, len(s.Control))
	for _, c := range s.Control {
		list = append(list, c.Peer.String())
	}
	return list
}

func (d *Daemon) buildServer(self galenahead.EntryName, droppedLogLines func() int64) {
	d.telemetry = &telemetry{
		configured: func(s galenahead.ServiceName) bool { _, ok := d.follower.Config().Services[s]; return ok },
		log:        d.log, metrics: d.metrics, budgets: galenabudget.New(galenabudget.Config{}), droppedLogLines: droppedLogLines,
	}
	router := galenaroute.New(galenaroute.Config{Entry: self, DataCentre: d.settings.Process.DataCentre})
	d.server = NewServer(ServerConfig{
		Name: self, Timers: d.timers, ServingPolicy: d, Claims: d.claims, Slots: d.broker, Router: router, Observer: d.telemetry,
		MaxBody: d.settings.Limits.MaxBodyKB << 10, Entries: len(d.settings.Entries), LiveEntries: d.peers.LiveCount,
		Limits: galenaqueue.Config{
			MaxRequests: d.settings.Limits.QueuePerService, MaxBytes: min(d.settings.Limits.QueueMB<<20, int(d.intake.Budget.Bytes/2)),
		},
		Intake: d.intake, MaxConns: d.machine.ForwardedConns(), Log: d.log,
	})
	d.intake.Refuse = d.server.httpHandler.refuse
	d.suspectPublisher = &suspectPublisher{self: self, client: d.client, router: router, timers: d.timers}
	for _, e := range d.settings.Entries {
		if e.Name != self {
			d.suspectPublisher.peers = append(d.suspectPublisher.peers, e.Peer.String())
		}
	}
	d.reporter = &reporter{
		self: self, controlAddresses: controlAddresses(d.settings), rpcClient: d.client, timers: d.timers,
		follower: d.follower, broker: d.broker, budgets: d.telemetry.budgets,
	}
}

// apply applies a new configuration at this entry.
func (d *Daemon) apply(c galenastate.Config) {
	var drained []galenahead.VMName
	for _, vm := range c.VMs {
		if !vm.Usable() {
			drained = append(drained, vm.Name)
		}
	}
	d.broker.SetDrained(drained)
	names := make([]galenahead.ServiceName, 0, len(c.Services))
	services := make([]Service, 0, len(c.Services))
	targets := make(map[galenahead.ServiceName]float64, len(c.Services))
	for _, s := range c.Services {
		names = append(names, s.Name)
		targets[s.Name] = 1 - float64(s.BudgetPPM)/ppm
		services = append(services, toService(s))
	}
	d.telemetry.budgets.SetTargets(targets)
	d.broker.SetServices(names)
	d.server.SetServices(d.workCtx, services)
}

func toService(s galenastate.Service) Service {
	weights := make(map[galenahead.CallerName]int, len(s.Callers))
	for _, c := range s.Callers {
		weights[c.Caller] = int(c.Share)
	}
	return Service{Name: s.Name, Weights: weights, Connections: int(s.Connections)}
}

// CheckServing implements ServingPolicy.
func (d *Daemon) CheckServing() error { return d.servingCache.check() }

// DefaultDeadline implements ServingPolicy.
func (d *Daemon) DefaultDeadline(service galenahead.ServiceName) time.Duration {
	if s, ok := d.follower.Config().Services[service]; ok && s.DeadlineMS > 0 {
		return min(time.Duration(s.DeadlineMS)*time.Millisecond, maxDeadline)
	}
	return d.settings.Limits.DefaultDeadline
}

// Run serves until ctx ends, stops gracefully and returns nil, or returns the
// first error.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.client.Close()
	defer d.cancelWork()
	g, workCtx := errgroup.WithContext(d.workCtx)
	if err := d.startServers(workCtx, g); err != nil {
		return err
	}
	for _, component := range []interface{ Run(context.Context) error }{d.peers, d.claims, d.follower, d.reporter, d.suspectPublisher} {
		g.Go(func() error { return component.Run(workCtx) })
	}
	brokerCtx, stopBroker := context.WithCancel(workCtx)
	defer stopBroker()
	brokerStopped := make(chan struct{})
	g.Go(func() error {
		defer close(brokerStopped)
		return d.broker.Run(brokerCtx)
	})
	d.telemetry.metrics.Publish("galena_entry")
	expvar.Publish("galena_log_dropped", expvar.Func(func() any { return d.telemetry.droppedLogLines() }))
	select {
	case <-ctx.Done():
	case <-workCtx.Done():
		return g.Wait()
	}
	err := d.stop(workCtx)
	stopBroker()
	<-brokerStopped
	d.cancelWork()
	if serveErr := g.Wait(); serveErr != nil {
		return serveErr
	}
	return err
}

// stop reports the entry as not ready, gives the load balancer time to notice it
// and finishes the requests in flight.
func (d *Daemon) stop(workCtx context.Context) error {
	close(d.draining)
	// Another entry becomes broker while the load balancer redirects requests.
	d.broker.StepDown(workCtx)
	select {
	case <-workCtx.Done():
	case <-d.timers.After(workCtx, d.settings.Process.StopDelay):
	}
	ctx, cancel := context.WithTimeout(workCtx, stopTimeout)
	defer cancel()
	return d.server.Stop(ctx)
}

// startServers opens the four listeners and starts serving on them.
func (d *Daemon) startServers(ctx context.Context, g *errgroup.Group) error {
	callers, err := galenadaemon.Listen(d.settings.Listen.Caller)
	if err != nil {
		return err
	}
	upstreams, err := galenadaemon.Listen(d.settings.Listen.Upstream)
	if err != nil {
		return err
	}
	status, err := galenadaemon.Listen(d.settings.Listen.Status)
	if err != nil {
		return err
	}
	peers, err := galenadaemon.Listen(d.settings.Listen.Peer)
	if err != nil {
		return err
	}
	n := &announcer{announce: d.announce, intake: d.pageIntake(maxAnnouncementBytes)}
	pages := map[string]fasthttp.RequestHandler{"/budgets": d.serveBudgets, "/services": d.serveServices}
	g.Go(func() error { return d.server.Serve(ctx, callers) })
	g.Go(func() error {
		srv := &galenadaemon.HTTPServer{
			Server: galenadaemon.NewServer(n.serve, n.intake, d.log),
			Conns:  galenaintake.Conns{Max: d.machine.AnnouncerConns(), Displaced: d.intake.CountDisplaced},
		}
		return srv.Serve(ctx, upstreams)
	})
	g.Go(func() error {
		s := &galenadaemon.StatusServer{Ready: d.ready, Handlers: pages, Intake: d.pageIntake(galenadaemon.StatusMaxBody)}
		return s.Serve(ctx, status, d.machine.StatusConns(), d.log)
	})
	g.Go(func() error {
		s := &galenarpc.Server{
			Mux: &d.mux, Budget: d.machine.NewBudget(),
			Conns: galenaintake.Conns{Max: d.machine.EntryPeerConns(), Displaced: d.intake.CountDisplaced},
		}
		return s.Serve(ctx, peers)
	})
	return nil
}

// newIntake returns the bounds of the server of callers. Where the memory of the machine is not known,
// the largest body always has room.
func (d *Daemon) newIntake() *galenadaemon.Intake {
	maxBody := d.settings.Limits.MaxBodyKB << 10
	budget := d.machine.NewBudget()
	if d.machine.MemoryMB == 0 {
		budget.Bytes = max(budget.Bytes, bodiesInBudget*int64(maxBody))
	}
	return &galenadaemon.Intake{Budget: budget, MaxBody: func() int { return maxBody }, Logger: d.log, Metrics: d.metrics}
}

// pageIntake returns the bounds of the other servers, which share the budget and have a limit of bodies
// of their own.
func (d *Daemon) pageIntake(maxBody int) *galenadaemon.Intake {
	i := d.intake.WithMaxBody(maxBody)
	i.Refuse = nil
	return i
}

// claimBytes returns the memory of the claimed keys.
func (d *Daemon) claimBytes() int {
	n := d.settings.Limits.ClaimMemoryMB << 20
	if d.machine.MemoryMB > 0 {
		n = min(n, d.machine.MemoryMB<<20/claimPart)
	}
	return n
}

// announce forwards an announcement for a configured service to its broker.
func (d *Daemon) announce(ctx context.Context, a galenahead.Announcement) error {
	s, ok := d.follower.Config().Services[a.Service]
	if !ok {
		return eris.Wrapf(galenahead.ErrNotFound, "service %s is not configured at this entry", a.Service)
	}
	// An instance may declare far too much, so the configuration limits it.
	a.Slots = min(a.Slots, int(s.Slots))
	a.Connections = min(a.Connections, int(s.Connections))
	return d.broker.Announce(ctx, a)
}

// ready returns nil if the load balancer should send requests to this entry, and
// otherwise the reason why not.
func (d *Daemon) ready() error {
	select {
	case <-d.draining:
		return eris.Wrap(galenahead.ErrNotReady, "stopping")
	default:
	}
	if err := d.CheckServing(); err != nil {
		return err
	}
	// An entry that has just started cannot vote on claims yet. Others can serve
	// meanwhile, so the load balancer need not send requests here.
	if !d.claims.Ready() {
		return eris.Wrap(galenahead.ErrNotReady, "claim replica has just started or its clock is not trusted")
	}
	return nil
}

// serveBudgets serves the error budgets, counted from the requests that this
// entry answered.
func (d *Daemon) serveBudgets(c *fasthttp.RequestCtx) {
	body, err := d.telemetry.budgets.JSON(d.timers.Now())
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	d.intake.Answer(c, body)
}
