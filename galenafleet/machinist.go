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
	// machineTick is how often waves and pools advance.
	machineTick = 100 * time.Millisecond
	// listInterval is the shortest time between two readings of the machines,
	// each of which is paid for.
	listInterval = 500 * time.Millisecond
	// evacuationsAhead is how many machines are emptied while others are down.
	evacuationsAhead = 2
	// answerQueue bounds the answers of the machines' service that wait.
	answerQueue = 256
	// leftAfter is how long a machine must be missing from the list to count as
	// having left the fleet.
	leftAfter = 5 * time.Second
	// orderPause follows an order that was not confirmed: what kept it from being
	// carried out is seen at the next reading of the list, at the earliest.
	orderPause = listInterval
	// orderMargin is how much later than its record an order may be sent.
	orderMargin = 200 * time.Millisecond
)

// machinist carries out the waves of an office and moves machines between
// pools.
type machinist struct {
	*office
	machines map[galenahead.VMName]Machine
	listedAt time.Time
	// listed holds when each machine was last in the list.
	listed map[galenahead.VMName]time.Time
	// leaving holds the instances that are emptied for an upkeep.
	leaving map[galenahead.VMName]galenahead.InstanceID
	// transfers holds the machines on their way to another pool.
	transfers map[galenahead.VMName]*transfer
	// calling holds the machines to which an order is on its way.
	calling map[galenahead.VMName]bool
	// repeatAt holds when an order that was not confirmed may be repeated.
	repeatAt map[galenahead.VMName]time.Time
	answers  chan machineAnswer
	peaks    *forecaster
	// logged is what the last log line of each pool said.
	logged map[galenahead.ServiceName][4]int
}

// machineAnswer is the answer to an order to a machine; wave is zero for a
// move.
type machineAnswer struct {
	name galenahead.VMName
	wave int64
	err  error
}

func newMachinist(f *office) *machinist {
	return &machinist{
		office:    f,
		listed:    map[galenahead.VMName]time.Time{},
		leaving:   map[galenahead.VMName]galenahead.InstanceID{},
		transfers: map[galenahead.VMName]*transfer{},
		calling:   map[galenahead.VMName]bool{},
		repeatAt:  map[galenahead.VMName]time.Time{},
		logged:    map[galenahead.ServiceName][4]int{},
		answers:   make(chan machineAnswer, answerQueue),
		peaks:     newForecaster(f.State.peaks()),
	}
}

// loop advances waves and pools until the office ends.
func (m *machinist) loop() error {
	ticks := m.Timers.Subscribe(m.ctx, "machines", machineTick)
	for {
		select {
		case <-m.ctx.Done():
			return nil
		case a := <-m.answers:
			m.take(a)
			continue
		case <-ticks:
		}
		if !m.list() {
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
	m.forgetTaken()
	m.show()
	return true
}

// gone tells whether a machine is missing from the list for so long that it has
// left the fleet.
func (m *machinist) gone(name galenahead.VMName) bool {
	_, ok := m.machines[name]
	return !ok && m.left(name)
}

// left tells whether a machine that is missing from the list has left the fleet.
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

// mayOrder tells whether an order to a machine now would not alternate with
// those of an earlier owner.
func (m *machinist) mayOrder(name galenahead.VMName) bool {
	epoch, noted, ok := m.State.lastOrder(name)
	return !ok || epoch == m.epoch || m.Timers.Now().Sub(noted) > m.MachineLease+orderMargin
}

// intend returns the record of an order to a machine, which ends the life of the
// instance there, if there is one.
func (m *machinist) intend(name galenahead.VMName, id galenahead.InstanceID) Op {
	in, _ := m.State.instance(id)
	return Op{Order: &MachineOrder{Machine: name, Epoch: m.epoch, At: time.Now().Round(0), Instance: in.ID, Born: in.Born}}
}

// forgetTaken forgets the instances whose machines an earlier owner has taken without
// recording it any more. Until then the work that an earlier owner accepted would
// wait for their leases to lapse.
func (m *machinist) forgetTaken() {
	if m.Timers.Now().Sub(m.began) > 2*m.Params.Lease {
		// Nothing waits for them any more.
		return
	}
	for _, o := range m.State.machineOrders() {
		v, listed := m.machines[o.Machine]
		in, known := m.State.instance(o.Instance)
		if o.Epoch == m.epoch || !listed || !known || in.Born != o.Born {
			continue
		}
		taken := v.State == MachineMoving || v.State == MachineMaintenance
		if taken || (v.Instance != "" && v.Instance != o.Instance) {
			m.drop(o.Instance)
		}
	}
}

// advance takes the next steps of a wave.
func (m *machinist) advance(w *Wave) {
	down := 0
	for _, name := range w.Machines {
		switch w.Steps[name] {
		case StepOrdered:
			if m.gone(name) {
				m.step(w, name, StepDone)
				m.release(name)
				continue
			}
			down++
			m.maintain(w.ID, name)
		case StepBegun:
			if !m.finished(w, name) {
				down++
			}
		}
	}
	allowed := m.pace(w, down)
	ahead := 0
	for _, v := range m.due(w) {
		m.prepare(v)
		if ahead >= allowed+evacuationsAhead {
			continue
		}
		ahead++
		if !m.emptied(v) || down >= allowed || !m.mayOrder(v.Name) {
			continue
		}
		if m.step(w, v.Name, StepOrdered) {
			down++
			m.maintain(w.ID, v.Name)
		}
	}
}

const (
	// upkeepTime is about how long a machine is away for an upkeep, with the time
	// until its end is seen.
	upkeepTime = 3500 * time.Millisecond
	// waveMargin is how long before its end a wave should be done.
	waveMargin = 7 * time.Second
)

// pace returns how many machines of a wave should be down at once: so few that
// the wave just ends in time, since they are missed meanwhile.
func (m *machinist) pace(w *Wave, down int) int {
	left := time.Until(w.Accepted.Add(w.Duration)) - waveMargin
	if left <= upkeepTime {
		return w.MaxDown
	}
	open := down
	for _, name := range w.Machines {
		if w.Steps[name] == "" {
			open++
		}
	}
	rounds := int(left / upkeepTime)
	return min(w.MaxDown, (open+rounds-1)/rounds)
}

// due returns the machines of a wave whose upkeep has not begun and may begin:
// first those that are being emptied already, then those that are missed least.
func (m *machinist) due(w *Wave) []Machine {
	var out []Machine
	rank := map[galenahead.VMName]int64{}
	for _, name := range w.Machines {
		if w.Steps[name] != "" {
			continue
		}
		if m.gone(name) {
			m.step(w, name, StepDone)
			continue
		}
		v, ok := m.machines[name]
		if !ok {
			continue
		}
		if v.State != MachineUp || m.transfers[name] != nil {
			continue
		}
		rank[name] = m.load(v)
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b Machine) int {
		return cmp.Or(cmp.Compare(rank[a.Name], rank[b.Name]), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// load ranks how much a machine would be missed; machines that are being
// emptied come first.
func (m *machinist) load(v Machine) int64 {
	if _, ok := m.leaving[v.Name]; ok {
		return -1
	}
	in, ok := m.State.instance(v.Instance)
	if !ok {
		return 0
	}
	var used int64
	m.of(in.Service).with(func(_ time.Time, s *galenajob.Scheduler) { used = s.UsedOn(in.ID).MilliCPU })
	return used
}

// prepare keeps lasting work off a machine that is due.
func (m *machinist) prepare(v Machine) {
	if in, ok := m.State.instance(v.Instance); ok {
		m.of(in.Service).with(func(_ time.Time, s *galenajob.Scheduler) { s.Due(in.ID) })
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

// maintain orders the upkeep of a machine and repeats an order that had no
// clear answer; the platform carries it out once.
func (m *machinist) maintain(wave int64, name galenahead.VMName) {
	if m.calling[name] || !m.mayRepeat(name) || !m.leads() || !m.mayOrder(name) {
		return
	}
	m.calling[name] = true
	intent := m.intend(name, m.leaving[name])
	m.spawn(func() error {
		a := machineAnswer{name: name, wave: wave}
		if _, err := m.commits.commit(intent); err != nil {
			return nil
		}
		a.err = m.Machines.Maintain(m.ctx, name, wave, string(m.Name), m.epoch)
		m.report(a)
		return nil
	})
}

// mayRepeat tells whether no order to the machine has failed just now.
func (m *machinist) mayRepeat(name galenahead.VMName) bool {
	return !m.Timers.Now().Before(m.repeatAt[name])
}

// report hands an answer to the loop.
func (m *machinist) report(a machineAnswer) {
	select {
	case m.answers <- a:
	case <-m.ctx.Done():
	}
}

// take takes over the answer to an order.
func (m *machinist) take(a machineAnswer) {
	delete(m.calling, a.name)
	if errors.Is(a.err, ErrFenced) {
		m.resign(a.err)
		return
	}
	delete(m.repeatAt, a.name)
	if a.err != nil {
		m.repeatAt[a.name] = m.Timers.Now().Add(orderPause)
	}
	if a.wave == 0 {
		m.takeMoved(a)
		return
	}
	w := m.State.Wave(a.wave)
	log := m.Logger.WithField("wave", a.wave).WithField("machine", a.name).WithField("epoch", m.epoch).
		WithField("state", m.machines[a.name].State)
	switch {
	case w == nil:
	case a.err == nil:
		log.Info("upkeep begun")
		m.taken(a.name, MachineMaintenance)
		m.step(w, a.name, StepBegun)
		if id, ok := m.leaving[a.name]; ok {
			delete(m.leaving, a.name)
			m.drop(id)
		}
	case errors.Is(a.err, ErrRejected):
		log.WithError(a.err).Warn("upkeep rejected")
		m.step(w, a.name, StepDone)
		m.release(a.name)
	default:
		log.WithError(a.err).Info("upkeep not confirmed")
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
	if v, ok := m.machines[name]; (!ok || v.State != MachineUp) && !m.gone(name) {
		return false
	}
	return m.step(w, name, StepDone)
}

// step records how far a machine is.
func (m *machinist) step(w *Wave, name galenahead.VMName, state StepState) bool {
	if _, err := m.commits.commit(Op{WaveStep: &WaveStepOp{w.ID, name, state}}); err != nil {
		return false
	}
	w.Steps[name] = state
	return true
}
