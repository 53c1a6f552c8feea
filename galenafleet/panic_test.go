package galenafleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead/galenagate"
	"github.com/galenahead/galenahead/galenajob"
)

// Guards against a fault in one part of the owner that ends the process with the replica of
// the log in it, and against one that nobody notices.
func TestPanicEndsOnlyTheSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		ctx, stop := startOwner(t, o, testConfig)
		defer stop()
		first := o.session.Load()
		first.spawn(func() error { panic("fault") })
		time.Sleep(time.Second)
		is.Equal(o.Metrics.Counters.Get("panics").String(), "1")
		next := o.session.Load()
		is.True(next != nil && next.epoch > first.epoch)
		_, err := o.Heartbeat(ctx, testHeartbeat)
		is.NoErr(err)
	})
}

// Guards against a fault in a piece of work that keeps the gate closed for all later ones.
func TestPanicLeavesTheGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		o.Gate = &galenagate.Gate{AtOnce: 1}
		ctx, stop := startOwner(t, o, testConfig)
		defer stop()
		first := o.session.Load()
		first.spawn(func() error {
			first.shardFor("counter").handlePoll("i", nil, galenajob.PollRequest{}, galenajob.PollResponse{}, time.Now())
			return nil
		})
		time.Sleep(time.Second)
		is.Equal(o.Metrics.Counters.Get("panics").String(), "1")
		_, err := o.Heartbeat(ctx, testHeartbeat)
		is.NoErr(err)
		_, err = o.Do(ctx, Request{Kind: RequestSubmit, Host: "h", Path: "/q/j", Spec: &galenajob.Spec{Steps: []galenajob.Step{{Count: 1}}}})
		is.NoErr(err)
		time.Sleep(3 * time.Second)
		_, _, state, _ := o.State.JobState("j")
		is.Equal(state, galenajob.StateCompleted)
	})
}
