package galenaraft

import (
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenawal"
)

// Method is the JSON-RPC method by which replicas send messages to each other.
const Method = "raft.message"

// MessageKind is the kind of a message.
type MessageKind string

// Kinds of messages. Each request has at most one response.
const (
	KindAppend           MessageKind = "append"
	KindAppendResponse   MessageKind = "append_response"
	KindPreVote          MessageKind = "pre_vote"
	KindPreVoteResponse  MessageKind = "pre_vote_response"
	KindVote             MessageKind = "vote"
	KindVoteResponse     MessageKind = "vote_response"
	KindSnapshot         MessageKind = "snapshot"
	KindSnapshotResponse MessageKind = "snapshot_response"
	// KindTimeoutNow tells the target of a leadership transfer to campaign at once.
	KindTimeoutNow MessageKind = "take_over"
	// KindNewerTerm is the response to a leader of an older term. It contains
	// nothing from the request: that leader may lead the newer term by now and must
	// not mistake the response for one to a request of the newer term.
	KindNewerTerm MessageKind = "newer_term"
)

// isRequest reports whether messages of this kind are requests.
func (k MessageKind) isRequest() bool {
	switch k {
	case KindAppend, KindPreVote, KindVote, KindSnapshot, KindTimeoutNow:
		return true
	}
	return false
}

// Message is any request or response between replicas.
type Message struct {
	Kind MessageKind  `json:"kind"`
	From galenawal.ID `json:"from"`
	To   galenawal.ID `json:"to"`
	Term uint64       `json:"term"`
	// Index depends on Kind. In an append request it is the index of the entry
	// before Entries, and in a vote or pre-vote request the last index of the
	// candidate's log. In a response it is the index up to which the logs are
	// known to match, or in a rejected append the preceding index that the leader
	// should try next.
	Index uint64 `json:"index,omitempty"`
	// LogTerm is the term of the entry at Index in a request.
	LogTerm     uint64            `json:"log_term,omitempty"`
	CommitIndex uint64            `json:"commit,omitempty"`
	Entries     []galenawal.Entry `json:"entries,omitempty"`
	Chunk       *SnapshotChunk    `json:"chunk,omitempty"`
	Reject      bool              `json:"reject,omitempty"`
	// Transfer marks a vote request that is part of a leadership transfer.
	Transfer bool `json:"transfer,omitempty"`
	// Sent is the leader's monotonic time at which it sent the request. The
	// response copies it.
	Sent time.Duration `json:"sent,omitempty"`
}

// SnapshotChunk is a part of a snapshot. A response contains only Index, Term
// and, as Offset, the number of bytes received so far.
type SnapshotChunk struct {
	Index   uint64              `json:"index"`
	Term    uint64              `json:"term"`
	Members []galenahead.Member `json:"members,omitempty"`
	Offset  int                 `json:"offset"`
	Total   int                 `json:"total,omitempty"`
	Data    []byte              `json:"data,omitempty"`
}
