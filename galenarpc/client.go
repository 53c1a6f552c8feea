package galenarpc

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/galenahead/galenahead"
)

const (
	// dialTimeout limits one connection attempt.
	dialTimeout = time.Second
	// redialDelay is the shortest time between a failed connection attempt and
	// the next attempt to the same peer, so that an unreachable peer costs little.
	redialDelay = 200 * time.Millisecond
	// maxUnansweredTime is how long calls may go without any reply before a call
	// that times out closes the connection. The peer's process may have stopped while
	// its kernel still acknowledges what arrives.
	maxUnansweredTime = 2 * time.Second
)

// Client implements galenahead.RPCClient and keeps one connection to each peer that
// it calls. The zero value is ready to use.
type Client struct {
	// Mux serves the calls and notifications that peers send on the client's
	// connections. It may be nil.
	Mux *Mux
	// Stamped makes calls say how old they are and how long their callers wait, for methods
	// whose calls wait for their turn.
	Stamped bool

	mu    sync.Mutex
	peers map[string]*peer
}

type peer struct {
	mu           sync.Mutex
	conn         *Conn
	dialFailedAt time.Time
	dialErr      error
	// unansweredSince is the start of the first call since the last reply. It is
	// zero if no call started since then.
	unansweredSince time.Time
}

// Call calls method of the peer at addr with params and decodes the reply into
// result.
func (c *Client) Call(ctx context.Context, addr, method string, params, result any) error {
	p := c.peer(addr)
	conn, err := p.connect(ctx, addr, c.mux())
	if err != nil {
		return err
	}
	p.recordCallStart(conn)
	var opts []jsonrpc2.CallOption
	if c.Stamped {
		opts = withStamp(ctx)
	}
	err = conn.Call(ctx, method, params, result, opts...)
	p.recordCallEnd(conn, ctx.Err() != nil)
	return decodeError(err)
}

// Notify calls method of the peer at addr with params without waiting for a reply.
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

// connect returns the open connection to the peer, or dials a new one. Within
// redialDelay of a failed attempt it returns the error of that attempt.
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
	if p.dialErr != nil && time.Since(p.dialFailedAt) < redialDelay {
		return nil, p.dialErr
	}
	nc, err := dial(ctx, addr)
	if err != nil {
		p.dialFailedAt = time.Now()
		p.dialErr = eris.Wrapf(galenahead.ErrUnreachable, "connect to %s: %v", addr, err)
		return nil, p.dialErr
	}
	p.dialErr = nil
	p.unansweredSince = time.Time{}
	// The connection outlives the call that opened it and the context of that call.
	p.conn = m.connect(context.WithoutCancel(ctx), nc, nil)
	return p.conn, nil
}

// dial opens a connection whose data does not stay unacknowledged for long.
func dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, Control: limitUnackedTime}
	return d.DialContext(ctx, "tcp", addr)
}

// recordCallStart records that a call starts on conn.
func (p *peer) recordCallStart(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == conn && p.unansweredSince.IsZero() {
		p.unansweredSince = time.Now()
	}
}

// recordCallEnd records the end of a call on conn. A call whose context has ended
// counts as unanswered, and closes conn if no call on it was answered for
// maxUnansweredTime.
func (p *peer) recordCallEnd(conn *Conn, ctxEnded bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != conn {
		return
	}
	if !ctxEnded {
		p.unansweredSince = time.Time{}
		return
	}
	if p.unansweredSince.IsZero() || time.Since(p.unansweredSince) < maxUnansweredTime {
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
