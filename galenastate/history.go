package galenastate

import (
	"sort"

	"github.com/fxamacker/cbor/v2"
	"github.com/galenahead/galenahead"
)

// HistoryLimit is the minimum number of accepted operator changes that are kept.
// The list grows to twice the limit before the oldest are dropped together.
const HistoryLimit = 1024

// changeLimit is the minimum number of record changes that are kept for Since. A
// follower that missed more needs the full configuration.
const changeLimit = 4096

// historyRecord holds an encoded AcceptedChange.
type historyRecord struct {
	_        struct{} `cbor:",toarray"`
	Revision galenahead.Revision
	Accepted cbor.ByteString
}

func (h historyRecord) decode() AcceptedChange {
	var accepted AcceptedChange
	if err := decoding.Unmarshal([]byte(h.Accepted), &accepted); err != nil {
		return AcceptedChange{Revision: h.Revision}
	}
	return accepted
}

// recordKind is a kind of record in the entries' configuration.
type recordKind uint8

const (
	kindPool recordKind = iota
	kindVM
	kindService
	kindSetting
)

// recordChange names a record that changed at a revision.
type recordChange struct {
	revision galenahead.Revision
	kind     recordKind
	name     string
}

// appendBounded appends v and keeps the newest limit to 2*limit elements. It
// never modifies elements that earlier copies of the slice can reach.
func appendBounded[T any](list []T, limit int, v T) []T {
	if len(list) >= 2*limit {
		kept := make([]T, limit, 2*limit)
		copy(kept, list[len(list)-limit:])
		list = kept
	}
	return append(list, v)
}

// firstChangeAfter returns the oldest operator change after base that is still
// kept.
func (s *state) firstChangeAfter(base galenahead.Revision) (historyRecord, bool) {
	i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > base })
	if i == len(s.history) {
		return historyRecord{}, false
	}
	return s.history[i], true
}
