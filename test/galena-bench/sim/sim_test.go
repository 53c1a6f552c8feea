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

// head returns the part of a deployment's trace before end.
func head(t *testing.T, name string, end time.Duration) *trace.Trace {
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

// Guards against events out of order, which would make every figure wrong.
func TestLoop(t *testing.T) {
	is := is.New(t)
	var l loop
	var got []int
	l.at(2, func() { got = append(got, 3) })
	l.at(1, func() {
		got = append(got, 1)
		l.in(0, func() { got = append(got, 2) })
	})
	l.at(2, func() { got = append(got, 4) })
	l.run()
	is.Equal(got, []int{1, 2, 3, 4})
}

// Guards against decisions that change unintended, and against a replay that
// depends on the order of a map.
func TestReplayGolden(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	for _, name := range trace.Deployments() {
		tr := head(t, name, 2*time.Second)
		for _, v := range variants() {
			line, err := json.Marshal(replay(tr, v))
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

// Guards against more requests in flight at an instance than it has slots,
// non-idempotent requests that run twice, and requests without an end, with
// slot leases, a lost data centre, and brokers that move.
func TestShippedInvariants(t *testing.T) {
	is := is.New(t)
	tr := head(t, "kitakaze", 8*time.Second)
	tr.Faults = append(tr.Faults,
		trace.Fault{Kind: trace.FaultCentre, Index: 0, From: 2 * time.Second, Until: 6 * time.Second},
		trace.Fault{Kind: trace.FaultEntry, Index: 2, From: 4 * time.Second, Until: 8 * time.Second})
	w := newWorld(tr)
	w.policy = newShipped(w, Shipped())
	w.replay()
	r := w.report(PolicyShipped)
	is.True(r.Peak <= 8)
	is.Equal(r.Doubled, 0)
	for _, e := range w.entries {
		is.Equal(len(e.open), 0)
	}
	for _, in := range w.instances {
		is.Equal(in.inFlight, 0)
		is.Equal(in.running, 0)
	}
}

// Guards against groups of different sizes, which would compare unlike spreads.
func TestShuffledGroups(t *testing.T) {
	is := is.New(t)
	tr := head(t, "kitakaze", time.Second)
	w := newWorld(tr)
	member := shuffledGroups(tr)
	for _, in := range w.instances {
		shuffled, fixed := 0, 0
		for _, e := range w.entries {
			if member(e, in) {
				shuffled++
			}
			if fixedGroups(e, in) {
				fixed++
			}
		}
		is.Equal(shuffled, len(w.entries)/groupCount)
		is.Equal(fixed, len(w.entries)/groupCount)
	}
}
