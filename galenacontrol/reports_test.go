package galenacontrol

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenaconfig"
	"github.com/galenahead/galenahead/galenastate"
)

// Guards against a VM that is rebooted while a broker may still count slots on
// it, while one of the pool's brokers is silent, before the platform has ended
// its own work, or on reports that were made before the drain.
func TestVMReportProvesNothingWithoutAllBrokers(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(100_000)
	drainedAt := now.Add(-10 * time.Second)
	vm := &galenastate.VM{Name: "v", Condition: galenastate.ConditionDraining, Revision: 7}
	whole := serviceReport{asOf: now.Add(-time.Second), inForce: 7}
	whole.Complete = true
	incomplete, late, stale := whole, whole, whole
	incomplete.Complete = false
	late.inForce = 6
	stale.asOf = drainedAt.Add(-time.Second)
	services := []galenahead.ServiceName{"a", "b"}
	report := func(b serviceReport, drained bool) (time.Time, galenahead.Revision) {
		r := vmReport(vm, services, map[galenahead.ServiceName]serviceReport{"a": whole, "b": b}, workerState{drained: drained}, now)
		return r.At, r.InForce
	}
	at, rev := report(whole, true)
	is.True(at.After(drainedAt))
	is.Equal(rev, galenahead.Revision(7))
	at, _ = report(incomplete, true)
	is.True(at.IsZero())
	at, _ = report(whole, false)
	is.True(at.IsZero())
	at, _ = report(stale, true)
	is.True(at.Before(drainedAt))
	_, rev = report(late, true)
	is.Equal(rev, galenahead.Revision(6))
	r := vmReport(vm, services, map[galenahead.ServiceName]serviceReport{"a": whole}, workerState{drained: true}, now)
	is.True(r.At.IsZero())
}

// Guards against a wave that goes on because the failures of one caller are
// spread over several entries.
func TestRemainingSumsOverEntries(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(10_000_000)
	count := func(caller galenahead.CallerName, total, failed int64) galenaconfig.BudgetCount {
		return galenaconfig.BudgetCount{Service: "s", Caller: caller, Total: total, Failed: failed}
	}
	s := &Reports{budgets: map[galenahead.EntryName]budgetReport{
		"e1": {counts: []galenaconfig.BudgetCount{count("x", 1000, 4), count("y", 1000, 1)}, received: now},
		"e2": {counts: []galenaconfig.BudgetCount{count("x", 1000, 5)}, received: now.Add(-time.Minute)},
		"e3": {counts: []galenaconfig.BudgetCount{count("x", 10, 10)}, received: now.Add(-budgetMemory - time.Second)},
	}}
	m := &galenastate.Machine{}
	apply := func(c galenastate.Change) {
		record, err := galenastate.Command{RequestID: c.Kind(), Base: m.View().Revision(), Operator: "o", Change: c}.Encode()
		is.NoErr(err)
		r, err := galenastate.DecodeResult(m.Apply(1, record))
		is.NoErr(err)
		is.NoErr(r.Err())
	}
	apply(galenastate.Change{PoolSet: &galenastate.Pool{Name: "p"}})
	apply(galenastate.Change{ServiceSet: &galenastate.Service{Name: "s", Pool: "p", BudgetPPM: 6000, Slots: 8, Connections: 64, DeadlineMS: 1000}})
	left := s.remaining(m.View(), now)["s"]
	is.True(left > 0.2499 && left < 0.2501) // 9 of 12 allowed failures of x
}
