package caller

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"github.com/galenahead/galenahead"
)

// Summary is the result of a run. Every request is counted in exactly one of
// Ran, RanError, NotRun, Unknown, Lost and Mismatched.
type Summary struct {
	Sent int `json:"sent"`
	Ran  int `json:"ran"`
	// RanError counts requests with the outcome ran whose HTTP status is not 200.
	RanError int `json:"ran_error"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	// Lost counts requests without a response after all resends, or with a response
	// without a valid outcome.
	Lost int `json:"lost"`
	// Mismatched counts responses that are truncated or belong to another request.
	Mismatched int `json:"mismatched"`
	// Late counts the requests of Ran whose response arrived after the deadline.
	Late     int `json:"late"`
	Resent   int `json:"resent"`
	Replayed int `json:"replayed"`
	// DuplicateRuns counts keys whose responses name two different runs.
	DuplicateRuns int `json:"doubled"`
	// Skipped counts requests that were not sent because MaxInFlight was reached.
	Skipped int                   `json:"skipped"`
	Reasons map[string]int        `json:"reasons"`
	Callers map[string]*PerCaller `json:"callers"`
	// WorstOnTime is the lowest on-time share of a caller, 0 to 1.
	WorstOnTime float64   `json:"worst_on_time"`
	P50MS       float64   `json:"p50_ms"`
	P99MS       float64   `json:"p99_ms"`
	Seconds     float64   `json:"seconds"`
	Evidence    *Evidence `json:"evidence,omitempty"`
}

// PerCaller counts one caller's requests.
type PerCaller struct {
	Sent   int `json:"sent"`
	OnTime int `json:"on_time"`
}

// result is the result of one request after all attempts.
type result struct {
	request
	outcome galenahead.Outcome
	reason  string
	status  int
	// runID identifies the run at the upstream; the response contains it.
	runID      string
	mismatched bool
	// answerLost is true if an earlier attempt got no response.
	answerLost bool
	elapsed    time.Duration
}

// collector aggregates the results of concurrent requests.
type collector struct {
	mu        sync.Mutex
	summary   Summary
	latencies *hdrhistogram.Histogram
	// nonIdempotent holds the keys of non-idempotent requests, and notRun the keys
	// that must not have run at any upstream.
	nonIdempotent map[string]bool
	notRun        map[string]bool
}

const (
	maxLatencyUS  = int64(10 * time.Minute / time.Microsecond)
	latencyDigits = 3
)

func newCollector() *collector {
	return &collector{
		summary:       Summary{Reasons: map[string]int{}, Callers: map[string]*PerCaller{}},
		latencies:     hdrhistogram.New(1, maxLatencyUS, latencyDigits),
		nonIdempotent: map[string]bool{},
		notRun:        map[string]bool{},
	}
}

func (c *collector) increment(n *int) {
	c.mu.Lock()
	*n++
	c.mu.Unlock()
}

func (c *collector) add(r result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &c.summary
	s.Sent++
	p := s.Callers[r.caller]
	if p == nil {
		p = &PerCaller{}
		s.Callers[r.caller] = p
	}
	p.Sent++
	if !r.idempotent {
		c.nonIdempotent[r.key] = true
	}
	switch {
	case r.mismatched:
		s.Mismatched++
	case r.outcome == galenahead.OutcomeRan:
		c.addRan(r, p)
	case r.outcome == galenahead.OutcomeNotRun:
		s.NotRun++
		s.Reasons[r.reason]++
		// Entries store no claims of idempotent requests. If an earlier attempt got no
		// response, not_run only covers the last attempt.
		c.notRun[r.key] = !r.idempotent || !r.answerLost
	case r.outcome == galenahead.OutcomeUnknown:
		s.Unknown++
		s.Reasons[r.reason]++
	default:
		s.Lost++
	}
}

func (c *collector) addRan(r result, p *PerCaller) {
	s := &c.summary
	if r.status != fasthttp.StatusOK {
		s.RanError++
		return
	}
	s.Ran++
	_ = c.latencies.RecordValue(min(r.elapsed.Microseconds(), maxLatencyUS))
	if r.elapsed > r.deadline {
		s.Late++
		return
	}
	p.OnTime++
}

func (c *collector) finish(elapsed time.Duration) *Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &c.summary
	s.WorstOnTime = 1
	for _, p := range s.Callers {
		s.WorstOnTime = min(s.WorstOnTime, float64(p.OnTime)/float64(p.Sent))
	}
	s.P50MS = float64(c.latencies.ValueAtQuantile(50)) / 1000
	s.P99MS = float64(c.latencies.ValueAtQuantile(99)) / 1000
	s.Seconds = elapsed.Seconds()
	return s
}
