package galenadaemon

import (
	"fmt"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/galenahead/galenahead/galenalog"
)

const (
	// maxHeader is the limit of the header of a request, in bytes.
	maxHeader = 16 << 10
	// idleTimeout, readTimeout and writeTimeout bound the wait for the next request, the receipt of
	// a request and the write of an answer.
	idleTimeout  = time.Minute
	readTimeout  = 30 * time.Second
	writeTimeout = 10 * time.Second
	// headerRefused marks a request within the server whose announced body is too large.
	headerRefused = "Galena-Body-Refused"
)

// NewServer returns an HTTP server for handler, which reads the bodies of requests through intake. A
// request whose announced body is too large is refused before it is read, and one whose handling
// panics is answered with status 500.
func NewServer(handler fasthttp.RequestHandler, intake *Intake, log *logrus.Logger) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: func(c *fasthttp.RequestCtx) {
			if len(c.Request.Header.Peek(headerRefused)) > 0 {
				c.Request.Header.Del(headerRefused)
				intake.RefuseFor(c, CauseTooLarge)
				c.SetConnectionClose()
				return
			}
			handle(handler, c, log)
		},
		NoDefaultServerHeader: true, MaxRequestBodySize: DefaultMaxBody,
		ReadBufferSize: maxHeader, IdleTimeout: idleTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
		DisablePreParseMultipartForm: true, NoDefaultDate: true,
		Logger: &serverLogger{log: log},
		// A connection that says nothing holds no buffers.
		StreamRequestBody: true, ReduceMemoryUsage: true,
		HeaderReceived: func(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
			h.Del(headerRefused)
			if h.ContentLength() > intake.maxBody() {
				// The server would wait for the first bytes of the body before it calls the handler.
				h.SetContentLength(0)
				h.Del(fasthttp.HeaderExpect)
				h.SetConnectionClose()
				h.Set(headerRefused, "1")
			}
			return fasthttp.RequestConfig{}
		},
	}
}

// serverLogger logs what goes wrong with connections, which clients may cause in any number.
type serverLogger struct {
	log   *logrus.Logger
	lines galenalog.Limit
}

// Printf implements fasthttp.Logger.
func (l *serverLogger) Printf(format string, args ...any) {
	if ok, leftOut := l.lines.Allow(time.Now()); ok {
		l.log.WithField("error", fmt.Sprintf(format, args...)).WithField("lines_left_out", leftOut).Info("connection failed")
	}
}

// handle calls a handler, and answers for it if it panics.
func handle(handler fasthttp.RequestHandler, c *fasthttp.RequestCtx, log *logrus.Logger) {
	defer func() {
		if p := recover(); p != nil {
			log.WithField("method", string(c.Method())).WithField("path", string(c.Path())).WithField("panic", p).
				WithField("stack", string(debug.Stack())).Error("a request has panicked")
			c.Response.Reset()
			c.Error("the request has failed", fasthttp.StatusInternalServerError)
		}
	}()
	handler(c)
}
