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
	// syncRetryInterval is the time between two messages to a new broker until it
	// replies, and the time after the last message at which a returned slot is
	// reported if no other message is due before.
	syncRetryInterval = 100 * time.Millisecond
	// avoidDuration is how long the broker is asked not to grant slots of an
	// instance after this entry declined them.
	avoidDuration = time.Second
	// sentHistory is the number of messages whose send times are kept. Older
	// messages were sent more than SlotTTL ago, since messages are at least some
	// milliseconds apart.
	sentHistory = 256
)

// SlotHolder tracks the slots of one service that an entry holds. It is
// deterministic: it takes no locks, starts no goroutines and reads no clocks.
type SlotHolder struct {
	service galenahead.ServiceName
	// sessionID identifies, with epoch, the session at the broker.
	sessionID uint32
	// replaces is the ID of the session that the current one replaces.
	replaces uint32
	broker   galenahead.EntryName
	epoch    galenahead.Epoch
	// seq is the sequence number of the last message. sent is a ring buffer of
	// send times, indexed by sequence number.
	seq      uint64
	sent     [sentHistory]sentSync
	syncedAt time.Duration
	// replied is set when the broker has replied in this session.
	replied bool
	// leaseStart is the send time of the newest message that the broker is known
	// to have received. Unused slots may be used until SlotTTL after it.
	leaseStart time.Duration
	leased     bool
	// hasCarried is set when the slots of some instance may still be carried.
	hasCarried  bool
	version     uint64
	perInstance []*instanceSlots
	uses        map[uint64]*slotUse
	lastID      uint64
	waiting     map[galenahead.CallerName]int
	running     map[galenahead.CallerName]int
	// waitingCallers lists the callers with waiting requests. nextCaller rotates
	// over them: it selects the caller to which a slot that is taken without a
	// caller's name is attributed.
	waitingCallers []galenahead.CallerName
	nextCaller     int
	// reportedDemand is the demand in the last message.
	reportedDemand int
	// syncNow requests a message to the broker without delay.
	syncNow bool
	// returnSeq is the sequence number of the first message that reports the
	// last returned slot.
	returnSeq      uint64
	ackedSeq       uint64
	totalSlots     int
	totalInstances int
	settled        bool
	drained        map[galenahead.VMName]struct{}
	candidates     []galenahead.SlotLease
	candidateSlots []*instanceSlots
	// acceptAnyEpoch and keepExpiredCarried inject faults. Only tests set them, to
	// prove that the simulations detect the faults.
	acceptAnyEpoch, keepExpiredCarried bool
}

// sentSync is the send time of one message.
type sentSync struct {
	seq uint64
	at  time.Duration
}

// instanceSlots are the slots of one instance that the entry holds. The fields
// base, expired, granted and returned are those of HeldSlots.
type instanceSlots struct {
	id         galenahead.InstanceID
	address    string
	dataCentre galenahead.DataCentre
	vm         galenahead.VMName
	base       int
	granted    uint64
	returned   uint64
	limit      int
	inUse      int
	// returnSeq is the sequence number of the first message that reports the
	// last returned slot of this instance.
	returnSeq  uint64
	avoidUntil time.Duration
	// carried is set while the slots, which were granted in an older epoch, are
	// not confirmed by the current broker. Until then they are used under the
	// older lease, which ends at carriedUntil, and not renewed: the current
	// broker may not know that the instance leaves.
	carried      bool
	carriedUntil time.Duration
	// expiries counts how often the lease of the slots expired. A slot that was
	// taken before an expiry must not be used after it, even if the lease is
	// renewed: the broker may have granted the slot to another entry.
	expiries uint64
	// expired is the part of base that was taken before the lease expired.
	expired int
	// idle holds, for each unused slot, the time since which it is unused,
	// oldest first.
	idle []time.Duration
}

// slotUse is a slot that was taken. expiries is the value of slots.expiries at that
// time.
type slotUse struct {
	slots    *instanceSlots
	caller   galenahead.CallerName
	expiries uint64
}

// NewSlotHolder returns the slot holder of an entry whose process has just started
// and holds no slots. sessionID is the random ID of its sessions until
// RestartSession replaces it.
func NewSlotHolder(service galenahead.ServiceName, sessionID uint32) *SlotHolder {
	return &SlotHolder{
		service:   service,
		sessionID: sessionID,
		uses:      make(map[uint64]*slotUse),
		waiting:   make(map[galenahead.CallerName]int),
		running:   make(map[galenahead.CallerName]int),
	}
}

// FollowBroker handles a lease renewal. If its epoch is newer than the current one,
// the entry follows the sender as the broker and carries its slots over to it.
func (h *SlotHolder) FollowBroker(now galenapeer.Instant, broker galenahead.EntryName, item LeaseItem) {
	if item.Epoch < h.epoch {
		return
	}
	h.totalSlots, h.totalInstances, h.settled = item.Slots, item.Instances, item.Settled
	if item.Epoch == h.epoch {
		return
	}
	h.refresh(now)
	h.broker, h.epoch = broker, item.Epoch
	h.replaces = 0
	for _, s := range h.perInstance {
		h.carryOver(s)
	}
	h.hasCarried = true
	h.rebaseTotals()
}

// carryOver keeps the slots of s for the rest of their lease.
func (h *SlotHolder) carryOver(s *instanceSlots) {
	ended := !h.usable(s) || s.limit == limitClosed
	if !s.carried {
		s.carried, s.carriedUntil = true, h.leaseStart+SlotTTL
	}
	if ended {
		h.expire(s)
	}
}

// expire ends the lease of the slots of s.
func (h *SlotHolder) expire(s *instanceSlots) {
	s.carried = false
	s.expiries++
	h.returnIdle(s, len(s.idle))
}

// usable reports whether the unused slots of s may be used.
func (h *SlotHolder) usable(s *instanceSlots) bool { return s.carried || h.leased }

// RestartSession starts a new session with the same broker, after the broker closed
// the current one.
func (h *SlotHolder) RestartSession(now galenapeer.Instant, sessionID uint32) {
	h.refresh(now)
	h.replaces, h.sessionID = h.sessionID, sessionID
	for _, s := range h.perInstance {
		h.expire(s)
	}
	h.rebaseTotals()
}

// rebaseTotals resets the totals of a new session: the slots held now become the
// base.
func (h *SlotHolder) rebaseTotals() {
	h.leased, h.replied, h.syncNow = false, false, true
	h.version, h.returnSeq = 0, 0
	h.perInstance = slices.DeleteFunc(h.perInstance, func(s *instanceSlots) bool { return s.held() == 0 })
	for _, s := range h.perInstance {
		s.base, s.granted, s.returned = s.held(), 0, 0
		s.limit = noLimit
		s.returnSeq = 0
		s.expired = 0
	}
	for _, u := range h.uses {
		if u.expiries != u.slots.expiries {
			u.slots.expired++
		}
	}
}

// Broker returns the broker and its epoch.
func (h *SlotHolder) Broker() (galenahead.EntryName, galenahead.Epoch) { return h.broker, h.epoch }

// Capacity returns the number of usable slots of the service, and whether it has
// any instance, as the broker reported them.
func (h *SlotHolder) Capacity() (int, bool) { return h.totalSlots, h.totalInstances > 0 }

// SetDrained replaces the set of VMs that get no new work.
func (h *SlotHolder) SetDrained(vms map[galenahead.VMName]struct{}) { h.drained = vms }

// SetWaiting replaces the numbers of waiting requests by caller.
func (h *SlotHolder) SetWaiting(waiting map[galenahead.CallerName]int) {
	clear(h.waiting)
	h.waitingCallers = h.waitingCallers[:0]
	for c, n := range waiting {
		if n > 0 {
			h.waiting[c] = n
			h.waitingCallers = append(h.waitingCallers, c)
		}
	}
	if len(h.waitingCallers) > 1 {
		slices.Sort(h.waitingCallers)
	}
	d := h.demand()
	if d > h.heldTotal() && d > h.reportedDemand {
		h.syncNow = true
	}
}

// Take marks an unused slot as in use for caller. choose returns an index into
// the candidates, which are one for each instance with unused slots, or -1 for
// none; it must not keep the slice. Take doesn't set the expiry time of the
// returned lease; expires gives it on the monotonic clock.
func (h *SlotHolder) Take(now galenapeer.Instant, caller galenahead.CallerName, choose func([]galenahead.SlotLease) int) (l galenahead.SlotLease, expires time.Duration, ok bool) {
	h.refresh(now)
	h.listCandidates()
	if len(h.candidates) == 0 {
		return l, 0, false
	}
	i := choose(h.candidates)
	if i < 0 || i >= len(h.candidates) {
		h.declineCandidates(now)
		return l, 0, false
	}
	s := h.candidateSlots[i]
	s.idle = s.idle[:len(s.idle)-1]
	s.inUse++
	h.lastID++
	l = h.candidates[i]
	l.ID = h.lastID
	expires = h.leaseStart + SlotTTL
	if s.carried {
		expires = s.carriedUntil
	}
	if caller == "" {
		caller = h.attributeCaller()
	}
	h.uses[l.ID] = &slotUse{slots: s, caller: caller, expiries: s.expiries}
	h.running[caller]++
	return l, expires, true
}

// Valid reports whether a request may be sent on the slot now.
func (h *SlotHolder) Valid(now galenapeer.Instant, id uint64) bool {
	h.refresh(now)
	u, ok := h.uses[id]
	if !ok || u.expiries != u.slots.expiries || u.slots.limit == limitClosed {
		return false
	}
	if _, drained := h.drained[u.slots.vm]; drained {
		return false
	}
	return h.usable(u.slots)
}

// Put marks a slot as unused and reports whether it can be taken again. A slot
// that was taken before the lease expired is returned to the broker, which may
// have counted it as free since.
func (h *SlotHolder) Put(now galenapeer.Instant, id uint64) bool {
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
	s := u.slots
	s.inUse--
	s.idle = append(s.idle, now.Mono)
	stale := !h.usable(s) || u.expiries != s.expiries
	if stale || s.held() > max(s.limit, 0) && s.limit != noLimit {
		h.returnIdle(s, 1)
		h.syncNow = h.syncNow || h.leased
		return false
	}
	return true
}

// Tick returns slots to the broker that were unused for IdleReturn.
func (h *SlotHolder) Tick(now galenapeer.Instant) {
	h.refresh(now)
	for _, s := range h.perInstance {
		n := 0
		for n < len(s.idle) && now.Mono-s.idle[n] >= IdleReturn {
			n++
		}
		h.returnIdle(s, n)
	}
}

// Due reports whether a message to the broker is due.
func (h *SlotHolder) Due(now galenapeer.Instant) bool {
	if h.broker == "" {
		return false
	}
	since := now.Mono - h.syncedAt
	switch {
	case h.syncNow:
		return true
	case !h.replied:
		return since >= syncRetryInterval
	case h.returnSeq > h.seq:
		return since >= syncRetryInterval
	case h.heldTotal() > 0 || h.demand() > 0 || h.returnSeq > h.ackedSeq || h.reportedDemand > 0:
		return since >= SyncInterval
	}
	return false
}

// Sync returns the next message to the broker, which must be sent now.
func (h *SlotHolder) Sync(now galenapeer.Instant) SyncItem {
	h.refresh(now)
	h.seq++
	h.syncedAt = now.Mono
	h.syncNow = false
	h.sent[h.seq%sentHistory] = sentSync{h.seq, now.Mono}
	item := SyncItem{Service: h.service, Epoch: h.epoch, SessionID: h.sessionID, Replaces: h.replaces, Seq: h.seq}
	h.reportedDemand = 0
	for _, m := range []map[galenahead.CallerName]int{h.waiting, h.running} {
		for c, n := range m {
			if item.Demand == nil {
				item.Demand = make(map[galenahead.CallerName]int)
			}
			item.Demand[c] += n
			h.reportedDemand += n
		}
	}
	for _, s := range h.perInstance {
		if s.avoidUntil > now.Mono {
			item.Avoid = append(item.Avoid, s.id)
		}
		if s.held() > 0 || s.returnSeq > h.ackedSeq {
			item.Held = append(item.Held, s.heldSlots())
		}
	}
	return item
}

// ApplyGrants handles a reply or a pushed message of the broker and returns how many
// slots became available.
func (h *SlotHolder) ApplyGrants(now galenapeer.Instant, g GrantItem) int {
	if g.Epoch != h.epoch && !h.acceptAnyEpoch || g.SessionID != h.sessionID {
		return 0
	}
	h.refresh(now)
	h.replied = true
	h.ackedSeq = max(h.ackedSeq, g.Seq)
	if s := h.sent[g.Seq%sentHistory]; s.seq == g.Seq && g.Seq > 0 {
		h.leaseStart = max(h.leaseStart, s.at)
		h.leased = now.Mono < h.leaseStart+SlotTTL
	}
	newer := g.Version > h.version
	if newer && h.leased {
		h.confirmCarried(g.Keep)
	}
	added := 0
	for _, grant := range g.Grants {
		added += h.addGrant(now, grant)
	}
	if newer {
		h.version = g.Version
		h.setLimits(g.Limits)
	}
	if !h.leased {
		h.returnUnleased()
		return 0
	}
	return added
}

// confirmCarried puts carried slots of the instances in keep under the current
// lease.
func (h *SlotHolder) confirmCarried(keep []galenahead.InstanceID) {
	for _, s := range h.perInstance {
		if s.carried && slices.Contains(keep, s.id) {
			s.carried = false
		}
	}
}

func (h *SlotHolder) addGrant(now galenapeer.Instant, g Grant) int {
	s := h.instance(g.Instance)
	if g.Address != "" {
		s.address, s.dataCentre, s.vm = g.Address, g.DataCentre, g.VM
	}
	n := 0
	for s.granted < g.Granted {
		s.granted++
		s.idle = append(s.idle, now.Mono)
		n++
	}
	return n
}

func (h *SlotHolder) setLimits(limits map[galenahead.InstanceID]int) {
	for _, s := range h.perInstance {
		s.limit = noLimit
		n, ok := limits[s.id]
		if !ok {
			continue
		}
		s.limit = n
		excess := min(s.held()-max(n, 0), len(s.idle))
		if excess > 0 {
			h.returnIdle(s, excess)
			h.syncNow = true
		}
	}
}

// refresh handles leases that have expired by now.
func (h *SlotHolder) refresh(now galenapeer.Instant) {
	if h.leased && now.Mono >= h.leaseStart+SlotTTL {
		h.leased = false
		for _, s := range h.perInstance {
			if !s.carried {
				h.expire(s)
			}
		}
	}
	if h.hasCarried {
		h.refreshCarried(now)
	}
}

func (h *SlotHolder) refreshCarried(now galenapeer.Instant) {
	h.hasCarried = false
	for _, s := range h.perInstance {
		if s.carried && now.Mono >= s.carriedUntil && !h.keepExpiredCarried {
			h.expire(s)
		}
		h.hasCarried = h.hasCarried || s.carried
	}
}

// returnUnleased returns the unused slots that are not under a lease.
func (h *SlotHolder) returnUnleased() {
	for _, s := range h.perInstance {
		if !s.carried {
			h.returnIdle(s, len(s.idle))
		}
	}
}

// returnIdle returns the n slots of s that have been unused for the longest time.
func (h *SlotHolder) returnIdle(s *instanceSlots, n int) {
	if n <= 0 {
		return
	}
	s.idle = append(s.idle[:0], s.idle[n:]...)
	s.returned += uint64(n)
	s.returnSeq = h.seq + 1
	h.returnSeq = s.returnSeq
}

func (h *SlotHolder) listCandidates() {
	h.candidates = h.candidates[:0]
	h.candidateSlots = h.candidateSlots[:0]
	for _, s := range h.perInstance {
		if len(s.idle) == 0 || s.limit == limitClosed || !h.usable(s) {
			continue
		}
		if _, drained := h.drained[s.vm]; drained {
			continue
		}
		h.candidateSlots = append(h.candidateSlots, s)
		h.candidates = append(h.candidates, galenahead.SlotLease{
			Service: h.service, Instance: s.id, Address: s.address,
			DataCentre: s.dataCentre, VM: s.vm, Epoch: h.epoch,
		})
	}
}

// declineCandidates returns the unused slots of the candidates and asks the broker
// for slots of other instances.
func (h *SlotHolder) declineCandidates(now galenapeer.Instant) {
	for _, s := range h.candidateSlots {
		if s.avoidUntil <= now.Mono {
			h.syncNow = true
		}
		s.avoidUntil = now.Mono + avoidDuration
		h.returnIdle(s, len(s.idle))
	}
}

// attributeCaller picks a caller for a slot that was taken without one, by
// rotating over the callers with waiting requests.
func (h *SlotHolder) attributeCaller() galenahead.CallerName {
	if len(h.waitingCallers) == 0 {
		return ""
	}
	h.nextCaller++
	return h.waitingCallers[h.nextCaller%len(h.waitingCallers)]
}

func (h *SlotHolder) instance(id galenahead.InstanceID) *instanceSlots {
	i, ok := slices.BinarySearchFunc(h.perInstance, id, func(s *instanceSlots, id galenahead.InstanceID) int {
		return cmp.Compare(s.id, id)
	})
	if ok {
		return h.perInstance[i]
	}
	s := &instanceSlots{id: id, limit: noLimit}
	h.perInstance = slices.Insert(h.perInstance, i, s)
	return s
}

func (h *SlotHolder) heldTotal() int {
	n := 0
	for _, s := range h.perInstance {
		n += s.held()
	}
	return n
}

func (h *SlotHolder) demand() int {
	n := len(h.uses)
	for m := range maps.Values(h.waiting) {
		n += m
	}
	return n
}

func (s *instanceSlots) held() int { return s.inUse + len(s.idle) }

func (s *instanceSlots) heldSlots() HeldSlots {
	r := HeldSlots{Instance: s.id, Base: s.base, Expired: s.expired, Granted: s.granted, Returned: s.returned}
	if s.base > 0 {
		r.VM = s.vm
	}
	return r
}
