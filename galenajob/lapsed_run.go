package galenajob

import "github.com/galenahead/galenahead"

// LapsedRun is a run that ended because its instance's lease was not renewed in time.
type LapsedRun struct {
	Instance galenahead.InstanceID
	Item     ItemID
	Number   int64
	// LongRunning reports that the run was to last until its job is cancelled.
	LongRunning bool
}

// Epoch returns the epoch of the owner that started the run.
func (r LapsedRun) Epoch() uint64 { return uint64(r.Number / runsPerEpoch) }

// TakeLapsedRuns returns the lapsed runs that were found since the last call of
// TakeLapsedRuns, also those that an earlier owner started.
func (s *Scheduler) TakeLapsedRuns() []LapsedRun {
	l := s.lapsedRuns
	s.lapsedRuns = nil
	return l
}

// noteLapsedRun records that a run of the work item has lapsed. it is nil if the job is
// final or unknown.
func (s *Scheduler) noteLapsedRun(inst *instance, e End, it *item) {
	longRunning := it != nil && it.set.step.LongRunning
	s.lapsedRuns = append(s.lapsedRuns, LapsedRun{inst.ID, e.Item, e.Number, longRunning})
}
