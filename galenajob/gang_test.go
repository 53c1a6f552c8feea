package galenajob

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func testGang(id string, count int) *Job {
	j := testJob(id, count)
	j.Spec.Steps[0].Gang = true
	return j
}

// Guards against run numbers of the next owner's range: each plan that found no room for
// a gang used up a run number, so that runs of the next owner were lower than earlier ones.
func TestWaitingGangUsesNoRunNumbers(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a")
	s.AddJob(t0, testGang("j", 5), 0, false)
	now := t0
	for range runsPerEpoch + 1 {
		now = now.Add(time.Millisecond)
		is.Equal(len(starts(s.Plan(now, now))), 0)
	}
	s.AddInstance(now, testInstance("b"))
	req, _ := s.NextPoll(now, "b")
	s.HandlePoll(now, "b", PollResponse{Fence: req.Fence, Clock: 1000, Born: 1, Sent: now})
	as := starts(s.Plan(now, now))
	is.Equal(len(as), 5)
	is.Equal(as[0].Run, int64(runsPerEpoch+1))
}

// Guards against starts of a gang that is done, because the end of an earlier run was
// recorded while a start of the next one had no response.
func TestDoneGangStopsItsNextRun(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a")
	s.AddJob(t0, testGang("j", 2), 0, false)
	first := starts(s.Plan(t0, t0))
	is.Equal(len(first), 2)
	for _, a := range first {
		s.HandleOutcome(t0, a, OutcomeDone, 1000, t0)
	}
	s.HandleNoResponse("a", t0.Add(time.Millisecond))
	now := t0.Add(2 * testParams().Lease) // the lease has expired
	s.AddInstance(now, testInstance("b"))
	req, _ := s.NextPoll(now, "b")
	s.HandlePoll(now, "b", PollResponse{Fence: req.Fence, Clock: 1000, Born: 1, Sent: now})
	next := starts(s.Plan(now, now))
	is.Equal(len(next), 2)
	s.HandleOutcome(now, next[0], OutcomeDone, 1000, now)
	s.HandleOutcome(now, next[1], OutcomeUnknown, 0, now)

	end := End{Sequence: 1, Item: first[0].Item, Number: first[0].Run, Reason: EndDone}
	req, ok := s.NextPoll(now, "a")
	is.True(ok)
	clock := 1000 + now.Sub(t0).Milliseconds()
	ends := s.HandlePoll(now, "a", PollResponse{Fence: req.Fence, Clock: clock, Born: 1, Sent: now, Ends: []End{end}})
	is.Equal(len(ends), 1)
	s.ConfirmRecorded(now, "a", 1, ends, []bool{true})
	now = now.Add(testParams().ResendInterval)
	as := s.Plan(now, now)
	is.Equal(len(starts(as)), 0)
	is.Equal(len(stops(as)), 2)
}
