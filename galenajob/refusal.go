package galenajob

import (
	"time"

	"github.com/galenahead/galenahead"
)

// While the host of an instance refuses connections, no incarnation runs there, so that no call
// without a response can be executed. One that starts later could still execute an earlier call;
// after refusalTime it is not expected any more. An instance that is cut off is silent: the network
// that cuts it off rarely refuses connections in its place.

const (
	// refusalTime is how long the host must refuse connections before the calls without a response
	// count as lost. Instances that start again under their IDs mostly do so sooner.
	refusalTime = 5 * time.Second
	// maxRefusalGap is the longest time between two refused calls in which no incarnation can have
	// come and gone unnoticed.
	maxRefusalGap = time.Second
)

// HandleRefusal records that the host of the instance refused the connection for a poll at sent.
func (s *Scheduler) HandleRefusal(id galenahead.InstanceID, sent time.Time) {
	if inst := s.instances[id]; inst != nil {
		inst.pollOpen = false
		inst.noteRefusal(sent)
	}
}

// noteRefusal records that a call at sent was refused. Other calls may be under way.
func (inst *instance) noteRefusal(sent time.Time) {
	inst.noteNoResponse(sent)
	if inst.refusedSince.IsZero() || sent.Sub(inst.refusedAt) > maxRefusalGap {
		inst.refusedSince = sent
	}
	if sent.After(inst.refusedAt) {
		inst.refusedAt = sent
	}
}

// endRefusal records that a call that was sent at sent was not refused.
func (inst *instance) endRefusal(sent time.Time) {
	if sent.After(inst.refusedSince) {
		inst.refusedSince = time.Time{}
	}
}

// refuses reports whether the last call was refused, and calls not much before now.
func (inst *instance) refuses(now time.Time) bool {
	return !inst.refusedSince.IsZero() && now.Sub(inst.refusedAt) <= maxRefusalGap
}

// hasEnded reports whether the host of the instance has refused connections for so long that no
// call without a response is executed any more.
func (inst *instance) hasEnded(now time.Time) bool {
	return inst.refuses(now) && inst.refusedAt.Sub(inst.refusedSince) >= refusalTime
}
