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
	"time"

	"github.com/rotisserie/eris"
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
	// intake is what the connection holds of a server. It is nil on the connections of clients.
	intake *connIntake
	// ages is used by ReadObject only.
	ages AgeEstimate

	mu sync.Mutex
	w  *bufio.Writer
}

var _ jsonrpc2.ObjectStream = (*stream)(nil)

// newStream returns the stream of a connection. intake is nil on the connections of clients.
func newStream(ctx context.Context, m *Mux, c net.Conn, intake *connIntake) *stream {
	ctx, cancel := context.WithCancel(ctx)
	return &stream{mux: m, ctx: ctx, cancel: cancel, conn: c, r: bufio.NewReader(c), w: bufio.NewWriter(c), intake: intake}
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	for {
		f, err := s.readFrame()
		if err != nil {
			return err
		}
		if h, ok := s.mux.inTurn[f.method]; ok {
			if !s.intake.begin() {
				return net.ErrClosed
			}
			s.serveInTurn(f.method, h, f)
			continue
		}
		if h, ok := s.mux.direct[f.method]; ok {
			if !s.intake.begin() {
				return net.ErrClosed
			}
			go s.run(f.method, h, f)
			continue
		}
		if s.intake != nil {
			if err := s.serveOther(f); err != nil {
				return err
			}
			continue
		}
		if u, ok := v.(json.Unmarshaler); ok {
			return u.UnmarshalJSON(f.data)
		}
		return json.Unmarshal(f.data, v)
	}
}

// errNotACall reports a message that answers nothing that the server has asked.
var errNotACall = eris.New("the message is no call")

// serveOther serves a call that is not encoded as jsonrpc2 does it, or whose method has no direct
// handler. It bypasses jsonrpc2, which bounds neither the calls under way nor their answers.
func (s *stream) serveOther(f frame) error {
	var head struct {
		Method string `json:"method"`
	}
	if err := json.Unmarshal(f.data, &head); err != nil || head.Method == "" {
		s.intake.release(f.charged)
		return errNotACall
	}
	h, ok := s.mux.handlers[head.Method]
	if !ok {
		h = func(context.Context, *Conn, json.RawMessage) (any, error) { return nil, unknownMethod(head.Method) }
	}
	if !s.intake.begin() {
		return net.ErrClosed
	}
	go s.run(head.Method, h, f)
	return nil
}

// frame is a message.
type frame struct {
	data []byte
	// method and stamp are those of a call. stamp may be nil.
	method string
	stamp  *stamp
	// awaited is set if the connection had nothing to read before.
	awaited bool
	// charged is what the message holds of the budget.
	charged int64
}

// minAwaited is how long a read takes at the least that had to wait for the network.
const minAwaited = time.Millisecond

func (s *stream) readFrame() (frame, error) {
	buffered, start := s.r.Buffered() > 0, time.Now()
	data, charged, err := s.readData()
	if err != nil {
		return frame{}, err
	}
	f := frame{data: data, charged: charged, awaited: !buffered && time.Since(start) >= minAwaited}
	f.method, f.stamp = parseHead(data)
	return f, nil
}

// maxFrameAllocation is the length of a frame up to which its prefix alone is trusted.
const maxFrameAllocation = 64 << 10

// readData reads the data of a frame, and returns what of the budget it holds. A long one is charged
// as it comes.
func (s *stream) readData() (data []byte, charged int64, err error) {
	n, err := binary.ReadUvarint(s.r)
	if err != nil {
		return nil, 0, err
	}
	if n > math.MaxInt64-1 {
		return nil, 0, galenaintake.ErrTooLarge
	}
	if n <= maxFrameAllocation {
		if charged = int64(n); !s.intake.charge(charged) {
			return nil, 0, galenaintake.ErrNoBudget
		}
		data = make([]byte, n)
		_, err = io.ReadFull(s.r, data)
	} else {
		data, err = galenaintake.Read(io.LimitReader(s.r, int64(n)), s.intake.connHold(), int64(n), int64(n))
		charged = int64(cap(data))
		if err == nil && uint64(len(data)) < n {
			err = io.ErrUnexpectedEOF
		}
	}
	if err != nil || s.intake == nil {
		return data, charged, err
	}
	decoded := callBytes + decodedBytes(data)
	if !s.intake.charge(decoded) {
		return nil, 0, galenaintake.ErrNoBudget
	}
	return data, charged + decoded, nil
}

// call is a decoded frame of a call.
type call struct {
	ID     *jsonrpc2.ID    `json:"id"`
	Params json.RawMessage `json:"params"`
}

// run serves a call.
func (s *stream) run(method string, h Handler, f frame) {
	defer s.intake.end(f.charged)
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
	if len(c.Params) == 0 {
		c.Params = json.RawMessage("null")
	}
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
	// The answer is held until the peer has read the ones before it.
	s.intake.force(int64(len(b)))
	defer s.intake.release(int64(len(b)))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.intake != nil {
		if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
	}
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
