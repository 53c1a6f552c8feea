// Package galenaretry decides whether and when a failed attempt is retried.
package galenaretry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/galenahead/galenahead"
)

const (
	// defaultRatio allows one retry per ten successful requests, so that retries
	// add at most a tenth to the load of a failing service.
	defaultRatio = 0.1
	// defaultBurst is the largest number of tokens that a service can accumulate.
	defaultBurst = 20
	// defaultBaseDelay is the upper bound of the first delay.
	defaultBaseDelay = 2 * time.Millisecond
	// defaultMaxDelay is the upper bound of every delay.
	defaultMaxDelay = 200 * time.Millisecond
	// defaultMaxAttempts is the largest number of attempts of one request.
	defaultMaxAttempts = 4
)

// Config configures Budgets. A zero field means its default.
type Config struct {
	// Ratio is the number of tokens that a successful request adds; default 0.1. A
	// retry uses one token.
	Ratio float64
	// Burst is the largest number of tokens of a service; default 20.
	Burst float64
	// BaseDelay is the upper bound of the first delay, doubled for each later one;
	// default 2 ms.
	BaseDelay time.Duration
	// MaxDelay is the upper bound of every delay; default 200 ms.
	MaxDelay time.Duration
	// MaxAttempts bounds the attempts of one request, the first included; default 4.
	MaxAttempts int
	// Random returns a number in [0,1); the default uses math/rand/v2.
	Random func() float64
}

// Reasons of a Decision.
const (
	ReasonRetry             = "retry"
	ReasonNotIdempotent     = "not_idempotent"
	ReasonAttemptsExhausted = "attempts_exhausted"
	ReasonBudgetExhausted   = "budget_exhausted"
	ReasonDeadline          = "deadline"
)

// Attempt describes a failed attempt.
type Attempt struct {
	// Number counts the attempts made so far, 1 for the first.
	Number int
	// Unsent is set when it is certain that no byte of the attempt was sent.
	Unsent bool
	// ExpectedRunTime is the expected run time of another attempt.
	ExpectedRunTime time.Duration
}

// Decision is the decision on one failed attempt.
type Decision struct {
	Retry  bool
	Delay  time.Duration
	Reason string
}

// Budgets holds the retry budget of each service as a token bucket with its own
// lock. The zero value has the default configuration.
type Budgets struct {
	cfg     Config
	mu      sync.RWMutex
	buckets map[galenahead.ServiceName]*tokenBucket
}

// tokenBucket is the token bucket of one service.
type tokenBucket struct {
	mu     sync.Mutex
	tokens float64
}

// New returns Budgets in which every token bucket is full.
func New(cfg Config) *Budgets { return &Budgets{cfg: cfg} }

// RecordSuccess records a successful request of the service, which adds tokens to
// its bucket.
func (b *Budgets) RecordSuccess(service galenahead.ServiceName) {
	bucket := b.bucket(service)
	bucket.mu.Lock()
	defer bucket.mu.Unlock()
	bucket.tokens = min(bucket.tokens+b.ratio(), b.burst())
}

// Tokens returns how many retries the service may make now.
func (b *Budgets) Tokens(service galenahead.ServiceName) float64 {
	bucket := b.bucket(service)
	bucket.mu.Lock()
	defer bucket.mu.Unlock()
	return bucket.tokens
}

// Decide decides whether to retry r after the failed attempt a. A retry uses one
// token, unless the failed attempt sent nothing and so added no load.
func (b *Budgets) Decide(now time.Time, r galenahead.Request, a Attempt) Decision {
	if !r.Idempotent && !a.Unsent {
		return Decision{Reason: ReasonNotIdempotent}
	}
	if a.Number >= b.maxAttempts() {
		return Decision{Reason: ReasonAttemptsExhausted}
	}
	delay := b.delay(a.Number)
	if now.Add(delay + a.ExpectedRunTime).After(r.Deadline) {
		return Decision{Reason: ReasonDeadline}
	}
	if !a.Unsent && !b.takeToken(r.Service) {
		return Decision{Reason: ReasonBudgetExhausted}
	}
	return Decision{Retry: true, Delay: delay, Reason: ReasonRetry}
}

func (b *Budgets) takeToken(service galenahead.ServiceName) bool {
	bucket := b.bucket(service)
	bucket.mu.Lock()
	defer bucket.mu.Unlock()
	if bucket.tokens < 1 {
		return false
	}
	bucket.tokens--
	return true
}

// delay returns a random delay up to an exponentially growing bound (full
// jitter), so that requests which failed together are not retried together.
func (b *Budgets) delay(attempt int) time.Duration {
	bound := b.baseDelay()
	for i := 1; i < attempt && bound < b.maxDelay(); i++ {
		bound *= 2
	}
	bound = min(bound, b.maxDelay())
	return time.Duration(b.random() * float64(bound))
}

func (b *Budgets) bucket(service galenahead.ServiceName) *tokenBucket {
	b.mu.RLock()
	bucket := b.buckets[service]
	b.mu.RUnlock()
	if bucket != nil {
		return bucket
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.buckets == nil {
		b.buckets = make(map[galenahead.ServiceName]*tokenBucket)
	}
	if b.buckets[service] == nil {
		b.buckets[service] = &tokenBucket{tokens: b.burst()}
	}
	return b.buckets[service]
}

func (b *Budgets) ratio() float64           { return orDefault(b.cfg.Ratio, defaultRatio) }
func (b *Budgets) burst() float64           { return orDefault(b.cfg.Burst, defaultBurst) }
func (b *Budgets) baseDelay() time.Duration { return orDefault(b.cfg.BaseDelay, defaultBaseDelay) }
func (b *Budgets) maxDelay() time.Duration  { return orDefault(b.cfg.MaxDelay, defaultMaxDelay) }
func (b *Budgets) maxAttempts() int         { return orDefault(b.cfg.MaxAttempts, defaultMaxAttempts) }

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
