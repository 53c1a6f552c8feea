package galenajob

import (
	"slices"
	"time"

	"github.com/galenahead/galenahead"
)

// maxAdviceCandidates bounds the instances in one advice request, since each
// costs the advisor time.
const maxAdviceCandidates = 30

// ensureTickets reports whether the set has a valid ticket. If it has none, it
// requests advice, at most once per AdviceTimeout.
func (s *Scheduler) ensureTickets(now time.Time, set *itemSet) bool {
	for id := range set.tickets {
		if inst := s.instances[id]; inst != nil && set.hasTicket(now, inst) {
			return true
		}
	}
	if !set.adviceRequestedAt.IsZero() && now.Sub(set.adviceRequestedAt) < s.params.AdviceTimeout {
		return false
	}
	var ids []galenahead.InstanceID
	for id, inst := range s.instances {
		if inst.fenceConfirmed && !inst.Draining && !inst.evacuating && !inst.removing && inst.hasLabel(set.step.Label) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return false
	}
	slices.Sort(ids)
	ids = ids[:min(len(ids), maxAdviceCandidates)]
	set.adviceRequestedAt = now
	set.advised = make(map[galenahead.InstanceID]int64, len(ids))
	for _, id := range ids {
		set.advised[id] = s.instances[id].Born
	}
	s.actions = append(s.actions, Action{
		Kind: ActAdvise, Item: ItemID{set.job.ID, ItemKey{set.occurrence, set.index, 0}}, Candidates: ids,
	})
	return false
}

// hasTicket reports whether the set has a valid ticket for the instance.
func (set *itemSet) hasTicket(now time.Time, inst *instance) bool {
	t, ok := set.tickets[inst.ID]
	return ok && t.born == inst.Born && now.Before(t.expires)
}

// HandleAdvice handles the advisor's response. A nil map means that there was none.
func (s *Scheduler) HandleAdvice(now time.Time, a Action, tickets map[galenahead.InstanceID]string, validity time.Duration) {
	j := s.jobs[a.Item.Job]
	if j == nil {
		return
	}
	it := j.item(a.Item.Item)
	if it == nil {
		return
	}
	set := it.set
	if tickets == nil {
		// ensureTickets repeats the request after AdviceTimeout.
		return
	}
	set.tickets = make(map[galenahead.InstanceID]ticket, len(tickets))
	for id, text := range tickets {
		// A ticket for an earlier incarnation is not valid for the present one.
		if inst := s.instances[id]; inst != nil && inst.Born == set.advised[id] {
			set.tickets[id] = ticket{text, inst.Born, now.Add(validity)}
		}
	}
	if len(tickets) > 0 {
		set.adviceRequestedAt = time.Time{}
	}
}
