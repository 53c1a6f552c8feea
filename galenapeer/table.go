// Package galenapeer holds what an entry knows of its peers: heartbeats,
// liveness, clock offsets, held configuration revisions and the majority.
package galenapeer

import (
	"slices"
	"time"

	"github.com/galenahead/galenahead"
)

const (
	// HeartbeatInterval is the time between two heartbeats of a pair.
	HeartbeatInterval = 500 * time.Millisecond
	// LiveTTL is how long a peer counts as live after the last exchange, three
	// heartbeats, so that one lost message does not change the majority.
	LiveTTL = 3 * HeartbeatInterval
	// MaxClockOffset is the largest trusted distance of the own clock from the
	// majority's median.
	MaxClockOffset = time.Second
	// maxRoundTrip is the longest round trip that yields a clock offset. The
	// error of an estimate is at most half of it.
	maxRoundTrip = 200 * time.Millisecond
)

// Entry is one member of the configured list of entries. All entries have the
// same list.
type Entry struct {
	Name       galenahead.EntryName
	DataCentre galenahead.DataCentre
	// Address is the IP address and port that serves JSON-RPC.
	Address string
}

// Heartbeat is one direction of an exchange; both directions of the exchange
// have the same form.
type Heartbeat struct {
	From galenahead.EntryName `json:"from"`
	// WallUS is the sender's time of day in Unix microseconds.
	WallUS int64 `json:"wall_us"`
	// Heard tells that the sender received a reply from the receiver within
	// LiveTTL. Only requests carry it.
	Heard bool `json:"heard,omitempty"`
	// OffsetUS is the receiver's clock minus the sender's in microseconds, as
	// measured by the sender. It counts when Heard is set.
	OffsetUS int64 `json:"offset_us,omitempty"`
	// Revision is the held configuration revision.
	Revision galenahead.Revision `json:"revision,omitempty"`
	// ConfirmAgeMS is the age of its confirmation plus one, or 0 without one.
	ConfirmAgeMS int64 `json:"confirm_age_ms,omitempty"`
}

type peerState struct {
	entry Entry
	// live is when the last exchange in both directions completed.
	live  time.Duration
	known bool
	// ahead is the peer's time of day at this process's monotonic zero. Kept
	// this way, it follows steps of the own clock at once.
	ahead    time.Time
	hasClock bool
	conf     Confirmation
	confAt   time.Duration
}

// Table is the peer table of one entry: a deterministic core without locks,
// goroutines or clock reads. Use New for the form that runs.
type Table struct {
	self  galenahead.EntryName
	size  int
	peers []*peerState
	own   Confirmation
	ownAt time.Duration
}

// NewTable returns the table of entry self over the configured list.
func NewTable(self galenahead.EntryName, entries []Entry) *Table {
	t := &Table{self: self, size: len(entries)}
	for _, e := range entries {
		if e.Name != self {
			t.peers = append(t.peers, &peerState{entry: e})
		}
	}
	return t
}

// Calls tells whether this entry starts the exchanges with peer. One exchange
// informs both, so that one entry of each pair starts it.
func Calls(entries []Entry, self, peer galenahead.EntryName) bool {
	i := slices.IndexFunc(entries, func(e Entry) bool { return e.Name == self })
	j := slices.IndexFunc(entries, func(e Entry) bool { return e.Name == peer })
	if (i+j)%2 == 0 {
		return i < j
	}
	return i > j
}

// Confirm records that the leader stated at now that revision is the latest.
// An older revision than the held one is ignored.
func (t *Table) Confirm(now Instant, revision galenahead.Revision) {
	if revision < t.own.Revision {
		return
	}
	t.own = Confirmation{Revision: revision, Confirmed: true}
	t.ownAt = now.Mono
}

// Hold records that the content of revision is held, for example fetched from a
// peer, without a statement of the leader. It does not confirm the revision.
func (t *Table) Hold(revision galenahead.Revision) {
	if revision > t.own.Revision {
		t.own = Confirmation{Revision: revision}
	}
}

// Request returns the heartbeat to send to peer.
func (t *Table) Request(now Instant, peer galenahead.EntryName) Heartbeat {
	h := t.heartbeat(now)
	p := t.find(peer)
	if p != nil && t.isLive(now, p) && p.hasClock {
		h.Heard = true
		h.OffsetUS = p.offset(now).Microseconds()
	}
	return h
}

// Receive handles a peer's request and returns the reply. A request that was
// under way for longer than LiveTTL, by the sender's own estimate of the clock
// offset, proves nothing and is only answered.
func (t *Table) Receive(now Instant, h Heartbeat) Heartbeat {
	p := t.find(h.From)
	if p == nil || !h.Heard {
		return t.heartbeat(now)
	}
	off := -time.Duration(h.OffsetUS) * time.Microsecond
	delay := now.Wall.Add(off).Sub(time.UnixMicro(h.WallUS))
	if delay.Abs() <= LiveTTL {
		p.live, p.known = now.Mono, true
		p.setOffset(now, off)
		p.learn(now.Mono-max(delay, 0), h)
	}
	return t.heartbeat(now)
}

// Reply handles a peer's reply to a request that was sent at sent.
func (t *Table) Reply(sent, now Instant, h Heartbeat) {
	p := t.find(h.From)
	rtt := now.Mono - sent.Mono
	if p == nil || rtt > LiveTTL {
		return
	}
	// The reply is at most rtt old, so that its ages count from the request.
	p.learn(sent.Mono, h)
	p.live, p.known = now.Mono, true
	if rtt <= maxRoundTrip {
		p.setOffset(now, time.UnixMicro(h.WallUS).Add(rtt/2).Sub(now.Wall))
	}
}

// Live tells whether the peer is live; the entry itself always is.
func (t *Table) Live(now Instant, name galenahead.EntryName) bool {
	if name == t.self {
		return true
	}
	p := t.find(name)
	return p != nil && t.isLive(now, p)
}

// Majority tells whether this entry and its live peers are more than half of
// the configured entries.
func (t *Table) Majority(now Instant) bool {
	n := 1
	for _, p := range t.peers {
		if t.isLive(now, p) {
			n++
		}
	}
	return 2*n > t.size
}

// ClockOffset returns the own clock minus the median clock of this entry and
// its live peers. It returns false without a majority of clocks.
func (t *Table) ClockOffset(now Instant) (time.Duration, bool) {
	offsets := []time.Duration{0}
	for _, p := range t.peers {
		if t.isLive(now, p) && p.hasClock {
			offsets = append(offsets, p.offset(now))
		}
	}
	if 2*len(offsets) <= t.size {
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

// ClockTrusted tells whether the own clock is within MaxClockOffset of the
// majority's median.
func (t *Table) ClockTrusted(now Instant) bool {
	off, ok := t.ClockOffset(now)
	return ok && off.Abs() <= MaxClockOffset
}

// Own returns the held revision with the current age of its confirmation.
func (t *Table) Own(now Instant) Confirmation {
	c := t.own
	c.Age = now.Mono - t.ownAt
	return c
}

// Serving decides whether this entry may serve, and adopts the confirmation of
// a live peer that covers the held revision, with its age.
func (t *Table) Serving(now Instant) Serving {
	peers := make(map[galenahead.EntryName]Confirmation, len(t.peers))
	for _, p := range t.peers {
		if t.isLive(now, p) {
			c := p.conf
			c.Age += now.Mono - p.confAt
			peers[p.entry.Name] = c
		}
	}
	s := DecideServing(t.Own(now), peers, t.Majority(now))
	if s.Mode == ServingAdopted {
		t.own.Confirmed = true
		t.ownAt = now.Mono - s.Age
	}
	return s
}

func (t *Table) heartbeat(now Instant) Heartbeat {
	h := Heartbeat{From: t.self, WallUS: now.Wall.UnixMicro(), Revision: t.own.Revision}
	if t.own.Confirmed {
		h.ConfirmAgeMS = (now.Mono - t.ownAt).Milliseconds() + 1
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
	return p.known && now.Mono-p.live <= LiveTTL
}

// learn keeps the newest confirmation of the peer, which had the reported age
// at at or later. A late message does not replace a newer one.
func (p *peerState) learn(at time.Duration, h Heartbeat) {
	c := Confirmation{Revision: h.Revision}
	if h.ConfirmAgeMS > 0 {
		c.Confirmed = true
		c.Age = time.Duration(h.ConfirmAgeMS) * time.Millisecond
	}
	if c.Revision < p.conf.Revision {
		return
	}
	p.conf = c
	p.confAt = at
}

func (p *peerState) setOffset(now Instant, off time.Duration) {
	p.ahead = now.Wall.Add(off - now.Mono)
	p.hasClock = true
}

// offset returns the peer's clock minus the own clock.
func (p *peerState) offset(now Instant) time.Duration {
	return p.ahead.Add(now.Mono).Sub(now.Wall)
}
