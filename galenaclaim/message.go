// Package galenaclaim decides which attempt of a non-idempotent request may be
// sent. Three entries are the claim replicas of a request key, and an attempt
// needs the votes of two of them.
package galenaclaim

import "github.com/galenahead/galenahead"

// Attempt identifies one claim attempt. Each attempt votes on one key once and
// is never reused.
type Attempt struct {
	Entry galenahead.EntryName `json:"entry"`
	// Life is random for each start of the entry's process.
	Life uint32 `json:"life"`
	// Order grows with each attempt of the entry. A released order fences every
	// earlier attempt of the entry on the same key.
	Order uint64 `json:"order"`
}

// VoteKind is a replica's reply to a claim.
type VoteKind string

// Votes.
const (
	// VoteGranted means that the replica recorded the attempt as the claimant.
	VoteGranted VoteKind = "granted"
	// VoteRunning means that another attempt is the claimant, or that the
	// result of the finished attempt is no longer kept.
	VoteRunning VoteKind = "running"
	// VoteDone carries the recorded result.
	VoteDone VoteKind = "done"
	// VoteRefused means that the replica does not vote on the key.
	VoteRefused VoteKind = "refused"
)

// Refusal tells why a replica does not vote.
type Refusal string

// Reasons to refuse a vote.
const (
	RefusedBadKey  Refusal = "bad_key"
	RefusedExpired Refusal = "expired"
	RefusedFuture  Refusal = "future"
	RefusedRestart Refusal = "restart"
	RefusedClock   Refusal = "clock"
	RefusedFull    Refusal = "full"
	RefusedStale   Refusal = "stale"
	RefusedUnknown Refusal = "unknown_entry"
)

// OpKind is the kind of an operation at a replica.
type OpKind string

// Operations.
const (
	// OpVote asks for the replica's vote.
	OpVote OpKind = "vote"
	// OpFinish records the result.
	OpFinish OpKind = "finish"
	// OpRelease withdraws the vote.
	OpRelease OpKind = "release"
)

// Op is one operation on a key.
type Op struct {
	Kind  OpKind                `json:"op"`
	Key   galenahead.RequestKey `json:"key"`
	Order uint64                `json:"order"`
	// Answer is the result of OpFinish. It is absent when it is larger than
	// MaxResult.
	Answer *galenahead.Answer `json:"answer,omitempty"`
}

// Batch carries operations of one entry to a replica. Requests under load share
// messages, since the encoding of a message costs more than its operations.
type Batch struct {
	Entry galenahead.EntryName `json:"entry"`
	Life  uint32               `json:"life"`
	Ops   []Op                 `json:"ops"`
}

// BatchReply has one reply for each operation; those of operations other than
// votes are empty.
type BatchReply struct {
	Votes []VoteReply `json:"votes"`
}

// VoteRequest asks a replica to record Attempt as the claimant of Key.
type VoteRequest struct {
	Key     galenahead.RequestKey
	Attempt Attempt
}

// VoteReply is a replica's vote.
type VoteReply struct {
	Vote   VoteKind `json:"vote,omitempty"`
	Reason Refusal  `json:"reason,omitempty"`
	// Holder is the claimant when Vote is VoteRunning and the attempt is open.
	Holder *Attempt `json:"holder,omitempty"`
	// Answer is the result when Vote is VoteDone.
	Answer *galenahead.Answer `json:"answer,omitempty"`
}

// FinishRequest records the result of the attempt that was granted Key.
type FinishRequest struct {
	Key     galenahead.RequestKey
	Attempt Attempt
	// Answer is nil when it is larger than MaxResult.
	Answer *galenahead.Answer
}

// ReleaseRequest withdraws the attempt's vote and fences its late messages.
type ReleaseRequest struct {
	Key     galenahead.RequestKey
	Attempt Attempt
}
