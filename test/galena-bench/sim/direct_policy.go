package sim

import (
	"math/rand/v2"

	"github.com/galenahead/galenahead/galenaretry"
)

// chooseFunc chooses one of the announced instances of a service.
type chooseFunc func(d *directPolicy, e *entry, service uint8, candidates []*instance) *instance

// directPolicy sends every request without queueing to an instance that it chooses
// with the local information of the entry. It retries as the shipped policy does.
type directPolicy struct {
	sim          *simulation
	choose       chooseFunc
	retryBudgets []*galenaretry.Budgets
	rng          *rand.Rand
	rotation     map[[2]int]int
	inFlight     map[[2]int]int
	// subset reports whether an entry may use an instance; nil allows all.
	subset func(e *entry, inst *instance) bool
}

func newDirectPolicy(sim *simulation, choose chooseFunc) *directPolicy {
	d := &directPolicy{sim: sim, choose: choose, rng: rand.New(rand.NewPCG(7, 7)), rotation: make(map[[2]int]int), inFlight: make(map[[2]int]int)}
	for i := range sim.entries {
		rng := rand.New(rand.NewPCG(uint64(i), 1))
		d.retryBudgets = append(d.retryBudgets, galenaretry.New(galenaretry.Config{Random: rng.Float64}))
	}
	return d
}

func (d *directPolicy) membershipChanged() {}

func (d *directPolicy) requestArrived(req *request) { d.send(req) }

func (d *directPolicy) send(req *request) {
	if req.finished || req.entry.dead {
		return
	}
	service := d.sim.trace.Requests[req.index].Service
	candidates := d.candidates(req.entry, service)
	if len(candidates) == 0 {
		d.sim.finish(req, OutcomeRejected)
		return
	}
	inst := d.choose(d, req.entry, service, candidates)
	key := [2]int{req.entry.index, inst.index}
	d.inFlight[key]++
	d.sim.send(req, req.entry, inst, func(res attemptResult) {
		d.inFlight[key]--
		d.respondOrRetry(req, res)
	})
}

func (d *directPolicy) candidates(e *entry, service uint8) []*instance {
	var all, allowed []*instance
	for _, inst := range d.sim.instances {
		if inst.Service != int(service) || !inst.announced {
			continue
		}
		all = append(all, inst)
		if d.subset != nil && d.subset(e, inst) {
			allowed = append(allowed, inst)
		}
	}
	if len(allowed) > 0 {
		return allowed
	}
	return all
}

func (d *directPolicy) respondOrRetry(req *request, res attemptResult) {
	if req.finished || res == resultNoResponse || req.entry.dead {
		return
	}
	budgets := d.retryBudgets[req.entry.index]
	if res == resultRan {
		budgets.RecordSuccess(req.details.Service)
		d.sim.finish(req, OutcomeOnTime)
		return
	}
	decision := budgets.Decide(d.sim.time(), req.details, galenaretry.Attempt{Number: req.attempts, Unsent: res == resultRejected})
	switch {
	case decision.Retry:
		d.sim.after(decision.Delay, func() { d.send(req) })
	case res == resultRejected:
		d.sim.finish(req, OutcomeRejected)
	default:
		d.sim.finish(req, OutcomeFailed)
	}
}

func roundRobin(d *directPolicy, e *entry, service uint8, candidates []*instance) *instance {
	key := [2]int{e.index, int(service)}
	d.rotation[key]++
	return candidates[(e.index+d.rotation[key])%len(candidates)]
}

func leastLocal(d *directPolicy, e *entry, service uint8, candidates []*instance) *instance {
	// Rotating the start of the search spreads requests over instances with equal
	// load.
	key := [2]int{e.index, int(service)}
	d.rotation[key]++
	var best *instance
	for i := range candidates {
		inst := candidates[(e.index+d.rotation[key]+i)%len(candidates)]
		if best == nil || d.inFlightTo(e, inst) < d.inFlightTo(e, best) {
			best = inst
		}
	}
	return best
}

func twoChoices(d *directPolicy, e *entry, _ uint8, candidates []*instance) *instance {
	a := candidates[d.rng.IntN(len(candidates))]
	b := candidates[d.rng.IntN(len(candidates))]
	if d.inFlightTo(e, b) < d.inFlightTo(e, a) {
		return b
	}
	return a
}

func (d *directPolicy) inFlightTo(e *entry, inst *instance) int {
	return d.inFlight[[2]int{e.index, inst.index}]
}
