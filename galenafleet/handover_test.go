package galenafleet

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
)

// slowStarts let starts take long until their response, or lose those that would take longer than the
// owner waits.
type slowStarts struct {
	*stoppableInstances
	// took is in nanoseconds.
	took, arrived atomic.Int64
}

func (f *slowStarts) Start(ctx context.Context, a galenajob.Action, limit time.Duration) (galenajob.Outcome, int64, error) {
	f.arrived.Add(1)
	took := time.Duration(f.took.Load())
	if took > limit {
		time.Sleep(limit)
		return galenajob.OutcomeUnknown, 0, errCutOff
	}
	time.Sleep(took)
	return f.stoppableInstances.Start(ctx, a, limit)
}

// handoverCase is an owner with one work item, whose start at the instance i has arrived.
type handoverCase struct {
	t        *testing.T
	owner    *Owner
	log      *fakeLog
	ctx      context.Context
	stop     func()
	sequence int64
	f        *slowStarts
}

func newHandoverCase(t *testing.T, took time.Duration) *handoverCase {
	t.Helper()
	c := &handoverCase{t: t, f: &slowStarts{stoppableInstances: newStoppableInstances()}}
	c.f.took.Store(int64(took))
	c.owner, c.log = testOwner()
	c.owner.Params.MaxLease, c.owner.Instances = longestLease, c.f
	c.log.delay.Store(int64(5 * time.Millisecond))
	c.ctx, c.stop = startOwner(t, c.owner, testConfig)
	c.heartbeat("i")
	c.submit("/q/j")
	for c.f.arrived.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	return c
}

func (c *handoverCase) heartbeat(id galenahead.InstanceID) {
	c.t.Helper()
	c.sequence++
	hb := testHeartbeat
	hb.Sequence, hb.Clock, hb.Instance.ID, hb.Instance.Address = c.sequence, c.f.clock(id), id, string(id)+":1"
	if _, err := c.owner.Heartbeat(c.ctx, hb); err != nil {
		c.t.Fatal(err)
	}
}

func (c *handoverCase) submit(path string) {
	c.t.Helper()
	r := Request{Kind: RequestSubmit, Host: "h", Path: path, Spec: &galenajob.Spec{Steps: []galenajob.Step{{Count: 1, LongRunning: true}}}}
	if _, err := c.owner.Do(c.ctx, r); err != nil {
		c.t.Fatal(err)
	}
}

// replaceOwner starts the next owner on the same state.
func (c *handoverCase) replaceOwner() {
	c.t.Helper()
	c.stop()
	next, log := testOwner()
	next.Instances, next.State, next.Params.MaxLease = c.f, c.owner.State, longestLease
	log.state = next.State
	c.owner, c.log = next, log
	c.ctx, c.stop = startOwner(c.t, next, testConfig)
}

// Guards against work that waits, although there is room, because the owner was told to end while a
// start was on its way: the start had its response, and the instance was lost under the next owner.
func TestPlannedHandoverHoldsNoAnsweredStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newHandoverCase(t, 60*time.Millisecond)
		time.Sleep(20 * time.Millisecond)
		is.NoErr(c.owner.PrepareHandover(c.ctx))
		is.Equal(len(c.owner.State.activeJob("j").Unanswered), 0)
		c.replaceOwner()
		time.Sleep(time.Second)
		c.f.setCutOff("i", true)
		lost := time.Now()
		for range 40 {
			c.heartbeat("i2")
			time.Sleep(500 * time.Millisecond)
		}
		c.stop()
		time.Sleep(time.Second)
		is.Equal(len(c.f.runs["i2"]), 1)
		is.Equal(c.f.twice, nil)
		// The lease, and the 3 s in which the users look.
		if after := c.f.lastStart(galenajob.ItemID{Job: "j"}).Sub(lost); after > testOwnerParams().Lease+3*time.Second {
			t.Errorf("the work item starts elsewhere after %s", after)
		}
	})
}

// Guards against an owner that sends starts after it has recorded the last ones, and against work that
// is due and waits for an instance that leaves a start without a response at the end of the owner.
func TestNoStartAfterHandoverIsPrepared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newHandoverCase(t, time.Hour)
		c.heartbeat("i2")
		time.Sleep(20 * time.Millisecond)
		began := time.Now()
		is.NoErr(c.owner.PrepareHandover(c.ctx))
		if took, allowed := time.Since(began), c.owner.Params.ResendInterval+20*time.Millisecond; took > allowed {
			t.Errorf("the handover is prepared after %s, want at most %s", took, allowed)
		}
		is.Equal(len(c.owner.State.activeJob("j").Unanswered), 1)
		before := c.f.arrived.Load()
		c.submit("/q/k")
		time.Sleep(time.Second)
		is.Equal(c.f.arrived.Load(), before)
		c.f.took.Store(0)
		c.replaceOwner()
		time.Sleep(500 * time.Millisecond)
		is.Equal(c.f.lastStart(galenajob.ItemID{Job: "k"}).IsZero(), false) // the next owner starts it
		c.stop()
		time.Sleep(2 * time.Second)
	})
}

// Guards against a daemon that does not end because its log takes no records.
func TestHandoverEndsWithoutLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newHandoverCase(t, time.Hour)
		c.log.blocked.Store(true)
		ctx, cancel := context.WithTimeout(c.ctx, 500*time.Millisecond)
		defer cancel()
		began := time.Now()
		is.True(errors.Is(c.owner.PrepareHandover(ctx), context.DeadlineExceeded))
		is.Equal(time.Since(began), 500*time.Millisecond)
		c.stop()
		time.Sleep(2 * time.Second)
	})
}
