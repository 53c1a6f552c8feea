package galenaqueue

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "rewrite golden files")

var startTime = time.Unix(1_700_000_000, 0)

func newRequest(caller string, deadline time.Duration) galenahead.Request {
	return galenahead.Request{Caller: galenahead.CallerName(caller), Deadline: startTime.Add(deadline)}
}

func golden(t *testing.T, name, got string) {
	t.Helper()
	path := "testdata/" + name + ".golden"
	if *update {
		is.New(t).NoErr(os.WriteFile(path, []byte(got), 0o644))
	}
	want, err := os.ReadFile(path)
	is.New(t).NoErr(err)
	is.New(t).Equal(got, string(want))
}

// Guards against a burst of one caller that takes the share of the others,
// against ignored weights, and against unused shares that nobody gets.
func TestShares(t *testing.T) {
	is := is.New(t)
	q := New(Config{Weights: map[galenahead.CallerName]int{"b": 2}})
	for range 300 {
		_, err := q.Push(startTime, newRequest("a", time.Minute))
		is.NoErr(err)
	}
	for range 20 {
		for _, c := range []string{"b", "c"} {
			_, err := q.Push(startTime, newRequest(c, time.Minute))
			is.NoErr(err)
		}
	}
	var order strings.Builder
	for range 60 {
		ticket, ok := q.Pop(startTime)
		is.True(ok)
		order.WriteString(string(ticket.Request().Caller))
	}
	order.WriteString("\n")
	golden(t, "shares", order.String())
	is.Equal(q.Waiting()["a"], 300-20) // b and c are served; a gets only the rest
}

// Guards against a returning caller that waits a whole round for its share.
func TestIdleCallerReturns(t *testing.T) {
	is := is.New(t)
	q := New(Config{})
	for _, c := range []string{"a", "b", "c", "d"} {
		for range 10 {
			_, err := q.Push(startTime, newRequest(c, time.Minute))
			is.NoErr(err)
		}
	}
	q.Pop(startTime)
	_, err := q.Push(startTime, newRequest("late", time.Minute))
	is.NoErr(err)
	ticket, _ := q.Pop(startTime)
	is.Equal(ticket.Request().Caller, galenahead.CallerName("late"))
}

// Guards against serving in arrival order instead of by deadline, against
// serving requests that can no longer finish in time, and against expired
// tickets whose Done channel stays open.
func TestDeadlines(t *testing.T) {
	is := is.New(t)
	q := New(Config{Estimate: func(galenahead.Request) Estimate { return Estimate{Low: 10 * time.Millisecond} }})
	var tickets []*Ticket
	for _, d := range []time.Duration{300, 100, 200} {
		ticket, err := q.Push(startTime, newRequest("a", d*time.Millisecond))
		is.NoErr(err)
		tickets = append(tickets, ticket)
	}
	_, err := q.Push(startTime, newRequest("a", 9*time.Millisecond))
	is.True(errors.Is(err, galenahead.ErrDeadline))
	ticket, _ := q.Pop(startTime.Add(95 * time.Millisecond)) // 100 ms has 5 ms left
	is.Equal(ticket, tickets[2])
	<-tickets[1].Done()
	is.Equal(tickets[1].FinalState(), StateExpired)
	is.Equal(q.Expire(startTime.Add(time.Second)), 1)
	is.Equal(tickets[0].FinalState(), StateExpired)
	is.Equal(q.Len(), 0)
}

// Guards against queueing requests that would wait longer than their deadline
// allows, and against rejecting a caller because of another one's backlog.
func TestRejectsWhenWaitExceedsDeadline(t *testing.T) {
	is := is.New(t)
	q := New(Config{Estimate: func(galenahead.Request) Estimate { return Estimate{Mean: 10 * time.Millisecond} }})
	q.SetSlots(1)
	accepted := 0
	for ; accepted < 200; accepted++ {
		if _, err := q.Push(startTime, newRequest("burst", time.Second)); err != nil {
			is.True(errors.Is(err, galenahead.ErrDeadline))
			break
		}
	}
	is.Equal(accepted, 101) // 1 s of 10 ms requests, and the one in service
	_, err := q.Push(startTime, newRequest("other", 50*time.Millisecond))
	is.NoErr(err)
}

// Guards against rejecting requests that the measured drain rate allows, when an
// entry gets more slots than its even share.
func TestWaitFollowsDrainRate(t *testing.T) {
	is := is.New(t)
	q := New(Config{Estimate: func(galenahead.Request) Estimate { return Estimate{Mean: 100 * time.Millisecond} }})
	q.SetSlots(1)
	now := startTime
	for range 200 {
		for q.Len() < 20 {
			if _, err := q.Push(now, newRequest("a", time.Hour)); err != nil {
				t.Fatal(err)
			}
		}
		now = now.Add(10 * time.Millisecond)
		q.Pop(now)
	}
	_, err := q.Push(now, newRequest("a", now.Sub(startTime)+time.Hour))
	is.NoErr(err)
	wait := q.expectedWait(q.flows["a"], now.Add(2*time.Hour), Estimate{Mean: 100 * time.Millisecond})
	is.True(wait > 180*time.Millisecond && wait < 250*time.Millisecond) // 20 at 10 ms, not at 100 ms
}

// Guards against a burst of one caller that fills the queue for all others, by
// count or by bytes.
func TestLimits(t *testing.T) {
	is := is.New(t)
	q := New(Config{MaxRequests: 100, MaxBytes: 1000})
	push := func(caller string, size int) error {
		r := newRequest(caller, time.Minute)
		r.Body = make([]byte, size)
		_, err := q.Push(startTime, r)
		return err
	}
	for range 50 {
		is.NoErr(push("a", 0))
	}
	is.True(errors.Is(push("a", 0), galenahead.ErrQueueFull))
	is.NoErr(push("b", 500))
	is.True(errors.Is(push("b", 1), galenahead.ErrQueueFull))
	is.NoErr(push("c", 250))
}

// Guards against cancellations that cost more in a longer queue, that keep the
// request bodies in memory, or that succeed for a dispatched request.
func TestCancelBurst(t *testing.T) {
	is := is.New(t)
	const n = 20000
	q := New(Config{MaxRequests: 4 * n})
	tickets := make([]*Ticket, n)
	for i := range tickets {
		r := newRequest("a", time.Minute+time.Duration(i))
		r.Body = make([]byte, 8)
		tickets[i], _ = q.Push(startTime, r)
	}
	first, _ := q.Pop(startTime)
	is.Equal(q.Cancel(first), false)
	f := tickets[1].flow
	for _, ticket := range tickets[1:] {
		is.True(q.Cancel(ticket))
		is.Equal(q.Cancel(ticket), false)
		is.Equal(ticket.FinalState(), StateCancelled)
		is.Equal(len(ticket.Request().Body), 0)
		is.True(len(f.heap) <= 2*f.waiting+compactSlack)
	}
	is.Equal(q.Len(), 0)
	is.Equal(q.bytes, 0)
	_, ok := q.Pop(startTime)
	is.Equal(ok, false)
	is.Equal(len(q.flows), 0)
}

// Guards against counts that diverge from the queue's content over random
// operations, against tickets that reach a final state twice or never, and
// against a Dispatch that loses a request when acquire returns no slot.
func TestRandomOperations(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(seed, 1))
		q := New(Config{MaxRequests: 200})
		now := startTime
		var tickets []*Ticket
		ended := 0
		for range 3000 {
			now = now.Add(time.Duration(rng.IntN(1000)) * time.Microsecond)
			switch operation := rng.IntN(10); {
			case operation < 5:
				r := newRequest(fmt.Sprint(rng.IntN(5)), now.Sub(startTime)+time.Duration(rng.IntN(100))*time.Millisecond)
				if ticket, err := q.Push(now, r); err == nil {
					tickets = append(tickets, ticket)
				}
			case operation < 7:
				q.Pop(now)
			case operation < 8:
				before := q.Len()
				q.Dispatch(now, func(galenahead.Request) (galenahead.SlotLease, bool) { return galenahead.SlotLease{}, false })
				is.True(q.Len() <= before)
			case operation < 9 && len(tickets) > 0:
				q.Cancel(tickets[rng.IntN(len(tickets))])
			default:
				q.Expire(now)
			}
			waiting := 0
			for _, n := range q.Waiting() {
				waiting += n
			}
			is.Equal(waiting, q.Len())
		}
		q.Expire(now.Add(time.Hour))
		for _, ticket := range tickets {
			<-ticket.Done()
			ended++
		}
		is.Equal(ended, len(tickets))
		is.Equal(q.Len(), 0)
	}
}

func BenchmarkPushPop(b *testing.B) {
	q := New(Config{})
	callers := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	for i := range 1000 {
		q.Push(startTime, newRequest(callers[i%8], time.Minute+time.Duration(i)))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		q.Push(startTime, newRequest(callers[i%8], time.Minute+time.Duration(i)))
		q.Pop(startTime)
	}
}

func BenchmarkCancel(b *testing.B) {
	q := New(Config{MaxRequests: 1 << 30})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		ticket, _ := q.Push(startTime, newRequest("a", time.Minute+time.Duration(i)))
		q.Cancel(ticket)
	}
}
