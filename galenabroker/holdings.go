package galenabroker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenapeer"
)

const (
	// joinInterval is the time between two reports to a new broker until it
	// replies.
	joinInterval = 100 * time.Millisecond
	// avoidTime is how long an instance is avoided whose slots were declined.
	avoidTime = time.Second
	// sentMemory is how many messages' send times are kept. Older messages are
	// past SlotTTL, since two of them are at least some milliseconds apart.
	sentMemory = 256
)

// Holdings are the slots of one service that an entry holds. It is a
// deterministic core without locks, goroutines or clock reads.
type Holdings struct {
	service galenahead.ServiceName
	life    uint32
	// replaces is the life of the account that the present one replaces.
	replaces uint32
	broker   galenahead.EntryName
	epoch    galenahead.Epoch
	// seq is the number of the last message, sent holds the send times.
	seq     uint64
	sent    [sentMemory]sentSync
	synced  time.Duration
	replied bool
	// anchor is when the newest message was sent that the broker is known to
	// have received; unused slots may be used until SlotTTL after it.
	anchor time.Duration
	leased bool
	// carrying tells that a hold is carried.
	carrying bool
	version  uint64
	holds    []*hold
	uses     map[uint64]*use
	lastID   uint64
	waiting  map[galenahead.CallerName]int
	running  map[galenahead.CallerName]int
	// queued lists the callers with waiting requests; next is the index to
	// which the next slot taken without a caller's name is attributed.
	queued []galenahead.CallerName
	next   int
	// reported is the demand in the last message.
	reported int
	urgent   bool
	// returnedIn is the first message that tells of the last return.
	returnedIn uint64
	ackedSeq   uint64
	slots      int
	instances  int
	settled    bool
	drained    map[galenahead.VMName]struct{}
	candidates []galenahead.SlotLease
	indices    []*hold
	// anyEpoch and carriesOn are set by tests only, to show that the tests detect
	// them.
	anyEpoch, carriesOn bool
}

type sentSync struct {
	seq uint64
	at  time.Duration
}

type hold struct {
	id       galenahead.InstanceID
	address  string
	dc       galenahead.DataCentre
	vm       galenahead.VMName
	base     int
	granted  uint64
	returned uint64
	limit    int
	busy     int
	// returnedIn is the first message that tells of the last return.
	returnedIn uint64
	avoidUntil time.Duration
	// carried tells that the slots were granted in an older epoch and that the
	// present broker has not confirmed them yet. Until then they are used under
	// the older lease, which ends at until: the present broker may not know that
	// the instance leaves.
	carried bool
	until   time.Duration
	// lapses counts the times that the lease of the slots ran out. A slot that
	// was taken before may not be used after, even if the lease is renewed: the
	// broker may have granted the slot to another entry.
	lapses uint64
	// lapsed is the part of base that was taken before the lease ran out.
	lapsed int
	// idle holds for each unused slot since when it is unused, oldest first.
	idle []time.Duration
}

type use struct {
	hold   *hold
	caller galenahead.CallerName
	lapses uint64
}

// NewHoldings returns the empty holdings of an entry's process.
func NewHoldings(service galenahead.ServiceName, life uint32) *Holdings {
	return &Holdings{
		service: service,
		life:    life,
		uses:    make(map[uint64]*use),
		waiting: make(map[galenahead.CallerName]int),
		running: make(map[galenahead.CallerName]int),
	}
}

// Join follows the broker of a newer epoch. The slots are carried over into its
// account.
func (h *Holdings) Join(now galenapeer.Instant, broker galenahead.EntryName, item LeaseItem) {
	if item.Epoch < h.epoch {
		return
	}
	h.slots, h.instances, h.settled = item.Slots, item.Instances, item.Settled
	if item.Epoch == h.epoch {
		return
	}
	h.refresh(now)
	h.broker, h.epoch = broker, item.Epoch
	h.replaces = 0
	for _, x := range h.holds {
		h.carry(x)
	}
	h.carrying = true
	h.rebase()
}

// carry keeps the slots of x for the rest of their lease.
func (h *Holdings) carry(x *hold) {
	ended := !h.usable(x) || x.limit == closed
	if !x.carried {
		x.carried, x.until = true, h.anchor+SlotTTL
	}
	if ended {
		h.lapse(x)
	}
}

// lapse ends the lease of the slots of x.
func (h *Holdings) lapse(x *hold) {
	x.carried = false
	x.lapses++
	h.giveBack(x, len(x.idle))
}

// usable tells whether the unused slots of x may be used.
func (h *Holdings) usable(x *hold) bool { return x.carried || h.leased }

// Rejoin starts a new account at the same broker under another life, after the
// broker closed the present one.
func (h *Holdings) Rejoin(now galenapeer.Instant, life uint32) {
	h.refresh(now)
	h.replaces, h.life = h.life, life
	for _, x := range h.holds {
		h.lapse(x)
	}
	h.rebase()
}

// rebase starts an account that contains the held slots.
func (h *Holdings) rebase() {
	h.leased, h.replied, h.urgent = false, false, true
	h.version, h.returnedIn = 0, 0
	h.holds = slices.DeleteFunc(h.holds, func(x *hold) bool { return x.held() == 0 })
	for _, x := range h.holds {
		x.base, x.granted, x.returned = x.held(), 0, 0
		x.limit = noLimit
		x.returnedIn = 0
		x.lapsed = 0
	}
	for _, u := range h.uses {
		if u.lapses != u.hold.lapses {
			u.hold.lapsed++
		}
	}
}

// Broker returns the broker and its epoch.
func (h *Holdings) Broker() (galenahead.EntryName, galenahead.Epoch) { return h.broker, h.epoch }

// Known returns the service's number of usable slots.
func (h *Holdings) Known() (int, bool) { return h.slots, h.instances > 0 }

// SetDrained replaces the set of VMs that get no new work.
func (h *Holdings) SetDrained(vms map[galenahead.VMName]struct{}) { h.drained = vms }

// Want replaces the numbers of waiting requests.
func (h *Holdings) Want(waiting map[galenahead.CallerName]int) {
	clear(h.waiting)
	h.queued = h.queued[:0]
	for c, n := range waiting {
		if n > 0 {
			h.waiting[c] = n
			h.queued = append(h.queued, c)
		}
	}
	if len(h.queued) > 1 {
		slices.Sort(h.queued)
	}
	d := h.demand()
	if d > h.held() && d > h.reported {
		h.urgent = true
	}
}

// Take marks an unused slot as in use for caller. choose returns an index into
// the candidates, one for each instance with unused slots, or -1; it must not
// keep the slice. The lease has no expiry time yet; expires is on the
// monotonic clock.
func (h *Holdings) Take(now galenapeer.Instant, caller galenahead.CallerName, choose func([]galenahead.SlotLease) int) (l galenahead.SlotLease, expires time.Duration, ok bool) {
	h.refresh(now)
	h.listCandidates()
	if len(h.candidates) == 0 {
		return l, 0, false
	}
	i := choose(h.candidates)
	if i < 0 || i >= len(h.candidates) {
		h.decline(now)
		return l, 0, false
	}
	x := h.indices[i]
	x.idle = x.idle[:len(x.idle)-1]
	x.busy++
	h.lastID++
	l = h.candidates[i]
	l.ID = h.lastID
	expires = h.anchor + SlotTTL
	if x.carried {
		expires = x.until
	}
	if caller == "" {
		caller = h.attribute()
	}
	h.uses[l.ID] = &use{hold: x, caller: caller, lapses: x.lapses}
	h.running[caller]++
	return l, expires, true
}

// Valid tells whether a request may be sent now on the slot.
func (h *Holdings) Valid(now galenapeer.Instant, id uint64) bool {
	h.refresh(now)
	u, ok := h.uses[id]
	if !ok || u.lapses != u.hold.lapses || u.hold.limit == closed {
		return false
	}
	if _, drained := h.drained[u.hold.vm]; drained {
		return false
	}
	return h.usable(u.hold)
}

// Put marks a slot as unused. It tells whether the slot can be taken again. A
// slot that was taken before the lease ran out is returned: the broker may
// meanwhile have counted it as free.
func (h *Holdings) Put(now galenapeer.Instant, id uint64) bool {
	h.refresh(now)
	u, ok := h.uses[id]
	if !ok {
		return false
	}
	delete(h.uses, id)
	h.running[u.caller]--
	if h.running[u.caller] == 0 {
		delete(h.running, u.caller)
	}
	x := u.hold
	x.busy--
	x.idle = append(x.idle, now.Mono)
	stale := !h.usable(x) || u.lapses != x.lapses
	if stale || x.held() > max(x.limit, 0) && x.limit != noLimit {
		h.giveBack(x, 1)
		h.urgent = h.urgent || h.leased
		return false
	}
	return true
}

// Tick returns slots that were unused for too long.
func (h *Holdings) Tick(now galenapeer.Instant) {
	h.refresh(now)
	for _, x := range h.holds {
		n := 0
		for n < len(x.idle) && now.Mono-x.idle[n] >= IdleReturn {
			n++
		}
		h.giveBack(x, n)
	}
}

// Due tells whether a message to the broker is due.
func (h *Holdings) Due(now galenapeer.Instant) bool {
	if h.broker == "" {
		return false
	}
	since := now.Mono - h.synced
	switch {
	case h.urgent:
		return true
	case !h.replied:
		return since >= joinInterval
	case h.returnedIn > h.seq:
		return since >= joinInterval
	case h.held() > 0 || h.demand() > 0 || h.returnedIn > h.ackedSeq || h.reported > 0:
		return since >= SyncInterval
	}
	return false
}

// Sync returns the message to send to the broker now.
func (h *Holdings) Sync(now galenapeer.Instant) SyncItem {
	h.refresh(now)
	h.seq++
	h.synced = now.Mono
	h.urgent = false
	h.sent[h.seq%sentMemory] = sentSync{h.seq, now.Mono}
	item := SyncItem{Service: h.service, Epoch: h.epoch, Life: h.life, Replaces: h.replaces, Seq: h.seq}
	h.reported = 0
	for _, m := range []map[galenahead.CallerName]int{h.waiting, h.running} {
		for c, n := range m {
			if item.Demand == nil {
				item.Demand = make(map[galenahead.CallerName]int)
			}
			item.Demand[c] += n
			h.reported += n
		}
	}
	for _, x := range h.holds {
		if x.avoidUntil > now.Mono {
			item.Avoid = append(item.Avoid, x.id)
		}
		if x.held() > 0 || x.returnedIn > h.ackedSeq {
			item.Held = append(item.Held, x.report())
		}
	}
	return item
}

// Granted handles a reply or a message of the broker and returns how many slots
// became available.
func (h *Holdings) Granted(now galenapeer.Instant, g GrantItem) int {
	if g.Epoch != h.epoch && !h.anyEpoch || g.Life != h.life {
		return 0
	}
	h.refresh(now)
	h.replied = true
	h.ackedSeq = max(h.ackedSeq, g.Seq)
	if s := h.sent[g.Seq%sentMemory]; s.seq == g.Seq && g.Seq > 0 {
		h.anchor = max(h.anchor, s.at)
		h.leased = now.Mono < h.anchor+SlotTTL
	}
	newer := g.Version > h.version
	if newer && h.leased {
		h.confirm(g.Keep)
	}
	added := 0
	for _, grant := range g.Grants {
		added += h.add(now, grant)
	}
	if newer {
		h.version = g.Version
		h.setLimits(g.Limits)
	}
	if !h.leased {
		h.dropIdle()
		return 0
	}
	return added
}

// confirm takes carried slots over into the present lease.
func (h *Holdings) confirm(keep []galenahead.InstanceID) {
	for _, x := range h.holds {
		if x.carried && slices.Contains(keep, x.id) {
			x.carried = false
		}
	}
}

func (h *Holdings) add(now galenapeer.Instant, g Grant) int {
	x := h.hold(g.Instance)
	if g.Address != "" {
		x.address, x.dc, x.vm = g.Address, g.DataCentre, g.VM
	}
	n := 0
	for x.granted < g.Granted {
		x.granted++
		x.idle = append(x.idle, now.Mono)
		n++
	}
	return n
}

func (h *Holdings) setLimits(limits map[galenahead.InstanceID]int) {
	for _, x := range h.holds {
		x.limit = noLimit
		n, ok := limits[x.id]
		if !ok {
			continue
		}
		x.limit = n
		excess := min(x.held()-max(n, 0), len(x.idle))
		if excess > 0 {
			h.giveBack(x, excess)
			h.urgent = true
		}
	}
}

// refresh ends the leases that ran out.
func (h *Holdings) refresh(now galenapeer.Instant) {
	if h.leased && now.Mono >= h.anchor+SlotTTL {
		h.leased = false
		for _, x := range h.holds {
			if !x.carried {
				h.lapse(x)
			}
		}
	}
	if h.carrying {
		h.refreshCarried(now)
	}
}

func (h *Holdings) refreshCarried(now galenapeer.Instant) {
	h.carrying = false
	for _, x := range h.holds {
		if x.carried && now.Mono >= x.until && !h.carriesOn {
			h.lapse(x)
		}
		h.carrying = h.carrying || x.carried
	}
}

// dropIdle returns the unused slots without a lease.
func (h *Holdings) dropIdle() {
	for _, x := range h.holds {
		if !x.carried {
			h.giveBack(x, len(x.idle))
		}
	}
}

// giveBack returns the n slots that have been unused for longest.
func (h *Holdings) giveBack(x *hold, n int) {
	if n <= 0 {
		return
	}
	x.idle = append(x.idle[:0], x.idle[n:]...)
	x.returned += uint64(n)
	x.returnedIn = h.seq + 1
	h.returnedIn = x.returnedIn
}

func (h *Holdings) listCandidates() {
	h.candidates = h.candidates[:0]
	h.indices = h.indices[:0]
	for _, x := range h.holds {
		if len(x.idle) == 0 || x.limit == closed || !h.usable(x) {
			continue
		}
		if _, drained := h.drained[x.vm]; drained {
			continue
		}
		h.indices = append(h.indices, x)
		h.candidates = append(h.candidates, galenahead.SlotLease{
			Service: h.service, Instance: x.id, Address: x.address,
			DataCentre: x.dc, VM: x.vm, Epoch: h.epoch,
		})
	}
}

// decline asks for slots of other instances than the candidates.
func (h *Holdings) decline(now galenapeer.Instant) {
	for _, x := range h.indices {
		if x.avoidUntil <= now.Mono {
			h.urgent = true
		}
		x.avoidUntil = now.Mono + avoidTime
		h.giveBack(x, len(x.idle))
	}
}

// attribute picks the caller of a slot that was taken without one, in turn
// among the callers with waiting requests.
func (h *Holdings) attribute() galenahead.CallerName {
	if len(h.queued) == 0 {
		return ""
	}
	h.next++
	return h.queued[h.next%len(h.queued)]
}

func (h *Holdings) hold(id galenahead.InstanceID) *hold {
	i, ok := slices.BinarySearchFunc(h.holds, id, func(x *hold, id galenahead.InstanceID) int {
		return cmp.Compare(x.id, id)
	})
	if ok {
		return h.holds[i]
	}
	x := &hold{id: id, limit: noLimit}
	h.holds = slices.Insert(h.holds, i, x)
	return x
}

func (h *Holdings) held() int {
	n := 0
	for _, x := range h.holds {
		n += x.held()
	}
	return n
}

func (h *Holdings) demand() int {
	n := len(h.uses)
	for m := range maps.Values(h.waiting) {
		n += m
	}
	return n
}

func (x *hold) held() int { return x.busy + len(x.idle) }

func (x *hold) report() HeldSlots {
	r := HeldSlots{Instance: x.id, Base: x.base, Lapsed: x.lapsed, Granted: x.granted, Returned: x.returned}
	if x.base > 0 {
		r.VM = x.vm
	}
	return r
}
