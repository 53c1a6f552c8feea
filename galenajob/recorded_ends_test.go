package galenajob

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
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
	for _, id := range []string{"a", "b"} {
		later := t0.Add(testParams().StopTimeout)
		req, _ := s.NextPoll(later, galenahead.InstanceID(id))
		s.HandlePoll(later, galenahead.InstanceID(id), PollResponse{Fence: req.Fence, Clock: 1200, Born: 1, Sent: later})
	}
	is.Equal(s.unreconciled, 0)

	s.ConfirmRecorded(t0, "a", 1, failed, []bool{false})
	now := t0.Add(time.Second)
	is.Equal(len(starts(s.Plan(now, now))), 0) // the record of the other end is pending
	s.ConfirmRecorded(now, "b", 1, done, []bool{true})
	is.Equal(len(starts(s.Plan(now, now))), 0) // it is done
}

// Guards against a second run of a work item that is done, because a new owner has read
// only the first of the ends that an instance lists.
func TestInheritedItemWaitsForAllEndsOfAnInstance(t *testing.T) {
	is := is.New(t)
	s := NewScheduler("counter", 2, testParams(), &Fences{})
	s.SetQueue(Queue{Name: "q", Service: "counter", MaxAttempts: 3})
	s.AddInheritedInstance(t0, testInstance("a"), t0.Add(time.Minute))
	s.AddInstance(t0, testInstance("b"))
	s.HandlePoll(t0, "b", pollResponse(t, s, t0, "b"))
	s.AddJob(t0, testJob("j", 1), time.Second, true)
	s.AddJob(t0, testJob("k", 1), time.Second, true)
	s.AddJob(t0, testJob("l", 1), time.Second, true)
	now := t0
	poll := func(more bool, e End) {
		req, ok := s.NextPoll(now, "a")
		is.True(ok)
		ends := s.HandlePoll(now, "a", PollResponse{
			Fence: req.Fence, Clock: 1000, Born: 1, Cursor: req.Cursor, Sent: now, Ends: []End{e}, More: more,
		})
		is.Equal(len(ends), 1)
		s.ConfirmRecorded(now, "a", 1, ends, []bool{true})
		now = now.Add(testParams().StopTimeout)
	}
	poll(true, End{Sequence: 1, Item: ItemID{Job: "j"}, Number: 1001, Reason: EndDone})
	is.Equal(len(starts(s.Plan(now, now))), 0)
	poll(true, End{Sequence: 2, Item: ItemID{Job: "l"}, Number: 1001, Reason: EndDone})
	is.Equal(len(starts(s.Plan(now, now))), 0)
	poll(false, End{Sequence: 3, Item: ItemID{Job: "k"}, Number: 1001, Reason: EndFailed})
	next := starts(s.Plan(now, now))
	is.Equal(len(next), 1)
	is.Equal(next[0].Item.Job, galenahead.JobID("k"))
}

// Guards against a second run of a work item that an earlier owner has just stopped: its
// instance may no longer list the run, while it still takes time to end. Guards also
// against new work on the capacity that it takes until then.
func TestInheritedItemWaitsForTheStopsOfAnEarlierOwner(t *testing.T) {
	is := is.New(t)
	s := NewScheduler("counter", 2, testParams(), &Fences{})
	s.SetQueue(Queue{Name: "q", Service: "counter", MaxAttempts: 3})
	s.AddInheritedInstance(t0, testInstance("a"), t0.Add(time.Minute))
	s.AddJob(t0, testJob("j", 1), time.Second, true)
	s.AddJob(t0, testJob("new", 1), 0, false)
	for now := t0; now.Before(t0.Add(testParams().StopTimeout)); now = now.Add(20 * time.Millisecond) {
		req, ok := s.NextPoll(now, "a")
		is.True(ok)
		is.True(!req.MayWait) // inherited work waits for the poll
		s.HandlePoll(now, "a", PollResponse{Fence: req.Fence, Clock: 1000, Born: 1, Sent: now})
		is.Equal(len(starts(s.Plan(now, now))), 0)
	}
	now := t0.Add(testParams().StopTimeout)
	req, ok := s.NextPoll(now, "a")
	is.True(ok)
	end := End{Sequence: 1, Item: ItemID{Job: "j"}, Number: 1001, Reason: EndStopped}
	s.HandlePoll(now, "a", PollResponse{Fence: req.Fence, Clock: 1000, Born: 1, Sent: now, Ends: []End{end}})
	is.Equal(len(starts(s.Plan(now, now))), 2)
}
