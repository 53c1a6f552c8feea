package galenaplace

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/galenahead/galenahead"
)

const (
	benchPools = 25
	benchTeams = 800
)

// fleet is a large index with jobs, and what they really use.
type fleet struct {
	x       *Index
	rng     *rand.Rand
	workers []Worker
	jobs    []galenahead.JobID
	next    int
}

// newFleet returns an empty fleet of n workers in 25 pools, the first of them
// spare, 36 data centres and racks of 4, with 800 teams.
func newFleet(n int) *fleet {
	f := &fleet{x: &Index{}, rng: rand.New(rand.NewPCG(1, uint64(n)))}
	f.x.SetPool("p0", true)
	for i := range n {
		rack := i / 4
		w := Worker{Name: galenahead.VMName(fmt.Sprintf("w%05d", i)), Pool: galenahead.PoolName(fmt.Sprintf("p%d", rack%benchPools)),
			DataCentre: galenahead.DataCentre(fmt.Sprintf("d%02d", rack/benchPools%36)), Rack: galenahead.RackName(fmt.Sprintf("r%04d", rack)),
			Cores: 64, MemoryMB: 131072, Condition: Up}
		f.workers = append(f.workers, w)
		f.x.SetWorker(w)
	}
	for i := range benchTeams {
		f.x.SetQuota(galenahead.TeamName(fmt.Sprintf("t%d", i)), Quota{Cores: 1 << 20, MemoryMB: 1 << 40, Accelerators: 1 << 10})
	}
	return f
}

func (f *fleet) draw(urgent bool) galenahead.JobSpec {
	f.next++
	pool := 1 + f.rng.IntN(benchPools-1)
	return galenahead.JobSpec{
		ID: galenahead.JobID(fmt.Sprintf("j%d", f.next)), Team: galenahead.TeamName(fmt.Sprintf("t%d", f.rng.IntN(benchTeams))),
		Pool: galenahead.PoolName(fmt.Sprintf("p%d", pool)), Service: galenahead.ServiceName(fmt.Sprintf("s%d-%d", pool, f.rng.IntN(4))),
		Cores: 1 + f.rng.IntN(16), MemoryMB: 1024 * (1 + f.rng.IntN(32)), Urgent: urgent,
	}
}

// fill places deferrable jobs until `refused` of them in a row find no place,
// or perWorker jobs for each worker run.
func (f *fleet) fill(perWorker float64, refused int) {
	for row := 0; row < refused && float64(len(f.jobs)) < perWorker*float64(len(f.workers)); {
		s := f.draw(false)
		p, err := f.x.Place(s, t0)
		if err != nil {
			row++
			continue
		}
		row = 0
		_ = f.x.Commit(s, p, t0)
		f.jobs = append(f.jobs, s.ID)
	}
}

// BenchmarkPlace measures one decision on a fleet that is three quarters full,
// and one for an urgent job on a full fleet. The record of the decision is not
// part of the time.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{1000, 4000, 16000} {
		b.Run(fmt.Sprintf("workers=%d/deferrable", n), func(b *testing.B) { benchPlace(b, n, 5.5, false) })
		b.Run(fmt.Sprintf("workers=%d/urgent-full", n), func(b *testing.B) { benchPlace(b, n, 100, true) })
	}
}

func benchPlace(b *testing.B, n int, perWorker float64, urgent bool) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	f := newFleet(n)
	f.fill(perWorker, 200)
	runtime.GC()
	runtime.ReadMemStats(&after)
	var times []time.Duration
	yields := 0
	b.ResetTimer()
	for b.Loop() {
		s := f.draw(urgent)
		start := time.Now()
		p, err := f.x.Place(s, t0)
		times = append(times, time.Since(start))
		if err != nil && !errors.Is(err, galenahead.ErrNoWorker) {
			b.Fatal(err)
		}
		if p.Reason == ReasonYield {
			yields++
		}
		if urgent {
			continue
		}
		if err == nil {
			_ = f.x.Commit(s, p, t0)
			f.jobs = append(f.jobs, s.ID)
		}
		i := f.rng.IntN(len(f.jobs))
		f.x.End(f.jobs[i], t0)
		f.jobs[i] = f.jobs[len(f.jobs)-1]
		f.jobs = f.jobs[:len(f.jobs)-1]
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Nanoseconds())/1e3, "p50-µs")
	b.ReportMetric(float64(times[len(times)*99/100].Nanoseconds())/1e3, "p99-µs")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB")
	b.ReportMetric(float64(len(f.jobs))/float64(n), "jobs/worker")
	b.ReportMetric(100*float64(yields)/float64(len(times)), "%yield")
	runtime.KeepAlive(f)
}

// BenchmarkReport measures one usage report on a fleet that is three quarters
// full.
func BenchmarkReport(b *testing.B) {
	f := newFleet(16000)
	f.fill(5.5, 200)
	at := t0.Add(time.Minute)
	n := 0
	for b.Loop() {
		n++
		f.x.Report(f.workers[n%len(f.workers)].Name, Usage{at.Add(time.Duration(n)), 30_000, 60_000})
	}
}
