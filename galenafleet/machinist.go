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
	listInterval = 500 * time.Millisecond
	// evacuationsAhead is how many machines are emptied while others are down.
	evacuationsAhead = 2
)

// machinist carries out the waves of an office and moves machines between
// pools.
type machinist struct {
	*office
	machines map[galenahead.VMName]Machine
	listedAt time.Time
	leaving  map[galenahead.VMName]galenahead.InstanceID
	// transfers holds the machines on their way to another pool.
	transfers map[galenahead.VMName]*transfer
	answers   chan moved
	// listed holds when each machine was last in the list.
	listed map[galenahead.VMName]time.Time
}

// answerQueue bounds the answers to moves that wait.
const answerQueue = 256

// loop advances the waves until the office ends.
func (m *machinist) loop() error {
	m.leaving = map[galenahead.VMName]galenahead.InstanceID{}
	m.transfers = map[galenahead.VMName]*transfer{}
	m.answers = make(chan moved, answerQueue)
	m.listed = map[galenahead.VMName]time.Time{}
	ticks := m.Timers.Subscribe(m.ctx, "machines", machineTick)
	for {
		select {
		case <-m.ctx.Done():
			return nil
		case a := <-m.answers:
			m.takeMoved(a)
			continue
		case <-ticks:
		}
		// An earlier owner's orders must not alternate with this one's.
		if m.Timers.Now().Sub(m.office.began) < m.MachineLease {
			continue
		}
		for _, w := range m.State.OpenWaves() {
			m.advance(w)
		}
		m.balance()
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
		m.listed[v.Name] = now
	}
	m.listedAt = now
	return true
}

// leftAfter is how long a machine must be missing from the list to count as
// having left the fleet.
const leftAfter = 5 * time.Second

// left tells whether a machine has left the fleet.
func (m *machinist) left(name galenahead.VMName) bool {
	now := m.Timers.Now()
	if _, ok := m.listed[name]; !ok {
		m.listed[name] = now
	}
	return now.Sub(m.listed[name]) > leftAfter
}

// taken notes that a machine is not up any more, until the list is read again.
func (m *machinist) taken(name galenahead.VMName, state MachineState) {
	v, ok := m.machines[name]
	if ok {
		v.State, v.Instance = state, ""
		m.machines[name] = v
	}
	m.listedAt = time.Time{}
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
			if m.left(name) {
				m.step(w, name, StepDone)
			}
			continue
		}
		if v.State != MachineUp || m.transfers[name] != nil || ahead >= w.MaxDown+evacuationsAhead {
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
		m.taken(name, MachineMaintenance)
		m.step(w, name, StepBegun)
		if id, ok := m.leaving[name]; ok {
			delete(m.leaving, name)
			m.drop(id)
		}
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

// release lets an instance take work again.
func (m *machinist) release(name galenahead.VMName) {
	id, ok := m.leaving[name]
	if !ok {
		return
	}
	delete(m.leaving, name)
	m.reopen(id)
}

// finished tells whether a machine's upkeep is over, and records that.
func (m *machinist) finished(w *Wave, name galenahead.VMName) bool {
	if !m.list() {
		return false
	}
	v, ok := m.machines[name]
	if ok && v.State != MachineUp || !ok && !m.left(name) {
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
