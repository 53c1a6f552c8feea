// Package galenafleet controls a fleet of instances that register themselves. It
// holds the replicated state of the fleet, the owner, which schedules the fleet on
// the replica that leads the log, and the client through which every daemon calls
// the owner.
//
// The replicated state holds what must survive a change of owner: configurations,
// jobs, cancellations, recorded ends of runs, instances, maintenance waves, orders
// to machines and demand peaks. It does not hold which run is on which instance; a
// new owner polls the instances for that.
package galenafleet

import (
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenaaccount"
	"github.com/galenahead/galenahead/galenajob"
)

// Command is one entry of the log. Its operations are applied together.
type Command struct {
	Ops []Op `cbor:"1,keyasint"`
}

// Op is one operation on the replicated state. Exactly one field is set.
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
	Crash    *CrashOp               `cbor:"13,keyasint,omitempty"`
	Clear    *ClearOp               `cbor:"14,keyasint,omitempty"`
	// Left is set beside Remove if the instance has left by itself, and alone if it may still
	// run work, so that it stays registered until that has ended.
	Left *LeftOp `cbor:"15,keyasint,omitempty"`
	// Reassign is unknown to earlier versions.
	Reassign *ReassignOp `cbor:"16,keyasint,omitempty"`
	// Fenced is unknown to earlier versions.
	Fenced *FencedOp `cbor:"17,keyasint,omitempty"`
	// Unanswered is unknown to earlier versions.
	Unanswered *UnansweredOp `cbor:"18,keyasint,omitempty"`
	// Answered is unknown to earlier versions.
	Answered *AnsweredOp `cbor:"19,keyasint,omitempty"`
}

// FencedOp records that an incarnation of an instance, later than another one, refuses all calls
// to that one.
type FencedOp struct {
	Instance galenahead.InstanceID `cbor:"1,keyasint"`
	Born     int64                 `cbor:"2,keyasint"`
	// HoldsLease reports that it may have taken the longest lease until then.
	HoldsLease bool `cbor:"3,keyasint,omitempty"`
	// At is when that was found, in time of day, and unknown to earlier versions.
	At time.Time `cbor:"4,keyasint,omitzero"`
}

// UnansweredOp records that a start of a work item on an instance had no response.
type UnansweredOp struct {
	Job      galenahead.JobID      `cbor:"1,keyasint"`
	Item     galenajob.ItemKey     `cbor:"2,keyasint"`
	Instance galenahead.InstanceID `cbor:"3,keyasint"`
	Address  string                `cbor:"4,keyasint"`
	// GivenUpAt, in time of day, and Hold are those of galenajob.UnansweredStart, and unknown to
	// earlier versions.
	GivenUpAt time.Time     `cbor:"5,keyasint,omitzero"`
	Hold      time.Duration `cbor:"6,keyasint,omitempty"`
}

// AnsweredOp records that nothing can come any more of the start that an UnansweredOp has recorded.
type AnsweredOp struct {
	Job      galenahead.JobID      `cbor:"1,keyasint"`
	Item     galenajob.ItemKey     `cbor:"2,keyasint"`
	Instance galenahead.InstanceID `cbor:"3,keyasint"`
}

// ReassignOp records that another service runs a job from now on.
type ReassignOp struct {
	Job     galenahead.JobID       `cbor:"1,keyasint"`
	Service galenahead.ServiceName `cbor:"2,keyasint"`
}

// LeftOp records that an incarnation of an instance has left, so that a heartbeat which it
// sent before does not register it again, whoever receives it.
type LeftOp struct {
	Born int64     `cbor:"1,keyasint"`
	At   time.Time `cbor:"2,keyasint"`
	// Instance is set if the operation does not remove the instance.
	Instance galenahead.InstanceID `cbor:"3,keyasint,omitempty"`
}

// OwnerOp starts the session of a new owner. Its result contains the session's
// epoch.
type OwnerOp struct {
	Owner galenahead.ReplicaName `cbor:"1,keyasint"`
}

// CancelOp cancels a job.
type CancelOp struct {
	Job galenahead.JobID `cbor:"1,keyasint"`
	At  time.Time        `cbor:"2,keyasint"`
	// Account is that of the caller, or empty.
	Account galenahead.AccountName `cbor:"3,keyasint,omitempty"`
}

// EndOp records the end of a run of a work item.
type EndOp struct {
	Job  galenahead.JobID    `cbor:"1,keyasint"`
	Item galenajob.ItemKey   `cbor:"2,keyasint"`
	How  galenajob.EndReason `cbor:"3,keyasint"`
	At   time.Time           `cbor:"5,keyasint"`
	// Run is the number of the run. It prevents an end that is recorded twice from
	// being counted twice.
	Run int64 `cbor:"6,keyasint"`
}

// CrashOp records that an instance has crashed under a run of a work item.
type CrashOp struct {
	Job  galenahead.JobID  `cbor:"1,keyasint"`
	Item galenajob.ItemKey `cbor:"2,keyasint"`
	At   time.Time         `cbor:"3,keyasint"`
	// Run is the number of the run, so that a crash that is recorded twice counts once.
	Run int64 `cbor:"4,keyasint"`
	// Uncertain reports that the instance may have crashed before it started the run.
	Uncertain bool `cbor:"5,keyasint,omitempty"`
	// Cleared is the number of the work item's last run that has outlived its probation, so
	// that crashes under it and earlier runs no longer count.
	Cleared int64 `cbor:"6,keyasint,omitempty"`
}

// ClearOp records that a run of a work item has outlived its probation, so that crashes
// under it and earlier runs no longer count.
type ClearOp struct {
	Job  galenahead.JobID  `cbor:"1,keyasint"`
	Item galenajob.ItemKey `cbor:"2,keyasint"`
	Run  int64             `cbor:"3,keyasint"`
}

// StepState is the maintenance state of a machine in a wave.
type StepState string

// States of a machine in a wave.
const (
	// StepOrdered means that the maintenance order may have been sent.
	StepOrdered StepState = "ordered"
	// StepStarted means that the platform has started the maintenance.
	StepStarted StepState = "begun"
	// StepDone means that the machine is up again, has left the fleet, or that the
	// platform rejected the order.
	StepDone StepState = "done"
)

// WaveStepOp records the maintenance state of a machine in a wave.
type WaveStepOp struct {
	Wave    int64             `cbor:"1,keyasint"`
	Machine galenahead.VMName `cbor:"2,keyasint"`
	State   StepState         `cbor:"3,keyasint"`
}

// MachineOrder records that an owner is about to send an order to a machine, so
// that the next owner waits before it sends one to the same machine, and takes over a
// move whose result is not known.
type MachineOrder struct {
	Machine galenahead.VMName `cbor:"1,keyasint"`
	Epoch   uint64            `cbor:"2,keyasint"`
	At      time.Time         `cbor:"3,keyasint"`
	// Instance and Born identify the incarnation of the instance that the order
	// stops, if one runs on the machine.
	Instance galenahead.InstanceID `cbor:"4,keyasint,omitempty"`
	Born     int64                 `cbor:"5,keyasint,omitempty"`
	// Pool is where the order moves the machine, until the result is recorded. It is
	// empty for maintenance, whose result is recorded in the wave.
	Pool galenahead.ServiceName `cbor:"6,keyasint,omitempty"`
}

// Code is the result code of an operation.
type Code string

// Result codes of operations.
const (
	CodeDone Code = "done"
	// CodeUnchanged means that the operation changed nothing, because it was applied
	// before or the state is newer.
	CodeUnchanged Code = "kept"
	CodeNotFound  Code = "not_found"
	// CodeCancelled means that the job was cancelled before it was submitted.
	CodeCancelled Code = "cancelled"
	// CodeTaken means that another client account has a job of that ID.
	CodeTaken Code = "taken"
)

// Result is the result of one operation.
type Result struct {
	Code  Code   `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint,omitempty"`
	// JobState is the job's state after an EndOp, CrashOp, CancelOp or ReassignOp.
	JobState galenajob.State `cbor:"3,keyasint,omitempty"`
}

// Config is a configuration of queues and pools.
type Config struct {
	Version  uint64      `cbor:"1,keyasint"`
	Queues   []QueueRule `cbor:"2,keyasint"`
	Services []Service   `cbor:"3,keyasint"`
	// Source is the configuration document as the operator sent it.
	Source []byte `cbor:"4,keyasint"`
	// Accounts are the client accounts. RequiresKeys is set if the configuration has them,
	// even if there are none: callers then need a key, but for public queues.
	Accounts     []galenaaccount.Account `cbor:"5,keyasint,omitempty"`
	RequiresKeys bool                    `cbor:"6,keyasint,omitempty"`
	// Limits are zero where the configuration leaves the default.
	Limits CallerLimits `cbor:"7,keyasint,omitempty"`
}

// QueueRule defines which requests belong to a queue and how its jobs are
// scheduled.
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
	// Public marks a queue that callers may use without a key.
	Public bool `cbor:"10,keyasint,omitempty"`
}

// schedulerQueue returns the part of the rule that the scheduler uses.
func (r *QueueRule) schedulerQueue() galenajob.Queue {
	return galenajob.Queue{
		Name: r.Name, Service: r.Service, Priority: r.Priority, MaxAttempts: r.MaxAttempts,
		Stretch: r.Stretch, TargetLatency: r.TargetLatency, RequiresAdvice: r.Advised,
	}
}

// schedulerQueues returns the part of the configuration that the scheduler uses.
func (c *Config) schedulerQueues() []galenajob.Queue {
	out := make([]galenajob.Queue, len(c.Queues))
	for i := range c.Queues {
		out[i] = c.Queues[i].schedulerQueue()
	}
	return out
}

// Service is a service with the pool of machines that run it.
type Service struct {
	Name galenahead.ServiceName `cbor:"1,keyasint"`
	// Spare marks the pool whose machines are powered off and cost nothing.
	Spare bool `cbor:"2,keyasint"`
}

// Wave is a maintenance wave: all its machines undergo maintenance within
// Duration, at most MaxDown of them at the same time.
type Wave struct {
	ID       int64                           `cbor:"1,keyasint"`
	Machines []galenahead.VMName             `cbor:"2,keyasint"`
	Duration time.Duration                   `cbor:"3,keyasint"`
	MaxDown  int                             `cbor:"4,keyasint"`
	Accepted time.Time                       `cbor:"5,keyasint"`
	Steps    map[galenahead.VMName]StepState `cbor:"6,keyasint"`
}

// Completed reports whether every machine is in state StepDone.
func (w *Wave) Completed() bool {
	for _, m := range w.Machines {
		if w.Steps[m] != StepDone {
			return false
		}
	}
	return true
}

// What a wave and each of its machines hold in the state, in bytes.
const (
	heldPerWave    = 512
	heldPerMachine = 256
)

// heldBytes returns about how much memory the wave takes.
func (w *Wave) heldBytes() int64 {
	n := int64(heldPerWave)
	for _, m := range w.Machines {
		n += heldPerMachine + 2*int64(len(m))
	}
	return n
}

// encoding encodes times with nanoseconds; the default of the library is whole
// seconds.
var encoding = func() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// decoding decodes what this process or another replica has encoded. The state may hold more jobs and
// records than the library decodes by default.
var decoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

func encodeCommand(ops []Op) ([]byte, error) {
	b, err := encoding.Marshal(Command{ops})
	if err != nil {
		return nil, eris.Wrap(err, "encode command")
	}
	return compress(b)
}

// decodeCommand decodes a command, also one that was not compressed.
func decodeCommand(b []byte) (c Command, err error) {
	b, err = expand(b)
	if err != nil {
		return c, err
	}
	return c, eris.Wrap(decoding.Unmarshal(b, &c), "decode command")
}
