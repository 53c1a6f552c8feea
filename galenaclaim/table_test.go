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

func instantAt(d time.Duration) galenapeer.Instant {
	return galenapeer.Instant{Mono: d, Wall: time.UnixMilli(1e12).Add(d)}
}

func keyAt(d time.Duration, i int) galenahead.RequestKey {
	return galenahead.RequestKey(fmt.Sprintf("%d-%d", instantAt(d).Wall.UnixMilli(), i))
}

// startedTable returns a table whose replica started an hour before instantAt(0).
func startedTable(maxKeys int) *Table {
	t := NewTable(instantAt(-time.Hour), testEntries, maxKeys)
	t.Tick(instantAt(-time.Hour), true)
	return t
}

func requestVote(t *Table, now galenapeer.Instant, key galenahead.RequestKey, sequence uint64) VoteReply {
	return t.Vote(now, true, VoteRequest{Key: key, Attempt: Attempt{Entry: "e0", Sequence: sequence}})
}

// Guards against a second vote on a key when the replica's clock is one second
// ahead before a restart and one second behind after it.
func TestRestartAcrossClockBound(t *testing.T) {
	is := is.New(t)
	key := keyAt(3*time.Second, 0)
	is.Equal(requestVote(startedTable(0), instantAt(galenapeer.MaxClockOffset), key, 1).Vote, VoteGranted)
	restarted := NewTable(instantAt(-galenapeer.MaxClockOffset), testEntries, 0)
	is.Equal(requestVote(restarted, instantAt(0), key, 2).Vote, VoteRejected)
	is.Equal(requestVote(restarted, instantAt(2*time.Second), key, 2).Reason, RejectedAfterRestart)
}

// Guards against votes on old keys when the replica starts with a clock that is far
// behind and is corrected later.
func TestRestartWithWrongClock(t *testing.T) {
	is := is.New(t)
	restarted := NewTable(instantAt(-time.Hour), testEntries, 0)
	req := VoteRequest{Key: keyAt(0, 0), Attempt: Attempt{Entry: "e0", Sequence: 1}}
	is.Equal(restarted.Vote(instantAt(-time.Hour), false, req).Reason, RejectedUntrustedClock)
	now := instantAt(time.Second)
	now.Mono = -time.Hour + time.Second
	is.Equal(restarted.Vote(now, true, req).Reason, RejectedAfterRestart)
}

// Guards against votes on keys outside the claim window, and against a second vote
// on a dropped key after the clock steps back.
func TestWindow(t *testing.T) {
	is := is.New(t)
	table := startedTable(0)
	is.Equal(requestVote(table, instantAt(0), keyAt(MaxKeyAhead+time.Second, 0), 1).Reason, RejectedFuture)
	is.Equal(requestVote(table, instantAt(0), keyAt(-ClaimWindow-time.Second, 0), 1).Reason, RejectedExpired)
	is.Equal(requestVote(table, instantAt(0), keyAt(0, 0), 1).Vote, VoteGranted)
	table.Tick(instantAt(ClaimWindow+time.Minute), true)
	is.Equal(table.Len(), 0)
	is.Equal(requestVote(table, instantAt(0), keyAt(0, 0), 2).Reason, RejectedExpired)
}

// Guards against a table that grows without bound, or drops keys to make room for
// new ones.
func TestFullTable(t *testing.T) {
	is := is.New(t)
	table := startedTable(2)
	is.Equal(requestVote(table, instantAt(0), keyAt(0, 0), 1).Vote, VoteGranted)
	is.Equal(requestVote(table, instantAt(0), keyAt(0, 1), 1).Vote, VoteGranted)
	is.Equal(requestVote(table, instantAt(0), keyAt(0, 2), 1).Reason, RejectedTableFull)
	is.Equal(requestVote(table, instantAt(0), keyAt(0, 0), 2).Vote, VoteRunning)
}

// Guards against results that exceed the maximum size, the maximum total size or
// the TTL.
func TestResultBounds(t *testing.T) {
	is := is.New(t)
	table := startedTable(0)
	finish := func(i, size int) galenahead.RequestKey {
		key := keyAt(0, i)
		a := galenahead.Answer{Body: make([]byte, size)}
		table.Finish(instantAt(0), true, FinishRequest{Key: key, Attempt: Attempt{Entry: "e0", Sequence: 1}, Answer: &a})
		return key
	}
	is.Equal(requestVote(table, instantAt(0), finish(0, MaxResultBytes+1), 2).Vote, VoteRunning)
	for i := range 2000 {
		finish(i+1, MaxResultBytes)
	}
	is.True(table.ResultBytes() <= MaxTotalResultBytes)
	is.True(table.ResultBytes() > MaxTotalResultBytes/2)
	last := finish(5000, 100)
	is.Equal(requestVote(table, instantAt(ResultTTL-1), last, 2).Vote, VoteDone)
	is.Equal(requestVote(table, instantAt(ResultTTL), last, 2).Vote, VoteRunning)
}

// Guards against replicas of a key in the same data centre, and against an uneven
// distribution of keys over the replicas.
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
	now := instantAt(0)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		requestVote(table, now, keys[i%len(keys)], 1)
		i++
	}
}
