// Package galenacrowd plays crowds of clients that keep to no limits against running processes, and
// reads what a process takes of its machine. It is for tests only.
package galenacrowd

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// writeTimeout bounds what a client sends to a process that does not read.
	writeTimeout = 2 * time.Second
	// holdTime is for how long a crowd that has sent all holds on before Start returns.
	holdTime = 500 * time.Millisecond
)

// Client is what each client of a crowd sends on its connection. It returns when it has sent all, or
// with an error when the process closes the connection or does not read.
type Client func(conn net.Conn) error

// Crowd is a crowd of clients whose connections are open.
type Crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// Start lets n clients loose at addr at once. It returns when each of them has sent all, or can't,
// with their connections still open.
func Start(ctx context.Context, addr string, n int, client Client) *Crowd {
	c := &Crowd{}
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() { c.run(ctx, addr, client) })
	}
	wg.Wait()
	time.Sleep(holdTime)
	return c
}

// run plays one client. An error means that the process refuses it, which it may.
func (c *Crowd) run(ctx context.Context, addr string, client Client) {
	d := net.Dialer{Timeout: writeTimeout}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return
	}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_ = client(conn)
}

// Stop closes the connections of the crowd.
func (c *Crowd) Stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = nil
}

// CheckFileLimit fails unless this process may have the connections of n clients open.
func CheckFileLimit(n int) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return eris.Wrap(err, "read the limit of descriptors")
	}
	if limit.Cur < uint64(2*n) {
		return eris.Errorf("%d descriptors are too few for %d clients", limit.Cur, n)
	}
	return nil
}
