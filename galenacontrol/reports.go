package galenacontrol

import (
	"context"
	"sync"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenaconfig"
	"github.com/galenahead/galenahead/galenarpc"
	"github.com/galenahead/galenahead/galenastate"
	"github.com/galenahead/galenahead/galenawave"
)

// reportTTL is how long the report of a service's broker is used. Brokers
// report every second.
const reportTTL = 5 * time.Second

// Reports collects what the brokers at the entries report to the leader.
type Reports struct {
	Timers galenahead.Timers
	Store  *Store

	mu       sync.Mutex
	services map[galenahead.ServiceName]serviceReport
	budgets  map[galenahead.EntryName]budgetReport
}

// budgetReport is the newest counts of one entry.
type budgetReport struct {
	counts   []galenaconfig.BudgetCount
	received time.Time
}

// serviceReport is the newest report of one service's broker.
type serviceReport struct {
	galenaconfig.ServiceReport
	// asOf is a time before which the report cannot have been made.
	asOf time.Time
	// inForce is a revision that the broker's entry held at least.
	inForce galenahead.Revision
	// received is when the report arrived.
	received time.Time
}

// Register adds the reports' method to m.
func (s *Reports) Register(m *galenarpc.Mux) {
	galenarpc.Handle(m, galenaconfig.MethodReport, s.report)
}

func (s *Reports) report(ctx context.Context, r galenaconfig.EntryReport) (galenaconfig.ReportReply, error) {
	v, err := s.Store.Current(ctx)
	if err != nil {
		return galenaconfig.ReportReply{}, err
	}
	now := s.Timers.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.services == nil {
		s.services = make(map[galenahead.ServiceName]serviceReport)
		s.budgets = make(map[galenahead.EntryName]budgetReport)
	}
	s.budgets[r.Entry] = budgetReport{counts: r.Budgets, received: now}
	for _, svc := range r.Services {
		old := s.services[svc.Service]
		if svc.Epoch < old.Epoch && now.Sub(old.received) < reportTTL {
			continue
		}
		s.services[svc.Service] = serviceReport{ServiceReport: svc, asOf: time.UnixMilli(r.AsOf.TimeMS), inForce: r.AsOf.Revision, received: now}
	}
	return galenaconfig.ReportReply{Mark: galenaconfig.Mark{TimeMS: now.UnixMilli(), Revision: v.Revision()}}, nil
}

// fresh returns the usable reports.
func (s *Reports) fresh(now time.Time) map[galenahead.ServiceName]serviceReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[galenahead.ServiceName]serviceReport, len(s.services))
	for name, r := range s.services {
		if now.Sub(r.received) <= reportTTL {
			out[name] = r
		}
	}
	return out
}

// measurements joins the brokers' reports with what the driver knows of tasks.
// out holds the VMs that are not in service.
func (s *Reports) measurements(v *galenastate.View, now time.Time, out map[galenahead.VMName]*galenastate.VM,
	workers map[galenahead.VMName]workerState) galenawave.Measurements {
	reports := s.fresh(now)
	remaining := s.remaining(v, now)
	m := galenawave.Measurements{VMs: make(map[galenahead.VMName]galenawave.Report)}
	for _, svc := range v.Services() {
		r, ok := reports[svc.Name]
		if !ok {
			continue
		}
		for _, l := range r.Loads {
			m.Loads = append(m.Loads, galenawave.Load{
				Service: svc.Name, DataCentre: l.DataCentre, Demand: l.Demand, Capacity: l.Capacity, VMs: l.VMs, Budget: remaining[svc.Name],
			})
		}
	}
	users := servicesByPool(v)
	for _, vm := range out {
		m.VMs[vm.Name] = vmReport(vm, users[vm.Pool], reports, workers[vm.Name], now)
	}
	return m
}

// budgetMemory is how long the counts of an entry that no longer reports are
// used: its failures stay within the budget's window.
const budgetMemory = 10 * time.Minute

// remaining returns for each service the share of the availability budget that
// is left to its worst caller over all entries, from 0 to 1.
func (s *Reports) remaining(v *galenastate.View, now time.Time) map[galenahead.ServiceName]float64 {
	type key struct {
		service galenahead.ServiceName
		caller  galenahead.CallerName
	}
	sums := make(map[key]galenaconfig.BudgetCount)
	s.mu.Lock()
	for _, r := range s.budgets {
		if now.Sub(r.received) > budgetMemory {
			continue
		}
		for _, c := range r.counts {
			sum := sums[key{c.Service, c.Caller}]
			sum.Total += c.Total
			sum.Failed += c.Failed
			sums[key{c.Service, c.Caller}] = sum
		}
	}
	s.mu.Unlock()
	out := make(map[galenahead.ServiceName]float64)
	for _, svc := range v.Services() {
		out[svc.Name] = 1
	}
	for k, sum := range sums {
		if svc, ok := v.Service(k.service); ok {
			out[k.service] = min(out[k.service], budgetLeft(sum, svc.BudgetPPM))
		}
	}
	return out
}

// budgetLeft returns the share of a budget that is left, from 0 to 1.
func budgetLeft(c galenaconfig.BudgetCount, ppm int32) float64 {
	allowed := float64(c.Total) * float64(ppm) / 1e6
	if allowed <= 0 {
		return 0
	}
	return max(0, 1-float64(c.Failed)/allowed)
}

func servicesByPool(v *galenastate.View) map[galenahead.PoolName][]galenahead.ServiceName {
	out := make(map[galenahead.PoolName][]galenahead.ServiceName)
	for _, s := range v.Services() {
		out[s.Pool] = append(out[s.Pool], s.Name)
	}
	return out
}

// vmReport joins the reports of the brokers of all services of the VM's pool.
// Without one of them nothing is proved: At stays zero.
func vmReport(vm *galenastate.VM, services []galenahead.ServiceName, reports map[galenahead.ServiceName]serviceReport,
	w workerState, now time.Time) galenawave.Report {
	out := galenawave.Report{Tasks: int(vm.Jobs), At: now, InForce: vm.Revision, AnsweringSince: w.answering, Pool: vm.Pool, Failure: w.failure}
	if vm.Condition == galenastate.ConditionDraining && !w.drained {
		// The platform may still be ending work that it started itself.
		out.At = time.Time{}
	}
	for _, name := range services {
		r, ok := reports[name]
		if !ok || !r.Complete {
			out.At = time.Time{}
			continue
		}
		if r.asOf.Before(out.At) {
			out.At = r.asOf
		}
		out.InForce = min(out.InForce, r.inForce)
		out.SlotsOut += r.SlotsOut[vm.Name]
	}
	return out
}
