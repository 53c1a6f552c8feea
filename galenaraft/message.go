package galenaraft

import (
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenawal"
)

// Method is the JSON-RPC method that carries messages between replicas.
const Method = "raft.message"

// Kind is the kind of a message.
type Kind string

// Kinds of messages. A request is answered by at most one response.
const (
	KindAppend           Kind = "append"
	KindAppendResponse   Kind = "append_response"
	KindPreVote          Kind = "pre_vote"
	KindPreVoteResponse  Kind = "pre_vote_response"
	KindVote             Kind = "vote"
	KindVoteResponse     Kind = "vote_response"
	KindSnapshot         Kind = "snapshot"
	KindSnapshotResponse Kind = "snapshot_response"
	KindTakeOver         Kind = "take_over"
	// KindNewerTerm answers a leader of an older term. It repeats nothing of the
	// request: the sender may lead the newer term by now, and must not take the
	// answer for one to a request of that term.
	KindNewerTerm Kind = "newer_term"
)

// request tells whether a message of this kind starts an exchange.
func (k Kind) request() bool {
	switch k {
	case KindAppend, KindPreVote, KindVote, KindSnapshot, KindTakeOver:
		return true
	}
	return false
}

// Message is the one envelope of everything that replicas send.
type Message struct {
	Kind Kind         `json:"kind"`
	From galenawal.ID `json:"from"`
	To   galenawal.ID `json:"to"`
	Term uint64       `json:"term"`
	// Index is the position before Entries, the last position of a candidate's
	// log, or in a response the position up to which the logs are known to
	// agree. In a rejection it is where the leader should try next.
	Index uint64 `json:"index,omitempty"`
	// LogTerm is the term of the entry at Index in a request.
	LogTerm uint64            `json:"log_term,omitempty"`
	Commit  uint64            `json:"commit,omitempty"`
	Entries []galenawal.Entry `json:"entries,omitempty"`
	Chunk   *Chunk            `json:"chunk,omitempty"`
	Reject  bool              `json:"reject,omitempty"`
	// Transfer marks a vote request that the leader asked for.
	Transfer bool `json:"transfer,omitempty"`
	// Sent is the leader's monotonic time, which the response repeats.
	Sent time.Duration `json:"sent,omitempty"`
}

// Chunk is a part of a snapshot. In a response only Offset is set.
type Chunk struct {
	Index   uint64              `json:"index"`
	Term    uint64              `json:"term"`
	Members []galenahead.Member `json:"members,omitempty"`
	Offset  int                 `json:"offset"`
	Total   int                 `json:"total,omitempty"`
	Data    []byte              `json:"data,omitempty"`
}
