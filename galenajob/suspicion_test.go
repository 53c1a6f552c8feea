package galenajob

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
)

// failingPool is a scheduler whose instances end each run at the next step.
type failingPool struct {
	s    *Scheduler
	now  time.Time
	seqs map[galenahead.InstanceID]int64
	// startedOn counts the starts by instance, and startedAt holds the first of each job.
	startedOn map[galenahead.InstanceID]int
	startedAt map[galenahead.JobID]time.Time
	// fails reports whether the run of a job on an instance fails.
	fails func(galenahead.JobID, galenahead.InstanceID) bool
}

func newFailingPool(instances int, fails func(galenahead.JobID, galenahead.InstanceID) bool) *failingPool {
	var ids []string
	for i := range instances {
		ids = append(ids, fmt.Sprintf("i%d", i))
	}
	return &failingPool{
		s: newFencedScheduler(ids...), now: t0, fails: fails,
		seqs: map[galenahead.InstanceID]int64{}, startedOn: map[galenahead.InstanceID]int{}, startedAt: map[galenahead.JobID]time.Time{},
	}
}

// step plans, ends all that starts, and lets d pass.
func (p *failingPool) step(d time.Duration) {
	for _, a := range starts(p.s.Plan(p.now, p.now)) {
		id := a.Instance.ID
		p.startedOn[id]++
		if _, ok := p.startedAt[a.Item.Job]; !ok {
			p.startedAt[a.Item.Job] = p.now
		}
		clock := 1000 + p.now.Sub(t0).Milliseconds()
		p.s.HandleOutcome(p.now, a, OutcomeDone, clock, p.now)
		p.seqs[id]++
		e := End{Sequence: p.seqs[id], Item: a.Item, Number: a.Run, Reason: EndDone}
		if p.fails(a.Item.Job, id) {
			e.Reason = EndFailed
		}
		ends := p.s.HandlePoll(p.now, id, PollResponse{Fence: a.Fence, Clock: clock, Born: 1, Sent: p.now, Ends: []End{e}})
		p.s.ConfirmRecorded(p.now, id, 1, ends, []bool{true})
	}
	p.now = p.now.Add(d)
}

func (p *failingPool) run(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.step(10 * time.Millisecond)
	}
}

// runUntilStarted runs until work items of as many jobs have started, for a minute at most.
func (p *failingPool) runUntilStarted(jobs int) {
	for end := p.now.Add(time.Minute); len(p.startedAt) < jobs && p.now.Before(end); {
		p.step(10 * time.Millisecond)
	}
}

// Guards against a pool whose instances are all left without work for a doubling time,
// because the same jobs fail on each of them, while a sound job waits.
func TestJobsThatFailEverywhereKeepNoWorkOff(t *testing.T) {
	is := is.New(t)
	p := newFailingPool(4, func(j galenahead.JobID, _ galenahead.InstanceID) bool { return j != "sound" })
	for n := range 6 {
		j := testJob(fmt.Sprintf("hopeless%d", n), 4)
		j.Spec.Steps[0].Need.MilliCPU = 4000 // one work item an instance
		p.s.AddJob(p.now, j, 0, false)
	}
	p.runUntilStarted(6)
	sound := testJob("sound", 1)
	sound.Spec.Steps[0].Need.MilliCPU = 4000
	added := p.now
	p.s.AddJob(added, sound, 0, false)
	p.run(20 * time.Second)
	is.Equal(p.startedAt["sound"], added) // no instance is at fault
}

// Guards against work that waits for the end of a long suspicion although only suspected
// instances have room for it.
func TestWorkStartsOnSuspectedInstanceIfNoOtherHasRoom(t *testing.T) {
	is := is.New(t)
	var faulty galenahead.InstanceID
	p := newFailingPool(2, func(j galenahead.JobID, id galenahead.InstanceID) bool { return id == faulty && j != "large" })
	lasting := testJob("lasting", 1)
	lasting.Spec.Steps[0].LongRunning = true
	p.s.AddJob(p.now, lasting, 0, false)
	as := starts(p.s.Plan(p.now, p.now))
	is.Equal(len(as), 1)
	p.s.HandleOutcome(p.now, as[0], OutcomeDone, 1000, p.now)
	faulty = "i0"
	if as[0].Instance.ID == faulty {
		faulty = "i1"
	}
	// What needs a whole instance has room on the faulty one only.
	whole := func(id string) *Job {
		j := testJob(id, 1)
		j.Spec.Steps[0].Need.MilliCPU = 4000
		return j
	}
	for n := range 6 {
		p.s.AddJob(p.now, whole(fmt.Sprintf("failed%d", n)), 0, false)
	}
	p.runUntilStarted(6)
	is.Equal(len(p.startedAt), 6)
	is.Equal(p.s.instanceState(p.now, p.s.instances[faulty]), "suspected")
	added, failed := p.now, p.startedOn[faulty]
	p.s.AddJob(added, whole("large"), 0, false)
	p.s.AddJob(added, testJob("small", 1), 0, false)
	p.step(10 * time.Millisecond)
	is.Equal(p.startedAt["small"], added)
	is.Equal(p.startedOn[faulty], failed)
	p.run(10 * time.Second)
	is.True(!p.startedAt["large"].IsZero())
	is.True(p.startedAt["large"].Sub(added) <= 2*testParams().SuspectTime)
}

// Guards against work on an instance that fails all it starts while another one has room.
func TestInstanceThatFailsAllIsAvoided(t *testing.T) {
	is := is.New(t)
	p := newFailingPool(4, func(_ galenahead.JobID, id galenahead.InstanceID) bool { return id == "i0" })
	for n := range 200 {
		p.s.AddJob(p.now, testJob(fmt.Sprintf("j%d", n), 5), 0, false)
		p.run(100 * time.Millisecond)
	}
	is.True(p.startedOn["i0"] >= 2)  // the first failures show the fault
	is.True(p.startedOn["i0"] <= 30) // of 1,000 work items
}

// Guards against an instance that gets no work because of failures without a sign of it in the
// log.
func TestSuspicionIsReportedOnce(t *testing.T) {
	is := is.New(t)
	p := newFailingPool(4, func(_ galenahead.JobID, id galenahead.InstanceID) bool { return id == "i0" })
	for n := range 3 {
		p.s.AddJob(p.now, testJob(fmt.Sprintf("j%d", n), 1), 0, false)
		p.step(10 * time.Millisecond)
	}
	is.Equal(p.s.TakeSuspicions(), []Suspicion{{Instance: "i0", Jobs: 2, Duration: testParams().SuspectTime}})
	is.Equal(len(p.s.TakeSuspicions()), 0)
}

// Guards against a backlog that starts on an instance which fails all it starts, as often as
// nothing is barred there, because that one always has room while all others are full.
func TestFullPoolTriesSuspectedInstanceWithOneWorkItem(t *testing.T) {
	is := is.New(t)
	var faulty galenahead.InstanceID
	p := newFailingPool(2, func(_ galenahead.JobID, id galenahead.InstanceID) bool { return id == faulty })
	lasting := testJob("lasting", 1)
	lasting.Spec.Steps[0].LongRunning, lasting.Spec.Steps[0].Need.MilliCPU = true, 4000
	p.s.AddJob(p.now, lasting, 0, false)
	as := starts(p.s.Plan(p.now, p.now))
	is.Equal(len(as), 1)
	p.s.HandleOutcome(p.now, as[0], OutcomeDone, 1000, p.now)
	faulty = "i0"
	if as[0].Instance.ID == faulty {
		faulty = "i1"
	}
	for n := range 100 {
		p.s.AddJob(p.now, testJob(fmt.Sprintf("j%d", n), 1), 0, false)
	}
	p.run(10 * testParams().SuspectTime)
	is.True(p.startedOn[faulty] >= 10)
	is.True(p.startedOn[faulty] <= 14) // four at first, and one after each failure
}
