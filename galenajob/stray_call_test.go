package galenajob

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against work that runs twice because an incarnation of an instance holds a longer
// lease than the owner knows: it has executed a call to the incarnation before, whose deadline
// was on another clock, and nobody has seen an answer, or an earlier owner has.
func TestWorkOfRestartedInstanceWaitsForItsLease(t *testing.T) {
	const maxLease = 10 * time.Second
	lease := testParams().Lease
	params := testParams()
	params.MaxLease = maxLease
	// lose lets the last call to instance a end without a response.
	lose := func(s *Scheduler) { s.HandleNoResponse("a", t0.Add(time.Millisecond)) }
	tests := []struct {
		name string
		// call leaves a call to the incarnation born at 1 open, or none.
		call func(s *Scheduler, start Action)
		// owner is when the owner changes: "before" the restart is known, after the
		// incarnation is "registered", or after it is "fenced" with a record of that.
		owner string
		// holds reports that the later incarnation may hold a lease of maxLease.
		holds bool
	}{
		{"poll without a response", func(s *Scheduler, _ Action) { s.NextPoll(t0, "a"); lose(s) }, "", true},
		{"poll in flight", func(s *Scheduler, _ Action) { s.NextPoll(t0, "a") }, "", true},
		{"start without a response", func(s *Scheduler, _ Action) {
			s.AddJob(t0, testJob("k", 1), 0, false)
			s.HandleOutcome(t0, starts(s.Plan(t0, t0))[0], OutcomeUnknown, 0, t0)
		}, "", true},
		{"start in flight", func(s *Scheduler, _ Action) { s.AddJob(t0, testJob("k", 1), 0, false); s.Plan(t0, t0) }, "", true},
		{"start whose copy is lost", func(s *Scheduler, start Action) {
			s.HandleOutcome(t0.Add(-time.Second), start, OutcomeUnknown, 0, t0.Add(-time.Second))
			s.HandleOutcome(t0, start, OutcomeDone, 500_000, t0)
		}, "", true},
		{"one lost some time before", func(s *Scheduler, _ Action) { s.HandleNoResponse("a", t0.Add(-12*time.Second)) }, "", true},
		{"none open", func(*Scheduler, Action) {}, "", false},
		{"one lost long before", func(s *Scheduler, _ Action) { s.HandleNoResponse("a", t0.Add(-callMemory-time.Second)) }, "", false},
		{"one in flight, then another owner before the restart is known", func(s *Scheduler, _ Action) { s.NextPoll(t0, "a") }, "before", true},
		{"one in flight, then another owner that knows of the restart", func(s *Scheduler, _ Action) { s.NextPoll(t0, "a") }, "registered", true},
		{"one in flight, then another owner that knows of the fence", func(s *Scheduler, _ Action) { s.NextPoll(t0, "a") }, "fenced", true},
		{"none open, then another owner that knows of the fence", func(*Scheduler, Action) {}, "fenced", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newFencedScheduler("a")
			s.params = params
			s.Heartbeat(t0, "a", 500_000)
			s.AddJob(t0, testJob("j", 1), 0, false)
			start := starts(s.Plan(t0, t0))[0]
			s.HandleOutcome(t0, start, OutcomeDone, 500_000, t0)
			tt.call(s, start)

			in := testInstance("a")
			in.Born = 2
			next := func(in Instance, expiry time.Time) {
				s = NewScheduler("counter", 2, params, &Fences{})
				s.SetQueue(Queue{Name: "q", Service: "counter", MaxAttempts: 2, Stretch: 1.6})
				s.AddInheritedInstance(t0, in, expiry)
				s.AddJob(t0, testJob("j", 1), 0, true)
			}
			switch tt.owner {
			case "before":
				next(testInstance("a"), t0.Add(lease*103/100))
				s.AddInstance(t0, in)
			case "registered":
				next(in, t0.Add(lease*103/100))
				s.ExpectStrayCalls(t0, "a", t0)
			default:
				s.AddInstance(t0, in)
				s.Heartbeat(t0, "a", 20)
				s.RemoveJob(t0, "k")
				answerPoll(s, t0, "a", PollResponse{Clock: 20, Born: 2})
				fenced := s.TakeFenced()
				is.Equal(fenced, []FencedIncarnation{{"a", 2, tt.holds}})
				if tt.owner == "fenced" {
					expiry := t0.Add(lease * 103 / 100)
					if tt.holds {
						expiry = t0.Add(params.LongestLease())
					}
					next(in, expiry)
				} else {
					// What starts there now lapses with the lease that is held already.
					for _, a := range starts(s.Plan(t0, t0)) {
						s.HandleOutcome(t0, a, OutcomeDone, 21, t0)
					}
				}
			}
			// The instance is cut off from now on.
			s.AddInstance(t0, testInstance("b"))
			answerPoll(s, t0, "b", PollResponse{Clock: 1000, Born: 1})
			again := time.Duration(-1)
			for d := time.Duration(0); d < 2*maxLease && again < 0; d += 20 * time.Millisecond {
				now := t0.Add(d)
				s.Heartbeat(now, "b", 1000+d.Milliseconds())
				s.HandleNoResponse("a", now)
				for _, a := range starts(s.Plan(now, now)) {
					if a.Instance.ID == "b" {
						again = d
					}
				}
			}
			earliest, latest := lease, lease*11/10
			if tt.holds {
				earliest, latest = maxLease, maxLease*11/10
			}
			if again < earliest || again > latest {
				t.Errorf("the work starts elsewhere after %s, want %s to %s", again, earliest, latest)
			}
		})
	}
}

// Guards against work that runs twice because a call to an incarnation is executed by the second
// one after it, when the one between has refused it or has not been reached.
func TestCallOutlivesNextIncarnation(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a")
	s.params.MaxLease = 10 * time.Second
	s.AddJob(t0, testJob("j", 1), 0, false)
	start := starts(s.Plan(t0, t0))[0]
	restart(s)
	s.RemoveJob(t0, "j")
	answerPoll(s, t0, "a", PollResponse{Clock: 20, Born: 2})
	s.HandleOutcome(t0, start, OutcomeUnknown, 0, t0)
	third := testInstance("a")
	third.Born = 3
	now := t0.Add(callMemory / 2)
	s.AddInstance(now, third)
	answerPoll(s, now, "a", PollResponse{Clock: 20, Born: 3})
	is.True(!s.instances["a"].leaseExpired(now.Add(s.params.MaxLease)))
	is.Equal(s.TakeFenced(), []FencedIncarnation{{"a", 2, true}, {"a", 3, true}})
}

// Guards against work that runs twice because an incarnation has answered a start that was meant
// for the one before, unnoticed since its clock was not behind, and is cut off at once.
func TestLeaseOfUnnoticedRestart(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a")
	s.params.MaxLease = 10 * time.Second
	s.AddJob(t0, testJob("j", 1), 0, false)
	start := starts(s.Plan(t0, t0))[0]
	s.HandleOutcome(t0, start, OutcomeDone, 2000, t0.Add(time.Millisecond))
	restart(s)
	answerPoll(s, t0, "a", PollResponse{Clock: 2010, Born: 2, Runs: []Run{{Item: testItem, Number: start.Run}}})
	s.HandleNoResponse("a", t0.Add(time.Millisecond))
	inst := s.instances["a"]
	is.True(!inst.leaseExpired(t0.Add(testParams().Lease)))
	is.True(inst.leaseExpired(t0.Add(testParams().Lease * 11 / 10)))
}

// Guards against a run that starts twice, or whose end is lost, because the start was meant for
// an incarnation and the next one has executed it.
func TestStartExecutedByNextIncarnation(t *testing.T) {
	run := []Run{{Item: testItem, Number: 1001}}
	end := func(reason EndReason) []End {
		return []End{{Sequence: 1, Item: testItem, Number: 1001, Reason: reason}}
	}
	tests := []struct {
		name string
		// resp is the first answer of the next incarnation to its own poll.
		resp PollResponse
		// recorded is how many ends must be recorded, and again whether the work item starts
		// again after that.
		recorded int
		again    bool
	}{
		{"at work", PollResponse{Runs: run}, 0, false},
		{"done", PollResponse{Ends: end(EndDone)}, 1, false},
		{"failed", PollResponse{Ends: end(EndFailed)}, 1, true},
		{"lapsed", PollResponse{Ends: end(EndLeaseExpired)}, 0, true},
		{"not executed", PollResponse{}, 0, true},
	}
	for _, tt := range tests {
		for _, answered := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, answered %v", tt.name, answered), func(t *testing.T) {
				is := is.New(t)
				s := newFencedScheduler("a")
				s.params.MaxLease = 10 * time.Second
				s.Heartbeat(t0, "a", 500_000)
				s.AddJob(t0, testJob("j", 1), 0, false)
				start := starts(s.Plan(t0, t0))[0]
				if answered {
					s.HandleOutcome(t0, start, OutcomeDone, 20, t0.Add(time.Millisecond))
				}
				restart(s)
				req, ok := s.NextPoll(t0, "a")
				is.True(ok)
				is.True(req.Fence > start.Fence)
				is.Equal(req.Cursor, int64(0))
				tt.resp.Fence, tt.resp.Clock, tt.resp.Born, tt.resp.Sent = req.Fence, 25, 2, t0
				ends := s.HandlePoll(t0, "a", tt.resp)
				is.Equal(len(ends), tt.recorded)
				is.Equal(len(starts(s.Plan(t0, t0))), btoi(tt.again && tt.recorded == 0))
				s.ConfirmRecorded(t0, "a", 2, ends, []bool{true}[:len(ends)])
				later := t0.Add(testParams().RestartDelay)
				is.Equal(len(starts(s.Plan(later, later))), btoi(tt.again && tt.recorded == 1))
			})
		}
	}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
