package galenabroker

import (
	"slices"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenapeer"
)

const (
	// sendMargin is how long after the end of a slot lease a request that was
	// sent under it may still be under way to the instance, and by how much an
	// announcement may be older than the tick that it carries.
	sendMargin = stallLimit + 200*time.Millisecond
	// tickAge is the largest usual age of the broker's tick in an announcement:
	// ticks come with the renewals.
	tickAge = RenewInterval + 500*time.Millisecond
	// leftMemory is how long announcements of an instance are ignored after it
	// said that it leaves, because earlier ones may arrive late.
	leftMemory = 10 * time.Second
	// spareAccounts is how many instances that are gone an account may list.
	spareAccounts = 64
	// keepInstance is how long an instance without a lease is remembered.
	keepInstance = time.Minute
	// spareSlots is granted beyond the demand while slots are plentiful.
	spareSlots = 1
)

// Ledger is a broker's account of the slots of one service in one epoch. It is
// a deterministic core without locks, goroutines or clock reads, and it is
// discarded with the lease.
type Ledger struct {
	service galenahead.ServiceName
	entries []galenapeer.Entry
	tenure  Tenure
	// maxRequest is the longest time from the sending of a request until its
	// deadline.
	maxRequest time.Duration
	// open tells since opened that no process that did not report to this broker
	// can send any more.
	open      bool
	opened    time.Duration
	instances map[galenahead.InstanceID]*instance
	// ids are the keys of instances in order.
	ids      []galenahead.InstanceID
	sessions map[galenahead.EntryName]*session
	// former holds the accounts of entries' former processes.
	former []*session
	// unreported bounds by instance what entries may have in use that did not
	// report to this broker.
	unreported map[galenahead.InstanceID]*bound
	retired    map[uint32]bool
	drained    map[galenahead.VMName]struct{}
	// grantsAtOnce and keepsAll are set by tests only, to show that the tests
	// detect them.
	grantsAtOnce, keepsAll bool
}

type instance struct {
	ann     galenahead.Announcement
	slots   int
	expires time.Duration
	left    bool
	leftAt  time.Duration
}

// session is an entry's process as seen by the broker.
type session struct {
	entry   galenapeer.Entry
	life    uint32
	seq     uint64
	synced  time.Duration
	version uint64
	demand  map[galenahead.CallerName]int
	avoid   []galenahead.InstanceID
	// old tells that no former process of the entry that did not report to this
	// broker can have requests in flight.
	old      bool
	accounts map[galenahead.InstanceID]*account
	// ids are the keys of accounts in order.
	ids []galenahead.InstanceID
	// changed tells that the entry is to be told.
	changed bool
}

type account struct {
	base int
	// lapsed is the part of base that a former broker may have counted as free.
	lapsed   int
	granted  uint64
	returned uint64
	// limit is the number of slots that the entry may keep, or noLimit.
	limit int
	// cap bounds the slots in use after the session's lease has ended.
	cap     bound
	vm      galenahead.VMName
	address string
}

const (
	// closed is the limit for instances that get no new work: the entry
	// returns unused slots and sends nothing on those that it took.
	closed = -1
	// noLimit is the absence of a limit.
	noLimit = -2
)

// NewLedger returns the ledger of a broker that was just elected.
func NewLedger(service galenahead.ServiceName, entries []galenapeer.Entry, t Tenure, maxRequest time.Duration) *Ledger {
	return &Ledger{
		service:    service,
		entries:    entries,
		tenure:     t,
		maxRequest: maxRequest,
		instances:  make(map[galenahead.InstanceID]*instance),
		sessions:   make(map[galenahead.EntryName]*session),
		unreported: make(map[galenahead.InstanceID]*bound),
		retired:    make(map[uint32]bool),
	}
}

// SetDrained replaces the set of VMs that get no new work.
func (l *Ledger) SetDrained(now galenapeer.Instant, vms map[galenahead.VMName]struct{}) {
	l.drained = vms
	l.allocate(now)
}

// Announce handles a forwarded announcement of another entry, or of this one.
// It fails with ErrNotLeader for another epoch's broker.
func (l *Ledger) Announce(now galenapeer.Instant, q AnnounceRequest) error {
	if q.Epoch != l.tenure.Epoch {
		return galenahead.ErrNotLeader
	}
	a := q.Announcement
	if a.Slots < 0 || a.Connections < 0 || a.InFlight < 0 || a.Instance == "" || len(a.Instance) > galenahead.MaxIDLength {
		return galenahead.ErrInvalid
	}
	tick := min(time.Duration(q.TickMS)*time.Millisecond, now.Mono)
	i, ok := l.instances[a.Instance]
	if !ok {
		i = &instance{}
		l.instances[a.Instance] = i
		l.ids = insert(l.ids, a.Instance)
	}
	l.observe(now, a, tick)
	if i.left && now.Mono-i.leftAt < leftMemory {
		return nil
	}
	i.ann = a
	i.slots = min(a.Slots, a.Connections)
	i.left = a.Leaving
	i.leftAt = now.Mono
	i.expires = min(now.Mono, tick+tickAge) + time.Duration(a.LeaseMS)*time.Millisecond
	if !ok {
		l.keep(a.Instance)
	}
	l.allocate(now)
	return nil
}

// Sync handles an entry's message and returns the reply. It fails with
// ErrNotLeader for another epoch, and with ErrLeaseExpired for an account that
// was replaced, or whose lease ended while the entry held slots, or that lists
// many instances that are gone. The entry then starts a new account: late
// messages about the old one may grant slots that have been counted as free
// since.
func (l *Ledger) Sync(now galenapeer.Instant, q SyncRequest, item SyncItem) (GrantItem, error) {
	i := slices.IndexFunc(l.entries, func(e galenapeer.Entry) bool { return e.Name == q.From })
	if i < 0 || item.Epoch != l.tenure.Epoch {
		return GrantItem{}, galenahead.ErrNotLeader
	}
	if l.retired[item.Life] {
		return GrantItem{}, galenahead.ErrLeaseExpired
	}
	s := l.session(now, l.entries[i], item, q.UptimeMS)
	known := s.merge(item)
	lapsed := s.seq > 0 && now.Mono >= s.lapse() && s.held() > 0
	if lapsed || len(s.accounts) > 2*len(l.instances)+spareAccounts {
		l.retire(s)
		return GrantItem{}, galenahead.ErrLeaseExpired
	}
	s.renew(now, item)
	l.allocate(now)
	s.changed = false
	return l.grantItem(now, s, known), nil
}

// Tick lets leases end and slots come free.
func (l *Ledger) Tick(now galenapeer.Instant) {
	l.ids = slices.DeleteFunc(l.ids, func(id galenahead.InstanceID) bool {
		old := now.Mono-l.instances[id].expires > keepInstance
		if old {
			delete(l.instances, id)
		}
		return old
	})
	l.former = slices.DeleteFunc(l.former, func(s *session) bool {
		return now.Mono >= s.lapse()+l.maxRequest
	})
	l.allocate(now)
}

// Changed returns the entries that are to be sent their Item.
func (l *Ledger) Changed() []galenapeer.Entry {
	var out []galenapeer.Entry
	for _, e := range l.entries {
		if s := l.sessions[e.Name]; s != nil && s.changed {
			out = append(out, e)
		}
	}
	return out
}

// Item returns the entry's present grants and limits.
func (l *Ledger) Item(now galenapeer.Instant, entry galenahead.EntryName) (GrantItem, bool) {
	s := l.sessions[entry]
	if s == nil {
		return GrantItem{}, false
	}
	s.changed = false
	return l.grantItem(now, s, nil), true
}

// Size returns the number of usable slots and instances.
func (l *Ledger) Size(now galenapeer.Instant) (slots, instances int) {
	for _, i := range l.instances {
		if l.usable(now, i) {
			slots += i.slots
			instances++
		}
	}
	return slots, instances
}

// Open tells whether no unreported process can send any more.
func (l *Ledger) Open() bool { return l.open }

// Outstanding returns the slots counted as in use by VM.
func (l *Ledger) Outstanding(now galenapeer.Instant) Outstanding {
	out := Outstanding{Service: l.service, Epoch: l.tenure.Epoch, Ready: l.complete(now), VMs: make(map[galenahead.VMName]int)}
	for id, i := range l.instances {
		out.VMs[i.ann.VM] += l.unknown(now, id)
	}
	for _, s := range l.all() {
		for id, a := range s.accounts {
			out.VMs[l.vm(id, a)] += l.counted(now, s, a)
		}
	}
	return out
}

func (l *Ledger) vm(id galenahead.InstanceID, a *account) galenahead.VMName {
	if i, ok := l.instances[id]; ok {
		return i.ann.VM
	}
	return a.vm
}

// session returns the session of the sender's account. Requests of the entry's
// former process may still be in flight, so that its account is kept, unless
// the new account replaces it.
func (l *Ledger) session(now galenapeer.Instant, e galenapeer.Entry, item SyncItem, uptimeMS int64) *session {
	s, ok := l.sessions[e.Name]
	if ok && s.life == item.Life {
		return s
	}
	if ok {
		l.retire(s)
	}
	started := now.Mono - time.Duration(uptimeMS)*time.Millisecond
	old := started <= l.tenure.Won-l.maxRequest-SlotTTL
	l.former = slices.DeleteFunc(l.former, func(f *session) bool {
		// Processes before a known one count only if they are known as well.
		old = old || f.entry.Name == e.Name && f.old
		return f.entry.Name == e.Name && f.life == item.Replaces
	})
	s = &session{
		entry:    e,
		life:     item.Life,
		old:      old,
		accounts: make(map[galenahead.InstanceID]*account),
	}
	l.sessions[e.Name] = s
	return s
}

func (l *Ledger) retire(s *session) {
	l.retired[s.life] = true
	l.former = append(l.former, s)
	delete(l.sessions, s.entry.Name)
}

// observe lowers the bounds on what unreachable entries have in use, by an
// announcement that the instance made after tick.
func (l *Ledger) observe(now galenapeer.Instant, a galenahead.Announcement, tick time.Duration) {
	if l.open && tick >= l.opened+sendMargin {
		b, ok := l.unreported[a.Instance]
		if !ok {
			b = &bound{}
			l.unreported[a.Instance] = b
		}
		b.observe(now, a.InFlight)
	}
	for _, s := range l.all() {
		if acc, ok := s.accounts[a.Instance]; ok && tick >= s.lapse()+sendMargin {
			acc.cap.observe(now, a.InFlight)
		}
	}
}

// boundWindow is the shortest time between the announcements that set a bound.
// Announcements come every second.
const boundWindow = 800 * time.Millisecond

// bound is an upper bound learned from announcements. One announcement does not
// set it, since a single one may have been delayed on its way to the entry. The
// zero value bounds nothing.
type bound struct {
	set     bool
	value   int
	watched bool
	since   time.Duration
	highest int
}

func (b *bound) observe(now galenapeer.Instant, n int) {
	if !b.watched {
		b.watched, b.since, b.highest = true, now.Mono, n
		return
	}
	b.highest = max(b.highest, n)
	if now.Mono-b.since < boundWindow {
		return
	}
	if !b.set || b.highest < b.value {
		b.set, b.value = true, b.highest
	}
	b.since, b.highest = now.Mono, n
}

// limit returns n, or the bound if it is lower.
func (b *bound) limit(n int) int {
	if b != nil && b.set {
		return min(n, b.value)
	}
	return n
}

func (l *Ledger) all() []*session {
	out := make([]*session, 0, len(l.sessions)+len(l.former))
	for _, e := range l.entries {
		if s := l.sessions[e.Name]; s != nil {
			out = append(out, s)
		}
	}
	return append(out, l.former...)
}

// counted returns how many slots the account may have in use.
func (l *Ledger) counted(now galenapeer.Instant, s *session, a *account) int {
	n := a.outstanding()
	if now.Mono < s.lapse() {
		return n
	}
	if now.Mono >= s.lapse()+l.maxRequest {
		return 0
	}
	return a.cap.limit(n)
}

// unknown bounds the slots of the instance that are in use by entries, or
// former processes of entries, that did not report to this broker. All
// reported and unreported slots together are at most the instance's slots.
func (l *Ledger) unknown(now galenapeer.Instant, id galenahead.InstanceID) int {
	if l.complete(now) {
		return 0
	}
	n := 0
	if i, ok := l.instances[id]; ok {
		n = i.slots
	}
	for _, s := range l.all() {
		if a, ok := s.accounts[id]; ok {
			n -= a.base - a.lapsed
		}
	}
	return max(l.unreported[id].limit(n), 0)
}

// complete tells whether every process that may have requests in flight has
// reported to this broker.
func (l *Ledger) complete(now galenapeer.Instant) bool {
	if now.Mono >= l.tenure.Won+SlotTTL+l.maxRequest {
		return true
	}
	for _, e := range l.entries {
		if s := l.sessions[e.Name]; s == nil || !s.old {
			return false
		}
	}
	return true
}

// keep tells the entries that carried slots of the instance over.
func (l *Ledger) keep(id galenahead.InstanceID) {
	for _, s := range l.sessions {
		if a, ok := s.accounts[id]; ok && a.base > 0 {
			s.changed = true
		}
	}
}

// carrying tells whether entries may have slots under leases of the former
// broker.
func (l *Ledger) carrying(now galenapeer.Instant) bool {
	return now.Mono < l.tenure.Won+SlotTTL+rateMargin
}

// known tells whether the instance announced itself to this broker and may get
// work.
func (l *Ledger) known(now galenapeer.Instant, id galenahead.InstanceID) bool {
	i, ok := l.instances[id]
	return ok && l.usable(now, i)
}

func (l *Ledger) usable(now galenapeer.Instant, i *instance) bool {
	_, drained := l.drained[i.ann.VM]
	return !i.left && !drained && now.Mono < i.expires
}

// merge takes the entry's totals in and returns the grant totals that it knows.
func (s *session) merge(item SyncItem) map[galenahead.InstanceID]uint64 {
	known := make(map[galenahead.InstanceID]uint64, len(item.Held))
	for _, h := range item.Held {
		known[h.Instance] = h.Granted
		a := s.account(h.Instance)
		a.base = max(a.base, h.Base)
		a.lapsed = max(a.lapsed, h.Lapsed)
		a.returned = max(a.returned, h.Returned)
		if h.VM != "" {
			a.vm = h.VM
		}
	}
	return known
}

// renew renews the session, unless the message was overtaken by a later one.
func (s *session) renew(now galenapeer.Instant, item SyncItem) {
	if item.Seq <= s.seq {
		return
	}
	s.seq = item.Seq
	s.synced = now.Mono
	s.demand = item.Demand
	s.avoid = item.Avoid
	for _, a := range s.accounts {
		a.cap = bound{}
	}
}

func (s *session) account(id galenahead.InstanceID) *account {
	a, ok := s.accounts[id]
	if !ok {
		a = &account{limit: noLimit}
		s.accounts[id] = a
		s.ids = insert(s.ids, id)
	}
	return a
}

// insert adds id to the ordered ids.
func insert(ids []galenahead.InstanceID, id galenahead.InstanceID) []galenahead.InstanceID {
	i, _ := slices.BinarySearch(ids, id)
	return slices.Insert(ids, i, id)
}

// lapse returns when the entry can send nothing more under this session.
func (s *session) lapse() time.Duration { return s.synced + SlotTTL + rateMargin }

func (s *session) held() int {
	n := 0
	for _, a := range s.accounts {
		n += a.outstanding()
	}
	return n
}

func (a *account) outstanding() int {
	return a.base + int(a.granted) - int(a.returned)
}

// grantItem describes the session. Grants that the entry already knows by
// known are left out.
func (l *Ledger) grantItem(now galenapeer.Instant, s *session, known map[galenahead.InstanceID]uint64) GrantItem {
	s.version++
	g := GrantItem{Service: l.service, Epoch: l.tenure.Epoch, Life: s.life, Seq: s.seq, Version: s.version}
	for _, id := range s.ids {
		a := s.accounts[id]
		if a.base > 0 && l.carrying(now) && (l.known(now, id) || l.keepsAll) {
			g.Keep = append(g.Keep, id)
		}
		if a.limit != noLimit {
			if g.Limits == nil {
				g.Limits = make(map[galenahead.InstanceID]int)
			}
			g.Limits[id] = a.limit
		}
		total, listed := known[id]
		i, ok := l.instances[id]
		if a.granted == 0 || !ok || listed && total == a.granted && a.address == i.ann.Address {
			continue
		}
		if !listed && a.outstanding() == 0 {
			// The entry has returned them all, so that it knows the total.
			continue
		}
		out := Grant{Instance: id, Granted: a.granted}
		if total == 0 || a.address != i.ann.Address {
			out.Address, out.DataCentre, out.VM = i.ann.Address, i.ann.DataCentre, i.ann.VM
		}
		if known != nil {
			a.address = i.ann.Address
		}
		g.Grants = append(g.Grants, out)
	}
	return g
}
