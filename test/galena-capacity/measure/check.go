package measure

import (
	"context"
	"fmt"
	"time"
)

// Targets of sections 1.6 and 1.7 of the design page for a control daemon.
const (
	maxCPU     = 0.02
	maxMemory  = 32 * megabyte
	maxTraffic = 22 * kilobyte
	maxInForce = 4 * time.Second
	// currentEntries is the current number of entries of one deployment.
	currentEntries = 12
)

// Bound is a measured value with its upper limit.
type Bound struct {
	Name         string
	Value, Limit float64
	Unit         string
}

// Met reports whether the value is within the limit.
func (b Bound) Met() bool { return b.Value <= b.Limit }

// String returns a line of text that begins with met or UNMET and the name.
func (b Bound) String() string {
	state := "met"
	if !b.Met() {
		state = "UNMET"
	}
	return fmt.Sprintf("%s %s: %.3f of at most %g %s", state, b.Name, b.Value, b.Limit, b.Unit)
}

// Unmet returns the number of bounds that are not met.
func Unmet(bounds []Bound) int {
	n := 0
	for _, b := range bounds {
		if !b.Met() {
			n++
		}
	}
	return n
}

// Check measures a deployment of the current size and returns the results with the
// targets.
func (r *Runner) Check(ctx context.Context) ([]Bound, error) {
	c, err := r.MeasureControl(ctx, Spec{
		Entries: currentEntries, Size: CurrentSize, RenewInterval: renewInterval, Idle: idleWindow, Paced: pacedWindow, Burst: burstSize,
	})
	if err != nil {
		return nil, err
	}
	return bounds(c), nil
}

func bounds(c ControlResult) []Bound {
	var out []Bound
	for _, window := range []struct {
		name string
		Window
	}{{"idle", c.Idle}, {"17,000 changes a day", c.Paced}} {
		out = append(out,
			Bound{window.name + ", leader processor time", 100 * window.Leader.CPU, 100 * maxCPU, "% of a core"},
			Bound{window.name + ", follower processor time", 100 * window.Follower.CPU, 100 * maxCPU, "% of a core"},
			Bound{window.name + ", leader resident memory", window.Leader.RSS / megabyte, maxMemory / megabyte, "MB"},
			Bound{window.name + ", follower resident memory", window.Follower.RSS / megabyte, maxMemory / megabyte, "MB"},
			Bound{window.name + ", leader traffic", window.LeaderTraffic() / kilobyte, maxTraffic / kilobyte, "KB/s"},
			Bound{window.name + ", follower traffic", window.Log / 2 / kilobyte, maxTraffic / kilobyte, "KB/s"},
		)
	}
	return append(out,
		Bound{"17,000 changes a day, submitted to in force", c.PacedInForce.Seconds(), maxInForce.Seconds(), "s"},
		// The target is interpreted strictly: the time is that of the whole burst, from its
		// first submission, and not that of a single change.
		Bound{fmt.Sprintf("burst of %d, first submitted to all in force", c.Burst.Changes), c.Burst.TotalTime.Seconds(), maxInForce.Seconds(), "s"},
		Bound{fmt.Sprintf("burst of %d, leader resident memory, peak", c.Burst.Changes), c.Burst.LeaderPeakRSS / megabyte, maxMemory / megabyte, "MB"},
	)
}
