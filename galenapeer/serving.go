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
	// NotReadyBehind does not serve until Serving.Newer is held.
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
	// Revision is the held one.
	Revision galenahead.Revision
	// Newer is set in any mode when a live peer has a fresh confirmation of a
	// newer revision, whose content is to be fetched from From.
	Newer galenahead.Revision
	// From is the peer with Newer, or the one relied on in ServingAdopted.
	From galenahead.EntryName
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
	s := Serving{Revision: own.Revision, Age: own.Age}
	best, from := freshest(peers)
	if best.Revision > own.Revision {
		s.Newer, s.From = best.Revision, from
	}
	switch {
	case own.Fresh():
		s.Mode, s.Ready = ServingConfirmed, true
	case !majority:
		s.Mode = NotReadyPartitioned
	case from == "" && own.Confirmed:
		s.Mode, s.Ready = ServingControlDown, true
	case from == "":
		s.Mode = NotReadyBlank
	case s.Newer > 0:
		s.Mode = NotReadyBehind
	default:
		s.Mode, s.Ready = ServingAdopted, true
		s.From, s.Age = from, best.Age
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

func newer(a, b Confirmation) bool {
	if a.Revision != b.Revision {
		return a.Revision > b.Revision
	}
	return a.Age < b.Age
}
