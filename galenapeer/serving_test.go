package galenapeer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
)

// Guards against serving with a revision older than an accepted one, and against
// rejecting requests when only the control daemons are down.
func TestDecideServingTable(t *testing.T) {
	fresh := func(rev galenahead.Revision) Confirmation { return Confirmation{Revision: rev, Confirmed: true} }
	stale := func(rev galenahead.Revision) Confirmation {
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
		"no live peer":                        {stale(7), peers{}, false, NotReadyPartitioned, false},
		"peer confirms the applied revision":  {stale(7), peers{"b": fresh(7)}, true, ServingAdopted, true},
		"peer confirms a newer revision":      {stale(7), peers{"b": fresh(8)}, true, NotReadyBehind, false},
		"control down":                        {stale(7), peers{"b": stale(7)}, true, ServingControlDown, true},
		"control down, peer is newer":         {stale(7), peers{"b": stale(6), "c": stale(8)}, true, NotReadyBehind, false},
		"control down, newer one unconfirmed": {stale(7), peers{"b": {Revision: 8}}, true, NotReadyBehind, false},
		"blank with control down":             {Confirmation{}, peers{"b": stale(7)}, true, NotReadyBlank, false},
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

// Guards against an entry that stays not ready after it fetched the newer
// revision from a peer, because it cannot reach the control leader.
func TestFetchedRevisionEndsBehind(t *testing.T) {
	is := is.New(t)
	start := Instant{Mono: time.Hour, Wall: time.UnixMilli(0)}
	entries := []Entry{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	a, b := NewTable("a", entries), NewTable("b", entries)
	a.Confirm(start, 7)
	later := Instant{Mono: start.Mono + ConfirmationTTL + time.Second, Wall: start.Wall.Add(ConfirmationTTL + time.Second)}
	b.Confirm(later, 8)
	for range 3 {
		a.HandleReply(later, later, b.HandleRequest(later, a.NewRequest(later, "b")))
	}
	is.Equal(a.Serving(later).Mode, NotReadyBehind)
	a.RecordRevision(8)
	is.Equal(a.Serving(later).Mode, ServingAdopted)
}
