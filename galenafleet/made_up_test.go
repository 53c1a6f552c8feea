package galenafleet

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenaintake"
)

// Guards against instances and services that strangers make up, in any number, and against known ones that
// are refused for their sake.
func TestMadeUpInstancesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		o.MaxInstances = 300
		ctx, stop := startOwner(t, o, testConfig)
		heartbeat := func(id, service string, sequence int64) error {
			hb := testHeartbeat
			hb.Instance.ID, hb.Instance.Service, hb.Sequence = galenahead.InstanceID(id), galenahead.ServiceName(service), sequence
			_, err := o.Heartbeat(ctx, hb)
			return err
		}
		is.NoErr(heartbeat("known", "counter", 1))
		refused := 0
		for i := range 400 {
			if err := heartbeat(fmt.Sprint("i-", i), fmt.Sprint("service-", i), 1); err != nil {
				is.True(errors.Is(err, galenahead.ErrOverloaded))
				refused++
			}
		}
		sess := o.session.Load()
		is.Equal(len(sess.shards), maxServices)
		is.Equal(refused, 400-maxServices+1)
		for i := range 400 {
			_ = heartbeat(fmt.Sprint("k-", i), "counter", 1)
		}
		is.Equal(o.State.instanceCount(), 300)
		is.Equal(len(sess.registrations), 300)
		is.NoErr(heartbeat("known", "counter", 2))
		sess.forgetRegistrations(time.Now().Add(time.Second))
		is.Equal(len(sess.registrations), 300)
		apply(t, o.State, Op{Remove: &[]galenahead.InstanceID{"i-0"}[0]})
		sess.forgetRegistrations(time.Now().Add(-time.Second))
		is.Equal(len(sess.registrations), 300) // it was heard of since
		sess.forgetRegistrations(time.Now().Add(time.Second))
		is.Equal(len(sess.registrations), 299)
		stop()
	})
}

// Guards against maintenance waves that are kept in any number.
func TestWavesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		o.State.Room = &galenaintake.Room{Bytes: 1 << 20}
		ctx, stop := startOwner(t, o, testConfig)
		machines := make([]galenahead.VMName, 1000)
		for i := range machines {
			machines[i] = galenahead.VMName(fmt.Sprint("m-", i))
		}
		accepted := int64(0)
		for id := range int64(20) {
			_, err := o.BeginWave(ctx, Wave{ID: id, Machines: machines, MaxDown: 1, Duration: time.Hour})
			if err == nil {
				accepted++
			} else {
				is.True(errors.Is(err, galenahead.ErrOverloaded))
			}
		}
		is.True(accepted > 0 && accepted < 4)
		_, err := o.BeginWave(ctx, Wave{ID: 0, Machines: machines, MaxDown: 1})
		is.NoErr(err) // an order that was accepted is acknowledged again
		used := o.State.Room.Used()
		b, err := o.State.Snapshot()
		is.NoErr(err)
		is.NoErr(o.State.Restore(b))
		is.Equal(o.State.Room.Used(), used)
		stop()
	})
}
