package galenaroute

import (
	"math"
	"sync"
	"time"

	"github.com/galenahead/galenahead"
)

const (
	// shortestBucket is the upper bound of the first bucket.
	shortestBucket = 50 * time.Microsecond
	// bucketGrowth is the ratio between two bucket bounds: quantiles are exact
	// to 20%.
	bucketGrowth = 1.2
	// bucketCount covers run times up to about 5 minutes.
	bucketCount = 88
	// halveAfter is the number of samples after which all counts are halved, so
	// that a service whose run times change is learned again.
	halveAfter = 1024
	// minSamples is how many run times are needed before they replace the prior.
	minSamples = 8
)

// RunTimes learns the run times of services. Its zero value is ready to use.
// Times below 50 µs count as 50 µs, times above 5 minutes as 5 minutes.
type RunTimes struct {
	mu       sync.RWMutex
	services map[galenahead.ServiceName]*runTimes
}

// Summary holds the learned run times of a service.
type Summary struct {
	Samples int
	// Shortest is the 5% quantile.
	Shortest time.Duration
	Median   time.Duration
	P99      time.Duration
	Mean     time.Duration
}

// Observe adds the run time of a complete answer. Failures are not run times.
func (l *RunTimes) Observe(service galenahead.ServiceName, d time.Duration) {
	l.of(service).observe(d)
}

// Summary returns the learned run times of a service, and false while there
// are too few of them.
func (l *RunTimes) Summary(service galenahead.ServiceName) (Summary, bool) {
	h := l.of(service)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.summary, h.total >= minSamples
}

// Quantile returns the p quantile (0 to 1) of a service's run times, and false
// while there are too few of them.
func (l *RunTimes) Quantile(service galenahead.ServiceName, p float64) (time.Duration, bool) {
	h := l.of(service)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.quantile(p), h.total >= minSamples
}

func (l *RunTimes) of(service galenahead.ServiceName) *runTimes {
	l.mu.RLock()
	h := l.services[service]
	l.mu.RUnlock()
	if h != nil {
		return h
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.services == nil {
		l.services = make(map[galenahead.ServiceName]*runTimes)
	}
	if l.services[service] == nil {
		l.services[service] = &runTimes{}
	}
	return l.services[service]
}

// runTimes is a histogram with exponential bucket bounds and decaying counts.
type runTimes struct {
	mu      sync.Mutex
	counts  [bucketCount]float64
	total   float64
	seconds float64
	// fresh counts the samples since the summary was computed.
	fresh   int
	summary Summary
}

func (h *runTimes) observe(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts[bucketOf(d)]++
	h.total++
	h.seconds += d.Seconds()
	if h.total >= halveAfter {
		h.halve()
	}
	h.fresh++
	if h.fresh >= minSamples || h.total <= minSamples {
		h.summarize()
	}
}

func (h *runTimes) halve() {
	for i := range h.counts {
		h.counts[i] /= 2
	}
	h.total /= 2
	h.seconds /= 2
}

func (h *runTimes) summarize() {
	h.fresh = 0
	h.summary = Summary{
		Samples:  int(h.total),
		Shortest: h.quantile(0.05),
		Median:   h.quantile(0.5),
		P99:      h.quantile(0.99),
		Mean:     time.Duration(h.seconds / h.total * float64(time.Second)),
	}
}

func (h *runTimes) quantile(p float64) time.Duration {
	rank := p * h.total
	for i, n := range h.counts {
		rank -= n
		if rank <= 0 {
			return boundOf(i)
		}
	}
	return boundOf(bucketCount - 1)
}

func bucketOf(d time.Duration) int {
	if d <= shortestBucket {
		return 0
	}
	i := math.Ceil(math.Log(float64(d)/float64(shortestBucket)) / math.Log(bucketGrowth))
	return min(int(i), bucketCount-1)
}

func boundOf(i int) time.Duration {
	return time.Duration(float64(shortestBucket) * math.Pow(bucketGrowth, float64(i)))
}
