package galenaentry

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenadaemon"
	"github.com/galenahead/galenahead/galenaqueue"
	"github.com/galenahead/galenahead/galenaretry"
	"github.com/galenahead/galenahead/galenaroute"
	"github.com/galenahead/galenahead/galenaupstream"
)

const (
	// sweepIdlePeriod is how often idle connections to upstreams are looked at.
	sweepIdlePeriod = time.Second
	// idleTimeout closes callers' idle connections.
	idleTimeout = 2 * time.Minute
	// readTimeout bounds the time a caller may take to send a request.
	readTimeout = 30 * time.Second
)

// ServerConfig configures a Server. Only MaxBody,
// Entries and Limits may be zero.
type ServerConfig struct {
	Name     galenahead.EntryName
	Timers   galenahead.Timers
	Gate     Gate
	Claims   galenahead.Claimer
	Slots    slotPool
	Router   *galenaroute.Router
	Observer Observer
	// LiveEntries returns how many entries are live.
	LiveEntries func() int
	// MaxBody is the largest request and answer body, in bytes; 0 means 16 MiB.
	MaxBody int
	// Entries is the number of configured entries, which share the connections
	// to each instance; 0 means 1.
	Entries int
	// Limits bounds the queue of each service.
	Limits galenaqueue.Config
}

// Server answers callers.
type Server struct {
	cfg      ServerConfig
	lanes    *lanes
	attempts *attempts
	accept   *acceptor
	claims   *recordedClaims
}

const defaultMaxBody = 16 << 20

// NewServer returns a server without services; SetServices adds them.
func NewServer(cfg ServerConfig) *Server {
	if cfg.MaxBody == 0 {
		cfg.MaxBody = defaultMaxBody
	}
	sender := &galenaupstream.Sender{MaxBody: cfg.MaxBody}
	s := &Server{cfg: cfg, claims: &recordedClaims{Claimer: cfg.Claims}}
	s.lanes = &lanes{slots: cfg.Slots, router: cfg.Router, timers: cfg.Timers, pool: &sender.Pool, entries: cfg.LiveEntries}
	s.attempts = &attempts{sender: sender, timers: cfg.Timers}
	s.accept = &acceptor{
		name: cfg.Name, started: cfg.Timers.Now(), gate: cfg.Gate, timers: cfg.Timers, observer: cfg.Observer,
		refuseStopping: Chain(func(context.Context, *Exchange) galenahead.Answer {
			return galenahead.NotRun(ReasonShuttingDown)
		}, claimFilter(s.claims)),
		handle: Chain(s.attempts.handle,
			claimFilter(s.claims),
			retryFilter(&galenaretry.Budgets{}, cfg.Timers),
			queueFilter(s.lanes),
		),
	}
	return s
}

// Service is what the server needs to know of a configured service.
type Service struct {
	Name galenahead.ServiceName
	// Weights are the callers' shares.
	Weights map[galenahead.CallerName]int
	// Connections is how many connections all entries together may open to one
	// instance; 0 means no bound.
	Connections int
}

// SetServices starts the lanes of new services, updates the weights of the
// others and ends those that are not listed. ctx bounds the lanes' lives.
func (s *Server) SetServices(ctx context.Context, services []Service) {
	listed := make(map[galenahead.ServiceName]bool, len(services))
	for _, svc := range services {
		listed[svc.Name] = true
		cfg := s.cfg.Limits
		cfg.Estimate = s.estimate
		l := s.lanes.ensure(ctx, svc.Name, cfg)
		l.queue.SetWeights(svc.Weights)
		l.connections.Store(s.ownConnections(svc.Connections))
	}
	s.lanes.retain(listed)
}

// ownConnections returns this entry's part of the connections that all entries
// together may open to one instance. Every entry needs at least one.
func (s *Server) ownConnections(all int) int64 {
	if all <= 0 {
		return 0
	}
	return int64(max(1, all/max(1, s.cfg.Entries)))
}

// estimate returns the learned run time of a request.
func (s *Server) estimate(r galenahead.Request) galenaqueue.Estimate {
	times := &s.cfg.Router.Times
	class, ok := times.Summary(r.Service, galenaroute.Class(r))
	if !ok {
		return galenaqueue.Estimate{}
	}
	all, _ := times.Summary(r.Service, "")
	return galenaqueue.Estimate{Shortest: class.Shortest, Likely: class.Likely, Mean: all.Mean}
}

// Serve answers callers on ln until ctx ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	srv := &fasthttp.Server{
		Handler: s.accept.serve, NoDefaultServerHeader: true, MaxRequestBodySize: s.cfg.MaxBody,
		ReadTimeout: readTimeout, ErrorHandler: refuseUnreadable, IdleTimeout: idleTimeout, NoDefaultContentType: true,
	}
	go s.loopSweep(ctx)
	return galenadaemon.ServeHTTP(ctx, srv, ln)
}

// loopSweep closes idle connections to upstreams.
func (s *Server) loopSweep(ctx context.Context) {
	ticks := s.cfg.Timers.Subscribe(ctx, "entry.idle", sweepIdlePeriod)
	for {
		select {
		case <-ctx.Done():
			s.attempts.sender.Pool.Close()
			return
		case now := <-ticks:
			s.attempts.sender.Pool.Sweep(now)
		}
	}
}

// InFlight returns the number of requests being handled.
func (s *Server) InFlight() int64 { return s.accept.inFlight.Load() }

// Stop refuses new requests and waits until those in flight have ended,
// attempts whose callers no longer wait and results being recorded included. It
// fails with the context's
// error.
func (s *Server) Stop(ctx context.Context) error {
	s.accept.stopping.Store(true)
	w := &stopWait{server: s, done: make(chan struct{})}
	go w.run()
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "requests still in flight")
	}
}

// stopWait waits for the requests in flight.
type stopWait struct {
	server *Server
	done   chan struct{}
}

// drainPoll is how often a stopping entry counts its requests in flight.
const drainPoll = 10 * time.Millisecond

func (w *stopWait) run() {
	defer close(w.done)
	for w.server.InFlight() > 0 {
		time.Sleep(drainPoll)
	}
	w.server.attempts.open.Wait()
	w.server.claims.open.Wait()
}
