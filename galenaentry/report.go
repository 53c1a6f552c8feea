package galenaentry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenabroker"
	"github.com/galenahead/galenahead/galenabudget"
	"github.com/galenahead/galenahead/galenaconfig"
)

const (
	// reportPeriod is the time between two reports to the control leader.
	reportPeriod = time.Second
	// reportTimeout bounds one report.
	reportTimeout = 500 * time.Millisecond
)

// reporter reports to the control leader what the brokers at this entry know,
// and the error budgets.
type reporter struct {
	self             galenahead.EntryName
	controlAddresses []string
	rpcClient        galenahead.RPCClient
	timers           galenahead.Timers
	follower         *galenaconfig.Follower
	broker           *galenabroker.Service
	budgets          *galenabudget.Tracker

	// leaderIndex is the index of the control daemon that gets the next report
	// first.
	leaderIndex int
	// latestTimestamp is the leader's newest timestamp, appliedTimestamp the newest
	// one whose revision this entry has applied.
	latestTimestamp, appliedTimestamp galenaconfig.LeaderTimestamp
}

// Run reports until ctx ends.
func (p *reporter) Run(ctx context.Context) error {
	ticks := p.timers.Subscribe(ctx, "entry.report", reportPeriod)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
			p.report(ctx)
		}
	}
}

func (p *reporter) report(ctx context.Context) {
	// The revision is read before the counts, so that the counts include its
	// effect.
	if p.follower.Config().Revision >= p.latestTimestamp.Revision {
		p.appliedTimestamp = p.latestTimestamp
	}
	r := galenaconfig.EntryReport{Entry: p.self, AsOf: p.appliedTimestamp, Services: p.serviceReports(), Budgets: p.budgetCounts()}
	for range p.controlAddresses {
		if p.send(ctx, r) {
			return
		}
		p.leaderIndex = (p.leaderIndex + 1) % len(p.controlAddresses)
	}
}

func (p *reporter) send(ctx context.Context, r galenaconfig.EntryReport) bool {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var reply galenaconfig.ReportReply
	if err := p.rpcClient.Call(ctx, p.controlAddresses[p.leaderIndex], galenaconfig.MethodReport, r, &reply); err != nil {
		return false
	}
	p.latestTimestamp = reply.Mark
	return true
}

// maxBudgetCounts bounds the number of callers in a report. Those with the most
// failures are reported.
const maxBudgetCounts = 64

// budgetCounts returns the counts of the callers with the most failures. Callers
// without failures are left out.
func (p *reporter) budgetCounts() []galenaconfig.BudgetCount {
	var counts []galenaconfig.BudgetCount
	for _, r := range p.budgets.Snapshot(p.timers.Now()) {
		failed := r.Late + r.Refused + r.Unknown
		if failed > 0 {
			counts = append(counts, galenaconfig.BudgetCount{
				Service: r.Service, Caller: r.Caller, Total: r.OnTime + failed, Failed: failed,
			})
		}
	}
	slices.SortFunc(counts, func(a, b galenaconfig.BudgetCount) int { return cmp.Compare(b.Failed, a.Failed) })
	return counts[:min(len(counts), maxBudgetCounts)]
}

// serviceReports returns the reports of the brokers at this entry.
func (p *reporter) serviceReports() []galenaconfig.ServiceReport {
	loads := p.broker.Loads()
	var reports []galenaconfig.ServiceReport
	for _, o := range p.broker.Outstanding() {
		r := galenaconfig.ServiceReport{Service: o.Service, Epoch: o.Epoch, Complete: o.Ready, SlotsOut: o.VMs}
		for _, l := range loads[o.Service] {
			r.Loads = append(r.Loads, galenaconfig.ServiceLoad{
				DataCentre: l.DataCentre, Demand: l.Demand, Capacity: l.Capacity, VMs: l.VMs,
			})
		}
		reports = append(reports, r)
	}
	return reports
}
