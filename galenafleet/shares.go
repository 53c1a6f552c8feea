package galenafleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
)

const (
	// packing is how full the machines of a pool can be on average: work items do not fill
	// them exactly.
	packing = 0.85
	// shareSlack is the part of its share that a pool may lack before others empty machines
	// for it, so that shares that vary by a few machines move none.
	shareSlack = 0.1
	// vacatingTime is how long a machine may take to become empty for another pool: longer
	// than most work items take.
	vacatingTime = 6 * time.Second
)

// vacating is a machine that becomes empty for another pool.
type vacating struct {
	instance cordonedInstance
	since    time.Time
}

// fairShares divides total machines among pools by what they want. If there are too few,
// all get the same, but none more than it wants (max-min fairness).
func fairShares(total int, wants []int) []int {
	shares := make([]int, len(wants))
	order := make([]int, len(wants))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(wants[a], wants[b]) })
	for k, i := range order {
		shares[i] = max(0, min(wants[i], total/(len(order)-k)))
		total -= shares[i]
	}
	return shares
}

// setShares sets how many of the machines each pool should have. Work that can still be done
// in time comes before work that is late.
func (m *machineController) setShares(pools []poolStatus, size galenajob.Resources, spare int) {
	total := spare + len(m.vacating)
	urgent, wants := make([]int, len(pools)), make([]int, len(pools))
	for i := range pools {
		p := &pools[i]
		p.has = p.usage.Instances + m.arriving(p.service)
		total += p.has
		wants[i] = p.wanted(size)
		urgent[i] = min(wants[i], max(int(math.Ceil(machinesFor(p.usage.Urgent, size)/packing)), p.usage.Instances+p.arrivalShortfall))
	}
	shares := fairShares(total, urgent)
	for i := range shares {
		total -= shares[i]
		wants[i] -= shares[i]
	}
	for i, more := range fairShares(total, wants) {
		pools[i].share = shares[i] + more
	}
}

// setPoolLimits tells the scheduler of a pool what it can count on: the machines that the
// pool has, will get, or should have by its share.
func (m *machineController) setPoolLimits(p *poolStatus, size galenajob.Resources) {
	free := p.usage.Capacity.Sub(p.usage.LongRunning)
	coming := max(0, max(p.has, p.share)-p.usage.Instances)
	limits := galenajob.PoolLimits{MilliCPU: free.MilliCPU + int64(coming)*size.MilliCPU, StartLimited: p.startLimited}
	m.shardFor(p.service).inspect(func(_ time.Time, s *galenajob.Scheduler) { s.SetPoolLimits(limits) })
}

// wanted returns how many machines the pool needs for its work.
func (p *poolStatus) wanted(size galenajob.Resources) int {
	if p.shortfall > 0 {
		return p.has + p.shortfall
	}
	busy := int(math.Ceil(machinesFor(p.usage.Used.Add(p.usage.Demand), size) / packing))
	return min(p.has, max(busy, p.expected))
}

// missing returns how many machines the pool lacks of its share.
func (p *poolStatus) missing() int {
	return max(0, min(p.shortfall, p.share-p.has)-p.sent)
}

// neediest returns the pool that lacks most of its share, or nil if none lacks a machine.
func neediest(pools []poolStatus) *poolStatus {
	var out *poolStatus
	most := 0.0
	for i := range pools {
		p := &pools[i]
		if part := float64(p.missing()) / float64(max(1, p.share)); part > most {
			out, most = p, part
		}
	}
	return out
}

// takeVacated returns the machines that have become empty for other pools, and lets those
// take work again that are not needed any more or take too long.
func (m *machineController) takeVacated(pools []poolStatus, now time.Time) []Machine {
	wanted := 0
	lacking := map[galenahead.ServiceName]bool{}
	for i := range pools {
		n := pools[i].missing()
		wanted += n
		lacking[pools[i].service] = n > 0
	}
	var out []Machine
	for name, x := range m.vacating {
		v := m.machines[name]
		idle := false
		m.shardFor(x.instance.service).inspect(func(_ time.Time, s *galenajob.Scheduler) { _, idle = s.IdleSince(x.instance.id) })
		switch {
		case v.State != MachineUp || m.instanceOn(v) != x.instance:
			delete(m.vacating, name)
			m.uncordon(x.instance)
		case wanted == 0, lacking[x.instance.service], !idle && now.Sub(x.since) > vacatingTime:
			delete(m.vacating, name)
			m.uncordon(x.instance)
		case idle && m.mayOrder(name) && m.retryDue(name):
			out = append(out, v)
		}
	}
	slices.SortFunc(out, func(a, b Machine) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// vacate begins to empty machines of pools that have more than their share, as many as the
// other pools still lack of theirs. What runs there is not ended for it; only long-running
// work moves, within the limits of its steps and only if its pool has room.
func (m *machineController) vacate(pools []poolStatus, byInstance map[galenahead.InstanceID]Machine, now time.Time) {
	missing := -len(m.vacating)
	for i := range pools {
		if n := pools[i].missing(); float64(n) > shareSlack*float64(pools[i].share) {
			missing += n
		}
	}
	for i := range pools {
		p := &pools[i]
		n := min(missing, p.usage.Instances-p.share)
		if n <= 0 {
			continue
		}
		sh := m.shardFor(p.service)
		var ids []galenahead.InstanceID
		sh.inspect(func(at time.Time, s *galenajob.Scheduler) { ids = s.VacateOrder(at, p.shortfall == 0) })
		for _, id := range ids {
			v, ok := byInstance[id]
			if n == 0 || !ok || m.reserved(v.Name) {
				continue
			}
			n--
			missing--
			m.vacating[v.Name] = vacating{cordonedInstance{id, p.service}, now}
			sh.withScheduler(func(_ time.Time, s *galenajob.Scheduler) { s.SetVacating(id) })
		}
	}
}
