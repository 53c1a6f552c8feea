package galenajob

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// refusedStart is a scheduler with an item whose start got no response on its first
// attempt and a refusal on the second. Another instance, b, is free.
type refusedStart struct {
	*Scheduler
	is    *is.I
	now   time.Time
	start Action
}

func newRefusedStart(t *testing.T, refusal Outcome) *refusedStart {
	r := &refusedStart{newFencedScheduler("a", "b"), is.New(t), t0, Action{}}
	r.AddJob(t0, testJob("j", 1), 0, false)
	r.start = starts(r.plan())[0]
	r.now = r.now.Add(600 * time.Millisecond)
	r.answer(r.start, OutcomeUnknown)
	r.now = r.now.Add(testParams().ResendInterval)
	repeat := starts(r.plan())[0]
	r.is.Equal(repeat.Run, r.start.Run)
	r.answer(repeat, refusal)
	return r
}

// clock returns the reading of the instances' clocks.
func (r *refusedStart) clock() int64 { return 1000 + r.now.Sub(t0).Milliseconds() }

func (r *refusedStart) plan() []Action { return r.Plan(r.now, r.now) }

func (r *refusedStart) answer(a Action, o Outcome) {
	clock := r.clock()
	if o == OutcomeUnknown {
		clock = 0
	}
	r.HandleOutcome(r.now, a, o, clock, r.now.Add(-time.Millisecond))
}

// poll polls the instance of the first start, which lists the given runs.
func (r *refusedStart) poll(runs ...Run) {
	id := r.start.Instance.ID
	req, ok := r.NextPoll(r.now, id)
	r.is.True(ok)
	r.HandlePoll(r.now, id, PollResponse{Fence: req.Fence, Clock: r.clock(), Born: 1, Sent: r.now, Runs: runs})
}

// Guards against a second run of a work item whose start was sent twice: the refusal of
// the second copy said nothing about the first one, which had no response and was
// executed late, when the next run was at work on another instance.
func TestRefusedRepeatKeepsUnansweredStart(t *testing.T) {
	for _, refusal := range []Outcome{OutcomeBusy, OutcomeNoRoom, OutcomeNoTicket, OutcomeInvalid} {
		t.Run(refusal.String(), func(t *testing.T) {
			r := newRefusedStart(t, refusal)
			for r.now.Before(t0.Add(testParams().Lease)) {
				r.now = r.now.Add(50 * time.Millisecond)
				for _, a := range starts(r.plan()) {
					r.is.Equal(a.Run, r.start.Run) // the first copy may still be executed
					r.is.Equal(a.Instance.ID, r.start.Instance.ID)
				}
			}
		})
	}
}

// Guards against waiting for a deadline, or a stop, where one more copy of a refused start
// tells that the run exists.
func TestRefusedStartIsRepeatedUntilItIsCertain(t *testing.T) {
	r := newRefusedStart(t, OutcomeBusy)
	r.now = r.now.Add(testParams().ResendInterval)
	repeat := starts(r.plan())[0]
	r.answer(repeat, OutcomeDone)
	r.now = r.now.Add(testParams().Lease)
	r.poll(Run{Item: r.start.Item, Number: r.start.Run})
	as := r.plan()
	r.is.Equal(len(starts(as))+len(stops(as)), 0) // the run is at work
}

// Guards against an item that waits longer than needed after its start was refused for a
// reason that repeats don't change, and against releasing it before the instance is known
// to reject the earlier copies.
func TestStopReleasesItemOfRefusedStart(t *testing.T) {
	r := newRefusedStart(t, OutcomeNoRoom)
	stop := stops(r.plan())[0]
	r.is.Equal(stop.Run, r.start.Run)
	r.answer(stop, OutcomeDone)
	r.poll()
	r.is.Equal(len(starts(r.plan())), 0) // the end may be listed later
	r.now = r.now.Add(testParams().StopTimeout + time.Millisecond)
	r.poll()
	next := starts(r.plan())[0]
	r.is.Equal(next.Run, r.start.Run+1)
	r.is.True(next.Instance.ID != r.start.Instance.ID)
}

// Guards against an item that never starts because an instance refuses all starts and
// stops, and against starting it elsewhere while the first copy has not expired.
func TestRefusedStartEndsWithTheDeadlineOfItsCopies(t *testing.T) {
	r := newRefusedStart(t, OutcomeBusy)
	sent := r.start
	for r.clock() <= sent.Deadline {
		r.now = r.now.Add(50 * time.Millisecond)
		for _, a := range r.plan() {
			r.is.Equal(a.Instance.ID, sent.Instance.ID)
			if a.Kind == ActStart && r.now.Sub(t0) < 2*time.Second {
				sent = a
				r.answer(a, OutcomeUnknown)
				continue
			}
			r.answer(a, OutcomeBusy)
		}
		r.poll()
	}
	r.now = r.now.Add(testParams().StopTimeout + time.Millisecond)
	r.poll()
	next := starts(r.plan())[0]
	r.is.Equal(next.Run, sent.Run+1)
	r.is.True(next.Instance.ID != sent.Instance.ID)
}

// Guards against a run that begins on an instance long after it has announced that it
// leaves, because a start without a response was repeated there.
func TestStartIsNotRepeatedAtLeavingInstance(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave func(*Scheduler)
	}{
		{"draining", func(s *Scheduler) { s.Drain(t0, "a") }},
		{"evacuating", func(s *Scheduler) { s.SetEvacuating(t0, "a", true) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newFencedScheduler("a")
			s.AddJob(t0, testJob("j", 1), 0, false)
			start := starts(s.Plan(t0, t0))[0]
			now := t0.Add(600 * time.Millisecond)
			s.HandleOutcome(now, start, OutcomeUnknown, 0, t0)
			c.leave(s)
			now = now.Add(testParams().ResendInterval)
			as := s.Plan(now, now)
			is.Equal(len(starts(as)), 0)
			is.Equal(len(stops(as)), 1)
			is.Equal(stops(as)[0].Run, start.Run)
		})
	}
}

// Guards against an item that never starts because its instance answers polls but no
// commands, while another instance is free.
func TestUnansweredStartEndsWithTheDeadlineOfItsCopies(t *testing.T) {
	r := newRefusedStart(t, OutcomeUnknown)
	for r.now.Before(t0.Add(4 * testParams().Lease)) {
		r.now = r.now.Add(50 * time.Millisecond)
		for _, a := range r.plan() {
			if a.Kind == ActStart && a.Run != r.start.Run {
				r.is.True(a.Instance.ID != r.start.Instance.ID)
				return
			}
			r.answer(a, OutcomeUnknown)
		}
		r.poll()
		r.Heartbeat(r.now, "b", r.clock())
	}
	t.Fatal("the item did not start elsewhere")
}
