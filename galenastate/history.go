package galenastate

import (
	"sort"

	"github.com/fxamacker/cbor/v2"
	"github.com/galenahead/galenahead"
)

// HistoryLimit is how many accepted operators' changes are kept at least. Up
// to twice as many are held until the oldest are dropped at once.
const HistoryLimit = 1024

// deltaLimit is how many touched names are kept at least for Since. A replica
// that missed more needs the full configuration.
const deltaLimit = 4096

// historyRecord is an accepted change, encoded as an Accepted.
type historyRecord struct {
	_        struct{} `cbor:",toarray"`
	Revision galenahead.Revision
	Accepted cbor.ByteString
}

func (h historyRecord) decode() Accepted {
	var a Accepted
	if err := decoding.Unmarshal([]byte(h.Accepted), &a); err != nil {
		return Accepted{Revision: h.Revision}
	}
	return a
}

// kind is a kind of record that entries know.
type kind uint8

const (
	kindPool kind = iota
	kindVM
	kindService
	kindSetting
)

// touched is a record that changed at a revision.
type touched struct {
	revision galenahead.Revision
	kind     kind
	name     string
}

// appendBounded appends v and keeps the newest limit to 2*limit elements. It
// never changes elements that earlier copies of the slice hold.
func appendBounded[T any](list []T, limit int, v T) []T {
	if len(list) >= 2*limit {
		kept := make([]T, limit, 2*limit)
		copy(kept, list[len(list)-limit:])
		list = kept
	}
	return append(list, v)
}

// winner returns the first operators' change after base that is still kept.
func (s *state) winner(base galenahead.Revision) (historyRecord, bool) {
	i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > base })
	if i == len(s.history) {
		return historyRecord{}, false
	}
	return s.history[i], true
}
