package galenarpc

import (
	"context"
	"encoding/json"

	"github.com/galenahead/galenahead"
)

// LocalFirst implements galenahead.RPCClient. It calls the process's own methods without a
// connection.
type LocalFirst struct {
	galenahead.RPCClient
	// Self is the address of this process, whose methods are those of Mux.
	Self string
	Mux  *Mux
}

// Call implements galenahead.RPCClient. The call goes on in the process if ctx ends first.
func (c *LocalFirst) Call(ctx context.Context, addr, method string, params, result any) error {
	if addr != c.Self {
		return c.RPCClient.Call(ctx, addr, method, params, result)
	}
	x := &localCall{mux: c.Mux, method: method, params: params, done: make(chan localReply, 1)}
	go x.run(context.WithoutCancel(ctx))
	select {
	case r := <-x.done:
		if r.err != nil || result == nil {
			return r.err
		}
		return json.Unmarshal(r.reply, result)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// localCall is a call within the process.
type localCall struct {
	mux    *Mux
	method string
	params any
	done   chan localReply
}

type localReply struct {
	reply []byte
	err   error
}

func (x *localCall) run(ctx context.Context) {
	var raw json.RawMessage
	err := x.mux.Call(ctx, x.method, x.params, &raw)
	x.done <- localReply{raw, err}
}
