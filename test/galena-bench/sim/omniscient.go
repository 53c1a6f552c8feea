package sim

import (
	"time"

	"github.com/galenahead/galenahead/galenaroute"
	"github.com/galenahead/galenahead/test/galena-bench/trace"
)

// instanceSlots is how many waiting requests make the central queue drop those
// that would make poor use of a slot.
const instanceSlots = 8

// orderFunc tells whether a is served before b by the omniscient scheduler.
type orderFunc func(a, b *query) bool

// omniscient schedules all requests of a service in one place, without
// latency. It knows every instance's real slots and future faults, and, with
// knowsRuns, every run time.
type omniscient struct {
	w         *world
	order     orderFunc
	knowsRuns bool
	waiting   [][]*query
	// asked and served count by caller; the worst served caller comes first.
	asked, served []float64
	// using counts the slots in use by service and caller.
	using [][]int
	rule  fairness
	times galenaroute.RunTimes
}

// fairness is how the omniscient scheduler treats callers.
type fairness int

const (
	// noFairness looks at the requests only.
	noFairness fairness = iota
	// fairShares serves the caller with the fewest slots in use first, as fair
	// shares do.
	fairShares
	// fairOutcome serves the caller with the lowest on-time share first. It takes
	// slots from callers below their mean demand, which the shipped policy must
	// not do.
	fairOutcome
)

func newOmniscient(w *world, order orderFunc, knowsRuns bool, rule fairness) *omniscient {
	n := len(w.t.Callers)
	o := &omniscient{
		w: w, order: order, knowsRuns: knowsRuns, rule: rule, waiting: make([][]*query, len(w.t.Services)),
		asked: make([]float64, n), served: make([]float64, n),
	}
	for range w.t.Services {
		o.using = append(o.using, make([]int, n))
	}
	return o
}

func shortestFirst(a, b *query) bool { return a.run < b.run }

func earliestFirst(a, b *query) bool { return a.deadline < b.deadline }

// latestStartFirst serves the request first that has to start first.
func latestStartFirst(a, b *query) bool { return a.deadline-a.run < b.deadline-b.run }

func (o *omniscient) membership() {
	for s := range o.waiting {
		o.schedule(s)
	}
}

func (o *omniscient) arrived(q *query) {
	x := o.w.t.Requests[q.index]
	o.asked[x.Caller]++
	s := int(x.Service)
	o.waiting[s] = append(o.waiting[s], q)
	o.schedule(s)
}

func (o *omniscient) schedule(s int) {
	o.prune(s)
	for len(o.waiting[s]) > 0 {
		in := o.instance(s)
		if in == nil {
			return
		}
		i := o.choose(s, in)
		if i < 0 {
			return
		}
		o.start(s, i, in)
	}
}

// prune refuses what cannot finish any more.
func (o *omniscient) prune(s int) {
	kept := o.waiting[s][:0]
	for _, q := range o.waiting[s] {
		need := q.run
		if !o.knowsRuns {
			need = o.likely(s, q)
		}
		if o.w.now+need > q.deadline {
			o.w.finish(q, EndRefused)
			continue
		}
		kept = append(kept, q)
	}
	o.waiting[s] = kept
}

// likely returns the time that a request needs to be worth a slot, learned as
// the shipped policy learns it.
func (o *omniscient) likely(s int, q *query) time.Duration {
	sum, ok := o.times.Summary(q.r.Service, galenaroute.Class(q.r))
	switch {
	case !ok:
		return 0
	case len(o.waiting[s]) > instanceSlots:
		return sum.High
	default:
		return sum.Low
	}
}

// instance returns the fastest instance with a free slot.
func (o *omniscient) instance(s int) *instance {
	var best *instance
	for _, in := range o.w.instances {
		if in.Service != s || in.inFlight >= in.Actual || !o.healthy(in, o.w.now, o.w.now) {
			continue
		}
		if best == nil || in.Slowness < best.Slowness {
			best = in
		}
	}
	return best
}

// healthy tells whether the instance has no fault between two times.
func (o *omniscient) healthy(in *instance, from, until time.Duration) bool {
	for _, f := range o.w.t.Faults {
		hit := f.Kind == trace.FaultCentre && f.Index == in.Centre || f.Kind != trace.FaultCentre && f.Kind != trace.FaultEntry && f.Index == in.index
		if hit && from <= f.Until && until >= f.From {
			return false
		}
	}
	return true
}

// choose returns the query to run on the instance.
func (o *omniscient) choose(s int, in *instance) int {
	best := -1
	for i, q := range o.waiting[s] {
		if o.knowsRuns && !o.finishes(q, in) {
			continue
		}
		if best < 0 || o.before(q, o.waiting[s][best]) {
			best = i
		}
	}
	return best
}

func (o *omniscient) finishes(q *query, in *instance) bool {
	end := o.w.now + time.Duration(float64(q.run)*in.Slowness)
	return end <= q.deadline && o.healthy(in, o.w.now, end)
}

func (o *omniscient) before(a, b *query) bool {
	x, y := o.w.t.Requests[a.index].Caller, o.w.t.Requests[b.index].Caller
	using := o.using[o.w.t.Requests[a.index].Service]
	switch {
	case x == y || o.rule == noFairness:
	case o.rule == fairShares && using[x] != using[y]:
		return using[x] < using[y]
	case o.rule == fairOutcome:
		return o.served[x]/o.asked[x] < o.served[y]/o.asked[y]
	}
	return o.order(a, b)
}

// start runs a query without any latency.
func (o *omniscient) start(s, i int, in *instance) {
	q := o.waiting[s][i]
	o.waiting[s] = append(o.waiting[s][:i], o.waiting[s][i+1:]...)
	in.inFlight++
	in.peak = max(in.peak, in.inFlight)
	caller := o.w.t.Requests[q.index].Caller
	o.served[caller]++
	o.using[s][caller]++
	q.attempts++
	o.w.ranFor += time.Duration(float64(q.run) * in.Slowness)
	began := o.w.now
	end := began + time.Duration(float64(q.run)*in.Slowness)
	o.w.at(end, func() {
		in.inFlight--
		o.using[s][caller]--
		if o.healthy(in, began, end) {
			o.w.finish(q, EndOnTime)
			o.times.Observe(q.r.Service, galenaroute.Class(q.r), end-began)
		}
		o.schedule(s)
	})
}
