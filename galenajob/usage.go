package galenajob

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenahead/galenahead"
)

// Usage is the total capacity and use of the instances that take work, and the
// demand of the work items that could start now.
type Usage struct {
	// Instances counts the instances that take work. Capacity and Used are their
	// totals.
	Instances int
	Capacity  Resources
	Used      Resources
	// LongRunning is the part of Used of long-running work.
	LongRunning Resources
	// Demand is the total need of the work items that wait for an instance, and of
	// the long-running work items that have to leave theirs. Work items of hopeless
	// jobs do not count.
	Demand Resources
	// Urgent is the part of Used and Demand of long-running work and of jobs that can still
	// be done within their objective.
	Urgent Resources
	// Batch is the total need of the work items that run or wait and are not
	// long-running.
	Batch Resources
	// BatchInstances counts the instances that run work items that are not
	// long-running.
	BatchInstances int
	// ArrivalMilliCPU is the processor demand of the current job arrival rate, in
	// thousandths of a core. It is zero while there are too few arrivals for an
	// estimate.
	ArrivalMilliCPU int64
	// Startable is the part of Demand that could start on an idle instance, one work item at
	// a time.
	Startable Resources
	// Idle lists the instances on which nothing runs, longest idle first.
	Idle []IdleInstance
}

// IdleInstance is an instance on which nothing runs.
type IdleInstance struct {
	ID    galenahead.InstanceID
	Since time.Time
	// Usable reports whether work may start there now.
	Usable bool
}

// arrival is a newly accepted job.
type arrival struct {
	at time.Time
	// work is the estimated processor time of the job in core milliseconds.
	work int64
}

// arrivalWindows are the periods over which the arrival rate is estimated,
// shortest first. A window with fewer than minArrivals gives no estimate. The
// short window needs more arrivals; the long one also detects a few large jobs.
var arrivalWindows = []struct {
	window      time.Duration
	minArrivals int
}{
	{400 * time.Millisecond, 6},
	{time.Second, 3},
}

// minArrivalSpan is the shortest period over which the arrivals of a window are
// averaged, so that a few nearly simultaneous ones are not taken for a high rate.
const minArrivalSpan = 400 * time.Millisecond

// arrivalDemand returns the processor demand of the current arrival rate, in
// thousandths of a core: the highest estimate of all windows.
func (s *Scheduler) arrivalDemand(now time.Time) int64 {
	longest := arrivalWindows[len(arrivalWindows)-1].window
	s.arrivals = slices.DeleteFunc(s.arrivals, func(a arrival) bool { return now.Sub(a.at) > longest })
	var highest int64
	for _, w := range arrivalWindows {
		first := slices.IndexFunc(s.arrivals, func(a arrival) bool { return now.Sub(a.at) <= w.window })
		if first < 0 || len(s.arrivals)-first < w.minArrivals {
			continue
		}
		var work int64
		for _, a := range s.arrivals[first:] {
			work += a.work
		}
		// Arrivals that began within the window are averaged only over the time since
		// the first of them.
		span := max(minArrivalSpan, now.Sub(s.arrivals[first].at))
		highest = max(highest, work*int64(time.Second/time.Millisecond)/span.Milliseconds())
	}
	return highest
}

// Usage returns the current use of the service's instances.
func (s *Scheduler) Usage(now time.Time) Usage {
	u := Usage{ArrivalMilliCPU: s.arrivalDemand(now)}
	for _, inst := range s.instances {
		if inst.vacating() {
			continue
		}
		lasting, urgent := inst.use()
		if inst.Draining || inst.evacuating {
			u.Demand = u.Demand.Add(lasting)
			u.Urgent = u.Urgent.Add(lasting)
		}
		if inst.Draining || inst.evacuating || inst.removing || s.unresponsive(now, inst) {
			continue
		}
		u.Instances++
		u.Capacity = u.Capacity.Add(inst.Capacity)
		u.Used = u.Used.Add(inst.used)
		u.Urgent = u.Urgent.Add(urgent)
		u.LongRunning = u.LongRunning.Add(lasting)
		batch := inst.used.Sub(lasting)
		u.Batch = u.Batch.Add(batch)
		if batch != (Resources{}) {
			u.BatchInstances++
		}
		if len(inst.items) == 0 && !inst.unreconciled && inst.fenceConfirmed {
			u.Idle = append(u.Idle, IdleInstance{inst.ID, inst.idleSince, inst.unansweredSince.IsZero() && !inst.barred(now)})
		}
	}
	slices.SortFunc(u.Idle, func(a, b IdleInstance) int { return a.Since.Compare(b.Since) })
	capacities := s.idleCapacities(u.Idle)
	rooms := accountRooms{ledger: s.ledger}
	for _, j := range s.jobs {
		if j.settled || j.key.class == classHopeless {
			continue
		}
		for _, sets := range j.sets {
			for _, set := range sets {
				n := rooms.take(j.Account, set.step.Need, set.waiting(now))
				if n == 0 {
					continue
				}
				d := set.step.reservation().Times(n)
				u.Demand = u.Demand.Add(d)
				if j.urgent() {
					u.Urgent = u.Urgent.Add(d)
				}
				if d != (Resources{}) && set.startableAnywhere() && fitsAny(set, capacities) {
					u.Startable = u.Startable.Add(d)
				}
				if !set.step.LongRunning {
					u.Batch = u.Batch.Add(d)
				}
			}
		}
	}
	return u
}

// VacateOrder returns the instances that take work, in the order in which they could be
// emptied: those without long-running work first, then by the time until the last run has
// ended. If longRunning is not set, those with long-running work are left out.
func (s *Scheduler) VacateOrder(now time.Time, longRunning bool) []galenahead.InstanceID {
	type candidate struct {
		id          galenahead.InstanceID
		longRunning int
		left        time.Duration
	}
	var out []candidate
	for _, inst := range s.sortedInstances() {
		if inst.Draining || inst.evacuating || inst.removing || inst.unreconciled || s.unresponsive(now, inst) {
			continue
		}
		c := candidate{id: inst.ID}
		for _, it := range inst.items {
			if it.set.step.LongRunning {
				c.longRunning++
				continue
			}
			left := it.set.step.Estimate
			if !it.runningSince.IsZero() {
				left -= now.Sub(it.runningSince)
			}
			c.left = max(c.left, left)
		}
		if c.longRunning == 0 || longRunning {
			out = append(out, c)
		}
	}
	slices.SortStableFunc(out, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.longRunning, b.longRunning), cmp.Compare(a.left, b.left))
	})
	ids := make([]galenahead.InstanceID, len(out))
	for i := range out {
		ids[i] = out[i].id
	}
	return ids
}

// UsedOn returns the used capacity of an instance.
func (s *Scheduler) UsedOn(id galenahead.InstanceID) Resources {
	if inst := s.instances[id]; inst != nil {
		return inst.used
	}
	return Resources{}
}

// idleCapacities returns the different capacities of the usable idle instances.
func (s *Scheduler) idleCapacities(idle []IdleInstance) []Resources {
	var out []Resources
	for _, i := range idle {
		if c := s.instances[i.ID].Capacity; i.Usable && !slices.Contains(out, c) {
			out = append(out, c)
		}
	}
	return out
}

// fitsAny reports whether a work item of the set fits into one of the capacities.
func fitsAny(set *itemSet, capacities []Resources) bool {
	need := set.step.reservation()
	return slices.ContainsFunc(capacities, func(c Resources) bool { return c.Covers(need) })
}

// startableAnywhere reports whether room is all that a work item of the set needs.
func (set *itemSet) startableAnywhere() bool {
	return set.step.Label == "" && set.step.MaxPerInstance == 0 && !set.step.Gang && !set.job.queue.RequiresAdvice
}

// waiting counts the work items that wait for an instance.
func (set *itemSet) waiting(now time.Time) int64 {
	if set.itemsLeft == 0 || !set.dependenciesDone() {
		return 0
	}
	if set.untouched {
		return int64(len(set.items))
	}
	n := int64(0)
	for i := range set.items {
		it := &set.items[i]
		if it.phase == phasePending && !it.done && it.unrecordedEnds == 0 && !it.attemptsExhausted() && !now.Before(it.notBefore) {
			n++
		}
	}
	return n
}

// urgent reports whether the job lasts, or can still be done within its objective.
func (j *job) urgent() bool { return j.key.class <= classOnTime }

// use returns the total reservations of the long-running work items and of those of urgent
// jobs on the instance.
func (inst *instance) use() (lasting, urgent Resources) {
	for _, it := range inst.items {
		if it.set.job.urgent() {
			urgent = urgent.Add(it.set.step.reservation())
		}
		if it.set.step.LongRunning {
			lasting = lasting.Add(it.set.step.reservation())
		}
	}
	return lasting, urgent
}
