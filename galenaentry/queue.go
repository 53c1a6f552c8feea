package galenaentry

import (
	"context"
	"errors"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenaqueue"
)

// queueFilter waits until the request has a slot, its deadline cannot be met
// any more, or its caller is gone. The slot is returned by the attempt.
func queueFilter(lanes *lanes) Filter {
	return func(next Handler) Handler {
		return func(ctx context.Context, x *Exchange) galenahead.Answer {
			l, ok := lanes.get(x.Request.Service)
			if !ok {
				return galenahead.NotRun(ReasonNoService)
			}
			start := l.timers.Now()
			t, err := l.enter(x)
			if err != nil {
				return galenahead.NotRun(queueReason(err))
			}
			defer l.leave(t)
			<-t.Done()
			x.QueueWait += l.timers.Now().Sub(start)
			switch t.Final() {
			case galenaqueue.StateExpired:
				return galenahead.NotRun(ReasonDeadline)
			case galenaqueue.StateCancelled:
				return galenahead.NotRun(l.dropReason())
			case galenaqueue.StateWaiting, galenaqueue.StateDispatched:
			}
			x.lane, x.Lease = l, t.Lease()
			d := l.decided(x.Lease)
			x.Candidates, x.RouteReason = d.candidates, d.reason
			return next(ctx, x)
		}
	}
}

func queueReason(err error) string {
	if errors.Is(err, galenahead.ErrQueueFull) {
		return ReasonQueueFull
	}
	return ReasonDeadline
}
