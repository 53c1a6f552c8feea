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

// benchFleet is a large index with running jobs.
type benchFleet struct {
	index    *Index
	rng      *rand.Rand
	workers  []Worker
	jobs     []galenahead.JobID
	jobCount int
}

// newBenchFleet returns a fleet of n workers without jobs and 800 teams. The workers
// are in 25 pools, of which the first is spare, in 36 data centres and in racks of 4.
func newBenchFleet(n int) *benchFleet {
	f := &benchFleet{index: &Index{}, rng: rand.New(rand.NewPCG(1, uint64(n)))}
	f.index.SetPool("p0", true)
	for i := range n {
		rack := i / 4
		w := Worker{Name: galenahead.VMName(fmt.Sprintf("w%05d", i)), Pool: galenahead.PoolName(fmt.Sprintf("p%d", rack%benchPools)),
			DataCentre: galenahead.DataCentre(fmt.Sprintf("d%02d", rack/benchPools%36)), Rack: galenahead.RackName(fmt.Sprintf("r%04d", rack)),
			Cores: 64, MemoryMB: 131072, Condition: Up}
		f.workers = append(f.workers, w)
		f.index.SetWorker(w)
	}
	for i := range benchTeams {
		f.index.SetQuota(galenahead.TeamName(fmt.Sprintf("t%d", i)), Quota{Cores: 1 << 20, MemoryMB: 1 << 40, Accelerators: 1 << 10})
	}
	return f
}

func (f *benchFleet) randomJob(urgent bool) galenahead.JobSpec {
	f.jobCount++
	pool := 1 + f.rng.IntN(benchPools-1)
	return galenahead.JobSpec{
		ID: galenahead.JobID(fmt.Sprintf("j%d", f.jobCount)), Team: galenahead.TeamName(fmt.Sprintf("t%d", f.rng.IntN(benchTeams))),
		Pool: galenahead.PoolName(fmt.Sprintf("p%d", pool)), Service: galenahead.ServiceName(fmt.Sprintf("s%d-%d", pool, f.rng.IntN(4))),
		Cores: 1 + f.rng.IntN(16), MemoryMB: 1024 * (1 + f.rng.IntN(32)), Urgent: urgent,
	}
}

// fill places deferrable jobs until rejectionLimit of them in a row find no worker,
// or until perWorker jobs per worker run.
func (f *benchFleet) fill(perWorker float64, rejectionLimit int) {
	for consecutiveRejections := 0; consecutiveRejections < rejectionLimit && float64(len(f.jobs)) < perWorker*float64(len(f.workers)); {
		s := f.randomJob(false)
		p, err := f.index.Place(s, t0)
		if err != nil {
			consecutiveRejections++
			continue
		}
		consecutiveRejections = 0
		_ = f.index.Commit(s, p, t0)
		f.jobs = append(f.jobs, s.ID)
	}
}

// BenchmarkPlace measures one placement decision on a fleet that is three quarters
// full, and one for an urgent job on a full fleet. The time excludes the recording
// of the decision.
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
	f := newBenchFleet(n)
	f.fill(perWorker, 200)
	runtime.GC()
	runtime.ReadMemStats(&after)
	var times []time.Duration
	preemptions := 0
	b.ResetTimer()
	for b.Loop() {
		s := f.randomJob(urgent)
		start := time.Now()
		p, err := f.index.Place(s, t0)
		times = append(times, time.Since(start))
		if err != nil && !errors.Is(err, galenahead.ErrNoWorker) {
			b.Fatal(err)
		}
		if p.Reason == ReasonPreemption {
			preemptions++
		}
		if urgent {
			continue
		}
		if err == nil {
			_ = f.index.Commit(s, p, t0)
			f.jobs = append(f.jobs, s.ID)
		}
		i := f.rng.IntN(len(f.jobs))
		f.index.End(f.jobs[i], t0)
		f.jobs[i] = f.jobs[len(f.jobs)-1]
		f.jobs = f.jobs[:len(f.jobs)-1]
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Nanoseconds())/1e3, "p50-µs")
	b.ReportMetric(float64(times[len(times)*99/100].Nanoseconds())/1e3, "p99-µs")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB")
	b.ReportMetric(float64(len(f.jobs))/float64(n), "jobs/worker")
	b.ReportMetric(100*float64(preemptions)/float64(len(times)), "%yield")
	runtime.KeepAlive(f)
}

// BenchmarkReport measures the handling of one usage report on a fleet that is three
// quarters full.
func BenchmarkReport(b *testing.B) {
	f := newBenchFleet(16000)
	f.fill(5.5, 200)
	at := t0.Add(time.Minute)
	n := 0
	for b.Loop() {
		n++
		f.index.Report(f.workers[n%len(f.workers)].Name, Usage{at.Add(time.Duration(n)), 30_000, 60_000})
	}
}
