// Package galenaupstream sends single HTTP/1.1 requests to upstreams and tells
// exactly whether a byte of a request can have reached one. Message encoding
// is fasthttp's; connections are kept here, because the library's client
// neither reports whether a failed request was sent nor leaves retries out.
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
	// maxIdle closes connections that were not used for this long, so that few
	// are closed by the upstream while a request is being sent.
	maxIdle = 5 * time.Second
	// bufferSize is the size of one connection's read and write buffers, in bytes.
	bufferSize = 4096
)

// errNoConnection reports an address at its limit of connections.
var errNoConnection = eris.New("no connection left to the upstream")

// Pool keeps connections to upstreams, by address. The zero value is ready to
// use and bounds no address.
type Pool struct {
	mu    sync.Mutex
	hosts map[string]*host
}

// host holds the connections to one address.
type host struct {
	idle []*conn
	// open counts all connections, idle, in use and being dialled.
	open int
	// reserved counts the requests that may use a connection.
	reserved int
	// limit bounds open; 0 means no limit.
	limit int
}

// conn is one connection. n counts the bytes written to it.
type conn struct {
	net.Conn
	r   *bufio.Reader
	w   *bufio.Writer
	raw syscall.RawConn
	// peek looks for bytes without taking them. It is kept, so that a look costs
	// no allocation, and sets open to whether the connection is open and empty.
	peek func(fd uintptr)
	open bool
	n    int64
	used time.Time
}

func newConn(nc net.Conn) (*conn, error) {
	c := &conn{Conn: nc, r: bufio.NewReaderSize(nc, bufferSize)}
	c.w = bufio.NewWriterSize(c, bufferSize)
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return c, nil
	}
	raw, err := sc.SyscallConn()
	c.raw, c.peek = raw, c.look
	return c, err
}

func (c *conn) look(fd uintptr) {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.open = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
}

func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n += int64(n)
	return n, err
}

// alive reports whether the upstream has neither closed an idle connection nor
// sent bytes that belong to no request.
func (c *conn) alive(now time.Time) bool {
	if c.r.Buffered() > 0 || now.Sub(c.used) > maxIdle {
		return false
	}
	if c.raw == nil {
		return true
	}
	err := c.raw.Control(c.peek)
	return err == nil && c.open
}

// Reserve sets the limit of connections to addr, 0 for none, and counts one
// more request that will use a connection, until Release.
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

// Room reports whether limit leaves a connection to addr for one more request.
func (p *Pool) Room(addr string, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[addr]
	return limit <= 0 || h == nil || h.reserved < limit
}

// get returns a live idle connection or dials a new one until limit.
func (p *Pool) get(addr string, limit time.Time) (*conn, error) {
	for {
		c, err := p.pop(addr)
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		if c.alive(time.Now()) {
			return c, nil
		}
		p.discard(addr, c)
	}
	d := net.Dialer{Timeout: dialTimeout, Deadline: limit}
	nc, err := d.Dial("tcp", addr)
	if err != nil {
		p.closed(addr)
		return nil, err
	}
	c, err := newConn(nc)
	if err != nil {
		p.discard(addr, c)
		return nil, err
	}
	return c, nil
}

// pop returns an idle connection, or nil when the caller is to dial a new one,
// which is then counted as open.
func (p *Pool) pop(addr string) (*conn, error) {
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
		return nil, errNoConnection
	}
	h.open++
	return nil, nil
}

// put keeps a connection for the next request, unless the limit was lowered.
func (p *Pool) put(addr string, c *conn) {
	c.used = time.Now()
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
	p.closed(addr)
}

func (p *Pool) closed(addr string) {
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

// Sweep closes connections that were idle for too long at now, and forgets
// addresses without connections.
func (p *Pool) Sweep(now time.Time) {
	p.closeIdle(func(c *conn) bool { return now.Sub(c.used) > maxIdle })
}

// Close closes every idle connection.
func (p *Pool) Close() {
	p.closeIdle(func(*conn) bool { return true })
}

func (p *Pool) closeIdle(selected func(*conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if selected(c) {
				h.open--
				_ = c.Close()
				continue
			}
			kept = append(kept, c)
		}
		clear(h.idle[len(kept):])
		h.idle = kept
		if h.open == 0 && h.reserved == 0 {
			delete(p.hosts, addr)
		}
	}
}
