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
	// RanError counts complete answers with another HTTP status than 200.
	RanError int `json:"ran_error"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	// Lost counts requests without any answer after all resends.
	Lost int `json:"lost"`
	// Mismatched counts answers that belong to another request or are cut.
	Mismatched int `json:"mismatched"`
	// Late counts those of Ran that came after the deadline.
	Late     int `json:"late"`
	Resent   int `json:"resent"`
	Replayed int `json:"replayed"`
	// Doubled counts keys whose answers name two different runs.
	Doubled int `json:"doubled"`
	// Skipped counts requests that were not sent at the limit in flight.
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

// result is the end of one request.
type result struct {
	request
	outcome galenahead.Outcome
	reason  string
	status  int
	// run identifies the upstream's run in the answer.
	run        string
	mismatched bool
	lostBefore bool
	elapsed    time.Duration
}

// collector adds up results of concurrent requests.
type collector struct {
	mu        sync.Mutex
	summary   Summary
	latencies *hdrhistogram.Histogram
	// once holds the non-idempotent keys, and notRun the keys of which no run
	// may be seen.
	once   map[string]bool
	notRun map[string]bool
}

const (
	maxLatencyUS  = int64(10 * time.Minute / time.Microsecond)
	latencyDigits = 3
)

func newCollector() *collector {
	return &collector{
		summary:   Summary{Reasons: map[string]int{}, Callers: map[string]*PerCaller{}},
		latencies: hdrhistogram.New(1, maxLatencyUS, latencyDigits),
		once:      map[string]bool{},
		notRun:    map[string]bool{},
	}
}

func (c *collector) count(n *int) {
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
		c.once[r.key] = true
	}
	switch {
	case r.mismatched:
		s.Mismatched++
	case r.outcome == galenahead.OutcomeRan:
		c.addRan(r, p)
	case r.outcome == galenahead.OutcomeNotRun:
		s.NotRun++
		s.Reasons[r.reason]++
		// Entries keep no claims of idempotent requests, so after a lost answer
		// not_run speaks for the last attempt only.
		c.notRun[r.key] = !r.idempotent || !r.lostBefore
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
