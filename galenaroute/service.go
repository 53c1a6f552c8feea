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
	// An instance is ejected if its failure ratio exceeds peerFailureFactor times the
	// mean of its peers by more than peerFailureMargin.
	peerFailureFactor = 2
	peerFailureMargin = 0.1
	// ejectionDivisor bounds ejections: at most 1/ejectionDivisor of a service's
	// instances may be ejected.
	ejectionDivisor = 3
	// stallProbability is the probability that a working instance is silent for long
	// enough to count as stalled.
	stallProbability = 0.01
	// minStall is the shortest silence after which an instance may count as stalled.
	minStall = 50 * time.Millisecond
	// peerEjectionTTL is how long an ejection on behalf of another entry lasts unless
	// that entry renews it. Entries send their lists every 300 ms, so two lists in a
	// row may be lost.
	peerEjectionTTL = time.Second
	// minConsecutiveTimeouts is the number of timeouts without a success in between
	// from which each timeout counts as a failure.
	minConsecutiveTimeouts = 2
	// costTolerance is the relative difference up to which costs count as equal. It
	// is half the resolution of the learned run times.
	costTolerance = 0.1
)

// usability says which requests may be sent to an instance.
type usability int

const (
	// usable means any request.
	usable usability = iota
	// probeableIdempotent means an idempotent request, to probe an ejected instance.
	probeableIdempotent
	// probeable means any request, to probe an ejected instance.
	probeable
	// unusable means no request.
	unusable
)

// serviceState is the state of the instances of one service.
type serviceState struct {
	mu        sync.Mutex
	cfg       Config
	times     *RunTimes
	service   galenahead.ServiceName
	instances map[galenahead.InstanceID]*instance
	// ordered holds the same instances in the order of their first use, so that sums
	// do not depend on the iteration order of a map.
	ordered []*instance
	// stallLimits holds, at index k-1, the silence after which an instance with k
	// requests in flight counts as stalled. It is valid if stallKnown is set.
	stallLimits        [8]time.Duration
	announcedInstances int
	stallKnown         bool
	medianRunTime      time.Duration
	successes          int
}

func newServiceState(cfg Config, times *RunTimes, service galenahead.ServiceName) *serviceState {
	return &serviceState{cfg: cfg, times: times, service: service, instances: make(map[galenahead.InstanceID]*instance)}
}

// rank returns the indices of the best usable candidate and of a candidate to
// probe, or -1 for none. Among candidates whose costs are equal up to
// costTolerance it prefers those in the entry's data centre, then the instance with
// the fewest requests of this entry in flight, then the least recently used one.
// Without the tolerance, the instance that is best by chance would get all requests
// and the others would never be measured again.
func (s *serviceState) rank(now time.Time, request galenahead.Request, candidates []galenahead.SlotLease) (best, probe int) {
	best, probe = -1, -1
	minCost := math.Inf(1)
	for i := range candidates {
		in := s.instance(now, candidates[i])
		in.cost = math.Inf(1)
		switch s.usability(now, in) {
		case usable:
			in.cost = s.cost(now, in, candidates[i].DataCentre)
			minCost = min(minCost, in.cost)
		case probeable:
			probe = i
		case probeableIdempotent:
			if request.Idempotent {
				probe = i
			}
		case unusable:
		}
	}
	if math.IsInf(minCost, 1) {
		return best, probe
	}
	for i := range candidates {
		in := s.instances[candidates[i].Instance]
		if in.cost <= minCost*(1+costTolerance) && (best < 0 || s.preferred(candidates[i], candidates[best])) {
			best = i
		}
	}
	return best, probe
}

// preferred reports whether a is preferred to b if their costs are equal.
func (s *serviceState) preferred(a, b galenahead.SlotLease) bool {
	if local := a.DataCentre == s.cfg.DataCentre; local != (b.DataCentre == s.cfg.DataCentre) {
		return local
	}
	x, y := s.instances[a.Instance], s.instances[b.Instance]
	if x.inFlight != y.inFlight {
		return x.inFlight < y.inFlight
	}
	return x.lastStart.Before(y.lastStart)
}

// cost returns the expected time until the response, in seconds.
func (s *serviceState) cost(now time.Time, in *instance, dc galenahead.DataCentre) float64 {
	c := in.expectedRunTime(now, s.medianRunTime)
	if dc != s.cfg.DataCentre {
		c += s.cfg.CrossDCLatency.Seconds()
	}
	return c
}

// usability returns which requests may be sent to the instance now.
func (s *serviceState) usability(now time.Time, in *instance) usability {
	if in.ejected {
		return in.probeUsability(now)
	}
	if now.Before(in.pausedUntil) || s.isStalled(now, in) && s.mayEject(now, in) {
		return unusable
	}
	return usable
}

// probeUsability returns which requests may probe an ejected instance now.
func (in *instance) probeUsability(now time.Time) usability {
	if now.Before(in.ejectedUntil) || in.inFlight > in.probeSuccesses {
		return unusable
	}
	if now.Sub(in.ejectedUntil) > idempotentProbeWait {
		return probeable
	}
	return probeableIdempotent
}

// isStalled reports whether the instance has been silent for longer than its
// requests in flight explain.
func (s *serviceState) isStalled(now time.Time, in *instance) bool {
	if in.inFlight == 0 || !s.stallKnown {
		return false
	}
	requests := min(in.inFlight, len(s.stallLimits))
	return now.Sub(in.silentSince) > s.stallLimits[requests-1]
}

func (s *serviceState) recordSuccess(now time.Time, in *instance, res Result) {
	in.silentSince = now
	in.lastSuccess = now
	in.timeouts = 0
	in.failureRatio -= in.failureRatio * failureWeight
	in.observeRunTime(res.RunTime, s.classMedian(res.Class))
	in.recordProbeSuccess(now)
	s.refreshEstimates()
}

func (s *serviceState) recordFailure(now time.Time, in *instance) {
	in.silentSince = now
	in.failureRatio += (1 - in.failureRatio) * failureWeight
	peerRatio := s.peerFailureRatio(in)
	if in.failureRatio > peerRatio+peerFailureMargin {
		// Pause the instance for as long as a response would have taken. An instance
		// that fails at once always has free slots, so if it may not be ejected, it
		// would attract the whole queue without the pause.
		in.pausedUntil = now.Add(s.medianRunTime)
	}
	worse := in.failureRatio > peerFailureFactor*peerRatio+peerFailureMargin
	if in.ejected || worse && s.mayEject(now, in) {
		in.eject(now)
		in.ejectedBy = ""
		in.localOnly = false
	}
}

// recordTimeout handles an attempt that was sent at the given time and that the
// entry gave up.
func (s *serviceState) recordTimeout(now time.Time, in *instance, sent time.Time) {
	if sent.Before(in.lastSuccess) {
		return
	}
	in.timeouts++
	if in.timeouts >= minConsecutiveTimeouts {
		s.recordFailure(now, in)
		in.localOnly = in.ejected
	}
}

// peerFailureRatio returns the mean failure ratio of the other instances. If all
// instances fail equally often, the fault is elsewhere and ejecting one of them
// does not help.
func (s *serviceState) peerFailureRatio(in *instance) float64 {
	sum, peers := 0.0, 0
	for _, peer := range s.ordered {
		if peer != in {
			sum += peer.failureRatio
			peers++
		}
	}
	// Announced instances without results have a failure ratio of 0.
	peers = max(peers, s.announcedInstances-1)
	if peers == 0 {
		// The only instance of a service is never worse than its peers.
		return 1
	}
	return sum / float64(peers)
}

// mayEject reports whether the instance may be ejected in addition to those that
// are ejected or stalled already.
func (s *serviceState) mayEject(now time.Time, in *instance) bool {
	unavailable := 0
	for _, peer := range s.ordered {
		if peer != in && (peer.ejected || s.isStalled(now, peer)) {
			unavailable++
		}
	}
	return (unavailable+1)*ejectionDivisor <= max(len(s.instances), s.announcedInstances)
}

// refreshEstimates recomputes the median and the stall limits from the service's
// run times: on each of the first successes, and later on every sixteenth.
func (s *serviceState) refreshEstimates() {
	const interval = 16
	s.successes++
	if s.successes > interval && s.successes%interval != 0 {
		return
	}
	summary, ok := s.times.Summary(s.service, "")
	if !ok {
		return
	}
	s.medianRunTime = summary.Median
	s.stallKnown = true
	for i := range s.stallLimits {
		p := 1 - math.Pow(stallProbability, 1/float64(i+1))
		d, _ := s.times.Quantile(s.service, p)
		s.stallLimits[i] = max(d, minStall)
	}
}

// classMedian returns the median run time of a class. Comparing run times within a
// class keeps an instance that happened to get long requests from looking slow.
func (s *serviceState) classMedian(class string) time.Duration {
	summary, _ := s.times.Summary(s.service, class)
	return summary.Median
}

func (s *serviceState) instance(now time.Time, l galenahead.SlotLease) *instance {
	in := s.instances[l.Instance]
	if in == nil {
		s.removeUnused(now)
		in = &instance{id: l.Instance}
		s.instances[l.Instance] = in
		s.ordered = append(s.ordered, in)
	}
	in.lastSeen = now
	return in
}

// removeUnused removes the instances that have no request in flight and were no
// candidates for unusedInstanceTTL.
func (s *serviceState) removeUnused(now time.Time) {
	s.ordered = slices.DeleteFunc(s.ordered, func(in *instance) bool {
		unused := in.inFlight == 0 && now.Sub(in.lastSeen) > unusedInstanceTTL
		if unused {
			delete(s.instances, in.id)
		}
		return unused
	})
}

func (s *serviceState) appendSuspects(name galenahead.ServiceName, all []Suspect) []Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, in := range s.ordered {
		if in.ejected && in.ejectedBy == "" && !in.localOnly {
			all = append(all, Suspect{Service: name, Instance: in.id})
		}
	}
	return all
}

// ejectForPeer ejects an instance on behalf of another entry, or renews such an
// ejection. If several entries ejected the instance, the one with the lowest name
// probes it.
func (s *serviceState) ejectForPeer(now time.Time, self, peer galenahead.EntryName, id galenahead.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	in := s.instance(now, galenahead.SlotLease{Instance: id})
	prober := in.ejectedBy
	if prober == "" {
		prober = self
	}
	switch {
	case in.ejected && !in.localOnly && prober < peer:
		return
	case !in.ejected && !s.mayEject(now, in):
		return
	}
	in.ejected = true
	in.ejectedBy = peer
	in.probeSuccesses = 0
	in.ejectedUntil = now.Add(peerEjectionTTL)
}

// reinstateForPeer reinstates the instances that were ejected on behalf of another
// entry and that are no longer listed by it.
func (s *serviceState) reinstateForPeer(now time.Time, peer galenahead.EntryName, listed func(galenahead.InstanceID) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, in := range s.ordered {
		if in.ejected && in.ejectedBy == peer && !listed(in.id) {
			in.reinstate(now)
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
