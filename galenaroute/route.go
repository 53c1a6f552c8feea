// Package galenaroute chooses among the slot leases that an entry holds. It
// learns run times and failure ratios per instance from the entry's own
// requests, and takes instances that fail more than their peers out of use.
// Time is passed in, so that a sequence of calls always has the same result.
package galenaroute

import (
	"slices"
	"sync"
	"time"

	"github.com/galenahead/galenahead"
)

// defaultWay is the one-way latency between data centres.
const defaultWay = 1500 * time.Microsecond

// Reasons of a choice, for the decision log.
const (
	// ReasonLocal is the choice of an instance in the entry's data centre.
	ReasonLocal = "local"
	// ReasonRemote is the choice of an instance in another data centre that is
	// expected to answer sooner in spite of the way.
	ReasonRemote = "remote"
	// ReasonProbe is the choice of an ejected instance to find out whether it
	// works again.
	ReasonProbe = "probe"
	// ReasonNone means that no candidate may be used.
	ReasonNone = "none_usable"
)

// Kind is the kind of a result.
type Kind int

// Kinds of results.
const (
	// Succeeded is a complete answer that is no server error.
	Succeeded Kind = iota
	// Failed is a server error or a broken connection.
	Failed
	// TimedOut is an attempt that the entry gave up. With heavy-tailed run times
	// a working instance has timeouts too, so they count only when the instance
	// has answered nothing else since, and from the second in a row.
	TimedOut
	// Unsent is an attempt that ended before a byte was sent, through no fault of
	// the instance.
	Unsent
)

// Result is the result of one attempt.
type Result struct {
	Kind Kind
	// Class is the class of the request.
	Class string
	// RunTime is the time from sending to the complete answer, or to giving up.
	RunTime time.Duration
}

// Config configures a Router.
type Config struct {
	// Entry is the entry's own name.
	Entry galenahead.EntryName
	// DataCentre is where the entry runs.
	DataCentre galenahead.DataCentre
	// Way is the one-way latency between data centres; 0 means 1.5 ms.
	Way time.Duration
}

// Router chooses instances. Every service is a shard with its own lock. The
// zero value routes without a preferred data centre.
type Router struct {
	// Times are the learned run times per service.
	Times  RunTimes
	cfg    Config
	mu     sync.RWMutex
	shards map[galenahead.ServiceName]*shard
}

// New returns a Router that knows no instances yet.
func New(cfg Config) *Router {
	if cfg.Way == 0 {
		cfg.Way = defaultWay
	}
	return &Router{cfg: cfg}
}

// Choose returns the index of the candidate that r is sent to, or -1, and the
// reason. The choice counts as in flight until Observe is called for it.
func (rt *Router) Choose(now time.Time, r galenahead.Request, candidates []galenahead.SlotLease) (int, string) {
	s := rt.shard(r.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	best, probe := s.rank(now, r, candidates)
	if probe >= 0 {
		s.instance(now, candidates[probe]).start(now)
		return probe, ReasonProbe
	}
	if best < 0 {
		return -1, ReasonNone
	}
	s.instance(now, candidates[best]).start(now)
	if candidates[best].DataCentre != rt.cfg.DataCentre {
		return best, ReasonRemote
	}
	return best, ReasonLocal
}

// Observe learns from the result of an attempt that Choose started.
func (rt *Router) Observe(now time.Time, l galenahead.SlotLease, res Result) {
	s := rt.shard(l.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	in := s.instance(now, l)
	in.end()
	switch res.Kind {
	case Succeeded:
		rt.Times.Observe(l.Service, res.Class, res.RunTime)
		s.succeeded(now, in, res)
	case Failed:
		s.failed(now, in)
	case TimedOut:
		s.timedOut(now, in, now.Add(-res.RunTime))
	case Unsent:
	}
}

// Usable tells whether requests may be sent to the instance of l now. The
// entry returns leases of instances that are not usable, so that the broker
// can grant others.
func (rt *Router) Usable(now time.Time, l galenahead.SlotLease) bool {
	s := rt.shard(l.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.verdict(now, s.instance(now, l)) != rejected
}

// SetInstances sets how many instances of a service are announced. Without it,
// the bound on ejections is derived from the instances that the entry has had
// leases of.
func (rt *Router) SetInstances(service galenahead.ServiceName, n int) {
	s := rt.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announced = n
}

// Suspect is an instance that an entry ejected. Entries send their suspects to
// one another, at every ejection and with every heartbeat, so that an instance
// that fails everything does not cost every entry a request and a series of
// probes.
type Suspect struct {
	Service  galenahead.ServiceName `json:"service"`
	Instance galenahead.InstanceID  `json:"instance"`
}

// Suspects returns the instances that this entry has ejected because of errors
// and probes itself.
func (rt *Router) Suspects() []Suspect {
	rt.mu.RLock()
	defer rt.mu.RUnlock()
	var all []Suspect
	for name, s := range rt.shards {
		all = s.suspects(name, all)
	}
	sortSuspects(all)
	return all
}

// Adopt takes over the complete list of another entry's suspects. An instance
// is ejected, within the same bounds as by own measurement, until the other
// entry, which probes it, no longer lists it. When nothing more is heard of that
// entry, this one probes the instance after a second. Of several entries that
// suspect an instance, the one with the lowest name probes it.
func (rt *Router) Adopt(now time.Time, from galenahead.EntryName, suspects []Suspect) {
	for _, x := range suspects {
		rt.shard(x.Service).adopt(now, rt.cfg.Entry, from, x.Instance)
	}
	rt.mu.RLock()
	defer rt.mu.RUnlock()
	for name, s := range rt.shards {
		s.release(now, from, func(id galenahead.InstanceID) bool {
			return slices.Contains(suspects, Suspect{Service: name, Instance: id})
		})
	}
}

func (rt *Router) shard(service galenahead.ServiceName) *shard {
	rt.mu.RLock()
	s := rt.shards[service]
	rt.mu.RUnlock()
	if s != nil {
		return s
	}
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if rt.shards == nil {
		rt.shards = make(map[galenahead.ServiceName]*shard)
	}
	if rt.shards[service] == nil {
		rt.shards[service] = newShard(rt.cfg, &rt.Times, service)
	}
	return rt.shards[service]
}
