package galenafleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
)

// Guards against work that waits anew under each owner for an incarnation that nobody has heard of
// since it was registered: it executes no call to the earlier one later than 12 s after that, and
// holds a lease for 10 s.
func TestInheritedRestartIsThatOfItsRegistration(t *testing.T) {
	const allowed = 12*time.Second + longestLease*11/10
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
		f.setCutOff("i", true)
		heartbeat("i")
		registered := time.Now()
		for range 5 {
			for range 16 {
				heartbeat("i2")
				time.Sleep(500 * time.Millisecond)
			}
			stop()
			next, nextLog := testOwner()
			next.Instances, next.State, next.Params.MaxLease = f, o.State, longestLease
			nextLog.state = o.State
			ctx, stop = startOwner(t, next, testConfig)
			o = next
		}
		stop()
		time.Sleep(time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		started := f.startedAt[galenajob.ItemID{Job: "j"}].Sub(registered)
		if started < 0 {
			t.Fatal("the work item does not start again under five owners of 8 s")
		}
		if started > allowed {
			t.Errorf("the work item starts again %s after the instance, want at most %s", started, allowed)
		}
	})
}
