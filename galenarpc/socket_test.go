package galenarpc

import (
	"net"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// Guards against a connection between daemons that has silently stopped working and is
// kept for longer than a leader can do without answers.
func TestConnectionsLimitUnackedTime(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	conn, err := dial(t.Context(), ln.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	limit := 0
	var optionErr error
	is.NoErr(raw.Control(func(fd uintptr) {
		limit, optionErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	is.NoErr(optionErr)
	is.Equal(limit, int(maxUnackedTime.Milliseconds()))
}
