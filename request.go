package galenahead

import "time"

// Outcome says whether a caller's request ran.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeRan means that an upstream sent its complete response.
	OutcomeRan Outcome = "ran"
	// OutcomeNotRun means that no byte of the request reached an upstream.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Request is one caller's request. It is immutable; Body must not be changed.
type Request struct {
	Key        RequestKey
	Service    ServiceName
	Caller     CallerName
	Idempotent bool
	// Arrived is when the entry accepted the request.
	Arrived time.Time
	// Deadline is the time after which the caller does not use the answer.
	Deadline    time.Time
	Method      string
	Path        string
	ContentType string
	Body        []byte
}

// Answer is the answer to one request. It is immutable.
type Answer struct {
	Outcome Outcome `json:"outcome"`
	// Reason says why a request did not run, or why it is unknown whether it ran.
	Reason string `json:"reason,omitempty"`
	// Status is the upstream's HTTP status when Outcome is OutcomeRan.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// NotRun returns the answer for a request of which no byte was sent.
func NotRun(reason string) Answer {
	return Answer{Outcome: OutcomeNotRun, Reason: reason}
}

// Unknown returns the answer for a request that may have run.
func Unknown(reason string) Answer {
	return Answer{Outcome: OutcomeUnknown, Reason: reason}
}
