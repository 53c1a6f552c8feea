package galenafleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
)

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
