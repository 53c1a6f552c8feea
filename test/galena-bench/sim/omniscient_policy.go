package sim

import (
	"time"

	"github.com/galenahead/galenahead/galenaroute"
	"github.com/galenahead/galenahead/test/galena-bench/trace"
)

// pruneQueueLength is the queue length above which the central queue rejects
// requests that are unlikely to finish in time.
const pruneQueueLength = 8

// orderFunc reports whether the omniscient scheduler serves a before b.
type orderFunc func(a, b *request) bool

// omniscientPolicy schedules all requests of a service in one place, without
// network latency. It knows the actual slots and the future faults of every
// instance and, with knowsRunTimes, the run time of every request.
type omniscientPolicy struct {
	sim           *simulation
	order         orderFunc
	knowsRunTimes bool
	waiting       [][]*request
	// arrived and served count requests by caller.
	arrived, served []float64
	// slotsInUse counts the busy slots by service and caller.
	slotsInUse [][]int
	fairness   fairness
	runTimes   galenaroute.RunTimes
}

// fairness determines the order in which the omniscient scheduler serves callers.
type fairness int

const (
	// noFairness ignores the callers of requests.
	noFairness fairness = iota
	// fairShares serves the caller with the fewest busy slots first, as fair shares
	// do.
	fairShares
	// fairOutcome serves the caller with the lowest share of served requests first.
	// It takes slots from callers whose demand is below its mean, which the shipped
	// policy must not do.
	fairOutcome
)

func newOmniscientPolicy(sim *simulation, order orderFunc, knowsRunTimes bool, fairTo fairness) *omniscientPolicy {
	n := len(sim.trace.Callers)
	o := &omniscientPolicy{
		sim: sim, order: order, knowsRunTimes: knowsRunTimes, fairness: fairTo, waiting: make([][]*request, len(sim.trace.Services)),
		arrived: make([]float64, n), served: make([]float64, n),
	}
	for range sim.trace.Services {
		o.slotsInUse = append(o.slotsInUse, make([]int, n))
	}
	return o
}

func shortestFirst(a, b *request) bool { return a.runTime < b.runTime }

func earliestFirst(a, b *request) bool { return a.deadline < b.deadline }

// latestStartFirst serves the request with the earliest latest start time first.
func latestStartFirst(a, b *request) bool { return a.deadline-a.runTime < b.deadline-b.runTime }

func (o *omniscientPolicy) membershipChanged() {
	for s := range o.waiting {
		o.schedule(s)
	}
}

func (o *omniscientPolicy) requestArrived(req *request) {
	traced := o.sim.trace.Requests[req.index]
	o.arrived[traced.Caller]++
	s := int(traced.Service)
	o.waiting[s] = append(o.waiting[s], req)
	o.schedule(s)
}

func (o *omniscientPolicy) schedule(s int) {
	o.rejectLate(s)
	for len(o.waiting[s]) > 0 {
		inst := o.fastestFree(s)
		if inst == nil {
			return
		}
		i := o.choose(s, inst)
		if i < 0 {
			return
		}
		o.start(s, i, inst)
	}
}

// rejectLate rejects waiting requests that can no longer finish in time.
func (o *omniscientPolicy) rejectLate(s int) {
	remaining := o.waiting[s][:0]
	for _, req := range o.waiting[s] {
		need := req.runTime
		if !o.knowsRunTimes {
			need = o.requiredTime(s, req)
		}
		if o.sim.now+need > req.deadline {
			o.sim.finish(req, OutcomeRejected)
			continue
		}
		remaining = append(remaining, req)
	}
	o.waiting[s] = remaining
}

// requiredTime returns the run time to assume for a request, learned from earlier
// requests as the shipped policy does: a low estimate, or a high one if the queue
// is long.
func (o *omniscientPolicy) requiredTime(s int, req *request) time.Duration {
	sum, ok := o.runTimes.Summary(req.details.Service, galenaroute.Class(req.details))
	switch {
	case !ok:
		return 0
	case len(o.waiting[s]) > pruneQueueLength:
		return sum.High
	default:
		return sum.Low
	}
}

// fastestFree returns the fastest healthy instance with a free slot, or nil.
func (o *omniscientPolicy) fastestFree(s int) *instance {
	var best *instance
	for _, inst := range o.sim.instances {
		if inst.Service != s || inst.inFlight >= inst.ActualSlots || !o.healthy(inst, o.sim.now, o.sim.now) {
			continue
		}
		if best == nil || inst.Slowness < best.Slowness {
			best = inst
		}
	}
	return best
}

// healthy reports whether the instance has no fault between two times.
func (o *omniscientPolicy) healthy(inst *instance, from, until time.Duration) bool {
	for _, f := range o.sim.trace.Faults {
		affected := f.Kind == trace.FaultDataCentreLost && f.Index == inst.DataCentre || f.Kind != trace.FaultDataCentreLost && f.Kind != trace.FaultEntryLost && f.Index == inst.index
		if affected && from <= f.Until && until >= f.From {
			return false
		}
	}
	return true
}

// choose returns the index of the waiting request to run on the instance, or -1.
func (o *omniscientPolicy) choose(s int, inst *instance) int {
	best := -1
	for i, req := range o.waiting[s] {
		if o.knowsRunTimes && !o.canFinish(req, inst) {
			continue
		}
		if best < 0 || o.servedBefore(req, o.waiting[s][best]) {
			best = i
		}
	}
	return best
}

func (o *omniscientPolicy) canFinish(req *request, inst *instance) bool {
	end := o.sim.now + time.Duration(float64(req.runTime)*inst.Slowness)
	return end <= req.deadline && o.healthy(inst, o.sim.now, end)
}

func (o *omniscientPolicy) servedBefore(a, b *request) bool {
	x, y := o.sim.trace.Requests[a.index].Caller, o.sim.trace.Requests[b.index].Caller
	inUse := o.slotsInUse[o.sim.trace.Requests[a.index].Service]
	switch {
	case x == y || o.fairness == noFairness:
	case o.fairness == fairShares && inUse[x] != inUse[y]:
		return inUse[x] < inUse[y]
	case o.fairness == fairOutcome:
		return o.served[x]/o.arrived[x] < o.served[y]/o.arrived[y]
	}
	return o.order(a, b)
}

// start runs the waiting request at index i without network latency.
func (o *omniscientPolicy) start(s, i int, inst *instance) {
	req := o.waiting[s][i]
	o.waiting[s] = append(o.waiting[s][:i], o.waiting[s][i+1:]...)
	inst.inFlight++
	inst.peakInFlight = max(inst.peakInFlight, inst.inFlight)
	caller := o.sim.trace.Requests[req.index].Caller
	o.served[caller]++
	o.slotsInUse[s][caller]++
	req.attempts++
	o.sim.busyTime += time.Duration(float64(req.runTime) * inst.Slowness)
	started := o.sim.now
	end := started + time.Duration(float64(req.runTime)*inst.Slowness)
	o.sim.at(end, func() {
		inst.inFlight--
		o.slotsInUse[s][caller]--
		if o.healthy(inst, started, end) {
			o.sim.finish(req, OutcomeOnTime)
			o.runTimes.Observe(req.details.Service, galenaroute.Class(req.details), end-started)
		}
		o.schedule(s)
	})
}
