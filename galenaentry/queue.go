package galenaentry

import (
	"context"
	"errors"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenaqueue"
)

// queueFilter waits until the request has a slot, its deadline can no longer be
// met, or its caller disconnected. The attempt releases the slot.
func queueFilter(dispatchers *dispatchers) Filter {
	return func(next Handler) Handler {
		return func(ctx context.Context, x *Exchange) galenahead.Answer {
			d, ok := dispatchers.get(x.Request.Service)
			if !ok {
				return galenahead.NotRun(ReasonServiceUnknown)
			}
			start := d.timers.Now()
			t, err := d.enqueue(x)
			if err != nil {
				return galenahead.NotRun(queueErrorReason(err))
			}
			defer d.removeWaiting(t)
			<-t.Done()
			x.QueueWait += d.timers.Now().Sub(start)
			switch t.FinalState() {
			case galenaqueue.StateExpired:
				return galenahead.NotRun(ReasonDeadline)
			case galenaqueue.StateCancelled:
				return galenahead.NotRun(d.cancelReason())
			case galenaqueue.StateWaiting, galenaqueue.StateDispatched:
			}
			x.dispatcher, x.Lease = d, t.Lease()
			route := d.takeDecision(x.Lease)
			x.Candidates, x.RouteReason = route.candidates, route.reason
			return next(ctx, x)
		}
	}
}

func queueErrorReason(err error) string {
	if errors.Is(err, galenahead.ErrQueueFull) {
		return ReasonQueueFull
	}
	return ReasonDeadline
}
