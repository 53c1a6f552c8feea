package galenacontrol

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenastate"
)

// history makes random changes to a state machine.
type history struct {
	machine galenastate.Machine
	rand    *rand.Rand
	n       uint64
}

func (h *history) apply(ch galenastate.Change) {
	h.n++
	c := galenastate.Command{
		RequestID: fmt.Sprint("request-", h.n), Base: h.machine.View().Revision(), Operator: "operator", TimeMS: int64(h.n), Change: ch,
	}
	record, err := c.Encode()
	if err != nil {
		panic(err)
	}
	// Some of the changes are refused, which is part of the history.
	h.machine.Apply(h.n, record)
}

func (h *history) step() {
	v := h.machine.View()
	name := galenahead.VMName(fmt.Sprint("vm-", h.rand.IntN(6)))
	id := galenahead.JobID(fmt.Sprint("job-", h.rand.IntN(40)))
	pool := galenahead.PoolName(fmt.Sprint("pool-", h.rand.IntN(2)))
	vm, _ := v.VM(name)
	job, _ := v.Job(id)
	event := &galenastate.JobEvent{Job: id, Epoch: job.Epoch}
	h.apply([]galenastate.Change{
		{PoolSet: &galenastate.Pool{Name: pool, Spare: h.rand.IntN(2) == 0}},
		{TeamSet: &galenastate.TeamSet{Name: "team", Quota: galenastate.Size{Cores: 100, MemoryMB: 100}}},
		{VMAdd: &galenastate.VMAdd{Name: name, Pool: pool, DataCentre: "dc", Rack: "rack", Cores: 8, MemoryMB: 8}},
		{VMRemove: &galenastate.VMRemove{VM: name}},
		{VMMove: &galenastate.VMMove{VM: name, ToPool: pool}},
		{VMReleased: &galenastate.VMReleased{VM: name, Epoch: vm.Epoch, InForce: v.Revision()}},
		{VMAcquire: &galenastate.VMAcquire{VM: name, Epoch: vm.Epoch}},
		{VMAcquired: &galenastate.VMAcquired{VM: name, Epoch: vm.Epoch}},
		{VMCondition: &galenastate.VMCondition{VM: name, Epoch: vm.Epoch, Condition: galenastate.ConditionDown}},
		{VMCondition: &galenastate.VMCondition{VM: name, Epoch: vm.Epoch, Condition: galenastate.ConditionUp}},
		{JobSubmit: &galenastate.JobSubmit{ID: id, Team: "team", Pool: pool, Cores: 1, MemoryMB: 1}},
		{JobPlaced: &galenastate.JobPlacement{Job: id, Epoch: job.Epoch + 1, Worker: name, WorkerEpoch: vm.Epoch}},
		{JobStarted: event}, {JobFinished: event}, {JobCancel: &galenastate.JobCancel{ID: id}},
		{JobFailed: &galenastate.JobFailure{Job: id, Epoch: job.Epoch, Reason: "test", Lost: true}},
	}[h.rand.IntN(16)])
}

// TestTrackerMatchesView guards against a VM or job that the driver misses
// because it looks only at what changed.
func TestTrackerMatchesView(t *testing.T) {
	is := is.New(t)
	seen := make(map[string]bool)
	for seed := range uint64(20) {
		h := &history{rand: rand.New(rand.NewPCG(seed, 1))}
		tr, x := newTracker(), newWorkerIndex()
		for range 1500 {
			for range 1 + h.rand.IntN(3) {
				h.step()
			}
			v := h.machine.View()
			x.sync(v, tr.follow(v), time.UnixMilli(int64(h.n)))
			checkVMs(is, tr, v, seen)
			checkJobs(is, tr, x, v, seen)
		}
	}
	// The histories reach each kind of record.
	is.Equal(seen, map[string]bool{"out": true, "idle": true, "queued": true, "task": true})
}

func checkVMs(is *is.I, tr *tracker, v *galenastate.View, seen map[string]bool) {
	spare, ok := v.Spare()
	out, idle := 0, 0
	for vm := range v.VMs() {
		inService := vm.Phase == galenastate.PhaseOwned && vm.Condition == galenastate.ConditionUp
		if !inService {
			out++
			seen["out"] = true
			is.Equal(tr.out[vm.Name], vm)
		}
		if ok && inService && vm.Pool == spare.Name && vm.Jobs == 0 {
			idle++
			seen["idle"] = true
		}
	}
	is.Equal(len(tr.out), out)
	is.Equal(tr.idle, idle)
}

func checkJobs(is *is.I, tr *tracker, x *workerIndex, v *galenastate.View, seen map[string]bool) {
	queued, tasks := 0, 0
	for j := range v.Jobs() {
		switch {
		case j.Worker != "":
			tasks++
			seen["task"] = true
			is.Equal(tr.tasks[j.ID], j)
			is.Equal(x.tasks[j.ID], placedTask{worker: j.Worker, epoch: j.Epoch})
		case j.State == galenastate.JobQueued:
			queued++
			seen["queued"] = true
			is.Equal(tr.queued[j.ID], j)
		}
	}
	is.Equal(len(tr.queued), queued)
	is.Equal(len(tr.tasks), tasks)
	is.Equal(len(x.tasks), tasks)
}
