// Package galenarpc implements JSON-RPC 2.0 over TCP, the protocol between the
// system's own processes. A message is a JSON object with a length prefix.
package galenarpc

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"runtime/debug"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/galenahead/galenahead"
)

// Conn is a connection that carries calls in both directions.
type Conn = jsonrpc2.Conn

// Handler serves one method. Its result is encoded as JSON. conn is the
// connection that the call arrived on.
type Handler func(ctx context.Context, conn *Conn, params json.RawMessage) (any, error)

// Mux maps methods to handlers. Register all handlers before serving. The zero
// value has no handlers.
type Mux struct {
	// Logger gets a line for each call that has panicked. If it is nil, that is the standard
	// logger.
	Logger *logrus.Logger

	handlers map[string]Handler
	// direct holds the handlers that don't use the connection. A stream calls them itself,
	// which spares their messages most passes of jsonrpc2.
	direct map[string]Handler
	// inTurn holds the handlers of the methods whose calls wait for their turn.
	inTurn map[string]turnHandler
}

// HandleRaw registers h for method.
func (m *Mux) HandleRaw(method string, h Handler) {
	delete(m.direct, method)
	delete(m.inTurn, method)
	if m.handlers == nil {
		m.handlers = make(map[string]Handler)
	}
	m.handlers[method] = h
}

// Handle registers f for method and decodes the parameters of a call as P.
func Handle[P, R any](m *Mux, method string, f func(ctx context.Context, params P) (R, error)) {
	h := decoding(f)
	m.HandleRaw(method, h)
	if m.direct == nil {
		m.direct = make(map[string]Handler)
	}
	m.direct[method] = h
}

// decoding returns a handler that decodes the parameters of a call for f.
func decoding[P, R any](f func(ctx context.Context, params P) (R, error)) Handler {
	return func(ctx context.Context, _ *Conn, raw json.RawMessage) (any, error) {
		var p P
		if err := json.Unmarshal(raw, &p); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return f(ctx, p)
	}
}

// dispatch calls the handler of the requested method.
func (m *Mux) dispatch(ctx context.Context, conn *Conn, req *jsonrpc2.Request) (any, error) {
	h, ok := m.handlers[req.Method]
	if !ok {
		return nil, unknownMethod(req.Method)
	}
	params := json.RawMessage("null")
	if req.Params != nil {
		params = *req.Params
	}
	res, err := m.handle(ctx, req.Method, h, conn, params)
	if err != nil {
		return nil, encodeError(err)
	}
	return res, nil
}

// maxQuoted bounds what an error quotes of a message, in bytes.
const maxQuoted = 64

func unknownMethod(method string) error {
	return &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + method[:min(len(method), maxQuoted)]}
}

// ErrPanic reports a call that has panicked. It may have been carried out in part.
var ErrPanic = eris.New("the call has failed within the process")

// handle calls a handler, and returns ErrPanic if it panics.
func (m *Mux) handle(ctx context.Context, method string, h Handler, conn *Conn, params json.RawMessage) (res any, err error) {
	defer func() {
		if p := recover(); p != nil {
			logger := m.Logger
			if logger == nil {
				logger = logrus.StandardLogger()
			}
			logger.WithField("method", method).WithField("panic", p).WithField("stack", string(debug.Stack())).Error("a call has panicked")
			res, err = nil, ErrPanic
		}
	}()
	return h(ctx, conn, params)
}

// Call calls method within the process. It encodes params and the result as for
// another process.
func (m *Mux) Call(ctx context.Context, method string, params, result any) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	res, err := m.dispatch(ctx, nil, &jsonrpc2.Request{Method: method, Params: (*json.RawMessage)(&raw)})
	if err != nil {
		return decodeError(err)
	}
	if raw, err = json.Marshal(res); err != nil || result == nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

// connect starts JSON-RPC on c and serves the peer's calls until c is closed. intake bounds what the
// connection of a server holds. It is nil on that of a client.
func (m *Mux) connect(ctx context.Context, c net.Conn, intake *connIntake) *Conn {
	h := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(m.dispatch))
	return jsonrpc2.NewConn(ctx, newStream(ctx, m, c, intake), h, jsonrpc2.SetLogger(log.New(io.Discard, "", 0)))
}

// errorsByCode maps the application error codes on the wire to sentinel errors,
// so that the calling process can test for them with errors.Is. Never reuse a
// code.
var errorsByCode = map[int64]error{
	1:  galenahead.ErrBadKey,
	2:  galenahead.ErrKeyExpired,
	3:  galenahead.ErrClaimUndecided,
	4:  galenahead.ErrConflict,
	5:  galenahead.ErrRequestIDReused,
	6:  galenahead.ErrInvalid,
	7:  galenahead.ErrNotFound,
	8:  galenahead.ErrNotLeader,
	9:  galenahead.ErrNoQuorum,
	10: galenahead.ErrLeaseExpired,
	11: galenahead.ErrNotReady,
	12: galenahead.ErrOverloaded,
}

// encodedErrors holds the JSON-RPC errors of the sentinel errors, whose text takes longer to
// format than a call that is rejected with one may take.
var encodedErrors = func() map[int64]*jsonrpc2.Error {
	out := make(map[int64]*jsonrpc2.Error, len(errorsByCode))
	for code, sentinel := range errorsByCode {
		out[code] = &jsonrpc2.Error{Code: code, Message: sentinel.Error()}
	}
	return out
}()

// encodeError converts the error of a handler to an error of JSON-RPC.
func encodeError(err error) *jsonrpc2.Error {
	for code, sentinel := range errorsByCode {
		if err == sentinel {
			return encodedErrors[code]
		}
	}
	var e *jsonrpc2.Error
	if errors.As(err, &e) {
		return e
	}
	for code, sentinel := range errorsByCode {
		if errors.Is(err, sentinel) {
			return &jsonrpc2.Error{Code: code, Message: err.Error()}
		}
	}
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
}

// IsUnknownMethod reports whether a call failed because the peer does not have its method,
// as one of an earlier version. Nothing was done.
func IsUnknownMethod(err error) bool {
	var e *jsonrpc2.Error
	return errors.As(err, &e) && e.Code == jsonrpc2.CodeMethodNotFound
}

// decodeError returns an error that wraps the sentinel error of a reply's code.
// It returns any other error unchanged.
func decodeError(err error) error {
	var e *jsonrpc2.Error
	if !errors.As(err, &e) {
		return err
	}
	sentinel, ok := errorsByCode[e.Code]
	if !ok {
		return err
	}
	return eris.Wrap(sentinel, e.Message)
}
