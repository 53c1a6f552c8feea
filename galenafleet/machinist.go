package galenafleet

import (
	"errors"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
)

const (
	// machineTick is how often waves advance.
	machineTick = 200 * time.Millisecond
	// listInterval is the shortest time between two readings of the machines,
	// each of which is paid for.
	listInterval = time.Second
	// evacuationsAhead is how many machines are emptied while others are down.
	evacuationsAhead = 2
)

// machinist carries out the waves of an office.
type machinist struct {
	*office
	machines map[galenahead.VMName]Machine
	listedAt time.Time
	leaving  map[galenahead.VMName]galenahead.InstanceID
	// ordered holds since when an upkeep is under way, by machine.
	began map[galenahead.VMName]time.Time
}

// loop advances the waves until the office ends.
func (m *machinist) loop() error {
	m.leaving = map[galenahead.VMName]galenahead.InstanceID{}
	m.began = map[galenahead.VMName]time.Time{}
	ticks := m.Timers.Subscribe(m.ctx, "machines", machineTick)
	for {
		select {
		case <-m.ctx.Done():
			return nil
		case <-ticks:
		}
		// An earlier owner's orders must not alternate with this one's.
		if m.Timers.Now().Sub(m.office.began) < m.MachineLease {
			continue
		}
		for _, w := range m.State.OpenWaves() {
			m.advance(w)
		}
	}
}

// list reads the machines, unless that was done just now.
func (m *machinist) list() bool {
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
	}
	m.listedAt = now
	return true
}

// advance takes the next steps of a wave.
func (m *machinist) advance(w *Wave) {
	if !m.list() {
		return
	}
	down := 0
	for _, name := range w.Machines {
		switch w.Steps[name] {
		case StepOrdered:
			down++
			m.order(w, name)
		case StepBegun:
			if !m.finished(w, name) {
				down++
			}
		}
	}
	ahead := 0
	for _, name := range w.Machines {
		if w.Steps[name] != "" {
			continue
		}
		v, ok := m.machines[name]
		if !ok {
			// The machine has left the fleet.
			m.step(w, name, StepDone)
			continue
		}
		if v.State != MachineUp || ahead >= w.MaxDown+evacuationsAhead {
			continue
		}
		ahead++
		if !m.emptied(v) || down >= w.MaxDown {
			continue
		}
		if m.step(w, name, StepOrdered) {
			down++
			m.order(w, name)
		}
	}
}

// emptied takes the work off a machine and tells whether nothing is left.
func (m *machinist) emptied(v Machine) bool {
	if v.Instance == "" {
		return true
	}
	in, ok := m.State.instance(v.Instance)
	if !ok {
		return true
	}
	m.leaving[v.Name] = v.Instance
	idle := false
	m.of(in.Service).with(func(now time.Time, s *galenajob.Scheduler) {
		s.Leave(now, in.ID, true)
		_, idle = s.Idle(in.ID)
	})
	return idle
}

// order orders the upkeep of a machine and repeats an order that had no clear
// answer; the platform carries it out once.
func (m *machinist) order(w *Wave, name galenahead.VMName) {
	if !m.leads() {
		return
	}
	err := m.Machines.Maintain(m.ctx, name, w.ID, string(m.Name), m.epoch)
	log := m.Logger.WithField("wave", w.ID).WithField("machine", name).WithField("epoch", m.epoch)
	switch {
	case err == nil:
		log.Info("upkeep begun")
		m.began[name] = m.Timers.Now()
		delete(m.machines, name)
		m.listedAt = time.Time{}
		m.step(w, name, StepBegun)
		m.forget(name)
	case errors.Is(err, ErrFenced):
		m.resign(err)
	case errors.Is(err, ErrRejected):
		log.WithError(err).Warn("upkeep rejected")
		m.step(w, name, StepDone)
		m.release(name)
	default:
		log.WithError(err).Info("upkeep not confirmed")
	}
}

// forget drops the instance whose machine went down.
func (m *machinist) forget(name galenahead.VMName) {
	id, ok := m.leaving[name]
	if !ok {
		return
	}
	delete(m.leaving, name)
	in, known := m.State.instance(id)
	if !known {
		return
	}
	if _, err := m.commits.commit(m.ctx, Op{Remove: &id}); err == nil {
		m.of(in.Service).remove(id)
	}
}

// release lets an instance take work again.
func (m *machinist) release(name galenahead.VMName) {
	id, ok := m.leaving[name]
	if !ok {
		return
	}
	delete(m.leaving, name)
	if in, known := m.State.instance(id); known {
		m.of(in.Service).with(func(now time.Time, s *galenajob.Scheduler) { s.Leave(now, id, false) })
	}
}

// finished tells whether a machine's upkeep is over, and records that.
func (m *machinist) finished(w *Wave, name galenahead.VMName) bool {
	if !m.list() {
		return false
	}
	v, ok := m.machines[name]
	if ok && v.State != MachineUp {
		return false
	}
	return m.step(w, name, StepDone)
}

// step records how far a machine is.
func (m *machinist) step(w *Wave, name galenahead.VMName, state StepState) bool {
	if _, err := m.commits.commit(m.ctx, Op{WaveStep: &WaveStepOp{w.ID, name, state}}); err != nil {
		return false
	}
	w.Steps[name] = state
	return true
}
