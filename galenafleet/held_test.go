package galenafleet

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenaintake"
	"github.com/galenahead/galenahead/galenajob"
)

// heapInUse returns the memory that is reachable.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against jobs that hold more than the room counts for them: in the state, with the records of
// their work items, and in the scheduler of an owner in the same process.
func TestJobsHoldWhatIsCounted(t *testing.T) {
	for _, c := range []struct {
		name                string
		jobs, steps, items  int
		payload, recurrence int
	}{
		{"ordinary", 2000, 2, 8, 100, 0},
		{"payloads", 500, 1, 1, 4000, 0},
		{"items", 20, 1, 4000, 1, 0},
		{"steps", 20, 2000, 1, 1, 0},
		{"recurring", 20, 1, 100, 1, 1000},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			before := heapInUse()
			state := &State{Room: &galenaintake.Room{Bytes: 1 << 30}}
			s := galenajob.NewScheduler("counter", 1, testOwnerParams(), &galenajob.Fences{})
			s.SetQueue(galenajob.Queue{Name: "q", Service: "counter", MaxAttempts: 2, Stretch: 1.6})
			for n := range c.jobs {
				spec := galenajob.Spec{Payload: strings.Repeat("x", c.payload), Repetitions: c.recurrence, Interval: time.Hour, StartAt: baseTime}
				for range c.steps {
					spec.Steps = append(spec.Steps, galenajob.Step{Count: c.items, Need: galenajob.Resources{MilliCPU: 100}, Estimate: time.Second})
				}
				id := galenahead.JobID(fmt.Sprintf("%016x", n))
				apply(t, state, Op{Submit: &galenajob.Job{ID: id, Queue: "q", Service: "counter", MaxAttempts: 2, Accepted: baseTime, Spec: spec}})
				s.AddJob(baseTime, state.activeJob(id), 0, false)
			}
			s.Plan(baseTime, baseTime)
			for n := range c.jobs {
				id := galenahead.JobID(fmt.Sprintf("%016x", n))
				for k := range c.steps {
					var ops []Op
					for i := range c.items {
						if k < c.steps-1 || i < c.items-1 {
							ops = append(ops, Op{End: &EndOp{Job: id, Item: galenajob.ItemKey{Step: k, Index: i}, How: galenajob.EndDone, At: baseTime, Run: 1}})
						}
					}
					apply(t, state, ops...)
				}
			}
			held, counted := heapInUse()-before, state.Room.Used()
			t.Logf("%d bytes held, %d counted (%.2f) for each of %d jobs", held/int64(c.jobs), counted/int64(c.jobs), float64(held)/float64(counted), c.jobs)
			is.True(held <= counted)
			runtime.KeepAlive(s)
			runtime.KeepAlive(state)
		})
	}
}

// Guards against an owner that accepts more than its process can hold, refuses what has room, loses room
// that nothing holds, or lets one queue use up the room of all.
func TestOwnerRefusesWhatHasNoRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		o.State.Room = &galenaintake.Room{Bytes: 8 << 20}
		cfg := testConfig
		cfg.Queues = append(slices.Clone(cfg.Queues), QueueRule{Name: "r", Host: "h", Prefix: "/r/", Service: "counter", MaxAttempts: 2, Stretch: 1.6})
		ctx, stop := startOwner(t, o, cfg)
		do := func(kind RequestKind, path string, items int) Reply {
			r, err := o.Do(ctx, Request{Kind: kind, Host: "h", Path: path, Spec: &galenajob.Spec{Steps: []galenajob.Step{{Count: max(1, items)}}}})
			is.NoErr(err)
			return r
		}
		accepted := 0
		var refused Reply
		for refused.Outcome == "" && accepted < 100 {
			if r := do(RequestSubmit, fmt.Sprint("/q/j", accepted), 1000); r.Outcome == OutcomeAccepted {
				accepted++
			} else {
				refused = r
			}
		}
		is.Equal(accepted, 5) // with n jobs of one queue, what is free is less than n+1 of them
		is.Equal(refused.Outcome, OutcomeRejected)
		is.Equal(refused.RetryAfter, roomRetryAfter)
		_, _, _, known := o.State.JobState("j5")
		is.True(!known)                                                     // it has not run
		is.Equal(do(RequestSubmit, "/q/j0", 1000).Outcome, OutcomeAccepted) // an accepted job is accepted again
		is.Equal(do(RequestSubmit, "/q/small", 1).Outcome, OutcomeAccepted)
		is.Equal(do(RequestSubmit, "/r/other", 1000).Outcome, OutcomeAccepted) // of another queue
		is.Equal(do(RequestSubmit, "/r/huge", 20000).Outcome, OutcomeInvalid)  // there is never room for it
		is.Equal(do(RequestCancel, "/q/unknown", 0).Outcome, OutcomeNoJob)

		// The next owner holds the same, and what is final gives its room back.
		used := o.State.Room.Used()
		snapshot, err := o.State.Snapshot()
		is.NoErr(err)
		next := &State{Room: &galenaintake.Room{Bytes: 1}}
		is.NoErr(next.Restore(snapshot))
		is.Equal(next.Room.Used(), used)
		for i := range accepted {
			is.Equal(do(RequestCancel, fmt.Sprint("/q/j", i), 0).Outcome, OutcomeAccepted)
		}
		is.Equal(do(RequestSubmit, "/q/j5", 1000).Outcome, OutcomeAccepted)
		for _, path := range []string{"/q/j5", "/q/small", "/r/other"} {
			is.Equal(do(RequestCancel, path, 0).Outcome, OutcomeAccepted)
		}
		is.Equal(o.State.Room.Used(), int64(8*galenajob.HeldByFinalJob+galenajob.HeldByUnknownJob))
		time.Sleep(o.FinalJobRetention + 2*expireInterval)
		is.Equal(o.State.Room.Used(), int64(0))
		o.State.Room.Force("other", 8<<20)
		r := do(RequestCancel, "/q/unknown", 0) // it would have to be remembered
		is.Equal(r.Outcome, OutcomeUnready)
		is.Equal(r.RetryAfter, roomRetryAfter)
		stop()
	})
}

// Guards against the records of a recurring job that grow for as long as it lives, and against work
// items of an occurrence that is over which count or run again.
func TestRecordsOfOccurrencesThatAreOverAreForgotten(t *testing.T) {
	is := is.New(t)
	s := &State{}
	const occurrences = 5
	op := submitOp("p", 2)
	op.Submit.Spec.Repetitions, op.Submit.Spec.Interval = occurrences, time.Second
	apply(t, s, op)
	end := func(occurrence, index int) Result {
		e := endOp(index, 1, galenajob.EndDone)
		e.End.Item.Occurrence = occurrence
		return apply(t, s, e)[0]
	}
	for _, k := range []int{1, 0, 3} {
		is.Equal(end(k, 0).Code, CodeDone)
		is.Equal(end(k, 1).Code, CodeDone)
		is.Equal(end(k, 1).Code, CodeUnchanged)
	}
	is.Equal(end(2, 0).Code, CodeDone)
	j := s.activeJob("j")
	is.Equal(len(j.Items), 1)
	is.Equal(j.Over, galenajob.OccurrenceSet{Before: 2, Others: []int{3}})
	is.Equal(j.ItemsLeft, 3)
	crash := Op{Crash: &CrashOp{Job: "j", Item: galenajob.ItemKey{Occurrence: 3}, At: baseTime, Run: 2}}
	is.Equal(apply(t, s, crash)[0].Code, CodeUnchanged)

	b, err := s.Snapshot()
	is.NoErr(err)
	var restored State
	is.NoErr(restored.Restore(b))
	is.Equal(restored.activeJob("j"), j)
	is.Equal(restored.jobs["j"].DoneItems, map[int]int{2: 1})

	// A snapshot of an earlier version holds all records.
	earlier := *s.jobs["j"]
	earlier.Over = galenajob.OccurrenceSet{}
	earlier.Items = map[galenajob.ItemKey]galenajob.ItemRecord{{Occurrence: 2}: {Done: true}}
	for _, k := range []int{0, 1, 3} {
		for i := range 2 {
			earlier.Items[galenajob.ItemKey{Occurrence: k, Index: i}] = galenajob.ItemRecord{Done: true}
		}
	}
	b, err = (&State{jobs: map[galenahead.JobID]*galenajob.Job{"j": &earlier}}).Snapshot()
	is.NoErr(err)
	is.NoErr(restored.Restore(b))
	is.Equal(restored.activeJob("j"), j)

	is.Equal(end(2, 1).Code, CodeDone)
	is.Equal(end(4, 0).Code, CodeDone)
	is.Equal(end(4, 1).JobState, galenajob.StateCompleted)
}
