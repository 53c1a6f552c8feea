package galenarpc

import "time"

// ageWindow is the period over which the shortest way of a sender's messages is measured,
// short enough for clocks that differ by 2%.
const ageWindow = 10 * time.Second

// AgeEstimate estimates the ages of the messages of one sender, whose clock has an unknown zero
// and rate, from the shortest way that one took lately. Its zero value is ready to use.
type AgeEstimate struct {
	known             bool
	shortest, earlier time.Duration
	since             time.Time
}

// Age returns how much longer a message was under way than the fastest ones of late. sent is
// a reading of the sender's clock, and received one of a clock here that is not stepped.
func (e *AgeEstimate) Age(received time.Time, sent time.Duration) time.Duration {
	offset := time.Duration(received.UnixNano()) - sent
	switch {
	case !e.known:
		*e = AgeEstimate{true, offset, offset, received}
	case received.Sub(e.since) > ageWindow:
		e.earlier, e.shortest, e.since = e.shortest, offset, received
	}
	e.shortest = min(e.shortest, offset)
	return offset - min(e.shortest, e.earlier)
}

// Reset makes the next message count as new, whatever was measured before.
func (e *AgeEstimate) Reset() { *e = AgeEstimate{} }
