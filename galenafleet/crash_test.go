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

func crashOp(index int, run int64, uncertain bool) Op {
	return Op{Crash: &CrashOp{Job: "j", Item: galenajob.ItemKey{Index: index}, At: baseTime, Run: run, Uncertain: uncertain}}
}

// Guards against a crash that counts twice, or for another work item, and against a new
// owner or a snapshot that forgets it.
func TestCrashesCountOnceAndSurviveSnapshot(t *testing.T) {
	is := is.New(t)
	s := &State{}
	rs := apply(t, s, crashOp(0, 1001, false))
	is.Equal(rs[0].Code, CodeNotFound)
	apply(t, s, submitOp("p", 2))
	rs = apply(t, s, crashOp(0, 1001, false), crashOp(0, 1001, true), crashOp(1, 1001, false))
	is.Equal(rs[0].Code, CodeDone)
	is.Equal(rs[1].Code, CodeUnchanged) // the same run
	is.Equal(rs[2].JobState, galenajob.StateQueued)

	b, err := s.Snapshot()
	is.NoErr(err)
	restored := &State{}
	is.NoErr(restored.Restore(b))
	rs = apply(t, restored, crashOp(0, 1001, false), crashOp(0, 2001, true), crashOp(0, 2002, false))
	is.Equal(rs[0].Code, CodeUnchanged)
	is.Equal(rs[2].JobState, galenajob.StateQueued)
	is.Equal(restored.jobs["j"].Items[galenajob.ItemKey{}], galenajob.ItemRecord{Crashed: []int64{1001, 2002}, Uncertain: []int64{2001}})
}

// Guards against a record, and snapshots of it, that grow with each crash under a work item.
func TestRecordOfCrashesIsBounded(t *testing.T) {
	is := is.New(t)
	s := &State{}
	apply(t, s, submitOp("p", 1))
	for run := range int64(100) {
		rs := apply(t, s, crashOp(0, 1001+run, run%2 == 1))
		is.Equal(rs[0].Code, CodeDone)
		is.Equal(rs[0].JobState, galenajob.StateQueued)
	}
	want := galenajob.ItemRecord{Crashed: []int64{1093, 1095, 1097, 1099}, Uncertain: []int64{1094, 1096, 1098, 1100}}
	is.Equal(s.jobs["j"].Items[galenajob.ItemKey{}], want)
}

// Guards against crashes that stay recorded although a run of the work item has outlived probation
// after them, and against crashes before that run which are recorded late.
func TestClearedCrashesDoNotCount(t *testing.T) {
	is := is.New(t)
	s := &State{}
	apply(t, s, submitOp("p", 1))
	second := crashOp(0, 1003, false)
	second.Crash.Cleared = 1002
	rs := apply(t, s, crashOp(0, 1001, false), second)
	is.Equal(rs[1].Code, CodeDone)
	is.Equal(rs[1].JobState, galenajob.StateQueued)
	clearOp := func(run int64) Op {
		return Op{Clear: &ClearOp{Job: "j", Item: galenajob.ItemKey{}, Run: run}}
	}
	rs = apply(t, s, clearOp(1002), clearOp(1004), crashOp(0, 1005, false), crashOp(0, 1004, false), clearOp(1006))
	is.Equal(rs[0].Code, CodeUnchanged)
	is.Equal(rs[1].Code, CodeDone)
	is.Equal(rs[2].JobState, galenajob.StateQueued)
	is.Equal(rs[3].Code, CodeUnchanged)
	b, err := s.Snapshot()
	is.NoErr(err)
	restored := &State{}
	is.NoErr(restored.Restore(b))
	rs = apply(t, restored, crashOp(0, 1006, false), crashOp(0, 2001, false), crashOp(0, 2002, false))
	is.Equal(rs[0].Code, CodeUnchanged)
	is.Equal(rs[2].JobState, galenajob.StateQueued)
	want := galenajob.ItemRecord{Crashed: []int64{2001, 2002}, Cleared: 1006}
	is.Equal(restored.jobs["j"].Items[galenajob.ItemKey{}], want)
}

// Guards against a job that is shown as failed, or is no longer scheduled, because instances have
// crashed under a work item although no run of it has ended as failed (review/4).
func TestCrashesOfInstancesEndNoJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		ctx, stop := startOwner(t, o, testConfig)
		for i, longRunning := range []bool{false, true} {
			path := fmt.Sprintf("/q/%d", i)
			spec := &galenajob.Spec{Payload: "p", Steps: []galenajob.Step{{Count: 1, Need: galenajob.Resources{MilliCPU: 1}, Estimate: time.Second, LongRunning: longRunning}}}
			_, err := o.Do(ctx, Request{Kind: RequestSubmit, Host: "h", Path: path, Spec: spec})
			is.NoErr(err)
			sh := o.session.Load().shardFor("counter")
			item := galenajob.ItemID{Job: galenahead.JobID(fmt.Sprint(i))}
			for run := range int64(10) {
				sh.recordCrashes([]galenajob.Crash{{Instance: "i", Item: item, Number: 1001 + run, Uncertain: run%2 == 1}})
				r, err := o.Do(ctx, Request{Kind: RequestState, Host: "h", Path: path})
				is.NoErr(err)
				is.Equal(r.State, galenajob.StateQueued)
			}
			jobs := 0
			sh.inspect(func(now time.Time, s *galenajob.Scheduler) { z := s.Sizes(now); jobs = z.Waiting + z.Active })
			is.Equal(jobs, i+1)
		}
		stop()
	})
}

// Guards against a new owner that counts a crash before a run of the work item that has served under
// the owner before.
func TestNewOwnerKnowsClearanceOfCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim := newFleetSimulation(0)
		sim.machines = map[galenahead.VMName]*simMachine{"m0": sim.machines["m0"]}
		o, _ := testOwner()
		o.Instances = sim
		ctx, stop := startOwner(t, o, testConfig)
		defer func() {
			stop()
			time.Sleep(time.Second) // polls in progress end
		}()
		spec := &galenajob.Spec{Payload: "p", Steps: []galenajob.Step{{Count: 1, Need: galenajob.Resources{MilliCPU: 1}, LongRunning: true}}}
		_, err := o.Do(ctx, Request{Kind: RequestSubmit, Host: "h", Path: "/q/1", Spec: spec})
		is.NoErr(err)
		sh := o.session.Load().shardFor("counter")
		item := galenajob.ItemID{Job: "1"}
		sh.recordCrashes([]galenajob.Crash{{Instance: "i", Item: item, Number: 1}})
		sim.heartbeats(ctx, o)
		time.Sleep(time.Second)
		sim.mu.Lock()
		serving := sim.serving(item)
		sim.mu.Unlock()
		is.True(serving)
		// The next owner knows no more than the log.
		sh.recordCrashes([]galenajob.Crash{{Instance: "i", Item: item, Number: 2001}})
		j := o.State.activeJob("1")
		is.Equal(j.Items[item.Item].Crashed, []int64{2001})
	})
}
