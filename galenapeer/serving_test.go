package galenapeer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
)

// Guards against serving an older revision than an accepted one, and against
// refusing requests while only control is down.
func TestDecideServingTable(t *testing.T) {
	fresh := func(rev galenahead.Revision) Confirmation { return Confirmation{Revision: rev, Confirmed: true} }
	old := func(rev galenahead.Revision) Confirmation {
		return Confirmation{Revision: rev, Confirmed: true, Age: ConfirmationTTL + time.Millisecond}
	}
	type peers = map[galenahead.EntryName]Confirmation
	for name, tc := range map[string]struct {
		own      Confirmation
		peers    peers
		majority bool
		want     ServingMode
		ready    bool
	}{
		"own confirmation":                    {fresh(7), nil, false, ServingConfirmed, true},
		"cut off alone":                       {old(7), peers{}, false, NotReadyPartitioned, false},
		"peer confirms the held revision":     {old(7), peers{"b": fresh(7)}, true, ServingAdopted, true},
		"peer confirms a newer revision":      {old(7), peers{"b": fresh(8)}, true, NotReadyBehind, false},
		"control down":                        {old(7), peers{"b": old(7)}, true, ServingControlDown, true},
		"control down, newer revision held":   {old(7), peers{"b": old(6), "c": old(8)}, true, NotReadyBehind, false},
		"control down, newer one unconfirmed": {old(7), peers{"b": {Revision: 8}}, true, NotReadyBehind, false},
		"blank with control down":             {Confirmation{}, peers{"b": old(7)}, true, NotReadyBlank, false},
		"blank with a confirmed peer":         {Confirmation{}, peers{"b": fresh(7)}, true, NotReadyBehind, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := DecideServing(tc.own, tc.peers, tc.majority)
			is.Equal(got.Mode, tc.want)
			is.Equal(got.Ready, tc.ready)
		})
	}
}

// Guards against an entry that stays behind after it fetched the newer revision
// from a peer while the leader is out of its reach.
func TestHoldEndsBehind(t *testing.T) {
	is := is.New(t)
	start := Instant{Mono: time.Hour, Wall: time.UnixMilli(0)}
	entries := []Entry{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	a, b := NewTable("a", entries), NewTable("b", entries)
	a.Confirm(start, 7)
	later := Instant{Mono: start.Mono + ConfirmationTTL + time.Second, Wall: start.Wall.Add(ConfirmationTTL + time.Second)}
	b.Confirm(later, 8)
	for range 3 {
		a.Reply(later, later, b.Receive(later, a.Request(later, "b")))
	}
	is.Equal(a.Serving(later).Mode, NotReadyBehind)
	a.Hold(8)
	is.Equal(a.Serving(later).Mode, ServingAdopted)
}
