package galenajob

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against work that runs twice because an incarnation of an instance holds a longer
// lease than the scheduler knows: it has taken that of a poll or start whose deadline was on
// the clock of the incarnation before, and shortened it to the longest one that it grants.
func TestLeaseTakenFromCallToEarlierIncarnation(t *testing.T) {
	const oldClock, newClock, maxLease = 500_000, 20, 10 * time.Second
	deadline := oldClock + testParams().Lease.Milliseconds()
	// Each case lets the incarnation born at 2 answer a call that was meant for that born at 1.
	tests := []struct {
		name   string
		answer func(s *Scheduler, start Action, fence int64)
	}{
		{"poll that shows the restart", func(s *Scheduler, _ Action, fence int64) {
			s.HandlePoll(t0, "a", PollResponse{Fence: fence, Clock: newClock, Born: 2, Deadline: deadline, Sent: t0})
		}},
		{"poll after the heartbeat that shows it", func(s *Scheduler, _ Action, fence int64) {
			restart(s)
			s.HandlePoll(t0, "a", PollResponse{Fence: fence, Clock: newClock, Born: 2, Deadline: deadline, Sent: t0})
		}},
		{"start before the heartbeat that shows it", func(s *Scheduler, start Action, _ int64) {
			s.HandleOutcome(t0, start, OutcomeDone, newClock, t0.Add(time.Millisecond))
			restart(s)
		}},
		{"start after the heartbeat that shows it", func(s *Scheduler, start Action, _ int64) {
			restart(s)
			s.HandleOutcome(t0, start, OutcomeDone, newClock, t0)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newFencedScheduler("a")
			s.params.MaxLease = maxLease
			s.Heartbeat(t0, "a", oldClock)
			s.AddJob(t0, testJob("j", 1), 0, false)
			start := starts(s.Plan(t0, t0))[0]
			is.Equal(start.Deadline, int64(deadline))
			tt.answer(s, start, start.Fence)
			req, _ := s.NextPoll(t0, "a")
			s.HandlePoll(t0, "a", PollResponse{Fence: req.Fence, Clock: newClock, Born: 2, Sent: t0})

			inst := s.instances["a"]
			is.True(!inst.leaseExpired(t0.Add(maxLease)))
			is.True(inst.leaseExpired(t0.Add(maxLease * 11 / 10)))
			// The lease of what starts now ends before the one that the instance holds.
			s.NextPoll(t0, "a")
			is.True(!inst.leaseExpired(t0.Add(maxLease)))
			is.True(inst.leaseExpired(t0.Add(maxLease * 11 / 10)))
		})
	}
}

// restart lets a heartbeat show that instance a has started again.
func restart(s *Scheduler) {
	in := testInstance("a")
	in.Born = 2
	s.AddInstance(t0, in)
}

// Guards against a lease that counts as longer than it is, so that work of a lost instance
// waits: the earlier incarnation has answered the start itself.
func TestOutcomeOfEarlierIncarnationLeavesLease(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a")
	s.params.MaxLease = 10 * time.Second
	s.Heartbeat(t0, "a", 500_000)
	s.AddJob(t0, testJob("j", 1), 0, false)
	start := starts(s.Plan(t0, t0))[0]
	restart(s)
	s.HandleOutcome(t0, start, OutcomeDone, 500_001, t0)
	is.Equal(s.instances["a"].maxDeadline, int64(0))
	is.True(s.instances["a"].leaseExpired(t0))
}
