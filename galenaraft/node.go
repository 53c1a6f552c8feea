package galenaraft

import (
	"context"
	"errors"
	"io"
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
	// maxBatch bounds the inputs that share one sync.
	maxBatch = 256
	// MaxCommand is the longest command accepted, in bytes.
	MaxCommand = 1 << 20
)

// Node runs one replica. It implements galenahead.ReplicatedLog; its methods
// wait until Run has started.
type Node struct {
	cfg    Config
	engine *engine
	dir    io.Closer
	start  time.Time
	inputs chan input
	// stopped is closed when Run has ended.
	stopped chan struct{}
	started atomic.Bool
	view    atomic.Pointer[view]

	// The fields below belong to the goroutine of Run.
	held  []func()
	peers map[string]*peer
	group *errgroup.Group
	role  Role
}

var _ galenahead.ReplicatedLog = (*Node)(nil)

// input is one event for the engine. An error is fatal.
type input func(now time.Duration) error

// view is what other goroutines may see of the replica.
type view struct {
	status   galenahead.LogStatus
	leaseEnd time.Duration
	syncs    uint64
}

// Open opens the files of a replica. A replica whose files are damaged sets
// them aside and continues as a new, blank replica with another incarnation.
func Open(cfg Config) (*Node, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	n := &Node{
		cfg:     cfg,
		start:   cfg.Timers.Now(),
		inputs:  make(chan input, maxBatch),
		stopped: make(chan struct{}),
		peers:   make(map[string]*peer),
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
			Error("stored data is damaged; it is set aside and this replica starts as a new one")
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
		return err
	}
	n.engine, err = newEngine(c, w, n.cfg.StateMachine, s.Snapshot, n.cfg.limits())
	n.publish(n.now())
	return err
}

func (n *Node) closeDir() {
	if n.dir != nil {
		_ = n.dir.Close()
	}
}

func (n *Node) now() time.Duration { return n.cfg.Timers.Now().Sub(n.start) }

// Register adds the method that receives messages of other replicas.
func (n *Node) Register(mux *galenarpc.Mux) {
	galenarpc.Handle(mux, Method, n.serve)
}

// Run takes part in the cluster until ctx ends, then closes the files and
// returns nil. It returns an error only after Config.Fatal has returned. It
// must be called once.
func (n *Node) Run(ctx context.Context) error {
	if n.started.Swap(true) {
		return eris.New("Run was called twice")
	}
	ctx, cancel := context.WithCancel(ctx)
	n.group = &errgroup.Group{}
	err := n.loop(ctx)
	cancel()
	if err != nil {
		n.cfg.Fatal(err)
	}
	// What a failed write should have made durable is not answered.
	n.held = nil
	n.engine.stop(n.now())
	n.publish(n.now())
	n.release()
	close(n.stopped)
	_ = n.group.Wait()
	_ = n.engine.wal.Close()
	n.closeDir()
	return err
}

func (n *Node) loop(ctx context.Context) error {
	ticks := n.cfg.Timers.Subscribe(ctx, "raft", n.cfg.Tick)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
		case in := <-n.inputs:
			if err := in(n.now()); err != nil {
				return err
			}
		}
		if err := n.turn(ctx); err != nil {
			return err
		}
	}
}

// turn handles the inputs that wait, so that they share one sync, and then
// carries out what the core decided.
func (n *Node) turn(ctx context.Context) error {
	for range maxBatch {
		select {
		case in := <-n.inputs:
			if err := in(n.now()); err != nil {
				return err
			}
			continue
		default:
		}
		break
	}
	if err := n.engine.core.tick(n.now()); err != nil {
		return err
	}
	out, err := n.engine.flush(n.now)
	if err != nil {
		return err
	}
	n.publish(n.now())
	n.release()
	for _, m := range out {
		n.post(ctx, m)
	}
	return nil
}

// release gives the answers that waited for files and for what is published.
func (n *Node) release() {
	for _, f := range n.held {
		f()
	}
	n.held = nil
}

// post hands a request to the sender for its replica. Responses were returned
// to their calls already.
func (n *Node) post(ctx context.Context, m Message) {
	to, ok := n.engine.core.members().find(m.To)
	if !ok || !m.Kind.request() || n.cfg.Caller == nil {
		return
	}
	p, ok := n.peers[to.Address]
	if !ok {
		p = &peer{node: n, address: to.Address, wake: make(chan struct{}, 1)}
		n.peers[to.Address] = p
		n.group.Go(func() error { return p.run(ctx) })
	}
	p.push(m)
}

// publish updates what other goroutines see.
func (n *Node) publish(now time.Duration) {
	c := n.engine.core
	v := &view{leaseEnd: c.leaseEnd(now), syncs: n.engine.wal.Syncs()}
	v.status = galenahead.LogStatus{
		Name:        n.cfg.Name,
		Role:        string(c.status()),
		Leader:      c.leader.Name,
		Term:        c.hard.Term,
		CommitIndex: c.commit,
		Incarnation: c.id.Incarnation,
		Members:     c.members().members,
	}
	n.view.Store(v)
	if role := c.status(); role != n.role {
		n.role = role
		n.cfg.Log.WithFields(map[string]any{
			"replica": n.cfg.Name, "role": string(role), "term": c.hard.Term, "commit_index": c.commit,
		}).Info("role of this replica in the replicated log changed")
	}
}

// serve handles one message of another replica. It returns once what the
// response promises is durable.
func (n *Node) serve(ctx context.Context, m Message) (Reply, error) {
	answer := make(chan Reply, 1)
	err := n.do(ctx, func(now time.Duration) error {
		c := n.engine.core
		before := len(c.out)
		if err := c.step(now, m); err != nil {
			return err
		}
		r := Reply{}
		for i, o := range c.out[before:] {
			if o.To == m.From && !o.Kind.request() {
				r.Message = &c.out[before+i]
			}
		}
		n.held = append(n.held, func() { answer <- r })
		return nil
	})
	if err != nil {
		return Reply{}, err
	}
	select {
	case r := <-answer:
		return r, nil
	case <-ctx.Done():
		return Reply{}, ctx.Err()
	case <-n.stopped:
		return Reply{}, galenahead.ErrNotReady
	}
}

// do hands an input to Run.
func (n *Node) do(ctx context.Context, in input) error {
	select {
	case n.inputs <- in:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-n.stopped:
		return galenahead.ErrNotReady
	}
}

// Reply is the result of a message; Message is nil when there is no response.
type Reply struct {
	Message *Message `json:"message,omitempty"`
}

// peer sends messages to one address, one at a time, so that messages that
// accumulate behind a slow one do not reach the network late.
type peer struct {
	node    *Node
	address string
	wake    chan struct{}

	mu    sync.Mutex
	queue []Message
}

// maxQueued bounds the messages that wait for one peer. The oldest are dropped:
// the core repeats what matters.
const maxQueued = 4

func (p *peer) push(m Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) == maxQueued {
		p.queue = p.queue[1:]
	}
	p.queue = append(p.queue, m)
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *peer) pop() (Message, bool) {
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
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.wake:
		}
		for ctx.Err() == nil {
			m, ok := p.pop()
			if !ok {
				break
			}
			p.exchange(ctx, m)
		}
	}
}

// exchange sends m and hands the response to Run. A failed call counts as a
// lost message.
func (p *peer) exchange(ctx context.Context, m Message) {
	call, cancel := context.WithTimeout(ctx, p.node.cfg.CallTimeout)
	defer cancel()
	var r Reply
	if err := p.node.cfg.Caller.Call(call, p.address, Method, m, &r); err != nil || r.Message == nil {
		return
	}
	_ = p.node.do(ctx, func(now time.Duration) error { return p.node.engine.core.step(now, *r.Message) })
}
