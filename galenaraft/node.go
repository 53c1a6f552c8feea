package galenaraft

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenarpc"
	"github.com/galenahead/galenahead/galenawal"
)

const (
	// maxInputBatch is the maximum number of inputs in the queue, and of inputs that
	// processInputs takes from it before one sync.
	maxInputBatch = 256
	// MaxCommandBytes is the maximum size of a command in bytes.
	MaxCommandBytes = 1 << 20
)

// Node runs one replica. It implements galenahead.ReplicatedLog. Requests made
// before Run wait until Run starts or their context ends.
type Node struct {
	cfg         Config
	engine      *engine
	dir         io.Closer
	clockOrigin time.Time
	inputs      chan input
	// stopped is closed when Run stops handling inputs.
	stopped   chan struct{}
	started   atomic.Bool
	published atomic.Pointer[publishedState]

	// The fields below are only used by the goroutine of Run.

	// deferredReplies send the replies that wait until the state is durable and
	// published.
	deferredReplies []func()
	peers           map[string]*peer
	peerGroup       *errgroup.Group
	loggedRole      Role
}

var _ galenahead.ReplicatedLog = (*Node)(nil)

// input handles one event on the goroutine of Run. An error is fatal.
type input func(now time.Duration) error

// publishedState is the part of the replica's state that other goroutines read.
type publishedState struct {
	status   galenahead.LogStatus
	leaseEnd time.Duration
	syncs    uint64
}

// Open opens the files of a replica. If they are damaged, Open quarantines them and
// continues as a new, blank replica with another incarnation.
func Open(cfg Config) (*Node, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	n := &Node{
		cfg:         cfg,
		clockOrigin: cfg.Timers.Now(),
		inputs:      make(chan input, maxInputBatch),
		stopped:     make(chan struct{}),
		peers:       make(map[string]*peer),
	}
	if cfg.Dir == nil {
		d, err := galenawal.OpenDir(cfg.Path)
		if err != nil {
			return nil, err
		}
		n.cfg.Dir, n.dir = d, d
	}
	if err := n.open(); err != nil {
		n.closeDir()
		return nil, err
	}
	return n, nil
}

func (n *Node) open() error {
	w, s, err := galenawal.Open(n.cfg.Dir, n.cfg.newIncarnation)
	if errors.Is(err, galenahead.ErrCorrupt) {
		n.cfg.Log.WithField("error", err.Error()).
			Error("stored data is damaged; quarantining it and starting as a new replica")
		if err := galenawal.Quarantine(n.cfg.Dir); err != nil {
			return err
		}
		w, s, err = galenawal.Open(n.cfg.Dir, n.cfg.newIncarnation)
	}
	if err != nil {
		return err
	}
	c, err := newCore(s, n.cfg.Name, n.cfg.timing(), n.cfg.Rand, n.now())
	if err != nil {
		return errors.Join(err, w.Close())
	}
	n.engine, err = newEngine(c, w, n.cfg.StateMachine, s.Snapshot, n.cfg.snapshotLimits())
	if err != nil {
		return errors.Join(err, w.Close())
	}
	n.publishState(n.now())
	return nil
}

// Close closes the files of a Node whose Run has not been called. It has no effect
// otherwise, since Run closes them.
func (n *Node) Close() {
	if !n.started.Swap(true) {
		n.closeFiles()
	}
}

// closeFiles closes the files. Errors don't matter, since all that was written is synced.
func (n *Node) closeFiles() {
	_ = n.engine.wal.Close()
	n.closeDir()
}

func (n *Node) closeDir() {
	if n.dir != nil {
		_ = n.dir.Close()
	}
}

func (n *Node) now() time.Duration { return n.cfg.Timers.Now().Sub(n.clockOrigin) }

// Register registers the method that receives messages from other replicas.
func (n *Node) Register(mux *galenarpc.Mux) {
	galenarpc.Handle(mux, Method, n.handleMessage)
}

// Run takes part in the cluster until ctx ends, then closes the files and
// returns nil. It returns an error only after Config.Fatal has returned. It
// must be called once.
func (n *Node) Run(ctx context.Context) error {
	if n.started.Swap(true) {
		return eris.New("Run was called twice")
	}
	ctx, cancel := context.WithCancel(ctx)
	n.peerGroup = &errgroup.Group{}
	err := n.loop(ctx)
	cancel()
	if err != nil {
		n.cfg.Fatal(err)
	}
	// After a failed write, the deferred replies would acknowledge state that may
	// not be durable.
	n.deferredReplies = nil
	n.engine.stop(n.now())
	n.publishState(n.now())
	n.sendDeferredReplies()
	close(n.stopped)
	_ = n.peerGroup.Wait()
	n.closeFiles()
	return err
}

func (n *Node) loop(ctx context.Context) error {
	ticks := n.cfg.Timers.Subscribe(ctx, "raft", n.cfg.Tick)
	for ctx.Err() == nil {
		// Committed entries that are not applied yet wait for no input.
		if !n.engine.hasUnapplied() {
			select {
			case <-ctx.Done():
				return nil
			case <-ticks:
			case handle := <-n.inputs:
				if err := handle(n.now()); err != nil {
					return err
				}
			}
		}
		if err := n.processInputs(ctx); err != nil {
			return err
		}
	}
	return nil
}

// processInputs handles the queued inputs, so that they share one sync. It then
// persists and publishes the state and sends replies and messages.
func (n *Node) processInputs(ctx context.Context) error {
	for range maxInputBatch {
		select {
		case handle := <-n.inputs:
			if err := handle(n.now()); err != nil {
				return err
			}
			continue
		default:
		}
		break
	}
	now := n.now()
	n.engine.diagnostics.recordLoop(now)
	if err := n.engine.core.tick(now); err != nil {
		return err
	}
	n.logStepDown(now)
	out, err := n.engine.persistAndApply(n.now)
	if err != nil {
		return err
	}
	n.publishState(n.now())
	n.sendDeferredReplies()
	for _, m := range out {
		n.sendToPeer(ctx, m)
	}
	return nil
}

// sendDeferredReplies sends the replies that waited for durable and published state.
func (n *Node) sendDeferredReplies() {
	for _, f := range n.deferredReplies {
		f()
	}
	n.deferredReplies = nil
}

// sendToPeer queues a request for its receiver. It ignores responses, which
// handleMessage returns as call results.
func (n *Node) sendToPeer(ctx context.Context, m Message) {
	to, ok := n.engine.core.members().find(m.To)
	if !ok || !m.Kind.isRequest() || n.cfg.RPCClient == nil {
		return
	}
	p, ok := n.peers[to.Address]
	if !ok {
		p = &peer{node: n, address: to.Address, wake: make(chan struct{}, 1)}
		n.peers[to.Address] = p
		n.peerGroup.Go(func() error { return p.run(ctx) })
	}
	p.enqueue(m)
}

// publishState updates the published state and logs a change of role.
func (n *Node) publishState(now time.Duration) {
	c := n.engine.core
	p := &publishedState{leaseEnd: c.leaseEnd(now), syncs: n.engine.wal.Syncs()}
	p.status = galenahead.LogStatus{
		Name:        n.cfg.Name,
		Role:        string(c.displayRole()),
		Leader:      c.leader.Name,
		Term:        c.hardState.Term,
		CommitIndex: c.commitIndex,
		Incarnation: c.id.Incarnation,
		Members:     c.members().members,
		Contacts:    c.contacts(now),
	}
	n.published.Store(p)
	n.engine.diagnostics.publish(len(n.engine.pendingProposals), c)
	if role := c.displayRole(); role != n.loggedRole {
		n.loggedRole = role
		n.cfg.Log.WithFields(map[string]any{
			"replica": n.cfg.Name, "role": string(role), "term": c.hardState.Term, "commit_index": c.commitIndex,
		}).Info("role of this replica in the replicated log changed")
	}
}

// handleMessage handles one message from another replica. It returns once the state
// that the response acknowledges is durable.
func (n *Node) handleMessage(ctx context.Context, m Message) (Reply, error) {
	received := n.now()
	replies := make(chan Reply, 1)
	err := n.enqueue(ctx, func(now time.Duration) error {
		c := n.engine.core
		firstNew := len(c.outbox)
		if err := c.step(now, m); err != nil {
			return err
		}
		r := Reply{}
		for i, o := range c.outbox[firstNew:] {
			if o.To == m.From && !o.Kind.isRequest() {
				r.Message = &c.outbox[firstNew+i]
			}
		}
		n.deferredReplies = append(n.deferredReplies, func() { replies <- r })
		return nil
	})
	if err != nil {
		return Reply{}, err
	}
	select {
	case r := <-replies:
		r.Handling = n.now() - received
		return r, nil
	case <-ctx.Done():
		return Reply{}, ctx.Err()
	case <-n.stopped:
		return Reply{}, galenahead.ErrNotReady
	}
}

// enqueue passes an input to Run.
func (n *Node) enqueue(ctx context.Context, in input) error {
	select {
	case n.inputs <- in:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-n.stopped:
		return galenahead.ErrNotReady
	}
}

// Reply is the result of a call with a message. Message is nil if there is no
// response.
type Reply struct {
	Message *Message `json:"message,omitempty"`
	// Handling is how long the receiver took, with its sync; it is only logged.
	Handling time.Duration `json:"handling,omitempty"`
}

// peer sends messages to one address. It has few calls under way, so that messages
// queued behind slow calls can be dropped instead of being sent late.
type peer struct {
	node    *Node
	address string
	wake    chan struct{}

	mu    sync.Mutex
	queue []Message
}

const (
	// maxQueuedMessages is the maximum number of messages queued for one peer. The
	// oldest message is dropped if the queue is full; the core sends it again if it is
	// still needed.
	maxQueuedMessages = 4
	// maxCalls is the maximum number of calls to one peer at a time. As many heartbeats
	// are sent in the time of a lease, so that none waits for the response to another.
	maxCalls = 4
)

// isHeartbeat reports whether m is an append request without entries.
func (m *Message) isHeartbeat() bool { return m.Kind == KindAppend && len(m.Entries) == 0 }

func (p *peer) enqueue(m Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.isHeartbeat() {
		// The lease counts from the time at which the message was made.
		p.queue = slices.DeleteFunc(p.queue, func(q Message) bool { return q.isHeartbeat() })
	}
	if len(p.queue) == maxQueuedMessages {
		p.queue = p.queue[1:]
	}
	p.queue = append(p.queue, m)
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *peer) dequeue() (Message, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) == 0 {
		return Message{}, false
	}
	m := p.queue[0]
	p.queue = p.queue[1:]
	return m, true
}

func (p *peer) run(ctx context.Context) error {
	var calls sync.WaitGroup
	defer calls.Wait()
	slots := make(chan struct{}, maxCalls)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.wake:
		}
		for ctx.Err() == nil {
			slots <- struct{}{}
			m, ok := p.dequeue()
			if !ok {
				<-slots
				break
			}
			calls.Go(func() {
				p.roundTrip(ctx, m)
				<-slots
			})
		}
	}
}

// roundTrip sends m and passes the response to Run. It treats a failed call as a
// lost message.
func (p *peer) roundTrip(ctx context.Context, m Message) {
	callCtx, cancel := context.WithTimeout(ctx, p.node.cfg.CallTimeout)
	defer cancel()
	start := p.node.now()
	var r Reply
	if err := p.node.cfg.RPCClient.Call(callCtx, p.address, Method, m, &r); err != nil || r.Message == nil {
		return
	}
	took := p.node.now() - start
	_ = p.node.enqueue(ctx, func(now time.Duration) error {
		p.node.engine.diagnostics.recordCall(r.Message.From.Name, now, voterCall{took, r.Handling})
		return p.node.engine.core.step(now, *r.Message)
	})
}
