package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenapeer"
	"github.com/galenahead/galenahead/galenaqueue"
	"github.com/galenahead/galenahead/galenaretry"
	"github.com/galenahead/galenahead/galenaroute"
)

// maxPatience is the longest time from arrival to deadline.
const maxPatience = 3*time.Second + grace

// Tuning varies the shipped policy. The zero value is not the shipped one; see
// Shipped.
type Tuning struct {
	// Quota gives every entry a fixed part of the slots instead of leases.
	Quota bool
	// NoRetryBudget lets every idempotent request be retried until its deadline.
	NoRetryBudget bool
	// Gossip is the period at which entries exchange suspects; 0 is never.
	Gossip time.Duration
}

// Shipped is the policy of the entry daemon.
func Shipped() Tuning { return Tuning{Gossip: 300 * time.Millisecond} }

// shipped replays the library's decisions and slot leases.
type shipped struct {
	w       *world
	o       Tuning
	nodes   []*node
	peers   []galenapeer.Entry
	offices []*office
	// candidates are the electors of the entries; there are none without leases.
	candidates []*candidate
	byID       map[galenahead.InstanceID]*instance
}

// node is one entry's part.
type node struct {
	s       *shipped
	e       *entry
	queues  galenaqueue.Set
	router  *galenaroute.Router
	retry   *galenaretry.Budgets
	pools   map[galenahead.ServiceName]slots
	tickets map[*galenaqueue.Ticket]*query
	name    galenahead.EntryName
	// told is how many suspects the other entries were told of.
	told int
}

func newShipped(w *world, o Tuning) *shipped {
	s := &shipped{w: w, o: o, byID: make(map[galenahead.InstanceID]*instance)}
	for _, in := range w.instances {
		s.byID[in.id] = in
	}
	for _, e := range w.entries {
		s.nodes = append(s.nodes, s.newNode(e))
	}
	for i, name := range w.t.Services {
		s.connect(i, galenahead.ServiceName(name))
	}
	for _, n := range s.nodes {
		if !o.Quota {
			s.candidates = append(s.candidates, newCandidate(s, n))
		}
	}
	s.membership()
	if o.Gossip > 0 {
		w.in(o.Gossip, s.gossip)
	}
	return s
}

func (s *shipped) newNode(e *entry) *node {
	n := &node{s: s, e: e, pools: make(map[galenahead.ServiceName]slots), tickets: make(map[*galenaqueue.Ticket]*query)}
	n.name = galenahead.EntryName(fmt.Sprintf("entry-%02d", e.index))
	n.router = galenaroute.New(galenaroute.Config{Entry: n.name, DataCentre: e.centre, CrossDCLatency: wayCentres})
	rng := rand.New(rand.NewPCG(uint64(e.index), 1))
	cfg := galenaretry.Config{Random: rng.Float64}
	if s.o.NoRetryBudget {
		cfg.Burst, cfg.MaxAttempts = 1e9, 1e9
	}
	n.retry = galenaretry.New(cfg)
	n.queues.New = func(galenahead.ServiceName) *galenaqueue.Queue {
		return galenaqueue.New(galenaqueue.Config{Estimate: n.estimate})
	}
	s.peers = append(s.peers, galenapeer.Entry{Name: n.name, DataCentre: e.centre})
	return n
}

func (n *node) estimate(r galenahead.Request) galenaqueue.Estimate {
	sum, ok := n.router.Times.Summary(r.Service, galenaroute.Class(r))
	if !ok {
		return galenaqueue.Estimate{}
	}
	all, _ := n.router.Times.Summary(r.Service, "")
	return galenaqueue.Estimate{Low: sum.Low, High: sum.High, Mean: all.Mean}
}

// connect gives every entry its source of slots.
func (s *shipped) connect(index int, name galenahead.ServiceName) {
	if !s.o.Quota {
		o := newOffice(s, index)
		s.offices = append(s.offices, o)
		for i, n := range s.nodes {
			n.pools[name] = o.pools[i]
		}
		return
	}
	parts := make([]*quota, len(s.nodes))
	for i, n := range s.nodes {
		parts[i] = &quota{}
		n.pools[name] = parts[i]
	}
	for _, in := range s.w.instances {
		for k := range in.Slots {
			if in.Service == index {
				parts[(in.index*in.Slots+k)%len(parts)].put(s.lease(in))
			}
		}
	}
}

func (s *shipped) indexOf(name galenahead.EntryName) int {
	return slices.IndexFunc(s.nodes, func(n *node) bool { return n.name == name })
}

// announced returns how many instances of a service are announced, and their
// slots.
func (s *shipped) announced(name galenahead.ServiceName) (instances, slots int) {
	for _, in := range s.w.instances {
		if in.announced && s.service(in) == name {
			instances++
			slots += in.Slots
		}
	}
	return instances, slots
}

func (s *shipped) service(in *instance) galenahead.ServiceName {
	return galenahead.ServiceName(s.w.t.Services[in.Service])
}

func (s *shipped) lease(in *instance) galenahead.SlotLease {
	return galenahead.SlotLease{Service: s.service(in), Instance: in.id, DataCentre: in.centre}
}

func (s *shipped) arrived(q *query) {
	s.nodes[q.entry.index].enqueue(q)
}

func (s *shipped) membership() {
	alive := 0
	for _, e := range s.w.entries {
		if !e.dead {
			alive++
		}
	}
	for _, o := range s.offices {
		o.membership()
	}
	for _, service := range s.w.t.Services {
		name := galenahead.ServiceName(service)
		instances, slots := s.announced(name)
		for _, n := range s.nodes {
			n.queues.Queue(name).SetSlots(max(1, slots/max(1, alive)))
			n.router.SetInstanceCount(name, instances)
		}
	}
	for _, n := range s.nodes {
		if n.e.dead {
			n.lost()
		}
	}
}

// gossip passes suspects from every entry to every other one.
func (s *shipped) gossip() {
	for _, from := range s.nodes {
		from.tell()
	}
	if s.w.now < s.w.t.Length {
		s.w.in(s.o.Gossip, s.gossip)
	}
}

// tell passes the entry's suspects to the other entries.
func (n *node) tell() {
	w := n.s.w
	suspects := n.router.Suspects()
	known := n.told
	n.told = len(suspects)
	if n.e.dead || known+n.told == 0 || n.s.o.Gossip == 0 {
		return
	}
	for _, to := range n.s.nodes {
		if to != n && !to.e.dead {
			w.in(wayCentres, func() { to.router.ApplySuspects(w.time(), n.name, suspects) })
		}
	}
}

// lost drops what a killed entry held.
func (n *node) lost() {
	for _, service := range n.s.w.t.Services {
		n.pools[galenahead.ServiceName(service)].restart()
	}
	for t := range n.tickets {
		n.queues.Queue(t.Request().Service).Cancel(t)
	}
	clear(n.tickets)
}

func (n *node) enqueue(q *query) {
	if q.done || n.e.dead {
		return
	}
	queue := n.queues.Queue(q.r.Service)
	t, err := queue.Push(n.s.w.time(), q.r)
	if err != nil {
		n.s.w.finish(q, EndRefused)
		return
	}
	n.tickets[t] = q
	n.s.w.at(q.deadline, func() { n.expired(t) })
	n.dispatch(q.r.Service)
}

// expired answers a request that is still queued at its deadline.
func (n *node) expired(t *galenaqueue.Ticket) {
	q := n.tickets[t]
	if q == nil {
		return
	}
	n.queues.Queue(q.r.Service).Cancel(t)
	delete(n.tickets, t)
	n.s.w.finish(q, EndRefused)
}

// dispatch sends queued requests while there are usable slots.
func (n *node) dispatch(service galenahead.ServiceName) {
	now, pool, queue := n.s.w.time(), n.pools[service], n.queues.Queue(service)
	for {
		t, ok := queue.Dispatch(now, func(r galenahead.Request) (galenahead.SlotLease, bool) {
			return pool.take(r.Caller, func(candidates []galenahead.SlotLease) int {
				i, _ := n.router.Choose(now, r, candidates)
				return i
			})
		})
		if !ok {
			break
		}
		q := n.tickets[t]
		delete(n.tickets, t)
		n.send(q, t.Lease())
	}
	pool.want(queue.Waiting())
}

func (n *node) send(q *query, l galenahead.SlotLease) {
	w := n.s.w
	var a *attempt
	a = w.send(q, n.e, n.s.byID[l.Instance], func(res result) { n.ended(a, l, res) })
	w.at(q.deadline+grace, func() {
		if !a.observed {
			a.observed = true
			n.router.Observe(w.time(), l, galenaroute.Result{Kind: galenaroute.TimedOut, RunTime: w.now - a.sent})
		}
	})
}

// ended handles the end of an attempt at its instance.
func (n *node) ended(a *attempt, l galenahead.SlotLease, res result) {
	w := n.s.w
	if !a.observed && res != silent {
		a.observed = true
		n.router.Observe(w.time(), l, galenaroute.Result{Kind: kindOf(res), Class: galenaroute.Class(a.q.r), RunTime: w.now - a.sent})
	}
	if len(n.router.Suspects()) != n.told {
		n.tell()
	}
	if n.e.dead || a.life != n.e.life {
		return
	}
	n.pools[l.Service].put(l)
	n.settle(a.q, res)
	n.dispatch(l.Service)
}

func kindOf(res result) galenaroute.ResultKind {
	switch res {
	case ran:
		return galenaroute.Succeeded
	case refused:
		return galenaroute.Unsent
	default:
		return galenaroute.Failed
	}
}

// settle answers a query or tries it again.
func (n *node) settle(q *query, res result) {
	switch {
	case q.done || res == silent:
		return
	case res == ran:
		n.retry.RecordSuccess(q.r.Service)
		n.s.w.finish(q, EndOnTime)
		return
	}
	d := n.retry.Decide(n.s.w.time(), q.r, galenaretry.Attempt{Number: q.attempts, Unsent: res == refused})
	if d.Retry {
		n.s.w.in(d.Delay, func() { n.enqueue(q) })
		return
	}
	if res == refused {
		n.s.w.finish(q, EndRefused)
		return
	}
	n.s.w.finish(q, EndFailed)
}
