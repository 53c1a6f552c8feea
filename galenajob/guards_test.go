package galenajob

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
)

// pollResponse is the response of the instance to a poll that is sent now, with readings
// of a clock that was 1000 at t0.
func pollResponse(t *testing.T, s *Scheduler, now time.Time, id galenahead.InstanceID) PollResponse {
	t.Helper()
	req, ok := s.NextPoll(now, id)
	if !ok {
		t.Fatalf("%s is not polled", id)
	}
	return PollResponse{Fence: req.Fence, Clock: 1000 + now.Sub(t0).Milliseconds(), Born: req.Instance.Born, Cursor: req.Cursor, Sent: now}
}

// startOne starts the only work item of a new job at t0 and returns its start.
func startOne(t *testing.T, s *Scheduler) Action {
	t.Helper()
	s.AddJob(t0, testJob("j", 1), 0, false)
	as := starts(s.Plan(t0, t0))
	if len(as) != 1 {
		t.Fatalf("%d starts, want 1", len(as))
	}
	return as[0]
}

// runOne starts the only work item of a new job at t0, and the instance confirms it.
func runOne(t *testing.T, s *Scheduler) Action {
	t.Helper()
	a := startOne(t, s)
	s.HandleOutcome(t0, a, OutcomeDone, 1000, t0)
	return a
}

// restarted returns the registration of the next incarnation of an instance.
func restarted(id galenahead.InstanceID) Instance {
	in := testInstance(string(id))
	in.Born = 2
	return in
}

// Guards against a start that a delayed command of an earlier owner, or to an earlier
// incarnation, overtakes, because the instance has not seen its fencing token yet.
func TestNoStartBeforeInstanceHasSeenFence(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler()
	s.AddInstance(t0, testInstance("a"))
	s.AddJob(t0, testJob("j", 1), 0, false)
	is.Equal(len(starts(s.Plan(t0, t0))), 0)
	s.HandlePoll(t0, "a", pollResponse(t, s, t0, "a"))
	is.Equal(len(starts(s.Plan(t0, t0))), 1)

	s = newFencedScheduler("a")
	s.AddInstance(t0, restarted("a"))
	s.AddJob(t0, testJob("j", 1), 0, false)
	is.Equal(len(starts(s.Plan(t0, t0))), 0)
	s.HandlePoll(t0, "a", pollResponse(t, s, t0, "a"))
	is.Equal(len(starts(s.Plan(t0, t0))), 1)
}

// Guards against a second run of a work item whose start was sent to an earlier incarnation
// of its instance and is executed late by the present one.
func TestRestartKeepsItemUntilFenceIsSeen(t *testing.T) {
	tests := []struct {
		name    string
		restart func(t *testing.T, s *Scheduler, now time.Time)
	}{
		{"registered", func(_ *testing.T, s *Scheduler, now time.Time) { s.AddInstance(now, restarted("a")) }},
		{"found by a poll", func(t *testing.T, s *Scheduler, now time.Time) {
			resp := pollResponse(t, s, now, "a")
			resp.Born = 2
			is.New(t).Equal(len(s.HandlePoll(now, "a", resp)), 0)
		}},
		{"registered while a poll of the earlier incarnation was answered", func(t *testing.T, s *Scheduler, now time.Time) {
			resp := pollResponse(t, s, now, "a")
			s.AddInstance(now, restarted("a"))
			s.HandlePoll(now, "a", resp)
			resp.Born = 0 // not reported
			s.HandlePoll(now, "a", resp)
			is.New(t).Equal(pollResponse(t, s, now, "a").Born, int64(2))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newFencedScheduler("a")
			first := runOne(t, s)
			now := t0.Add(100 * time.Millisecond)
			tt.restart(t, s, now)
			b := testInstance("b")
			s.AddInstance(now, b)
			s.HandlePoll(now, "b", pollResponse(t, s, now, "b"))
			is.Equal(len(starts(s.Plan(now, now))), 0)
			// No lease of the earlier incarnation ends the wait either.
			s.HandleNoResponse("a", now.Add(time.Millisecond))
			late := now.Add(testParams().Lease + time.Second)
			is.Equal(len(starts(s.Plan(late, late))), 0)
			s.HandleOutcome(late, first, OutcomeNoRoom, 0, now)
			is.Equal(len(starts(s.Plan(late, late))), 0)
			resp := pollResponse(t, s, late, "a")
			is.True(resp.Fence > first.Fence)
			s.HandlePoll(late, "a", resp)
			is.Equal(len(starts(s.Plan(late, late))), 1) // the instance rejects the first start now
		})
	}
}

// Guards against a run that is given up because of the late response to an earlier one.
func TestOutcomeOfEarlierRunChangesNothing(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a")
	first := startOne(t, s)
	resp := pollResponse(t, s, t0, "a")
	resp.Ends = []End{{Sequence: 1, Item: first.Item, Number: first.Run, Reason: EndLeaseExpired}}
	s.HandlePoll(t0, "a", resp)
	second := starts(s.Plan(t0, t0))
	is.Equal(len(second), 1)
	is.True(second[0].Run > first.Run)
	s.HandleOutcome(t0, first, OutcomeNoRoom, 1000, t0)
	now := t0.Add(testParams().ResendInterval)
	is.Equal(len(starts(s.Plan(now, now))), 0)
}

// Guards against an end that is recorded twice because the instance lists it again.
func TestEndListedAgainIsRecordedOnce(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a")
	first := runOne(t, s)
	resp := pollResponse(t, s, t0, "a")
	resp.Ends = []End{{Sequence: 1, Item: first.Item, Number: first.Run, Reason: EndFailed}}
	is.Equal(len(s.HandlePoll(t0, "a", resp)), 1)
	is.Equal(len(s.HandlePoll(t0, "a", resp)), 0)
}

// Guards against a second run of a work item whose run is done while the end is not recorded
// yet, and against an end that is lost if this owner is: the instance must not delete it, or
// count as idle, so that its machine may be moved.
func TestUnrecordedEndKeepsItemAndCursor(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a", "b")
	first := runOne(t, s)
	id := first.Instance.ID
	now := t0.Add(100 * time.Millisecond)
	resp := pollResponse(t, s, now, id)
	resp.Ends = []End{{Sequence: 1, Item: first.Item, Number: first.Run, Reason: EndDone}}
	record := s.HandlePoll(now, id, resp)
	is.Equal(len(record), 1)
	is.Equal(len(starts(s.Plan(now, now))), 0)

	now = now.Add(100 * time.Millisecond)
	resp = pollResponse(t, s, now, id)
	is.Equal(resp.Cursor, int64(0))
	s.HandlePoll(now, id, resp) // lists neither the run nor its end
	is.Equal(len(starts(s.Plan(now, now))), 0)
	is.Equal(pollResponse(t, s, now, id).Cursor, int64(0))
	_, idle := s.IdleSince(id)
	is.True(!idle)

	s.HandleNoResponse(id, now.Add(time.Millisecond))
	late := now.Add(2 * testParams().Lease)
	is.Equal(len(starts(s.Plan(late, late))), 0)
	_, idle = s.IdleSince(id)
	is.True(!idle)
	s.ConfirmRecorded(late, id, 1, record, []bool{true})
	is.Equal(len(starts(s.Plan(late, late))), 0) // it is done
	s.HandlePoll(late, id, resp)                 // the instance answers again
	is.Equal(pollResponse(t, s, late, id).Cursor, int64(1))
}

// Guards against ends of a new incarnation that it deletes before they are read, because
// the end of an earlier one was recorded late.
func TestRecordedEndOfEarlierIncarnationKeepsCursor(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a")
	first := runOne(t, s)
	resp := pollResponse(t, s, t0, "a")
	resp.Ends = []End{{Sequence: 5, Item: first.Item, Number: first.Run, Reason: EndDone}}
	record := s.HandlePoll(t0, "a", resp)
	s.AddInstance(t0, restarted("a"))
	s.ConfirmRecorded(t0, "a", 1, record, []bool{true})
	is.Equal(pollResponse(t, s, t0, "a").Cursor, int64(0))
}

// Guards against a run that is given up because an earlier one of its work item ended on
// the same instance.
func TestEndOfEarlierRunKeepsLaterRun(t *testing.T) {
	for _, reason := range []EndReason{EndStopped, EndFailed} {
		t.Run(string(reason), func(t *testing.T) {
			is := is.New(t)
			s := newFencedScheduler("a")
			first := startOne(t, s)
			s.HandleOutcome(t0, first, OutcomeUnknown, 0, t0)
			resp := pollResponse(t, s, t0, "a")
			resp.Ends = []End{{Sequence: 1, Item: first.Item, Number: 900, Reason: reason}} // of an earlier owner
			record := s.HandlePoll(t0, "a", resp)
			s.ConfirmRecorded(t0, "a", 1, record, make([]bool, len(record)))
			now := t0.Add(testParams().ResendInterval)
			as := starts(s.Plan(now, now))
			is.Equal(len(as), 1)
			is.Equal(as[0].Run, first.Run) // repeated, since it may be at work
		})
	}
}

// Guards against a second run while the first one is at work under a lease whose end the
// slow clock of the instance has not reached, and against one under the lease of a start
// that got no response.
func TestLeaseOfSilentInstanceIsWaitedFor(t *testing.T) {
	for _, outcome := range []Outcome{OutcomeDone, OutcomeUnknown} {
		t.Run(outcome.String(), func(t *testing.T) {
			is := is.New(t)
			s := newFencedScheduler("a", "b")
			first := startOne(t, s)
			clock := map[Outcome]int64{OutcomeDone: 1000}[outcome]
			s.HandleOutcome(t0, first, outcome, clock, t0)
			s.HandleNoResponse(first.Instance.ID, t0.Add(time.Millisecond))
			// A clock that is 2% slow reaches the deadline after 5.102 s.
			for now := t0.Add(testParams().UnresponsiveAfter + 2*time.Millisecond); now.Before(t0.Add(5100 * time.Millisecond)); now = now.Add(10 * time.Millisecond) {
				is.Equal(len(starts(s.Plan(now, now))), 0)
			}
			now := t0.Add(5300 * time.Millisecond)
			is.Equal(len(starts(s.Plan(now, now))), 1)
		})
	}
}

// Guards against a second run while the first one is being stopped and its instance lists
// it no more and its end not yet.
func TestStoppedRunIsGoneAfterStopTimeout(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a")
	first := runOne(t, s)
	s.AddInstance(t0, testInstance("b"))
	s.HandlePoll(t0, "b", pollResponse(t, s, t0, "b"))
	s.SetEvacuating(t0, "a", true)
	now := t0.Add(testParams().DrainGracePeriod + time.Millisecond)
	resp := pollResponse(t, s, now, "a")
	resp.Runs = []Run{{Item: first.Item, Number: first.Run}}
	s.HandlePoll(now, "a", resp)
	stop := stops(s.Plan(now, now))
	is.Equal(len(stop), 1)
	s.HandleOutcome(now, stop[0], OutcomeDone, 2000, now)
	soon := now.Add(testParams().StopTimeout / 2)
	s.HandlePoll(soon, "a", pollResponse(t, s, soon, "a"))
	is.Equal(len(starts(s.Plan(soon, soon))), 0)
	late := now.Add(testParams().StopTimeout + time.Millisecond)
	s.HandlePoll(late, "a", pollResponse(t, s, late, "a"))
	is.Equal(len(starts(s.Plan(late, late))), 1)
}

// Guards against a start with the number of a run that an instance has already ended,
// which it would reject for good.
func TestNextRunIsHigherThanListedEnd(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler()
	s.AddInstance(t0, testInstance("a"))
	s.AddJob(t0, testJob("j", 1), 0, true)
	const number = 1500 // the earlier owner has used up the numbers of its epoch
	resp := pollResponse(t, s, t0, "a")
	resp.Ends = []End{{Sequence: 1, Item: ItemID{Job: "j"}, Number: number, Reason: EndFailed}}
	record := s.HandlePoll(t0, "a", resp)
	s.ConfirmRecorded(t0, "a", 1, record, []bool{true})
	now := t0.Add(testParams().RestartDelay)
	as := starts(s.Plan(now, now))
	is.Equal(len(as), 1)
	is.True(as[0].Run > number)
}

// Guards against runs that go on after their job is final or their work item is done.
func TestRunWithoutUseIsStopped(t *testing.T) {
	t.Run("final job", func(t *testing.T) {
		is := is.New(t)
		s := newFencedScheduler("a")
		first := runOne(t, s)
		s.RemoveJob(t0, "j")
		as := stops(s.Plan(t0, t0))
		is.Equal(len(as), 1)
		is.Equal(as[0].Run, first.Run)
	})
	t.Run("work item that is done", func(t *testing.T) {
		is := is.New(t)
		s := newFencedScheduler("a")
		j := testJob("j", 2)
		j.Items[ItemKey{}] = ItemRecord{Done: true}
		s.AddJob(t0, j, 0, true)
		is.Equal(len(starts(s.Plan(t0, t0))), 1) // the other one
		resp := pollResponse(t, s, t0, "a")
		resp.Runs = []Run{{Item: ItemID{Job: "j"}, Number: 900}}
		s.HandlePoll(t0, "a", resp)
		as := stops(s.Plan(t0, t0))
		is.Equal(len(as), 1)
		is.Equal(as[0].Run, int64(900))
	})
	t.Run("work item with an unrecorded end", func(t *testing.T) {
		is := is.New(t)
		s := newFencedScheduler()
		s.AddInstance(t0, testInstance("a"))
		s.AddInstance(t0, testInstance("b"))
		s.AddJob(t0, testJob("j", 1), 0, true)
		resp := pollResponse(t, s, t0, "a")
		resp.Ends = []End{{Sequence: 1, Item: ItemID{Job: "j"}, Number: 901, Reason: EndDone}}
		s.HandlePoll(t0, "a", resp)
		resp = pollResponse(t, s, t0, "b")
		resp.Runs = []Run{{Item: ItemID{Job: "j"}, Number: 900}}
		s.HandlePoll(t0, "b", resp)
		as := s.Plan(t0, t0)
		is.Equal(len(starts(as)), 0)
		is.Equal(len(stops(as)), 1)
	})
}

// Guards against a start that is given up after the deadline of its first copy while a
// repeat of it is under way, which the instance may still execute.
func TestRepeatUnderWayKeepsStart(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a", "b")
	first := startOne(t, s)
	s.HandleOutcome(t0, first, OutcomeUnknown, 0, t0)
	now := t0.Add(testParams().Lease - time.Second)
	repeat := starts(s.Plan(now, now))
	is.Equal(len(repeat), 1)
	is.Equal(repeat[0].Run, first.Run)
	now = t0.Add(testParams().Lease + 200*time.Millisecond)
	resp := pollResponse(t, s, now, first.Instance.ID)
	is.True(resp.Clock > first.Deadline)
	is.True(resp.Clock < repeat[0].Deadline)
	s.HandlePoll(now, first.Instance.ID, resp)
	is.Equal(len(starts(s.Plan(now, now))), 0)
}

// Guards against room that is taken for good by a run that was to be stopped while its start
// was under way, when the instance answers neither the start nor accepts the stop.
func TestStoppedStartWithoutResponseIsGivenUp(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a")
	first := startOne(t, s)
	s.RemoveJob(t0, "j")
	stop := stops(s.Plan(t0, t0))
	is.Equal(len(stop), 1)
	s.HandleOutcome(t0, stop[0], OutcomeBusy, 1000, t0)
	idleAt := func(now time.Time) bool {
		resp := pollResponse(t, s, now, "a")
		s.HandlePoll(now, "a", resp)
		_, idle := s.IdleSince("a")
		return idle
	}
	expiry := t0.Add(time.Duration(first.Deadline-1000) * time.Millisecond)
	is.True(!idleAt(expiry))
	is.True(!idleAt(expiry.Add(time.Millisecond)))
	is.True(idleAt(expiry.Add(2*time.Millisecond + testParams().StopTimeout)))
}

// Guards against a second run of a work item whose end did not fit into the response.
func TestRunMissingFromFirstPageIsNotGivenUp(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a")
	first := runOne(t, s)
	now := t0.Add(100 * time.Millisecond)
	resp := pollResponse(t, s, now, "a")
	resp.Ends = []End{{Sequence: 1, Item: ItemID{Job: "removed"}, Number: 1001, Reason: EndDone}}
	resp.More = true
	s.HandlePoll(now, "a", resp)
	is.Equal(len(starts(s.Plan(now, now))), 0)
	resp = pollResponse(t, s, now, "a")
	resp.Ends = []End{{Sequence: 2, Item: first.Item, Number: first.Run, Reason: EndDone}}
	is.Equal(len(s.HandlePoll(now, "a", resp)), 1)
	is.Equal(len(starts(s.Plan(now, now))), 0)
}
