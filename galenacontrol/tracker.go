package galenacontrol

import (
	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenastate"
)

// tracker maintains selections of VMs and jobs across reconciliations, so that the
// cost of one depends on the number of changed records and not on the number of
// all records. Records are immutable and are stored by pointer.
type tracker struct {
	lastView *galenastate.View
	// outOfService contains the VMs that are moving, in a wave or down.
	outOfService map[galenahead.VMName]*galenastate.VM
	// queued contains the jobs that wait for a worker, tasks those that have one.
	queued, tasks map[galenahead.JobID]*galenastate.Job
	// sparePool is the spare pool, or empty. reserveCount is the number of its VMs
	// held in reserve.
	sparePool    galenahead.PoolName
	reserveCount int
}

// changes contains the records that changed since the view previous.
type changes struct {
	previous    *galenastate.View
	vms         []*galenastate.VM
	removedVMs  []galenahead.VMName
	jobs        []*galenastate.Job
	removedJobs []galenahead.JobID
}

func newTracker() *tracker {
	return &tracker{
		lastView:     &galenastate.View{},
		outOfService: make(map[galenahead.VMName]*galenastate.VM),
		queued:       make(map[galenahead.JobID]*galenastate.Job),
		tasks:        make(map[galenahead.JobID]*galenastate.Job),
	}
}

// update updates the tracker to the view v and returns the changes since the view
// of the last call.
func (t *tracker) update(v *galenastate.View) changes {
	c := changes{previous: t.lastView}
	c.vms, c.removedVMs = v.ChangedVMs(t.lastView)
	c.jobs, c.removedJobs = v.ChangedJobs(t.lastView)
	t.updateReserve(v, c)
	t.updateVMs(c)
	t.updateJobs(c)
	t.lastView = v
	return c
}

func (t *tracker) updateVMs(c changes) {
	for _, vm := range c.vms {
		if vm.Condition == galenastate.ConditionUp && vm.Phase == galenastate.PhaseOwned {
			delete(t.outOfService, vm.Name)
			continue
		}
		t.outOfService[vm.Name] = vm
	}
	for _, name := range c.removedVMs {
		delete(t.outOfService, name)
	}
}

func (t *tracker) updateJobs(c changes) {
	for _, id := range c.removedJobs {
		delete(t.queued, id)
		delete(t.tasks, id)
	}
	for _, j := range c.jobs {
		delete(t.queued, j.ID)
		delete(t.tasks, j.ID)
		switch {
		case j.Worker != "":
			t.tasks[j.ID] = j
		case j.State == galenastate.JobQueued:
			t.queued[j.ID] = j
		}
	}
}

// updateReserve counts the VMs held in reserve: those of the spare pool that are
// in service and run no job.
func (t *tracker) updateReserve(v *galenastate.View, c changes) {
	spare, _ := v.Spare()
	if spare.Name != t.sparePool {
		t.sparePool, t.reserveCount = spare.Name, 0
		for vm := range v.VMs() {
			t.reserveCount += t.countInReserve(vm)
		}
		return
	}
	for _, vm := range c.vms {
		t.reserveCount += t.countInReserve(vm)
		if old, ok := c.previous.VM(vm.Name); ok {
			t.reserveCount -= t.countInReserve(&old)
		}
	}
	for _, name := range c.removedVMs {
		old, _ := c.previous.VM(name)
		t.reserveCount -= t.countInReserve(&old)
	}
}

// countInReserve returns 1 for a VM that is held in reserve, and 0 otherwise.
func (t *tracker) countInReserve(vm *galenastate.VM) int {
	if t.sparePool == "" || vm.Pool != t.sparePool || vm.Jobs > 0 {
		return 0
	}
	if vm.Phase != galenastate.PhaseOwned || vm.Condition != galenastate.ConditionUp {
		return 0
	}
	return 1
}
