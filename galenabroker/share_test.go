package galenabroker

import (
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenapeer"
	"github.com/galenahead/galenahead/galenatimer"
)

type byCaller = map[galenahead.CallerName]int

// Guards against a caller that gets more slots by using more entries, unused
// slots while demand is unmet, and shares beyond demand.
func TestTargets(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		demand   []byCaller
		capacity int
		want     string
	}{
		{[]byCaller{{"a": 100}, {"a": 100}, {"a": 100}, {"b": 3}}, 12, "[3 3 3 3]"},
		{[]byCaller{{"a": 100}, {"a": 100}, {"a": 100}, {"b": 100}}, 12, "[2 2 2 6]"},
		{[]byCaller{{"a": 100, "b": 2}, {"b": 2}, {}}, 8, "[6 2 0]"},
		{[]byCaller{{"a": 1}, {"a": 1}, {"a": 1}}, 2, "[1 1 0]"},
		{[]byCaller{{"a": 2}, {"b": 2}}, 80, "[2 2]"},
		{[]byCaller{{"a": 2}, nil}, 0, "[0 0]"},
		{nil, 8, "[]"},
	} {
		is.Equal(fmt.Sprint(targets(c.demand, c.capacity)), c.want)
	}
}

// Guards against connections beyond the announced number, new work for a VM in
// a wave, and an account that hides its slots.
func TestGrantsRespectConnectionsAndDrains(t *testing.T) {
	is := is.New(t)
	entries := []galenapeer.Entry{{Name: "e0"}, {Name: "e1"}}
	now := galenapeer.Instant{Mono: time.Hour}
	l := NewLedger("counter", entries, Tenure{Epoch: 1, Won: time.Hour}, time.Minute)
	a := galenahead.Announcement{Instance: "i", Service: "counter", VM: "vm", Slots: 8, Connections: 5, LeaseMS: 3000}
	is.NoErr(l.Announce(now, AnnounceRequest{Epoch: 1, TickMS: now.Mono.Milliseconds(), Announcement: a}))
	sync := func(e galenahead.EntryName, life uint32, seq uint64) GrantItem {
		g, err := l.Sync(now, SyncRequest{From: e, UptimeMS: time.Hour.Milliseconds()}, SyncItem{Epoch: 1, Life: life, Seq: seq, Demand: byCaller{"a": 20}})
		is.NoErr(err)
		return g
	}
	is.Equal(len(sync("e0", 1, 1).Grants), 0)
	sync("e1", 2, 1)
	is.Equal(l.Outstanding(now).VMs["vm"], 5)
	l.SetDrained(now, map[galenahead.VMName]struct{}{"vm": {}})
	is.Equal(sync("e0", 1, 2).Limits["i"], closed)
	is.Equal(l.Outstanding(now).VMs["vm"], 5)
}

// Guards against a broker that takes the slots of a lost process for known
// because the entry restarted twice, as seed 1925 of the histories did.
func TestTwoRestartsBeforeReport(t *testing.T) {
	is := is.New(t)
	now := galenapeer.Instant{Mono: time.Hour}
	l := NewLedger("counter", []galenapeer.Entry{{Name: "e0"}}, Tenure{Epoch: 1, Won: time.Hour}, time.Minute)
	a := galenahead.Announcement{Instance: "i", Service: "counter", Slots: 8, Connections: 8, LeaseMS: 3000, InFlight: 8}
	is.NoErr(l.Announce(now, AnnounceRequest{Epoch: 1, TickMS: now.Mono.Milliseconds(), Announcement: a}))
	for life := range uint32(2) {
		_, err := l.Sync(now, SyncRequest{From: "e0", UptimeMS: 10}, SyncItem{Epoch: 1, Life: life + 1, Seq: 1})
		is.NoErr(err)
		is.Equal(l.unknown(now, "i"), 8)
		is.True(!l.Outstanding(now).Ready)
	}
}

// Guards against a new broker that takes slots for free that the former broker
// granted again after their lease ran out: the entry with them did not report.
func TestLapsedSlotsAreNotFree(t *testing.T) {
	is := is.New(t)
	now := galenapeer.Instant{Mono: time.Hour}
	l := NewLedger("counter", []galenapeer.Entry{{Name: "e0"}, {Name: "e1"}}, Tenure{Epoch: 1, Won: time.Hour}, time.Minute)
	a := galenahead.Announcement{Instance: "i", Service: "counter", Slots: 8, Connections: 8, LeaseMS: 3000}
	is.NoErr(l.Announce(now, AnnounceRequest{Epoch: 1, TickMS: now.Mono.Milliseconds(), Announcement: a}))
	item := SyncItem{Epoch: 1, Life: 1, Seq: 1, Demand: byCaller{"a": 20}, Held: []HeldSlots{{Instance: "i", Base: 5, Lapsed: 3, Returned: 5}}}
	g, err := l.Sync(now, SyncRequest{From: "e0", UptimeMS: time.Hour.Milliseconds()}, item)
	is.NoErr(err)
	is.Equal(len(g.Grants), 1)
	is.Equal(int(g.Grants[0].Granted), 2)
	is.Equal(g.Keep, []galenahead.InstanceID{"i"})
}

// Guards against slots whose lease ran out and that are reported as known, and
// against carried slots that outlive the former broker's lease.
func TestCarriedSlots(t *testing.T) {
	is := is.New(t)
	h := NewHoldings("counter", 7)
	now := galenapeer.Instant{}
	h.Join(now, "e0", LeaseItem{Epoch: 1, Kind: LeaseHeld})
	grant := func(epoch galenahead.Epoch, granted uint64, keep ...galenahead.InstanceID) {
		seq := h.Sync(now).Seq
		h.Granted(now, GrantItem{Epoch: epoch, Life: 7, Seq: seq, Version: seq, Grants: []Grant{{Instance: "i", Granted: granted}}, Keep: keep})
	}
	take := func() (galenahead.SlotLease, bool) {
		l, _, ok := h.Take(now, "a", func([]galenahead.SlotLease) int { return 0 })
		return l, ok
	}
	grant(1, 1)
	_, ok := take()
	is.True(ok)
	now.Mono += SlotTTL
	grant(1, 3)
	renewed := now.Mono
	now.Mono += time.Second
	h.Join(now, "e1", LeaseItem{Epoch: 2, Kind: LeaseHeld})
	is.Equal(h.Sync(now).Held, []HeldSlots{{Instance: "i", Base: 3, Lapsed: 1}})
	carried, ok := take()
	is.True(ok)
	is.True(h.Valid(now, carried.ID))
	grant(2, 0)
	now.Mono = renewed + SlotTTL
	is.True(!h.Valid(now, carried.ID))
	_, ok = take()
	is.True(!ok)
	is.Equal(h.held(), 2)
}

// Guards against a gap in the use of slots that the new broker has confirmed.
func TestConfirmedSlots(t *testing.T) {
	is := is.New(t)
	h := NewHoldings("counter", 7)
	now := galenapeer.Instant{}
	h.Join(now, "e0", LeaseItem{Epoch: 1, Kind: LeaseHeld})
	h.Granted(now, GrantItem{Epoch: 1, Life: 7, Seq: h.Sync(now).Seq, Version: 1, Grants: []Grant{{Instance: "i", Granted: 1}}})
	l, _, ok := h.Take(now, "a", func([]galenahead.SlotLease) int { return 0 })
	is.True(ok)
	now.Mono += time.Second
	h.Join(now, "e1", LeaseItem{Epoch: 2, Kind: LeaseHeld})
	h.Granted(now, GrantItem{Epoch: 2, Life: 7, Seq: h.Sync(now).Seq, Version: 1, Keep: []galenahead.InstanceID{"i"}})
	now.Mono += SlotTTL - 1
	is.True(h.Valid(now, l.ID))
	is.True(h.Put(now, l.ID))
}

// Guards against a bound set by one delayed announcement, as seed 5623 of the
// histories did.
func TestBound(t *testing.T) {
	is := is.New(t)
	b := &bound{}
	at := func(d time.Duration) galenapeer.Instant { return galenapeer.Instant{Mono: d} }
	b.observe(at(0), 0)
	b.observe(at(0), 0)
	is.Equal(b.limit(8), 8)
	b.observe(at(time.Second), 4)
	is.Equal(b.limit(8), 4)
	b.observe(at(2*time.Second), 0)
	is.Equal(b.limit(8), 4)
	b.observe(at(3*time.Second), 1)
	is.Equal(b.limit(8), 1)
	is.Equal(b.limit(0), 0)
}

// Guards against sending on a slot whose instance left or whose lease ran out
// in between, and against taking such a slot again.
func TestValidAfterLapseAndClose(t *testing.T) {
	is := is.New(t)
	h := NewHoldings("counter", 7)
	now := galenapeer.Instant{}
	h.Join(now, "e0", LeaseItem{Epoch: 1, Kind: LeaseHeld})
	renew := func(version, granted uint64, limits map[galenahead.InstanceID]int) {
		seq := h.Sync(now).Seq
		h.Granted(now, GrantItem{Epoch: 1, Life: 7, Seq: seq, Version: version, Grants: []Grant{{Instance: "i", Granted: granted}}, Limits: limits})
	}
	take := func() galenahead.SlotLease {
		l, _, ok := h.Take(now, "a", func([]galenahead.SlotLease) int { return 0 })
		is.True(ok)
		return l
	}
	renew(1, 1, nil)
	lapsed := take()
	is.True(h.Valid(now, lapsed.ID))
	now.Mono += SlotTTL
	is.True(!h.Valid(now, lapsed.ID))
	renew(2, 2, nil)
	is.True(!h.Valid(now, lapsed.ID))
	is.True(!h.Put(now, lapsed.ID))
	closing := take()
	is.True(h.Valid(now, closing.ID))
	renew(3, 2, map[galenahead.InstanceID]int{"i": closed})
	is.True(!h.Valid(now, closing.ID))
	is.True(!h.Put(now, closing.ID))
	is.Equal(h.held(), 0)
}

// benchPool returns a pool with 8 leased slots on each of ten instances.
func benchPool() *Service {
	entries := []galenapeer.Entry{{Name: "e0", DataCentre: "a"}}
	s := New(Config{Self: "e0", Entries: entries, Timers: &galenatimer.Service{}})
	d := s.desk("counter")
	now := s.clock.Now()
	d.holdings.Join(now, "e0", LeaseItem{Epoch: 1, Kind: LeaseHeld})
	item := d.holdings.Sync(now)
	g := GrantItem{Epoch: 1, Life: item.Life, Seq: item.Seq, Version: 1}
	for i := range 10 {
		g.Grants = append(g.Grants, Grant{Instance: galenahead.InstanceID(fmt.Sprint("i", i)), Granted: 8, Address: "10.0.0.1:80", VM: "vm"})
	}
	d.holdings.Granted(now, g)
	return s
}

// renewed keeps the lease of the pool alive.
func (s *Service) renewed() {
	d := s.desk("counter")
	d.mu.Lock()
	d.holdings.anchor = s.clock.Now().Mono
	d.mu.Unlock()
}

func takePut(s *Service) bool {
	l, ok := s.TakeFor("counter", "a", func(c []galenahead.SlotLease) int { return len(c) / 2 })
	if !ok {
		return false
	}
	ok = s.Valid(l)
	s.Put(l)
	return ok
}

func BenchmarkTakePut(b *testing.B) {
	s := benchPool()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%1024 == 0 {
			s.renewed()
		}
		if !takePut(s) {
			b.Fatal("no slot")
		}
	}
}

func BenchmarkTakePutParallel(b *testing.B) {
	s := benchPool()
	var n atomic.Int64
	b.ReportMetric(float64(runtime.GOMAXPROCS(0)), "cores")
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if n.Add(1)%1024 == 0 {
				s.renewed()
			}
			if !takePut(s) {
				b.Error("no slot")
			}
		}
	})
}

func BenchmarkAllocate(b *testing.B) {
	s := newSim(1, faults{})
	s.until(12 * time.Second)
	for _, n := range s.nodes {
		if l := n.desk.ledger; l != nil {
			b.ReportAllocs()
			for b.Loop() {
				l.allocate(n.clock())
			}
		}
	}
}
