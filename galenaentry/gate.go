package galenaentry

import (
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenapeer"
)

// gateAge bounds the age of a decision to serve that is used again. It is far
// below the heartbeat interval, which bounds how soon a peer's loss is noticed.
const gateAge = 10 * time.Millisecond

// gateCache keeps the decision to serve for a short time, because deciding
// looks at every peer under a lock. A refusal is not kept.
type gateCache struct {
	timers galenahead.Timers
	decide func() galenapeer.Serving
	// until holds the end of the last decision to serve.
	until atomic.Pointer[time.Time]
}

// serving returns nil, or why requests must be refused. The monotonic clock is
// read at each call, so that a process that was paused decides anew.
func (g *gateCache) serving() error {
	now := g.timers.Now()
	if until := g.until.Load(); until != nil && now.Before(*until) {
		return nil
	}
	s := g.decide()
	if !s.Ready {
		g.until.Store(nil)
		return eris.Wrap(galenahead.ErrNotReady, string(s.Mode))
	}
	// A decision never outlives the confirmation behind it: the leader counts on
	// its end. Without a fresh confirmation, every request is decided anew.
	until := now.Add(min(gateAge, galenapeer.ConfirmationTTL-s.Age))
	g.until.Store(&until)
	return nil
}
