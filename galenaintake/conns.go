package galenaintake

import (
	"cmp"
	"net"
	"sync"
	"time"
)

// Conns bounds the open connections of a port. At the bound, a new connection takes the place of one
// that waits for its client. It is safe for concurrent use. Its zero value, and nil, bound nothing.
type Conns struct {
	// Max is how many connections may be open. Zero means no bound.
	Max int
	// Displaced is called for each connection that is closed because of Max. It may be nil.
	Displaced func()

	mu   sync.Mutex
	open map[*Conn]struct{}
}

// Conn is an open connection of a Conns. Calls of a nil Conn have no effect.
type Conn struct {
	conns *Conns
	// source is the address, without port, that it comes from.
	source string
	// end closes the connection.
	end func()

	mu sync.Mutex
	// waiting is set while the process waits for bytes of the client, since waitingSince.
	waiting      bool
	waitingSince time.Time
	// served is set once the connection has carried a request.
	served bool
}

// Admit takes a connection, in the place of another one if there are as many as there may be. It
// reports false if none gives way. end closes the connection when it gives way itself, must not
// block, and may be called before Admit returns. The connection counts as waiting for its client.
func (s *Conns) Admit(nc net.Conn, end func()) (*Conn, bool) {
	if s == nil {
		return nil, true
	}
	c := &Conn{conns: s, source: sourceOf(nc), end: end, waiting: true, waitingSince: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Max > 0 && len(s.open) >= s.Max {
		if s.Displaced != nil {
			s.Displaced()
		}
		if !s.displaceOne() {
			return nil, false
		}
	}
	if s.open == nil {
		s.open = map[*Conn]struct{}{}
	}
	s.open[c] = struct{}{}
	return c, true
}

// sourceOf returns the address, without port, that a connection comes from.
func sourceOf(c net.Conn) string {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return c.RemoteAddr().String()
	}
	return host
}

// displaceOne closes the connection that has waited longest for its client, of those that have not
// carried a request, or else of all; the source with the most connections loses first. One whose
// request is being handled is never closed: it reports false if there are no others. mu must be
// held.
func (s *Conns) displaceOne() bool {
	bySource := map[string]int{}
	for c := range s.open {
		bySource[c.source]++
	}
	var victim *Conn
	var since time.Time
	var served bool
	for c := range s.open {
		cSince, cServed, waits := c.waits()
		if !waits {
			continue
		}
		better := victim == nil
		if !better && cServed != served {
			better = !cServed
		} else if !better {
			more := cmp.Compare(bySource[c.source], bySource[victim.source])
			better = more > 0 || more == 0 && cSince.Before(since)
		}
		if better {
			victim, since, served = c, cSince, cServed
		}
	}
	if victim == nil {
		return false
	}
	delete(s.open, victim)
	victim.end()
	return true
}

// Len returns how many connections are open.
func (s *Conns) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// SetWaiting records whether the process waits for bytes of the client.
func (c *Conn) SetWaiting(waiting bool) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting != waiting {
		c.waiting, c.waitingSince = waiting, time.Now()
	}
}

// SetServed records that the connection has carried a request, and that the process waits for the
// next one.
func (c *Conn) SetServed() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served, c.waiting, c.waitingSince = true, true, time.Now()
}

// waits returns since when the process has waited for the client, whether the connection has
// carried a request, and false if the process does not wait.
func (c *Conn) waits() (since time.Time, served, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waitingSince, c.served, c.waiting
}

// Close ends the count of the connection, which the caller closes. It may be called more than once.
func (c *Conn) Close() {
	if c == nil {
		return
	}
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	delete(c.conns.open, c)
}
