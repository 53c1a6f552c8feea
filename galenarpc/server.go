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
	// MaxConns bounds the open connections; more are closed at once. Zero means no bound.
	MaxConns int

	mu    sync.Mutex
	conns map[*Conn]struct{}
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
		if s.full() {
			_ = c.Close()
			continue
		}
		go s.runConn(ctx, c)
	}
}

// full reports whether there are as many connections as there may be.
func (s *Server) full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.MaxConns > 0 && len(s.conns) >= s.MaxConns
}

func (s *Server) runConn(ctx context.Context, c net.Conn) {
	conn := s.Mux.connect(ctx, c, s.Budget)
	s.track(conn)
	defer s.untrack(conn)
	select {
	case <-ctx.Done():
	case <-conn.DisconnectNotify():
	}
	_ = conn.Close()
}

func (s *Server) track(conn *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = make(map[*Conn]struct{})
	}
	s.conns[conn] = struct{}{}
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
