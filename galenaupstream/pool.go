// Package galenaupstream sends single HTTP/1.1 requests to upstreams and reports
// reliably whether a byte of a request may have reached one. It encodes messages
// with fasthttp but manages connections itself, because the client of fasthttp
// does not report whether a failed request was sent and retries on its own.
package galenaupstream

import (
	"bufio"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// dialTimeout bounds one attempt to connect.
	dialTimeout = 500 * time.Millisecond
	// maxIdleTime is how long an idle connection may be used again. The limit makes
	// it rare that the upstream closes a connection while a request is being sent.
	maxIdleTime = 5 * time.Second
	// bufferSize is the size of a connection's read buffer and of its write buffer,
	// in bytes.
	bufferSize = 4096
)

// errConnectionLimit reports that an address has as many connections as its limit
// allows.
var errConnectionLimit = eris.New("connection limit of the upstream is reached")

// Pool keeps connections to upstreams by address. The zero value is ready to use
// and does not limit the number of connections.
type Pool struct {
	mu    sync.Mutex
	hosts map[string]*host
}

// host holds the connections to one address.
type host struct {
	idle []*conn
	// open counts all connections: idle, in use and being dialled.
	open int
	// reserved counts the reservations.
	reserved int
	// limit bounds open; 0 means no limit.
	limit int
}

// conn is one connection.
type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	raw    syscall.RawConn
	// checkIdle is the method value peekByte, stored here so that a check does not
	// allocate.
	checkIdle func(fd uintptr)
	// idleOpen is the result of the last check: the connection is open and has no
	// bytes to read.
	idleOpen bool
	// written counts the bytes written to the connection.
	written  int64
	lastUsed time.Time
}

func newConn(nc net.Conn) (*conn, error) {
	c := &conn{Conn: nc, reader: bufio.NewReaderSize(nc, bufferSize)}
	c.writer = bufio.NewWriterSize(c, bufferSize)
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return c, nil
	}
	raw, err := sc.SyscallConn()
	c.raw, c.checkIdle = raw, c.peekByte
	return c, err
}

// peekByte sets idleOpen by trying to read a byte without removing it from the
// socket's buffer.
func (c *conn) peekByte(fd uintptr) {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.idleOpen = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
}

func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written += int64(n)
	return n, err
}

// isUsable reports whether an idle connection can carry another request: it was
// used recently, and the upstream has neither closed it nor sent bytes that belong
// to no request.
func (c *conn) isUsable(now time.Time) bool {
	if c.reader.Buffered() > 0 || now.Sub(c.lastUsed) > maxIdleTime {
		return false
	}
	if c.raw == nil {
		return true
	}
	err := c.raw.Control(c.checkIdle)
	return err == nil && c.idleOpen
}

// Reserve sets the limit of connections to addr, where 0 means no limit, and
// reserves a connection for one request until Release is called.
func (p *Pool) Reserve(addr string, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(addr)
	h.limit = limit
	h.reserved++
}

// Release ends a reservation.
func (p *Pool) Release(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.host(addr).reserved--
}

// CanReserve reports whether limit allows another reservation of a connection to
// addr.
func (p *Pool) CanReserve(addr string, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[addr]
	return limit <= 0 || h == nil || h.reserved < limit
}

// acquire returns a usable idle connection, or dials a new one until deadline.
func (p *Pool) acquire(addr string, deadline time.Time) (*conn, error) {
	for {
		c, err := p.popIdle(addr)
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		if c.isUsable(time.Now()) {
			return c, nil
		}
		p.discard(addr, c)
	}
	d := net.Dialer{Timeout: dialTimeout, Deadline: deadline}
	nc, err := d.Dial("tcp", addr)
	if err != nil {
		p.countClosed(addr)
		return nil, err
	}
	c, err := newConn(nc)
	if err != nil {
		p.discard(addr, c)
		return nil, err
	}
	return c, nil
}

// popIdle returns an idle connection. If there is none, it returns nil and counts
// one more open connection, which must be dialled next.
func (p *Pool) popIdle(addr string) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(addr)
	if n := len(h.idle); n > 0 {
		c := h.idle[n-1]
		h.idle[n-1] = nil
		h.idle = h.idle[:n-1]
		return c, nil
	}
	if h.limit > 0 && h.open >= h.limit {
		return nil, errConnectionLimit
	}
	h.open++
	return nil, nil
}

// put keeps a connection for the next request. It closes the connection if the
// limit was lowered and is exceeded.
func (p *Pool) put(addr string, c *conn) {
	c.lastUsed = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(addr)
	if h.limit > 0 && h.open > h.limit {
		h.open--
		_ = c.Close()
		return
	}
	h.idle = append(h.idle, c)
}

// discard closes a connection that no request can use.
func (p *Pool) discard(addr string, c *conn) {
	_ = c.Close()
	p.countClosed(addr)
}

// countClosed removes a connection to addr from the count of open ones.
func (p *Pool) countClosed(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.host(addr).open--
}

func (p *Pool) host(addr string) *host {
	h := p.hosts[addr]
	if h != nil {
		return h
	}
	if p.hosts == nil {
		p.hosts = make(map[string]*host)
	}
	h = &host{}
	p.hosts[addr] = h
	return h
}

// CloseExpired closes connections that have been idle for longer than maxIdleTime
// at now. It also removes addresses that have neither connections nor reservations.
func (p *Pool) CloseExpired(now time.Time) {
	p.closeIdle(func(c *conn) bool { return now.Sub(c.lastUsed) > maxIdleTime })
}

// Close closes every idle connection.
func (p *Pool) Close() {
	p.closeIdle(func(*conn) bool { return true })
}

func (p *Pool) closeIdle(match func(*conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, h := range p.hosts {
		remaining := h.idle[:0]
		for _, c := range h.idle {
			if match(c) {
				h.open--
				_ = c.Close()
				continue
			}
			remaining = append(remaining, c)
		}
		clear(h.idle[len(remaining):])
		h.idle = remaining
		if h.open == 0 && h.reserved == 0 {
			delete(p.hosts, addr)
		}
	}
}
