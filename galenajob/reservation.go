package galenajob

import (
	"slices"
	"time"
)

const (
	// maxReservations bounds the instances of a service that are kept free of other starts
	// for long-running work.
	maxReservations = 4
	// reservationTime is how long an instance is kept free. Most work items end in that
	// time.
	reservationTime = 3 * time.Second
)

// reservation keeps an instance free of other starts until a long-running work item of the
// job fits on it. Smaller work items would otherwise take all room that becomes free.
type reservation struct {
	inst  *instance
	job   *job
	until time.Time
}

// reserveFor reserves an instance for a long-running work item for which no instance has
// room: the one that lacks least.
func (s *Scheduler) reserveFor(now time.Time, it *item) {
	if len(s.reservations) >= maxReservations || s.reservedFor(it.set.job) >= max(1, it.set.pending()) {
		return
	}
	var best *instance
	for _, inst := range s.sortedInstances() {
		if inst == it.instance || inst.heldFor != nil || !s.takesWork(inst, it) || now.Before(inst.suspectUntil) ||
			!inst.Capacity.Covers(it.set.step.reservation()) || !inst.takesStartsOf(it.set.job) {
			continue
		}
		if best == nil || inst.free().MilliCPU > best.free().MilliCPU {
			best = inst
		}
	}
	if best != nil {
		best.heldFor = it.set.job
		s.reservations = append(s.reservations, reservation{best, it.set.job, now.Add(reservationTime)})
	}
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
		s.reservations[used].inst.heldFor = nil
		s.reservations = slices.Delete(s.reservations, used, used+1)
	}
}

// releaseReservations ends the reservations that are over, and those of inst, which may be
// nil.
func (s *Scheduler) releaseReservations(now time.Time, inst *instance) {
	s.reservations = slices.DeleteFunc(s.reservations, func(r reservation) bool {
		over := r.inst == inst || r.job.final || now.After(r.until)
		if over {
			r.inst.heldFor = nil
		}
		return over
	})
}
