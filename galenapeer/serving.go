package galenapeer

import (
	"time"

	"github.com/galenahead/galenahead"
)

// ConfirmationTTL is how long a confirmed revision may be served without a
// new confirmation by the control leader.
const ConfirmationTTL = 3 * time.Second

// Confirmation is the newest revision that an entry holds and the age of the
// leader's statement that it is the latest one. The zero value holds nothing.
type Confirmation struct {
	Revision galenahead.Revision
	// Confirmed tells that the leader confirmed the revision at some time.
	Confirmed bool
	Age       time.Duration
}

// Fresh tells whether the confirmation may be relied on.
func (c Confirmation) Fresh() bool {
	return c.Confirmed && c.Age <= ConfirmationTTL
}

// ServingMode tells why an entry serves or does not serve.
type ServingMode string

// Serving modes.
const (
	// ServingConfirmed serves by the entry's own fresh confirmation.
	ServingConfirmed ServingMode = "confirmed"
	// ServingAdopted serves by a live peer's fresh confirmation.
	ServingAdopted ServingMode = "adopted"
	// ServingControlDown serves the held revision because a majority is live
	// and none of it has a fresh confirmation.
	ServingControlDown ServingMode = "control_down"
	// NotReadyBehind does not serve until the revision of Serving.From is held.
	NotReadyBehind ServingMode = "behind"
	// NotReadyPartitioned does not serve because no majority is live.
	NotReadyPartitioned ServingMode = "partitioned"
	// NotReadyBlank does not serve because no revision was ever confirmed.
	NotReadyBlank ServingMode = "blank"
)

// Serving is the decision whether an entry may serve.
type Serving struct {
	Mode  ServingMode
	Ready bool
	// Revision is the one to adopt from From in the modes ServingAdopted and
	// NotReadyBehind.
	Revision galenahead.Revision
	From     galenahead.EntryName
	// Age is the age of the confirmation relied on.
	Age time.Duration
}

// DecideServing applies the rules of section 4.3 of the design page. peers are
// the confirmations of live peers with their current ages; majority tells
// whether this entry and its live peers are a majority of all entries.
//
// A peer's confirmation of an older revision also covers a newer one held
// here: it states that nothing newer existed when it was given.
func DecideServing(own Confirmation, peers map[galenahead.EntryName]Confirmation, majority bool) Serving {
	if own.Fresh() {
		return Serving{Mode: ServingConfirmed, Ready: true, Revision: own.Revision, Age: own.Age}
	}
	if !majority {
		return Serving{Mode: NotReadyPartitioned, Revision: own.Revision, Age: own.Age}
	}
	best, from := freshest(peers)
	if from == "" {
		return withoutControl(own, peers)
	}
	s := Serving{Mode: ServingAdopted, Ready: true, Revision: best.Revision, From: from, Age: best.Age}
	if best.Revision > own.Revision {
		s.Mode = NotReadyBehind
		s.Ready = false
	}
	return s
}

// freshest returns the fresh confirmation of the newest revision, the youngest
// one among equals.
func freshest(peers map[galenahead.EntryName]Confirmation) (Confirmation, galenahead.EntryName) {
	var best Confirmation
	var from galenahead.EntryName
	for name, c := range peers {
		if !c.Fresh() {
			continue
		}
		if from == "" || newer(c, best) || (c == best && name < from) {
			best, from = c, name
		}
	}
	return best, from
}

// newestHeld returns the newest revision that any peer holds.
func newestHeld(peers map[galenahead.EntryName]Confirmation) (Confirmation, galenahead.EntryName) {
	var best Confirmation
	var from galenahead.EntryName
	for name, c := range peers {
		if from == "" || newer(c, best) || (c == best && name < from) {
			best, from = c, name
		}
	}
	return best, from
}

func newer(a, b Confirmation) bool {
	if a.Revision != b.Revision {
		return a.Revision > b.Revision
	}
	return a.Age < b.Age
}

// withoutControl decides while no entry in sight has a fresh confirmation. A
// change is accepted once a majority of entries holds it, so the newest
// revision in sight includes every accepted one and must be adopted first.
func withoutControl(own Confirmation, peers map[galenahead.EntryName]Confirmation) Serving {
	if !own.Confirmed {
		return Serving{Mode: NotReadyBlank}
	}
	newest, from := newestHeld(peers)
	if newest.Revision > own.Revision {
		return Serving{Mode: NotReadyBehind, Revision: newest.Revision, From: from, Age: newest.Age}
	}
	return Serving{Mode: ServingControlDown, Ready: true, Revision: own.Revision, Age: own.Age}
}
