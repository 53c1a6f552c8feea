package galenafleet

import (
	"math"
	"runtime/metrics"
	"time"
)

// schedulerLatencies is the runtime's histogram of the time that goroutines have spent
// runnable before they ran.
const schedulerLatencies = "/sched/latencies:seconds"

// runnableWait measures how long runnable goroutines wait for a processor, which tells a
// late process from a slow disk or network. Its zero value is ready to use.
type runnableWait struct {
	counts []uint64
}

// takeLongest returns the longest wait since the last call, rounded down to a bound of the
// runtime's histogram. The first call counts from the start of the process.
func (r *runnableWait) takeLongest() time.Duration {
	sample := []metrics.Sample{{Name: schedulerLatencies}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := sample[0].Value.Float64Histogram()
	before := r.counts
	r.counts = append([]uint64(nil), h.Counts...)
	for i := len(h.Counts) - 1; i >= 0; i-- {
		if i < len(before) && h.Counts[i] == before[i] || h.Counts[i] == 0 {
			continue
		}
		return time.Duration(math.Max(0, h.Buckets[i]) * float64(time.Second))
	}
	return 0
}
