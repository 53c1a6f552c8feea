package galenajob

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a run that lapses without a trace, and against one that is reported
// again with each list of ends.
func TestLapsedRunIsReportedOnce(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a")
	j := testJob("j", 1)
	j.Spec.Steps[0].LongRunning = true
	s.AddJob(t0, j, 0, false)
	start := starts(s.Plan(t0, t0))[0]
	s.HandleOutcome(t0, start, OutcomeDone, 1000, t0)
	ends := []End{
		{Sequence: 1, Item: start.Item, Number: start.Run, Reason: EndLeaseExpired},
		{Sequence: 2, Item: ItemID{Job: "of an earlier owner"}, Number: 17, Reason: EndLeaseExpired},
		{Sequence: 3, Item: start.Item, Number: start.Run, Reason: EndStopped},
	}
	for _, want := range [][]LapsedRun{{{"a", start.Item, start.Run, true}, {"a", ends[1].Item, 17, false}}, nil} {
		req, ok := s.NextPoll(t0, "a")
		is.True(ok)
		s.HandlePoll(t0, "a", PollResponse{Fence: req.Fence, Clock: 1000, Born: 1, Sent: t0, Ends: ends})
		is.Equal(s.TakeLapsedRuns(), want)
	}
	is.Equal(LapsedRun{Number: start.Run}.Epoch(), uint64(1))
}

// Guards against a step with too many work items away that no figure shows.
func TestSizesCountStepsOverBudget(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a")
	j := testJob("j", 3)
	j.Spec.Steps[0].LongRunning, j.Spec.Steps[0].MaxUnavailable = true, 1
	s.AddJob(t0, j, 0, false)
	s.Plan(t0, t0)
	is.Equal(s.Sizes(t0).OverBudget, 0) // it has not started yet
	req, _ := s.NextPoll(t0, "a")
	resp := PollResponse{Fence: req.Fence, Clock: 1000, Born: 1, Deadline: req.Deadline, Sent: t0}
	for i := range 3 {
		resp.Runs = append(resp.Runs, Run{Item: ItemID{Job: "j", Item: ItemKey{Index: i}}, Number: 1001, Percent: 100})
	}
	for serving, want := range []int{1, 1, 0, 0} {
		polled := resp
		polled.Runs = nil
		for i, r := range resp.Runs {
			if i >= serving {
				r.Percent = 50
			}
			polled.Runs = append(polled.Runs, r)
		}
		s.HandlePoll(t0, "a", polled)
		is.Equal(s.Sizes(t0).OverBudget, want)
	}
}
