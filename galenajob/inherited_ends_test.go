package galenajob

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
)

// Guards against a second run of a work item that is done, because a new owner counts an
// instance as reconciled before it has read all pages of its ends.
func TestInheritedInstanceIsReconciledByItsLastPage(t *testing.T) {
	is := is.New(t)
	s := NewScheduler("counter", 2, testParams(), &Fences{})
	s.SetQueue(Queue{Name: "q", Service: "counter", MaxAttempts: 2})
	s.AddInheritedInstance(t0, testInstance("a"), t0.Add(time.Minute))
	s.AddJob(t0, testJob("j", 1), time.Second, true)
	s.AddJob(t0, testJob("running", 1), time.Second, true)
	s.AddJob(t0, testJob("new", 1), 0, false)
	s.AddInstance(t0, testInstance("b"))
	s.HandlePoll(t0, "b", pollResponse(t, s, t0, "b"))
	poll := func(e End, more bool) []End {
		req, ok := s.NextPoll(t0, "a")
		is.True(ok)
		is.Equal(req.Deadline, int64(0)) // the lease of the earlier owner is not prolonged
		runs := []Run{{Item: ItemID{Job: "running"}, Number: 1001}}
		return s.HandlePoll(t0, "a", PollResponse{Fence: req.Fence, Clock: 1000, Born: 1, Sent: t0, Runs: runs, Ends: []End{e}, More: more})
	}
	is.Equal(len(poll(End{Sequence: 1, Item: ItemID{Job: "removed"}, Number: 1001, Reason: EndDone}, true)), 0)
	as := starts(s.Plan(t0, t0))
	is.Equal(len(as), 1)
	is.Equal(string(as[0].Item.Job), "new")
	is.Equal(string(as[0].Instance.ID), "b")
	record := poll(End{Sequence: 2, Item: ItemID{Job: "j"}, Number: 1001, Reason: EndDone}, false)
	is.Equal(len(record), 1)
	is.Equal(len(starts(s.Plan(t0, t0))), 0)
}

// Guards against an owner that polls all instances again and again at the start of its
// session, and against one that renews no lease meanwhile.
func TestPollsOfInheritedInstancePause(t *testing.T) {
	is := is.New(t)
	s := NewScheduler("counter", 2, testParams(), &Fences{})
	for _, id := range []string{"idle", "busy"} {
		s.AddInheritedInstance(t0, testInstance(id), t0.Add(time.Minute))
	}
	s.AddJob(t0, testJob("j", 1), time.Second, true)
	poll := func(id galenahead.InstanceID, runs ...Run) (PollRequest, time.Duration) {
		req, ok := s.NextPoll(t0, id)
		is.True(ok)
		s.HandlePoll(t0, id, PollResponse{Fence: req.Fence, Clock: 1000, Born: 1, Sent: t0, Runs: runs})
		return req, s.PollPause(t0, id)
	}
	_, pause := poll("idle")
	is.Equal(pause, testParams().StopTimeout)
	run := Run{Item: ItemID{Job: "j"}, Number: 1001}
	_, pause = poll("busy", run)
	is.Equal(pause, time.Duration(0))
	req, pause := poll("busy", run)
	is.True(req.Deadline > 0)
	is.Equal(pause, testParams().StopTimeout)
	is.Equal(s.PollPause(t0.Add(time.Minute), "busy"), time.Duration(0))
}
