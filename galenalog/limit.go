package galenalog

import (
	"sync"
	"time"
)

// maxLinesPerSecond bounds the lines that a Limit allows in a second.
const maxLinesPerSecond = 10

// Limit bounds the lines of a log about what others may cause in any number. It is safe for
// concurrent use. Its zero value is ready to use.
type Limit struct {
	mu    sync.Mutex
	since time.Time
	lines int
	// leftOut counts the lines that were left out since the last one.
	leftOut int64
}

// Allow reports whether a line may be written at a time, and how many were left out before it.
func (l *Limit) Allow(now time.Time) (ok bool, leftOut int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.since) >= time.Second {
		l.since, l.lines = now, 0
	}
	if l.lines >= maxLinesPerSecond {
		l.leftOut++
		return false, 0
	}
	l.lines++
	leftOut, l.leftOut = l.leftOut, 0
	return true, leftOut
}
