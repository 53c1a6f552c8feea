package galenastate

import (
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/galenahead/galenahead"
)

// RequestLimit is how many of the newest request ids are kept: more than one
// day at 17,000 changes a day.
const RequestLimit = 32768

// requestRecord is the first result of one request id.
type requestRecord struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Digest   uint64
	Revision galenahead.Revision
	// Detail is nil for accepted changes.
	Detail *requestDetail
}

// requestDetail is the rest of a refused change's result. Conflicts with the
// same winner share the winner's string.
type requestDetail struct {
	_       struct{} `cbor:",toarray"`
	Code    Code
	Message string
	Winner  cbor.ByteString
}

func (r requestRecord) result() Result {
	out := Result{Revision: r.Revision}
	if r.Detail == nil {
		return out
	}
	out.Code = r.Detail.Code
	out.Message = r.Detail.Message
	if r.Detail.Winner == "" {
		return out
	}
	var winner Accepted
	if decoding.Unmarshal([]byte(r.Detail.Winner), &winner) == nil {
		out.Winner = &winner
	}
	return out
}

// requestTable keeps the newest RequestLimit ids in a ring.
type requestTable struct {
	ring []requestRecord
	next int
	// index is a hash table with linear probing. An element is a position in
	// the ring plus one, or 0. It takes 256 KB, a map of the ids 1.6 MB.
	index []uint32
}

// indexSize is a power of two that leaves half of the index empty.
const indexSize = 2 * RequestLimit

func slotOf(id string) uint32 { return uint32(xxhash.Sum64String(id) % indexSize) }

// slot returns the slot that holds id, or the empty one at which it belongs.
func (t *requestTable) slot(id string) uint32 {
	i := slotOf(id)
	for t.index[i] != 0 && t.ring[t.index[i]-1].ID != id {
		i = (i + 1) % indexSize
	}
	return i
}

func (t *requestTable) find(id string) (requestRecord, bool) {
	if t.index == nil {
		return requestRecord{}, false
	}
	n := t.index[t.slot(id)]
	if n == 0 {
		return requestRecord{}, false
	}
	return t.ring[n-1], true
}

func (t *requestTable) add(r requestRecord) {
	if t.index == nil {
		t.index = make([]uint32, indexSize)
	}
	if len(t.ring) < RequestLimit {
		t.ring = append(t.ring, r)
		t.index[t.slot(r.ID)] = uint32(len(t.ring))
		return
	}
	t.remove(t.ring[t.next].ID)
	t.ring[t.next] = r
	t.index[t.slot(r.ID)] = uint32(t.next + 1)
	t.next = (t.next + 1) % RequestLimit
}

// remove takes id out of the index, and closes the gap in its run of slots.
func (t *requestTable) remove(id string) {
	gap := t.slot(id)
	t.index[gap] = 0
	for i := (gap + 1) % indexSize; t.index[i] != 0; i = (i + 1) % indexSize {
		home := slotOf(t.ring[t.index[i]-1].ID)
		if (i-home)%indexSize < (i-gap)%indexSize {
			continue
		}
		t.index[gap], t.index[i] = t.index[i], 0
		gap = i
	}
}

// list returns the records, oldest first.
func (t *requestTable) list() []requestRecord {
	out := make([]requestRecord, 0, len(t.ring))
	out = append(out, t.ring[t.next:]...)
	return append(out, t.ring[:t.next]...)
}

// load replaces the table by records, oldest first.
func (t *requestTable) load(records []requestRecord) {
	if len(records) > RequestLimit {
		records = records[len(records)-RequestLimit:]
	}
	*t = requestTable{ring: make([]requestRecord, 0, len(records))}
	winners := make(map[cbor.ByteString]cbor.ByteString)
	for _, r := range records {
		if r.Detail != nil {
			r.Detail.Winner = intern(winners, r.Detail.Winner)
		}
		t.add(r)
	}
}

// intern returns the first string equal to s, so that equal strings share
// their bytes.
func intern[S ~string](known map[S]S, s S) S {
	if first, ok := known[s]; ok {
		return first
	}
	known[s] = s
	return s
}
