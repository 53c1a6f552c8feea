// Package galenaconfig distributes the configuration from the control leader
// to the entries. An entry asks for what is newer than the revision it holds;
// the leader answers at once, or after a while without news. Each question
// acknowledges a revision and each answer confirms one, so that no message can
// overtake another.
package galenaconfig

import (
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenapeer"
	"github.com/galenahead/galenahead/galenastate"
)

const (
	// methodWait asks the control leader for a newer configuration.
	methodWait = "config.wait"
	// methodFetch asks another entry for a newer configuration.
	methodFetch = "config.fetch"

	// pollTime is how long the leader waits for news. With the confirmation's
	// lifetime of 3 s, two lost answers in a row do no harm.
	pollTime = time.Second
	// callTimeout bounds one question, including pollTime.
	callTimeout = 2 * time.Second
	// retryDelay is the wait after a failed question.
	retryDelay = 100 * time.Millisecond
	// ConfirmationTTL is how long a confirmed revision may be served.
	ConfirmationTTL = galenapeer.ConfirmationTTL
)

// Question asks for a configuration newer than Held, which is in force at the
// entry. Whole asks for all of it.
type Question struct {
	Entry  galenahead.EntryName `json:"entry"`
	Held   galenahead.Revision  `json:"held"`
	Whole  bool                 `json:"whole,omitempty"`
	WaitMS int64                `json:"wait_ms,omitempty"`
}

// Reply carries what is newer. A delta without content at the held revision
// means that there is nothing newer.
type Reply struct {
	Delta galenastate.Delta `json:"delta"`
}
