package galenafleet

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
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

// setMachines takes over a list of machines.
func (m *machineController) setMachines(ms []Machine) {
	before, namelessBefore := m.machines, m.nameless
	m.machines, m.nameless = make(map[galenahead.VMName]Machine, len(ms)), 0
	listed := make(map[galenahead.VMName]bool, len(ms))
	for _, v := range ms {
		switch {
		case v.Name == "":
			m.nameless++
			continue
		case v.State != MachineUnreadable:
			m.machines[v.Name] = v
		}
		listed[v.Name] = true
	}
	maps.DeleteFunc(m.absent, func(name galenahead.VMName, _ absence) bool { return listed[name] })
	for name := range before {
		if _, known := m.absent[name]; !known && !listed[name] {
			m.absent[name] = absence{m.Timers.Now(), namelessBefore}
		}
	}
}

// absence is the time for which the list has lacked a machine.
type absence struct {
	since time.Time
	// nameless is the number of entries without a readable name in the last list with the
	// machine. If there are more, one of them may be its entry.
	nameless int
}

// hasLeft reports whether a machine has been missing from the list for so long that
// it counts as having left the fleet.
func (m *machineController) hasLeft(name galenahead.VMName) bool {
	_, ok := m.machines[name]
	return !ok && m.missingTooLong(name)
}

// missingTooLong reports whether the list has lacked a machine for missingTimeout, also
// among the entries that can't be read. A machine that was never listed counts from now, and
// any entry without a readable name may be its.
func (m *machineController) missingTooLong(name galenahead.VMName) bool {
	now := m.Timers.Now()
	a, ok := m.absent[name]
	if !ok {
		a.since = now
	}
	if m.nameless > a.nameless {
		a.since = now
	}
	m.absent[name] = a
	return now.Sub(a.since) > missingTimeout
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

// advanceWaves advances the waves that are not completed.
func (m *machineController) advanceWaves() {
	waves := m.State.OpenWaves()
	m.maintainedBy = map[galenahead.VMName]int64{}
	for _, w := range waves {
		for name, step := range w.Steps {
			if _, ok := m.maintainedBy[name]; !ok && step != StepDone {
				m.maintainedBy[name] = w.ID
			}
		}
	}
	for _, w := range waves {
		m.advanceWave(w)
	}
}

// advanceWave starts evacuations and maintenance of the machines of a wave, as far
// as its limits allow, and records what has finished.
func (m *machineController) advanceWave(w *Wave) {
	var changes []change
	down := 0
	for _, name := range w.Machines {
		step, state := w.Steps[name], m.machines[name].State
		switch {
		case step == StepDone:
		case m.hasLeft(name), step == StepStarted && state == MachineUp:
			m.cancelEvacuation(name)
			changes = append(changes, m.stepChange(w, name, StepDone))
		case step == StepOrdered && state == MachineMaintenance && m.maintainedBy[name] == w.ID && !m.inFlight[name]:
			// The order was carried out, although there was no response.
			down++
			changes = append(changes, m.stepChange(w, name, StepStarted))
			changes = append(changes, m.finishEvacuation(name)...)
		case step != "":
			down++
		}
	}
	if !m.record(changes...) {
		return
	}
	changes = nil
	for _, name := range w.Machines {
		if w.Steps[name] == StepOrdered {
			changes = append(changes, m.sendMaintenanceOrder(w.ID, name)...)
		}
	}
	allowed := m.maintenanceLimit(w, down)
	evacuations := 0
	for _, v := range m.maintenanceCandidates(w) {
		m.avoidLongRunningWork(v)
		if evacuations >= allowed+evacuationsAhead {
			m.endTurn(v.Name)
			continue
		}
		evacuations++
		if !m.evacuate(v) || down >= allowed || !m.mayOrder(v.Name) {
			continue
		}
		down++
		m.maintainedBy[v.Name] = w.ID
		c := m.stepChange(w, v.Name, StepOrdered)
		set := c.then
		c.then = func() { set(); _ = m.sendMaintenanceOrder(w.ID, v.Name) }
		changes = append(changes, c)
	}
	m.record(changes...)
}

const (
	// maintenanceTime is about how long a machine is down for maintenance, including
	// the delay until its return is seen.
	maintenanceTime = 3500 * time.Millisecond
	// waveMargin is how long before its deadline a wave should be completed.
	waveMargin = 7 * time.Second
)

// maintenanceLimit returns how many machines of a wave should be down at the same
// time. It is the smallest number with which the wave ends in time, since machines
// that are down are missing for work.
func (m *machineController) maintenanceLimit(w *Wave, down int) int {
	timeLeft := time.Until(w.Accepted.Add(w.Duration)) - waveMargin
	if timeLeft <= maintenanceTime {
		return w.MaxDown
	}
	remaining := down
	for _, name := range w.Machines {
		if w.Steps[name] == "" {
			remaining++
		}
	}
	rounds := int(timeLeft / maintenanceTime)
	return min(w.MaxDown, (remaining+rounds-1)/rounds)
}

// evacuationTurn tells since when a machine is evacuated for maintenance, and how often it
// has let others go first because it did not become empty.
type evacuationTurn struct {
	since time.Time
	ended int
}

// turnOf returns how often a machine has had its turn to become empty in vain, with the
// present one if that is over.
func (m *machineController) turnOf(name galenahead.VMName) int {
	turn := m.evacuationTurns[name]
	if _, ok := m.evacuating[name]; ok && m.Timers.Now().Sub(turn.since) > evacuationTime {
		return turn.ended + 1
	}
	return turn.ended
}

// endTurn lets the instance of a machine take work again if its turn to become empty is over,
// and others wait for theirs.
func (m *machineController) endTurn(name galenahead.VMName) {
	if n := m.turnOf(name); n > m.evacuationTurns[name].ended {
		m.Logger.WithField("machine", name).WithField("turns", n).Info("machine did not become empty for its maintenance; others go first")
		m.evacuationTurns[name] = evacuationTurn{ended: n}
		m.cancelEvacuation(name)
	}
}

// maintenanceCandidates returns the machines of a wave whose maintenance may start:
// first those that had the fewest turns in vain, of these the ones that are already being
// evacuated, then the least used ones.
func (m *machineController) maintenanceCandidates(w *Wave) []Machine {
	var out []Machine
	rank := map[galenahead.VMName]int64{}
	for _, name := range w.Machines {
		v := m.machines[name]
		if _, ordered := m.maintainedBy[name]; ordered || w.Steps[name] != "" || v.State != MachineUp || m.pendingMoves[name] != nil {
			continue
		}
		rank[name] = m.evacuationRank(v)
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b Machine) int {
		return cmp.Or(cmp.Compare(m.turnOf(a.Name), m.turnOf(b.Name)), cmp.Compare(rank[a.Name], rank[b.Name]), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// evacuationRank returns the rank of a machine among the candidates: its CPU use, or
// -1 if it is already being evacuated.
func (m *machineController) evacuationRank(v Machine) int64 {
	if _, ok := m.evacuating[v.Name]; ok {
		return -1
	}
	in, ok := m.State.instance(v.Instance)
	if !ok {
		return 0
	}
	var used int64
	m.shardFor(in.Service).inspect(func(_ time.Time, s *galenajob.Scheduler) { used = s.UsedOn(in.ID).MilliCPU })
	return used
}

// avoidLongRunningWork keeps long-running work off a machine that has maintenance
// ahead, as far as other instances can take it.
func (m *machineController) avoidLongRunningWork(v Machine) {
	if in, ok := m.State.instance(v.Instance); ok {
		m.shardFor(in.Service).inspect(func(_ time.Time, s *galenajob.Scheduler) { s.SetMaintenanceDue(in.ID) })
	}
}

// evacuate moves the work off a machine and reports whether the machine is empty.
func (m *machineController) evacuate(v Machine) bool {
	in := m.instanceOn(v)
	if m.evacuating[v.Name] != in {
		m.cancelEvacuation(v.Name)
	}
	if in.id == "" {
		return true
	}
	delete(m.vacating, v.Name)
	if m.evacuating[v.Name] != in {
		m.evacuationTurns[v.Name] = evacuationTurn{m.Timers.Now(), m.evacuationTurns[v.Name].ended}
	}
	m.evacuating[v.Name] = in
	return m.cordon(in)
}

// instanceOn returns the listed instance of a machine, which may not have registered
// yet, or the zero value if there is none.
func (m *machineController) instanceOn(v Machine) cordonedInstance {
	if in, ok := m.State.instance(v.Instance); ok {
		return cordonedInstance{in.ID, in.Service}
	}
	if v.Instance == "" {
		return cordonedInstance{}
	}
	return cordonedInstance{v.Instance, v.Pool}
}

// sendMaintenanceOrder orders the maintenance of a machine, unless work runs there. It
// is called again until the result is known; the platform carries out a repeated order
// only once. Before each attempt the machine must be empty, since it may have crashed
// and come back with another instance after an earlier attempt, or after the previous
// owner recorded the order. That instance gets no work either, also while an attempt is
// under way. The changes to record are returned, if no order is sent.
func (m *machineController) sendMaintenanceOrder(wave int64, name galenahead.VMName) (changes []change) {
	v := m.machines[name]
	if v.State != MachineUp {
		return nil
	}
	before := m.evacuating[name]
	idle := m.evacuate(v)
	in := m.evacuating[name]
	if before.id != "" && in.id != "" && in.id != before.id {
		changes = append(changes, m.laterInstanceChange(name, in.id, ""))
	}
	if !idle || m.inFlight[name] || !m.retryDue(name) || !m.isLeader() || !m.mayOrder(name) {
		return changes
	}
	m.inFlight[name] = true
	token := m.fencingToken(name, orderPurpose{wave: wave})
	record := m.orderRecord(name, in.id, "")
	m.spawn(func() error {
		r := orderResult{name: name, wave: wave, instance: in}
		m.sendRecorded(r, record, func() error { return m.Machines.Maintain(m.ctx, name, wave, string(m.Name), token) })
		return nil
	})
	return nil // the record of the order names the instance
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

// cancelEvacuation lets the instance of an evacuated machine take work again.
func (m *machineController) cancelEvacuation(name galenahead.VMName) {
	if in, ok := m.evacuating[name]; ok {
		delete(m.evacuating, name)
		m.uncordon(in)
	}
}

// finishEvacuation ends the evacuation of a machine that is down and returns the removal
// of its instance.
func (m *machineController) finishEvacuation(name galenahead.VMName) []change {
	in, ok := m.evacuating[name]
	if !ok {
		return nil
	}
	delete(m.evacuating, name)
	delete(m.evacuationTurns, name)
	return m.removalChange(in)
}

// stepChange returns the change of a machine's maintenance state.
func (m *machineController) stepChange(w *Wave, name galenahead.VMName, state StepState) change {
	return change{Op{WaveStep: &WaveStepOp{w.ID, name, state}}, func() { w.Steps[name] = state }}
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
