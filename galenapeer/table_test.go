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
	name  galenahead.EntryName
	table *Table
	skew  time.Duration
}

// mesh exchanges heartbeats between the tables of n entries.
type mesh struct {
	r       *rand.Rand
	now     time.Duration
	entries []Entry
	peers   []*simPeer
	cut     func(from, to int) bool
}

func newMesh(n int) *mesh {
	m := &mesh{r: rand.New(rand.NewPCG(1, 1)), cut: func(int, int) bool { return false }}
	for i := range n {
		m.entries = append(m.entries, Entry{Name: galenahead.EntryName(fmt.Sprint("e", i))})
	}
	for _, e := range m.entries {
		m.peers = append(m.peers, &simPeer{name: e.Name, table: NewTable(e.Name, m.entries)})
	}
	return m
}

func (m *mesh) at(i int, after time.Duration) Instant {
	now := m.now + after
	return Instant{Mono: now, Wall: time.UnixMilli(1e12).Add(now + m.peers[i].skew)}
}

// run exchanges heartbeats for d, each with a delay of 1 to 20 ms each way.
func (m *mesh) run(d time.Duration) {
	for end := m.now + d; m.now < end; m.now += HeartbeatInterval {
		for i, p := range m.peers {
			for j, q := range m.peers {
				if i == j || !Calls(m.entries, p.name, q.name) || m.cut(i, j) {
					continue
				}
				there := time.Duration(1+m.r.IntN(20)) * time.Millisecond
				back := there + time.Duration(1+m.r.IntN(20))*time.Millisecond
				reply := q.table.Receive(m.at(j, there), p.table.Request(m.at(i, 0), q.name))
				if !m.cut(j, i) {
					p.table.Reply(m.at(i, 0), m.at(i, back), reply)
				}
			}
		}
	}
}

// Guards against a pair of entries without exchanges, or with twice as many as
// needed.
func TestCallsOnce(t *testing.T) {
	is := is.New(t)
	m := newMesh(12)
	for _, a := range m.entries {
		n := 0
		for _, b := range m.entries {
			if a.Name != b.Name {
				is.True(Calls(m.entries, a.Name, b.Name) != Calls(m.entries, b.Name, a.Name))
				if Calls(m.entries, a.Name, b.Name) {
					n++
				}
			}
		}
		is.True(n == 5 || n == 6)
	}
}

// Guards against an entry that takes itself for part of the majority when it is
// cut off, in both directions or in one.
func TestMajority(t *testing.T) {
	for name, cut := range map[string]func(from, to int) bool{
		"both directions": func(from, to int) bool { return from == 0 || to == 0 },
		"outbound":        func(from, _ int) bool { return from == 0 },
		"inbound":         func(_, to int) bool { return to == 0 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newMesh(12)
			m.run(3 * time.Second)
			is.True(m.peers[0].table.Majority(m.at(0, 0)))
			m.cut = cut
			m.run(3 * time.Second)
			is.True(!m.peers[0].table.Majority(m.at(0, 0)))
			is.True(m.peers[1].table.Majority(m.at(1, 0)))
			is.True(!m.peers[1].table.Live(m.at(1, 0), "e0"))
			m.cut = func(int, int) bool { return false }
			m.run(2 * time.Second)
			is.True(m.peers[0].table.Majority(m.at(0, 0)))
		})
	}
}

// Guards against a clock that is trusted although it is wrong, or distrusted
// because some peers' clocks are wrong, and against steps noticed too late.
func TestClockTrust(t *testing.T) {
	is := is.New(t)
	m := newMesh(12)
	is.True(!m.peers[0].table.ClockTrusted(m.at(0, 0)))
	m.peers[3].skew = 5 * time.Second
	m.peers[4].skew = -1200 * time.Millisecond
	m.peers[5].skew = 700 * time.Millisecond
	m.run(3 * time.Second)
	for i, p := range m.peers {
		is.Equal(p.table.ClockTrusted(m.at(i, 0)), i != 3 && i != 4)
		off, ok := p.table.ClockOffset(m.at(i, 0))
		is.True(ok)
		is.True((off - p.skew).Abs() < 20*time.Millisecond)
	}
	m.peers[0].skew = -2 * time.Second
	is.True(!m.peers[0].table.ClockTrusted(m.at(0, 0)))
	is.True(m.peers[1].table.ClockTrusted(m.at(1, 0)))
}

// Guards against a heartbeat that arrives late and makes a peer seem live or
// its confirmation fresh.
func TestLateHeartbeat(t *testing.T) {
	is := is.New(t)
	m := newMesh(3)
	m.peers[0].table.Confirm(m.at(0, 0), 7)
	m.run(2 * time.Second)
	late := m.peers[0].table.Request(m.at(0, 0), "e1")
	m.now += 10 * time.Second
	m.peers[1].table.Receive(m.at(1, 0), late)
	is.True(!m.peers[1].table.Live(m.at(1, 0), "e0"))
}

// Guards against serving without a valid confirmation, and against not serving
// while control is down.
func TestServing(t *testing.T) {
	is := is.New(t)
	m := newMesh(5)
	serving := func(i int) ServingMode { return m.peers[i].table.Serving(m.at(i, 0)).Mode }
	m.run(2 * time.Second)
	is.Equal(serving(0), NotReadyBlank)
	for i := range m.peers {
		m.peers[i].table.Confirm(m.at(i, 0), 7)
	}
	is.Equal(serving(0), ServingConfirmed)
	m.run(4 * time.Second)
	is.Equal(serving(0), ServingControlDown)
	m.peers[1].table.Confirm(m.at(1, 0), 7)
	m.run(time.Second)
	is.Equal(serving(0), ServingAdopted)
	m.peers[2].table.Confirm(m.at(2, 0), 8)
	m.run(time.Second)
	s := m.peers[0].table.Serving(m.at(0, 0))
	is.Equal(s.Mode, ServingConfirmed)
	is.Equal(s.From, galenahead.EntryName("e2"))
	is.Equal(s.Newer, galenahead.Revision(8))
	for range 4 {
		m.peers[2].table.Confirm(m.at(2, 0), 8)
		m.run(time.Second)
	}
	is.Equal(serving(0), NotReadyBehind)
	m.peers[0].table.Hold(8)
	is.Equal(serving(0), ServingAdopted)
	m.run(4 * time.Second)
	is.Equal(serving(0), ServingControlDown)
	m.peers[0].table.Confirm(m.at(0, 0), 7)
	is.Equal(serving(0), ServingControlDown)
	m.cut = func(from, to int) bool { return from == 0 || to == 0 }
	m.run(4 * time.Second)
	is.Equal(serving(0), NotReadyPartitioned)
}

// Guards against a decision that changes with the order of the peers, and lists
// the decisions for the kinds of confirmations.
func TestDecideServing(t *testing.T) {
	is := is.New(t)
	fresh := func(r galenahead.Revision, age time.Duration) Confirmation {
		return Confirmation{Revision: r, Confirmed: true, Age: age}
	}
	peers := map[galenahead.EntryName]Confirmation{
		"a": fresh(4, time.Second), "b": fresh(4, 2*time.Second), "c": fresh(9, ConfirmationTTL+1),
	}
	got := DecideServing(fresh(5, 4*time.Second), peers, true)
	is.Equal(got, Serving{Mode: ServingAdopted, Ready: true, Revision: 5, From: "a", Age: time.Second})
	got = DecideServing(Confirmation{}, peers, true)
	is.Equal(got, Serving{Mode: NotReadyBehind, Newer: 4, From: "a"})
	is.Equal(DecideServing(fresh(5, 4*time.Second), peers, false).Mode, NotReadyPartitioned)
	is.Equal(DecideServing(fresh(5, 4*time.Second), nil, true).Mode, ServingControlDown)
	is.Equal(DecideServing(fresh(5, ConfirmationTTL), nil, false).Mode, ServingConfirmed)
}
