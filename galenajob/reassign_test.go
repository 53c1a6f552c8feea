package galenajob

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
)

// Guards against jobs that stay with a service to which their queue is no longer sent, where
// they may never get room, and against a job that is handed over while a run of it is at work.
func TestJobsFollowTheirQueue(t *testing.T) {
	elsewhere := Queue{Name: "q", Service: "courier", MaxAttempts: 2, Stretch: 1.6}
	run := func(s *Scheduler) Action {
		a := starts(s.Plan(t0, t0))[0]
		s.HandleOutcome(t0, a, OutcomeDone, 1000, t0)
		return a
	}
	tests := []struct {
		name string
		// before prepares the scheduler, which has instance a and job j.
		before func(s *Scheduler)
		queue  Queue
		follow bool
	}{
		{"nothing has started", func(*Scheduler) {}, elsewhere, true},
		{"a run is at work", func(s *Scheduler) { run(s) }, elsewhere, false},
		{"a start has no answer", func(s *Scheduler) {
			a := starts(s.Plan(t0, t0))[0]
			s.HandleOutcome(t0, a, OutcomeUnknown, 0, t0)
		}, elsewhere, false},
		{"an end is being recorded", func(s *Scheduler) {
			a := run(s)
			req, _ := s.NextPoll(t0, "a")
			ends := []End{{Sequence: 1, Item: a.Item, Number: a.Run, Reason: EndDone}}
			is.New(t).Equal(len(s.HandlePoll(t0, "a", PollResponse{Fence: req.Fence, Clock: 1000, Born: 1, Sent: t0, Ends: ends})), 1)
		}, elsewhere, false},
		{"between two steps", func(s *Scheduler) {
			a := run(s)
			endRun(s, "a", a)
		}, elsewhere, true},
		{"the start was refused", func(s *Scheduler) {
			a := starts(s.Plan(t0, t0))[0]
			s.HandleOutcome(t0, a, OutcomeNoRoom, 1000, t0)
		}, elsewhere, true},
		{"the queue stays", func(*Scheduler) {}, Queue{Name: "q", Service: "counter", MaxAttempts: 2, Stretch: 2}, false},
		{"another queue changes", func(*Scheduler) {}, Queue{Name: "r", Service: "courier"}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newFencedScheduler("a")
			j := testJob("j", 1)
			j.Spec.Steps = append(j.Spec.Steps, Step{Count: 1, Need: Resources{MilliCPU: 500}, After: []int{0}})
			j.ItemsLeft++
			s.AddJob(t0, j, 0, false)
			tt.before(s)
			last := s.jobs["j"].item(ItemKey{}).run
			s.SetQueue(tt.queue)
			rs := s.TakeReassignments()
			if !tt.follow {
				is.Equal(len(rs), 0)
				return
			}
			is.Equal(len(rs), 1)
			is.Equal(rs[0].Job, galenahead.JobID("j"))
			is.Equal(rs[0].To, galenahead.ServiceName("courier"))
			is.Equal(len(s.TakeReassignments()), 0) // once
			later := t0.Add(time.Minute)
			is.Equal(len(starts(s.Plan(later, later))), 0) // nothing starts meanwhile

			to := NewScheduler("courier", 1, testParams(), s.fences)
			to.SetQueue(tt.queue)
			b := testInstance("b")
			b.Service = "courier"
			to.AddInstance(t0, b)
			answerPoll(to, t0, "b", PollResponse{Clock: 1000, Born: 1})
			to.AddReassignedJob(copyJob(j), rs[0])
			to.AddReassignedJob(copyJob(j), rs[0]) // also if it has it
			is.Equal(to.JobStarted("j"), s.JobStarted("j"))
			s.RemoveJob(t0, "j")
			is.Equal(s.CountWaiting("q"), 0)
			as := starts(to.Plan(t0, t0))
			is.Equal(len(as), 1)
			is.True(as[0].Run > last)
			is.Equal(len(to.TakeReassignments()), 0)
		})
	}
}

// endRun lets an instance list the end of a run as done, and records it.
func endRun(s *Scheduler, id galenahead.InstanceID, a Action) {
	req, _ := s.NextPoll(t0, id)
	ends := s.HandlePoll(t0, id, PollResponse{
		Fence: req.Fence, Clock: 1000, Born: 1, Sent: t0, Ends: []End{{Sequence: 1, Item: a.Item, Number: a.Run, Reason: EndDone}},
	})
	s.ConfirmRecorded(t0, id, 1, ends, []bool{true})
}

// Guards against a job that another service starts while an earlier owner's run of it may be at
// work.
func TestInheritedJobsWaitBeforeTheyFollowTheirQueue(t *testing.T) {
	is := is.New(t)
	s := NewScheduler("counter", 2, testParams(), &Fences{})
	s.SetQueue(Queue{Name: "q", Service: "courier", MaxAttempts: 2, Stretch: 1.6})
	s.AddInheritedInstance(t0, testInstance("a"), t0.Add(time.Minute))
	s.AddJob(t0, testJob("j", 1), time.Second, true)
	is.Equal(len(s.TakeReassignments()), 0)
	// The instance has a run of it.
	for _, at := range []time.Time{t0, t0.Add(time.Second)} {
		answerPoll(s, at, "a", PollResponse{Clock: 1000, Born: 1, Runs: []Run{{Item: testItem, Number: 1001}}})
	}
	is.True(s.Reconciled())
	is.Equal(len(s.TakeReassignments()), 0)
	answerPoll(s, t0.Add(2*time.Second), "a", PollResponse{
		Clock: 3000, Born: 1, Ends: []End{{Sequence: 1, Item: testItem, Number: 1001, Reason: EndStopped}},
	})
	is.Equal(len(s.TakeReassignments()), 1)
}

// Guards against one record with more jobs than fit, and against jobs left out of it for good.
func TestManyJobsFollowTheirQueue(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler()
	const jobs = 2*maxReassignments + 1
	for i := range jobs {
		s.AddJob(t0, testJob(fmt.Sprint("j", i), 1), 0, false)
	}
	s.SetQueue(Queue{Name: "q", Service: "courier"})
	seen := map[galenahead.JobID]bool{}
	for _, want := range []int{maxReassignments, maxReassignments, 1, 0} {
		rs := s.TakeReassignments()
		is.Equal(len(rs), want)
		for _, r := range rs {
			seen[r.Job] = true
		}
	}
	is.Equal(len(seen), jobs)
}
