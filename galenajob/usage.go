package galenajob

import (
	"slices"
	"time"

	"github.com/galenahead/galenahead"
)

// Usage sums capacity and use of the instances that take work, and the demand
// of work items that could start now.
type Usage struct {
	// Instances is how many take work; Capacity and Used are their sums.
	Instances int
	Capacity  Resources
	Used      Resources
	// Demand sums what waits for room, of jobs that are still worth it, and the
	// lasting work that has to leave its instance.
	Demand Resources
	// Batch sums what runs or waits of jobs that end by themselves, and Busy
	// counts the instances that run some.
	Batch Resources
	Busy  int
	// Rate is the processor use that the present arrivals will want, in
	// thousandths of a core; zero while they are too few to tell.
	Rate int64
	// Idle lists the instances on which nothing runs, longest idle first.
	Idle []IdleInstance
}

// IdleInstance is an instance on which nothing runs.
type IdleInstance struct {
	ID    galenahead.InstanceID
	Since time.Time
	// Usable tells that work may start there now.
	Usable bool
}

// arrival is the acceptance of a job.
type arrival struct {
	at time.Time
	// work is its estimated processor time in milliseconds of a core.
	work int64
}

// arrivalWindows are the times over which arrivals are counted, shortest first.
// Fewer arrivals than the least tell no rate: the short window needs more of
// them, the long one also tells the rate of a few large jobs.
var arrivalWindows = []struct {
	window time.Duration
	least  int
}{
	{400 * time.Millisecond, 6},
	{time.Second, 3},
}

// rateSpan is the shortest time over which a window's arrivals are spread, so
// that a few at nearly the same moment are no high rate.
const rateSpan = 400 * time.Millisecond

// rate returns the processor use that the present arrivals will want: the
// highest that a window tells.
func (s *Scheduler) rate(now time.Time) int64 {
	longest := arrivalWindows[len(arrivalWindows)-1].window
	s.arrivals = slices.DeleteFunc(s.arrivals, func(a arrival) bool { return now.Sub(a.at) > longest })
	var highest int64
	for _, w := range arrivalWindows {
		first := slices.IndexFunc(s.arrivals, func(a arrival) bool { return now.Sub(a.at) <= w.window })
		if first < 0 || len(s.arrivals)-first < w.least {
			continue
		}
		var work int64
		for _, a := range s.arrivals[first:] {
			work += a.work
		}
		// A rate that has just begun is not spread over the whole window.
		span := max(rateSpan, now.Sub(s.arrivals[first].at))
		highest = max(highest, work*int64(time.Second/time.Millisecond)/span.Milliseconds())
	}
	return highest
}

// Usage returns the present use of the service's instances.
func (s *Scheduler) Usage(now time.Time) Usage {
	u := Usage{Rate: s.rate(now)}
	for _, n := range s.instances {
		if n.Draining || n.leaving {
			u.Demand = u.Demand.Add(n.lasting())
		}
		if n.Draining || n.leaving || s.silent(now, n) {
			continue
		}
		u.Instances++
		u.Capacity = u.Capacity.Add(n.Capacity)
		u.Used = u.Used.Add(n.used)
		batch := n.used.Sub(n.lasting())
		u.Batch = u.Batch.Add(batch)
		if batch != (Resources{}) {
			u.Busy++
		}
		if len(n.items) == 0 && !n.unresolved && n.fenced {
			u.Idle = append(u.Idle, IdleInstance{n.ID, n.idleSince, n.silentSince.IsZero() && !now.Before(n.suspectTill)})
		}
	}
	slices.SortFunc(u.Idle, func(a, b IdleInstance) int { return a.Since.Compare(b.Since) })
	for _, j := range s.jobs {
		if j.key.class == classHopeless {
			continue
		}
		for _, sets := range j.sets {
			for _, st := range sets {
				d := st.demand(now)
				u.Demand = u.Demand.Add(d)
				if !st.step.LongRunning {
					u.Batch = u.Batch.Add(d)
				}
			}
		}
	}
	return u
}

// UsedOn returns what is used of an instance.
func (s *Scheduler) UsedOn(id galenahead.InstanceID) Resources {
	if n := s.instances[id]; n != nil {
		return n.used
	}
	return Resources{}
}

// demand sums the claims of the work items that wait for an instance.
func (st *itemSet) demand(now time.Time) Resources {
	var d Resources
	if st.left == 0 || !st.open() {
		return d
	}
	for i := range st.items {
		it := &st.items[i]
		if it.phase == phasePending && !it.done && !it.ended && !it.exhausted() && !now.Before(it.notBefore) {
			d = d.Add(st.step.claim())
		}
	}
	return d
}

// lasting sums the claims of the long-running work items on n.
func (n *instance) lasting() Resources {
	var d Resources
	for _, it := range n.items {
		if it.set.step.LongRunning {
			d = d.Add(it.set.step.claim())
		}
	}
	return d
}
