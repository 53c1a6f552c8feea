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
	// ErrConflict reports a change that lost against another one with the same
	// base revision.
	ErrConflict = eris.New("base revision is not the latest")
	// ErrRequestIDReused reports a request id that came with other content.
	ErrRequestIDReused = eris.New("request id was used for another change")
	// ErrInvalid reports a change that breaks a rule of the control state.
	ErrInvalid = eris.New("invalid change")
	// ErrNotFound reports a name that is not in the control state.
	ErrNotFound = eris.New("not found")
	// ErrNotLeader reports a call to a replica that does not lead.
	ErrNotLeader = eris.New("not the leader")
	// ErrNoQuorum reports that no majority answered in time.
	ErrNoQuorum = eris.New("no quorum")
	// ErrLeaseExpired reports an action under a lease that ran out.
	ErrLeaseExpired = eris.New("lease expired")
	// ErrQueueFull reports a queue at its limit.
	ErrQueueFull = eris.New("queue is full")
	// ErrDeadline reports a request that cannot finish before its deadline.
	ErrDeadline = eris.New("deadline cannot be met")
	// ErrNotReady reports an entry that must not serve.
	ErrNotReady = eris.New("entry is not ready")
	// ErrUnreachable reports a call that was not sent, since no connection could
	// be opened.
	ErrUnreachable = eris.New("peer is unreachable")
	// ErrCorrupt reports damage in a stored file before its last record.
	ErrCorrupt = eris.New("stored data is corrupt")
	// ErrQuota reports a job beyond its team's quota.
	ErrQuota = eris.New("team quota exceeded")
	// ErrNoWorker reports a job that fits on no worker now.
	ErrNoWorker = eris.New("no worker fits")
)
