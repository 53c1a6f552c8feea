package galenarpc

import (
	"net"
	"sync"
	"time"

	"github.com/galenahead/galenahead/galenaintake"
)

const (
	// maxCalls bounds the calls of one connection that are under way. The next ones stay unread.
	maxCalls = 256
	// callBytes is what a call takes beside its message, and decodedFactor how much larger a message
	// is together with what is decoded from it.
	callBytes     = 16 << 10
	decodedFactor = 2
	// writeTimeout bounds the write of an answer to a peer that does not read.
	writeTimeout = 10 * time.Second
)

// connIntake bounds what a connection holds of a server. All methods of a nil connIntake, which is
// that of a client's connection, bound nothing.
type connIntake struct {
	counted *galenaintake.Conn
	hold    *galenaintake.Hold
	// slots has an element for each call that is under way.
	slots chan struct{}
	// displaced is closed once the connection was given up for the sake of others.
	displaced chan struct{}
	once      sync.Once
	conn      net.Conn

	mu sync.Mutex
	// underWay counts the calls under way, and closed is set once the connection has ended.
	underWay int
	closed   bool
}

// newConnIntake returns the bounds of a connection, or false if there is no room for it.
func (s *Server) newConnIntake(c net.Conn) (*connIntake, bool) {
	i := &connIntake{slots: make(chan struct{}, maxCalls), displaced: make(chan struct{}), conn: c}
	var ok bool
	if i.counted, ok = s.Conns.Admit(c, i.giveUp); !ok {
		return nil, false
	}
	i.hold = s.Budget.OpenConn(i.giveUp)
	return i, true
}

// giveUp ends the connection for the sake of others.
func (i *connIntake) giveUp() {
	i.once.Do(func() { close(i.displaced) })
	_ = i.conn.Close()
}

// unbounded is the hold of connections that bound nothing.
var unbounded = &galenaintake.Hold{}

// connHold returns the hold of the connection.
func (i *connIntake) connHold() *galenaintake.Hold {
	if i == nil {
		return unbounded
	}
	return i.hold
}

// charge charges n bytes, and reports whether there is room for them.
func (i *connIntake) charge(n int64) bool { return i.connHold().Grow(n) }

// force charges n bytes that are held already.
func (i *connIntake) force(n int64) { i.connHold().Force(n) }

// release ends a charge of n bytes.
func (i *connIntake) release(n int64) { i.connHold().Shrink(n) }

// begin begins a call, once there are not too many under way. It reports false if the connection was
// given up before.
func (i *connIntake) begin() bool {
	if i == nil {
		return true
	}
	select {
	case i.slots <- struct{}{}:
	case <-i.displaced:
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.underWay++
	i.counted.SetWaiting(false)
	return true
}

// end ends a call whose message was charged with n bytes.
func (i *connIntake) end(n int64) {
	if i == nil {
		return
	}
	i.release(n)
	<-i.slots
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.underWay--; i.underWay > 0 {
		return
	}
	i.counted.SetServed()
	if i.closed {
		i.hold.Close()
	}
}

// close ends the connection's charges, once its calls have ended.
func (i *connIntake) close() {
	i.counted.Close()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closed = true
	if i.underWay == 0 {
		i.hold.Close()
	}
}
