package galenafleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
)

// Guards against an instance that has left and is used again after a change of owner or a
// restart of all, because a heartbeat that it sent before arrives late.
func TestLateHeartbeatDoesNotBringBackInstanceThatLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		ctx, stop := startOwner(t, o, testConfig)
		_, err := o.Heartbeat(ctx, testHeartbeat)
		is.NoErr(err)
		id, born := testHeartbeat.Instance.ID, testHeartbeat.Instance.Born
		_, err = o.Leave(ctx, LeaveRequest{ID: id, Born: born})
		is.NoErr(err)
		stop()

		// All processes start again: the state is read from a snapshot.
		b, err := o.State.Snapshot()
		is.NoErr(err)
		restarted := &State{Timers: o.State.Timers}
		is.NoErr(restarted.Restore(b))
		next, _ := testOwner()
		next.State = restarted
		next.Log.(*fakeLog).state = restarted
		ctx, stop = startOwner(t, next, testConfig)
		defer stop()
		late := testHeartbeat
		late.Sequence++
		_, err = next.Heartbeat(ctx, late)
		is.NoErr(err)
		_, known := next.State.instance(id)
		is.True(!known)

		// A later life under the same id is used.
		late.Instance.Born++
		_, err = next.Heartbeat(ctx, late)
		is.NoErr(err)
		_, known = next.State.instance(id)
		is.True(known)
	})
}

// Guards against records of instances that have left for good and are kept for ever.
func TestRecordsOfLeftInstancesExpire(t *testing.T) {
	is := is.New(t)
	s := &State{}
	at := time.Unix(1000, 0)
	id := galenahead.InstanceID("i")
	apply(t, s, Op{Remove: &id, Left: &LeftOp{Born: 5, At: at}})
	is.True(s.hasLeft(id, 5))
	is.True(!s.hasLeft(id, 6))
	is.True(!s.hasLeft("j", 1))
	cutoff := at
	apply(t, s, Op{Expire: &cutoff})
	is.True(s.hasLeft(id, 5))
	cutoff = at.Add(time.Second)
	apply(t, s, Op{Expire: &cutoff})
	is.True(!s.hasLeft(id, 5))
}

// Guards against a late copy of a deregistration without a start time that removes a later
// incarnation of the instance: its work would run twice, and it would never get any again.
func TestLateLeaveWithoutBornKeepsLaterIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		ctx, stop := startOwner(t, o, testConfig)
		defer func() { stop(); time.Sleep(2 * time.Second) }()
		heartbeat := func(born, sequence int64, draining bool) {
			hb := testHeartbeat
			hb.Instance.Born, hb.Sequence, hb.Instance.Draining = born, sequence, draining
			_, err := o.Heartbeat(ctx, hb)
			is.NoErr(err)
		}
		id := testHeartbeat.Instance.ID
		leave := func() {
			_, err := o.Leave(ctx, LeaveRequest{ID: id})
			is.NoErr(err)
		}
		registered := func() bool { _, ok := o.State.instance(id); return ok }
		heartbeat(1, 1, false)
		heartbeat(1, 2, true)
		leave()
		is.True(!registered())

		heartbeat(2, 1, false)
		r, err := o.Do(ctx, Request{Kind: RequestSubmit, Host: "h", Path: "/q/j", Spec: &galenajob.Spec{
			Steps: []galenajob.Step{{Count: 1, LongRunning: true}},
		}})
		is.NoErr(err)
		is.Equal(r.Outcome, OutcomeAccepted)
		time.Sleep(time.Second)
		leave() // the copy
		is.True(registered())
		heartbeat(2, 2, true)
		leave() // the copy, while the later incarnation drains and has work
		is.True(registered())
	})
}

// Guards against a late heartbeat of an instance whose deregistration arrived before it was
// registered, or named a later incarnation than the registered one.
func TestLeaveOfUnregisteredIncarnationIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		ctx, stop := startOwner(t, o, testConfig)
		defer stop()
		id := testHeartbeat.Instance.ID
		for _, earlier := range []bool{false, true} {
			born := testHeartbeat.Instance.Born + 1
			if earlier {
				_, err := o.Heartbeat(ctx, testHeartbeat)
				is.NoErr(err)
			}
			_, err := o.Leave(ctx, LeaveRequest{ID: id, Born: born})
			is.NoErr(err)
			late := testHeartbeat
			late.Instance.Born = born
			_, err = o.Heartbeat(ctx, late)
			is.NoErr(err)
			_, ok := o.State.instance(id)
			is.True(!ok)
		}
	})
}
