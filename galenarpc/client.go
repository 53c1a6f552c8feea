package galenarpc

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
)

const (
	// dialTimeout bounds one attempt to connect.
	dialTimeout = time.Second
	// redialDelay is the shortest time between two failed attempts to connect
	// to the same peer, so that an unreachable peer costs little.
	redialDelay = 200 * time.Millisecond
	// maxSilence closes a connection on which calls time out and nothing was
	// answered for this long, since a silent network partition leaves it open.
	maxSilence = 2 * time.Second
)

// Client keeps one connection to each peer that is called and implements
// galenahead.Caller. The zero value is ready to use.
type Client struct {
	// Mux serves calls and notifications that peers send on the client's
	// connections. It may be nil.
	Mux *Mux

	mu    sync.Mutex
	peers map[string]*peer
}

type peer struct {
	mu       sync.Mutex
	conn     *Conn
	failedAt time.Time
	dialErr  error
	// unanswered is when the first call was made since the last reply, or zero.
	unanswered time.Time
}

// Call sends params to method of the peer and decodes the reply into result.
func (c *Client) Call(ctx context.Context, addr, method string, params, result any) error {
	p := c.peer(addr)
	conn, err := p.connect(ctx, addr, c.mux())
	if err != nil {
		return err
	}
	p.asked(conn)
	err = conn.Call(ctx, method, params, result)
	p.note(conn, ctx.Err() != nil)
	return decodeError(err)
}

// Notify sends params to method of the peer without waiting for a reply.
func (c *Client) Notify(ctx context.Context, addr, method string, params any) error {
	conn, err := c.peer(addr).connect(ctx, addr, c.mux())
	if err != nil {
		return err
	}
	return conn.Notify(ctx, method, params)
}

// Close closes every connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		p.close()
	}
	c.peers = nil
}

func (c *Client) mux() *Mux {
	if c.Mux == nil {
		return &Mux{}
	}
	return c.Mux
}

func (c *Client) peer(addr string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peers == nil {
		c.peers = make(map[string]*peer)
	}
	p, ok := c.peers[addr]
	if !ok {
		p = &peer{}
		c.peers[addr] = p
	}
	return p
}

func (p *peer) connect(ctx context.Context, addr string, m *Mux) (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		select {
		case <-p.conn.DisconnectNotify():
			p.conn = nil
		default:
			return p.conn, nil
		}
	}
	if p.dialErr != nil && time.Since(p.failedAt) < redialDelay {
		return nil, p.dialErr
	}
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.failedAt = time.Now()
		p.dialErr = eris.Wrapf(galenahead.ErrUnreachable, "connect to %s: %v", addr, err)
		return nil, p.dialErr
	}
	p.dialErr = nil
	p.unanswered = time.Time{}
	// The connection outlives the call that opened it.
	p.conn = m.connect(context.WithoutCancel(ctx), nc)
	return p.conn, nil
}

// asked records that a call begins on conn.
func (p *peer) asked(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == conn && p.unanswered.IsZero() {
		p.unanswered = time.Now()
	}
}

// note records whether a call on conn was answered, and drops a connection on
// which nothing was answered for maxSilence.
func (p *peer) note(conn *Conn, timedOut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != conn {
		return
	}
	if !timedOut {
		p.unanswered = time.Time{}
		return
	}
	if p.unanswered.IsZero() || time.Since(p.unanswered) < maxSilence {
		return
	}
	_ = p.conn.Close()
	p.conn = nil
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		_ = p.conn.Close()
		p.conn = nil
	}
}
