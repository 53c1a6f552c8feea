package galenajob

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a second run of a work item that is done: a new owner finds two ends of
// it on two instances, and the record of the one that failed lets it start before the
// other one, which is done, is recorded.
func TestItemWaitsForTheRecordOfAllItsEnds(t *testing.T) {
	is := is.New(t)
	s := NewScheduler("counter", 2, testParams(), &Fences{})
	s.SetQueue(Queue{Name: "q", Service: "counter", MaxAttempts: 3})
	s.AddInheritedInstance(t0, testInstance("a"), t0.Add(time.Minute))
	s.AddInheritedInstance(t0, testInstance("b"), t0.Add(time.Minute))
	s.AddJob(t0, testJob("j", 1), time.Second, true)
	item := ItemID{Job: "j"}
	poll := func(inst Instance, e End) []End {
		req, ok := s.NextPoll(t0, inst.ID)
		is.True(ok)
		return s.HandlePoll(t0, inst.ID, PollResponse{Fence: req.Fence, Clock: 1000, Born: 1, Sent: t0, Ends: []End{e}})
	}
	failed := poll(testInstance("a"), End{Sequence: 1, Item: item, Number: 1001, Reason: EndFailed})
	done := poll(testInstance("b"), End{Sequence: 1, Item: item, Number: 1002, Reason: EndDone})
	is.Equal(len(failed)+len(done), 2)

	s.ConfirmRecorded(t0, "a", 1, failed, []bool{false})
	now := t0.Add(time.Second)
	is.Equal(len(starts(s.Plan(now, now))), 0) // the record of the other end is pending
	s.ConfirmRecorded(now, "b", 1, done, []bool{true})
	is.Equal(len(starts(s.Plan(now, now))), 0) // it is done
}
