package galenajob

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
)

// Guards against a start that is rejected because its ticket was issued for an earlier
// incarnation of the instance, which has restarted before the advisor answered.
func TestTicketOfEarlierIncarnationIsNotUsed(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a")
	s.SetQueue(Queue{Name: "q", Service: "counter", MaxAttempts: 2, RequiresAdvice: true})
	s.AddJob(t0, testJob("j", 1), 0, false)
	advise := s.Plan(t0, t0)
	is.Equal(len(advise), 1)
	is.Equal(advise[0].Kind, ActAdvise)

	later := testInstance("a")
	later.Born = 2
	s.AddInstance(t0, later)
	req, _ := s.NextPoll(t0, "a")
	s.HandlePoll(t0, "a", PollResponse{Fence: req.Fence, Clock: 1000, Born: 2, Sent: t0})
	tickets := map[galenahead.InstanceID]string{"a": "t-1"}
	s.HandleAdvice(t0, advise[0], tickets, time.Minute)
	is.Equal(len(starts(s.Plan(t0, t0))), 0)

	now := t0.Add(testParams().AdviceTimeout)
	advise = s.Plan(now, now)
	is.Equal(len(advise), 1)
	is.Equal(advise[0].Kind, ActAdvise)
	s.HandleAdvice(now, advise[0], tickets, time.Minute)
	is.Equal(len(starts(s.Plan(now, now))), 1)
}

// Guards against losing the tickets of one answer to a second one, which answers a request
// that was repeated while the first was under way.
func TestSecondAdviceKeepsTickets(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a")
	s.SetQueue(Queue{Name: "q", Service: "counter", MaxAttempts: 2, RequiresAdvice: true})
	s.AddJob(t0, testJob("j", 9), 0, false)
	first := s.Plan(t0, t0)
	now := t0.Add(testParams().AdviceTimeout)
	second := s.Plan(now, now)
	is.Equal(len(second), 1)
	tickets := map[galenahead.InstanceID]string{"a": "t-1"}
	s.HandleAdvice(now, first[0], tickets, time.Minute)
	s.HandleAdvice(now, second[0], tickets, time.Minute)
	for _, a := range s.Plan(now, now) {
		is.Equal(a.Kind, ActStart)
		is.Equal(a.Ticket, "t-1")
	}
	is.Equal(len(s.instances["a"].items), 4)
}
