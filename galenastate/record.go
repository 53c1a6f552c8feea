package galenastate

import (
	"fmt"

	"github.com/galenahead/galenahead"
)

// Records are immutable once they are in the state. The integer keys are part of
// the format of log records and snapshots: a key must never get another meaning.

// Pool is a set of VMs that run the same services.
type Pool struct {
	Name galenahead.PoolName `cbor:"1,keyasint" json:"name"`
	// Spare marks the pool that lends VMs to the others.
	Spare bool `cbor:"2,keyasint,omitempty" json:"spare,omitempty"`
}

// VM is one VM with its owner and its state.
type VM struct {
	Name         galenahead.VMName     `cbor:"1,keyasint" json:"name"`
	Pool         galenahead.PoolName   `cbor:"2,keyasint,omitempty" json:"pool,omitempty"`
	DataCentre   galenahead.DataCentre `cbor:"3,keyasint,omitempty" json:"data_centre,omitempty"`
	Rack         galenahead.RackName   `cbor:"4,keyasint,omitempty" json:"rack,omitempty"`
	Address      string                `cbor:"5,keyasint,omitempty" json:"address,omitempty"`
	Cores        int32                 `cbor:"6,keyasint,omitempty" json:"cores,omitempty"`
	MemoryMB     int32                 `cbor:"7,keyasint,omitempty" json:"memory_mb,omitempty"`
	Accelerators int32                 `cbor:"8,keyasint,omitempty" json:"accelerators,omitempty"`
	// Epoch is the fencing token of every command to the VM. It increases when
	// the VM is acquired and when a wave reboots it, and is never reused for
	// another VM.
	Epoch     galenahead.Epoch `cbor:"9,keyasint,omitempty" json:"epoch,omitempty"`
	Phase     Phase            `cbor:"10,keyasint,omitempty" json:"phase,omitzero"`
	Condition Condition        `cbor:"11,keyasint,omitempty" json:"condition,omitzero"`
	// ToPool is the target of a move until the VM is acquired. A VM in
	// PhaseReleasing without a target is being removed.
	ToPool galenahead.PoolName `cbor:"12,keyasint,omitempty" json:"to_pool,omitempty"`
	// HomePool is the pool to which operators assigned the VM. If Pool is another
	// one, that pool has borrowed the VM.
	HomePool galenahead.PoolName `cbor:"13,keyasint,omitempty" json:"home,omitempty"`
	// ReleasedEpoch is the epoch for which the VM's release was proved.
	ReleasedEpoch galenahead.Epoch `cbor:"14,keyasint,omitempty" json:"released,omitempty"`
	// Wave names the wave that has taken the VM out of service, or in which the
	// VM failed, until it is up again.
	Wave string `cbor:"15,keyasint,omitempty" json:"wave,omitempty"`
	// Parked is set for a worker that gets no jobs.
	Parked bool `cbor:"16,keyasint,omitempty" json:"parked,omitempty"`
	// Jobs is the number of jobs on the VM whose tasks have not ended.
	Jobs int32 `cbor:"17,keyasint,omitempty" json:"jobs,omitempty"`
	// Failures lists the different jobs that failed on the VM since the last
	// success.
	Failures []galenahead.JobID `cbor:"18,keyasint,omitempty" json:"failures,omitempty"`
	// PhaseSinceMS is when the VM entered its phase, in Unix milliseconds.
	PhaseSinceMS int64 `cbor:"19,keyasint,omitempty" json:"phase_ms,omitempty"`
	// Revision is the revision of the VM's newest change that entries need. A
	// broker's report proves that the VM is unused only if the broker had
	// applied this revision or a later one: before, it could still grant slots.
	Revision galenahead.Revision `cbor:"20,keyasint,omitempty" json:"revision,omitempty"`
}

// Service is a service that runs on the VMs of a pool.
type Service struct {
	Name galenahead.ServiceName `cbor:"1,keyasint" json:"name"`
	Pool galenahead.PoolName    `cbor:"2,keyasint" json:"pool"`
	// BudgetPPM is the share of requests that may fail, in parts per million.
	BudgetPPM   int32         `cbor:"3,keyasint,omitempty" json:"budget_ppm"`
	Slots       int32         `cbor:"4,keyasint,omitempty" json:"slots"`
	Connections int32         `cbor:"5,keyasint,omitempty" json:"connections"`
	DeadlineMS  int64         `cbor:"6,keyasint,omitempty" json:"deadline_ms"`
	Callers     []CallerShare `cbor:"7,keyasint,omitempty" json:"callers,omitempty"`
}

// CallerShare is one caller's share of a service. A caller that is not listed
// has share 1.
type CallerShare struct {
	Caller galenahead.CallerName `cbor:"1,keyasint" json:"caller"`
	Share  int32                 `cbor:"2,keyasint" json:"share"`
}

// Size is an amount of cores, memory in MB and accelerators.
type Size struct {
	Cores        int64 `cbor:"1,keyasint,omitempty" json:"cores"`
	MemoryMB     int64 `cbor:"2,keyasint,omitempty" json:"memory_mb"`
	Accelerators int64 `cbor:"3,keyasint,omitempty" json:"accelerators"`
}

// String returns the size with its units.
func (s Size) String() string {
	return fmt.Sprintf("%d cores, %d MB, %d accelerators", s.Cores, s.MemoryMB, s.Accelerators)
}

// Add returns s plus o.
func (s Size) Add(o Size) Size {
	return Size{s.Cores + o.Cores, s.MemoryMB + o.MemoryMB, s.Accelerators + o.Accelerators}
}

// Sub returns s minus o.
func (s Size) Sub(o Size) Size {
	return Size{s.Cores - o.Cores, s.MemoryMB - o.MemoryMB, s.Accelerators - o.Accelerators}
}

// Fits reports whether s is within limit in every dimension.
func (s Size) Fits(limit Size) bool {
	return s.Cores <= limit.Cores && s.MemoryMB <= limit.MemoryMB && s.Accelerators <= limit.Accelerators
}

// Team is a team with its quota for running jobs.
type Team struct {
	Name  galenahead.TeamName `cbor:"1,keyasint" json:"name"`
	Quota Size                `cbor:"2,keyasint" json:"quota"`
	// Used is the size of the team's jobs that have a worker.
	Used Size `cbor:"3,keyasint,omitzero" json:"used,omitzero"`
}

// Setting is a key with its value.
type Setting struct {
	Key   string `cbor:"1,keyasint" json:"key"`
	Value string `cbor:"2,keyasint" json:"value"`
}

// Job is a batch job and the state of its task.
type Job struct {
	ID           galenahead.JobID       `cbor:"1,keyasint" json:"id"`
	Team         galenahead.TeamName    `cbor:"2,keyasint" json:"team"`
	Pool         galenahead.PoolName    `cbor:"3,keyasint" json:"pool"`
	Service      galenahead.ServiceName `cbor:"4,keyasint,omitempty" json:"service,omitempty"`
	Cores        int32                  `cbor:"5,keyasint,omitempty" json:"cores"`
	MemoryMB     int32                  `cbor:"6,keyasint,omitempty" json:"memory_mb"`
	Accelerators int32                  `cbor:"7,keyasint,omitempty" json:"accelerators,omitempty"`
	Urgent       bool                   `cbor:"8,keyasint,omitempty" json:"urgent,omitempty"`
	State        JobState               `cbor:"9,keyasint,omitempty" json:"state"`
	// Worker is the VM that may run the job's task, until the task has ended.
	Worker galenahead.VMName `cbor:"10,keyasint,omitempty" json:"worker,omitempty"`
	// Epoch is the fencing token of the job's tasks. Each placement uses the next
	// epoch.
	Epoch galenahead.Epoch `cbor:"11,keyasint,omitempty" json:"epoch"`
	// Reason is why the job was parked, cancelled or returned to the queue.
	Reason string `cbor:"12,keyasint,omitempty" json:"reason,omitempty"`
	// FailedOn lists the different workers on which the job failed. It omits
	// workers on which tasks were only lost, and workers that were parked for
	// their failures.
	FailedOn []galenahead.VMName `cbor:"13,keyasint,omitempty" json:"failed_on,omitempty"`
	// SubmittedMS is when the job was accepted, in Unix milliseconds.
	SubmittedMS int64 `cbor:"14,keyasint,omitempty" json:"submitted_ms"`
}

// Size returns the declared size.
func (j Job) Size() Size {
	return Size{int64(j.Cores), int64(j.MemoryMB), int64(j.Accelerators)}
}

// Spec returns the job's specification.
func (j Job) Spec() galenahead.JobSpec {
	return galenahead.JobSpec{
		ID:           j.ID,
		Team:         j.Team,
		Pool:         j.Pool,
		Service:      j.Service,
		Cores:        int(j.Cores),
		MemoryMB:     int(j.MemoryMB),
		Accelerators: int(j.Accelerators),
		Urgent:       j.Urgent,
	}
}

// Wave is a maintenance wave, which reboots the VMs of a pool in turn.
type Wave struct {
	Name      string              `cbor:"1,keyasint" json:"name"`
	Pool      galenahead.PoolName `cbor:"2,keyasint" json:"pool"`
	State     WaveState           `cbor:"3,keyasint,omitempty" json:"state"`
	Reason    string              `cbor:"4,keyasint,omitempty" json:"reason,omitempty"`
	MaxAtOnce int32               `cbor:"5,keyasint" json:"max_at_once"`
	SettleMS  int64               `cbor:"6,keyasint,omitempty" json:"settle_ms"`
	// NextStep is the number that the next step must have.
	NextStep uint64 `cbor:"7,keyasint" json:"next"`
	// InProgress is the number of VMs that are draining, rebooting or settling.
	InProgress int32 `cbor:"8,keyasint,omitempty" json:"out"`
	// Failures is the number of failures since the wave was started or resumed.
	Failures int32 `cbor:"9,keyasint,omitempty" json:"failures"`
	// Failed lists the VMs that failed in the wave and are neither up again nor
	// removed.
	Failed    []galenahead.VMName `cbor:"10,keyasint,omitempty" json:"failed,omitempty"`
	StartedMS int64               `cbor:"11,keyasint,omitempty" json:"started_ms"`
	EndedMS   int64               `cbor:"12,keyasint,omitempty" json:"ended_ms,omitempty"`
	// LastStep is the newest step. A step with the same content is a repetition.
	LastStep WaveStep `cbor:"13,keyasint,omitzero" json:"-"`

	vms table[galenahead.VMName, WaveVM]
}

// Active reports whether the wave may take further VMs out of service, now or
// after it is resumed.
func (w Wave) Active() bool {
	return w.State == WaveRunning || w.State == WavePaused || w.State == WaveStopped
}

// Unavailable returns how many VMs the wave has out of service, including the
// failed ones.
func (w Wave) Unavailable() int32 { return w.InProgress + int32(len(w.Failed)) }

// VM returns the state of one VM in the wave, if the wave has started on it.
func (w Wave) VM(name galenahead.VMName) (WaveVM, bool) {
	v, ok := w.vms.get(name)
	if !ok {
		return WaveVM{}, false
	}
	return *v, true
}

// VMs returns the VMs that the wave has started on, sorted by name.
func (w Wave) VMs() []WaveVM { return w.vms.list() }

// WaveVM is the state of one VM in a wave.
type WaveVM struct {
	VM galenahead.VMName `cbor:"1,keyasint" json:"vm"`
	// Number is the number of the VM's newest step.
	Number uint64    `cbor:"2,keyasint" json:"number"`
	State  StepState `cbor:"3,keyasint,omitempty" json:"state"`
	// TimeMS is when the VM's newest step was accepted, in Unix milliseconds.
	TimeMS int64 `cbor:"4,keyasint,omitempty" json:"time_ms"`
}

// InProgress reports whether the VM is draining, rebooting or settling.
func (v WaveVM) InProgress() bool { return v.State <= StepSettling }
