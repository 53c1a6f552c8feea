package galenafleet

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
)

// replacedInstances let an instance end while it is sent its first start. One of another service
// answers all later calls at its address.
type replacedInstances struct {
	*stoppableInstances
	replaced galenahead.InstanceID
	taken    atomic.Bool
}

func (f *replacedInstances) Start(ctx context.Context, a galenajob.Action, limit time.Duration) (galenajob.Outcome, int64, error) {
	switch {
	case a.Instance.ID != f.replaced:
		return f.stoppableInstances.Start(ctx, a, limit)
	case f.taken.Swap(true):
		return galenajob.OutcomeOtherIncarnation, 0, nil
	}
	return galenajob.OutcomeUnknown, 0, errCutOff
}

func (f *replacedInstances) RenewAndPoll(ctx context.Context, req galenajob.PollRequest, wait, limit time.Duration) (galenajob.PollResponse, error) {
	if req.Instance.ID == f.replaced && f.taken.Load() {
		return galenajob.PollResponse{}, ErrOtherIncarnation
	}
	return f.stoppableInstances.RenewAndPoll(ctx, req, wait, limit)
}

// Guards against long-running work that has no run for longer than the users allow, 6 s and the 3 s
// in which they look: a start had no response when its instance crashed for good, and its address has
// gone to an instance of another service, which refuses that start.
func TestWorkOfReplacedInstanceStartsElsewhere(t *testing.T) {
	const allowed = 9 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		o.Params.MaxLease = longestLease
		f := &replacedInstances{stoppableInstances: newStoppableInstances(), replaced: "i"}
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
