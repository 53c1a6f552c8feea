package galenafleet

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
	"github.com/galenahead/galenahead/galenatimer"
)

// Guards against work that runs twice because an instance that has started again under its ID
// executes a poll that was meant for its earlier life, with a deadline on that one's clock, and
// is then cut off for longer than the lease that the owner counts on, also by another owner.
func TestWorkOfRestartedInstanceRunsOnce(t *testing.T) {
	const never = -1
	for _, owner := range []time.Duration{never, 0, 5 * time.Millisecond, 30 * time.Millisecond, 200 * time.Millisecond, 2 * time.Second} {
		name := fmt.Sprintf("another owner after %s", owner)
		if owner == never {
			name = "one owner"
		}
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				o, log := testOwner()
				o.Params.MaxLease = longestLease
				log.delay.Store(int64(5 * time.Millisecond))
				f := newStoppableInstances()
				o.Instances = f
				ctx, stop := startOwner(t, o, testConfig)
				sequence := int64(0)
				heartbeat := func(id galenahead.InstanceID) {
					sequence++
					hb := testHeartbeat
					hb.Sequence, hb.Clock, hb.Instance.ID, hb.Instance.Born = sequence, f.clock(id), id, max(1, f.born[id])
					_, err := o.Heartbeat(ctx, hb)
					is.NoErr(err)
				}
				heartbeat("i")
				_, err := o.Do(ctx, Request{Kind: RequestSubmit, Host: "h", Path: "/q/j", Spec: &galenajob.Spec{Steps: []galenajob.Step{{Count: 1, LongRunning: true}}}})
				is.NoErr(err)
				time.Sleep(time.Second)
				f.restart("i", 2)
				heartbeat("i")
				if owner != never {
					time.Sleep(owner)
					stop()
					next, nextLog := testOwner()
					next.Instances, next.State, next.Params.MaxLease = f, o.State, longestLease
					nextLog.state = o.State
					ctx, stop = startOwner(t, next, testConfig)
					o = next
				} else {
					time.Sleep(300 * time.Millisecond)
				}
				f.setCutOff("i", true)
				cut := time.Now()
				for range 40 {
					heartbeat("i2")
					time.Sleep(500 * time.Millisecond)
				}
				stop()
				time.Sleep(time.Second)
				f.mu.Lock()
				defer f.mu.Unlock()
				is.Equal(f.twice, nil)
				again := f.startedAt[galenajob.ItemID{Job: "j"}]
				is.True(again.Sub(cut) < longestLease*12/10)
			})
		})
	}
}

// unansweredPolls leave polls of the incarnation born at 1 unanswered, and record the tokens of
// polls of the next one.
type unansweredPolls struct {
	*stoppableInstances
	polled chan int64
}

func (f *unansweredPolls) RenewAndPoll(ctx context.Context, req galenajob.PollRequest, wait, limit time.Duration) (galenajob.PollResponse, error) {
	if req.Instance.Born == 1 && f.hangs() {
		time.Sleep(wait + limit)
		return galenajob.PollResponse{}, errCutOff
	}
	if req.Instance.Born == 2 {
		select {
		case f.polled <- req.Fence:
		default:
		}
	}
	return f.stoppableInstances.RenewAndPoll(ctx, req, wait, limit)
}

func (f *unansweredPolls) hangs() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.startedAt) > 0
}

// Guards against an instance that executes calls to its earlier life for longer than it has to,
// because the poll that would tell it its fencing token waits for one that it never answers.
func TestRestartedInstanceIsPolledAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		f := &unansweredPolls{newStoppableInstances(), make(chan int64, 1)}
		o.Instances = f
		ctx, stop := startOwner(t, o, testConfig)
		_, err := o.Heartbeat(ctx, testHeartbeat)
		is.NoErr(err)
		_, err = o.Do(ctx, Request{Kind: RequestSubmit, Host: "h", Path: "/q/j", Spec: &galenajob.Spec{Steps: []galenajob.Step{{Count: 1, LongRunning: true}}}})
		is.NoErr(err)
		time.Sleep(250 * time.Millisecond)
		f.restart("i", 2)
		hb := testHeartbeat
		hb.Instance.Born = 2
		_, err = o.Heartbeat(ctx, hb)
		is.NoErr(err)
		registered := time.Now()
		is.True(<-f.polled > 0)
		is.True(time.Since(registered) < 50*time.Millisecond)
		stop()
		time.Sleep(5 * time.Second)
	})
}

// Guards against an owner that does not know of a restart, or for how long a lease from before
// may be held, after a snapshot or an expiry, or for another incarnation.
func TestRestartsAreRecorded(t *testing.T) {
	is := is.New(t)
	s := &State{Timers: &galenatimer.Service{}}
	in := galenajob.Instance{ID: "i", Born: 1}
	known := func() (ok, fenced bool) {
		fenced, _, ok = s.restartOf(in)
		return ok, fenced
	}
	register := func() { apply(t, s, Op{Instance: &in}) }
	expect := func(wantKnown, wantFenced bool) {
		t.Helper()
		is.Helper()
		ok, fenced := known()
		is.Equal(ok, wantKnown)
		is.Equal(fenced, wantFenced)
	}
	register()
	expect(false, false)
	in.Born = 2
	expect(false, false)
	register()
	expect(true, false)
	in.Draining = true
	register() // a change of the same incarnation
	expect(true, false)
	apply(t, s, Op{Fenced: &FencedOp{Instance: "i", Born: 1, HoldsLease: true}})
	expect(true, false)
	apply(t, s, Op{Fenced: &FencedOp{Instance: "i", Born: 2, HoldsLease: true}})
	expect(true, true)

	b, err := s.Snapshot()
	is.NoErr(err)
	before := time.Now()
	s = &State{Timers: &galenatimer.Service{}}
	is.NoErr(s.Restore(b))
	fenced, knownAt, ok := s.restartOf(in)
	is.True(ok && fenced)
	is.True(!knownAt.Before(before))

	in.Born = 3
	register()
	expect(true, false)
	apply(t, s, Op{Fenced: &FencedOp{Instance: "i", Born: 3}})
	expect(false, false)
	id := in.ID
	apply(t, s, Op{Remove: &id, Left: &LeftOp{Born: 3, At: time.Now()}})
	in.Born = 4
	register()
	expect(true, false) // it has left, and is back
	apply(t, s, Op{Remove: &id})
	expect(false, false)
}

// Guards against a lease that counts as held anew by each replica that restarts or is sent a
// snapshot, so that the work of earlier owners waits for it again, and against one that ends early because
// the clocks of two machines differ.
func TestRecordedTimesAreThoseOfEvents(t *testing.T) {
	for _, age := range []time.Duration{time.Minute, -time.Minute, maxClockDifference} { // from another clock
		is := is.New(t)
		s := &State{Timers: &galenatimer.Service{}, ProcessStart: time.Now().Round(0)}
		in := galenajob.Instance{ID: "i", Born: 1}
		apply(t, s, Op{Instance: &in})
		in.Born = 2
		apply(t, s, Op{Instance: &in})
		began := time.Now()
		apply(t, s, Op{Fenced: &FencedOp{Instance: "i", Born: 2, HoldsLease: true, At: began.Round(0).Add(-age)}})
		expect := func() {
			t.Helper()
			_, knownAt, ok := s.restartOf(in)
			is.True(ok)
			earliest := began.Add(-max(0, age-maxClockDifference))
			is.True(!knownAt.Before(earliest.Add(-time.Millisecond))) // the clocks have a resolution
			is.True(knownAt.Before(earliest.Add(5 * time.Second)))
		}
		expect()
		b, err := s.Snapshot()
		is.NoErr(err)
		s = &State{Timers: &galenatimer.Service{}, ProcessStart: time.Now().Round(0)}
		is.NoErr(s.Restore(b))
		expect()
	}
}
