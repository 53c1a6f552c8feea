package galenajob

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxReservations bounds the instances of a service that are kept free of other starts
	// for long-running work. It is half of the instances at most, so that other work goes on.
	maxReservations = 4
	// minReservationTime and maxReservationTime bound how long an instance is kept free. Most
	// work items end in the shorter time.
	minReservationTime = 3 * time.Second
	maxReservationTime = 12 * time.Second
	// maxReservationPauseDoublings bounds how often the pause after a reservation of no use
	// doubles. The first pause is as long as the reservation, so that other work has the
	// instance for half of the time at least.
	maxReservationPauseDoublings = 2
)

// reservation keeps an instance free of other starts until a long-running work item of the
// job fits on it. Smaller work items would otherwise take all room that becomes free.
type reservation struct {
	inst         *instance
	job          *job
	since, until time.Time
}

// reserveFor reserves an instance for a long-running work item for which no instance has
// room: the one where it is expected to have room first. Instances where room can't become
// free, since long-running work is there, are left to others.
func (s *Scheduler) reserveFor(now time.Time, it *item) {
	j := it.set.job
	if len(s.reservations) >= min(maxReservations, max(1, len(s.instances)/2)) || s.reservedFor(j) >= max(1, it.set.pending()) ||
		now.Before(j.reserveAfter) {
		return
	}
	var best *instance
	var bestWait time.Duration
	for _, inst := range s.sortedInstances() {
		if inst == it.instance || inst.heldFor != nil || !s.mayUse(now, inst, it) || !inst.takesStartsOf(j) {
			continue
		}
		wait, ok := inst.timeToRoom(now, it.set.step.reservation())
		if !ok {
			continue
		}
		if best == nil || wait < bestWait || (wait == bestWait && inst.free().MilliCPU > best.free().MilliCPU) {
			best, bestWait = inst, wait
		}
	}
	if best != nil {
		best.heldFor = j
		until := now.Add(min(max(2*bestWait, minReservationTime), maxReservationTime))
		s.reservations = append(s.reservations, reservation{best, j, now, until})
	}
}

// timeToRoom returns how long it takes by the estimates until the instance has room for need,
// if nothing else starts there. ok is false if long-running work takes the room for good.
func (inst *instance) timeToRoom(now time.Time, need Resources) (wait time.Duration, ok bool) {
	type end struct {
		in    time.Duration
		frees Resources
	}
	var ends []end
	for _, it := range inst.items {
		step := it.set.step
		switch {
		case it.phase == phaseStopping || it.phase == phaseStale:
			ends = append(ends, end{0, step.reservation()})
		case step.LongRunning:
		case it.runningSince.IsZero():
			ends = append(ends, end{step.Estimate, step.reservation()})
		default:
			ends = append(ends, end{max(0, step.Estimate-now.Sub(it.runningSince)), step.reservation()})
		}
	}
	slices.SortFunc(ends, func(a, b end) int { return cmp.Compare(a.in, b.in) })
	free := inst.free()
	for _, e := range ends {
		if free.Covers(need) {
			break
		}
		free, wait = free.Add(e.frees), e.in
	}
	return wait, free.Covers(need)
}

// reservedFor counts the reservations for the work items of a job.
func (s *Scheduler) reservedFor(j *job) int {
	n := 0
	for _, r := range s.reservations {
		if r.job == j {
			n++
		}
	}
	return n
}

// pending counts the work items of the set that have no run.
func (set *itemSet) pending() int {
	n := 0
	for i := range set.items {
		if it := &set.items[i]; it.phase == phasePending && !it.done {
			n++
		}
	}
	return n
}

// useReservation ends a reservation of the job, one of whose work items starts on inst.
func (s *Scheduler) useReservation(j *job, inst *instance) {
	used := slices.IndexFunc(s.reservations, func(r reservation) bool { return r.job == j && r.inst == inst })
	if used < 0 {
		used = slices.IndexFunc(s.reservations, func(r reservation) bool { return r.job == j })
	}
	if used >= 0 {
		j.uselessReservations = 0
		s.reservations[used].inst.heldFor = nil
		s.reservations = slices.Delete(s.reservations, used, used+1)
	}
}

// releaseReservations ends the reservations that are over, and those of inst, which may be
// nil. After one that was of no use, its job makes a pause.
func (s *Scheduler) releaseReservations(now time.Time, inst *instance) {
	s.reservations = slices.DeleteFunc(s.reservations, func(r reservation) bool {
		expired := now.After(r.until)
		if !expired && r.inst != inst && !r.job.final {
			return false
		}
		r.inst.heldFor = nil
		if expired && !now.Before(r.job.reserveAfter) {
			r.job.reserveAfter = now.Add(now.Sub(r.since) << min(r.job.uselessReservations, maxReservationPauseDoublings))
			r.job.uselessReservations++
		}
		return true
	})
}
