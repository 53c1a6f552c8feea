package galenaentry

import (
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenapeer"
)

// servingTTL bounds the age of a decision to serve that is used again. It is far
// below the heartbeat interval, which bounds how soon a peer's loss is noticed.
const servingTTL = 10 * time.Millisecond

// servingCache keeps the decision to serve for a short time, because deciding
// looks at every peer under a lock. A refusal is not kept.
type servingCache struct {
	timers galenahead.Timers
	decide func() galenapeer.Serving
	// validUntil holds the end of the last decision to serve.
	validUntil atomic.Pointer[time.Time]
}

// check returns nil, or why requests must be refused. The monotonic clock is
// read at each call, so that a process that was paused decides anew.
func (g *servingCache) check() error {
	now := g.timers.Now()
	if validUntil := g.validUntil.Load(); validUntil != nil && now.Before(*validUntil) {
		return nil
	}
	s := g.decide()
	if !s.Ready {
		g.validUntil.Store(nil)
		return eris.Wrap(galenahead.ErrNotReady, string(s.Mode))
	}
	// A decision never outlives the confirmation behind it: the leader counts on
	// its end. Without a fresh confirmation, every request is decided anew.
	validUntil := now.Add(min(servingTTL, galenapeer.ConfirmationTTL-s.Age))
	g.validUntil.Store(&validUntil)
	return nil
}
