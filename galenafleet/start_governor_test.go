package galenafleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an owner that starts so much work that its log and the polls which renew
// leases wait for their turn, against one that never recovers, and against one that stops.
func TestStartsFollowLateness(t *testing.T) {
	is := is.New(t)
	var g startGovernor
	is.Equal(g.bound(256), 256)
	is.Equal(g.bound(0), 0)
	g.observe(lateTick)
	is.Equal(g.bound(256), 256)
	for range 4 {
		g.observe(2 * lateTick)
	}
	is.True(g.bound(256) < 128)
	for range 100 {
		g.observe(time.Second)
	}
	is.Equal(g.bound(256), 8)
	is.Equal(g.bound(4), 1)
	ticks := 0
	for ; g.bound(256) < 256; ticks++ {
		g.observe(0)
	}
	is.True(time.Duration(ticks)*leadershipCheckInterval < 3*time.Second)
}
