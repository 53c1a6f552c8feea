package sim

import (
	"math"
	"slices"
	"time"

	"github.com/galenahead/galenahead"
)

const (
	// failover is how long a service has no broker after its broker's entry died.
	failover = 3500 * time.Millisecond
	// recallPeriod is the shortest time between two recalls.
	recallPeriod = 5 * time.Millisecond
)

type avoidKey struct {
	entry    int
	instance galenahead.InstanceID
}

// broker models the slot broker of one service: it grants free slots to the
// callers in turn, and for a caller to the entry where most of its requests
// wait.
type broker struct {
	s         *shipped
	service   int
	host      int
	blocked   time.Duration
	instances []*instance
	// out counts the leases of each instance that are with entries.
	out map[galenahead.InstanceID]int
	// wants and the other slices are indexed by entry.
	wants    []map[galenahead.CallerName]int
	held     []int
	granted  []int
	received []int
	// served is the number of grants for each caller, from which the turns follow.
	served   map[galenahead.CallerName]float64
	avoid    map[avoidKey]time.Duration
	pending  bool
	recalled time.Duration
}

func newBroker(s *shipped, service int) *broker {
	n := len(s.w.entries)
	b := &broker{
		s: s, service: service, host: service % n,
		out: make(map[galenahead.InstanceID]int), wants: make([]map[galenahead.CallerName]int, n),
		held: make([]int, n), granted: make([]int, n), received: make([]int, n),
		served: make(map[galenahead.CallerName]float64), avoid: make(map[avoidKey]time.Duration),
	}
	for _, in := range s.w.instances {
		if in.Service == service {
			b.instances = append(b.instances, in)
		}
	}
	return b
}

// total returns the announced slots.
func (b *broker) total() int {
	n := 0
	for _, in := range b.instances {
		if in.announced {
			n += in.Slots
		}
	}
	return n
}

// count returns the announced instances.
func (b *broker) count() int {
	n := 0
	for _, in := range b.instances {
		if in.announced {
			n++
		}
	}
	return n
}

func (b *broker) way(n *node) time.Duration {
	host := b.s.w.entries[b.host]
	switch {
	case host == n.e:
		return 0
	case host.centre == n.e.centre:
		return wayLocal
	default:
		return wayCentres
	}
}

// membership elects another host when the entry of the broker is lost.
func (b *broker) membership() {
	w := b.s.w
	for i := 0; w.entries[b.host].dead && i < len(w.entries); i++ {
		b.host = (b.host + 1) % len(w.entries)
		b.blocked = w.now + failover
		w.at(b.blocked, b.schedule)
	}
	for i, e := range w.entries {
		if e.dead {
			b.wants[i] = nil
		}
	}
	b.schedule()
}

// want records the demand of an entry, which had received so many slots when
// it sent it.
func (b *broker) want(n *node, demand map[galenahead.CallerName]int, received int) {
	i := n.e.index
	if n.e.dead {
		return
	}
	b.wants[i] = demand
	b.received[i] = received
	b.schedule()
}

func (b *broker) put(n *node, l galenahead.SlotLease) {
	if b.s.o.Quota {
		return
	}
	b.out[l.Instance]--
	b.held[n.e.index]--
	b.schedule()
}

// schedule allocates once for all events of the same time.
func (b *broker) schedule() {
	if b.pending || b.s.o.Quota {
		return
	}
	b.pending = true
	b.s.w.in(0, func() {
		b.pending = false
		b.allocate()
	})
}

func (b *broker) allocate() {
	if b.s.w.now < b.blocked {
		return
	}
	for {
		i, caller := b.pick()
		if i < 0 {
			return
		}
		in := b.slot(i)
		if in == nil {
			b.recall()
			return
		}
		b.grant(i, caller, in)
	}
}

// unmet returns how many slots entry i waits for beyond those on their way.
func (b *broker) unmet(i int) int {
	n := 0
	for _, k := range b.wants[i] {
		n += k
	}
	return n - (b.granted[i] - b.received[i])
}

// pick returns the entry and the caller that are next: the caller with the
// fewest grants, and the entry where most of its requests wait.
func (b *broker) pick() (int, galenahead.CallerName) {
	best, caller, most := -1, galenahead.CallerName(""), 0
	least := math.Inf(1)
	for i := range b.wants {
		if b.unmet(i) <= 0 || b.blockedEntry(i) {
			continue
		}
		for c, k := range b.wants[i] {
			if k <= 0 {
				continue
			}
			v := b.served[c]
			if v < least || v == least && (k > most || k == most && c < caller) {
				best, caller, most, least = i, c, k, v
			}
		}
	}
	return best, caller
}

// blockedEntry tells that no free slot may go to entry i.
func (b *broker) blockedEntry(i int) bool {
	free := false
	for _, in := range b.instances {
		if b.free(in) > 0 {
			free = true
			if b.usable(i, in) {
				return false
			}
		}
	}
	return free
}

func (b *broker) free(in *instance) int {
	if !in.announced {
		return 0
	}
	return in.Slots - b.out[in.id]
}

func (b *broker) usable(i int, in *instance) bool {
	return b.avoid[avoidKey{i, in.id}] <= b.s.w.now
}

// slot returns the instance for entry i: in its data centre if possible, with
// the most free slots.
func (b *broker) slot(i int) *instance {
	var best *instance
	score := 0
	for _, in := range b.instances {
		n := b.free(in)
		if n <= 0 || !b.usable(i, in) {
			continue
		}
		if in.centre == b.s.w.entries[i].centre {
			n += in.Slots
		}
		if n > score {
			best, score = in, n
		}
	}
	return best
}

func (b *broker) grant(i int, caller galenahead.CallerName, in *instance) {
	b.out[in.id]++
	b.held[i]++
	b.granted[i]++
	b.wants[i][caller]--
	b.charge(caller)
	n := b.s.nodes[i]
	l := b.s.lease(in)
	b.s.w.in(b.way(n), func() { n.granted(l) })
}

// charge counts a grant. A caller that was idle starts at the level of the
// others, so that it gets no credit for the past.
func (b *broker) charge(caller galenahead.CallerName) {
	least := math.Inf(1)
	for _, wants := range b.wants {
		for c, k := range wants {
			if k > 0 && c != caller {
				least = min(least, b.served[c])
			}
		}
	}
	if !math.IsInf(least, 1) {
		b.served[caller] = max(b.served[caller], least-1)
	}
	b.served[caller]++
}

// recall asks entries that hold more than their share for slots.
func (b *broker) recall() {
	w := b.s.w
	if b.s.o.NoRecall || w.now < b.recalled+recallPeriod {
		return
	}
	b.recalled = w.now
	w.in(recallPeriod, b.schedule)
	shares := b.shares()
	for i, n := range b.s.nodes {
		excess := (float64(b.held[i]) - shares[i]) / 2
		if excess >= 1 {
			w.in(b.way(n), func() { n.recall(galenahead.ServiceName(w.t.Services[b.service]), int(excess)) })
		}
	}
}

// shares returns the slots that every entry should hold: every caller's fair
// share of the slots, split by where its requests wait.
func (b *broker) shares() []float64 {
	demand := make(map[galenahead.CallerName]float64)
	var callers []galenahead.CallerName
	for _, wants := range b.wants {
		for c, k := range wants {
			if k > 0 && demand[c] == 0 {
				callers = append(callers, c)
			}
			demand[c] += float64(max(k, 0))
		}
	}
	slices.SortFunc(callers, func(x, y galenahead.CallerName) int {
		if demand[x] != demand[y] {
			return int(demand[x] - demand[y])
		}
		return slices.Compare([]byte(x), []byte(y))
	})
	left := float64(b.total())
	shares := make([]float64, len(b.wants))
	for k, c := range callers {
		fair := min(demand[c], left/float64(len(callers)-k))
		left -= fair
		for i, wants := range b.wants {
			shares[i] += fair * float64(max(wants[c], 0)) / demand[c]
		}
	}
	for i := range shares {
		shares[i] += left / float64(len(shares))
	}
	return shares
}
