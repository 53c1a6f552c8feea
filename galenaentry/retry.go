package galenaentry

import (
	"context"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenaretry"
)

// retryFilter repeats attempts that may be repeated, within the service's
// retry budget and never past the deadline.
func retryFilter(budgets *galenaretry.Budgets, timers galenahead.Timers) Filter {
	return func(next Handler) Handler {
		return func(ctx context.Context, x *Exchange) galenahead.Answer {
			for {
				x.Retriable = false
				a := next(ctx, x)
				if a.Outcome == galenahead.OutcomeRan && !x.Retriable {
					budgets.Succeeded(x.Request.Service)
				}
				if !x.Retriable {
					return a
				}
				unsent := a.Outcome == galenahead.OutcomeNotRun
				d := budgets.Decide(timers.Now(), x.Request, galenaretry.Attempt{Number: x.Attempts, Unsent: unsent})
				if !d.Retry {
					return a
				}
				select {
				case <-ctx.Done():
					return a
				case <-timers.After(ctx, d.Delay):
				}
			}
		}
	}
}
