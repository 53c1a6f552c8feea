package check

import (
	"io"
	"strings"
	"testing"

	"github.com/galenahead/galenahead/test/galena-bench/sim"
	"github.com/matryer/is"
)

// Guards against a broken bound that does not fail the check, a listed bound
// that gets worse unnoticed, and a list entry that is applied to another bound.
func TestEvaluate(t *testing.T) {
	is := is.New(t)
	bounds := []Bound{
		{Name: "peak", Value: 9, Limit: 8},
		{Name: "ratio", Value: 0.7, Limit: 0.99, Minimum: true},
		{Name: "met", Value: 1, Limit: 1, Minimum: true},
	}
	broken, unmet := evaluate(io.Discard, "d", bounds, nil)
	is.Equal([]int{broken, unmet}, []int{2, 0})
	knownUnmet, err := parseUnmet("# comment\n\nd; ratio; 0.71\n")
	is.NoErr(err)
	broken, unmet = evaluate(io.Discard, "d", bounds, knownUnmet)
	is.Equal([]int{broken, unmet}, []int{1, 1})
	knownUnmet["d; ratio"] = 0.8
	broken, unmet = evaluate(io.Discard, "d", bounds, knownUnmet)
	is.Equal([]int{broken, unmet}, []int{2, 0})
	broken, _ = evaluate(io.Discard, "other", bounds, knownUnmet)
	is.Equal(broken, 2)
	_, err = parseUnmet("d; ratio")
	is.True(err != nil)
}

// Guards against a bound that is missing from the check or that compares the
// wrong figure.
func TestBounds(t *testing.T) {
	is := is.New(t)
	passing := sim.Report{Policy: sim.PolicyShipped, WorstOnTime: 0.9, MeanOnTime: 0.9, WorstOverOmniscient: 1, PeakInFlight: 8}
	reports := []sim.Report{passing}
	for _, name := range []string{sim.PolicyRoundRobin, sim.PolicyLeastLocal, sim.PolicyTwoChoices, sim.PolicyFixedQuota, sim.PolicyNoRetryBudget, sim.PolicyCentral} {
		reports = append(reports, sim.Report{Policy: name, WorstOnTime: 0.9, MeanOnTime: 0.9})
	}
	countBroken := func() int {
		var out strings.Builder
		broken, _ := evaluate(&out, "d", Bounds(reports), nil)
		return broken
	}
	is.Equal(countBroken(), 0)
	breakBound := []func(r *sim.Report){
		func(r *sim.Report) { r.PeakInFlight = 9 },
		func(r *sim.Report) { r.DuplicateRuns = 1 },
		func(r *sim.Report) { r.SpentOnFailing = 11 },
		func(r *sim.Report) { r.BurstLoss = 0.002 },
		func(r *sim.Report) { r.WorstOverOmniscient = 0.98 },
	}
	for _, f := range breakBound {
		reports[0] = passing
		f(&reports[0])
		is.Equal(countBroken(), 1)
	}
	reports[0] = passing
	reports[0].WorstOnTime = 0.89
	is.Equal(countBroken(), 5)
	reports[0] = sim.Report{Policy: sim.PolicyShipped, WorstOnTime: 0.9, MeanOnTime: 0.7, WorstOverOmniscient: 1}
	is.Equal(countBroken(), 5)
}
