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
	// Budget bounds the messages that are being read or handled, and the answers that were not
	// read. It may be nil.
	Budget *galenaintake.Budget
	// Conns bounds the open connections. Its zero value bounds nothing.
	Conns galenaintake.Conns

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
		intake, ok := s.newConnIntake(ctx, c)
		if !ok {
			_ = c.Close()
			continue
		}
		conn := s.Mux.connect(intake.ctx, c, intake)
		s.track(conn)
		go s.runConn(ctx, conn, intake)
	}
}

func (s *Server) runConn(ctx context.Context, conn *Conn, intake *connIntake) {
	defer s.untrack(conn)
	defer intake.close()
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
