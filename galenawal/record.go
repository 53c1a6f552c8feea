package galenawal

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
)

// Layout of a record header, little endian: magic (4 bytes), payload length
// (4), sequence number (8), payload checksum (8), header checksum (8). The
// checksums are seeded with the incarnation, so that bytes inside a command
// cannot pass for a record.
const (
	recordMagic  = 0x314c4147
	headerSize   = 32
	lengthAt     = 4
	sequenceAt   = 8
	payloadSumAt = 16
	headerSumAt  = 24
)

// record is the payload of one synced write.
type record struct {
	HardState HardState `cbor:"1,keyasint"`
	Entries   []Entry   `cbor:"2,keyasint,omitempty"`
}

func checksum(seed uint64, b []byte) uint64 {
	d := xxhash.NewWithSeed(seed)
	_, _ = d.Write(b)
	return d.Sum64()
}

// frame puts a header before payload.
func frame(seed, sequence uint64, payload []byte) []byte {
	b := make([]byte, headerSize, headerSize+len(payload))
	binary.LittleEndian.PutUint32(b, recordMagic)
	binary.LittleEndian.PutUint32(b[lengthAt:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(b[sequenceAt:], sequence)
	binary.LittleEndian.PutUint64(b[payloadSumAt:], checksum(seed, payload))
	binary.LittleEndian.PutUint64(b[headerSumAt:], checksum(seed, b[:headerSumAt]))
	return append(b, payload...)
}

// header is a checked record header.
type header struct {
	length   int
	sequence uint64
	sum      uint64
}

func parseHeader(seed uint64, b []byte) (header, bool) {
	if len(b) < headerSize || binary.LittleEndian.Uint32(b) != recordMagic {
		return header{}, false
	}
	if binary.LittleEndian.Uint64(b[headerSumAt:]) != checksum(seed, b[:headerSumAt]) {
		return header{}, false
	}
	return header{
		length:   int(binary.LittleEndian.Uint32(b[lengthAt:])),
		sequence: binary.LittleEndian.Uint64(b[sequenceAt:]),
		sum:      binary.LittleEndian.Uint64(b[payloadSumAt:]),
	}, true
}

// parseFrame returns the payload of the record at the start of b, its sequence
// number and the rest of b.
func parseFrame(seed uint64, b []byte) (payload []byte, sequence uint64, rest []byte, ok bool) {
	h, ok := parseHeader(seed, b)
	if !ok || len(b)-headerSize < h.length {
		return nil, 0, b, false
	}
	payload = b[headerSize : headerSize+h.length]
	if checksum(seed, payload) != h.sum {
		return nil, 0, b, false
	}
	return payload, h.sequence, b[headerSize+h.length:], true
}

// scan decodes the records of b. It returns the size of the intact part, which
// is shorter than b when the last record is torn, and fails with
// galenahead.ErrCorrupt on damage before the last record.
func scan(seed uint64, b []byte) (records []record, good int, err error) {
	rest := b
	for len(rest) > 0 {
		payload, sequence, next, ok := parseFrame(seed, rest)
		if !ok {
			return records, len(b) - len(rest), checkTail(seed, rest)
		}
		if sequence != uint64(len(records)) {
			return nil, 0, eris.Wrapf(galenahead.ErrCorrupt, "record %d has number %d", len(records), sequence)
		}
		var r record
		if err := cbor.Unmarshal(payload, &r); err != nil {
			return nil, 0, eris.Wrapf(galenahead.ErrCorrupt, "record %d: %v", len(records), err)
		}
		records = append(records, r)
		rest = next
	}
	return records, len(b), nil
}

// checkTail tells whether b, which starts with a damaged record, ends with it.
func checkTail(seed uint64, b []byte) error {
	if h, ok := parseHeader(seed, b); ok {
		if headerSize+h.length < len(b) {
			return eris.Wrapf(galenahead.ErrCorrupt, "record %d is damaged and not the last one", h.sequence)
		}
		return nil
	}
	for i := 1; i+headerSize <= len(b); i++ {
		if h, ok := parseHeader(seed, b[i:]); ok {
			return eris.Wrapf(galenahead.ErrCorrupt, "the record before record %d is damaged", h.sequence)
		}
	}
	return nil
}
