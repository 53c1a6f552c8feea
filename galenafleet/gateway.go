package galenafleet

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenalog"
	"github.com/galenahead/galenahead/galenametric"
	"github.com/galenahead/galenahead/galenarpc"
)

// Methods between daemons.
const (
	MethodDo            = "fleet.do"
	MethodHeartbeat     = "fleet.heartbeat"
	MethodLeave         = "fleet.leave"
	MethodConfigure     = "fleet.configure"
	MethodConfiguration = "fleet.configuration"
	MethodBeginWave     = "fleet.begin_wave"
	MethodWave          = "fleet.wave"
	MethodView          = "fleet.view"
)

// Register adds the methods that the owner serves.
func (o *Owner) Register(mux *galenarpc.Mux) {
	galenarpc.Handle(mux, MethodDo, o.Do)
	galenarpc.Handle(mux, MethodHeartbeat, o.Heartbeat)
	galenarpc.Handle(mux, MethodLeave, o.Leave)
	galenarpc.Handle(mux, MethodConfigure, o.Configure)
	galenarpc.Handle(mux, MethodConfiguration, o.Configuration)
	galenarpc.Handle(mux, MethodBeginWave, o.BeginWave)
	galenarpc.Handle(mux, MethodWave, o.Wave)
	galenarpc.Handle(mux, MethodView, o.View)
}

// Gateway carries calls of any daemon to the owner.
type Gateway struct {
	Directory *Directory
	Caller    galenahead.Caller
	Logger    *logrus.Logger
	// Metrics counts the answers to callers by outcome and keeps their latency.
	Metrics *galenametric.Metrics

	mu   sync.Mutex
	lost bool
}

const (
	// attemptTimeout bounds one call to the owner: a commit takes milliseconds,
	// so a call without an answer for that long meets a silent connection.
	attemptTimeout = 600 * time.Millisecond
	// attemptPause separates attempts while the owner is not known.
	attemptPause = 50 * time.Millisecond
)

// call calls the owner until it answers or ctx ends. sent tells whether an
// attempt may have been carried out without an answer.
func call[P, R any](ctx context.Context, g *Gateway, method string, params P) (result R, sent bool, err error) {
	for {
		var r R
		addr, known := g.Directory.Leader()
		if known {
			one, cancel := context.WithTimeout(ctx, attemptTimeout)
			err = g.Caller.Call(one, addr, method, params, &r)
			cancel()
			if err == nil {
				g.note(true, addr)
				return r, false, nil
			}
			if final(err) {
				return r, sent, err
			}
			if !errors.Is(err, galenahead.ErrNotLeader) && !errors.Is(err, galenahead.ErrUnreachable) {
				sent = true
			}
			g.note(false, addr)
			g.Directory.Doubt(addr)
		} else if err == nil {
			err = galenahead.ErrNotLeader
		}
		select {
		case <-ctx.Done():
			return r, sent, err
		case <-time.After(attemptPause):
		}
	}
}

// final tells whether the owner has answered with an error that stays.
func final(err error) bool {
	return errors.Is(err, galenahead.ErrInvalid) || errors.Is(err, galenahead.ErrNotFound) || errors.Is(err, galenahead.ErrConflict)
}

// note logs when the owner is lost and found.
func (g *Gateway) note(ok bool, addr string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ok != g.lost {
		return
	}
	g.lost = !ok
	if ok {
		g.Logger.WithField("owner", addr).Info("owner answers again")
	} else {
		g.Logger.WithField("owner", addr).Warn("owner does not answer")
	}
}

// Do answers a caller's request, at the latest when ctx ends.
func (g *Gateway) Do(ctx context.Context, r Request) Reply {
	began := time.Now()
	reply, sent, err := call[Request, Reply](ctx, g, MethodDo, r)
	switch {
	case err == nil:
	case sent && (r.Kind == RequestSubmit || r.Kind == RequestCancel):
		reply = Reply{Outcome: OutcomeUncertain, Reason: err.Error()}
	default:
		reply = unready(err.Error())
	}
	took := time.Since(began)
	g.Metrics.Latency.Record(string(r.Kind), took)
	g.Metrics.Counters.Add("answer_"+string(reply.Outcome), 1)
	if err != nil {
		// The owner logs what it answers; this is the only trace of the others.
		galenalog.Info(g.Logger, "request", requestLine{request: r, reply: reply, took: took})
	}
	return reply
}

// Heartbeat passes a heartbeat on.
func (g *Gateway) Heartbeat(ctx context.Context, b Beat) error {
	_, _, err := call[Beat, Done](ctx, g, MethodHeartbeat, b)
	return err
}

// Leave passes the end of an instance on.
func (g *Gateway) Leave(ctx context.Context, l Leaving) error {
	_, _, err := call[Leaving, Done](ctx, g, MethodLeave, l)
	return err
}

// Configure passes a configuration on.
func (g *Gateway) Configure(ctx context.Context, c Config) error {
	_, _, err := call[Config, Done](ctx, g, MethodConfigure, c)
	return err
}

// Configuration returns the configuration in force.
func (g *Gateway) Configuration(ctx context.Context) (Document, error) {
	d, _, err := call[Done, Document](ctx, g, MethodConfiguration, Done{})
	return d, err
}

// BeginWave passes a wave on.
func (g *Gateway) BeginWave(ctx context.Context, w Wave) error {
	_, _, err := call[Wave, Done](ctx, g, MethodBeginWave, w)
	return err
}

// Wave returns how far a wave is.
func (g *Gateway) Wave(ctx context.Context, id int64) (WaveState, error) {
	w, _, err := call[WaveState, WaveState](ctx, g, MethodWave, WaveState{ID: id})
	return w, err
}
