// Package galenagate decides which work of a busy process gets the processor next.
//
// The Go scheduler knows no order among goroutines, and lets those that return from the
// network or from a sync wait behind all that wake each other up. A process in which
// thousands of goroutines have work then handles its own timers and disk late. A Gate
// keeps such work parked, and lets everything else run between two pieces of it.
package galenagate

import (
	"runtime"
	"sync"
	"time"
)

// Class is the kind of a piece of work. All classes share the processor, but some go first.
type Class int

const (
	// Renewal is work that keeps what runs alive. It goes before all other.
	Renewal Class = iota
	// Progress is work that continues what the process has begun or accepted.
	Progress
	// Demand is work that the process may still reject. While both wait, it and Progress
	// get the same time, so that neither starves.
	Demand
	// Classes is the number of classes.
	Classes
)

// String returns the name of the class in logs.
func (c Class) String() string {
	switch c {
	case Renewal:
		return "renewal"
	case Progress:
		return "progress"
	case Demand:
		return "demand"
	}
	return "unknown"
}

// Gate admits a few pieces of work at a time. Work between Enter and Leave must not wait for
// anything but locks. A nil Gate admits everything, and the zero value is ready to use.
type Gate struct {
	// AtOnce is how many pieces of work may be under way. Zero means GOMAXPROCS.
	AtOnce int

	mu      sync.Mutex
	working int
	queues  [Classes]queue
	// current is the class of the work that was admitted last, at admittedAt. With several at
	// once, the time of each is known only roughly.
	current    Class
	admittedAt time.Time
	// demandLead is how much more time Demand has had than Progress since both wait.
	demandLead time.Duration
	// yieldedAt is when other goroutines last got a turn.
	yieldedAt time.Time
}

// maxTurn is how long work may follow work before all that does not need the gate runs. It
// is short compared with the intervals of timers, and long compared with a piece of work.
const maxTurn = time.Millisecond

// queue holds the work of one class that waits. Its zero value is empty.
type queue struct {
	// waiters holds the one that waits longest first.
	waiters []waiter
	// longest is the longest wait since it was last taken.
	longest time.Duration
}

// waiter is a goroutine in Enter.
type waiter struct {
	since    time.Time
	admitted chan struct{}
}

// pop returns the waiter that goes next.
func (q *queue) pop(now time.Time) waiter {
	w := q.waiters[0]
	q.waiters[0] = waiter{}
	q.waiters = q.waiters[1:]
	q.longest = max(q.longest, now.Sub(w.since))
	return w
}

// wait returns how long the waiter that goes next has waited.
func (q *queue) wait(now time.Time) time.Duration {
	if len(q.waiters) == 0 {
		return 0
	}
	return now.Sub(q.waiters[0].since)
}

// Enter returns when the caller may work. Leave must follow.
func (g *Gate) Enter(c Class) {
	if g == nil {
		return
	}
	if w := g.enter(c, time.Now()); w.admitted != nil {
		<-w.admitted
	}
}

// EnterWithin is like Enter for work that is of no use once it has waited for limit. It
// reports whether the caller may work; only then Leave must follow. Work that would wait for
// most of that is turned away at once, judged by the work before it.
func (g *Gate) EnterWithin(c Class, limit time.Duration) bool {
	if g == nil {
		return true
	}
	start := time.Now()
	if g.waitAt(c, start) > limit/2 {
		return false
	}
	w := g.enter(c, start)
	if w.admitted == nil {
		return true
	}
	<-w.admitted
	if time.Since(start) > limit {
		g.Leave()
		return false
	}
	return true
}

// enter admits the caller at once and returns the zero value, or queues it.
func (g *Gate) enter(c Class, now time.Time) waiter {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.working < g.atOnce() {
		g.working++
		g.current, g.admittedAt = c, now
		return waiter{}
	}
	w := waiter{since: now, admitted: make(chan struct{})}
	q := &g.queues[c]
	q.waiters = append(q.waiters, w)
	return w
}

func (g *Gate) atOnce() int {
	if g.AtOnce > 0 {
		return g.AtOnce
	}
	return runtime.GOMAXPROCS(0)
}

// Leave ends the caller's piece of work and admits the next one.
func (g *Gate) Leave() {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.chargeLocked(now.Sub(g.admittedAt))
	if now.Sub(g.yieldedAt) > maxTurn {
		// Nothing is admitted until the caller runs again.
		g.mu.Unlock()
		runtime.Gosched()
		g.mu.Lock()
		now = time.Now()
		g.yieldedAt = now
	}
	c, ok := g.nextLocked()
	if !ok {
		g.working--
		return
	}
	g.current, g.admittedAt = c, now
	close(g.queues[c].pop(now).admitted)
}

// chargeLocked charges time to the class of the work that ends.
func (g *Gate) chargeLocked(d time.Duration) {
	switch {
	case !g.waitsLocked(Demand) || !g.waitsLocked(Progress):
		g.demandLead = 0
	case g.current == Demand:
		g.demandLead += d
	case g.current == Progress:
		g.demandLead -= d
	}
}

func (g *Gate) waitsLocked(c Class) bool { return len(g.queues[c].waiters) > 0 }

// nextLocked returns the class that goes next, and false if nothing waits.
func (g *Gate) nextLocked() (Class, bool) {
	switch {
	case g.waitsLocked(Renewal):
		return Renewal, true
	case g.waitsLocked(Progress) && (g.demandLead >= 0 || !g.waitsLocked(Demand)):
		return Progress, true
	case g.waitsLocked(Demand):
		return Demand, true
	}
	return 0, false
}

// Wait returns how long the piece of work of a class that goes next has waited.
func (g *Gate) Wait(c Class) time.Duration {
	if g == nil {
		return 0
	}
	return g.waitAt(c, time.Now())
}

func (g *Gate) waitAt(c Class, now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queues[c].wait(now)
}

// Waiting returns how many pieces of work of a class wait.
func (g *Gate) Waiting(c Class) int {
	if g == nil {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.queues[c].waiters)
}

// TakeLongestWait returns the longest wait of a class since the last call.
func (g *Gate) TakeLongestWait(c Class) time.Duration {
	if g == nil {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	q := &g.queues[c]
	longest := max(q.longest, q.wait(time.Now()))
	q.longest = 0
	return longest
}
