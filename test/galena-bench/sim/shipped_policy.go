package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenapeer"
	"github.com/galenahead/galenahead/galenaqueue"
	"github.com/galenahead/galenahead/galenaretry"
	"github.com/galenahead/galenahead/galenaroute"
)

// maxRequestTime is the longest time from the arrival of a request until its entry
// stops waiting for a response.
const maxRequestTime = 3*time.Second + responseGrace

// Tuning holds the parameters of the shipped policy. The zero value differs from
// what the entry daemon uses; see ShippedTuning.
type Tuning struct {
	// FixedSlots assigns every entry a fixed part of the slots instead of leases.
	FixedSlots bool
	// NoRetryBudget removes the limit on retries, so that every idempotent request
	// may be retried until its deadline.
	NoRetryBudget bool
	// SuspectInterval is the interval at which entries send each other their lists of
	// ejected instances; 0 disables the exchange.
	SuspectInterval time.Duration
}

// ShippedTuning returns the parameters of the entry daemon.
func ShippedTuning() Tuning { return Tuning{SuspectInterval: 300 * time.Millisecond} }

// shippedPolicy runs the library's queues, routers, retry budgets and slot leases.
type shippedPolicy struct {
	sim     *simulation
	tuning  Tuning
	entries []*entryState
	peers   []galenapeer.Entry
	brokers []*serviceBroker
	// candidates are the electors of the entries; empty with Tuning.FixedSlots.
	candidates []*candidate
	instances  map[galenahead.InstanceID]*instance
}

// entryState is the state of the policy at one entry.
type entryState struct {
	policy       *shippedPolicy
	entry        *entry
	queues       galenaqueue.Set
	router       *galenaroute.Router
	retryBudgets *galenaretry.Budgets
	slotSources  map[galenahead.ServiceName]slotSource
	requests     map[*galenaqueue.Ticket]*request
	name         galenahead.EntryName
	// lastSuspectCount is the number of suspects in the last broadcast.
	lastSuspectCount int
}

func newShippedPolicy(sim *simulation, tuning Tuning) *shippedPolicy {
	s := &shippedPolicy{sim: sim, tuning: tuning, instances: make(map[galenahead.InstanceID]*instance)}
	for _, inst := range sim.instances {
		s.instances[inst.id] = inst
	}
	for _, e := range sim.entries {
		s.entries = append(s.entries, s.newEntryState(e))
	}
	for i, name := range sim.trace.Services {
		s.addService(i, galenahead.ServiceName(name))
	}
	for _, es := range s.entries {
		if !tuning.FixedSlots {
			s.candidates = append(s.candidates, newCandidate(s, es))
		}
	}
	s.membershipChanged()
	if tuning.SuspectInterval > 0 {
		sim.after(tuning.SuspectInterval, s.broadcastSuspects)
	}
	return s
}

func (s *shippedPolicy) newEntryState(e *entry) *entryState {
	es := &entryState{policy: s, entry: e, slotSources: make(map[galenahead.ServiceName]slotSource), requests: make(map[*galenaqueue.Ticket]*request)}
	es.name = galenahead.EntryName(fmt.Sprintf("entry-%02d", e.index))
	es.router = galenaroute.New(galenaroute.Config{Entry: es.name, DataCentre: e.dataCentre, CrossDCLatency: crossDCLatency})
	rng := rand.New(rand.NewPCG(uint64(e.index), 1))
	cfg := galenaretry.Config{Random: rng.Float64}
	if s.tuning.NoRetryBudget {
		cfg.Burst, cfg.MaxAttempts = 1e9, 1e9
	}
	es.retryBudgets = galenaretry.New(cfg)
	es.queues.New = func(galenahead.ServiceName) *galenaqueue.Queue {
		return galenaqueue.New(galenaqueue.Config{Estimate: es.estimate})
	}
	s.peers = append(s.peers, galenapeer.Entry{Name: es.name, DataCentre: e.dataCentre})
	return es
}

func (es *entryState) estimate(r galenahead.Request) galenaqueue.Estimate {
	sum, ok := es.router.Times.Summary(r.Service, galenaroute.Class(r))
	if !ok {
		return galenaqueue.Estimate{}
	}
	all, _ := es.router.Times.Summary(r.Service, "")
	return galenaqueue.Estimate{Low: sum.Low, High: sum.High, Mean: all.Mean}
}

// addService creates the slot sources of a service for all entries.
func (s *shippedPolicy) addService(index int, name galenahead.ServiceName) {
	if !s.tuning.FixedSlots {
		b := newServiceBroker(s, index)
		s.brokers = append(s.brokers, b)
		for i, es := range s.entries {
			es.slotSources[name] = b.holders[i]
		}
		return
	}
	sources := make([]*fixedSlots, len(s.entries))
	for i, es := range s.entries {
		sources[i] = &fixedSlots{}
		es.slotSources[name] = sources[i]
	}
	for _, inst := range s.sim.instances {
		for slot := range inst.Slots {
			if inst.Service == index {
				sources[(inst.index*inst.Slots+slot)%len(sources)].release(s.slotLease(inst))
			}
		}
	}
}

func (s *shippedPolicy) indexOf(name galenahead.EntryName) int {
	return slices.IndexFunc(s.entries, func(es *entryState) bool { return es.name == name })
}

// announcedSlots returns the number of announced instances of a service and the
// sum of their slots.
func (s *shippedPolicy) announcedSlots(name galenahead.ServiceName) (instances, slots int) {
	for _, inst := range s.sim.instances {
		if inst.announced && s.serviceOf(inst) == name {
			instances++
			slots += inst.Slots
		}
	}
	return instances, slots
}

func (s *shippedPolicy) serviceOf(inst *instance) galenahead.ServiceName {
	return galenahead.ServiceName(s.sim.trace.Services[inst.Service])
}

func (s *shippedPolicy) slotLease(inst *instance) galenahead.SlotLease {
	return galenahead.SlotLease{Service: s.serviceOf(inst), Instance: inst.id, DataCentre: inst.dataCentre}
}

func (s *shippedPolicy) requestArrived(req *request) {
	s.entries[req.entry.index].enqueue(req)
}

func (s *shippedPolicy) membershipChanged() {
	alive := 0
	for _, e := range s.sim.entries {
		if !e.dead {
			alive++
		}
	}
	for _, b := range s.brokers {
		b.membershipChanged()
	}
	for _, service := range s.sim.trace.Services {
		name := galenahead.ServiceName(service)
		instances, slots := s.announcedSlots(name)
		for _, es := range s.entries {
			es.queues.Queue(name).SetSlots(max(1, slots/max(1, alive)))
			es.router.SetInstanceCount(name, instances)
		}
	}
	for _, es := range s.entries {
		if es.entry.dead {
			es.dropState()
		}
	}
}

// broadcastSuspects makes every entry broadcast its suspects, and repeats this at
// SuspectInterval until the end of the trace.
func (s *shippedPolicy) broadcastSuspects() {
	for _, from := range s.entries {
		from.broadcastSuspects()
	}
	if s.sim.now < s.sim.trace.Length {
		s.sim.after(s.tuning.SuspectInterval, s.broadcastSuspects)
	}
}

// broadcastSuspects sends the entry's list of ejected instances to all other
// entries.
func (es *entryState) broadcastSuspects() {
	sim := es.policy.sim
	suspects := es.router.Suspects()
	previousCount := es.lastSuspectCount
	es.lastSuspectCount = len(suspects)
	if es.entry.dead || previousCount+es.lastSuspectCount == 0 || es.policy.tuning.SuspectInterval == 0 {
		return
	}
	for _, to := range es.policy.entries {
		if to != es && !to.entry.dead {
			sim.after(crossDCLatency, func() { to.router.ApplySuspects(sim.time(), es.name, suspects) })
		}
	}
}

// dropState discards the slots and queued requests of a killed entry.
func (es *entryState) dropState() {
	for _, service := range es.policy.sim.trace.Services {
		es.slotSources[galenahead.ServiceName(service)].reset()
	}
	for t := range es.requests {
		es.queues.Queue(t.Request().Service).Cancel(t)
	}
	clear(es.requests)
}

func (es *entryState) enqueue(req *request) {
	if req.finished || es.entry.dead {
		return
	}
	queue := es.queues.Queue(req.details.Service)
	t, err := queue.Push(es.policy.sim.time(), req.details)
	if err != nil {
		es.policy.sim.finish(req, OutcomeRejected)
		return
	}
	es.requests[t] = req
	es.policy.sim.at(req.deadline, func() { es.expire(t) })
	es.dispatch(req.details.Service)
}

// expire rejects a request that is still queued at its deadline.
func (es *entryState) expire(t *galenaqueue.Ticket) {
	req := es.requests[t]
	if req == nil {
		return
	}
	es.queues.Queue(req.details.Service).Cancel(t)
	delete(es.requests, t)
	es.policy.sim.finish(req, OutcomeRejected)
}

// dispatch sends queued requests as long as usable slots are free.
func (es *entryState) dispatch(service galenahead.ServiceName) {
	now, source, queue := es.policy.sim.time(), es.slotSources[service], es.queues.Queue(service)
	for {
		t, ok := queue.Dispatch(now, func(r galenahead.Request) (galenahead.SlotLease, bool) {
			return source.take(r.Caller, func(candidates []galenahead.SlotLease) int {
				i, _ := es.router.Choose(now, r, candidates)
				return i
			})
		})
		if !ok {
			break
		}
		req := es.requests[t]
		delete(es.requests, t)
		es.send(req, t.Lease())
	}
	source.setWaiting(queue.Waiting())
}

func (es *entryState) send(req *request, l galenahead.SlotLease) {
	sim := es.policy.sim
	var a *attempt
	a = sim.send(req, es.entry, es.policy.instances[l.Instance], func(res attemptResult) { es.attemptEnded(a, l, res) })
	sim.at(req.deadline+responseGrace, func() {
		if !a.observed {
			a.observed = true
			es.router.Observe(sim.time(), l, galenaroute.Result{Kind: galenaroute.TimedOut, RunTime: sim.now - a.sentAt})
		}
	})
}

// attemptEnded handles the result of an attempt: it updates the router, releases
// the slot, and responds to or retries the request.
func (es *entryState) attemptEnded(a *attempt, l galenahead.SlotLease, res attemptResult) {
	sim := es.policy.sim
	if !a.observed && res != resultNoResponse {
		a.observed = true
		es.router.Observe(sim.time(), l, galenaroute.Result{Kind: routeResult(res), Class: galenaroute.Class(a.req.details), RunTime: sim.now - a.sentAt})
	}
	if len(es.router.Suspects()) != es.lastSuspectCount {
		es.broadcastSuspects()
	}
	if es.entry.dead || a.incarnation != es.entry.incarnation {
		return
	}
	es.slotSources[l.Service].release(l)
	es.respondOrRetry(a.req, res)
	es.dispatch(l.Service)
}

func routeResult(res attemptResult) galenaroute.ResultKind {
	switch res {
	case resultRan:
		return galenaroute.Succeeded
	case resultRejected:
		return galenaroute.Unsent
	default:
		return galenaroute.Failed
	}
}

// respondOrRetry finishes a request or retries it, as the retry budget decides.
func (es *entryState) respondOrRetry(req *request, res attemptResult) {
	switch {
	case req.finished || res == resultNoResponse:
		return
	case res == resultRan:
		es.retryBudgets.RecordSuccess(req.details.Service)
		es.policy.sim.finish(req, OutcomeOnTime)
		return
	}
	d := es.retryBudgets.Decide(es.policy.sim.time(), req.details, galenaretry.Attempt{Number: req.attempts, Unsent: res == resultRejected})
	if d.Retry {
		es.policy.sim.after(d.Delay, func() { es.enqueue(req) })
		return
	}
	if res == resultRejected {
		es.policy.sim.finish(req, OutcomeRejected)
		return
	}
	es.policy.sim.finish(req, OutcomeFailed)
}
