package galenafleet

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
)

const (
	// controlInterval is how often the controller advances waves and balances pools.
	controlInterval = 100 * time.Millisecond
	// listInterval is the shortest time between two requests for the list of
	// machines, each of which is billed.
	listInterval = 500 * time.Millisecond
	// evacuationsAhead is how many machines of a wave are evacuated in advance while
	// others are down.
	evacuationsAhead = 2
	// maxQueuedResults bounds the results of orders that wait for the control loop.
	maxQueuedResults = 256
	// evacuationTime is how long a machine may take to become empty for maintenance before
	// the next one of its wave gets its turn. Work that ends or may be stopped ends sooner.
	evacuationTime = 6 * time.Second
	// missingTimeout is how long a machine must be missing from the list before it
	// counts as having left the fleet.
	missingTimeout = 5 * time.Second
	// orderRetryPause is the pause before a failed order is sent again. The reason
	// for the failure shows at the earliest when the list is read again.
	orderRetryPause = listInterval
	// orderSendMargin is the longest time between the record of an order and the
	// order itself.
	orderSendMargin = 200 * time.Millisecond
	// ordersPerEpoch bounds the different orders of one owner to one machine, each of
	// which has a fencing token of its own.
	ordersPerEpoch = 1 << 20
	// lateOrderTime is how long after its record an order without a result may still be
	// carried out.
	lateOrderTime = 30 * time.Second
)

// machineController carries out maintenance waves and moves machines between pools
// during a session.
type machineController struct {
	*ownerSession
	machines map[galenahead.VMName]Machine
	listedAt time.Time
	// absent holds the machines that the list has lacked since they were last in it.
	absent map[galenahead.VMName]absence
	// nameless is the number of entries of the list whose machine can't be read.
	nameless int
	// evacuating holds the instances of the machines that are evacuated for
	// maintenance.
	evacuating map[galenahead.VMName]cordonedInstance
	// evacuationTurns holds the turns of machines that wait to be empty for maintenance.
	evacuationTurns map[galenahead.VMName]evacuationTurn
	// vacating holds the machines that become empty for other pools.
	vacating map[galenahead.VMName]vacating
	// maintainedBy holds the waves that have ordered the maintenance of a machine and not
	// recorded its end.
	maintainedBy map[galenahead.VMName]int64
	// pendingMoves holds the moves that have not ended, by machine.
	pendingMoves map[galenahead.VMName]*pendingMove
	// lastOrders holds the last order to each machine in this session.
	lastOrders map[galenahead.VMName]sentOrder
	// inFlight holds the machines with an order whose result is pending.
	inFlight map[galenahead.VMName]bool
	// retryAt holds when a machine may be sent an order again after a failed one.
	retryAt    map[galenahead.VMName]time.Time
	results    chan orderResult
	forecaster *forecaster
	// workWaitsSince is when the present wait of work in each pool began.
	workWaitsSince map[galenahead.ServiceName]time.Time
	// loggedPools holds the values of the last log line of each pool.
	loggedPools map[galenahead.ServiceName][6]int
}

// cordonedInstance identifies an instance that gets no work because of an order to
// its machine.
type cordonedInstance struct {
	id galenahead.InstanceID
	// service is the service whose scheduler keeps work off the instance.
	service galenahead.ServiceName
}

// orderPurpose is what an order does with a machine: a move to a pool, or the
// maintenance of a wave.
type orderPurpose struct {
	pool galenahead.ServiceName
	wave int64
}

// sentOrder is the last order to a machine with its fencing token.
type sentOrder struct {
	purpose orderPurpose
	token   uint64
}

// orderResult is the result of an order to a machine. wave is zero for a move. instance
// is the one that ran on the machine when the order was sent.
type orderResult struct {
	name     galenahead.VMName
	wave     int64
	instance cordonedInstance
	err      error
}

func newMachineController(sess *ownerSession) *machineController {
	return &machineController{
		ownerSession:    sess,
		absent:          map[galenahead.VMName]absence{},
		evacuating:      map[galenahead.VMName]cordonedInstance{},
		evacuationTurns: map[galenahead.VMName]evacuationTurn{},
		vacating:        map[galenahead.VMName]vacating{},
		pendingMoves:    map[galenahead.VMName]*pendingMove{},
		lastOrders:      map[galenahead.VMName]sentOrder{},
		inFlight:        map[galenahead.VMName]bool{},
		retryAt:         map[galenahead.VMName]time.Time{},
		workWaitsSince:  map[galenahead.ServiceName]time.Time{},
		loggedPools:     map[galenahead.ServiceName][6]int{},
		results:         make(chan orderResult, maxQueuedResults),
		forecaster:      newForecaster(sess.State.recentPeaks()),
	}
}

// loop advances waves and balances pools until the session ends.
func (m *machineController) loop() error {
	ticks := m.Timers.Subscribe(m.ctx, "machines", controlInterval)
	for {
		select {
		case <-m.ctx.Done():
			return nil
		case r := <-m.results:
			m.handleResults(r)
			continue
		case <-ticks:
		}
		start := time.Now()
		m.step()
		m.load.controlSteps.record(time.Since(start))
	}
}

// step advances waves and balances pools once.
func (m *machineController) step() {
	if !m.refreshMachines() {
		return
	}
	m.advanceWaves()
	m.balancePools()
}

// refreshMachines reads the list of machines if the last list is older than
// listInterval. It reports whether a current list is available.
func (m *machineController) refreshMachines() bool {
	now := m.Timers.Now()
	if m.machines != nil && now.Sub(m.listedAt) < listInterval {
		return true
	}
	ms, err := m.Machines.List(m.ctx)
	if err != nil {
		m.Logger.WithError(err).Info("listing the machines failed")
		return false
	}
	m.setMachines(ms)
	m.listedAt = now
	m.removeStoppedInstances()
	m.publishMachines()
	return true
}

// markUnavailable sets the state of a machine that is going down, without its
// instance, and makes the next control step read the list again.
func (m *machineController) markUnavailable(name galenahead.VMName, state MachineState) {
	v, ok := m.machines[name]
	if ok {
		v.State, v.Instance = state, ""
		m.machines[name] = v
	}
	m.listedAt = time.Time{}
}

// mayOrder reports whether an order can be sent to a machine now. Within the lease
// of an earlier owner's last order, the orders of the two owners could alternate.
func (m *machineController) mayOrder(name galenahead.VMName) bool {
	epoch, seenAt, ok := m.State.lastOrder(name)
	return !ok || epoch == m.epoch || m.Timers.Now().Sub(seenAt) > m.MachineLease+orderSendMargin
}

// fencingToken returns the fencing token of an order to a machine. All copies of an order
// carry the same token, and the next order a higher one: a copy that is carried out late,
// when the machine has carried out the next order, is rejected.
func (m *machineController) fencingToken(name galenahead.VMName, p orderPurpose) uint64 {
	last, ok := m.lastOrders[name]
	if ok && last.purpose == p {
		return last.token
	}
	token := max(m.epoch*ordersPerEpoch, last.token+1)
	m.lastOrders[name] = sentOrder{p, token}
	return token
}

// orderRecord returns the record of an order to a machine, which stops the instance
// there, if one runs. pool is where it moves the machine, unless the result is known.
func (m *machineController) orderRecord(name galenahead.VMName, id galenahead.InstanceID, pool galenahead.ServiceName) Op {
	in, _ := m.State.instance(id)
	return Op{Order: &MachineOrder{Machine: name, Epoch: m.epoch, At: time.Now().Round(0), Instance: in.ID, Born: in.Born, Pool: pool}}
}

// laterInstanceChange returns the record that a machine has come back with another
// instance while an order, to move it to pool or for its maintenance, may still be
// carried out.
func (m *machineController) laterInstanceChange(name galenahead.VMName, id galenahead.InstanceID, pool galenahead.ServiceName) change {
	op := m.orderRecord(name, id, pool)
	op.Order.Instance = id // also if it has not registered yet
	if _, sent := m.lastOrders[name]; !sent {
		// The order is that of an earlier owner, whose machine lease stays as it is.
		if o, ok := m.State.machineOrder(name); ok {
			op.Order.Epoch, op.Order.At = o.Epoch, o.At
		}
	}
	return change{op, func() {}}
}

// adoptOrders takes over the orders of earlier owners whose results are not known, since
// they may still be carried out. It returns the instances that must get no work because
// of them.
func (m *machineController) adoptOrders() []cordonedInstance {
	ordered := map[galenahead.VMName]bool{}
	for _, w := range m.State.OpenWaves() {
		for name, step := range w.Steps {
			ordered[name] = ordered[name] || step == StepOrdered
		}
	}
	var cordoned []cordonedInstance
	for _, o := range m.State.machineOrders() {
		var in cordonedInstance
		if known, ok := m.State.instance(o.Instance); ok {
			in = cordonedInstance{known.ID, known.Service}
		}
		switch {
		case o.Pool != "" && time.Since(o.At) <= lateOrderTime:
			m.pendingMoves[o.Machine] = &pendingMove{pool: o.Pool, instance: in, unanswered: true, changedAt: m.Timers.Now()}
		case ordered[o.Machine] && in.id != "":
			m.evacuating[o.Machine] = in
		default:
			continue
		}
		m.Logger.WithField("machine", o.Machine).WithField("instance", in.id).WithField("to_pool", o.Pool).
			WithField("order_epoch", o.Epoch).Info("took over a machine order without a result")
		if in.id != "" {
			cordoned = append(cordoned, in)
		}
	}
	return cordoned
}

// removeStoppedInstances removes the instances that an order of an earlier owner has
// stopped, if that owner's session ended before it recorded their removal. Otherwise
// work accepted by earlier owners would wait until the leases of those instances
// expire.
func (m *machineController) removeStoppedInstances() {
	if m.Timers.Now().Sub(m.startedAt) > 2*m.Params.Lease {
		// The leases have expired, so that no work waits for these instances.
		return
	}
	var changes []change
	for _, o := range m.State.machineOrders() {
		machine, listed := m.machines[o.Machine]
		in, known := m.State.instance(o.Instance)
		if o.Epoch == m.epoch || !listed || !known || in.Born != o.Born {
			continue
		}
		stopped := machine.State == MachineMoving || machine.State == MachineMaintenance
		if stopped || (machine.Instance != "" && machine.Instance != o.Instance) {
			changes = append(changes, m.removalChange(cordonedInstance{in.ID, in.Service})...)
		}
	}
	m.record(changes...)
}

// change is an operation of the controller, and what follows once it is recorded.
type change struct {
	op   Op
	then func()
}

// record records changes together, so that they wait for one log entry, and then
// carries out what follows. It reports whether that succeeded.
func (m *machineController) record(changes ...change) bool {
	if len(changes) == 0 {
		return true
	}
	ops := make([]Op, len(changes))
	for i, c := range changes {
		ops[i] = c.op
	}
	if _, err := m.committer.commit(ops...); err != nil {
		return false
	}
	for _, c := range changes {
		c.then()
	}
	return true
}

// sendRecorded sends an order once its record is durable, and delivers the result. The
// lease is checked again before that: another owner may have begun while the record was
// committed, or while this process was suspended.
func (m *machineController) sendRecorded(r orderResult, record Op, send func() error) {
	if _, err := m.committer.commit(record); err != nil {
		return // the session has ended
	}
	if m.isLeader() {
		r.err = send()
	} else {
		r.err = errOrderHeldBack
	}
	m.deliverResult(r)
}

// errOrderHeldBack reports an order that was not sent because the lease of the log is
// missing.
var errOrderHeldBack = eris.Wrap(ErrExhausted, "the lease of the log is missing")

// retryDue reports whether the pause after the last failed order to the machine is
// over, if there was one.
func (m *machineController) retryDue(name galenahead.VMName) bool {
	return !m.Timers.Now().Before(m.retryAt[name])
}

// deliverResult passes the result of an order to the control loop.
func (m *machineController) deliverResult(r orderResult) {
	select {
	case m.results <- r:
	case <-m.ctx.Done():
	}
}

// handleResults processes the result of an order and all others that are pending,
// and records what they change together.
func (m *machineController) handleResults(r orderResult) {
	changes := m.handleResult(r)
	for {
		select {
		case r := <-m.results:
			changes = append(changes, m.handleResult(r)...)
			continue
		default:
		}
		m.record(changes...)
		return
	}
}

// handleResult processes the result of an order and returns the changes to record.
func (m *machineController) handleResult(r orderResult) []change {
	delete(m.inFlight, r.name)
	if errors.Is(r.err, ErrFenced) {
		m.resign(r.err)
		return nil
	}
	delete(m.retryAt, r.name)
	if r.err != nil {
		m.retryAt[r.name] = m.Timers.Now().Add(orderRetryPause)
	}
	if r.wave == 0 {
		return m.handleMoveResult(r)
	}
	w := m.State.Wave(r.wave)
	log := m.Logger.WithField("wave", r.wave).WithField("machine", r.name).WithField("epoch", m.epoch).
		WithField("state", m.machines[r.name].State)
	switch {
	case w == nil:
	case r.err == nil:
		log.Info("maintenance started")
		m.markUnavailable(r.name, MachineMaintenance)
		changes := []change{m.stepChange(w, r.name, StepStarted)}
		if r.instance == m.evacuating[r.name] {
			return append(changes, m.finishEvacuation(r.name)...)
		}
		// The present instance may have started after the maintenance.
		m.cancelEvacuation(r.name)
		return append(changes, m.removalChange(r.instance)...)
	case errors.Is(r.err, ErrRejected):
		log.WithError(r.err).Warn("maintenance order rejected")
		m.cancelEvacuation(r.name)
		return []change{m.stepChange(w, r.name, StepDone)}
	default:
		log.WithError(r.err).Info("maintenance order not confirmed")
	}
	return nil
}

// removalChange returns the removal of an instance that an order to its machine has
// stopped. A later life of the instance may take work. The change is empty if the
// instance is unknown, or if a later life has registered for another service.
func (m *machineController) removalChange(in cordonedInstance) []change {
	if known, ok := m.State.instance(in.id); !ok || known.Service != in.service {
		m.uncordon(in)
		return nil
	}
	return []change{{Op{Remove: &in.id}, func() {
		m.shardFor(in.service).removeInstance(in.id)
		m.uncordon(in)
	}}}
}
