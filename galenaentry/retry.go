package galenaentry

import (
	"context"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenaretry"
)

// retryFilter retries attempts that may be retried, within the service's retry
// budget and never past the deadline. Once an attempt may have run, the answer
// is never not_run, even if a later attempt was not sent.
func retryFilter(budgets *galenaretry.Budgets, timers galenahead.Timers) Filter {
	return func(next Handler) Handler {
		return func(ctx context.Context, x *Exchange) galenahead.Answer {
			var lastSent galenahead.Answer
			for {
				x.Retriable = false
				a := next(ctx, x)
				if a.Outcome != galenahead.OutcomeNotRun {
					lastSent = a
				}
				if a.Outcome == galenahead.OutcomeRan && !x.Retriable {
					budgets.RecordSuccess(x.Request.Service)
				}
				if !x.Retriable {
					return finalAnswer(a, lastSent)
				}
				unsent := a.Outcome == galenahead.OutcomeNotRun
				d := budgets.Decide(timers.Now(), x.Request, galenaretry.Attempt{Number: x.Attempts, Unsent: unsent})
				if !d.Retry {
					return finalAnswer(a, lastSent)
				}
				select {
				case <-ctx.Done():
					return finalAnswer(a, lastSent)
				case <-timers.After(ctx, d.Delay):
				}
			}
		}
	}
}

// finalAnswer returns a, the answer of the last attempt. If a is not_run, it
// returns lastSent instead, the last answer of an attempt that may have run, if
// there is one.
func finalAnswer(a, lastSent galenahead.Answer) galenahead.Answer {
	if a.Outcome == galenahead.OutcomeNotRun && lastSent.Outcome != "" {
		return lastSent
	}
	return a
}
