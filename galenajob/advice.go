package galenajob

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenahead/galenahead"
)

const (
	// maxAdviceCandidates bounds the instances in one advice request, since each
	// costs the advisor time.
	maxAdviceCandidates = 30
	// maxAdvicePauseDoublings bounds how often the pause between two requests doubles once the
	// advisor has refused all instances, so that steps that can run nowhere leave the advisor
	// to the others.
	maxAdvicePauseDoublings = 4
)

// adviceInquiry is the last question to the advisor about an instance.
type adviceInquiry struct {
	// born identifies the incarnation.
	born int64
	// number is the number of the request among those of the set.
	number int
}

// startAdvisedItems starts pending work items of a set whose queue requires advice, on the
// instances for which it has tickets. For those that find no room there it asks about more
// instances.
func (s *Scheduler) startAdvisedItems(now time.Time, set *itemSet) {
	set.dropExpiredTickets(now, s.instances)
	if len(set.tickets) > 0 {
		s.placeItems(now, set)
	}
	it := set.firstPending()
	if it == nil || s.StartsExhausted() || now.Sub(set.adviceRequestedAt) < s.params.AdviceTimeout {
		return
	}
	if len(set.tickets) > 0 {
		s.askAdvice(now, set, s.adviceCandidates(set, func(inst *instance) bool {
			return !set.wasAsked(inst) && s.canStart(inst, it) && !inst.barred(now)
		}))
		return
	}
	ids := s.adviceCandidates(set, func(*instance) bool { return true })
	if len(ids) > 0 && set.wasAsked(s.instances[ids[0]]) {
		// The advisor has refused all instances.
		pause := s.params.AdviceTimeout << min(set.fruitlessRounds, maxAdvicePauseDoublings)
		if now.Sub(set.adviceRequestedAt) < pause {
			return
		}
		set.fruitlessRounds++
	}
	s.askAdvice(now, set, ids)
}

// adviceCandidates returns the instances to ask the advisor about: of those that run the
// step and are wanted, the ones not asked about for longest, and with room for it first.
func (s *Scheduler) adviceCandidates(set *itemSet, wanted func(*instance) bool) []galenahead.InstanceID {
	var out []*instance
	for _, inst := range s.sortedInstances() {
		if inst.fenceConfirmed && !inst.Draining && !inst.evacuating && !inst.removing && inst.hasLabel(set.step.Label) && wanted(inst) {
			out = append(out, inst)
		}
	}
	lastAsked := func(inst *instance) int {
		if set.wasAsked(inst) {
			return set.asked[inst.ID].number
		}
		return 0
	}
	need := set.step.reservation()
	full := func(inst *instance) int {
		if inst.free().Covers(need) {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(out, func(a, b *instance) int {
		return cmp.Or(cmp.Compare(lastAsked(a), lastAsked(b)), cmp.Compare(full(a), full(b)))
	})
	ids := make([]galenahead.InstanceID, 0, maxAdviceCandidates)
	for _, inst := range out[:min(len(out), maxAdviceCandidates)] {
		ids = append(ids, inst.ID)
	}
	return ids
}

// askAdvice requests advice on instances.
func (s *Scheduler) askAdvice(now time.Time, set *itemSet, ids []galenahead.InstanceID) {
	if len(ids) == 0 {
		return
	}
	if set.asked == nil {
		set.asked = map[galenahead.InstanceID]adviceInquiry{}
	}
	set.adviceRequestedAt = now
	set.adviceRequests++
	for _, id := range ids {
		set.asked[id] = adviceInquiry{s.instances[id].Born, set.adviceRequests}
	}
	s.actions = append(s.actions, Action{
		Kind: ActAdvise, Item: ItemID{set.job.ID, ItemKey{set.occurrence, set.index, 0}}, Candidates: ids,
	})
}

// wasAsked reports whether the advisor was asked about the present incarnation.
func (set *itemSet) wasAsked(inst *instance) bool {
	q, ok := set.asked[inst.ID]
	return ok && q.born == inst.Born
}

// dropExpiredTickets drops the tickets that are no longer valid, so that the advisor is asked
// about their instances again.
func (set *itemSet) dropExpiredTickets(now time.Time, instances map[galenahead.InstanceID]*instance) {
	for id := range set.tickets {
		if inst := instances[id]; inst == nil || !set.hasTicket(now, inst) {
			set.dropTicket(id)
		}
	}
}

// dropTicket drops the ticket for an instance.
func (set *itemSet) dropTicket(id galenahead.InstanceID) {
	delete(set.tickets, id)
	delete(set.asked, id)
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
		// The request is repeated after AdviceTimeout.
		for _, id := range a.Candidates {
			if _, ok := set.tickets[id]; !ok {
				delete(set.asked, id)
			}
		}
		return
	}
	for id, text := range tickets {
		// A ticket for an earlier incarnation is not valid for the present one.
		inst := s.instances[id]
		if inst == nil || !set.wasAsked(inst) {
			continue
		}
		if set.tickets == nil {
			set.tickets = map[galenahead.InstanceID]ticket{}
		}
		set.tickets[id] = ticket{text, inst.Born, now.Add(validity)}
		set.fruitlessRounds = 0
	}
	if len(set.tickets) > 0 || s.hasUnasked(set) {
		set.adviceRequestedAt = time.Time{}
	}
}

// hasUnasked reports whether the set can ask the advisor about an instance for the first time.
func (s *Scheduler) hasUnasked(set *itemSet) bool {
	ids := s.adviceCandidates(set, func(inst *instance) bool { return !set.wasAsked(inst) })
	return len(ids) > 0
}
