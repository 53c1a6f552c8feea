package sim

import (
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenabroker"
	"github.com/galenahead/galenahead/galenapeer"
)

const (
	// warmUp is the time before the trace, in which leases and announcements
	// settle.
	warmUp = 10 * time.Second
	// syncGap is the shortest time between two messages of an entry to a broker.
	syncGap = 2 * time.Millisecond
	// tickPeriod is that of the library's broker and entries.
	tickPeriod = 50 * time.Millisecond
)

// slots is where one entry gets the slots of one service from.
type slots interface {
	want(waiting map[galenahead.CallerName]int)
	take(caller galenahead.CallerName, choose func([]galenahead.SlotLease) int) (galenahead.SlotLease, bool)
	put(l galenahead.SlotLease)
	// restart is called when the entry's process ended.
	restart()
}

// instant returns the present time for the broker. Its monotonic part is never
// negative, although the trace starts after the warm-up.
func (w *world) instant() galenapeer.Instant {
	return galenapeer.Instant{Mono: w.now + 2*warmUp, Wall: w.time()}
}

// office is the broker of one service, with the library's ledger.
type office struct {
	s       *shipped
	service galenahead.ServiceName
	members []*instance
	// host is the entry that was elected last.
	host   int
	epoch  galenahead.Epoch
	ledger *galenabroker.Allocator
	pools  []*leased
}

func newOffice(s *shipped, index int) *office {
	o := &office{s: s, service: galenahead.ServiceName(s.w.t.Services[index])}
	for _, in := range s.w.instances {
		if in.Service == index {
			o.members = append(o.members, in)
		}
	}
	for _, n := range s.nodes {
		p := &leased{o: o, n: n}
		p.restart()
		o.pools = append(o.pools, p)
	}
	s.w.in(0, o.tick)
	for i, in := range o.members {
		s.w.in(time.Duration(i)*announcePeriod/time.Duration(len(o.members)), func() { o.announce(in) })
	}
	return o
}

func (o *office) tick() {
	w := o.s.w
	if w.now > w.t.Length+warmUp {
		return
	}
	w.in(tickPeriod, o.tick)
	if o.ledger != nil {
		o.ledger.Tick(w.instant())
		o.push()
	}
	for _, p := range o.pools {
		p.holdings.Tick(w.instant())
		p.signal()
	}
}

// announce forwards an instance's announcement, every second.
func (o *office) announce(in *instance) {
	w := o.s.w
	if w.now > w.t.Length+warmUp {
		return
	}
	w.in(announcePeriod, func() { o.announce(in) })
	if o.ledger == nil || in.cutOff || in.stopped || in.frozenTo > w.now {
		return
	}
	// An error tells of another epoch; the next announcement repeats it.
	_ = o.ledger.Announce(w.instant(), galenabroker.AnnounceRequest{
		Epoch: o.epoch, TickMS: w.instant().Mono.Milliseconds(),
		Announcement: galenahead.Announcement{
			Instance: in.id, Address: string(in.id), Service: o.service, DataCentre: in.centre,
			VM: galenahead.VMName(in.id), Slots: in.Slots, Connections: connections,
			LeaseMS: announceLease.Milliseconds(), InFlight: in.inFlight, Leaving: in.leaving,
		},
	})
	o.push()
}

// push sends changed grants and limits.
func (o *office) push() {
	for _, e := range o.ledger.ChangedEntries() {
		item, ok := o.ledger.GrantsFor(o.s.w.instant(), e.Name)
		p := o.pools[o.s.indexOf(e.Name)]
		if !ok {
			continue
		}
		o.s.w.in(o.way(p.n), func() { p.granted(item) })
	}
}

func (o *office) way(n *node) time.Duration { return o.s.between(o.s.nodes[o.host], n) }

// leased is the library's holdings of one entry.
type leased struct {
	o        *office
	n        *node
	life     uint32
	born     time.Duration
	holdings *galenabroker.SlotHolder
	syncing  bool
}

func (p *leased) restart() {
	p.life++
	p.born = p.o.s.w.now
	p.holdings = galenabroker.NewSlotHolder(p.o.service, p.life<<8|uint32(p.n.e.index))
	p.syncing = false
}

func (p *leased) want(waiting map[galenahead.CallerName]int) {
	p.holdings.SetWaiting(waiting)
	p.signal()
}

func (p *leased) take(caller galenahead.CallerName, choose func([]galenahead.SlotLease) int) (galenahead.SlotLease, bool) {
	l, _, ok := p.holdings.Take(p.o.s.w.instant(), caller, choose)
	return l, ok
}

func (p *leased) put(l galenahead.SlotLease) {
	p.holdings.Put(p.o.s.w.instant(), l.ID)
	p.signal()
}

// signal sends a message to the broker when one is due.
func (p *leased) signal() {
	w := p.o.s.w
	if p.syncing || p.n.e.dead || !p.holdings.Due(w.instant()) {
		return
	}
	p.syncing = true
	holdings := p.holdings
	item := holdings.Sync(w.instant())
	q := galenabroker.SyncRequest{From: p.n.name, UptimeMS: (w.now - p.born + time.Hour).Milliseconds()}
	if p.life > 1 {
		q.UptimeMS = (w.now - p.born).Milliseconds()
	}
	w.in(p.o.way(p.n), func() { p.deliver(q, item) })
	w.in(2*p.o.way(p.n)+syncGap, func() {
		if p.holdings == holdings {
			p.syncing = false
			p.signal()
		}
	})
}

// deliver handles an entry's message at the broker.
func (p *leased) deliver(q galenabroker.SyncRequest, item galenabroker.SyncItem) {
	o := p.o
	if o.ledger == nil {
		return
	}
	reply, err := o.ledger.Sync(o.s.w.instant(), q, item)
	if err == nil {
		o.s.w.in(o.way(p.n), func() { p.granted(reply) })
	}
	o.push()
}

func (p *leased) granted(item galenabroker.GrantItem) {
	if p.n.e.dead {
		return
	}
	if p.holdings.ApplyGrants(p.o.s.w.instant(), item) > 0 {
		p.n.dispatch(p.o.service)
	}
	p.signal()
}

// quota is a fixed part of the slots.
type quota struct {
	free []galenahead.SlotLease
}

func (p *quota) want(map[galenahead.CallerName]int) {}

func (p *quota) restart() {}

func (p *quota) take(_ galenahead.CallerName, choose func([]galenahead.SlotLease) int) (galenahead.SlotLease, bool) {
	if len(p.free) == 0 {
		return galenahead.SlotLease{}, false
	}
	i := choose(p.free)
	if i < 0 {
		return galenahead.SlotLease{}, false
	}
	l := p.free[i]
	p.free = append(p.free[:i], p.free[i+1:]...)
	return l, true
}

func (p *quota) put(l galenahead.SlotLease) { p.free = append(p.free, l) }
