package galenaroute

import (
	"math"
	"strings"
	"sync"
	"time"

	"github.com/galenahead/galenahead"
)

const (
	// firstBucketBound is the upper bound of the first bucket.
	firstBucketBound = 50 * time.Microsecond
	// bucketGrowth is the ratio between consecutive bucket bounds, so quantiles are
	// exact to 20%.
	bucketGrowth = 1.2
	// bucketCount is the number of buckets. They cover run times up to about 5
	// minutes.
	bucketCount = 88
	// halveAtSamples is the total at which all counts are halved, so that the
	// histogram follows changes of the run times.
	halveAtSamples = 1024
	// minSamples is the number of run times from which a histogram is used.
	minSamples = 8
	// maxClasses is the maximum number of classes of a service that have histograms
	// of their own.
	maxClasses = 16
)

// RunTimes learns the run times of services and of their classes of requests. The
// zero value is ready to use. Run times below 50 µs count as 50 µs, and those above
// 5 minutes as 5 minutes.
type RunTimes struct {
	mu       sync.RWMutex
	services map[galenahead.ServiceName]*serviceRunTimes
}

// serviceRunTimes holds the run times of one service, in total and by class.
type serviceRunTimes struct {
	all     histogram
	mu      sync.RWMutex
	classes map[string]*histogram
}

// Summary summarizes the learned run times of a service or of one of its classes.
type Summary struct {
	Samples int
	// Low is the 5% quantile.
	Low    time.Duration
	Median time.Duration
	// High is the 80% quantile.
	High time.Duration
	P99  time.Duration
	Mean time.Duration
}

// Class returns the class of a request within its service, which is the first
// segment of its path. Later segments are often identifiers.
func Class(r galenahead.Request) string {
	path := strings.TrimPrefix(r.Path, "/")
	if i := strings.IndexAny(path, "/?"); i >= 0 {
		path = path[:i]
	}
	return path
}

// Observe adds the run time of a successful request. It must not be called for
// failed ones.
func (t *RunTimes) Observe(service galenahead.ServiceName, class string, runTime time.Duration) {
	s := t.service(service)
	s.all.observe(runTime)
	if h := s.class(class, true); h != nil {
		h.observe(runTime)
	}
}

// Summary returns the learned run times of a class, or those of its service if the
// class has too few samples. It returns false if both have too few.
func (t *RunTimes) Summary(service galenahead.ServiceName, class string) (Summary, bool) {
	s := t.service(service)
	if h := s.class(class, false); h != nil {
		if summary, ok := h.readSummary(); ok {
			return summary, true
		}
	}
	return s.all.readSummary()
}

// Quantile returns the p quantile of a service's run times, with p from 0 to 1. It
// returns false if there are too few samples.
func (t *RunTimes) Quantile(service galenahead.ServiceName, p float64) (time.Duration, bool) {
	h := &t.service(service).all
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.quantile(p), h.total >= minSamples
}

func (t *RunTimes) service(service galenahead.ServiceName) *serviceRunTimes {
	t.mu.RLock()
	s := t.services[service]
	t.mu.RUnlock()
	if s != nil {
		return s
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.services == nil {
		t.services = make(map[galenahead.ServiceName]*serviceRunTimes)
	}
	if t.services[service] == nil {
		t.services[service] = &serviceRunTimes{classes: make(map[string]*histogram)}
	}
	return t.services[service]
}

// class returns the histogram of a class, or nil if the class has none. If create
// is set, it adds a missing histogram unless there are maxClasses already.
func (s *serviceRunTimes) class(name string, create bool) *histogram {
	s.mu.RLock()
	h, full := s.classes[name], len(s.classes) >= maxClasses
	s.mu.RUnlock()
	if h != nil || full || !create {
		return h
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.classes[name] == nil && len(s.classes) < maxClasses {
		s.classes[name] = &histogram{}
	}
	return s.classes[name]
}

// histogram counts run times in buckets with exponential bounds. The counts decay.
type histogram struct {
	mu           sync.Mutex
	counts       [bucketCount]float64
	total        float64
	totalSeconds float64
	// unsummarized counts the samples since summary was computed.
	unsummarized int
	summary      Summary
}

func (h *histogram) readSummary() (Summary, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.summary, h.total >= minSamples
}

func (h *histogram) observe(runTime time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts[bucketIndex(runTime)]++
	h.total++
	h.totalSeconds += runTime.Seconds()
	if h.total >= halveAtSamples {
		h.halve()
	}
	h.unsummarized++
	if h.unsummarized >= minSamples || h.total <= minSamples {
		h.summarize()
	}
}

func (h *histogram) halve() {
	for i := range h.counts {
		h.counts[i] /= 2
	}
	h.total /= 2
	h.totalSeconds /= 2
}

func (h *histogram) summarize() {
	h.unsummarized = 0
	h.summary = Summary{
		Samples: int(h.total),
		Low:     h.quantile(0.05),
		Median:  h.quantile(0.5),
		High:    h.quantile(0.8),
		P99:     h.quantile(0.99),
		Mean:    time.Duration(h.totalSeconds / h.total * float64(time.Second)),
	}
}

func (h *histogram) quantile(p float64) time.Duration {
	rank := p * h.total
	for i, n := range h.counts {
		rank -= n
		if rank <= 0 {
			return bucketBound(i)
		}
	}
	return bucketBound(bucketCount - 1)
}

func bucketIndex(runTime time.Duration) int {
	if runTime <= firstBucketBound {
		return 0
	}
	i := math.Ceil(math.Log(float64(runTime)/float64(firstBucketBound)) / math.Log(bucketGrowth))
	return min(int(i), bucketCount-1)
}

func bucketBound(i int) time.Duration {
	return time.Duration(float64(firstBucketBound) * math.Pow(bucketGrowth, float64(i)))
}
