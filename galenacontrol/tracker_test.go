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

// changeGenerator applies random changes to a state machine.
type changeGenerator struct {
	stateMachine galenastate.StateMachine
	rand         *rand.Rand
	index        uint64
}

func (g *changeGenerator) apply(ch galenastate.Change) {
	g.index++
	c := galenastate.Command{
		RequestID: fmt.Sprint("request-", g.index), BaseRevision: g.stateMachine.View().Revision(), Operator: "operator", TimeMS: int64(g.index), Change: ch,
	}
	record, err := c.Encode()
	if err != nil {
		panic(err)
	}
	// The state machine may reject the change.
	g.stateMachine.Apply(g.index, record)
}

func (g *changeGenerator) applyRandomChange() {
	v := g.stateMachine.View()
	name := galenahead.VMName(fmt.Sprint("vm-", g.rand.IntN(6)))
	id := galenahead.JobID(fmt.Sprint("job-", g.rand.IntN(40)))
	pool := galenahead.PoolName(fmt.Sprint("pool-", g.rand.IntN(2)))
	vm, _ := v.VM(name)
	job, _ := v.Job(id)
	event := &galenastate.JobEvent{Job: id, Epoch: job.Epoch}
	g.apply([]galenastate.Change{
		{PoolSet: &galenastate.Pool{Name: pool, Spare: g.rand.IntN(2) == 0}},
		{TeamSet: &galenastate.TeamSet{Name: "team", Quota: galenastate.Size{Cores: 100, MemoryMB: 100}}},
		{VMAdd: &galenastate.VMAdd{Name: name, Pool: pool, DataCentre: "dc", Rack: "rack", Cores: 8, MemoryMB: 8}},
		{VMRemove: &galenastate.VMRemove{VM: name}},
		{VMMove: &galenastate.VMMove{VM: name, ToPool: pool}},
		{VMReleased: &galenastate.VMReleased{VM: name, Epoch: vm.Epoch, BrokerRevision: v.Revision()}},
		{VMAcquire: &galenastate.VMAcquire{VM: name, Epoch: vm.Epoch}},
		{VMAcquired: &galenastate.VMAcquired{VM: name, Epoch: vm.Epoch}},
		{VMCondition: &galenastate.VMCondition{VM: name, Epoch: vm.Epoch, Condition: galenastate.ConditionDown}},
		{VMCondition: &galenastate.VMCondition{VM: name, Epoch: vm.Epoch, Condition: galenastate.ConditionUp}},
		{JobSubmit: &galenastate.JobSubmit{ID: id, Team: "team", Pool: pool, Cores: 1, MemoryMB: 1}},
		{JobPlaced: &galenastate.JobPlacement{Job: id, Epoch: job.Epoch + 1, Worker: name, WorkerEpoch: vm.Epoch}},
		{JobStarted: event}, {JobFinished: event}, {JobCancel: &galenastate.JobCancel{ID: id}},
		{JobFailed: &galenastate.JobFailure{Job: id, Epoch: job.Epoch, Reason: "test", Lost: true}},
	}[g.rand.IntN(16)])
}

// TestTrackerMatchesView guards against a VM or job that the driver misses because
// it evaluates only the changed records.
func TestTrackerMatchesView(t *testing.T) {
	is := is.New(t)
	reached := make(map[string]bool)
	for seed := range uint64(20) {
		g := &changeGenerator{rand: rand.New(rand.NewPCG(seed, 1))}
		tr, x := newTracker(), newWorkerIndex()
		for range 1500 {
			for range 1 + g.rand.IntN(3) {
				g.applyRandomChange()
			}
			v := g.stateMachine.View()
			x.sync(v, tr.update(v), time.UnixMilli(int64(g.index)))
			checkVMs(is, tr, v, reached)
			checkJobs(is, tr, x, v, reached)
		}
	}
	// The random changes must produce each kind of record.
	is.Equal(reached, map[string]bool{"out of service": true, "in reserve": true, "queued": true, "task": true})
}

func checkVMs(is *is.I, tr *tracker, v *galenastate.View, reached map[string]bool) {
	spare, ok := v.Spare()
	outOfService, inReserve := 0, 0
	for vm := range v.VMs() {
		inService := vm.Phase == galenastate.PhaseOwned && vm.Condition == galenastate.ConditionUp
		if !inService {
			outOfService++
			reached["out of service"] = true
			is.Equal(tr.outOfService[vm.Name], vm)
		}
		if ok && inService && vm.Pool == spare.Name && vm.Jobs == 0 {
			inReserve++
			reached["in reserve"] = true
		}
	}
	is.Equal(len(tr.outOfService), outOfService)
	is.Equal(tr.reserveCount, inReserve)
}

func checkJobs(is *is.I, tr *tracker, x *workerIndex, v *galenastate.View, reached map[string]bool) {
	queued, tasks := 0, 0
	for j := range v.Jobs() {
		switch {
		case j.Worker != "":
			tasks++
			reached["task"] = true
			is.Equal(tr.tasks[j.ID], j)
			is.Equal(x.tasks[j.ID], placedTask{worker: j.Worker, epoch: j.Epoch})
		case j.State == galenastate.JobQueued:
			queued++
			reached["queued"] = true
			is.Equal(tr.queued[j.ID], j)
		}
	}
	is.Equal(len(tr.queued), queued)
	is.Equal(len(tr.tasks), tasks)
	is.Equal(len(x.tasks), tasks)
}
