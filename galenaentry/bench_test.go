package galenaentry

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenabudget"
	"github.com/galenahead/galenahead/galenalog"
	"github.com/galenahead/galenahead/galenametric"
	"github.com/galenahead/galenahead/galenatimer"
)

type discardWriter struct{}

func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// BenchmarkPipeline measures one request through all filters with fakes for the
// claims and slots, an upstream on loopback and a log line per decision.
func BenchmarkPipeline(b *testing.B) {
	for _, idempotent := range []bool{true, false} {
		b.Run(fmt.Sprintf("idempotent=%t", idempotent), func(b *testing.B) {
			f := newFixtureWithTimers(b, &galenatimer.Service{}, nil)
			f.slots.address = serveStatic(b)
			w := galenalog.NewWriter(discardWriter{})
			defer func() { _ = w.Close() }()
			f.httpHandler.observer = &telemetry{
				configured: func(galenahead.ServiceName) bool { return true },
				log:        galenalog.New(w, logrus.InfoLevel), metrics: &galenametric.Metrics{}, budgets: galenabudget.New(galenabudget.Config{}),
			}
			c := &fasthttp.RequestCtx{}
			fillRequest(&c.Request, "e", "")
			c.Request.Header.Set(HeaderIdempotent, strconv.FormatBool(idempotent))
			c.Request.SetBodyString("body")
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				c.Request.Header.Set(HeaderKey, "1-"+strconv.Itoa(i))
				c.Response.Reset()
				f.httpHandler.serve(c)
				if c.Response.StatusCode() != fasthttp.StatusOK {
					b.Fatal(c.Response.String())
				}
			}
		})
	}
}

// serveStatic returns the address of an upstream that sends the same response to
// every request of one connection. It allocates as little as possible, so that the
// benchmark counts the allocations of the entry.
func serveStatic(b *testing.B) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = ln.Close() })
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		r := bufio.NewReader(c)
		var req fasthttp.Request
		for req.Read(r) == nil {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
		}
	}()
	return ln.Addr().String()
}
