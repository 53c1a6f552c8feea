package galenafleet

import (
	"context"
	"sync"
	"time"

	"github.com/galenahead/galenahead"
)

// collector collects calls for a short time, so that many are forwarded in one message. Its
// zero value is ready to use once loop runs.
type collector[P, R any] struct {
	mu      sync.Mutex
	pending []collected[P, R]
	wake    chan struct{}
}

// collected is a call that waits for its result.
type collected[P, R any] struct {
	params P
	done   chan collectedResult[R]
}

type collectedResult[R any] struct {
	value R
	err   error
}

func (c *collector[P, R]) wakeUp() chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wake == nil {
		c.wake = make(chan struct{}, 1)
	}
	return c.wake
}

// do collects a call and returns its result.
func (c *collector[P, R]) do(ctx context.Context, params P) (R, error) {
	x := collected[P, R]{params, make(chan collectedResult[R], 1)}
	c.mu.Lock()
	c.pending = append(c.pending, x)
	c.mu.Unlock()
	notify(c.wakeUp())
	select {
	case r := <-x.done:
		return r.value, r.err
	case <-ctx.Done():
		var none R
		return none, ctx.Err()
	}
}

// loop forwards the collected calls, pause after the first of them, until ctx ends. forward
// runs in a goroutine of its own, and returns the result of each call.
func (c *collector[P, R]) loop(ctx context.Context, timers galenahead.Timers, pause time.Duration, forward func(ctx context.Context, calls []P) []collectedResult[R]) error {
	wake := c.wakeUp()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-wake:
		}
		<-timers.After(ctx, pause)
		c.mu.Lock()
		batch := c.pending
		c.pending = nil
		c.mu.Unlock()
		if len(batch) > 0 {
			go c.run(ctx, batch, forward)
		}
	}
}

// run forwards one batch.
func (c *collector[P, R]) run(ctx context.Context, batch []collected[P, R], forward func(ctx context.Context, calls []P) []collectedResult[R]) {
	calls := make([]P, len(batch))
	for i := range batch {
		calls[i] = batch[i].params
	}
	for i, r := range forward(ctx, calls) {
		batch[i].done <- r
	}
}

// failAll returns the same error for n calls.
func failAll[R any](n int, err error) []collectedResult[R] {
	out := make([]collectedResult[R], n)
	for i := range out {
		out[i].err = err
	}
	return out
}
