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

var startTime = time.Unix(1_700_000_000, 0)

var dataCentres = []galenahead.DataCentre{"east", "west", "north"}

func leases(n int) []galenahead.SlotLease {
	all := make([]galenahead.SlotLease, n)
	for i := range all {
		all[i] = galenahead.SlotLease{Service: "s", Instance: galenahead.InstanceID(fmt.Sprint("i", i)), DataCentre: dataCentres[i%3]}
	}
	return all
}

// simulation routes requests one after the other. used counts the requests of the
// last run by instance.
type simulation struct {
	router  *Router
	now     time.Time
	leases  []galenahead.SlotLease
	used    []int
	result  func(i int) Result
	request galenahead.Request
}

func newSimulation(n int) *simulation {
	return &simulation{
		router: New(Config{DataCentre: "east"}), now: startTime, leases: leases(n), used: make([]int, n),
		result:  func(int) Result { return Result{RunTime: 10 * time.Millisecond} },
		request: galenahead.Request{Service: "s", Idempotent: true},
	}
}

func (s *simulation) run(n int) {
	clear(s.used)
	for range n {
		s.now = s.now.Add(10 * time.Millisecond)
		i, _ := s.router.Choose(s.now, s.request, s.leases)
		if i < 0 {
			continue
		}
		s.used[i]++
		s.router.Observe(s.now, s.leases[i], s.result(i))
	}
}

// Guards against requests that cross data centres without need, and against staying
// with a slow local instance if crossing costs less.
func TestPrefersLocalDataCentre(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(3)
	sim.run(100)
	is.Equal(sim.used, []int{100, 0, 0})
	sim.result = func(i int) Result {
		if i == 0 {
			return Result{RunTime: 20 * time.Millisecond}
		}
		return Result{RunTime: 10 * time.Millisecond}
	}
	sim.run(200)
	sim.run(100)
	is.True(sim.used[0] < 5) // 10 ms more than the others, against 1.5 ms
}

// Guards against an instance that fails at once and attracts load because it looks
// fast or idle.
func TestFastFailuresAttractNoLoad(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(9)
	sim.result = func(i int) Result {
		if i == 0 {
			return Result{Kind: Failed, RunTime: time.Microsecond}
		}
		return Result{RunTime: 10 * time.Millisecond}
	}
	sim.run(2000) // 20 s
	is.True(sim.used[0] <= 8)
	sim.result = func(int) Result { return Result{RunTime: 10 * time.Millisecond} }
	sim.now = sim.now.Add(maxEjection)
	sim.run(2000)
	is.True(sim.used[0] > 200) // It is reinstated.
}

// Guards against ejecting most instances of a service if many of them fail.
func TestEjectsAtMostAThird(t *testing.T) {
	for _, failing := range []int{4, 6} {
		is := is.New(t)
		sim := newSimulation(9)
		sim.result = func(i int) Result {
			if i < failing {
				return Result{Kind: Failed}
			}
			return Result{RunTime: 10 * time.Millisecond}
		}
		all, maxEjected := sim.leases, 0
		for k := range 300 {
			// In a burst, often only failing instances have free slots.
			sim.leases = all[:failing]
			if k%3 == 0 {
				sim.leases = all
			}
			sim.run(10)
			ejected := 0
			for _, in := range sim.router.state("s").ordered {
				// An ejection lasts until the instance is reinstated.
				if in.ejected {
					ejected++
				}
			}
			maxEjected = max(maxEjected, ejected)
		}
		is.True(maxEjected <= 3)
		is.True(maxEjected > 0)
	}
}

// Guards against instances that fail at once and attract the whole queue because
// they always have free slots. Here more instances fail than may be ejected.
func TestPausesFailingInstancesBeyondEjectionLimit(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(9)
	sim.run(100)
	sim.now = sim.now.Add(time.Second)
	failures := make([]int, 9)
	for range 1000 { // 1 s in which a request is always waiting; instances 0 to 5 fail.
		sim.now = sim.now.Add(time.Millisecond)
		i, _ := sim.router.Choose(sim.now, sim.request, sim.leases[:6])
		if i >= 0 {
			failures[i]++
			sim.router.Observe(sim.now, sim.leases[i], Result{Kind: Failed})
		}
	}
	for _, n := range failures {
		is.True(n <= 105) // One request in 10 ms, like a working instance.
	}
}

// Guards against a caller whose requests fail at every instance and so make the
// instances unusable for other callers.
func TestEvenFailuresKeepInstancesUsable(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(9)
	rng := rand.New(rand.NewPCG(5, 5))
	sim.result = func(int) Result {
		if rng.IntN(5) < 2 {
			return Result{Kind: Failed}
		}
		return Result{RunTime: 10 * time.Millisecond}
	}
	sim.run(2000)
	sum := 0
	for _, n := range sim.used {
		sum += n
	}
	is.Equal(sum, 2000)
}

// Guards against probing with requests that must not run twice, and against
// reinstating an instance at full load.
func TestReinstatesGradually(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(9)
	sim.run(10)
	// One failure ejects the instance, because the others have none.
	i, _ := sim.router.Choose(sim.now, sim.request, sim.leases[:1])
	sim.router.Observe(sim.now, sim.leases[i], Result{Kind: Failed})
	is.Equal(sim.router.Suspects(), []Suspect{{Service: "s", Instance: "i0"}})
	sim.now = sim.now.Add(firstEjection)
	nonIdempotent := sim.request
	nonIdempotent.Idempotent = false
	i, reason := sim.router.Choose(sim.now, nonIdempotent, sim.leases[:1])
	is.Equal(i, -1)
	is.Equal(reason, ReasonNoneUsable)
	i, reason = sim.router.Choose(sim.now, sim.request, sim.leases)
	is.Equal(i, 0)
	is.Equal(reason, ReasonProbe)
	i, _ = sim.router.Choose(sim.now, sim.request, sim.leases[:1])
	is.Equal(i, -1) // Only one probe may be in flight.
	sim.router.Observe(sim.now, sim.leases[0], Result{RunTime: time.Millisecond})
	for range 2 {
		i, _ = sim.router.Choose(sim.now, sim.request, sim.leases[:1])
		is.Equal(i, 0)
	}
	i, _ = sim.router.Choose(sim.now, sim.request, sim.leases[:1])
	is.Equal(i, -1) // After one success, only two may be in flight.
}

// Guards against sending more and more requests to a stalled instance.
func TestStalledInstanceIsUnusable(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(9)
	sim.run(100)
	sim.router.Choose(sim.now, sim.request, sim.leases[:1])
	sim.now = sim.now.Add(time.Second)
	is.Equal(sim.router.Usable(sim.now, sim.leases[0]), false)
	sim.router.Observe(sim.now, sim.leases[0], Result{RunTime: time.Second})
	is.True(sim.router.Usable(sim.now, sim.leases[0]))
}

// Guards against failed requests at every entry for an instance that one entry has
// already ejected, and against entries that pass on the suspects of others.
func TestAppliesSuspectsOfPeer(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(9)
	sim.run(10)
	for _, l := range sim.leases {
		sim.router.Usable(sim.now, l) // Adds the instance to those of the service.
	}
	sim.router.ApplySuspects(sim.now, "peer", []Suspect{{Service: "s", Instance: "i0"}})
	is.Equal(sim.router.Usable(sim.now, sim.leases[0]), false)
	is.Equal(len(sim.router.Suspects()), 0)
	sim.router.ApplySuspects(sim.now, "peer", nil)
	is.True(sim.router.Usable(sim.now, sim.leases[0]))
}

// Guards against unintended changes of the choices. Instance 3 is four times slower
// than the others, and instance 7 fails half of its requests.
func TestChoicesGolden(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(9)
	sim.request.Service = "s"
	rng := rand.New(rand.NewPCG(4, 4))
	sim.result = func(i int) Result {
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
		sim.run(200)
		fmt.Fprintln(&out, sim.used)
	}
	if *update {
		is.NoErr(os.WriteFile("testdata/choices.golden", []byte(out.String()), 0o644))
	}
	want, err := os.ReadFile("testdata/choices.golden")
	is.NoErr(err)
	is.Equal(out.String(), string(want))
}

// Guards against quantiles that are off by more than one bucket, and against old run
// times that hide a change.
func TestRunTimes(t *testing.T) {
	is := is.New(t)
	var runTimes RunTimes
	_, ok := runTimes.Summary("s", "")
	is.Equal(ok, false)
	for i := range 1000 {
		runTimes.Observe("s", "quote", time.Duration(i+1)*time.Millisecond)
	}
	p90, ok := runTimes.Quantile("s", 0.9)
	is.True(ok)
	is.True(p90 >= 900*time.Millisecond && p90 <= 1100*time.Millisecond)
	for range 4 * halveAtSamples {
		runTimes.Observe("s", "quote", time.Millisecond)
	}
	sum, _ := runTimes.Summary("s", "")
	is.True(sum.P99 < 2*time.Millisecond)
}

func BenchmarkChoose(b *testing.B) {
	sim := newSimulation(10)
	sim.run(1000)
	b.ReportAllocs()
	for b.Loop() {
		i, _ := sim.router.Choose(sim.now, sim.request, sim.leases)
		sim.router.Observe(sim.now, sim.leases[i], Result{RunTime: time.Millisecond})
	}
}

// Guards against ejecting an instance for one long request or for timeouts while it
// responds to other requests. Also guards against telling other entries about
// ejections for timeouts, which made all entries eject working instances.
func TestConsecutiveTimeoutsEject(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(9)
	sim.run(100)
	timeout := func(l galenahead.SlotLease) {
		sim.router.Choose(sim.now, sim.request, []galenahead.SlotLease{l})
		sim.now = sim.now.Add(time.Second)
		sim.router.Observe(sim.now, l, Result{Kind: TimedOut, RunTime: time.Second})
	}
	ejected := func(l galenahead.SlotLease) bool { return sim.router.state("s").instance(sim.now, l).ejected }
	timeout(sim.leases[0])
	is.Equal(ejected(sim.leases[0]), false)
	timeout(sim.leases[0])
	is.Equal(ejected(sim.leases[0]), true)
	is.Equal(len(sim.router.Suspects()), 0)
	for range 5 { // The instance responds to one request while another times out.
		sim.router.Choose(sim.now, sim.request, sim.leases[3:4])
		sim.router.Choose(sim.now, sim.request, sim.leases[3:4])
		sim.now = sim.now.Add(10 * time.Millisecond)
		sim.router.Observe(sim.now, sim.leases[3], Result{RunTime: 10 * time.Millisecond})
		sim.now = sim.now.Add(time.Second)
		sim.router.Observe(sim.now, sim.leases[3], Result{Kind: TimedOut, RunTime: time.Second + 10*time.Millisecond})
	}
	is.Equal(ejected(sim.leases[3]), false)
	is.Equal(sim.router.state("s").instance(sim.now, sim.leases[3]).timeouts, 0)
}

// Guards against all entries probing an instance that several of them ejected, and
// against none of them probing it.
func TestOneEntryProbes(t *testing.T) {
	is := is.New(t)
	routers := map[galenahead.EntryName]*Router{}
	for _, name := range []galenahead.EntryName{"a", "b", "c"} {
		sim := newSimulation(9)
		sim.router = New(Config{Entry: name})
		sim.run(100)
		sim.router.Choose(sim.now, sim.request, sim.leases[:1])
		sim.router.Observe(sim.now, sim.leases[0], Result{Kind: Failed})
		routers[name] = sim.router
	}
	now := startTime.Add(time.Second)
	for _, from := range []galenahead.EntryName{"c", "a", "b"} {
		for name, rt := range routers {
			if name != from {
				rt.ApplySuspects(now, from, routers[from].Suspects())
			}
		}
	}
	is.Equal(len(routers["a"].Suspects()), 1)
	is.Equal(len(routers["b"].Suspects()), 0)
	is.Equal(len(routers["c"].Suspects()), 0)
}
