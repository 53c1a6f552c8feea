package galenametric

import (
	"expvar"
	"flag"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "rewrite golden files")

// Guards against a changed format of /debug/vars, wrong quantiles, lost values
// that are out of range, and a buffer cost that is not the integral of the idle
// VMs.
func TestSnapshotGolden(t *testing.T) {
	is := is.New(t)
	var m Metrics
	for i := range 1000 {
		m.RecordRequest("courier", time.Duration(i)*time.Millisecond, time.Duration(2*i)*time.Millisecond, 1+i/990)
	}
	m.Latency.Record("courier", 100*time.Hour)
	m.Rollout.Record("config", 1500*time.Millisecond)
	start := time.Unix(1_700_000_000, 0)
	m.BufferCost.Set(start, 2)
	m.BufferCost.Set(start.Add(10*time.Second), 5)
	m.BufferCost.Set(start.Add(9*time.Second), 5) // out of order
	m.BufferCost.Set(start.Add(12*time.Second), 0)
	is.Equal(m.BufferCost.Value(), 30.0)
	m.OwnerMax.Record("plan", 40*time.Millisecond)
	m.Moves.Add(3)
	m.Counters.Add("ejections", 1)
	m.Publish("galena_test")
	got := expvar.Get("galena_test").String() + "\n"
	if *update {
		is.NoErr(os.WriteFile("testdata/snapshot.golden", []byte(got), 0o644))
	}
	want, err := os.ReadFile("testdata/snapshot.golden")
	is.NoErr(err)
	is.Equal(got, string(want))
}

// Guards against values lost between concurrent writers and readers. Run it with
// the race detector.
func TestConcurrentRecording(t *testing.T) {
	var m Metrics
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for i := range 1000 {
				m.RecordRequest("s", time.Duration(i), time.Duration(i), 1)
				if i%100 == 0 {
					_ = m.String()
				}
			}
		})
	}
	wg.Wait()
	is.New(t).Equal(m.Snapshot().Latency["s"].Count, int64(4000))
}
