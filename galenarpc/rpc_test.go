package galenarpc

import (
	"bytes"
	"context"
	"errors"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenaintake"
)

// Guards against a sentinel error of a handler that the client can no longer
// test for with errors.Is.
func TestCallKeepsSentinelErrors(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	m := &Mux{}
	Handle(m, "sum", func(_ context.Context, p []int) (int, error) {
		if len(p) == 0 {
			return 0, eris.Wrap(galenahead.ErrNotLeader, "sum")
		}
		return p[0] + p[1], nil
	})
	done := make(chan error, 1)
	s := &Server{Mux: m}
	go func() { done <- s.Serve(ctx, ln) }()
	c := &Client{}
	defer c.Close()

	var n int
	is.NoErr(c.Call(ctx, ln.Addr().String(), "sum", []int{2, 3}, &n))
	is.Equal(n, 5)
	err = c.Call(ctx, ln.Addr().String(), "sum", []int{}, &n)
	is.True(errors.Is(err, galenahead.ErrNotLeader))
	cancel()
	is.NoErr(<-done)
}

// Guards against connections that say nothing and keep out other daemons, and against one that gives
// way although it is used.
func TestSilentConnectionsGiveWay(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	m := &Mux{}
	Handle(m, "double", func(_ context.Context, n int) (int, error) { return 2 * n, nil })
	done := make(chan error, 1)
	s := &Server{Mux: m, Conns: galenaintake.Conns{Max: 3}}
	go func() { done <- s.Serve(ctx, ln) }()
	used := &Client{}
	defer used.Close()
	n := 0
	is.NoErr(used.Call(ctx, ln.Addr().String(), "double", 1, &n))
	for range 20 {
		c, err := net.Dial("tcp", ln.Addr().String())
		is.NoErr(err)
		defer func() { _ = c.Close() }()
	}
	other := &Client{}
	defer other.Close()
	is.NoErr(other.Call(ctx, ln.Addr().String(), "double", 2, &n))
	is.Equal(n, 4)
	is.NoErr(used.Call(ctx, ln.Addr().String(), "double", 3, &n))
	is.True(s.Conns.Len() <= 3)
	cancel()
	is.NoErr(<-done)
}

// Guards against a call that ends the process, and against one whose failure leaves no line.
func TestPanicFailsOnlyItsCall(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&log)
	mux := &Mux{Logger: logger}
	Handle(mux, "fault", func(context.Context, int) (int, error) { panic("fault") })
	Handle(mux, "double", func(_ context.Context, n int) (int, error) { return 2 * n, nil })
	err := mux.Call(t.Context(), "fault", 1, nil)
	is.True(err != nil)
	is.True(strings.Contains(log.String(), "method=fault"))
	n := 0
	is.NoErr(mux.Call(t.Context(), "double", 2, &n))
	is.Equal(n, 4)
}

// Guards against a call of the process to itself that takes a connection, or that waits longer
// than its caller.
func TestLocalCallsNeedNoConnection(t *testing.T) {
	is := is.New(t)
	mux := &Mux{}
	release := make(chan struct{})
	Handle(mux, "double", func(_ context.Context, n int) (int, error) { return 2 * n, nil })
	Handle(mux, "leader", func(context.Context, int) (int, error) { return 0, galenahead.ErrNotLeader })
	Handle(mux, "slow", func(context.Context, int) (int, error) { <-release; return 0, nil })
	c := &LocalFirst{RPCClient: &Client{}, Self: "10.0.0.1:1", Mux: mux}
	n := 0
	is.NoErr(c.Call(t.Context(), "10.0.0.1:1", "double", 2, &n))
	is.Equal(n, 4)
	is.True(errors.Is(c.Call(t.Context(), "10.0.0.1:1", "leader", 2, &n), galenahead.ErrNotLeader))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(errors.Is(c.Call(ctx, "10.0.0.1:1", "slow", 2, &n), context.Canceled))
	close(release)
}
