package galenarelay

import (
	"math"
	"sync"
	"time"
)

const (
	// directCalls is how many calls a second the owner makes itself before it hands the rest
	// to relays. They take it about a tenth of a core.
	directCalls = 500
	// loadInterval is the period over which calls are counted.
	loadInterval = 500 * time.Millisecond
	// shareSteps is the number of steps of the relayed share, and lowerPause the time before
	// it gets a step lower: each change moves connections from one daemon to another.
	shareSteps = 8
	lowerPause = 10 * time.Second
	// maxShare leaves some instances to the owner, so that it measures their response times.
	maxShare = 0.95
)

// loadMeter measures the rate of calls and derives from it which share of the instances is
// called through relays. Its zero value is ready to use.
type loadMeter struct {
	mu       sync.Mutex
	began    time.Time
	calls    int
	relayed  float64
	neededAt time.Time
}

// count counts a call and returns the relayed share.
func (l *loadMeter) count(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	l.calls++
	return l.relayed
}

// share returns the relayed share.
func (l *loadMeter) share(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	return l.relayed
}

// advance begins a new interval if the present one is over.
func (l *loadMeter) advance(now time.Time) {
	elapsed := now.Sub(l.began)
	if elapsed < loadInterval {
		return
	}
	if elapsed > 2*loadInterval {
		l.began, l.calls = now, 0
		return
	}
	rate := float64(l.calls) / elapsed.Seconds()
	l.began, l.calls = now, 0
	needed := 0.0
	if rate > directCalls {
		needed = min(maxShare, math.Ceil((1-directCalls/rate)*shareSteps)/shareSteps)
	}
	switch {
	case needed >= l.relayed:
		l.relayed, l.neededAt = needed, now
	case now.Sub(l.neededAt) > lowerPause:
		l.relayed, l.neededAt = max(needed, l.relayed-1.0/shareSteps), now
	}
}
