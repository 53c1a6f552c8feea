package galenajob

import (
	"testing"

	"github.com/matryer/is"
)

// restartedInstance returns a scheduler that has sent a start to an instance, which has
// then restarted, and that start.
func restartedInstance(t *testing.T) (*Scheduler, Action) {
	s := newFencedScheduler("a")
	s.AddJob(t0, testJob("j", 1), 0, false)
	as := starts(s.Plan(t0, t0))
	is.New(t).Equal(len(as), 1)
	in := testInstance("a")
	in.Born = 2
	s.AddInstance(t0, in)
	return s, as[0]
}

// Guards against deadlines that late copies of a start meet long after the scheduler takes
// them for expired: a late response of the earlier incarnation of an instance, whose clock
// was ahead, set the clock of the present one.
func TestOutcomeOfEarlierIncarnationKeepsClock(t *testing.T) {
	is := is.New(t)
	s, late := restartedInstance(t)
	req, _ := s.NextPoll(t0, "a")
	s.HandlePoll(t0, "a", PollResponse{Fence: req.Fence, Clock: 10, Born: 2, Sent: t0})
	s.HandleOutcome(t0, late, OutcomeDone, 1000000, t0)
	next := starts(s.Plan(t0, t0))[0]
	is.Equal(next.Deadline, 10+testParams().Lease.Milliseconds())
}

// Guards against a run of a cancelled job that goes on and occupies its instance for good,
// because a late copy of its start was executed after the instance had restarted.
func TestLateRunOfFinalJobIsStoppedAfterRestart(t *testing.T) {
	is := is.New(t)
	s, late := restartedInstance(t)
	s.RemoveJob(t0, "j")
	req, _ := s.NextPoll(t0, "a")
	runs := []Run{{Item: late.Item, Number: late.Run}}
	s.HandlePoll(t0, "a", PollResponse{Fence: req.Fence, Clock: 10, Born: 2, Sent: t0, Runs: runs})
	as := stops(s.Plan(t0, t0))
	is.Equal(len(as), 1)
	is.Equal(as[0].Run, late.Run)
}
