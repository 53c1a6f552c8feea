package galenaaccount

import (
	"time"

	"github.com/galenahead/galenahead"
)

const (
	// advanceInterval is how often what accounts were served is brought up to date.
	advanceInterval = 10 * time.Millisecond
	// waitMemory is for how long an account counts as waiting after it was last seen to wait:
	// longer than a service takes from one plan to the next.
	waitMemory = 250 * time.Millisecond
	// maxLead bounds by how much more than the least served account one was served, as the time
	// in which all get as much by their weights. What an account took while nobody else wanted it
	// counts no further.
	maxLead = 2 * time.Second
	// turnHorizon is for how long running work counts ahead of time, about as long as a work
	// item takes, so that an account does not get all that is free at a moment.
	turnHorizon = time.Second
)

// Wait records that work of accounts waits for room, and brings what all were served up to date.
// Of the accounts with waiting work, the one that Turn rates lowest goes first.
func (l *Ledger) Wait(now time.Time, names []galenahead.AccountName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	for _, name := range names {
		e := l.entry(name)
		if now.Sub(e.waitingAt) > waitMemory {
			// It claims nothing for the time in which it wanted nothing.
			e.served = max(e.served, l.virtual)
		}
		e.waitingAt = now
	}
}

func (l *Ledger) advance(now time.Time) {
	since := now.Sub(l.advancedAt)
	if since < advanceInterval {
		return
	}
	first := l.advancedAt.IsZero()
	l.advancedAt = now
	if first {
		return
	}
	least, waits := 0.0, false
	for name, e := range l.accounts {
		e.served += dominant(e.used, l.capacity) * since.Seconds() / l.weight(name)
		if now.Sub(e.waitingAt) <= waitMemory && (!waits || e.served < least) {
			least, waits = e.served, true
		}
	}
	if waits {
		l.virtual = max(l.virtual, least)
	}
	lead := maxLead.Seconds() / max(l.sumWeight, minWeight)
	for _, e := range l.accounts {
		e.served = min(e.served, l.virtual+lead)
	}
}

// Turn rates whose turn it is: what the account was served, with what its running work takes next.
func (l *Ledger) Turn(name galenahead.AccountName) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.accounts[name]
	if e == nil {
		return l.virtual
	}
	return e.served + dominant(e.used, l.capacity)*turnHorizon.Seconds()/l.weight(name)
}
