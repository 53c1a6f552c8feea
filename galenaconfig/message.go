// Package galenaconfig distributes the configuration from the control leader
// to the entries. An entry sends a long poll with the revision that it has applied.
// The leader replies as soon as a newer revision exists, or at the end of the
// long poll. Acknowledgements of a revision and confirmations that a revision is
// the latest are part of these requests and replies, so they cannot overtake the
// configuration that they refer to.
package galenaconfig

import (
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenapeer"
	"github.com/galenahead/galenahead/galenastate"
)

const (
	// methodWait is the long poll at the control leader.
	methodWait = "config.wait"
	// methodFetch fetches the configuration of another entry.
	methodFetch = "config.fetch"

	// longPollTimeout is how long the leader waits for a newer revision before it
	// replies. With ConfirmationTTL at 3 s, an entry tolerates two lost replies
	// in a row.
	longPollTimeout = time.Second
	// callTimeout bounds one request, including longPollTimeout.
	callTimeout = 2 * time.Second
	// retryDelay is the delay after a failed request. It is also the interval at
	// which an entry checks whether to fetch from a peer.
	retryDelay = 100 * time.Millisecond
	// ConfirmationTTL is how long an entry may serve with a confirmed revision
	// until the leader must confirm it again.
	ConfirmationTTL = galenapeer.ConfirmationTTL
)

// ConfigRequest requests the changes since the revision that the entry has
// applied, or the full configuration.
type ConfigRequest struct {
	Entry    galenahead.EntryName `json:"entry"`
	Revision galenahead.Revision  `json:"held"`
	Full     bool                 `json:"whole,omitempty"`
	// WaitMS is how long the leader may wait for a newer revision.
	WaitMS int64 `json:"wait_ms,omitempty"`
}

// ConfigReply contains the changes since the revision of the request. An empty
// delta at that revision means that there is no newer one.
type ConfigReply struct {
	Delta galenastate.Delta `json:"delta"`
}
