package galenafleet

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
	"github.com/galenahead/galenahead/galenatimer"
)

// lateStarts let an instance leave its first start unanswered, and execute it in whatever
// incarnation there is by then.
type lateStarts struct {
	*stoppableInstances
	late galenahead.InstanceID
	// after is how much later the start is executed.
	after time.Duration
	taken atomic.Bool
	// arrived is closed when the start has arrived.
	arrived chan struct{}
}

func (f *lateStarts) Start(ctx context.Context, a galenajob.Action, limit time.Duration) (galenajob.Outcome, int64, error) {
	if a.Instance.ID != f.late || f.taken.Swap(true) {
		return f.stoppableInstances.Start(ctx, a, limit)
	}
	close(f.arrived)
	go f.run(a)
	time.Sleep(limit)
	return galenajob.OutcomeUnknown, 0, errCutOff
}

// run executes the start, also if the instance is cut off.
func (f *lateStarts) run(a galenajob.Action) {
	time.Sleep(f.after)
	f.mu.Lock()
	cutOff := f.cutOff[a.Instance.ID]
	f.cutOff[a.Instance.ID] = false
	f.mu.Unlock()
	_, _, _ = f.stoppableInstances.Start(context.Background(), a, 0)
	f.setCutOff(a.Instance.ID, cutOff)
}

// Guards against work that runs twice because an instance that has started again behind a cut
// executes a start that was meant for its earlier life, while another instance gets the work
// item as soon as the lease of the earlier life has expired, also from another owner, and from one
// that follows an owner which is told to end before it has recorded the start.
func TestStrayStartRunsOnce(t *testing.T) {
	const never = -1
	for _, owner := range []time.Duration{never, 60 * time.Millisecond, 100 * time.Millisecond, 600 * time.Millisecond, 3 * time.Second} {
		for _, after := range []time.Duration{2500 * time.Millisecond, 11 * time.Second} {
			name := fmt.Sprintf("executed after %s, another owner after %s", after, owner)
			if owner == never {
				name = fmt.Sprintf("executed after %s, one owner", after)
			}
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					o, log := testOwner()
					o.Params.MaxLease = longestLease
					log.delay.Store(int64(5 * time.Millisecond))
					f := &lateStarts{stoppableInstances: newStoppableInstances(), late: "i", after: after, arrived: make(chan struct{})}
					o.Instances = f
					ctx, stop := startOwner(t, o, testConfig)
					sequence := int64(0)
					heartbeat := func(id galenahead.InstanceID) {
						sequence++
						hb := testHeartbeat
						hb.Sequence, hb.Clock, hb.Instance.ID, hb.Instance.Address, hb.Instance.Born = sequence, f.clock(id), id, string(id)+":1", 1
						_, err := o.Heartbeat(ctx, hb)
						is.NoErr(err)
					}
					heartbeat("i")
					_, err := o.Do(ctx, Request{Kind: RequestSubmit, Host: "h", Path: "/q/j", Spec: &galenajob.Spec{Steps: []galenajob.Step{{Count: 1, LongRunning: true}}}})
					is.NoErr(err)
					<-f.arrived
					time.Sleep(50 * time.Millisecond)
					f.setCutOff("i", true)
					f.restart("i", 2)
					if owner != never {
						time.Sleep(owner - 50*time.Millisecond)
						is.NoErr(o.PrepareHandover(ctx))
						stop()
						next, nextLog := testOwner()
						next.Instances, next.State, next.Params.MaxLease = f, o.State, longestLease
						nextLog.state = o.State
						ctx, stop = startOwner(t, next, testConfig)
						o = next
					}
					for range 80 {
						heartbeat("i2")
						time.Sleep(500 * time.Millisecond)
					}
					stop()
					time.Sleep(time.Second)
					f.mu.Lock()
					defer f.mu.Unlock()
					is.Equal(f.twice, nil)
					is.Equal(len(f.runs["i2"]), 1) // it waits no longer than it has to
				})
			})
		}
	}
}

// endedInstances let an instance end while it is sent its first start. All later calls to it have
// the outcome and the error.
type endedInstances struct {
	*stoppableInstances
	ended   galenahead.InstanceID
	taken   atomic.Bool
	outcome galenajob.Outcome
	err     error
}

func (f *endedInstances) Start(ctx context.Context, a galenajob.Action, limit time.Duration) (galenajob.Outcome, int64, error) {
	switch {
	case a.Instance.ID != f.ended:
		return f.stoppableInstances.Start(ctx, a, limit)
	case f.taken.Swap(true):
		return f.outcome, 0, f.err
	}
	return galenajob.OutcomeUnknown, 0, errCutOff
}

func (f *endedInstances) RenewAndPoll(ctx context.Context, req galenajob.PollRequest, wait, limit time.Duration) (galenajob.PollResponse, error) {
	if req.Instance.ID == f.ended && f.taken.Load() {
		return galenajob.PollResponse{}, f.err
	}
	return f.stoppableInstances.RenewAndPoll(ctx, req, wait, limit)
}

// Guards against long-running work that has no run for longer than the users allow, 6 s and the 3 s
// in which they look, since a start had no response when its instance crashed for good.
func TestWorkOfEndedInstanceStartsElsewhere(t *testing.T) {
	testWorkStartsElsewhere(t, &endedInstances{outcome: galenajob.OutcomeUnsent, err: ErrRefused})
}

// Guards against the same if its address has gone to an instance of another service, which refuses
// that start.
func TestWorkOfReplacedInstanceStartsElsewhere(t *testing.T) {
	testWorkStartsElsewhere(t, &endedInstances{outcome: galenajob.OutcomeOtherIncarnation, err: ErrOtherIncarnation})
}

// testWorkStartsElsewhere checks when work of an ended instance starts on another one.
func testWorkStartsElsewhere(t *testing.T, f *endedInstances) {
	const allowed = 9 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		o.Params.MaxLease = longestLease
		f.stoppableInstances, f.ended = newStoppableInstances(), "i"
		o.Instances = f
		ctx, stop := startOwner(t, o, testConfig)
		sequence := int64(0)
		heartbeat := func(id galenahead.InstanceID) {
			sequence++
			hb := testHeartbeat
			hb.Sequence, hb.Clock, hb.Instance.ID, hb.Instance.Address = sequence, f.clock(id), id, string(id)+":1"
			_, err := o.Heartbeat(ctx, hb)
			is.NoErr(err)
		}
		heartbeat("i")
		_, err := o.Do(ctx, Request{Kind: RequestSubmit, Host: "h", Path: "/q/j", Spec: &galenajob.Spec{Steps: []galenajob.Step{{Count: 1, LongRunning: true}}}})
		is.NoErr(err)
		submitted := time.Now()
		for range 60 {
			time.Sleep(500 * time.Millisecond)
			heartbeat("i2")
		}
		stop()
		time.Sleep(time.Second)
		is.Equal(len(f.runs["i2"]), 1)
		if started := f.lastStart(galenajob.ItemID{Job: "j"}).Sub(submitted); started > allowed {
			t.Errorf("the work item starts elsewhere after %s, want at most %s", started, allowed)
		}
	})
}

// failingStarts let an instance leave its first start unanswered for good, and fail all other runs.
type failingStarts struct {
	*stoppableInstances
	fails galenahead.InstanceID
	taken atomic.Bool
}

func (f *failingStarts) Start(ctx context.Context, a galenajob.Action, limit time.Duration) (galenajob.Outcome, int64, error) {
	if a.Instance.ID == f.fails && !f.taken.Swap(true) {
		time.Sleep(limit)
		return galenajob.OutcomeUnknown, 0, errCutOff
	}
	o, clock, err := f.stoppableInstances.Start(ctx, a, limit)
	if a.Instance.ID == f.fails {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.end(f.fails, a.Item, galenajob.EndFailed)
	}
	return o, clock, err
}

// Guards against a work item that waits for the answer of an instance which is idle, and so is not
// polled.
func TestStrayStartAtIdleInstanceEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		o.Params.MaxLease = longestLease
		f := &failingStarts{stoppableInstances: newStoppableInstances(), fails: "i"}
		o.Instances = f
		ctx, stop := startOwner(t, o, testConfig)
		sequence := int64(0)
		heartbeat := func(id galenahead.InstanceID) {
			sequence++
			hb := testHeartbeat
			hb.Sequence, hb.Clock, hb.Instance.ID, hb.Instance.Address = sequence, f.clock(id), id, string(id)+":1"
			_, err := o.Heartbeat(ctx, hb)
			is.NoErr(err)
		}
		heartbeat("i")
		_, err := o.Do(ctx, Request{Kind: RequestSubmit, Host: "h", Path: "/q/j", Spec: &galenajob.Spec{Steps: []galenajob.Step{{Count: 1}}}})
		is.NoErr(err)
		submitted := time.Now()
		for range 30 {
			time.Sleep(500 * time.Millisecond)
			heartbeat("i")
			heartbeat("i2")
		}
		stop()
		time.Sleep(time.Second)
		started := f.lastStart(galenajob.ItemID{Job: "j"}).Sub(submitted)
		is.Equal(len(f.runs["i2"]), 1)
		if started > 3*time.Second {
			t.Errorf("the work item starts elsewhere after %s, want at most 3s", started)
		}
	})
}

// Guards against an owner that knows nothing of starts without a response which the one before
// has recorded, or knows those of work items that are done, after a snapshot as well, and against
// records that count as new in a replica that has learned of them late.
func TestUnansweredStartsAreRecorded(t *testing.T) {
	is := is.New(t)
	s := &State{Timers: &galenatimer.Service{}, ProcessStart: time.Now().Round(0)}
	spec := galenajob.Spec{Steps: []galenajob.Step{{Count: 2}}}
	apply(t, s, Op{Submit: &galenajob.Job{ID: "j", Queue: "q", Spec: spec, MaxAttempts: 2}})
	key := func(i int) galenajob.ItemKey { return galenajob.ItemKey{Index: i} }
	// Starts were given up a minute ago, so that this replica has learned of them late.
	givenUp := time.Now().Round(0).Add(-time.Minute)
	unanswered := func(job galenahead.JobID, i int, id galenahead.InstanceID) Code {
		return apply(t, s, Op{Unanswered: &UnansweredOp{Job: job, Item: key(i), Instance: id, GivenUpAt: givenUp, Hold: time.Second}})[0].Code
	}
	answered := func(i int, id galenahead.InstanceID) Code {
		return apply(t, s, Op{Answered: &AnsweredOp{Job: "j", Item: key(i), Instance: id}})[0].Code
	}
	// isKept checks that the record is that of the start, whenever it was read.
	isKept := func(i int) {
		t.Helper()
		r := s.activeJob("j").Unanswered[key(i)]
		age := time.Since(r.GivenUpAt)
		is.True(age >= time.Minute-maxClockDifference)
		is.True(age < time.Minute) // it is taken for no older than it is
		is.Equal(r.Hold, time.Second)
	}
	on := func(i int) galenahead.InstanceID { return s.activeJob("j").Unanswered[key(i)].Instance }
	is.Equal(unanswered("k", 0, "a"), CodeNotFound)
	is.Equal(unanswered("j", 0, "a"), CodeDone)
	is.Equal(unanswered("j", 0, "b"), CodeDone)
	is.Equal(unanswered("j", 1, "a"), CodeDone)
	is.Equal(on(0), galenahead.InstanceID("b"))
	apply(t, s, Op{End: &EndOp{Job: "j", Item: key(1), How: galenajob.EndDone, Run: 1}})
	is.Equal(on(1), galenahead.InstanceID(""))
	is.Equal(unanswered("j", 1, "a"), CodeUnchanged)
	isKept(0)
	is.Equal(answered(0, "a"), CodeUnchanged) // the record is that of a later start

	b, err := s.Snapshot()
	is.NoErr(err)
	s = &State{Timers: &galenatimer.Service{}, ProcessStart: time.Now().Round(0)}
	is.NoErr(s.Restore(b))
	is.Equal(len(s.activeJob("j").Unanswered), 1)
	is.Equal(on(0), galenahead.InstanceID("b"))
	isKept(0)
	is.Equal(answered(0, "b"), CodeDone)
	is.Equal(on(0), galenahead.InstanceID(""))
	is.Equal(unanswered("j", 0, "b"), CodeDone)
	apply(t, s, Op{Cancel: &CancelOp{Job: "j"}})
	is.Equal(unanswered("j", 0, "a"), CodeUnchanged)
}

// Guards against a work item that starts again after it was done: a later incarnation has executed
// a run that had failed before, and its end was taken for the one that is recorded.
func TestRunEndsAsDoneAfterItHasFailed(t *testing.T) {
	is := is.New(t)
	s := &State{}
	apply(t, s, Op{Submit: &galenajob.Job{ID: "j", Queue: "q", Spec: galenajob.Spec{Steps: []galenajob.Step{{Count: 2}}}, MaxAttempts: 2}})
	end := func(how galenajob.EndReason) Code {
		return apply(t, s, Op{End: &EndOp{Job: "j", How: how, Run: 1}})[0].Code
	}
	is.Equal(end(galenajob.EndFailed), CodeDone)
	is.Equal(end(galenajob.EndFailed), CodeUnchanged)
	is.Equal(end(galenajob.EndDone), CodeDone)
	is.True(s.activeJob("j").Items[galenajob.ItemKey{}].Done)
	is.Equal(end(galenajob.EndDone), CodeUnchanged)
	is.Equal(end(galenajob.EndFailed), CodeUnchanged)
}
