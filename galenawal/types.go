package galenawal

import "github.com/galenahead/galenahead"

// ID identifies a replica. A replica that lost its data keeps its name and
// gets another incarnation, so it is another replica.
type ID struct {
	Name        galenahead.ReplicaName `cbor:"1,keyasint" json:"name"`
	Incarnation uint64                 `cbor:"2,keyasint" json:"incarnation"`
}

// EntryKind tells what an entry carries.
type EntryKind uint8

// Kinds of entries.
const (
	// EntryCommand carries a command of the state machine.
	EntryCommand EntryKind = iota
	// EntryNoop carries the new leader, who appends it to commit the entries of
	// earlier terms.
	EntryNoop
	// EntryMembers carries the members from this entry on.
	EntryMembers
)

// Entry is one entry of the log. It is immutable.
type Entry struct {
	Index uint64    `cbor:"1,keyasint" json:"index"`
	Term  uint64    `cbor:"2,keyasint" json:"term"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty" json:"kind,omitempty"`
	Data  []byte    `cbor:"4,keyasint,omitempty" json:"data,omitempty"`
}

// HardState is what a replica promised to the others.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	Vote ID     `cbor:"2,keyasint"`
}

// Snapshot is the state after the entry at Index. The zero value is the blank
// state.
type Snapshot struct {
	Index   uint64              `cbor:"1,keyasint"`
	Term    uint64              `cbor:"2,keyasint"`
	Members []galenahead.Member `cbor:"3,keyasint"`
	Data    []byte              `cbor:"4,keyasint"`
}

// State is what a replica had stored when its log was opened.
type State struct {
	Incarnation uint64
	HardState   HardState
	Snapshot    Snapshot
	// Entries are contiguous. They reach back before the snapshot when entries
	// were retained for replicas that lag behind.
	Entries []Entry
}

// Blank tells whether the replica has never taken part in a cluster.
func (s State) Blank() bool {
	return s.HardState.Term == 0 && s.Snapshot.Index == 0 && len(s.Entries) == 0
}
