// Package galenawave plans maintenance waves and moves of VMs between pools. The
// planner proposes galenastate commands and reads no clock. A new leader starts
// without the state that the planner keeps between calls; this only delays its
// decisions.
package galenawave

import (
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenastate"
)

// Measurements is what brokers, workers and error budgets report.
type Measurements struct {
	// Loads has one element for each service and data centre. The headroom of a
	// service without an element is unknown, so its pool's VMs are not drained.
	Loads []Load
	// VMs holds the reports on VMs. A VM without a report is not proved unused.
	// Reports on VMs that are in service and idle may be omitted.
	VMs map[galenahead.VMName]VMReport
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
	// Budget is the remaining share, from 0 to 1, of the error budget of the
	// caller that has the least left.
	Budget float64
}

// VMReport is what brokers, workers and the platform report on one VM.
type VMReport struct {
	// SlotsOut is the number of slots that brokers still count as granted.
	SlotsOut int
	// Tasks is the number of tasks whose leases have neither ended nor expired.
	Tasks int
	// ReportedAt is the time of the oldest broker or worker report that SlotsOut
	// and Tasks are based on.
	ReportedAt time.Time
	// BrokerRevision is the oldest configuration revision that a broker had applied
	// when it reported.
	BrokerRevision galenahead.Revision
	// AnsweringSince is since when the VM has answered without interruption. It
	// is zero while the VM does not answer.
	AnsweringSince time.Time
	// Pool is the pool whose services the instances on the VM announce.
	Pool galenahead.PoolName
	// Failure is the platform's reason to consider the VM failed, or empty.
	Failure string
}

// provesUnused reports whether the report proves that the VM is unused: brokers
// had applied the VM's newest change, all reports are newer than since, and no
// slots, tasks or jobs are left.
func (r VMReport) provesUnused(vm *galenastate.VM, since time.Time) bool {
	if r.BrokerRevision < vm.Revision || !r.ReportedAt.After(since) {
		return false
	}
	return r.SlotsOut == 0 && r.Tasks == 0 && vm.Jobs == 0
}
