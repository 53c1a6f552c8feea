package check

import "github.com/galenahead/galenahead/test/galena-bench/sim"

const (
	// maxPeakInFlight, maxDuplicateRuns, maxBurstLoss and minWorstOverOmniscient
	// are targets of the design page.
	maxPeakInFlight        = 8
	maxDuplicateRuns       = 0
	maxBurstLoss           = 0.001
	minWorstOverOmniscient = 0.99
	// maxSpentOnFailing quantifies "a handful" of the design page: one request for
	// each of the instance's 8 slots, all of which may be in flight when it starts
	// to fail, plus two.
	maxSpentOnFailing = 10
	// minMeanOverCentral limits how much on-time share distributed queues and slot
	// leases may lose compared with one central queue that knows the state of
	// every instance.
	minMeanOverCentral = 0.88
	// tolerance is the relative amount by which a figure may be worse than its
	// value in unmet.txt. The replay itself is deterministic.
	tolerance = 0.05
)

// Bound is a measured figure and its limit.
type Bound struct {
	Name  string
	Value float64
	Limit float64
	// Minimum is true if Limit is the smallest allowed value, and false if it is
	// the largest.
	Minimum bool
}

// Met reports whether the value is within the limit.
func (b Bound) Met() bool {
	if b.Minimum {
		return b.Value >= b.Limit
	}
	return b.Value <= b.Limit
}

// withinTolerance reports whether the value is worse than listedValue, the figure
// in unmet.txt, by at most the tolerance.
func (b Bound) withinTolerance(listedValue float64) bool {
	if b.Minimum {
		return b.Value >= listedValue*(1-tolerance)
	}
	return b.Value <= listedValue*(1+tolerance)
}

func (b Bound) relation() string {
	if b.Minimum {
		return ">="
	}
	return "<="
}

// Bounds returns the bounds of one deployment, with values from its reports.
func Bounds(reports []sim.Report) []Bound {
	byPolicy := make(map[string]sim.Report)
	for _, r := range reports {
		byPolicy[r.Policy] = r
	}
	shipped := byPolicy[sim.PolicyShipped]
	central := byPolicy[sim.PolicyCentral]
	bounds := []Bound{
		{Name: "peak in flight per instance", Value: float64(shipped.PeakInFlight), Limit: maxPeakInFlight},
		{Name: "doubled", Value: float64(shipped.DuplicateRuns), Limit: maxDuplicateRuns},
		{Name: "requests spent on a failing instance", Value: float64(shipped.SpentOnFailing), Limit: maxSpentOnFailing},
		{Name: "burst loss", Value: shipped.BurstLoss, Limit: maxBurstLoss},
		{Name: "worst caller over omniscient", Value: shipped.WorstOverOmniscient, Limit: minWorstOverOmniscient, Minimum: true},
		{Name: "mean over central", Value: ratio(shipped.MeanOnTime, central.MeanOnTime), Limit: minMeanOverCentral, Minimum: true},
	}
	for _, name := range []string{sim.PolicyRoundRobin, sim.PolicyLeastLocal, sim.PolicyTwoChoices, sim.PolicyFixedQuota} {
		bounds = append(bounds,
			Bound{Name: "worst caller over " + name, Value: ratio(shipped.WorstOnTime, byPolicy[name].WorstOnTime), Limit: 1, Minimum: true},
			Bound{Name: "mean over " + name, Value: ratio(shipped.MeanOnTime, byPolicy[name].MeanOnTime), Limit: 1, Minimum: true},
		)
	}
	name := sim.PolicyNoRetryBudget
	bounds = append(bounds, Bound{Name: "worst caller over " + name, Value: ratio(shipped.WorstOnTime, byPolicy[name].WorstOnTime), Limit: 1, Minimum: true})
	return bounds
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
