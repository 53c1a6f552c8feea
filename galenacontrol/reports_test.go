package galenacontrol

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenaconfig"
	"github.com/galenahead/galenahead/galenastate"
	"github.com/galenahead/galenahead/galenatimer"
)

// Guards against rebooting a VM on which a broker may still have granted slots,
// for which a broker of its pool has not reported or reported before the drain, or
// on which the platform has not yet ended its own work.
func TestVMReportRequiresAllBrokers(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(100_000)
	drainedAt := now.Add(-10 * time.Second)
	vm := &galenastate.VM{Name: "v", Condition: galenastate.ConditionDraining, Revision: 7}
	complete := serviceReport{asOf: now.Add(-time.Second), brokerRevision: 7}
	complete.Complete = true
	incomplete, olderRevision, stale := complete, complete, complete
	incomplete.Complete = false
	olderRevision.brokerRevision = 6
	stale.asOf = drainedAt.Add(-time.Second)
	services := []galenahead.ServiceName{"a", "b"}
	report := func(b serviceReport, drained bool) (time.Time, galenahead.Revision) {
		r := vmReport(vm, services, map[galenahead.ServiceName]serviceReport{"a": complete, "b": b}, workerState{drained: drained}, now)
		return r.ReportedAt, r.BrokerRevision
	}
	at, rev := report(complete, true)
	is.True(at.After(drainedAt))
	is.Equal(rev, galenahead.Revision(7))
	at, _ = report(incomplete, true)
	is.True(at.IsZero())
	at, _ = report(complete, false)
	is.True(at.IsZero())
	at, _ = report(stale, true)
	is.True(at.Before(drainedAt))
	_, rev = report(olderRevision, true)
	is.Equal(rev, galenahead.Revision(6))
	r := vmReport(vm, services, map[galenahead.ServiceName]serviceReport{"a": complete}, workerState{drained: true}, now)
	is.True(r.ReportedAt.IsZero())
}

// Guards against a wave that continues although a caller's error budget is used
// up, because the failures are spread over several entries.
func TestRemainingBudgetsSumOverEntries(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(10_000_000)
	count := func(caller galenahead.CallerName, total, failed int64) galenaconfig.BudgetCount {
		return galenaconfig.BudgetCount{Service: "s", Caller: caller, Total: total, Failed: failed}
	}
	s := &ReportCollector{budgets: map[galenahead.EntryName]budgetReport{
		"e1": {counts: []galenaconfig.BudgetCount{count("x", 1000, 4), count("y", 1000, 1)}, receivedAt: now},
		"e2": {counts: []galenaconfig.BudgetCount{count("x", 1000, 5)}, receivedAt: now.Add(-time.Minute)},
		"e3": {counts: []galenaconfig.BudgetCount{count("x", 10, 10)}, receivedAt: now.Add(-budgetCountsTTL - time.Second)},
	}}
	m := &galenastate.StateMachine{}
	apply := func(c galenastate.Change) {
		record, err := galenastate.Command{RequestID: c.Kind(), BaseRevision: m.View().Revision(), Operator: "o", Change: c}.Encode()
		is.NoErr(err)
		r, err := galenastate.DecodeResult(m.Apply(1, record))
		is.NoErr(err)
		is.NoErr(r.Err())
	}
	apply(galenastate.Change{PoolSet: &galenastate.Pool{Name: "p"}})
	apply(galenastate.Change{ServiceSet: &galenastate.Service{Name: "s", Pool: "p", BudgetPPM: 6000, Slots: 8, Connections: 64, DeadlineMS: 1000}})
	remaining := s.remainingBudgets(m.View(), now)["s"]
	is.True(remaining > 0.2499 && remaining < 0.2501) // 9 of 12 allowed failures of x
}

// Guards against a record for each name that a report of a stranger gives.
func TestReportsOfStrangersAreNotKept(t *testing.T) {
	is := is.New(t)
	s := &ReportCollector{Timers: &galenatimer.Service{}, Entries: []galenahead.EntryName{"e1"}}
	m := &galenastate.StateMachine{}
	for i := range 100 {
		s.keep(m.View(), galenaconfig.EntryReport{
			Entry: galenahead.EntryName(fmt.Sprint("stranger-", i)), Services: []galenaconfig.ServiceReport{{Service: galenahead.ServiceName(fmt.Sprint("s-", i))}},
		})
	}
	is.Equal(len(s.budgets)+len(s.services), 0)
	s.keep(m.View(), galenaconfig.EntryReport{Entry: "e1"})
	is.Equal(len(s.budgets), 1)
}
