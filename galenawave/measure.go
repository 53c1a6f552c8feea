// Package galenawave plans maintenance waves and moves of VMs between pools.
// The planner proposes commands of galenastate; it reads no clock, and what it
// keeps between calls only delays decisions when a new leader starts without
// it.
package galenawave

import (
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenastate"
)

// Measurements is what the brokers, workers and budgets report.
type Measurements struct {
	// Loads has one element for each service and data centre. A service without
	// any element has no known headroom: its pool's VMs are not drained.
	Loads []Load
	// VMs has a report for each VM that has one. A VM without a report proves
	// nothing. Reports of VMs that are in service and idle may be left out.
	VMs map[galenahead.VMName]Report
}

// Load is the demand for one service in one data centre.
type Load struct {
	Service    galenahead.ServiceName
	DataCentre galenahead.DataCentre
	// Demand is the number of requests in flight and waiting, in slots.
	Demand float64
	// Capacity is the number of slots of the instances in service.
	Capacity float64
	// VMs is the number of VMs that Capacity counts.
	VMs int
	// Budget is the share of the availability budget that is left to the worst
	// caller, from 0 to 1.
	Budget float64
}

// Report is what is known of one VM.
type Report struct {
	// SlotsOut is the number of slots that any broker still counts as granted.
	SlotsOut int
	// Tasks is the number of tasks whose leases have neither ended nor expired.
	Tasks int
	// At is the time of the oldest broker's or worker's report counted above.
	At time.Time
	// InForce is the oldest revision under which a broker made its report.
	InForce galenahead.Revision
	// AnsweringSince is when the VM's current uninterrupted run of answers
	// began. It is zero while the VM does not answer.
	AnsweringSince time.Time
	// Pool is the pool whose services the VM's instances announce.
	Pool galenahead.PoolName
	// Failure is why the platform gave up on the VM, or empty.
	Failure string
}

// proves tells whether the report shows that nothing uses the VM any more: the
// brokers knew of the VM's newest change, and reported after it was made.
func (r Report) proves(vm *galenastate.VM, since time.Time) bool {
	if r.InForce < vm.Revision || !r.At.After(since) {
		return false
	}
	return r.SlotsOut == 0 && r.Tasks == 0 && vm.Jobs == 0
}
