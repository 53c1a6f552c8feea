package galenafleet

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
)

// stickyInstances run work until it is stopped. Those whose IDs contain "stuck" accept a stop
// and do not carry it out.
type stickyInstances struct {
	InstanceClient
	mu   sync.Mutex
	runs map[galenahead.InstanceID][]galenajob.Run
	ends map[galenahead.InstanceID][]galenajob.End
}

func (f *stickyInstances) Start(_ context.Context, a galenajob.Action, _ time.Duration) (galenajob.Outcome, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[a.Instance.ID] = append(f.runs[a.Instance.ID], galenajob.Run{Item: a.Item, Number: a.Run, Percent: 100})
	return galenajob.OutcomeDone, 1000, nil
}

func (f *stickyInstances) Stop(_ context.Context, a galenajob.Action, _ time.Duration) (galenajob.Outcome, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := a.Instance.ID
	for i, r := range f.runs[id] {
		if r.Item == a.Item && !strings.Contains(string(id), "stuck") {
			f.runs[id] = append(f.runs[id][:i:i], f.runs[id][i+1:]...)
			f.ends[id] = append(f.ends[id], galenajob.End{Sequence: int64(len(f.ends[id]) + 1), Item: r.Item, Number: r.Number, Reason: galenajob.EndStopped})
			break
		}
	}
	return galenajob.OutcomeDone, 1000, nil
}

func (f *stickyInstances) RenewAndPoll(_ context.Context, req galenajob.PollRequest, wait, _ time.Duration) (galenajob.PollResponse, error) {
	time.Sleep(min(wait, 100*time.Millisecond))
	f.mu.Lock()
	defer f.mu.Unlock()
	id := req.Instance.ID
	return galenajob.PollResponse{Clock: 1000, Born: req.Instance.Born, Runs: append([]galenajob.Run(nil), f.runs[id]...), Ends: append([]galenajob.End(nil), f.ends[id]...)}, nil
}

// namedMachines is maintainedMachines whose instances are named after their order: the first
// ones are stuck.
type namedMachines struct {
	maintainedMachines
	stuck int
}

func (l *namedMachines) List(ctx context.Context) ([]Machine, error) {
	list, err := l.maintainedMachines.List(ctx)
	for i := range list {
		if i < l.stuck {
			list[i].Instance = "stuck-" + list[i].Instance
		}
	}
	return list, err
}

// Pattern: a wave with machines that do not become empty. Guards against the others of the
// wave, which wait for ever behind them although they could have their maintenance.
func TestWaveGoesOnBesideMachinesThatStayBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		l := &namedMachines{maintainedMachines{maintained: map[galenahead.VMName]bool{}, count: 6}, 4}
		o.Machines = l
		o.Instances = &stickyInstances{runs: map[galenahead.InstanceID][]galenajob.Run{}, ends: map[galenahead.InstanceID][]galenajob.End{}}
		ctx, stop := startOwner(t, o, testConfig)
		w := Wave{ID: 1, Duration: time.Minute, MaxDown: 1}
		list, err := l.List(ctx)
		is.NoErr(err)
		for i, v := range list {
			in := testHeartbeat.Instance
			in.ID, in.Labels = v.Instance, []string{"sound"}
			if i < l.stuck {
				in.Labels = []string{"stuck"}
			}
			_, err := o.Heartbeat(ctx, Heartbeat{Instance: in, Sequence: 1, Clock: 1000})
			is.NoErr(err)
			w.Machines = append(w.Machines, v.Name)
		}
		// The stuck machines are the least used ones, so that they are emptied first.
		for i, step := range []galenajob.Step{
			{Count: l.stuck, Label: "stuck", MaxPerInstance: 1, Need: galenajob.Resources{MilliCPU: 100}},
			{Count: l.count - l.stuck, Label: "sound", MaxPerInstance: 1, Need: galenajob.Resources{MilliCPU: 200}},
		} {
			r, err := o.Do(ctx, Request{Kind: RequestSubmit, Host: "h", Path: fmt.Sprint("/q/j", i), Spec: &galenajob.Spec{Steps: []galenajob.Step{step}}})
			is.NoErr(err)
			is.Equal(r.Outcome, OutcomeAccepted)
		}
		time.Sleep(time.Second)
		_, err = o.BeginWave(ctx, w)
		is.NoErr(err)
		for i := 0; i < 40; i++ {
			time.Sleep(time.Second)
			for _, v := range list {
				in := testHeartbeat.Instance
				in.ID, in.Labels = v.Instance, []string{"sound"}
				if strings.Contains(string(v.Instance), "stuck") {
					in.Labels = []string{"stuck"}
				}
				_, err := o.Heartbeat(ctx, Heartbeat{Instance: in, Sequence: int64(i + 2), Clock: 1000})
				is.NoErr(err)
			}
		}
		stop()
		time.Sleep(3 * time.Second)
		is.Equal(l.maintained, map[galenahead.VMName]bool{"m04": true, "m05": true})
	})
}
