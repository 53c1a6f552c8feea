package galenajob

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func testGang(id string, count int) *Job {
	j := testJob(id, count)
	j.Spec.Steps[0].Gang = true
	return j
}

// Guards against run numbers of the next owner's range: each plan that found no room for
// a gang used up a run number, so that runs of the next owner were lower than earlier ones.
func TestWaitingGangUsesNoRunNumbers(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a")
	s.AddJob(t0, testGang("j", 5), 0, false)
	now := t0
	for range runsPerEpoch + 1 {
		now = now.Add(time.Millisecond)
		is.Equal(len(starts(s.Plan(now, now))), 0)
	}
	s.AddInstance(now, testInstance("b"))
	req, _ := s.NextPoll(now, "b")
	s.HandlePoll(now, "b", PollResponse{Fence: req.Fence, Clock: 1000, Born: 1, Sent: now})
	as := starts(s.Plan(now, now))
	is.Equal(len(as), 5)
	is.Equal(as[0].Run, int64(runsPerEpoch+1))
}
