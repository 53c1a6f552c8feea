package galenaqueue

import (
	"errors"
	"testing"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/matryer/is"
)

// Guards against spending slots during a burst on requests that will probably be
// late, and against rejecting such requests while their caller is within its
// share.
func TestAboveShareRejectsUnlikelyRequests(t *testing.T) {
	is := is.New(t)
	q := New(Config{Estimate: func(galenahead.Request) Estimate {
		return Estimate{Low: 10 * time.Millisecond, High: 100 * time.Millisecond}
	}})
	q.SetSlots(4)
	for range 2 {
		_, err := q.Push(startTime, newRequest("a", 50*time.Millisecond))
		is.NoErr(err) // unlikely to be on time, but within the share
	}
	for range 8 {
		_, err := q.Push(startTime, newRequest("a", time.Second))
		is.NoErr(err)
	}
	_, err := q.Push(startTime, newRequest("a", 50*time.Millisecond))
	is.True(errors.Is(err, galenahead.ErrDeadline))
	_, err = q.Push(startTime, newRequest("below-share", 50*time.Millisecond))
	is.NoErr(err)
	ticket, _ := q.Pop(startTime)
	is.Equal(ticket.Request().Deadline, startTime.Add(time.Second)) // the unlikely requests are dropped
	ticket, _ = q.Pop(startTime)
	is.Equal(ticket.Request().Caller, galenahead.CallerName("below-share"))
}
