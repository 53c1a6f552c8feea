package sim

import (
	"math/rand/v2"
	"time"

	"github.com/galenahead/galenahead/test/galena-bench/trace"
)

// Names of the variants that Spread compares. With groups, every entry sends to
// three or four instances of a service. With buddy entries, one other entry takes
// over all requests of a lost entry.
const (
	SpreadFixedGroups    = "fixed_groups"
	SpreadShuffledGroups = "shuffled_groups"
	SpreadNoGroups       = "no_groups"
	SpreadBuddyEntries   = "shipped_buddy_entries"
	SpreadAllEntries     = "shipped_all_entries"
)

// groupCount is the number of groups of instances and entries.
const groupCount = 3

// spreadSeed is the random seed of the shuffled groups.
const spreadSeed = 11

// Spread compares ways to spread the load of lost instances and entries: over the
// other members of a fixed group, or evenly over all survivors, as the shuffled
// groups of Sung and Park (doi 10.1587/transinf.2016EDP7208) do for disks.
func Spread(t *trace.Trace) ([]Report, error) {
	faulty := withLosses(t)
	return compareVariants(faulty, []variant{
		groupedVariant(SpreadFixedGroups, fixedGroups),
		groupedVariant(SpreadShuffledGroups, shuffledGroups(faulty)),
		directVariant(SpreadNoGroups, leastLocal),
		{policy: SpreadBuddyEntries, buddyFailover: true, build: func(sim *simulation) policy { return newShippedPolicy(sim, ShippedTuning()) }},
		shippedVariant(SpreadAllEntries, ShippedTuning()),
		omniscientVariant(PolicyOmniscient, shortestFirst, true, fairShares),
		omniscientVariant(PolicyOmniscient, earliestFirst, true, fairShares),
	})
}

// withLosses returns a copy of t whose only faults are the loss of one instance of
// every service and of one entry, from the middle of the trace on.
func withLosses(t *trace.Trace) *trace.Trace {
	c := *t
	c.Faults = nil
	middle := t.Length / 2
	hasFault := make(map[int]bool)
	for i, inst := range t.Instances {
		if !hasFault[inst.Service] {
			hasFault[inst.Service] = true
			c.Faults = append(c.Faults, trace.Fault{Kind: trace.FaultLeaving, Index: i, From: middle, Until: t.Length + time.Minute})
		}
	}
	c.Faults = append(c.Faults, trace.Fault{Kind: trace.FaultEntryLost, Index: 5, From: middle, Until: t.Length})
	return &c
}

func groupedVariant(name string, subset func(e *entry, inst *instance) bool) variant {
	return variant{policy: name, build: func(sim *simulation) policy {
		d := newDirectPolicy(sim, leastLocal)
		d.subset = subset
		return d
	}}
}

func fixedGroups(e *entry, inst *instance) bool {
	// An entry's data centre is its index modulo the number of data centres, so the
	// quotient does not depend on the data centre.
	return e.index/4%groupCount == inst.index%groupCount
}

// shuffledGroups assigns every entry a group of the instances of every service.
// Each set of groupCount consecutive entries splits a new permutation of the
// instances, so that every instance is in the same number of groups.
func shuffledGroups(t *trace.Trace) func(e *entry, inst *instance) bool {
	rng := rand.New(rand.NewPCG(spreadSeed, spreadSeed))
	member := make(map[[2]int]bool)
	perService := len(t.Instances) / len(t.Services)
	for first := 0; first < len(t.Entries); first += groupCount {
		for service := range t.Services {
			for position, i := range rng.Perm(perService) {
				member[[2]int{first + position%groupCount, service*perService + i}] = true
			}
		}
	}
	return func(e *entry, inst *instance) bool { return member[[2]int{e.index, inst.index}] }
}

// loadImbalance returns the highest load of a surviving instance or entry relative
// to the mean of the survivors. Instances are compared within their service, and
// the value is that of the worst service.
func (sim *simulation) loadImbalance() (instances, entries float64) {
	for s := range sim.trace.Services {
		var load []int
		for _, inst := range sim.instances {
			if inst.Service == s && !inst.stopped {
				load = append(load, sim.instanceLoad[inst.index])
			}
		}
		instances = max(instances, maxOverMean(load))
	}
	var load []int
	for _, e := range sim.entries {
		if !e.dead {
			load = append(load, sim.entryLoad[e.index])
		}
	}
	return instances, maxOverMean(load)
}

func maxOverMean(load []int) float64 {
	sum, maxLoad := 0, 0
	for _, n := range load {
		sum += n
		maxLoad = max(maxLoad, n)
	}
	if sum == 0 {
		return 0
	}
	return float64(maxLoad) * float64(len(load)) / float64(sum)
}
