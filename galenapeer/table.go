// Package galenapeer tracks the peers of an entry with heartbeats: their
// liveness, clock offsets and configuration revisions. It decides from these
// whether a majority of entries is live and whether the entry may serve.
package galenapeer

import (
	"slices"
	"time"

	"github.com/galenahead/galenahead"
)

const (
	// HeartbeatInterval is the time between two exchanges of a pair of entries.
	HeartbeatInterval = 500 * time.Millisecond
	// LiveTTL is how long a peer counts as live after the last exchange. At three
	// heartbeat intervals, one lost message does not change the majority.
	LiveTTL = 3 * HeartbeatInterval
	// MaxClockOffset is the largest offset from the majority's median at which
	// an entry trusts its own clock.
	MaxClockOffset = time.Second
	// maxRoundTrip is the longest round trip from which a clock offset is
	// estimated. The error of an estimate is at most half the round trip.
	maxRoundTrip = 200 * time.Millisecond
)

// Entry is one item of the configured list of entries, which is the same at all
// entries.
type Entry struct {
	Name       galenahead.EntryName
	DataCentre galenahead.DataCentre
	// Address is the IP address and port that serves JSON-RPC.
	Address string
}

// Heartbeat is the request and also the reply of an exchange.
type Heartbeat struct {
	From galenahead.EntryName `json:"from"`
	// WallUS is the sender's wall clock in Unix microseconds.
	WallUS int64 `json:"wall_us"`
	// ReceiverLive is set in requests if the receiver is live for the sender and
	// the sender knows its clock offset.
	ReceiverLive bool `json:"heard,omitempty"`
	// OffsetUS is the receiver's clock minus the sender's in microseconds, as
	// measured by the sender. It is valid if ReceiverLive is set.
	OffsetUS int64 `json:"offset_us,omitempty"`
	// Revision is the configuration revision that the sender has applied.
	Revision galenahead.Revision `json:"revision,omitempty"`
	// ConfirmationAgeMS is the age of the sender's confirmation plus 1 ms, or 0
	// without a confirmation.
	ConfirmationAgeMS int64 `json:"confirm_age_ms,omitempty"`
}

type peerState struct {
	entry Entry
	// lastExchange is the monotonic time at which an exchange last showed that
	// messages pass in both directions. It is valid if hasExchange is set.
	lastExchange time.Duration
	hasExchange  bool
	// wallAtMonoZero is the peer's wall clock at the zero of this process's
	// monotonic clock. An offset computed from it reflects a step of this
	// entry's wall clock at once.
	wallAtMonoZero time.Time
	hasClock       bool
	confirmation   Confirmation
	// confirmationAt is the monotonic time to which confirmation.Age refers.
	confirmationAt time.Duration
}

// Table is the peer table of one entry. It is deterministic and uses no locks,
// goroutines or clocks of its own; Service runs it.
type Table struct {
	self         galenahead.EntryName
	entryCount   int
	peers        []*peerState
	confirmation Confirmation
	// confirmedAt is the monotonic time from which the age of confirmation
	// counts.
	confirmedAt time.Duration
}

// NewTable returns the table of entry self for the configured entries.
func NewTable(self galenahead.EntryName, entries []Entry) *Table {
	t := &Table{self: self, entryCount: len(entries)}
	for _, e := range entries {
		if e.Name != self {
			t.peers = append(t.peers, &peerState{entry: e})
		}
	}
	return t
}

// InitiatesExchange reports whether self starts the exchanges with peer. One
// exchange updates both tables, so exactly one entry of each pair starts it, and
// all entries start about equally many.
func InitiatesExchange(entries []Entry, self, peer galenahead.EntryName) bool {
	i := slices.IndexFunc(entries, func(e Entry) bool { return e.Name == self })
	j := slices.IndexFunc(entries, func(e Entry) bool { return e.Name == peer })
	if (i+j)%2 == 0 {
		return i < j
	}
	return i > j
}

// Confirm records that the control leader confirmed revision as the latest. The
// age of the confirmation counts from at. A revision older than the applied one is
// ignored.
func (t *Table) Confirm(at Instant, revision galenahead.Revision) {
	if revision < t.confirmation.Revision {
		return
	}
	t.confirmation = Confirmation{Revision: revision, Confirmed: true}
	t.confirmedAt = at.Mono
}

// RecordRevision records that this entry has applied revision, for example after
// fetching it from a peer, without a confirmation of the leader. The age of its own
// confirmation stays, because that confirmation still proves that no newer revision
// existed when it was given.
func (t *Table) RecordRevision(revision galenahead.Revision) {
	t.confirmation.Revision = max(t.confirmation.Revision, revision)
}

// NewRequest returns the heartbeat to send to peer.
func (t *Table) NewRequest(now Instant, peer galenahead.EntryName) Heartbeat {
	h := t.heartbeat(now)
	p := t.find(peer)
	if p != nil && t.isLive(now, p) && p.hasClock {
		h.ReceiverLive = true
		h.OffsetUS = p.clockOffset(now).Microseconds()
	}
	return h
}

// HandleRequest handles a peer's request and returns the reply. A request that
// was in transit for longer than LiveTTL, by the sender's estimate of the clock
// offset, does not show that the peer is live and does not change the table.
func (t *Table) HandleRequest(now Instant, h Heartbeat) Heartbeat {
	p := t.find(h.From)
	if p == nil || !h.ReceiverLive {
		return t.heartbeat(now)
	}
	offset := -time.Duration(h.OffsetUS) * time.Microsecond
	delay := now.Wall.Add(offset).Sub(time.UnixMicro(h.WallUS))
	if delay.Abs() <= LiveTTL {
		p.lastExchange, p.hasExchange = now.Mono, true
		p.setClockOffset(now, offset)
		p.updateConfirmation(now.Mono-max(delay, 0), h)
	}
	return t.heartbeat(now)
}

// HandleReply handles a peer's reply to a request that was sent at sentAt.
func (t *Table) HandleReply(sentAt, now Instant, h Heartbeat) {
	p := t.find(h.From)
	roundTrip := now.Mono - sentAt.Mono
	if p == nil || roundTrip > LiveTTL {
		return
	}
	// The peer sent its reply after the request was sent, so counting the age
	// from the request never makes the confirmation look fresher than it is.
	p.updateConfirmation(sentAt.Mono, h)
	p.lastExchange, p.hasExchange = now.Mono, true
	if roundTrip <= maxRoundTrip {
		p.setClockOffset(now, time.UnixMicro(h.WallUS).Add(roundTrip/2).Sub(now.Wall))
	}
}

// Live reports whether the peer is live. The entry itself always is.
func (t *Table) Live(now Instant, name galenahead.EntryName) bool {
	if name == t.self {
		return true
	}
	p := t.find(name)
	return p != nil && t.isLive(now, p)
}

// HasMajority reports whether this entry and its live peers are more than half
// of the configured entries.
func (t *Table) HasMajority(now Instant) bool {
	n := 1
	for _, p := range t.peers {
		if t.isLive(now, p) {
			n++
		}
	}
	return 2*n > t.entryCount
}

// ClockOffset returns this entry's clock minus the median clock of this entry
// and its live peers. It returns false without a majority of clocks.
func (t *Table) ClockOffset(now Instant) (time.Duration, bool) {
	offsets := []time.Duration{0}
	for _, p := range t.peers {
		if t.isLive(now, p) && p.hasClock {
			offsets = append(offsets, p.clockOffset(now))
		}
	}
	if 2*len(offsets) <= t.entryCount {
		return 0, false
	}
	slices.Sort(offsets)
	mid := len(offsets) / 2
	median := offsets[mid]
	if len(offsets)%2 == 0 {
		median = (offsets[mid-1] + offsets[mid]) / 2
	}
	return -median, true
}

// ClockTrusted reports whether this entry's clock is within MaxClockOffset of
// the majority's median.
func (t *Table) ClockTrusted(now Instant) bool {
	offset, ok := t.ClockOffset(now)
	return ok && offset.Abs() <= MaxClockOffset
}

// OwnConfirmation returns this entry's confirmation with its current age.
func (t *Table) OwnConfirmation(now Instant) Confirmation {
	c := t.confirmation
	c.Age = now.Mono - t.confirmedAt
	return c
}

// Serving decides whether this entry may serve requests. If it relies on the
// confirmation of a live peer, the entry adopts that confirmation with its age.
func (t *Table) Serving(now Instant) ServingDecision {
	peers := make(map[galenahead.EntryName]Confirmation, len(t.peers))
	for _, p := range t.peers {
		if t.isLive(now, p) {
			c := p.confirmation
			c.Age += now.Mono - p.confirmationAt
			peers[p.entry.Name] = c
		}
	}
	s := DecideServing(t.OwnConfirmation(now), peers, t.HasMajority(now))
	if s.Mode == ServingAdopted {
		t.confirmation.Confirmed = true
		t.confirmedAt = now.Mono - s.Age
	}
	return s
}

func (t *Table) heartbeat(now Instant) Heartbeat {
	h := Heartbeat{From: t.self, WallUS: now.Wall.UnixMicro(), Revision: t.confirmation.Revision}
	if t.confirmation.Confirmed {
		h.ConfirmationAgeMS = (now.Mono - t.confirmedAt).Milliseconds() + 1
	}
	return h
}

func (t *Table) find(name galenahead.EntryName) *peerState {
	for _, p := range t.peers {
		if p.entry.Name == name {
			return p
		}
	}
	return nil
}

func (t *Table) isLive(now Instant, p *peerState) bool {
	return p.hasExchange && now.Mono-p.lastExchange <= LiveTTL
}

// updateConfirmation stores the peer's confirmation from a message that the peer
// sent at notBefore or later. A late message with an older revision is ignored.
func (p *peerState) updateConfirmation(notBefore time.Duration, h Heartbeat) {
	c := Confirmation{Revision: h.Revision}
	if h.ConfirmationAgeMS > 0 {
		c.Confirmed = true
		c.Age = time.Duration(h.ConfirmationAgeMS) * time.Millisecond
	}
	if c.Revision < p.confirmation.Revision {
		return
	}
	p.confirmation = c
	p.confirmationAt = notBefore
}

func (p *peerState) setClockOffset(now Instant, offset time.Duration) {
	p.wallAtMonoZero = now.Wall.Add(offset - now.Mono)
	p.hasClock = true
}

// clockOffset returns the peer's clock minus this entry's clock.
func (p *peerState) clockOffset(now Instant) time.Duration {
	return p.wallAtMonoZero.Add(now.Mono).Sub(now.Wall)
}
