package galenafleet

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
	"github.com/galenahead/galenahead/galenatimer"
)

// testController returns the machinist of an office that commits nothing more.
func testController(s *State, epoch uint64) *machineController {
	o := &Owner{State: s, Timers: s.Timers, MachineLease: 3 * time.Second}
	ended := make(chan struct{})
	close(ended)
	return newMachineController(&ownerSession{Owner: o, epoch: epoch, committer: newCommitter(nil, ended, nil)})
}

// Guards against orders of two owners to one machine that alternate within the
// lease, also when their times of day differ.
func TestNewOwnerWaitsForMachineLeaseOfEarlierOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &State{Timers: &galenatimer.Service{}}
		apply(t, s, Op{Order: &MachineOrder{Machine: "m", Epoch: 1, At: time.Now().Round(0)}})
		is.True(testController(s, 1).mayOrder("m"))
		is.True(!testController(s, 2).mayOrder("m"))
		is.True(testController(s, 2).mayOrder("other"))
		time.Sleep(2900 * time.Millisecond)
		is.True(!testController(s, 2).mayOrder("m"))
		time.Sleep(time.Second)
		is.True(testController(s, 2).mayOrder("m"))

		b, err := s.Snapshot()
		is.NoErr(err)
		r := &State{Timers: &galenatimer.Service{}}
		is.NoErr(r.Restore(b))
		is.True(!testController(r, 2).mayOrder("m")) // when it was given is not known here
		r = &State{Timers: &galenatimer.Service{}, Started: time.Now()}
		is.NoErr(r.Restore(b))
		is.True(testController(r, 2).mayOrder("m")) // it was given before this process started
	})
}

// Guards against waves that are late, or take more machines at once than they
// need to.
func TestMaintenanceLimit(t *testing.T) {
	is := is.New(t)
	m := testController(&State{Timers: &galenatimer.Service{}}, 1)
	w := &Wave{MaxDown: 9, Duration: 28 * time.Second, Accepted: time.Now(), Steps: map[galenahead.VMName]StepState{}}
	for i := range 20 {
		w.Machines = append(w.Machines, galenahead.VMName(rune('a'+i)))
	}
	is.Equal(m.maintenanceLimit(w, 0), 4) // six rounds of 3.5 s before the margin
	w.Accepted = time.Now().Add(-20 * time.Second)
	is.Equal(m.maintenanceLimit(w, 0), 9) // late: as many as allowed
	w.Accepted = time.Now()
	for _, name := range w.Machines[1:] {
		w.Steps[name] = StepDone
	}
	is.Equal(m.maintenanceLimit(w, 0), 1)
	is.True(!w.Completed())
	w.Steps[w.Machines[0]] = StepDone
	is.True(w.Completed())
}

// Guards against a wave that counts a machine as gone because one list lacked
// it.
func TestMachineMissingFromOneListDoesNotLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := testController(&State{Timers: &galenatimer.Service{}}, 1)
		is.True(!m.missingTooLong("m"))
		time.Sleep(missingTimeout / 2)
		is.True(!m.missingTooLong("m"))
		time.Sleep(missingTimeout)
		is.True(m.missingTooLong("m"))
	})
}

// Guards against a pool that keeps its idle machines from others, since one
// work item waits there for something else than room.
func TestUsableIdleMachineCoversDemand(t *testing.T) {
	is := is.New(t)
	m := testController(&State{Timers: &galenatimer.Service{}}, 1)
	size := galenajob.Resources{MilliCPU: 1000}
	m.machines = map[galenahead.VMName]Machine{"m": {Name: "m", Pool: "counter", State: MachineUp, Instance: "i", Capacity: size}}
	lacking := func(idle ...galenajob.IdleInstance) int {
		p := poolStatus{service: "counter", usage: galenajob.Usage{Instances: 3, Demand: galenajob.Resources{MilliCPU: 900}, Idle: idle}}
		m.estimateDemand(&p)
		return p.shortfall
	}
	is.Equal(lacking(), 1)
	is.Equal(lacking(galenajob.IdleInstance{ID: "i"}), 1) // work must not start there now
	is.Equal(lacking(galenajob.IdleInstance{ID: "i", Usable: true}), 0)
}

// flakyMachines lists two machines, of which one refuses its upkeep and leaves
// the fleet.
type flakyMachines struct {
	Machines
	mu    sync.Mutex
	calls map[galenahead.VMName]int
	gone  bool
}

func (l *flakyMachines) List(context.Context) ([]Machine, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := []Machine{{Name: "stays", Pool: "counter", State: MachineUp}, {Name: "leaves", Pool: "counter", State: MachineUp}}
	if l.gone {
		list = list[:1]
	}
	return list, nil
}

func (l *flakyMachines) Maintain(_ context.Context, name galenahead.VMName, _ int64, _ string, _ uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls[name]++
	if name == "leaves" {
		return ErrBusy
	}
	return nil
}

// Guards against a wave that is never done, since one of its machines left the
// fleet after its upkeep had been ordered, and against a stream of orders to a
// machine that refuses them.
func TestWaveCompletesWhenOrderedMachineLeavesFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		l := &flakyMachines{calls: map[galenahead.VMName]int{}}
		o.Machines = l
		ctx, stop := startOwner(t, o, testConfig)
		_, err := o.BeginWave(ctx, Wave{ID: 1, Machines: []galenahead.VMName{"stays", "leaves"}, Duration: 20 * time.Second, MaxDown: 2})
		is.NoErr(err)
		time.Sleep(15 * time.Second)
		w, err := o.Wave(ctx, WaveState{ID: 1})
		is.NoErr(err)
		is.True(!w.Completed) // the machine may still be up
		l.mu.Lock()
		l.gone = true
		is.Equal(l.calls["stays"], 1)
		is.True(l.calls["leaves"] > 1)
		is.True(l.calls["leaves"] <= int(15*time.Second/orderRetryPause)+1)
		l.mu.Unlock()
		time.Sleep(missingTimeout + 2*time.Second)
		w, err = o.Wave(ctx, WaveState{ID: 1})
		is.NoErr(err)
		is.True(w.Completed)
		stop()
	})
}

// Guards against work of an earlier owner that waits until the lease of an
// instance has lapsed, although the move that the earlier owner ordered has ended
// its life; and against forgetting an instance whose machine is still up.
func TestRemovesInstanceOfTakenMachine(t *testing.T) {
	tests := []struct {
		name string
		list Machine
		born int64
		gone bool
	}{
		{"moving", Machine{Name: "m", Pool: "other", State: MachineMoving}, 1, true},
		{"in upkeep", Machine{Name: "m", Pool: "counter", State: MachineMaintenance}, 1, true},
		{"up with a later instance", Machine{Name: "m", Pool: "other", State: MachineUp, Instance: "later"}, 1, true},
		{"in upkeep, instance of a later life", Machine{Name: "m", Pool: "counter", State: MachineMaintenance}, 2, false},
		{"up as before", Machine{Name: "m", Pool: "counter", State: MachineUp, Instance: "i"}, 1, false},
		{"up without a known instance", Machine{Name: "m", Pool: "counter", State: MachineUp}, 1, false},
		{"down", Machine{Name: "m", Pool: "counter", State: MachineDown}, 1, false},
		{"not listed", Machine{Name: "n", Pool: "counter", State: MachineUp}, 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				o, _ := testOwner()
				o.Machines = &fixedMachines{list: []Machine{tt.list}}
				in := testHeartbeat.Instance
				in.Born = tt.born
				apply(t, o.State, Op{Owner: &OwnerOp{"b"}}, Op{Instance: &in},
					Op{Order: &MachineOrder{Machine: "m", Epoch: 1, At: time.Now().Round(0), Instance: "i", Born: 1}})
				_, stop := startOwner(t, o, testConfig)
				time.Sleep(500 * time.Millisecond)
				_, known := o.State.instance("i")
				is.Equal(known, !tt.gone)
				stop()
			})
		})
	}
}

// fixedMachines is a fixed list of machines.
type fixedMachines struct {
	Machines
	list []Machine
}

func (l *fixedMachines) List(context.Context) ([]Machine, error) { return l.list, nil }

func (l *fixedMachines) Move(context.Context, galenahead.VMName, galenahead.ServiceName, string, uint64) error {
	return ErrBusy
}
