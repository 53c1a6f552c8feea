package galenajob

import (
	"time"

	"github.com/galenahead/galenahead"
)

// A call to an earlier incarnation of an instance may be executed by a later one, which has seen
// no fencing token yet. The end of the lease that it carries is on the clock of the earlier
// incarnation, so that the later one may hold a lease of Params.MaxLease from then on, for all
// that it runs. Once it has seen its own token it refuses such calls.

// LongestLease returns how long an instance may hold a lease that it takes now, whatever the
// deadline, or zero if no incarnation takes the lease of another.
func (p Params) LongestLease() time.Duration {
	if p.MaxLease == 0 {
		return 0
	}
	return time.Duration(float64(p.MaxLease)/minClockRate) + expirySlack
}

// callMemory is how long a call without a response is taken into account. The users state that
// it may be executed seconds after it was sent; their machines take up to 12.
const callMemory = 30 * time.Second

// holdLease records that the instance may hold a lease of up to d, which it has taken by now.
func (inst *instance) holdLease(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(inst.heldUntil) {
		inst.heldUntil = until
	}
}

// openCalls counts the calls to the instance that a later incarnation may execute.
func (s *Scheduler) openCalls(now time.Time, inst *instance) int {
	n := 0
	if inst.pollOpen {
		n++
	}
	for _, it := range inst.items {
		if it.phase == phaseStarting && it.inFlight {
			n++
		}
	}
	if !inst.lostCallAt.IsZero() && now.Sub(inst.lostCallAt) < callMemory {
		n++
	}
	return n
}

// expectStrayCalls records that calls to earlier incarnations may reach the present one, which
// has just been heard of.
func (s *Scheduler) expectStrayCalls(now time.Time, inst *instance, calls int) {
	inst.strayCalls, inst.strayUntil = 0, time.Time{}
	if calls > 0 && s.params.MaxLease > 0 {
		inst.strayCalls, inst.strayUntil = calls, now.Add(s.params.LongestLease())
		inst.lostCallAt = now // one more incarnation may execute them as well
	}
}

// beginStrayCalls is expectStrayCalls for an incarnation that follows another one which the
// scheduler knows. An earlier owner may have sent calls that this one does not know.
func (s *Scheduler) beginStrayCalls(now time.Time, inst *instance) {
	calls := s.openCalls(now, inst) + inst.strayCalls
	if !inst.inheritedAt.IsZero() && now.Sub(inst.inheritedAt) < callMemory {
		calls++
	}
	s.expectStrayCalls(now, inst, calls)
	inst.followsAnother, inst.pollOpen = true, false
	if inst.unreconciled && inst.strayUntil.After(inst.reconciledBy) {
		inst.reconciledBy = inst.strayUntil
	}
}

// endStrayCall records that an earlier incarnation has answered a call that was open when the
// present one was heard of.
func (inst *instance) endStrayCall() {
	if inst.strayCalls > 0 {
		inst.strayCalls--
	}
	if inst.strayCalls == 0 {
		inst.strayUntil = time.Time{}
	}
}

// isEarlierClock reports whether a reading is certainly of the clock of the incarnation before.
func (s *Scheduler) isEarlierClock(inst *instance, clock int64) bool {
	return clock >= inst.earlierClock && inst.clock+s.params.MaxLease.Milliseconds() < inst.earlierClock
}

// ExpectStrayCalls records that an inherited incarnation, which was known at a time, follows another one
// and may not have been fenced by the earlier owner, whose calls to the incarnation before it may execute.
func (s *Scheduler) ExpectStrayCalls(now time.Time, id galenahead.InstanceID, known time.Time) {
	inst := s.instances[id]
	if inst == nil {
		return
	}
	reconciledBy := inst.reconciledBy
	s.beginStrayCalls(now, inst)
	if until := known.Add(maxCallDelay + s.params.LongestLease()); until.Before(inst.strayUntil) {
		inst.strayUntil, inst.reconciledBy = until, reconciledBy
		if inst.unreconciled && until.After(reconciledBy) {
			inst.reconciledBy = until
		}
	}
}

// confirmFence records that the incarnation refuses all calls to earlier ones from now on.
func (s *Scheduler) confirmFence(now time.Time, inst *instance) {
	inst.fencedAt = now
	if inst.strayCalls > 0 {
		inst.holdLease(now, s.params.LongestLease())
	}
	inst.strayCalls, inst.strayUntil = 0, time.Time{}
	if inst.followsAnother {
		s.fenced = append(s.fenced, FencedIncarnation{inst.ID, inst.Born, now.Before(inst.heldUntil)})
		// It may also have taken the usual lease from a call that it has answered unnoticed, since
		// its clock was not behind.
		inst.holdLease(now, time.Duration(float64(s.params.Lease)/minClockRate)+expirySlack)
	}
}

// FencedIncarnation is an incarnation of an instance, later than another one, that refuses all
// calls to that one. It must be recorded, so that the next owner knows how long it may hold a
// lease.
type FencedIncarnation struct {
	Instance galenahead.InstanceID
	Born     int64
	// HoldsLease reports that it may have taken a lease of up to Params.MaxLease.
	HoldsLease bool
}

// TakeFenced returns the incarnations that were fenced since the last call of TakeFenced.
func (s *Scheduler) TakeFenced() []FencedIncarnation {
	f := s.fenced
	s.fenced = nil
	return f
}

// noteCallsOfRemoved remembers a call to a removed instance that may still be executed, since it
// may return under its ID, also for another service.
func (s *Scheduler) noteCallsOfRemoved(now time.Time, inst *instance) {
	if s.openCalls(now, inst) > 0 {
		s.fences.noteOpenCall(inst.ID, now)
	}
}

func (f *Fences) noteOpenCall(id galenahead.InstanceID, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.openCallAt == nil {
		f.openCallAt = map[galenahead.InstanceID]time.Time{}
	}
	f.openCallAt[id] = now
}

// takeOpenCall returns when an instance with an open call was removed, or the zero time.
func (f *Fences) takeOpenCall(id galenahead.InstanceID) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := f.openCallAt[id]
	delete(f.openCallAt, id)
	return at
}
