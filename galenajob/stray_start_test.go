package galenajob

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
)

// strayStartCase is a scheduler with instances a and b and a job whose first run is started on a.
// b is registered once that has happened.
type strayStartCase struct {
	*Scheduler
	is    *is.I
	now   time.Time
	start Action
	// born is the present incarnation of instance a.
	born int64
}

const strayMaxLease = 10 * time.Second

func newStrayStartCase(t *testing.T, j *Job) *strayStartCase {
	c := &strayStartCase{newFencedScheduler("a"), is.New(t), t0, Action{}, 1}
	c.params.MaxLease = strayMaxLease
	c.AddJob(t0, j, 0, false)
	c.start = starts(c.Plan(t0, t0))[0]
	c.AddInstance(t0, testInstance("b"))
	c.answer("b", nil)
	return c
}

func (c *strayStartCase) clock() int64 { return 1000 + c.now.Sub(t0).Milliseconds() }

// answer lets an instance answer a poll, if one is due, with the runs that it lists.
func (c *strayStartCase) answer(id galenahead.InstanceID, runs []Run, ends ...End) {
	born := int64(1)
	if id == "a" {
		born = c.born
	}
	answerPoll(c.Scheduler, c.now, id, PollResponse{Clock: c.clock(), Born: born, Runs: runs, Ends: ends})
}

// outcome passes the outcome of the last start of the run on a.
func (c *strayStartCase) outcome(a Action, o Outcome) {
	clock := c.clock()
	if o == OutcomeUnknown || o.unsent() {
		clock = 0
	}
	c.HandleOutcome(c.now, a, o, clock, c.now.Add(-time.Millisecond))
}

// repeat returns the next start of the run on a.
func (c *strayStartCase) repeat() Action {
	c.now = c.now.Add(testParams().ResendInterval + strayCheckInterval)
	for _, a := range starts(c.Plan(c.now, c.now)) {
		if a.Item == c.start.Item && a.Run == c.start.Run {
			return a
		}
		c.outcome(a, OutcomeDone)
	}
	c.is.Fail() // the start is not repeated
	return Action{}
}

// startsElsewhere goes on until the first work item of the job starts on b, and returns how long
// after the beginning that is. Instance a answers nothing, or is removed as soon as it may be, and
// all else is refused.
func (c *strayStartCase) startsElsewhere() time.Duration {
	return c.startsElsewhereAfter(func() Outcome { return OutcomeUnsent })
}

// startsElsewhereAfter is startsElsewhere if calls to a have these outcomes, or are not made if it is
// not one.
func (c *strayStartCase) startsElsewhereAfter(calls func() Outcome) time.Duration {
	return c.startsElsewhereUntil(t0.Add(60*time.Second), calls)
}

// startsElsewhereUntil is startsElsewhereAfter until a time. It returns zero if the work item does
// not start before.
func (c *strayStartCase) startsElsewhereUntil(end time.Time, calls func() Outcome) time.Duration {
	for c.now.Before(end) {
		c.now = c.now.Add(20 * time.Millisecond)
		o := calls()
		if _, ok := c.NextPoll(c.now, "a"); ok && o == OutcomeRefused {
			c.HandleRefusal("a", c.now)
		} else if ok && o >= 0 {
			c.HandleNoResponse("a", c.now)
		}
		c.answer("b", nil)
		c.Heartbeat(c.now, "b", c.clock())
		for _, a := range c.Plan(c.now, c.now) {
			switch {
			case a.Kind != ActStart && a.Kind != ActStop:
			case a.Instance.ID == "a" && o < 0:
				c.outcome(a, OutcomeDeferred)
			case a.Instance.ID == "a":
				c.outcome(a, o)
			case a.Kind == ActStart && a.Item == c.start.Item:
				return c.now.Sub(t0)
			}
		}
		for _, id := range c.TakeGone() {
			c.RemoveInstance(c.now, id)
		}
	}
	return 0
}

// Guards against work that runs twice: a start has no response, the instance starts again
// under its ID, unheard of, and the later incarnation executes the start, while the work item
// starts elsewhere because the lease that the earlier one had has expired.
func TestStrayStartOfLostInstance(t *testing.T) {
	executed := maxCallDelay                                                   // for what is executed last
	ended := executed + strayMaxLease                                          // for what has ended then
	noRoom := func(c *strayStartCase) { c.outcome(c.repeat(), OutcomeNoRoom) } // the copy is refused
	done := func(c *strayStartCase) { c.outcome(c.repeat(), OutcomeDone) }     // the copy is executed
	run := func(c *strayStartCase) []Run { return []Run{{c.start.Item, c.start.Run, "", 0, 0}} }
	end := func(c *strayStartCase, how EndReason) End {
		return End{Sequence: 1, Item: c.start.Item, Number: c.start.Run, Reason: how}
	}
	lost := func(c *strayStartCase) { c.outcome(c.start, OutcomeUnknown) }
	longRunning := testJob("j", 1)
	longRunning.Spec.Steps[0].LongRunning = true
	large := testJob("j", 1)
	large.Spec.Steps[0].Need = testInstance("a").Capacity
	tests := []struct {
		name string
		job  *Job
		// sent is what becomes of the start before instance a falls silent.
		sent func(c *strayStartCase)
		// earliest and latest bound when the work item starts elsewhere.
		earliest, latest time.Duration
	}{
		{"no response", testJob("j", 1), lost, ended, ended + 4*time.Second},
		{"in flight", testJob("j", 1), func(*strayStartCase) {}, ended, ended + testParams().Lease + 3*time.Second},
		{"no response, long-running", longRunning, lost, ended, ended + 4*time.Second},
		{"no response, gang", testGang("j", 2), lost, ended, ended + testParams().Lease + 3*time.Second},
		{"no response, takes an instance", large, lost, ended, ended + 4*time.Second},
		{"sent again and answered", testJob("j", 1), func(c *strayStartCase) { lost(c); done(c) }, ended, ended + 4*time.Second},
		{"sent again, answered and listed", testJob("j", 1), func(c *strayStartCase) { lost(c); done(c); c.answer("a", run(c)) }, ended, ended + 4*time.Second},
		{"refused", testJob("j", 1), func(c *strayStartCase) { lost(c); noRoom(c) }, ended, ended + 4*time.Second},
		{"run failed", testJob("j", 1), func(c *strayStartCase) {
			lost(c)
			done(c)
			c.answer("a", nil, end(c, EndFailed))
		}, ended, ended + 4*time.Second},
		{"instance leaves", testJob("j", 1), func(c *strayStartCase) { lost(c); c.Leave(c.now, "a") }, ended, ended + 4*time.Second},
		{"instance removed by order", testJob("j", 1), func(c *strayStartCase) { lost(c); c.RemoveInstance(c.now, "a") }, ended, ended + 4*time.Second},
		{"instance removed with a start in flight", testJob("j", 1), func(c *strayStartCase) { c.RemoveInstance(c.now, "a") }, ended, ended + 4*time.Second},

		// These have no start that may still be executed, or their instance has answered since.
		{"answered", testJob("j", 1), func(c *strayStartCase) { c.outcome(c.start, OutcomeDone) }, testParams().Lease, testParams().Lease + 2*time.Second},
		{"not sent", testJob("j", 1), func(c *strayStartCase) { c.outcome(c.start, OutcomeUnsent) }, 0, time.Second},
		{"sent once and listed", testJob("j", 1), func(c *strayStartCase) { lost(c); c.answer("a", run(c)) }, testParams().Lease, testParams().Lease + 2*time.Second},
		{"run stopped", testJob("j", 1), func(c *strayStartCase) {
			lost(c)
			done(c)
			c.answer("a", nil, end(c, EndStopped))
		}, 0, time.Second},
		{"sent once and failed", testJob("j", 1), func(c *strayStartCase) {
			lost(c)
			c.answer("a", nil, end(c, EndFailed))
		}, 0, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newStrayStartCase(t, tt.job)
			c.now = c.now.Add(time.Millisecond)
			tt.sent(c)
			d := c.startsElsewhere()
			if d < tt.earliest || d > tt.latest {
				t.Errorf("the work item starts elsewhere after %s, want %s to %s", d, tt.earliest, tt.latest)
			}
		})
	}
}

// comeBack lets instance a register as its next incarnation, and answer a poll.
func (c *strayStartCase) comeBack(runs []Run, ends ...End) {
	c.born++
	in := testInstance("a")
	in.Born = c.born
	c.AddInstance(c.now, in)
	req, ok := c.NextPoll(c.now, "a")
	c.is.True(ok)
	record := c.HandlePoll(c.now, "a", PollResponse{Fence: req.Fence, Clock: 20, Born: c.born, Sent: c.now, Runs: runs, Ends: ends})
	newlyRecorded := make([]bool, len(record))
	for i := range record {
		newlyRecorded[i] = true
	}
	c.ConfirmRecorded(c.now, "a", c.born, record, newlyRecorded)
}

// Guards against a second run beside one that a later incarnation has executed unheard of, and
// against runs on it beyond what it may take, once it is heard of.
func TestInstanceReturnsWithStrayStart(t *testing.T) {
	for _, known := range []bool{true, false} {
		for _, tt := range []struct {
			name string
			// runs is whether the incarnation lists the run, and how its end.
			runs bool
			how  EndReason
			// again is where the work item starts then, or empty.
			again galenahead.InstanceID
		}{
			{"at work", true, "", ""},
			{"done", false, EndDone, ""},
			{"lapsed", false, EndLeaseExpired, "a"},
			{"not executed", false, "", "a"},
		} {
			t.Run(fmt.Sprintf("%s, still registered %v", tt.name, known), func(t *testing.T) {
				j := testJob("j", 2)
				j.Spec.Steps[0].MaxPerInstance = 1
				c := newStrayStartCase(t, j)
				c.outcome(c.start, OutcomeUnknown)
				c.outcome(c.repeat(), OutcomeUnknown) // so that an end does not show that both were executed
				for c.now.Before(t0.Add(8 * time.Second)) {
					c.now = c.now.Add(20 * time.Millisecond)
					c.HandleNoResponse("a", c.now)
					for _, a := range starts(c.Plan(c.now, c.now)) {
						c.is.True(a.Item != c.start.Item || a.Instance.ID == "a")
						if a.Instance.ID == "b" {
							c.outcome(a, OutcomeDone)
						}
					}
					c.answer("b", []Run{{ItemID{"j", ItemKey{Index: 1}}, 1001, "", 0, 0}})
				}
				if !known {
					c.RemoveInstance(c.now, "a")
				}
				var runs []Run
				var ends []End
				if tt.runs {
					runs = []Run{{c.start.Item, c.start.Run, "", 0, 0}}
				}
				if tt.how != "" {
					ends = []End{{Sequence: 1, Item: c.start.Item, Number: c.start.Run, Reason: tt.how}}
				}
				c.comeBack(runs, ends...)
				as := c.Plan(c.now, c.now)
				c.is.Equal(len(stops(as)), 0)
				if tt.again == "" {
					c.is.Equal(len(starts(as)), 0)
					return
				}
				c.is.Equal(len(starts(as)), 1)
				c.is.Equal(starts(as)[0].Item, c.start.Item)
				c.is.Equal(starts(as)[0].Instance.ID, tt.again)
				c.is.True(starts(as)[0].Run > c.start.Run)
			})
		}
	}
}

// Guards against a work item that waits although its instance answers and does not run it.
func TestStrayStartEndsWithAnswer(t *testing.T) {
	c := newStrayStartCase(t, testJob("j", 1))
	c.outcome(c.start, OutcomeUnknown)
	c.outcome(c.repeat(), OutcomeInvalid)
	elsewhere := time.Duration(0)
	for elsewhere == 0 && c.now.Before(t0.Add(60*time.Second)) {
		c.now = c.now.Add(20 * time.Millisecond)
		c.Heartbeat(c.now, "b", c.clock())
		for _, a := range c.Plan(c.now, c.now) {
			switch {
			case a.Kind == ActStop:
				c.outcome(a, OutcomeDone)
			case a.Instance.ID == "a":
				c.outcome(a, OutcomeInvalid)
			default:
				elsewhere = c.now.Sub(t0)
			}
		}
		c.answer("a", nil)
		c.answer("b", nil)
	}
	if latest := testParams().StopTimeout + time.Second; elsewhere == 0 || elsewhere > latest {
		t.Errorf("the work item starts elsewhere after %s, want at most %s", elsewhere, latest)
	}
}

// Guards against a work item that waits although its instance has ended, since another one has its
// address: instances that crash mostly come back under another ID.
func TestStrayStartEndsWithAddress(t *testing.T) {
	for _, inherited := range []bool{false, true} {
		for _, same := range []bool{false, true} {
			t.Run(fmt.Sprintf("inherited %v, same address %v", inherited, same), func(t *testing.T) {
				c := newStrayStartCase(t, testJob("j", 1))
				c.outcome(c.start, OutcomeUnknown)
				c.RemoveInstance(c.now, "a")
				if inherited {
					u := c.TakeUnansweredStarts()[0]
					j := testJob("j", 1)
					j.Unanswered = map[ItemKey]UnansweredRecord{u.Item.Item: {Instance: u.Instance, Address: u.Address, GivenUpAt: t0}}
					c.Scheduler = NewScheduler("counter", 2, c.params, &Fences{})
					c.SetQueue(Queue{Name: "q", Service: "counter", MaxAttempts: 2, Stretch: 1.6})
					c.AddJob(t0, j, 0, true)
				}
				c.now = c.now.Add(5 * time.Second)
				c.is.Equal(len(starts(c.Plan(c.now, c.now))), 0)
				in := testInstance("c")
				if same {
					in.Address = testInstance("a").Address
				}
				c.AddInstance(c.now, in)
				c.answer("c", nil)
				c.is.Equal(len(starts(c.Plan(c.now, c.now))), btoi(same))
			})
		}
	}
}

// Guards against a next owner that starts work elsewhere which an instance may yet start for the
// owner before, and against one that waits for starts from long before.
func TestRecordedStrayStart(t *testing.T) {
	for _, tt := range []struct {
		name string
		// age is how long before the next owner the start was recorded, and removed whether the
		// instance was given up.
		age     time.Duration
		removed bool
		// earliest is when the work item may start elsewhere.
		earliest time.Duration
	}{
		{"just sent", 0, false, maxCallDelay + strayMaxLease},
		{"just sent, the instance was removed", 0, true, maxCallDelay + strayMaxLease},
		// The owner before may have renewed the lease until now.
		{"sent some time before", 10 * time.Second, false, maxCallDelay + strayMaxLease},
		{"sent so long before that it can't be executed any more", 20 * time.Second, false, strayMaxLease + 4*time.Second},
		{"sent long before", 40 * time.Second, false, testParams().Lease},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			first := newStrayStartCase(t, testJob("j", 1))
			first.outcome(first.start, OutcomeUnknown)
			unanswered := first.TakeUnansweredStarts()
			is.Equal(unanswered, []UnansweredStart{{Item: testItem, Instance: "a", Address: "a:1", GivenUpAt: t0}})
			j := testJob("j", 1)
			j.Unanswered = map[ItemKey]UnansweredRecord{testItem.Item: {Instance: "a", Address: "a:1", GivenUpAt: t0.Add(-tt.age)}}

			next := &strayStartCase{NewScheduler("counter", 2, first.params, &Fences{}), is, t0, first.start, 1}
			next.SetQueue(Queue{Name: "q", Service: "counter", MaxAttempts: 2, Stretch: 1.6})
			if !tt.removed {
				next.AddInheritedInstance(t0, testInstance("a"), t0.Add(testParams().Lease))
			}
			next.AddJob(t0, j, 0, true)
			next.AddInstance(t0, testInstance("b"))
			d := next.startsElsewhere()
			if latest := tt.earliest + 3*time.Second; d < tt.earliest || d > latest {
				t.Errorf("the work item starts elsewhere after %s, want %s to %s", d, tt.earliest, latest)
			}
		})
	}
}

// Guards against an owner that dies while a start without a response is not recorded yet, since it
// has not given up waiting for one.
func TestStartInFlightIsRecorded(t *testing.T) {
	c := newStrayStartCase(t, testJob("j", 1))
	c.is.Equal(len(c.TakeUnansweredStarts()), 0)
	c.now = c.now.Add(testParams().ResendInterval)
	c.Plan(c.now, c.now)
	c.is.Equal(c.TakeUnansweredStarts(), []UnansweredStart{{Item: testItem, Instance: "a", Address: "a:1", GivenUpAt: c.now}})
}

// Guards against a job that starts elsewhere under the service that runs its queue now, while an
// earlier start of the service before may be executed.
func TestStrayStartOfReassignedJob(t *testing.T) {
	c := newStrayStartCase(t, testJob("j", 1))
	c.outcome(c.start, OutcomeUnknown)
	c.RemoveInstance(c.now, "a")
	c.SetQueue(Queue{Name: "q", Service: "courier"})
	c.Plan(c.now, c.now)
	reassignments := c.TakeReassignments()
	c.is.Equal(len(reassignments), 1)
	next := &strayStartCase{NewScheduler("courier", 1, c.params, &Fences{}), c.is, t0, c.start, 1}
	next.SetQueue(Queue{Name: "q", Service: "courier", MaxAttempts: 2, Stretch: 1.6})
	next.AddReassignedJob(testJob("j", 1), reassignments[0])
	next.AddInstance(t0, testInstance("b"))
	c.is.True(next.startsElsewhere() >= maxCallDelay+strayMaxLease)
}

// Guards against a run that starts beside a stray one on the same instance: the incarnation lists
// an earlier run than the last one that was ordered there, and was told to stop it while the next
// one started. Guards also against run numbers that are used again.
func TestIncarnationListsEarlierRun(t *testing.T) {
	c := newStrayStartCase(t, testJob("j", 1))
	c.RemoveInstance(c.now, "b")
	c.outcome(c.start, OutcomeUnknown)
	c.outcome(c.repeat(), OutcomeInvalid)
	var second Action
	for second.Run == 0 && c.now.Before(t0.Add(10*time.Second)) {
		c.now = c.now.Add(20 * time.Millisecond)
		for _, a := range c.Plan(c.now, c.now) {
			c.outcome(a, OutcomeDone)
			if a.Kind == ActStart {
				second = a
			}
		}
		c.answer("a", nil)
	}
	c.is.Equal(second.Run, c.start.Run+1)
	c.comeBack([]Run{{c.start.Item, c.start.Run, "", 0, 0}})
	c.is.Equal(len(c.Plan(c.now, c.now)), 0) // it is at work
	c.answer("a", nil, End{Sequence: 1, Item: c.start.Item, Number: c.start.Run, Reason: EndLeaseExpired})
	as := starts(c.Plan(c.now, c.now))
	c.is.Equal(len(as), 1)
	c.is.Equal(as[0].Run, second.Run+1)
}
