// Package galenaupstream sends single HTTP/1.1 requests to upstreams and tells
// exactly whether a byte of a request can have reached one. Message encoding
// is fasthttp's; connections are kept here, because the library's client
// neither reports whether a failed request was sent nor leaves retries out.
package galenaupstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds one attempt to connect.
	dialTimeout = 500 * time.Millisecond
	// maxIdle closes connections that were not used for this long, so that few
	// are closed by the upstream while a request is being sent.
	maxIdle = 5 * time.Second
	// bufferSize is the size of one connection's read buffer, in bytes.
	bufferSize = 4096
)

// Pool keeps idle connections to upstreams, by address. The zero value is
// ready to use.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*conn
}

// conn is one connection. n counts the bytes written to it.
type conn struct {
	net.Conn
	r    *bufio.Reader
	n    int64
	used time.Time
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
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && open
}

// get returns a live idle connection or dials a new one.
func (p *Pool) get(ctx context.Context, addr string) (*conn, error) {
	for {
		c := p.pop(addr)
		if c == nil {
			break
		}
		if c.alive(time.Now()) {
			return c, nil
		}
		_ = c.Close()
	}
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, r: bufio.NewReaderSize(nc, bufferSize)}, nil
}

func (p *Pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[addr] = list[:len(list)-1]
	return c
}

func (p *Pool) put(addr string, c *conn) {
	c.used = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[string][]*conn)
	}
	p.idle[addr] = append(p.idle[addr], c)
}

// Sweep closes connections that were idle for too long at now, and forgets
// addresses without connections.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.used) > maxIdle {
				_ = c.Close()
				continue
			}
			kept = append(kept, c)
		}
		clear(list[len(kept):])
		p.idle[addr] = kept
		if len(kept) == 0 {
			delete(p.idle, addr)
		}
	}
}

// Close closes every idle connection.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	p.idle = nil
}
