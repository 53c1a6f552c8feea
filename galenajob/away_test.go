package galenajob

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
)

// awayFixture is a long-running step of two work items, of which one may be away, on two
// instances. A third one has room for either.
type awayFixture struct {
	t   *testing.T
	s   *Scheduler
	now time.Time
	// leaving is the instance whose work item is to end, other that of the other one.
	leaving, other galenahead.InstanceID
	runs           map[galenahead.InstanceID]Run
	clocks         map[galenahead.InstanceID]int64
	seq            int64
}

func awayJob() *Job {
	j := testJob("j", 2)
	step := &j.Spec.Steps[0]
	step.LongRunning, step.MaxUnavailable, step.MaxPerInstance = true, 1, 1
	return j
}

// newAwayFixture returns a fixture in which both work items serve.
func newAwayFixture(t *testing.T) *awayFixture {
	f := &awayFixture{t: t, s: newFencedScheduler(), now: t0, runs: map[galenahead.InstanceID]Run{}}
	f.s.AddJob(t0, awayJob(), 0, false)
	for _, id := range []galenahead.InstanceID{"a", "b", "c"} {
		f.s.AddInstance(t0, testInstance(string(id)))
		f.poll(id, nil)
	}
	f.start()
	return f
}

// start lets the work items that wait start and serve.
func (f *awayFixture) start() {
	for _, a := range starts(f.s.Plan(f.now, f.now)) {
		f.s.HandleOutcome(f.now, a, OutcomeDone, f.clock(), f.now)
		f.runs[a.Instance.ID] = Run{Item: a.Item, Number: a.Run, Percent: 100}
		if a.Item.Item.Index == 0 {
			f.leaving = a.Instance.ID
		} else {
			f.other = a.Instance.ID
		}
		f.list(a.Instance.ID, 100)
	}
}

// inherit replaces the scheduler by that of the next owner, which knows the registrations only.
func (f *awayFixture) inherit() {
	f.s = NewScheduler("counter", 2, testParams(), f.s.fences)
	f.s.SetQueue(Queue{Name: "q", Service: "counter", MaxAttempts: 2, Stretch: 1.6})
	for _, id := range []galenahead.InstanceID{"a", "b", "c"} {
		f.s.AddInheritedInstance(f.now, testInstance(string(id)), f.now.Add(time.Minute))
	}
	f.s.AddJob(f.now, awayJob(), time.Second, true)
}

// know lets the scheduler learn all that an earlier owner has left on an instance.
func (f *awayFixture) know(id galenahead.InstanceID) {
	f.list(id, 100)
	f.now = f.now.Add(testParams().StopTimeout)
	f.list(id, 100)
	f.list(id, 100) // the lease is renewed
}

func (f *awayFixture) clock() int64 { return 1000 + f.now.Sub(t0).Milliseconds() }

// poll polls an instance, which lists runs and ends, and returns the ends to record.
func (f *awayFixture) poll(id galenahead.InstanceID, runs []Run, ends ...End) []End {
	f.t.Helper()
	req, _ := f.s.NextPoll(f.now, id)
	return f.s.HandlePoll(f.now, id, PollResponse{
		Fence: f.s.instances[id].fence, Clock: f.clock(), Born: 1, Deadline: req.Deadline, Sent: f.now, Runs: runs, Ends: ends,
	})
}

// list polls an instance, which lists its run with the given progress.
func (f *awayFixture) list(id galenahead.InstanceID, percent int) {
	f.t.Helper()
	var runs []Run
	if r, ok := f.runs[id]; ok {
		r.Percent = percent
		runs = append(runs, r)
	}
	f.poll(id, runs)
}

// end lets the run on an instance end, and returns the ends to record.
func (f *awayFixture) end(id galenahead.InstanceID, reason EndReason) []End {
	f.t.Helper()
	r := f.runs[id]
	delete(f.runs, id)
	f.seq++
	return f.poll(id, nil, End{Sequence: f.seq, Item: r.Item, Number: r.Number, Reason: reason})
}

// wait lets time pass in which only the instance of the work item that is to end is polled.
func (f *awayFixture) wait(d time.Duration) {
	f.t.Helper()
	for end := f.now.Add(d); f.now.Before(end); f.list(f.leaving, 100) {
		f.now = f.now.Add(500 * time.Millisecond)
	}
}

// awayStates lists the states of a work item, its instance and the owner, and whether an end
// of another work item of its step counts it as away: so it must unless the owner knows that
// it serves.
var awayStates = []struct {
	name   string
	away   bool
	arrive func(f *awayFixture)
}{
	{"serves", false, func(*awayFixture) {}},
	{"starts up", true, func(f *awayFixture) { f.list(f.other, 50) }},
	{"has failed, and the record is pending", true, func(f *awayFixture) { f.end(f.other, EndFailed) }},
	{"has failed, and that is recorded", true, func(f *awayFixture) {
		f.s.ConfirmRecorded(f.now, f.other, 1, f.end(f.other, EndFailed), []bool{true})
	}},
	{"is done, and the record is pending", true, func(f *awayFixture) { f.end(f.other, EndDone) }},
	{"has lapsed", true, func(f *awayFixture) { f.end(f.other, EndLeaseExpired) }},
	{"starts again", true, func(f *awayFixture) {
		f.end(f.other, EndLeaseExpired)
		f.s.Plan(f.now, f.now)
	}},
	{"starts again, confirmed", true, func(f *awayFixture) {
		f.end(f.other, EndLeaseExpired)
		for _, a := range starts(f.s.Plan(f.now, f.now)) {
			f.s.HandleOutcome(f.now, a, OutcomeDone, f.clock(), f.now)
		}
	}},
	{"serves again", false, func(f *awayFixture) {
		f.end(f.other, EndLeaseExpired)
		f.start()
	}},
	{"is ordered to stop", true, func(f *awayFixture) {
		f.s.Drain(f.now, f.other)
		f.s.Plan(f.now, f.now)
	}},
	{"is stopping", true, func(f *awayFixture) {
		f.s.Drain(f.now, f.other)
		for _, a := range stops(f.s.Plan(f.now, f.now)) {
			f.s.HandleOutcome(f.now, a, OutcomeDone, f.clock(), f.now)
		}
	}},
	{"may have got an order to stop", true, func(f *awayFixture) {
		f.s.Drain(f.now, f.other)
		for _, a := range stops(f.s.Plan(f.now, f.now)) {
			f.s.HandleOutcome(f.now, a, OutcomeUnknown, 0, f.now)
		}
	}},
	{"is on an instance that drains", true, func(f *awayFixture) { f.s.Drain(f.now, f.other) }},
	{"is on an instance that left a call unanswered", true, func(f *awayFixture) {
		f.s.HandleNoResponse(f.other, f.now.Add(time.Millisecond))
	}},
	{"is on an instance that answers again", false, func(f *awayFixture) {
		f.s.HandleNoResponse(f.other, f.now.Add(time.Millisecond))
		f.list(f.other, 100)
	}},
	{"is on an instance whose restart a heartbeat shows", true, func(f *awayFixture) {
		in := testInstance(string(f.other))
		in.Born = 2
		f.s.AddInstance(f.now, in)
	}},
	{"is on an instance whose restart a poll shows", true, func(f *awayFixture) {
		f.s.HandlePoll(f.now, f.other, PollResponse{Fence: f.s.instances[f.other].fence, Clock: 10, Born: 2, Sent: f.now})
	}},
	{"is on an instance whose address another one has", true, func(f *awayFixture) {
		in := testInstance("d")
		in.Address = testInstance(string(f.other)).Address
		f.s.AddInstance(f.now, in)
	}},
	{"is on an instance that has left", true, func(f *awayFixture) { f.s.RemoveInstance(f.now, f.other) }},
	{"is on an instance whose lease may have expired", true, func(f *awayFixture) { f.wait(testParams().Lease) }},
	{"is on an instance whose lease holds", false, func(f *awayFixture) { f.wait(testParams().Lease - 2*time.Second) }},
	{"is not known to a new owner", true, func(f *awayFixture) {
		f.inherit()
		f.know(f.leaving)
	}},
	{"may still be stopped by an earlier owner", true, func(f *awayFixture) {
		f.inherit()
		f.know(f.leaving)
		f.list(f.other, 100)
	}},
	{"serves under a new owner", false, func(f *awayFixture) {
		f.inherit()
		f.know(f.leaving)
		f.know(f.other)
	}},
}

// Guards against an order that ends a work item although as many others of its step as may
// be away are not at work, in any state that the owner can't tell from that.
func TestEvictionCountsAllThatMayBeAway(t *testing.T) {
	for _, state := range awayStates {
		t.Run(state.name, func(t *testing.T) {
			is := is.New(t)
			f := newAwayFixture(t)
			state.arrive(f)
			spare := galenahead.InstanceID("e")
			f.s.AddInstance(f.now, testInstance(string(spare)))
			f.poll(spare, nil)
			f.s.SetEvacuating(f.now, f.leaving, true)
			ended := 0
			for _, a := range stops(f.s.Plan(f.now, f.now)) {
				if a.Instance.ID == f.leaving {
					ended++
				}
			}
			is.Equal(ended == 0, state.away)
		})
	}
}

// Guards against two work items of a step that are ended at once, in one plan or in two,
// before and after a change of owner.
func TestEvictionsOfAStepFollowEachOther(t *testing.T) {
	for _, inherited := range []bool{false, true} {
		is := is.New(t)
		f := newAwayFixture(t)
		if inherited {
			f.inherit()
			for _, id := range []galenahead.InstanceID{"a", "b", "c"} {
				f.know(id)
			}
		}
		f.s.SetEvacuating(f.now, f.leaving, true)
		f.s.SetEvacuating(f.now, f.other, true)
		first := stops(f.s.Plan(f.now, f.now))
		is.Equal(len(first), 1)
		f.s.HandleOutcome(f.now, first[0], OutcomeDone, f.clock(), f.now)
		is.Equal(len(stops(f.s.Plan(f.now, f.now))), 0) // it has not ended yet
		f.end(first[0].Instance.ID, EndStopped)
		again := f.s.Plan(f.now, f.now)
		is.Equal(len(stops(again)), 0)
		is.Equal(len(starts(again)), 1)
		start := starts(again)[0]
		f.s.HandleOutcome(f.now, start, OutcomeDone, f.clock(), f.now)
		is.Equal(len(stops(f.s.Plan(f.now, f.now))), 0) // it does not serve yet
		f.runs[start.Instance.ID] = Run{Item: start.Item, Number: start.Run}
		f.list(start.Instance.ID, 100)
		spare := galenahead.InstanceID("e")
		f.s.AddInstance(f.now, testInstance(string(spare)))
		f.poll(spare, nil)
		second := stops(f.s.Plan(f.now, f.now))
		is.Equal(len(second), 1)
		is.True(second[0].Item != first[0].Item)
	}
}

// Guards against a new owner that stops the run which serves, because an end of an earlier
// run of its work item waits for its record.
func TestLaterRunIsNotStrayWhileAnEndIsRecorded(t *testing.T) {
	is := is.New(t)
	f := newAwayFixture(t)
	f.inherit()
	serving := f.runs[f.other]
	spare := galenahead.InstanceID("c")
	failed := f.poll(spare, nil, End{Sequence: 1, Item: serving.Item, Number: serving.Number - 1, Reason: EndFailed})
	is.Equal(len(failed), 1)
	f.list(f.other, 100)
	is.Equal(len(stops(f.s.Plan(f.now, f.now))), 0)
	f.s.ConfirmRecorded(f.now, spare, 1, failed, []bool{false})
	f.know(f.other)
	is.Equal(len(f.s.Plan(f.now, f.now)), 0)
	is.True(f.s.instances[f.other].items[serving.Item] != nil) // it is adopted

	// A run that is not later than the end is a stray one.
	f = newAwayFixture(t)
	f.inherit()
	serving = f.runs[f.other]
	f.poll(spare, nil, End{Sequence: 1, Item: serving.Item, Number: serving.Number + 1, Reason: EndFailed})
	f.list(f.other, 100)
	is.Equal(len(stops(f.s.Plan(f.now, f.now))), 1)
}

// Guards against the stop of a start without an answer, on an instance that leaves, while
// another work item of its step is away: the run may serve by then.
func TestUncertainStartIsNotStoppedBeyondTheLimit(t *testing.T) {
	is := is.New(t)
	f := newAwayFixture(t)
	f.end(f.leaving, EndLeaseExpired)
	start := starts(f.s.Plan(f.now, f.now))[0]
	f.s.HandleOutcome(f.now, start, OutcomeUnknown, 0, f.now)
	f.list(f.other, 50)
	f.s.SetEvacuating(f.now, start.Instance.ID, true)
	for range 20 {
		f.now = f.now.Add(testParams().ResendInterval)
		is.Equal(len(stops(f.s.Plan(f.now, f.now))), 0)
	}
	f.list(f.other, 100)
	f.s.AddInstance(f.now, testInstance("e"))
	f.poll("e", nil)
	f.poll(start.Instance.ID, nil) // the instance answers, and may yet carry the start out
	f.now = f.now.Add(testParams().ResendInterval)
	is.Equal(len(stops(f.s.Plan(f.now, f.now))), 1)
}

// Guards against a stop that got no answer, of a start that was refused after one without an
// answer, and that is sent again when another work item of its step is away.
func TestStopOfRefusedStartAsksLimitAgain(t *testing.T) {
	is := is.New(t)
	f := newAwayFixture(t)
	f.end(f.leaving, EndLeaseExpired)
	start := starts(f.s.Plan(f.now, f.now))[0]
	f.s.HandleOutcome(f.now, start, OutcomeUnknown, 0, f.now)
	f.now = f.now.Add(testParams().ResendInterval)
	again := starts(f.s.Plan(f.now, f.now))
	is.Equal(len(again), 1)
	f.s.HandleOutcome(f.now, again[0], OutcomeNoRoom, f.clock(), f.now)
	stop := stops(f.s.Plan(f.now, f.now))
	is.Equal(len(stop), 1) // the first attempt may still be carried out
	f.s.HandleOutcome(f.now, stop[0], OutcomeUnknown, 0, f.now)
	f.list(f.other, 50)
	f.now = f.now.Add(testParams().ResendInterval)
	is.Equal(len(stops(f.s.Plan(f.now, f.now))), 0)
}
