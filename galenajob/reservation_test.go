package galenajob

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
)

// Pattern: small items beside a large long-running one. Guards against long-running work that
// never starts, because smaller work items take all room that becomes free.
func TestLongRunningWorkGetsRoomBesideSmallItems(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a", "b")
	for _, id := range s.Instances() {
		s.instances[id].Capacity = Resources{MilliCPU: 4000, MemoryMB: 4000}
	}
	small := Step{Count: 40, Need: Resources{MilliCPU: 1000, MemoryMB: 1000}, Estimate: time.Second}
	s.AddJob(t0, &Job{ID: "small", Queue: "q", MaxAttempts: 3, Spec: Spec{Steps: []Step{small}}, Items: map[ItemKey]ItemRecord{}}, 0, false)
	now := t0
	start := func() (started []Action) {
		for _, a := range s.Plan(now, now) {
			if a.Kind == ActStart {
				s.HandleOutcome(now, a, OutcomeDone, 1000+now.Sub(t0).Milliseconds(), now)
				started = append(started, a)
			}
		}
		return started
	}
	running := start()
	is.Equal(len(running), 8)
	large := Step{Count: 1, Need: Resources{MilliCPU: 3000, MemoryMB: 3000}, LongRunning: true}
	s.AddJob(now, &Job{ID: "large", Queue: "q", Spec: Spec{Steps: []Step{large}}, Items: map[ItemKey]ItemRecord{}}, 0, false)
	start()
	// One work item ends each 100 ms, on each instance in turn.
	for i := 0; i < 12 && len(running) > 0; i++ {
		now = now.Add(100 * time.Millisecond)
		a := running[0]
		running = running[1:]
		s.HandlePoll(now, a.Instance.ID, PollResponse{Fence: a.Fence, Clock: 1000 + now.Sub(t0).Milliseconds(), Born: 1, Sent: now, More: true, Ends: []End{
			{Sequence: s.instances[a.Instance.ID].seenSeq + 1, Item: a.Item, Number: a.Run, Reason: EndDone},
		}})
		s.ConfirmRecorded(now, a.Instance.ID, 1, []End{{Sequence: s.instances[a.Instance.ID].seenSeq, Item: a.Item, Number: a.Run, Reason: EndDone}}, []bool{true})
		running = append(running, start()...)
		if s.JobStarted("large") || s.jobs["large"].occurrence(0)[0].items[0].instance != nil {
			is.True(i >= 2) // three items had to end on one instance
			is.Equal(len(s.reservations), 0)
			return
		}
	}
	t.Fatal("the long-running work item has not started")
}

// Guards against instances that stay reserved, and take no other work, for work that does not
// wait any more.
func TestReservationEnds(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a", "b", "c", "d", "e", "f")
	s.AddJob(t0, testJob("j", 1), 0, false)
	j := s.jobs["j"]
	it := &j.occurrence(0)[0].items[0]
	for range 10 {
		s.reserveFor(t0, it)
	}
	is.Equal(len(s.reservations), 1) // one work item waits
	s.releaseReservations(t0.Add(minReservationTime), nil)
	is.Equal(len(s.reservations), 1)
	s.releaseReservations(t0.Add(minReservationTime+1), nil)
	is.Equal(len(s.reservations), 0)

	now := t0.Add(2*minReservationTime + 2) // the pause after a reservation of no use is over
	s.reserveFor(now, it)
	s.RemoveInstance(now, s.reservations[0].inst.ID)
	is.Equal(len(s.reservations), 0)

	s.reserveFor(now, it)
	is.Equal(len(s.reservations), 1)
	s.RemoveJob(now, "j")
	s.releaseReservations(now, nil)
	is.Equal(len(s.reservations), 0)
	for _, inst := range s.sortedInstances() {
		is.True(inst.heldFor == nil)
	}
}

// Guards against work that is stopped, or long-running work that is moved beyond what its
// step allows, only because another pool wants the machine.
func TestVacatingEndsNoWork(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a")
	s.instances["a"].Capacity = Resources{MilliCPU: 100000, MemoryMB: 100000}
	lasting := Step{Count: 1, Need: Resources{MilliCPU: 1, MemoryMB: 1}, LongRunning: true}
	s.AddJob(t0, &Job{ID: "lasting", Queue: "q", Spec: Spec{Steps: []Step{lasting}}, Items: map[ItemKey]ItemRecord{}}, 0, false)
	s.AddJob(t0, testJob("batch", 2), 0, false)
	var runs []Run
	for _, a := range s.Plan(t0, t0) {
		s.HandleOutcome(t0, a, OutcomeDone, 1000, t0)
		runs = append(runs, Run{Item: a.Item, Number: a.Run, Percent: 100})
	}
	is.Equal(len(runs), 3)
	s.SetVacating("a")
	s.AddJob(t0, testJob("later", 1), 0, false)
	for i := 1; i <= 10; i++ {
		now := t0.Add(time.Duration(i) * s.params.DrainGracePeriod / 2)
		s.HandlePoll(now, "a", PollResponse{Fence: s.instances["a"].fence, Clock: 1000 + now.Sub(t0).Milliseconds(), Born: 1, Sent: now, Runs: runs})
		for _, a := range s.Plan(now, now) {
			is.True(a.Kind != ActStop)
			is.True(a.Kind != ActStart)
		}
		is.Equal(s.Usage(now).Instances, 0)
	}
	// A move that was decided evacuates the instance.
	now := t0.Add(time.Minute)
	s.SetEvacuating(now, "a", true)
	is.True(!s.instances["a"].vacating())
	s.SetVacating("a")
	is.True(!s.instances["a"].vacating())
	s.SetEvacuating(now, "a", false)
	is.True(!s.instances["a"].evacuating)
}

// Guards against machines with long-running work that are emptied first, or at all while their
// pool has no room for it.
func TestVacateOrder(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("batch", "idle", "lasting")
	place := func(id string, j *Job) {
		s.AddJob(t0, j, 0, false)
		s.instances["batch"].place(&s.jobs[j.ID].occurrence(0)[0].items[0], 1)
		s.jobs[j.ID].occurrence(0)[0].items[0].phase = phaseRunning
		if id != "batch" {
			s.jobs[j.ID].occurrence(0)[0].items[0].release(t0)
			for _, inst := range s.sortedInstances() {
				if string(inst.ID) == id {
					inst.place(&s.jobs[j.ID].occurrence(0)[0].items[0], 2)
				}
			}
		}
	}
	place("batch", testJob("b", 1))
	place("lasting", &Job{ID: "l", Queue: "q", Spec: Spec{Steps: []Step{{Count: 1, LongRunning: true}}}, Items: map[ItemKey]ItemRecord{}})
	ids := s.VacateOrder(t0, false)
	is.Equal(len(ids), 2)
	is.Equal(string(ids[0])+" "+string(ids[1]), "idle batch")
	ids = s.VacateOrder(t0, true)
	is.Equal(string(ids[len(ids)-1]), "lasting")
}

// lastingJob returns a job of one long-running work item.
func lastingJob(id string, milliCPU int64) *Job {
	step := Step{Count: 1, Need: Resources{MilliCPU: milliCPU, MemoryMB: 1}, LongRunning: true, MaxPerInstance: 1}
	return &Job{ID: galenahead.JobID(id), Queue: "q", Spec: Spec{Steps: []Step{step}}, Items: map[ItemKey]ItemRecord{}}
}

// planAndConfirm plans, confirms all starts and returns their jobs.
func planAndConfirm(s *Scheduler, now time.Time) (started []galenahead.JobID) {
	for _, a := range s.Plan(now, now) {
		if a.Kind == ActStart {
			s.HandleOutcome(now, a, OutcomeDone, 1000+now.Sub(t0).Milliseconds(), now)
			started = append(started, a.Item.Job)
		}
	}
	return started
}

// Pattern: long-running jobs, each of which fits on an empty instance, while other long-running
// work is on all. Guards against instances that are kept free for them for ever, so that no
// other work of the service starts.
func TestNoReservationWhereRoomCannotBecomeFree(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a", "b", "c", "d")
	first := lastingJob("first", 1500)
	first.Spec.Steps[0].Count = 4
	s.AddJob(t0, first, 0, false)
	is.Equal(len(planAndConfirm(s, t0)), 4) // one on each
	for i := range 4 {
		s.AddJob(t0, lastingJob(fmt.Sprint("never-", i), 3000), 0, false)
	}
	is.Equal(len(planAndConfirm(s, t0)), 0)
	s.AddJob(t0, testJob("small", 4), 0, false)
	is.Equal(len(planAndConfirm(s, t0)), 4)
	is.Equal(len(s.reservations), 0)
}

// Pattern: long-running work that waits for room beside work that runs longer than estimated.
// Guards against reservations of no use that follow each other without a pause, or take all
// instances of a small service.
func TestUselessReservationsLeaveTimeToOtherWork(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a", "b")
	overdue := Step{Count: 2, Need: Resources{MilliCPU: 2000, MemoryMB: 1}, Estimate: time.Millisecond, MaxPerInstance: 1}
	s.AddJob(t0, &Job{ID: "overdue", Queue: "q", MaxAttempts: 2, Spec: Spec{Steps: []Step{overdue}}, Items: map[ItemKey]ItemRecord{}}, 0, false)
	is.Equal(len(planAndConfirm(s, t0)), 2)
	for i := range 3 {
		s.AddJob(t0, lastingJob(fmt.Sprint("lasting-", i), 3000), 0, false)
	}
	const steps = 600
	kept, mostKept := 0, 0
	for i := range steps {
		now := t0.Add(time.Duration(i) * 100 * time.Millisecond)
		for _, id := range s.Instances() {
			s.Heartbeat(now, id, 1000+now.Sub(t0).Milliseconds())
			s.instances[id].respondedAt, s.instances[id].unansweredSince = now, time.Time{}
			s.NextPoll(now, id)
		}
		planAndConfirm(s, now)
		kept += len(s.reservations)
		mostKept = max(mostKept, len(s.reservations))
	}
	is.True(kept > 0)
	is.Equal(mostKept, 1)
	for _, j := range s.jobs {
		is.True(!j.longRunning || j.uselessReservations > 0) // each has its turn
	}
}
