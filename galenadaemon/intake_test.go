package galenadaemon

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/galenahead/galenahead/galenaintake"
)

// Guards against answers that stay charged, against ones of clients that don't read which keep the room,
// and against bodies of status requests that are read.
func TestAnswersAreChargedUntilTheyAreRead(t *testing.T) {
	is := is.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	const answer = 8 << 20 // more than the buffers of a connection take
	intake := &Intake{Budget: &galenaintake.Budget{Bytes: 2*answer + 1}, MaxBody: func() int { return 10 }, Logger: log}
	handler := func(c *fasthttp.RequestCtx) { intake.Answer(c, make([]byte, answer)) }
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- ServeHTTP(ctx, NewServer(handler, intake, log), ln) }()
	request := func(header string) net.Conn {
		conn, err := net.Dial("tcp", ln.Addr().String())
		is.NoErr(err)
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n"+header+"\r\n")
		is.NoErr(err)
		return conn
	}
	read := func(conn net.Conn) int {
		is.NoErr(conn.SetReadDeadline(time.Now().Add(20 * time.Second)))
		var resp fasthttp.Response
		is.NoErr(resp.Read(bufio.NewReader(conn)))
		return resp.StatusCode()
	}
	for range 3 {
		is.Equal(read(request("")), 200)
	}
	var unread []net.Conn
	for range 2 {
		unread = append(unread, request(""))
	}
	for intake.Budget.Figures().Used < 2*answer {
		time.Sleep(time.Millisecond)
	}
	is.Equal(read(request("")), 200) // in place of one that nobody reads
	is.Equal(intake.Budget.Figures().Cancelled, int64(1))
	is.Equal(read(request("Content-Length: 11\r\n")), fasthttp.StatusRequestEntityTooLarge)
	for _, conn := range unread {
		is.NoErr(conn.Close())
	}
	for end := time.Now().Add(20 * time.Second); intake.Budget.Figures().Used > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(intake.Budget.Figures().Used, int64(0))
	cancel()
	is.NoErr(<-served)
}

// Guards against a refusal that does not say when to come back, or that the request has run.
func TestPlainRefusals(t *testing.T) {
	is := is.New(t)
	for cause, status := range map[Cause]int{CauseTooLarge: 413, CauseNoBudget: 503, CauseUnreadable: 400} {
		c := &fasthttp.RequestCtx{}
		(*Intake)(nil).RefuseFor(c, cause)
		is.Equal(c.Response.StatusCode(), status)
		is.Equal(string(c.Response.Header.Peek(fasthttp.HeaderRetryAfter)), strings.Repeat("1", status/503))
	}
}
