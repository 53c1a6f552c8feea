package galenafleet

import (
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenagate"
	"github.com/galenahead/galenahead/galenajob"
)

// Heartbeat is a heartbeat of an instance, with its registration.
type Heartbeat struct {
	Instance galenajob.Instance `json:"instance"`
	Sequence int64              `json:"sequence"`
	// Clock is the instance's clock in milliseconds.
	Clock int64 `json:"clock"`
}

// registration serializes the changes of the registration of one instance, so that each
// call finds what those before it have made durable.
type registration struct {
	// changing holds one element while a call handles the registration.
	changing chan struct{}
	// born and sequence identify the newest heartbeat.
	born, sequence int64
	// usedAt is when the element was last asked for. The mutex of the session guards it.
	usedAt time.Time
}

func (r *registration) unlock() { <-r.changing }

// registration returns the element for an instance.
func (sess *ownerSession) registration(id galenahead.InstanceID) *registration {
	sess.mu.Lock()
	defer sess.mu.Unlock()
	reg := sess.registrations[id]
	if reg == nil {
		reg = &registration{changing: make(chan struct{}, 1)}
		sess.registrations[id] = reg
	}
	reg.usedAt = time.Now()
	return reg
}

// forgetRegistrations forgets the elements of instances that are not registered and were not heard of
// since cutoff.
func (sess *ownerSession) forgetRegistrations(cutoff time.Time) {
	sess.mu.Lock()
	defer sess.mu.Unlock()
	maps.DeleteFunc(sess.registrations, func(id galenahead.InstanceID, reg *registration) bool {
		_, registered := sess.State.instance(id)
		return !registered && reg.usedAt.Before(cutoff)
	})
}

// maxServices is the number of services at which instances of others are not registered while there is
// no configuration to name them, since each service has a scheduler.
const maxServices = 256

// hasService reports whether an instance of the service may be registered: the configuration names
// the service or has named it before, or there is no configuration yet.
func (sess *ownerSession) hasService(service galenahead.ServiceName) bool {
	c := sess.State.Config()
	if c == nil || slices.ContainsFunc(c.Services, func(s Service) bool { return s.Name == service }) {
		return true
	}
	sess.mu.Lock()
	defer sess.mu.Unlock()
	_, exists := sess.shards[service]
	return exists
}

// hasRoomFor reports whether an instance is registered, or may be.
func (sess *ownerSession) hasRoomFor(in galenajob.Instance) bool {
	known, ok := sess.State.instance(in.ID)
	if !ok && sess.MaxInstances > 0 && sess.State.instanceCount() >= sess.MaxInstances {
		return false
	}
	if ok && known.Service == in.Service {
		return true
	}
	if c := sess.State.Config(); c != nil && slices.ContainsFunc(c.Services, func(s Service) bool { return s.Name == in.Service }) {
		return true
	}
	sess.mu.Lock()
	defer sess.mu.Unlock()
	_, exists := sess.shards[in.Service]
	return exists || len(sess.shards) < maxServices
}

// tryLockRegistration locks the registration of an instance, or returns nil if a change of
// it is under way or the session has ended.
func (sess *ownerSession) tryLockRegistration(id galenahead.InstanceID) *registration {
	reg := sess.registration(id)
	select {
	case reg.changing <- struct{}{}:
	default:
		return nil
	}
	if sess.ctx.Err() != nil {
		reg.unlock()
		return nil
	}
	return reg
}

// lockRegistration locks the registration of an instance. It fails with ErrNotLeader when
// the session ends, since the change that it has waited for may be lost then.
func (sess *ownerSession) lockRegistration(id galenahead.InstanceID) (*registration, error) {
	reg := sess.registration(id)
	select {
	case reg.changing <- struct{}{}:
	case <-sess.ctx.Done():
		return nil, galenahead.ErrNotLeader
	}
	if sess.ctx.Err() != nil {
		reg.unlock()
		return nil, galenahead.ErrNotLeader
	}
	return reg, nil
}

// Heartbeat handles a heartbeat. It returns once a new or changed registration is
// durable.
func (o *Owner) Heartbeat(_ context.Context, hb Heartbeat) (Empty, error) {
	sess, err := o.currentSession()
	if err != nil {
		return Empty{}, err
	}
	return Empty{}, sess.heartbeat(hb)
}

func (sess *ownerSession) heartbeat(hb Heartbeat) error {
	if sess.heartbeatUnchanged(hb) {
		return nil
	}
	return sess.heartbeatChanged(hb)
}

// heartbeatUnchanged handles a heartbeat that changes nothing but the time of the last one,
// and reports whether it was such a one. It does not wait.
func (sess *ownerSession) heartbeatUnchanged(hb Heartbeat) bool {
	sess.Gate.Enter(galenagate.Renewal)
	defer sess.Gate.Leave()
	return sess.refreshInstance(hb)
}

// refreshInstance is heartbeatUnchanged for callers that the gate has admitted.
func (sess *ownerSession) refreshInstance(hb Heartbeat) bool {
	in := hb.Instance
	if in.Draining {
		return false
	}
	if _, ok := sess.State.instance(in.ID); !ok {
		return false
	}
	reg := sess.tryLockRegistration(in.ID)
	if reg == nil {
		return false
	}
	defer reg.unlock()
	known, ok := sess.State.instance(in.ID)
	if !ok || !sameRegistration(known, in) || !sess.isNewer(reg, in, hb.Sequence) {
		return false
	}
	scheduled := false
	sess.shardFor(in.Service).inspect(func(now time.Time, s *galenajob.Scheduler) { scheduled = s.Heartbeat(now, in.ID, hb.Clock) })
	if scheduled {
		reg.born, reg.sequence = in.Born, hb.Sequence
		sess.load.heartbeats.Add(1)
	}
	return scheduled
}

// heartbeatChanged handles a heartbeat that may change the registration of its instance.
func (sess *ownerSession) heartbeatChanged(hb Heartbeat) error {
	sess.load.heartbeats.Add(1)
	in := hb.Instance
	if !sess.hasService(in.Service) {
		// Its sender is not an instance of this fleet, whatever ID it names.
		sess.Metrics.Counters.Add("ignored_heartbeats", 1)
		sess.Logger.WithField("instance", in.ID).WithField("reported_service", in.Service).
			Info("ignored a heartbeat of a service that no configuration names")
		return nil
	}
	if !sess.hasRoomFor(in) {
		sess.Metrics.Counters.Add("rejected_instances", 1)
		return galenahead.ErrOverloaded
	}
	reg, err := sess.lockRegistration(in.ID)
	if err != nil {
		return err
	}
	defer reg.unlock()
	known, ok := sess.State.instance(in.ID)
	otherService := ok && known.Born == in.Born && known.Service != in.Service
	if otherService && sess.isNewer(reg, in, hb.Sequence) && !sess.drainIfIdle(known) {
		sess.Logger.WithField("instance", in.ID).WithField("service", known.Service).WithField("reported_service", in.Service).
			Info("ignored a heartbeat of another service while the instance has work")
		return nil
	}
	if !sess.recordIfNewer(reg, in, hb.Sequence) {
		sess.Logger.WithField("instance", in.ID).WithField("sequence", hb.Sequence).Info("ignored an out-of-order heartbeat")
		return nil
	}
	sh := sess.shardFor(in.Service)
	if in.Draining {
		sh.withScheduler(func(now time.Time, s *galenajob.Scheduler) { s.Drain(now, in.ID) })
	}
	if ok && known.Born == in.Born && known.Draining {
		in.Draining = true
	}
	if !ok || !sameRegistration(known, in) {
		if _, err := sess.committer.commit(Op{Instance: &in}); err != nil {
			return err
		}
		sess.Logger.WithField("instance", in.ID).WithField("service", in.Service).WithField("born", in.Born).
			WithField("draining", in.Draining).WithField("address", in.Address).Info("instance registered")
		if ok && known.Service != in.Service {
			sess.shardFor(known.Service).removeInstance(in.ID)
		}
		sh.addInstance(in, hb.Clock)
		return nil
	}
	scheduled := false
	sh.inspect(func(now time.Time, s *galenajob.Scheduler) { scheduled = s.Heartbeat(now, in.ID, hb.Clock) })
	if !scheduled {
		// The scheduler removed the instance for its missing heartbeats while this
		// one arrived.
		sh.addInstance(in, hb.Clock)
	}
	return nil
}

// recordIfNewer reports whether a heartbeat is newer than all earlier ones of its
// instance, and if so records it as the newest. reg must be locked.
func (sess *ownerSession) recordIfNewer(reg *registration, in galenajob.Instance, sequence int64) bool {
	if !sess.isNewer(reg, in, sequence) {
		return false
	}
	reg.born, reg.sequence = in.Born, sequence
	return true
}

// isNewer reports whether a heartbeat is newer than all earlier ones of its instance. reg
// must be locked.
func (sess *ownerSession) isNewer(reg *registration, in galenajob.Instance, sequence int64) bool {
	if known, ok := sess.State.instance(in.ID); (ok && in.Born < known.Born) || sess.State.hasLeft(in.ID, in.Born) {
		return false
	}
	return in.Born > reg.born || (in.Born == reg.born && sequence > reg.sequence)
}

// sameRegistration reports whether two registrations are equal, apart from their
// instance ids.
func sameRegistration(a, b galenajob.Instance) bool {
	if len(a.Labels) != len(b.Labels) {
		return false
	}
	for i := range a.Labels {
		if a.Labels[i] != b.Labels[i] {
			return false
		}
	}
	return a.Born == b.Born && a.Service == b.Service && a.Address == b.Address && a.Capacity == b.Capacity &&
		a.Draining == b.Draining && a.Zone == b.Zone
}

// LeaveRequest deregisters an instance. Born is zero if the instance does not report
// it.
type LeaveRequest struct {
	ID   galenahead.InstanceID `json:"id"`
	Born int64                 `json:"born"`
}

// stopBeforeLeave is how long the answer to a deregistration waits for the end of the runs
// that are left: the instance ends once it has the answer, and nothing would tell that they
// have ended before their lease expires.
const stopBeforeLeave = attemptTimeout / 2

// Leave removes an instance that deregisters, once nothing can run on it any more: its end is
// not known, since it goes on for seconds if it does not get the answer. A request without the
// start of its incarnation may be a late copy of an earlier one's. It removes the registered
// incarnation only if that drains, as each does before it leaves, and nothing runs on it.
// Otherwise the incarnation is removed once it is silent and its lease has expired.
func (o *Owner) Leave(_ context.Context, l LeaveRequest) (Empty, error) {
	sess, err := o.currentSession()
	if err != nil {
		return Empty{}, err
	}
	leaving, err := sess.recordLeave(l)
	if err != nil || leaving == nil {
		return Empty{}, err
	}
	return Empty{}, sess.awaitIdle(*leaving, stopBeforeLeave)
}

// recordLeave records a deregistration. It returns the registered incarnation if that is
// leaving but may still run work.
func (sess *ownerSession) recordLeave(l LeaveRequest) (leaving *galenajob.Instance, err error) {
	reg, err := sess.lockRegistration(l.ID)
	if err != nil {
		return nil, err
	}
	defer reg.unlock()
	known, registered := sess.State.instance(l.ID)
	log := sess.Logger.WithField("instance", l.ID).WithField("born", l.Born).WithField("registered_born", known.Born).
		WithField("draining", known.Draining)
	switch {
	case l.Born == 0 && !registered, l.Born != 0 && sess.State.hasLeft(l.ID, l.Born):
		return nil, nil
	case l.Born != 0 && l.Born < known.Born:
		log.Info("ignored the deregistration of an earlier incarnation")
		return nil, nil
	case l.Born == 0 && !(known.Draining && sess.isIdle(known)):
		log.Info("ignored a deregistration that may be an earlier incarnation's")
		return nil, nil
	}
	born := max(l.Born, known.Born)
	op := Op{Remove: &l.ID}
	if born != 0 {
		// A heartbeat of this incarnation that is still to arrive is a late copy.
		op.Left = &LeftOp{Born: born, At: time.Now().Round(0)}
		reg.born, reg.sequence = born, math.MaxInt64
	}
	// An incarnation has ended if a later one has started.
	if registered && known.Born == born {
		items, idle := sess.leave(known)
		if !idle && op.Left != nil {
			op.Remove, op.Left.Instance = nil, l.ID
			leaving = &known
			log = log.WithField("items", items)
		}
	}
	if _, err := sess.committer.commit(op); err != nil {
		return nil, err
	}
	if leaving != nil {
		log.Info("instance deregistered, and is removed when its work has ended")
		return leaving, nil
	}
	log.Info("instance deregistered")
	if registered {
		sess.shardFor(known.Service).removeInstance(l.ID)
	}
	return nil, nil
}

// leave makes the scheduler end the use of a registered incarnation. It reports how many work
// items are there and whether nothing runs or may run, in which case the caller removes it.
func (sess *ownerSession) leave(in galenajob.Instance) (items int, idle bool) {
	if sess.drainIfIdle(in) {
		return 0, true
	}
	sess.shardFor(in.Service).withScheduler(func(now time.Time, s *galenajob.Scheduler) { items = s.Leave(now, in.ID) })
	return items, false
}

// drainIfIdle keeps new work off a registered incarnation if nothing runs or may run on it, and
// reports whether it does.
func (sess *ownerSession) drainIfIdle(in galenajob.Instance) (idle bool) {
	sess.shardFor(in.Service).inspect(func(now time.Time, s *galenajob.Scheduler) {
		if _, idle = s.IdleSince(in.ID); idle {
			s.Drain(now, in.ID)
		}
	})
	return idle
}

// awaitIdle returns once nothing runs on an instance, but no later than limit from now. It
// fails with ErrNotLeader when the session ends.
func (sess *ownerSession) awaitIdle(in galenajob.Instance, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(sess.ctx, limit)
	defer cancel()
	ticks := sess.Timers.Subscribe(ctx, "leave", pollPause)
	for !sess.isIdle(in) {
		select {
		case <-sess.ctx.Done():
			return galenahead.ErrNotLeader
		case <-ctx.Done():
			return nil
		case <-ticks:
		}
	}
	return nil
}

// isIdle reports whether nothing runs or may run on a registered instance.
func (sess *ownerSession) isIdle(in galenajob.Instance) (idle bool) {
	sess.shardFor(in.Service).inspect(func(_ time.Time, s *galenajob.Scheduler) { _, idle = s.IdleSince(in.ID) })
	return idle
}
