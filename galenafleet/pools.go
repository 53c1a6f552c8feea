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
	// idleBeforePowerOff is how long the instance of a machine must have been idle
	// before the machine is powered off.
	idleBeforePowerOff = 700 * time.Millisecond
	// peakRiseTime is how long demand rises in a peak: half of a peak of 8 s. During
	// that time no machine is powered off, since it would take two moves of 1.5 s to
	// bring it back, and the arrival rate counts as demand, so that machines move
	// ahead of the work. Afterwards only waiting work counts, since the arrival rate
	// of few large jobs varies by half.
	peakRiseTime = 4 * time.Second
	// rateGrowth is the factor by which the arrival rate of a steadily rising peak
	// grows during the 1.7 s that a machine takes to arrive, if the machine is sent
	// 1.7 s after the start of the peak.
	rateGrowth = 2
	// unusedShare is the share of a pool's machines that must have been idle for
	// idleBeforePowerOff, while work waits, for the pool to have more than the owner can
	// start work on.
	unusedShare = 0.25
	// registrationTimeout is how long a moved machine counts as part of its new pool
	// without a registered instance there.
	registrationTimeout = 5 * time.Second
)

// pendingMove is a move of a machine to another pool that has not ended.
type pendingMove struct {
	pool galenahead.ServiceName
	// instance is the instance that ran on the machine before the move.
	instance cordonedInstance
	// confirmed reports that the platform has accepted the move.
	confirmed bool
	// unanswered reports that an order had no answer, so that it may still be carried
	// out.
	unanswered bool
	// changedAt is when the move started or was confirmed.
	changedAt time.Time
}

// poolStatus is the usage of one pool and its demand for machines.
type poolStatus struct {
	service galenahead.ServiceName
	usage   galenajob.Usage
	// shortfall is how many more machines the pool needs now, and sent how many of
	// them this balancing step has sent there.
	shortfall, sent int
	// arrivalShortfall is how many more machines than it has the pool needs for the work that
	// arrives, or negative.
	arrivalShortfall int
	// expected is how many machines a forecast peak needs.
	expected int
	// has is how many machines the pool has or will get, and share how many it should have.
	has, share int
	// startLimited reports that machines stay idle although work waits, because the owner
	// cannot start it faster.
	startLimited bool
}

// balancePools moves idle machines to the pools that need more, and powers off
// those that no pool needs.
func (m *machineController) balancePools() {
	cfg := m.State.Config()
	if cfg == nil {
		return
	}
	now, wall := m.Timers.Now(), time.Now().Round(0)
	m.updateMoves(now)
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
	size := m.machineSize()
	m.setShares(pools, size, len(spareMachines))
	for i := range pools {
		m.setPoolLimits(&pools[i], size)
		m.logPool(pools[i])
	}
	vacated := m.takeVacated(pools, now)
	fillPool := func(to *poolStatus, n int) {
		for ; n > 0; n-- {
			var v Machine
			ok := len(vacated) > 0
			if ok {
				v, vacated = vacated[0], vacated[1:]
			} else {
				v, ok = m.findIdleMachine(pools, to, byInstance)
			}
			if !ok && len(spareMachines) > 0 {
				v, spareMachines, ok = spareMachines[0], spareMachines[1:], true
			}
			if !ok {
				return
			}
			m.startMove(v, to.service, now)
			to.sent++
		}
	}
	for p := neediest(pools); p != nil; p = neediest(pools) {
		sent := p.sent
		if fillPool(p, 1); p.sent == sent {
			break // there are no more machines
		}
	}
	m.vacate(pools, byInstance, now)
	// Waiting work of all pools comes before forecast peaks.
	for i := range pools {
		p := &pools[i]
		fillPool(p, p.expected-p.usage.Instances-m.arriving(p.service))
	}
	if peakStart, ok := m.forecaster.lastPeakStart(); !ok || wall.Sub(peakStart) < peakRiseTime {
		// Do not power off machines while no peak has been seen yet, or while the last
		// one is still rising.
		return
	}
	for i := range pools {
		for k, idle := range pools[i].usage.Idle {
			v, ok := byInstance[idle.ID]
			if len(pools[i].usage.Idle)-k <= pools[i].idleToKeep() {
				break
			}
			if ok && longIdle(idle, now) && !m.reserved(v.Name) {
				m.startMove(v, spare, now)
			}
		}
	}
}

// poolStatuses returns the status of every pool but the spare one, the pool with the
// highest relative shortfall first, and the name of the spare pool.
func (m *machineController) poolStatuses(cfg *Config) (pools []poolStatus, spare galenahead.ServiceName) {
	size := m.machineSize()
	for _, svc := range cfg.Services {
		if svc.Spare {
			spare = svc.Name
			continue
		}
		p := poolStatus{service: svc.Name}
		m.shardFor(svc.Name).inspect(func(at time.Time, s *galenajob.Scheduler) { p.usage = s.Usage(at) })
		m.estimateDemand(&p, size)
		pools = append(pools, p)
	}
	slices.SortFunc(pools, func(a, b poolStatus) int { return cmp.Compare(m.relativeShortfall(&b), m.relativeShortfall(&a)) })
	return pools, spare
}

// relativeShortfall returns the shortfall of a pool relative to the machines that it
// has or will get. A pool without machines whose long-running work waits thus comes
// before a pool that lacks only the last machines for a peak.
func (m *machineController) relativeShortfall(p *poolStatus) float64 {
	return float64(p.shortfall) / float64(p.usage.Instances+m.arriving(p.service)+1)
}

// logPool logs the status of a pool if the values that balancing depends on have
// changed since the last log line.
func (m *machineController) logPool(p poolStatus) {
	vacating := 0
	for _, x := range m.vacating {
		if x.instance.service == p.service {
			vacating++
		}
	}
	values := [6]int{p.usage.Instances, p.shortfall, p.expected, m.arriving(p.service), p.share, vacating}
	if m.loggedPools[p.service] == values {
		return
	}
	m.loggedPools[p.service] = values
	galenalog.Info(m.Logger, "pool", poolLine{p, m.arriving(p.service), vacating})
}

// estimateDemand sets how many machines of the given size a pool lacks for waiting work
// and arrivals, and how many a forecast peak needs.
func (m *machineController) estimateDemand(p *poolStatus, size galenajob.Resources) {
	wall := time.Now().Round(0)
	rate := machinesFor(galenajob.Resources{MilliCPU: p.usage.ArrivalMilliCPU}, size)
	load := max(machinesFor(p.usage.Batch, size), rate)
	if changed := m.forecaster.observe(p.service, load, p.usage.BatchInstances, wall); changed != nil {
		peak := *changed
		m.spawn(func() error {
			// An error ends the session. Without this record the next owner may only
			// miss a forecast.
			_, _ = m.committer.commit(Op{Peak: &peak})
			return nil
		})
	}
	waiting := p.usage.Demand
	if m.detectStartLimit(p); p.startLimited {
		waiting = waiting.Sub(p.usage.Startable)
	}
	waitingShortfall := int(math.Ceil(machinesFor(waiting, size))) - p.usableIdle()
	p.arrivalShortfall = -p.usage.Instances
	if !p.startLimited && !m.forecaster.pastRise(p.service, wall) {
		p.arrivalShortfall += int(math.Ceil(rateGrowth * rate))
	}
	p.shortfall = max(0, waitingShortfall, p.arrivalShortfall) - m.arriving(p.service)
	p.expected = m.forecaster.expectedMachines(p.service, wall)
}

// detectStartLimit sets whether the pool has more machines than the owner can start work
// on.
func (m *machineController) detectStartLimit(p *poolStatus) {
	if p.usage.Startable == (galenajob.Resources{}) {
		delete(m.workWaitsSince, p.service)
		return
	}
	now := m.Timers.Now()
	since, ok := m.workWaitsSince[p.service]
	if !ok {
		m.workWaitsSince[p.service] = now
		return
	}
	unused := 0
	for _, idle := range p.usage.Idle {
		if idle.Usable && longIdle(idle, now) {
			unused++
		}
	}
	limit := max(1, unusedShare*float64(p.usage.Instances))
	p.startLimited = now.Sub(since) > idleBeforePowerOff && float64(unused) >= limit
}

// usableIdle returns the number of idle machines on which work may start. Work that
// waits although there are some waits for another reason, for example until it may
// leave its instance.
func (p *poolStatus) usableIdle() int {
	n := 0
	for _, idle := range p.usage.Idle {
		if idle.Usable {
			n++
		}
	}
	return n
}

// longIdle reports whether the machine has been idle for so long that its pool does not
// need it.
func longIdle(idle galenajob.IdleInstance, now time.Time) bool {
	return now.Sub(idle.Since) > idleBeforePowerOff
}

// idleToKeep returns how many idle machines stay in the pool for a forecast peak.
func (p *poolStatus) idleToKeep() int {
	return max(0, p.expected-(p.usage.Instances-len(p.usage.Idle)))
}

// machineSize returns the mean capacity of the machines.
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

// findIdleMachine returns an idle machine of another pool that may move to the pool
// given by to.
func (m *machineController) findIdleMachine(pools []poolStatus, to *poolStatus, byInstance map[galenahead.InstanceID]Machine) (Machine, bool) {
	now := m.Timers.Now()
	for i := range pools {
		from := &pools[i]
		if from.service == to.service || from.shortfall > 0 {
			continue
		}
		for k, idle := range from.usage.Idle {
			if to.shortfall <= to.sent && len(from.usage.Idle)-k <= from.idleToKeep() {
				break
			}
			if from.startLimited && !longIdle(idle, now) {
				break // nor have the rest, on which the next work may start
			}
			if v, ok := byInstance[idle.ID]; ok && !m.reserved(v.Name) {
				return v, true
			}
		}
	}
	return Machine{}, false
}

// reserved reports whether a machine has a pending move, is being evacuated or has an
// order in flight.
func (m *machineController) reserved(name galenahead.VMName) bool {
	_, evacuating := m.evacuating[name]
	_, vacating := m.vacating[name]
	return m.pendingMoves[name] != nil || evacuating || vacating || m.inFlight[name]
}

// arriving returns the number of machines that move to a pool. A move that is not
// confirmed in time does not count, so that the pool gets another machine.
func (m *machineController) arriving(pool galenahead.ServiceName) int {
	n := 0
	for _, move := range m.pendingMoves {
		overdue := move.unanswered && m.Timers.Now().Sub(move.changedAt) > registrationTimeout
		if move.pool == pool && !overdue {
			n++
		}
	}
	return n
}

// startMove moves a machine to a pool, unless its instance is no longer idle.
func (m *machineController) startMove(v Machine, pool galenahead.ServiceName, now time.Time) {
	move := &pendingMove{pool: pool, instance: m.instanceOn(v), changedAt: now}
	if !m.cordonIfIdle(move.instance) {
		return
	}
	delete(m.vacating, v.Name)
	m.pendingMoves[v.Name] = move
	m.sendMoveOrder(v.Name, move)
}

// cordonIfIdle keeps new work off an instance if it is idle, and reports whether it
// is idle or there is none.
func (m *machineController) cordonIfIdle(in cordonedInstance) bool {
	if in.id == "" {
		return true
	}
	idle := false
	m.shardFor(in.service).withScheduler(func(now time.Time, s *galenajob.Scheduler) {
		if _, idle = s.IdleSince(in.id); idle {
			s.SetEvacuating(now, in.id, true)
		}
	})
	return idle
}

// cordon keeps new work off an instance, moves the work that it has elsewhere, and
// reports whether it is idle.
func (m *machineController) cordon(in cordonedInstance) bool {
	idle := false
	m.shardFor(in.service).withScheduler(func(now time.Time, s *galenajob.Scheduler) {
		s.SetEvacuating(now, in.id, true)
		_, idle = s.IdleSince(in.id)
	})
	return idle
}

// uncordon lets an instance take work again.
func (m *machineController) uncordon(in cordonedInstance) {
	if in.id != "" {
		m.shardFor(in.service).withScheduler(func(now time.Time, s *galenajob.Scheduler) { s.SetEvacuating(now, in.id, false) })
	}
}

// sendMoveOrder records and sends the order to move a machine, and reports whether it may
// be sent now.
func (m *machineController) sendMoveOrder(name galenahead.VMName, move *pendingMove) bool {
	if m.inFlight[name] || !m.retryDue(name) || !m.isLeader() || !m.mayOrder(name) {
		return false
	}
	m.inFlight[name] = true
	pool, record := move.pool, m.orderRecord(name, move.instance.id, move.pool)
	token := m.fencingToken(name, orderPurpose{pool: pool})
	r := orderResult{name: name, instance: move.instance}
	m.spawn(func() error {
		m.sendRecorded(r, record, func() error { return m.Machines.Move(m.ctx, name, pool, string(m.Name), token) })
		return nil
	})
	return true
}

// handleMoveResult processes the result of a move order and returns the changes to
// record.
func (m *machineController) handleMoveResult(r orderResult) []change {
	move := m.pendingMoves[r.name]
	if move == nil {
		return nil
	}
	log := m.Logger.WithField("machine", r.name).WithField("to_pool", move.pool).WithField("epoch", m.epoch)
	switch {
	case r.err == nil:
		log.Info("machine move started")
		m.ownerSession.Metrics.Moves.Add(1)
		move.confirmed, move.changedAt = true, m.Timers.Now()
		m.markUnavailable(r.name, MachineMoving)
		changes := append(m.removalChange(move.instance), m.decisionChange(r.name, move))
		if r.instance != move.instance {
			changes = append(changes, m.removalChange(r.instance)...)
		}
		return changes
	case errors.Is(r.err, ErrRejected), errors.Is(r.err, ErrBusy) && !move.unanswered:
		log.WithError(r.err).Info("machine move rejected")
		return []change{m.cancelMove(r.name)}
	default:
		// An order without an answer may still be carried out, also after a repeated one
		// was answered busy. It is sent again until the result is known.
		move.unanswered = move.unanswered || !errors.Is(r.err, ErrBusy) && !errors.Is(r.err, ErrExhausted)
		log.WithError(r.err).WithField("unanswered", move.unanswered).Info("machine move not confirmed")
	}
	return nil
}

// decisionChange returns the record that the result of a move is known.
func (m *machineController) decisionChange(name galenahead.VMName, move *pendingMove) change {
	return change{m.orderRecord(name, move.instance.id, ""), func() {}}
}

// cancelMove lets the instance of a machine that does not move take work again, and
// returns the change to record.
func (m *machineController) cancelMove(name galenahead.VMName) change {
	move := m.pendingMoves[name]
	delete(m.pendingMoves, name)
	m.uncordon(move.instance)
	return m.decisionChange(name, move)
}

// resendMove sends an unconfirmed move order again. If the machine is not up or has
// another instance now, it cancels the move, unless an order may still be carried out. It
// returns the changes to record.
func (m *machineController) resendMove(name galenahead.VMName, move *pendingMove) []change {
	v, listed := m.machines[name]
	arrived := v.State == MachineMoving || v.Pool == move.pool
	sameInstance := v.State == MachineUp && v.Instance == move.instance.id
	undecided := move.unanswered || m.inFlight[name]
	idle := true
	var changes []change
	if listed && undecided && !arrived && v.State == MachineUp {
		idle, changes = m.cordonLaterInstance(name, move, m.instanceOn(v))
	}
	sent := false
	switch {
	case m.inFlight[name] || !m.retryDue(name):
	case !listed, arrived, sameInstance && idle:
		sent = m.sendMoveOrder(name, move)
	case !move.unanswered:
		return []change{m.cancelMove(name)}
	case v.State == MachineUp && idle:
		sent = m.sendMoveOrder(name, move)
	}
	if sent {
		return nil // the record of the order names the instance
	}
	return changes
}

// cordonLaterInstance keeps new work off the present instance of a machine whose move
// may still be carried out. It reports whether that instance is idle, and returns the
// changes to record.
func (m *machineController) cordonLaterInstance(name galenahead.VMName, move *pendingMove, in cordonedInstance) (idle bool, changes []change) {
	if in.id == "" {
		return true, nil
	}
	if in != move.instance {
		m.uncordon(move.instance)
		move.instance = in
		changes = append(changes, m.laterInstanceChange(name, in.id, move.pool))
	}
	return m.cordon(in), changes
}

// updateMoves ends the pending moves of machines that have arrived or are overdue,
// and sends unconfirmed move orders again.
func (m *machineController) updateMoves(now time.Time) {
	var changes []change
	for name, move := range m.pendingMoves {
		switch {
		case !move.confirmed:
			changes = append(changes, m.resendMove(name, move)...)
		case now.Sub(move.changedAt) > registrationTimeout:
			delete(m.pendingMoves, name)
		default:
			v, ok := m.machines[name]
			if !ok || v.State != MachineUp || v.Pool != move.pool {
				continue
			}
			_, registered := m.State.instance(v.Instance)
			if registered || v.Instance == "" {
				delete(m.pendingMoves, name)
			}
		}
	}
	m.record(changes...)
}
