package galenaroute

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "rewrite golden files")

var epoch = time.Unix(1_700_000_000, 0)

var centres = []galenahead.DataCentre{"east", "west", "north"}

func leases(n int) []galenahead.SlotLease {
	all := make([]galenahead.SlotLease, n)
	for i := range all {
		all[i] = galenahead.SlotLease{Service: "s", Instance: galenahead.InstanceID(fmt.Sprint("i", i)), DataCentre: centres[i%3]}
	}
	return all
}

// world runs requests one after the other through a router.
type world struct {
	rt     *Router
	now    time.Time
	leases []galenahead.SlotLease
	used   []int
	result func(i int) Result
	r      galenahead.Request
}

func newWorld(n int) *world {
	return &world{
		rt: New(Config{DataCentre: "east"}), now: epoch, leases: leases(n), used: make([]int, n),
		result: func(int) Result { return Result{RunTime: 10 * time.Millisecond} },
		r:      galenahead.Request{Service: "s", Idempotent: true},
	}
}

func (w *world) run(n int) {
	clear(w.used)
	for range n {
		w.now = w.now.Add(10 * time.Millisecond)
		i, _ := w.rt.Choose(w.now, w.r, w.leases)
		if i < 0 {
			continue
		}
		w.used[i]++
		w.rt.Observe(w.now, w.leases[i], w.result(i))
	}
}

// Guards against crossing data centres without need, and against staying in a
// slow one when the way costs less.
func TestDataCentre(t *testing.T) {
	is := is.New(t)
	w := newWorld(3)
	w.run(100)
	is.Equal(w.used, []int{100, 0, 0})
	w.result = func(i int) Result {
		if i == 0 {
			return Result{RunTime: 20 * time.Millisecond}
		}
		return Result{RunTime: 10 * time.Millisecond}
	}
	w.run(200)
	w.run(100)
	is.True(w.used[0] < 5) // 10 ms more than the others, against 1.5 ms
}

// Guards against an instance that fails at once attracting load because it
// looks fast or idle.
func TestFailingFast(t *testing.T) {
	is := is.New(t)
	w := newWorld(9)
	w.result = func(i int) Result {
		if i == 0 {
			return Result{Kind: Failed, RunTime: time.Microsecond}
		}
		return Result{RunTime: 10 * time.Millisecond}
	}
	w.run(2000) // 20 s
	is.True(w.used[0] <= 8)
	w.result = func(int) Result { return Result{RunTime: 10 * time.Millisecond} }
	w.now = w.now.Add(maxEjection)
	w.run(2000)
	is.True(w.used[0] > 200) // it is back
}

// Guards against ejecting most of a service when all instances fail.
func TestEjectsAtMostAThird(t *testing.T) {
	for _, failing := range []int{4, 6} {
		is := is.New(t)
		w := newWorld(9)
		w.result = func(i int) Result {
			if i < failing {
				return Result{Kind: Failed}
			}
			return Result{RunTime: 10 * time.Millisecond}
		}
		all, most := w.leases, 0
		for k := range 300 {
			// In a burst often only slots of failing instances are free.
			w.leases = all[:failing]
			if k%3 == 0 {
				w.leases = all
			}
			w.run(10)
			out := 0
			for _, in := range w.rt.shard("s").list {
				// An ejection lasts until the instance is back at full use.
				if in.ejected {
					out++
				}
			}
			most = max(most, out)
		}
		is.True(most <= 3)
		is.True(most > 0)
	}
}

// Guards against instances that fail at once drawing in a queue because they
// always have free slots, when more of them fail than may be ejected.
func TestFailingFastBeyondAThird(t *testing.T) {
	is := is.New(t)
	w := newWorld(9)
	w.run(100)
	w.now = w.now.Add(time.Second)
	failures := make([]int, 9)
	for range 1000 { // 1 s with a request waiting at any time; 0 to 5 fail
		w.now = w.now.Add(time.Millisecond)
		i, _ := w.rt.Choose(w.now, w.r, w.leases[:6])
		if i >= 0 {
			failures[i]++
			w.rt.Observe(w.now, w.leases[i], Result{Kind: Failed})
		}
	}
	for _, n := range failures {
		is.True(n <= 105) // one in 10 ms, as a working instance
	}
}

// Guards against a caller whose requests fail everywhere taking the instances
// away from the others.
func TestFailingRequests(t *testing.T) {
	is := is.New(t)
	w := newWorld(9)
	rng := rand.New(rand.NewPCG(5, 5))
	w.result = func(int) Result {
		if rng.IntN(5) < 2 {
			return Result{Kind: Failed}
		}
		return Result{RunTime: 10 * time.Millisecond}
	}
	w.run(2000)
	sum := 0
	for _, n := range w.used {
		sum += n
	}
	is.Equal(sum, 2000)
}

// Guards against probing with requests that must not run twice, and against a
// return at full load.
func TestSlowReturn(t *testing.T) {
	is := is.New(t)
	w := newWorld(9)
	w.run(10)
	// Fails until it is ejected; the others have no failures.
	i, _ := w.rt.Choose(w.now, w.r, w.leases[:1])
	w.rt.Observe(w.now, w.leases[i], Result{Kind: Failed})
	is.Equal(w.rt.Suspects(), []Suspect{{Service: "s", Instance: "i0"}})
	w.now = w.now.Add(firstEjection)
	order := w.r
	order.Idempotent = false
	i, reason := w.rt.Choose(w.now, order, w.leases[:1])
	is.Equal(i, -1)
	is.Equal(reason, ReasonNone)
	i, reason = w.rt.Choose(w.now, w.r, w.leases)
	is.Equal(i, 0)
	is.Equal(reason, ReasonProbe)
	i, _ = w.rt.Choose(w.now, w.r, w.leases[:1])
	is.Equal(i, -1) // one probe at a time
	w.rt.Observe(w.now, w.leases[0], Result{RunTime: time.Millisecond})
	for range 2 {
		i, _ = w.rt.Choose(w.now, w.r, w.leases[:1])
		is.Equal(i, 0)
	}
	i, _ = w.rt.Choose(w.now, w.r, w.leases[:1])
	is.Equal(i, -1) // two after one success
}

// Guards against a frozen instance holding ever more requests.
func TestFrozen(t *testing.T) {
	is := is.New(t)
	w := newWorld(9)
	w.run(100)
	w.rt.Choose(w.now, w.r, w.leases[:1])
	w.now = w.now.Add(time.Second)
	is.Equal(w.rt.Usable(w.now, w.leases[0]), false)
	w.rt.Observe(w.now, w.leases[0], Result{RunTime: time.Second})
	is.True(w.rt.Usable(w.now, w.leases[0]))
}

// Guards against every entry paying for an instance that another entry already
// ejected, and against suspicions being passed on in a circle.
func TestAdopt(t *testing.T) {
	is := is.New(t)
	w := newWorld(9)
	w.run(10)
	for _, l := range w.leases {
		w.rt.Usable(w.now, l) // announced
	}
	w.rt.Adopt(w.now, "peer", []Suspect{{Service: "s", Instance: "i0"}})
	is.Equal(w.rt.Usable(w.now, w.leases[0]), false)
	is.Equal(len(w.rt.Suspects()), 0)
	w.rt.Adopt(w.now, "peer", nil)
	is.True(w.rt.Usable(w.now, w.leases[0]))
}

// Guards against changes of the choices that nobody intended: instance 3 is
// four times slower than it should be for its slots, 7 fails half its requests.
func TestChoicesGolden(t *testing.T) {
	is := is.New(t)
	w := newWorld(9)
	w.r.Service = "s"
	rng := rand.New(rand.NewPCG(4, 4))
	w.result = func(i int) Result {
		d := time.Duration(float64(10*time.Millisecond) * (0.5 + rng.ExpFloat64()))
		switch {
		case i == 3:
			d *= 4
		case i == 7 && rng.IntN(2) == 0:
			return Result{Kind: Failed}
		}
		return Result{RunTime: d}
	}
	var out strings.Builder
	for range 10 {
		w.run(200)
		fmt.Fprintln(&out, w.used)
	}
	if *update {
		is.NoErr(os.WriteFile("testdata/choices.golden", []byte(out.String()), 0o644))
	}
	want, err := os.ReadFile("testdata/choices.golden")
	is.NoErr(err)
	is.Equal(out.String(), string(want))
}

// Guards against quantiles off by more than a bucket, and against run times of
// long ago hiding a change.
func TestRunTimes(t *testing.T) {
	is := is.New(t)
	var l RunTimes
	_, ok := l.Summary("s", "")
	is.Equal(ok, false)
	for i := range 1000 {
		l.Observe("s", "quote", time.Duration(i+1)*time.Millisecond)
	}
	p90, ok := l.Quantile("s", 0.9)
	is.True(ok)
	is.True(p90 >= 900*time.Millisecond && p90 <= 1100*time.Millisecond)
	for range 4 * halveAfter {
		l.Observe("s", "quote", time.Millisecond)
	}
	sum, _ := l.Summary("s", "")
	is.True(sum.P99 < 2*time.Millisecond)
}

func BenchmarkChoose(b *testing.B) {
	w := newWorld(10)
	w.run(1000)
	b.ReportAllocs()
	for b.Loop() {
		i, _ := w.rt.Choose(w.now, w.r, w.leases)
		w.rt.Observe(w.now, w.leases[i], Result{RunTime: time.Millisecond})
	}
}

// Guards against ejecting an instance for one long request, for timeouts while
// it answers others, and against passing on ejections by timeouts, which made
// all entries drop working instances.
func TestTimeouts(t *testing.T) {
	is := is.New(t)
	w := newWorld(9)
	w.run(100)
	timeout := func(l galenahead.SlotLease) {
		w.rt.Choose(w.now, w.r, []galenahead.SlotLease{l})
		w.now = w.now.Add(time.Second)
		w.rt.Observe(w.now, l, Result{Kind: TimedOut, RunTime: time.Second})
	}
	ejected := func(l galenahead.SlotLease) bool { return w.rt.shard("s").instance(w.now, l).ejected }
	timeout(w.leases[0])
	is.Equal(ejected(w.leases[0]), false)
	timeout(w.leases[0])
	is.Equal(ejected(w.leases[0]), true)
	is.Equal(len(w.rt.Suspects()), 0)
	for range 5 { // it answers another request while one takes too long
		w.rt.Choose(w.now, w.r, w.leases[3:4])
		w.rt.Choose(w.now, w.r, w.leases[3:4])
		w.now = w.now.Add(10 * time.Millisecond)
		w.rt.Observe(w.now, w.leases[3], Result{RunTime: 10 * time.Millisecond})
		w.now = w.now.Add(time.Second)
		w.rt.Observe(w.now, w.leases[3], Result{Kind: TimedOut, RunTime: time.Second + 10*time.Millisecond})
	}
	is.Equal(ejected(w.leases[3]), false)
	is.Equal(w.rt.shard("s").instance(w.now, w.leases[3]).timeouts, 0)
}

// Guards against every entry that ejected an instance probing it, and against
// none of them doing so.
func TestOneEntryProbes(t *testing.T) {
	is := is.New(t)
	routers := map[galenahead.EntryName]*Router{}
	for _, name := range []galenahead.EntryName{"a", "b", "c"} {
		w := newWorld(9)
		w.rt = New(Config{Entry: name})
		w.run(100)
		w.rt.Choose(w.now, w.r, w.leases[:1])
		w.rt.Observe(w.now, w.leases[0], Result{Kind: Failed})
		routers[name] = w.rt
	}
	now := epoch.Add(time.Second)
	for _, from := range []galenahead.EntryName{"c", "a", "b"} {
		for name, rt := range routers {
			if name != from {
				rt.Adopt(now, from, routers[from].Suspects())
			}
		}
	}
	is.Equal(len(routers["a"].Suspects()), 1)
	is.Equal(len(routers["b"].Suspects()), 0)
	is.Equal(len(routers["c"].Suspects()), 0)
}
