// Package galenalog writes JSON log lines, one for each routing or placement
// decision, without ever blocking the caller.
package galenalog

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// queueLines bounds the lines waiting to be written.
	queueLines = 8192
	// flushTimeout bounds how long Close waits for a blocked output.
	flushTimeout = time.Second
)

// Writer passes lines to an output from its own goroutine. A line that finds
// the queue full is dropped and counted.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

// NewWriter returns a Writer to out. Close ends it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines, for at most one second. No Write may follow.
func (w *Writer) Close() error {
	close(w.lines)
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if _, err := w.out.Write(line); err != nil {
			w.dropped.Add(1)
		}
	}
}

// New returns a logger of JSON lines with snake_case keys to w at level.
func New(w io.Writer, level logrus.Level) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(level)
	l.SetFormatter(&logrus.JSONFormatter{
		TimestampFormat: "2006-01-02T15:04:05.000000Z07:00",
		FieldMap:        logrus.FieldMap{logrus.FieldKeyMsg: "message"},
	})
	return l
}
