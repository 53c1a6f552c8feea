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
	// PolicyCentral is one queue with full knowledge of the instances, but not of
	// run times.
	PolicyCentral = "central"
	// PolicyOmniscient is the best of several orders that know all run times and
	// keep fair shares, as the shipped policy has to.
	PolicyOmniscient = "omniscient"
	// PolicyUnfair is the same without fair shares.
	PolicyUnfair = "omniscient_unfair"
)

// variant is one way to replay a trace.
type variant struct {
	policy string
	build  func(w *world) policy
	// buddy sends a lost entry's requests to the next entry.
	buddy bool
}

func tuned(name string, o Tuning) variant {
	return variant{policy: name, build: func(w *world) policy { return newShipped(w, o) }}
}

func directly(name string, pick pickFunc) variant {
	return variant{policy: name, build: func(w *world) policy { return newDirect(w, pick) }}
}

func omnisciently(name string, order orderFunc, knowsRuns bool, rule fairness) variant {
	return variant{policy: name, build: func(w *world) policy { return newOmniscient(w, order, knowsRuns, rule) }}
}

// variants returns what Decisions compares.
func variants() []variant {
	quota := Shipped()
	quota.Quota = true
	unlimited := Shipped()
	unlimited.NoRetryBudget = true
	return []variant{
		tuned(PolicyShipped, Shipped()),
		directly(PolicyRoundRobin, roundRobin),
		directly(PolicyLeastLocal, leastLocal),
		directly(PolicyTwoChoices, twoChoices),
		tuned(PolicyFixedQuota, quota),
		tuned(PolicyNoRetryBudget, unlimited),
		omnisciently(PolicyCentral, earliestFirst, false, fairShares),
		omnisciently(PolicyOmniscient, shortestFirst, true, fairShares),
		omnisciently(PolicyOmniscient, latestStartFirst, true, fairShares),
		omnisciently(PolicyOmniscient, earliestFirst, true, fairShares),
		omnisciently(PolicyUnfair, shortestFirst, true, fairOutcome),
		omnisciently(PolicyUnfair, earliestFirst, true, fairOutcome),
		omnisciently(PolicyUnfair, shortestFirst, true, noFairness),
		omnisciently(PolicyUnfair, latestStartFirst, true, fairOutcome),
	}
}

// Decisions replays the trace with every policy.
func Decisions(t *trace.Trace) ([]Report, error) { return compare(t, variants()) }

// compare replays the trace, with and without bursts, in every variant. Of
// variants with the same name it keeps the one with the best worst caller.
func compare(t *trace.Trace, all []variant) ([]Report, error) {
	quiet := t.WithoutBursts()
	reports := make([]Report, len(all))
	var group errgroup.Group
	group.SetLimit(max(1, runtime.GOMAXPROCS(0)/2))
	for i, v := range all {
		group.Go(func() error {
			reports[i] = replay(t, v)
			without := replay(quiet, v)
			reports[i].BurstLoss = burstLoss(t, reports[i].ends, without.ends)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return relate(best(reports)), nil
}

func replay(t *trace.Trace, v variant) Report {
	w := newWorld(t)
	w.buddy = v.buddy
	w.watch = t.Length / 2
	w.policy = v.build(w)
	w.replay()
	return w.report(v.policy)
}

// best keeps the best report of each policy.
func best(reports []Report) []Report {
	var kept []Report
	at := make(map[string]int)
	for _, r := range reports {
		i, ok := at[r.Policy]
		if !ok {
			at[r.Policy] = len(kept)
			kept = append(kept, r)
			continue
		}
		if r.Worst > kept[i].Worst {
			kept[i] = r
		}
	}
	return kept
}

// relate fills in the ratios to the omniscient scheduler.
func relate(reports []Report) []Report {
	for _, top := range reports {
		if top.Policy != PolicyOmniscient {
			continue
		}
		for i := range reports {
			reports[i].Ratio = reports[i].Worst / top.Worst
		}
	}
	return reports
}
