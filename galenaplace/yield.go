package galenaplace

import (
	"cmp"
	"slices"

	"github.com/galenahead/galenahead"
)

const (
	// maxPlans bounds the workers for which the jobs that give way are worked
	// out; the cheapest of them is taken.
	maxPlans = 32
	// checkpointCost is the cost of a checkpoint relative to a throttled job: a
	// checkpointed job has to be placed and started again.
	checkpointCost = 10
)

// plan names the jobs that leave or slow down for another job.
type plan struct {
	worker   *worker
	preempt  []galenahead.JobID
	throttle []galenahead.JobID
}

func (p *plan) cost() int { return checkpointCost*len(p.preempt) + len(p.throttle) }

// placeYield looks for a worker with room for the job once deferrable jobs
// give way. Crowded places come last, as in placeFree.
func (x *Index) placeYield(q *query) (galenahead.Placement, bool) {
	for _, crowded := range []bool{false, true} {
		for _, t := range x.tiers(q.spec.Pool) {
			best := q.searchYield(t.group, crowded)
			if best == nil {
				continue
			}
			p := q.placement(best.worker, ReasonYield)
			p.Preempt, p.Throttle = best.preempt, best.throttle
			return p, true
		}
	}
	return galenahead.Placement{}, false
}

// searchYield returns the cheapest of the first maxPlans plans, those in data
// centres and racks with the fewest jobs of the service first.
func (q *query) searchYield(g *group, crowded bool) *plan {
	var best *plan
	plans := 0
	for _, z := range q.order(g) {
		if !crowded && q.service.counts[z.dc] >= q.dcLimit {
			break
		}
		for _, s := range q.shelves(z, crowded) {
			for _, w := range s.workers {
				q.candidates++
				p := q.plan(w)
				if p == nil {
					continue
				}
				if best == nil || p.cost() < best.cost() {
					best = p
				}
				if plans++; plans == maxPlans {
					return best
				}
			}
		}
	}
	return best
}

// shelves returns the shelves of a data centre on which the job may fit once
// deferrable jobs give way, those with the fewest jobs of the service first.
func (q *query) shelves(z *zone, crowded bool) []*shelf {
	var shelves []*shelf
	for _, s := range z.shelves {
		fits := s.maxYield.covers(q.estimate.min(s.minSize))
		if fits && (crowded || q.service.counts[s.rack] < q.rackLimit) {
			shelves = append(shelves, s)
		}
	}
	slices.SortStableFunc(shelves, func(a, b *shelf) int {
		return cmp.Compare(q.service.counts[a.rack], q.service.counts[b.rack])
	})
	return shelves
}

// plan returns the jobs that give way on a worker, or nil when all deferrable
// jobs together do not make enough room.
func (q *query) plan(w *worker) *plan {
	need, ok := q.need(w)
	free := w.free()
	if !ok || !free.plus(w.deferrable).covers(need) {
		return nil
	}
	jobs := deferrable(w)
	if p := throttleOnly(w, jobs, need.minus(free)); p != nil {
		return p
	}
	return checkpoint(w, jobs, need.minus(free))
}

// deferrable returns the deferrable jobs of a worker, the newest first because
// they lose the least progress.
func deferrable(w *worker) []*job {
	jobs := make([]*job, 0, len(w.jobs))
	for _, j := range w.jobs {
		if !j.urgent {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(b.started, a.started), cmp.Compare(a.id, b.id))
	})
	return jobs
}

// throttleOnly returns a plan without checkpoints, or nil when memory or
// accelerators are short too.
func throttleOnly(w *worker, jobs []*job, short size) *plan {
	if short.mb > 0 || short.acc > 0 {
		return nil
	}
	p := &plan{worker: w}
	for _, j := range jobs {
		if short.milli <= 0 {
			break
		}
		if !j.throttled {
			short.milli -= int64(j.charge.milli) - throttled(j.charge.size()).milli
			p.throttle = append(p.throttle, j.id)
		}
	}
	if short.milli > 0 {
		return nil
	}
	return p
}

// checkpoint takes the jobs that cover most of what is short, one by one, and
// then keeps those that turn out not to be needed.
func checkpoint(w *worker, jobs []*job, short size) *plan {
	var chosen []*job
	for !(size{}).covers(short) {
		best := slices.MaxFunc(jobs, func(a, b *job) int {
			return cmp.Compare(cover(a.charge.size(), short), cover(b.charge.size(), short))
		})
		jobs = slices.DeleteFunc(jobs, func(j *job) bool { return j == best })
		chosen = append(chosen, best)
		short = short.minus(best.charge.size())
	}
	p := &plan{worker: w}
	for _, j := range chosen {
		if back := short.plus(j.charge.size()); (size{}).covers(back) {
			short = back
			continue
		}
		p.preempt = append(p.preempt, j.id)
	}
	return p
}

// cover returns how much of a shortage a charge covers, in shortages.
func cover(charge, short size) float64 {
	return fraction(charge.milli, short.milli) + fraction(charge.mb, short.mb) + fraction(charge.acc, short.acc)
}

func fraction(charge, short int64) float64 {
	if short <= 0 {
		return 0
	}
	return float64(min(charge, short)) / float64(short)
}
