package galenajob

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an instance that gets no work for good, because a call to it had no
// response and nothing asked for one after it had lost its work. Its heartbeats kept it
// from being removed.
func TestSilentInstanceWithoutWorkReturns(t *testing.T) {
	for _, c := range []struct {
		name string
		o    Outcome
		// silence is how long the instance leaves polls unanswered.
		silence time.Duration
	}{
		{"start not sent", OutcomeUnsent, 0},
		{"lease expired", OutcomeDone, 2 * testParams().Lease},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newFencedScheduler("a")
			s.AddJob(t0, testJob("j", 1), 0, false)
			first := starts(s.Plan(t0, t0))[0]
			now := t0.Add(time.Millisecond)
			s.HandleOutcome(now, first, c.o, 0, now)
			var next []Action
			for now.Before(t0.Add(c.silence + testParams().SuspectTime)) {
				now = now.Add(100 * time.Millisecond)
				clock := 1000 + now.Sub(t0).Milliseconds()
				s.Heartbeat(now, "a", clock)
				req, ok := s.NextPoll(now, "a")
				switch {
				case ok && now.Before(t0.Add(c.silence)):
					s.HandleNoResponse("a", now)
				case ok:
					s.HandlePoll(now, "a", PollResponse{Fence: req.Fence, Clock: clock, Born: 1, Sent: now})
				}
				next = append(next, starts(s.Plan(now, now))...)
			}
			is.Equal(len(next), 1)
			is.Equal(next[0].Run, first.Run+1)
		})
	}
}

// Guards against a second run of a work item on another instance while the lease that a
// poll has renewed keeps the first one at work.
func TestLeaseOfPollIsWaitedFor(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a")
	s.AddJob(t0, testJob("j", 1), 0, false)
	first := starts(s.Plan(t0, t0))[0]
	s.HandleOutcome(t0, first, OutcomeDone, 1000, t0)
	renewed := t0.Add(testParams().Lease / 2)
	_, ok := s.NextPoll(renewed, "a")
	is.True(ok)
	s.HandleNoResponse("a", renewed) // it may be executed all the same
	s.AddInstance(renewed, testInstance("b"))
	req, _ := s.NextPoll(renewed, "b")
	s.HandlePoll(renewed, "b", PollResponse{Fence: req.Fence, Clock: 1000, Born: 1, Sent: renewed})
	now := renewed.Add(testParams().Lease - time.Millisecond)
	is.Equal(len(starts(s.Plan(now, now))), 0)
	now = renewed.Add(testParams().Lease * 104 / 100)
	is.Equal(len(starts(s.Plan(now, now))), 1)
}

// Guards against instances that are given up because this process did not run, and so did
// not hear them.
func TestPauseOfOwnerIsNotSilenceOfInstances(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a")
	s.Plan(t0, t0)
	now := t0.Add(testParams().GoneAfter + time.Second) // suspended
	s.Plan(now, now)
	is.Equal(len(s.TakeGone()), 0)
	// One that stays silent is given up.
	for range int(testParams().GoneAfter/(maxPlanGap/2)) + 1 {
		now = now.Add(maxPlanGap / 2)
		s.Plan(now, now)
	}
	is.Equal(len(s.TakeGone()), 1)
}
