// Package galenaintake bounds the memory that a process spends on what others send to it: a
// budget of bytes that are charged before they are held, and a bound on connections.
package galenaintake

import (
	"sync"
	"sync/atomic"
	"time"
)

// LargeFrom is from how many bytes on a message is large. Large messages leave a part of the
// budget to the others.
const LargeFrom = 64 << 10

// reservePart is the part of a budget that large messages leave to the others.
const reservePart = 4

// Budget bounds the bytes of the messages that a process holds. It is safe for concurrent use. Its
// zero value, and nil, bound nothing.
type Budget struct {
	// Bytes is how much may be held.
	Bytes int64

	mu    sync.Mutex
	used  int64
	holds map[*Hold]struct{}

	refused, cancelled atomic.Int64
}

// Figures are counts of a Budget.
type Figures struct {
	// Used is what is held now.
	Used int64
	// Refused counts the messages for which there was no room, and Cancelled those that were given
	// up for the sake of others.
	Refused, Cancelled int64
}

// Figures returns the counts.
func (b *Budget) Figures() Figures {
	if b == nil {
		return Figures{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return Figures{b.used, b.refused.Load(), b.cancelled.Load()}
}

// Hold is what one message holds of a Budget, or all messages of one connection. It is safe for
// concurrent use.
type Hold struct {
	budget *Budget
	since  time.Time
	// cancel ends the message or the connection.
	cancel func()
	bytes  int64
	// perConn is set if it is the hold of a connection, which weighs what it holds now.
	perConn bool
	// received is set while the message is handled, so that it is not given up, and cancelled once
	// it was given up.
	received, cancelled bool
}

// Open begins a message. cancel is called when it is given up for the sake of others while it is
// being received, and must not block.
func (b *Budget) Open(cancel func()) *Hold { return b.open(&Hold{since: time.Now(), cancel: cancel}) }

// OpenConn begins a connection whose messages are charged together. It may be given up for the sake of
// others at any time: cancel closes it, and must not block.
func (b *Budget) OpenConn(cancel func()) *Hold { return b.open(&Hold{perConn: true, cancel: cancel}) }

// OpenAnswer begins an answer of n bytes, which are held already. It may be given up for the sake of
// others until its client has read it: cancel closes the connection, and must not block.
func (b *Budget) OpenAnswer(n int64, cancel func()) *Hold {
	h := b.Open(cancel)
	h.Force(n)
	return h
}

func (b *Budget) open(h *Hold) *Hold {
	h.budget = b
	if b == nil || b.Bytes == 0 {
		return h
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.holds == nil {
		b.holds = map[*Hold]struct{}{}
	}
	b.holds[h] = struct{}{}
	return h
}

// Grow charges n more bytes, before they are held, and reports whether they may be. If there is no
// room, messages are given up that hold more, and have done so for longer.
func (h *Hold) Grow(n int64) bool {
	b := h.budget
	if b == nil || b.Bytes == 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.Bytes
	if h.bytes+n > LargeFrom {
		limit -= b.Bytes / reservePart
	}
	now := time.Now()
	for !h.cancelled && b.used+n > limit {
		victim := b.heaviest(now)
		if victim == nil || victim == h || victim.weight(now, 0) <= h.weight(now.Add(newcomerTime), n) {
			b.refused.Add(1)
			return false
		}
		b.giveUp(victim)
	}
	if h.cancelled {
		return false
	}
	h.bytes += n
	b.used += n
	return true
}

// Force charges n bytes that are held already. What weighs most is given up if they are beyond the
// budget, which may be h itself.
func (h *Hold) Force(n int64) {
	b := h.budget
	if b == nil || b.Bytes == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.cancelled {
		return
	}
	h.bytes += n
	b.used += n
	for now := time.Now(); b.used > b.Bytes; {
		victim := b.heaviest(now)
		if victim == nil {
			return
		}
		b.giveUp(victim)
	}
}

// giveUp gives up a message or connection. mu must be held.
func (b *Budget) giveUp(victim *Hold) {
	b.cancelled.Add(1)
	victim.cancelled = true
	b.used -= victim.bytes
	victim.bytes = 0
	victim.cancel()
}

// newcomerTime is for how long a message that asks for room counts as having held it, so that it
// takes none from those that hold less and are about to be complete.
const newcomerTime = time.Second

// weight is what a message holds, with more bytes, times how long it has. A connection counts as
// having held all for newcomerTime, since it may be open for long.
func (h *Hold) weight(now time.Time, more int64) float64 {
	held := newcomerTime
	if !h.perConn {
		held = now.Sub(h.since)
	}
	return float64(h.bytes+more) * held.Seconds()
}

// heaviest returns what weighs most of what may be given up, or nil.
func (b *Budget) heaviest(now time.Time) *Hold {
	var out *Hold
	for h := range b.holds {
		if !h.received && h.bytes > 0 && (out == nil || h.weight(now, 0) > out.weight(now, 0)) {
			out = h
		}
	}
	return out
}

// Shrink ends the charge of n bytes.
func (h *Hold) Shrink(n int64) {
	b := h.budget
	if b == nil || b.Bytes == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !h.cancelled {
		h.bytes -= n
		b.used -= n
	}
}

// Received records that the message is complete, and reports whether it was not given up before. The
// hold of a connection stays as it is.
func (h *Hold) Received() bool {
	b := h.budget
	if b == nil || b.Bytes == 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	h.received = !h.perConn
	return !h.cancelled
}

// Close ends all charges of the message. It may be called more than once.
func (h *Hold) Close() {
	b := h.budget
	if b == nil || b.Bytes == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= h.bytes
	h.bytes, h.cancelled = 0, true
	delete(b.holds, h)
}
