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

// count is the number of random histories; a large number takes long under the
// race detector.
var count = flag.Int("histories", 300, "number of random histories")

// faults are the mutations that the histories must detect.
type faults struct{ voteOldKeys, oneVote, resurrect bool }

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any     { o := *q; x := o[len(o)-1]; *q = o[:len(o)-1]; return x }

// sim runs 12 entries and their callers on one event queue. Time is true time;
// each entry's wall clock is off by its skew.
type sim struct {
	r       *rand.Rand
	now     time.Duration
	queue   events
	seq     int
	entries []galenapeer.Entry
	nodes   []*node
	faults  faults
	cut     map[[2]int]bool
	runs    map[galenahead.RequestKey]int
	// closed holds the attempts whose release a replica's process handled.
	closed  map[string]bool
	counts  map[string]int
	failure string
}

type node struct {
	s      *sim
	i      int
	table  *Table
	life   uint32
	order  uint64
	alive  bool
	frozen time.Duration
	skew   time.Duration
}

func newSim(seed uint64, f faults) *sim {
	s := &sim{r: rand.New(rand.NewPCG(seed, 2)), faults: f, cut: make(map[[2]int]bool)}
	s.runs = make(map[galenahead.RequestKey]int)
	s.counts = make(map[string]int)
	s.closed = make(map[string]bool)
	for i := range 12 {
		s.entries = append(s.entries, galenapeer.Entry{Name: galenahead.EntryName(fmt.Sprint("e", i)), DataCentre: galenahead.DataCentre(rune('a' + i%3))})
	}
	for i := range 12 {
		n := &node{s: s, i: i, skew: s.between(-900, 900)}
		s.nodes = append(s.nodes, n)
		n.start()
		s.after(0, n.tick)
	}
	return s
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + d, s.seq, do})
}

func (s *sim) between(lo, hi int) time.Duration {
	return time.Duration(lo+s.r.IntN(hi-lo+1)) * time.Millisecond
}

func (s *sim) chance(percent float64) bool { return s.r.Float64()*100 < percent }

// deliver loses, repeats, delays and cuts off messages. Late messages reach the
// process that runs then. Frozen processes handle them when they wake.
func (s *sim) deliver(from, to int, do func()) {
	if from != to && (s.cut[[2]int{from, to}] || s.chance(4)) {
		return
	}
	for range 1 + s.r.IntN(100)/95 {
		d := s.between(1, 20)
		if s.chance(6) {
			d = s.between(20, 5000)
		}
		s.after(d, func() { s.at(to, do) })
	}
}

func (s *sim) at(to int, do func()) {
	n := s.nodes[to]
	switch {
	case !n.alive:
	case n.frozen > s.now:
		s.after(n.frozen-s.now, func() { s.at(to, do) })
	default:
		do()
	}
}

func (n *node) start() {
	n.alive, n.frozen, n.life = true, 0, n.s.r.Uint32()
	n.table = NewTable(n.clock(), n.s.entries, 0)
	n.table.faults = tableFaults{voteOldKeys: n.s.faults.voteOldKeys, resurrect: n.s.faults.resurrect}
	n.order = uint64(n.clock().Wall.UnixNano())
}

func (n *node) tick() {
	n.s.after(20*time.Second, n.tick)
	if n.alive && n.frozen <= n.s.now {
		n.table.Tick(n.clock(), n.trusted())
	}
}

func (n *node) clock() galenapeer.Instant {
	return galenapeer.Instant{Mono: n.s.now, Wall: time.UnixMilli(1e12).Add(n.s.now + n.skew)}
}

// trusted is the judgement of a peer table whose estimates are off by up to
// 200 ms.
func (n *node) trusted() bool {
	skews := make([]time.Duration, 0, 12)
	for _, p := range n.s.nodes {
		skews = append(skews, p.skew)
	}
	slices.Sort(skews)
	return (n.skew - skews[6] + n.s.between(-200, 200)).Abs() <= galenapeer.MaxClockOffset
}

// submit lets one entry claim key and send it, as Service and the pipeline do.
func (n *node) submit(key galenahead.RequestKey) {
	s := n.s
	n.order++
	c := &claim{n: n, key: key, a: Attempt{Entry: s.entries[n.i].Name, Life: n.life, Order: n.order}}
	c.ballot.oneVote = s.faults.oneVote
	for i, to := range Replicas(s.entries, key) {
		c.vote(i, to)
	}
	s.after(DefaultTimeout, func() { c.decide(c.ballot.Close()) })
}

type claim struct {
	n       *node
	key     galenahead.RequestKey
	a       Attempt
	ballot  Ballot
	decided bool
}

func (c *claim) vote(i, to int) {
	s := c.n.s
	s.deliver(c.n.i, to, func() {
		p := s.nodes[to]
		r := p.table.Vote(p.clock(), p.trusted(), VoteRequest{Key: c.key, Attempt: c.a})
		if r.Vote == VoteGranted && s.closed[c.id(p)] {
			s.fail("late claim of %v on %s was granted after its release", c.a, c.key)
		}
		s.deliver(to, c.n.i, func() { c.decide(c.ballot.Add(i, r)) })
	})
}

func (c *claim) id(p *node) string { return fmt.Sprint(c.key, c.a, p.i, p.life) }

// decide ends the ballot once. The claimant's process may end or be frozen at
// any moment afterwards.
func (c *claim) decide(d Decision) {
	s := c.n.s
	if c.decided || d == Pending || c.n.life != c.a.Life || !c.n.alive {
		return
	}
	c.decided = true
	s.counts[fmt.Sprint("decision ", d)]++
	if d == Done && string(c.ballot.Answer().Body) != string(c.key) {
		s.fail("%s got the answer %q", c.key, c.ballot.Answer().Body)
	}
	if d != Granted || s.chance(15) {
		c.release()
		return
	}
	wait := s.between(0, 100)
	if s.chance(10) {
		wait = s.between(0, 20000)
	}
	s.after(wait, func() { s.at(c.n.i, c.send) })
}

func (c *claim) send() {
	s := c.n.s
	if c.n.life != c.a.Life {
		return
	}
	s.runs[c.key]++
	if s.runs[c.key] > 1 {
		s.fail("%s ran twice", c.key)
	}
	s.after(s.between(10, 500), func() {
		s.at(c.n.i, func() {
			if c.n.life == c.a.Life {
				answer := galenahead.Answer{Outcome: galenahead.OutcomeRan, Body: []byte(c.key)}
				c.all(func(p *node) {
					p.table.Finish(p.clock(), p.trusted(), FinishRequest{Key: c.key, Attempt: c.a, Answer: &answer})
				})
			}
		})
	})
}

func (c *claim) release() {
	c.all(func(p *node) {
		p.table.Release(p.clock(), p.trusted(), ReleaseRequest{Key: c.key, Attempt: c.a})
		c.n.s.closed[c.id(p)] = true
	})
}

func (c *claim) all(do func(*node)) {
	s := c.n.s
	for _, to := range Replicas(s.entries, c.key) {
		for range deliveries {
			s.deliver(c.n.i, to, func() { do(s.nodes[to]) })
		}
	}
}

// caller issues one key and resends it through random entries, mostly within
// seconds and sometimes near the end of the claim window.
func (s *sim) caller(i int) {
	issued := 1e12 + float64((s.now + s.between(-1000, 1500)).Milliseconds())
	key := galenahead.RequestKey(fmt.Sprintf("%.0f-%d", issued, i))
	for range 1 + s.r.IntN(4) {
		d := s.between(0, 3000)
		if s.chance(10) {
			d = s.between(590_000, 610_000)
		}
		n := s.nodes[s.r.IntN(12)]
		s.after(d, func() { s.at(n.i, func() { n.submit(key) }) })
	}
	for _, i := range Replicas(s.entries, key) {
		if s.chance(25) {
			n := s.nodes[i]
			s.after(s.between(0, 1500), func() { s.disturb(n) })
		}
	}
}

func (s *sim) disturb(n *node) {
	switch s.r.IntN(5) {
	case 0, 1:
		n.alive, n.life = false, 0
		n.skew = s.between(-900, 900)
		s.after(s.between(0, 3000), n.start)
	case 2:
		n.frozen = s.now + s.between(100, 6000)
	case 3:
		old := n.skew
		n.skew = s.between(-20_000, 20_000)
		s.after(s.between(0, 10_000), func() { n.skew = old })
	case 4:
		pair := [2]int{n.i, s.r.IntN(12)}
		s.cut[pair] = true
		s.after(s.between(0, 3000), func() { delete(s.cut, pair) })
	}
}

func (s *sim) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf("%v: ", s.now) + fmt.Sprintf(format, args...)
	}
}

func history(seed uint64, f faults) (string, map[string]int) {
	s := newSim(seed, f)
	for i := range 25 {
		s.after(10*time.Second+s.between(0, 10_000), func() { s.caller(i) })
	}
	for s.failure == "" && s.now < 640*time.Second {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	return s.failure, s.counts
}

func histories(n int, f faults) (string, map[string]int) {
	counts := make(map[string]int)
	for seed := range n {
		failure, c := history(uint64(seed), f)
		for k, v := range c {
			counts[k] += v
		}
		if failure != "" {
			return fmt.Sprintf("seed %d: %s", seed, failure), counts
		}
	}
	return "", counts
}

// Guards against a second run of a key, an answer of another request, and late
// claims that block a key.
func TestHistories(t *testing.T) {
	is := is.New(t)
	failure, counts := histories(*count, faults{})
	t.Log(counts)
	is.Equal(failure, "")
	for _, d := range []Decision{Granted, Done, Running, Expired, Undecided} {
		is.True(counts[fmt.Sprint("decision ", d)] > 0)
	}
}

// Guards against histories that would not detect the faults that they are for.
func TestHistoriesDetectFaults(t *testing.T) {
	for name, f := range map[string]faults{
		"a restarted replica votes on old keys": {voteOldKeys: true},
		"one vote suffices":                     {oneVote: true},
		"a late claim resurrects":               {resurrect: true},
	} {
		t.Run(name, func(t *testing.T) {
			failure, _ := histories(2000, f)
			t.Log(failure)
			if failure == "" {
				t.Fatal("no history detected the fault")
			}
		})
	}
}
