package galenaconfig

import "github.com/galenahead/galenahead"

// MethodReport carries the brokers' reports of one entry to the control leader.
const MethodReport = "entry.report"

// Mark is a moment of the control leader. A report that carries a mark was
// made after that moment, by an entry that held at least its revision.
type Mark struct {
	TimeMS   int64               `json:"time_ms"`
	Revision galenahead.Revision `json:"revision"`
}

// EntryReport is what the brokers at one entry report every second.
type EntryReport struct {
	Entry galenahead.EntryName `json:"entry"`
	// AsOf is the newest mark whose revision the entry holds.
	AsOf     Mark            `json:"as_of"`
	Services []ServiceReport `json:"services,omitempty"`
	// Budgets counts what this entry answered, for the callers with failures.
	Budgets []BudgetCount `json:"budgets,omitempty"`
}

// BudgetCount counts one caller's requests at one entry in the budget window.
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
	// Complete is set when SlotsOut counts every slot that any broker granted.
	// For some time after its election a broker cannot know them all.
	Complete bool `json:"complete,omitempty"`
	// SlotsOut counts the granted slots of each VM; a VM that is not listed has
	// none.
	SlotsOut map[galenahead.VMName]int `json:"slots_out,omitempty"`
	Loads    []ServiceLoad             `json:"loads,omitempty"`
}

// ServiceLoad is the load of a service in one data centre, in slots.
type ServiceLoad struct {
	DataCentre galenahead.DataCentre `json:"data_centre"`
	Demand     float64               `json:"demand"`
	Capacity   float64               `json:"capacity"`
	VMs        int                   `json:"vms"`
}

// ReportReply is the leader's answer to a report.
type ReportReply struct {
	Mark Mark `json:"mark"`
}
