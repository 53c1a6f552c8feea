package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/galenahead/galenahead/galenacrowd"
	"github.com/galenahead/galenahead/galenapb"
)

// callStatus asks the control daemon at addr for its status, on a connection of its own.
func (f *fleet) callStatus(addr string) error {
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(f.ctx, requestTimeout)
	defer cancel()
	_, err = galenapb.NewControlClient(conn).Status(ctx, &galenapb.StatusRequest{})
	return err
}

// rawCodec sends messages as they are.
type rawCodec struct{}

func (rawCodec) Marshal(v any) ([]byte, error) { return *v.(*[]byte), nil }

func (rawCodec) Unmarshal([]byte, any) error { return nil }

func (rawCodec) Name() string { return "proto" }

// stallingConn stops sending after a number of bytes, without an end.
type stallingConn struct {
	net.Conn
	mu   sync.Mutex
	left int
	// stalled is closed once no more is sent.
	stalled chan struct{}
}

// Write implements net.Conn.
func (c *stallingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	n := min(len(b), c.left)
	c.left -= n
	if n < len(b) {
		select {
		case <-c.stalled:
		default:
			close(c.stalled)
		}
	}
	c.mu.Unlock()
	if _, err := c.Conn.Write(b[:n]); err != nil {
		return 0, err
	}
	return len(b), nil
}

// incompleteOperatorCalls makes calls of length bytes on one connection, and stops before any of them
// is complete.
func incompleteOperatorCalls(calls, length int) galenacrowd.Client {
	const unsent, framing = 64 << 10, 16 << 10
	return func(conn net.Conn) error {
		stalling := &stallingConn{Conn: conn, left: calls * (length - unsent), stalled: make(chan struct{})}
		ended, err := callAtOnce(stalling, calls, bytes.Repeat([]byte{0}, length-framing))
		if err != nil {
			return err
		}
		select {
		case <-stalling.stalled:
		case <-ended: // the process closes the connection
		case <-time.After(requestTimeout):
			return fmt.Errorf("the calls were not sent within %s", requestTimeout)
		}
		return nil
	}
}

// decodedOperatorCalls makes calls on one connection, each with the change of a service that has so many
// empty shares of callers.
func decodedOperatorCalls(calls, shares int) galenacrowd.Client {
	const changeService, callers = 13, 7
	service := bytes.Repeat(protowire.AppendBytes(protowire.AppendTag(nil, callers, protowire.BytesType), nil), shares)
	message := protowire.AppendBytes(protowire.AppendTag(nil, changeService, protowire.BytesType), service)
	return func(conn net.Conn) error {
		ended, err := callAtOnce(conn, calls, message)
		if err != nil {
			return err
		}
		select {
		case <-ended:
		case <-time.After(2 * requestTimeout):
		}
		return nil
	}
}

// callAtOnce makes calls with a message at once on a connection. ended is closed when they have ended.
func callAtOnce(conn net.Conn, calls int, message []byte) (ended <-chan struct{}, err error) {
	dialed := false
	client, err := grpc.NewClient("passthrough:///operator", grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(context.Context, string) (net.Conn, error) {
			if dialed {
				return nil, net.ErrClosed
			}
			dialed = true
			return conn, nil
		}))
	if err != nil {
		return nil, err
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	for range calls {
		wg.Go(func() {
			var reply []byte
			_ = client.Invoke(context.Background(), galenapb.Control_Apply_FullMethodName, &message, &reply, grpc.ForceCodec(rawCodec{}))
		})
	}
	go func() {
		wg.Wait()
		_ = client.Close()
		close(done)
	}()
	return done, nil
}

// Frame types and flags of HTTP/2.
const (
	frameHeaders, frameSettings, frameContinuation = 1, 4, 9
	maxFrame                                       = 16 << 10
)

// endlessOperatorHeaders sends header fields of n bytes in all, of which none is the last.
func endlessOperatorHeaders(n int) galenacrowd.Client {
	return func(conn net.Conn) error {
		if _, err := io.WriteString(conn, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"); err != nil {
			return err
		}
		if err := writeFrame(conn, frameSettings, 0, nil); err != nil {
			return err
		}
		// A literal field that is not indexed: the lengths of its name and value, and both.
		const valueLength = 100
		field := append([]byte{0, 1, 'x', valueLength}, strings.Repeat("y", valueLength)...)
		block := bytes.Repeat(field, maxFrame/len(field))
		for sent, kind := 0, byte(frameHeaders); sent < n; sent, kind = sent+len(block), frameContinuation {
			if err := writeFrame(conn, kind, 1, block); err != nil {
				return err
			}
		}
		return nil
	}
}

// writeFrame writes a frame of HTTP/2 without flags.
func writeFrame(w io.Writer, kind byte, stream uint32, payload []byte) error {
	head := binary.BigEndian.AppendUint32(nil, uint32(len(payload))<<8|uint32(kind))
	head = append(head, 0)
	head = binary.BigEndian.AppendUint32(head, stream)
	_, err := w.Write(append(head, payload...))
	return err
}
