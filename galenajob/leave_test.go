package galenajob

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
)

// Guards against work that starts elsewhere while the instance that has it may still run it.
// Each row is one way to learn that an instance ends, and tells when its work may start again.
func TestWorkOfEndingInstanceStartsAgain(t *testing.T) {
	const atOnce = 100 * time.Millisecond
	lease := testParams().Lease
	silent := func(*testing.T, *Scheduler, time.Time) {}
	tests := []struct {
		name string
		// says tells the scheduler that instance a ends, and answer lets that answer a poll.
		says   func(s *Scheduler)
		answer func(t *testing.T, s *Scheduler, now time.Time)
		// inherited makes the work that of an earlier owner.
		inherited bool
		// earliest and latest bound the next start.
		earliest, latest time.Duration
	}{
		{"it has left and does not answer", func(s *Scheduler) { s.Leave(t0, "a") }, silent, false, lease, lease * 11 / 10},
		{"it has left, which an earlier owner recorded", func(s *Scheduler) { s.Leave(t0, "a") }, silent, true, lease * 103 / 100, lease * 11 / 10},
		{"it has left and still runs the work", func(s *Scheduler) { s.Leave(t0, "a") }, answerRunning, false, lease, lease * 11 / 10},
		{"it has left, which an earlier owner recorded, and still runs the work", func(s *Scheduler) { s.Leave(t0, "a") }, answerRunning, true, lease * 103 / 100, lease * 11 / 10},
		{"it has left and has stopped the work", func(s *Scheduler) { s.Leave(t0, "a") }, answerStopped, false, 0, time.Second},
		{"it has left, which an earlier owner recorded, and has stopped the work", func(s *Scheduler) { s.Leave(t0, "a") }, answerStopped, true, 0, time.Second},
		{"a later incarnation has registered and answered", func(s *Scheduler) { restart(s) }, answerEmpty, false, 0, atOnce},
		{"it has left, then a later incarnation has registered and answered", func(s *Scheduler) { s.Leave(t0, "a"); restart(s) }, answerEmpty, false, 0, atOnce},
		{"it is silent", func(*Scheduler) {}, silent, false, lease, lease * 11 / 10},
		{"its machine was moved", func(s *Scheduler) { s.RemoveInstance(t0, "a") }, silent, false, 0, atOnce},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newFencedScheduler("a")
			s.Heartbeat(t0, "a", 1000)
			s.AddJob(t0, testJob("j", 1), 0, false)
			start := starts(s.Plan(t0, t0))[0]
			if tt.inherited {
				s = NewScheduler("counter", 2, testParams(), &Fences{})
				s.SetQueue(Queue{Name: "q", Service: "counter", MaxAttempts: 2, Stretch: 1.6})
				s.AddInheritedInstance(t0, testInstance("a"), t0.Add(lease*103/100))
				s.AddJob(t0, testJob("j", 1), 0, true)
			} else {
				s.HandleOutcome(t0, start, OutcomeDone, 1000, t0)
			}
			tt.says(s)
			b := testInstance("b")
			s.AddInstance(t0, b)
			answerPoll(s, t0, "b", PollResponse{Clock: 1000, Born: 1})

			startedAt := time.Duration(-1)
			for d := time.Duration(0); d < 2*lease && startedAt < 0; d += 20 * time.Millisecond {
				now := t0.Add(d)
				s.Heartbeat(now, "b", 1000+d.Milliseconds())
				s.HandleNoResponse("a", t0.Add(time.Millisecond))
				tt.answer(t, s, now)
				if len(starts(s.Plan(now, now))) > 0 {
					startedAt = d
				}
				for _, id := range s.TakeGone() {
					s.RemoveInstance(now, id)
				}
			}
			if startedAt < tt.earliest || startedAt > tt.latest {
				t.Errorf("the work starts again after %s, want from %s to %s", startedAt, tt.earliest, tt.latest)
			}
			is.True(s.instances["a"] == nil || !s.instances["a"].leaving)
		})
	}
}

// answerPoll answers the next poll of an instance.
func answerPoll(s *Scheduler, now time.Time, id galenahead.InstanceID, resp PollResponse) PollRequest {
	req, ok := s.NextPoll(now, id)
	if !ok {
		return req
	}
	resp.Fence, resp.Cursor, resp.Deadline, resp.Sent = req.Fence, req.Cursor, req.Deadline, now
	ends := s.HandlePoll(now, id, resp)
	s.ConfirmRecorded(now, id, resp.Born, ends, make([]bool, len(ends)))
	return req
}

var testItem = ItemID{Job: "j"}

// answerRunning lets instance a answer that it runs the work.
func answerRunning(t *testing.T, s *Scheduler, now time.Time) {
	req := answerPoll(s, now, "a", PollResponse{
		Clock: 1000 + now.Sub(t0).Milliseconds(), Born: 1, Runs: []Run{{Item: testItem, Number: 1001}},
	})
	if s.instances["a"] != nil && s.instances["a"].leaving && req.Deadline != 0 {
		t.Fatal("the lease of an instance that has left is renewed")
	}
}

// answerStopped lets instance a answer that it has stopped the work.
func answerStopped(_ *testing.T, s *Scheduler, now time.Time) {
	answerPoll(s, now, "a", PollResponse{
		Clock: 1000 + now.Sub(t0).Milliseconds(), Born: 1, Ends: []End{{Sequence: 1, Item: testItem, Number: 1001, Reason: EndStopped}},
	})
}

// answerEmpty lets the later incarnation of instance a answer that it runs nothing.
func answerEmpty(_ *testing.T, s *Scheduler, now time.Time) {
	answerPoll(s, now, "a", PollResponse{Clock: 20 + now.Sub(t0).Milliseconds(), Born: 2})
}

// Guards against work that goes on, or starts, on an instance that has left, and against a
// lease that is renewed there.
func TestLeavingInstanceStopsItsWork(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a")
	s.AddJob(t0, testJob("j", 2), 0, false)
	for _, a := range starts(s.Plan(t0, t0)) {
		s.HandleOutcome(t0, a, OutcomeDone, 1000, t0)
	}
	is.Equal(s.Leave(t0, "a"), 2)
	s.AddJob(t0, testJob("k", 1), 0, false)
	as := s.Plan(t0, t0)
	is.Equal(len(starts(as)), 0)
	stops := slices.DeleteFunc(as, func(a Action) bool { return a.Kind != ActStop })
	is.Equal(len(stops), 2)
	req, ok := s.NextPoll(t0, "a")
	is.True(ok)
	is.Equal(req.Deadline, int64(0))
	_, idle := s.IdleSince("a")
	is.True(!idle)
	is.Equal(len(s.TakeGone()), 0)
}
