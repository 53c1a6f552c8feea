package galenafleet

import (
	"cmp"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
	"github.com/galenahead/galenahead/galenalog"
)

const (
	// idleBeforePowerOff is how long an instance must have been idle to be switched
	// off.
	idleBeforePowerOff = 700 * time.Millisecond
	// peakRiseTime is how long a peak rises: half of a peak of 8 s. So long no machine
	// is switched off, since one that was takes two moves of 1.5 s to arrive, and
	// the rate of arrivals sends machines ahead of the work. Later only work that
	// waits does: the rate of few large jobs swings by half.
	peakRiseTime = 4 * time.Second
	// rateGrowth is by how much the arrivals of a peak that rises steadily grow
	// while a machine is on its way to it for 1.7 s, if it is sent so long after the
	// peak's beginning.
	rateGrowth = 2
	// registrationTimeout is how long a moved machine counts for its new pool before
	// its instance has registered.
	registrationTimeout = 5 * time.Second
)

// transfer is a machine on its way to another pool.
type transfer struct {
	pool      galenahead.ServiceName
	instance  galenahead.InstanceID
	confirmed bool
	since     time.Time
}

// poolStatus is the use of one pool.
type poolStatus struct {
	service galenahead.ServiceName
	usage   galenajob.Usage
	// shortfall is how many machines the pool lacks, and sent how many were sent
	// there since.
	shortfall, sent int
	// expected is how many a forecast peak wants.
	expected int
}

// balancePools moves idle machines to the pools that lack some, and switches off
// those that none needs.
func (m *machineController) balancePools() {
	cfg := m.State.Config()
	if cfg == nil {
		return
	}
	now, wall := m.Timers.Now(), time.Now().Round(0)
	m.updateTransfers(now)
	pools, spare := m.poolStatuses(cfg)
	if spare == "" {
		return
	}
	byInstance := map[galenahead.InstanceID]Machine{}
	var spareMachines []Machine
	for _, v := range m.machines {
		if m.reserved(v.Name) || v.State != MachineUp || !m.mayOrder(v.Name) || !m.retryDue(v.Name) {
			continue
		}
		if v.Pool == spare {
			spareMachines = append(spareMachines, v)
		} else if v.Instance != "" {
			byInstance[v.Instance] = v
		}
	}
	slices.SortFunc(spareMachines, func(a, b Machine) int { return cmp.Compare(a.Name, b.Name) })
	fillPool := func(to *poolStatus, n int) {
		for ; n > 0; n-- {
			v, ok := m.findIdleMachine(pools, to, byInstance)
			if !ok && len(spareMachines) > 0 {
				v, spareMachines, ok = spareMachines[0], spareMachines[1:], true
			}
			if !ok {
				return
			}
			m.startTransfer(v, to.service, now)
			to.sent++
		}
	}
	for i := range pools {
		fillPool(&pools[i], pools[i].shortfall)
	}
	// What waits already comes before what is only expected.
	for i := range pools {
		p := &pools[i]
		fillPool(p, p.expected-p.usage.Instances-m.arriving(p.service))
	}
	if last, ok := m.forecaster.lastPeakStart(); !ok || wall.Sub(last) < peakRiseTime {
		// Nothing is known of the demand yet, or of how high it will rise.
		return
	}
	for i := range pools {
		for k, idle := range pools[i].usage.Idle {
			v, ok := byInstance[idle.ID]
			if len(pools[i].usage.Idle)-k <= pools[i].idleToKeep() {
				break
			}
			if ok && now.Sub(idle.Since) > idleBeforePowerOff && !m.reserved(v.Name) {
				m.startTransfer(v, spare, now)
			}
		}
	}
}

// poolStatuses returns the use of every pool, the one with the greatest shortage first,
// and the spare pool.
func (m *machineController) poolStatuses(cfg *Config) (pools []poolStatus, spare galenahead.ServiceName) {
	for _, svc := range cfg.Services {
		if svc.Spare {
			spare = svc.Name
			continue
		}
		p := poolStatus{service: svc.Name}
		m.shardFor(svc.Name).withScheduler(func(at time.Time, s *galenajob.Scheduler) { p.usage = s.Usage(at) })
		m.estimateDemand(&p)
		pools = append(pools, p)
		m.logPool(p)
	}
	slices.SortFunc(pools, func(a, b poolStatus) int { return cmp.Compare(m.relativeShortfall(&b), m.relativeShortfall(&a)) })
	return pools, spare
}

// relativeShortfall is what a pool lacks for each machine that it has or gets. A pool
// without any, whose long-running work waits, comes before the last machines of
// a peak.
func (m *machineController) relativeShortfall(p *poolStatus) float64 {
	return float64(p.shortfall) / float64(p.usage.Instances+m.arriving(p.service)+1)
}

// logPool logs the use of a pool when what follows from it changes.
func (m *machineController) logPool(p poolStatus) {
	values := [4]int{p.usage.Instances, p.shortfall, p.expected, m.arriving(p.service)}
	if m.loggedPools[p.service] == values {
		return
	}
	m.loggedPools[p.service] = values
	galenalog.Info(m.Logger, "pool", poolLine{p, m.arriving(p.service)})
}

// estimateDemand sets how many machines a pool lacks for what waits and for the peak
// that is expected.
func (m *machineController) estimateDemand(p *poolStatus) {
	wall := time.Now().Round(0)
	size := m.machineSize()
	rate := machinesFor(galenajob.Resources{MilliCPU: p.usage.Rate}, size)
	load := max(machinesFor(p.usage.Batch, size), rate)
	if o := m.forecaster.observe(p.service, load, p.usage.Busy, wall); o != nil {
		onset := *o
		m.spawn(func() error {
			// Lost with the office, it only costs the next owner a forecast.
			_, _ = m.committer.commit(Op{Peak: &onset})
			return nil
		})
	}
	waitingShortfall := int(math.Ceil(machinesFor(p.usage.Demand, size))) - p.usableIdle()
	arrivalShortfall := 0
	if !m.forecaster.pastRise(p.service, wall) {
		arrivalShortfall = int(math.Ceil(rateGrowth*rate)) - p.usage.Instances
	}
	p.shortfall = max(0, waitingShortfall, arrivalShortfall) - m.arriving(p.service)
	p.expected = m.forecaster.expectedMachines(p.service, wall)
}

// usableIdle counts the idle machines that work may start on. What waits beside them
// waits for something else: its turn to leave an instance, say.
func (p *poolStatus) usableIdle() int {
	n := 0
	for _, idle := range p.usage.Idle {
		if idle.Usable {
			n++
		}
	}
	return n
}

// idleToKeep is how many of the idle machines wait for a forecast peak.
func (p *poolStatus) idleToKeep() int {
	return max(0, p.expected-(p.usage.Instances-len(p.usage.Idle)))
}

// machineSize returns the capacity of a usual machine.
func (m *machineController) machineSize() galenajob.Resources {
	var sum galenajob.Resources
	n := int64(0)
	for _, v := range m.machines {
		sum = sum.Add(v.Capacity)
		n++
	}
	if n == 0 {
		return sum
	}
	return galenajob.Resources{MilliCPU: sum.MilliCPU / n, MemoryMB: sum.MemoryMB / n, GPU: sum.GPU / n}
}

// findIdleMachine returns a machine that idles in another pool.
func (m *machineController) findIdleMachine(pools []poolStatus, to *poolStatus, byInstance map[galenahead.InstanceID]Machine) (Machine, bool) {
	for i := range pools {
		from := &pools[i]
		if from.service == to.service || from.shortfall > 0 {
			continue
		}
		for k, idle := range from.usage.Idle {
			if to.shortfall <= to.sent && len(from.usage.Idle)-k <= from.idleToKeep() {
				break
			}
			if v, ok := byInstance[idle.ID]; ok && !m.reserved(v.Name) {
				return v, true
			}
		}
	}
	return Machine{}, false
}

// reserved tells whether a machine is on its way or due for upkeep now.
func (m *machineController) reserved(name galenahead.VMName) bool {
	_, leaving := m.evacuating[name]
	return m.transfers[name] != nil || leaving || m.inFlight[name]
}

// arriving counts the machines on their way to a pool.
func (m *machineController) arriving(pool galenahead.ServiceName) int {
	n := 0
	for _, t := range m.transfers {
		if t.pool == pool {
			n++
		}
	}
	return n
}

// startTransfer orders the move of an idle machine.
func (m *machineController) startTransfer(v Machine, pool galenahead.ServiceName, now time.Time) {
	t := &transfer{pool: pool, instance: v.Instance, since: now}
	if v.Instance != "" && !m.cordonIfIdle(v.Instance) {
		return
	}
	m.transfers[v.Name] = t
	m.sendMoveOrder(v.Name, t)
}

// cordonIfIdle closes an instance to new work, if it is idle.
func (m *machineController) cordonIfIdle(id galenahead.InstanceID) bool {
	in, known := m.State.instance(id)
	if !known {
		return true
	}
	idle := false
	m.shardFor(in.Service).withScheduler(func(now time.Time, s *galenajob.Scheduler) {
		if _, idle = s.Idle(id); idle {
			s.Leave(now, id, true)
		}
	})
	return idle
}

// uncordon lets an instance take work again.
func (m *machineController) uncordon(id galenahead.InstanceID) {
	if in, known := m.State.instance(id); known {
		m.shardFor(in.Service).withScheduler(func(now time.Time, s *galenajob.Scheduler) { s.Leave(now, id, false) })
	}
}

// sendMoveOrder sends the order to move a machine.
func (m *machineController) sendMoveOrder(name galenahead.VMName, t *transfer) {
	if m.inFlight[name] || !m.retryDue(name) || !m.isLeader() {
		return
	}
	m.inFlight[name] = true
	pool, record := t.pool, m.orderRecord(name, t.instance)
	m.spawn(func() error {
		if _, err := m.committer.commit(record); err != nil {
			return nil
		}
		m.deliverResult(orderResult{name: name, err: m.Machines.Move(m.ctx, name, pool, string(m.Name), m.epoch)})
		return nil
	})
}

// handleMoveResult takes over the answer to a move.
func (m *machineController) handleMoveResult(a orderResult) {
	t := m.transfers[a.name]
	if t == nil {
		return
	}
	log := m.Logger.WithField("machine", a.name).WithField("to_pool", t.pool).WithField("epoch", m.epoch)
	switch {
	case a.err == nil:
		log.Info("machine moves")
		m.ownerSession.Metrics.Moves.Add(1)
		t.confirmed, t.since = true, m.Timers.Now()
		m.removeInstance(t.instance)
		m.markUnavailable(a.name, MachineMoving)
	case errors.Is(a.err, ErrBusy), errors.Is(a.err, ErrRejected):
		log.WithError(a.err).Info("machine does not move")
		delete(m.transfers, a.name)
		m.uncordon(t.instance)
	default:
		// The order may be carried out late; it is repeated until that is known.
		log.WithError(a.err).Info("move not confirmed")
	}
}

// removeInstance forgets an instance whose machine has been taken.
func (m *machineController) removeInstance(id galenahead.InstanceID) {
	in, known := m.State.instance(id)
	if !known {
		return
	}
	if _, err := m.committer.commit(Op{Remove: &id}); err == nil {
		m.shardFor(in.Service).removeInstance(id)
	}
}

// updateTransfers ends the transfers of machines that have arrived, and repeats orders
// without an answer.
func (m *machineController) updateTransfers(now time.Time) {
	for name, t := range m.transfers {
		switch {
		case !t.confirmed:
			m.sendMoveOrder(name, t)
		case now.Sub(t.since) > registrationTimeout:
			delete(m.transfers, name)
		default:
			v, ok := m.machines[name]
			if !ok || v.State != MachineUp || v.Pool != t.pool {
				continue
			}
			_, registered := m.State.instance(v.Instance)
			if registered || v.Instance == "" {
				delete(m.transfers, name)
			}
		}
	}
}
