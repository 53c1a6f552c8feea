package measure

import (
	"context"
	"fmt"
	"time"
)

// The targets of sections 1.6 and 1.7 of the design for a control daemon.
const (
	maxCPU     = 0.02
	maxMemory  = 32 * megabyte
	maxTraffic = 22 * kilobyte
	maxInForce = 4 * time.Second
	// todayEntries is the number of entries of one deployment today.
	todayEntries = 12
)

// Bound is one target with its figure.
type Bound struct {
	Name         string
	Value, Limit float64
	Unit         string
}

// Met tells whether the figure is within the limit.
func (b Bound) Met() bool { return b.Value <= b.Limit }

// String returns one line of text that begins with met or UNMET and the name.
func (b Bound) String() string {
	state := "met"
	if !b.Met() {
		state = "UNMET"
	}
	return fmt.Sprintf("%s %s: %.3f of at most %g %s", state, b.Name, b.Value, b.Limit, b.Unit)
}

// Unmet counts the bounds that are not met.
func Unmet(bounds []Bound) int {
	n := 0
	for _, b := range bounds {
		if !b.Met() {
			n++
		}
	}
	return n
}

// Check measures a deployment of today's size and compares it with the targets.
func (r *Runner) Check(ctx context.Context) ([]Bound, error) {
	c, err := r.Control(ctx, Spec{
		Entries: todayEntries, Size: Today, Renew: renewInterval, Idle: idleWindow, Paced: pacedWindow, Burst: burstSize,
	})
	if err != nil {
		return nil, err
	}
	return bounds(c), nil
}

func bounds(c Control) []Bound {
	var out []Bound
	for _, w := range []struct {
		name string
		Window
	}{{"idle", c.Idle}, {"17,000 changes a day", c.Paced}} {
		out = append(out,
			Bound{w.name + ", leader processor time", 100 * w.Leader.CPU, 100 * maxCPU, "% of a core"},
			Bound{w.name + ", follower processor time", 100 * w.Follower.CPU, 100 * maxCPU, "% of a core"},
			Bound{w.name + ", leader resident memory", w.Leader.RSS / megabyte, maxMemory / megabyte, "MB"},
			Bound{w.name + ", follower resident memory", w.Follower.RSS / megabyte, maxMemory / megabyte, "MB"},
			Bound{w.name + ", leader traffic", w.Bytes() / kilobyte, maxTraffic / kilobyte, "KB/s"},
			Bound{w.name + ", follower traffic", w.Log / 2 / kilobyte, maxTraffic / kilobyte, "KB/s"},
		)
	}
	return append(out,
		Bound{"17,000 changes a day, submitted to in force", c.PacedInForce.Seconds(), maxInForce.Seconds(), "s"},
		// The stricter reading of the target: the whole burst is in force in time.
		Bound{fmt.Sprintf("burst of %d, first submitted to all in force", c.Burst.Changes), c.Burst.Took.Seconds(), maxInForce.Seconds(), "s"},
		Bound{fmt.Sprintf("burst of %d, leader resident memory, peak", c.Burst.Changes), c.Burst.LeaderPeak / megabyte, maxMemory / megabyte, "MB"},
	)
}
