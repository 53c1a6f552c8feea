package galenadaemon

import (
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Listen opens a TCP listener. Its Accept waits while the process or the system
// lacks descriptors or memory, so that a server survives such a shortage.
func Listen(addr netip.AddrPort) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", addr)
	}
	return &retryListener{ln}, nil
}

// acceptRetryInterval is the interval of attempts to accept a connection during a
// shortage.
const acceptRetryInterval = 20 * time.Millisecond

// retryListener repeats an Accept that failed because of a shortage.
type retryListener struct{ net.Listener }

// Accept implements net.Listener.
func (l *retryListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if !isShortage(err) {
			return c, err
		}
		time.Sleep(acceptRetryInterval)
	}
}

// SetDeadline implements deadliner.
func (l *retryListener) SetDeadline(t time.Time) error {
	d, ok := l.Listener.(deadliner)
	if !ok {
		return errors.ErrUnsupported
	}
	return d.SetDeadline(t)
}

// isShortage reports whether err means that the process or the system has no
// descriptor or memory for another connection.
func isShortage(err error) bool {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}
