package sim

import (
	"math/rand/v2"

	"github.com/galenahead/galenahead/galenaretry"
)

// pickFunc chooses among the announced instances of a service.
type pickFunc func(d *direct, e *entry, service uint8, members []*instance) *instance

// direct sends every request at once to an instance chosen by local knowledge.
// It retries as the shipped policy does.
type direct struct {
	w      *world
	pick   pickFunc
	retry  []*galenaretry.Budgets
	rng    *rand.Rand
	turns  map[[2]int]int
	counts map[[2]int]int
	// subset limits an entry to some instances; nil means all.
	subset func(e *entry, in *instance) bool
}

func newDirect(w *world, pick pickFunc) *direct {
	d := &direct{w: w, pick: pick, rng: rand.New(rand.NewPCG(7, 7)), turns: make(map[[2]int]int), counts: make(map[[2]int]int)}
	for i := range w.entries {
		rng := rand.New(rand.NewPCG(uint64(i), 1))
		d.retry = append(d.retry, galenaretry.New(galenaretry.Config{Random: rng.Float64}))
	}
	return d
}

func (d *direct) membership() {}

func (d *direct) arrived(q *query) { d.send(q) }

func (d *direct) send(q *query) {
	if q.done || q.entry.dead {
		return
	}
	service := d.w.t.Requests[q.index].Service
	members := d.members(q.entry, service)
	if len(members) == 0 {
		d.w.finish(q, EndRefused)
		return
	}
	in := d.pick(d, q.entry, service, members)
	key := [2]int{q.entry.index, in.index}
	d.counts[key]++
	d.w.send(q, q.entry, in, func(res result) {
		d.counts[key]--
		d.settle(q, res)
	})
}

func (d *direct) members(e *entry, service uint8) []*instance {
	var all, own []*instance
	for _, in := range d.w.instances {
		if in.Service != int(service) || !in.announced {
			continue
		}
		all = append(all, in)
		if d.subset != nil && d.subset(e, in) {
			own = append(own, in)
		}
	}
	if len(own) > 0 {
		return own
	}
	return all
}

func (d *direct) settle(q *query, res result) {
	if q.done || res == silent || q.entry.dead {
		return
	}
	retry := d.retry[q.entry.index]
	if res == ran {
		retry.RecordSuccess(q.r.Service)
		d.w.finish(q, EndOnTime)
		return
	}
	decision := retry.Decide(d.w.time(), q.r, galenaretry.Attempt{Number: q.attempts, Unsent: res == refused})
	switch {
	case decision.Retry:
		d.w.in(decision.Delay, func() { d.send(q) })
	case res == refused:
		d.w.finish(q, EndRefused)
	default:
		d.w.finish(q, EndFailed)
	}
}

func roundRobin(d *direct, e *entry, service uint8, members []*instance) *instance {
	key := [2]int{e.index, int(service)}
	d.turns[key]++
	return members[(e.index+d.turns[key])%len(members)]
}

func leastLocal(d *direct, e *entry, service uint8, members []*instance) *instance {
	// The turn spreads ties, as an array walked from a moving start does.
	key := [2]int{e.index, int(service)}
	d.turns[key]++
	var best *instance
	for i := range members {
		in := members[(e.index+d.turns[key]+i)%len(members)]
		if best == nil || d.local(e, in) < d.local(e, best) {
			best = in
		}
	}
	return best
}

func twoChoices(d *direct, e *entry, _ uint8, members []*instance) *instance {
	a := members[d.rng.IntN(len(members))]
	b := members[d.rng.IntN(len(members))]
	if d.local(e, b) < d.local(e, a) {
		return b
	}
	return a
}

func (d *direct) local(e *entry, in *instance) int {
	return d.counts[[2]int{e.index, in.index}]
}
