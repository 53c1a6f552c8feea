package sim

import (
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenabroker"
	"github.com/galenahead/galenahead/galenapeer"
)

const (
	// warmUp is the time before the start of the trace in which brokers are elected
	// and instances announce themselves.
	warmUp = 10 * time.Second
	// minSyncInterval is the shortest time between the reply of a broker and the next
	// message of an entry to it.
	minSyncInterval = 2 * time.Millisecond
	// tickPeriod is the interval at which brokers, electors and slot holders of the
	// library do periodic work.
	tickPeriod = 50 * time.Millisecond
)

// slotSource provides one entry with slots of one service.
type slotSource interface {
	// setWaiting reports the number of queued requests of each caller.
	setWaiting(waiting map[galenahead.CallerName]int)
	// take takes the slot whose index choose returns; a negative index takes none.
	take(caller galenahead.CallerName, choose func([]galenahead.SlotLease) int) (galenahead.SlotLease, bool)
	release(l galenahead.SlotLease)
	// reset is called when the entry's process has ended.
	reset()
}

// brokerTime returns the current virtual time for the library. It is offset so
// that the monotonic part is not negative during the warm-up.
func (sim *simulation) brokerTime() galenapeer.Instant {
	return galenapeer.Instant{Mono: sim.now + 2*warmUp, Wall: sim.time()}
}

// serviceBroker is the broker of one service. It runs the library's slot
// allocator and models the messages between broker and entries.
type serviceBroker struct {
	policy    *shippedPolicy
	service   galenahead.ServiceName
	instances []*instance
	// hostIndex is the index of the entry that was elected last.
	hostIndex int
	epoch     galenahead.Epoch
	allocator *galenabroker.Allocator
	holders   []*leasedSlots
}

func newServiceBroker(s *shippedPolicy, index int) *serviceBroker {
	b := &serviceBroker{policy: s, service: galenahead.ServiceName(s.sim.trace.Services[index])}
	for _, inst := range s.sim.instances {
		if inst.Service == index {
			b.instances = append(b.instances, inst)
		}
	}
	for _, es := range s.entries {
		ls := &leasedSlots{broker: b, state: es}
		ls.reset()
		b.holders = append(b.holders, ls)
	}
	s.sim.after(0, b.tick)
	for i, inst := range b.instances {
		s.sim.after(time.Duration(i)*announcePeriod/time.Duration(len(b.instances)), func() { b.announce(inst) })
	}
	return b
}

func (b *serviceBroker) tick() {
	sim := b.policy.sim
	if sim.now > sim.trace.Length+warmUp {
		return
	}
	sim.after(tickPeriod, b.tick)
	if b.allocator != nil {
		b.allocator.Tick(sim.brokerTime())
		b.sendChangedGrants()
	}
	for _, ls := range b.holders {
		ls.holder.Tick(sim.brokerTime())
		ls.syncIfDue()
	}
}

// announce sends an instance's announcement to the broker at announcePeriod.
func (b *serviceBroker) announce(inst *instance) {
	sim := b.policy.sim
	if sim.now > sim.trace.Length+warmUp {
		return
	}
	sim.after(announcePeriod, func() { b.announce(inst) })
	if b.allocator == nil || inst.unreachable || inst.stopped || inst.pausedUntil > sim.now {
		return
	}
	// An error means that the broker has another epoch; the next announcement is
	// sent with the current one.
	_ = b.allocator.Announce(sim.brokerTime(), galenabroker.AnnounceRequest{
		Epoch: b.epoch, TickMS: sim.brokerTime().Mono.Milliseconds(),
		Announcement: galenahead.Announcement{
			Instance: inst.id, Address: string(inst.id), Service: b.service, DataCentre: inst.dataCentre,
			VM: galenahead.VMName(inst.id), Slots: inst.Slots, Connections: connectionLimit,
			LeaseMS: announceLease.Milliseconds(), InFlight: inst.inFlight, Leaving: inst.leaving,
		},
	})
	b.sendChangedGrants()
}

// sendChangedGrants sends changed grants and limits to the entries.
func (b *serviceBroker) sendChangedGrants() {
	for _, e := range b.allocator.ChangedEntries() {
		item, ok := b.allocator.GrantsFor(b.policy.sim.brokerTime(), e.Name)
		ls := b.holders[b.policy.indexOf(e.Name)]
		if !ok {
			continue
		}
		b.policy.sim.after(b.latencyTo(ls.state), func() { ls.applyGrant(item) })
	}
}

func (b *serviceBroker) latencyTo(es *entryState) time.Duration {
	return b.policy.latencyBetween(b.policy.entries[b.hostIndex], es)
}

// leasedSlots is a slot source that runs the library's slot holder of one entry.
type leasedSlots struct {
	broker       *serviceBroker
	state        *entryState
	incarnation  uint32
	startedAt    time.Duration
	holder       *galenabroker.SlotHolder
	syncInFlight bool
}

func (ls *leasedSlots) reset() {
	ls.incarnation++
	ls.startedAt = ls.broker.policy.sim.now
	ls.holder = galenabroker.NewSlotHolder(ls.broker.service, ls.incarnation<<8|uint32(ls.state.entry.index))
	ls.syncInFlight = false
}

func (ls *leasedSlots) setWaiting(waiting map[galenahead.CallerName]int) {
	ls.holder.SetWaiting(waiting)
	ls.syncIfDue()
}

func (ls *leasedSlots) take(caller galenahead.CallerName, choose func([]galenahead.SlotLease) int) (galenahead.SlotLease, bool) {
	l, _, ok := ls.holder.Take(ls.broker.policy.sim.brokerTime(), caller, choose)
	return l, ok
}

func (ls *leasedSlots) release(l galenahead.SlotLease) {
	ls.holder.Put(ls.broker.policy.sim.brokerTime(), l.ID)
	ls.syncIfDue()
}

// syncIfDue sends a message to the broker if one is due and none is in flight.
func (ls *leasedSlots) syncIfDue() {
	sim := ls.broker.policy.sim
	if ls.syncInFlight || ls.state.entry.dead || !ls.holder.Due(sim.brokerTime()) {
		return
	}
	ls.syncInFlight = true
	holder := ls.holder
	item := holder.Sync(sim.brokerTime())
	req := galenabroker.SyncRequest{From: ls.state.name, UptimeMS: (sim.now - ls.startedAt + time.Hour).Milliseconds()}
	if ls.incarnation > 1 {
		req.UptimeMS = (sim.now - ls.startedAt).Milliseconds()
	}
	sim.after(ls.broker.latencyTo(ls.state), func() { ls.deliver(req, item) })
	sim.after(2*ls.broker.latencyTo(ls.state)+minSyncInterval, func() {
		if ls.holder == holder {
			ls.syncInFlight = false
			ls.syncIfDue()
		}
	})
}

// deliver handles an entry's message at the broker and sends the reply.
func (ls *leasedSlots) deliver(req galenabroker.SyncRequest, item galenabroker.SyncItem) {
	b := ls.broker
	if b.allocator == nil {
		return
	}
	reply, err := b.allocator.Sync(b.policy.sim.brokerTime(), req, item)
	if err == nil {
		b.policy.sim.after(b.latencyTo(ls.state), func() { ls.applyGrant(reply) })
	}
	b.sendChangedGrants()
}

func (ls *leasedSlots) applyGrant(item galenabroker.GrantItem) {
	if ls.state.entry.dead {
		return
	}
	if ls.holder.ApplyGrants(ls.broker.policy.sim.brokerTime(), item) > 0 {
		ls.state.dispatch(ls.broker.service)
	}
	ls.syncIfDue()
}

// fixedSlots is a slot source with a fixed set of slots.
type fixedSlots struct {
	free []galenahead.SlotLease
}

func (fs *fixedSlots) setWaiting(map[galenahead.CallerName]int) {}

func (fs *fixedSlots) reset() {}

func (fs *fixedSlots) take(_ galenahead.CallerName, choose func([]galenahead.SlotLease) int) (galenahead.SlotLease, bool) {
	if len(fs.free) == 0 {
		return galenahead.SlotLease{}, false
	}
	i := choose(fs.free)
	if i < 0 {
		return galenahead.SlotLease{}, false
	}
	l := fs.free[i]
	fs.free = append(fs.free[:i], fs.free[i+1:]...)
	return l, true
}

func (fs *fixedSlots) release(l galenahead.SlotLease) { fs.free = append(fs.free, l) }
