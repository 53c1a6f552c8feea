// Package galenadaemon holds what the daemons share: signals, the log, the
// status server for the balancer and the metrics.
package galenadaemon

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"

	"github.com/galenahead/galenahead/galenalog"
)

// Log is the decision log with its output.
type Log struct {
	*logrus.Logger
	Writer *galenalog.Writer
	file   io.Closer
}

// StandardOutput is the path that stands for standard output.
const StandardOutput = "stdout"

// OpenLog opens the log at path, on standard error for "-", or on standard
// output for StandardOutput.
func OpenLog(path string, level logrus.Level) (*Log, error) {
	out, closer := io.Writer(os.Stderr), io.Closer(nil)
	switch path {
	case "-":
	case StandardOutput:
		out = os.Stdout
	default:
		f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, eris.Wrap(err, "open log_file")
		}
		out, closer = f, f
	}
	w := galenalog.NewWriter(out)
	return &Log{Logger: galenalog.New(w, level), Writer: w, file: closer}, nil
}

// Close writes what is queued and closes the file.
func (l *Log) Close() {
	// Lines that a blocked output does not take are lost, as while running.
	_ = l.Writer.Close()
	if l.file != nil {
		_ = l.file.Close()
	}
}

// Signals returns a context that ends at SIGTERM or SIGINT.
func Signals() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// Listen opens a TCP listener.
func Listen(addr netip.AddrPort) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", addr)
	}
	return ln, nil
}

// Status serves readiness at /ready and metrics at /debug/vars.
type Status struct {
	// Ready returns nil when the balancer may send requests here.
	Ready func() error
	// Pages maps further paths to handlers.
	Pages map[string]fasthttp.RequestHandler
}

// Serve serves until ctx ends.
func (s *Status) Serve(ctx context.Context, ln net.Listener) error {
	srv := &fasthttp.Server{Handler: s.Handle, NoDefaultServerHeader: true, ReadTimeout: 10 * time.Second}
	return ServeHTTP(ctx, srv, ln)
}

// Handle answers one request.
func (s *Status) Handle(c *fasthttp.RequestCtx) {
	path := string(c.Path())
	switch path {
	case "/ready":
		s.AnswerReady(c)
	case "/debug/vars":
		expvarhandler.ExpvarHandler(c)
	default:
		if h, ok := s.Pages[path]; ok {
			h(c)
			return
		}
		c.Error("unknown path; try /ready or /debug/vars", fasthttp.StatusNotFound)
	}
}

// AnswerReady answers whether the balancer may send requests here.
func (s *Status) AnswerReady(c *fasthttp.RequestCtx) {
	if err := s.Ready(); err != nil {
		c.Error(err.Error()+"\n", fasthttp.StatusServiceUnavailable)
		return
	}
	c.SetBodyString("ready\n")
}

// shutdownTimeout bounds the wait for open connections after serving ended.
const shutdownTimeout = 5 * time.Second

// ServeHTTP serves until ctx ends, finishes the requests in flight and returns
// nil.
func ServeHTTP(ctx context.Context, srv *fasthttp.Server, ln net.Listener) error {
	srv.CloseOnShutdown = true
	stop := context.AfterFunc(ctx, func() {
		c, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = srv.ShutdownWithContext(c)
	})
	defer stop()
	if err := srv.Serve(ln); err != nil && ctx.Err() == nil {
		return eris.Wrapf(err, "serve %s", ln.Addr())
	}
	return nil
}
