package galenastate

import (
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/galenahead/galenahead"
)

// RequestLimit is how many of the newest request ids are kept: more than one
// day's worth at 17,000 changes a day.
const RequestLimit = 32768

// requestRecord is the result of the first command with a request id.
type requestRecord struct {
	_  struct{} `cbor:",toarray"`
	ID string
	// Digest is the contentDigest of the command.
	Digest   uint64
	Revision galenahead.Revision
	// Detail is nil for accepted changes.
	Detail *requestDetail
}

// requestDetail is the rest of a rejected change's result. Winner is the encoded
// conflicting change; records that conflict with the same change share its
// bytes.
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
	var winner AcceptedChange
	if decoding.Unmarshal([]byte(r.Detail.Winner), &winner) == nil {
		out.Winner = &winner
	}
	return out
}

// requestTable keeps the newest RequestLimit request ids in a ring buffer.
type requestTable struct {
	ring []requestRecord
	// oldest is the position of the oldest record once the ring is full, else 0.
	oldest int
	// index is a hash table with linear probing. An element is a position in
	// the ring plus one, or 0 if empty. The index takes 256 KB; a map of the ids
	// would take 1.6 MB.
	index []uint32
}

// indexSize is a power of two and keeps the index at most half full.
const indexSize = 2 * RequestLimit

func slotOf(id string) uint32 { return uint32(xxhash.Sum64String(id) % indexSize) }

// findSlot returns the slot that holds id, or the empty slot for its insertion.
func (t *requestTable) findSlot(id string) uint32 {
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
	n := t.index[t.findSlot(id)]
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
		t.index[t.findSlot(r.ID)] = uint32(len(t.ring))
		return
	}
	t.remove(t.ring[t.oldest].ID)
	t.ring[t.oldest] = r
	t.index[t.findSlot(r.ID)] = uint32(t.oldest + 1)
	t.oldest = (t.oldest + 1) % RequestLimit
}

// remove deletes id from the index, and moves later entries of its probe
// sequence back so that no gap hides them.
func (t *requestTable) remove(id string) {
	gap := t.findSlot(id)
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

// records returns the records, oldest first.
func (t *requestTable) records() []requestRecord {
	out := make([]requestRecord, 0, len(t.ring))
	out = append(out, t.ring[t.oldest:]...)
	return append(out, t.ring[:t.oldest]...)
}

// load replaces the content by records, which are ordered oldest first.
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
