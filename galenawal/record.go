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
// cannot be mistaken for a record header.
const (
	recordMagic           = 0x314c4147
	headerSize            = 32
	payloadLengthOffset   = 4
	sequenceOffset        = 8
	payloadChecksumOffset = 16
	headerChecksumOffset  = 24
)

// recordPayload is the payload of a record in the log file.
type recordPayload struct {
	HardState HardState `cbor:"1,keyasint"`
	Entries   []Entry   `cbor:"2,keyasint,omitempty"`
}

func checksum(seed uint64, b []byte) uint64 {
	d := xxhash.NewWithSeed(seed)
	_, _ = d.Write(b)
	return d.Sum64()
}

// encodeRecord returns payload with a record header in front.
func encodeRecord(seed, sequence uint64, payload []byte) []byte {
	b := make([]byte, headerSize, headerSize+len(payload))
	binary.LittleEndian.PutUint32(b, recordMagic)
	binary.LittleEndian.PutUint32(b[payloadLengthOffset:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(b[sequenceOffset:], sequence)
	binary.LittleEndian.PutUint64(b[payloadChecksumOffset:], checksum(seed, payload))
	binary.LittleEndian.PutUint64(b[headerChecksumOffset:], checksum(seed, b[:headerChecksumOffset]))
	return append(b, payload...)
}

// header is a record header whose checksum was verified.
type header struct {
	payloadLength   int
	sequence        uint64
	payloadChecksum uint64
}

func decodeHeader(seed uint64, b []byte) (header, bool) {
	if len(b) < headerSize || binary.LittleEndian.Uint32(b) != recordMagic {
		return header{}, false
	}
	if binary.LittleEndian.Uint64(b[headerChecksumOffset:]) != checksum(seed, b[:headerChecksumOffset]) {
		return header{}, false
	}
	return header{
		payloadLength:   int(binary.LittleEndian.Uint32(b[payloadLengthOffset:])),
		sequence:        binary.LittleEndian.Uint64(b[sequenceOffset:]),
		payloadChecksum: binary.LittleEndian.Uint64(b[payloadChecksumOffset:]),
	}, true
}

// decodeRecord returns the payload and the sequence number of the record at the
// start of b, and the bytes after it. It returns false for ok if the header or
// the payload is incomplete or damaged.
func decodeRecord(seed uint64, b []byte) (payload []byte, sequence uint64, rest []byte, ok bool) {
	hdr, ok := decodeHeader(seed, b)
	if !ok || len(b)-headerSize < hdr.payloadLength {
		return nil, 0, b, false
	}
	payload = b[headerSize : headerSize+hdr.payloadLength]
	if checksum(seed, payload) != hdr.payloadChecksum {
		return nil, 0, b, false
	}
	return payload, hdr.sequence, b[headerSize+hdr.payloadLength:], true
}

// decodeRecords decodes the records in b. intactSize is the size of the intact
// records; it is smaller than len(b) if the last record is torn. decodeRecords
// fails with galenahead.ErrCorrupt on damage before the last record.
func decodeRecords(seed uint64, b []byte) (records []recordPayload, intactSize int, err error) {
	rest := b
	for len(rest) > 0 {
		payload, sequence, remaining, ok := decodeRecord(seed, rest)
		if !ok {
			return records, len(b) - len(rest), checkTornTail(seed, rest)
		}
		if sequence != uint64(len(records)) {
			return nil, 0, eris.Wrapf(galenahead.ErrCorrupt, "record %d has sequence number %d", len(records), sequence)
		}
		var r recordPayload
		if err := cbor.Unmarshal(payload, &r); err != nil {
			return nil, 0, eris.Wrapf(galenahead.ErrCorrupt, "record %d: %v", len(records), err)
		}
		records = append(records, r)
		rest = remaining
	}
	return records, len(b), nil
}

// checkTornTail checks that the damaged record at the start of b is the last
// one, and fails with galenahead.ErrCorrupt if more records follow it. If its
// header is damaged as well, checkTornTail searches b for a later valid header.
func checkTornTail(seed uint64, b []byte) error {
	if h, ok := decodeHeader(seed, b); ok {
		if headerSize+h.payloadLength < len(b) {
			return eris.Wrapf(galenahead.ErrCorrupt, "record %d is damaged and is not the last record", h.sequence)
		}
		return nil
	}
	for i := 1; i+headerSize <= len(b); i++ {
		if h, ok := decodeHeader(seed, b[i:]); ok {
			return eris.Wrapf(galenahead.ErrCorrupt, "the record before record %d is damaged", h.sequence)
		}
	}
	return nil
}
