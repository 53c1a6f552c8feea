package sim

import (
	"math/rand/v2"
	"time"

	"github.com/galenahead/galenahead/test/galena-bench/trace"
)

// Names of the variants that Spread compares. In groups, every entry sends to
// three or four instances of a service; buddies take over from lost entries.
const (
	SpreadFixedGroups    = "fixed_groups"
	SpreadShuffledGroups = "shuffled_groups"
	SpreadNoGroups       = "no_groups"
	SpreadBuddyEntries   = "shipped_buddy_entries"
	SpreadAllEntries     = "shipped_all_entries"
)

// groupCount is the number of groups of instances and entries.
const groupCount = 3

// spreadSeed draws the shuffled groups.
const spreadSeed = 11

// Spread compares ways to spread the load of lost instances and entries: to the
// other members of a fixed group, or evenly over all survivors as the shuffled
// groups of Sung and Park (doi 10.1587/transinf.2016EDP7208) do for disks.
func Spread(t *trace.Trace) ([]Report, error) {
	lost := withLosses(t)
	return compare(lost, []variant{
		grouped(SpreadFixedGroups, fixedGroups),
		grouped(SpreadShuffledGroups, shuffledGroups(lost)),
		directly(SpreadNoGroups, leastLocal),
		{policy: SpreadBuddyEntries, buddy: true, build: func(w *world) policy { return newShipped(w, Shipped()) }},
		tuned(SpreadAllEntries, Shipped()),
		omnisciently(PolicyOmniscient, shortestFirst, true, fairShares),
		omnisciently(PolicyOmniscient, earliestFirst, true, fairShares),
	})
}

// withLosses replaces the faults by the loss of one instance of every service
// and of one entry from the middle of the trace.
func withLosses(t *trace.Trace) *trace.Trace {
	c := *t
	c.Faults = nil
	middle := t.Length / 2
	seen := make(map[int]bool)
	for i, in := range t.Instances {
		if !seen[in.Service] {
			seen[in.Service] = true
			c.Faults = append(c.Faults, trace.Fault{Kind: trace.FaultLeaving, Index: i, From: middle, Until: t.Length + time.Minute})
		}
	}
	c.Faults = append(c.Faults, trace.Fault{Kind: trace.FaultEntry, Index: 5, From: middle, Until: t.Length})
	return &c
}

func grouped(name string, subset func(e *entry, in *instance) bool) variant {
	return variant{policy: name, build: func(w *world) policy {
		d := newDirect(w, leastLocal)
		d.subset = subset
		return d
	}}
}

func fixedGroups(e *entry, in *instance) bool {
	// Entries are in data centre index modulo the number of data centres, so the
	// quotient is independent of it.
	return e.index/4%groupCount == in.index%groupCount
}

// shuffledGroups gives every entry its own group of every service's instances.
// Each round of groupCount entries splits a new permutation, so that every
// instance is in equally many groups.
func shuffledGroups(t *trace.Trace) func(e *entry, in *instance) bool {
	rng := rand.New(rand.NewPCG(spreadSeed, spreadSeed))
	member := make(map[[2]int]bool)
	perService := len(t.Instances) / len(t.Services)
	for first := 0; first < len(t.Entries); first += groupCount {
		for service := range t.Services {
			for place, i := range rng.Perm(perService) {
				member[[2]int{first + place%groupCount, service*perService + i}] = true
			}
		}
	}
	return func(e *entry, in *instance) bool { return member[[2]int{e.index, in.index}] }
}

// imbalance returns the largest load of a survivor over the survivors' mean:
// of instances within their service, for the worst service, and of entries.
func (w *world) imbalance() (instances, entries float64) {
	for s := range w.t.Services {
		var load []int
		for _, in := range w.instances {
			if in.Service == s && !in.stopped {
				load = append(load, w.instanceLoad[in.index])
			}
		}
		instances = max(instances, overMean(load))
	}
	var load []int
	for _, e := range w.entries {
		if !e.dead {
			load = append(load, w.entryLoad[e.index])
		}
	}
	return instances, overMean(load)
}

func overMean(load []int) float64 {
	sum, most := 0, 0
	for _, n := range load {
		sum += n
		most = max(most, n)
	}
	if sum == 0 {
		return 0
	}
	return float64(most) * float64(len(load)) / float64(sum)
}
