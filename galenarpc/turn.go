package galenarpc

import (
	"bytes"
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/galenahead/galenahead/galenagate"
)

// Turn orders the calls of some methods among the other work of the process. A call waits for
// its turn unread: of each connection, one call at a time is read and waits, so that a flood
// stays in the buffers of its senders. Gate and Class must not change once calls are served.
// The zero value orders nothing.
type Turn struct {
	Gate  *galenagate.Gate
	Class galenagate.Class

	expired atomic.Int64
}

// TakeExpired returns the number of calls since the last call of TakeExpired that were dropped
// at their turn, because their callers had given up.
func (t *Turn) TakeExpired() int64 { return t.expired.Swap(0) }

// turnHandler serves one method in its turn. waited is the age of the call.
type turnHandler struct {
	turn  *Turn
	serve func(ctx context.Context, params json.RawMessage, waited time.Duration) (any, error)
}

// HandleInTurn registers f for method. Each call is decoded and served in its turn, and f
// may leave the gate while it waits for something. waited is how long ago the call was sent, as
// far as the stamps of a Client tell, and at the least how long it has waited here.
func HandleInTurn[P, R any](m *Mux, method string, t *Turn, f func(ctx context.Context, params P, waited time.Duration) (R, error)) {
	h := turnHandler{t, func(ctx context.Context, raw json.RawMessage, waited time.Duration) (any, error) {
		decode := decoding(func(ctx context.Context, p P) (R, error) { return f(ctx, p, waited) })
		return decode(ctx, nil, raw)
	}}
	m.HandleRaw(method, func(ctx context.Context, _ *Conn, raw json.RawMessage) (any, error) {
		start := time.Now()
		t.Gate.Enter(t.Class)
		defer t.Gate.Leave()
		return h.serve(ctx, raw, time.Since(start))
	})
	if m.inTurn == nil {
		m.inTurn = make(map[string]turnHandler)
	}
	m.inTurn[method] = h
}

// serveInTurn waits for the turn of a call, and then serves it beside the caller. A call whose
// caller has given up is dropped, since nobody waits for an answer.
func (s *stream) serveInTurn(method string, h turnHandler, f frame) {
	waiting := time.Now()
	age := s.age(f, waiting)
	h.turn.Gate.Enter(h.turn.Class)
	waited := age + time.Since(waiting)
	if f.stamp != nil && waited > f.stamp.limit() {
		h.turn.Gate.Leave()
		h.turn.expired.Add(1)
		s.intake.end(f.charged)
		return
	}
	go s.runInTurn(method, h, f, waited)
}

// runInTurn serves a call whose turn has come.
func (s *stream) runInTurn(method string, h turnHandler, f frame, waited time.Duration) {
	defer s.intake.end(f.charged)
	c, ok := s.decodeCall(f.data)
	if !ok {
		h.turn.Gate.Leave()
		return
	}
	s.answer(method, func(ctx context.Context, _ *Conn, params json.RawMessage) (any, error) {
		defer h.turn.Gate.Leave()
		return h.serve(ctx, params, waited)
	}, c)
}

// stamp tells the age of a call. It travels with the call.
type stamp struct {
	// LimitMS is how long the caller waits for the answer, and SentMS when it has sent the
	// call, on a clock of its process. Both are in milliseconds.
	LimitMS int64 `json:"limit_ms"`
	SentMS  int64 `json:"sent_ms"`
}

func (s *stamp) limit() time.Duration { return time.Duration(s.LimitMS) * time.Millisecond }

// processStart is the zero of the clock of stamps.
var processStart = time.Now()

// withStamp returns the option that stamps a call, if its caller waits for a limited time.
func withStamp(ctx context.Context) []jsonrpc2.CallOption {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil
	}
	return []jsonrpc2.CallOption{jsonrpc2.Meta(stamp{time.Until(deadline).Milliseconds(), time.Since(processStart).Milliseconds()})}
}

// age returns how long ago a call was sent that was read at now, as far as its stamp tells. A
// call for which the connection had to be awaited is new.
func (s *stream) age(f frame, now time.Time) time.Duration {
	if f.stamp == nil {
		return 0
	}
	if f.awaited {
		s.ages.Reset()
	}
	steady := time.Unix(0, int64(now.Sub(processStart))) // not subject to steps of the wall clock
	return s.ages.Age(steady, time.Duration(f.stamp.SentMS)*time.Millisecond)
}

// parseHead returns the method and the stamp of a request as jsonrpc2 encodes it, with both
// before the parameters. The method of any other message is empty.
func parseHead(data []byte) (method string, s *stamp) {
	head, _, found := bytes.Cut(data, []byte(`,"params":`))
	if !found {
		return "", nil
	}
	_, rest, _ := bytes.Cut(head, []byte(`"jsonrpc":"2.0",`))
	if meta, ok := bytes.CutPrefix(rest, []byte(`"meta":`)); ok {
		end := bytes.IndexByte(meta, '}') + 1
		s = &stamp{}
		if json.Unmarshal(meta[:end], s) != nil {
			return "", nil
		}
		rest = bytes.TrimPrefix(meta[end:], []byte(","))
	}
	name, ok := bytes.CutPrefix(rest, []byte(`"method":"`))
	if !ok || len(name) == 0 {
		return "", nil
	}
	return string(name[:len(name)-1]), s
}
