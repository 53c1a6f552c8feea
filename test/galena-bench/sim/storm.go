package sim

import (
	"time"

	"github.com/galenahead/galenahead/test/galena-bench/trace"
)

// failingShare is the share of a service's instances that fail every request
// during a retry storm. It is higher than the share that may be ejected.
const failingShare = 0.6

// Storm compares the shipped policy with and without a retry budget while most
// instances of every service fail every request, as after a faulty release. Neither
// variant can avoid all failing instances then, and retries add load.
func Storm(t *trace.Trace, kind trace.FaultKind) ([]Report, error) {
	unlimited := ShippedTuning()
	unlimited.NoRetryBudget = true
	return compareVariants(withStorm(t, kind), []variant{
		shippedVariant(PolicyShipped, ShippedTuning()),
		shippedVariant(PolicyNoRetryBudget, unlimited),
	})
}

// withStorm returns a copy of t whose only faults are failing instances of the
// given kind during the first half of the trace.
func withStorm(t *trace.Trace, kind trace.FaultKind) *trace.Trace {
	c := *t
	c.Faults = nil
	countByService := make(map[int]int)
	for i, inst := range t.Instances {
		countByService[inst.Service]++
		if float64(countByService[inst.Service]) <= failingShare*float64(len(t.Instances)/len(t.Services)) {
			c.Faults = append(c.Faults, trace.Fault{Kind: kind, Index: i, From: time.Second, Until: t.Length / 2})
		}
	}
	return &c
}
