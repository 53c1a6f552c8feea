package sim

import (
	"math/rand/v2"
	"time"

	"github.com/galenahead/galenahead/galenabroker"
)

// tickOffset is the time between the ticks of two consecutive entries.
const tickOffset = tickPeriod / 16

// candidate runs the library's elector of one entry, which takes part in the
// broker elections of all services.
type candidate struct {
	policy      *shippedPolicy
	state       *entryState
	elector     *galenabroker.Elector
	incarnation int
}

func newCandidate(s *shippedPolicy, es *entryState) *candidate {
	c := &candidate{policy: s, state: es}
	c.start()
	// The first broker of a service is the entry with the service's index, because
	// no other entry is a candidate at the start.
	for i, b := range s.brokers {
		if i%len(s.entries) == es.entry.index {
			c.elector.AddService(s.sim.brokerTime(), b.service)
		}
	}
	s.sim.after(time.Duration(es.entry.index)*tickOffset, c.tick)
	return c
}

func (c *candidate) start() {
	rng := rand.New(rand.NewPCG(uint64(c.state.entry.index), 2))
	c.incarnation = c.state.entry.incarnation
	c.elector = galenabroker.NewElector(c.policy.sim.brokerTime(), c.state.name, c.policy.peers, rng.Uint64)
}

func (c *candidate) tick() {
	sim := c.policy.sim
	if sim.now > sim.trace.Length+warmUp {
		return
	}
	sim.after(tickPeriod, c.tick)
	if c.state.entry.dead {
		return
	}
	if c.incarnation != c.state.entry.incarnation {
		c.start()
	}
	now := sim.brokerTime()
	items := c.elector.Tick(now)
	c.updateAllocators()
	if len(items) == 0 {
		return
	}
	for i := range items {
		c.addAllocatorSize(&items[i])
	}
	req := galenabroker.LeaseRequest{From: c.state.name, TickMS: now.Mono.Milliseconds(), Items: items}
	c.followBrokers(req)
	for _, to := range c.policy.candidates {
		if to != c {
			c.requestVote(to, req)
		}
	}
}

func (c *candidate) addAllocatorSize(item *galenabroker.LeaseItem) {
	for _, b := range c.policy.brokers {
		if b.service == item.Service && b.allocator != nil && item.Kind == galenabroker.LeaseRenew {
			item.Slots, item.Instances = b.allocator.Size(c.policy.sim.brokerTime())
		}
	}
}

// requestVote sends a lease request to another entry and counts its votes.
func (c *candidate) requestVote(to *candidate, req galenabroker.LeaseRequest) {
	sim, incarnation, sentAt := c.policy.sim, c.incarnation, c.policy.sim.brokerTime()
	latency := c.policy.latencyBetween(c.state, to.state)
	sim.after(latency, func() {
		if to.state.entry.dead || to.incarnation != to.state.entry.incarnation {
			return
		}
		r := to.elector.Vote(sim.brokerTime(), req)
		to.followBrokers(req)
		sim.after(latency, func() {
			if !c.state.entry.dead && c.state.entry.incarnation == incarnation {
				c.elector.CountVotes(sentAt, sim.brokerTime(), r)
				c.updateAllocators()
			}
		})
	})
}

// followBrokers directs the entry's slot holders to the brokers that announce
// their lease in req.
func (c *candidate) followBrokers(req galenabroker.LeaseRequest) {
	for _, item := range req.Items {
		for _, b := range c.policy.brokers {
			if b.service == item.Service && item.Kind == galenabroker.LeaseRenew {
				ls := b.holders[c.state.entry.index]
				ls.holder.FollowBroker(c.policy.sim.brokerTime(), req.From, item)
				ls.syncIfDue()
			}
		}
	}
}

// updateAllocators starts the allocator of each service whose broker lease the
// entry has won, and stops it when the lease is lost.
func (c *candidate) updateAllocators() {
	for _, b := range c.policy.brokers {
		lease, won := c.elector.Lease(c.policy.sim.brokerTime(), b.service)
		switch {
		case won && b.epoch != lease.Epoch:
			b.startAllocator(c.state.entry.index, lease)
		case !won && b.hostIndex == c.state.entry.index:
			b.allocator = nil
		}
	}
}

// startAllocator starts a new allocator at the elected entry.
func (b *serviceBroker) startAllocator(entryIndex int, lease galenabroker.BrokerLease) {
	b.hostIndex, b.epoch = entryIndex, lease.Epoch
	b.allocator = galenabroker.NewAllocator(b.service, b.policy.peers, lease, maxRequestTime)
}

// membershipChanged stops the allocator if its entry is dead.
func (b *serviceBroker) membershipChanged() {
	if b.policy.sim.entries[b.hostIndex].dead {
		b.allocator = nil
	}
}

func (s *shippedPolicy) latencyBetween(a, b *entryState) time.Duration {
	switch {
	case a == b:
		return 0
	case a.entry.dataCentre == b.entry.dataCentre:
		return intraDCLatency
	default:
		return crossDCLatency
	}
}
