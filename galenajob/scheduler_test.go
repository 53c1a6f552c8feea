package galenajob

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
)

func testParams() Params {
	return Params{
		Lease: 5 * time.Second, UnresponsiveAfter: time.Second, ResendInterval: 100 * time.Millisecond, SuspectTime: time.Second,
		RestartDelay: 50 * time.Millisecond, DrainGracePeriod: time.Second, GoneAfter: 10 * time.Second,
		StopTimeout: 200 * time.Millisecond, AdviceTimeout: 500 * time.Millisecond,
	}
}

var t0 = time.Unix(1000, 0)

func testInstance(id string) Instance {
	return Instance{
		ID: galenahead.InstanceID(id), Born: 1, Service: "counter", Address: id + ":1",
		Capacity: Resources{MilliCPU: 4000, MemoryMB: 4000},
	}
}

func testJob(id string, count int) *Job {
	return &Job{
		ID: galenahead.JobID(id), Queue: "q", Service: "counter", MaxAttempts: 2, State: StateQueued,
		Spec:  Spec{Payload: "p", Steps: []Step{{Count: count, Need: Resources{MilliCPU: 1000, MemoryMB: 1000}, Estimate: time.Second}}},
		Items: map[ItemKey]ItemRecord{}, ItemsLeft: count,
	}
}

// starts returns the start actions.
func starts(as []Action) []Action {
	var out []Action
	for _, a := range as {
		if a.Kind == ActStart {
			out = append(out, a)
		}
	}
	return out
}

// newFencedScheduler returns a scheduler with instances that have seen its fencing
// token and can get work.
func newFencedScheduler(ids ...string) *Scheduler {
	s := NewScheduler("counter", 1, testParams(), &Fences{})
	s.SetQueue(Queue{Name: "q", Service: "counter", MaxAttempts: 2, Stretch: 1.6, TargetLatency: 600 * time.Millisecond})
	for _, id := range ids {
		s.AddInstance(t0, testInstance(id))
		req, _ := s.NextPoll(t0, galenahead.InstanceID(id))
		s.HandlePoll(t0, galenahead.InstanceID(id), PollResponse{Fence: req.Fence, Clock: 1000, Born: 1, Sent: t0})
	}
	return s
}

// Guards against a second run of a work item whose first run was started by the
// previous owner and has ended, while that end is not recorded yet.
func TestEndOfEarlierOwnerKeepsItemFromStarting(t *testing.T) {
	is := is.New(t)
	s := NewScheduler("counter", 2, testParams(), &Fences{})
	s.SetQueue(Queue{Name: "q", Service: "counter", MaxAttempts: 2})
	s.AddInheritedInstance(t0, testInstance("a"), t0.Add(time.Minute))
	s.AddJob(t0, testJob("j", 1), time.Second, true)
	is.Equal(len(starts(s.Plan(t0, t0))), 0) // the instance may run the work item

	req, ok := s.NextPoll(t0, "a")
	is.True(ok)
	end := End{Sequence: 1, Item: ItemID{Job: "j"}, Number: 1001, Reason: EndDone}
	resp := PollResponse{Fence: req.Fence, Clock: 1000, Born: 1, Sent: t0, Ends: []End{end}}
	record := s.HandlePoll(t0, "a", resp)
	is.Equal(record, []End{end})
	now := t0.Add(testParams().StopTimeout)
	resp.Sent = now
	is.Equal(len(s.HandlePoll(now, "a", resp)), 0)
	is.Equal(s.unreconciled, 0)
	is.Equal(len(starts(s.Plan(now, now))), 0) // its end is not recorded yet

	s.ConfirmRecorded(t0, "a", 1, record, []bool{true})
	is.Equal(len(starts(s.Plan(t0, t0))), 0) // it is done
	req, ok = s.NextPoll(t0, "a")
	is.True(ok)
	is.Equal(req.Cursor, int64(1)) // the instance may delete the end
}

// stops returns the stop actions.
func stops(as []Action) []Action {
	var out []Action
	for _, a := range as {
		if a.Kind == ActStop {
			out = append(out, a)
		}
	}
	return out
}

// Guards against stopping all work items of a long-running step on an instance at
// once. This happened when a call to the instance had just failed, so that none of
// them counted as serving.
func TestEvictionLimitHoldsAfterFailedCall(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a", "b")
	j := testJob("j", 4)
	j.Spec.Steps[0].LongRunning, j.Spec.Steps[0].MaxUnavailable = true, 1
	s.AddJob(t0, j, 0, false)
	for _, a := range starts(s.Plan(t0, t0)) {
		s.HandleOutcome(t0, a, OutcomeDone, 1000, t0)
	}
	req, _ := s.NextPoll(t0, "a")
	var runs []Run
	for i := range 4 {
		runs = append(runs, Run{Item: ItemID{Job: "j", Item: ItemKey{Index: i}}, Number: 1001, Percent: 100})
	}
	s.HandlePoll(t0, "a", PollResponse{Fence: req.Fence, Clock: 1000, Born: 1, Sent: t0, Runs: runs})
	s.HandleNoResponse("a", t0.Add(time.Millisecond))
	s.SetEvacuating(t0, "a", true)
	is.Equal(len(stops(s.Plan(t0.Add(2*time.Millisecond), t0))), 0)
}

// Guards against new work on an instance that is draining or evacuating.
func TestDrainingOrEvacuatingInstanceGetsNoWork(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a", "b")
	s.Drain(t0, "a")
	s.AddJob(t0, testJob("j", 8), 0, false)
	as := starts(s.Plan(t0, t0))
	is.Equal(len(as), 4) // as many as b holds
	for _, a := range as {
		is.Equal(a.Instance.ID, galenahead.InstanceID("b"))
	}
	s.SetEvacuating(t0, "b", true)
	is.Equal(len(starts(s.Plan(t0.Add(time.Second), t0))), 0)
	_, idle := s.IdleSince("b")
	is.True(!idle)
}

// Guards against long-running work that stays on a draining instance, and against
// starting it elsewhere while it may still run.
func TestLongRunningWorkLeavesDrainingInstance(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a")
	j := testJob("j", 1)
	j.Spec.Steps[0].LongRunning = true
	s.AddJob(t0, j, 0, false)
	first := starts(s.Plan(t0, t0))[0]
	s.HandleOutcome(t0, first, OutcomeDone, 1000, t0)
	s.AddInstance(t0, testInstance("b"))
	req, _ := s.NextPoll(t0, "b")
	s.HandlePoll(t0, "b", PollResponse{Fence: req.Fence, Clock: 1000, Born: 1, Sent: t0})

	s.Drain(t0, "a")
	as := s.Plan(t0, t0)
	is.Equal(len(starts(as)), 0)
	is.Equal(len(stops(as)), 1)
	s.HandleOutcome(t0, stops(as)[0], OutcomeDone, 1000, t0)
	is.Equal(len(starts(s.Plan(t0, t0))), 0) // its end is not listed yet
	req, _ = s.NextPoll(t0, "a")
	s.HandlePoll(t0, "a", PollResponse{Fence: req.Fence, Clock: 1100, Born: 1, Sent: t0, Ends: []End{{Sequence: 1, Item: first.Item, Number: first.Run, Reason: EndStopped}}})
	as = starts(s.Plan(t0, t0))
	is.Equal(len(as), 1)
	is.Equal(as[0].Instance.ID, galenahead.InstanceID("b"))
	is.True(as[0].Run > first.Run)
}

// Guards against a gang that starts without all of its members.
func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a")
	j := testJob("j", 5)
	j.Spec.Steps[0].Gang = true
	s.AddJob(t0, j, 0, false)
	is.Equal(len(starts(s.Plan(t0, t0))), 0) // room for four of five
	s.AddInstance(t0, testInstance("b"))
	req, _ := s.NextPoll(t0, "b")
	s.HandlePoll(t0, "b", PollResponse{Fence: req.Fence, Clock: 1000, Born: 1, Sent: t0})
	as := starts(s.Plan(t0, t0))
	is.Equal(len(as), 5)
	for _, a := range as {
		is.Equal(a.Run, as[0].Run)
	}
}

// Guards against occurrences that start before they are due.
func TestOccurrencesWaitForTheirTime(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a")
	j := testJob("j", 1)
	j.Spec.Repetitions, j.Spec.StartAt, j.Spec.Interval = 2, t0.Add(time.Second), time.Second
	s.AddJob(t0, j, 0, false)
	is.Equal(len(starts(s.Plan(t0, t0))), 0)
	as := starts(s.Plan(t0, t0.Add(1100*time.Millisecond)))
	is.Equal(len(as), 1)
	is.Equal(as[0].Item.Item.Occurrence, 0)
	is.Equal(starts(s.Plan(t0, t0.Add(2*time.Second)))[0].Item.Item.Occurrence, 1)
}

// Guards against starts without the advisor's ticket.
func TestAdvisedQueueStartsWithTickets(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a", "b")
	s.SetQueue(Queue{Name: "q", Service: "counter", MaxAttempts: 2, RequiresAdvice: true})
	s.AddJob(t0, testJob("j", 1), 0, false)
	as := s.Plan(t0, t0)
	is.Equal(len(as), 1)
	is.Equal(as[0].Kind, ActAdvise)
	is.Equal(len(as[0].Candidates), 2)
	s.HandleAdvice(t0, as[0], map[galenahead.InstanceID]string{"b": "t-1"}, time.Second)
	as = starts(s.Plan(t0, t0))
	is.Equal(len(as), 1)
	is.Equal(as[0].Instance.ID, galenahead.InstanceID("b"))
	is.Equal(as[0].Ticket, "t-1")
}

// Guards against best-effort work that keeps the tail latency of a serving work
// item on the same instance over its target.
func TestBestEffortWorkIsSlowedDown(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a")
	j := testJob("j", 1)
	j.Spec.Steps[0].LongRunning, j.Spec.Steps[0].TargetLatency = true, 100*time.Millisecond
	j.Spec.Steps = append(j.Spec.Steps, Step{Count: 1, Need: Resources{MilliCPU: 1000}, LongRunning: true, Filling: true})
	s.AddJob(t0, j, 0, false)
	as := starts(s.Plan(t0, t0))
	is.Equal(len(as), 2)
	var runs []Run
	for _, a := range as {
		s.HandleOutcome(t0, a, OutcomeDone, 1000, t0)
		r := Run{Item: a.Item, Number: a.Run, Percent: 100}
		if a.Item.Item.Step == 0 {
			r.Usage = 150
		}
		runs = append(runs, r)
	}
	now := t0.Add(time.Second)
	req, _ := s.NextPoll(now, "a")
	s.HandlePoll(now, "a", PollResponse{Fence: req.Fence, Clock: 2000, Born: 1, Sent: now, Runs: runs})
	as = s.Plan(now, t0)
	is.Equal(len(as), 1)
	is.Equal(as[0].Kind, ActPace)
	is.Equal(as[0].Item.Item.Step, 1)
	is.Equal(as[0].Percent, 0)
}

// Guards against an instance that counts as unresponsive, and against a work item that
// waits for it, after commands that this process could not send.
func TestDeferredCommandsSayNothingOfInstance(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a")
	s.AddJob(t0, testJob("j", 2), 0, false)
	first := starts(s.Plan(t0, t0))
	is.Equal(len(first), 2)
	now := t0
	for range 20 {
		for _, a := range first {
			s.HandleOutcome(now, a, OutcomeDeferred, 0, now)
		}
		now = now.Add(s.params.ResendInterval)
		first = starts(s.Plan(now, now))
		is.Equal(len(first), 2) // nothing was sent, so the items may start
	}
	is.True(!s.unresponsive(now, s.instances["a"]))
	for _, a := range first {
		s.HandleOutcome(now, a, OutcomeDone, 1000, now)
	}
	is.Equal(len(starts(s.Plan(now, now))), 0)
}

// Guards against an owner that starts everything at once when the leases of an earlier
// owner have expired, and then answers nothing else in time. Also guards against work
// that stays behind after such a start.
func TestInheritedBacklogStartsInSteps(t *testing.T) {
	is := is.New(t)
	const limit, jobs, items = 8, 20, 4
	p := testParams()
	p.MaxStarting = limit
	s := NewScheduler("counter", 2, p, &Fences{})
	s.SetQueue(Queue{Name: "q", Service: "counter", MaxAttempts: 2})
	expiry := t0.Add(p.Lease)
	for i := range jobs {
		s.AddInheritedInstance(t0, testInstance(fmt.Sprint("i", i)), expiry)
		s.AddJob(t0, testJob(fmt.Sprint("j", i), items), time.Second, true)
	}
	for i := range jobs - 1 {
		id := galenahead.InstanceID(fmt.Sprint("i", i))
		req, _ := s.NextPoll(t0, id)
		s.HandlePoll(t0, id, PollResponse{Fence: req.Fence, Clock: 1000, Born: 1, Sent: t0})
	}
	is.Equal(len(starts(s.Plan(t0, t0))), 0) // one instance has not answered
	now := expiry.Add(time.Millisecond)
	started := 0
	for _, a := range starts(s.Plan(now, now)) {
		started++
		s.HandleOutcome(now, a, OutcomeDone, 1000, now)
	}
	is.Equal(started, limit)
	for range jobs * items / limit {
		now = now.Add(time.Millisecond)
		batch := starts(s.Plan(now, now))
		is.True(len(batch) <= limit)
		for _, a := range batch {
			started++
			s.HandleOutcome(now, a, OutcomeDone, 1000, now)
		}
	}
	is.Equal(started, (jobs-1)*items) // all that the instances which answered have room for
}

// Guards against work that waits although there is room, because larger work that was
// planned before it has found none.
func TestSmallWorkStartsBesideWorkThatIsTooLarge(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a")
	large, small, labelled := testJob("large", 1), testJob("small", 1), testJob("labelled", 1)
	large.Spec.Steps[0].Need.MilliCPU = 5000
	large.Spec.Steps[0].Estimate = time.Millisecond // so that it is planned first
	labelled.Spec.Steps[0].Label = "other-kind"
	labelled.Spec.Steps[0].Estimate = 2 * time.Millisecond
	for _, j := range []*Job{large, small, labelled} {
		s.AddJob(t0, j, 0, false)
	}
	as := starts(s.Plan(t0, t0))
	is.Equal(len(as), 1)
	is.Equal(as[0].Item.Job, galenahead.JobID("small"))
}

// Guards against a lease that expires on a healthy instance after one late poll, because
// the next one renews nothing and waits for an end.
func TestPollAfterMissedOneDoesNotWait(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a")
	s.AddJob(t0, testJob("j", 1), 0, false)
	for _, a := range starts(s.Plan(t0, t0)) {
		s.HandleOutcome(t0, a, OutcomeDone, 1000, t0)
	}
	req, _ := s.NextPoll(t0, "a")
	is.True(req.MayWait)
	now := t0.Add(s.params.UnresponsiveAfter + 700*time.Millisecond)
	s.HandleNoResponse("a", t0.Add(time.Millisecond))
	req, _ = s.NextPoll(now, "a")
	is.True(!req.MayWait)
	is.Equal(req.Deadline, int64(0))
	s.HandlePoll(now, "a", PollResponse{Fence: req.Fence, Clock: 2700, Born: 1, Sent: now, Runs: []Run{{Item: ItemID{Job: "j"}, Number: 1001}}})
	req, _ = s.NextPoll(now, "a")
	is.True(req.MayWait)
	is.True(req.Deadline > 0)
}

// Guards against a delayed command to an earlier life of an instance that its present
// life accepts, because the instance was removed in between and registered again, with
// the same service or another one.
func TestReturningInstanceGetsHigherFence(t *testing.T) {
	is := is.New(t)
	fences := &Fences{}
	s := NewScheduler("counter", 1, testParams(), fences)
	other := NewScheduler("courier", 1, testParams(), fences)
	fence := func(s *Scheduler, born int64) int64 {
		in := testInstance("a")
		in.Born = born
		s.AddInstance(t0, in)
		req, ok := s.NextPoll(t0, "a")
		is.True(ok)
		return req.Fence
	}
	first := fence(s, 1)
	s.RemoveInstance(t0, "a")
	second := fence(s, 2)
	is.True(second > first)
	third := fence(s, 3) // without a removal in between
	is.True(third > second)
	s.RemoveInstance(t0, "a")
	fourth := fence(other, 4)
	is.True(fourth > third)
	is.True(fourth < 2*incarnationsPerEpoch) // a later owner's tokens are higher
}

// Guards against a lease that outlives the wait of the next owner, because the estimate
// of a slow clock runs ahead of it for as long as the session lasts.
func TestLeaseOnSlowClockIsNoLongerThanRequested(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a")
	s.AddJob(t0, testJob("j", 1), 0, false)
	for _, a := range starts(s.Plan(t0, t0)) {
		s.HandleOutcome(t0, a, OutcomeDone, 1000, t0)
	}
	const rate, latency = 0.98, 3 * time.Millisecond
	clock := func(now time.Time) int64 { return 1000 + int64(rate*float64(now.Sub(t0).Milliseconds())) }
	shortest, longest := s.params.Lease, time.Duration(0)
	for i := range 300 {
		now := t0.Add(time.Duration(i+1) * time.Second)
		req, ok := s.NextPoll(now, "a")
		is.True(ok)
		lease := time.Duration(req.Deadline-clock(now)) * time.Millisecond
		shortest, longest = min(shortest, lease), max(longest, lease)
		s.HandlePoll(now.Add(latency), "a", PollResponse{
			Fence: req.Fence, Clock: clock(now), Born: 1, Sent: now, Runs: []Run{{Item: ItemID{Job: "j"}, Number: 1001}},
		})
	}
	t.Logf("leases of %v to %v", shortest, longest)
	is.True(longest <= s.params.Lease)
	is.True(shortest >= s.params.Lease-100*time.Millisecond)
}

// Guards against a service that starts nothing on its live instances while starts to
// silent ones wait for a result.
func TestSilentInstancesDoNotBlockStarts(t *testing.T) {
	is := is.New(t)
	const silent, live, perInstance = 40, 20, 4
	const commandTimeout = 600 * time.Millisecond
	p := testParams()
	p.MaxStarting, p.ResendInterval = 32, 150*time.Millisecond
	s := NewScheduler("counter", 1, p, &Fences{})
	s.SetQueue(Queue{Name: "q", Service: "counter", MaxAttempts: 2})
	isSilent := map[galenahead.InstanceID]bool{}
	for i := range silent + live {
		in := testInstance(fmt.Sprintf("i%02d", i))
		isSilent[in.ID] = i < silent
		s.AddInstance(t0, in)
		req, _ := s.NextPoll(t0, in.ID)
		s.HandlePoll(t0, in.ID, PollResponse{Fence: req.Fence, Clock: 1000, Born: 1, Sent: t0})
		s.AddJob(t0, testJob(fmt.Sprint("j", i), perInstance), 0, false)
	}
	type call struct {
		action Action
		sent   time.Time
	}
	var calls []call
	started, mostInFlight := 0, 0
	for now := t0; now.Before(t0.Add(time.Second)); now = now.Add(10 * time.Millisecond) {
		inFlight := calls[:0]
		for _, c := range calls {
			switch {
			case !isSilent[c.action.Instance.ID]:
				s.HandleOutcome(now, c.action, OutcomeDone, 1000+now.Sub(t0).Milliseconds(), c.sent)
				started++
			case now.Sub(c.sent) >= commandTimeout:
				s.HandleOutcome(now, c.action, OutcomeUnknown, 0, c.sent)
			default:
				inFlight = append(inFlight, c)
			}
		}
		calls = inFlight
		for _, a := range starts(s.Plan(now, now)) {
			calls = append(calls, call{a, now})
		}
		mostInFlight = max(mostInFlight, len(calls))
	}
	is.Equal(started, live*perInstance)
	is.True(mostInFlight <= p.MaxStarting*int(1+commandTimeout/p.ResendInterval))
}

// Guards against a silent instance that is never found, and keeps its work, because
// commands that could not be sent to it count as responses.
func TestDeferredCommandsDoNotHideSilentInstance(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a")
	s.AddJob(t0, testJob("j", 2), 0, false)
	as := starts(s.Plan(t0, t0))
	is.Equal(len(as), 2)
	now := t0.Add(time.Millisecond)
	s.HandleOutcome(now, as[0], OutcomeUnknown, 0, now)
	s.HandleOutcome(now.Add(time.Millisecond), as[1], OutcomeDeferred, 0, now)
	is.True(s.unresponsive(now.Add(s.params.UnresponsiveAfter+time.Millisecond), s.instances["a"]))
}

// Guards against runs that are carried out after they were given up without anything in
// the log that says so.
func TestLateRunIsReportedOnce(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a")
	s.AddJob(t0, testJob("j", 1), 0, false)
	poll := func(runs []Run, ends []End) []LateRun {
		req, ok := s.NextPoll(t0, "a")
		is.True(ok)
		s.HandlePoll(t0, "a", PollResponse{Fence: req.Fence, Clock: 1000, Born: 1, Sent: t0, Runs: runs, Ends: ends})
		return s.TakeLateRuns()
	}
	start := starts(s.Plan(t0, t0))[0]
	s.HandleOutcome(t0, start, OutcomeDone, 1000, t0)
	late := ItemID{Job: "j", Item: ItemKey{Index: 7}}
	is.Equal(poll([]Run{{Item: start.Item, Number: start.Run}, {Item: late, Number: 900}}, nil), nil) // an earlier owner's
	is.Equal(poll([]Run{{Item: late, Number: 1001}}, nil), []LateRun{{"a", late, 1001, ""}})
	is.Equal(poll([]Run{{Item: late, Number: 1001}}, nil), nil)
	is.Equal(poll(nil, []End{{Sequence: 1, Item: late, Number: 1001, Reason: EndDone}}), nil)
	is.Equal(poll(nil, []End{{Sequence: 2, Item: late, Number: 1002, Reason: EndDone}}), []LateRun{{"a", late, 1002, EndDone}})
	is.Equal(poll(nil, []End{{Sequence: 3, Item: start.Item, Number: start.Run, Reason: EndDone}}), nil)
}
