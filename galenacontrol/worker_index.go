package galenacontrol

import (
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenaplace"
	"github.com/galenahead/galenahead/galenastate"
)

// workerIndex keeps the placer in sync with the control state. It updates the
// placer only for records that changed.
type workerIndex struct {
	placer *galenaplace.Index
	// tasks contains the tasks that the placer has recorded.
	tasks map[galenahead.JobID]placedTask
	// unknownWorker contains the jobs whose worker the placer does not know. They
	// are retried, because a VM of that name may be added later.
	unknownWorker map[galenahead.JobID]*galenastate.Job
	revision      galenahead.Revision
}

// placedTask is the worker on which a job runs according to the placer, and the
// epoch of the job there.
type placedTask struct {
	worker galenahead.VMName
	epoch  galenahead.Epoch
}

func newWorkerIndex() *workerIndex {
	return &workerIndex{
		placer: &galenaplace.Index{}, tasks: make(map[galenahead.JobID]placedTask),
		unknownWorker: make(map[galenahead.JobID]*galenastate.Job),
	}
}

// sync updates the placer to the view v. The changes since the view of the last
// call are c.
func (x *workerIndex) sync(v *galenastate.View, c changes, now time.Time) {
	// A change of pools or quotas always increases the revision.
	if x.revision != v.Revision() {
		x.syncPools(v)
		x.revision = v.Revision()
	}
	x.syncWorkers(c)
	x.syncTasks(c, now)
}

func (x *workerIndex) syncPools(v *galenastate.View) {
	for _, p := range v.Pools() {
		x.placer.SetPool(p.Name, p.Spare)
	}
	for _, t := range v.Teams() {
		x.placer.SetQuota(t.Name, galenaplace.Quota{
			Cores: int(t.Quota.Cores), MemoryMB: int(t.Quota.MemoryMB), Accelerators: int(t.Quota.Accelerators),
		})
	}
}

func (x *workerIndex) syncWorkers(c changes) {
	for _, vm := range c.vms {
		w := workerFromVM(vm)
		if old, ok := c.previous.VM(vm.Name); !ok || workerFromVM(&old) != w {
			x.placer.SetWorker(w)
		}
	}
	for _, name := range c.removedVMs {
		x.placer.RemoveWorker(name)
	}
}

func (x *workerIndex) syncTasks(c changes, now time.Time) {
	for _, id := range c.removedJobs {
		x.endTask(id, now)
	}
	for _, j := range c.jobs {
		placed := placedTask{worker: j.Worker, epoch: j.Epoch}
		if x.tasks[j.ID] != placed || j.Worker == "" {
			x.endTask(j.ID, now)
		}
		if _, known := x.tasks[j.ID]; !known && j.Worker != "" {
			x.unknownWorker[j.ID] = j
		}
	}
	for _, j := range x.unknownWorker {
		x.startTask(j, now)
	}
}

func (x *workerIndex) endTask(id galenahead.JobID, now time.Time) {
	delete(x.unknownWorker, id)
	if _, known := x.tasks[id]; known {
		x.placer.End(id, now)
		delete(x.tasks, id)
	}
}

func (x *workerIndex) startTask(j *galenastate.Job, now time.Time) {
	// A worker that was removed has no capacity to account for.
	if err := x.placer.Start(j.Spec(), j.Worker, now); err != nil {
		return
	}
	delete(x.unknownWorker, j.ID)
	x.tasks[j.ID] = placedTask{worker: j.Worker, epoch: j.Epoch}
}

// workerFromVM converts a VM to a worker of the placer.
func workerFromVM(vm *galenastate.VM) galenaplace.Worker {
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

// recordPlacement records the committed placement of a queued job in the placer,
// so that later placements of the same reconciliation take it into account.
func (x *workerIndex) recordPlacement(j galenastate.Job, placement galenahead.Placement, now time.Time) {
	// If this fails, the next sync records the task.
	if err := x.placer.Commit(j.Spec(), placement, now); err != nil {
		return
	}
	x.tasks[j.ID] = placedTask{worker: placement.Worker, epoch: j.Epoch + 1}
}
