package galenafleet

import (
	"maps"
	"time"

	"github.com/galenahead/galenahead"
)

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
