package galenajob

import (
	"slices"
	"time"

	"github.com/galenahead/galenahead"
)

const (
	// maxFailedSets bounds the failed work that an instance keeps as evidence against it, and
	// with it the time of a suspicion.
	maxFailedSets = 6
	// faultyAt is on how many instances a set of work items fails if the work is at fault.
	faultyAt = 3
	// trialShare is the part of SuspectTime that a start on a suspected instance keeps others
	// off, so that one that fails all takes one work item a time.
	trialShare = 4
)

// Suspicion is the beginning of a time in which an instance is avoided, because work of several
// jobs has failed there.
type Suspicion struct {
	Instance galenahead.InstanceID
	// Jobs is the number of jobs, and Duration how long the instance is avoided if nothing else
	// fails and no run is done there.
	Jobs     int
	Duration time.Duration
}

// TakeSuspicions returns the suspicions that began since the last call of TakeSuspicions.
func (s *Scheduler) TakeSuspicions() []Suspicion {
	out := s.suspicions
	s.suspicions = nil
	return out
}

// noteFailure records that a run of the set's work has failed on the instance. That is
// evidence against the instance only as far as the work does not fail elsewhere too.
func (s *Scheduler) noteFailure(now time.Time, inst *instance, set *itemSet) {
	repeated := len(inst.failedSets) > 0 && inst.failedSets[len(inst.failedSets)-1].job == set.job
	inst.failedSets = slices.DeleteFunc(inst.failedSets, func(o *itemSet) bool { return o.job == set.job })
	if len(inst.failedSets) == maxFailedSets {
		inst.failedSets = slices.Delete(inst.failedSets, 0, 1)
	}
	inst.failedSets = append(inst.failedSets, set)
	if len(set.failedOn) < faultyAt && !slices.Contains(set.failedOn, inst.ID) {
		set.failedOn = append(set.failedOn, inst.ID)
		if s.isFaulty(set) {
			s.reviewSuspicions(now, set)
		}
	}
	if repeated && !inst.suspected(now) || s.isFaulty(set) {
		return
	}
	if n := s.evidenceAgainst(inst); n >= 2 {
		d := s.suspicionTime(n)
		if !inst.suspected(now) {
			s.suspicions = append(s.suspicions, Suspicion{inst.ID, n, d})
		}
		inst.suspect(now, s.params.SuspectTime, d)
	}
}

// isFaulty reports whether the failures of the set's work are evidence against the work: it
// fails on several instances, or on all, and has been done on none.
func (s *Scheduler) isFaulty(set *itemSet) bool {
	return len(set.failedOn) >= min(faultyAt, len(s.instances)) && set.itemsLeft == len(set.items)
}

// evidenceAgainst counts the jobs of which work has failed on the instance and is not faulty.
func (s *Scheduler) evidenceAgainst(inst *instance) int {
	n := 0
	for _, set := range inst.failedSets {
		if !s.isFaulty(set) {
			n++
		}
	}
	return n
}

// suspicionTime returns how long an instance is avoided on which work of n jobs has failed.
func (s *Scheduler) suspicionTime(n int) time.Duration {
	if n < 2 {
		return 0
	}
	return s.params.SuspectTime << min(n-2, maxFailedSets-2)
}

// reviewSuspicions ends or shortens the suspicions for which less evidence is left, since the
// set's work has been found to be at fault.
func (s *Scheduler) reviewSuspicions(now time.Time, faulty *itemSet) {
	for _, inst := range s.instances {
		if !inst.suspected(now) || !slices.Contains(inst.failedSets, faulty) {
			continue
		}
		until := inst.suspectedAt.Add(s.suspicionTime(s.evidenceAgainst(inst)))
		if until.Before(inst.suspectUntil) {
			inst.suspectUntil = until
		}
	}
}

// suspect avoids the instance for a time, and gives it no work for the first part of it.
func (inst *instance) suspect(now time.Time, barred, avoided time.Duration) {
	inst.suspectedAt, inst.barredUntil = now, now.Add(barred)
	if until := now.Add(avoided); until.After(inst.suspectUntil) {
		inst.suspectUntil = until
	}
}

// noteTrial keeps further starts off a suspected instance until the one that it gets now has
// lasted for a while.
func (s *Scheduler) noteTrial(now time.Time, inst *instance) {
	if inst.suspected(now) {
		inst.barredUntil = now.Add(s.params.SuspectTime / trialShare)
	}
}

// endSuspicion ends a suspicion after a run that is done.
func (inst *instance) endSuspicion() {
	inst.failedSets, inst.suspectUntil = nil, time.Time{}
}

// suspected reports whether the instance is suspected of a fault, and gets only work for which
// no other instance has room.
func (inst *instance) suspected(now time.Time) bool { return now.Before(inst.suspectUntil) }

// barred reports whether the instance is suspected of a fault and gets no work, since one has
// just shown, or may show in the work that has just started.
func (inst *instance) barred(now time.Time) bool {
	return inst.suspected(now) && now.Before(inst.barredUntil)
}
