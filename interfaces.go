package galenahead

import (
	"context"
	"time"
)

// Timers is the timer service that components subscribe to.
type Timers interface {
	// Now returns the current time with its monotonic reading.
	Now() time.Time
	// Subscribe sends the time every period until ctx ends. A tick that the
	// subscriber has not received yet is dropped.
	Subscribe(ctx context.Context, name string, period time.Duration) <-chan time.Time
	// After sends the time once after d, unless ctx ends first.
	After(ctx context.Context, d time.Duration) <-chan time.Time
}

// Caller calls methods of other processes of the system.
type Caller interface {
	// Call sends params to method of peer, an IP address with port, and decodes
	// the reply into result, which may be nil. It fails with the context's
	// error, a transport error, or the peer's error.
	Call(ctx context.Context, peer, method string, params, result any) error
}

// StateMachine is the deterministic state behind the replicated log.
type StateMachine interface {
	// Apply executes the command at index and returns its encoded result.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot.
	Restore(snapshot []byte) error
}

// ReplicatedLog orders commands on a majority of replicas.
type ReplicatedLog interface {
	// Propose appends a command and returns the state machine's result once the
	// command is committed and applied. It fails with ErrNotLeader when the
	// command was not appended here, and with ErrNoQuorum when its outcome is
	// not known.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// ReadBarrier returns nil when local state is current as of the call: this
	// replica leads, its lease holds, and all earlier commands are applied.
	ReadBarrier(ctx context.Context) error
	// Status returns this replica's view.
	Status() LogStatus
	// ChangeMember adds, promotes or removes one replica.
	ChangeMember(ctx context.Context, change MemberChange) error
	// Bootstrap starts a blank cluster with the given members. It fails with
	// ErrConflict when this replica holds any state.
	Bootstrap(ctx context.Context, members []Member) error
	// TransferLeadership asks another voter to take over, if this one leads, and
	// waits until it leads.
	TransferLeadership(ctx context.Context) error
}

// Member is one replica of the log.
type Member struct {
	Name        ReplicaName `json:"name"`
	Address     string      `json:"address"`
	Incarnation uint64      `json:"incarnation"`
	Voter       bool        `json:"voter"`
}

// MemberAction is a kind of membership change.
type MemberAction string

// Membership changes, one replica at a time.
const (
	MemberAddLearner MemberAction = "add_learner"
	MemberPromote    MemberAction = "promote"
	MemberRemove     MemberAction = "remove"
)

// MemberChange is one membership change.
type MemberChange struct {
	Action MemberAction `json:"action"`
	Member Member       `json:"member"`
}

// LogStatus is one replica's view of the log.
type LogStatus struct {
	Name        ReplicaName `json:"name"`
	Role        string      `json:"role"`
	Leader      ReplicaName `json:"leader"`
	Term        uint64      `json:"term"`
	CommitIndex uint64      `json:"commit_index"`
	Incarnation uint64      `json:"incarnation"`
	Members     []Member    `json:"members"`
}

// ClaimState is the state of a request key.
type ClaimState string

// Claim states.
const (
	// ClaimGranted lets the claimant send the request once.
	ClaimGranted ClaimState = "granted"
	// ClaimRunning means that another attempt may be running.
	ClaimRunning ClaimState = "running"
	// ClaimDone means that the result is recorded.
	ClaimDone ClaimState = "done"
)

// ClaimResult is the decision on a request key.
type ClaimResult struct {
	State ClaimState
	// Answer is the recorded result when State is ClaimDone.
	Answer Answer
}

// Claimer decides which attempt of a non-idempotent request may be sent.
type Claimer interface {
	// Claim asks for the key on behalf of attempt. It fails with ErrBadKey,
	// ErrKeyExpired or ErrClaimUndecided; then nothing may be sent.
	Claim(ctx context.Context, key RequestKey, attempt string) (ClaimResult, error)
	// Finish records the result of a granted attempt.
	Finish(ctx context.Context, key RequestKey, attempt string, a Answer) error
	// Release gives up a granted attempt of which no byte was sent.
	Release(ctx context.Context, key RequestKey, attempt string) error
}

// SlotPool holds the slot leases of this entry.
type SlotPool interface {
	// Want declares how many requests of a service wait here, by caller. The
	// broker shares the slots out by it.
	Want(service ServiceName, waiting map[CallerName]int)
	// Take marks one held, unexpired slot as in use. choose returns an index
	// into the candidates, or -1 for none.
	Take(service ServiceName, choose func(candidates []SlotLease) int) (SlotLease, bool)
	// Valid tells right before sending whether l may still be used.
	Valid(l SlotLease) bool
	// Put returns a slot after its request ended or was not sent.
	Put(l SlotLease)
	// Changed is closed or receives when slots of a service were added.
	Changed(service ServiceName) <-chan struct{}
	// Known tells whether the service has any instance, and how many slots it
	// has in all.
	Known(service ServiceName) (slots int, ok bool)
}

// Placer chooses workers for jobs.
type Placer interface {
	// Place chooses a worker. It fails with ErrQuota or ErrNoWorker.
	Place(job JobSpec, now time.Time) (Placement, error)
}

// JobSpec is what a job asks for. Memory is in MB.
type JobSpec struct {
	ID           JobID       `json:"id"`
	Team         TeamName    `json:"team"`
	Pool         PoolName    `json:"pool"`
	Service      ServiceName `json:"service"`
	Cores        int         `json:"cores"`
	MemoryMB     int         `json:"memory_mb"`
	Accelerators int         `json:"accelerators"`
	Urgent       bool        `json:"urgent"`
}

// Placement is a decision for one job.
type Placement struct {
	Worker VMName `json:"worker"`
	// Preempt lists deferrable jobs to checkpoint first.
	Preempt []JobID `json:"preempt,omitempty"`
	// Throttle lists deferrable jobs to throttle first.
	Throttle []JobID `json:"throttle,omitempty"`
	// Candidates is how many workers were compared.
	Candidates int    `json:"candidates"`
	Reason     string `json:"reason"`
}
