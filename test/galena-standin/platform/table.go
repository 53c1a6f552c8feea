package platform

import (
	"sync"
	"time"

	"github.com/galenahead/galenahead/galenapb"
)

// States of a task and of a VM as the platform reports them.
const (
	stateRunning      = "running"
	stateDone         = "done"
	stateFailed       = "failed"
	stateStopped      = "stopped"
	stateCheckpointed = "checkpointed"
	stateExpired      = "expired"
	stateUnknown      = "unknown"
	stateUp           = "up"
	stateDraining     = "draining"
	stateDrained      = "drained"
	stateRebooting    = "rebooting"
)

// Evidence records what the platform observed. GET /evidence returns it as JSON.
type Evidence struct {
	// Starts counts the started tasks of each job.
	Starts map[string]int `json:"starts"`
	// OverlappingStarts counts starts of a job while an earlier task of it was still
	// running.
	OverlappingStarts int `json:"overlapping_starts"`
	// StaleEpochs counts commands that were rejected because of an old epoch.
	StaleEpochs int      `json:"stale_epochs"`
	Reboots     []Reboot `json:"reboots"`
	// RebootsWithTasks counts reboots that interrupted running tasks.
	RebootsWithTasks int `json:"reboots_with_tasks"`
}

// Reboot is one accepted reboot.
type Reboot struct {
	VM           string   `json:"vm"`
	Epoch        uint64   `json:"epoch"`
	RunningTasks []string `json:"running_tasks"`
}

type task struct {
	request  *galenapb.TaskRequest
	state    string
	started  time.Time
	expires  time.Time
	throttle int32
}

type vm struct {
	epoch uint64
	// state changes to nextState at nextStateAt, unless nextState is empty.
	state       string
	nextState   string
	nextStateAt time.Time
}

// table holds the tasks, leases and VMs. A VM is created when a command first
// names it.
type table struct {
	options *Options
	now     func() time.Time

	mu       sync.Mutex
	tasks    map[string]*task
	epochs   map[string]uint64
	vms      map[string]*vm
	evidence Evidence
}

func newTable(o *Options) *table {
	return &table{
		options:  o,
		now:      time.Now,
		tasks:    map[string]*task{},
		epochs:   map[string]uint64{},
		vms:      map[string]*vm{},
		evidence: Evidence{Starts: map[string]int{}, Reboots: []Reboot{}},
	}
}

// currentVM returns a VM after applying its state change if that is due.
func (t *table) currentVM(name string) *vm {
	v := t.vms[name]
	if v == nil {
		v = &vm{state: stateUp}
		t.vms[name] = v
	}
	if v.nextState != "" && !t.now().Before(v.nextStateAt) {
		v.state, v.nextState = v.nextState, ""
	}
	return v
}

func (v *vm) setState(to, next string, until time.Time) {
	v.state, v.nextState, v.nextStateAt = to, next, until
}

// currentTask returns the task of a job, or nil. A running task is first ended if
// its end is due.
func (t *table) currentTask(job string) *task {
	tk := t.tasks[job]
	if tk == nil || tk.state != stateRunning {
		return tk
	}
	now := t.now()
	ran := now.Sub(tk.started)
	switch {
	case t.options.tasksFailOn(tk.request.GetVm()) && ran >= t.options.FailAfter:
		tk.state = stateFailed
	case t.options.RunTime > 0 && ran >= t.options.RunTime:
		tk.state = stateDone
	case !now.Before(tk.expires):
		tk.state = stateExpired
	}
	return tk
}

// checkTaskEpoch reports whether the epoch of a task command is at least the highest
// epoch seen for the job, and records it.
func (t *table) checkTaskEpoch(r *galenapb.TaskRequest) bool {
	if r.GetEpoch() < t.epochs[r.GetJob()] {
		t.evidence.StaleEpochs++
		return false
	}
	t.epochs[r.GetJob()] = r.GetEpoch()
	return true
}

func (t *table) taskReply(job string, accepted bool) *galenapb.TaskReply {
	state := stateUnknown
	if tk := t.currentTask(job); tk != nil {
		state = tk.state
	}
	return &galenapb.TaskReply{Accepted: accepted, State: state, Epoch: t.epochs[job]}
}

// startTask starts a task. It is idempotent for the same job, epoch and VM.
func (t *table) startTask(r *galenapb.TaskRequest) *galenapb.TaskReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.checkTaskEpoch(r) || t.currentVM(r.GetVm()).state != stateUp {
		return t.taskReply(r.GetJob(), false)
	}
	if tk := t.currentTask(r.GetJob()); tk != nil {
		same := tk.request.GetEpoch() == r.GetEpoch() && tk.request.GetVm() == r.GetVm()
		if same {
			return t.taskReply(r.GetJob(), true)
		}
		if tk.state == stateRunning {
			t.evidence.OverlappingStarts++
		}
	}
	now := t.now()
	t.tasks[r.GetJob()] = &task{request: r, state: stateRunning, started: now, expires: now.Add(leaseDuration(r))}
	t.evidence.Starts[r.GetJob()]++
	return t.taskReply(r.GetJob(), true)
}

func leaseDuration(r *galenapb.TaskRequest) time.Duration {
	return time.Duration(r.GetLeaseMs()) * time.Millisecond
}

// updateTask changes a running task with apply.
func (t *table) updateTask(r *galenapb.TaskRequest, apply func(*task)) *galenapb.TaskReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	tk := t.currentTask(r.GetJob())
	if !t.checkTaskEpoch(r) || tk == nil || tk.state != stateRunning || tk.request.GetVm() != r.GetVm() {
		return t.taskReply(r.GetJob(), false)
	}
	apply(tk)
	return t.taskReply(r.GetJob(), true)
}

// runningJobs returns the jobs with a running task on a VM.
func (t *table) runningJobs(name string) []string {
	jobs := []string{}
	for job := range t.tasks {
		if tk := t.currentTask(job); tk.state == stateRunning && tk.request.GetVm() == name {
			jobs = append(jobs, job)
		}
	}
	return jobs
}

func (t *table) vmUsage(name string) *galenapb.UsageReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	r := &galenapb.UsageReply{MeasuredAtMs: now.Add(-t.options.UsageLag).UnixMilli()}
	for _, job := range t.runningJobs(name) {
		tk := t.tasks[job]
		r.Tasks = append(r.Tasks, t.taskReply(job, true))
		if now.Sub(tk.started) < t.options.UsageLag {
			continue
		}
		share := t.options.UseShare * float64(tk.throttle) / 100
		if tk.throttle == 0 {
			share = t.options.UseShare
		}
		r.CoresUsedMilli += int32(share * float64(tk.request.GetCores()) * 1000)
		r.MemoryUsedMb += int32(t.options.UseShare * float64(tk.request.GetMemoryMb()))
	}
	return r
}

// checkVMEpoch reports whether the epoch of a VM command is at least the highest
// epoch seen for the VM, and records it.
func (t *table) checkVMEpoch(r *galenapb.VMRequest) (*vm, bool) {
	v := t.currentVM(r.GetVm())
	if r.GetEpoch() < v.epoch {
		t.evidence.StaleEpochs++
		return v, false
	}
	v.epoch = r.GetEpoch()
	return v, true
}

func (t *table) drainVM(r *galenapb.VMRequest) *galenapb.VMReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	v, ok := t.checkVMEpoch(r)
	if !ok || v.state == stateRebooting {
		return &galenapb.VMReply{State: v.state}
	}
	if v.state == stateUp {
		v.setState(stateDraining, stateDrained, t.now().Add(t.options.DrainTime))
		v = t.currentVM(r.GetVm())
	}
	return &galenapb.VMReply{Accepted: true, State: v.state}
}

// resumeVM returns a drained or draining VM to service.
func (t *table) resumeVM(r *galenapb.VMRequest) *galenapb.VMReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	v, ok := t.checkVMEpoch(r)
	if !ok || v.state == stateRebooting {
		return &galenapb.VMReply{State: v.state}
	}
	v.state, v.nextState = stateUp, ""
	return &galenapb.VMReply{Accepted: true, State: v.state}
}

// rebootVM reboots a drained VM, even if tasks run on it. It accepts a repeated
// command for a VM that is rebooting.
func (t *table) rebootVM(r *galenapb.VMRequest) *galenapb.VMReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	v, ok := t.checkVMEpoch(r)
	if !ok || v.state != stateDrained {
		return &galenapb.VMReply{Accepted: ok && v.state == stateRebooting, State: v.state}
	}
	jobs := t.runningJobs(r.GetVm())
	for _, job := range jobs {
		t.tasks[job].state = stateStopped
	}
	if len(jobs) > 0 {
		t.evidence.RebootsWithTasks++
	}
	t.evidence.Reboots = append(t.evidence.Reboots, Reboot{VM: r.GetVm(), Epoch: r.GetEpoch(), RunningTasks: jobs})
	v.setState(stateRebooting, stateUp, t.now().Add(t.options.RebootTime))
	return &galenapb.VMReply{Accepted: true, State: v.state}
}
