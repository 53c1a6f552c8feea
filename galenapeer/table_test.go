package galenapeer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
)

type simPeer struct {
	name      galenahead.EntryName
	table     *Table
	clockSkew time.Duration
}

// simNetwork exchanges heartbeats between the tables of simulated entries.
// blocked reports whether messages from one entry to another are lost.
type simNetwork struct {
	rand    *rand.Rand
	now     time.Duration
	entries []Entry
	peers   []*simPeer
	blocked func(from, to int) bool
}

func newSimNetwork(n int) *simNetwork {
	m := &simNetwork{rand: rand.New(rand.NewPCG(1, 1)), blocked: func(int, int) bool { return false }}
	for i := range n {
		m.entries = append(m.entries, Entry{Name: galenahead.EntryName(fmt.Sprint("e", i))})
	}
	for _, e := range m.entries {
		m.peers = append(m.peers, &simPeer{name: e.Name, table: NewTable(e.Name, m.entries)})
	}
	return m
}

func (m *simNetwork) clockOf(i int, after time.Duration) Instant {
	now := m.now + after
	return Instant{Mono: now, Wall: time.UnixMilli(1e12).Add(now + m.peers[i].clockSkew)}
}

// run simulates the heartbeat exchanges of d. Each message takes 1 to 20 ms.
func (m *simNetwork) run(d time.Duration) {
	for end := m.now + d; m.now < end; m.now += HeartbeatInterval {
		for i, p := range m.peers {
			for j, q := range m.peers {
				if i == j || !InitiatesExchange(m.entries, p.name, q.name) || m.blocked(i, j) {
					continue
				}
				requestDelay := time.Duration(1+m.rand.IntN(20)) * time.Millisecond
				replyAt := requestDelay + time.Duration(1+m.rand.IntN(20))*time.Millisecond
				reply := q.table.HandleRequest(m.clockOf(j, requestDelay), p.table.NewRequest(m.clockOf(i, 0), q.name))
				if !m.blocked(j, i) {
					p.table.HandleReply(m.clockOf(i, 0), m.clockOf(i, replyAt), reply)
				}
			}
		}
	}
}

// Guards against a pair of entries in which neither or both start the exchanges.
func TestEachPairHasOneInitiator(t *testing.T) {
	is := is.New(t)
	m := newSimNetwork(12)
	for _, a := range m.entries {
		n := 0
		for _, b := range m.entries {
			if a.Name != b.Name {
				is.True(InitiatesExchange(m.entries, a.Name, b.Name) != InitiatesExchange(m.entries, b.Name, a.Name))
				if InitiatesExchange(m.entries, a.Name, b.Name) {
					n++
				}
			}
		}
		is.True(n == 5 || n == 6)
	}
}

// Guards against an entry that counts itself as part of a live majority although
// messages to it, from it or both are lost.
func TestMajority(t *testing.T) {
	for name, cut := range map[string]func(from, to int) bool{
		"both directions": func(from, to int) bool { return from == 0 || to == 0 },
		"outbound":        func(from, _ int) bool { return from == 0 },
		"inbound":         func(_, to int) bool { return to == 0 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newSimNetwork(12)
			m.run(3 * time.Second)
			is.True(m.peers[0].table.HasMajority(m.clockOf(0, 0)))
			m.blocked = cut
			m.run(3 * time.Second)
			is.True(!m.peers[0].table.HasMajority(m.clockOf(0, 0)))
			is.True(m.peers[1].table.HasMajority(m.clockOf(1, 0)))
			is.True(!m.peers[1].table.Live(m.clockOf(1, 0), "e0"))
			m.blocked = func(int, int) bool { return false }
			m.run(2 * time.Second)
			is.True(m.peers[0].table.HasMajority(m.clockOf(0, 0)))
		})
	}
}

// Guards against trusting a wrong clock, against distrusting a right one because
// some peers' clocks are wrong, and against detecting a clock step late.
func TestClockTrust(t *testing.T) {
	is := is.New(t)
	m := newSimNetwork(12)
	is.True(!m.peers[0].table.ClockTrusted(m.clockOf(0, 0)))
	m.peers[3].clockSkew = 5 * time.Second
	m.peers[4].clockSkew = -1200 * time.Millisecond
	m.peers[5].clockSkew = 700 * time.Millisecond
	m.run(3 * time.Second)
	for i, p := range m.peers {
		is.Equal(p.table.ClockTrusted(m.clockOf(i, 0)), i != 3 && i != 4)
		off, ok := p.table.ClockOffset(m.clockOf(i, 0))
		is.True(ok)
		is.True((off - p.clockSkew).Abs() < 20*time.Millisecond)
	}
	m.peers[0].clockSkew = -2 * time.Second
	is.True(!m.peers[0].table.ClockTrusted(m.clockOf(0, 0)))
	is.True(m.peers[1].table.ClockTrusted(m.clockOf(1, 0)))
}

// Guards against a heartbeat that was delayed by several seconds and still makes
// a peer look live or its confirmation look fresh.
func TestLateHeartbeat(t *testing.T) {
	is := is.New(t)
	m := newSimNetwork(3)
	m.peers[0].table.Confirm(m.clockOf(0, 0), 7)
	m.run(2 * time.Second)
	late := m.peers[0].table.NewRequest(m.clockOf(0, 0), "e1")
	m.now += 10 * time.Second
	m.peers[1].table.HandleRequest(m.clockOf(1, 0), late)
	is.True(!m.peers[1].table.Live(m.clockOf(1, 0), "e0"))
}

// Guards against serving without a valid confirmation, and against not serving
// while the control daemons are down.
func TestServing(t *testing.T) {
	is := is.New(t)
	m := newSimNetwork(5)
	serving := func(i int) ServingMode { return m.peers[i].table.Serving(m.clockOf(i, 0)).Mode }
	m.run(2 * time.Second)
	is.Equal(serving(0), NotReadyBlank)
	for i := range m.peers {
		m.peers[i].table.Confirm(m.clockOf(i, 0), 7)
	}
	is.Equal(serving(0), ServingConfirmed)
	m.run(4 * time.Second)
	is.Equal(serving(0), ServingControlDown)
	m.peers[1].table.Confirm(m.clockOf(1, 0), 7)
	m.run(time.Second)
	is.Equal(serving(0), ServingAdopted)
	m.peers[2].table.Confirm(m.clockOf(2, 0), 8)
	m.run(time.Second)
	s := m.peers[0].table.Serving(m.clockOf(0, 0))
	is.Equal(s.Mode, ServingConfirmed)
	is.Equal(s.Peer, galenahead.EntryName("e2"))
	is.Equal(s.NewerRevision, galenahead.Revision(8))
	for range 4 {
		m.peers[2].table.Confirm(m.clockOf(2, 0), 8)
		m.run(time.Second)
	}
	is.Equal(serving(0), NotReadyBehind)
	m.peers[0].table.RecordRevision(8)
	is.Equal(serving(0), ServingAdopted)
	m.run(4 * time.Second)
	is.Equal(serving(0), ServingControlDown)
	m.peers[0].table.Confirm(m.clockOf(0, 0), 7)
	is.Equal(serving(0), ServingControlDown)
	m.blocked = func(from, to int) bool { return from == 0 || to == 0 }
	m.run(4 * time.Second)
	is.Equal(serving(0), NotReadyPartitioned)
}

// Guards against a decision that depends on the iteration order of the peers,
// and checks the limits of ConfirmationTTL.
func TestDecideServingIgnoresPeerOrder(t *testing.T) {
	is := is.New(t)
	fresh := func(r galenahead.Revision, age time.Duration) Confirmation {
		return Confirmation{Revision: r, Confirmed: true, Age: age}
	}
	peers := map[galenahead.EntryName]Confirmation{
		"a": fresh(4, time.Second), "b": fresh(4, 2*time.Second), "c": fresh(9, ConfirmationTTL+1),
	}
	got := DecideServing(fresh(5, 4*time.Second), peers, true)
	is.Equal(got, ServingDecision{Mode: ServingAdopted, Ready: true, Revision: 5, Peer: "a", Age: time.Second})
	got = DecideServing(Confirmation{}, peers, true)
	is.Equal(got, ServingDecision{Mode: NotReadyBehind, NewerRevision: 4, Peer: "a"})
	is.Equal(DecideServing(fresh(5, 4*time.Second), peers, false).Mode, NotReadyPartitioned)
	is.Equal(DecideServing(fresh(5, 4*time.Second), nil, true).Mode, ServingControlDown)
	is.Equal(DecideServing(fresh(5, ConfirmationTTL), nil, false).Mode, ServingConfirmed)
}
