package galenacontrol

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenaconfig"
	"github.com/galenahead/galenahead/galenarpc"
	"github.com/galenahead/galenahead/galenastate"
	"github.com/galenahead/galenahead/galenawave"
)

// reportTTL is how long the report of a service's broker is valid. Brokers report
// every second.
const reportTTL = 5 * time.Second

// ReportCollector receives the reports of the brokers at the entries and provides
// them to the driver as measurements.
type ReportCollector struct {
	Timers galenahead.Timers
	Store  *Store
	// Entries are the configured entries. Reports of others are not kept.
	Entries []galenahead.EntryName

	mu       sync.Mutex
	services map[galenahead.ServiceName]serviceReport
	budgets  map[galenahead.EntryName]budgetReport
}

// budgetReport contains the newest error budget counts of one entry.
type budgetReport struct {
	counts     []galenaconfig.BudgetCount
	receivedAt time.Time
}

// serviceReport is the newest report of one service's broker.
type serviceReport struct {
	galenaconfig.ServiceReport
	// asOf is a time of the leader after which the report was made.
	asOf time.Time
	// brokerRevision is a lower bound of the revision that the broker's entry had
	// applied when it reported.
	brokerRevision galenahead.Revision
	receivedAt     time.Time
}

// Register adds the method of the brokers' reports to m.
func (s *ReportCollector) Register(m *galenarpc.Mux) {
	galenarpc.Handle(m, galenaconfig.MethodReport, s.handleReport)
}

func (s *ReportCollector) handleReport(ctx context.Context, r galenaconfig.EntryReport) (galenaconfig.ReportReply, error) {
	v, err := s.Store.Current(ctx)
	if err != nil {
		return galenaconfig.ReportReply{}, err
	}
	now := s.keep(v, r)
	return galenaconfig.ReportReply{Mark: galenaconfig.LeaderTimestamp{TimeMS: now.UnixMilli(), Revision: v.Revision()}}, nil
}

// keep keeps what a report says of configured entries and services, and returns when it was received.
func (s *ReportCollector) keep(v *galenastate.View, r galenaconfig.EntryReport) time.Time {
	now := s.Timers.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.services == nil {
		s.services = make(map[galenahead.ServiceName]serviceReport)
		s.budgets = make(map[galenahead.EntryName]budgetReport)
	}
	if slices.Contains(s.Entries, r.Entry) {
		s.budgets[r.Entry] = budgetReport{counts: r.Budgets, receivedAt: now}
	}
	for _, svc := range r.Services {
		if _, ok := v.Service(svc.Service); !ok {
			continue
		}
		old := s.services[svc.Service]
		if svc.Epoch < old.Epoch && now.Sub(old.receivedAt) < reportTTL {
			continue
		}
		s.services[svc.Service] = serviceReport{ServiceReport: svc, asOf: time.UnixMilli(r.AsOf.TimeMS), brokerRevision: r.AsOf.Revision, receivedAt: now}
	}
	return now
}

// freshReports returns the reports that are valid at now.
func (s *ReportCollector) freshReports(now time.Time) map[galenahead.ServiceName]serviceReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	fresh := make(map[galenahead.ServiceName]serviceReport, len(s.services))
	for name, r := range s.services {
		if now.Sub(r.receivedAt) <= reportTTL {
			fresh[name] = r
		}
	}
	return fresh
}

// measurements combines the brokers' reports with the driver's worker states.
// outOfService contains the VMs that are not in service.
func (s *ReportCollector) measurements(v *galenastate.View, now time.Time, outOfService map[galenahead.VMName]*galenastate.VM,
	workerStates map[galenahead.VMName]workerState) galenawave.Measurements {
	reports := s.freshReports(now)
	remaining := s.remainingBudgets(v, now)
	m := galenawave.Measurements{VMs: make(map[galenahead.VMName]galenawave.VMReport)}
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
	services := servicesByPool(v)
	for _, vm := range outOfService {
		m.VMs[vm.Name] = vmReport(vm, services[vm.Pool], reports, workerStates[vm.Name], now)
	}
	return m
}

// budgetCountsTTL is how long the counts of an entry that no longer reports are
// used, because its failures remain in the window of the error budget.
const budgetCountsTTL = 10 * time.Minute

// remainingBudgets returns for each service the remaining share, from 0 to 1, of
// the error budget of the caller that has the least left. A caller's requests and
// failures are summed over all entries.
func (s *ReportCollector) remainingBudgets(v *galenastate.View, now time.Time) map[galenahead.ServiceName]float64 {
	type key struct {
		service galenahead.ServiceName
		caller  galenahead.CallerName
	}
	sums := make(map[key]galenaconfig.BudgetCount)
	s.mu.Lock()
	for _, r := range s.budgets {
		if now.Sub(r.receivedAt) > budgetCountsTTL {
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
	remaining := make(map[galenahead.ServiceName]float64)
	for _, svc := range v.Services() {
		remaining[svc.Name] = 1
	}
	for k, sum := range sums {
		if svc, ok := v.Service(k.service); ok {
			remaining[k.service] = min(remaining[k.service], remainingShare(sum, svc.BudgetPPM))
		}
	}
	return remaining
}

// remainingShare returns the remaining share of an error budget, from 0 to 1. The
// budget allows ppm failures per million requests.
func remainingShare(c galenaconfig.BudgetCount, ppm int32) float64 {
	allowed := float64(c.Total) * float64(ppm) / 1e6
	if allowed <= 0 {
		return 0
	}
	return max(0, 1-float64(c.Failed)/allowed)
}

func servicesByPool(v *galenastate.View) map[galenahead.PoolName][]galenahead.ServiceName {
	services := make(map[galenahead.PoolName][]galenahead.ServiceName)
	for _, s := range v.Services() {
		services[s.Pool] = append(services[s.Pool], s.Name)
	}
	return services
}

// vmReport combines the reports of the brokers of all services of the VM's pool.
// If one of them is missing or incomplete, the result has a zero time, because
// the VM may still have granted slots.
func vmReport(vm *galenastate.VM, services []galenahead.ServiceName, reports map[galenahead.ServiceName]serviceReport,
	state workerState, now time.Time) galenawave.VMReport {
	report := galenawave.VMReport{Tasks: int(vm.Jobs), ReportedAt: now, BrokerRevision: vm.Revision, AnsweringSince: state.answeringSince, Pool: vm.Pool, Failure: state.failure}
	if vm.Condition == galenastate.ConditionDraining && !state.drained {
		// The platform may not have ended the work that it started itself yet.
		report.ReportedAt = time.Time{}
	}
	for _, name := range services {
		r, ok := reports[name]
		if !ok || !r.Complete {
			report.ReportedAt = time.Time{}
			continue
		}
		if r.asOf.Before(report.ReportedAt) {
			report.ReportedAt = r.asOf
		}
		report.BrokerRevision = min(report.BrokerRevision, r.brokerRevision)
		report.SlotsOut += r.SlotsOut[vm.Name]
	}
	return report
}
