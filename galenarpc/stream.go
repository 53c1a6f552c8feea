package galenarpc

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/galenahead/galenahead/galenaintake"
)

// stream is a jsonrpc2.ObjectStream of JSON objects with a length prefix, as
// jsonrpc2.VarintObjectCodec writes them. It serves the calls of direct methods itself, which
// takes one pass over a message where jsonrpc2 takes four.
type stream struct {
	mux *Mux
	// ctx is that of the calls, and ends with the connection.
	ctx    context.Context
	cancel context.CancelFunc
	conn   net.Conn
	r      *bufio.Reader
	// budget bounds the long messages. It may be nil.
	budget *galenaintake.Budget
	// since is when the connection was opened, and spoken is set once it has carried a message.
	since  time.Time
	spoken atomic.Bool
	// ages is used by ReadObject only.
	ages AgeEstimate

	mu sync.Mutex
	w  *bufio.Writer
}

var _ jsonrpc2.ObjectStream = (*stream)(nil)

func newStream(ctx context.Context, m *Mux, c net.Conn, budget *galenaintake.Budget) *stream {
	ctx, cancel := context.WithCancel(ctx)
	return &stream{mux: m, ctx: ctx, cancel: cancel, conn: c, r: bufio.NewReader(c), w: bufio.NewWriter(c), budget: budget, since: time.Now()}
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	for {
		f, err := s.readFrame()
		if err != nil {
			return err
		}
		if h, ok := s.mux.inTurn[f.method]; ok {
			s.serveInTurn(f.method, h, f)
			continue
		}
		if h, ok := s.mux.direct[f.method]; ok {
			go s.run(f.method, h, f)
			continue
		}
		defer f.release()
		if u, ok := v.(json.Unmarshaler); ok {
			return u.UnmarshalJSON(f.data)
		}
		return json.Unmarshal(f.data, v)
	}
}

// frame is a message.
type frame struct {
	data []byte
	// method and stamp are those of a call. stamp may be nil.
	method string
	stamp  *stamp
	// awaited is set if the connection had nothing to read before.
	awaited bool
	// hold is what the message holds of the budget, or nil.
	hold *galenaintake.Hold
}

// release ends what the message holds of the budget.
func (f *frame) release() {
	if f.hold != nil {
		f.hold.Close()
	}
}

// minAwaited is how long a read takes at the least that had to wait for the network.
const minAwaited = time.Millisecond

func (s *stream) readFrame() (frame, error) {
	buffered, start := s.r.Buffered() > 0, time.Now()
	data, hold, err := s.readData()
	if err != nil {
		return frame{}, err
	}
	s.spoken.Store(true)
	f := frame{data: data, hold: hold, awaited: !buffered && time.Since(start) >= minAwaited}
	f.method, f.stamp = parseHead(data)
	return f, nil
}

// maxFrameAllocation is the length of a frame up to which its prefix alone is trusted.
const maxFrameAllocation = 64 << 10

// readData reads the data of a frame. A long one is charged to the budget as it comes.
func (s *stream) readData() ([]byte, *galenaintake.Hold, error) {
	n, err := binary.ReadUvarint(s.r)
	if err != nil {
		return nil, nil, err
	}
	if n <= maxFrameAllocation {
		frame := make([]byte, n)
		_, err := io.ReadFull(s.r, frame)
		return frame, nil, err
	}
	if n > math.MaxInt64-1 {
		return nil, nil, galenaintake.ErrTooLarge
	}
	hold := s.budget.Open(func() { _ = s.conn.SetReadDeadline(time.Now()) })
	data, err := galenaintake.Read(io.LimitReader(s.r, int64(n)), hold, int64(n), int64(n))
	if err == nil && uint64(len(data)) < n {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		hold.Close()
		return nil, nil, err
	}
	return data, hold, nil
}

// call is a decoded frame of a call.
type call struct {
	ID     *jsonrpc2.ID    `json:"id"`
	Params json.RawMessage `json:"params"`
}

// run serves a call.
func (s *stream) run(method string, h Handler, f frame) {
	defer f.release()
	if c, ok := s.decodeCall(f.data); ok {
		s.answer(method, h, c)
	}
}

// decodeCall decodes a call. One that can't be read ends the connection, as any other such
// message does.
func (s *stream) decodeCall(data []byte) (c call, ok bool) {
	if json.Unmarshal(data, &c) != nil {
		_ = s.conn.Close()
		return c, false
	}
	return c, true
}

// answer calls the handler and sends its reply.
func (s *stream) answer(method string, h Handler, c call) {
	reply, err := s.mux.handle(s.ctx, method, h, nil, c.Params)
	if c.ID == nil {
		return // a notification
	}
	resp := &jsonrpc2.Response{ID: *c.ID}
	if err == nil {
		err = resp.SetResult(reply)
	}
	if err != nil {
		resp = &jsonrpc2.Response{ID: *c.ID, Error: encodeError(err)}
	}
	// An error means that the connection has ended, which ReadObject reports.
	_ = s.WriteObject(resp)
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(obj any) error {
	b, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var prefix [binary.MaxVarintLen64]byte
	if _, err := s.w.Write(prefix[:binary.PutUvarint(prefix[:], uint64(len(b)))]); err != nil {
		return err
	}
	if _, err := s.w.Write(b); err != nil {
		return err
	}
	return s.w.Flush()
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error {
	s.cancel()
	return s.conn.Close()
}
