package galenaclaim

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenapeer"
)

var testEntries = []galenapeer.Entry{
	{Name: "e0", DataCentre: "a"}, {Name: "e1", DataCentre: "a"}, {Name: "e2", DataCentre: "a"},
	{Name: "e3", DataCentre: "b"}, {Name: "e4", DataCentre: "b"}, {Name: "e5", DataCentre: "c"},
}

func at(d time.Duration) galenapeer.Instant {
	return galenapeer.Instant{Mono: d, Wall: time.UnixMilli(1e12).Add(d)}
}

func keyAt(d time.Duration, i int) galenahead.RequestKey {
	return galenahead.RequestKey(fmt.Sprintf("%d-%d", at(d).Wall.UnixMilli(), i))
}

// startedTable returns a table that has been running for an hour at time zero.
func startedTable(maxKeys int) *Table {
	t := NewTable(at(-time.Hour), testEntries, maxKeys)
	t.Tick(at(-time.Hour), true)
	return t
}

func ask(t *Table, now galenapeer.Instant, key galenahead.RequestKey, order uint64) VoteReply {
	return t.Vote(now, true, VoteRequest{Key: key, Attempt: Attempt{Entry: "e0", Order: order}})
}

// Guards against a replica that votes twice on a key because its clock was one
// second ahead before its restart and one second behind after it.
func TestRestartAcrossClockBound(t *testing.T) {
	is := is.New(t)
	key := keyAt(3*time.Second, 0)
	is.Equal(ask(startedTable(0), at(galenapeer.MaxClockOffset), key, 1).Vote, VoteGranted)
	restarted := NewTable(at(-galenapeer.MaxClockOffset), testEntries, 0)
	is.Equal(ask(restarted, at(0), key, 2).Vote, VoteRefused)
	is.Equal(ask(restarted, at(2*time.Second), key, 2).Reason, RefusedRestart)
}

// Guards against a start time taken from an untrusted clock far behind.
func TestRestartWithWrongClock(t *testing.T) {
	is := is.New(t)
	restarted := NewTable(at(-time.Hour), testEntries, 0)
	q := VoteRequest{Key: keyAt(0, 0), Attempt: Attempt{Entry: "e0", Order: 1}}
	is.Equal(restarted.Vote(at(-time.Hour), false, q).Reason, RefusedClock)
	now := at(time.Second)
	now.Mono = -time.Hour + time.Second
	is.Equal(restarted.Vote(now, true, q).Reason, RefusedRestart)
}

// Guards against votes outside the window, also when the clock steps back after
// keys were dropped.
func TestWindow(t *testing.T) {
	is := is.New(t)
	table := startedTable(0)
	is.Equal(ask(table, at(0), keyAt(MaxAhead+time.Second, 0), 1).Reason, RefusedFuture)
	is.Equal(ask(table, at(0), keyAt(-Window-time.Second, 0), 1).Reason, RefusedExpired)
	is.Equal(ask(table, at(0), keyAt(0, 0), 1).Vote, VoteGranted)
	table.Tick(at(Window+time.Minute), true)
	is.Equal(table.Len(), 0)
	is.Equal(ask(table, at(0), keyAt(0, 0), 2).Reason, RefusedExpired)
}

// Guards against a table that grows without bound or drops keys to make room.
func TestFullTable(t *testing.T) {
	is := is.New(t)
	table := startedTable(2)
	is.Equal(ask(table, at(0), keyAt(0, 0), 1).Vote, VoteGranted)
	is.Equal(ask(table, at(0), keyAt(0, 1), 1).Vote, VoteGranted)
	is.Equal(ask(table, at(0), keyAt(0, 2), 1).Reason, RefusedFull)
	is.Equal(ask(table, at(0), keyAt(0, 0), 2).Vote, VoteRunning)
}

// Guards against results beyond their bounds in size, total and time.
func TestResultBounds(t *testing.T) {
	is := is.New(t)
	table := startedTable(0)
	finish := func(i, size int) galenahead.RequestKey {
		key := keyAt(0, i)
		a := galenahead.Answer{Body: make([]byte, size)}
		table.Finish(at(0), true, FinishRequest{Key: key, Attempt: Attempt{Entry: "e0", Order: 1}, Answer: &a})
		return key
	}
	is.Equal(ask(table, at(0), finish(0, MaxResult+1), 2).Vote, VoteRunning)
	for i := range 2000 {
		finish(i+1, MaxResult)
	}
	is.True(table.ResultBytes() <= MaxResults)
	is.True(table.ResultBytes() > MaxResults/2)
	last := finish(5000, 100)
	is.Equal(ask(table, at(ResultTTL-1), last, 2).Vote, VoteDone)
	is.Equal(ask(table, at(ResultTTL), last, 2).Vote, VoteRunning)
}

// Guards against replicas in one data centre and an uneven spread of keys.
func TestReplicas(t *testing.T) {
	is := is.New(t)
	counts := make(map[int]int)
	for i := range 6000 {
		r := Replicas(testEntries, keyAt(0, i))
		is.Equal(len(r), replicaCount)
		seen := make(map[galenahead.DataCentre]bool)
		for _, j := range r {
			counts[j]++
			seen[testEntries[j].DataCentre] = true
		}
		is.Equal(len(seen), 3)
	}
	is.True(counts[0] > 1800 && counts[0] < 2200)
	is.Equal(len(Replicas(testEntries[:2], "1-a")), 2)
}

func BenchmarkVote(b *testing.B) {
	table := startedTable(0)
	keys := make([]galenahead.RequestKey, 1<<19)
	for i := range keys {
		keys[i] = keyAt(0, i)
	}
	now := at(0)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		ask(table, now, keys[i%len(keys)], 1)
		i++
	}
}
