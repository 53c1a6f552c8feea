package galenaentry

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenadaemon"
	"github.com/galenahead/galenahead/galenaintake"
	"github.com/galenahead/galenahead/galenaqueue"
	"github.com/galenahead/galenahead/galenaretry"
	"github.com/galenahead/galenahead/galenaroute"
	"github.com/galenahead/galenahead/galenaupstream"
)

const (
	// idleSweepPeriod is how often idle connections to upstreams are checked.
	idleSweepPeriod = time.Second
	// idleTimeout is how long a caller's connection may stay idle.
	idleTimeout = 2 * time.Minute
)

// ServerConfig configures a Server. Only MaxBody, Entries and Limits may be
// zero.
type ServerConfig struct {
	Name          galenahead.EntryName
	Timers        galenahead.Timers
	ServingPolicy ServingPolicy
	Claims        galenahead.Claimer
	Slots         slotPool
	Router        *galenaroute.Router
	Observer      Observer
	// LiveEntries returns how many entries are live.
	LiveEntries func() int
	// MaxBody is the largest request and answer body, in bytes; 0 means 16 MiB.
	MaxBody int
	// Entries is the number of configured entries, which share the connections
	// to each instance; 0 means 1.
	Entries int
	// Limits bounds the queue of each service.
	Limits galenaqueue.Config
	// Intake bounds what the server holds of callers' requests and of unread answers. It may be nil.
	Intake *galenadaemon.Intake
	// MaxConns bounds the connections of callers; 0 means no bound.
	MaxConns int
	// Log gets a line for what goes wrong with connections.
	Log *logrus.Logger
}

// Server answers the requests of callers.
type Server struct {
	cfg           ServerConfig
	dispatchers   *dispatchers
	forwarder     *forwarder
	httpHandler   *httpHandler
	claimRecorder *claimRecorder
}

const defaultMaxBody = 16 << 20

// NewServer returns a server without services; SetServices adds them.
func NewServer(cfg ServerConfig) *Server {
	if cfg.MaxBody == 0 {
		cfg.MaxBody = defaultMaxBody
	}
	sender := &galenaupstream.Sender{MaxBody: cfg.MaxBody}
	s := &Server{cfg: cfg, claimRecorder: &claimRecorder{Claimer: cfg.Claims}}
	s.dispatchers = &dispatchers{slots: cfg.Slots, router: cfg.Router, timers: cfg.Timers, pool: &sender.Pool, liveEntries: cfg.LiveEntries}
	s.forwarder = &forwarder{sender: sender, timers: cfg.Timers}
	s.httpHandler = &httpHandler{
		name: cfg.Name, started: cfg.Timers.Now(), policy: cfg.ServingPolicy, timers: cfg.Timers, observer: cfg.Observer, intake: cfg.Intake,
		rejectStopping: Chain(func(context.Context, *Exchange) galenahead.Answer {
			return galenahead.NotRun(ReasonEntryStopping)
		}, claimFilter(s.claimRecorder)),
		pipeline: Chain(s.forwarder.handle,
			claimFilter(s.claimRecorder),
			retryFilter(&galenaretry.Budgets{}, cfg.Timers),
			queueFilter(s.dispatchers),
		),
	}
	return s
}

// Service is the part of a service's configuration that the server needs.
type Service struct {
	Name galenahead.ServiceName
	// Weights are the callers' relative shares of the slots.
	Weights map[galenahead.CallerName]int
	// Connections is how many connections all entries together may open to one
	// instance; 0 means no bound.
	Connections int
}

// SetServices starts the dispatchers of new services, updates the settings of
// the others and stops those of services that are not listed. All dispatchers
// stop when ctx ends.
func (s *Server) SetServices(ctx context.Context, services []Service) {
	configured := make(map[galenahead.ServiceName]bool, len(services))
	for _, svc := range services {
		configured[svc.Name] = true
		cfg := s.cfg.Limits
		cfg.Estimate = s.estimate
		d := s.dispatchers.getOrStart(ctx, svc.Name, cfg)
		d.queue.SetWeights(svc.Weights)
		d.connectionLimit.Store(s.connectionShare(svc.Connections))
	}
	s.dispatchers.stopUnconfigured(configured)
}

// connectionShare returns this entry's part of total, the number of connections
// that all entries together may open to one instance. Every entry needs at least
// one.
func (s *Server) connectionShare(total int) int64 {
	if total <= 0 {
		return 0
	}
	return int64(max(1, total/max(1, s.cfg.Entries)))
}

// estimate returns the learned run time of a request.
func (s *Server) estimate(r galenahead.Request) galenaqueue.Estimate {
	times := &s.cfg.Router.Times
	class, ok := times.Summary(r.Service, galenaroute.Class(r))
	if !ok {
		return galenaqueue.Estimate{}
	}
	all, _ := times.Summary(r.Service, "")
	return galenaqueue.Estimate{Low: class.Low, High: class.High, Mean: all.Mean}
}

// Serve answers callers on ln until ctx ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	srv := galenadaemon.NewServer(s.httpHandler.serve, s.cfg.Intake, s.cfg.Log)
	srv.ErrorHandler, srv.IdleTimeout, srv.NoDefaultContentType = s.httpHandler.rejectUnreadable, idleTimeout, true
	go s.loopSweep(ctx)
	server := &galenadaemon.HTTPServer{
		Server: srv, Conns: galenaintake.Conns{Max: s.cfg.MaxConns, Displaced: s.cfg.Intake.CountDisplaced},
	}
	return server.Serve(ctx, ln)
}

// loopSweep closes idle connections to upstreams until ctx ends.
func (s *Server) loopSweep(ctx context.Context) {
	ticks := s.cfg.Timers.Subscribe(ctx, "entry.idle", idleSweepPeriod)
	for {
		select {
		case <-ctx.Done():
			s.forwarder.sender.Pool.Close()
			return
		case now := <-ticks:
			s.forwarder.sender.Pool.CloseExpired(now)
		}
	}
}

// InFlight returns the number of requests being handled.
func (s *Server) InFlight() int64 { return s.httpHandler.inFlight.Load() }

// Stop rejects new requests and waits until those in flight have ended, including
// attempts whose callers no longer wait and results that are being recorded. It
// fails with the context's error.
func (s *Server) Stop(ctx context.Context) error {
	s.httpHandler.stopping.Store(true)
	w := &drainWait{server: s, done: make(chan struct{})}
	go w.run()
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "requests still in flight")
	}
}

// drainWait waits for the requests in flight.
type drainWait struct {
	server *Server
	done   chan struct{}
}

// drainPollInterval is how often a stopping entry counts its requests in flight.
const drainPollInterval = 10 * time.Millisecond

func (w *drainWait) run() {
	defer close(w.done)
	for w.server.InFlight() > 0 {
		time.Sleep(drainPollInterval)
	}
	w.server.forwarder.inFlight.Wait()
	w.server.claimRecorder.inFlight.Wait()
}
