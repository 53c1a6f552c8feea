package galenacontrol

import (
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenaplace"
	"github.com/galenahead/galenahead/galenastate"
)

// workerIndex keeps the placer in step with the control state. It touches the
// placer only for records that changed.
type workerIndex struct {
	placer *galenaplace.Index
	// tasks is what the placer knows.
	tasks map[galenahead.JobID]placedTask
	// unknown holds the jobs whose worker the placer did not know. They are tried
	// again, since a VM of that name may be added later.
	unknown  map[galenahead.JobID]*galenastate.Job
	revision galenahead.Revision
}

// placedTask is where the placer believes a job to run.
type placedTask struct {
	worker galenahead.VMName
	epoch  galenahead.Epoch
}

func newWorkerIndex() *workerIndex {
	return &workerIndex{
		placer: &galenaplace.Index{}, tasks: make(map[galenahead.JobID]placedTask),
		unknown: make(map[galenahead.JobID]*galenastate.Job),
	}
}

// sync brings the placer up to date with the view, which differs by c from the
// one of the last call.
func (x *workerIndex) sync(v *galenastate.View, c changes, now time.Time) {
	// Pools and quotas change only with the revision.
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
		w := workerOf(vm)
		if old, ok := c.older.VM(vm.Name); !ok || workerOf(&old) != w {
			x.placer.SetWorker(w)
		}
	}
	for _, name := range c.removedVMs {
		x.placer.RemoveWorker(name)
	}
}

func (x *workerIndex) syncTasks(c changes, now time.Time) {
	for _, id := range c.removedJobs {
		x.end(id, now)
	}
	for _, j := range c.jobs {
		at := placedTask{worker: j.Worker, epoch: j.Epoch}
		if x.tasks[j.ID] != at || j.Worker == "" {
			x.end(j.ID, now)
		}
		if _, known := x.tasks[j.ID]; !known && j.Worker != "" {
			x.unknown[j.ID] = j
		}
	}
	for _, j := range x.unknown {
		x.start(j, now)
	}
}

func (x *workerIndex) end(id galenahead.JobID, now time.Time) {
	delete(x.unknown, id)
	if _, known := x.tasks[id]; known {
		x.placer.End(id, now)
		delete(x.tasks, id)
	}
}

func (x *workerIndex) start(j *galenastate.Job, now time.Time) {
	// A worker that was removed meanwhile has no room to account for.
	if err := x.placer.Start(j.Spec(), j.Worker, now); err != nil {
		return
	}
	delete(x.unknown, j.ID)
	x.tasks[j.ID] = placedTask{worker: j.Worker, epoch: j.Epoch}
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
