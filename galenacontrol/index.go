package galenacontrol

import (
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenaplace"
	"github.com/galenahead/galenahead/galenastate"
)

// workerIndex keeps the placer in step with the control state. It looks at
// every record on each sync and touches the placer only where one differs.
type workerIndex struct {
	placer *galenaplace.Index
	// workers and tasks are what the placer knows.
	workers map[galenahead.VMName]galenaplace.Worker
	tasks   map[galenahead.JobID]placedTask
}

// placedTask is where the placer believes a job to run.
type placedTask struct {
	worker galenahead.VMName
	epoch  galenahead.Epoch
}

func newWorkerIndex() *workerIndex {
	return &workerIndex{
		placer:  &galenaplace.Index{},
		workers: make(map[galenahead.VMName]galenaplace.Worker),
		tasks:   make(map[galenahead.JobID]placedTask),
	}
}

// sync brings the placer up to date with the view.
func (x *workerIndex) sync(v *galenastate.View, now time.Time) {
	for _, p := range v.Pools() {
		x.placer.SetPool(p.Name, p.Spare)
	}
	for _, t := range v.Teams() {
		x.placer.SetQuota(t.Name, galenaplace.Quota{
			Cores: int(t.Quota.Cores), MemoryMB: int(t.Quota.MemoryMB), Accelerators: int(t.Quota.Accelerators),
		})
	}
	x.syncWorkers(v)
	x.syncTasks(v, now)
}

func (x *workerIndex) syncWorkers(v *galenastate.View) {
	for vm := range v.VMs() {
		w := workerOf(vm)
		if x.workers[vm.Name] != w {
			x.placer.SetWorker(w)
			x.workers[vm.Name] = w
		}
	}
	if len(x.workers) == v.VMCount() {
		return
	}
	for name := range x.workers {
		if _, ok := v.VM(name); !ok {
			x.placer.RemoveWorker(name)
			delete(x.workers, name)
		}
	}
}

func (x *workerIndex) syncTasks(v *galenastate.View, now time.Time) {
	for j := range v.Jobs() {
		at := placedTask{worker: j.Worker, epoch: j.Epoch}
		old, known := x.tasks[j.ID]
		if known && (old != at || j.Worker == "") {
			x.placer.End(j.ID, now)
			delete(x.tasks, j.ID)
			known = false
		}
		if !known && j.Worker != "" {
			x.start(j, at, now)
		}
	}
	for id := range x.tasks {
		if _, ok := v.Job(id); !ok {
			x.placer.End(id, now)
			delete(x.tasks, id)
		}
	}
}

func (x *workerIndex) start(j *galenastate.Job, at placedTask, now time.Time) {
	// A worker that was removed meanwhile has no room to account for.
	if err := x.placer.Start(j.Spec(), at.worker, now); err != nil {
		return
	}
	x.tasks[j.ID] = at
}

// workerOf returns a VM as the placer sees it.
func workerOf(vm *galenastate.VM) galenaplace.Worker {
	w := galenaplace.Worker{
		Name: vm.Name, Pool: vm.Pool, DataCentre: vm.DataCentre, Rack: vm.Rack,
		Cores: int(vm.Cores), MemoryMB: int(vm.MemoryMB), Accelerators: int(vm.Accelerators),
	}
	switch {
	case vm.Parked:
		w.Condition = galenaplace.Parked
	case vm.Phase == galenastate.PhaseOwned && vm.Condition == galenastate.ConditionUp:
		w.Condition = galenaplace.Up
	default:
		w.Condition = galenaplace.Draining
	}
	return w
}

// placed records a placement of a queued job that was committed just now, so
// that the next placements of the same step see it.
func (x *workerIndex) placed(j galenastate.Job, p galenahead.Placement, now time.Time) {
	// The next sync repairs a difference.
	if err := x.placer.Commit(j.Spec(), p, now); err != nil {
		return
	}
	x.tasks[j.ID] = placedTask{worker: p.Worker, epoch: j.Epoch + 1}
}
