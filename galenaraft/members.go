package galenaraft

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenawal"
)

// memberList is the list of members that applies from the log entry at index on. It
// is immutable.
type memberList struct {
	index   uint64
	members []galenahead.Member
}

func idOf(m galenahead.Member) galenawal.ID {
	return galenawal.ID{Name: m.Name, Incarnation: m.Incarnation}
}

func (s memberList) find(id galenawal.ID) (galenahead.Member, bool) {
	for _, m := range s.members {
		if idOf(m) == id {
			return m, true
		}
	}
	return galenahead.Member{}, false
}

func (s memberList) isVoter(id galenawal.ID) bool {
	m, ok := s.find(id)
	return ok && m.Voter
}

func (s memberList) voterCount() int {
	n := 0
	for _, m := range s.members {
		if m.Voter {
			n++
		}
	}
	return n
}

// hasQuorum reports whether has returns true for a majority of the voters.
func (s memberList) hasQuorum(has func(galenawal.ID) bool) bool {
	n := 0
	for _, m := range s.members {
		if m.Voter && has(idOf(m)) {
			n++
		}
	}
	return n > s.voterCount()/2
}

// indexOf returns the position of m in the member list. If m has incarnation zero,
// only its name must match.
func (s memberList) indexOf(m galenahead.Member) (int, error) {
	i := slices.IndexFunc(s.members, func(o galenahead.Member) bool { return o.Name == m.Name })
	if i < 0 || (m.Incarnation != 0 && m.Incarnation != s.members[i].Incarnation) {
		return 0, eris.Wrapf(galenahead.ErrNotFound, "replica %s with incarnation %d", m.Name, m.Incarnation)
	}
	return i, nil
}

// withChange returns the member list with change applied.
func (s memberList) withChange(change galenahead.MemberChange) ([]galenahead.Member, error) {
	switch change.Action {
	case galenahead.MemberAddLearner:
		return s.withLearner(change.Member)
	case galenahead.MemberPromote:
		i, err := s.indexOf(change.Member)
		if err != nil {
			return nil, err
		}
		ms := slices.Clone(s.members)
		ms[i].Voter = true
		return ms, nil
	case galenahead.MemberRemove:
		i, err := s.indexOf(change.Member)
		if err != nil {
			return nil, err
		}
		if s.members[i].Voter && s.voterCount() == 1 {
			return nil, eris.Wrap(galenahead.ErrInvalid, "the last voter cannot be removed")
		}
		return slices.Delete(slices.Clone(s.members), i, i+1), nil
	}
	return nil, eris.Wrapf(galenahead.ErrInvalid, "unknown member action %q", change.Action)
}

func (s memberList) withLearner(m galenahead.Member) ([]galenahead.Member, error) {
	if err := checkMember(m); err != nil {
		return nil, err
	}
	m.Voter = false
	for _, o := range s.members {
		if o.Name == m.Name {
			return nil, eris.Wrapf(galenahead.ErrConflict,
				"replica %s is a member with incarnation %d; remove it first", o.Name, o.Incarnation)
		}
	}
	return append(slices.Clone(s.members), m), nil
}

func checkMember(m galenahead.Member) error {
	if m.Name == "" || len(m.Name) > galenahead.MaxIDLength || m.Address == "" || m.Incarnation == 0 {
		return eris.Wrapf(galenahead.ErrInvalid, "member %q needs a name, an address and an incarnation", m.Name)
	}
	return nil
}

func encodeMembers(ms []galenahead.Member) ([]byte, error) {
	b, err := cbor.Marshal(ms)
	return b, eris.Wrap(err, "encode members")
}

func decodeMembers(b []byte) ([]galenahead.Member, error) {
	var ms []galenahead.Member
	err := cbor.Unmarshal(b, &ms)
	return ms, eris.Wrap(err, "decode members")
}

// encodeLeader encodes a leader's ID as the data of a no-op entry.
func encodeLeader(id galenawal.ID) ([]byte, error) {
	b, err := cbor.Marshal(id)
	return b, eris.Wrap(err, "encode leader")
}

// decodeLeader returns the leader's ID from the data of a no-op entry, or false if
// the data contains none.
func decodeLeader(b []byte) (galenawal.ID, bool) {
	var id galenawal.ID
	err := cbor.Unmarshal(b, &id)
	return id, err == nil && id.Name != ""
}
