package galenarelay

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenafleet"
	"github.com/galenahead/galenahead/galenagate"
	"github.com/galenahead/galenahead/galenajob"
	"github.com/galenahead/galenahead/galenarpc"
)

const (
	// batchPause is how long calls are collected before they are handed to a relay.
	batchPause = 10 * time.Millisecond
	// handOverTimeout bounds the answer of a relay that it has the calls. A relay that does
	// not answer in time gets none for relayRestTime.
	handOverTimeout = 300 * time.Millisecond
	relayRestTime   = 3 * time.Second
	// relaySlack is how much longer than the limit of a call its result may take.
	relaySlack = 100 * time.Millisecond
	// directTime is how long an instance is called directly after a relay did not reach it.
	directTime = 5 * time.Second
	// maxDirect bounds the direct calls under way, without polls that wait for an end. More
	// go through relays. When many answers come at once, all else in the process waits for
	// them, also the log.
	maxDirect = 64
	// peersInterval is how often the list of relays is read.
	peersInterval = time.Second
)

// errNoRelay reports that a call is to be made directly.
var errNoRelay = eris.New("no relay for this call")

// errRelayLost reports that a relay may have made a call, but returned no result.
var errRelayLost = eris.New("the relay returned no result")

// Client implements galenafleet.InstanceClient. It makes calls itself while they are few, and
// hands the rest of them in batches to other control daemons, which costs a fraction of a
// call. What a relay does not reach is called directly, so that no instance is judged by the
// state of another daemon. Before Run, and without peers, all calls are direct.
type Client struct {
	Direct    galenafleet.InstanceClient
	RPCClient galenahead.RPCClient
	Timers    galenahead.Timers
	Logger    *logrus.Logger
	// Self is the address at which this daemon gets results.
	Self string
	// Gate orders the handling of results among the other work of this daemon. It may be nil.
	Gate *galenagate.Gate
	// Peers returns the addresses of the other control daemons that relay calls.
	Peers func() []string

	load loadMeter
	// direct counts the direct calls under way that do not wait for an end.
	direct  atomic.Int64
	nextID  atomic.Uint64
	session uint64

	mu      sync.Mutex
	ctx     context.Context
	waiting map[uint64]chan result
	relays  []*relay
	byAddr  map[string]*relay
	// directUntil holds the instances that a relay did not reach.
	directUntil map[galenahead.InstanceID]time.Time
}

var _ galenafleet.InstanceClient = (*Client)(nil)

// Register adds the RPC method that takes results.
func (c *Client) Register(mux *galenarpc.Mux) {
	galenarpc.Handle(mux, MethodResults, c.handleResults)
}

// Run keeps the list of relays until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	c.mu.Lock()
	c.ctx, c.session = ctx, rand.Uint64()
	c.waiting, c.byAddr, c.directUntil = map[uint64]chan result{}, map[string]*relay{}, map[galenahead.InstanceID]time.Time{}
	c.mu.Unlock()
	ticks := c.Timers.Subscribe(ctx, "relays", peersInterval)
	for {
		c.updateRelays(ctx, c.Peers())
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
		}
	}
}

// updateRelays replaces the list of relays.
func (c *Client) updateRelays(ctx context.Context, addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Timers.Now()
	c.relays = nil
	for _, a := range addrs {
		r := c.byAddr[a]
		if r == nil {
			r = &relay{client: c, addr: a, wake: make(chan struct{}, 1)}
			c.byAddr[a] = r
			go r.loop(ctx)
		}
		c.relays = append(c.relays, r)
	}
	for id, until := range c.directUntil {
		if now.After(until) {
			delete(c.directUntil, id)
		}
	}
}

// MaxStarting returns how many starts a service may have under way, given how many the owner
// can send itself.
func (c *Client) MaxStarting(direct int) int {
	return min(int(float64(direct)/(1-c.load.share(c.Timers.Now()))), maxStartingFactor*direct)
}

// maxStartingFactor bounds MaxStarting, so that one service does not fill the relays.
const maxStartingFactor = 8

// Start implements galenafleet.InstanceClient.
func (c *Client) Start(ctx context.Context, a galenajob.Action, limit time.Duration) (galenajob.Outcome, int64, error) {
	return c.command(ctx, kindStart, &a, limit, c.Direct.Start)
}

// Stop implements galenafleet.InstanceClient.
func (c *Client) Stop(ctx context.Context, a galenajob.Action, limit time.Duration) (galenajob.Outcome, int64, error) {
	return c.command(ctx, kindStop, &a, limit, c.Direct.Stop)
}

// Pace implements galenafleet.InstanceClient.
func (c *Client) Pace(ctx context.Context, a galenajob.Action, limit time.Duration) error {
	r, err := c.do(ctx, newCommand(kindPace, &a, limit))
	if errors.Is(err, errNoRelay) {
		defer c.endDirect(0)
		return c.Direct.Pace(ctx, a, limit)
	}
	if err == nil {
		err = r.err()
	}
	return err
}

type commandFunc func(ctx context.Context, a galenajob.Action, limit time.Duration) (galenajob.Outcome, int64, error)

func (c *Client) command(ctx context.Context, k kind, a *galenajob.Action, limit time.Duration, direct commandFunc) (galenajob.Outcome, int64, error) {
	r, err := c.do(ctx, newCommand(k, a, limit))
	switch {
	case errors.Is(err, errNoRelay):
		defer c.endDirect(0)
		return direct(ctx, *a, limit)
	case err != nil:
		// The relay may have sent the command, or may still do so.
		c.callDirectly(a.Instance.ID)
		return galenajob.OutcomeUnknown, 0, err
	}
	switch r.Outcome {
	case galenajob.OutcomeUnknown, galenajob.OutcomeUnsent, galenajob.OutcomeDeferred:
		c.callDirectly(a.Instance.ID)
	}
	return r.Outcome, r.Clock, r.err()
}

// RenewAndPoll implements galenafleet.InstanceClient. A poll that a relay could not make is
// made directly, without waiting for an end: only that says whether the instance answers.
func (c *Client) RenewAndPoll(ctx context.Context, req galenajob.PollRequest, wait, limit time.Duration) (galenajob.PollResponse, error) {
	r, err := c.do(ctx, newPoll(&req, wait, limit))
	if errors.Is(err, errNoRelay) {
		defer c.endDirect(wait)
		return c.Direct.RenewAndPoll(ctx, req, wait, limit)
	}
	if err == nil {
		err = r.err()
	}
	switch {
	case err == nil:
		return r.pollResponse(), nil
	case errors.Is(err, galenafleet.ErrFenced), errors.Is(err, galenafleet.ErrOtherIncarnation), ctx.Err() != nil:
		return galenajob.PollResponse{}, err
	}
	c.callDirectly(req.Instance.ID)
	c.beginDirect(0)
	defer c.endDirect(0)
	return c.Direct.RenewAndPoll(ctx, req, 0, limit)
}

// beginDirect counts a direct call that does not wait for an end, and endDirect ends that.
func (c *Client) beginDirect(wait time.Duration) {
	if wait == 0 {
		c.direct.Add(1)
	}
}

func (c *Client) endDirect(wait time.Duration) {
	if wait == 0 {
		c.direct.Add(-1)
	}
}

// reserveDirect is beginDirect unless maxDirect calls are under way.
func (c *Client) reserveDirect() bool {
	if c.direct.Add(1) > maxDirect {
		c.direct.Add(-1)
		return false
	}
	return true
}

// callDirectly makes the next calls to an instance direct.
func (c *Client) callDirectly(id galenahead.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.directUntil[id] = c.Timers.Now().Add(directTime)
}

// do makes a call through a relay. It fails with errNoRelay if nothing was sent and the call
// is to be made directly, which then counts as begun, and with errRelayLost if there is no result.
func (c *Client) do(ctx context.Context, x call) (result, error) {
	now := c.Timers.Now()
	share := c.load.count(now)
	r, done := c.enqueue(now, share, &x)
	if r == nil {
		return result{}, errNoRelay
	}
	timeout := time.NewTimer(x.Wait + x.Limit + relaySlack)
	defer timeout.Stop()
	select {
	case out := <-done:
		if out.ID == 0 {
			c.beginDirect(x.Wait)
			return result{}, errNoRelay
		}
		return out, nil
	case <-timeout.C:
	case <-ctx.Done():
	}
	c.mu.Lock()
	delete(c.waiting, x.ID)
	c.mu.Unlock()
	return result{}, errRelayLost
}

// enqueue queues a call for the relay of its instance, and returns the channel of its
// result. It returns no relay if the call is to be made directly, and has begun the direct call.
func (c *Client) enqueue(now time.Time, share float64, x *call) (*relay, chan result) {
	if galenafleet.SpreadPosition(x.Instance) >= share && (x.Wait > 0 || c.reserveDirect()) {
		return nil, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.relayFor(now, x.Instance)
	if r == nil || now.Before(c.directUntil[x.Instance]) {
		c.beginDirect(x.Wait)
		return nil, nil
	}
	x.ID = c.nextID.Add(1)
	done := make(chan result, 1)
	c.waiting[x.ID] = done
	r.pending = append(r.pending, *x)
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return r, done
}

// relayFor returns the relay of an instance, which stays the same while the relays do. c.mu
// must be held.
func (c *Client) relayFor(now time.Time, id galenahead.InstanceID) *relay {
	i := galenafleet.SpreadOver(id, len(c.relays),
		func(i int) string { return c.relays[i].addr },
		func(i int) bool { return !now.Before(c.relays[i].restUntil) })
	if i < 0 {
		return nil
	}
	return c.relays[i]
}

// handleResults passes results to the calls that wait for them.
func (c *Client) handleResults(_ context.Context, b resultBatch) (galenafleet.Empty, error) {
	// Most results answer polls that renew leases.
	c.Gate.Enter(galenagate.Renewal)
	defer c.Gate.Leave()
	results, err := decode[result](b.Results)
	if err != nil {
		return galenafleet.Empty{}, eris.Wrap(galenahead.ErrInvalid, err.Error())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if b.Session != c.session {
		return galenafleet.Empty{}, nil
	}
	for i := range results {
		if results[i].ID != 0 {
			c.finish(results[i].ID, results[i])
		}
	}
	return galenafleet.Empty{}, nil
}

// finish ends the wait for a call. c.mu must be held.
func (c *Client) finish(id uint64, r result) {
	if done, ok := c.waiting[id]; ok {
		delete(c.waiting, id)
		done <- r
	}
}

// relay is another control daemon that makes calls.
type relay struct {
	client *Client
	addr   string
	wake   chan struct{}
	// pending holds the calls of the next batch, and restUntil is until when the relay gets
	// none. Both are guarded by client.mu.
	pending   []call
	restUntil time.Time
}

// loop hands calls to the relay until ctx ends.
func (r *relay) loop(ctx context.Context) {
	c := r.client
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		<-c.Timers.After(ctx, batchPause)
		c.mu.Lock()
		calls := r.pending
		r.pending = nil
		c.mu.Unlock()
		if len(calls) > 0 {
			go r.run(ctx, calls)
		}
	}
}

// run hands over one batch of calls.
func (r *relay) run(ctx context.Context, calls []call) {
	c := r.client
	b, err := encode(calls)
	if err == nil {
		callCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
		defer cancel()
		sent := time.Duration(c.Timers.Now().UnixNano())
		batch := callBatch{Session: c.session, ReplyTo: c.Self, SentUS: sent.Microseconds(), Calls: b}
		err = c.RPCClient.Call(callCtx, r.addr, MethodCalls, batch, nil)
	}
	if err == nil || ctx.Err() != nil {
		return
	}
	c.Logger.WithError(err).WithField("relay", r.addr).WithField("calls", len(calls)).Info("relay did not take calls")
	c.mu.Lock()
	defer c.mu.Unlock()
	r.restUntil = c.Timers.Now().Add(relayRestTime)
	for i := range calls {
		if notTaken(err) {
			c.finish(calls[i].ID, result{})
		} else {
			c.finish(calls[i].ID, result{ID: calls[i].ID, Outcome: galenajob.OutcomeUnknown, Error: errorOther, ErrorText: err.Error()})
		}
	}
}

// notTaken reports whether the error of a batch means that no call of it is made: the relay
// was not reached, or has rejected the batch.
func notTaken(err error) bool {
	var rejected *jsonrpc2.Error
	return errors.Is(err, galenahead.ErrUnreachable) || errors.Is(err, galenahead.ErrInvalid) || errors.As(err, &rejected)
}
