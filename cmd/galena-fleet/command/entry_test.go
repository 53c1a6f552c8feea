package command

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead/galenasettings"
	"github.com/galenahead/galenahead/platform"
)

// Guards against an entry that is killed at the end of the grace period before it
// has answered a request that arrived at the end of the stop delay.
func TestEntryStopFitsGracePeriod(t *testing.T) {
	for _, test := range []struct{ stopDelay, grace, want time.Duration }{
		{3500 * time.Millisecond, 0, 3500 * time.Millisecond},
		{3500 * time.Millisecond, 6 * time.Second, 3500 * time.Millisecond},
		{3500 * time.Millisecond, 4 * time.Second, 1700 * time.Millisecond},
		{3500 * time.Millisecond, time.Second, 0},
		{time.Second, time.Minute, time.Second},
	} {
		is := is.New(t)
		e := &entryDaemon{baseDaemon: baseDaemon{settings: galenasettings.Fleet{
			Process: galenasettings.Process{StopDelay: test.stopDelay}, GracePeriod: test.grace,
		}}}
		is.Equal(e.stopDelay(), test.want)
		is.True(e.requestDeadline().IsZero())
		before := time.Now()
		e.setAnswerBy()
		if test.grace == 0 {
			is.True(e.requestDeadline().IsZero())
			is.True(e.drainTimeout() >= platform.CallerTimeout)
			continue
		}
		is.True(e.requestDeadline().Sub(before) < test.grace)
		is.True(e.stopDelay()+e.drainTimeout() < test.grace)
		is.True(before.Add(e.stopDelay() + e.drainTimeout()).After(e.requestDeadline().Add(-time.Millisecond)))
	}
}
