package sim

import (
	"encoding/json"
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/galenahead/galenahead/test/galena-bench/trace"
	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "rewrite golden files")

// traceHead returns a deployment's trace up to the time end.
func traceHead(t *testing.T, name string, end time.Duration) *trace.Trace {
	t.Helper()
	tr, err := trace.Load("../testdata", name)
	is.New(t).NoErr(err)
	at := time.Duration(0)
	for i, r := range tr.Requests {
		at += time.Duration(r.After) * time.Microsecond
		if at >= end {
			tr.Requests = tr.Requests[:i]
			break
		}
	}
	tr.Length = end
	return tr
}

// Guards against events that run out of order, which would invalidate all results.
func TestEventLoopOrder(t *testing.T) {
	is := is.New(t)
	var l eventLoop
	var got []int
	l.at(2, func() { got = append(got, 3) })
	l.at(1, func() {
		got = append(got, 1)
		l.after(0, func() { got = append(got, 2) })
	})
	l.at(2, func() { got = append(got, 4) })
	l.run()
	is.Equal(got, []int{1, 2, 3, 4})
}

// Guards against unintended changes of decisions, and against a replay that depends
// on the iteration order of a map.
func TestReplayGolden(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	for _, name := range trace.Deployments() {
		tr := traceHead(t, name, 2*time.Second)
		for _, v := range allVariants() {
			line, err := json.Marshal(replayVariant(tr, v))
			is.NoErr(err)
			out.Write(line)
			out.WriteByte('\n')
		}
	}
	if *update {
		is.NoErr(os.WriteFile("testdata/replay.golden", []byte(out.String()), 0o644))
	}
	want, err := os.ReadFile("testdata/replay.golden")
	is.NoErr(err)
	is.Equal(out.String(), string(want))
}

// Guards against an instance with more requests in flight than slots, against
// non-idempotent requests that run twice, and against requests that never finish,
// while a data centre and an entry are lost and brokers change.
func TestShippedInvariants(t *testing.T) {
	is := is.New(t)
	tr := traceHead(t, "kitakaze", 8*time.Second)
	tr.Faults = append(tr.Faults,
		trace.Fault{Kind: trace.FaultDataCentreLost, Index: 0, From: 2 * time.Second, Until: 6 * time.Second},
		trace.Fault{Kind: trace.FaultEntryLost, Index: 2, From: 4 * time.Second, Until: 8 * time.Second})
	sim := newSimulation(tr)
	sim.policy = newShippedPolicy(sim, ShippedTuning())
	sim.replay()
	r := sim.report(PolicyShipped)
	is.True(r.PeakInFlight <= 8)
	is.Equal(r.DuplicateRuns, 0)
	for _, e := range sim.entries {
		is.Equal(len(e.openRequests), 0)
	}
	for _, inst := range sim.instances {
		is.Equal(inst.inFlight, 0)
		is.Equal(inst.running, 0)
	}
}

// Guards against groups of different sizes, which would make the comparison of
// Spread unfair.
func TestShuffledGroups(t *testing.T) {
	is := is.New(t)
	tr := traceHead(t, "kitakaze", time.Second)
	sim := newSimulation(tr)
	member := shuffledGroups(tr)
	for _, inst := range sim.instances {
		shuffled, fixed := 0, 0
		for _, e := range sim.entries {
			if member(e, inst) {
				shuffled++
			}
			if fixedGroups(e, inst) {
				fixed++
			}
		}
		is.Equal(shuffled, len(sim.entries)/groupCount)
		is.Equal(fixed, len(sim.entries)/groupCount)
	}
}
