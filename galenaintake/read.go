package galenaintake

import (
	"errors"
	"io"

	"github.com/rotisserie/eris"
)

// Errors of Read, tested with errors.Is.
var (
	// ErrTooLarge reports a message beyond its limit.
	ErrTooLarge = eris.New("the message is larger than the limit")
	// ErrNoBudget reports a message for which there is no room now, or that was given up for the
	// sake of others.
	ErrNoBudget = eris.New("no room for the message now")
)

// firstBuffer is the size of the buffer with which a read of unknown length begins.
const firstBuffer = 4 << 10

// Read reads a message of at most limit bytes from r to its end. announced is its length, or
// negative if it is unknown. What is held is charged to h before, in steps as the bytes come, so
// that an announcement alone holds nothing. It fails with ErrTooLarge, ErrNoBudget or the error of r.
func Read(r io.Reader, h *Hold, announced, limit int64) ([]byte, error) {
	if announced > limit {
		return nil, ErrTooLarge
	}
	size := int64(firstBuffer)
	if announced >= 0 {
		size = min(size, announced+1)
	}
	if !h.Grow(size) {
		return nil, ErrNoBudget
	}
	buf := make([]byte, 0, size)
	for {
		if len(buf) == cap(buf) {
			next := min(2*int64(cap(buf)), limit+1)
			if announced >= 0 {
				next = min(next, announced+1)
			}
			if next <= int64(cap(buf)) {
				return nil, ErrTooLarge
			}
			if !h.Grow(next) {
				return nil, ErrNoBudget
			}
			old := int64(cap(buf))
			buf = append(make([]byte, 0, next), buf...)
			h.Shrink(old)
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case int64(len(buf)) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			if !h.Received() {
				return nil, ErrNoBudget
			}
			return buf, nil
		case err != nil:
			if !h.Received() {
				return nil, ErrNoBudget
			}
			return nil, err
		}
	}
}
