package galenafleet

import "time"

// maxClockDifference is how much the clocks of two machines, or that of one machine at two times, may
// be apart without harm.
const maxClockDifference = 5 * time.Second

// localTime returns a time not before an event that was recorded with its time of day, on the clock of this
// replica. One that runs learns of an event at once, whatever the clocks of other machines show. One that has
// restarted learns of it late, and has only the time of day to tell how late. The zero time, which earlier
// versions have recorded, counts as now.
func (s *State) localTime(timeOfDay time.Time) time.Time {
	now := s.clock()
	if timeOfDay.IsZero() || !timeOfDay.Before(s.ProcessStart) {
		return now
	}
	return now.Add(-max(0, time.Now().Round(0).Sub(timeOfDay)-maxClockDifference))
}
