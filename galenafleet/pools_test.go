package galenafleet

import (
	"context"
	"maps"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
	"github.com/galenahead/galenahead/galenatimer"
)

// recordingMachine lists one machine and records the pools to which it is moved.
type recordingMachine struct {
	MachineClient
	mu    sync.Mutex
	pools []galenahead.ServiceName
}

func (*recordingMachine) List(context.Context) ([]Machine, error) {
	return []Machine{{Name: "m", Pool: "counter", State: MachineUp, Instance: "i", Capacity: galenajob.Resources{MilliCPU: 1000}}}, nil
}

func (f *recordingMachine) Move(_ context.Context, _ galenahead.VMName, pool galenahead.ServiceName, _ string, _ uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pools = append(f.pools, pool)
	return nil
}

// Guards against powering off idle machines at the start of a peak, after which they
// need two moves to reach the pool of the peak, and against never powering them off.
func TestKeepsIdleMachineOnWhilePeakRises(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		f := &recordingMachine{}
		o.Machines = f
		c := testConfig
		c.Services = []Service{{Name: "counter"}, {Name: "courier"}, {Name: "other", Spare: true}}
		ctx, stop := startOwner(t, o, c)
		_, err := o.Heartbeat(ctx, testHeartbeat)
		is.NoErr(err)
		time.Sleep(5 * time.Second)
		f.mu.Lock()
		is.Equal(len(f.pools), 0) // no peak has been seen yet
		f.mu.Unlock()

		// The next owner reads the peak from the replicated state.
		apply(t, o.State, Op{Peak: &DemandPeak{Service: "courier", Start: time.Now().Round(0), Machines: 4}})
		stop()
		_, stop = startOwner(t, o, c)
		time.Sleep(peakRiseTime - 300*time.Millisecond)
		f.mu.Lock()
		is.Equal(len(f.pools), 0)
		f.mu.Unlock()
		time.Sleep(2 * time.Second)
		f.mu.Lock()
		is.Equal(f.pools, []galenahead.ServiceName{"other"})
		f.mu.Unlock()
		stop()
	})
}

// Guards against a pool that gets no machine for its long-running work because the
// peak of another pool takes every machine that becomes free.
func TestPoolWithoutMachinesHasHighestShortfall(t *testing.T) {
	is := is.New(t)
	m := testController(&State{Timers: &galenatimer.Service{}}, 1)
	empty := poolStatus{service: "empty", shortfall: 1}
	peak := poolStatus{service: "peak", shortfall: 11, usage: galenajob.Usage{Instances: 24}}
	rising := poolStatus{service: "rising", shortfall: 20, usage: galenajob.Usage{Instances: 3}}
	is.True(m.relativeShortfall(&empty) > m.relativeShortfall(&peak))
	is.True(m.relativeShortfall(&rising) > m.relativeShortfall(&peak))
	m.pendingMoves["v"] = &pendingMove{pool: "empty"}
	empty.shortfall = 0
	is.True(m.relativeShortfall(&empty) < m.relativeShortfall(&peak)) // its machine has a pending move
}

// Guards against moving machines to a peak that is about to end, because the arrival
// rate of few large jobs varies, while the next pool lacks them. Also guards against
// moving only as many machines to a rising peak as it needs now.
func TestArrivalRateCountsOnlyWhilePeakRises(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := testController(&State{Timers: &galenatimer.Service{}}, 1)
		size := galenajob.Resources{MilliCPU: 1000}
		m.machines = map[galenahead.VMName]Machine{"m": {Name: "m", Pool: "counter", State: MachineUp, Instance: "i", Capacity: size}}
		shortfall := func(waiting int64) int {
			p := poolStatus{service: "counter", usage: galenajob.Usage{
				Instances: 3, BatchInstances: 3, ArrivalMilliCPU: 8000, Batch: galenajob.Resources{MilliCPU: 3000 + waiting},
				Demand: galenajob.Resources{MilliCPU: waiting},
			}}
			m.estimateDemand(&p, m.machineSize())
			return p.shortfall
		}
		risingShortfall := int(math.Ceil(8*rateGrowth)) - 3 // the arrival rate needs 8 machines now
		is.Equal(shortfall(0), risingShortfall)
		time.Sleep(peakRiseTime - time.Second)
		is.Equal(shortfall(0), risingShortfall)
		time.Sleep(2 * time.Second)
		is.Equal(shortfall(0), 0)
		is.Equal(shortfall(2500), 3) // waiting work still counts
	})
}

// Guards against a pool that takes more and more machines, and gives none to others, while
// half of those that it has are idle, because the owner cannot start work faster.
func TestPoolLimitedByStartsGivesIdleMachines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := testController(&State{Timers: &galenatimer.Service{}}, 1)
		m.machines = map[galenahead.VMName]Machine{}
		byInstance := map[galenahead.InstanceID]Machine{}
		var idle []galenajob.IdleInstance
		for _, name := range []galenahead.VMName{"m0", "m1", "m2", "m3"} {
			id := galenahead.InstanceID(name)
			v := Machine{Name: name, Pool: "counter", State: MachineUp, Instance: id, Capacity: galenajob.Resources{MilliCPU: 1000}}
			m.machines[name], byInstance[id] = v, v
			idle = append(idle, galenajob.IdleInstance{ID: id, Since: time.Now(), Usable: true})
		}
		bound := int64(0) // work that waits for more than room
		estimate := func(waiting int64, idle []galenajob.IdleInstance) poolStatus {
			p := poolStatus{service: "counter", usage: galenajob.Usage{
				Instances: 8, BatchInstances: 4, Batch: galenajob.Resources{MilliCPU: 4000 + waiting}, Idle: idle,
				Demand: galenajob.Resources{MilliCPU: waiting + bound}, Startable: galenajob.Resources{MilliCPU: waiting},
			}}
			m.estimateDemand(&p, m.machineSize())
			return p
		}
		other := poolStatus{service: "other", shortfall: 9}
		give := func(from poolStatus) int {
			left := maps.Clone(byInstance)
			for {
				v, ok := m.findIdleMachine([]poolStatus{from}, &other, left)
				if !ok {
					return len(byInstance) - len(left)
				}
				delete(left, v.Instance)
			}
		}

		time.Sleep(time.Minute)
		p := estimate(20000, idle)
		is.Equal(p.shortfall, 16) // work has just come
		is.Equal(give(p), 0)
		time.Sleep(idleBeforePowerOff / 2)
		is.Equal(estimate(20000, idle).shortfall, 16)
		time.Sleep(idleBeforePowerOff)
		p = estimate(20000, idle)
		is.Equal(p.shortfall, 0)
		is.Equal(give(p), 4)

		// A gang that needs ten machines at once.
		bound = 10000
		p = estimate(20000, idle)
		is.Equal(p.shortfall, 6)
		is.Equal(give(p), 0)
		bound = 0

		// Less than a quarter of the machines.
		is.Equal(estimate(20000, idle[:1]).shortfall, 19)
		// A machine that has just become idle may take the next work.
		idle[3].Since = time.Now()
		is.Equal(give(estimate(20000, idle)), 3)
		// A pool without machines has none to spare.
		empty := poolStatus{service: "counter", usage: galenajob.Usage{
			Demand: galenajob.Resources{MilliCPU: 1000}, Startable: galenajob.Resources{MilliCPU: 1000},
		}}
		m.estimateDemand(&empty, m.machineSize())
		is.Equal(empty.shortfall, 1)
		// Another wait of work begins anew.
		is.Equal(estimate(0, idle).shortfall, 0)
		is.Equal(estimate(20000, idle).shortfall, 16)
	})
}
