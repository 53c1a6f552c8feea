package upstream

import (
	"maps"
	"sync"
	"time"
)

// Evidence records what an upstream observed. GET /evidence returns it as JSON.
type Evidence struct {
	Service  string `json:"service"`
	Instance string `json:"instance"`
	// Runs counts the runs of each request key.
	Runs         map[string]int `json:"runs"`
	TotalRuns    int            `json:"total_runs"`
	Failures     int            `json:"failures"`
	InFlight     int            `json:"in_flight"`
	PeakInFlight int            `json:"peak_in_flight"`
	// LatestAfterLeavingMS is the longest time from the moment the upstream began to
	// leave until the arrival of a request, in milliseconds.
	LatestAfterLeavingMS int64 `json:"latest_after_leaving_ms"`
	AfterLeaving         int   `json:"after_leaving"`
}

// recorder collects evidence from concurrent requests.
type recorder struct {
	mu           sync.Mutex
	evidence     Evidence
	leavingSince time.Time
}

func newRecorder(service, instance string) *recorder {
	return &recorder{evidence: Evidence{Service: service, Instance: instance, Runs: map[string]int{}}}
}

// recordStart records the start of a run and returns its number.
func (r *recorder) recordStart(key string, now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence.Runs[key]++
	r.evidence.TotalRuns++
	r.evidence.InFlight++
	r.evidence.PeakInFlight = max(r.evidence.PeakInFlight, r.evidence.InFlight)
	if !r.leavingSince.IsZero() {
		r.evidence.AfterLeaving++
		r.evidence.LatestAfterLeavingMS = max(r.evidence.LatestAfterLeavingMS, now.Sub(r.leavingSince).Milliseconds())
	}
	return r.evidence.TotalRuns
}

func (r *recorder) recordEnd(failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence.InFlight--
	if failed {
		r.evidence.Failures++
	}
}

func (r *recorder) recordLeaving(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leavingSince.IsZero() {
		r.leavingSince = now
	}
}

func (r *recorder) state() (inFlight int, leavingSince time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.evidence.InFlight, r.leavingSince
}

func (r *recorder) snapshot() Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.evidence
	e.Runs = maps.Clone(e.Runs)
	return e
}
