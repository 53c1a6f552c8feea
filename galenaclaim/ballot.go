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
	// quorum is the number of votes that grant a claim.
	quorum = 2
)

// Decision is the outcome of a ballot, as far as it is known.
type Decision int

// Decisions of a ballot.
const (
	// Pending means that more replies are needed.
	Pending Decision = iota
	// Granted means that a quorum voted for the attempt.
	Granted
	// Done means that a replica returned the recorded result of another attempt.
	Done
	// Running means that another attempt may be running.
	Running
	// Split means that the replicas voted for three different attempts. None of
	// them has a quorum, so none can have run yet, and a new attempt may succeed.
	Split
	// Expired means that a quorum found the key outside the claim window.
	Expired
	// Undecided means that too few replicas voted.
	Undecided
)

// Ballot collects the replies of a key's replicas to one attempt.
type Ballot struct {
	replies [replicaCount]VoteReply
	// injectedQuorumOfOne is a defect that only tests enable, to prove that they
	// detect it: one vote grants the claim.
	injectedQuorumOfOne bool
}

// Add records the reply of the replica with the given index among the key's
// replicas and returns the decision so far.
func (b *Ballot) Add(replica int, reply VoteReply) Decision {
	b.replies[replica] = reply
	return b.decide(false)
}

// Close returns the final decision; a missing reply counts as no vote.
func (b *Ballot) Close() Decision { return b.decide(true) }

// Answer returns the recorded result if the decision is Done.
func (b *Ballot) Answer() galenahead.Answer {
	for _, r := range b.replies {
		if r.Vote == VoteDone && r.Answer != nil {
			return *r.Answer
		}
	}
	return galenahead.Answer{}
}

func (b *Ballot) decide(final bool) Decision {
	needed := quorum
	if b.injectedQuorumOfOne {
		needed = 1
	}
	switch {
	case b.countVotes(VoteDone) > 0:
		return Done
	case b.countVotes(VoteGranted) >= needed:
		return Granted
	case b.countVotes("") > 0 && !final:
		// Even if a quorum has become impossible, a missing reply may still carry a
		// recorded result.
		return Pending
	case b.isSplit():
		return Split
	case b.countVotes(VoteRunning) > 0:
		return Running
	case b.countRejections(RejectedExpired)+b.countRejections(RejectedFuture) >= quorum:
		return Expired
	}
	return Undecided
}

// isSplit reports whether every replica voted, each for a different attempt.
func (b *Ballot) isSplit() bool {
	var claimants []Attempt
	for _, r := range b.replies {
		switch {
		case r.Vote == VoteGranted:
		case r.Vote == VoteRunning && r.Claimant != nil && !slices.Contains(claimants, *r.Claimant):
			claimants = append(claimants, *r.Claimant)
		default:
			return false
		}
	}
	return true
}

func (b *Ballot) countVotes(v VoteKind) int {
	n := 0
	for _, r := range b.replies {
		if r.Vote == v {
			n++
		}
	}
	return n
}

func (b *Ballot) countRejections(reason RejectReason) int {
	n := 0
	for _, r := range b.replies {
		if r.Reason == reason {
			n++
		}
	}
	return n
}

// Replicas returns the indices of key's claim replicas in the configured list of
// entries, chosen by rendezvous hashing. They are in different data centres if
// the list has enough data centres. If the list has fewer than three entries, all
// of them are replicas.
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
	return spreadOverDataCentres(entries, ranked)
}

// spreadOverDataCentres first picks the best-ranked entry of each data centre and
// then fills the remaining places in order of rank.
func spreadOverDataCentres(entries []galenapeer.Entry, ranked []int) []int {
	chosen := make([]int, 0, replicaCount)
	for _, sameDC := range []bool{false, true} {
		for _, i := range ranked {
			if len(chosen) == replicaCount {
				return chosen
			}
			if slices.Contains(chosen, i) {
				continue
			}
			if sameDC || !coversDataCentre(entries, chosen, entries[i].DataCentre) {
				chosen = append(chosen, i)
			}
		}
	}
	return chosen
}

func coversDataCentre(entries []galenapeer.Entry, chosen []int, dc galenahead.DataCentre) bool {
	return slices.ContainsFunc(chosen, func(i int) bool { return entries[i].DataCentre == dc })
}

// mix spreads the bits of x; it is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
