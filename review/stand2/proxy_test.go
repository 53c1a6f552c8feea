package stand2

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// link is the network between a minion and the system. While it is cut one way, what is sent to
// the minion does not arrive; what the minion sends does. Bytes that are held up arrive once the
// cut has healed, as those that TCP sends again.
type link struct{ cut atomic.Bool }

// pass opens a proxy for target on an address. inbound tells that the minion is the target.
func (l *link) pass(listen, target string, inbound bool) string {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		fail("%v", err)
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.serve(c, target, inbound)
		}
	}()
	return ln.Addr().String()
}

func (l *link) serve(c net.Conn, target string, inbound bool) {
	if inbound {
		l.wait()
	}
	s, err := net.DialTimeout("tcp", target, 500*time.Millisecond)
	if err != nil {
		_ = c.Close()
		return
	}
	go l.copy(s, c, inbound)
	l.copy(c, s, !inbound)
}

func (l *link) wait() {
	for l.cut.Load() {
		time.Sleep(5 * time.Millisecond)
	}
}

// copy passes bytes on, to the minion only while the link is not cut.
func (l *link) copy(to, from net.Conn, toMinion bool) {
	defer func() { _ = to.Close() }()
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		if toMinion {
			l.wait()
		}
		if n > 0 {
			if _, werr := to.Write(b[:n]); werr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				_ = from.Close()
			}
			return
		}
	}
}

// freePort returns a port that is free on an address.
func freePort(host string) string {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		fail("%v", err)
	}
	defer func() { _ = l.Close() }()
	_, port, _ := net.SplitHostPort(l.Addr().String())
	return port
}
