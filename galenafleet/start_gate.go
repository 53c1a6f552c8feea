package galenafleet

import (
	"context"
	"sync"
)

// startGate lets starts through until it is closed, and counts those under way. Its zero value is
// open.
type startGate struct {
	mu       sync.Mutex
	closed   bool
	underWay int
	// idle is closed once no start is under way at the closed gate.
	idle chan struct{}
}

// enter reports whether a start may be sent. If so, leave must follow once its outcome is handled.
func (g *startGate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.underWay++
	return true
}

func (g *startGate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.underWay--
	if g.closed && g.underWay == 0 {
		close(g.idle)
	}
}

// close closes the gate, and waits until no start is under way or ctx ends.
func (g *startGate) close(ctx context.Context) {
	g.mu.Lock()
	if !g.closed {
		g.closed, g.idle = true, make(chan struct{})
		if g.underWay == 0 {
			close(g.idle)
		}
	}
	idle := g.idle
	g.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}
