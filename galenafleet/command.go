// Package galenafleet is the control of a fleet whose instances announce
// themselves: its replicated state, the owner that the log's leader runs, and
// the way of every daemon to that owner.
//
// What must outlive an owner is in the replicated state: configurations, jobs,
// cancellations, recorded ends, instances, waves. What runs where is not: an
// owner reads it from the instances when it takes office.
package galenafleet

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
)

// Command is one entry of the log: operations that are applied together.
type Command struct {
	Ops []Op `cbor:"1,keyasint"`
}

// Op is one operation. Exactly one field is set.
type Op struct {
	Owner    *OwnerOp               `cbor:"1,keyasint,omitempty"`
	Config   *Config                `cbor:"2,keyasint,omitempty"`
	Submit   *galenajob.Job         `cbor:"3,keyasint,omitempty"`
	Cancel   *CancelOp              `cbor:"4,keyasint,omitempty"`
	End      *EndOp                 `cbor:"5,keyasint,omitempty"`
	Instance *galenajob.Instance    `cbor:"6,keyasint,omitempty"`
	Remove   *galenahead.InstanceID `cbor:"7,keyasint,omitempty"`
	Wave     *Wave                  `cbor:"8,keyasint,omitempty"`
	WaveStep *WaveStepOp            `cbor:"9,keyasint,omitempty"`
	Expire   *time.Time             `cbor:"10,keyasint,omitempty"`
	Order    *MachineOrder          `cbor:"11,keyasint,omitempty"`
	Peak     *DemandPeak            `cbor:"12,keyasint,omitempty"`
}

// OwnerOp begins the office of an owner. Its result carries the epoch.
type OwnerOp struct {
	Owner galenahead.ReplicaName `cbor:"1,keyasint"`
}

// CancelOp cancels a job.
type CancelOp struct {
	Job galenahead.JobID `cbor:"1,keyasint"`
	At  time.Time        `cbor:"2,keyasint"`
}

// EndOp records the end of a run of a work item.
type EndOp struct {
	Job  galenahead.JobID  `cbor:"1,keyasint"`
	Item galenajob.ItemKey `cbor:"2,keyasint"`
	How  galenajob.Ending  `cbor:"3,keyasint"`
	At   time.Time         `cbor:"5,keyasint"`
	// Run keeps an end that is recorded twice from counting twice.
	Run int64 `cbor:"6,keyasint"`
}

// StepState is how far a machine of a wave is.
type StepState string

// States of a machine in a wave.
const (
	// StepOrdered: the upkeep may have been ordered.
	StepOrdered StepState = "ordered"
	// StepStarted: the platform has begun it.
	StepStarted StepState = "begun"
	// StepDone: the machine is up again, or has left the fleet.
	StepDone StepState = "done"
)

// WaveStepOp records how far a machine of a wave is.
type WaveStepOp struct {
	Wave    int64             `cbor:"1,keyasint"`
	Machine galenahead.VMName `cbor:"2,keyasint"`
	State   StepState         `cbor:"3,keyasint"`
}

// MachineOrder records that an owner is about to give an order to a machine, so
// that its successor waits before it gives one to the same machine.
type MachineOrder struct {
	Machine galenahead.VMName `cbor:"1,keyasint"`
	Epoch   uint64            `cbor:"2,keyasint"`
	At      time.Time         `cbor:"3,keyasint"`
	// Instance and Born name the life of the machine's instance that the order
	// ends.
	Instance galenahead.InstanceID `cbor:"4,keyasint,omitempty"`
	Born     int64                 `cbor:"5,keyasint,omitempty"`
}

// Code is the result of an operation.
type Code string

// Results of operations.
const (
	CodeDone Code = "done"
	// CodeUnchanged: the operation changed nothing, since it is done already or newer
	// state is held.
	CodeUnchanged Code = "kept"
	CodeNotFound  Code = "not_found"
)

// Result is the result of one operation.
type Result struct {
	Code  Code   `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint,omitempty"`
	// JobState is the job's state after an EndOp or CancelOp.
	JobState galenajob.State `cbor:"3,keyasint,omitempty"`
}

// Config is a configuration of queues and pools.
type Config struct {
	Version  uint64      `cbor:"1,keyasint"`
	Queues   []QueueRule `cbor:"2,keyasint"`
	Services []Service   `cbor:"3,keyasint"`
	// Source is the document as the operator sent it.
	Source []byte `cbor:"4,keyasint"`
}

// QueueRule says which requests belong to a queue and how it is served.
type QueueRule struct {
	Name          string                 `cbor:"1,keyasint"`
	Host          string                 `cbor:"2,keyasint"`
	Prefix        string                 `cbor:"3,keyasint"`
	Service       galenahead.ServiceName `cbor:"4,keyasint"`
	Priority      int                    `cbor:"5,keyasint"`
	MaxAttempts   int                    `cbor:"6,keyasint"`
	Stretch       float64                `cbor:"7,keyasint"`
	TargetLatency time.Duration          `cbor:"8,keyasint"`
	Advised       bool                   `cbor:"9,keyasint"`
}

// schedulerQueue returns what the scheduler needs of the rule.
func (r *QueueRule) schedulerQueue() galenajob.Queue {
	return galenajob.Queue{
		Name: r.Name, Service: r.Service, Priority: r.Priority, MaxAttempts: r.MaxAttempts,
		Stretch: r.Stretch, TargetLatency: r.TargetLatency, Advised: r.Advised,
	}
}

// Service is a service with the pool of machines that run it.
type Service struct {
	Name galenahead.ServiceName `cbor:"1,keyasint"`
	// Spare marks the pool whose machines are switched off and cost nothing.
	Spare bool `cbor:"2,keyasint"`
}

// Wave is a maintenance wave: each of its machines has its upkeep in time, at
// most MaxDown at once.
type Wave struct {
	ID       int64                           `cbor:"1,keyasint"`
	Machines []galenahead.VMName             `cbor:"2,keyasint"`
	Duration time.Duration                   `cbor:"3,keyasint"`
	MaxDown  int                             `cbor:"4,keyasint"`
	Accepted time.Time                       `cbor:"5,keyasint"`
	Steps    map[galenahead.VMName]StepState `cbor:"6,keyasint"`
}

// Completed tells whether every machine has had its upkeep.
func (w *Wave) Completed() bool {
	for _, m := range w.Machines {
		if w.Steps[m] != StepDone {
			return false
		}
	}
	return true
}

// encoding keeps the fractions of a second of times.
var encoding = func() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

func encodeCommand(ops []Op) ([]byte, error) {
	b, err := encoding.Marshal(Command{ops})
	return b, eris.Wrap(err, "encode command")
}
