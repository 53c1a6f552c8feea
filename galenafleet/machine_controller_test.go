package galenafleet

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
	"github.com/galenahead/galenahead/galenatimer"
)

// testController returns the controller of a session that has ended and commits
// nothing.
func testController(s *State, epoch uint64) *machineController {
	o := &Owner{State: s, Timers: s.Timers, MachineLease: 3 * time.Second}
	ended := make(chan struct{})
	close(ended)
	return newMachineController(&ownerSession{Owner: o, epoch: epoch, committer: newCommitter(nil, 0, ended, nil)})
}

// Guards against orders of two owners to one machine that alternate within the
// machine lease, also if the wall clocks of the owners differ.
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
		is.True(!testController(r, 2).mayOrder("m")) // this replica does not know when the order was sent
		r = &State{Timers: &galenatimer.Service{}, ProcessStart: time.Now()}
		is.NoErr(r.Restore(b))
		is.True(testController(r, 2).mayOrder("m")) // the order was sent before this process started
	})
}

// Guards against a machine lease of an earlier owner that starts again with each instance
// that the machine comes back with.
func TestLaterInstanceKeepsMachineLeaseOfEarlierOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &State{Timers: &galenatimer.Service{}}
		apply(t, s, Op{Order: &MachineOrder{Machine: "m", Epoch: 1, At: time.Now().Round(0), Instance: "i"}})
		m := testController(s, 2)
		time.Sleep(2900 * time.Millisecond)
		apply(t, s, m.laterInstanceChange("m", "j", "").op)
		o, _ := s.machineOrder("m")
		is.Equal(o.Instance, galenahead.InstanceID("j"))
		is.True(!m.mayOrder("m"))
		time.Sleep(time.Second)
		is.True(m.mayOrder("m"))
	})
}

// Guards against waves that miss their deadline, or take down more machines at the
// same time than necessary.
func TestMaintenanceLimit(t *testing.T) {
	is := is.New(t)
	m := testController(&State{Timers: &galenatimer.Service{}}, 1)
	w := &Wave{MaxDown: 9, Duration: 28 * time.Second, Accepted: time.Now(), Steps: map[galenahead.VMName]StepState{}}
	for i := range 20 {
		w.Machines = append(w.Machines, galenahead.VMName(rune('a'+i)))
	}
	is.Equal(m.maintenanceLimit(w, 0), 4) // six rounds of 3.5 s before the margin
	w.Accepted = time.Now().Add(-20 * time.Second)
	is.Equal(m.maintenanceLimit(w, 0), 9) // late, so as many as allowed
	w.Accepted = time.Now()
	for _, name := range w.Machines[1:] {
		w.Steps[name] = StepDone
	}
	is.Equal(m.maintenanceLimit(w, 0), 1)
	is.True(!w.Completed())
	w.Steps[w.Machines[0]] = StepDone
	is.True(w.Completed())
}

// Guards against treating a machine as having left the fleet because a single list
// lacks it.
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

// Guards against a wave that is completed without the maintenance of a machine that stays,
// because its entry in the list can't be read for a while, with or without its name.
func TestMachineOfUnreadableEntryDoesNotLeave(t *testing.T) {
	stays, odd, nameless := Machine{Name: "m", State: MachineUp}, Machine{Name: "m", State: MachineUnreadable}, Machine{State: MachineUnreadable}
	for _, tt := range []struct {
		name          string
		before, after []Machine
		leaves        bool
	}{
		{"readable name", []Machine{stays}, []Machine{odd}, false},
		{"no name", []Machine{stays}, []Machine{nameless}, false},
		{"no name, beside another odd entry", []Machine{stays, nameless}, []Machine{nameless, nameless}, false},
		{"never listed", nil, []Machine{nameless}, false},
		{"another odd entry that stays", []Machine{stays, nameless}, []Machine{nameless}, true},
		{"no entry", []Machine{stays}, nil, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				m := testController(&State{Timers: &galenatimer.Service{}}, 1)
				m.setMachines(tt.before)
				for range 20 {
					m.setMachines(tt.after)
					is.True(tt.leaves || !m.hasLeft("m"))
					time.Sleep(missingTimeout / 10)
				}
				is.Equal(m.hasLeft("m"), tt.leaves)
				m.setMachines([]Machine{stays})
				is.True(!m.hasLeft("m"))
				// It is missing from one list, long after the one before.
				time.Sleep(2 * missingTimeout)
				m.setMachines(nil)
				is.True(!m.hasLeft("m"))
			})
		})
	}
}

// Guards against a pool that keeps its idle machines although a work item there
// waits for another reason than capacity.
func TestUsableIdleMachineCoversDemand(t *testing.T) {
	is := is.New(t)
	m := testController(&State{Timers: &galenatimer.Service{}}, 1)
	size := galenajob.Resources{MilliCPU: 1000}
	m.machines = map[galenahead.VMName]Machine{"m": {Name: "m", Pool: "counter", State: MachineUp, Instance: "i", Capacity: size}}
	shortfall := func(idle ...galenajob.IdleInstance) int {
		p := poolStatus{service: "counter", usage: galenajob.Usage{Instances: 3, Demand: galenajob.Resources{MilliCPU: 900}, Idle: idle}}
		m.estimateDemand(&p, m.machineSize())
		return p.shortfall
	}
	is.Equal(shortfall(), 1)
	is.Equal(shortfall(galenajob.IdleInstance{ID: "i"}), 1) // work must not start on it now
	is.Equal(shortfall(galenajob.IdleInstance{ID: "i", Usable: true}), 0)
}

// flakyMachines lists two machines. One of them rejects its maintenance as busy, and
// is no longer listed once gone is set.
type flakyMachines struct {
	MachineClient
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

// Guards against a wave that never completes because one of its machines leaves the
// fleet after its maintenance was ordered, and against sending orders without a pause
// to a machine that rejects them.
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
		w, err := o.Wave(ctx, WaveStatus{ID: 1})
		is.NoErr(err)
		is.True(!w.Completed) // the machine may still be up
		l.mu.Lock()
		l.gone = true
		is.Equal(l.calls["stays"], 1)
		is.True(l.calls["leaves"] > 1)
		is.True(l.calls["leaves"] <= int(15*time.Second/orderRetryPause)+1)
		l.mu.Unlock()
		time.Sleep(missingTimeout + 2*time.Second)
		w, err = o.Wave(ctx, WaveStatus{ID: 1})
		is.NoErr(err)
		is.True(w.Completed)
		stop()
	})
}

// Guards against work of an earlier owner that waits until the lease of an instance
// expires, although an order of that owner to the machine has stopped the instance.
// Also guards against removing an instance whose machine is still up.
func TestRemovesInstanceStoppedByEarlierOwner(t *testing.T) {
	tests := []struct {
		name string
		list Machine
		born int64
		gone bool
	}{
		{"moving", Machine{Name: "m", Pool: "other", State: MachineMoving}, 1, true},
		{"in maintenance", Machine{Name: "m", Pool: "counter", State: MachineMaintenance}, 1, true},
		{"up with a later instance", Machine{Name: "m", Pool: "other", State: MachineUp, Instance: "later"}, 1, true},
		{"in maintenance, later incarnation", Machine{Name: "m", Pool: "counter", State: MachineMaintenance}, 2, false},
		{"up with the same instance", Machine{Name: "m", Pool: "counter", State: MachineUp, Instance: "i"}, 1, false},
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

// fixedMachines returns a fixed list of machines and rejects moves as busy.
type fixedMachines struct {
	MachineClient
	list []Machine
}

func (l *fixedMachines) List(context.Context) ([]Machine, error) { return l.list, nil }

func (l *fixedMachines) Move(context.Context, galenahead.VMName, galenahead.ServiceName, string, uint64) error {
	return ErrBusy
}

// maintainedMachines lists machines that are up, each with an instance, and starts
// their maintenance at once. They return with a new instance when the list is read
// again.
type maintainedMachines struct {
	MachineClient
	mu         sync.Mutex
	maintained map[galenahead.VMName]bool
	count      int
}

func (l *maintainedMachines) List(context.Context) ([]Machine, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]Machine, l.count)
	for i := range list {
		name := galenahead.VMName(fmt.Sprintf("m%02d", i))
		list[i] = Machine{Name: name, Pool: "counter", State: MachineUp, Instance: galenahead.InstanceID("i-" + name)}
		if l.maintained[name] {
			list[i].Instance = galenahead.InstanceID("j-" + name)
		}
	}
	return list, nil
}

func (l *maintainedMachines) Maintain(_ context.Context, name galenahead.VMName, _ int64, _ string, _ uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maintained[name] = true
	return nil
}

// Guards against a wave that misses its deadline because each step of each machine
// waits for a log entry of its own while commits are slow.
func TestWaveEndsInTimeWhileCommitsAreSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, log := testOwner()
		l := &maintainedMachines{maintained: map[galenahead.VMName]bool{}, count: 40}
		o.Machines = l
		ctx, stop := startOwner(t, o, testConfig)
		w := Wave{ID: 1, Duration: 10 * time.Second, MaxDown: l.count}
		list, err := l.List(ctx)
		is.NoErr(err)
		for _, v := range list {
			in := testHeartbeat.Instance
			in.ID = v.Instance
			_, err := o.Heartbeat(ctx, Heartbeat{Instance: in, Sequence: 1, Clock: 1000})
			is.NoErr(err)
			w.Machines = append(w.Machines, v.Name)
		}
		log.delay.Store(int64(300 * time.Millisecond))
		_, err = o.BeginWave(ctx, w)
		is.NoErr(err)
		time.Sleep(w.Duration)
		status, err := o.Wave(ctx, WaveStatus{ID: w.ID})
		is.NoErr(err)
		is.True(status.Completed)
		for _, v := range list {
			_, known := o.State.instance(v.Instance)
			is.True(!known) // the maintenance has stopped it
		}
		stop()
	})
}

// movedMachines counts moves.
type movedMachines struct {
	MachineClient
	moves atomic.Int64
}

func (*movedMachines) List(context.Context) ([]Machine, error) { return nil, nil }

func (l *movedMachines) Move(context.Context, galenahead.VMName, galenahead.ServiceName, string, uint64) error {
	l.moves.Add(1)
	return nil
}

// Guards against an order that is sent although the lease has run out while its record was
// committed: another owner may send its own.
func TestOrderIsHeldBackWithoutLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, log := testOwner()
		machines := &movedMachines{}
		o.Machines = machines
		_, stop := startOwner(t, o, testConfig)
		defer stop()
		sess := o.session.Load()
		m := newMachineController(sess)
		send := func() orderResult {
			m.sendRecorded(orderResult{name: "m"}, m.orderRecord("m", "", "p"), func() error { return m.Machines.Move(m.ctx, "m", "p", "a", 1) })
			return <-m.results
		}
		is.NoErr(send().err)
		is.Equal(machines.moves.Load(), int64(1))

		// The process is suspended while it waits for the record.
		log.delay.Store(int64(50 * time.Millisecond))
		time.AfterFunc(25*time.Millisecond, func() { log.gap.Store(true) })
		r := send()
		is.True(errors.Is(r.err, ErrExhausted)) // nothing was sent
		is.Equal(machines.moves.Load(), int64(1))
		log.gap.Store(false)
	})
}
