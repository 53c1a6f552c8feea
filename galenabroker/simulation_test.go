package galenabroker

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenapeer"
)

const (
	simulatedEntries    = 12
	simulatedMaxRequest = 4 * time.Second
	simulatedService    = galenahead.ServiceName("counter")
)

// simulationCount is the number of random simulations. A large number takes long
// under the race detector.
var simulationCount = flag.Int("histories", 60, "number of random simulations")

// injectedFaults selects the defects of the code that the simulations must detect.
type injectedFaults struct{ grantBeforeReports, acceptAnyEpoch, keepExpiredCarried, keepUnknown bool }

// simulation runs the elector, slot holder and allocator of 12 entries, and three
// instances, on one event queue. now is the true time; every entry has its own
// monotonic and wall clock.
type simulation struct {
	rng       *rand.Rand
	now       time.Duration
	queue     events
	nodes     []*simulatedEntry
	instances []*simulatedInstance
	entries   []galenapeer.Entry
	// partitioned holds the pairs of sender and receiver whose messages are lost.
	partitioned    map[[2]int]bool
	injectedFaults injectedFaults
	// disruptionsEnded is set when there are no more disruptions and new requests.
	disruptionsEnded bool
	failure          string
	completed        int
}

// event is a function that runs at a time. Events of the same time run in the order
// of seq.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

// events implements heap.Interface.
type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any     { o := *q; x := o[len(o)-1]; *q = o[:len(o)-1]; return x }

type simulatedEntry struct {
	sim         *simulation
	index       int
	alive       bool
	incarnation uint32
	pausedUntil time.Duration
	started     time.Duration
	wallOffset  time.Duration
	elector     *Elector
	state       *serviceState
	pauses      pauseDetector
	waiting     int
}

type simulatedInstance struct {
	announcement galenahead.Announcement
	inFlight     int
	leaving      bool
	// leftAt is the time at which a broker learned that the instance leaves.
	leftAt time.Duration
}

func newSimulation(seed uint64, f injectedFaults) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), partitioned: make(map[[2]int]bool), injectedFaults: f}
	for i := range simulatedEntries {
		s.entries = append(s.entries, galenapeer.Entry{Name: galenahead.EntryName(fmt.Sprintf("e%02d", i)), DataCentre: galenahead.DataCentre(rune('a' + i%3))})
	}
	for i := range simulatedEntries {
		n := &simulatedEntry{sim: s, index: i}
		s.nodes = append(s.nodes, n)
		n.start()
		s.after(s.randomDuration(0, 100), n.tick)
		s.after(s.randomDuration(0, 100), n.generateRequests)
	}
	for i := range 3 {
		slots := 2 + s.rng.IntN(4)
		instance := &simulatedInstance{announcement: galenahead.Announcement{Instance: galenahead.InstanceID(rune('x' + i)), Service: simulatedService, VM: "vm", Slots: slots, Connections: 64, LeaseMS: 3000}}
		s.instances = append(s.instances, instance)
		s.after(s.randomDuration(0, 1000), func() { s.announce(instance) })
	}
	return s
}

func (s *simulation) after(d time.Duration, do func()) {
	heap.Push(&s.queue, event{s.now + d, len(s.queue) + int(s.rng.Uint32()>>8), do})
}

func (s *simulation) randomDuration(lo, hi int) time.Duration {
	return time.Duration(lo+s.rng.IntN(hi-lo+1)) * time.Millisecond
}

func (s *simulation) chance(percent float64) bool { return s.rng.Float64()*100 < percent }

// deliver runs do at entry to after a random delay. Messages may be lost, repeated,
// reordered or blocked in one direction. Paused entries get them when they continue.
func (s *simulation) deliver(from, to int, do func()) {
	if s.partitioned[[2]int{from, to}] || !s.disruptionsEnded && s.chance(3) {
		return
	}
	copies := 1
	if !s.disruptionsEnded && s.chance(3) {
		copies = 2
	}
	for range copies {
		d := s.randomDuration(1, 10)
		if !s.disruptionsEnded && s.chance(4) {
			d = s.randomDuration(10, 4000)
		}
		s.after(d, func() { s.runAt(to, do) })
	}
}

// runAt runs do at entry to, unless its process has ended.
func (s *simulation) runAt(to int, do func()) {
	n := s.nodes[to]
	switch {
	case !n.alive:
	case n.pausedUntil > s.now:
		s.after(n.pausedUntil-s.now, func() { s.runAt(to, do) })
	default:
		do()
	}
}

func (n *simulatedEntry) start() {
	s := n.sim
	n.alive, n.incarnation, n.started = true, s.rng.Uint32(), s.now
	n.elector = NewElector(n.clock(), s.entries[n.index].Name, s.entries, s.rng.Uint64)
	n.elector.AddService(n.clock(), simulatedService)
	n.state = &serviceState{holder: NewSlotHolder(simulatedService, n.incarnation)}
	n.state.holder.acceptAnyEpoch = s.injectedFaults.acceptAnyEpoch
	n.state.holder.keepExpiredCarried = s.injectedFaults.keepExpiredCarried
	n.pauses, n.waiting = pauseDetector{}, 0
}

func (n *simulatedEntry) clock() galenapeer.Instant {
	return galenapeer.Instant{Mono: n.sim.now - n.started, Wall: time.UnixMilli(1e12).Add(n.sim.now + n.wallOffset)}
}

// updateAllocator does what Service.updateAllocators does.
func (n *simulatedEntry) updateAllocator() {
	now := n.clock()
	lease, held := n.elector.Lease(now, simulatedService)
	service := &Service{cfg: Config{Entries: n.sim.entries, MaxRequest: simulatedMaxRequest}}
	if !n.state.updateLease(service, simulatedService, lease, held) {
		n.elector.Abandon(now, simulatedService, lease.Epoch)
	} else if n.state.allocator != nil {
		n.state.allocator.grantBeforeReports = n.sim.injectedFaults.grantBeforeReports
		n.state.allocator.keepUnknown = n.sim.injectedFaults.keepUnknown
	}
}

func (n *simulatedEntry) tick() {
	s := n.sim
	s.after(100*time.Millisecond, n.tick)
	if !n.alive || n.pausedUntil > s.now {
		return
	}
	now := n.clock()
	n.pauses.tick(now)
	items := n.elector.Tick(now)
	n.updateAllocator()
	if len(items) > 0 {
		q := LeaseRequest{From: s.entries[n.index].Name, TickMS: now.Mono.Milliseconds(), Items: items}
		n.followBroker(q)
		for j := range s.nodes {
			if j != n.index {
				n.sendLease(j, q, now)
			}
		}
	}
	n.state.holder.Tick(now)
	if a := n.state.currentAllocator(now); a != nil {
		a.Tick(now)
	}
	n.push()
	n.sync()
}

func (n *simulatedEntry) sendLease(to int, q LeaseRequest, sent galenapeer.Instant) {
	incarnation := n.incarnation
	n.sim.deliver(n.index, to, func() {
		p := n.sim.nodes[to]
		r := p.elector.Vote(p.clock(), q)
		p.followBroker(q)
		n.sim.deliver(to, n.index, func() {
			if n.incarnation == incarnation {
				n.elector.CountVotes(sent, n.clock(), r)
				n.updateAllocator()
			}
		})
	})
}

func (n *simulatedEntry) followBroker(q LeaseRequest) {
	for _, item := range q.Items {
		if item.Kind != LeaseRenew {
			continue
		}
		n.state.holder.FollowBroker(n.clock(), q.From, item)
		if item.Epoch > n.state.brokerTickEpoch {
			n.state.brokerTickEpoch, n.state.brokerTick = item.Epoch, 0
		}
		if item.Epoch == n.state.brokerTickEpoch {
			n.state.brokerTick = max(n.state.brokerTick, q.TickMS)
		}
	}
}

func (n *simulatedEntry) indexOf(name galenahead.EntryName) int {
	for i, e := range n.sim.entries {
		if e.Name == name {
			return i
		}
	}
	return -1
}

func (n *simulatedEntry) sync() {
	h := n.state.holder
	now := n.clock()
	if !h.Due(now) {
		return
	}
	broker, _ := h.Broker()
	to := n.indexOf(broker)
	q := SyncRequest{From: n.sim.entries[n.index].Name, UptimeMS: now.Mono.Milliseconds()}
	item := h.Sync(now)
	n.sim.deliver(n.index, to, func() { n.sim.nodes[to].serveSync(n, q, item) })
}

func (n *simulatedEntry) serveSync(from *simulatedEntry, q SyncRequest, item SyncItem) {
	a := n.state.currentAllocator(n.clock())
	if a == nil {
		return
	}
	g, err := a.Sync(n.clock(), q, item)
	incarnation := from.incarnation
	n.sim.deliver(n.index, from.index, func() {
		if err == nil {
			from.state.holder.ApplyGrants(from.clock(), g)
		} else if from.incarnation == incarnation && from.state.holder.sessionID == item.SessionID {
			from.state.holder.RestartSession(from.clock(), n.sim.rng.Uint32())
		}
	})
	n.push()
}

func (n *simulatedEntry) push() {
	a := n.state.currentAllocator(n.clock())
	if a == nil {
		return
	}
	for _, e := range a.ChangedEntries() {
		g, _ := a.GrantsFor(n.clock(), e.Name)
		to := n.indexOf(e.Name)
		n.sim.deliver(n.index, to, func() { n.sim.nodes[to].state.holder.ApplyGrants(n.sim.nodes[to].clock(), g) })
	}
}

// generateRequests adds waiting requests and sends those for which there is a slot.
func (n *simulatedEntry) generateRequests() {
	s := n.sim
	s.after(s.randomDuration(20, 150), n.generateRequests)
	if !n.alive || n.pausedUntil > s.now {
		return
	}
	if !s.disruptionsEnded && s.chance(40) {
		n.waiting = min(n.waiting+s.rng.IntN(4), 8)
	}
	h := n.state.holder
	for n.waiting > 0 {
		l, _, ok := h.Take(n.clock(), "", func(c []galenahead.SlotLease) int { return s.rng.IntN(len(c)) })
		if !ok {
			break
		}
		n.waiting--
		n.sendRequest(l)
	}
	h.SetWaiting(map[galenahead.CallerName]int{"a": n.waiting / 2, "b": n.waiting - n.waiting/2})
	n.sync()
}

func (n *simulatedEntry) sendRequest(l galenahead.SlotLease) {
	s, incarnation := n.sim, n.incarnation
	d := s.randomDuration(0, 5)
	if !s.disruptionsEnded && s.chance(3) {
		d = s.randomDuration(0, 9000)
	}
	s.after(d, func() {
		s.runAt(n.index, func() {
			if n.incarnation != incarnation {
				return
			}
			if !n.state.holder.Valid(n.clock(), l.ID) {
				n.state.holder.Put(n.clock(), l.ID)
				n.waiting++
				return
			}
			n.runRequest(l, incarnation)
		})
	})
}

func (n *simulatedEntry) runRequest(l galenahead.SlotLease, incarnation uint32) {
	s := n.sim
	instance := s.instances[l.Instance[0]-'x']
	if instance.leftAt > 0 && s.now > instance.leftAt+3*time.Second {
		s.fail("instance %s got a request %v after it had announced that it leaves", l.Instance, s.now-instance.leftAt)
	}
	delay := s.randomDuration(0, 30)
	s.after(delay, func() {
		instance.inFlight++
		if instance.inFlight > instance.announcement.Slots {
			s.fail("instance %s has %d requests in flight, but only %d slots", l.Instance, instance.inFlight, instance.announcement.Slots)
		}
		s.after(s.randomDuration(10, int((simulatedMaxRequest-delay)/time.Millisecond)), func() {
			instance.inFlight--
			s.completed++
			s.after(s.randomDuration(1, 20), func() {
				s.runAt(n.index, func() {
					if n.incarnation == incarnation {
						n.state.holder.Put(n.clock(), l.ID)
					}
				})
			})
		})
	})
}

// announce sends the instance's announcement through a random entry, every second.
func (s *simulation) announce(instance *simulatedInstance) {
	s.after(time.Second, func() { s.announce(instance) })
	if !s.disruptionsEnded && s.chance(1) {
		instance.leaving = true
	}
	ann := instance.announcement
	ann.InFlight, ann.Leaving = instance.inFlight, instance.leaving
	via := s.rng.IntN(simulatedEntries)
	s.after(s.randomDuration(1, 10), func() { s.runAt(via, func() { s.nodes[via].forwardAnnouncement(instance, ann) }) })
}

func (n *simulatedEntry) forwardAnnouncement(instance *simulatedInstance, ann galenahead.Announcement) {
	broker, epoch := n.state.holder.Broker()
	if broker == "" || n.pauses.recentlyPaused(n.clock()) {
		return
	}
	to := n.indexOf(broker)
	q := AnnounceRequest{Epoch: epoch, TickMS: n.state.brokerTick, Announcement: ann}
	n.sim.deliver(n.index, to, func() {
		p := n.sim.nodes[to]
		a := p.state.currentAllocator(p.clock())
		if a != nil && a.Announce(p.clock(), q) == nil {
			if ann.Leaving && instance.leftAt == 0 {
				instance.leftAt = n.sim.now
				if !n.sim.disruptionsEnded && n.sim.chance(50) {
					// Ends the broker's process, so that the next broker does not know
					// yet that the instance leaves.
					p.alive = false
					return
				}
			}
			p.push()
		}
	})
}

// disrupt ends or pauses a process, makes a wall clock step, or blocks or restores
// connections. It may also restart processes that ended, and schedules the next
// disruption.
func (s *simulation) disrupt() {
	if s.disruptionsEnded {
		return
	}
	s.after(s.randomDuration(100, 1500), s.disrupt)
	n := s.nodes[s.rng.IntN(simulatedEntries)]
	if s.chance(50) {
		// Brokers fail more often than other entries.
		for _, p := range s.nodes {
			if p.alive && p.state.allocator != nil {
				n = p
			}
		}
	}
	switch s.rng.IntN(6) {
	case 0:
		n.alive = false
	case 1:
		n.pausedUntil = s.now + s.randomDuration(100, 8000)
	case 2:
		n.wallOffset = s.randomDuration(-3000, 3000)
	case 3:
		s.partitioned[[2]int{n.index, s.rng.IntN(simulatedEntries)}] = true
	case 4:
		for j := range s.nodes {
			s.partitioned[[2]int{n.index, j}] = true
		}
	case 5:
		clear(s.partitioned)
	}
	for _, p := range s.nodes {
		if !p.alive && s.chance(50) {
			p.start()
		}
	}
}

func (s *simulation) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf("%v: ", s.now) + fmt.Sprintf(format, args...)
	}
}

// checkSingleBroker checks that at most one broker lease is valid.
func (s *simulation) checkSingleBroker() {
	brokers := 0
	for _, n := range s.nodes {
		el := n.elector.elections[simulatedService]
		if n.alive && el.stage == stageBroker && n.clock().Mono < el.lease.Until {
			brokers++
		}
	}
	if brokers > 1 {
		s.fail("%d entries hold a valid broker lease", brokers)
	}
}

func (s *simulation) runUntil(end time.Duration) {
	for s.failure == "" && len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
		s.checkSingleBroker()
	}
	s.now = end
}

// runSimulation runs one simulation. It returns the first violation of an invariant,
// if any, and the number of completed requests.
func runSimulation(seed uint64, f injectedFaults) (string, int) {
	s := newSimulation(seed, f)
	s.runUntil(6 * time.Second)
	s.disrupt()
	s.runUntil(20 * time.Second)
	s.disruptionsEnded = true
	clear(s.partitioned)
	for _, n := range s.nodes {
		if !n.alive {
			n.start()
		}
	}
	s.runUntil(42 * time.Second)
	fullyUsed := false
	for range 200 {
		s.runUntil(s.now + 20*time.Millisecond)
		fullyUsed = fullyUsed || s.slotsFullyUsed()
	}
	if !fullyUsed {
		s.fail("requests wait while slots are free")
	}
	for _, n := range s.nodes {
		n.waiting = 0
	}
	s.runUntil(s.now + simulatedMaxRequest + 11*time.Second)
	s.checkSlotsReturned()
	return s.failure, s.completed
}

// slotsFullyUsed reports whether no request waits or nearly all slots are in use. A
// slot that moves between entries is unused while some messages are under way.
func (s *simulation) slotsFullyUsed() bool {
	waiting, free, slots := 0, 0, 0
	for _, n := range s.nodes {
		waiting += n.waiting
	}
	for _, instance := range s.instances {
		if !instance.leaving {
			slots += instance.announcement.Slots
			free += instance.announcement.Slots - instance.inFlight
		}
	}
	return waiting == 0 || free <= max(1, slots/4)
}

// checkSlotsReturned checks that the broker counts every slot as free.
func (s *simulation) checkSlotsReturned() {
	for _, n := range s.nodes {
		a := n.state.currentAllocator(n.clock())
		if a == nil {
			continue
		}
		for vm, slots := range a.Outstanding(n.clock()).VMs {
			if slots != 0 {
				s.fail("%d slots on VM %s are counted as in use after all requests have ended", slots, vm)
			}
		}
		return
	}
	s.fail("no broker was elected after the disruptions had ended")
}

// runSimulations runs n simulations on 8 goroutines. It returns the first failure, if
// any, and the number of completed requests.
func runSimulations(n int, f injectedFaults) (failure string, completed int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	const workers = 8
	for w := range workers {
		wg.Go(func() {
			for seed := w; seed < n; seed += workers {
				msg, k := runSimulation(uint64(seed), f)
				mu.Lock()
				completed += k
				if msg != "" && failure == "" {
					failure = fmt.Sprintf("seed %d: %s", seed, msg)
				}
				stop := failure != ""
				mu.Unlock()
				if stop {
					return
				}
			}
		})
	}
	wg.Wait()
	return failure, completed
}

// Tests that, with random disruptions, no instance has more requests in flight than
// slots, at most one entry is the broker, instances that left get no requests, and no
// slot is lost permanently.
func TestRandomSimulations(t *testing.T) {
	is := is.New(t)
	failure, completed := runSimulations(*simulationCount, injectedFaults{})
	t.Logf("%d requests completed", completed)
	is.Equal(failure, "")
	is.True(completed > 0)
}

// Tests that the simulations detect each injected fault.
func TestSimulationsDetectInjectedFaults(t *testing.T) {
	for name, f := range map[string]injectedFaults{
		"a new broker grants slots before entries have reported":   {grantBeforeReports: true},
		"an entry accepts grants of any epoch":                     {acceptAnyEpoch: true},
		"carried slots do not expire":                              {keepExpiredCarried: true},
		"a new broker confirms slots of instances it doesn't know": {keepUnknown: true},
	} {
		t.Run(name, func(t *testing.T) {
			failure, _ := runSimulations(2000, f)
			t.Log(failure)
			if failure == "" {
				t.Fatal("no simulation detected the fault")
			}
		})
	}
}
