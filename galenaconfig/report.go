package galenaconfig

import "github.com/galenahead/galenahead"

// MethodReport is the method with which an entry sends the reports of its brokers
// to the control leader.
const MethodReport = "entry.report"

// LeaderTimestamp is a time of the control leader with the configuration revision
// at that time. A report that contains it was made after that time by an entry that
// had applied at least that revision.
type LeaderTimestamp struct {
	TimeMS   int64               `json:"time_ms"`
	Revision galenahead.Revision `json:"revision"`
}

// EntryReport is the report that an entry sends for its brokers every second.
type EntryReport struct {
	Entry galenahead.EntryName `json:"entry"`
	// AsOf is taken from the newest reply of the leader whose revision the entry
	// has applied.
	AsOf     LeaderTimestamp `json:"as_of"`
	Services []ServiceReport `json:"services,omitempty"`
	// Budgets contains the request counts of the callers with failures.
	Budgets []BudgetCount `json:"budgets,omitempty"`
}

// BudgetCount counts one caller's requests at one entry in the window of the
// error budget.
type BudgetCount struct {
	Service galenahead.ServiceName `json:"service"`
	Caller  galenahead.CallerName  `json:"caller"`
	Total   int64                  `json:"total"`
	// Failed counts the requests that were not answered in time.
	Failed int64 `json:"failed"`
}

// ServiceReport is the report of one service's broker.
type ServiceReport struct {
	Service galenahead.ServiceName `json:"service"`
	Epoch   galenahead.Epoch       `json:"epoch"`
	// Complete is set when SlotsOut counts the slots granted by any broker. For
	// some time after its election a broker does not yet know the slots that
	// earlier brokers granted.
	Complete bool `json:"complete,omitempty"`
	// SlotsOut maps VMs to their numbers of granted slots. A VM without granted
	// slots is not listed.
	SlotsOut map[galenahead.VMName]int `json:"slots_out,omitempty"`
	Loads    []ServiceLoad             `json:"loads,omitempty"`
}

// ServiceLoad is the load of a service in one data centre. Demand and Capacity
// are in slots.
type ServiceLoad struct {
	DataCentre galenahead.DataCentre `json:"data_centre"`
	Demand     float64               `json:"demand"`
	Capacity   float64               `json:"capacity"`
	VMs        int                   `json:"vms"`
}

// ReportReply is the leader's reply to a report.
type ReportReply struct {
	Mark LeaderTimestamp `json:"mark"`
}
