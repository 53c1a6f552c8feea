package galenaroute

import (
	"math"
	"strings"
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
	// maxClasses bounds the classes of one service that are learned one by one.
	maxClasses = 16
)

// RunTimes learns the run times of services, and of the classes of requests
// within them. Its zero value is ready to use. Times below 50 µs count as 50 µs,
// times above 5 minutes as 5 minutes.
type RunTimes struct {
	mu       sync.RWMutex
	services map[galenahead.ServiceName]*classes
}

// classes holds the run times of one service.
type classes struct {
	all    runTimes
	mu     sync.RWMutex
	byName map[string]*runTimes
}

// Summary holds the learned run times of a service.
type Summary struct {
	Samples int
	// Shortest is the 5% quantile.
	Shortest time.Duration
	Median   time.Duration
	// Likely is the 80% quantile.
	Likely time.Duration
	P99    time.Duration
	Mean   time.Duration
}

// Class returns the class of a request within its service: the first segment of
// its path. Later segments are often identifiers.
func Class(r galenahead.Request) string {
	path := strings.TrimPrefix(r.Path, "/")
	if i := strings.IndexAny(path, "/?"); i >= 0 {
		path = path[:i]
	}
	return path
}

// Observe adds the run time of a complete answer. Failures are not run times.
func (l *RunTimes) Observe(service galenahead.ServiceName, class string, d time.Duration) {
	s := l.of(service)
	s.all.observe(d)
	if h := s.class(class, true); h != nil {
		h.observe(d)
	}
}

// Summary returns the learned run times of a class, or of its service while
// there are too few of the class, and false while there are too few of both.
func (l *RunTimes) Summary(service galenahead.ServiceName, class string) (Summary, bool) {
	s := l.of(service)
	if h := s.class(class, false); h != nil {
		if sum, ok := h.read(); ok {
			return sum, true
		}
	}
	return s.all.read()
}

// Quantile returns the p quantile (0 to 1) of a service's run times, and false
// while there are too few of them.
func (l *RunTimes) Quantile(service galenahead.ServiceName, p float64) (time.Duration, bool) {
	h := &l.of(service).all
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.quantile(p), h.total >= minSamples
}

func (l *RunTimes) of(service galenahead.ServiceName) *classes {
	l.mu.RLock()
	s := l.services[service]
	l.mu.RUnlock()
	if s != nil {
		return s
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.services == nil {
		l.services = make(map[galenahead.ServiceName]*classes)
	}
	if l.services[service] == nil {
		l.services[service] = &classes{byName: make(map[string]*runTimes)}
	}
	return l.services[service]
}

// class returns the run times of a class, nil when it is not kept.
func (s *classes) class(name string, create bool) *runTimes {
	s.mu.RLock()
	h, full := s.byName[name], len(s.byName) >= maxClasses
	s.mu.RUnlock()
	if h != nil || full || !create {
		return h
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byName[name] == nil && len(s.byName) < maxClasses {
		s.byName[name] = &runTimes{}
	}
	return s.byName[name]
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

func (h *runTimes) read() (Summary, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.summary, h.total >= minSamples
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
		Likely:   h.quantile(0.8),
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
