package galenaaccount

import (
	"sync"
	"time"

	"github.com/galenahead/galenahead"
)

// Rates measures how many jobs accounts submit against their weights. It is safe for
// concurrent use. Its zero value is ready to use.
type Rates struct {
	mu       sync.Mutex
	accounts map[galenahead.AccountName]*rate
}

// rate is a token bucket that holds one second of jobs.
type rate struct {
	tokens float64
	at     time.Time
	// rejected counts the rejected jobs.
	rejected int64
}

func (r *Rates) get(name galenahead.AccountName) *rate {
	a := r.accounts[name]
	if a == nil {
		if r.accounts == nil {
			r.accounts = map[galenahead.AccountName]*rate{}
		}
		a = &rate{}
		r.accounts[name] = a
	}
	return a
}

// Submit counts a job, and reports whether it is within the account's rate of weight jobs a
// second.
func (r *Rates) Submit(now time.Time, name galenahead.AccountName, weight float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, burst := r.get(name), max(1, weight)
	if a.at.IsZero() {
		a.tokens = burst
	}
	a.tokens = min(burst, a.tokens+now.Sub(a.at).Seconds()*weight)
	a.at = now
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

// Reject counts a rejected job.
func (r *Rates) Reject(name galenahead.AccountName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.get(name).rejected++
}

// Rejected returns the number of rejected jobs of an account.
func (r *Rates) Rejected(name galenahead.AccountName) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a := r.accounts[name]; a != nil {
		return a.rejected
	}
	return 0
}

// Keep forgets all accounts but those that are listed.
func (r *Rates) Keep(accounts []Account) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := make(map[galenahead.AccountName]*rate, len(accounts))
	for _, a := range accounts {
		if old := r.accounts[a.Name]; old != nil {
			kept[a.Name] = old
		}
	}
	r.accounts = kept
}
