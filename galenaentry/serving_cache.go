package galenaentry

import (
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenapeer"
)

// servingTTL bounds how long a decision to serve is reused. It is far below the
// heartbeat interval, which bounds how soon the loss of a peer is detected.
const servingTTL = 10 * time.Millisecond

// servingCache caches the decision to serve for a short time, because deciding
// examines every peer under a lock. A decision not to serve is not cached.
type servingCache struct {
	timers galenahead.Timers
	decide func() galenapeer.ServingDecision
	// validUntil is when the cached decision to serve expires; nil when there is
	// none.
	validUntil atomic.Pointer[time.Time]
}

// check returns nil, or the reason why requests must be rejected. It reads the
// monotonic clock at each call, so that a process that was paused decides again.
func (c *servingCache) check() error {
	now := c.timers.Now()
	if validUntil := c.validUntil.Load(); validUntil != nil && now.Before(*validUntil) {
		return nil
	}
	serving := c.decide()
	if !serving.Ready {
		c.validUntil.Store(nil)
		return eris.Wrap(galenahead.ErrNotReady, string(serving.Mode))
	}
	// A cached decision must not outlive the confirmation that it is based on,
	// because the leader relies on its expiry. Without a fresh confirmation, the
	// decision is made again for every request.
	validUntil := now.Add(min(servingTTL, galenapeer.ConfirmationTTL-serving.Age))
	c.validUntil.Store(&validUntil)
	return nil
}
