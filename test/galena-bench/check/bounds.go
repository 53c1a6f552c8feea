package check

import "github.com/galenahead/galenahead/test/galena-bench/sim"

const (
	// peakLimit and doubledLimit are targets of the design page, as are
	// burstLossTarget and omniscientTarget.
	peakLimit        = 8
	doubledLimit     = 0
	burstLossTarget  = 0.001
	omniscientTarget = 0.99
	// spentLimit is "a handful" of the design page: one request for each slot of
	// the instance, which may be under way when it starts to fail, and two.
	spentLimit = 10
	// centralLimit guards what the queues and leases lose against one queue with
	// full knowledge of the instances.
	centralLimit = 0.88
	// worseBy is how much worse than listed a figure may be. The replay itself
	// repeats exactly.
	worseBy = 0.05
)

// Bound is one figure and its limit.
type Bound struct {
	Name  string
	Value float64
	Limit float64
	// Least tells that the limit is the smallest allowed value, else it is the
	// largest.
	Least bool
}

// OK tells whether the bound holds.
func (b Bound) OK() bool {
	if b.Least {
		return b.Value >= b.Limit
	}
	return b.Value <= b.Limit
}

// within tells that the value is at most worseBy worse than the one seen when
// the bound was listed as not met.
func (b Bound) within(seen float64) bool {
	if b.Least {
		return b.Value >= seen*(1-worseBy)
	}
	return b.Value <= seen*(1+worseBy)
}

func (b Bound) relation() string {
	if b.Least {
		return ">="
	}
	return "<="
}

// Bounds returns the bounds for the reports of one deployment.
func Bounds(reports []sim.Report) []Bound {
	by := make(map[string]sim.Report)
	for _, r := range reports {
		by[r.Policy] = r
	}
	shipped := by[sim.PolicyShipped]
	central := by[sim.PolicyCentral]
	all := []Bound{
		{Name: "peak in flight per instance", Value: float64(shipped.Peak), Limit: peakLimit},
		{Name: "doubled", Value: float64(shipped.Doubled), Limit: doubledLimit},
		{Name: "requests spent on a failing instance", Value: float64(shipped.Spent), Limit: spentLimit},
		{Name: "burst loss", Value: shipped.BurstLoss, Limit: burstLossTarget},
		{Name: "worst caller over omniscient", Value: shipped.Ratio, Limit: omniscientTarget, Least: true},
		{Name: "mean over central", Value: ratio(shipped.Mean, central.Mean), Limit: centralLimit, Least: true},
	}
	for _, name := range []string{sim.PolicyRoundRobin, sim.PolicyLeastLocal, sim.PolicyTwoChoices, sim.PolicyFixedQuota} {
		all = append(all,
			Bound{Name: "worst caller over " + name, Value: ratio(shipped.Worst, by[name].Worst), Limit: 1, Least: true},
			Bound{Name: "mean over " + name, Value: ratio(shipped.Mean, by[name].Mean), Limit: 1, Least: true},
		)
	}
	name := sim.PolicyNoRetryBudget
	all = append(all, Bound{Name: "worst caller over " + name, Value: ratio(shipped.Worst, by[name].Worst), Limit: 1, Least: true})
	return all
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
