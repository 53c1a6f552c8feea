package galenafleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead/galenajob"
)

// Guards against a start that brings an instance over its capacity after the capacity has
// shrunk while it runs: at the owner that hears of it, after an older report that is late,
// and at the next owner.
func TestStartsFollowShrunkCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, log := testOwner()
		f := o.Instances.(*fakeInstances)
		ctx, stop := startOwner(t, o, testConfig)
		_, err := o.Heartbeat(ctx, testHeartbeat)
		is.NoErr(err)
		time.Sleep(200 * time.Millisecond)
		submit := func(id string) {
			spec := &galenajob.Spec{Payload: "p", Steps: []galenajob.Step{{Count: 1, Need: galenajob.Resources{MilliCPU: 600}, Estimate: time.Second}}}
			r, err := o.Do(ctx, Request{Kind: RequestSubmit, Host: "h", Path: "/q/" + id, Spec: spec})
			is.NoErr(err)
			is.Equal(r.Outcome, OutcomeAccepted)
		}
		started := func() int {
			f.mu.Lock()
			defer f.mu.Unlock()
			return len(f.running) + len(f.ends)
		}
		report := func(sequence, milliCPU int64) {
			hb := testHeartbeat
			hb.Sequence, hb.Instance.Capacity.MilliCPU = sequence, milliCPU
			_, err := o.Heartbeat(ctx, hb)
			is.NoErr(err)
		}
		report(3, 500)
		report(2, 1000) // late
		submit("1")
		time.Sleep(time.Second)
		is.Equal(started(), 0)

		log.holdsLease.Store(false)
		time.Sleep(time.Second)
		log.terms.Add(1)
		log.holdsLease.Store(true)
		time.Sleep(6 * time.Second) // the leases of the earlier owner are over
		is.Equal(o.session.Load().epoch, uint64(2))
		is.Equal(started(), 0)

		report(4, 700)
		time.Sleep(2 * time.Second)
		is.Equal(started(), 1)
		stop()
		time.Sleep(2 * time.Second)
	})
}
