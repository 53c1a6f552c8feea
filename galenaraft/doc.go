// Package galenaraft implements the replicated log of the control daemons with
// the Raft algorithm: a single leader, randomized elections with pre-vote, a
// leader lease, membership changes of one replica at a time, and snapshots.
//
// The type core implements the algorithm. It is deterministic and uses no
// goroutines, clocks or files. The type engine connects a core to the log files
// and the state machine. It makes the term, the vote and log entries durable
// before it returns messages that depend on them. Node runs an engine over the
// network.
//
// Two rules make the lease safe. First, a replica grants no vote until the
// minimum election timeout has passed since it last received a message from a
// leader, or since it started. Second, a leader measures its lease from the time
// at which it sent the messages that a majority acknowledged. A leadership
// transfer is exempt from the first rule, so the old leader steps down and gives
// up its lease before it tells the target to campaign.
//
// The first entry of a term contains the ID of the term's leader. A candidate is
// also exempt from the first rule if it was the leader of the voter's current
// term: it is no longer the leader, and no other replica can hold a lease.
// Therefore, after a power loss of all replicas, the last leader is elected again
// as soon as a majority is reachable.
package galenaraft
