package galenacontrol

import (
	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenastate"
)

// tracker follows the state from step to step, so that a step costs what has
// changed and not what exists. Records are immutable and are kept by pointer.
type tracker struct {
	seen *galenastate.View
	// out holds the VMs that are not in service: moving, or in a wave, or down.
	out map[galenahead.VMName]*galenastate.VM
	// queued and tasks hold the jobs that wait and those that have a worker.
	queued, tasks map[galenahead.JobID]*galenastate.Job
	// spare is the spare pool and idle the number of its VMs in reserve.
	spare galenahead.PoolName
	idle  int
}

// changes is what changed between two steps.
type changes struct {
	older       *galenastate.View
	vms         []*galenastate.VM
	removedVMs  []galenahead.VMName
	jobs        []*galenastate.Job
	removedJobs []galenahead.JobID
}

func newTracker() *tracker {
	return &tracker{
		seen:   &galenastate.View{},
		out:    make(map[galenahead.VMName]*galenastate.VM),
		queued: make(map[galenahead.JobID]*galenastate.Job),
		tasks:  make(map[galenahead.JobID]*galenastate.Job),
	}
}

// follow brings the tracker up to date with the view and returns what changed.
func (t *tracker) follow(v *galenastate.View) changes {
	c := changes{older: t.seen}
	c.vms, c.removedVMs = v.ChangedVMs(t.seen)
	c.jobs, c.removedJobs = v.ChangedJobs(t.seen)
	t.followReserve(v, c)
	t.followVMs(c)
	t.followJobs(c)
	t.seen = v
	return c
}

func (t *tracker) followVMs(c changes) {
	for _, vm := range c.vms {
		if vm.Condition == galenastate.ConditionUp && vm.Phase == galenastate.PhaseOwned {
			delete(t.out, vm.Name)
			continue
		}
		t.out[vm.Name] = vm
	}
	for _, name := range c.removedVMs {
		delete(t.out, name)
	}
}

func (t *tracker) followJobs(c changes) {
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

// followReserve counts the VMs of the spare pool that are in service there
// without a job: capacity held in reserve.
func (t *tracker) followReserve(v *galenastate.View, c changes) {
	spare, _ := v.Spare()
	if spare.Name != t.spare {
		t.spare, t.idle = spare.Name, 0
		for vm := range v.VMs() {
			t.idle += t.reserved(vm)
		}
		return
	}
	for _, vm := range c.vms {
		t.idle += t.reserved(vm)
		if old, ok := c.older.VM(vm.Name); ok {
			t.idle -= t.reserved(&old)
		}
	}
	for _, name := range c.removedVMs {
		old, _ := c.older.VM(name)
		t.idle -= t.reserved(&old)
	}
}

// reserved returns 1 for a VM that is held in reserve, and 0 otherwise.
func (t *tracker) reserved(vm *galenastate.VM) int {
	if t.spare == "" || vm.Pool != t.spare || vm.Jobs > 0 {
		return 0
	}
	if vm.Phase != galenastate.PhaseOwned || vm.Condition != galenastate.ConditionUp {
		return 0
	}
	return 1
}
