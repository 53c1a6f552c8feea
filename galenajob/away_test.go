package galenajob

import (
	"slices"
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
	seq            int64
}

var awayInstances = []galenahead.InstanceID{"a", "b", "c"}

// add registers an instance that takes work.
func (f *awayFixture) add(id galenahead.InstanceID) {
	f.s.AddInstance(f.now, testInstance(string(id)))
	f.poll(id, nil)
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
	for _, id := range awayInstances {
		f.add(id)
	}
	f.serve(starts(f.s.Plan(t0, t0)))
	return f
}

// serve confirms starts, whose work items then serve.
func (f *awayFixture) serve(started []Action) {
	for _, a := range started {
		f.s.HandleOutcome(f.now, a, OutcomeDone, f.clock(), f.now)
		f.runs[a.Instance.ID] = Run{Item: a.Item, Number: a.Run, Percent: 100}
		if f.other = a.Instance.ID; a.Item.Item.Index == 0 {
			f.leaving = f.other
		}
		f.list(a.Instance.ID, 100)
	}
}

// inherit replaces the scheduler by that of the next owner, which learns what an earlier one
// has left on some of the instances.
func (f *awayFixture) inherit(known ...galenahead.InstanceID) {
	f.s = NewScheduler("counter", 2, testParams(), f.s.fences)
	f.s.SetQueue(Queue{Name: "q", Service: "counter", MaxAttempts: 2, Stretch: 1.6})
	for _, id := range awayInstances {
		f.s.AddInheritedInstance(f.now, testInstance(string(id)), f.now.Add(time.Minute))
	}
	f.s.AddJob(f.now, awayJob(), time.Second, true)
	for _, id := range known {
		f.list(id, 100)
		f.now = f.now.Add(testParams().StopTimeout)
		f.list(id, 100)
		f.list(id, 100) // the lease is renewed
	}
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

// restartOther starts the other work item anew after its lease has expired.
func (f *awayFixture) restartOther() []Action {
	f.end(f.other, EndLeaseExpired)
	return starts(f.s.Plan(f.now, f.now))
}

// stopOther orders the other work item to stop, whose instance drains.
func (f *awayFixture) stopOther(o Outcome) {
	f.s.Drain(f.now, f.other)
	f.s.HandleOutcome(f.now, stops(f.s.Plan(f.now, f.now))[0], o, 0, f.now)
}

func (f *awayFixture) silence() { f.s.HandleNoResponse(f.other, f.now.Add(time.Millisecond)) }

// register registers an instance with the given start and address.
func (f *awayFixture) register(id galenahead.InstanceID, born int64, address string) {
	in := testInstance(string(id))
	in.Born, in.Address = born, address
	f.s.AddInstance(f.now, in)
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
	{"starts again", true, func(f *awayFixture) { f.restartOther() }},
	{"starts again, confirmed", true, func(f *awayFixture) {
		f.s.HandleOutcome(f.now, f.restartOther()[0], OutcomeDone, f.clock(), f.now)
	}},
	{"serves again", false, func(f *awayFixture) { f.serve(f.restartOther()) }},
	{"is ordered to stop", true, func(f *awayFixture) { f.stopOther(OutcomeDeferred) }},
	{"is stopping", true, func(f *awayFixture) { f.stopOther(OutcomeDone) }},
	{"may have got an order to stop", true, func(f *awayFixture) { f.stopOther(OutcomeUnknown) }},
	{"is on an instance that drains", true, func(f *awayFixture) { f.s.Drain(f.now, f.other) }},
	{"is on an instance that left a call unanswered", true, func(f *awayFixture) { f.silence() }},
	{"is on an instance that answers again", false, func(f *awayFixture) { f.silence(); f.list(f.other, 100) }},
	{"is on an instance whose restart a heartbeat shows", true, func(f *awayFixture) { f.register(f.other, 2, "new:1") }},
	{"is on an instance whose restart a poll shows", true, func(f *awayFixture) {
		f.s.HandlePoll(f.now, f.other, PollResponse{Fence: f.s.instances[f.other].fence, Clock: 10, Born: 2, Sent: f.now})
	}},
	{"is on an instance whose address another one has", true, func(f *awayFixture) { f.register("d", 1, string(f.other)+":1") }},
	{"is on an instance that has left", true, func(f *awayFixture) { f.s.RemoveInstance(f.now, f.other) }},
	{"is on an instance whose lease may have expired", true, func(f *awayFixture) { f.wait(testParams().Lease) }},
	{"is on an instance whose lease holds", false, func(f *awayFixture) { f.wait(testParams().Lease - 2*time.Second) }},
	{"is not known to a new owner", true, func(f *awayFixture) { f.inherit(f.leaving) }},
	{"may still be stopped by an earlier owner", true, func(f *awayFixture) { f.inherit(f.leaving); f.list(f.other, 100) }},
	{"serves under a new owner", false, func(f *awayFixture) { f.inherit(f.leaving, f.other) }},
}

// Guards against an order that ends a work item although as many others of its step as may
// be away are not at work, in any state that the owner can't tell from that.
func TestEvictionCountsAllThatMayBeAway(t *testing.T) {
	for _, state := range awayStates {
		t.Run(state.name, func(t *testing.T) {
			is := is.New(t)
			f := newAwayFixture(t)
			state.arrive(f)
			f.add("e")
			f.s.SetEvacuating(f.now, f.leaving, true)
			ended := slices.ContainsFunc(stops(f.s.Plan(f.now, f.now)), func(a Action) bool { return a.Instance.ID == f.leaving })
			is.Equal(ended, !state.away)
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
			f.inherit(awayInstances...)
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
		f.add("e")
		is.Equal(len(stops(f.s.Plan(f.now, f.now))), 0) // it does not serve yet
		f.serve(starts(again))
		second := stops(f.s.Plan(f.now, f.now))
		is.Equal(len(second), 1)
		is.True(second[0].Item != first[0].Item)
	}
}

// Guards against a new owner that stops the run which serves, because an end of an earlier
// run of its work item waits for its record, and against a run that is kept beside a later one.
func TestLaterRunIsNotStrayWhileAnEndIsRecorded(t *testing.T) {
	for offset, wantStops := range map[int64]int{-1: 0, 1: 1} {
		is := is.New(t)
		f := newAwayFixture(t)
		f.inherit()
		serving := f.runs[f.other]
		failed := f.poll("c", nil, End{Sequence: 1, Item: serving.Item, Number: serving.Number + offset, Reason: EndFailed})
		is.Equal(len(failed), 1)
		f.list(f.other, 100)
		is.Equal(len(stops(f.s.Plan(f.now, f.now))), wantStops)
		f.s.ConfirmRecorded(f.now, "c", 1, failed, []bool{false})
		is.Equal(f.s.instances[f.other].items[serving.Item] != nil, wantStops == 0) // it is adopted
	}
}

// uncertainStart returns a fixture with a start of the one work item that got no answer.
func uncertainStart(t *testing.T) (*awayFixture, Action) {
	f := newAwayFixture(t)
	f.end(f.leaving, EndLeaseExpired)
	start := starts(f.s.Plan(f.now, f.now))[0]
	f.s.HandleOutcome(f.now, start, OutcomeUnknown, 0, f.now)
	return f, start
}

// Guards against the stop of a start without an answer, on an instance that leaves, while
// another work item of its step is away: the run may serve by then.
func TestUncertainStartIsNotStoppedBeyondTheLimit(t *testing.T) {
	is := is.New(t)
	f, start := uncertainStart(t)
	f.list(f.other, 50)
	f.s.SetEvacuating(f.now, start.Instance.ID, true)
	for range 20 {
		f.now = f.now.Add(testParams().ResendInterval)
		is.Equal(len(stops(f.s.Plan(f.now, f.now))), 0)
	}
	f.list(f.other, 100)
	f.add("e")
	f.poll(start.Instance.ID, nil) // the instance answers, and may yet carry the start out
	f.now = f.now.Add(testParams().ResendInterval)
	is.Equal(len(stops(f.s.Plan(f.now, f.now))), 1)
}

// Guards against a stop that got no answer, of a start that was refused after one without an
// answer, and that is sent again when another work item of its step is away.
func TestStopOfRefusedStartAsksLimitAgain(t *testing.T) {
	is := is.New(t)
	f, _ := uncertainStart(t)
	f.now = f.now.Add(testParams().ResendInterval)
	again := starts(f.s.Plan(f.now, f.now))[0]
	f.s.HandleOutcome(f.now, again, OutcomeNoRoom, f.clock(), f.now)
	stop := stops(f.s.Plan(f.now, f.now))[0] // the first attempt may still be carried out
	f.s.HandleOutcome(f.now, stop, OutcomeUnknown, 0, f.now)
	f.list(f.other, 50)
	f.now = f.now.Add(testParams().ResendInterval)
	is.Equal(len(stops(f.s.Plan(f.now, f.now))), 0)
}
