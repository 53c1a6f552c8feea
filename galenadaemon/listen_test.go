package galenadaemon

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// scriptedListener fails each Accept with the next of errs, and after that with
// net.ErrClosed.
type scriptedListener struct {
	net.Listener
	errs    []error
	accepts int
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	l.accepts++
	if l.accepts > len(l.errs) {
		return nil, net.ErrClosed
	}
	return nil, l.errs[l.accepts-1]
}

// Guards against a server that stops accepting connections for good when the
// process runs out of descriptors, and against a busy loop meanwhile.
func TestListenerSurvivesShortage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var errs []error
		for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
			errs = append(errs, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", errno)})
		}
		inner := &scriptedListener{errs: errs}
		start := time.Now()
		_, err := (&retryListener{inner}).Accept()
		is.True(errors.Is(err, net.ErrClosed))
		is.Equal(inner.accepts, len(errs)+1)
		is.Equal(time.Since(start), time.Duration(len(errs))*acceptRetryInterval)
	})
}
