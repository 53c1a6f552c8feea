package galenafleet

import (
	"sync/atomic"
	"time"
)

const (
	// lateTick is the delay of a tick from which on the owner starts less work. The lease of
	// the log bears ten times that.
	lateTick = 40 * time.Millisecond
	// startBackoff is by what the bound of starts is multiplied at a late tick, startRecovery
	// what is added at each other one, and lowestStartScale its lowest value, all relative to
	// the full bound.
	startBackoff     = 0.8
	startRecovery    = 0.01
	lowestStartScale = 1.0 / 32
)

// startGovernor bounds the starts under way by how late this process runs, so that the log
// and the polls that renew leases get their turn in time (additive increase, multiplicative
// decrease). Its zero value bounds nothing. scale may be called by any goroutine.
type startGovernor struct {
	// reduced is what the scale lacks to 1, in millionths.
	reduced atomic.Int64
}

// observe takes the delay of a tick.
func (g *startGovernor) observe(late time.Duration) {
	scale := g.scale()
	if late > lateTick {
		scale = max(lowestStartScale, scale*startBackoff)
	} else {
		scale = min(1, scale+startRecovery)
	}
	g.reduced.Store(int64((1 - scale) * 1e6))
}

// scale returns the part of the full bound that is allowed now.
func (g *startGovernor) scale() float64 { return 1 - float64(g.reduced.Load())/1e6 }

// bound returns how many of max starts may be under way, at least one.
func (g *startGovernor) bound(maxStarting int) int {
	if maxStarting == 0 {
		return 0 // no bound
	}
	return max(1, int(float64(maxStarting)*g.scale()))
}
