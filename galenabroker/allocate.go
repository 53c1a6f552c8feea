package galenabroker

import (
	"slices"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenapeer"
)

// allocate grants free slots and sets the limits by which slots are recalled.
func (l *Ledger) allocate(now galenapeer.Instant) {
	l.openWhenSafe(now)
	free, capacity := l.free(now)
	live := l.live(now)
	want := make([]int, len(live))
	demand := make([]map[galenahead.CallerName]int, len(live))
	for i, s := range live {
		demand[i] = s.demand
	}
	needed := 0
	for i, n := range targets(demand, capacity) {
		want[i] = n
		needed += n
	}
	l.grantAll(live, want, free)
	if needed < capacity {
		l.grantSpare(live, want, free, capacity-needed)
	}
	l.recall(now, live, want)
}

// openWhenSafe notes when every entry has reported, or the idle slots that the
// former broker granted have expired. Before, only slots that were reported and
// then returned are free.
func (l *Ledger) openWhenSafe(now galenapeer.Instant) {
	if l.open {
		return
	}
	expired := now.Mono >= l.tenure.Won+SlotTTL+rateMargin
	l.open = expired || len(l.sessions) == len(l.entries) || l.grantsAtOnce
	l.opened = now.Mono
}

// free returns the free slots of each usable instance, and the number of slots
// that entries with a lease can have in all.
func (l *Ledger) free(now galenapeer.Instant) (map[galenahead.InstanceID]int, int) {
	free := make(map[galenahead.InstanceID]int, len(l.instances))
	sessions := l.all()
	capacity := 0
	for id, i := range l.instances {
		if !l.usable(now, i) {
			continue
		}
		n := i.slots
		if !l.grantsAtOnce {
			n -= l.unknown(now, id)
		}
		own := 0
		for _, s := range sessions {
			a, ok := s.accounts[id]
			if !ok {
				continue
			}
			c := l.counted(now, s, a)
			n -= c
			if now.Mono < s.lapse() {
				own += c
			}
		}
		free[id] = n
		capacity += max(n+own, 0)
	}
	return free, capacity
}

// live returns the sessions whose lease has not ended.
func (l *Ledger) live(now galenapeer.Instant) []*session {
	var out []*session
	for _, e := range l.entries {
		if s := l.sessions[e.Name]; s != nil && now.Mono < s.lapse() {
			out = append(out, s)
		}
	}
	return out
}

// grantAll grants one slot after the other to the entry that lacks most.
func (l *Ledger) grantAll(live []*session, want []int, free map[galenahead.InstanceID]int) {
	lack := make([]int, len(live))
	for i, s := range live {
		lack[i] = want[i] - s.held()
	}
	for {
		most := 0
		for i := range lack {
			if lack[i] > lack[most] {
				most = i
			}
		}
		if len(lack) == 0 || lack[most] <= 0 {
			return
		}
		lack[most]--
		if !l.grantOne(live[most], free) {
			lack[most] = 0
		}
	}
}

// grantSpare grants a little more than the demand, so that the next request
// finds a slot without a message.
func (l *Ledger) grantSpare(live []*session, want []int, free map[galenahead.InstanceID]int, spare int) {
	for i, s := range live {
		if spare < 2*len(live) || len(s.demand) == 0 {
			continue
		}
		for n := want[i] + spareSlots - s.held(); n > 0 && l.grantOne(s, free); n-- {
			spare--
		}
	}
}

// grantOne grants a slot of the instance with the most free slots, in the
// entry's data centre if possible.
func (l *Ledger) grantOne(s *session, free map[galenahead.InstanceID]int) bool {
	var best galenahead.InstanceID
	found, near := false, false
	for _, id := range l.ids {
		if free[id] <= 0 || slices.Contains(s.avoid, id) {
			continue
		}
		same := l.instances[id].ann.DataCentre == s.entry.DataCentre
		if !found || same && !near || same == near && free[id] > free[best] {
			best, found, near = id, true, same
		}
	}
	if !found {
		return false
	}
	free[best]--
	a := s.account(best)
	a.granted++
	a.vm = l.instances[best].ann.VM
	s.changed = true
	return true
}

// limitUnknown returns the limit for an unusable instance. An instance that was
// not announced to this broker yet may work; its slots are used under the lease
// of the former broker only.
func (l *Ledger) limitUnknown(now galenapeer.Instant, id galenahead.InstanceID, a *account) int {
	_, announced := l.instances[id]
	_, drained := l.drained[a.vm]
	if !announced && !drained && l.carrying(now) {
		return noLimit
	}
	return closed
}

// recall sets the limits: nothing on unusable instances, and what exceeds an
// entry's share while another entry lacks slots.
func (l *Ledger) recall(now galenapeer.Instant, live []*session, want []int) {
	lacking := 0
	for i, s := range live {
		lacking += max(want[i]-s.held(), 0)
	}
	for i, s := range live {
		excess := min(max(s.held()-want[i], 0), lacking)
		for _, id := range s.ids {
			a := s.accounts[id]
			limit := noLimit
			n := a.outstanding()
			if !l.known(now, id) {
				limit = l.limitUnknown(now, id, a)
			} else if cut := min(excess, n); cut > 0 {
				limit = n - cut
				excess -= cut
			}
			if a.limit != limit {
				a.limit = limit
				s.changed = s.changed || n > 0
			}
		}
	}
}
