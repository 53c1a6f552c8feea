// Package galenaretry decides whether and when a failed attempt is repeated.
package galenaretry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/galenahead/galenahead"
)

const (
	// defaultRatio lets one retry follow ten successful requests, so that retries
	// add at most a tenth to the load of a failing service.
	defaultRatio = 0.1
	// defaultBurst is how many retries a service may save up.
	defaultBurst = 20
	// defaultBase is the bound of the first delay.
	defaultBase = 2 * time.Millisecond
	// defaultMaxDelay bounds every delay.
	defaultMaxDelay = 200 * time.Millisecond
	// defaultAttempts is the largest number of attempts for one request.
	defaultAttempts = 4
)

// Config configures a Budget. A zero field means its default.
type Config struct {
	// Ratio is how much of a retry one successful request pays for; default 0.1.
	Ratio float64
	// Burst is the largest number of saved retries; default 20.
	Burst float64
	// Base is the bound of the first delay, doubled for each later one; default
	// 2 ms.
	Base time.Duration
	// MaxDelay bounds every delay; default 200 ms.
	MaxDelay time.Duration
	// Attempts bounds the attempts of one request, the first included; default 4.
	Attempts int
	// Random returns a number in [0,1); default is math/rand/v2.
	Random func() float64
}

// Reasons of a decision, for the decision log.
const (
	ReasonRetry         = "retry"
	ReasonNotIdempotent = "not_idempotent"
	ReasonAttempts      = "attempts_exhausted"
	ReasonBudget        = "budget_exhausted"
	ReasonDeadline      = "deadline"
)

// Attempt describes a failed attempt.
type Attempt struct {
	// Number counts the attempts made so far, 1 for the first.
	Number int
	// Unsent tells that provably no byte of the attempt was sent.
	Unsent bool
	// RunTime is the expected run time of another attempt.
	RunTime time.Duration
}

// Decision is the decision on one failed attempt.
type Decision struct {
	Retry  bool
	Delay  time.Duration
	Reason string
}

// Budgets holds the retry budget of each service. Every service is a shard with
// its own lock. The zero value has the default configuration.
type Budgets struct {
	cfg    Config
	mu     sync.RWMutex
	shards map[galenahead.ServiceName]*budget
}

// budget is the token bucket of one service.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

// New returns budgets that are full.
func New(cfg Config) *Budgets { return &Budgets{cfg: cfg} }

// Succeeded adds a successful request of the service to its budget.
func (b *Budgets) Succeeded(service galenahead.ServiceName) {
	s := b.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = min(s.tokens+b.ratio(), b.burst())
}

// Tokens returns how many retries the service may make now.
func (b *Budgets) Tokens(service galenahead.ServiceName) float64 {
	s := b.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tokens
}

// Decide decides whether r is tried again after the attempt. A retry uses one
// token; an attempt that sent nothing uses none, because it added no load.
func (b *Budgets) Decide(now time.Time, r galenahead.Request, a Attempt) Decision {
	if !r.Idempotent && !a.Unsent {
		return Decision{Reason: ReasonNotIdempotent}
	}
	if a.Number >= b.attempts() {
		return Decision{Reason: ReasonAttempts}
	}
	delay := b.delay(a.Number)
	if now.Add(delay + a.RunTime).After(r.Deadline) {
		return Decision{Reason: ReasonDeadline}
	}
	if !a.Unsent && !b.take(r.Service) {
		return Decision{Reason: ReasonBudget}
	}
	return Decision{Retry: true, Delay: delay, Reason: ReasonRetry}
}

func (b *Budgets) take(service galenahead.ServiceName) bool {
	s := b.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// delay returns a random delay up to the exponential bound (full jitter), so
// that requests which failed together are not repeated together.
func (b *Budgets) delay(attempt int) time.Duration {
	bound := b.base()
	for i := 1; i < attempt && bound < b.maxDelay(); i++ {
		bound *= 2
	}
	bound = min(bound, b.maxDelay())
	return time.Duration(b.random() * float64(bound))
}

func (b *Budgets) shard(service galenahead.ServiceName) *budget {
	b.mu.RLock()
	s := b.shards[service]
	b.mu.RUnlock()
	if s != nil {
		return s
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.shards == nil {
		b.shards = make(map[galenahead.ServiceName]*budget)
	}
	if b.shards[service] == nil {
		b.shards[service] = &budget{tokens: b.burst()}
	}
	return b.shards[service]
}

func (b *Budgets) ratio() float64          { return orDefault(b.cfg.Ratio, defaultRatio) }
func (b *Budgets) burst() float64          { return orDefault(b.cfg.Burst, defaultBurst) }
func (b *Budgets) base() time.Duration     { return orDefault(b.cfg.Base, defaultBase) }
func (b *Budgets) maxDelay() time.Duration { return orDefault(b.cfg.MaxDelay, defaultMaxDelay) }
func (b *Budgets) attempts() int           { return orDefault(b.cfg.Attempts, defaultAttempts) }

func (b *Budgets) random() float64 {
	if b.cfg.Random == nil {
		return rand.Float64()
	}
	return b.cfg.Random()
}

func orDefault[T float64 | time.Duration | int](v, fallback T) T {
	if v == 0 {
		return fallback
	}
	return v
}
