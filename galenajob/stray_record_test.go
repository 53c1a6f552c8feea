package galenajob

import (
	"testing"
	"time"
)

// Guards against a wait that begins anew with each owner, and so outlasts whatever the start can
// have begun.
func TestHoldIsThatOfTheStart(t *testing.T) {
	for _, owners := range []time.Duration{7 * time.Second, 12 * time.Second} {
		c := newStrayStartCase(t, testJob("j", 1))
		c.outcome(c.start, OutcomeUnknown)
		j := testJob("j", 1)
		j.Unanswered = map[ItemKey]UnansweredRecord{}
		record := func() {
			for _, u := range c.TakeUnansweredStarts() {
				c.is.True(!u.Over)
				j.Unanswered[u.Item.Item] = UnansweredRecord{Instance: u.Instance, Address: u.Address, GivenUpAt: u.GivenUpAt, Hold: u.Hold}
			}
		}
		silent := func() Outcome { return OutcomeUnknown }
		ends := t0.Add(owners)
		started := time.Duration(0)
		for epoch := uint64(2); started == 0 && epoch < 20; epoch++ {
			registered := c.instances["a"] != nil
			started = c.startsElsewhereUntil(ends, silent)
			record()
			next := NewScheduler("counter", epoch, c.params, &Fences{})
			next.SetQueue(Queue{Name: "q", Service: "counter", MaxAttempts: 2, Stretch: 1.6})
			if registered && c.instances["a"] != nil {
				next.AddInheritedInstance(c.now, testInstance("a"), c.now.Add(testParams().Lease))
			}
			next.AddJob(c.now, copyJob(j), 0, true)
			next.AddInstance(c.now, testInstance("b"))
			if started == 0 {
				c.Scheduler = next
			}
			ends = ends.Add(owners)
		}
		// The first owner ends before the work item waits, and may have renewed the lease until then.
		latest := owners + maxCallDelay + c.params.LongestLease() + testParams().Lease
		if started < maxCallDelay+strayMaxLease || started > latest {
			t.Errorf("owners of %s: the work item starts elsewhere after %s, want %s to %s", owners, started, maxCallDelay+strayMaxLease, latest)
		}
	}
}

// Guards against a next owner that holds a work item for a start which took long to be answered,
// or of which nothing can come any more.
func TestAnsweredStartIsNotRecorded(t *testing.T) {
	t.Run("answered late", func(t *testing.T) {
		c := newStrayStartCase(t, testJob("j", 1))
		c.now = c.now.Add(testParams().ResendInterval)
		c.Plan(c.now, c.now)
		c.outcome(c.start, OutcomeDone)
		recorded := c.TakeUnansweredStarts()
		c.is.Equal(len(recorded), 2)
		c.is.Equal(recorded[1], UnansweredStart{Item: testItem, Instance: "a", Over: true})
	})
}
