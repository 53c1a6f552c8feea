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

// fakeUpstream accepts connections and responds to the nth request, counted over all
// connections, with the nth element of responses. After a response that ends in
// closeMark, it closes the connection.
type fakeUpstream struct {
	listener  net.Listener
	responses []string
}

const closeMark = "<close>"

func newFakeUpstream(t *testing.T, responses ...string) *fakeUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &fakeUpstream{listener: listener, responses: responses}
	go u.run()
	t.Cleanup(func() { _ = listener.Close() })
	return u
}

func (u *fakeUpstream) run() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.serve(c)
	}
}

func (u *fakeUpstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for len(u.responses) > 0 {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		text, closed := strings.CutSuffix(u.responses[0], closeMark)
		u.responses = u.responses[1:]
		if _, err := c.Write([]byte(text)); err != nil || closed {
			return
		}
	}
}

func newRequest(key string) galenahead.Request {
	return galenahead.Request{
		Key: galenahead.RequestKey(key), Service: "counter", Caller: "shop1", Method: http.MethodPost,
		Path: "/quote", Deadline: time.Now().Add(time.Minute),
	}
}

func alwaysValid() bool { return true }

// Guards against returning a response that is truncated, has no length, is too long
// or belongs to another request, and against reporting a sent request as unsent.
func TestSendRejectsDamagedResponses(t *testing.T) {
	for name, tc := range map[string]struct {
		response string
		want     error
	}{
		"whole":           {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Galena-Key: 1-a\r\n\r\nok", nil},
		"chunked":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", nil},
		"interim":         {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", nil},
		"closed":          {closeMark, ErrResponseLost},
		"truncated":       {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok" + closeMark, ErrResponseLost},
		"truncated chunk": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n" + closeMark, ErrResponseLost},
		"no length":       {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok" + closeMark, ErrResponseLost},
		"too long":        {"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n" + strings.Repeat("x", 99), ErrResponseLost},
		"other key":       {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Galena-Key: 1-b\r\n\r\nok", ErrMismatch},
		"other attempt":   {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Galena-Attempt: t0\r\n\r\nok", ErrMismatch},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := newFakeUpstream(t, tc.response)
			s := &Sender{MaxBody: 64}
			defer s.Pool.Close()
			a, err := s.Send(u.listener.Addr().String(), newRequest("1-a"), "t1", time.Now().Add(time.Minute), alwaysValid)
			is.True(errors.Is(err, tc.want))
			if tc.want == nil {
				is.Equal(string(a.Body), "ok")
				is.Equal(a.Outcome, galenahead.OutcomeRan)
			}
		})
	}
}

// Guards against reporting a request as sent if the connection was refused or the
// lease had expired, and against sending on a connection that the upstream closed
// while it was idle.
func TestSendReportsUnsent(t *testing.T) {
	is := is.New(t)
	s := &Sender{}
	defer s.Pool.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	refused := ln.Addr().String()
	is.NoErr(ln.Close())
	until := time.Now().Add(time.Minute)
	_, err = s.Send(refused, newRequest("1-a"), "t1", until, alwaysValid)
	is.True(errors.Is(err, ErrUnsent))

	ok := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	u := newFakeUpstream(t, ok+closeMark, ok)
	addr := u.listener.Addr().String()
	_, err = s.Send(addr, newRequest("1-a"), "t1", until, func() bool { return false })
	is.True(errors.Is(err, ErrUnsent))
	is.Equal(len(u.responses), 2)
	_, err = s.Send(addr, newRequest("1-a"), "t1", until, alwaysValid)
	is.NoErr(err)
	waitForClose(t, s, addr)
	_, err = s.Send(addr, newRequest("1-b"), "t2", until, alwaysValid)
	is.NoErr(err)
}

// waitForClose waits until this end sees that the upstream closed the idle
// connection.
func waitForClose(t *testing.T, s *Sender, addr string) {
	t.Helper()
	c, err := s.Pool.popIdle(addr)
	if err != nil {
		t.Fatal(err)
	}
	for c.isUsable(time.Now()) {
		if t.Context().Err() != nil {
			t.Fatal("the upstream did not close the connection")
		}
	}
	s.Pool.put(addr, c)
}

// Guards against returning the surplus bytes of one response as the response to the
// next request on the connection.
func TestSendDropsConnectionWithExtraBytes(t *testing.T) {
	is := is.New(t)
	ok := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	u := newFakeUpstream(t, ok+"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad", ok)
	s := &Sender{}
	defer s.Pool.Close()
	for _, key := range []string{"1-a", "1-b"} {
		a, err := s.Send(u.listener.Addr().String(), newRequest(key), "t1", time.Now().Add(time.Minute), alwaysValid)
		is.NoErr(err)
		is.Equal(string(a.Body), "ok")
	}
}

// Guards against opening more connections than the limit allows, idle ones included,
// and against keeping connections beyond a lowered limit. Also guards against
// counting connections that were closed or never opened.
func TestPoolLimitsConnections(t *testing.T) {
	is := is.New(t)
	u := newFakeUpstream(t, "unused")
	addr := u.listener.Addr().String()
	var p Pool
	defer p.Close()
	p.Reserve(addr, 2)
	is.True(p.CanReserve(addr, 2))
	p.Reserve(addr, 2)
	is.Equal(p.CanReserve(addr, 2), false)
	is.True(p.CanReserve(addr, 0))
	a, err := p.acquire(addr, time.Now().Add(time.Minute))
	is.NoErr(err)
	b, err := p.acquire(addr, time.Now().Add(time.Minute))
	is.NoErr(err)
	_, err = p.acquire(addr, time.Now().Add(time.Minute))
	is.True(errors.Is(err, errConnectionLimit))
	p.put(addr, a)
	c, err := p.acquire(addr, time.Now().Add(time.Minute))
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
	is.NoErr(u.listener.Close())
	_, err = p.acquire(addr, time.Now().Add(time.Minute))
	is.True(err != nil)
	p.CloseExpired(time.Now())
	is.Equal(len(p.hosts), 0)
}

// Guards against sending a normalized path instead of the path of the request.
func TestSendKeepsPath(t *testing.T) {
	is := is.New(t)
	var c bytes.Buffer
	r := newRequest("1-a")
	r.Path = "/a%2Fb/../c//d?q=%20x"
	is.NoErr(writeRequest(&conn{writer: bufio.NewWriter(&c)}, "10.0.0.1:80", r, "t1"))
	is.True(strings.HasPrefix(c.String(), "POST "+r.Path+" HTTP/1.1\r\n"))
	is.True(strings.Contains(c.String(), "\r\nHost: 10.0.0.1:80\r\n"))
}

// Guards against losing a response if WaitReady returns before its first byte or
// after a part of it.
func TestFinishAfterPartialResponse(t *testing.T) {
	is := is.New(t)
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for cut := range len(ok) + 1 {
		near, far := net.Pipe()
		c, err := newConn(near)
		is.NoErr(err)
		s := &Sender{}
		sent := &PendingRequest{sender: s, conn: c, addr: "a", request: newRequest("1-a"), resp: fasthttp.AcquireResponse()}
		go func() { _, _ = far.Write([]byte(ok[:cut])) }()
		if cut == 0 {
			is.NoErr(near.SetDeadline(time.Unix(1, 0)))
		}
		is.Equal(sent.WaitReady(), cut == len(ok))
		go func() { _, _ = far.Write([]byte(ok[cut:])) }()
		a, err := sent.Finish(time.Now().Add(time.Minute))
		is.NoErr(err)
		is.Equal(string(a.Body), "ok")
		is.Equal(len(s.Pool.hosts["a"].idle), 1)
		is.NoErr(near.Close())
	}
}
