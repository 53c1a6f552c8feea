package fleet

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// Relay forwards TCP connections to one address and counts the bytes.
type Relay struct {
	target   string
	listener net.Listener
	bytes    atomic.Int64

	mu     sync.Mutex
	closed bool
	conns  []net.Conn
}

// NewRelay listens on a free loopback port and forwards to target.
func NewRelay(target string) (*Relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen for relay")
	}
	r := &Relay{target: target, listener: ln}
	go r.acceptLoop()
	return r, nil
}

// Address returns the address at which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Bytes returns the number of bytes forwarded so far in both directions.
func (r *Relay) Bytes() int64 { return r.bytes.Load() }

// Close closes the listener and every connection.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for _, c := range r.conns {
		_ = c.Close()
	}
}

func (r *Relay) acceptLoop() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(c)
	}
}

func (r *Relay) forward(c net.Conn) {
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = c.Close()
		return
	}
	if !r.track(c, target) {
		return
	}
	go r.copyBytes(target, c)
	r.copyBytes(c, target)
}

// track registers connections so that Close closes them. If Close was called before,
// it closes them at once and returns false.
func (r *Relay) track(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		for _, c := range conns {
			_ = c.Close()
		}
		return false
	}
	r.conns = append(r.conns, conns...)
	return true
}

// copyBytes forwards and counts the bytes of one direction. It closes both
// connections when either fails or ends.
func (r *Relay) copyBytes(to, from net.Conn) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		r.bytes.Add(int64(n))
		if _, werr := to.Write(buf[:n]); err != nil || werr != nil {
			return
		}
	}
}
