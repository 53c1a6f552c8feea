package galenajob

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an end that a restarted instance deletes before it is read, because the
// first poll that reaches it acknowledges the ends of its earlier incarnation.
func TestPollAfterSilenceAcknowledgesNothing(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a")
	first := runOne(t, s)
	resp := pollResponse(t, s, t0, "a")
	resp.Runs = []Run{{Item: first.Item, Number: first.Run}}
	resp.Ends = []End{{Sequence: 7, Item: ItemID{Job: "removed"}, Number: 1001, Reason: EndDone}}
	s.HandlePoll(t0, "a", resp)
	is.Equal(pollResponse(t, s, t0, "a").Cursor, int64(7))
	now := t0.Add(100 * time.Millisecond)
	s.HandleNoResponse("a", now)
	resp = pollResponse(t, s, now, "a")
	is.Equal(resp.Cursor, int64(0)) // it may have restarted
	resp.Runs = []Run{{Item: first.Item, Number: first.Run}}
	s.HandlePoll(now, "a", resp)
	is.Equal(pollResponse(t, s, now, "a").Cursor, int64(7))
}

// Guards against ends of a later incarnation that a poll deletes which was meant for the one
// before: polls that acknowledge nothing new can't.
func TestAcknowledgementIsSentUntilItIsAnswered(t *testing.T) {
	is := is.New(t)
	s := newFencedScheduler("a")
	first := runOne(t, s)
	poll := func(ends ...End) int64 {
		resp := pollResponse(t, s, t0, "a")
		resp.Runs, resp.Ends = []Run{{Item: first.Item, Number: first.Run}}, ends
		s.HandlePoll(t0, "a", resp)
		return resp.Cursor
	}
	end := func(sequence int64) End {
		return End{Sequence: sequence, Item: ItemID{Job: "removed"}, Number: 1001, Reason: EndDone}
	}
	is.Equal(poll(end(7)), int64(0))
	is.Equal(pollResponse(t, s, t0, "a").Cursor, int64(7)) // has no answer
	is.Equal(poll(), int64(7))
	is.Equal(poll(), int64(0))
	is.Equal(poll(end(8)), int64(0))
	is.Equal(poll(), int64(8))
	is.Equal(poll(), int64(0))
}
