package galenapeer

import (
	"time"

	"github.com/galenahead/galenahead"
)

// Instant is one reading of a process's monotonic and wall clocks. Intervals
// are measured with Mono because the wall clock may be set.
type Instant struct {
	// Mono is the monotonic time since the Clock was created.
	Mono time.Duration
	Wall time.Time
}

// Clock reads the monotonic and the wall clock through the timer service.
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

// Time converts the monotonic reading mono to a time of the timer service.
func (c *Clock) Time(mono time.Duration) time.Time {
	return c.base.Add(mono)
}
