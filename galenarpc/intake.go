package galenarpc

import (
	"bytes"
	"context"
	"net"
	"sync"
	"time"

	"github.com/galenahead/galenahead/galenaintake"
)

const (
	// maxCalls bounds the calls of one connection that are under way. The next ones stay unread.
	maxCalls = 256
	// callBytes is what a call takes beside its message, and elementBytes what an object, a list or an
	// element of one takes decoded, beside its text.
	callBytes    = 16 << 10
	elementBytes = 128
	// smallFrame is the length of a message up to which callBytes covers what is decoded from it.
	smallFrame = 512
	// chargeWait is how long a message waits for room before its connection is closed, and chargeRetry
	// the interval of its attempts.
	chargeWait  = 500 * time.Millisecond
	chargeRetry = 10 * time.Millisecond
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
	conn  net.Conn
	// ctx is that of the calls. It ends when the connection is given up for the sake of others.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// underWay counts the calls under way, and closed is set once the connection has ended.
	underWay int
	closed   bool
}

// newConnIntake returns the bounds of a connection, or false if there is no room for it.
func (s *Server) newConnIntake(ctx context.Context, c net.Conn) (*connIntake, bool) {
	i := &connIntake{slots: make(chan struct{}, maxCalls), conn: c}
	i.ctx, i.cancel = context.WithCancel(ctx)
	var ok bool
	if i.counted, ok = s.Conns.Admit(c, i.giveUp); !ok {
		i.cancel()
		return nil, false
	}
	i.hold = s.Budget.OpenConn(i.giveUp)
	return i, true
}

// giveUp ends the connection for the sake of others, and the calls on it.
func (i *connIntake) giveUp() {
	i.cancel()
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

// charge charges n bytes, once there is room for them. It reports false if there is none for too long.
func (i *connIntake) charge(n int64) bool {
	if i.connHold().Grow(n) {
		return true
	}
	for end := time.Now().Add(chargeWait); time.Now().Before(end); {
		select {
		case <-i.ctx.Done():
			return false
		case <-time.After(chargeRetry):
		}
		if i.hold.Grow(n) {
			return true
		}
	}
	return false
}

// decodedBytes returns about how much memory a JSON message takes once it is decoded.
func decodedBytes(data []byte) int64 {
	n := int64(len(data))
	if n <= smallFrame {
		return n
	}
	for len(data) > 0 {
		text := bytes.IndexByte(data, '"')
		if text < 0 {
			text = len(data)
		}
		for _, begin := range []byte("{[,") {
			n += elementBytes * int64(bytes.Count(data[:text], []byte{begin}))
		}
		data = data[text+textLength(data[text:]):]
	}
	return n
}

// textLength returns the length of the JSON text at the beginning of data, with its quotes.
func textLength(data []byte) int {
	for i := 1; i < len(data); {
		quote := bytes.IndexByte(data[i:], '"')
		if quote < 0 {
			return len(data)
		}
		i += quote + 1
		escapes := 0
		for k := i - 2; k > 0 && data[k] == '\\'; k-- {
			escapes++
		}
		if escapes%2 == 0 {
			return i
		}
	}
	return len(data)
}

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
	case <-i.ctx.Done():
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.underWay++
	// The connection that was used least recently gives way, also if calls are under way: some wait
	// for long.
	i.counted.SetServed()
	return true
}

// end ends a call whose message was charged with n bytes.
func (i *connIntake) end(n int64) {
	if i == nil {
		return
	}
	i.release(n)
	<-i.slots
	i.counted.SetServed()
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.underWay--; i.underWay == 0 && i.closed {
		i.hold.Close()
	}
}

// close ends the connection's charges, once its calls have ended.
func (i *connIntake) close() {
	i.cancel()
	i.counted.Close()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closed = true
	if i.underWay == 0 {
		i.hold.Close()
	}
}
