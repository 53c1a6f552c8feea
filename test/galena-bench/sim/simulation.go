package sim

import (
	"strconv"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/test/galena-bench/trace"
)

const (
	// crossDCLatency and intraDCLatency are the one-way latencies between data
	// centres and within a data centre.
	crossDCLatency = 1500 * time.Microsecond
	intraDCLatency = 100 * time.Microsecond
	// errorLatency is the time that a failing instance takes to return an error.
	errorLatency = time.Millisecond
	// connectionLimit is the number of concurrent requests that an instance accepts,
	// including those that it queues.
	connectionLimit = 64
	// responseGrace is the time that an entry waits for a response after the
	// deadline.
	responseGrace = 500 * time.Millisecond
	// announcePeriod is the interval of an instance's announcements, announceLease
	// the time until an announcement expires.
	announcePeriod = time.Second
	announceLease  = 3 * time.Second
	// stopAfterLeaving is the time for which a leaving instance still accepts
	// requests.
	stopAfterLeaving = 5 * time.Second
)

// virtualEpoch is the wall-clock time at the start of the trace.
var virtualEpoch = time.Unix(1_700_000_000, 0)

// attemptResult is the result of an attempt, as its instance or the network
// determines it.
type attemptResult int

const (
	resultRan attemptResult = iota
	resultFailed
	resultRejected
	// resultNoResponse means that the connection to the instance was lost.
	resultNoResponse
)

// request is a request of the trace with its state in the simulation.
type request struct {
	index    int
	details  galenahead.Request
	runTime  time.Duration
	deadline time.Duration
	entry    *entry
	attempts int
	runCount int
	finished bool
}

// attempt is one attempt to run a request on an instance.
type attempt struct {
	req      *request
	entry    *entry
	instance *instance
	sentAt   time.Duration
	// observed is true once the entry has recorded the result of the attempt, be it
	// a response or a timeout.
	observed    bool
	incarnation int
	// onEnd is called when the result reaches the entry, or when the entry gives up
	// an attempt at an unreachable instance.
	onEnd func(attemptResult)
}

// runTime returns the time for which the attempt occupies a slot.
func (a *attempt) runTime() time.Duration {
	return time.Duration(float64(a.req.runTime) * a.instance.Slowness)
}

// instance is one upstream process.
type instance struct {
	trace.Instance
	index        int
	id           galenahead.InstanceID
	dataCentre   galenahead.DataCentre
	running      int
	waiting      []*attempt
	inFlight     int
	peakInFlight int
	failing      bool
	// failingLate is true while the instance runs requests and then answers with an
	// error.
	failingLate          bool
	stopped              bool
	unreachable          bool
	leaving              bool
	pausedUntil          time.Duration
	announced            bool
	requestsWhileFailing int
}

// entry is one entry daemon.
type entry struct {
	index      int
	dataCentre galenahead.DataCentre
	dead       bool
	// incarnation counts the restarts of the entry's process.
	incarnation  int
	openRequests map[*request]bool
}

// simulation is one replay of a trace with one policy.
type simulation struct {
	eventLoop
	trace         *trace.Trace
	instances     []*instance
	entries       []*entry
	policy        policy
	buddyFailover bool
	results       []RequestResult
	duplicateRuns int
	// busyTime is the total time for which slots ran requests. usefulTime is the
	// total run time, at slowness 1, of the requests that were answered on time.
	busyTime, usefulTime time.Duration
	// instanceLoad counts the attempts at each instance and entryLoad the requests
	// at each entry, both from the time loadFrom on.
	loadFrom     time.Duration
	instanceLoad []int
	entryLoad    []int
}

// policy decides when and at which instance requests run.
type policy interface {
	// requestArrived is called when a request reaches its entry.
	requestArrived(req *request)
	// membershipChanged is called when the set of announced instances or of running
	// entries has changed.
	membershipChanged()
}

func newSimulation(t *trace.Trace) *simulation {
	sim := &simulation{trace: t, eventLoop: eventLoop{now: -warmUp}, results: make([]RequestResult, len(t.Requests))}
	sim.instanceLoad = make([]int, len(t.Instances))
	sim.entryLoad = make([]int, len(t.Entries))
	for i, x := range t.Instances {
		sim.instances = append(sim.instances, &instance{
			Instance: x, index: i, announced: true, pausedUntil: -warmUp, id: galenahead.InstanceID("i" + strconv.Itoa(i)),
			dataCentre: galenahead.DataCentre(t.DataCentres[x.DataCentre]),
		})
	}
	for i, dataCentre := range t.Entries {
		sim.entries = append(sim.entries, &entry{index: i, dataCentre: galenahead.DataCentre(t.DataCentres[dataCentre]), openRequests: make(map[*request]bool)})
	}
	return sim
}

func (sim *simulation) time() time.Time { return virtualEpoch.Add(sim.now) }

// replay runs the whole trace.
func (sim *simulation) replay() {
	for _, f := range sim.trace.Faults {
		sim.scheduleFault(f)
	}
	sim.at(0, func() { sim.scheduleRequest(0, 0) })
	sim.eventLoop.run()
}

// scheduleRequest schedules the arrival of the request with the given index, which
// in turn schedules the next request. last is the time of the previous arrival.
func (sim *simulation) scheduleRequest(index int, last time.Duration) {
	if index == len(sim.trace.Requests) {
		return
	}
	traced := sim.trace.Requests[index]
	at := last + time.Duration(traced.After)*time.Microsecond
	sim.at(at, func() {
		sim.scheduleRequest(index+1, at)
		sim.arrive(index, traced)
	})
}

func (sim *simulation) arrive(index int, traced trace.Request) {
	timeout := time.Duration(traced.TimeoutMS) * time.Millisecond
	req := &request{
		index: index, runTime: time.Duration(traced.RunTimeUS) * time.Microsecond, deadline: sim.now + timeout,
		details: galenahead.Request{
			Key: galenahead.RequestKey(strconv.Itoa(index)), Path: traced.Path(), Idempotent: traced.Idempotent(),
			Service: galenahead.ServiceName(sim.trace.Services[traced.Service]), Caller: galenahead.CallerName(sim.trace.Callers[traced.Caller]),
			Arrived: sim.time(), Deadline: sim.time().Add(timeout),
		},
	}
	req.entry = sim.chooseEntry(int(traced.Entry), index)
	req.entry.openRequests[req] = true
	if sim.now >= sim.loadFrom {
		sim.entryLoad[req.entry.index]++
	}
	sim.at(req.deadline+responseGrace, func() { sim.finish(req, OutcomeUnknown) })
	sim.policy.requestArrived(req)
}

// chooseEntry returns the entry that handles a request: the entry of the trace,
// or a substitute if that one is dead. With buddyFailover the next entry gets all
// requests of a dead entry; otherwise they are spread over all entries.
func (sim *simulation) chooseEntry(chosen, index int) *entry {
	n := len(sim.entries)
	for step := range n {
		e := sim.entries[(chosen+step)%n]
		if !e.dead {
			return e
		}
		if step == 0 && !sim.buddyFailover {
			chosen += index % n
		}
	}
	return sim.entries[chosen%n]
}

// finish records the outcome of a request unless it already has one. A response
// after the deadline counts as late.
func (sim *simulation) finish(req *request, outcome Outcome) {
	if req.finished {
		return
	}
	req.finished = true
	delete(req.entry.openRequests, req)
	if outcome == OutcomeOnTime && sim.now > req.deadline {
		outcome = OutcomeLate
	}
	if outcome == OutcomeOnTime {
		sim.usefulTime += req.runTime
	}
	sim.results[req.index] = RequestResult{Outcome: outcome, PastDeadline: sim.now - req.deadline, Attempts: req.attempts}
}

func (sim *simulation) latency(e *entry, inst *instance) time.Duration {
	if e.dataCentre == inst.dataCentre {
		return intraDCLatency
	}
	return crossDCLatency
}

// send starts an attempt at an instance and returns it. onEnd is called with the
// result when the entry learns it; see attempt.onEnd.
func (sim *simulation) send(req *request, e *entry, inst *instance, ended func(attemptResult)) *attempt {
	a := &attempt{req: req, entry: e, instance: inst, sentAt: sim.now, incarnation: e.incarnation, onEnd: ended}
	req.attempts++
	if sim.now >= sim.loadFrom {
		sim.instanceLoad[inst.index]++
	}
	inst.inFlight++
	inst.peakInFlight = max(inst.peakInFlight, inst.inFlight)
	sim.after(sim.latency(e, inst), func() { sim.deliver(a) })
	return a
}

// deliver handles the arrival of an attempt at its instance.
func (sim *simulation) deliver(a *attempt) {
	inst := a.instance
	switch {
	case inst.unreachable:
		sim.endAtTimeout(a)
	case inst.stopped, inst.inFlight > connectionLimit:
		sim.reply(a, resultRejected)
	case inst.failing:
		inst.requestsWhileFailing++
		sim.after(errorLatency, func() { sim.reply(a, resultFailed) })
	case inst.running < inst.ActualSlots && inst.pausedUntil <= sim.now:
		sim.start(a)
	default:
		inst.waiting = append(inst.waiting, a)
	}
}

func (sim *simulation) start(a *attempt) {
	a.instance.running++
	a.req.runCount++
	if a.req.runCount == 2 && !a.req.details.Idempotent {
		sim.duplicateRuns++
	}
	sim.busyTime += a.runTime()
	sim.after(a.runTime(), func() { sim.complete(a) })
}

func (sim *simulation) complete(a *attempt) {
	inst := a.instance
	if inst.unreachable {
		inst.running--
		sim.endAtTimeout(a)
		return
	}
	if inst.pausedUntil > sim.now {
		sim.at(inst.pausedUntil+time.Millisecond, func() { sim.complete(a) })
		return
	}
	inst.running--
	sim.startWaiting(inst)
	if inst.failingLate {
		inst.requestsWhileFailing++
		sim.reply(a, resultFailed)
		return
	}
	sim.reply(a, resultRan)
}

// startWaiting starts attempts that wait inside the instance.
func (sim *simulation) startWaiting(inst *instance) {
	for inst.running < inst.ActualSlots && len(inst.waiting) > 0 && inst.pausedUntil <= sim.now {
		a := inst.waiting[0]
		inst.waiting = inst.waiting[1:]
		sim.start(a)
	}
}

func (sim *simulation) reply(a *attempt, res attemptResult) {
	sim.after(sim.latency(a.entry, a.instance), func() { sim.endAttempt(a, res) })
}

// endAtTimeout ends an attempt at an unreachable instance when the entry's timeout
// expires. The slot counts as used until then.
func (sim *simulation) endAtTimeout(a *attempt) {
	sim.at(a.req.deadline+responseGrace, func() { sim.endAttempt(a, resultNoResponse) })
}

func (sim *simulation) endAttempt(a *attempt, res attemptResult) {
	a.instance.inFlight--
	a.onEnd(res)
}

// scheduleFault schedules the start and the end of a fault.
func (sim *simulation) scheduleFault(f trace.Fault) {
	switch f.Kind {
	case trace.FaultFailing:
		inst := sim.instances[f.Index]
		sim.at(f.From, func() { inst.failing = true })
		sim.at(f.Until, func() { inst.failing = false })
	case trace.FaultFailingLate:
		inst := sim.instances[f.Index]
		sim.at(f.From, func() { inst.failingLate = true })
		sim.at(f.Until, func() { inst.failingLate = false })
	case trace.FaultPaused:
		inst := sim.instances[f.Index]
		sim.at(f.From, func() { inst.pausedUntil = f.Until })
		sim.at(f.Until, func() { sim.startWaiting(inst) })
		sim.scheduleAnnouncementExpiry(inst, f.From, f.Until)
	case trace.FaultLeaving:
		inst := sim.instances[f.Index]
		sim.at(f.From, func() {
			inst.leaving = true
			sim.setAnnounced(inst, false)
		})
		sim.at(f.From+stopAfterLeaving, func() { inst.stopped = true })
		sim.at(f.Until, func() {
			inst.stopped, inst.leaving = false, false
			sim.setAnnounced(inst, true)
		})
	case trace.FaultDataCentreLost:
		sim.scheduleDataCentreLoss(f)
	case trace.FaultEntryLost:
		sim.at(f.From, func() { sim.killEntry(sim.entries[f.Index]) })
	}
}

func (sim *simulation) scheduleDataCentreLoss(f trace.Fault) {
	for _, inst := range sim.instances {
		if inst.DataCentre != f.Index {
			continue
		}
		sim.at(f.From, func() {
			inst.unreachable = true
			for _, a := range inst.waiting {
				sim.endAtTimeout(a)
			}
			inst.waiting = nil
		})
		sim.at(f.Until, func() { inst.unreachable = false })
		sim.scheduleAnnouncementExpiry(inst, f.From, f.Until)
	}
	for i, dataCentre := range sim.trace.Entries {
		if dataCentre == f.Index {
			e := sim.entries[i]
			sim.at(f.From, func() { sim.killEntry(e) })
			sim.at(f.Until, func() {
				e.dead = false
				sim.policy.membershipChanged()
			})
		}
	}
}

// scheduleAnnouncementExpiry withdraws the announcement of an instance that cannot
// renew it between from and until, if its lease expires in that time.
func (sim *simulation) scheduleAnnouncementExpiry(inst *instance, from, until time.Duration) {
	if until-from > announceLease-announcePeriod {
		sim.at(from+announceLease-announcePeriod/2, func() { sim.setAnnounced(inst, false) })
	}
	sim.at(until+announcePeriod/2, func() { sim.setAnnounced(inst, true) })
}

func (sim *simulation) setAnnounced(inst *instance, announced bool) {
	inst.announced = announced
	sim.policy.membershipChanged()
}

// killEntry stops an entry. The outcome of its open requests is unknown, because
// their callers only see closed connections.
func (sim *simulation) killEntry(e *entry) {
	e.dead = true
	e.incarnation++
	for _, req := range sim.openRequests(e) {
		sim.finish(req, OutcomeUnknown)
	}
	sim.policy.membershipChanged()
}

// openRequests returns the open requests of an entry in the order of their
// indexes, so that replays do not depend on the iteration order of a map.
func (sim *simulation) openRequests(e *entry) []*request {
	var all []*request
	for req := range e.openRequests {
		all = append(all, req)
	}
	return sortRequests(all)
}
