package galenaaccount

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenahead/galenahead"
)

// Ledger counts what accounts may have running on all instances, and rates how much of
// their share they have. It is safe for concurrent use. Its zero value, and nil, know no
// accounts and limit nothing.
type Ledger struct {
	active atomic.Bool

	mu       sync.Mutex
	accounts map[galenahead.AccountName]*entry
	capacity galenahead.Resources
	// meanWeight is that of work without an account, and of accounts that are not known, and
	// sumWeight the sum of the weights.
	meanWeight, sumWeight float64
	// virtual is the least that an account with waiting work was served, which never falls, and
	// advancedAt when served and virtual were brought up to date.
	virtual    float64
	advancedAt time.Time
}

// entry is what a Ledger holds of an account.
type entry struct {
	weight float64
	limit  galenahead.Resources
	// used is what may run, and expected what earlier owners may have started and was not
	// found yet.
	used, expected galenahead.Resources
	// served is the account's dominant share, integrated over time and divided by its weight.
	served float64
	// waitingAt is when work of the account was last seen to wait.
	waitingAt time.Time
}

// minWeight stands for a weight of zero, which goes behind all others.
const minWeight = 1e-6

// Active reports whether accounts are known.
func (l *Ledger) Active() bool { return l != nil && l.active.Load() }

// SetAccounts replaces the weights and limits of accounts. What may run stays counted.
func (l *Ledger) SetAccounts(accounts []Account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active.Store(len(accounts) > 0)
	sum := 0.0
	for _, e := range l.accounts {
		e.weight, e.limit = 0, galenahead.Resources{}
	}
	for _, a := range accounts {
		e := l.entry(a.Name)
		e.weight, e.limit = max(a.Weight, minWeight), a.Limit
		sum += a.Weight
	}
	l.sumWeight = max(sum, minWeight)
	l.meanWeight = max(sum/float64(max(1, len(accounts))), minWeight)
	for name, e := range l.accounts {
		if e.weight == 0 && e.used == (galenahead.Resources{}) && e.expected == (galenahead.Resources{}) {
			delete(l.accounts, name)
		}
	}
}

// AddCapacity adds to the capacity of all instances, of which shares are parts.
func (l *Ledger) AddCapacity(r galenahead.Resources) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.capacity = l.capacity.Add(r)
}

func (l *Ledger) entry(name galenahead.AccountName) *entry {
	e := l.accounts[name]
	if e == nil {
		if l.accounts == nil {
			l.accounts = map[galenahead.AccountName]*entry{}
		}
		e = &entry{}
		l.accounts[name] = e
	}
	return e
}

// within reports whether the account may have r more running.
func (e *entry) within(r galenahead.Resources) bool {
	sum := e.used.Add(e.expected).Add(r)
	fits := func(sum, need, limit int64) bool { return need == 0 || limit == 0 || sum <= limit }
	return fits(sum.MilliCPU, r.MilliCPU, e.limit.MilliCPU) && fits(sum.MemoryMB, r.MemoryMB, e.limit.MemoryMB) && fits(sum.GPU, r.GPU, e.limit.GPU)
}

// Take counts r as running if the account may have that much more, and reports whether it
// may.
func (l *Ledger) Take(name galenahead.AccountName, r galenahead.Resources) bool {
	if l == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(name)
	if !e.within(r) {
		return false
	}
	e.used = e.used.Add(r)
	return true
}

// Fits reports whether Take would succeed now.
func (l *Ledger) Fits(name galenahead.AccountName, r galenahead.Resources) bool {
	if !l.Active() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.accounts[name]
	return e == nil || e.within(r)
}

// Over reports whether the account may have more running than its limit, so that what is
// stopped may not start again.
func (l *Ledger) Over(name galenahead.AccountName) bool {
	if !l.Active() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.accounts[name]
	if e == nil {
		return false
	}
	used := e.used.Add(e.expected)
	over := func(used, limit int64) bool { return limit > 0 && used > limit }
	return over(used.MilliCPU, e.limit.MilliCPU) || over(used.MemoryMB, e.limit.MemoryMB) || over(used.GPU, e.limit.GPU)
}

// Charge counts r as running, also beyond the limit: it was found at work.
func (l *Ledger) Charge(name galenahead.AccountName, r galenahead.Resources) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(name)
	e.used = e.used.Add(r)
}

// Release ends what Take or Charge has counted.
func (l *Ledger) Release(name galenahead.AccountName, r galenahead.Resources) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(name)
	e.used = e.used.Sub(r)
}

// Expect counts r as what an earlier owner may have started, until EndExpectation.
func (l *Ledger) Expect(name galenahead.AccountName, r galenahead.Resources) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(name)
	e.expected = e.expected.Add(r)
}

// EndExpectation ends what Expect has counted.
func (l *Ledger) EndExpectation(name galenahead.AccountName, r galenahead.Resources) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(name)
	e.expected = e.expected.Sub(r)
}

// CanEver reports whether the limit of the account, once nothing else of it runs, allows r.
func (l *Ledger) CanEver(name galenahead.AccountName, r galenahead.Resources) bool {
	if !l.Active() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.accounts[name]
	return e == nil || (&entry{limit: e.limit}).within(r)
}

// Room returns what the account may have more running.
func (l *Ledger) Room(name galenahead.AccountName) galenahead.Resources {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := galenahead.Resources{MilliCPU: maxAmount, MemoryMB: maxAmount, GPU: maxAmount}
	e := l.accounts[name]
	if e == nil {
		return out
	}
	used := e.used.Add(e.expected)
	limitTo := func(room *int64, limit, used int64) {
		if limit > 0 {
			*room = max(0, limit-used)
		}
	}
	limitTo(&out.MilliCPU, e.limit.MilliCPU, used.MilliCPU)
	limitTo(&out.MemoryMB, e.limit.MemoryMB, used.MemoryMB)
	limitTo(&out.GPU, e.limit.GPU, used.GPU)
	return out
}

// Share returns the largest part of the capacity that an account has of any resource.
func (l *Ledger) Share(name galenahead.AccountName) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.accounts[name]
	if e == nil {
		return 0
	}
	return dominant(e.used, l.capacity)
}

// Weight returns the weight of an account. Work without an account, and an account that is
// not known, has the mean weight of all.
func (l *Ledger) Weight(name galenahead.AccountName) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.weight(name)
}

func (l *Ledger) weight(name galenahead.AccountName) float64 {
	if e := l.accounts[name]; e != nil && e.weight > 0 {
		return e.weight
	}
	return max(l.meanWeight, minWeight)
}

// dominant returns the largest part of any resource of the capacity.
func dominant(used, capacity galenahead.Resources) float64 {
	part := func(u, c int64) float64 { return float64(u) / float64(max(1, c)) }
	return max(part(used.MilliCPU, capacity.MilliCPU), part(used.MemoryMB, capacity.MemoryMB), part(used.GPU, capacity.GPU))
}

// Standing is what a Ledger holds of an account.
type Standing struct {
	Weight float64
	// Running is what may run, and Expected what earlier owners may have started beside it.
	Running, Expected, Limit galenahead.Resources
}

// Standing returns what the ledger holds of an account.
func (l *Ledger) Standing(name galenahead.AccountName) Standing {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.accounts[name]
	if e == nil {
		return Standing{}
	}
	return Standing{e.weight, e.used, e.expected, e.limit}
}
