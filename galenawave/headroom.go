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

// placedVM is a VM with its failure domains.
type placedVM struct {
	vm           *galenastate.VM
	rack, centre *domain
}

// rackKey names a rack; racks of different data centres may share a name.
type rackKey struct {
	dataCentre galenahead.DataCentre
	rack       galenahead.RackName
}

// headroom decides which VM of a pool can be taken out next.
type headroom struct {
	pool    *poolSurvey
	vms     []placedVM
	up, out int
	racks   map[rackKey]*domain
	centres map[galenahead.DataCentre]*domain
	// largestRack and largestCentre are the VMs in service of the largest one.
	largestRack, largestCentre int
	faults                     faults
}

func newHeadroom(pool *poolSurvey) *headroom {
	h := &headroom{
		pool:    pool,
		vms:     make([]placedVM, 0, len(pool.vms)),
		racks:   make(map[rackKey]*domain),
		centres: make(map[galenahead.DataCentre]*domain),
	}
	for _, vm := range pool.vms {
		p := h.place(vm)
		h.vms = append(h.vms, p)
		if inService(vm) {
			h.up++
			p.rack.up++
			p.centre.up++
			continue
		}
		h.out++
		p.rack.out++
		p.centre.out++
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

func (h *headroom) place(vm *galenastate.VM) placedVM {
	key := rackKey{vm.DataCentre, vm.Rack}
	rack, ok := h.racks[key]
	if !ok {
		rack = &domain{}
		h.racks[key] = rack
	}
	centre, ok := h.centres[vm.DataCentre]
	if !ok {
		centre = &domain{}
		h.centres[vm.DataCentre] = centre
	}
	return placedVM{vm, rack, centre}
}

func (h *headroom) takeOut(p placedVM) {
	h.up--
	h.out++
	p.rack.up--
	p.rack.out++
	p.centre.up--
	p.centre.out++
	h.findLargest()
}

// choose returns the index of the VM to take out next, or -1. Racks and data
// centres that have VMs out come first, so that few of them are touched at a
// time; then the data centre with the most VMs in service.
func (h *headroom) choose(pending []placedVM) int {
	best := -1
	for i, p := range pending {
		if best >= 0 && !before(p, pending[best]) {
			continue
		}
		if h.allows(p) {
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

func before(a, b placedVM) bool {
	if a.rack.out != b.rack.out {
		return a.rack.out > b.rack.out
	}
	if a.centre.out != b.centre.out {
		return a.centre.out > b.centre.out
	}
	if a.centre.up != b.centre.up {
		return a.centre.up > b.centre.up
	}
	if a.vm.DataCentre != b.vm.DataCentre {
		return a.vm.DataCentre < b.vm.DataCentre
	}
	return a.vm.Rack < b.vm.Rack
}

// allows tells whether every service of the pool holds its demand without p.
// While VMs of another rack or data centre are out, it must also hold it after
// the loss of the largest rack or data centre.
func (h *headroom) allows(p placedVM) bool {
	if h.faults.ignoreHeadroom {
		return true
	}
	spare := h.reservedFor(p)
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

// reservedFor returns how many VMs must remain unneeded when p is taken out:
// those of the largest domain, if another domain than p's has VMs out.
func (h *headroom) reservedFor(p placedVM) int {
	switch {
	case h.faults.ignoreSpread:
		return 0
	case h.out > p.centre.out:
		return h.largestCentre
	case h.out > p.rack.out:
		return h.largestRack
	}
	return 0
}
