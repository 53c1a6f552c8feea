package galenametric

import (
	"encoding/json"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxDurationMicros is the largest value in DurationHistograms: one hour, in
	// microseconds.
	maxDurationMicros = 3_600_000_000
	// maxCount is the largest value in CountHistograms.
	maxCount = 1000
	// significantDigits is the number of significant decimal digits that the
	// histograms keep; 2 makes values exact to 1%.
	significantDigits = 2
)

// Distribution is the summary of one histogram.
type Distribution struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   int64   `json:"p50"`
	P90   int64   `json:"p90"`
	P99   int64   `json:"p99"`
	P999  int64   `json:"p999"`
	Max   int64   `json:"max"`
}

// DurationHistograms holds histograms of durations by name, exact to 1%.
// Durations above one hour count as one hour. The zero value is ready to use.
type DurationHistograms struct{ histograms }

// Record adds a duration to the histogram of name.
func (d *DurationHistograms) Record(name string, v time.Duration) {
	d.record(name, v.Microseconds(), maxDurationMicros)
}

// CountHistograms holds histograms of numbers from 0 to 1000 by name. Larger
// numbers count as 1000. The zero value is ready to use.
type CountHistograms struct{ histograms }

// Record adds a number to the histogram of name.
func (c *CountHistograms) Record(name string, v int64) { c.record(name, v, maxCount) }

// histograms holds one histogram for each name, each with its own lock.
type histograms struct {
	mu     sync.RWMutex
	byName map[string]*histogram
}

type histogram struct {
	mu sync.Mutex
	h  *hdr.Histogram
}

// String implements expvar.Var. It returns the distributions by name as JSON.
func (hs *histograms) String() string { return encodeJSON(hs.snapshot()) }

func (hs *histograms) record(name string, v, maxValue int64) {
	h := hs.get(name, maxValue)
	h.mu.Lock()
	defer h.mu.Unlock()
	// RecordValue fails only for values out of range, and v is clamped to the range.
	_ = h.h.RecordValue(min(max(v, 0), maxValue))
}

// get returns the histogram of name and creates it if it does not exist.
func (hs *histograms) get(name string, maxValue int64) *histogram {
	hs.mu.RLock()
	h := hs.byName[name]
	hs.mu.RUnlock()
	if h != nil {
		return h
	}
	hs.mu.Lock()
	defer hs.mu.Unlock()
	if hs.byName == nil {
		hs.byName = make(map[string]*histogram)
	}
	if hs.byName[name] == nil {
		hs.byName[name] = &histogram{h: hdr.New(1, maxValue, significantDigits)}
	}
	return hs.byName[name]
}

func (hs *histograms) snapshot() map[string]Distribution {
	hs.mu.RLock()
	defer hs.mu.RUnlock()
	distributions := make(map[string]Distribution, len(hs.byName))
	for name, h := range hs.byName {
		distributions[name] = h.distribution()
	}
	return distributions
}

func (h *histogram) distribution() Distribution {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Distribution{
		Count: h.h.TotalCount(),
		Mean:  h.h.Mean(),
		P50:   h.h.ValueAtQuantile(50),
		P90:   h.h.ValueAtQuantile(90),
		P99:   h.h.ValueAtQuantile(99),
		P999:  h.h.ValueAtQuantile(99.9),
		Max:   h.h.Max(),
	}
}

// String implements expvar.Var. It returns the snapshot as JSON.
func (m *Metrics) String() string { return encodeJSON(m.Snapshot()) }

func encodeJSON(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		return "{}"
	}
	return string(b)
}
