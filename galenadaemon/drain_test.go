package galenadaemon

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
)

const (
	testRequest = "POST /job HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\nwork"
	handlerTime = 300 * time.Millisecond
)

// newSlowServer returns a server that answers after handlerTime and sends on
// started when it begins to handle a request.
func newSlowServer(started chan<- struct{}) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: func(c *fasthttp.RequestCtx) {
			started <- struct{}{}
			time.Sleep(handlerTime)
			c.SetBodyString("done")
		},
		ReadTimeout: time.Minute, IdleTimeout: time.Minute, NoDefaultDate: true,
	}
}

// testConn is a client's connection.
type testConn struct {
	net.Conn
	reader *bufio.Reader
}

func newTestConn(c net.Conn) *testConn { return &testConn{c, bufio.NewReader(c)} }

func (c *testConn) send(t *testing.T, s string) {
	t.Helper()
	if _, err := io.WriteString(c, s); err != nil {
		t.Errorf("send: %v", err)
	}
}

// receive reads one response of the handler and reports whether it announces the
// end of the connection.
func (c *testConn) receive() (closing bool, err error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return false, err
	}
	if resp.StatusCode != http.StatusOK {
		return false, fmt.Errorf("status %s", resp.Status)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.Close, err
}

// drainTest runs an HTTPServer on loopback.
type drainTest struct {
	t       *testing.T
	address string
	// started receives a value for each request that the server begins to handle.
	started chan struct{}
	stop    context.CancelFunc
	served  chan error
}

func newDrainTest(t *testing.T) *drainTest { return newDrainTestOn(t, listenLoopback(t)) }

func listenLoopback(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

func newDrainTestOn(t *testing.T, ln net.Listener) *drainTest {
	ctx, cancel := context.WithCancel(t.Context())
	d := &drainTest{t: t, address: ln.Addr().String(), started: make(chan struct{}, 1000), stop: cancel, served: make(chan error, 1)}
	go func() { d.served <- ServeHTTP(ctx, newSlowServer(d.started), ln) }()
	return d
}

func (d *drainTest) dial() *testConn {
	d.t.Helper()
	c, err := net.Dial("tcp", d.address)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = c.Close() })
	return newTestConn(c)
}

// dialServed opens a connection and completes one request on it.
func (d *drainTest) dialServed() *testConn {
	d.t.Helper()
	c := d.dial()
	c.send(d.t, testRequest)
	if _, err := c.receive(); err != nil {
		d.t.Errorf("request before the drain: %v", err)
	}
	return c
}

// checkAnswered checks that each connection has received a response that announces
// its end. It does not wait as long as a request takes, since a process may exit
// when Serve has returned.
func (d *drainTest) checkAnswered(conns []*testConn) {
	d.t.Helper()
	for i, c := range conns {
		if err := c.SetReadDeadline(time.Now().Add(handlerTime / 2)); err != nil {
			d.t.Error(err)
		}
		if closing, err := c.receive(); err != nil || !closing {
			d.t.Errorf("connection %d: Connection: close %t, error %v", i, closing, err)
		}
	}
}

// Guards against the loss of requests that have arrived on idle connections, but
// have not been read, when the drain starts, and of those that are being handled.
func TestDrainAnswersArrivedRequests(t *testing.T) {
	is := is.New(t)
	d := newDrainTest(t)
	const conns = 100
	var served [conns]*testConn
	var group sync.WaitGroup
	for i := range served {
		group.Go(func() { served[i] = d.dialServed() })
	}
	group.Wait()
	for _, c := range served {
		c.send(t, testRequest)
	}
	d.stop()
	is.NoErr(<-d.served)
	d.checkAnswered(served[:])
}

// Guards against a drain that closes a connection although bytes have arrived on
// it, or that keeps one on which none have.
func TestDrainConnReadsArrivedBytes(t *testing.T) {
	for _, sent := range []string{testRequest, ""} {
		is := is.New(t)
		ln := &drainListener{Listener: listenLoopback(t), conns: make(map[*drainConn]struct{})}
		client, err := net.Dial("tcp", ln.Addr().String())
		is.NoErr(err)
		_, err = io.WriteString(client, sent)
		is.NoErr(err)
		conn, err := ln.Accept()
		is.NoErr(err)
		dc := conn.(*drainConn)
		dc.served = true
		dc.drain()
		b := make([]byte, 2*len(testRequest))
		n, err := dc.Read(b)
		is.Equal(string(b[:n]), sent)
		is.Equal(err == nil, sent != "")
		is.NoErr(dc.Close())
		is.NoErr(client.Close())
		is.NoErr(ln.Close())
	}
}

// Guards against the loss of requests on connections that the server has not
// accepted when the drain starts.
func TestDrainAcceptsQueuedConnections(t *testing.T) {
	is := is.New(t)
	ln := &slowListener{TCPListener: listenLoopback(t).(*net.TCPListener), open: make(chan struct{})}
	d := newDrainTestOn(t, ln)
	var queued [50]*testConn
	for i := range queued {
		queued[i] = d.dial()
		queued[i].send(t, testRequest)
	}
	d.stop()
	time.Sleep(2 * finalAcceptTime)
	close(ln.open)
	is.NoErr(<-d.served)
	d.checkAnswered(queued[:])
}

// slowListener accepts no connections before open is closed.
type slowListener struct {
	*net.TCPListener
	open chan struct{}
}

func (l *slowListener) Accept() (net.Conn, error) {
	<-l.open
	return l.TCPListener.Accept()
}

// Guards against the loss of requests that are sent in pieces, on a new and on a
// used connection, and of the first request of a connection opened just before
// the drain.
func TestDrainWaitsForPartialRequests(t *testing.T) {
	is := is.New(t)
	d := newDrainTest(t)
	first, used, fresh := d.dial(), d.dialServed(), d.dial()
	first.send(t, testRequest[:10])
	used.send(t, testRequest[:len(testRequest)-2])
	time.Sleep(50 * time.Millisecond) // the server reads the first piece
	d.stop()
	time.Sleep(50 * time.Millisecond) // the drain has started
	fresh.send(t, testRequest[:len(testRequest)-2])
	time.Sleep(firstRequestTime)
	first.send(t, testRequest[10:])
	used.send(t, testRequest[len(testRequest)-2:])
	fresh.send(t, testRequest[len(testRequest)-2:])
	is.NoErr(<-d.served)
	d.checkAnswered([]*testConn{first, used, fresh})
}

// Guards against a reset that destroys the last response when the client has
// already sent another request.
func TestDrainEndsStreamAfterResponse(t *testing.T) {
	is := is.New(t)
	d := newDrainTest(t)
	c := d.dial()
	c.send(t, testRequest)
	<-d.started
	d.stop()
	c.send(t, testRequest)
	is.NoErr(<-d.served)
	closing, err := c.receive()
	is.NoErr(err)
	is.True(closing)
	_, err = c.receive()
	is.True(errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)) // not reset
}

// Guards against a drain that waits for idle connections, or for longer than its
// timeout for a request that never arrives in full.
func TestDrainIsBounded(t *testing.T) {
	// The first date that fasthttp writes starts a goroutine that never ends. It must
	// not belong to a bubble.
	_, err := new(fasthttp.Response).WriteTo(io.Discard)
	is.New(t).NoErr(err)
	for _, test := range []struct {
		name, sent string
		min, max   time.Duration
	}{
		{"idle", "", 0, finalAcceptTime},
		{"partial request", testRequest[:10], time.Second, time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ln := fasthttputil.NewInmemoryListener()
				ctx, cancel := context.WithCancel(t.Context())
				s := &HTTPServer{Server: newSlowServer(make(chan struct{}, 1)), DrainTimeout: time.Second}
				served := make(chan error, 1)
				go func() { served <- s.Serve(ctx, ln) }()
				conn, err := ln.Dial()
				is.NoErr(err)
				c := newTestConn(conn)
				c.send(t, testRequest)
				_, err = c.receive()
				is.NoErr(err)
				c.send(t, test.sent)
				synctest.Wait()
				stoppedAt := time.Now()
				cancel()
				is.NoErr(<-served)
				took := time.Since(stoppedAt)
				is.True(took >= test.min && took <= test.max)
				_, err = c.receive()
				is.True(err != nil)     // the connection is closed
				time.Sleep(time.Minute) // the goroutines of fasthttp end
			})
		})
	}
}
