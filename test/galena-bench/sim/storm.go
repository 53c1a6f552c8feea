package sim

import (
	"time"

	"github.com/galenahead/galenahead/test/galena-bench/trace"
)

// stormShare is the share of a service's instances that fail everything in a
// storm, more than may be ejected.
const stormShare = 0.6

// Storm compares the shipped policy with and without a retry budget while most
// instances of every service fail everything, as after a faulty release. Then
// neither policy can avoid them, and retries add load.
func Storm(t *trace.Trace, kind trace.FaultKind) ([]Report, error) {
	unlimited := Shipped()
	unlimited.NoRetryBudget = true
	return compare(withStorm(t, kind), []variant{
		tuned(PolicyShipped, Shipped()),
		tuned(PolicyNoRetryBudget, unlimited),
	})
}

func withStorm(t *trace.Trace, kind trace.FaultKind) *trace.Trace {
	c := *t
	c.Faults = nil
	seen := make(map[int]int)
	for i, in := range t.Instances {
		seen[in.Service]++
		if float64(seen[in.Service]) <= stormShare*float64(len(t.Instances)/len(t.Services)) {
			c.Faults = append(c.Faults, trace.Fault{Kind: kind, Index: i, From: time.Second, Until: t.Length / 2})
		}
	}
	return &c
}
