package galenajob

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against work that is sent to an idle instance which has crashed seconds before, and then waits
// until nothing can come of the start any more. Nothing else asks for a sign of life of an idle
// instance before it is given up.
func TestSilentIdleInstanceGetsNoWork(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a", "b")
	s.params.GoneAfter = 6 * time.Second
	polled := false
	now := t0
	for now.Before(t0.Add(4 * time.Second)) { // a has crashed, b sends heartbeats
		now = now.Add(100 * time.Millisecond)
		if now.Sub(t0)%(1500*time.Millisecond) == 0 {
			s.Heartbeat(now, "b", 1000+now.Sub(t0).Milliseconds())
		}
		is.Equal(len(s.Plan(now, now)), 0)
		for _, id := range s.TakeOverdue() {
			is.Equal(string(id), "a")
		}
		_, ok := s.NextPoll(now, "b")
		is.True(!ok)
		if _, ok := s.NextPoll(now, "a"); ok {
			polled = true
			s.HandleNoResponse("a", now)
		}
	}
	is.True(polled)
	s.AddJob(now, testJob("j", 1), 0, false)
	as := starts(s.Plan(now, now))
	is.Equal(len(as), 1)
	is.Equal(string(as[0].Instance.ID), "b") // a is the first in order
	// It gets work again once it answers.
	req, ok := s.NextPoll(now, "a")
	is.True(ok)
	s.HandlePoll(now, "a", PollResponse{Fence: req.Fence, Clock: 9000, Born: 1, Sent: now})
	_, ok = s.NextPoll(now, "a")
	is.True(!ok)
}

// Guards against an owner that polls all idle instances at once when no heartbeats arrive.
func TestFewOverdueInstancesArePolledAtOnce(t *testing.T) {
	is := is.New(t)
	ids := make([]string, 3*maxOverduePerPlan)
	for i := range ids {
		ids[i] = fmt.Sprint("i", i)
	}
	s := newFencedScheduler(ids...)
	now := t0
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		s.Plan(now, now)
	}
	is.Equal(len(s.TakeOverdue()), 0)
	now = now.Add(time.Second)
	found := 0
	for range 3 {
		s.Plan(now, now)
		overdue := s.TakeOverdue()
		is.Equal(len(overdue), maxOverduePerPlan)
		found += len(overdue)
	}
	is.Equal(found, len(ids))
}
