package galenarelay

import (
	"context"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenafleet"
	"github.com/galenahead/galenahead/galenajob"
	"github.com/galenahead/galenahead/galenarpc"
)

const (
	// maxCallAge bounds the age at which a relay still sends a call. Older ones were held
	// up by a pause of the relay or of a link, and their sender has given them up.
	maxCallAge = time.Second
	// maxCallsAtOnce bounds the calls of a relay that are under way.
	maxCallsAtOnce = 4096
	// maxSendingAtOnce bounds the calls that do not wait for an end and are under way at the
	// same time; the others wait for them. When many answers come at once, all else in the
	// process waits for them, also the log.
	maxSendingAtOnce = 64
	// resultPause is how long results are collected before they are sent together.
	resultPause = 10 * time.Millisecond
	// resultTimeout bounds the delivery of results. Results that are not delivered count
	// as lost, as if the instance had not answered.
	resultTimeout = 500 * time.Millisecond
	// outboxIdleTime is how long the results of a client are waited for after its last one.
	outboxIdleTime = 10 * time.Second
)

// ErrLate reports a batch that was too old to be carried out. Nothing of it was sent.
var ErrLate = eris.New("calls arrived too late and were not sent")

// Server is a relay: it sends the calls of a Client to instances and returns their results.
// It decides nothing. Timers must advance while the machine is suspended.
type Server struct {
	Instances galenafleet.InstanceClient
	RPCClient galenahead.RPCClient
	Timers    galenahead.Timers
	Logger    *logrus.Logger

	mu       sync.Mutex
	inFlight int
	// sending holds an element for each call under way that does not wait for an end.
	sending  chan struct{}
	outboxes map[uint64]*outbox
}

// Register adds the RPC method of the relay.
func (s *Server) Register(mux *galenarpc.Mux) { galenarpc.Handle(mux, MethodCalls, s.handleCalls) }

// handleCalls begins calls. It fails with ErrLate if they are too old.
func (s *Server) handleCalls(_ context.Context, b callBatch) (galenafleet.Empty, error) {
	received := s.Timers.Now()
	calls, err := decode[call](b.Calls)
	if err != nil {
		return galenafleet.Empty{}, eris.Wrap(galenahead.ErrInvalid, err.Error())
	}
	out := s.outbox(b)
	if age := out.age(received, time.Duration(b.SentUS)*time.Microsecond); age > maxCallAge {
		s.Logger.WithField("age_ms", age.Milliseconds()).WithField("calls", len(calls)).Warn("dropped calls of an owner that arrived too late")
		return galenafleet.Empty{}, ErrLate
	}
	for i := range calls {
		if !s.begin() {
			out.add(result{ID: calls[i].ID, Outcome: galenajob.OutcomeDeferred, Error: errorExhausted, ErrorText: "the relay has too many calls under way"})
			continue
		}
		go s.run(out, calls[i], received)
	}
	return galenafleet.Empty{}, nil
}

func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight >= maxCallsAtOnce {
		return false
	}
	if s.sending == nil {
		s.sending = make(chan struct{}, maxSendingAtOnce)
	}
	s.inFlight++
	return true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// run carries out a call, unless this process was paused since it has received it.
func (s *Server) run(out *outbox, c call, received time.Time) {
	defer s.end()
	r := result{ID: c.ID}
	defer func() {
		if p := recover(); p != nil {
			s.Logger.WithField("instance", c.Instance).WithField("panic", p).WithField("stack", string(debug.Stack())).Error("a relayed call has panicked")
			r.Outcome, r.Error, r.ErrorText = galenajob.OutcomeUnknown, errorOther, "the relay has failed"
			out.add(r)
		}
	}()
	if c.Wait == 0 {
		s.sending <- struct{}{}
		defer func() { <-s.sending }()
	}
	if s.Timers.Now().Sub(received) > maxCallAge {
		r.Outcome = galenajob.OutcomeDeferred
		r.setError(eris.Wrap(galenafleet.ErrExhausted, ErrLate.Error()))
		out.add(r)
		return
	}
	ctx := context.Background()
	var err error
	switch c.Kind {
	case kindStart:
		r.Outcome, r.Clock, err = s.Instances.Start(ctx, c.action(), c.Limit)
	case kindStop:
		r.Outcome, r.Clock, err = s.Instances.Stop(ctx, c.action(), c.Limit)
	case kindPace:
		err = s.Instances.Pace(ctx, c.action(), c.Limit)
	case kindPoll:
		var resp galenajob.PollResponse
		resp, err = s.Instances.RenewAndPoll(ctx, c.pollRequest(), c.Wait, c.Limit)
		r.setPoll(&resp)
	default:
		r.Outcome = galenajob.OutcomeDeferred
		err = eris.Wrapf(galenafleet.ErrExhausted, "the relay does not know calls of kind %d", c.Kind)
	}
	r.setError(err)
	out.add(r)
}

// outbox returns the outbox of the client that has sent a batch.
func (s *Server) outbox(b callBatch) *outbox {
	s.mu.Lock()
	defer s.mu.Unlock()
	if out := s.outboxes[b.Session]; out != nil && out.replyTo == b.ReplyTo {
		return out
	}
	out := &outbox{server: s, session: b.Session, replyTo: b.ReplyTo, wake: make(chan struct{}, 1)}
	if s.outboxes == nil {
		s.outboxes = map[uint64]*outbox{}
	}
	s.outboxes[b.Session] = out
	go out.loop()
	return out
}

// outbox collects the results for one client and sends them together.
type outbox struct {
	server  *Server
	session uint64
	replyTo string
	wake    chan struct{}

	mu      sync.Mutex
	pending []result
	ages    galenarpc.AgeEstimate
}

func (o *outbox) age(received time.Time, sent time.Duration) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ages.Age(received, sent)
}

func (o *outbox) add(r result) {
	o.mu.Lock()
	o.pending = append(o.pending, r)
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// loop sends results until there have been none for outboxIdleTime.
func (o *outbox) loop() {
	ctx := context.Background()
	for {
		select {
		case <-o.wake:
		case <-o.server.Timers.After(ctx, outboxIdleTime):
			if o.closeIfEmpty() {
				return
			}
			continue
		}
		<-o.server.Timers.After(ctx, resultPause)
		o.mu.Lock()
		results := o.pending
		o.pending = nil
		o.mu.Unlock()
		o.send(ctx, results)
	}
}

// closeIfEmpty removes the outbox, unless a result has arrived meanwhile. A call that is
// still under way then wakes a loop that has ended, so that its result is lost.
func (o *outbox) closeIfEmpty() bool {
	o.server.mu.Lock()
	defer o.server.mu.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.pending) > 0 {
		return false
	}
	if o.server.outboxes[o.session] == o {
		delete(o.server.outboxes, o.session)
	}
	return true
}

func (o *outbox) send(ctx context.Context, results []result) {
	if len(results) == 0 {
		return
	}
	b, err := encode(results)
	if err == nil {
		callCtx, cancel := context.WithTimeout(ctx, resultTimeout)
		defer cancel()
		err = o.server.RPCClient.Call(callCtx, o.replyTo, MethodResults, resultBatch{o.session, b}, nil)
	}
	if err != nil {
		o.server.Logger.WithError(err).WithField("results", len(results)).WithField("owner", o.replyTo).Info("results of relayed calls were not delivered")
	}
}
