// Package galenaroute chooses the instance for a request among the slot leases that
// an entry holds. It learns run times and failure ratios of instances from the
// entry's own requests, and ejects instances that fail more often than their peers.
// The current time is a parameter, so that a sequence of calls always has the same
// result.
package galenaroute

import (
	"slices"
	"sync"
	"time"

	"github.com/galenahead/galenahead"
)

// defaultCrossDCLatency is the one-way latency between data centres.
const defaultCrossDCLatency = 1500 * time.Microsecond

// Reasons for a choice, as the decision log records them.
const (
	// ReasonLocal means that the instance is in the entry's data centre.
	ReasonLocal = "local"
	// ReasonRemote means that the instance is in another data centre and is
	// expected to respond sooner despite the additional latency.
	ReasonRemote = "remote"
	// ReasonProbe means that the instance is ejected and the request probes whether
	// it works again.
	ReasonProbe = "probe"
	// ReasonNoneUsable means that no candidate may be used.
	ReasonNoneUsable = "none_usable"
)

// ResultKind is the kind of a result.
type ResultKind int

// Kinds of results.
const (
	// Succeeded is a complete response that is not a server error.
	Succeeded ResultKind = iota
	// Failed is a server error or a broken connection.
	Failed
	// TimedOut is an attempt that the entry gave up. Run times are heavy-tailed, so
	// a working instance has timeouts too. A timeout counts as a failure only if the
	// instance has not succeeded since the attempt was sent, and only from the
	// second consecutive one.
	TimedOut
	// Unsent is an attempt that ended before a byte was sent, for a reason other
	// than a fault of the instance.
	Unsent
)

// Result is the result of one attempt.
type Result struct {
	Kind ResultKind
	// Class is the class of the request.
	Class string
	// RunTime is the time from sending the request to the complete response, or to
	// giving up.
	RunTime time.Duration
}

// Config configures a Router.
type Config struct {
	// Entry is the entry's own name.
	Entry galenahead.EntryName
	// DataCentre is where the entry runs.
	DataCentre galenahead.DataCentre
	// CrossDCLatency is the one-way latency between data centres; 0 means 1.5 ms.
	CrossDCLatency time.Duration
}

// Router chooses instances. Each service has its own lock. The zero value prefers
// no data centre.
type Router struct {
	// Times holds the learned run times of each service.
	Times    RunTimes
	cfg      Config
	mu       sync.RWMutex
	services map[galenahead.ServiceName]*serviceState
}

// New returns a Router without any observations.
func New(cfg Config) *Router {
	if cfg.CrossDCLatency == 0 {
		cfg.CrossDCLatency = defaultCrossDCLatency
	}
	return &Router{cfg: cfg}
}

// Choose returns the index of the candidate to which r should be sent, or -1, and
// the reason. The request counts as in flight until Observe is called for it.
func (rt *Router) Choose(now time.Time, r galenahead.Request, candidates []galenahead.SlotLease) (int, string) {
	s := rt.state(r.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	best, probe := s.rank(now, r, candidates)
	if probe >= 0 {
		s.instance(now, candidates[probe]).requestStarted(now)
		return probe, ReasonProbe
	}
	if best < 0 {
		return -1, ReasonNoneUsable
	}
	s.instance(now, candidates[best]).requestStarted(now)
	if candidates[best].DataCentre != rt.cfg.DataCentre {
		return best, ReasonRemote
	}
	return best, ReasonLocal
}

// Observe records the result of an attempt that Choose started.
func (rt *Router) Observe(now time.Time, l galenahead.SlotLease, res Result) {
	s := rt.state(l.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	in := s.instance(now, l)
	in.requestEnded()
	switch res.Kind {
	case Succeeded:
		rt.Times.Observe(l.Service, res.Class, res.RunTime)
		s.recordSuccess(now, in, res)
	case Failed:
		s.recordFailure(now, in)
	case TimedOut:
		s.recordTimeout(now, in, now.Add(-res.RunTime))
	case Unsent:
	}
}

// Usable reports whether requests may be sent to the instance of l now.
func (rt *Router) Usable(now time.Time, l galenahead.SlotLease) bool {
	s := rt.state(l.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usability(now, s.instance(now, l)) != unusable
}

// SetInstanceCount sets the number of announced instances of a service. Without it,
// the limit of ejections depends on the instances for which the entry has had leases.
func (rt *Router) SetInstanceCount(service galenahead.ServiceName, count int) {
	s := rt.state(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announcedInstances = count
}

// Suspect is an instance that an entry ejected. Entries periodically send their
// suspects to one another. Otherwise an instance that fails all requests would cost
// each entry failed requests and a series of probes.
type Suspect struct {
	Service  galenahead.ServiceName `json:"service"`
	Instance galenahead.InstanceID  `json:"instance"`
}

// Suspects returns the instances that this entry has ejected because of errors and
// that it probes itself.
func (rt *Router) Suspects() []Suspect {
	rt.mu.RLock()
	defer rt.mu.RUnlock()
	var all []Suspect
	for name, s := range rt.services {
		all = s.appendSuspects(name, all)
	}
	sortSuspects(all)
	return all
}

// ApplySuspects applies the complete list of another entry's suspects. It ejects the
// listed instances, with the same limit as for this entry's own ejections, until the
// other entry, which probes them, no longer lists them. If no further list arrives,
// this entry starts to probe an instance after a second. If several entries suspect
// an instance, the one with the lowest name probes it.
func (rt *Router) ApplySuspects(now time.Time, peer galenahead.EntryName, suspects []Suspect) {
	for _, suspect := range suspects {
		rt.state(suspect.Service).ejectForPeer(now, rt.cfg.Entry, peer, suspect.Instance)
	}
	rt.mu.RLock()
	defer rt.mu.RUnlock()
	for name, s := range rt.services {
		s.reinstateForPeer(now, peer, func(id galenahead.InstanceID) bool {
			return slices.Contains(suspects, Suspect{Service: name, Instance: id})
		})
	}
}

func (rt *Router) state(service galenahead.ServiceName) *serviceState {
	rt.mu.RLock()
	s := rt.services[service]
	rt.mu.RUnlock()
	if s != nil {
		return s
	}
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if rt.services == nil {
		rt.services = make(map[galenahead.ServiceName]*serviceState)
	}
	if rt.services[service] == nil {
		rt.services[service] = newServiceState(rt.cfg, &rt.Times, service)
	}
	return rt.services[service]
}
