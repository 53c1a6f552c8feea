package galenafleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
)

// configSending returns testConfig with another version, whose queue is sent to service, or
// dropped if that is empty.
func configSending(version uint64, service galenahead.ServiceName) Config {
	c := testConfig
	c.Version = version
	c.Services = []Service{{Name: "counter"}, {Name: "courier"}}
	c.Queues = nil
	if service != "" {
		q := testConfig.Queues[0]
		q.Service = service
		c.Queues = []QueueRule{q}
	}
	return c
}

// Guards against jobs that count as none, are shown as unknown, or never start, because a
// configuration sends their queue to another service while they wait.
func TestWaitingJobsFollowTheirQueue(t *testing.T) {
	const jobs = 10
	type step struct {
		// service is that of the next configuration; empty drops the queue.
		service  galenahead.ServiceName
		newOwner bool
	}
	tests := []struct {
		name  string
		steps []step
		// runsAt is where the jobs run in the end.
		runsAt galenahead.InstanceID
	}{
		{"another service", []step{{"courier", false}}, "courier-1"},
		{"another owner at once", []step{{"courier", true}}, "courier-1"},
		{"there and back at once", []step{{"courier", false}, {"counter", false}}, "counter-2"},
		{"to and fro, and other owners", []step{{"courier", false}, {"counter", true}, {"courier", false}, {"counter", false}, {"courier", true}}, "courier-1"},
		{"dropped", []step{{"", false}}, "counter-2"},
		{"dropped, and back for another service", []step{{"", false}, {"courier", true}}, "courier-1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				o, log := testOwner()
				f := newStoppableInstances()
				o.Instances = f
				ctx, stop := startOwner(t, o, configSending(1, "counter"))
				heartbeat := func(id galenahead.InstanceID, service galenahead.ServiceName) {
					hb := testHeartbeat
					hb.Sequence, hb.Clock, hb.Instance.ID, hb.Instance.Service = f.clock(id), f.clock(id), id, service
					hb.Instance.Capacity.MilliCPU = 100 * jobs
					_, err := o.Heartbeat(ctx, hb)
					is.NoErr(err)
				}
				do := func(kind RequestKind, id string, milliCPU int64) Reply {
					step := galenajob.Step{Count: 1, Need: galenajob.Resources{MilliCPU: milliCPU}}
					r, err := o.Do(ctx, Request{Kind: kind, Host: "h", Path: "/q/" + id, Spec: &galenajob.Spec{Steps: []galenajob.Step{step}}})
					is.NoErr(err)
					return r
				}
				heartbeat("counter-1", "counter")
				is.Equal(do(RequestSubmit, "first", 100*jobs).Outcome, OutcomeAccepted)
				time.Sleep(500 * time.Millisecond)
				for i := range jobs {
					is.Equal(do(RequestSubmit, fmt.Sprint("j", i), 100).Outcome, OutcomeAccepted)
				}
				log.delay.Store(int64(15 * time.Millisecond))
				time.Sleep(100 * time.Millisecond)
				is.Equal(do(RequestWaiting, "", 0).Waiting, jobs)

				for i, step := range tt.steps {
					_, err := o.Configure(ctx, configSending(uint64(2+i), step.service))
					is.NoErr(err)
					for n := range 40 {
						if step.newOwner && n == 10 {
							stop()
							next, nextLog := testOwner()
							next.Instances, next.State = f, o.State
							nextLog.state = o.State
							nextLog.delay.Store(int64(15 * time.Millisecond))
							o = next
							ctx, stop = startOwner(t, o, configSending(uint64(2+i), step.service))
							time.Sleep(200 * time.Millisecond)
						}
						if step.service != "" {
							n := do(RequestWaiting, "", 0).Waiting
							is.True(n >= jobs && n <= 2*jobs)
							view, err := o.View(ctx, ViewQuery{Part: PartQueues})
							is.NoErr(err)
							is.True(view.Queues[0].Waiting >= jobs)
							is.Equal(do(RequestState, "j0", 0).State, galenajob.StateQueued)
						}
						time.Sleep(time.Millisecond)
					}
				}
				if tt.steps[len(tt.steps)-1].service != "" {
					time.Sleep(5 * time.Second)
					is.Equal(do(RequestWaiting, "", 0).Waiting, jobs)
					is.Equal(do(RequestCancel, "j0", 0).Outcome, OutcomeAccepted)
					is.Equal(do(RequestWaiting, "", 0).Waiting, jobs-1)
				}

				heartbeat("courier-1", "courier")
				heartbeat("counter-2", "counter")
				time.Sleep(time.Second)
				if tt.steps[len(tt.steps)-1].service != "" {
					is.Equal(do(RequestWaiting, "", 0).Waiting, 0)
				}
				stop()
				time.Sleep(time.Second)
				f.mu.Lock()
				defer f.mu.Unlock()
				is.Equal(f.twice, nil)
				is.Equal(len(f.runs["counter-1"]), 1) // what had begun goes on where it is
				for i := 1; i < jobs; i++ {
					_, ok := f.runs[tt.runsAt][galenajob.ItemID{Job: galenahead.JobID(fmt.Sprint("j", i))}]
					is.True(ok)
				}
				_, cancelledRuns := f.runs[tt.runsAt][galenajob.ItemID{Job: "j0"}]
				is.Equal(cancelledRuns, tt.steps[len(tt.steps)-1].service == "")
			})
		})
	}
}

// Guards against a job that is cancelled while it is handed to another service, and runs there.
func TestCancelledJobIsNotHandedOver(t *testing.T) {
	for delay := range 40 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			o, log := testOwner()
			f := newStoppableInstances()
			o.Instances = f
			ctx, stop := startOwner(t, o, configSending(1, "counter"))
			hb := testHeartbeat
			hb.Instance.ID, hb.Instance.Service = "courier-1", "courier"
			_, err := o.Heartbeat(ctx, hb)
			is.NoErr(err)
			time.Sleep(200 * time.Millisecond)
			request := Request{Kind: RequestSubmit, Host: "h", Path: "/q/j", Spec: &galenajob.Spec{Steps: []galenajob.Step{{Count: 1}}}}
			_, err = o.Do(ctx, request)
			is.NoErr(err)
			log.delay.Store(int64(15 * time.Millisecond))
			_, err = o.Configure(ctx, configSending(2, "courier"))
			is.NoErr(err)
			time.Sleep(time.Duration(delay) * time.Millisecond)
			request.Kind = RequestCancel
			r, err := o.Do(ctx, request)
			is.NoErr(err)
			is.Equal(r.Outcome, OutcomeAccepted)
			time.Sleep(time.Second)
			stop()
			time.Sleep(time.Second)
			f.mu.Lock()
			defer f.mu.Unlock()
			is.Equal(len(f.runs["courier-1"]), 0)
			for _, sh := range o.State.activeJobs() {
				t.Errorf("job %s is not final", sh.ID)
			}
		})
	}
}
