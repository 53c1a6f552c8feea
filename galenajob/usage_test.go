package galenajob

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
)

// demandAfter returns the estimated demand after n jobs that arrived gap apart, the
// last one just now.
func demandAfter(n int, gap time.Duration, step Step) int64 {
	s := NewScheduler("s", 1, Params{}, &Fences{})
	now := time.Unix(100, 0)
	for i := range n {
		id := galenahead.JobID(fmt.Sprint("j", i))
		s.AddJob(now.Add(time.Duration(i+1-n)*gap), &Job{ID: id, Spec: Spec{Steps: []Step{step}}}, 0, false)
	}
	return s.Usage(now).ArrivalMilliCPU
}

// Guards against a peak of a few large jobs that is detected only once they wait,
// and against taking one or two jobs for a peak, which would add machines.
func TestRateOfArrivals(t *testing.T) {
	is := is.New(t)
	large := Step{Count: 8, Need: Resources{MilliCPU: 5000}, Estimate: 1300 * time.Millisecond}
	small := Step{Count: 2, Need: Resources{MilliCPU: 500}, Estimate: 400 * time.Millisecond}
	const work = 8 * 5000 * 1300 / 1000

	is.Equal(demandAfter(2, 100*time.Millisecond, large), int64(0)) // two large jobs are no peak
	is.Equal(demandAfter(3, 600*time.Millisecond, large), int64(0)) // nor are three within 1.2 s
	four := demandAfter(4, 125*time.Millisecond, large)
	is.True(four >= 6*work) // eight jobs a second, four of which have arrived
	is.True(four <= 11*work)
	simultaneous := demandAfter(5, 0, large)
	is.True(simultaneous <= 13*work) // five simultaneous jobs count as spread over minArrivalSpan
	is.True(demandAfter(12, 30*time.Millisecond, small) > 0)
}

// Guards against idle instances that count as enough for work which needs more than room: a
// label, several instances at once, or advice.
func TestStartableDemandNeedsRoomOnly(t *testing.T) {
	is := is.New(t)
	s := NewScheduler("s", 1, Params{}, &Fences{})
	s.SetQueues([]Queue{{Name: "q"}, {Name: "advised", RequiresAdvice: true}})
	now := time.Unix(100, 0)
	add := func(id galenahead.JobID, queue string, step Step) {
		step.Need = Resources{MilliCPU: 1000}
		s.AddJob(now, &Job{ID: id, Queue: queue, Spec: Spec{Steps: []Step{step}}}, 0, false)
	}
	add("any", "q", Step{Count: 2})
	add("label", "q", Step{Count: 3, Label: "l"})
	add("gang", "q", Step{Count: 4, Gang: true})
	add("spread", "q", Step{Count: 5, MaxPerInstance: 1})
	add("advised", "advised", Step{Count: 6})
	s.Plan(now, now)
	u := s.Usage(now)
	is.Equal(u.Demand.MilliCPU, int64(20000))
	is.Equal(u.Startable.MilliCPU, int64(0)) // there is no idle instance

	idle := testInstance("idle")
	idle.Capacity = Resources{MilliCPU: 500}
	s.AddInstance(now, idle)
	req, _ := s.NextPoll(now, idle.ID)
	s.HandlePoll(now, idle.ID, PollResponse{Fence: req.Fence, Clock: 1000, Born: 1, Sent: now})
	u = s.Usage(now)
	is.Equal(len(u.Idle), 1)
	is.Equal(u.Startable.MilliCPU, int64(0)) // all work is too large for it

	idle.Capacity = Resources{MilliCPU: 1000}
	s.AddInstance(now, idle)
	is.Equal(s.Usage(now).Startable.MilliCPU, int64(2000))
}
