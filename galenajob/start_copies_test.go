package galenajob

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a second run of a work item whose start was sent twice: the refusal of
// the second copy said nothing about the first one, which had no response and was
// executed late, when the next run was at work on another instance.
func TestRefusedRepeatKeepsUnansweredStart(t *testing.T) {
	for _, refusal := range []Outcome{OutcomeBusy, OutcomeNoRoom, OutcomeNoTicket, OutcomeInvalid} {
		t.Run(refusal.String(), func(t *testing.T) {
			is := is.New(t)
			s := newFencedScheduler("a", "b")
			s.AddJob(t0, testJob("j", 1), 0, false)
			now := t0
			first := starts(s.Plan(now, now))[0]
			now = now.Add(600 * time.Millisecond)
			s.HandleOutcome(now, first, OutcomeUnknown, 0, t0)
			now = now.Add(testParams().ResendInterval)
			repeat := starts(s.Plan(now, now))[0]
			is.Equal(repeat.Run, first.Run)
			s.HandleOutcome(now, repeat, refusal, 1000+now.Sub(t0).Milliseconds(), now)
			for now.Before(t0.Add(testParams().Lease - time.Second)) {
				now = now.Add(50 * time.Millisecond)
				for _, a := range starts(s.Plan(now, now)) {
					is.Equal(a.Run, first.Run) // the first copy may still be executed
					is.Equal(a.Instance.ID, first.Instance.ID)
				}
			}
		})
	}
}
