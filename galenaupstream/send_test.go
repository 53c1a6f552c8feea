package galenaupstream

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/galenahead/galenahead"
)

// upstream accepts connections and answers the nth request, counted over all
// connections, with the nth script entry. An entry that ends in closeMark
// closes the connection behind its bytes.
type upstream struct {
	ln     net.Listener
	script []string
}

const closeMark = "<close>"

func newUpstream(t *testing.T, script ...string) *upstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{ln: ln, script: script}
	go u.run()
	t.Cleanup(func() { _ = ln.Close() })
	return u
}

func (u *upstream) run() {
	for {
		c, err := u.ln.Accept()
		if err != nil {
			return
		}
		u.serve(c)
	}
}

func (u *upstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for len(u.script) > 0 {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		text, closed := strings.CutSuffix(u.script[0], closeMark)
		u.script = u.script[1:]
		if _, err := c.Write([]byte(text)); err != nil || closed {
			return
		}
	}
}

func request(key string) galenahead.Request {
	return galenahead.Request{
		Key: galenahead.RequestKey(key), Service: "counter", Caller: "shop1", Method: http.MethodPost,
		Path: "/quote", Deadline: time.Now().Add(time.Minute),
	}
}

func always() bool { return true }

// Guards against passing on an answer that is truncated, without a length, too
// long, or another request's, and against calling a sent request unsent.
func TestSendRefusesDamagedAnswers(t *testing.T) {
	for name, tc := range map[string]struct {
		answer string
		want   error
	}{
		"whole":           {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Galena-Key: 1-a\r\n\r\nok", nil},
		"chunked":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", nil},
		"interim":         {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", nil},
		"closed":          {closeMark, ErrAnswerLost},
		"truncated":       {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok" + closeMark, ErrAnswerLost},
		"truncated chunk": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n" + closeMark, ErrAnswerLost},
		"no length":       {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok" + closeMark, ErrAnswerLost},
		"too long":        {"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n" + strings.Repeat("x", 99), ErrAnswerLost},
		"other key":       {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Galena-Key: 1-b\r\n\r\nok", ErrMismatch},
		"other attempt":   {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Galena-Attempt: t0\r\n\r\nok", ErrMismatch},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := newUpstream(t, tc.answer)
			s := &Sender{MaxBody: 64}
			defer s.Pool.Close()
			a, err := s.Send(u.ln.Addr().String(), request("1-a"), "t1", time.Now().Add(time.Minute), always)
			is.True(errors.Is(err, tc.want))
			if tc.want == nil {
				is.Equal(string(a.Body), "ok")
				is.Equal(a.Outcome, galenahead.OutcomeRan)
			}
		})
	}
}

// Guards against reporting a refused connection, an expired lease or a
// connection closed while idle as sent, and against sending any of them.
func TestSendReportsUnsent(t *testing.T) {
	is := is.New(t)
	s := &Sender{}
	defer s.Pool.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	refused := ln.Addr().String()
	is.NoErr(ln.Close())
	until := time.Now().Add(time.Minute)
	_, err = s.Send(refused, request("1-a"), "t1", until, always)
	is.True(errors.Is(err, ErrUnsent))

	ok := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	u := newUpstream(t, ok+closeMark, ok)
	addr := u.ln.Addr().String()
	_, err = s.Send(addr, request("1-a"), "t1", until, func() bool { return false })
	is.True(errors.Is(err, ErrUnsent))
	is.Equal(len(u.script), 2)
	_, err = s.Send(addr, request("1-a"), "t1", until, always)
	is.NoErr(err)
	waitClosed(t, s, addr)
	_, err = s.Send(addr, request("1-b"), "t2", until, always)
	is.NoErr(err)
}

// waitClosed waits until the upstream's close of the idle connection arrived.
func waitClosed(t *testing.T, s *Sender, addr string) {
	t.Helper()
	c, err := s.Pool.pop(addr)
	if err != nil {
		t.Fatal(err)
	}
	for c.alive(time.Now()) {
		if t.Context().Err() != nil {
			t.Fatal("connection was not closed")
		}
	}
	s.Pool.put(addr, c)
}

// Guards against handing the tail of an over-long answer to the next request
// on the same connection.
func TestSendDropsConnectionWithExtraBytes(t *testing.T) {
	is := is.New(t)
	ok := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	u := newUpstream(t, ok+"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad", ok)
	s := &Sender{}
	defer s.Pool.Close()
	for _, key := range []string{"1-a", "1-b"} {
		a, err := s.Send(u.ln.Addr().String(), request(key), "t1", time.Now().Add(time.Minute), always)
		is.NoErr(err)
		is.Equal(string(a.Body), "ok")
	}
}

// Guards against more connections than the limit, counting idle ones, against
// keeping those beyond a lowered limit, and against counts that leak with
// connections that were closed or never opened.
func TestPoolLimit(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, "unused")
	addr := u.ln.Addr().String()
	var p Pool
	defer p.Close()
	p.Reserve(addr, 2)
	is.True(p.Room(addr, 2))
	p.Reserve(addr, 2)
	is.Equal(p.Room(addr, 2), false)
	is.True(p.Room(addr, 0))
	a, err := p.get(addr, time.Now().Add(time.Minute))
	is.NoErr(err)
	b, err := p.get(addr, time.Now().Add(time.Minute))
	is.NoErr(err)
	_, err = p.get(addr, time.Now().Add(time.Minute))
	is.True(errors.Is(err, errNoConnection))
	p.put(addr, a)
	c, err := p.get(addr, time.Now().Add(time.Minute))
	is.NoErr(err)
	is.True(c == a)
	p.Reserve(addr, 1)
	p.put(addr, a)
	p.put(addr, b)
	is.Equal(p.hosts[addr].open, 1)
	is.Equal(len(p.hosts[addr].idle), 1)
	p.Close()
	for range 3 {
		p.Release(addr)
	}
	is.NoErr(u.ln.Close())
	_, err = p.get(addr, time.Now().Add(time.Minute))
	is.True(err != nil)
	p.Sweep(time.Now())
	is.Equal(len(p.hosts), 0)
}

// Guards against a path that is changed on its way to the upstream.
func TestSendKeepsPath(t *testing.T) {
	is := is.New(t)
	var c bytes.Buffer
	r := request("1-a")
	r.Path = "/a%2Fb/../c//d?q=%20x"
	is.NoErr(writeRequest(&conn{w: bufio.NewWriter(&c)}, "10.0.0.1:80", r, "t1"))
	is.True(strings.HasPrefix(c.String(), "POST "+r.Path+" HTTP/1.1\r\n"))
	is.True(strings.Contains(c.String(), "\r\nHost: 10.0.0.1:80\r\n"))
}

// Guards against an answer that is lost when the wait for it is interrupted at
// the deadline, before its first byte or within it.
func TestSentGoesOnAfterDeadline(t *testing.T) {
	is := is.New(t)
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for cut := range len(ok) + 1 {
		near, far := net.Pipe()
		c, err := newConn(near)
		is.NoErr(err)
		s := &Sender{}
		sent := &Sent{sender: s, conn: c, addr: "a", request: request("1-a"), resp: fasthttp.AcquireResponse()}
		go func() { _, _ = far.Write([]byte(ok[:cut])) }()
		if cut == 0 {
			is.NoErr(near.SetDeadline(time.Unix(1, 0)))
		}
		is.Equal(sent.Ready(), cut == len(ok))
		go func() { _, _ = far.Write([]byte(ok[cut:])) }()
		a, err := sent.Finish(time.Now().Add(time.Minute))
		is.NoErr(err)
		is.Equal(string(a.Body), "ok")
		is.Equal(len(s.Pool.hosts["a"].idle), 1)
		is.NoErr(near.Close())
	}
}
