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

// Evidence is what the platform has seen, as JSON at GET /evidence.
type Evidence struct {
	// Starts counts the tasks started for each job.
	Starts map[string]int `json:"starts"`
	// OverlappingStarts counts starts of a job that still ran elsewhere.
	OverlappingStarts int `json:"overlapping_starts"`
	// StaleEpochs counts commands refused for an older epoch.
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
	// state changes to next at the time until.
	state string
	next  string
	until time.Time
}

// table holds the tasks, leases and VMs. A VM exists from its first mention.
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

// vm returns a VM after the state change that is due.
func (t *table) vm(name string) *vm {
	v := t.vms[name]
	if v == nil {
		v = &vm{state: stateUp}
		t.vms[name] = v
	}
	if v.next != "" && !t.now().Before(v.until) {
		v.state, v.next = v.next, ""
	}
	return v
}

func (v *vm) change(to, next string, until time.Time) {
	v.state, v.next, v.until = to, next, until
}

// current returns a task after the end that is due, or nil.
func (t *table) current(job string) *task {
	k := t.tasks[job]
	if k == nil || k.state != stateRunning {
		return k
	}
	now := t.now()
	ran := now.Sub(k.started)
	switch {
	case t.options.fails(k.request.GetVm()) && ran >= t.options.FailAfter:
		k.state = stateFailed
	case t.options.RunTime > 0 && ran >= t.options.RunTime:
		k.state = stateDone
	case !now.Before(k.expires):
		k.state = stateExpired
	}
	return k
}

// admit tells whether a task command is not older than the newest for the job.
func (t *table) admit(r *galenapb.TaskRequest) bool {
	if r.GetEpoch() < t.epochs[r.GetJob()] {
		t.evidence.StaleEpochs++
		return false
	}
	t.epochs[r.GetJob()] = r.GetEpoch()
	return true
}

func (t *table) reply(job string, accepted bool) *galenapb.TaskReply {
	state := stateUnknown
	if k := t.current(job); k != nil {
		state = k.state
	}
	return &galenapb.TaskReply{Accepted: accepted, State: state, Epoch: t.epochs[job]}
}

// start is idempotent for the same job, epoch and VM.
func (t *table) start(r *galenapb.TaskRequest) *galenapb.TaskReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.admit(r) || t.vm(r.GetVm()).state != stateUp {
		return t.reply(r.GetJob(), false)
	}
	if k := t.current(r.GetJob()); k != nil {
		same := k.request.GetEpoch() == r.GetEpoch() && k.request.GetVm() == r.GetVm()
		if same {
			return t.reply(r.GetJob(), true)
		}
		if k.state == stateRunning {
			t.evidence.OverlappingStarts++
		}
	}
	now := t.now()
	t.tasks[r.GetJob()] = &task{request: r, state: stateRunning, started: now, expires: now.Add(lease(r))}
	t.evidence.Starts[r.GetJob()]++
	return t.reply(r.GetJob(), true)
}

func lease(r *galenapb.TaskRequest) time.Duration {
	return time.Duration(r.GetLeaseMs()) * time.Millisecond
}

// update applies fn to a running task.
func (t *table) update(r *galenapb.TaskRequest, fn func(*task)) *galenapb.TaskReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.current(r.GetJob())
	if !t.admit(r) || k == nil || k.state != stateRunning || k.request.GetVm() != r.GetVm() {
		return t.reply(r.GetJob(), false)
	}
	fn(k)
	return t.reply(r.GetJob(), true)
}

// running returns the jobs with a running task on a VM.
func (t *table) running(name string) []string {
	jobs := []string{}
	for job := range t.tasks {
		if k := t.current(job); k.state == stateRunning && k.request.GetVm() == name {
			jobs = append(jobs, job)
		}
	}
	return jobs
}

func (t *table) usage(name string) *galenapb.UsageReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	r := &galenapb.UsageReply{MeasuredAtMs: now.Add(-t.options.UsageLag).UnixMilli()}
	for _, job := range t.running(name) {
		k := t.tasks[job]
		r.Tasks = append(r.Tasks, t.reply(job, true))
		if now.Sub(k.started) < t.options.UsageLag {
			continue
		}
		share := t.options.UseShare * float64(k.throttle) / 100
		if k.throttle == 0 {
			share = t.options.UseShare
		}
		r.CoresUsedMilli += int32(share * float64(k.request.GetCores()) * 1000)
		r.MemoryUsedMb += int32(t.options.UseShare * float64(k.request.GetMemoryMb()))
	}
	return r
}

// admitVM tells whether a VM command is not older than the newest for the VM.
func (t *table) admitVM(r *galenapb.VMRequest) (*vm, bool) {
	v := t.vm(r.GetVm())
	if r.GetEpoch() < v.epoch {
		t.evidence.StaleEpochs++
		return v, false
	}
	v.epoch = r.GetEpoch()
	return v, true
}

func (t *table) drain(r *galenapb.VMRequest) *galenapb.VMReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	v, ok := t.admitVM(r)
	if !ok || v.state == stateRebooting {
		return &galenapb.VMReply{State: v.state}
	}
	if v.state == stateUp {
		v.change(stateDraining, stateDrained, t.now().Add(t.options.DrainTime))
		v = t.vm(r.GetVm())
	}
	return &galenapb.VMReply{Accepted: true, State: v.state}
}

// resume returns a drained or draining VM to service.
func (t *table) resume(r *galenapb.VMRequest) *galenapb.VMReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	v, ok := t.admitVM(r)
	if !ok || v.state == stateRebooting {
		return &galenapb.VMReply{State: v.state}
	}
	v.state, v.next = stateUp, ""
	return &galenapb.VMReply{Accepted: true, State: v.state}
}

// reboot accepts a drained VM, with or without running tasks, and a repeated
// command for a VM that is rebooting.
func (t *table) reboot(r *galenapb.VMRequest) *galenapb.VMReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	v, ok := t.admitVM(r)
	if !ok || v.state != stateDrained {
		return &galenapb.VMReply{Accepted: ok && v.state == stateRebooting, State: v.state}
	}
	jobs := t.running(r.GetVm())
	for _, job := range jobs {
		t.tasks[job].state = stateStopped
	}
	if len(jobs) > 0 {
		t.evidence.RebootsWithTasks++
	}
	t.evidence.Reboots = append(t.evidence.Reboots, Reboot{VM: r.GetVm(), Epoch: r.GetEpoch(), RunningTasks: jobs})
	v.change(stateRebooting, stateUp, t.now().Add(t.options.RebootTime))
	return &galenapb.VMReply{Accepted: true, State: v.state}
}
