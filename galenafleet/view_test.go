package galenafleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
)

// singleMachine lists one machine, on which the instance i runs.
type singleMachine struct{ MachineClient }

func (singleMachine) List(context.Context) ([]Machine, error) {
	return []Machine{{Name: "m", Pool: "counter", State: MachineUp, Instance: "i", Capacity: galenajob.Resources{MilliCPU: 1000}}}, nil
}

// slowInstances accepts every command and never ends a run.
type slowInstances struct{ fakeInstances }

func (f *slowInstances) RenewAndPoll(ctx context.Context, req galenajob.PollRequest, wait, _ time.Duration) (galenajob.PollResponse, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait + time.Millisecond):
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	resp := galenajob.PollResponse{Clock: 1000, Born: req.Instance.Born}
	for item, run := range f.running {
		resp.Runs = append(resp.Runs, galenajob.Run{Item: item, Number: run, Percent: 40})
	}
	return resp, nil
}

// Guards against views with missing parts or wrong counts, and against answers from a
// daemon that is not the owner of the fleet.
func TestViewShowsFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, l := testOwner()
		o.Machines = singleMachine{}
		o.Instances = &slowInstances{fakeInstances{running: map[galenajob.ItemID]int64{}}}
		_, err := o.View(t.Context(), ViewQuery{Part: PartOwner})
		is.True(eris.Is(err, galenahead.ErrNotLeader)) // not the owner yet
		ctx, stop := startOwner(t, o, testConfig)
		_, err = o.Heartbeat(ctx, testHeartbeat)
		is.NoErr(err)
		steps := []galenajob.Step{{Count: 2, Need: galenajob.Resources{MilliCPU: 600}}, {Count: 1, After: []int{0}}}
		for _, path := range []string{"/q/j1", "/q/j2"} {
			_, err = o.Do(ctx, Request{Kind: RequestSubmit, Host: "h", Path: path, Spec: &galenajob.Spec{Steps: steps}})
			is.NoErr(err)
			time.Sleep(time.Second)
		}
		_, err = o.BeginWave(ctx, Wave{ID: 7, Machines: []galenahead.VMName{"gone", "m"}, Duration: time.Minute, MaxDown: 0})
		is.NoErr(err)
		time.Sleep(100 * time.Millisecond)

		view := func(q ViewQuery) View {
			v, err := o.View(ctx, q)
			is.NoErr(err)
			return v
		}
		is.Equal(view(ViewQuery{Part: PartOwner}).Owner.Name, galenahead.ReplicaName("a"))
		is.Equal(view(ViewQuery{Part: PartOwner}).Owner.ConfigVersion, uint64(1))
		q := view(ViewQuery{Part: PartQueues}).Queues[0]
		is.Equal([]int{q.Jobs, q.Waiting}, []int{2, 1})
		jobs := view(ViewQuery{Part: PartJobs, Limit: 1})
		is.Equal(jobs.Total, 2)
		is.Equal(len(jobs.Jobs), 1)
		is.Equal(jobs.Jobs[0].ID, galenahead.JobID("j1")) // the oldest first
		is.Equal(jobs.Jobs[0].Steps, []galenajob.StepView{{Step: 0, Open: true, Items: 2, Placed: 1}, {Step: 1, Items: 1}})
		is.Equal(view(ViewQuery{Part: PartJobs, Queue: "other"}).Total, 0)
		j := view(ViewQuery{Part: PartJob, Job: "j1"}).Jobs[0]
		is.Equal(j.State, galenajob.StateRunning)
		is.Equal(len(j.Runs), 1)
		is.Equal(j.Runs[0].Phase, "running")
		is.Equal(j.Runs[0].Percent, 40)
		in := view(ViewQuery{Part: PartInstances}).Instances[0]
		is.Equal(in.State, "leaving") // evacuated for the wave
		is.Equal(in.Used.MilliCPU, int64(600))
		is.Equal(view(ViewQuery{Part: PartMachines}).Machines[0].Pool, galenahead.ServiceName("counter"))
		w := view(ViewQuery{Part: PartWaves}).Waves[0]
		is.Equal([]int{w.Machines, w.Down, w.Done}, []int{2, 0, 0})

		_, err = o.View(ctx, ViewQuery{Part: PartJob, Job: "unknown"})
		is.True(eris.Is(err, galenahead.ErrNotFound))
		_, err = o.View(ctx, ViewQuery{Part: "everything"})
		is.True(eris.Is(err, galenahead.ErrInvalid))
		l.holdsLease.Store(false)
		_, err = o.View(ctx, ViewQuery{Part: PartOwner})
		is.True(eris.Is(err, galenahead.ErrNotLeader)) // the owner has lost its lease
		stop()
	})
}
