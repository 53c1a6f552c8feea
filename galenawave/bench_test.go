package galenawave

import (
	"fmt"
	"testing"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenastate"
)

// newBenchFleet returns a state machine with n VMs in 25 pools and 36 data centres,
// and with waves on the first pools, and measurements for it.
func newBenchFleet(b *testing.B, n, waves int) (*galenastate.StateMachine, Measurements) {
	const pools, dataCentres = 25, 36
	m := &galenastate.StateMachine{}
	applyOperatorChange := func(c galenastate.Change) {
		base := m.View().Revision()
		record, err := galenastate.Command{RequestID: fmt.Sprint(base), Operator: "op", BaseRevision: base, Change: c}.Encode()
		if err != nil {
			b.Fatal(err)
		}
		res, err := galenastate.DecodeResult(m.Apply(1, record))
		if err != nil || res.Err() != nil {
			b.Fatal(err, res.Err())
		}
	}
	out := Measurements{VMs: map[galenahead.VMName]VMReport{}}
	for i := range pools {
		pool := galenahead.PoolName(fmt.Sprintf("pool-%02d", i))
		service := galenahead.ServiceName(pool)
		applyOperatorChange(galenastate.Change{PoolSet: &galenastate.Pool{Name: pool, Spare: i == 0}})
		applyOperatorChange(galenastate.Change{ServiceSet: &galenastate.Service{Name: service, Pool: pool}})
		for c := range dataCentres {
			out.Loads = append(out.Loads, Load{Service: service, DataCentre: galenahead.DataCentre(fmt.Sprintf("dc-%02d", c)),
				Demand: 20, Capacity: 8 * float64(n) / pools / dataCentres, VMs: n / pools / dataCentres, Budget: 1})
		}
	}
	for i := range n {
		applyOperatorChange(galenastate.Change{VMAdd: &galenastate.VMAdd{
			Name:       galenahead.VMName(fmt.Sprintf("worker-%05d", i)),
			Pool:       galenahead.PoolName(fmt.Sprintf("pool-%02d", i*pools/n)),
			DataCentre: galenahead.DataCentre(fmt.Sprintf("dc-%02d", i%dataCentres)),
			Rack:       galenahead.RackName(fmt.Sprintf("rack-%d", i/dataCentres/4)),
		}})
	}
	for i := range waves {
		applyOperatorChange(galenastate.Change{WaveStart: &galenastate.WaveStart{Name: fmt.Sprint("wave-", i), Pool: galenahead.PoolName(fmt.Sprintf("pool-%02d", i))}})
	}
	return m, out
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{1000, 4000, 16000} {
		for _, waves := range []int{0, 1, 25} {
			b.Run(fmt.Sprintf("vms=%d/waves=%d", n, waves), func(b *testing.B) {
				m, measured := newBenchFleet(b, n, waves)
				v, now := m.View(), time.Unix(startTime, 0)
				var p Planner
				b.ReportAllocs()
				for b.Loop() {
					now = now.Add(time.Second)
					p.Plan(v, measured, now)
				}
			})
		}
	}
}
