package command

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/galenahead/galenahead/test/galena-path/fleet"
	"github.com/galenahead/galenahead/test/galena-path/load"
)

const (
	// leastThroughput is the smallest share of the direct throughput, and
	// mostAdded the bound on the added latency at the median at half load, both by
	// section 1.7 of the design page.
	leastThroughput = 0.5
	mostAdded       = 300 * time.Microsecond
	// halfLoad is the share of the entry's throughput that counts as half load.
	halfLoad = 0.5
	// warmUp runs before the first round, so that connections are open and run
	// times are learned.
	warmUp = 500 * time.Millisecond
)

// measured is one load with its results, one for each round.
type measured struct {
	name    string
	results []load.Result
}

func (l *measured) add(r load.Result) { l.results = append(l.results, r) }

// median returns the median of each figure over the rounds.
func (l *measured) median() load.Result {
	of := func(f func(load.Result) float64) float64 { return median(l.results, f) }
	return load.Result{
		PerSecond: of(func(r load.Result) float64 { return r.PerSecond }),
		P50:       time.Duration(of(func(r load.Result) float64 { return float64(r.P50) })),
		P99:       time.Duration(of(func(r load.Result) float64 { return float64(r.P99) })),
	}
}

func median[T any](list []T, f func(T) float64) float64 {
	v := make([]float64, len(list))
	for i := range list {
		v[i] = f(list[i])
	}
	slices.Sort(v)
	return (v[(len(v)-1)/2] + v[len(v)/2]) / 2
}

// kind is one kind of request through the entry.
type kind struct {
	name       string
	idempotent bool
	full, half *measured
	// directHalf is the direct load at the same rate as half.
	directHalf *measured
}

// measurement measures all loads in turn, round by round, so that other work on
// the machine affects all alike.
type measurement struct {
	options *Options
	fleet   *fleet.Fleet
	loads   []*measured
	direct  *measured
	kinds   []*kind
}

// goal is one goal with the figures that decide it.
type goal struct {
	name, figures, bound string
	met                  bool
}

func (m *measurement) run(ctx context.Context) error {
	m.direct = m.load("direct, full load")
	for _, idempotent := range []bool{true, false} {
		k := &kind{name: "non-idempotent", idempotent: idempotent}
		if idempotent {
			k.name = "idempotent"
		}
		k.full = m.load("entry, " + k.name + ", full load")
		k.half = m.load("entry, " + k.name + ", half load")
		k.directHalf = m.load("direct at the same rate")
		m.kinds = append(m.kinds, k)
	}
	for _, k := range m.kinds {
		if _, err := m.send(ctx, m.entry(k), 0, warmUp); err != nil {
			return err
		}
	}
	for range m.options.Rounds {
		if err := m.round(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (m *measurement) load(name string) *measured {
	l := &measured{name: name}
	m.loads = append(m.loads, l)
	return l
}

func (m *measurement) upstream() load.Target {
	return load.Target{Address: m.fleet.Direct, Service: fleet.Service}
}

func (m *measurement) entry(k *kind) load.Target {
	return load.Target{Address: m.fleet.Entry, Service: fleet.Service, Idempotent: k.idempotent, Entry: true}
}

func (m *measurement) round(ctx context.Context) error {
	slice := m.options.Slice
	if err := m.record(ctx, m.direct, m.upstream(), 0); err != nil {
		return err
	}
	for _, k := range m.kinds {
		full, err := m.send(ctx, m.entry(k), 0, slice)
		if err != nil {
			return err
		}
		k.full.add(full)
		rate := full.PerSecond * halfLoad
		if err := m.record(ctx, k.half, m.entry(k), rate); err != nil {
			return err
		}
		if err := m.record(ctx, k.directHalf, m.upstream(), rate); err != nil {
			return err
		}
	}
	return nil
}

func (m *measurement) record(ctx context.Context, l *measured, t load.Target, rate float64) error {
	r, err := m.send(ctx, t, rate, m.options.Slice)
	if err == nil {
		l.add(r)
	}
	return err
}

func (m *measurement) send(ctx context.Context, t load.Target, rate float64, d time.Duration) (load.Result, error) {
	return load.Run(ctx, t, load.Options{Connections: m.options.Connections, Duration: d, Rate: rate, Seed: m.options.Seed})
}

// goals compares the figures of each round and returns the medians.
func (m *measurement) goals() []goal {
	var list []goal
	rounds := make([]int, m.options.Rounds)
	for i := range rounds {
		rounds[i] = i
	}
	for _, k := range m.kinds {
		ratio := median(rounds, func(i int) float64 { return k.full.results[i].PerSecond / m.direct.results[i].PerSecond })
		added := time.Duration(median(rounds, func(i int) float64 { return float64(k.half.results[i].P50 - k.directHalf.results[i].P50) }))
		list = append(list,
			goal{
				name: k.name + " throughput", met: ratio >= leastThroughput,
				figures: fmt.Sprintf("%.2f of direct", ratio), bound: fmt.Sprintf("at least %.2f", leastThroughput),
			},
			goal{
				name: k.name + " added latency", met: added < mostAdded,
				figures: fmt.Sprintf("%v at the median at half load", added), bound: fmt.Sprintf("below %v", mostAdded),
			},
		)
	}
	return list
}
