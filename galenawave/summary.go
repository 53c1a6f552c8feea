package galenawave

import (
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenastate"
)

// fleetSummary groups VMs and service loads by pool for one plan. The next plan
// reuses its slices.
type fleetSummary struct {
	pools map[galenahead.PoolName]*poolSummary
	// moving lists the VMs in a phase other than PhaseOwned.
	moving []*galenastate.VM
}

// poolSummary holds the VMs and service loads of one pool.
type poolSummary struct {
	vms []*galenastate.VM
	// up is the number of VMs in service.
	up int
	// incoming and outgoing are the numbers of VMs that are moving to and from
	// the pool.
	incoming, outgoing int
	services           []serviceLoad
	// waveOpen is set while a wave on the pool has not ended or has VMs out of
	// service.
	waveOpen bool
}

// serviceLoad is the load of one service, summed over its data centres. budget is
// the smallest budget, and measured is set if there is any measurement.
type serviceLoad struct {
	name     galenahead.ServiceName
	demand   float64
	capacity float64
	vms      int
	budget   float64
	measured bool
}

// capacityPerVM returns the capacity of one VM for the service.
func (s serviceLoad) capacityPerVM() float64 {
	if s.vms == 0 {
		return 0
	}
	return s.capacity / float64(s.vms)
}

func inService(vm *galenastate.VM) bool {
	return vm.Phase == galenastate.PhaseOwned && vm.Condition == galenastate.ConditionUp
}

func (s *fleetSummary) update(v *galenastate.View, m Measurements) {
	s.reset()
	s.addVMs(v)
	s.addLoads(v, m)
	for _, w := range v.Waves() {
		if w.Active() || w.InProgress > 0 {
			s.pool(w.Pool).waveOpen = true
		}
	}
}

func (s *fleetSummary) reset() {
	if s.pools == nil {
		s.pools = make(map[galenahead.PoolName]*poolSummary)
	}
	for _, p := range s.pools {
		*p = poolSummary{vms: p.vms[:0], services: p.services[:0]}
	}
	s.moving = s.moving[:0]
}

func (s *fleetSummary) pool(name galenahead.PoolName) *poolSummary {
	p, ok := s.pools[name]
	if !ok {
		p = &poolSummary{}
		s.pools[name] = p
	}
	return p
}

func (s *fleetSummary) addVMs(v *galenastate.View) {
	var p *poolSummary
	var name galenahead.PoolName
	for vm := range v.VMs() {
		// Consecutive VMs mostly belong to the same pool, which saves the map
		// lookup.
		if p == nil || vm.Pool != name {
			name = vm.Pool
			p = s.pool(name)
		}
		p.vms = append(p.vms, vm)
		if inService(vm) {
			p.up++
		}
		if vm.Phase != galenastate.PhaseOwned {
			s.addMovingVM(vm)
		}
	}
}

func (s *fleetSummary) addMovingVM(vm *galenastate.VM) {
	s.moving = append(s.moving, vm)
	switch vm.Phase {
	case galenastate.PhaseReleasing:
		s.pool(vm.Pool).outgoing++
		s.pool(vm.ToPool).incoming++
	case galenastate.PhaseFree:
		s.pool(vm.ToPool).incoming++
	case galenastate.PhaseAcquiring:
		s.pool(vm.Pool).incoming++
	}
}

func (s *fleetSummary) addLoads(v *galenastate.View, m Measurements) {
	for _, service := range v.Services() {
		p := s.pool(service.Pool)
		p.services = append(p.services, sumLoads(service.Name, m.Loads))
	}
}

func sumLoads(name galenahead.ServiceName, loads []Load) serviceLoad {
	sum := serviceLoad{name: name, budget: 1}
	for _, l := range loads {
		if l.Service != name {
			continue
		}
		sum.measured = true
		sum.demand += l.Demand
		sum.capacity += l.Capacity
		sum.vms += l.VMs
		sum.budget = min(sum.budget, l.Budget)
	}
	return sum
}

func msTime(ms int64) time.Time { return time.UnixMilli(ms) }
