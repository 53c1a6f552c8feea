package galenafleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
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
