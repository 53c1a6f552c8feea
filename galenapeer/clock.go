package galenapeer

import (
	"time"

	"github.com/galenahead/galenahead"
)

// Instant is one reading of both clocks of a process. Intervals are measured
// on Mono, which never steps; Wall may step.
type Instant struct {
	// Mono is the time since the process's Clock was created.
	Mono time.Duration
	// Wall is the time of day.
	Wall time.Time
}

// Clock reads both clocks through the timer service.
type Clock struct {
	timers galenahead.Timers
	base   time.Time
}

// NewClock returns a clock whose monotonic readings start at zero.
func NewClock(t galenahead.Timers) *Clock {
	return &Clock{timers: t, base: t.Now()}
}

// Now returns the current instant.
func (c *Clock) Now() Instant {
	now := c.timers.Now()
	return Instant{Mono: now.Sub(c.base), Wall: now.Round(0)}
}

// Time returns the time of the monotonic reading mono.
func (c *Clock) Time(mono time.Duration) time.Time {
	return c.base.Add(mono)
}
