package galenarpc

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxUnackedTime is how long data may stay unacknowledged by the peer's kernel before the
// connection is closed. A connection that has silently stopped working is thus replaced
// before a leader that needs answers on it steps down. It allows for one retransmission.
const maxUnackedTime = 400 * time.Millisecond

// limitUnackedTime sets maxUnackedTime for a socket. It has the signature of
// net.Dialer.Control.
func limitUnackedTime(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(maxUnackedTime.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}
