package galenaclaim

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenapeer"
)

// simulations is the number of simulations, one for each seed. Large numbers take
// long under the race detector.
var simulations = flag.Int("histories", 300, "number of random simulations")

// injectedFaults selects the defects of the code that the simulations must detect.
type injectedFaults struct{ voteOldKeys, quorumOfOne, ignoreFences bool }

// event is an action at a simulated time. seq orders events of the same time.
type event struct {
	at     time.Duration
	seq    int
	action func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any     { o := *q; x := o[len(o)-1]; *q = o[:len(o)-1]; return x }

// simulation runs 12 entries and their callers on one event queue. now is the true
// time; the wall clock of each entry deviates from it by the entry's skew.
type simulation struct {
	rng            *rand.Rand
	now            time.Duration
	queue          eventQueue
	seq            int
	entries        []galenapeer.Entry
	nodes          []*node
	injectedFaults injectedFaults
	cutLinks       map[[2]int]bool
	runCounts      map[galenahead.RequestKey]int
	// released holds the attempts whose release a replica has handled since it
	// started, by claim.releaseID.
	released  map[string]bool
	decisions map[string]int
	failure   string
}

type node struct {
	simulation  *simulation
	index       int
	table       *Table
	incarnation uint32
	sequence    uint64
	alive       bool
	pausedUntil time.Duration
	skew        time.Duration
}

func newSimulation(seed uint64, injected injectedFaults) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 2)), injectedFaults: injected, cutLinks: make(map[[2]int]bool)}
	s.runCounts = make(map[galenahead.RequestKey]int)
	s.decisions = make(map[string]int)
	s.released = make(map[string]bool)
	for i := range 12 {
		s.entries = append(s.entries, galenapeer.Entry{Name: galenahead.EntryName(fmt.Sprint("e", i)), DataCentre: galenahead.DataCentre(rune('a' + i%3))})
	}
	for i := range 12 {
		n := &node{simulation: s, index: i, skew: s.randomMS(-900, 900)}
		s.nodes = append(s.nodes, n)
		n.start()
		s.schedule(0, n.tick)
	}
	return s
}

func (s *simulation) schedule(d time.Duration, action func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + d, s.seq, action})
}

func (s *simulation) randomMS(lo, hi int) time.Duration {
	return time.Duration(lo+s.rng.IntN(hi-lo+1)) * time.Millisecond
}

func (s *simulation) chance(percent float64) bool { return s.rng.Float64()*100 < percent }

// send delivers a message after a random delay. It may lose or repeat the message,
// and loses it if the link is cut. A late message reaches the process that runs at
// that time. A paused process handles the message when it resumes.
func (s *simulation) send(from, to int, handle func()) {
	if from != to && (s.cutLinks[[2]int{from, to}] || s.chance(4)) {
		return
	}
	for range 1 + s.rng.IntN(100)/95 {
		d := s.randomMS(1, 20)
		if s.chance(6) {
			d = s.randomMS(20, 5000)
		}
		s.schedule(d, func() { s.runOn(to, handle) })
	}
}

func (s *simulation) runOn(index int, handle func()) {
	n := s.nodes[index]
	switch {
	case !n.alive:
	case n.pausedUntil > s.now:
		s.schedule(n.pausedUntil-s.now, func() { s.runOn(index, handle) })
	default:
		handle()
	}
}

// start starts or restarts the process with an empty table.
func (n *node) start() {
	n.alive, n.pausedUntil, n.incarnation = true, 0, n.simulation.rng.Uint32()
	n.table = NewTable(n.clock(), n.simulation.entries, 0)
	n.table.injectedFaults = tableFaults{voteOldKeys: n.simulation.injectedFaults.voteOldKeys, ignoreFences: n.simulation.injectedFaults.ignoreFences}
	n.sequence = uint64(n.clock().Wall.UnixNano())
}

func (n *node) tick() {
	n.simulation.schedule(20*time.Second, n.tick)
	if n.alive && n.pausedUntil <= n.simulation.now {
		n.table.Tick(n.clock(), n.trusted())
	}
}

func (n *node) clock() galenapeer.Instant {
	return galenapeer.Instant{Mono: n.simulation.now, Wall: time.UnixMilli(1e12).Add(n.simulation.now + n.skew)}
}

// trusted reports whether a peer table would trust the node's clock if its
// estimates were off by up to 200 ms.
func (n *node) trusted() bool {
	skews := make([]time.Duration, 0, 12)
	for _, peer := range n.simulation.nodes {
		skews = append(skews, peer.skew)
	}
	slices.Sort(skews)
	return (n.skew - skews[6] + n.simulation.randomMS(-200, 200)).Abs() <= galenapeer.MaxClockOffset
}

// startClaim makes the entry claim key and then send the request, as Service and
// the entry's request pipeline do.
func (n *node) startClaim(key galenahead.RequestKey) {
	s := n.simulation
	n.sequence++
	c := &claim{node: n, key: key, attempt: Attempt{Entry: s.entries[n.index].Name, Incarnation: n.incarnation, Sequence: n.sequence}}
	c.ballot.injectedQuorumOfOne = s.injectedFaults.quorumOfOne
	for i, to := range Replicas(s.entries, key) {
		c.requestVote(i, to)
	}
	s.schedule(DefaultTimeout, func() { c.decide(c.ballot.Close()) })
}

type claim struct {
	node    *node
	key     galenahead.RequestKey
	attempt Attempt
	ballot  Ballot
	decided bool
}

func (c *claim) requestVote(i, to int) {
	s := c.node.simulation
	s.send(c.node.index, to, func() {
		replica := s.nodes[to]
		reply := replica.table.Vote(replica.clock(), replica.trusted(), VoteRequest{Key: c.key, Attempt: c.attempt})
		if reply.Vote == VoteGranted && s.released[c.releaseID(replica)] {
			s.fail("late claim of %v on %s was granted after its release", c.attempt, c.key)
		}
		s.send(to, c.node.index, func() { c.decide(c.ballot.Add(i, reply)) })
	})
}

// releaseID identifies the attempt at the current process of a replica.
func (c *claim) releaseID(replica *node) string {
	return fmt.Sprint(c.key, c.attempt, replica.index, replica.incarnation)
}

// decide handles the first final decision of the ballot. The claimant's process may
// stop or be paused at any time after it.
func (c *claim) decide(d Decision) {
	s := c.node.simulation
	if c.decided || d == Pending || c.node.incarnation != c.attempt.Incarnation || !c.node.alive {
		return
	}
	c.decided = true
	s.decisions[fmt.Sprint("decision ", d)]++
	if d == Done && string(c.ballot.Answer().Body) != string(c.key) {
		s.fail("%s got the answer %q", c.key, c.ballot.Answer().Body)
	}
	if d != Granted || s.chance(15) {
		c.release()
		return
	}
	wait := s.randomMS(0, 100)
	if s.chance(10) {
		wait = s.randomMS(0, 20000)
	}
	s.schedule(wait, func() { s.runOn(c.node.index, c.sendRequest) })
}

func (c *claim) sendRequest() {
	s := c.node.simulation
	if c.node.incarnation != c.attempt.Incarnation {
		return
	}
	s.runCounts[c.key]++
	if s.runCounts[c.key] > 1 {
		s.fail("%s ran twice", c.key)
	}
	s.schedule(s.randomMS(10, 500), func() {
		s.runOn(c.node.index, func() {
			if c.node.incarnation == c.attempt.Incarnation {
				answer := galenahead.Answer{Outcome: galenahead.OutcomeRan, Body: []byte(c.key)}
				c.sendToAll(func(replica *node) {
					replica.table.Finish(replica.clock(), replica.trusted(), FinishRequest{Key: c.key, Attempt: c.attempt, Answer: &answer})
				})
			}
		})
	})
}

func (c *claim) release() {
	c.sendToAll(func(replica *node) {
		replica.table.Release(replica.clock(), replica.trusted(), ReleaseRequest{Key: c.key, Attempt: c.attempt})
		c.node.simulation.released[c.releaseID(replica)] = true
	})
}

func (c *claim) sendToAll(handle func(*node)) {
	s := c.node.simulation
	for _, to := range Replicas(s.entries, c.key) {
		for range maxDeliveries {
			s.send(c.node.index, to, func() { handle(s.nodes[to]) })
		}
	}
}

// simulateCaller issues one key and resends it through random entries, usually
// within seconds and sometimes near the end of the claim window. It may also
// disrupt the replicas of the key.
func (s *simulation) simulateCaller(i int) {
	issued := 1e12 + float64((s.now + s.randomMS(-1000, 1500)).Milliseconds())
	key := galenahead.RequestKey(fmt.Sprintf("%.0f-%d", issued, i))
	for range 1 + s.rng.IntN(4) {
		d := s.randomMS(0, 3000)
		if s.chance(10) {
			d = s.randomMS(590_000, 610_000)
		}
		n := s.nodes[s.rng.IntN(12)]
		s.schedule(d, func() { s.runOn(n.index, func() { n.startClaim(key) }) })
	}
	for _, i := range Replicas(s.entries, key) {
		if s.chance(25) {
			n := s.nodes[i]
			s.schedule(s.randomMS(0, 1500), func() { s.disrupt(n) })
		}
	}
}

// disrupt restarts a node, pauses it, makes its clock step for a while or cuts one
// of its links.
func (s *simulation) disrupt(n *node) {
	switch s.rng.IntN(5) {
	case 0, 1:
		n.alive, n.incarnation = false, 0
		n.skew = s.randomMS(-900, 900)
		s.schedule(s.randomMS(0, 3000), n.start)
	case 2:
		n.pausedUntil = s.now + s.randomMS(100, 6000)
	case 3:
		previous := n.skew
		n.skew = s.randomMS(-20_000, 20_000)
		s.schedule(s.randomMS(0, 10_000), func() { n.skew = previous })
	case 4:
		link := [2]int{n.index, s.rng.IntN(12)}
		s.cutLinks[link] = true
		s.schedule(s.randomMS(0, 3000), func() { delete(s.cutLinks, link) })
	}
}

func (s *simulation) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf("%v: ", s.now) + fmt.Sprintf(format, args...)
	}
}

func simulate(seed uint64, injected injectedFaults) (string, map[string]int) {
	s := newSimulation(seed, injected)
	for i := range 25 {
		s.schedule(10*time.Second+s.randomMS(0, 10_000), func() { s.simulateCaller(i) })
	}
	for s.failure == "" && s.now < 640*time.Second {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.action()
	}
	return s.failure, s.decisions
}

func simulateSeeds(n int, injected injectedFaults) (string, map[string]int) {
	decisions := make(map[string]int)
	for seed := range n {
		failure, seedDecisions := simulate(uint64(seed), injected)
		for k, v := range seedDecisions {
			decisions[k] += v
		}
		if failure != "" {
			return fmt.Sprintf("seed %d: %s", seed, failure), decisions
		}
	}
	return "", decisions
}

// Guards against requests that run twice, answers that belong to another request,
// and late claims that block a key.
func TestRandomSimulations(t *testing.T) {
	is := is.New(t)
	failure, decisions := simulateSeeds(*simulations, injectedFaults{})
	t.Log(decisions)
	is.Equal(failure, "")
	for _, d := range []Decision{Granted, Done, Running, Expired, Undecided} {
		is.True(decisions[fmt.Sprint("decision ", d)] > 0)
	}
}

// Guards against simulations that miss the defects that they should detect.
func TestSimulationsDetectInjectedFaults(t *testing.T) {
	for name, injected := range map[string]injectedFaults{
		"a restarted replica votes on old keys": {voteOldKeys: true},
		"one vote grants a claim":               {quorumOfOne: true},
		"a late claim ignores its release":      {ignoreFences: true},
	} {
		t.Run(name, func(t *testing.T) {
			failure, _ := simulateSeeds(2000, injected)
			t.Log(failure)
			if failure == "" {
				t.Fatal("no simulation detected the fault")
			}
		})
	}
}
