package galenapeer

import (
	"time"

	"github.com/galenahead/galenahead"
)

// ConfirmationTTL is how long an entry may serve with a confirmed revision
// until the control leader must confirm it again.
const ConfirmationTTL = 3 * time.Second

// Confirmation is the newest revision that an entry has applied, and the age of the
// control leader's newest confirmation. The zero value stands for an entry without
// configuration.
type Confirmation struct {
	Revision galenahead.Revision
	// Confirmed is set once the leader has confirmed a revision.
	Confirmed bool
	Age       time.Duration
}

// Fresh reports whether the confirmation is recent enough to serve with it.
func (c Confirmation) Fresh() bool {
	return c.Confirmed && c.Age <= ConfirmationTTL
}

// ServingMode is the reason why an entry serves or does not serve.
type ServingMode string

// Serving modes.
const (
	// ServingConfirmed means that the entry's own confirmation is fresh.
	ServingConfirmed ServingMode = "confirmed"
	// ServingAdopted means that a live peer's fresh confirmation covers the applied
	// revision.
	ServingAdopted ServingMode = "adopted"
	// ServingControlDown means that a majority of entries is live, no live entry
	// has a fresh confirmation, and none has applied a newer revision.
	ServingControlDown ServingMode = "control_down"
	// NotReadyBehind means that the entry must first apply the newer revision of
	// a live peer.
	NotReadyBehind ServingMode = "behind"
	// NotReadyPartitioned means that no majority of entries is live.
	NotReadyPartitioned ServingMode = "partitioned"
	// NotReadyBlank means that the entry never had a confirmation and no live
	// peer has a fresh one.
	NotReadyBlank ServingMode = "blank"
)

// ServingDecision is the decision whether an entry may serve requests.
type ServingDecision struct {
	Mode  ServingMode
	Ready bool
	// Revision is the revision that the entry has applied.
	Revision galenahead.Revision
	// NewerRevision is set when a live peer has a fresh confirmation of a newer
	// revision, or has applied a newer revision while no live entry has a fresh
	// confirmation. The entry has to fetch it from Peer.
	NewerRevision galenahead.Revision
	// Peer has applied NewerRevision, or provided the confirmation for
	// ServingAdopted.
	Peer galenahead.EntryName
	// Age is the age of the confirmation that the decision is based on.
	Age time.Duration
}

// DecideServing applies the rules of section 4.3 of docs/design.md. The map
// peers contains the confirmations of live peers with their current ages;
// majority reports whether this entry and its live peers are a majority of all
// entries.
//
// A peer's confirmation of an older revision also covers a newer revision that this
// entry has applied: when the leader confirmed it, the newer one did not exist yet.
func DecideServing(own Confirmation, peers map[galenahead.EntryName]Confirmation, majority bool) ServingDecision {
	s := ServingDecision{Revision: own.Revision, Age: own.Age}
	newest, from := newestFresh(peers)
	if from == "" && own.Confirmed && !own.Fresh() {
		return decideWithoutControl(s, peers, majority)
	}
	if newest.Revision > own.Revision {
		s.NewerRevision, s.Peer = newest.Revision, from
	}
	switch {
	case own.Fresh():
		s.Mode, s.Ready = ServingConfirmed, true
	case !majority:
		s.Mode = NotReadyPartitioned
	case from == "":
		s.Mode = NotReadyBlank
	case s.NewerRevision > 0:
		s.Mode = NotReadyBehind
	default:
		s.Mode, s.Ready = ServingAdopted, true
		s.Peer, s.Age = from, newest.Age
	}
	return s
}

// decideWithoutControl decides while neither this entry nor a live peer has a
// fresh confirmation. A change is accepted once a majority of entries has applied
// it, so the newest revision within a live majority includes every accepted change
// and must be applied before serving.
func decideWithoutControl(s ServingDecision, peers map[galenahead.EntryName]Confirmation, majority bool) ServingDecision {
	newest, from := newestRevision(peers)
	switch {
	case !majority:
		s.Mode = NotReadyPartitioned
	case newest.Revision > s.Revision:
		s.Mode, s.NewerRevision, s.Peer = NotReadyBehind, newest.Revision, from
	default:
		s.Mode, s.Ready = ServingControlDown, true
	}
	return s
}

// newestRevision returns the confirmation of the peer that has applied the newest
// revision, and the peer's name.
func newestRevision(peers map[galenahead.EntryName]Confirmation) (Confirmation, galenahead.EntryName) {
	var best Confirmation
	var from galenahead.EntryName
	for name, c := range peers {
		if from == "" || isNewer(c, best) || (c == best && name < from) {
			best, from = c, name
		}
	}
	return best, from
}

// newestFresh returns the fresh confirmation of the newest revision, among several
// of that revision the most recent one, and the peer's name.
func newestFresh(peers map[galenahead.EntryName]Confirmation) (Confirmation, galenahead.EntryName) {
	var best Confirmation
	var from galenahead.EntryName
	for name, c := range peers {
		if !c.Fresh() {
			continue
		}
		if from == "" || isNewer(c, best) || (c == best && name < from) {
			best, from = c, name
		}
	}
	return best, from
}

func isNewer(a, b Confirmation) bool {
	if a.Revision != b.Revision {
		return a.Revision > b.Revision
	}
	return a.Age < b.Age
}
