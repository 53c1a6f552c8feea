package galenafleet

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
)

const (
	// controlInterval is how often waves and pools advance.
	controlInterval = 100 * time.Millisecond
	// listInterval is the shortest time between two readings of the machines,
	// each of which is paid for.
	listInterval = 500 * time.Millisecond
	// evacuationsAhead is how many machines are emptied while others are down.
	evacuationsAhead = 2
	// maxQueuedResults bounds the answers of the machines' service that wait.
	maxQueuedResults = 256
	// missingTimeout is how long a machine must be missing from the list to count as
	// having left the fleet.
	missingTimeout = 5 * time.Second
	// orderRetryPause follows an order that was not confirmed: what kept it from being
	// carried out is seen at the next reading of the list, at the earliest.
	orderRetryPause = listInterval
	// orderSendMargin is how much later than its record an order may be sent.
	orderSendMargin = 200 * time.Millisecond
)

// machineController carries out the waves of an office and moves machines between
// pools.
type machineController struct {
	*ownerSession
	machines map[galenahead.VMName]Machine
	listedAt time.Time
	// lastListed holds when each machine was last in the list.
	lastListed map[galenahead.VMName]time.Time
	// evacuating holds the instances that are emptied for an upkeep.
	evacuating map[galenahead.VMName]galenahead.InstanceID
	// transfers holds the machines on their way to another pool.
	transfers map[galenahead.VMName]*transfer
	// inFlight holds the machines to which an order is on its way.
	inFlight map[galenahead.VMName]bool
	// retryAt holds when an order that was not confirmed may be repeated.
	retryAt    map[galenahead.VMName]time.Time
	results    chan orderResult
	forecaster *forecaster
	// loggedPools is what the last log line of each pool said.
	loggedPools map[galenahead.ServiceName][4]int
}

// orderResult is the answer to an order to a machine; wave is zero for a
// move.
type orderResult struct {
	name galenahead.VMName
	wave int64
	err  error
}

func newMachineController(sess *ownerSession) *machineController {
	return &machineController{
		ownerSession: sess,
		lastListed:   map[galenahead.VMName]time.Time{},
		evacuating:   map[galenahead.VMName]galenahead.InstanceID{},
		transfers:    map[galenahead.VMName]*transfer{},
		inFlight:     map[galenahead.VMName]bool{},
		retryAt:      map[galenahead.VMName]time.Time{},
		loggedPools:  map[galenahead.ServiceName][4]int{},
		results:      make(chan orderResult, maxQueuedResults),
		forecaster:   newForecaster(sess.State.recentPeaks()),
	}
}

// loop advances waves and pools until the office ends.
func (m *machineController) loop() error {
	ticks := m.Timers.Subscribe(m.ctx, "machines", controlInterval)
	for {
		select {
		case <-m.ctx.Done():
			return nil
		case a := <-m.results:
			m.handleResult(a)
			continue
		case <-ticks:
		}
		if !m.refreshMachines() {
			continue
		}
		for _, w := range m.State.OpenWaves() {
			m.advanceWave(w)
		}
		m.balancePools()
	}
}

// refreshMachines reads the machines, unless that was done just now.
func (m *machineController) refreshMachines() bool {
	now := m.Timers.Now()
	if m.machines != nil && now.Sub(m.listedAt) < listInterval {
		return true
	}
	ms, err := m.Machines.List(m.ctx)
	if err != nil {
		m.Logger.WithError(err).Info("machines could not be listed")
		return false
	}
	m.machines = make(map[galenahead.VMName]Machine, len(ms))
	for _, v := range ms {
		m.machines[v.Name] = v
		m.lastListed[v.Name] = now
	}
	m.listedAt = now
	m.removeTakenInstances()
	m.publishMachines()
	return true
}

// hasLeft tells whether a machine is missing from the list for so long that it has
// left the fleet.
func (m *machineController) hasLeft(name galenahead.VMName) bool {
	_, ok := m.machines[name]
	return !ok && m.missingTooLong(name)
}

// missingTooLong tells whether a machine that is missing from the list has left the fleet.
func (m *machineController) missingTooLong(name galenahead.VMName) bool {
	now := m.Timers.Now()
	if _, ok := m.lastListed[name]; !ok {
		m.lastListed[name] = now
	}
	return now.Sub(m.lastListed[name]) > missingTimeout
}

// markUnavailable notes that a machine is not up any more, until the list is read again.
func (m *machineController) markUnavailable(name galenahead.VMName, state MachineState) {
	v, ok := m.machines[name]
	if ok {
		v.State, v.Instance = state, ""
		m.machines[name] = v
	}
	m.listedAt = time.Time{}
}

// mayOrder tells whether an order to a machine now would not alternate with
// those of an earlier owner.
func (m *machineController) mayOrder(name galenahead.VMName) bool {
	epoch, seenAt, ok := m.State.lastOrder(name)
	return !ok || epoch == m.epoch || m.Timers.Now().Sub(seenAt) > m.MachineLease+orderSendMargin
}

// orderRecord returns the record of an order to a machine, which ends the life of the
// instance there, if there is one.
func (m *machineController) orderRecord(name galenahead.VMName, id galenahead.InstanceID) Op {
	in, _ := m.State.instance(id)
	return Op{Order: &MachineOrder{Machine: name, Epoch: m.epoch, At: time.Now().Round(0), Instance: in.ID, Born: in.Born}}
}

// removeTakenInstances forgets the instances whose machines an earlier owner has taken without
// recording it any more. Until then the work that an earlier owner accepted would
// wait for their leases to lapse.
func (m *machineController) removeTakenInstances() {
	if m.Timers.Now().Sub(m.startedAt) > 2*m.Params.Lease {
		// Nothing waits for them any more.
		return
	}
	for _, o := range m.State.machineOrders() {
		machine, listed := m.machines[o.Machine]
		in, known := m.State.instance(o.Instance)
		if o.Epoch == m.epoch || !listed || !known || in.Born != o.Born {
			continue
		}
		taken := machine.State == MachineMoving || machine.State == MachineMaintenance
		if taken || (machine.Instance != "" && machine.Instance != o.Instance) {
			m.removeInstance(o.Instance)
		}
	}
}

// advanceWave takes the next steps of a wave.
func (m *machineController) advanceWave(w *Wave) {
	down := 0
	for _, name := range w.Machines {
		switch w.Steps[name] {
		case StepOrdered:
			if m.hasLeft(name) {
				m.recordStep(w, name, StepDone)
				m.cancelEvacuation(name)
				continue
			}
			down++
			m.sendMaintenanceOrder(w.ID, name)
		case StepStarted:
			if !m.finishMaintenance(w, name) {
				down++
			}
		}
	}
	allowed := m.maintenanceLimit(w, down)
	evacuations := 0
	for _, v := range m.maintenanceCandidates(w) {
		m.avoidLongRunningWork(v)
		if evacuations >= allowed+evacuationsAhead {
			continue
		}
		evacuations++
		if !m.evacuate(v) || down >= allowed || !m.mayOrder(v.Name) {
			continue
		}
		if m.recordStep(w, v.Name, StepOrdered) {
			down++
			m.sendMaintenanceOrder(w.ID, v.Name)
		}
	}
}

const (
	// maintenanceTime is about how long a machine is away for an upkeep, with the time
	// until its end is seen.
	maintenanceTime = 3500 * time.Millisecond
	// waveMargin is how long before its end a wave should be done.
	waveMargin = 7 * time.Second
)

// maintenanceLimit returns how many machines of a wave should be down at once: so few that
// the wave just ends in time, since they are missed meanwhile.
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

// maintenanceCandidates returns the machines of a wave whose upkeep has not begun and may begin:
// first those that are being emptied already, then those that are missed least.
func (m *machineController) maintenanceCandidates(w *Wave) []Machine {
	var out []Machine
	rank := map[galenahead.VMName]int64{}
	for _, name := range w.Machines {
		if w.Steps[name] != "" {
			continue
		}
		if m.hasLeft(name) {
			m.recordStep(w, name, StepDone)
			continue
		}
		v, ok := m.machines[name]
		if !ok {
			continue
		}
		if v.State != MachineUp || m.transfers[name] != nil {
			continue
		}
		rank[name] = m.evacuationRank(v)
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b Machine) int {
		return cmp.Or(cmp.Compare(rank[a.Name], rank[b.Name]), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// evacuationRank ranks how much a machine would be missed; machines that are being
// emptied come first.
func (m *machineController) evacuationRank(v Machine) int64 {
	if _, ok := m.evacuating[v.Name]; ok {
		return -1
	}
	in, ok := m.State.instance(v.Instance)
	if !ok {
		return 0
	}
	var used int64
	m.shardFor(in.Service).withScheduler(func(_ time.Time, s *galenajob.Scheduler) { used = s.UsedOn(in.ID).MilliCPU })
	return used
}

// avoidLongRunningWork keeps lasting work off a machine that is due.
func (m *machineController) avoidLongRunningWork(v Machine) {
	if in, ok := m.State.instance(v.Instance); ok {
		m.shardFor(in.Service).withScheduler(func(_ time.Time, s *galenajob.Scheduler) { s.Due(in.ID) })
	}
}

// evacuate takes the work off a machine and tells whether nothing is left.
func (m *machineController) evacuate(v Machine) bool {
	if v.Instance == "" {
		return true
	}
	in, ok := m.State.instance(v.Instance)
	if !ok {
		return true
	}
	m.evacuating[v.Name] = v.Instance
	idle := false
	m.shardFor(in.Service).withScheduler(func(now time.Time, s *galenajob.Scheduler) {
		s.Leave(now, in.ID, true)
		_, idle = s.Idle(in.ID)
	})
	return idle
}

// sendMaintenanceOrder orders the upkeep of a machine and repeats an order that had no
// clear answer; the platform carries it out once.
func (m *machineController) sendMaintenanceOrder(wave int64, name galenahead.VMName) {
	if m.inFlight[name] || !m.retryDue(name) || !m.isLeader() || !m.mayOrder(name) {
		return
	}
	m.inFlight[name] = true
	record := m.orderRecord(name, m.evacuating[name])
	m.spawn(func() error {
		a := orderResult{name: name, wave: wave}
		if _, err := m.committer.commit(record); err != nil {
			return nil
		}
		a.err = m.Machines.Maintain(m.ctx, name, wave, string(m.Name), m.epoch)
		m.deliverResult(a)
		return nil
	})
}

// retryDue tells whether no order to the machine has failed just now.
func (m *machineController) retryDue(name galenahead.VMName) bool {
	return !m.Timers.Now().Before(m.retryAt[name])
}

// deliverResult hands an answer to the loop.
func (m *machineController) deliverResult(a orderResult) {
	select {
	case m.results <- a:
	case <-m.ctx.Done():
	}
}

// handleResult takes over the answer to an order.
func (m *machineController) handleResult(a orderResult) {
	delete(m.inFlight, a.name)
	if errors.Is(a.err, ErrFenced) {
		m.resign(a.err)
		return
	}
	delete(m.retryAt, a.name)
	if a.err != nil {
		m.retryAt[a.name] = m.Timers.Now().Add(orderRetryPause)
	}
	if a.wave == 0 {
		m.handleMoveResult(a)
		return
	}
	w := m.State.Wave(a.wave)
	log := m.Logger.WithField("wave", a.wave).WithField("machine", a.name).WithField("epoch", m.epoch).
		WithField("state", m.machines[a.name].State)
	switch {
	case w == nil:
	case a.err == nil:
		log.Info("upkeep begun")
		m.markUnavailable(a.name, MachineMaintenance)
		m.recordStep(w, a.name, StepStarted)
		if id, ok := m.evacuating[a.name]; ok {
			delete(m.evacuating, a.name)
			m.removeInstance(id)
		}
	case errors.Is(a.err, ErrRejected):
		log.WithError(a.err).Warn("upkeep rejected")
		m.recordStep(w, a.name, StepDone)
		m.cancelEvacuation(a.name)
	default:
		log.WithError(a.err).Info("upkeep not confirmed")
	}
}

// cancelEvacuation lets an instance take work again.
func (m *machineController) cancelEvacuation(name galenahead.VMName) {
	id, ok := m.evacuating[name]
	if !ok {
		return
	}
	delete(m.evacuating, name)
	m.uncordon(id)
}

// finishMaintenance tells whether a machine's upkeep is over, and records that.
func (m *machineController) finishMaintenance(w *Wave, name galenahead.VMName) bool {
	if v, ok := m.machines[name]; (!ok || v.State != MachineUp) && !m.hasLeft(name) {
		return false
	}
	return m.recordStep(w, name, StepDone)
}

// recordStep records how far a machine is.
func (m *machineController) recordStep(w *Wave, name galenahead.VMName, state StepState) bool {
	if _, err := m.committer.commit(Op{WaveStep: &WaveStepOp{w.ID, name, state}}); err != nil {
		return false
	}
	w.Steps[name] = state
	return true
}
