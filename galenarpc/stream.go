package galenarpc

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
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

	mu sync.Mutex
	w  *bufio.Writer
}

var _ jsonrpc2.ObjectStream = (*stream)(nil)

func newStream(ctx context.Context, m *Mux, c net.Conn) *stream {
	ctx, cancel := context.WithCancel(ctx)
	return &stream{mux: m, ctx: ctx, cancel: cancel, conn: c, r: bufio.NewReader(c), w: bufio.NewWriter(c)}
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	for {
		frame, err := s.readFrame()
		if err != nil {
			return err
		}
		method := frameMethod(frame)
		if h, ok := s.mux.direct[method]; ok {
			go s.run(method, h, frame)
			continue
		}
		if u, ok := v.(json.Unmarshaler); ok {
			return u.UnmarshalJSON(frame)
		}
		return json.Unmarshal(frame, v)
	}
}

// maxFrameAllocation is the length of a frame up to which its prefix alone is trusted.
const maxFrameAllocation = 64 << 10

func (s *stream) readFrame() ([]byte, error) {
	n, err := binary.ReadUvarint(s.r)
	if err != nil {
		return nil, err
	}
	if n <= maxFrameAllocation {
		frame := make([]byte, n)
		_, err := io.ReadFull(s.r, frame)
		return frame, err
	}
	var b bytes.Buffer
	if _, err := io.CopyN(&b, s.r, int64(n)); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// frameMethod returns the method of a request as jsonrpc2 encodes it, with the method
// before the parameters, or an empty string.
func frameMethod(frame []byte) string {
	head, _, found := bytes.Cut(frame, []byte(`,"params":`))
	if !found {
		return ""
	}
	_, method, found := bytes.Cut(head, []byte(`"jsonrpc":"2.0","method":"`))
	if !found || len(method) == 0 {
		return ""
	}
	return string(method[:len(method)-1])
}

// run serves a call of a direct method.
func (s *stream) run(method string, h Handler, frame []byte) {
	var call struct {
		ID     *jsonrpc2.ID    `json:"id"`
		Params json.RawMessage `json:"params"`
	}
	if json.Unmarshal(frame, &call) != nil {
		_ = s.conn.Close() // as after any other message that can't be read
		return
	}
	reply, err := s.mux.handle(s.ctx, method, h, nil, call.Params)
	if call.ID == nil {
		return // a notification
	}
	resp := &jsonrpc2.Response{ID: *call.ID}
	if err == nil {
		err = resp.SetResult(reply)
	}
	if err != nil {
		resp = &jsonrpc2.Response{ID: *call.ID, Error: encodeError(err)}
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
