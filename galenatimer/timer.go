// Package galenatimer is the timer service that components subscribe to.
package galenatimer

import (
	"context"
	"time"
)

// Service implements galenahead.Timers on the runtime's clock. Its zero value
// is ready to use. Tests run it in a testing/synctest bubble.
type Service struct{}

// Now returns the current time with its monotonic reading.
func (*Service) Now() time.Time { return time.Now() }

// Subscribe sends the time every period until ctx ends. The channel holds one
// tick; further ticks are dropped until it is received.
func (*Service) Subscribe(ctx context.Context, _ string, period time.Duration) <-chan time.Time {
	s := &subscription{ticks: make(chan time.Time, 1), period: period}
	go s.run(ctx)
	return s.ticks
}

// After sends the time once after d. An unused timer is collected with its
// channel, so ctx need not end it.
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

func (s *subscription) send(now time.Time) {
	select {
	case s.ticks <- now:
	default:
	}
}
