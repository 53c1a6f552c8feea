package galenafleet

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenagate"
	"github.com/galenahead/galenahead/galenalog"
	"github.com/galenahead/galenahead/galenametric"
	"github.com/galenahead/galenahead/galenarpc"
)

// RPC methods that the owner serves to other daemons.
const (
	MethodDo        = "fleet.do"
	MethodHeartbeat = "fleet.heartbeat"
	// MethodHeartbeats takes several heartbeats at once.
	MethodHeartbeats = "fleet.heartbeats"
	MethodLeave      = "fleet.leave"
	// MethodConfigure is called by daemons of earlier versions only.
	MethodConfigure     = "fleet.configure"
	MethodPutConfig     = "fleet.put_config"
	MethodConfiguration = "fleet.configuration"
	MethodBeginWave     = "fleet.begin_wave"
	MethodWave          = "fleet.wave"
	MethodView          = "fleet.view"
)

// Register adds the RPC methods of the owner.
func (o *Owner) Register(mux *galenarpc.Mux) {
	o.requests.Gate, o.requests.Class = o.Gate, galenagate.Demand
	galenarpc.HandleInTurn(mux, MethodDo, &o.requests, o.doInTurn)
	galenarpc.HandleInTurn(mux, MethodReads, &o.requests, o.readInTurn)
	galenarpc.Handle(mux, MethodHeartbeat, o.Heartbeat)
	galenarpc.Handle(mux, MethodHeartbeats, o.Heartbeats)
	galenarpc.Handle(mux, MethodLeave, o.Leave)
	galenarpc.Handle(mux, MethodConfigure, o.Configure)
	galenarpc.Handle(mux, MethodPutConfig, o.ConfigureEncoded)
	galenarpc.Handle(mux, MethodConfiguration, o.Configuration)
	galenarpc.Handle(mux, MethodBeginWave, o.BeginWave)
	galenarpc.Handle(mux, MethodWave, o.Wave)
	galenarpc.Handle(mux, MethodView, o.View)
	galenarpc.Handle(mux, MethodKeys, o.Keys)
	galenarpc.Handle(mux, MethodAlive, o.Alive)
}

// RegisterNotOwner adds the RPC methods of the owner to a daemon that can never own
// the fleet. They fail with ErrNotLeader.
func RegisterNotOwner(mux *galenarpc.Mux) {
	for _, method := range []string{
		MethodDo, MethodRead, MethodReads, MethodHeartbeat, MethodHeartbeats, MethodLeave, MethodConfigure, MethodPutConfig, MethodConfiguration, MethodBeginWave, MethodWave, MethodView,
		MethodKeys, MethodAlive,
	} {
		mux.HandleRaw(method, func(context.Context, *galenarpc.Conn, json.RawMessage) (any, error) {
			return nil, galenahead.ErrNotLeader
		})
	}
}

// OwnerClient forwards calls of a daemon to the owner of the fleet, and retries them
// when the owner changes.
type OwnerClient struct {
	Directory *Directory
	RPCClient galenahead.RPCClient
	Logger    *logrus.Logger
	// Metrics counts the replies to callers by outcome and records their latency.
	Metrics *galenametric.Metrics

	keys  keyCopies
	watch ownerWatch
	// spreadUntil is until when reads go to other control daemons, in Unix nanoseconds.
	spreadUntil atomic.Int64

	mu          sync.Mutex
	unreachable bool
}

const (
	// attemptTimeout bounds one call to the owner. A commit takes milliseconds, so a
	// call that takes longer than this is on a connection that is dead.
	attemptTimeout = 600 * time.Millisecond
	// attemptPause is the pause between two attempts.
	attemptPause = 50 * time.Millisecond
)

// unanswered describes the attempts of a call that got no answer. They may have been carried out,
// or still may be; the answer to a later attempt does not tell.
type unanswered struct {
	// any reports that there are some.
	any bool
	// lastTerm is the latest term that they named. unbound reports that one of them named none, so
	// that an owner of any term may carry it out.
	lastTerm uint64
	unbound  bool
}

// boundToTerm is a call that only an owner of the term that it names carries out.
type boundToTerm[P any] interface {
	WithTerm(term uint64) P
	// bound reports whether the call is to be bound.
	bound() bool
}

// call calls the owner until it answers or ctx ends, and reports on the attempts without an answer.
// A call that is bound to a term is not written to an owner in doubt.
func call[P, R any](ctx context.Context, oc *OwnerClient, method string, params P) (result R, lost unanswered, err error) {
	start := time.Now()
	for attempts := 1; ; attempts++ {
		var r R
		owner := oc.Directory.leads()
		bound := false
		if b, ok := any(params).(boundToTerm[P]); ok && b.bound() {
			bound, params = owner.term > 0, b.WithTerm(owner.term)
			if waitErr := oc.awaitOwner(ctx, owner); waitErr != nil && err == nil {
				err = waitErr
			}
			if oc.Directory.leads() != owner && ctx.Err() == nil {
				continue // another one leads
			}
		}
		if owner.addr != "" && ctx.Err() == nil {
			attemptStart := time.Now()
			err = oc.attempt(ctx, owner, method, params, &r)
			if err == nil {
				oc.logReachability(owner.addr, callFailure{})
				return r, lost, nil
			}
			if isFinal(err) {
				return r, lost, err
			}
			oc.logReachability(owner.addr, callFailure{method, attempts, time.Since(attemptStart), time.Since(start), err})
			if errors.Is(err, galenahead.ErrNotLeader) || errors.Is(err, galenahead.ErrUnreachable) {
				oc.Directory.ReportFailure(owner.addr)
			} else {
				lost = unanswered{any: true, lastTerm: max(lost.lastTerm, owner.term), unbound: lost.unbound || !bound}
				if p, ok := any(params).(interface{ WithRepeated() P }); ok {
					params = p.WithRepeated()
				}
				oc.Directory.ReportDelay(owner.addr)
			}
		} else if err == nil {
			err = galenahead.ErrNotLeader
		}
		oc.watch.noteAway(oc.Directory.Timers.Now())
		select {
		case <-ctx.Done():
			return r, lost, err
		case <-time.After(attemptPause):
		}
	}
}

// attempt calls an owner once. It ends when a leader of a later term is known, and puts an owner
// that says nothing in doubt.
func (oc *OwnerClient) attempt(ctx context.Context, owner ownerAddress, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	defer oc.Directory.endWith(owner.term, cancel)()
	sent := oc.Directory.Timers.Now()
	silence := time.AfterFunc(doubtAfter, func() { oc.watch.noteSilence(oc.Directory.Timers.Now(), sent, owner) })
	defer silence.Stop()
	err := oc.RPCClient.Call(ctx, owner.addr, method, params, result)
	if err == nil || isFinal(err) {
		oc.watch.noteAnswer(oc.Directory.Timers.Now(), owner)
	}
	return err
}

// isFinal reports whether err is an answer of the owner that a retry would not
// change.
func isFinal(err error) bool {
	return errors.Is(err, galenahead.ErrInvalid) || errors.Is(err, galenahead.ErrNotFound) || errors.Is(err, galenahead.ErrConflict) ||
		errors.Is(err, galenahead.ErrOverloaded) ||
		galenarpc.IsUnknownMethod(err)
}

// callFailure describes a failed attempt of a call to the owner. Its zero value is
// a successful one.
type callFailure struct {
	method string
	// attempts counts the attempts of the call so far, with those for which no owner
	// was known.
	attempts int
	// took is the duration of the attempt, elapsed the time since the call began.
	took, elapsed time.Duration
	err           error
}

// logReachability logs when the owner stops answering and when one answers again.
func (oc *OwnerClient) logReachability(addr string, f callFailure) {
	ok := f.err == nil
	oc.mu.Lock()
	defer oc.mu.Unlock()
	if ok != oc.unreachable {
		return
	}
	oc.unreachable = !ok
	if ok {
		oc.Logger.WithField("owner", addr).Info("owner answers again")
	} else {
		oc.Logger.WithError(f.err).WithField("owner", addr).WithField("method", f.method).WithField("attempts", f.attempts).
			WithField("took_ms", f.took.Milliseconds()).WithField("elapsed_ms", f.elapsed.Milliseconds()).
			Warn("owner does not answer")
	}
}

// Do forwards a caller's request to the owner and returns the reply, at the latest
// when ctx ends.
func (oc *OwnerClient) Do(ctx context.Context, r Request) Reply {
	start := time.Now()
	reply, lost, err := oc.ask(ctx, r)
	oc.noteBusy(reply)
	oc.keys.note(reply)
	// The next owner knows what an earlier one has carried out, if that can't do so any more.
	certain := err == nil && !lost.unbound && reply.Term > lost.lastTerm
	maybeDone := lost.any && r.changesJob() && !certain
	overruled := false
	switch {
	case err != nil && maybeDone:
		reply = Reply{Outcome: OutcomeUncertain, Reason: err.Error()}
	case err != nil:
		reply = unreadyReply(err.Error())
		reply.RetryAfter = oc.returnTime(r)
	case maybeDone && reply.Outcome.isRefusal():
		overruled = true
		reason := "repeat of an attempt without an answer: " + string(reply.Outcome)
		if reply.Reason != "" {
			reason += ", " + reply.Reason
		}
		reply = Reply{Outcome: OutcomeUncertain, Reason: reason, RetryAfter: reply.RetryAfter}
	}
	latency := time.Since(start)
	oc.Metrics.Latency.Record(string(r.Kind), latency)
	oc.Metrics.Counters.Add("answer_"+string(reply.Outcome), 1)
	if err != nil || overruled {
		// The owner logs only its own answers.
		galenalog.Info(oc.Logger, "request", requestLine{request: r, reply: reply, latency: latency})
	}
	return reply
}

// ask sends a request to the owner, or a read to another control daemon while the owner is busy.
func (oc *OwnerClient) ask(ctx context.Context, r Request) (reply Reply, lost unanswered, err error) {
	if reply, ok := oc.readElsewhere(ctx, r); ok {
		return reply, unanswered{}, nil
	}
	return call[Request, Reply](ctx, oc, MethodDo, r)
}

// Heartbeat forwards a heartbeat.
func (oc *OwnerClient) Heartbeat(ctx context.Context, hb Heartbeat) error {
	_, _, err := call[Heartbeat, Empty](ctx, oc, MethodHeartbeat, hb)
	return err
}

// Leave forwards the deregistration of an instance.
func (oc *OwnerClient) Leave(ctx context.Context, l LeaveRequest) error {
	_, _, err := call[LeaveRequest, Empty](ctx, oc, MethodLeave, l)
	return err
}

// Configure forwards a configuration.
func (oc *OwnerClient) Configure(ctx context.Context, c Config) error {
	e, err := encodeConfig(c)
	if err != nil {
		return err
	}
	_, _, err = call[EncodedConfig, Empty](ctx, oc, MethodPutConfig, e)
	return err
}

// Configuration returns the current configuration.
func (oc *OwnerClient) Configuration(ctx context.Context) (ConfigDocument, error) {
	d, _, err := call[Empty, ConfigDocument](ctx, oc, MethodConfiguration, Empty{})
	if err != nil {
		return d, err
	}
	d.Source, err = expand(d.Source)
	return d, err
}

// BeginWave forwards a maintenance wave.
func (oc *OwnerClient) BeginWave(ctx context.Context, w Wave) error {
	_, _, err := call[Wave, Empty](ctx, oc, MethodBeginWave, w)
	return err
}

// Wave returns the state of a maintenance wave.
func (oc *OwnerClient) Wave(ctx context.Context, id int64) (WaveStatus, error) {
	w, _, err := call[WaveStatus, WaveStatus](ctx, oc, MethodWave, WaveStatus{ID: id})
	return w, err
}
