package galenajob

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
)

// Guards against a stop that got no answer and is sent again after other work items of its
// step have failed, so that it ends one more than the step allows.
func TestRepeatedEvictionAsksBudgetAgain(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a", "b", "c")
	j := testJob("j", 3)
	j.Spec.Steps[0].LongRunning, j.Spec.Steps[0].MaxUnavailable, j.Spec.Steps[0].MaxPerInstance = true, 1, 1
	s.AddJob(t0, j, 0, false)
	on := map[galenahead.InstanceID]Run{}
	for _, a := range starts(s.Plan(t0, t0)) {
		s.HandleOutcome(t0, a, OutcomeDone, 1000, t0)
		on[a.Instance.ID] = Run{Item: a.Item, Number: a.Run, Percent: 100}
	}
	poll := func(now time.Time, id galenahead.InstanceID, runs []Run, ends []End) {
		req, _ := s.NextPoll(now, id)
		record := s.HandlePoll(now, id, PollResponse{Fence: req.Fence, Clock: 1000 + now.Sub(t0).Milliseconds(), Born: 1, Sent: now, Runs: runs, Ends: ends})
		s.ConfirmRecorded(now, id, 1, record, make([]bool, len(record)))
	}
	for _, id := range s.Instances() {
		poll(t0, id, []Run{on[id]}, nil)
	}
	s.AddInstance(t0, testInstance("d"))
	poll(t0, "d", nil, nil)

	s.SetEvacuating(t0, "a", true)
	first := stops(s.Plan(t0, t0))
	is.Equal(len(first), 1)
	is.Equal(first[0].Instance.ID, galenahead.InstanceID("a"))
	s.HandleOutcome(t0, first[0], OutcomeUnknown, 0, t0)
	failed := on["b"]
	poll(t0, "b", nil, []End{{Sequence: 1, Item: failed.Item, Number: failed.Number, Reason: EndFailed}})

	now := t0.Add(2 * testParams().ResendInterval)
	poll(now, "a", []Run{on["a"]}, nil) // the run is still at work
	actions := s.Plan(now, now)
	is.Equal(len(stops(actions)), 0)
	is.Equal(len(starts(actions)), 1) // of the failed one
	for _, a := range starts(actions) {
		s.HandleOutcome(now, a, OutcomeDone, 1000, now)
		on[a.Instance.ID] = Run{Item: a.Item, Number: a.Run, Percent: 100}
	}
	for _, id := range []galenahead.InstanceID{"b", "d"} {
		if r, ok := on[id]; ok && r != failed {
			poll(now, id, []Run{r}, nil)
		}
	}
	again := stops(s.Plan(now.Add(2*testParams().ResendInterval), now))
	is.Equal(len(again), 1)
	is.Equal(again[0].Item, first[0].Item)
}

// Guards against an eviction beside work items of its step that are stopped at the same
// moment because their instance drains, so that more are away than the step allows.
func TestEvictionCountsWorkOnDrainingInstances(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a", "b")
	j := testJob("j", 2)
	j.Spec.Steps[0].LongRunning, j.Spec.Steps[0].MaxUnavailable, j.Spec.Steps[0].MaxPerInstance = true, 1, 1
	s.AddJob(t0, j, 0, false)
	serve := func(now time.Time, actions []Action) {
		for _, a := range starts(actions) {
			s.HandleOutcome(now, a, OutcomeDone, 1000, now)
			req, _ := s.NextPoll(now, a.Instance.ID)
			s.HandlePoll(now, a.Instance.ID, PollResponse{
				Fence: req.Fence, Clock: 1000 + now.Sub(t0).Milliseconds(), Born: 1, Sent: now, Runs: []Run{{Item: a.Item, Number: a.Run, Percent: 100}},
			})
		}
	}
	serve(t0, s.Plan(t0, t0))
	for _, id := range []galenahead.InstanceID{"c", "d"} {
		s.AddInstance(t0, testInstance(string(id)))
		req, _ := s.NextPoll(t0, id)
		s.HandlePoll(t0, id, PollResponse{Fence: req.Fence, Clock: 1000, Born: 1, Sent: t0})
	}
	s.SetEvacuating(t0, "a", true)
	s.Drain(t0, "b")
	leaving := stops(s.Plan(t0, t0))
	is.Equal(len(leaving), 1)
	is.Equal(leaving[0].Instance.ID, galenahead.InstanceID("b")) // its work ends in any case

	s.HandleOutcome(t0, leaving[0], OutcomeDone, 1000, t0)
	req, _ := s.NextPoll(t0, "b")
	s.HandlePoll(t0, "b", PollResponse{
		Fence: req.Fence, Clock: 1000, Born: 1, Sent: t0, Ends: []End{{Sequence: 1, Item: leaving[0].Item, Number: leaving[0].Run, Reason: EndStopped}},
	})
	restart := s.Plan(t0, t0)
	is.Equal(len(stops(restart)), 0)
	serve(t0, restart)
	evicted := stops(s.Plan(t0, t0))
	is.Equal(len(evicted), 1)
	is.Equal(evicted[0].Instance.ID, galenahead.InstanceID("a"))
}
