package galenahead

import "github.com/rotisserie/eris"

// Sentinel errors, tested with errors.Is.
var (
	// ErrBadKey reports a request key that is not of the documented form.
	ErrBadKey = eris.New("request key is not of the form <unix ms>-<random>")
	// ErrKeyExpired reports a request key outside the claim window.
	ErrKeyExpired = eris.New("request key is outside the claim window")
	// ErrClaimUndecided reports a claim without a quorum of votes.
	ErrClaimUndecided = eris.New("claim has no quorum")
	// ErrConflict reports a change whose base revision is stale because another
	// change was accepted first.
	ErrConflict = eris.New("base revision is not the latest")
	// ErrRequestIDReused reports a request id that was used with other content.
	ErrRequestIDReused = eris.New("request id was used for another change")
	// ErrInvalid reports a change that breaks a rule of the control state.
	ErrInvalid = eris.New("invalid change")
	// ErrNotFound reports a name that is not in the control state.
	ErrNotFound = eris.New("not found")
	// ErrNotLeader reports a call to a replica that is not the leader.
	ErrNotLeader = eris.New("not the leader")
	// ErrNoQuorum reports that no majority of the replicas responded in time.
	ErrNoQuorum = eris.New("no quorum")
	// ErrLeaseExpired reports an action under an expired lease.
	ErrLeaseExpired = eris.New("lease expired")
	// ErrQueueFull reports a queue at its limit.
	ErrQueueFull = eris.New("queue is full")
	// ErrDeadline reports a request that cannot finish before its deadline.
	ErrDeadline = eris.New("deadline cannot be met")
	// ErrNotReady reports that an entry must not serve requests now.
	ErrNotReady = eris.New("entry is not ready")
	// ErrUnreachable reports a call that was not sent because no connection could
	// be opened.
	ErrUnreachable = eris.New("peer is unreachable")
	// ErrCorrupt reports a stored file with a damaged record before the last one.
	ErrCorrupt = eris.New("stored data is corrupt")
	// ErrQuota reports a job that would exceed its team's quota.
	ErrQuota = eris.New("team quota exceeded")
	// ErrOverloaded reports a call that was rejected before any of it was carried out,
	// because the process has more work than it can do in time.
	ErrOverloaded = eris.New("overloaded")
	// ErrNoWorker reports a job that no worker can run now.
	ErrNoWorker = eris.New("no worker fits")
)
