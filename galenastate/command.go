package galenastate

import (
	"github.com/galenahead/galenahead"
)

// Command is one record of the replicated log. An operator change needs a
// request id, an operator and a base revision. A driver change, which the
// leading control daemon proposes on its own, is fenced by an epoch or a step
// number instead, and its request id is not stored.
type Command struct {
	RequestID    string              `cbor:"1,keyasint,omitempty" json:"request_id,omitempty"`
	BaseRevision galenahead.Revision `cbor:"2,keyasint,omitempty" json:"base_revision,omitempty"`
	Operator     string              `cbor:"3,keyasint,omitempty" json:"operator,omitempty"`
	// TimeMS is the proposer's clock, in Unix milliseconds.
	TimeMS int64  `cbor:"4,keyasint,omitempty" json:"time_ms,omitempty"`
	Change Change `cbor:"5,keyasint" json:"change"`
}

// Change is a union: exactly one field is set.
type Change struct {
	PoolSet      *Pool          `cbor:"1,keyasint,omitempty" json:"pool_set,omitempty"`
	VMAdd        *VMAdd         `cbor:"2,keyasint,omitempty" json:"vm_add,omitempty"`
	VMRemove     *VMRemove      `cbor:"3,keyasint,omitempty" json:"vm_remove,omitempty"`
	VMMove       *VMMove        `cbor:"4,keyasint,omitempty" json:"vm_move,omitempty"`
	VMReleased   *VMReleased    `cbor:"5,keyasint,omitempty" json:"vm_released,omitempty"`
	VMAcquire    *VMAcquire     `cbor:"6,keyasint,omitempty" json:"vm_acquire,omitempty"`
	VMAcquired   *VMAcquired    `cbor:"7,keyasint,omitempty" json:"vm_acquired,omitempty"`
	VMCondition  *VMCondition   `cbor:"8,keyasint,omitempty" json:"vm_condition,omitempty"`
	ServiceSet   *Service       `cbor:"9,keyasint,omitempty" json:"service_set,omitempty"`
	TeamSet      *TeamSet       `cbor:"10,keyasint,omitempty" json:"team_set,omitempty"`
	SettingSet   *Setting       `cbor:"11,keyasint,omitempty" json:"setting_set,omitempty"`
	WaveStart    *WaveStart     `cbor:"12,keyasint,omitempty" json:"wave_start,omitempty"`
	WaveControl  *WaveControl   `cbor:"13,keyasint,omitempty" json:"wave_control,omitempty"`
	WaveStep     *WaveStep      `cbor:"14,keyasint,omitempty" json:"wave_step,omitempty"`
	JobSubmit    *JobSubmit     `cbor:"15,keyasint,omitempty" json:"job_submit,omitempty"`
	JobCancel    *JobCancel     `cbor:"16,keyasint,omitempty" json:"job_cancel,omitempty"`
	JobPlaced    *JobPlacement  `cbor:"17,keyasint,omitempty" json:"job_placed,omitempty"`
	JobStarted   *JobEvent      `cbor:"18,keyasint,omitempty" json:"job_started,omitempty"`
	JobFinished  *JobEvent      `cbor:"19,keyasint,omitempty" json:"job_finished,omitempty"`
	JobFailed    *JobFailure    `cbor:"20,keyasint,omitempty" json:"job_failed,omitempty"`
	JobParked    *JobEvent      `cbor:"21,keyasint,omitempty" json:"job_parked,omitempty"`
	WorkerParked *WorkerParking `cbor:"22,keyasint,omitempty" json:"worker_parked,omitempty"`
}

// VMAdd adds a VM to a pool.
type VMAdd struct {
	Name         galenahead.VMName     `cbor:"1,keyasint" json:"name"`
	Pool         galenahead.PoolName   `cbor:"2,keyasint" json:"pool"`
	DataCentre   galenahead.DataCentre `cbor:"3,keyasint" json:"data_centre"`
	Rack         galenahead.RackName   `cbor:"4,keyasint" json:"rack"`
	Address      string                `cbor:"5,keyasint,omitempty" json:"address,omitempty"`
	Cores        int32                 `cbor:"6,keyasint,omitempty" json:"cores,omitempty"`
	MemoryMB     int32                 `cbor:"7,keyasint,omitempty" json:"memory_mb,omitempty"`
	Accelerators int32                 `cbor:"8,keyasint,omitempty" json:"accelerators,omitempty"`
}

// VMRemove removes a VM. A free VM is deleted at once. Any other VM is released
// first and deleted when the release is proved.
type VMRemove struct {
	VM galenahead.VMName `cbor:"1,keyasint" json:"vm"`
}

// VMMove starts a move: the VM enters PhaseReleasing.
type VMMove struct {
	VM     galenahead.VMName   `cbor:"1,keyasint" json:"vm"`
	ToPool galenahead.PoolName `cbor:"2,keyasint" json:"to_pool"`
	// Epoch is zero for an operator's move, which changes the VM's home pool. The
	// planner's moves carry the VM's epoch and leave the home pool unchanged.
	Epoch galenahead.Epoch `cbor:"3,keyasint,omitempty" json:"epoch,omitempty"`
	// Reason is what the planner based the move on.
	Reason string `cbor:"4,keyasint,omitempty" json:"reason,omitempty"`
}

// VMReleased proves that the old pool stopped using the VM: every broker
// reports that no slots of it are granted, and every task lease has ended or
// expired.
type VMReleased struct {
	VM    galenahead.VMName `cbor:"1,keyasint" json:"vm"`
	Epoch galenahead.Epoch  `cbor:"2,keyasint" json:"epoch"`
	// SlotsOut is the number of slots that brokers count as granted.
	SlotsOut int32 `cbor:"3,keyasint,omitempty" json:"slots_out"`
	// Tasks is the number of tasks whose leases have neither ended nor expired.
	Tasks int32 `cbor:"4,keyasint,omitempty" json:"tasks"`
	// BrokerRevision is the oldest configuration revision that a broker had applied
	// when it reported.
	BrokerRevision galenahead.Revision `cbor:"5,keyasint,omitempty" json:"in_force"`
}

// VMAcquire assigns a free VM to the target pool of its move, under a new
// epoch. Epoch is the released epoch.
type VMAcquire struct {
	VM    galenahead.VMName `cbor:"1,keyasint" json:"vm"`
	Epoch galenahead.Epoch  `cbor:"2,keyasint" json:"epoch"`
}

// VMAcquired completes a move once the new pool uses the VM. Epoch is the one
// that VMAcquire assigned.
type VMAcquired struct {
	VM    galenahead.VMName `cbor:"1,keyasint" json:"vm"`
	Epoch galenahead.Epoch  `cbor:"2,keyasint" json:"epoch"`
}

// VMCondition records what the platform reports of a VM outside of a wave.
// While a wave has taken the VM out of service, the VM can only be reported
// down, which counts as a failure in the wave. A VM must not be reported down
// because it does not answer during its reboot.
type VMCondition struct {
	VM        galenahead.VMName `cbor:"1,keyasint" json:"vm"`
	Epoch     galenahead.Epoch  `cbor:"2,keyasint" json:"epoch"`
	Condition Condition         `cbor:"3,keyasint,omitempty" json:"condition"`
}

// TeamSet sets a team's quota.
type TeamSet struct {
	Name  galenahead.TeamName `cbor:"1,keyasint" json:"name"`
	Quota Size                `cbor:"2,keyasint" json:"quota"`
}

// WaveStart starts a wave over the VMs of a pool.
type WaveStart struct {
	Name string              `cbor:"1,keyasint" json:"name"`
	Pool galenahead.PoolName `cbor:"2,keyasint" json:"pool"`
	// MaxAtOnce is how many VMs may be out of service at the same time; 0 derives
	// the limit from the weights buffer_cost and rollout_time.
	MaxAtOnce int32 `cbor:"3,keyasint,omitempty" json:"max_at_once,omitempty"`
	SettleMS  int64 `cbor:"4,keyasint,omitempty" json:"settle_ms,omitempty"`
}

// WaveControl pauses, resumes or cancels a wave.
type WaveControl struct {
	Name   string     `cbor:"1,keyasint" json:"name"`
	Action WaveAction `cbor:"2,keyasint,omitempty" json:"action"`
}

// WaveStep is one numbered step of a wave. Number must be the wave's next step
// number.
type WaveStep struct {
	Wave   string            `cbor:"1,keyasint" json:"wave"`
	Number uint64            `cbor:"2,keyasint" json:"number"`
	Action StepAction        `cbor:"3,keyasint,omitempty" json:"action"`
	VM     galenahead.VMName `cbor:"4,keyasint,omitempty" json:"vm,omitempty"`
	Reason string            `cbor:"5,keyasint,omitempty" json:"reason,omitempty"`
	// SlotsOut and Tasks are the granted slots and the running tasks that brokers
	// and workers reported before a reboot. Both must be zero.
	SlotsOut int32 `cbor:"6,keyasint,omitempty" json:"slots_out,omitempty"`
	Tasks    int32 `cbor:"7,keyasint,omitempty" json:"tasks,omitempty"`
	// BrokerRevision is the oldest configuration revision that a broker had applied
	// when it reported.
	BrokerRevision galenahead.Revision `cbor:"8,keyasint,omitempty" json:"in_force,omitempty"`
}

// JobSubmit queues a job.
type JobSubmit struct {
	ID           galenahead.JobID       `cbor:"1,keyasint" json:"id"`
	Team         galenahead.TeamName    `cbor:"2,keyasint" json:"team"`
	Pool         galenahead.PoolName    `cbor:"3,keyasint" json:"pool"`
	Service      galenahead.ServiceName `cbor:"4,keyasint,omitempty" json:"service,omitempty"`
	Cores        int32                  `cbor:"5,keyasint,omitempty" json:"cores"`
	MemoryMB     int32                  `cbor:"6,keyasint,omitempty" json:"memory_mb"`
	Accelerators int32                  `cbor:"7,keyasint,omitempty" json:"accelerators,omitempty"`
	Urgent       bool                   `cbor:"8,keyasint,omitempty" json:"urgent,omitempty"`
}

// JobCancel cancels a job. A job that has a worker keeps it until its task ends.
type JobCancel struct {
	ID galenahead.JobID `cbor:"1,keyasint" json:"id"`
}

// JobPlacement assigns a queued job to a worker.
type JobPlacement struct {
	Job galenahead.JobID `cbor:"1,keyasint" json:"job"`
	// Epoch is the job's epoch plus one.
	Epoch  galenahead.Epoch  `cbor:"2,keyasint" json:"epoch"`
	Worker galenahead.VMName `cbor:"3,keyasint" json:"worker"`
	// WorkerEpoch is the worker's epoch at the time of the decision.
	WorkerEpoch galenahead.Epoch `cbor:"4,keyasint" json:"worker_epoch"`
}

// JobEvent reports on the job's task of the given epoch.
type JobEvent struct {
	Job    galenahead.JobID `cbor:"1,keyasint" json:"job"`
	Epoch  galenahead.Epoch `cbor:"2,keyasint" json:"epoch"`
	Reason string           `cbor:"3,keyasint,omitempty" json:"reason,omitempty"`
}

// JobFailure reports a task that ended without success. The job returns to the
// queue or is parked.
type JobFailure struct {
	Job    galenahead.JobID `cbor:"1,keyasint" json:"job"`
	Epoch  galenahead.Epoch `cbor:"2,keyasint" json:"epoch"`
	Reason string           `cbor:"3,keyasint,omitempty" json:"reason,omitempty"`
	// Lost is set if the task ended through preemption, a drain or the loss of its
	// VM. Such a failure counts against neither the job nor the worker.
	Lost bool `cbor:"4,keyasint,omitempty" json:"lost,omitempty"`
}

// WorkerParking parks a worker, which then gets no jobs, or returns it to
// service.
type WorkerParking struct {
	VM     galenahead.VMName `cbor:"1,keyasint" json:"vm"`
	Epoch  galenahead.Epoch  `cbor:"2,keyasint" json:"epoch"`
	Parked bool              `cbor:"3,keyasint,omitempty" json:"parked"`
}

// Encode returns c as a log record.
func (c Command) Encode() ([]byte, error) { return encoding.Marshal(c) }

// DecodeCommand decodes a log record.
func DecodeCommand(record []byte) (Command, error) {
	var c Command
	err := decoding.Unmarshal(record, &c)
	return c, err
}

// Kind returns the name of the change, or "" unless exactly one is set.
func (c Change) Kind() string {
	kinds := []struct {
		set  bool
		name string
	}{
		{c.PoolSet != nil, "pool_set"},
		{c.VMAdd != nil, "vm_add"},
		{c.VMRemove != nil, "vm_remove"},
		{c.VMMove != nil, "vm_move"},
		{c.VMReleased != nil, "vm_released"},
		{c.VMAcquire != nil, "vm_acquire"},
		{c.VMAcquired != nil, "vm_acquired"},
		{c.VMCondition != nil, "vm_condition"},
		{c.ServiceSet != nil, "service_set"},
		{c.TeamSet != nil, "team_set"},
		{c.SettingSet != nil, "setting_set"},
		{c.WaveStart != nil, "wave_start"},
		{c.WaveControl != nil, "wave_control"},
		{c.WaveStep != nil, "wave_step"},
		{c.JobSubmit != nil, "job_submit"},
		{c.JobCancel != nil, "job_cancel"},
		{c.JobPlaced != nil, "job_placed"},
		{c.JobStarted != nil, "job_started"},
		{c.JobFinished != nil, "job_finished"},
		{c.JobFailed != nil, "job_failed"},
		{c.JobParked != nil, "job_parked"},
		{c.WorkerParked != nil, "worker_parked"},
	}
	kind := ""
	for _, k := range kinds {
		if !k.set {
			continue
		}
		if kind != "" {
			return ""
		}
		kind = k.name
	}
	return kind
}

// FromDriver reports whether the change is fenced by an epoch or a step number
// instead of a base revision.
func (c Change) FromDriver() bool {
	if c.VMMove != nil {
		return c.VMMove.Epoch != 0
	}
	switch {
	case c.PoolSet != nil, c.VMAdd != nil, c.VMRemove != nil, c.ServiceSet != nil, c.TeamSet != nil, c.SettingSet != nil:
		return false
	case c.WaveStart != nil, c.WaveControl != nil, c.JobSubmit != nil, c.JobCancel != nil:
		return false
	}
	return true
}
