package galenalog

import (
	"bytes"
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines and maxQueuedBytes limit the queue of lines to write.
	maxQueuedLines = 8192
	maxQueuedBytes = 8 << 20
	// flushInterval is the shortest time between two writes to the output, so
	// that several lines share a system call under load.
	flushInterval = 5 * time.Millisecond
	// maxWriteBytes limits one write to the output, so that a pipe takes it whole
	// (PIPE_BUF). Readers may cut longer writes within a line.
	maxWriteBytes = 4096
	// flushTimeout limits how long Close waits for a blocked output.
	flushTimeout = time.Second
)

// Writer queues lines and writes them to an output in batches, from its own
// goroutine. It drops and counts lines that do not fit in the queue.
type Writer struct {
	out     io.Writer
	wake    chan struct{}
	closing chan struct{}
	done    chan struct{}
	dropped atomic.Int64

	mu    sync.Mutex
	queue []byte
	lines int
}

// NewWriter returns a Writer to out and starts its goroutine. Close stops it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	full := w.lines == maxQueuedLines || len(w.queue)+len(line) > maxQueuedBytes
	if !full {
		w.queue = append(w.queue, line...)
		w.lines++
	}
	first := w.lines == 1
	w.mu.Unlock()
	if full {
		w.dropped.Add(1)
	}
	if first {
		w.signal()
	}
	return len(line), nil
}

// signal tells run that the queue is not empty.
func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Dropped returns how many lines were lost because the queue was full or a write
// to the output failed.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and waits at most one second for that. Do not
// call Write after Close.
func (w *Writer) Close() error {
	close(w.closing)
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
	pause := time.NewTimer(0)
	defer pause.Stop()
	var spare []byte
	for {
		select {
		case <-w.closing:
			w.flush(spare)
			return
		case <-w.wake:
		}
		spare = w.flush(spare)
		pause.Reset(flushInterval)
		select {
		case <-w.closing:
		case <-pause.C:
		}
	}
}

// flush writes the queued lines and makes spare the buffer of the empty queue. It
// returns the buffer that held the lines, for reuse.
func (w *Writer) flush(spare []byte) []byte {
	w.mu.Lock()
	queue, lines := w.queue, w.lines
	w.queue, w.lines = spare[:0], 0
	w.mu.Unlock()
	if lines == 0 {
		return queue
	}
	for rest := queue; len(rest) > 0; {
		batch := firstLines(rest)
		if _, err := w.out.Write(batch); err != nil {
			w.dropped.Add(int64(bytes.Count(rest, newline)))
			break
		}
		rest = rest[len(batch):]
	}
	return queue
}

var newline = []byte{'\n'}

// firstLines returns the first lines of b, as many as fit in maxWriteBytes but at
// least one.
func firstLines(b []byte) []byte {
	if len(b) <= maxWriteBytes {
		return b
	}
	if end := bytes.LastIndexByte(b[:maxWriteBytes], '\n'); end >= 0 {
		return b[:end+1]
	}
	if end := bytes.IndexByte(b, '\n'); end >= 0 {
		return b[:end+1]
	}
	return b
}
