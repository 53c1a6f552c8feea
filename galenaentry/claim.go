package galenaentry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/galenahead/galenahead"
)

const (
	// claimTimeout bounds the wait for a quorum of claim replicas.
	claimTimeout = 250 * time.Millisecond
	// recordTimeout bounds the call that records a result or a release at the claim
	// replicas.
	recordTimeout = time.Second
)

// claimFilter passes on only one exchange for each key of a non-idempotent
// request. It must precede every filter that rejects requests, because a
// rejection may answer not_run only when no other exchange with the key can have
// run.
func claimFilter(claims *claimRecorder) Filter {
	return func(next Handler) Handler {
		return func(ctx context.Context, x *Exchange) galenahead.Answer {
			if x.Request.Idempotent {
				return next(ctx, x)
			}
			res, err := claim(ctx, claims, x)
			if err != nil {
				return claimErrorAnswer(x, err)
			}
			switch res.State {
			case galenahead.ClaimDone:
				return res.Answer
			case galenahead.ClaimGranted:
				x.onLateAnswer = func(a galenahead.Answer) { claims.record(x, a) }
				a := next(ctx, x)
				claims.record(x, a)
				return a
			case galenahead.ClaimRunning:
			}
			return galenahead.Unknown(ReasonClaimedByAnotherAttempt)
		}
	}
}

func claim(ctx context.Context, claims galenahead.Claimer, x *Exchange) (galenahead.ClaimResult, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return claims.Claim(ctx, x.Request.Key, x.ID)
}

// claimErrorAnswer returns the answer of a request whose claim failed. The first
// delivery of a key cannot have run before; any other delivery may have.
func claimErrorAnswer(x *Exchange, err error) galenahead.Answer {
	reason := ReasonClaimUndecided
	switch {
	case errors.Is(err, galenahead.ErrBadKey):
		return galenahead.NotRun(ReasonBadKey)
	case errors.Is(err, galenahead.ErrKeyExpired):
		reason = ReasonKeyExpired
	}
	return reject(x, reason)
}

// reject returns the answer of a request that this entry rejects without a claim.
func reject(x *Exchange, reason string) galenahead.Answer {
	if x.Request.Idempotent || x.Delivery == 1 {
		return galenahead.NotRun(reason)
	}
	return galenahead.Unknown(reason)
}

// claimRecorder records the results of granted claims.
type claimRecorder struct {
	galenahead.Claimer
	// inFlight counts the results being recorded, for a graceful stop.
	inFlight sync.WaitGroup
}

// record records at the claim replicas how the exchange ended. A key with an
// unknown outcome stays claimed, because the request may still run. A result is
// recorded while the caller already gets it, because a resend in between gets
// unknown and never runs. A release is completed before the caller is answered,
// because the caller may resend at once.
func (c *claimRecorder) record(x *Exchange, a galenahead.Answer) {
	switch a.Outcome {
	case galenahead.OutcomeRan:
		c.inFlight.Add(1)
		go (&finishCall{claims: c, key: x.Request.Key, id: x.ID, answer: a}).run()
	case galenahead.OutcomeNotRun:
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		// A failure leaves the key claimed, so a resend gets unknown.
		_ = c.Release(ctx, x.Request.Key, x.ID)
	case galenahead.OutcomeUnknown:
	}
}

// finishCall records one result at the claim replicas.
type finishCall struct {
	claims *claimRecorder
	key    galenahead.RequestKey
	id     string
	answer galenahead.Answer
}

func (c *finishCall) run() {
	defer c.claims.inFlight.Done()
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	// A failure leaves the key claimed, so a resend gets unknown.
	_ = c.claims.Finish(ctx, c.key, c.id, c.answer)
}
