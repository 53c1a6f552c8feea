package galenabroker

import (
	"cmp"
	"slices"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenapeer"
)

// Load is the load of one service in one data centre, in slots.
type Load struct {
	DataCentre galenahead.DataCentre
	// Demand is the number of requests that wait or run at all entries, divided
	// among the data centres in proportion to their capacity.
	Demand   float64
	Capacity float64
	// VMs is the number of VMs whose instances are counted in Capacity.
	VMs int
}

// Loads returns the load by data centre, sorted by name.
func (a *Allocator) Loads(now galenapeer.Instant) []Load {
	byDC := make(map[galenahead.DataCentre]*Load)
	vms := make(map[galenahead.VMName]bool)
	total := 0.0
	for _, i := range a.instances {
		if !a.usable(now, i) {
			continue
		}
		d := byDC[i.announcement.DataCentre]
		if d == nil {
			d = &Load{DataCentre: i.announcement.DataCentre}
			byDC[i.announcement.DataCentre] = d
		}
		d.Capacity += float64(i.slots)
		total += float64(i.slots)
		if !vms[i.announcement.VM] {
			vms[i.announcement.VM] = true
			d.VMs++
		}
	}
	demand := a.totalDemand()
	out := make([]Load, 0, len(byDC))
	for _, d := range byDC {
		if total > 0 {
			d.Demand = demand * d.Capacity / total
		}
		out = append(out, *d)
	}
	slices.SortFunc(out, func(a, b Load) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return out
}

// totalDemand returns the number of requests that wait or run at all entries.
func (a *Allocator) totalDemand() float64 {
	n := 0
	for _, s := range a.sessions {
		for _, waiting := range s.demand {
			n += waiting
		}
	}
	return float64(n)
}

// Loads returns the load of each service that this entry brokers. It leaves out
// services for which processes that have not reported yet may still send requests.
func (s *Service) Loads() map[galenahead.ServiceName][]Load {
	now := s.clock.Now()
	out := make(map[galenahead.ServiceName][]Load)
	for name, st := range s.allStates() {
		st.mu.Lock()
		if a := st.currentAllocator(now); a != nil && a.Fenced() {
			out[name] = a.Loads(now)
		}
		st.mu.Unlock()
	}
	return out
}

// Instances returns the number of usable instances of the service, as of the
// broker's last renewal.
func (s *Service) Instances(service galenahead.ServiceName) int {
	st := s.state(service)
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.holder.totalInstances
}

// settled reports whether the service has instances and no slot is withheld for
// requests of processes that have not reported.
func (a *Allocator) settled(now galenapeer.Instant) bool {
	if !a.fenced {
		return false
	}
	for id := range a.instances {
		if a.maxUnreported(now, id) > 0 {
			return false
		}
	}
	return len(a.instances) > 0
}

// Settled reports whether the service's broker, as of its last renewal, withholds no
// slots. After entries have started, it withholds slots for some seconds, for
// requests that earlier processes may have in flight.
func (s *Service) Settled(service galenahead.ServiceName) bool {
	st := s.state(service)
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.holder.settled
}
