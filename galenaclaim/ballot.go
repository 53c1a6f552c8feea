package galenaclaim

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenapeer"
)

const (
	// replicaCount is the number of claim replicas of a key.
	replicaCount = 3
	// quorum is the number of votes that grants a claim.
	quorum = 2
)

// Decision is the state of a ballot.
type Decision int

// Decisions of a ballot.
const (
	// Pending waits for further replies.
	Pending Decision = iota
	// Granted has the votes of a quorum.
	Granted
	// Done has a recorded result.
	Done
	// Running means that another attempt may be running.
	Running
	// Split means that the replicas voted for three attempts, so that none of
	// them can have run yet; a new attempt may succeed.
	Split
	// Expired means that a quorum finds the key outside the claim window.
	Expired
	// Undecided means that too few replicas voted.
	Undecided
)

// Ballot collects the replies of a key's replicas to one attempt.
type Ballot struct {
	replies [replicaCount]VoteReply
	// oneVote is set by tests only, to show that the tests detect it.
	oneVote bool
}

// Add records the reply of replica i and returns the decision so far.
func (b *Ballot) Add(i int, r VoteReply) Decision {
	b.replies[i] = r
	return b.decide(false)
}

// Close returns the decision when no further reply is waited for.
func (b *Ballot) Close() Decision { return b.decide(true) }

// Answer returns the recorded result of a ballot decided as Done.
func (b *Ballot) Answer() galenahead.Answer {
	for _, r := range b.replies {
		if r.Vote == VoteDone && r.Answer != nil {
			return *r.Answer
		}
	}
	return galenahead.Answer{}
}

func (b *Ballot) decide(closed bool) Decision {
	need := quorum
	if b.oneVote {
		need = 1
	}
	switch {
	case b.count(VoteDone) > 0:
		return Done
	case b.count(VoteGranted) >= need:
		return Granted
	case b.count("") > 0 && !closed:
		// A result may still come, also when no quorum is possible any more.
		return Pending
	case b.split():
		return Split
	case b.count(VoteRunning) > 0:
		return Running
	case b.refused(RefusedExpired)+b.refused(RefusedFuture) >= quorum:
		return Expired
	}
	return Undecided
}

// split tells whether all replicas voted and no two of them for one attempt.
func (b *Ballot) split() bool {
	var holders []Attempt
	for _, r := range b.replies {
		switch {
		case r.Vote == VoteGranted:
		case r.Vote == VoteRunning && r.Holder != nil && !slices.Contains(holders, *r.Holder):
			holders = append(holders, *r.Holder)
		default:
			return false
		}
	}
	return true
}

func (b *Ballot) count(v VoteKind) int {
	n := 0
	for _, r := range b.replies {
		if r.Vote == v {
			n++
		}
	}
	return n
}

func (b *Ballot) refused(reason Refusal) int {
	n := 0
	for _, r := range b.replies {
		if r.Reason == reason {
			n++
		}
	}
	return n
}

// Replicas returns the indices of key's claim replicas in the configured list,
// by rendezvous hashing. They are in different data centres if the list has
// enough of them. A list of fewer than three entries yields all of them.
func Replicas(entries []galenapeer.Entry, key galenahead.RequestKey) []int {
	ranked := make([]int, len(entries))
	weights := make([]uint64, len(entries))
	keyHash := xxhash.Sum64String(string(key))
	for i, e := range entries {
		ranked[i] = i
		weights[i] = mix(keyHash ^ xxhash.Sum64String(string(e.Name)))
	}
	slices.SortFunc(ranked, func(a, b int) int {
		if weights[a] > weights[b] {
			return -1
		}
		return 1
	})
	return spread(entries, ranked)
}

// spread picks the best-ranked entry of each data centre first, and fills up
// in order of rank.
func spread(entries []galenapeer.Entry, ranked []int) []int {
	chosen := make([]int, 0, replicaCount)
	for _, sameDC := range []bool{false, true} {
		for _, i := range ranked {
			if len(chosen) == replicaCount {
				return chosen
			}
			if slices.Contains(chosen, i) {
				continue
			}
			if sameDC || !inDataCentre(entries, chosen, entries[i].DataCentre) {
				chosen = append(chosen, i)
			}
		}
	}
	return chosen
}

func inDataCentre(entries []galenapeer.Entry, chosen []int, dc galenahead.DataCentre) bool {
	return slices.ContainsFunc(chosen, func(i int) bool { return entries[i].DataCentre == dc })
}

// mix spreads the bits of x; it is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
