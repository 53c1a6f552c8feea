package galenaclaim

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
)

// Guards against a second run of a request whose result is recorded, after a release of its
// attempt that arrives late.
func TestLateReleaseKeepsFinishedKey(t *testing.T) {
	is := is.New(t)
	table := startedTable(0)
	key, attempt := keyAt(0, 0), Attempt{Entry: "e0", Sequence: 1}
	is.Equal(requestVote(table, instantAt(0), key, 1).Vote, VoteGranted)
	table.Finish(instantAt(0), true, FinishRequest{Key: key, Attempt: attempt, Answer: &galenahead.Answer{}})
	table.Release(instantAt(0), true, ReleaseRequest{Key: key, Attempt: attempt})
	is.Equal(requestVote(table, instantAt(0), key, 2).Vote, VoteDone)
}

// Guards against a second vote on a key that a replica has dropped by a clock that was far
// ahead.
func TestUntrustedClockDropsNoKeys(t *testing.T) {
	is := is.New(t)
	table := startedTable(0)
	is.Equal(requestVote(table, instantAt(0), keyAt(0, 0), 1).Vote, VoteGranted)
	table.Tick(instantAt(ClaimWindow+time.Hour), false)
	is.Equal(table.Len(), 1)
}
