package galenarpc

import (
	"context"
	"errors"
	"net"
	"testing"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
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
