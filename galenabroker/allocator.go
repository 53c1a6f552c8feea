package galenabroker

import (
	"slices"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenapeer"
)

const (
	// sendMargin covers two delays: how long a request that was sent under a slot
	// lease may still be under way to the instance after the lease has ended,
	// and by how much an announcement may be older than the tick that it carries.
	sendMargin = pauseThreshold + 200*time.Millisecond
	// maxTickAge is the largest usual age of the tick in an announcement. A tick is
	// a reading of the broker's monotonic clock, which entries learn from the
	// renewals of the broker lease.
	maxTickAge = RenewInterval + 500*time.Millisecond
	// ignoreAfterLeaving is how long announcements of an instance are ignored after
	// it announced that it leaves, because earlier ones may arrive late.
	ignoreAfterLeaving = 10 * time.Second
	// allocationSlack is the number of instances that a session may list beyond
	// twice the instances known to the broker. A session that lists more is closed,
	// because too many of them no longer exist.
	allocationSlack = 64
	// instanceRetention is how long an instance is kept after its lease expired.
	instanceRetention = time.Minute
	// spareSlots is the number of slots that an entry is granted beyond its demand
	// while many slots are free.
	spareSlots = 1
)

// Allocator allocates the slots of one service to the entries while this entry is
// the broker. It is deterministic: it takes no locks, starts no goroutines and reads
// no clocks. It covers one epoch and is discarded when the broker lease ends.
type Allocator struct {
	service galenahead.ServiceName
	entries []galenapeer.Entry
	lease   BrokerLease
	// maxRequest is the longest time between the sending of a request and its
	// deadline.
	maxRequest time.Duration
	// fenced is set once every process that can still send requests has reported
	// to this broker. fencedAt is the time at which it was set.
	fenced    bool
	fencedAt  time.Duration
	instances map[galenahead.InstanceID]*instanceState
	// instanceIDs are the sorted keys of instances.
	instanceIDs []galenahead.InstanceID
	sessions    map[galenahead.EntryName]*session
	// closedSessions holds replaced or expired sessions whose requests may still be
	// in flight.
	closedSessions []*session
	// unreportedBounds holds, by instance, the bounds on the slots in use by
	// processes that have not reported to this broker.
	unreportedBounds map[galenahead.InstanceID]*upperBound
	closedIDs        map[uint32]bool
	drained          map[galenahead.VMName]struct{}
	// grantBeforeReports and keepUnknown inject faults. Only tests set them, to
	// prove that the simulations detect the faults.
	grantBeforeReports, keepUnknown bool
}

// instanceState is what the broker knows of an instance by its announcements.
type instanceState struct {
	announcement galenahead.Announcement
	slots        int
	expires      time.Duration
	leaving      bool
	updatedAt    time.Duration
}

// session is the broker's record of one session of an entry's process. It begins
// with the first SyncItem that carries its ID in the broker's epoch.
type session struct {
	entry    galenapeer.Entry
	id       uint32
	seq      uint64
	syncedAt time.Duration
	version  uint64
	demand   map[galenahead.CallerName]int
	avoid    []galenahead.InstanceID
	// predecessorsDone is set when no earlier process of the entry can have
	// requests in flight, except for those that reported to this broker.
	predecessorsDone bool
	allocations      map[galenahead.InstanceID]*allocation
	// instanceIDs are the sorted keys of allocations.
	instanceIDs []galenahead.InstanceID
	// changed is set when grants or limits must be sent to the entry.
	changed bool
}

// allocation records the slots of one instance that a session holds. base and
// returned are the totals of HeldSlots, granted is the total that the broker granted.
type allocation struct {
	base int
	// expired is the part of base that a previous broker may have counted as free.
	expired  int
	granted  uint64
	returned uint64
	// limit is the number of slots that the entry may keep, or noLimit.
	limit int
	// inUseBound bounds the slots in use after the session's lease has expired.
	inUseBound upperBound
	vm         galenahead.VMName
	address    string
}

const (
	// limitClosed is the limit for instances that get no new requests: the entry
	// returns unused slots and sends nothing on slots that it has taken.
	limitClosed = -1
	// noLimit means that the entry may keep all its slots.
	noLimit = -2
)

// NewAllocator returns the slot allocator of a broker that was just elected.
func NewAllocator(service galenahead.ServiceName, entries []galenapeer.Entry, lease BrokerLease, maxRequest time.Duration) *Allocator {
	return &Allocator{
		service:          service,
		entries:          entries,
		lease:            lease,
		maxRequest:       maxRequest,
		instances:        make(map[galenahead.InstanceID]*instanceState),
		sessions:         make(map[galenahead.EntryName]*session),
		unreportedBounds: make(map[galenahead.InstanceID]*upperBound),
		closedIDs:        make(map[uint32]bool),
	}
}

// SetDrained replaces the set of VMs whose instances get no new requests.
func (a *Allocator) SetDrained(now galenapeer.Instant, vms map[galenahead.VMName]struct{}) {
	a.drained = vms
	a.allocate(now)
}

// Announce handles an announcement that an entry, possibly this one, forwarded.
// It fails with ErrNotLeader if the announcement was meant for another epoch's
// broker, and with ErrInvalid if it is malformed.
func (a *Allocator) Announce(now galenapeer.Instant, q AnnounceRequest) error {
	if q.Epoch != a.lease.Epoch {
		return galenahead.ErrNotLeader
	}
	ann := q.Announcement
	if ann.Slots < 0 || ann.Connections < 0 || ann.InFlight < 0 || ann.Instance == "" || len(ann.Instance) > galenahead.MaxIDLength {
		return galenahead.ErrInvalid
	}
	tick := min(time.Duration(q.TickMS)*time.Millisecond, now.Mono)
	i, ok := a.instances[ann.Instance]
	if !ok {
		i = &instanceState{}
		a.instances[ann.Instance] = i
		a.instanceIDs = insertSorted(a.instanceIDs, ann.Instance)
	}
	a.observe(now, ann, tick)
	if i.leaving && now.Mono-i.updatedAt < ignoreAfterLeaving {
		return nil
	}
	i.announcement = ann
	i.slots = min(ann.Slots, ann.Connections)
	i.leaving = ann.Leaving
	i.updatedAt = now.Mono
	i.expires = min(now.Mono, tick+maxTickAge) + time.Duration(ann.LeaseMS)*time.Millisecond
	if !ok {
		a.notifyCarriedOver(ann.Instance)
	}
	a.allocate(now)
	return nil
}

// Sync handles a message of an entry and returns the reply. It fails with
// ErrNotLeader for another epoch, and with ErrLeaseExpired for a session that was
// replaced, whose lease ended while the entry held slots, or that lists too many
// instances that no longer exist. The entry must then start a new session: late
// messages of the old one may grant slots that have been counted as free since.
func (a *Allocator) Sync(now galenapeer.Instant, q SyncRequest, item SyncItem) (GrantItem, error) {
	i := slices.IndexFunc(a.entries, func(e galenapeer.Entry) bool { return e.Name == q.From })
	if i < 0 || item.Epoch != a.lease.Epoch {
		return GrantItem{}, galenahead.ErrNotLeader
	}
	if a.closedIDs[item.SessionID] {
		return GrantItem{}, galenahead.ErrLeaseExpired
	}
	s := a.session(now, a.entries[i], item, q.UptimeMS)
	known := s.merge(item)
	expired := s.seq > 0 && now.Mono >= s.expiry() && s.outstanding() > 0
	if expired || len(s.allocations) > 2*len(a.instances)+allocationSlack {
		a.closeSession(s)
		return GrantItem{}, galenahead.ErrLeaseExpired
	}
	s.renew(now, item)
	a.allocate(now)
	s.changed = false
	return a.grantItem(now, s, known), nil
}

// Tick handles leases that have expired and allocates the slots that became free.
func (a *Allocator) Tick(now galenapeer.Instant) {
	a.instanceIDs = slices.DeleteFunc(a.instanceIDs, func(id galenahead.InstanceID) bool {
		forgotten := now.Mono-a.instances[id].expires > instanceRetention
		if forgotten {
			delete(a.instances, id)
		}
		return forgotten
	})
	a.closedSessions = slices.DeleteFunc(a.closedSessions, func(s *session) bool {
		return now.Mono >= s.expiry()+a.maxRequest
	})
	a.allocate(now)
}

// ChangedEntries returns the entries whose grants or limits have changed since they
// were last returned for sending.
func (a *Allocator) ChangedEntries() []galenapeer.Entry {
	var out []galenapeer.Entry
	for _, e := range a.entries {
		if s := a.sessions[e.Name]; s != nil && s.changed {
			out = append(out, e)
		}
	}
	return out
}

// GrantsFor returns the entry's current grants and limits, and whether the entry has a
// session.
func (a *Allocator) GrantsFor(now galenapeer.Instant, entry galenahead.EntryName) (GrantItem, bool) {
	s := a.sessions[entry]
	if s == nil {
		return GrantItem{}, false
	}
	s.changed = false
	return a.grantItem(now, s, nil), true
}

// Size returns the number of usable slots and instances.
func (a *Allocator) Size(now galenapeer.Instant) (slots, instances int) {
	for _, i := range a.instances {
		if a.usable(now, i) {
			slots += i.slots
			instances++
		}
	}
	return slots, instances
}

// Fenced reports whether every process that can still send requests has reported to
// this broker.
func (a *Allocator) Fenced() bool { return a.fenced }

// Outstanding returns the numbers of slots counted as in use, by VM.
func (a *Allocator) Outstanding(now galenapeer.Instant) Outstanding {
	out := Outstanding{Service: a.service, Epoch: a.lease.Epoch, Ready: a.allReported(now), VMs: make(map[galenahead.VMName]int)}
	for id, i := range a.instances {
		out.VMs[i.announcement.VM] += a.maxUnreported(now, id)
	}
	for _, s := range a.allSessions() {
		for id, alloc := range s.allocations {
			out.VMs[a.vmOf(id, alloc)] += a.maxInUse(now, s, alloc)
		}
	}
	return out
}

func (a *Allocator) vmOf(id galenahead.InstanceID, alloc *allocation) galenahead.VMName {
	if i, ok := a.instances[id]; ok {
		return i.announcement.VM
	}
	return alloc.vm
}

// session returns the session that item belongs to, and creates it if necessary.
// The entry's previous session is kept as a closed one, since its requests may still
// be in flight, unless the new session takes over its slots.
func (a *Allocator) session(now galenapeer.Instant, e galenapeer.Entry, item SyncItem, uptimeMS int64) *session {
	s, ok := a.sessions[e.Name]
	if ok && s.id == item.SessionID {
		return s
	}
	if ok {
		a.closeSession(s)
	}
	started := now.Mono - time.Duration(uptimeMS)*time.Millisecond
	predecessorsDone := started <= a.lease.Won-a.maxRequest-SlotTTL
	a.closedSessions = slices.DeleteFunc(a.closedSessions, func(closed *session) bool {
		// A closed session without unreported predecessors implies that the new
		// one has none either.
		predecessorsDone = predecessorsDone || closed.entry.Name == e.Name && closed.predecessorsDone
		return closed.entry.Name == e.Name && closed.id == item.Replaces
	})
	s = &session{
		entry:            e,
		id:               item.SessionID,
		predecessorsDone: predecessorsDone,
		allocations:      make(map[galenahead.InstanceID]*allocation),
	}
	a.sessions[e.Name] = s
	return s
}

func (a *Allocator) closeSession(s *session) {
	a.closedIDs[s.id] = true
	a.closedSessions = append(a.closedSessions, s)
	delete(a.sessions, s.entry.Name)
}

// observe lowers the bounds on the slots in use by processes that have not reported
// or whose session has expired. The instance made the announcement after tick.
func (a *Allocator) observe(now galenapeer.Instant, ann galenahead.Announcement, tick time.Duration) {
	if a.fenced && tick >= a.fencedAt+sendMargin {
		b, ok := a.unreportedBounds[ann.Instance]
		if !ok {
			b = &upperBound{}
			a.unreportedBounds[ann.Instance] = b
		}
		b.observe(now, ann.InFlight)
	}
	for _, s := range a.allSessions() {
		if alloc, ok := s.allocations[ann.Instance]; ok && tick >= s.expiry()+sendMargin {
			alloc.inUseBound.observe(now, ann.InFlight)
		}
	}
}

// boundWindow is the shortest time that the announcements that set a bound must
// span. An instance sends an announcement every second.
const boundWindow = 800 * time.Millisecond

// upperBound is an upper bound on slots in use, learned from announcements. One
// announcement does not set it, since a single one may have been delayed on its way
// to the entry. The zero value is no bound.
type upperBound struct {
	set         bool
	value       int
	started     bool
	windowStart time.Duration
	windowMax   int
}

func (b *upperBound) observe(now galenapeer.Instant, n int) {
	if !b.started {
		b.started, b.windowStart, b.windowMax = true, now.Mono, n
		return
	}
	b.windowMax = max(b.windowMax, n)
	if now.Mono-b.windowStart < boundWindow {
		return
	}
	if !b.set || b.windowMax < b.value {
		b.set, b.value = true, b.windowMax
	}
	b.windowStart, b.windowMax = now.Mono, n
}

// clamp returns n, or the bound if it is lower.
func (b *upperBound) clamp(n int) int {
	if b != nil && b.set {
		return min(n, b.value)
	}
	return n
}

func (a *Allocator) allSessions() []*session {
	out := make([]*session, 0, len(a.sessions)+len(a.closedSessions))
	for _, e := range a.entries {
		if s := a.sessions[e.Name]; s != nil {
			out = append(out, s)
		}
	}
	return append(out, a.closedSessions...)
}

// maxInUse returns how many slots of alloc, which belongs to s, may be in use.
func (a *Allocator) maxInUse(now galenapeer.Instant, s *session, alloc *allocation) int {
	n := alloc.outstanding()
	if now.Mono < s.expiry() {
		return n
	}
	if now.Mono >= s.expiry()+a.maxRequest {
		return 0
	}
	return alloc.inUseBound.clamp(n)
}

// maxUnreported returns how many slots of the instance may be in use by processes
// that have not reported to this broker. Reported and unreported slots together
// are at most the instance's slots.
func (a *Allocator) maxUnreported(now galenapeer.Instant, id galenahead.InstanceID) int {
	if a.allReported(now) {
		return 0
	}
	n := 0
	if i, ok := a.instances[id]; ok {
		n = i.slots
	}
	for _, s := range a.allSessions() {
		if alloc, ok := s.allocations[id]; ok {
			n -= alloc.base - alloc.expired
		}
	}
	return max(a.unreportedBounds[id].clamp(n), 0)
}

// allReported reports whether every process that may have requests in flight has
// reported to this broker.
func (a *Allocator) allReported(now galenapeer.Instant) bool {
	if now.Mono >= a.lease.Won+SlotTTL+a.maxRequest {
		return true
	}
	for _, e := range a.entries {
		if s := a.sessions[e.Name]; s == nil || !s.predecessorsDone {
			return false
		}
	}
	return true
}

// notifyCarriedOver marks the sessions that carried slots of the instance over from
// an older epoch as changed, so that their entries learn that they may keep them.
func (a *Allocator) notifyCarriedOver(id galenahead.InstanceID) {
	for _, s := range a.sessions {
		if alloc, ok := s.allocations[id]; ok && alloc.base > 0 {
			s.changed = true
		}
	}
}

// mayCarryOver reports whether entries may still use slots under leases of the
// previous broker.
func (a *Allocator) mayCarryOver(now galenapeer.Instant) bool {
	return now.Mono < a.lease.Won+SlotTTL+rateMargin
}

// isUsable reports whether the instance has announced itself to this broker and may
// get requests.
func (a *Allocator) isUsable(now galenapeer.Instant, id galenahead.InstanceID) bool {
	i, ok := a.instances[id]
	return ok && a.usable(now, i)
}

func (a *Allocator) usable(now galenapeer.Instant, i *instanceState) bool {
	_, drained := a.drained[i.announcement.VM]
	return !i.leaving && !drained && now.Mono < i.expires
}

// merge updates the allocations by the totals in item. It returns, by instance, the
// granted total that the entry knows.
func (s *session) merge(item SyncItem) map[galenahead.InstanceID]uint64 {
	known := make(map[galenahead.InstanceID]uint64, len(item.Held))
	for _, h := range item.Held {
		known[h.Instance] = h.Granted
		alloc := s.allocation(h.Instance)
		alloc.base = max(alloc.base, h.Base)
		alloc.expired = max(alloc.expired, h.Expired)
		alloc.returned = max(alloc.returned, h.Returned)
		if h.VM != "" {
			alloc.vm = h.VM
		}
	}
	return known
}

// renew renews the session's lease, unless a later message was handled before.
func (s *session) renew(now galenapeer.Instant, item SyncItem) {
	if item.Seq <= s.seq {
		return
	}
	s.seq = item.Seq
	s.syncedAt = now.Mono
	s.demand = item.Demand
	s.avoid = item.Avoid
	for _, alloc := range s.allocations {
		alloc.inUseBound = upperBound{}
	}
}

func (s *session) allocation(id galenahead.InstanceID) *allocation {
	alloc, ok := s.allocations[id]
	if !ok {
		alloc = &allocation{limit: noLimit}
		s.allocations[id] = alloc
		s.instanceIDs = insertSorted(s.instanceIDs, id)
	}
	return alloc
}

// insertSorted inserts id into the sorted ids.
func insertSorted(ids []galenahead.InstanceID, id galenahead.InstanceID) []galenahead.InstanceID {
	i, _ := slices.BinarySearch(ids, id)
	return slices.Insert(ids, i, id)
}

// expiry returns the time from which on the entry can't send requests under the
// session's lease.
func (s *session) expiry() time.Duration { return s.syncedAt + SlotTTL + rateMargin }

func (s *session) outstanding() int {
	n := 0
	for _, alloc := range s.allocations {
		n += alloc.outstanding()
	}
	return n
}

func (alloc *allocation) outstanding() int {
	return alloc.base + int(alloc.granted) - int(alloc.returned)
}

// grantItem returns the grants and limits of s. It leaves out grants that the entry
// already knows according to known.
func (a *Allocator) grantItem(now galenapeer.Instant, s *session, known map[galenahead.InstanceID]uint64) GrantItem {
	s.version++
	g := GrantItem{Service: a.service, Epoch: a.lease.Epoch, SessionID: s.id, Seq: s.seq, Version: s.version}
	for _, id := range s.instanceIDs {
		alloc := s.allocations[id]
		if alloc.base > 0 && a.mayCarryOver(now) && (a.isUsable(now, id) || a.keepUnknown) {
			g.Keep = append(g.Keep, id)
		}
		if alloc.limit != noLimit {
			if g.Limits == nil {
				g.Limits = make(map[galenahead.InstanceID]int)
			}
			g.Limits[id] = alloc.limit
		}
		total, listed := known[id]
		i, ok := a.instances[id]
		if alloc.granted == 0 || !ok || listed && total == alloc.granted && alloc.address == i.announcement.Address {
			continue
		}
		if !listed && alloc.outstanding() == 0 {
			// The entry returned all its slots, so it knows the granted total.
			continue
		}
		out := Grant{Instance: id, Granted: alloc.granted}
		if total == 0 || alloc.address != i.announcement.Address {
			out.Address, out.DataCentre, out.VM = i.announcement.Address, i.announcement.DataCentre, i.announcement.VM
		}
		if known != nil {
			alloc.address = i.announcement.Address
		}
		g.Grants = append(g.Grants, out)
	}
	return g
}
