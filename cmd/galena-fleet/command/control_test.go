package command

import (
	"context"
	"io"
	"net"
	"net/netip"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/galenahead/galenahead/galenadaemon"
	"github.com/galenahead/galenahead/galenametric"
	"github.com/galenahead/galenahead/galenasettings"
)

// fakeDaemon is a control daemon whose disk fails after failAfter, or that runs
// until its context ends if failAfter is zero.
type fakeDaemon struct{ failAfter time.Duration }

func (f fakeDaemon) Run(ctx context.Context) error {
	if f.failAfter == 0 {
		<-ctx.Done()
		return nil
	}
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(f.failAfter):
		return eris.New("no space left on device")
	}
}

// Guards against a process that exits when its disk is full or its log cannot be
// opened, and against restarts without a delay.
func TestControlRestartsAfterDiskFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		var startTimes []time.Time
		s := &supervisor{log: logger, newDaemon: func() (galenadaemon.Runner, error) {
			startTimes = append(startTimes, time.Now())
			switch len(startTimes) {
			case 1:
				return fakeDaemon{time.Minute}, nil
			case 2:
				return nil, eris.New("no space left on device")
			}
			return fakeDaemon{}, nil
		}}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- s.Run(ctx) }()
		time.Sleep(time.Hour)
		synctest.Wait() // the supervisor's writes happen before the reads below
		is.Equal(len(startTimes), 3)
		is.Equal(startTimes[1].Sub(startTimes[0]), time.Minute+reopenDelay)
		is.Equal(startTimes[2].Sub(startTimes[1]), reopenDelay)
		is.Equal(len(ended), 0)
		cancel()
		is.NoErr(<-ended)
	})
}

// loopback is any free port of this machine.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// listen listens on a free port.
func listen(t *testing.T) (net.Listener, netip.AddrPort) {
	t.Helper()
	ln, err := net.Listen("tcp", loopback.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln, ln.Addr().(*net.TCPAddr).AddrPort()
}

// newTestControl creates a control daemon with a replica in dir. Its only seed is seed.
func newTestControl(dir string, operator, seed netip.AddrPort) (*controlDaemon, error) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	f := galenasettings.Fleet{
		Process: galenasettings.Process{Name: "a"},
		Listen:  galenasettings.FleetListen{Operator: operator, Peer: loopback, Status: loopback},
		Control: galenasettings.FleetControl{Seeds: []netip.AddrPort{seed}, PeerPort: int(seed.Port()), DataDirectory: dir},
	}
	load := func(string) (galenasettings.Fleet, error) { return f, nil }
	return newControl("", f, load, &galenadaemon.Log{Logger: logger}, &galenametric.Metrics{})
}

// Guards against connections to other daemons that stay open when a daemon is restarted
// within the process, until the process is out of descriptors.
func TestControlClosesConnectionsWhenDiskFails(t *testing.T) {
	is := is.New(t)
	peer, seed := listen(t)
	c, err := newTestControl(t.TempDir(), loopback, seed)
	is.NoErr(err)
	ended := make(chan error, 1)
	go func() { ended <- c.Run(context.Background()) }()
	conn, err := peer.Accept()
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Read(make([]byte, 1)) // the daemon has begun a call
	is.NoErr(err)
	close(c.diskFailed)
	is.NoErr(<-ended)
	const closeTimeout = 5 * time.Second
	is.NoErr(conn.SetReadDeadline(time.Now().Add(closeTimeout)))
	_, err = io.Copy(io.Discard, conn)
	is.NoErr(err) // the daemon closed the connection
}

// Guards against a replica that is locked by its own process after a daemon could not
// listen, so that every restart fails.
func TestControlReleasesDataDirectoryWhenItCannotListen(t *testing.T) {
	is := is.New(t)
	_, used := listen(t)
	dir := t.TempDir()
	c, err := newTestControl(dir, used, used)
	is.NoErr(err)
	is.True(c.Run(context.Background()) != nil)
	restarted, err := newTestControl(dir, loopback, used)
	is.NoErr(err)
	restarted.node.Close()
	runtime.KeepAlive(c)
}
