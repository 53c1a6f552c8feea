package galenawave

import (
	"fmt"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenastate"
)

// reasonLimit keeps the reasons of steps short in the log, in bytes.
const reasonLimit = 256

// domain is a failure domain with its VMs in service and out of service.
type domain struct {
	up, out int
}

// rackKey names a rack; racks of different data centres may share a name.
type rackKey struct {
	dataCentre galenahead.DataCentre
	rack       galenahead.RackName
}

// headroom decides which VM of a pool can be taken out next.
type headroom struct {
	pool    *poolSurvey
	up, out int
	racks   map[rackKey]*domain
	centres map[galenahead.DataCentre]*domain
	// largestRack and largestCentre are the VMs in service of the largest one.
	largestRack, largestCentre int
	// ignore is a fault that only tests set.
	ignore bool
}

func newHeadroom(pool *poolSurvey) *headroom {
	h := &headroom{
		pool:    pool,
		racks:   make(map[rackKey]*domain),
		centres: make(map[galenahead.DataCentre]*domain),
	}
	for _, vm := range pool.vms {
		rack, centre := h.domains(vm)
		if inService(vm) {
			h.up++
			rack.up++
			centre.up++
			continue
		}
		h.out++
		rack.out++
		centre.out++
	}
	h.findLargest()
	return h
}

func (h *headroom) findLargest() {
	h.largestRack, h.largestCentre = 0, 0
	for _, d := range h.racks {
		h.largestRack = max(h.largestRack, d.up)
	}
	for _, d := range h.centres {
		h.largestCentre = max(h.largestCentre, d.up)
	}
}

func (h *headroom) domains(vm *galenastate.VM) (rack, centre *domain) {
	key := rackKey{vm.DataCentre, vm.Rack}
	rack, ok := h.racks[key]
	if !ok {
		rack = &domain{}
		h.racks[key] = rack
	}
	centre, ok = h.centres[vm.DataCentre]
	if !ok {
		centre = &domain{}
		h.centres[vm.DataCentre] = centre
	}
	return rack, centre
}

func (h *headroom) takeOut(vm *galenastate.VM) {
	rack, centre := h.domains(vm)
	h.up--
	h.out++
	rack.up--
	rack.out++
	centre.up--
	centre.out++
	h.findLargest()
}

// choose returns the index of the VM to take out next, or -1. Racks and data
// centres that have VMs out come first, so that few of them are touched at a
// time; then the data centre with the most VMs in service.
func (h *headroom) choose(pending []*galenastate.VM) int {
	best := -1
	for i, vm := range pending {
		if best >= 0 && !h.before(vm, pending[best]) {
			continue
		}
		if h.allows(vm) {
			best = i
		}
	}
	return best
}

// describe names the inputs of the newest decision.
func (h *headroom) describe() string {
	text := fmt.Sprintf("%d VMs in service, %d out", h.up, h.out)
	for _, s := range h.pool.services {
		text += fmt.Sprintf("; %s has %.0f slots left for a demand of %.0f and %.0f%% of its budget",
			s.name, s.perVM()*float64(h.up), s.demand, 100*s.budget)
	}
	return text[:min(len(text), reasonLimit)]
}

func (h *headroom) before(a, b *galenastate.VM) bool {
	rackA, centreA := h.domains(a)
	rackB, centreB := h.domains(b)
	if rackA.out != rackB.out {
		return rackA.out > rackB.out
	}
	if centreA.out != centreB.out {
		return centreA.out > centreB.out
	}
	if centreA.up != centreB.up {
		return centreA.up > centreB.up
	}
	if a.DataCentre != b.DataCentre {
		return a.DataCentre < b.DataCentre
	}
	return a.Rack < b.Rack
}

// allows tells whether every service of the pool holds its demand without vm.
// While VMs of another rack or data centre are out, it must also hold it after
// the loss of the largest rack or data centre.
func (h *headroom) allows(vm *galenastate.VM) bool {
	if h.ignore {
		return true
	}
	rack, centre := h.domains(vm)
	spare := 0
	if h.out > rack.out {
		spare = h.largestRack
	}
	if h.out > centre.out {
		spare = h.largestCentre
	}
	for _, s := range h.pool.services {
		if !s.known {
			return false
		}
		if h.out > 0 && s.budget < severalBudget {
			return false
		}
		left := s.perVM() * float64(h.up-1-spare)
		if left < s.demand*(1+budgetMargin*(1-s.budget)) {
			return false
		}
	}
	return true
}
