package galenafleet

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
)

// partlySilentInstances does not answer polls of the instances whose ID begins with
// "silent".
type partlySilentInstances struct{ *fakeInstances }

func (f partlySilentInstances) RenewAndPoll(ctx context.Context, req galenajob.PollRequest, wait time.Duration) (galenajob.PollResponse, error) {
	if strings.HasPrefix(string(req.Instance.ID), "silent") {
		return galenajob.PollResponse{}, eris.New("no answer")
	}
	return f.fakeInstances.RenewAndPoll(ctx, req, wait)
}

// Guards against a service that starts no work while many of its instances are removed
// because they are silent. Each removal is a commit, and planning waited for all of
// them.
func TestPlansWhileSilentInstancesAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const silent = 60
		o, l := testOwner()
		o.Instances = partlySilentInstances{o.Instances.(*fakeInstances)}
		o.Params.GoneAfter = 3 * time.Second
		ctx, stop := startOwner(t, o, testConfig)
		hb := testHeartbeat
		register := func(id string) {
			hb.Instance.ID = galenahead.InstanceID(id)
			hb.Sequence++
			_, err := o.Heartbeat(ctx, hb)
			is.NoErr(err)
		}
		for i := range silent {
			register(fmt.Sprint("silent", i))
		}
		registered := time.Now()
		l.delay.Store(int64(50 * time.Millisecond))
		for time.Since(registered) < o.Params.GoneAfter+200*time.Millisecond {
			register("i")
			time.Sleep(100 * time.Millisecond)
		}

		_, err := o.Do(ctx, Request{Kind: RequestSubmit, Host: "h", Path: "/q/j1", Spec: &galenajob.Spec{Steps: []galenajob.Step{{Count: 1}}}})
		is.NoErr(err)
		accepted := time.Now()
		for state := galenajob.StateQueued; state == galenajob.StateQueued; {
			time.Sleep(10 * time.Millisecond)
			r, err := o.Do(ctx, Request{Kind: RequestState, Host: "h", Path: "/q/j1"})
			is.NoErr(err)
			state = r.State
		}
		if waited := time.Since(accepted); waited > 200*time.Millisecond {
			t.Errorf("the job started after %s, want at most 200ms", waited)
		}
		time.Sleep(500 * time.Millisecond)
		is.Equal(len(o.State.registeredInstances()), 1) // the silent instances are removed
		stop()
		time.Sleep(2 * time.Second)
	})
}

// countingInstances counts the polls that renew a lease.
type countingInstances struct {
	*fakeInstances
	renewals atomic.Int64
}

func (f *countingInstances) RenewAndPoll(ctx context.Context, req galenajob.PollRequest, wait time.Duration) (galenajob.PollResponse, error) {
	if req.Deadline > 0 {
		f.renewals.Add(1)
	}
	return f.fakeInstances.RenewAndPoll(ctx, req, wait)
}

// Guards against two runs of a work item when an owner loses the lease of the log, for
// example while its process is frozen: it renewed the leases of instances before it
// noticed, and the next owner, which could not reach them, took them for expired.
func TestPollWithoutLeaseOfTheLogRenewsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, log := testOwner()
		f := &countingInstances{fakeInstances: o.Instances.(*fakeInstances)}
		o.Instances = f
		ctx, stop := startOwner(t, o, testConfig)
		_, err := o.Heartbeat(ctx, testHeartbeat)
		is.NoErr(err)
		time.Sleep(205 * time.Millisecond) // 5 ms after a check of the lease
		sess := o.session.Load()
		sh := sess.shardFor("counter")
		in := testHeartbeat.Instance
		req := galenajob.PollRequest{Instance: in, Deadline: 5000}
		log.holdsLease.Store(false)
		sh.pollOnce(sess.ctx, in.ID, &instancePoller{}, req)
		is.Equal(f.renewals.Load(), int64(0))
		log.holdsLease.Store(true)
		sh.pollOnce(sess.ctx, in.ID, &instancePoller{}, req)
		is.Equal(f.renewals.Load(), int64(1))
		stop()
		time.Sleep(2 * time.Second)
	})
}

// Guards against an instance that is never polled, and so gets no work, because it
// registered again while its removal was half done.
func TestInstanceThatRegistersDuringItsRemovalIsPolled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		_, stop := startOwner(t, o, testConfig)
		sh := o.session.Load().shardFor("counter")
		in := testHeartbeat.Instance
		for range 2000 {
			sh.addInstance(in, 1000)
			var g errgroup.Group
			g.Go(func() error { sh.removeInstance(in.ID); return nil })
			g.Go(func() error { sh.addInstance(in, 1000); return nil })
			is.NoErr(g.Wait())
			registered := false
			sh.inspect(func(now time.Time, s *galenajob.Scheduler) { registered = s.Heartbeat(now, in.ID, 1000) })
			sh.mu.Lock()
			polled := sh.pollers[in.ID] != nil
			sh.mu.Unlock()
			is.Equal(registered, polled)
			sh.removeInstance(in.ID)
		}
		stop()
		time.Sleep(2 * time.Second)
	})
}
