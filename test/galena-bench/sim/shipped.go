package sim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenaqueue"
	"github.com/galenahead/galenahead/galenaretry"
	"github.com/galenahead/galenahead/galenaroute"
)

const (
	// idleReturn is how long an entry keeps an idle slot lease.
	idleReturn = 200 * time.Millisecond
	// wantDelay is how long an entry collects changes of its demand.
	wantDelay = time.Millisecond
	// avoidTime is how long a broker grants an entry no slots of an instance that
	// the entry returned as not usable.
	avoidTime = 100 * time.Millisecond
)

// Tuning varies the shipped policy. The zero value is not the shipped one; see
// Shipped.
type Tuning struct {
	// Quota gives every entry a fixed part of the slots instead of leases.
	Quota bool
	// NoRetryBudget lets every idempotent request be retried until its deadline.
	NoRetryBudget bool
	// Gossip is the period at which entries exchange suspects; 0 is never.
	Gossip time.Duration
	// Return gives slots back to the broker after every request.
	Return bool
	// NoAvoid lets the broker grant slots that the entry cannot use.
	NoAvoid bool
	// Drop is the quantile of the run time below which a request is refused.
	Drop float64
	// NoRecall turns the recall of slots off.
	NoRecall bool
}

// Shipped is the policy of the entry daemon.
func Shipped() Tuning { return Tuning{Gossip: 300 * time.Millisecond} }

// shipped replays the library's decisions with a model of the slot leases.
type shipped struct {
	w       *world
	o       Tuning
	nodes   []*node
	brokers map[galenahead.ServiceName]*broker
	byID    map[galenahead.InstanceID]*instance
}

// node is one entry's part.
type node struct {
	s       *shipped
	e       *entry
	queues  galenaqueue.Set
	router  *galenaroute.Router
	retry   *galenaretry.Budgets
	pools   map[galenahead.ServiceName]*pool
	tickets map[*galenaqueue.Ticket]*query
	name    galenahead.EntryName
	// told is how many suspects the other entries were told of.
	told int
}

// pool holds one entry's leases of one service.
type pool struct {
	free     []galenahead.SlotLease
	since    []time.Duration
	received int
	recalled int
	wanting  bool
	sent     bool
}

func newShipped(w *world, o Tuning) *shipped {
	s := &shipped{w: w, o: o, brokers: make(map[galenahead.ServiceName]*broker), byID: make(map[galenahead.InstanceID]*instance)}
	for _, in := range w.instances {
		s.byID[in.id] = in
	}
	for _, e := range w.entries {
		s.nodes = append(s.nodes, s.newNode(e))
	}
	for i, name := range w.t.Services {
		s.brokers[galenahead.ServiceName(name)] = newBroker(s, i)
	}
	if o.Quota {
		s.shareOut()
	}
	s.membership()
	if o.Gossip > 0 {
		w.in(o.Gossip, s.gossip)
	}
	return s
}

func (s *shipped) newNode(e *entry) *node {
	n := &node{s: s, e: e, pools: make(map[galenahead.ServiceName]*pool), tickets: make(map[*galenaqueue.Ticket]*query)}
	n.name = galenahead.EntryName(fmt.Sprintf("entry-%02d", e.index))
	n.router = galenaroute.New(galenaroute.Config{Entry: n.name, DataCentre: e.centre, Way: wayCentres})
	rng := rand.New(rand.NewPCG(uint64(e.index), 1))
	cfg := galenaretry.Config{Random: rng.Float64}
	if s.o.NoRetryBudget {
		cfg.Burst, cfg.Attempts = 1e9, 1e9
	}
	n.retry = galenaretry.New(cfg)
	n.queues.New = func(galenahead.ServiceName) *galenaqueue.Queue {
		return galenaqueue.New(galenaqueue.Config{Estimate: n.estimate})
	}
	for _, name := range s.w.t.Services {
		n.pools[galenahead.ServiceName(name)] = &pool{}
	}
	return n
}

func (n *node) estimate(r galenahead.Request) galenaqueue.Estimate {
	sum, ok := n.router.Times.Summary(r.Service)
	if !ok {
		return galenaqueue.Estimate{}
	}
	shortest := sum.Shortest
	if n.s.o.Drop > 0 {
		shortest, _ = n.router.Times.Quantile(r.Service, n.s.o.Drop)
	}
	return galenaqueue.Estimate{Shortest: shortest, Mean: sum.Mean}
}

// shareOut gives every entry its fixed part of the slots.
func (s *shipped) shareOut() {
	for _, in := range s.w.instances {
		for k := range in.Slots {
			n := s.nodes[(in.index*in.Slots+k)%len(s.nodes)]
			p := n.pools[s.service(in)]
			p.add(s.lease(in), 0)
		}
	}
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
	for _, service := range s.w.t.Services {
		name := galenahead.ServiceName(service)
		b := s.brokers[name]
		b.membership()
		for _, n := range s.nodes {
			n.queues.Queue(name).SetSlots(max(1, b.total()/max(1, alive)))
			n.router.SetInstances(name, b.count())
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
	n.told = len(suspects)
	if n.e.dead || len(suspects) == 0 || n.s.o.Gossip == 0 {
		return
	}
	for _, to := range n.s.nodes {
		if to != n && !to.e.dead {
			w.in(wayCentres, func() { to.router.Adopt(w.time(), n.name, suspects) })
		}
	}
}

// lost drops what a killed entry held. Its slots in use come back when the
// instances announce that the requests have ended; idle ones at once, which is
// up to 2 s too early.
func (n *node) lost() {
	for _, service := range n.s.w.t.Services {
		name := galenahead.ServiceName(service)
		p := n.pools[name]
		for _, l := range p.free {
			n.s.brokers[name].put(n, l)
		}
		p.free, p.since = nil, nil
		p.recalled = 0
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
	w, p, queue := n.s.w, n.pools[service], n.queues.Queue(service)
	n.dropUnannounced(service)
	for len(p.free) > 0 {
		t, ok := queue.Dispatch(w.time(), func(r galenahead.Request) (galenahead.SlotLease, bool) {
			i, _ := n.router.Choose(w.time(), r, p.free)
			if i < 0 {
				return galenahead.SlotLease{}, false
			}
			return p.take(i), true
		})
		if !ok {
			break
		}
		q := n.tickets[t]
		delete(n.tickets, t)
		n.send(q, t.Lease())
	}
	if queue.Len() > 0 {
		n.returnUnusable(service)
	}
	n.want(service)
}

func (n *node) dropUnannounced(service galenahead.ServiceName) {
	p := n.pools[service]
	for i := len(p.free) - 1; i >= 0; i-- {
		if !n.s.byID[p.free[i].Instance].announced && !n.s.o.Quota {
			n.giveBack(p.take(i), false)
		}
	}
}

// returnUnusable gives back the slots of instances that the router rejects.
func (n *node) returnUnusable(service galenahead.ServiceName) {
	p := n.pools[service]
	if n.s.o.Quota || n.s.o.NoAvoid {
		return
	}
	for i := len(p.free) - 1; i >= 0; i-- {
		if !n.router.Usable(n.s.w.time(), p.free[i]) {
			n.giveBack(p.take(i), true)
		}
	}
}

func (n *node) giveBack(l galenahead.SlotLease, avoid bool) {
	b := n.s.brokers[l.Service]
	n.s.w.in(b.way(n), func() {
		if avoid {
			b.avoid[avoidKey{n.e.index, l.Instance}] = n.s.w.now + avoidTime
		}
		b.put(n, l)
	})
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
		n.router.Observe(w.time(), l, galenaroute.Result{Kind: kindOf(res), RunTime: w.now - a.sent})
	}
	if len(n.router.Suspects()) > n.told {
		n.tell()
	}
	if n.e.dead {
		n.s.brokers[l.Service].put(n, l)
		return
	}
	n.settle(a.q, res)
	n.reuse(l)
	n.dispatch(l.Service)
}

func kindOf(res result) galenaroute.Kind {
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
		n.retry.Succeeded(q.r.Service)
		n.s.w.finish(q, EndOnTime)
		return
	}
	d := n.retry.Decide(n.s.w.time(), q.r, galenaretry.Attempt{Number: q.attempts, Unsent: res == refused})
	if d.Retry {
		n.s.w.retries++
		n.s.w.in(d.Delay, func() { n.enqueue(q) })
		return
	}
	if res == refused {
		n.s.w.finish(q, EndRefused)
		return
	}
	n.s.w.finish(q, EndFailed)
}

// reuse keeps a slot for the next request or gives it back.
func (n *node) reuse(l galenahead.SlotLease) {
	p := n.pools[l.Service]
	if n.s.o.Quota {
		p.add(l, n.s.w.now)
		return
	}
	if p.recalled > 0 || n.s.o.Return {
		p.recalled = max(0, p.recalled-1)
		n.giveBack(l, false)
		return
	}
	p.add(l, n.s.w.now)
	n.s.w.in(idleReturn, func() { n.returnIdle(l.Service) })
}

func (n *node) returnIdle(service galenahead.ServiceName) {
	p := n.pools[service]
	for i := len(p.free) - 1; i >= 0; i-- {
		if n.s.w.now-p.since[i] >= idleReturn {
			n.giveBack(p.take(i), false)
		}
	}
}

// want tells the broker the demand, at most once in wantDelay.
func (n *node) want(service galenahead.ServiceName) {
	p := n.pools[service]
	waiting := n.queues.Queue(service).Len() > 0
	if p.wanting || n.s.o.Quota || (!waiting && !p.sent) {
		return
	}
	p.wanting = true
	n.s.w.in(wantDelay, func() {
		p.wanting = false
		demand := n.queues.Queue(service).Waiting()
		p.sent = len(demand) > 0
		received := p.received
		b := n.s.brokers[service]
		n.s.w.in(b.way(n), func() { b.want(n, demand, received) })
	})
}

// granted adds a slot from the broker.
func (n *node) granted(l galenahead.SlotLease) {
	p := n.pools[l.Service]
	p.received++
	if n.e.dead {
		n.s.brokers[l.Service].put(n, l)
		return
	}
	p.add(l, n.s.w.now)
	n.s.w.in(idleReturn, func() { n.returnIdle(l.Service) })
	n.dispatch(l.Service)
}

// recall gives idle slots back at once and the others as they become free.
func (n *node) recall(service galenahead.ServiceName, count int) {
	p := n.pools[service]
	p.recalled = count
	for p.recalled > 0 && len(p.free) > 0 {
		p.recalled--
		n.giveBack(p.take(len(p.free)-1), false)
	}
}

func (p *pool) add(l galenahead.SlotLease, now time.Duration) {
	p.free = append(p.free, l)
	p.since = append(p.since, now)
}

func (p *pool) take(i int) galenahead.SlotLease {
	l := p.free[i]
	p.free = append(p.free[:i], p.free[i+1:]...)
	p.since = append(p.since[:i], p.since[i+1:]...)
	return l
}
