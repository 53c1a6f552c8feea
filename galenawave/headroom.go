package galenawave

import (
	"fmt"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenastate"
)

// maxReasonBytes limits the reason of a step, to keep log records short.
const maxReasonBytes = 256

// failureDomain is a rack or a data centre with its numbers of VMs in service and
// out of service.
type failureDomain struct {
	up, unavailable int
}

// vmDomains is a VM with its failure domains.
type vmDomains struct {
	vm               *galenastate.VM
	rack, dataCentre *failureDomain
}

// rackKey identifies a rack. Racks of different data centres may have the same
// name.
type rackKey struct {
	dataCentre galenahead.DataCentre
	rack       galenahead.RackName
}

// headroom decides which VM of a pool can be taken out of service next.
type headroom struct {
	pool            *poolSummary
	vms             []vmDomains
	up, unavailable int
	racks           map[rackKey]*failureDomain
	dataCentres     map[galenahead.DataCentre]*failureDomain
	// largestRackVMs and largestDataCentreVMs are the largest numbers of VMs that
	// are in service in one rack and in one data centre.
	largestRackVMs, largestDataCentreVMs int
	faults                               injectedFaults
}

func newHeadroom(pool *poolSummary) *headroom {
	h := &headroom{
		pool:        pool,
		vms:         make([]vmDomains, 0, len(pool.vms)),
		racks:       make(map[rackKey]*failureDomain),
		dataCentres: make(map[galenahead.DataCentre]*failureDomain),
	}
	for _, vm := range pool.vms {
		p := h.domainsOf(vm)
		h.vms = append(h.vms, p)
		if inService(vm) {
			h.up++
			p.rack.up++
			p.dataCentre.up++
			continue
		}
		h.unavailable++
		p.rack.unavailable++
		p.dataCentre.unavailable++
	}
	h.updateLargest()
	return h
}

func (h *headroom) updateLargest() {
	h.largestRackVMs, h.largestDataCentreVMs = 0, 0
	for _, d := range h.racks {
		h.largestRackVMs = max(h.largestRackVMs, d.up)
	}
	for _, d := range h.dataCentres {
		h.largestDataCentreVMs = max(h.largestDataCentreVMs, d.up)
	}
}

func (h *headroom) domainsOf(vm *galenastate.VM) vmDomains {
	key := rackKey{vm.DataCentre, vm.Rack}
	rack, ok := h.racks[key]
	if !ok {
		rack = &failureDomain{}
		h.racks[key] = rack
	}
	dataCentre, ok := h.dataCentres[vm.DataCentre]
	if !ok {
		dataCentre = &failureDomain{}
		h.dataCentres[vm.DataCentre] = dataCentre
	}
	return vmDomains{vm, rack, dataCentre}
}

func (h *headroom) markDrained(drained vmDomains) {
	h.up--
	h.unavailable++
	drained.rack.up--
	drained.rack.unavailable++
	drained.dataCentre.up--
	drained.dataCentre.unavailable++
	h.updateLargest()
}

// chooseNext returns the index of the VM to drain next, or -1. It prefers racks and
// data centres that already have VMs out of service, so that a wave affects few of
// them at the same time, and then the data centre with the most VMs in service.
func (h *headroom) chooseNext(pending []vmDomains) int {
	best := -1
	for i, candidate := range pending {
		if best >= 0 && !drainsBefore(candidate, pending[best]) {
			continue
		}
		if h.allowsDrain(candidate) {
			best = i
		}
	}
	return best
}

// describeDecision returns the inputs of the newest decision, as the reason of a
// drain.
func (h *headroom) describeDecision() string {
	text := fmt.Sprintf("%d VMs in service, %d out", h.up, h.unavailable)
	for _, s := range h.pool.services {
		text += fmt.Sprintf("; %s has %.0f slots left for a demand of %.0f and %.0f%% of its budget",
			s.name, s.capacityPerVM()*float64(h.up), s.demand, 100*s.budget)
	}
	return text[:min(len(text), maxReasonBytes)]
}

// drainsBefore reports whether a is preferred to b, by the order of chooseNext.
func drainsBefore(a, b vmDomains) bool {
	if a.rack.unavailable != b.rack.unavailable {
		return a.rack.unavailable > b.rack.unavailable
	}
	if a.dataCentre.unavailable != b.dataCentre.unavailable {
		return a.dataCentre.unavailable > b.dataCentre.unavailable
	}
	if a.dataCentre.up != b.dataCentre.up {
		return a.dataCentre.up > b.dataCentre.up
	}
	if a.vm.DataCentre != b.vm.DataCentre {
		return a.vm.DataCentre < b.vm.DataCentre
	}
	return a.vm.Rack < b.vm.Rack
}

// allowsDrain reports whether the pool can still serve the demand of all its
// services without the candidate. While VMs in another rack or data centre are out
// of service, this must also hold after the loss of the largest rack or data
// centre.
func (h *headroom) allowsDrain(candidate vmDomains) bool {
	if h.faults.ignoreHeadroom {
		return true
	}
	toleratedLoss := h.lossTolerance(candidate)
	for _, s := range h.pool.services {
		if !s.measured {
			return false
		}
		if h.unavailable > 0 && s.budget < parallelBudgetShare {
			return false
		}
		remaining := s.capacityPerVM() * float64(h.up-1-toleratedLoss)
		if remaining < s.demand*(1+budgetMargin*(1-s.budget)) {
			return false
		}
	}
	return true
}

// lossTolerance returns how many more VMs the pool must be able to lose once the
// candidate is drained: those of the largest data centre while VMs outside the
// candidate's data centre are out of service, or else those of the largest rack
// while VMs outside its rack are.
func (h *headroom) lossTolerance(candidate vmDomains) int {
	switch {
	case h.faults.ignoreSpread:
		return 0
	case h.unavailable > candidate.dataCentre.unavailable:
		return h.largestDataCentreVMs
	case h.unavailable > candidate.rack.unavailable:
		return h.largestRackVMs
	}
	return 0
}
