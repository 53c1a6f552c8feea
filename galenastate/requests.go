package galenastate

import (
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
	ring  []requestRecord
	next  int
	index map[string]uint32
}

func (t *requestTable) find(id string) (requestRecord, bool) {
	i, ok := t.index[id]
	if !ok {
		return requestRecord{}, false
	}
	return t.ring[i], true
}

func (t *requestTable) add(r requestRecord) {
	if t.index == nil {
		t.index = make(map[string]uint32)
	}
	if len(t.ring) < RequestLimit {
		t.index[r.ID] = uint32(len(t.ring))
		t.ring = append(t.ring, r)
		return
	}
	delete(t.index, t.ring[t.next].ID)
	t.ring[t.next] = r
	t.index[r.ID] = uint32(t.next)
	t.next = (t.next + 1) % RequestLimit
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
	*t = requestTable{ring: records, index: make(map[string]uint32, len(records))}
	winners := make(map[cbor.ByteString]cbor.ByteString)
	for i := range records {
		t.index[records[i].ID] = uint32(i)
		if d := records[i].Detail; d != nil {
			d.Winner = intern(winners, d.Winner)
		}
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
