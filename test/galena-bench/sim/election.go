package sim

import (
	"math/rand/v2"
	"time"

	"github.com/galenahead/galenahead/galenabroker"
)

// tickSpread is the time between the ticks of two entries.
const tickSpread = tickPeriod / 16

// candidate runs the library's elector of one entry for all services.
type candidate struct {
	s       *shipped
	n       *node
	elector *galenabroker.Elector
	life    int
}

func newCandidate(s *shipped, n *node) *candidate {
	c := &candidate{s: s, n: n}
	c.start()
	// The first broker of a service is the entry with the service's index: it
	// alone stands for election at first.
	for i, o := range s.offices {
		if i%len(s.nodes) == n.e.index {
			c.elector.AddService(s.w.instant(), o.service)
		}
	}
	s.w.in(time.Duration(n.e.index)*tickSpread, c.tick)
	return c
}

func (c *candidate) start() {
	rng := rand.New(rand.NewPCG(uint64(c.n.e.index), 2))
	c.life = c.n.e.life
	c.elector = galenabroker.NewElector(c.s.w.instant(), c.n.name, c.s.peers, rng.Uint64)
}

func (c *candidate) tick() {
	w := c.s.w
	if w.now > w.t.Length+warmUp {
		return
	}
	w.in(tickPeriod, c.tick)
	if c.n.e.dead {
		return
	}
	if c.life != c.n.e.life {
		c.start()
	}
	now := w.instant()
	items := c.elector.Tick(now)
	c.follow()
	if len(items) == 0 {
		return
	}
	for i := range items {
		c.describe(&items[i])
	}
	q := galenabroker.LeaseRequest{From: c.n.name, TickMS: now.Mono.Milliseconds(), Items: items}
	c.hear(q)
	for _, to := range c.s.candidates {
		if to != c {
			c.ask(to, q)
		}
	}
}

func (c *candidate) describe(item *galenabroker.LeaseItem) {
	for _, o := range c.s.offices {
		if o.service == item.Service && o.ledger != nil && item.Kind == galenabroker.LeaseRenew {
			item.Slots, item.Instances = o.ledger.Size(c.s.w.instant())
		}
	}
}

// ask sends a request to another entry and counts its votes.
func (c *candidate) ask(to *candidate, q galenabroker.LeaseRequest) {
	w, life, sent := c.s.w, c.life, c.s.w.instant()
	way := c.s.between(c.n, to.n)
	w.in(way, func() {
		if to.n.e.dead || to.life != to.n.e.life {
			return
		}
		r := to.elector.Vote(w.instant(), q)
		to.hear(q)
		w.in(way, func() {
			if !c.n.e.dead && c.n.e.life == life {
				c.elector.CountVotes(sent, w.instant(), r)
				c.follow()
			}
		})
	})
}

// hear lets the entry's holdings follow the brokers.
func (c *candidate) hear(q galenabroker.LeaseRequest) {
	for _, item := range q.Items {
		for _, o := range c.s.offices {
			if o.service == item.Service && item.Kind == galenabroker.LeaseRenew {
				p := o.pools[c.n.e.index]
				p.holdings.FollowBroker(c.s.w.instant(), q.From, item)
				p.signal()
			}
		}
	}
}

// follow starts and ends ledgers by the elector's leases.
func (c *candidate) follow() {
	for _, o := range c.s.offices {
		t, held := c.elector.Lease(c.s.w.instant(), o.service)
		switch {
		case held && o.epoch != t.Epoch:
			o.elected(c.n.e.index, t)
		case !held && o.host == c.n.e.index:
			o.ledger = nil
		}
	}
}

// elected starts a ledger at the host.
func (o *office) elected(host int, t galenabroker.BrokerLease) {
	o.host, o.epoch = host, t.Epoch
	o.ledger = galenabroker.NewAllocator(o.service, o.s.peers, t, maxPatience)
}

// membership ends the ledger of a lost entry.
func (o *office) membership() {
	if o.s.w.entries[o.host].dead {
		o.ledger = nil
	}
}

func (s *shipped) between(a, b *node) time.Duration {
	switch {
	case a == b:
		return 0
	case a.e.centre == b.e.centre:
		return wayLocal
	default:
		return wayCentres
	}
}
