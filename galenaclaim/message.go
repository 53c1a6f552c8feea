// Package galenaclaim decides which attempt of a non-idempotent request may be
// sent to an upstream. Each request key has three entries as its claim replicas,
// and an attempt needs the votes of two of them.
package galenaclaim

import "github.com/galenahead/galenahead"

// Attempt identifies one attempt to claim a key. It is used for a single ballot
// on a single key.
type Attempt struct {
	Entry galenahead.EntryName `json:"entry"`
	// Incarnation is a random number that the entry's process chooses when it
	// starts.
	Incarnation uint32 `json:"life"`
	// Sequence increases with each attempt of the entry. Releasing an attempt also
	// fences all attempts of the entry on the same key with a lower sequence.
	Sequence uint64 `json:"order"`
}

// VoteKind is the kind of a replica's reply to a claim.
type VoteKind string

// Kinds of votes.
const (
	// VoteGranted means that the replica recorded the attempt as the claimant.
	VoteGranted VoteKind = "granted"
	// VoteRunning means that another attempt is the claimant, or that an attempt
	// has finished and its result is not stored or no longer stored.
	VoteRunning VoteKind = "running"
	// VoteDone means that the reply carries the recorded result.
	VoteDone VoteKind = "done"
	// VoteRejected means that the replica does not vote on the key.
	VoteRejected VoteKind = "refused"
)

// RejectReason is the reason why a replica does not vote.
type RejectReason string

// Reasons why a replica does not vote.
const (
	// RejectedBadKey means that the key is malformed.
	RejectedBadKey RejectReason = "bad_key"
	// RejectedExpired means that the key is older than the claim window, or old
	// enough that the replica may have purged it.
	RejectedExpired RejectReason = "expired"
	// RejectedFuture means that the key's issue time is too far ahead of the
	// replica's clock.
	RejectedFuture RejectReason = "future"
	// RejectedAfterRestart means that the replica may have voted on the key before
	// it restarted.
	RejectedAfterRestart RejectReason = "restart"
	// RejectedUntrustedClock means that the replica's clock is too far from the
	// median of its peers.
	RejectedUntrustedClock RejectReason = "clock"
	// RejectedTableFull means that the claim table has no room for another key.
	RejectedTableFull RejectReason = "full"
	// RejectedFenced means that the attempt, or a later one of the same entry, was
	// released.
	RejectedFenced RejectReason = "stale"
	// RejectedUnknownEntry means that the claiming entry is not configured.
	RejectedUnknownEntry RejectReason = "unknown_entry"
)

// OpKind is the kind of an operation that an entry requests of a replica.
type OpKind string

// Kinds of operations.
const (
	// OpVote requests the replica's vote for an attempt.
	OpVote OpKind = "vote"
	// OpFinish records the result of a granted attempt.
	OpFinish OpKind = "finish"
	// OpRelease withdraws the replica's vote for an attempt.
	OpRelease OpKind = "release"
)

// Op is one operation on a key.
type Op struct {
	Kind     OpKind                `json:"op"`
	Key      galenahead.RequestKey `json:"key"`
	Sequence uint64                `json:"order"`
	// Answer is the result that OpFinish records. It is nil if the result is larger
	// than MaxResultBytes.
	Answer *galenahead.Answer `json:"answer,omitempty"`
}

// Batch carries operations of one entry to a replica. Under load, the operations
// of several requests share a message, because encoding a message costs more than
// executing its operations.
type Batch struct {
	Entry       galenahead.EntryName `json:"entry"`
	Incarnation uint32               `json:"life"`
	Ops         []Op                 `json:"ops"`
}

// BatchReply has one reply for each operation of a batch. The replies to
// operations other than OpVote are empty.
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
	Vote   VoteKind     `json:"vote,omitempty"`
	Reason RejectReason `json:"reason,omitempty"`
	// Claimant is the attempt that the replica voted for, if Vote is VoteRunning
	// and that attempt has not finished.
	Claimant *Attempt `json:"holder,omitempty"`
	// Answer is the recorded result if Vote is VoteDone.
	Answer *galenahead.Answer `json:"answer,omitempty"`
}

// FinishRequest records the result of the attempt that was granted the claim on
// Key.
type FinishRequest struct {
	Key     galenahead.RequestKey
	Attempt Attempt
	// Answer is nil if the result is larger than MaxResultBytes.
	Answer *galenahead.Answer
}

// ReleaseRequest withdraws the vote for Attempt and makes the replica reject
// claims of the attempt that arrive later.
type ReleaseRequest struct {
	Key     galenahead.RequestKey
	Attempt Attempt
}
