package galenajob

import (
	"slices"
	"time"

	"github.com/galenahead/galenahead"
)

// adviceCandidates is how many instances one question names; each costs time
// at the advisor.
const adviceCandidates = 30

// advise tells whether tickets for st are at hand, and asks for them if not.
func (s *Scheduler) advise(now time.Time, st *itemSet) bool {
	for id := range st.tickets {
		if n := s.instances[id]; n != nil && st.ticketFor(now, n) {
			return true
		}
	}
	if !st.asked.IsZero() && now.Sub(st.asked) < s.params.AdviceWait {
		return false
	}
	var ids []galenahead.InstanceID
	for id, n := range s.instances {
		if n.fenced && !n.Draining && !n.leaving && n.has(st.step.Label) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return false
	}
	slices.Sort(ids)
	ids = ids[:min(len(ids), adviceCandidates)]
	st.asked = now
	s.out = append(s.out, Action{
		Kind: ActAdvise, Item: ItemID{st.job.ID, ItemKey{st.occurrence, st.index, 0}}, Candidates: ids,
	})
	return false
}

// ticketFor tells whether a valid ticket allows st on n.
func (st *itemSet) ticketFor(now time.Time, n *instance) bool {
	t, ok := st.tickets[n.ID]
	return ok && t.born == n.Born && now.Before(t.expires)
}

// Advised takes over the advisor's answer. A nil map means that none came.
func (s *Scheduler) Advised(now time.Time, a Action, tickets map[galenahead.InstanceID]string, validity time.Duration) {
	j := s.jobs[a.Item.Job]
	if j == nil {
		return
	}
	it := j.item(a.Item.Item)
	if it == nil {
		return
	}
	st := it.set
	if tickets == nil {
		// Asked again after the usual wait.
		return
	}
	st.tickets = make(map[galenahead.InstanceID]ticket, len(tickets))
	for id, text := range tickets {
		if n := s.instances[id]; n != nil {
			st.tickets[id] = ticket{text, n.Born, now.Add(validity)}
		}
	}
	if len(tickets) > 0 {
		st.asked = time.Time{}
	}
}
