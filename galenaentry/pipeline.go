// Package galenaentry implements the request path of an entry daemon. The HTTP
// handler parses a request and passes it through the filters: the claim filter,
// the retry filter and the queue filter, which waits for a slot of an instance
// that the router chooses. The forwarder then sends the request in an attempt,
// and the HTTP handler writes the answer.
package galenaentry

import (
	"context"
	"time"

	"github.com/galenahead/galenahead"
)

// Exchange is the state of one request as it passes through the filters. Only
// the filters of its own request access it.
type Exchange struct {
	Request galenahead.Request
	// Delivery is how often the caller has sent this key, including this time; 0
	// when the request does not say.
	Delivery int
	// ID identifies this exchange across all entries and restarts.
	ID string
	// CallerDisconnected reports whether the caller closed its connection. It may
	// be nil.
	CallerDisconnected func() bool

	// Lease is the slot of the current attempt.
	Lease galenahead.SlotLease
	// dispatcher is the dispatcher that took Lease.
	dispatcher *dispatcher
	// Attempts counts the attempts so far.
	Attempts int
	// Candidates is how many slot leases the last routing decision compared.
	Candidates int
	// RouteReason is the reason for which the router chose the last instance.
	RouteReason string
	// QueueWait is the time spent waiting for slots.
	QueueWait time.Duration
	// Retriable is set when the last attempt may be retried: nothing was sent, or
	// the request is idempotent and the attempt failed.
	Retriable bool
	// onLateAnswer receives the answer of an attempt that outlives its caller.
	onLateAnswer func(galenahead.Answer)
}

// Handler answers a request.
type Handler func(ctx context.Context, x *Exchange) galenahead.Answer

// Filter adds one step in front of a handler.
type Filter func(next Handler) Handler

// Chain puts the filters in front of last, the first one outermost.
func Chain(last Handler, filters ...Filter) Handler {
	for i := len(filters) - 1; i >= 0; i-- {
		last = filters[i](last)
	}
	return last
}

// Reasons given with the outcomes not_run and unknown.
const (
	ReasonEntryNotReady           = "entry_not_ready"
	ReasonBadRequest              = "bad_request"
	ReasonBadKey                  = "bad_key"
	ReasonKeyExpired              = "key_expired"
	ReasonClaimedByAnotherAttempt = "claimed_by_another_attempt"
	ReasonClaimUndecided          = "claim_undecided"
	ReasonServiceUnknown          = "service_unknown"
	ReasonQueueFull               = "queue_full"
	ReasonDeadline                = "deadline"
	ReasonCancelled               = "cancelled"
	ReasonUpstreamUnreachable     = "upstream_unreachable"
	ReasonAnswerLost              = "answer_lost"
	ReasonAnswerLate              = "answer_late"
	ReasonAnswerMismatch          = "answer_mismatch"
	ReasonEntryStopping           = "entry_stopping"
	// ReasonEntryOverloaded means that the entry has no room for the request now.
	ReasonEntryOverloaded = "entry_overloaded"
)
