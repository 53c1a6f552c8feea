package galenaroute

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/galenahead/galenahead"
)

const (
	// peerFactor and peerMargin are how much worse than its peers an instance
	// must be to be ejected.
	peerFactor = 2
	peerMargin = 0.1
	// ejectedShare is the largest share of a service's instances that may be
	// ejected: 1/ejectedShare.
	ejectedShare = 3
	// stallChance is the probability at which the silence of a working instance
	// is taken for a frozen one.
	stallChance = 0.01
	// leastStall is the shortest silence that counts as frozen.
	leastStall = 50 * time.Millisecond
	// adoptedFor is how long another entry's suspicion holds unless it is renewed:
	// three heartbeats.
	adoptedFor = time.Second
	// timeoutsInRow is how many timeouts without an answer in between count as a
	// failure.
	timeoutsInRow = 2
	// costTolerance is the relative difference up to which costs count as equal:
	// half the resolution of the learned run times.
	costTolerance = 0.1
)

// verdict is whether an instance may be used.
type verdict int

const (
	usable verdict = iota
	probeIdempotent
	probeAny
	rejected
)

// shard holds the instances of one service.
type shard struct {
	mu        sync.Mutex
	cfg       Config
	times     *RunTimes
	service   galenahead.ServiceName
	instances map[galenahead.InstanceID]*instance
	// list holds the same instances in the order of their first use, so that sums
	// do not depend on the order of a map.
	list []*instance
	// stall caches the silence after which k requests in flight show a frozen
	// instance, index k-1.
	stall      [8]time.Duration
	announced  int
	stallKnown bool
	median     time.Duration
	learned    int
}

func newShard(cfg Config, times *RunTimes, service galenahead.ServiceName) *shard {
	return &shard{cfg: cfg, times: times, service: service, instances: make(map[galenahead.InstanceID]*instance)}
}

// rank returns the best usable candidate and the best candidate to probe, -1
// for none. Among candidates whose costs are equal up to costTolerance the
// entry's data centre comes first, then the instance with the fewest own
// requests, then the one not used for longest. Without the tolerance, the
// instance that is best by chance would get everything and the others would
// never be measured again.
func (s *shard) rank(now time.Time, r galenahead.Request, candidates []galenahead.SlotLease) (best, probe int) {
	best, probe = -1, -1
	least := math.Inf(1)
	for i := range candidates {
		in := s.instance(now, candidates[i])
		in.cost = math.Inf(1)
		switch s.verdict(now, in) {
		case usable:
			in.cost = s.cost(now, in, candidates[i].DataCentre)
			least = min(least, in.cost)
		case probeAny:
			probe = i
		case probeIdempotent:
			if r.Idempotent {
				probe = i
			}
		case rejected:
		}
	}
	if math.IsInf(least, 1) {
		return best, probe
	}
	for i := range candidates {
		in := s.instances[candidates[i].Instance]
		if in.cost <= least*(1+costTolerance) && (best < 0 || s.before(candidates[i], candidates[best])) {
			best = i
		}
	}
	return best, probe
}

// before tells whether a is preferred to b when their costs are equal.
func (s *shard) before(a, b galenahead.SlotLease) bool {
	if local := a.DataCentre == s.cfg.DataCentre; local != (b.DataCentre == s.cfg.DataCentre) {
		return local
	}
	x, y := s.instances[a.Instance], s.instances[b.Instance]
	if x.inFlight != y.inFlight {
		return x.inFlight < y.inFlight
	}
	return x.lastStart.Before(y.lastStart)
}

// cost is the expected time to the answer in seconds.
func (s *shard) cost(now time.Time, in *instance, dc galenahead.DataCentre) float64 {
	c := in.expected(now, s.median)
	if dc != s.cfg.DataCentre {
		c += s.cfg.Way.Seconds()
	}
	return c
}

// verdict tells whether the instance may be used now.
func (s *shard) verdict(now time.Time, in *instance) verdict {
	if in.ejected {
		return in.returning(now)
	}
	if now.Before(in.holdUntil) || s.stalled(now, in) && s.mayEject(now, in) {
		return rejected
	}
	return usable
}

// returning tells how an ejected instance may be used.
func (in *instance) returning(now time.Time) verdict {
	if now.Before(in.until) || in.inFlight > in.successes {
		return rejected
	}
	if now.Sub(in.until) > probePatience {
		return probeAny
	}
	return probeIdempotent
}

// stalled tells whether the instance has been silent for longer than its
// requests in flight explain.
func (s *shard) stalled(now time.Time, in *instance) bool {
	if in.inFlight == 0 || !s.stallKnown {
		return false
	}
	k := min(in.inFlight, len(s.stall))
	return now.Sub(in.quietSince) > s.stall[k-1]
}

func (s *shard) succeeded(now time.Time, in *instance, res Result) {
	in.quietSince = now
	in.answeredAt = now
	in.timeouts = 0
	in.failures -= in.failures * failureWeight
	in.learn(res.RunTime, s.typical(res.Class))
	in.recover(now)
	s.refresh()
}

func (s *shard) failed(now time.Time, in *instance) {
	in.quietSince = now
	in.failures += (1 - in.failures) * failureWeight
	peers := s.peerFailures(in)
	if in.failures > peers+peerMargin {
		// The failure counts as long as an answer would have taken. An instance that
		// fails at once always has free slots, and without the pause it would draw in
		// the whole queue when it may not be ejected.
		in.holdUntil = now.Add(s.median)
	}
	worse := in.failures > peerFactor*peers+peerMargin
	if in.ejected || worse && s.mayEject(now, in) {
		in.eject(now)
		in.owner = ""
		in.private = false
	}
}

// timedOut counts an attempt that was sent at the given time and given up.
func (s *shard) timedOut(now time.Time, in *instance, sent time.Time) {
	if sent.Before(in.answeredAt) {
		return
	}
	in.timeouts++
	if in.timeouts >= timeoutsInRow {
		s.failed(now, in)
		in.private = in.ejected
	}
}

// peerFailures returns the mean failure ratio of the other instances. When all
// fail alike the fault is elsewhere, and ejecting any of them is no help.
func (s *shard) peerFailures(in *instance) float64 {
	sum, n := 0.0, 0
	for _, peer := range s.list {
		if peer != in {
			sum += peer.failures
			n++
		}
	}
	// Instances without results count as not failing.
	n = max(n, s.announced-1)
	if n == 0 {
		// A single instance is never worse than its peers.
		return 1
	}
	return sum / float64(n)
}

// mayEject tells whether one more instance may be out of use.
func (s *shard) mayEject(now time.Time, in *instance) bool {
	out := 0
	for _, peer := range s.list {
		if peer != in && (peer.ejected || s.stalled(now, peer)) {
			out++
		}
	}
	return (out+1)*ejectedShare <= max(len(s.instances), s.announced)
}

// refresh recomputes what is derived from the service's run times, at every
// success at first and at every sixteenth later.
func (s *shard) refresh() {
	const every = 16
	s.learned++
	if s.learned > every && s.learned%every != 0 {
		return
	}
	sum, ok := s.times.Summary(s.service, "")
	if !ok {
		return
	}
	s.median = sum.Median
	s.stallKnown = true
	for i := range s.stall {
		p := 1 - math.Pow(stallChance, 1/float64(i+1))
		d, _ := s.times.Quantile(s.service, p)
		s.stall[i] = max(d, leastStall)
	}
}

// typical returns the median run time of a class, so that an instance which
// happened to get long requests does not look slow.
func (s *shard) typical(class string) time.Duration {
	sum, _ := s.times.Summary(s.service, class)
	return sum.Median
}

func (s *shard) instance(now time.Time, l galenahead.SlotLease) *instance {
	in := s.instances[l.Instance]
	if in == nil {
		s.sweep(now)
		in = &instance{id: l.Instance}
		s.instances[l.Instance] = in
		s.list = append(s.list, in)
	}
	in.lastSeen = now
	return in
}

// sweep forgets instances that are gone.
func (s *shard) sweep(now time.Time) {
	s.list = slices.DeleteFunc(s.list, func(in *instance) bool {
		gone := in.inFlight == 0 && now.Sub(in.lastSeen) > forgetAfter
		if gone {
			delete(s.instances, in.id)
		}
		return gone
	})
}

func (s *shard) suspects(name galenahead.ServiceName, all []Suspect) []Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, in := range s.list {
		if in.ejected && in.owner == "" && !in.private {
			all = append(all, Suspect{Service: name, Instance: in.id})
		}
	}
	return all
}

// adopt ejects an instance on behalf of another entry.
func (s *shard) adopt(now time.Time, self, from galenahead.EntryName, id galenahead.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	in := s.instance(now, galenahead.SlotLease{Instance: id})
	owner := in.owner
	if owner == "" {
		owner = self
	}
	switch {
	case in.ejected && !in.private && owner < from:
		return
	case !in.ejected && !s.mayEject(now, in):
		return
	}
	in.ejected = true
	in.owner = from
	in.successes = 0
	in.until = now.Add(adoptedFor)
}

// release brings the instances back that were ejected on behalf of an entry
// and that it has found to work.
func (s *shard) release(now time.Time, from galenahead.EntryName, listed func(galenahead.InstanceID) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, in := range s.list {
		if in.ejected && in.owner == from && !listed(in.id) {
			in.back(now)
		}
	}
}

func sortSuspects(all []Suspect) {
	slices.SortFunc(all, func(a, b Suspect) int {
		if c := strings.Compare(string(a.Service), string(b.Service)); c != 0 {
			return c
		}
		return strings.Compare(string(a.Instance), string(b.Instance))
	})
}
