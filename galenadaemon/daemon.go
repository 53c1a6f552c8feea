// Package galenadaemon contains the code that the daemons share: the command
// line, signals, the log, and the HTTP server of readiness and metrics.
package galenadaemon

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"

	"github.com/galenahead/galenahead/galenaintake"
	"github.com/galenahead/galenahead/galenalog"
)

// Log is the decision log of a daemon with its output.
type Log struct {
	*logrus.Logger
	Writer *galenalog.Writer
	file   io.Closer
}

// StandardOutput is the log path that selects standard output.
const StandardOutput = "stdout"

// OpenLog opens a log that appends to the file at path, or writes to standard
// error for "-" and to standard output for StandardOutput.
func OpenLog(path string, level logrus.Level) (*Log, error) {
	out, closer := io.Writer(os.Stderr), io.Closer(nil)
	switch path {
	case "-":
	case StandardOutput:
		out = os.Stdout
	default:
		file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, eris.Wrap(err, "open log_file")
		}
		out, closer = file, file
	}
	writer := galenalog.NewWriter(out)
	return &Log{Logger: galenalog.New(writer, level), Writer: writer, file: closer}, nil
}

// Close writes the queued lines and closes the file.
func (l *Log) Close() {
	// Lines are lost if the output blocks, as they are while the daemon runs.
	_ = l.Writer.Close()
	if l.file != nil {
		_ = l.file.Close()
	}
}

// SignalContext returns a context that ends at SIGTERM or SIGINT.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// StatusServer is the HTTP server of readiness at /ready and metrics at /debug/vars.
type StatusServer struct {
	// Ready returns nil if the load balancer may send requests to this daemon,
	// and otherwise the reason.
	Ready func() error
	// Handlers maps additional paths to handlers.
	Handlers map[string]fasthttp.RequestHandler
	// Intake bounds what clients send and leave unread. It may be nil.
	Intake *Intake
}

// Serve serves on ln until ctx ends. At most maxConns connections are open; zero means no bound.
func (s *StatusServer) Serve(ctx context.Context, ln net.Listener, maxConns int, log *logrus.Logger) error {
	srv := &HTTPServer{Server: NewServer(s.Handle, s.Intake, log), Conns: galenaintake.Conns{Max: maxConns, Displaced: s.Intake.CountDisplaced}}
	return srv.Serve(ctx, ln)
}

// Handle routes a request by its path.
func (s *StatusServer) Handle(c *fasthttp.RequestCtx) {
	path := string(c.Path())
	switch path {
	case "/ready":
		s.HandleReady(c)
	case "/debug/vars":
		expvarhandler.ExpvarHandler(c)
		s.Intake.Answer(c, bytes.Clone(c.Response.Body()))
	default:
		if handler, ok := s.Handlers[path]; ok {
			handler(c)
			return
		}
		c.Error("unknown path; try /ready or /debug/vars", fasthttp.StatusNotFound)
	}
}

// HandleReady handles a readiness request. It replies with status 200, or with
// 503 and the reason.
func (s *StatusServer) HandleReady(c *fasthttp.RequestCtx) {
	if err := s.Ready(); err != nil {
		c.Error(err.Error()+"\n", fasthttp.StatusServiceUnavailable)
		return
	}
	c.SetBodyString("ready\n")
}
