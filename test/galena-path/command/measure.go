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
	// minThroughputShare is the minimum throughput through the entry relative to direct
	// requests. maxAddedLatency is the limit on the increase of the median latency at
	// half load. Both are targets of section 1.7 of the design page.
	minThroughputShare = 0.5
	maxAddedLatency    = 300 * time.Microsecond
	// halfLoadShare is the request rate at half load relative to the throughput of the
	// entry.
	halfLoadShare = 0.5
	// warmUp is the duration of a load before the first round, during which entries
	// open connections and learn run times.
	warmUp = 500 * time.Millisecond
)

// loadSeries is a load with its result in each round.
type loadSeries struct {
	name    string
	results []load.Result
}

func (l *loadSeries) addResult(r load.Result) { l.results = append(l.results, r) }

// median returns the median of each field over the rounds.
func (l *loadSeries) median() load.Result {
	medianOf := func(f func(load.Result) float64) float64 { return median(l.results, f) }
	return load.Result{
		PerSecond: medianOf(func(r load.Result) float64 { return r.PerSecond }),
		P50:       time.Duration(medianOf(func(r load.Result) float64 { return float64(r.P50) })),
		P99:       time.Duration(medianOf(func(r load.Result) float64 { return float64(r.P99) })),
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

// requestKind is a kind of request, idempotent or not, with its load series.
type requestKind struct {
	name       string
	idempotent bool
	full, half *loadSeries
	// directHalf sends requests directly at the same rate as half.
	directHalf *loadSeries
}

// measurement runs all loads one after the other in each round, so that other work
// on the machine affects all loads equally.
type measurement struct {
	options    *Options
	fleet      *fleet.Fleet
	loads      []*loadSeries
	directFull *loadSeries
	kinds      []*requestKind
}

// goal is a target with the measured value and whether it is met.
type goal struct {
	name, measured, bound string
	met                   bool
}

func (m *measurement) run(ctx context.Context) error {
	m.directFull = m.addLoad("direct, full load")
	for _, idempotent := range []bool{true, false} {
		k := &requestKind{name: "non-idempotent", idempotent: idempotent}
		if idempotent {
			k.name = "idempotent"
		}
		k.full = m.addLoad("entry, " + k.name + ", full load")
		k.half = m.addLoad("entry, " + k.name + ", half load")
		k.directHalf = m.addLoad("direct at the same rate")
		m.kinds = append(m.kinds, k)
	}
	for _, k := range m.kinds {
		if _, err := m.runLoad(ctx, m.entryTarget(k), 0, warmUp); err != nil {
			return err
		}
	}
	for range m.options.Rounds {
		if err := m.runRound(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (m *measurement) addLoad(name string) *loadSeries {
	l := &loadSeries{name: name}
	m.loads = append(m.loads, l)
	return l
}

func (m *measurement) directTarget() load.Target {
	return load.Target{Address: m.fleet.DirectAddress, Service: fleet.Service}
}

func (m *measurement) entryTarget(k *requestKind) load.Target {
	return load.Target{Address: m.fleet.EntryAddress, Service: fleet.Service, Idempotent: k.idempotent, ViaEntry: true}
}

func (m *measurement) runRound(ctx context.Context) error {
	loadDuration := m.options.LoadDuration
	if err := m.measureLoad(ctx, m.directFull, m.directTarget(), 0); err != nil {
		return err
	}
	for _, k := range m.kinds {
		full, err := m.runLoad(ctx, m.entryTarget(k), 0, loadDuration)
		if err != nil {
			return err
		}
		k.full.addResult(full)
		rate := full.PerSecond * halfLoadShare
		if err := m.measureLoad(ctx, k.half, m.entryTarget(k), rate); err != nil {
			return err
		}
		if err := m.measureLoad(ctx, k.directHalf, m.directTarget(), rate); err != nil {
			return err
		}
	}
	return nil
}

func (m *measurement) measureLoad(ctx context.Context, l *loadSeries, t load.Target, rate float64) error {
	r, err := m.runLoad(ctx, t, rate, m.options.LoadDuration)
	if err == nil {
		l.addResult(r)
	}
	return err
}

func (m *measurement) runLoad(ctx context.Context, t load.Target, rate float64, d time.Duration) (load.Result, error) {
	return load.Run(ctx, t, load.Options{Connections: m.options.Connections, Duration: d, Rate: rate, Seed: m.options.Seed})
}

// goals compares results of the same round and evaluates the medians of these
// comparisons.
func (m *measurement) goals() []goal {
	var list []goal
	rounds := make([]int, m.options.Rounds)
	for i := range rounds {
		rounds[i] = i
	}
	for _, k := range m.kinds {
		ratio := median(rounds, func(i int) float64 { return k.full.results[i].PerSecond / m.directFull.results[i].PerSecond })
		added := time.Duration(median(rounds, func(i int) float64 { return float64(k.half.results[i].P50 - k.directHalf.results[i].P50) }))
		list = append(list,
			goal{
				name: k.name + " throughput", met: ratio >= minThroughputShare,
				measured: fmt.Sprintf("%.2f of direct", ratio), bound: fmt.Sprintf("at least %.2f", minThroughputShare),
			},
			goal{
				name: k.name + " added latency", met: added < maxAddedLatency,
				measured: fmt.Sprintf("%v at the median at half load", added), bound: fmt.Sprintf("below %v", maxAddedLatency),
			},
		)
	}
	return list
}
