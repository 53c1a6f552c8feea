package galenafleet

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
)

// longestLease is the longest lease that a stoppable instance grants.
const longestLease = 10 * time.Second

// stoppableInstances run work until it is stopped or their lease expires. Calls to those that are
// cut off do not arrive.
type stoppableInstances struct {
	mu     sync.Mutex
	booted time.Time
	// restarted holds when instances have started again, and born what identifies that life.
	restarted map[galenahead.InstanceID]time.Time
	born      map[galenahead.InstanceID]int64
	cutOff    map[galenahead.InstanceID]bool
	// until is when the lease of each instance expires.
	until map[galenahead.InstanceID]time.Time
	runs  map[galenahead.InstanceID]map[galenajob.ItemID]int64
	ends  map[galenahead.InstanceID][]galenajob.End
	fence map[galenahead.InstanceID]int64
	// startedAt holds when the last run of each work item has started.
	startedAt map[galenajob.ItemID]time.Time
	// twice describes runs of one work item at the same time.
	twice []string
}

func newStoppableInstances() *stoppableInstances {
	return &stoppableInstances{
		booted: time.Now().Add(-time.Hour), restarted: map[galenahead.InstanceID]time.Time{}, born: map[galenahead.InstanceID]int64{},
		cutOff: map[galenahead.InstanceID]bool{}, until: map[galenahead.InstanceID]time.Time{},
		runs: map[galenahead.InstanceID]map[galenajob.ItemID]int64{}, ends: map[galenahead.InstanceID][]galenajob.End{},
		fence: map[galenahead.InstanceID]int64{}, startedAt: map[galenajob.ItemID]time.Time{},
	}
}

// clock returns the reading of the clock of an instance.
func (f *stoppableInstances) clock(id galenahead.InstanceID) int64 {
	if at, ok := f.restarted[id]; ok {
		return time.Since(at).Milliseconds()
	}
	return time.Since(f.booted).Milliseconds()
}

// restart starts an instance again under its ID.
func (f *stoppableInstances) restart(id galenahead.InstanceID, born int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restarted[id], f.born[id] = time.Now(), born
	delete(f.runs, id)
	delete(f.ends, id)
	delete(f.until, id)
	delete(f.fence, id)
}

// expire ends what runs on instances whose lease has expired. mu must be held.
func (f *stoppableInstances) expire() {
	for id, runs := range f.runs {
		if !time.Now().Before(f.until[id]) {
			for item := range runs {
				f.end(id, item, galenajob.EndLeaseExpired)
			}
		}
	}
}

func (f *stoppableInstances) end(id galenahead.InstanceID, item galenajob.ItemID, reason galenajob.EndReason) {
	f.ends[id] = append(f.ends[id], galenajob.End{Sequence: int64(len(f.ends[id]) + 1), Item: item, Number: f.runs[id][item], Reason: reason})
	delete(f.runs[id], item)
}

// arrive reports whether a call arrives at an instance, and takes its fencing token and lease.
func (f *stoppableInstances) arrive(in galenajob.Instance, fence, deadline int64) bool {
	f.expire()
	if f.cutOff[in.ID] || fence < f.fence[in.ID] {
		return false
	}
	f.fence[in.ID] = fence
	lease := min(time.Duration(deadline-f.clock(in.ID))*time.Millisecond, longestLease)
	if until := time.Now().Add(lease); deadline > 0 && until.After(f.until[in.ID]) {
		f.until[in.ID] = until
	}
	return true
}

var errCutOff = eris.New("cut off")

func (f *stoppableInstances) Start(_ context.Context, a galenajob.Action, _ time.Duration) (galenajob.Outcome, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.arrive(a.Instance, a.Fence, a.Deadline) {
		return galenajob.OutcomeUnknown, 0, errCutOff
	}
	for id, runs := range f.runs {
		if _, ok := runs[a.Item]; ok && id != a.Instance.ID {
			f.twice = append(f.twice, fmt.Sprintf("%v starts on %s while it runs on %s", a.Item, a.Instance.ID, id))
		}
	}
	if f.runs[a.Instance.ID] == nil {
		f.runs[a.Instance.ID] = map[galenajob.ItemID]int64{}
	}
	f.runs[a.Instance.ID][a.Item] = a.Run
	f.startedAt[a.Item] = time.Now()
	return galenajob.OutcomeDone, f.clock(a.Instance.ID), nil
}

func (f *stoppableInstances) Stop(_ context.Context, a galenajob.Action, _ time.Duration) (galenajob.Outcome, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.arrive(a.Instance, a.Fence, 0) {
		return galenajob.OutcomeUnknown, 0, errCutOff
	}
	if _, ok := f.runs[a.Instance.ID][a.Item]; ok {
		f.end(a.Instance.ID, a.Item, galenajob.EndStopped)
	}
	return galenajob.OutcomeDone, f.clock(a.Instance.ID), nil
}

func (f *stoppableInstances) Pace(context.Context, galenajob.Action, time.Duration) error { return nil }

func (f *stoppableInstances) RenewAndPoll(_ context.Context, req galenajob.PollRequest, _, _ time.Duration) (galenajob.PollResponse, error) {
	time.Sleep(20 * time.Millisecond) // it arrives, also if nobody waits for the answer any more
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.arrive(req.Instance, req.Fence, req.Deadline) {
		return galenajob.PollResponse{}, errCutOff
	}
	resp := galenajob.PollResponse{Clock: f.clock(req.Instance.ID), Born: max(1, f.born[req.Instance.ID])}
	for item, run := range f.runs[req.Instance.ID] {
		resp.Runs = append(resp.Runs, galenajob.Run{Item: item, Number: run, Percent: 100})
	}
	for _, e := range f.ends[req.Instance.ID] {
		if e.Sequence > req.Cursor {
			resp.Ends = append(resp.Ends, e)
		}
	}
	return resp, nil
}

func (f *stoppableInstances) setCutOff(id galenahead.InstanceID, cutOff bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cutOff[id] = cutOff
}

func (f *stoppableInstances) lastStart(item galenajob.ItemID) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.startedAt[item]
}

// Guards against work that runs twice because the instance that has it deregisters or is
// reported for another service, and counts as ended although it runs on until its lease
// expires: without an answer it ends seconds after its deregistration, and the report may be
// another writer's.
func TestWorkOfInstanceThatLeavesRunsOnce(t *testing.T) {
	const atOnce = time.Second
	lease := testOwnerParams().Lease
	tests := []struct {
		name string
		// cutOff keeps calls from the instance, and newOwner changes the owner once the
		// leave is recorded.
		cutOff, newOwner bool
		// reachable makes the instance answer the new owner.
		reachable bool
		// reported is another service that a heartbeat names in place of the leave.
		reported galenahead.ServiceName
		// earliest and latest bound the time until the work starts elsewhere; zero means
		// that it must not.
		earliest, latest time.Duration
	}{
		{"answered", false, false, false, "", 0, atOnce},
		{"cut off", true, false, false, "", lease * 9 / 10, lease + atOnce},
		{"cut off, then another owner", true, true, false, "", lease * 9 / 10, 2*lease + atOnce},
		{"cut off, then reached by another owner", true, true, true, "", 0, 2 * atOnce},
		{"another owner", false, true, false, "", 0, atOnce},
		{"reported for another service", false, false, false, "courier", 0, 0},
		{"reported for another service, then another owner", false, true, false, "courier", 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				o, _ := testOwner()
				f := newStoppableInstances()
				o.Instances = f
				ctx, stop := startOwner(t, o, testConfig)
				heartbeat := func(o *Owner, id galenahead.InstanceID, sequence int64, service galenahead.ServiceName, draining bool) {
					hb := testHeartbeat
					hb.Sequence, hb.Clock = sequence, f.clock(id)
					hb.Instance.ID, hb.Instance.Service, hb.Instance.Draining = id, service, draining
					_, err := o.Heartbeat(ctx, hb)
					is.NoErr(err)
				}
				heartbeat(o, "i", 1, "counter", false)
				_, err := o.Do(ctx, Request{Kind: RequestSubmit, Host: "h", Path: "/q/j", Spec: &galenajob.Spec{Steps: []galenajob.Step{{Count: 1}}}})
				is.NoErr(err)
				time.Sleep(time.Second)
				item := galenajob.ItemID{Job: "j"}
				first := f.lastStart(item)
				is.True(!first.IsZero())
				heartbeat(o, "i2", 1, "counter", false)
				if tt.cutOff {
					f.setCutOff("i", true)
				}
				left := time.Now()
				if tt.reported != "" {
					heartbeat(o, "i", 2, tt.reported, false)
				} else {
					heartbeat(o, "i", 2, "counter", true)
					for range 2 { // also if it is sent again
						_, err = o.Leave(ctx, LeaveRequest{ID: "i", Born: 1})
						is.NoErr(err)
					}
				}
				if tt.newOwner {
					stop()
					next, _ := testOwner()
					next.Instances, next.State = f, o.State
					next.Log.(*fakeLog).state = o.State
					f.setCutOff("i", tt.cutOff && !tt.reachable)
					ctx, stop = startOwner(t, next, testConfig)
					o = next
				}
				for sequence := range int64(24) {
					time.Sleep(500 * time.Millisecond)
					heartbeat(o, "i2", 3+sequence, "counter", false)
					heartbeat(o, "i", 3+sequence, "counter", tt.reported == "")
				}
				stop()
				time.Sleep(time.Second)
				f.mu.Lock()
				defer f.mu.Unlock()
				is.Equal(f.twice, nil)
				again := f.startedAt[item]
				if tt.latest == 0 {
					is.Equal(again, first)
					is.Equal(len(f.runs["i"]), 1)
					return
				}
				if d := again.Sub(left); d < tt.earliest || d > tt.latest {
					t.Errorf("the work starts elsewhere %s after the leave, want %s to %s", d, tt.earliest, tt.latest)
				}
				_, registered := o.State.instance("i")
				is.True(!registered)
			})
		})
	}
}
