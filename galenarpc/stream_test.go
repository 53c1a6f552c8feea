package galenarpc

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/galenahead/galenahead"
)

// serve serves m until the test ends and returns its address.
func serve(t *testing.T, m *Mux) string {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = (&Server{Mux: m}).Serve(ctx, ln)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return ln.Addr().String()
}

// Guards against a direct call that is answered unlike others, and against a notification
// that is answered.
func TestDirectMethods(t *testing.T) {
	is := is.New(t)
	m := &Mux{Logger: logrus.New()}
	m.Logger.SetOutput(io.Discard)
	Handle(m, "double", func(_ context.Context, n int) (int, error) {
		switch {
		case n == 0:
			return 0, galenahead.ErrOverloaded
		case n < 0:
			panic("negative")
		}
		return 2 * n, nil
	})
	Handle(m, "plain", func(_ context.Context, s string) (string, error) { return s + s, nil })
	addr := serve(t, m)
	c := &Client{}
	defer c.Close()
	ctx := t.Context()
	n := 0
	is.True(errors.Is(c.Call(ctx, addr, "double", 0, &n), galenahead.ErrOverloaded))
	is.NoErr(c.Call(ctx, addr, "double", 4, &n))
	is.Equal(n, 8)
	is.True(c.Call(ctx, addr, "double", "text", &n) != nil) // parameters of another type
	is.True(c.Call(ctx, addr, "double", -1, &n) != nil)     // a handler that panics
	is.True(IsUnknownMethod(c.Call(ctx, addr, "triple", 1, &n)))
	is.NoErr(m.Call(ctx, "double", 5, &n)) // within the process
	is.Equal(n, 10)

	long := strings.Repeat("x", 1<<20)
	var s string
	is.NoErr(c.Call(ctx, addr, "plain", long, &s))
	is.Equal(len(s), 2<<20)
	is.NoErr(c.Notify(ctx, addr, "double", 1))
	is.NoErr(c.Call(ctx, addr, "double", 6, &n)) // the notification got no answer
	is.Equal(n, 12)
}

// Guards against a call that goes on for a caller whose connection has ended.
func TestDirectCallEndsWithItsConnection(t *testing.T) {
	m := &Mux{}
	began, ended := make(chan struct{}), make(chan struct{})
	Handle(m, "wait", func(ctx context.Context, _ int) (int, error) {
		close(began)
		<-ctx.Done()
		close(ended)
		return 0, ctx.Err()
	})
	addr := serve(t, m)
	c := &Client{}
	go func() { _ = c.Call(t.Context(), addr, "wait", 1, nil) }()
	<-began
	c.Close()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the call goes on")
	}
}

// Guards against a method that is taken from the parameters of another call.
func TestFrameMethod(t *testing.T) {
	is := is.New(t)
	for frame, method := range map[string]string{
		`{"id":1,"jsonrpc":"2.0","method":"a.b","params":{"x":1}}`:                               "a.b",
		`{"jsonrpc":"2.0","method":"a.b","params":null}`:                                         "a.b",
		`{"id":1,"jsonrpc":"2.0","method":"other","params":{"jsonrpc":"2.0","method":"a.b"}}`:    "other",
		`{"id":1,"jsonrpc":"2.0","result":"\"jsonrpc\":\"2.0\",\"method\":\"a.b\",\"params\":"}`: "",
		`{"id":1,"jsonrpc":"2.0","method":"a.b"}`:                                                "",
		`,"params":`: "",
		``:           "",
		`{"id":1,"jsonrpc":"2.0","method":","params":`:                                            "",
		`{"id":1,"jsonrpc":"2.0","meta":{"limit_ms":600,"sent_ms":7},"method":"a.b","params":{}}`: "a.b",
		`{"id":1,"jsonrpc":"2.0","meta":{"limit_ms":"x"},"method":"a.b","params":{}}`:             "",
		`{"id":1,"jsonrpc":"2.0","meta":{,"params":`:                                              "",
	} {
		got, _ := parseHead([]byte(frame))
		is.Equal(got, method)
	}
}

// Guards against a malformed message that ends the process, or that takes the memory which
// its prefix names.
func TestMalformedFrameEndsOnlyItsConnection(t *testing.T) {
	is := is.New(t)
	m := &Mux{}
	Handle(m, "double", func(_ context.Context, n int) (int, error) { return 2 * n, nil })
	addr := serve(t, m)
	send := func(prefix uint64, body string) (answer string) {
		conn, err := net.Dial("tcp", addr)
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		b := binary.AppendUvarint(nil, prefix)
		_, err = conn.Write(append(b, body...))
		is.NoErr(err)
		if prefix > uint64(len(body)) {
			is.NoErr(conn.(*net.TCPConn).CloseWrite())
		}
		is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
		r := bufio.NewReader(conn)
		n, err := binary.ReadUvarint(r)
		if err != nil {
			is.Equal(err, io.EOF)
			return ""
		}
		frame := make([]byte, n)
		_, err = io.ReadFull(r, frame)
		is.NoErr(err)
		return string(frame)
	}
	is.Equal(send(1<<60, "{}"), "")
	is.Equal(send(2, "{x"), "")
	is.Equal(send(1000, "{}"), "")
	broken := `{"id":7,"jsonrpc":"2.0","method":"double","params":{`
	is.Equal(send(uint64(len(broken)), broken), "")
	wrong := `{"id":7,"jsonrpc":"2.0","method":"double","params":"x"}`
	var resp struct {
		ID    int
		Error struct{ Code int }
	}
	is.NoErr(json.Unmarshal([]byte(send(uint64(len(wrong)), wrong)), &resp))
	is.Equal(resp.ID, 7)
	is.Equal(resp.Error.Code, -32602)

	c := &Client{}
	defer c.Close()
	n := 0
	is.NoErr(c.Call(t.Context(), addr, "double", 4, &n)) // others are still served
	is.Equal(n, 8)
}

// sliceError is an error that can't be the key of a map.
type sliceError []string

func (e sliceError) Error() string { return strings.Join(e, ", ") }

// Guards against an error of a handler that ends the process while it is encoded.
func TestErrorOfAnyTypeIsEncoded(t *testing.T) {
	is := is.New(t)
	m := &Mux{}
	Handle(m, "direct", func(context.Context, int) (int, error) { return 0, sliceError{"one", "two"} })
	m.HandleRaw("raw", func(context.Context, *Conn, json.RawMessage) (any, error) { return nil, sliceError{"one", "two"} })
	addr := serve(t, m)
	c := &Client{}
	defer c.Close()
	for _, method := range []string{"direct", "raw"} {
		err := c.Call(t.Context(), addr, method, 1, nil)
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), "one, two"))
	}
}

// Guards against a handler that stays in use after another was registered for its method.
func TestLastHandlerServesTheMethod(t *testing.T) {
	is := is.New(t)
	m := &Mux{}
	Handle(m, "x", func(context.Context, int) (int, error) { return 1, nil })
	m.HandleRaw("x", func(context.Context, *Conn, json.RawMessage) (any, error) { return 2, nil })
	addr := serve(t, m)
	c := &Client{}
	defer c.Close()
	n := 0
	is.NoErr(c.Call(t.Context(), addr, "x", 1, &n))
	is.Equal(n, 2)
}
