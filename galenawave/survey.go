package galenawave

import (
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenastate"
)

// survey sorts the fleet by pool. Its slices are used again by the next plan.
type survey struct {
	pools map[galenahead.PoolName]*poolSurvey
	// moving lists the VMs that are in a phase other than owned.
	moving []*galenastate.VM
}

// poolSurvey is what one plan needs to know of one pool.
type poolSurvey struct {
	vms []*galenastate.VM
	// up is the number of VMs in service.
	up int
	// in and out are the numbers of VMs on their way to and from the pool.
	in, out  int
	services []serviceSurvey
	// waving is set while a wave on the pool is open.
	waving bool
}

// serviceSurvey sums the loads of one service over its data centres.
type serviceSurvey struct {
	name     galenahead.ServiceName
	demand   float64
	capacity float64
	vms      int
	budget   float64
	known    bool
}

// perVM returns the capacity of one VM for the service.
func (s serviceSurvey) perVM() float64 {
	if s.vms == 0 {
		return 0
	}
	return s.capacity / float64(s.vms)
}

func inService(vm *galenastate.VM) bool {
	return vm.Phase == galenastate.PhaseOwned && vm.Condition == galenastate.ConditionUp
}

func (s *survey) take(v *galenastate.View, m Measurements) {
	s.reset()
	s.takeVMs(v)
	s.takeLoads(v, m)
	for _, w := range v.Waves() {
		if w.Active() || w.InProgress > 0 {
			s.pool(w.Pool).waving = true
		}
	}
}

func (s *survey) reset() {
	if s.pools == nil {
		s.pools = make(map[galenahead.PoolName]*poolSurvey)
	}
	for _, p := range s.pools {
		*p = poolSurvey{vms: p.vms[:0], services: p.services[:0]}
	}
	s.moving = s.moving[:0]
}

func (s *survey) pool(name galenahead.PoolName) *poolSurvey {
	p, ok := s.pools[name]
	if !ok {
		p = &poolSurvey{}
		s.pools[name] = p
	}
	return p
}

func (s *survey) takeVMs(v *galenastate.View) {
	var p *poolSurvey
	var name galenahead.PoolName
	for vm := range v.VMs() {
		// Neighbours mostly share a pool, which saves the map access.
		if p == nil || vm.Pool != name {
			name = vm.Pool
			p = s.pool(name)
		}
		p.vms = append(p.vms, vm)
		if inService(vm) {
			p.up++
		}
		if vm.Phase != galenastate.PhaseOwned {
			s.takeMoving(vm)
		}
	}
}

func (s *survey) takeMoving(vm *galenastate.VM) {
	s.moving = append(s.moving, vm)
	switch vm.Phase {
	case galenastate.PhaseReleasing:
		s.pool(vm.Pool).out++
		s.pool(vm.ToPool).in++
	case galenastate.PhaseFree:
		s.pool(vm.ToPool).in++
	case galenastate.PhaseAcquiring:
		s.pool(vm.Pool).in++
	}
}

func (s *survey) takeLoads(v *galenastate.View, m Measurements) {
	for _, service := range v.Services() {
		p := s.pool(service.Pool)
		p.services = append(p.services, sumLoads(service.Name, m.Loads))
	}
}

func sumLoads(name galenahead.ServiceName, loads []Load) serviceSurvey {
	sum := serviceSurvey{name: name, budget: 1}
	for _, l := range loads {
		if l.Service != name {
			continue
		}
		sum.known = true
		sum.demand += l.Demand
		sum.capacity += l.Capacity
		sum.vms += l.VMs
		sum.budget = min(sum.budget, l.Budget)
	}
	return sum
}

func msTime(ms int64) time.Time { return time.UnixMilli(ms) }
