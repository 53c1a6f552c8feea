package galenajob

import (
	"fmt"
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

// advisedScheduler returns a scheduler with n instances and a job of one work item, and a
// function that plans, answers the requests for advice as the policy tells, and returns the
// instances of the starts with the number of requests so far.
func advisedScheduler(n int, allowed func(id galenahead.InstanceID) bool) (s *Scheduler, plan func(now time.Time) (started []galenahead.InstanceID, requests int)) {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("i-%03d", i)
	}
	s = newFencedScheduler(ids...)
	s.SetQueue(Queue{Name: "q", Service: "counter", MaxAttempts: 2, RequiresAdvice: true})
	requests := 0
	return s, func(now time.Time) (started []galenahead.InstanceID, _ int) {
		for _, a := range s.Plan(now, now) {
			switch a.Kind {
			case ActStart:
				started = append(started, a.Instance.ID)
			case ActAdvise:
				requests++
				tickets := map[galenahead.InstanceID]string{}
				for _, id := range a.Candidates {
					if allowed(id) {
						tickets[id] = "t-" + string(id)
					}
				}
				s.HandleAdvice(now, a, tickets, time.Minute)
			}
		}
		return started, requests
	}
}

// Pattern: a policy that allows few of many instances. Guards against a job that never starts
// because the advisor is always asked about the same instances.
func TestAdviceIsAskedAboutAllInstances(t *testing.T) {
	is := is.New(t)
	s, plan := advisedScheduler(3*maxAdviceCandidates+5, func(id galenahead.InstanceID) bool { return id == "i-094" })
	s.AddJob(t0, testJob("j", 1), 0, false)
	var started []galenahead.InstanceID
	requests := 0
	for i := range 6 {
		started, requests = plan(t0.Add(time.Duration(i) * time.Millisecond))
		if len(started) > 0 {
			break
		}
	}
	is.Equal(started, []galenahead.InstanceID{"i-094"})
	is.Equal(requests, 4)
}

// Pattern: all instances with a ticket are busy for long. Guards against work that waits for
// them while others that the policy allows are idle and were never named to the advisor.
func TestAdviceOnMoreInstancesWhileTicketsHaveNoRoom(t *testing.T) {
	is := is.New(t)
	s, plan := advisedScheduler(2*maxAdviceCandidates, func(id galenahead.InstanceID) bool { return id == "i-001" || id == "i-059" })
	lasting := Step{Count: 1, Need: Resources{MilliCPU: 4000, MemoryMB: 4000}, LongRunning: true}
	two := Step{Count: 2, Need: lasting.Need, LongRunning: true}
	s.AddJob(t0, &Job{ID: "j", Queue: "q", Spec: Spec{Steps: []Step{two}}, Items: map[ItemKey]ItemRecord{}}, 0, false)
	var started []galenahead.InstanceID
	requests := 0
	for i := range 6 {
		var more []galenahead.InstanceID
		more, requests = plan(t0.Add(time.Duration(i) * time.Millisecond))
		started = append(started, more...)
	}
	is.Equal(started, []galenahead.InstanceID{"i-001", "i-059"})
	is.Equal(requests, 2) // the rest would not help while all wait for room
}

// Pattern: steps that the policy allows nowhere. Guards against their requests, which take all
// time of the advisor, so that steps after them in scheduling order are never advised; and
// against instances that register later and are not asked about for long.
func TestFruitlessAdviceIsAskedEverLessOften(t *testing.T) {
	is := is.New(t)
	s, plan := advisedScheduler(3, func(id galenahead.InstanceID) bool { return id == "late" })
	s.AddJob(t0, testJob("j", 1), 0, false)
	timeout := testParams().AdviceTimeout
	now, requests := t0, 0
	for ; now.Before(t0.Add(100 * timeout)); now = now.Add(timeout / 10) {
		for _, id := range s.Instances() {
			s.Heartbeat(now, id, 1000+now.Sub(t0).Milliseconds())
		}
		_, requests = plan(now)
	}
	is.Equal(requests, 10) // at 0, 1, 3, 7, 15, 31, 47, 63, 79 and 95 times the timeout
	s.AddInstance(now, testInstance("late"))
	req, _ := s.NextPoll(now, "late")
	s.HandlePoll(now, "late", PollResponse{Fence: req.Fence, Clock: 1000, Born: 1, Sent: now})
	plan(now.Add(timeout))
	started, _ := plan(now.Add(timeout + time.Millisecond))
	is.Equal(started, []galenahead.InstanceID{"late"})
}
