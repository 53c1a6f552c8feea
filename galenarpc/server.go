package galenarpc

import (
	"context"
	"net"
	"sync"

	"github.com/galenahead/galenahead/galenaintake"
)

// Server accepts connections and serves their calls with the handlers of Mux.
type Server struct {
	// Mux holds the handlers. It must not change while Serve runs.
	Mux *Mux
	// Budget bounds the long messages that are being read or handled. It may be nil.
	Budget *galenaintake.Budget
	// MaxConns bounds the open connections. At the bound, a new connection takes the place of the
	// oldest one that has said nothing, or is closed if there is none. Zero means no bound.
	MaxConns int

	mu    sync.Mutex
	conns map[*Conn]*stream
}

// Serve accepts connections on ln until ctx ends, then closes ln and every
// connection and returns nil. It returns an error if ln fails before that.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	defer s.closeAll()
	for {
		c, err := ln.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		if !s.makeRoom() {
			_ = c.Close()
			continue
		}
		conn, str := s.Mux.connect(ctx, c, s.Budget)
		s.track(conn, str)
		go s.runConn(ctx, conn)
	}
}

// makeRoom reports whether there may be one more connection. It closes the oldest one that has said
// nothing if there are as many as there may be.
func (s *Server) makeRoom() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.MaxConns == 0 || len(s.conns) < s.MaxConns {
		return true
	}
	var silent *Conn
	for conn, str := range s.conns {
		if !str.spoken.Load() && (silent == nil || str.since.Before(s.conns[silent].since)) {
			silent = conn
		}
	}
	if silent == nil {
		return false
	}
	_ = s.conns[silent].conn.Close()
	delete(s.conns, silent)
	return true
}

func (s *Server) runConn(ctx context.Context, conn *Conn) {
	defer s.untrack(conn)
	select {
	case <-ctx.Done():
	case <-conn.DisconnectNotify():
	}
	_ = conn.Close()
}

func (s *Server) track(conn *Conn, str *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = make(map[*Conn]*stream)
	}
	s.conns[conn] = str
}

func (s *Server) untrack(conn *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}
