package upstream

import (
	"maps"
	"sync"
	"time"
)

// Evidence is what an upstream has seen, as JSON at GET /evidence.
type Evidence struct {
	Service  string `json:"service"`
	Instance string `json:"instance"`
	// Runs counts how often each request key ran.
	Runs         map[string]int `json:"runs"`
	TotalRuns    int            `json:"total_runs"`
	Failures     int            `json:"failures"`
	InFlight     int            `json:"in_flight"`
	PeakInFlight int            `json:"peak_in_flight"`
	// LatestAfterLeavingMS is the longest time between the start of leaving
	// and the arrival of a request, in milliseconds.
	LatestAfterLeavingMS int64 `json:"latest_after_leaving_ms"`
	AfterLeaving         int   `json:"after_leaving"`
}

// recorder collects evidence from concurrent requests.
type recorder struct {
	mu      sync.Mutex
	e       Evidence
	leaving time.Time
}

func newRecorder(service, instance string) *recorder {
	return &recorder{e: Evidence{Service: service, Instance: instance, Runs: map[string]int{}}}
}

// begin records the start of a run and returns its number.
func (r *recorder) begin(key string, now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.e.Runs[key]++
	r.e.TotalRuns++
	r.e.InFlight++
	r.e.PeakInFlight = max(r.e.PeakInFlight, r.e.InFlight)
	if !r.leaving.IsZero() {
		r.e.AfterLeaving++
		r.e.LatestAfterLeavingMS = max(r.e.LatestAfterLeavingMS, now.Sub(r.leaving).Milliseconds())
	}
	return r.e.TotalRuns
}

func (r *recorder) end(failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.e.InFlight--
	if failed {
		r.e.Failures++
	}
}

func (r *recorder) leave(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving.IsZero() {
		r.leaving = now
	}
}

func (r *recorder) state() (inFlight int, leaving time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.e.InFlight, r.leaving
}

func (r *recorder) snapshot() Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.e
	e.Runs = maps.Clone(e.Runs)
	return e
}
