package galenarpc

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead/galenagate"
)

// Guards against a flood of calls that is read and decoded although the process has no turn
// for it, and against work on calls whose callers have given up.
func TestCallsWaitForTheirTurnUnread(t *testing.T) {
	is := is.New(t)
	const limit, calls = 200 * time.Millisecond, 200
	turn := &Turn{Gate: &galenagate.Gate{AtOnce: 1}, Class: galenagate.Demand}
	m := &Mux{}
	var served atomic.Int64
	HandleInTurn(m, "demand", turn, func(context.Context, int, time.Duration) (int, error) { return int(served.Add(1)), nil })
	Handle(m, "other", func(_ context.Context, n int) (int, error) { return n, nil })
	addr := serve(t, m)
	c := &Client{Stamped: true}
	defer c.Close()

	turn.Gate.Enter(galenagate.Renewal)
	var wg sync.WaitGroup
	var failed atomic.Int64
	for range calls {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			if err := c.Call(ctx, addr, "demand", 1, nil); errors.Is(err, context.DeadlineExceeded) {
				failed.Add(1)
			}
		})
	}
	wg.Wait()
	is.Equal(failed.Load(), int64(calls))
	is.Equal(turn.Gate.Waiting(galenagate.Demand), 1) // of the connection
	time.Sleep(limit)
	turn.Gate.Leave()

	var n int
	is.NoErr(c.Call(t.Context(), addr, "demand", 1, &n)) // a new one, behind them
	is.Equal(n, 1)
	is.Equal(turn.TakeExpired(), int64(calls))
	is.NoErr(m.Call(t.Context(), "demand", 1, &n)) // within the process
	is.Equal(n, 2)
	is.NoErr(c.Call(t.Context(), addr, "other", 3, &n))
	is.Equal(n, 3)
	is.True(c.Call(t.Context(), addr, "demand", "text", nil) != nil)
	is.Equal(turn.Gate.Waiting(galenagate.Demand), 0)
	turn.Gate.Enter(galenagate.Demand) // nothing holds the gate
	turn.Gate.Leave()
}

// Guards against ages that depend on the difference of two clocks, or on its drift.
func TestAgesOfCalls(t *testing.T) {
	is := is.New(t)
	s := &stream{}
	for _, call := range []struct {
		sent, read int
		awaited    bool
		age        int
	}{
		{500_000, 10, false, 0}, {500_010, 50, false, 30}, {500_020, 350, false, 320}, {500_300, 360, true, 0}, // its clock is slow
		{500_310, 400, false, 30}, {500_400, 400, false, 0}, // newer than thought
	} {
		f := frame{stamp: &stamp{SentMS: int64(call.sent)}, awaited: call.awaited}
		is.Equal(s.age(f, processStart.Add(time.Duration(call.read)*time.Millisecond)), time.Duration(call.age)*time.Millisecond)
	}
	is.Equal(s.age(frame{}, processStart), time.Duration(0))
}
