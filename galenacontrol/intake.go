package galenacontrol

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/encoding/proto"
	"google.golang.org/grpc/mem"
	"google.golang.org/grpc/stats"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/galenahead/galenahead/galenaintake"
)

const (
	// maxOperatorCalls bounds the calls of one connection of an operator that are under way, and
	// maxOperatorHeader the header of a call, in bytes.
	maxOperatorCalls  = 16
	maxOperatorHeader = 16 << 10
	// operatorBuffer is the size of the read buffer and of the write buffer of a connection.
	operatorBuffer = 8 << 10
	// operatorCallBytes is what a call takes beside its messages.
	operatorCallBytes = 16 << 10
	// handshakeTimeout bounds the time until a new connection speaks HTTP/2.
	handshakeTimeout = 10 * time.Second
)

// operatorIntake bounds what the server of operators holds of what clients send, and of answers that
// they don't read. It is the listener's and the statistics handler of that server.
type operatorIntake struct {
	budget *galenaintake.Budget
	conns  galenaintake.Conns

	mu sync.Mutex
	// byAddress holds the open connections by the addresses of their clients.
	byAddress map[string]*operatorConn
}

// serverOptions returns the options of the server that the intake bounds.
func (i *operatorIntake) serverOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxOperatorMessage), grpc.MaxConcurrentStreams(maxOperatorCalls), grpc.MaxHeaderListSize(maxOperatorHeader),
		grpc.ReadBufferSize(operatorBuffer), grpc.WriteBufferSize(operatorBuffer), grpc.ConnectionTimeout(handshakeTimeout),
		grpc.StatsHandler(i), grpc.ForceServerCodecV2(operatorCodec{encoding.GetCodecV2(proto.Name)}),
	}
}

// maxOperatorFields bounds the fields of a message and of the messages in it. An empty one takes two
// bytes, and some 70 decoded.
const maxOperatorFields = 32 << 10

// errTooManyFields reports a message with more fields than maxOperatorFields.
var errTooManyFields = eris.Errorf("the message has more than %d fields", maxOperatorFields)

// operatorCodec is the codec of operators' calls. It decodes no message that takes far more memory than
// its length.
type operatorCodec struct{ encoding.CodecV2 }

// Unmarshal implements encoding.CodecV2.
func (c operatorCodec) Unmarshal(data mem.BufferSlice, v any) error {
	if data.Len() > 2*maxOperatorFields {
		if n := countFields(data.Materialize(), maxOperatorFields, 1); n < 0 || n > maxOperatorFields {
			return errTooManyFields
		}
	}
	return c.CodecV2.Unmarshal(data, v)
}

// countFields returns the number of fields of an encoded message and of the messages to a depth in it.
// It stops beyond limit, and returns a negative number if b is no message.
func countFields(b []byte, limit, depth int) int {
	n := 0
	for len(b) > 0 && n <= limit {
		number, kind, tag := protowire.ConsumeTag(b)
		if tag < 0 {
			return -1
		}
		length := protowire.ConsumeFieldValue(number, kind, b[tag:])
		if length < 0 {
			return -1
		}
		n++
		if kind == protowire.BytesType && depth > 0 {
			inner, _ := protowire.ConsumeBytes(b[tag:])
			n += max(0, countFields(inner, limit-n, depth-1)) // a text is no message
		}
		b = b[tag+length:]
	}
	return n
}

// listen returns a listener whose connections the intake bounds.
func (i *operatorIntake) listen(ln net.Listener) net.Listener { return &operatorListener{ln, i} }

type operatorListener struct {
	net.Listener
	intake *operatorIntake
}

// Accept implements net.Listener.
func (l *operatorListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if oc, ok := l.intake.admit(c); ok {
			return oc, nil
		}
		_ = c.Close()
	}
}

func (i *operatorIntake) admit(c net.Conn) (*operatorConn, bool) {
	end := func() { _ = c.Close() }
	counted, ok := i.conns.Admit(c, end)
	if !ok {
		return nil, false
	}
	oc := &operatorConn{Conn: c, intake: i, counted: counted, hold: i.budget.OpenConn(end)}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.byAddress == nil {
		i.byAddress = map[string]*operatorConn{}
	}
	i.byAddress[c.RemoteAddr().String()] = oc
	return oc, true
}

// stop stops the server. It closes the connections first, since the server would wait for those that
// have said nothing.
func (i *operatorIntake) stop(server *grpc.Server) {
	i.mu.Lock()
	for _, c := range i.byAddress {
		_ = c.Conn.Close()
	}
	i.mu.Unlock()
	server.Stop()
}

// operatorConn is a connection of an operator.
type operatorConn struct {
	net.Conn
	intake  *operatorIntake
	counted *galenaintake.Conn
	hold    *galenaintake.Hold

	mu sync.Mutex
	// calls counts the calls under way, and incoming the bytes that have come for them since they
	// were last all complete.
	calls    int
	incoming int64
}

// Read implements net.Conn. While a call is under way, what comes belongs to its message.
func (c *operatorConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls == 0 || n == 0 {
		return n, err
	}
	if !c.hold.Grow(int64(n)) {
		_ = c.Conn.Close()
		return 0, galenaintake.ErrNoBudget
	}
	c.incoming += int64(n)
	return n, err
}

// Close implements net.Conn.
func (c *operatorConn) Close() error {
	err := c.Conn.Close()
	c.counted.Close()
	c.hold.Close()
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	if addr := c.RemoteAddr().String(); c.intake.byAddress[addr] == c {
		delete(c.intake.byAddress, addr)
	}
	return err
}

// begin begins a call.
func (c *operatorConn) begin() {
	c.hold.Force(operatorCallBytes)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	c.counted.SetWaiting(false)
}

// end ends a call that has received and sent messages of so many bytes.
func (c *operatorConn) end(received, decoded, sent int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	received = min(received, c.incoming)
	if c.calls--; c.calls == 0 {
		received = c.incoming
		c.counted.SetServed()
	}
	c.incoming -= received
	c.hold.Shrink(operatorCallBytes + received + decoded + sent)
}

// operatorCall is what a call holds beside operatorCallBytes.
type operatorCall struct {
	conn *operatorConn
	// received is the length of its message, with framing, decoded what was decoded from it, and sent
	// the length of its answer.
	received, decoded, sent int64
}

type (
	operatorConnKey struct{}
	operatorCallKey struct{}
)

var _ stats.Handler = (*operatorIntake)(nil)

// TagConn implements stats.Handler.
func (i *operatorIntake) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	i.mu.Lock()
	defer i.mu.Unlock()
	return context.WithValue(ctx, operatorConnKey{}, i.byAddress[info.RemoteAddr.String()])
}

// HandleConn implements stats.Handler.
func (i *operatorIntake) HandleConn(context.Context, stats.ConnStats) {}

// TagRPC implements stats.Handler.
func (i *operatorIntake) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	conn, _ := ctx.Value(operatorConnKey{}).(*operatorConn)
	if conn == nil {
		return ctx
	}
	return context.WithValue(ctx, operatorCallKey{}, &operatorCall{conn: conn})
}

// HandleRPC implements stats.Handler. The events of a call come one after the other.
func (i *operatorIntake) HandleRPC(ctx context.Context, event stats.RPCStats) {
	call, _ := ctx.Value(operatorCallKey{}).(*operatorCall)
	if call == nil {
		return
	}
	switch e := event.(type) {
	case *stats.Begin:
		call.conn.begin()
	case *stats.InPayload:
		call.received += int64(e.WireLength)
		call.decoded += int64(e.Length)
		call.conn.hold.Force(int64(e.Length))
	case *stats.OutPayload:
		call.sent += int64(e.Length)
		call.conn.hold.Force(int64(e.Length))
	case *stats.End:
		call.conn.end(call.received, call.decoded, call.sent)
	}
}
