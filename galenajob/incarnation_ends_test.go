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
