package galenafleet

import (
	"context"
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

// recordingMachine lists one machine and notes where it is sent.
type recordingMachine struct {
	Machines
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

// Guards against idle machines that are switched off just when a peak begins,
// which costs them two moves on their way to it, and against keeping them on.
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
		is.Equal(len(f.pools), 0) // nothing is known of the demand
		f.mu.Unlock()

		// A successor learns of the peak from the replicated state.
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

// Guards against a pool that is left without a machine for its long-running work
// while another one's peak takes all that come free.
func TestPoolWithoutMachinesHasHighestShortfall(t *testing.T) {
	is := is.New(t)
	m := testController(&State{Timers: &galenatimer.Service{}}, 1)
	empty := poolStatus{service: "empty", shortfall: 1}
	peak := poolStatus{service: "peak", shortfall: 11, usage: galenajob.Usage{Instances: 24}}
	rising := poolStatus{service: "rising", shortfall: 20, usage: galenajob.Usage{Instances: 3}}
	is.True(m.relativeShortfall(&empty) > m.relativeShortfall(&peak))
	is.True(m.relativeShortfall(&rising) > m.relativeShortfall(&peak))
	m.transfers["v"] = &transfer{pool: "empty"}
	empty.shortfall = 0
	is.True(m.relativeShortfall(&empty) < m.relativeShortfall(&peak)) // its machine is on the way
}

// Guards against machines that the swinging rate of few large jobs sends to a
// peak that is about to end, while the next pool lacks them, and against sending a
// peak that rises no more than it wants now.
func TestArrivalRateCountsOnlyWhilePeakRises(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := testController(&State{Timers: &galenatimer.Service{}}, 1)
		size := galenajob.Resources{MilliCPU: 1000}
		m.machines = map[galenahead.VMName]Machine{"m": {Name: "m", Pool: "counter", State: MachineUp, Instance: "i", Capacity: size}}
		lacking := func(waiting int64) int {
			p := poolStatus{service: "counter", usage: galenajob.Usage{
				Instances: 3, Busy: 3, Rate: 8000, Batch: galenajob.Resources{MilliCPU: 3000 + waiting},
				Demand: galenajob.Resources{MilliCPU: waiting},
			}}
			m.estimateDemand(&p)
			return p.shortfall
		}
		ahead := int(math.Ceil(8*rateGrowth)) - 3 // the rate wants 8 machines now
		is.Equal(lacking(0), ahead)
		time.Sleep(peakRiseTime - time.Second)
		is.Equal(lacking(0), ahead)
		time.Sleep(2 * time.Second)
		is.Equal(lacking(0), 0)
		is.Equal(lacking(2500), 3) // what waits still counts
	})
}
