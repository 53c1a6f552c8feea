package check

import (
	"io"
	"strings"
	"testing"

	"github.com/galenahead/galenahead/test/galena-bench/sim"
	"github.com/matryer/is"
)

// Guards against a broken bound that does not fail the check, a listed one that
// gets worse unnoticed, and a list entry that excuses another bound.
func TestJudge(t *testing.T) {
	is := is.New(t)
	bounds := []Bound{
		{Name: "peak", Value: 9, Limit: 8},
		{Name: "ratio", Value: 0.7, Limit: 0.99, Least: true},
		{Name: "met", Value: 1, Limit: 1, Least: true},
	}
	broken, unmet := judge(io.Discard, "d", bounds, nil)
	is.Equal([]int{broken, unmet}, []int{2, 0})
	list, err := parseUnmet("# comment\n\nd; ratio; 0.71\n")
	is.NoErr(err)
	broken, unmet = judge(io.Discard, "d", bounds, list)
	is.Equal([]int{broken, unmet}, []int{1, 1})
	list["d; ratio"] = 0.8
	broken, unmet = judge(io.Discard, "d", bounds, list)
	is.Equal([]int{broken, unmet}, []int{2, 0})
	broken, _ = judge(io.Discard, "other", bounds, list)
	is.Equal(broken, 2)
	_, err = parseUnmet("d; ratio")
	is.True(err != nil)
}

// Guards against a bound that is dropped from the check or reads another figure.
func TestBounds(t *testing.T) {
	is := is.New(t)
	good := sim.Report{Policy: sim.PolicyShipped, Worst: 0.9, Mean: 0.9, Ratio: 1, Peak: 8}
	reports := []sim.Report{good}
	for _, name := range []string{sim.PolicyRoundRobin, sim.PolicyLeastLocal, sim.PolicyTwoChoices, sim.PolicyFixedQuota, sim.PolicyNoRetryBudget, sim.PolicyCentral} {
		reports = append(reports, sim.Report{Policy: name, Worst: 0.9, Mean: 0.9})
	}
	count := func() int {
		var out strings.Builder
		broken, _ := judge(&out, "d", Bounds(reports), nil)
		return broken
	}
	is.Equal(count(), 0)
	breaks := []func(r *sim.Report){
		func(r *sim.Report) { r.Peak = 9 },
		func(r *sim.Report) { r.Doubled = 1 },
		func(r *sim.Report) { r.Spent = 11 },
		func(r *sim.Report) { r.BurstLoss = 0.002 },
		func(r *sim.Report) { r.Ratio = 0.98 },
	}
	for _, f := range breaks {
		reports[0] = good
		f(&reports[0])
		is.Equal(count(), 1)
	}
	reports[0] = good
	reports[0].Worst = 0.89
	is.Equal(count(), 5)
	reports[0] = sim.Report{Policy: sim.PolicyShipped, Worst: 0.9, Mean: 0.7, Ratio: 1}
	is.Equal(count(), 5)
}
