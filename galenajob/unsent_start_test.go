package galenajob

import (
	"testing"
	"time"
)

// strayWaitAllowed is how long long-running work may be without a run, 6 s and the 3 s in which the
// users look.
const strayWaitAllowed = 9 * time.Second

// Guards against work that waits for a start which was never sent: its run was stopped or given up
// while the call was under way, and then the host did not accept the connection.
func TestUnsentStartOfStoppedRunStartsElsewhere(t *testing.T) {
	for _, tt := range []struct {
		name string
		// end ends the run while its start is under way.
		end func(c *strayStartCase)
	}{
		{"stopped", func(c *strayStartCase) { c.evict(c.now, c.activeItem(c.start.Item), "instance leaves") }},
		{"instance removed", func(c *strayStartCase) { c.RemoveInstance(c.now, "a") }},
		{"instance restarted", func(c *strayStartCase) {
			in := testInstance("a")
			in.Born = 2
			c.AddInstance(c.now, in)
		}},
	} {
		for _, o := range []Outcome{OutcomeUnsent, OutcomeRefused} {
			t.Run(tt.name+", "+o.String(), func(t *testing.T) {
				c := newStrayStartCase(t, testJob("j", 1))
				c.params.GoneAfter = 6 * time.Second // as in the daemon
				c.now = c.now.Add(100 * time.Millisecond)
				tt.end(c)
				c.outcome(c.start, o)
				if started := c.startsElsewhere(); started > strayWaitAllowed {
					t.Errorf("the work item starts elsewhere after %s, want at most %s", started, strayWaitAllowed)
				}
			})
		}
	}
}

// Guards against a lease that nobody expects: a poll is under way when a command to the instance is
// refused, and the next incarnation executes the poll.
func TestRefusedCommandLeavesPollOpen(t *testing.T) {
	for _, o := range []Outcome{OutcomeUnsent, OutcomeRefused} {
		t.Run(o.String(), func(t *testing.T) {
			c := newStrayStartCase(t, testJob("j", 1))
			poll, ok := c.NextPoll(c.now, "a")
			c.is.True(ok)
			c.is.True(poll.Deadline > 0)
			c.now = c.now.Add(20 * time.Millisecond)
			c.outcome(c.start, o)
			in := testInstance("a")
			in.Born = 2
			c.AddInstance(c.now, in)
			c.is.True(c.instances["a"].strayUntil.After(c.now))
		})
	}
}
