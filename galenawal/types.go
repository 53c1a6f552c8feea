package galenawal

import "github.com/galenahead/galenahead"

// ID identifies a replica. A replica that lost its data keeps its name but gets
// a new incarnation, so Raft treats it as a different replica.
type ID struct {
	Name        galenahead.ReplicaName `cbor:"1,keyasint" json:"name"`
	Incarnation uint64                 `cbor:"2,keyasint" json:"incarnation"`
}

// EntryKind is the kind of payload that an entry carries.
type EntryKind uint8

// Kinds of entries.
const (
	// EntryCommand carries a command for the state machine.
	EntryCommand EntryKind = iota
	// EntryNoop carries the ID of a new leader. The leader appends it at the start
	// of its term to commit the entries of earlier terms.
	EntryNoop
	// EntryMembers carries the member list that applies from this entry on.
	EntryMembers
)

// Entry is one entry of the log. It is immutable.
type Entry struct {
	Index uint64    `cbor:"1,keyasint" json:"index"`
	Term  uint64    `cbor:"2,keyasint" json:"term"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty" json:"kind,omitempty"`
	Data  []byte    `cbor:"4,keyasint,omitempty" json:"data,omitempty"`
}

// HardState is the current term and the vote in it. A replica makes it durable
// before it sends a message that depends on it.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	Vote ID     `cbor:"2,keyasint"`
}

// Snapshot is the state machine's state after the entry at Index. The zero
// value is the initial state before any entry.
type Snapshot struct {
	Index   uint64              `cbor:"1,keyasint"`
	Term    uint64              `cbor:"2,keyasint"`
	Members []galenahead.Member `cbor:"3,keyasint"`
	Data    []byte              `cbor:"4,keyasint"`
}

// State is the stored state that Open recovered.
type State struct {
	Incarnation uint64
	HardState   HardState
	Snapshot    Snapshot
	// Entries have contiguous indexes. They include entries that the snapshot
	// covers if those were retained for lagging replicas.
	Entries []Entry
}

// Blank reports whether the replica has never taken part in a cluster.
func (s State) Blank() bool {
	return s.HardState.Term == 0 && s.Snapshot.Index == 0 && len(s.Entries) == 0
}
