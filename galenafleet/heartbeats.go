package galenafleet

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenagate"
	"github.com/galenahead/galenahead/galenarpc"
)

const (
	// heartbeatPause is how long heartbeats are collected before they are forwarded, short
	// compared with the second within which they must be acknowledged.
	heartbeatPause = 25 * time.Millisecond
	// heartbeatBatchTimeout is how long the owner works on a batch. Heartbeats that it has
	// not handled by then fail, and the instances send them again.
	heartbeatBatchTimeout = 500 * time.Millisecond
	// ownHeartbeats is how many instances send their heartbeats to the owner itself. Others
	// send them to other replicas, which forward many in one message.
	ownHeartbeats = 150
)

// HeartbeatBatch holds heartbeats that a control daemon has collected.
type HeartbeatBatch struct {
	Heartbeats []Heartbeat `json:"heartbeats"`
}

// HeartbeatReply is the answer of the owner to a HeartbeatBatch.
type HeartbeatReply struct {
	// Failed lists the indexes of the heartbeats that were not handled.
	Failed []int `json:"failed,omitempty"`
	// Spread is the share of the instances that send their heartbeats to other replicas
	// than the owner's.
	Spread float64 `json:"spread,omitempty"`
}

// Heartbeats handles heartbeats that another daemon has collected.
func (o *Owner) Heartbeats(_ context.Context, b HeartbeatBatch) (HeartbeatReply, error) {
	sess, err := o.currentSession()
	if err != nil {
		return HeartbeatReply{}, err
	}
	w := &batchWork{session: sess, handled: make([]bool, len(b.Heartbeats)), done: make(chan struct{})}
	if w.begin(b.Heartbeats) {
		select {
		case <-w.done:
		case <-o.Timers.After(sess.ctx, heartbeatBatchTimeout):
		case <-sess.ctx.Done():
		}
	}
	if sess.ctx.Err() != nil {
		return HeartbeatReply{}, galenahead.ErrNotLeader
	}
	return HeartbeatReply{Failed: w.failed(), Spread: sess.heartbeatSpread()}, nil
}

// batchWork is the work on a batch of heartbeats.
type batchWork struct {
	session *ownerSession
	mu      sync.Mutex
	handled []bool
	left    int
	// done is closed when no heartbeat is left.
	done chan struct{}
}

// begin handles the heartbeats that change nothing, and begins to handle the others. It
// reports whether there are others.
func (w *batchWork) begin(batch []Heartbeat) bool {
	w.refreshUnchanged(batch)
	var changed []int
	for i, handled := range w.handled {
		if !handled {
			changed = append(changed, i)
		}
	}
	w.left = len(changed)
	for _, i := range changed {
		go w.run(i, batch[i])
	}
	return len(changed) > 0
}

// refreshUnchanged handles the heartbeats that change nothing.
func (w *batchWork) refreshUnchanged(batch []Heartbeat) {
	w.session.Gate.Enter(galenagate.Renewal)
	defer w.session.Gate.Leave()
	for i := range batch {
		w.handled[i] = w.session.refreshInstance(batch[i])
	}
}

func (w *batchWork) run(i int, hb Heartbeat) {
	err := w.session.heartbeatChanged(hb)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.handled[i] = err == nil
	if w.left--; w.left == 0 {
		close(w.done)
	}
}

func (w *batchWork) failed() []int {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []int
	for i, ok := range w.handled {
		if !ok {
			out = append(out, i)
		}
	}
	return out
}

// heartbeatSpread returns the share of the instances whose heartbeats other replicas collect.
func (sess *ownerSession) heartbeatSpread() float64 {
	n := sess.State.instanceCount()
	return max(0, 1-float64(ownHeartbeats)/float64(max(1, n)))
}

// HeartbeatSpread returns the share of the instances that should send their heartbeats to
// other replicas, or false if this daemon does not own the fleet.
func (o *Owner) HeartbeatSpread() (float64, bool) {
	sess, err := o.currentSession()
	if err != nil {
		return 0, false
	}
	return sess.heartbeatSpread(), true
}

// errHeartbeatNotHandled reports a heartbeat that the owner did not handle in time.
var errHeartbeatNotHandled = eris.New("the owner did not handle the heartbeat in time")

// HeartbeatCollector forwards heartbeats to the owner in batches. Its zero value with Owner
// and Timers is ready to use once Run runs.
type HeartbeatCollector struct {
	Owner  *OwnerClient
	Timers galenahead.Timers
	// Self is the address of this daemon. While it owns the fleet, it collects nothing.
	Self string

	calls collector[Heartbeat, Empty]

	mu     sync.Mutex
	spread float64
}

// Heartbeat forwards a heartbeat with others, and returns once the owner has handled it.
func (c *HeartbeatCollector) Heartbeat(ctx context.Context, hb Heartbeat) error {
	if addr, known := c.Owner.Directory.Leader(); known && addr == c.Self {
		return c.Owner.Heartbeat(ctx, hb)
	}
	_, err := c.calls.do(ctx, hb)
	return err
}

// Spread returns the share of the instances that should send their heartbeats to other
// replicas than the owner's, as the owner said last.
func (c *HeartbeatCollector) Spread() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.spread
}

// Run forwards heartbeats until ctx ends.
func (c *HeartbeatCollector) Run(ctx context.Context) error {
	return c.calls.loop(ctx, c.Timers, heartbeatPause, c.forward)
}

func (c *HeartbeatCollector) forward(ctx context.Context, batch []Heartbeat) []collectedResult[Empty] {
	callCtx, cancel := context.WithTimeout(ctx, heartbeatBatchTimeout+attemptTimeout/2)
	defer cancel()
	reply, _, err := call[HeartbeatBatch, HeartbeatReply](callCtx, c.Owner, MethodHeartbeats, HeartbeatBatch{batch})
	if err != nil && !galenarpc.IsUnknownMethod(err) {
		return failAll[Empty](len(batch), err)
	}
	out := make([]collectedResult[Empty], len(batch))
	if err != nil {
		// The owner is of an earlier version.
		for i := range batch {
			out[i].err = c.Owner.Heartbeat(callCtx, batch[i])
		}
		return out
	}
	c.mu.Lock()
	c.spread = reply.Spread
	c.mu.Unlock()
	for _, i := range reply.Failed {
		if i >= 0 && i < len(out) {
			out[i].err = errHeartbeatNotHandled
		}
	}
	return out
}
