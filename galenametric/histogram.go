package galenametric

import (
	"encoding/json"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxMicros is the largest duration told apart, one hour in microseconds.
	maxMicros = 3_600_000_000
	// maxCount is the largest number told apart by Counts.
	maxCount = 1000
	// digits is the number of significant decimal digits.
	digits = 2
)

// Distribution summarizes one histogram.
type Distribution struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   int64   `json:"p50"`
	P90   int64   `json:"p90"`
	P99   int64   `json:"p99"`
	P999  int64   `json:"p999"`
	Max   int64   `json:"max"`
}

// Durations are histograms of durations by name, exact to 1%. Durations above
// one hour count as one hour. The zero value is ready to use.
type Durations struct{ histograms }

// Record adds a duration.
func (d *Durations) Record(name string, v time.Duration) {
	d.record(name, v.Microseconds(), maxMicros)
}

// Counts are histograms of numbers from 0 to 1000 by name. The zero value is
// ready to use.
type Counts struct{ histograms }

// Record adds a number.
func (c *Counts) Record(name string, v int64) { c.record(name, v, maxCount) }

// histograms holds one histogram for each name, each with its own lock.
type histograms struct {
	mu    sync.RWMutex
	names map[string]*histogram
}

type histogram struct {
	mu sync.Mutex
	h  *hdr.Histogram
}

// String returns the summaries as JSON, as expvar.Var asks for.
func (hs *histograms) String() string { return encode(hs.snapshot()) }

func (hs *histograms) record(name string, v, highest int64) {
	h := hs.of(name, highest)
	h.mu.Lock()
	defer h.mu.Unlock()
	// RecordValue fails only for values out of range.
	_ = h.h.RecordValue(min(max(v, 0), highest))
}

func (hs *histograms) of(name string, highest int64) *histogram {
	hs.mu.RLock()
	h := hs.names[name]
	hs.mu.RUnlock()
	if h != nil {
		return h
	}
	hs.mu.Lock()
	defer hs.mu.Unlock()
	if hs.names == nil {
		hs.names = make(map[string]*histogram)
	}
	if hs.names[name] == nil {
		hs.names[name] = &histogram{h: hdr.New(1, highest, digits)}
	}
	return hs.names[name]
}

func (hs *histograms) snapshot() map[string]Distribution {
	hs.mu.RLock()
	defer hs.mu.RUnlock()
	all := make(map[string]Distribution, len(hs.names))
	for name, h := range hs.names {
		all[name] = h.distribution()
	}
	return all
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

// String returns the snapshot as JSON, as expvar.Var asks for.
func (m *Metrics) String() string { return encode(m.Snapshot()) }

func encode(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		return "{}"
	}
	return string(b)
}
