package galenajob

import (
	"time"

	"github.com/galenahead/galenahead"
)

const (
	// probation is how long a run must have been at work before a crash of its instance
	// does not count against it. Work that crashes an instance does so within some ten
	// milliseconds of its start.
	probation = 300 * time.Millisecond
	// holdTime is how long an instance is kept free of other starts for a suspect that
	// has found no instance of its own.
	holdTime = time.Second
	// crashMemory is how long a lost instance may take to come back and show that it has
	// crashed.
	crashMemory = 20 * time.Second
	// minLossPause is the pause before a work item starts again that has lost two instances.
	// Each further loss doubles it, up to maxLossPause: innocent work that has met several
	// crashes must not wait for long.
	minLossPause = 250 * time.Millisecond
	maxLossPause = 2 * time.Second
	// crashingWorkPause is the pause of a work item that has lost crashingWorkLosses instances in a
	// row, of which crashingWorkCrashes at least have crashed. Chance does not explain that, and each
	// start costs an instance and what else runs there.
	crashingWorkPause   = 30 * time.Second
	crashingWorkLosses  = 4
	crashingWorkCrashes = 3
)

// Crash is a run under which its instance has crashed. It must be recorded and then passed
// to ConfirmCrashes.
type Crash struct {
	Instance galenahead.InstanceID
	Item     ItemID
	Number   int64
	// Uncertain reports that the run may not have been new: the instance did not answer the
	// start, so that it may have crashed before, or an earlier owner has started the run.
	Uncertain bool
	// Cleared is the number of the work item's last run that has outlived its probation.
	Cleared int64
}

// Clearance is a run that has outlived its probation, of a work item with recorded crashes.
// It must be recorded, so that later owners know it.
type Clearance struct {
	Item   ItemID
	Number int64
}

// lostInstance is an instance whose lease has expired without a response.
type lostInstance struct {
	born    int64
	address string
	lostAt  time.Time
	// crashes are the runs that were on probation there, and count if it has crashed.
	crashes []Crash
}

// suspect reports whether an instance was lost under a run of the work item that was on
// probation. Until a run of it is off probation, it starts only on an instance without
// runs on probation of other jobs, and none start beside it, so that another loss tells
// it from innocent work.
func (it *item) suspect() bool { return it.losses != nil }

// losses are the instances that were lost under runs of a work item on probation, since one has
// outlived it.
type losses struct {
	count int
	// last is the instance that was lost last, or empty, and pausedUntil the earliest time of
	// the start after it.
	last        galenahead.InstanceID
	pausedUntil time.Time
}

// lossPause returns how long the work item waits after its last loss.
func (it *item) lossPause() time.Duration {
	n := it.losses.count
	switch {
	case n < 2:
		return 0
	case n >= crashingWorkLosses && it.crashes >= crashingWorkCrashes:
		return crashingWorkPause
	}
	doublings := min(n-2, 10)
	return min(minLossPause<<doublings, maxLossPause)
}

// lostLast reports whether the instance is the last one that was lost under the work item.
func (it *item) lostLast(inst *instance) bool { return it.losses != nil && it.losses.last == inst.ID }

// onProbation reports whether the run may still turn out to crash its instance. It is not,
// once the instance has responded so long after the start, also while it is being stopped.
func (it *item) onProbation() bool {
	if it.instance == nil || it.phase == phaseStale {
		return false
	}
	return it.runningSince.IsZero() || it.instance.respondedAt.Sub(it.runningSince) < probation
}

// beginProbation begins the probation of a run that is placed on the instance. Runs of
// other jobs on probation there are no longer alone.
func (inst *instance) beginProbation(it *item) {
	it.alone = true
	for _, other := range inst.items {
		if other.set.job != it.set.job && other.onProbation() {
			it.alone, other.alone = false, false
		}
	}
	switch {
	case it.suspect():
		inst.isolated = it
	case inst.isolated == it:
		inst.isolated = nil // cleared since its last run here
	}
}

// endProbation clears a work item of suspicion once its run is off probation: work that
// crashes instances would have crashed this one.
func (s *Scheduler) endProbation(it *item) {
	if it.onProbation() {
		return
	}
	it.cleared = max(it.cleared, it.run)
	if it.crashes > 0 {
		s.clearances = append(s.clearances, Clearance{it.id(), it.cleared})
		it.crashes = 0
	}
	if it.suspect() {
		it.losses = nil
		it.set.addSuspects(-1)
	}
}

// awaitsProbation reports whether a suspect waits for the end of a probation here.
func (inst *instance) awaitsProbation() bool {
	return inst.heldFor != nil || (inst.isolated != nil && inst.isolated.instance == inst && inst.isolated.onProbation())
}

// mayIsolate reports whether the instance has no runs on probation that a crash could not
// be told from one under the job.
func (inst *instance) mayIsolate(j *job) bool {
	for _, it := range inst.items {
		if it.set.job != j && it.onProbation() {
			return false
		}
	}
	return true
}

// takesStartsOf reports whether the instance takes starts of the job: not while it is held
// for another one, or runs a suspect of another one on probation.
func (inst *instance) takesStartsOf(j *job) bool {
	if inst.heldFor != nil && inst.heldFor != j {
		return false
	}
	it := inst.isolated
	if it == nil || it.set.job == j {
		return true
	}
	if it.instance == inst && it.onProbation() {
		return false
	}
	inst.isolated = nil
	return true
}

// holdForSuspect keeps one instance free of other starts until the suspect can start there.
// Otherwise a pool that is full and starts work all the time would never have one for it.
func (s *Scheduler) holdForSuspect(now time.Time, it *item) {
	if s.held != nil {
		return
	}
	for _, inst := range s.sortedInstances() {
		if s.held == nil || it.lostLast(s.held) || (!it.lostLast(inst) && inst.used.MilliCPU < s.held.used.MilliCPU) {
			if s.fits(inst, it) && inst.permits(now, it) && inst.takesStartsOf(it.set.job) {
				s.held = inst
			}
		}
	}
	if s.held != nil {
		s.held.heldFor, s.heldUntil = it.set.job, now.Add(holdTime)
	}
}

// releaseHeld ends a hold that is over.
func (s *Scheduler) releaseHeld(now time.Time) {
	if s.held != nil && now.After(s.heldUntil) {
		s.endHold()
	}
}

func (s *Scheduler) endHold() { s.held.heldFor, s.held = nil, nil }

// noteLoss records that a run was lost with its instance, and returns the crash that
// counts if the instance has crashed: the first one under the work item, and later ones if
// no other job's run on probation was beside it. The work item pauses before it starts again.
func (s *Scheduler) noteLoss(now time.Time, inst *instance, it *item) []Crash {
	if inst.Draining || inst.evacuating || !it.onProbation() {
		return nil
	}
	counts := it.crashes == 0 || it.alone
	if !it.suspect() {
		it.losses = &losses{}
		it.set.addSuspects(1)
	}
	it.losses.count++
	it.losses.last, it.losses.pausedUntil = inst.ID, now.Add(it.lossPause())
	if !counts {
		return nil
	}
	return []Crash{{Instance: inst.ID, Item: it.id(), Number: it.run, Uncertain: it.runningSince.IsZero() || it.ageUnknown}}
}

// noteLostInstance remembers the runs that were on probation on an instance that does not
// respond. Only if it comes back as another incarnation, or under another ID at its address,
// has it crashed; otherwise it may just have been out of reach.
func (s *Scheduler) noteLostInstance(now time.Time, inst *instance, crashes []Crash) {
	if len(crashes) == 0 {
		return
	}
	if inst.addressReused {
		s.crashes = append(s.crashes, crashes...)
		return
	}
	s.lost[inst.ID] = lostInstance{inst.Born, inst.Address, now, crashes}
}

// noteReturn counts the crashes of lost instances that a registered one shows to be over,
// and forgets those that were only out of reach.
func (s *Scheduler) noteReturn(now time.Time, in Instance) {
	for _, inst := range s.instances {
		inst.addressReused = inst.addressReused || (inst.ID != in.ID && inst.Address == in.Address)
	}
	for id, l := range s.lost {
		back := id == in.ID && l.born == in.Born
		if !back && (id == in.ID || l.address == in.Address) {
			s.crashes = append(s.crashes, l.crashes...)
		}
		if id == in.ID || l.address == in.Address || now.Sub(l.lostAt) > crashMemory {
			delete(s.lost, id)
		}
	}
}

// TakeCrashes returns the crashes that were found since the last call of TakeCrashes and
// must be recorded. Those before a run that has outlived its probation are left out.
func (s *Scheduler) TakeCrashes() []Crash {
	var out []Crash
	for _, c := range s.crashes {
		if it := s.activeItem(c.Item); it != nil {
			c.Cleared = it.cleared
		}
		if c.Number > c.Cleared {
			out = append(out, c)
		}
	}
	s.crashes = nil
	return out
}

// ConfirmCrash updates the schedule by a crash that is now durable.
func (s *Scheduler) ConfirmCrash(c Crash) {
	it := s.activeItem(c.Item)
	switch {
	case it == nil:
	case c.Number > it.cleared:
		it.crashes++
	default:
		s.clearances = append(s.clearances, Clearance{c.Item, it.cleared})
	}
}

// TakeClearances returns the clearances since the last call of TakeClearances, which must
// be recorded.
func (s *Scheduler) TakeClearances() []Clearance {
	c := s.clearances
	s.clearances = nil
	return c
}
