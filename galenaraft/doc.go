// Package galenaraft is the replicated log of the control daemons: a log with a
// single leader, randomized election with pre-vote, a leader lease, membership
// changes of one replica at a time and snapshots.
//
// The type core decides; it is deterministic and has no goroutines, clocks or
// files. The type engine joins it with the files and the state machine in the
// order that safety needs: promises are durable before a message tells of
// them. Node runs an engine over the network.
//
// Two rules make the lease safe. A replica grants no vote within the shortest
// election timeout after it heard from a leader or after it started, and a
// leader counts its lease from when it sent the messages that a majority
// acknowledged. A leader that hands over gives up its lease for good before
// the other replica may campaign, because that campaign passes the first rule.
//
// The first entry of a term names its leader. A candidate that led the term of
// the replica it asks passes the first rule as well: it leads no more, and there
// is no other lease. So after a loss of power the last leader leads again as
// soon as a majority listens.
package galenaraft
