package galenafleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
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
