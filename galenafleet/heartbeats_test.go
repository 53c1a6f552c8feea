package galenafleet

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
	"github.com/galenahead/galenahead/galenatimer"
)

// ownerFunc answers the calls of a collector.
type ownerFunc func(method string, params, result any) error

func (f ownerFunc) Call(_ context.Context, _, method string, params, result any) error {
	return f(method, params, result)
}

// startCollector runs a collector whose owner is f.
func startCollector(t *testing.T, f ownerFunc) *HeartbeatCollector {
	oc := testOwnerClient(nil)
	oc.RPCClient = f
	oc.Directory.leader = "owner:1"
	c := &HeartbeatCollector{Owner: oc, Timers: &galenatimer.Service{}, Self: "self:1"}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = c.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	synctest.Wait()
	return c
}

func instanceHeartbeat(id galenahead.InstanceID, sequence int64) Heartbeat {
	return Heartbeat{Instance: galenajob.Instance{ID: id, Born: 1, Service: "counter", Capacity: galenajob.Resources{MilliCPU: 1000}}, Sequence: sequence, Clock: 1000}
}

// Guards against a heartbeat that is acknowledged although the owner has not handled it.
func TestCollectedHeartbeatsAreAcknowledgedOneByOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		calls := 0
		c := startCollector(t, func(method string, params, result any) error {
			if method != MethodHeartbeats {
				return galenahead.ErrUnreachable
			}
			calls++
			for i, hb := range params.(HeartbeatBatch).Heartbeats {
				if hb.Instance.ID == "bad" {
					result.(*HeartbeatReply).Failed = []int{i, 99}
				}
			}
			result.(*HeartbeatReply).Spread = 0.5
			return nil
		})
		errs := map[galenahead.InstanceID]error{}
		var mu sync.Mutex
		var wg sync.WaitGroup
		for _, id := range []galenahead.InstanceID{"a", "bad", "c"} {
			wg.Go(func() {
				err := c.Heartbeat(t.Context(), instanceHeartbeat(id, 1))
				mu.Lock()
				defer mu.Unlock()
				errs[id] = err
			})
		}
		wg.Wait()
		is.NoErr(errs["a"])
		is.NoErr(errs["c"])
		is.True(errors.Is(errs["bad"], errHeartbeatNotHandled))
		is.Equal(calls, 1)
		is.Equal(c.Spread(), 0.5)
	})
}

// Guards against heartbeats that stop while daemons of two versions run.
func TestCollectorServesOwnerOfEarlierVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		single := 0
		c := startCollector(t, func(method string, _, _ any) error {
			switch method {
			case MethodHeartbeats:
				return &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound}
			case MethodHeartbeat:
				single++
			}
			return nil
		})
		is.NoErr(c.Heartbeat(t.Context(), instanceHeartbeat("a", 1)))
		is.Equal(single, 1)
	})
}

// Guards against a batch in which a slow registration delays or fails the heartbeats of
// other instances, and against old heartbeats that arrive in a batch.
func TestOwnerHandlesBatchOfHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		ctx, stop := startOwner(t, o, testConfig)
		defer stop()
		r, err := o.Heartbeats(ctx, HeartbeatBatch{})
		is.NoErr(err)
		is.Equal(len(r.Failed), 0)
		r, err = o.Heartbeats(ctx, HeartbeatBatch{[]Heartbeat{instanceHeartbeat("a", 1), instanceHeartbeat("b", 1)}})
		is.NoErr(err)
		is.Equal(len(r.Failed), 0)
		is.Equal(o.State.instanceCount(), 2)

		// Another call changes the registration of a.
		sess := o.session.Load()
		reg, err := sess.lockRegistration("a")
		is.NoErr(err)
		began := time.Now()
		r, err = o.Heartbeats(ctx, HeartbeatBatch{[]Heartbeat{instanceHeartbeat("a", 2), instanceHeartbeat("b", 2)}})
		is.NoErr(err)
		is.Equal(r.Failed, []int{0})
		is.True(time.Since(began) <= heartbeatBatchTimeout)
		reg.unlock()
	})
}

// Guards against heartbeats of a small fleet that take a detour, and against an owner that
// gets those of thousands of instances.
func TestHeartbeatSpreadFollowsInstances(t *testing.T) {
	is := is.New(t)
	spread := func(instances int) float64 {
		s := &State{}
		s.init()
		for i := range instances {
			id := galenahead.InstanceID(rune('a' + i))
			s.instances[id] = galenajob.Instance{ID: id}
		}
		return (&ownerSession{Owner: &Owner{State: s}}).heartbeatSpread()
	}
	is.Equal(spread(0), 0.0)
	is.Equal(spread(ownHeartbeats), 0.0)
	is.Equal(spread(4*ownHeartbeats), 0.75)
}
