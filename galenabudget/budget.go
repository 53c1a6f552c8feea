// Package galenabudget counts, per service and caller, how requests ended
// within a sliding window, and computes how much of the error budget is left.
package galenabudget

import (
	"cmp"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenahead/galenahead"
)

const (
	// defaultWindow is the length of the sliding window.
	defaultWindow = 10 * time.Minute
	// defaultTarget is the share of requests that must be answered on time.
	defaultTarget = 0.99
	// bucketCount is the number of buckets of the window; the window is accurate
	// to one bucket.
	bucketCount = 60
	// defaultMaxCallers bounds the callers counted individually for each service.
	// A caller takes about 1 KB.
	defaultMaxCallers = 256
	// OtherCallers holds the counts of the callers beyond Config.MaxCallers.
	OtherCallers galenahead.CallerName = "(other callers)"
)

// Result is how a request ended for its caller.
type Result int

// Results of a request.
const (
	// OnTime is a complete answer within the deadline.
	OnTime Result = iota
	// Late is a complete answer after the deadline.
	Late
	// Refused is a request that did not run. Requests cancelled by their caller
	// are not counted.
	Refused
	// Unknown is a request that may have run.
	Unknown
	resultCount
)

// Config configures a Tracker. A zero field means its default.
type Config struct {
	// Window is the length of the sliding window; default 10 minutes.
	Window time.Duration
	// Targets are the shares of requests that must be answered on time, above 0
	// and below 1, by service; default 0.99.
	Targets map[galenahead.ServiceName]float64
	// MaxCallers bounds the callers counted individually for each service; default
	// 256.
	MaxCallers int
}

// Tracker counts requests. Each service has its own lock. The zero value has the
// default configuration.
type Tracker struct {
	cfg Config
	// targets overrides cfg.Targets once it is set.
	targets atomic.Pointer[map[galenahead.ServiceName]float64]

	mu       sync.RWMutex
	services map[galenahead.ServiceName]*serviceState
}

// Report is the state of one caller's error budget for a service.
type Report struct {
	Service galenahead.ServiceName `json:"service"`
	Caller  galenahead.CallerName  `json:"caller"`
	Target  float64                `json:"target"`
	OnTime  int64                  `json:"on_time"`
	Late    int64                  `json:"late"`
	Refused int64                  `json:"refused"`
	Unknown int64                  `json:"unknown"`
	// Remaining is the share of the budget that is left: 1 when every request was
	// on time, 0 when the target is just met, negative when it is missed.
	Remaining float64 `json:"remaining"`
}

// New returns a Tracker without counts.
func New(cfg Config) *Tracker { return &Tracker{cfg: cfg} }

// SetTargets replaces the targets, for example after a configuration change.
// The map must not be modified afterwards.
func (t *Tracker) SetTargets(targets map[galenahead.ServiceName]float64) {
	t.targets.Store(&targets)
}

func (t *Tracker) target(service galenahead.ServiceName) float64 {
	if m := t.targets.Load(); m != nil {
		return (*m)[service]
	}
	return t.cfg.Targets[service]
}

// Record counts a request that ended at now with the given result.
func (t *Tracker) Record(now time.Time, service galenahead.ServiceName, caller galenahead.CallerName, result Result) {
	s := t.state(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.window(caller, t.maxCallers()).add(t.bucketIndex(now), result)
}

// Report returns the state of one caller's error budget. A caller without
// requests has its whole budget left.
func (t *Tracker) Report(now time.Time, service galenahead.ServiceName, caller galenahead.CallerName) Report {
	s := t.state(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.callers[caller]
	if w == nil {
		w = &window{}
	}
	return t.report(service, caller, w.sum(t.bucketIndex(now)))
}

// Snapshot returns all budgets with requests in the window, sorted by service
// and caller.
func (t *Tracker) Snapshot(now time.Time) []Report {
	t.mu.RLock()
	defer t.mu.RUnlock()
	reports := []Report{}
	for service, s := range t.services {
		reports = t.appendReports(now, service, s, reports)
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Caller, b.Caller))
	})
	return reports
}

// LowestRemaining returns the smallest remaining share among a service's
// callers, or 1 when there are none. Whether maintenance waves stop depends on the
// smallest share.
func (t *Tracker) LowestRemaining(now time.Time, service galenahead.ServiceName) float64 {
	lowest := 1.0
	for _, r := range t.appendReports(now, service, t.state(service), nil) {
		lowest = min(lowest, r.Remaining)
	}
	return lowest
}

// JSON returns the snapshot in the format of the operators' page /budgets.
func (t *Tracker) JSON(now time.Time) ([]byte, error) {
	return json.Marshal(struct {
		WindowSeconds float64  `json:"window_seconds"`
		Budgets       []Report `json:"budgets"`
	}{t.windowLength().Seconds(), t.Snapshot(now)})
}

func (t *Tracker) appendReports(now time.Time, service galenahead.ServiceName, s *serviceState, reports []Report) []Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	for caller, w := range s.callers {
		r := t.report(service, caller, w.sum(t.bucketIndex(now)))
		if r.OnTime+r.Late+r.Refused+r.Unknown > 0 {
			reports = append(reports, r)
		}
	}
	return reports
}

func (t *Tracker) report(service galenahead.ServiceName, caller galenahead.CallerName, totals counts) Report {
	target := t.target(service)
	if target <= 0 || target >= 1 {
		target = defaultTarget
	}
	r := Report{Service: service, Caller: caller, Target: target, Remaining: 1}
	r.OnTime, r.Late, r.Refused, r.Unknown = totals[OnTime], totals[Late], totals[Refused], totals[Unknown]
	missed := r.Late + r.Refused + r.Unknown
	if total := r.OnTime + missed; total > 0 {
		r.Remaining = 1 - float64(missed)/(float64(total)*(1-target))
	}
	return r
}

func (t *Tracker) windowLength() time.Duration {
	return cmp.Or(t.cfg.Window, defaultWindow)
}

func (t *Tracker) maxCallers() int {
	return cmp.Or(t.cfg.MaxCallers, defaultMaxCallers)
}

// bucketIndex returns the number of the bucket that contains now.
func (t *Tracker) bucketIndex(now time.Time) int64 {
	return now.UnixNano() / int64(t.windowLength()/bucketCount)
}

func (t *Tracker) state(service galenahead.ServiceName) *serviceState {
	t.mu.RLock()
	s := t.services[service]
	t.mu.RUnlock()
	if s != nil {
		return s
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.services == nil {
		t.services = make(map[galenahead.ServiceName]*serviceState)
	}
	if t.services[service] == nil {
		t.services[service] = &serviceState{callers: make(map[galenahead.CallerName]*window)}
	}
	return t.services[service]
}
