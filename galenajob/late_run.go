package galenajob

import "github.com/galenahead/galenahead"

// LateRun is a run that an instance has executed although the scheduler that started it
// had given it up. Another run of the work item may have been at work at the same time.
type LateRun struct {
	Instance galenahead.InstanceID
	Item     ItemID
	Number   int64
	// Reason is why the run ended, or empty if it was found at work.
	Reason EndReason
}

// TakeLateRuns returns the late runs that were found since the last call of
// TakeLateRuns. Each is returned once.
func (s *Scheduler) TakeLateRuns() []LateRun {
	l := s.lateRuns
	s.lateRuns = nil
	return l
}

// noteLateRun records a run that the instance lists but the scheduler does not expect
// there. It ignores runs of earlier owners.
func (s *Scheduler) noteLateRun(inst *instance, id ItemID, number int64, reason EndReason) {
	if number <= s.epoch*runsPerEpoch || inst.lateRuns[id] >= number {
		return
	}
	if inst.lateRuns == nil {
		inst.lateRuns = map[ItemID]int64{}
	}
	inst.lateRuns[id] = number
	s.lateRuns = append(s.lateRuns, LateRun{inst.ID, id, number, reason})
}
