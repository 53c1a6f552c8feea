package sim

import (
	"runtime"

	"golang.org/x/sync/errgroup"

	"github.com/galenahead/galenahead/test/galena-bench/trace"
)

// Names of the policies.
const (
	PolicyShipped       = "shipped"
	PolicyRoundRobin    = "round_robin"
	PolicyLeastLocal    = "least_local"
	PolicyTwoChoices    = "two_choices"
	PolicyFixedQuota    = "fixed_quota"
	PolicyNoRetryBudget = "no_retry_budget"
	// PolicyCentral is one central queue that knows the state of every instance, but
	// not the run times of requests.
	PolicyCentral = "central"
	// PolicyOmniscient is the best of several scheduling orders of a scheduler that
	// knows all run times and, like the shipped policy, enforces fair shares.
	PolicyOmniscient = "omniscient"
	// PolicyOmniscientUnfair is PolicyOmniscient without fair shares.
	PolicyOmniscientUnfair = "omniscient_unfair"
)

// variant is a policy with its parameters.
type variant struct {
	policy string
	build  func(sim *simulation) policy
	// buddyFailover sends all requests of a lost entry to the next entry.
	buddyFailover bool
}

func shippedVariant(name string, tuning Tuning) variant {
	return variant{policy: name, build: func(sim *simulation) policy { return newShippedPolicy(sim, tuning) }}
}

func directVariant(name string, choose chooseFunc) variant {
	return variant{policy: name, build: func(sim *simulation) policy { return newDirectPolicy(sim, choose) }}
}

func omniscientVariant(name string, order orderFunc, knowsRunTimes bool, fairTo fairness) variant {
	return variant{policy: name, build: func(sim *simulation) policy { return newOmniscientPolicy(sim, order, knowsRunTimes, fairTo) }}
}

// allVariants returns the variants that Decisions compares.
func allVariants() []variant {
	fixed := ShippedTuning()
	fixed.FixedSlots = true
	unlimited := ShippedTuning()
	unlimited.NoRetryBudget = true
	return []variant{
		shippedVariant(PolicyShipped, ShippedTuning()),
		directVariant(PolicyRoundRobin, roundRobin),
		directVariant(PolicyLeastLocal, leastLocal),
		directVariant(PolicyTwoChoices, twoChoices),
		shippedVariant(PolicyFixedQuota, fixed),
		shippedVariant(PolicyNoRetryBudget, unlimited),
		omniscientVariant(PolicyCentral, earliestFirst, false, fairShares),
		omniscientVariant(PolicyOmniscient, shortestFirst, true, fairShares),
		omniscientVariant(PolicyOmniscient, latestStartFirst, true, fairShares),
		omniscientVariant(PolicyOmniscient, earliestFirst, true, fairShares),
		omniscientVariant(PolicyOmniscientUnfair, shortestFirst, true, fairOutcome),
		omniscientVariant(PolicyOmniscientUnfair, earliestFirst, true, fairOutcome),
		omniscientVariant(PolicyOmniscientUnfair, shortestFirst, true, noFairness),
		omniscientVariant(PolicyOmniscientUnfair, latestStartFirst, true, fairOutcome),
	}
}

// Decisions replays the trace with every policy.
func Decisions(t *trace.Trace) ([]Report, error) { return compareVariants(t, allVariants()) }

// compareVariants replays the trace with every variant, with and without bursts.
// Of the variants with the same policy name it keeps the one whose worst caller
// has the highest on-time share.
func compareVariants(t *trace.Trace, variants []variant) ([]Report, error) {
	withoutBursts := t.WithoutBursts()
	reports := make([]Report, len(variants))
	var group errgroup.Group
	group.SetLimit(max(1, runtime.GOMAXPROCS(0)/2))
	for i, v := range variants {
		group.Go(func() error {
			reports[i] = replayVariant(t, v)
			without := replayVariant(withoutBursts, v)
			reports[i].BurstLoss = burstLoss(t, reports[i].results, without.results)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return fillRatios(bestPerPolicy(reports)), nil
}

func replayVariant(t *trace.Trace, v variant) Report {
	sim := newSimulation(t)
	sim.buddyFailover = v.buddyFailover
	sim.loadFrom = t.Length / 2
	sim.policy = v.build(sim)
	sim.replay()
	return sim.report(v.policy)
}

// bestPerPolicy returns the report with the highest WorstOnTime of each policy.
func bestPerPolicy(reports []Report) []Report {
	var best []Report
	indexByPolicy := make(map[string]int)
	for _, r := range reports {
		i, ok := indexByPolicy[r.Policy]
		if !ok {
			indexByPolicy[r.Policy] = len(best)
			best = append(best, r)
			continue
		}
		if r.WorstOnTime > best[i].WorstOnTime {
			best[i] = r
		}
	}
	return best
}

// fillRatios sets WorstOverOmniscient in all reports.
func fillRatios(reports []Report) []Report {
	for _, omniscient := range reports {
		if omniscient.Policy != PolicyOmniscient {
			continue
		}
		for i := range reports {
			reports[i].WorstOverOmniscient = reports[i].WorstOnTime / omniscient.WorstOnTime
		}
	}
	return reports
}
