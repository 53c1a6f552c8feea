package galenadaemon

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/galenahead/galenahead/galenaintake"
)

const (
	// shutdownTimeout is the default of HTTPServer.DrainTimeout.
	shutdownTimeout = 5 * time.Second
	// finalAcceptTime is how long a draining server looks for another connection in
	// the queue of its listener.
	finalAcceptTime = 50 * time.Millisecond
	// firstRequestTime is how long a connection that has not carried a request may
	// stay open while the server drains.
	firstRequestTime = 500 * time.Millisecond
	// lingerTime bounds the wait for the peer to close a connection after the last
	// response. Closing a connection with unread bytes resets it, and the peer may
	// then lose the response.
	lingerTime = 100 * time.Millisecond
)

// HTTPServer serves HTTP until its context ends, and then drains: it answers the
// requests that have arrived before it closes their connections.
//
// Shutdown of fasthttp.Server does not do that. Serve returns as soon as the
// listener is closed, and connections are closed as idle without a look at the
// bytes that have arrived.
type HTTPServer struct {
	Server *fasthttp.Server
	// DrainTimeout bounds the drain. When it has passed, connections with a request
	// that is incomplete or not answered are closed. The default is 5 s.
	DrainTimeout time.Duration
	// Conns bounds the open connections. Its zero value bounds nothing.
	Conns galenaintake.Conns
}

// ServeHTTP serves on ln until ctx ends and then drains with the default timeout.
func ServeHTTP(ctx context.Context, srv *fasthttp.Server, ln net.Listener) error {
	return (&HTTPServer{Server: srv}).Serve(ctx, ln)
}

// Serve serves on ln until ctx ends. It then accepts the connections that are in
// the queue of ln, closes ln and the idle connections, waits until every request
// that has arrived is answered, and returns nil. Responses during the drain close
// their connections. Serve may be called once.
func (s *HTTPServer) Serve(ctx context.Context, ln net.Listener) error {
	l := &drainListener{Listener: ln, bound: &s.Conns, conns: make(map[*drainConn]struct{})}
	handler := s.Server.Handler
	s.Server.Handler = func(c *fasthttp.RequestCtx) {
		if dc, ok := c.Conn().(*drainConn); ok {
			dc.SetReceiving(false)
		}
		handler(c)
		if l.draining.Load() {
			c.SetConnectionClose()
		}
	}
	s.Server.ConnState = func(c net.Conn, state fasthttp.ConnState) {
		if dc, ok := c.(*drainConn); ok && (state == fasthttp.StateIdle || state == fasthttp.StateActive) {
			dc.setIdle(state == fasthttp.StateIdle)
		}
	}
	stop := context.AfterFunc(ctx, l.drain)
	defer stop()
	err := s.Server.Serve(l)
	if ctx.Err() == nil {
		if err != nil {
			return eris.Wrapf(err, "serve %s", ln.Addr())
		}
		return nil
	}
	l.drain()
	timeout := s.DrainTimeout
	if timeout == 0 {
		timeout = shutdownTimeout
	}
	select {
	case <-l.stopAccepting():
	case <-time.After(timeout):
		l.closeConns()
	}
	return nil
}

// drainListener accepts connections and keeps track of those that are open.
type drainListener struct {
	net.Listener
	draining atomic.Bool
	bound    *galenaintake.Conns

	mu    sync.Mutex
	conns map[*drainConn]struct{}
	// drained is set when no more connections are accepted, and closed when none is
	// open.
	drained chan struct{}
}

// Accept returns io.EOF, on which fasthttp stops serving, when the drain has
// started and the queue of the listener is empty.
func (l *drainListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil && l.draining.Load() {
			c, err = l.acceptQueued()
		}
		if err != nil {
			return nil, err
		}
		if dc, ok := l.admit(c); ok {
			return dc, nil
		}
		_ = c.Close()
	}
}

// admit takes a connection, in the place of another one if there are as many as there may be. It
// reports false if none gives way.
func (l *drainListener) admit(c net.Conn) (*drainConn, bool) {
	dc := &drainConn{Conn: c, listener: l, acceptedAt: time.Now(), idle: true}
	var ok bool
	if dc.counted, ok = l.bound.Admit(c, dc.End); !ok {
		return nil, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[dc] = struct{}{}
	if l.draining.Load() {
		dc.drain()
	}
	return dc, true
}

// deadliner is a listener whose Accept can be interrupted without closing it.
type deadliner interface{ SetDeadline(time.Time) error }

// acceptQueued accepts a connection from the queue of the listener. An Accept whose
// deadline has passed does not look at the queue.
func (l *drainListener) acceptQueued() (net.Conn, error) {
	ln, ok := l.Listener.(deadliner)
	if !ok || ln.SetDeadline(time.Now().Add(finalAcceptTime)) != nil {
		return nil, io.EOF
	}
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, io.EOF
	}
	return c, nil
}

// drain lets the idle connections end, and Accept after it has emptied the queue
// of the listener.
func (l *drainListener) drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining.Swap(true) {
		return
	}
	for c := range l.conns {
		c.drain()
	}
	if ln, ok := l.Listener.(deadliner); !ok || ln.SetDeadline(time.Now()) != nil {
		_ = l.Listener.Close()
	}
}

// stopAccepting closes the listener. It returns a channel that is closed when no
// connection is open.
func (l *drainListener) stopAccepting() <-chan struct{} {
	_ = l.Listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drained = make(chan struct{})
	if len(l.conns) == 0 {
		close(l.drained)
	}
	return l.drained
}

func (l *drainListener) remove(c *drainConn) {
	c.counted.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.conns[c]; !ok {
		return
	}
	delete(l.conns, c)
	if len(l.conns) == 0 && l.drained != nil {
		close(l.drained)
	}
}

// closeConns closes all connections at once.
func (l *drainListener) closeConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Conn.Close()
	}
}

// drainConn is a connection of a drainListener. Reads and writes of fasthttp come
// from one goroutine; the drain starts in another.
type drainConn struct {
	net.Conn
	listener   *drainListener
	acceptedAt time.Time
	// counted is the connection as the bound counts it.
	counted *galenaintake.Conn
	// responded reports that the last operation on the connection was a write.
	responded bool

	mu       sync.Mutex
	draining bool
	// idle reports that no byte of the next request has been read.
	idle bool
	// served reports that the connection has carried a request.
	served bool
	// readDeadline is the deadline that the server has set.
	readDeadline time.Time
	// displaced is set once the connection is closed for the sake of another one.
	displaced bool
}

// RequestConn is the connection of a request that an HTTPServer handles.
type RequestConn interface {
	// SetReceiving records whether the server waits for bytes of the client.
	SetReceiving(receiving bool)
	// Abort ends the receipt of the request, which can still be answered. It does not block.
	Abort()
	// End closes the connection, also while an answer is written. It does not block.
	End()
}

var _ RequestConn = (*drainConn)(nil)

// SetReceiving implements RequestConn.
func (c *drainConn) SetReceiving(receiving bool) { c.counted.SetWaiting(receiving) }

// Abort implements RequestConn.
func (c *drainConn) Abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.displaced = true
	_ = c.Conn.SetReadDeadline(time.Now())
}

// End implements RequestConn. The next operation on the connection fails.
func (c *drainConn) End() {
	c.Abort()
	_ = c.Conn.Close()
}

// drain ends the wait for the next request if the connection is idle.
func (c *drainConn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	_ = c.applyReadDeadline()
}

// setIdle records whether the connection waits for the first byte of a request.
func (c *drainConn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == idle {
		return
	}
	c.idle = idle
	if idle {
		c.served = true
		c.counted.SetServed()
	}
	if c.draining {
		_ = c.applyReadDeadline()
	}
}

// applyReadDeadline sets the server's deadline, or the end of the wait for a
// request if that comes first.
func (c *drainConn) applyReadDeadline() error {
	if c.displaced {
		return net.ErrClosed
	}
	t := c.readDeadline
	if c.draining && c.idle {
		end := time.Now()
		if !c.served {
			end = c.acceptedAt.Add(firstRequestTime)
		}
		if t.IsZero() || end.Before(t) {
			t = end
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *drainConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.applyReadDeadline()
}

// Read implements net.Conn. It returns io.EOF when the drain ends the wait for a
// request.
func (c *drainConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && isTimeout(err) && c.prepareFinalRead() {
		n, err = c.readArrived(p)
	}
	c.responded = false
	if n > 0 {
		c.setIdle(false)
	}
	return n, err
}

// prepareFinalRead clears the deadline for readArrived. It returns false if the
// connection is not idle or not draining.
func (c *drainConn) prepareFinalRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.draining && c.idle && c.Conn.SetReadDeadline(time.Time{}) == nil
}

// readArrived reads the bytes that have arrived without waiting for others, and
// returns io.EOF if there are none. A Read whose deadline has passed does not look
// for them.
func (c *drainConn) readArrived(p []byte) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, io.EOF
	}
	rawErr := raw.Read(func(fd uintptr) bool {
		for {
			if n, err = syscall.Read(int(fd), p); !errors.Is(err, syscall.EINTR) {
				return true
			}
		}
	})
	switch {
	case rawErr != nil:
		return 0, rawErr
	case n > 0:
		return n, nil
	case err == nil || errors.Is(err, syscall.EAGAIN):
		return 0, io.EOF
	}
	return 0, err
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// Write implements net.Conn.
func (c *drainConn) Write(p []byte) (int, error) {
	c.responded = true
	return c.Conn.Write(p)
}

// Close implements net.Conn. After a response it sends the end of the stream and
// waits for the peer's, for at most lingerTime.
func (c *drainConn) Close() error {
	if c.responded {
		c.linger()
	}
	err := c.Conn.Close()
	c.listener.remove(c)
	return err
}

func (c *drainConn) linger() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c.Conn)
}

// SyscallConn implements syscall.Conn for connections that have a descriptor.
func (c *drainConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}
