package galenabroker

import (
	"slices"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenapeer"
)

// allocate grants free slots and updates the limits that recall slots.
func (a *Allocator) allocate(now galenapeer.Instant) {
	a.fenceWhenSafe(now)
	free, capacity := a.freeSlots(now)
	live := a.liveSessions(now)
	targets := make([]int, len(live))
	demand := make([]map[galenahead.CallerName]int, len(live))
	for i, s := range live {
		demand[i] = s.demand
	}
	needed := 0
	for i, n := range entryTargets(demand, capacity) {
		targets[i] = n
		needed += n
	}
	a.grantTargets(live, targets, free)
	if needed < capacity {
		a.grantSpare(live, targets, free, capacity-needed)
	}
	a.recall(now, live, targets)
}

// fenceWhenSafe sets fenced once every entry has reported or the leases that the
// previous broker granted have expired. Until then, only slots that were reported
// and then returned count as free.
func (a *Allocator) fenceWhenSafe(now galenapeer.Instant) {
	if a.fenced {
		return
	}
	expired := now.Mono >= a.lease.Won+SlotTTL+rateMargin
	a.fenced = expired || len(a.sessions) == len(a.entries) || a.grantBeforeReports
	a.fencedAt = now.Mono
}

// freeSlots returns the number of free slots by usable instance, and the total
// number of slots that entries with a valid lease can hold.
func (a *Allocator) freeSlots(now galenapeer.Instant) (map[galenahead.InstanceID]int, int) {
	free := make(map[galenahead.InstanceID]int, len(a.instances))
	sessions := a.allSessions()
	capacity := 0
	for id, i := range a.instances {
		if !a.usable(now, i) {
			continue
		}
		n := i.slots
		if !a.grantBeforeReports {
			n -= a.maxUnreported(now, id)
		}
		leased := 0
		for _, s := range sessions {
			alloc, ok := s.allocations[id]
			if !ok {
				continue
			}
			inUse := a.maxInUse(now, s, alloc)
			n -= inUse
			if now.Mono < s.expiry() {
				leased += inUse
			}
		}
		free[id] = n
		capacity += max(n+leased, 0)
	}
	return free, capacity
}

// liveSessions returns the sessions whose lease is valid.
func (a *Allocator) liveSessions(now galenapeer.Instant) []*session {
	var out []*session
	for _, e := range a.entries {
		if s := a.sessions[e.Name]; s != nil && now.Mono < s.expiry() {
			out = append(out, s)
		}
	}
	return out
}

// grantTargets grants free slots up to the targets, each one to the entry that is
// furthest below its target.
func (a *Allocator) grantTargets(live []*session, targets []int, free map[galenahead.InstanceID]int) {
	shortfall := make([]int, len(live))
	for i, s := range live {
		shortfall[i] = targets[i] - s.outstanding()
	}
	for {
		most := 0
		for i := range shortfall {
			if shortfall[i] > shortfall[most] {
				most = i
			}
		}
		if len(shortfall) == 0 || shortfall[most] <= 0 {
			return
		}
		shortfall[most]--
		if !a.grantOne(live[most], free) {
			shortfall[most] = 0
		}
	}
}

// grantSpare grants spareSlots beyond the targets, so that the entry has a slot for
// its next request without a message to the broker.
func (a *Allocator) grantSpare(live []*session, targets []int, free map[galenahead.InstanceID]int, spare int) {
	for i, s := range live {
		if spare < 2*len(live) || len(s.demand) == 0 {
			continue
		}
		for n := targets[i] + spareSlots - s.outstanding(); n > 0 && a.grantOne(s, free); n-- {
			spare--
		}
	}
}

// grantOne grants a slot of the instance with the most free slots. It prefers
// instances in the entry's data centre. It reports whether there was a free slot.
func (a *Allocator) grantOne(s *session, free map[galenahead.InstanceID]int) bool {
	var best galenahead.InstanceID
	found, local := false, false
	for _, id := range a.instanceIDs {
		if free[id] <= 0 || slices.Contains(s.avoid, id) {
			continue
		}
		sameDC := a.instances[id].announcement.DataCentre == s.entry.DataCentre
		if !found || sameDC && !local || sameDC == local && free[id] > free[best] {
			best, found, local = id, true, sameDC
		}
	}
	if !found {
		return false
	}
	free[best]--
	alloc := s.allocation(best)
	alloc.granted++
	alloc.vm = a.instances[best].announcement.VM
	s.changed = true
	return true
}

// limitUnusable returns the limit for an unusable instance. An instance that has not
// been announced to this broker yet may still be running, so that its slots may be
// used, but only under the lease of the previous broker.
func (a *Allocator) limitUnusable(now galenapeer.Instant, id galenahead.InstanceID, alloc *allocation) int {
	_, announced := a.instances[id]
	_, drained := a.drained[alloc.vm]
	if !announced && !drained && a.mayCarryOver(now) {
		return noLimit
	}
	return limitClosed
}

// recall sets the limits by which entries return slots: those of unusable instances,
// and those beyond the entry's target while another entry is below its own.
func (a *Allocator) recall(now galenapeer.Instant, live []*session, targets []int) {
	totalShortfall := 0
	for i, s := range live {
		totalShortfall += max(targets[i]-s.outstanding(), 0)
	}
	for i, s := range live {
		excess := min(max(s.outstanding()-targets[i], 0), totalShortfall)
		for _, id := range s.instanceIDs {
			alloc := s.allocations[id]
			limit := noLimit
			n := alloc.outstanding()
			if !a.isUsable(now, id) {
				limit = a.limitUnusable(now, id, alloc)
			} else if surplus := min(excess, n); surplus > 0 {
				limit = n - surplus
				excess -= surplus
			}
			if alloc.limit != limit {
				alloc.limit = limit
				s.changed = s.changed || n > 0
			}
		}
	}
}
