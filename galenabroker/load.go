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
	// Demand is this data centre's part, by capacity, of the requests that wait
	// and run at all entries.
	Demand   float64
	Capacity float64
	// VMs is the number of VMs whose instances Capacity counts.
	VMs int
}

// Loads returns the load by data centre, sorted by name.
func (l *Ledger) Loads(now galenapeer.Instant) []Load {
	byDC := make(map[galenahead.DataCentre]*Load)
	vms := make(map[galenahead.VMName]bool)
	total := 0.0
	for _, i := range l.instances {
		if !l.usable(now, i) {
			continue
		}
		d := byDC[i.ann.DataCentre]
		if d == nil {
			d = &Load{DataCentre: i.ann.DataCentre}
			byDC[i.ann.DataCentre] = d
		}
		d.Capacity += float64(i.slots)
		total += float64(i.slots)
		if !vms[i.ann.VM] {
			vms[i.ann.VM] = true
			d.VMs++
		}
	}
	demand := l.demand()
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

// demand returns the requests that wait and run at all entries.
func (l *Ledger) demand() float64 {
	n := 0
	for _, s := range l.sessions {
		for _, waiting := range s.demand {
			n += waiting
		}
	}
	return float64(n)
}

// Loads returns the load of each service that this entry brokers and whose
// grants it knows completely.
func (s *Service) Loads() map[galenahead.ServiceName][]Load {
	now := s.clock.Now()
	out := make(map[galenahead.ServiceName][]Load)
	for name, d := range s.allDesks() {
		d.mu.Lock()
		if l := d.current(now); l != nil && l.Open() {
			out[name] = l.Loads(now)
		}
		d.mu.Unlock()
	}
	return out
}

// Instances returns how many instances of the service are usable, by the
// broker's last renewal.
func (s *Service) Instances(service galenahead.ServiceName) int {
	d := s.desk(service)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holdings.instances
}

// settled tells whether the service has instances whose slots are all accounted
// for, so that none is kept back for requests of former processes.
func (l *Ledger) settled(now galenapeer.Instant) bool {
	if !l.open {
		return false
	}
	for id := range l.instances {
		if l.unknown(now, id) > 0 {
			return false
		}
	}
	return len(l.instances) > 0
}

// Settled tells whether the service's broker, by its last renewal, keeps no
// slots back. It does for some seconds after entries have started.
func (s *Service) Settled(service galenahead.ServiceName) bool {
	d := s.desk(service)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holdings.settled
}
