package galenafleet

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
)

const (
	// minCompressedSize is the size in bytes from which data is compressed. A smaller
	// message delays the others on its connection by less than compressing it takes.
	minCompressedSize = 16 << 10
	// maxExpandedSize bounds data that is expanded, in bytes.
	maxExpandedSize = 16 << 20
)

// gzipMagic starts compressed data. Neither CBOR maps nor JSON documents start with
// it.
var gzipMagic = []byte{0x1f, 0x8b}

// compress compresses data unless it is small.
func compress(data []byte) ([]byte, error) {
	if len(data) < minCompressedSize {
		return data, nil
	}
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	if _, err := w.Write(data); err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	return b.Bytes(), nil
}

// expand returns the data that was passed to compress. It fails with
// galenahead.ErrCorrupt.
func expand(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, gzipMagic) {
		return data, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, eris.Wrapf(galenahead.ErrCorrupt, "expand: %v", err)
	}
	out, err := io.ReadAll(io.LimitReader(r, maxExpandedSize+1))
	if err != nil {
		return nil, eris.Wrapf(galenahead.ErrCorrupt, "expand: %v", err)
	}
	if len(out) > maxExpandedSize {
		return nil, eris.Wrapf(galenahead.ErrCorrupt, "expand: more than %d bytes", maxExpandedSize)
	}
	return out, nil
}

// EncodedConfig is a configuration as daemons send it to the owner: CBOR, compressed
// if it is large.
type EncodedConfig struct {
	Data []byte `json:"data"`
}

func encodeConfig(c Config) (EncodedConfig, error) {
	b, err := encoding.Marshal(c)
	if err != nil {
		return EncodedConfig{}, eris.Wrap(err, "encode configuration")
	}
	b, err = compress(b)
	return EncodedConfig{b}, err
}

func (e EncodedConfig) decode() (Config, error) {
	var c Config
	b, err := expand(e.Data)
	if err != nil {
		return c, err
	}
	if err := cbor.Unmarshal(b, &c); err != nil {
		return c, eris.Wrapf(galenahead.ErrInvalid, "decode configuration: %v", err)
	}
	return c, nil
}
