package galenafleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
	"github.com/galenahead/galenahead/galenatimer"
)

// Guards against shares that leave machines unused, exceed what a pool wants, or give a pool
// less than another that wants more.
func TestFairShares(t *testing.T) {
	is := is.New(t)
	is.Equal(fairShares(100, []int{10, 20, 30}), []int{10, 20, 30})
	is.Equal(fairShares(100, []int{10, 400, 60}), []int{10, 45, 45})
	is.Equal(fairShares(10, []int{0, 400, 600}), []int{0, 5, 5})
	is.Equal(fairShares(-1, []int{1, 2}), []int{0, 0})
	is.Equal(fairShares(5, nil), []int{})
	rng := rand.New(rand.NewPCG(1, 2))
	for range 1000 {
		wants := make([]int, 1+rng.IntN(6))
		sum := 0
		for i := range wants {
			wants[i] = rng.IntN(200)
			sum += wants[i]
		}
		total := rng.IntN(500)
		shares := fairShares(total, wants)
		given := 0
		for i := range shares {
			given += shares[i]
			is.True(shares[i] >= 0 && shares[i] <= wants[i])
			for k := range shares {
				is.True(shares[i] >= wants[i] || shares[k] <= shares[i]+1) // nobody has more than one that lacks some
			}
		}
		is.Equal(given, min(total, sum))
	}
}

// Guards against late work of one pool that keeps the machines which another needs for work
// that can still be done in time.
func TestUrgentWorkComesBeforeLateWork(t *testing.T) {
	is := is.New(t)
	m := testController(&State{Timers: &galenatimer.Service{}}, 1)
	size := galenajob.Resources{MilliCPU: 1000}
	cores := func(n int64) galenajob.Resources { return galenajob.Resources{MilliCPU: 1000 * n} }
	late := poolStatus{service: "late", shortfall: 100, arrivalShortfall: -50, usage: galenajob.Usage{Instances: 50, Used: cores(50), Demand: cores(100)}}
	onTime := poolStatus{
		service: "on_time", shortfall: 60, arrivalShortfall: -20,
		usage: galenajob.Usage{Instances: 20, Used: cores(20), Demand: cores(60), Urgent: cores(51)},
	}
	pools := []poolStatus{late, onTime}
	m.setShares(pools, size, 0)
	// 51 machines' worth of work does not fill 51 machines, and the pools get the same of the
	// 10 machines that are left.
	is.Equal(pools[1].share, 60+5)
	is.Equal(pools[0].share, 5)
	is.Equal(neediest(pools).service, galenahead.ServiceName("on_time"))
}

// sharedFleet is a fleet of single-core machines with two pools.
type sharedFleet struct {
	MachineClient
	moved chan galenahead.ServiceName

	mu       sync.Mutex
	machines []Machine
}

func (f *sharedFleet) List(context.Context) ([]Machine, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.machines), nil
}

func (f *sharedFleet) add(v Machine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.machines = append(f.machines, v)
}

func (f *sharedFleet) Move(_ context.Context, _ galenahead.VMName, pool galenahead.ServiceName, _ string, _ uint64) error {
	f.moved <- pool
	return nil
}

// Pattern: turns. The pool that peaked first has all machines and works off a backlog when
// the other one peaks. Guards against a pool that keeps its machines as long as any work
// runs there, while the other waits without machines.
func TestPoolOfEarlierPeakGivesMachinesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const machines = 20
		o, _ := testOwner()
		f := &sharedFleet{moved: make(chan galenahead.ServiceName, 10*machines)}
		instances := &runningInstances{began: time.Now(), length: time.Second, runs: map[galenahead.InstanceID][]timedRun{}, ends: map[galenahead.InstanceID][]galenajob.End{}}
		o.Machines, o.Instances = f, instances
		o.Params.MaxStarting = 0
		c := testConfig
		c.Services = []Service{{Name: "counter"}, {Name: "courier"}, {Name: "other", Spare: true}}
		c.Queues = []QueueRule{
			{Name: "a", Host: "h", Prefix: "/a/", Service: "counter", MaxAttempts: 3, Stretch: 100, TargetLatency: time.Minute},
			{Name: "b", Host: "h", Prefix: "/b/", Service: "courier", MaxAttempts: 3, Stretch: 100, TargetLatency: time.Minute},
		}
		ctx, stop := startOwner(t, o, c)
		defer func() {
			stop()
			time.Sleep(time.Second) // polls end
		}()
		size := galenajob.Resources{MilliCPU: 1000, MemoryMB: 1000}
		for i := range machines {
			id := galenahead.InstanceID(fmt.Sprintf("i%02d", i))
			f.add(Machine{Name: galenahead.VMName(id), Pool: "counter", State: MachineUp, Instance: id, Capacity: size})
			_, err := o.Heartbeat(ctx, Heartbeat{Instance: galenajob.Instance{ID: id, Born: 1, Service: "counter", Address: string(id), Capacity: size}, Sequence: 1, Clock: 1000})
			is.NoErr(err)
		}
		submit := func(queue string, jobs int) {
			for i := range jobs {
				spec := &galenajob.Spec{Payload: "p", Steps: []galenajob.Step{{Count: 1, Need: size, Estimate: time.Second}}}
				r, err := o.Do(ctx, Request{Kind: RequestSubmit, Host: "h", Path: fmt.Sprintf("/%s/%s%d", queue, queue, i), Spec: spec})
				is.NoErr(err)
				is.Equal(r.Outcome, OutcomeAccepted)
			}
		}
		submit("a", 10*machines)
		time.Sleep(2 * time.Second)
		is.Equal(len(f.moved), 0)
		submit("b", 10*machines)
		time.Sleep(4 * time.Second)
		to := map[galenahead.ServiceName]int{}
		for len(f.moved) > 0 {
			to[<-f.moved]++
		}
		is.Equal(to["other"], 0)
		is.True(to["courier"] >= machines/2-2) // the pools want the same
		is.True(to["courier"] <= machines/2+2)
		is.Equal(instances.stopped, 0) // nothing that runs is ended for it
	})
}

// runningInstances run each work item for a time.
type runningInstances struct {
	InstanceClient
	began  time.Time
	length time.Duration

	mu      sync.Mutex
	runs    map[galenahead.InstanceID][]timedRun
	ends    map[galenahead.InstanceID][]galenajob.End
	stopped int
}

type timedRun struct {
	galenajob.Run
	until time.Time
}

func (f *runningInstances) clock() int64 { return 1000 + time.Since(f.began).Milliseconds() }

func (f *runningInstances) Start(_ context.Context, a galenajob.Action, _ time.Duration) (galenajob.Outcome, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	run := timedRun{galenajob.Run{Item: a.Item, Number: a.Run, Percent: 50}, time.Now().Add(f.length)}
	f.runs[a.Instance.ID] = append(f.runs[a.Instance.ID], run)
	return galenajob.OutcomeDone, f.clock(), nil
}

func (f *runningInstances) Stop(context.Context, galenajob.Action, time.Duration) (galenajob.Outcome, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped++
	return galenajob.OutcomeDone, f.clock(), nil
}

func (f *runningInstances) RenewAndPoll(_ context.Context, req galenajob.PollRequest, wait, _ time.Duration) (galenajob.PollResponse, error) {
	time.Sleep(min(wait, 50*time.Millisecond))
	f.mu.Lock()
	defer f.mu.Unlock()
	id := req.Instance.ID
	resp := galenajob.PollResponse{Clock: f.clock(), Born: 1}
	f.runs[id] = slices.DeleteFunc(f.runs[id], func(r timedRun) bool {
		over := !time.Now().Before(r.until)
		if over {
			f.ends[id] = append(f.ends[id], galenajob.End{Sequence: int64(len(f.ends[id]) + 1), Item: r.Item, Number: r.Number, Reason: galenajob.EndDone})
		} else {
			resp.Runs = append(resp.Runs, r.Run)
		}
		return over
	})
	resp.Ends = slices.DeleteFunc(slices.Clone(f.ends[id]), func(e galenajob.End) bool { return e.Sequence <= req.Cursor })
	return resp, nil
}
