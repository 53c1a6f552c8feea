// Package galenatimer provides the clock and the timers that components use.
package galenatimer

import (
	"context"
	"time"
)

// Service implements galenahead.Timers with the clock and timers of package time.
// Its zero value is ready to use. Tests run it in a testing/synctest bubble.
type Service struct{}

// Now returns the current time with its monotonic reading.
func (*Service) Now() time.Time { return time.Now() }

// Subscribe sends the time every period until ctx ends. The channel buffers one
// tick; further ticks are dropped until that tick is received.
func (*Service) Subscribe(ctx context.Context, _ string, period time.Duration) <-chan time.Time {
	s := &subscription{ticks: make(chan time.Time, 1), period: period}
	go s.run(ctx)
	return s.ticks
}

// After sends the time once after d. It ignores ctx: the garbage collector frees
// a timer whose channel is no longer referenced, so nothing has to stop the timer.
func (*Service) After(_ context.Context, d time.Duration) <-chan time.Time {
	return time.NewTimer(d).C
}

type subscription struct {
	ticks  chan time.Time
	period time.Duration
}

func (s *subscription) run(ctx context.Context) {
	t := time.NewTicker(max(s.period, time.Nanosecond))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			s.send(now)
		}
	}
}

// send drops the tick if the subscriber has not received the previous one.
func (s *subscription) send(now time.Time) {
	select {
	case s.ticks <- now:
	default:
	}
}
