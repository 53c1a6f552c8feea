package galenafleet

import (
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
)

// restart is an incarnation of an instance that follows another one. Calls of an owner to that
// one may give it a lease which the next owner can't know from its own calls.
type restart struct {
	Born int64 `cbor:"1,keyasint"`
	// Fenced reports that it refuses such calls.
	Fenced bool `cbor:"2,keyasint,omitempty"`
	// KnownAt is since when that is known, in time of day, and knownAt the same on the clock of this
	// replica. KnownAt is missing in snapshots of earlier versions.
	KnownAt time.Time `cbor:"3,keyasint,omitzero"`
	knownAt time.Time
}

// recordRestart records that an incarnation is about to be registered.
func (s *State) recordRestart(in galenajob.Instance) {
	known, registered := s.instances[in.ID]
	left, hasLeft := s.left[in.ID]
	if registered && known.Born != in.Born || !registered && hasLeft && left.Born < in.Born {
		s.restarts[in.ID] = restart{Born: in.Born, KnownAt: time.Now().Round(0), knownAt: s.clock()}
	}
}

// applyFenced records that an incarnation refuses calls to the one before.
func (s *State) applyFenced(f *FencedOp) Result {
	r, ok := s.restarts[f.Instance]
	if !ok || r.Born != f.Born {
		return Result{Code: CodeUnchanged}
	}
	if !f.HoldsLease {
		delete(s.restarts, f.Instance)
		return Result{Code: CodeDone}
	}
	r.Fenced, r.KnownAt, r.knownAt = true, f.At, s.localTime(f.At)
	s.restarts[f.Instance] = r
	return Result{Code: CodeDone}
}

// restoreRestarts sets the restarts of a snapshot.
func (s *State) restoreRestarts(restarts map[galenahead.InstanceID]restart) {
	for id, r := range restarts {
		r.knownAt = s.localTime(r.KnownAt)
		s.restarts[id] = r
	}
}

// clock returns the time on the clock of this replica, or zero if it has none.
func (s *State) clock() time.Time {
	if s.Timers == nil {
		return time.Time{}
	}
	return s.Timers.Now()
}

// restartOf returns whether a registered incarnation follows another one and may still hold a
// lease from a call to it: fenced is false if it may still execute such calls, which were sent before
// knownAt, and otherwise knownAt is not before it could do so for the last time.
func (s *State) restartOf(in galenajob.Instance) (fenced bool, knownAt time.Time, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	r, ok := s.restarts[in.ID]
	if !ok || r.Born != in.Born {
		return false, time.Time{}, false
	}
	return r.Fenced, r.knownAt, true
}

// recordFenced records that incarnations refuse calls to the ones before them.
func (sh *shard) recordFenced(fenced []galenajob.FencedIncarnation) {
	at := time.Now().Round(0)
	ops := make([]Op, len(fenced))
	for i, f := range fenced {
		ops[i] = Op{Fenced: &FencedOp{f.Instance, f.Born, f.HoldsLease, at}}
	}
	// An error means that the session has ended; the next owner then expects more of them.
	_, _ = sh.session.committer.commit(ops...)
}
