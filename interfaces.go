package galenahead

import (
	"context"
	"time"
)

// Timers is the clock and timer service of a process.
type Timers interface {
	// Now returns the current time with its monotonic reading.
	Now() time.Time
	// Subscribe sends the time every period until ctx ends. Ticks are dropped
	// while the subscriber has not received an earlier one.
	Subscribe(ctx context.Context, name string, period time.Duration) <-chan time.Time
	// After sends the time once after d, unless ctx ends first.
	After(ctx context.Context, d time.Duration) <-chan time.Time
}

// RPCClient calls RPC methods of other processes of the system.
type RPCClient interface {
	// Call calls method of peer, an IP address with port, with params and decodes
	// the reply into result, which may be nil. It fails with the error of ctx, a
	// transport error, or the peer's error.
	Call(ctx context.Context, peer, method string, params, result any) error
}

// StateMachine is the deterministic state machine that applies the commands of
// the replicated log.
type StateMachine interface {
	// Apply executes the command at index and returns its encoded result.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot.
	Restore(snapshot []byte) error
}

// ReplicatedLog orders commands and stores them on a majority of replicas.
type ReplicatedLog interface {
	// Propose appends a command and returns the state machine's result once the
	// command is committed and applied. It fails with ErrNotLeader when the
	// command was not appended here, and with ErrNoQuorum when its outcome is
	// not known.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// ReadBarrier returns nil when the local state is current as of the call: this
	// replica leads, its lease is valid, and all earlier commands are applied.
	ReadBarrier(ctx context.Context) error
	// Status returns this replica's view of the log.
	Status() LogStatus
	// ChangeMember adds, promotes or removes one replica.
	ChangeMember(ctx context.Context, change MemberChange) error
	// Bootstrap starts a new cluster with the given members. It fails with
	// ErrConflict when this replica has stored state.
	Bootstrap(ctx context.Context, members []Member) error
	// TransferLeadership transfers the leadership to another voter, if this
	// replica leads, and waits until that voter leads.
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

// Kinds of membership changes. Each concerns one replica.
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
	// Contacts holds the leader's contact with each of Members. Only the leader has it.
	Contacts []MemberContact `json:"-"`
}

// MemberContact is the contact of a leader with a member of the log.
type MemberContact struct {
	// Silence is how long the leader has not heard from the member. Without a response in
	// this term it counts from the election, or from the last message of a former leader.
	Silence time.Duration
	// Responded reports whether the member has responded in this term.
	Responded bool
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
	// Claim claims key for attempt. It fails with ErrBadKey, ErrKeyExpired or
	// ErrClaimUndecided; the request must not be sent then.
	Claim(ctx context.Context, key RequestKey, attempt string) (ClaimResult, error)
	// Finish records the result of a granted attempt.
	Finish(ctx context.Context, key RequestKey, attempt string, a Answer) error
	// Release gives up the claim of a granted attempt of which no byte was sent.
	Release(ctx context.Context, key RequestKey, attempt string) error
}

// SlotPool manages the slot leases that an entry holds.
type SlotPool interface {
	// SetWaiting sets how many requests for a service wait at this entry, by caller.
	// The broker allocates slots to the entries by these numbers.
	SetWaiting(service ServiceName, waiting map[CallerName]int)
	// Take marks a free slot with a valid lease as in use and returns its lease.
	// choose returns the index of the chosen candidate, or -1 for none.
	Take(service ServiceName, choose func(candidates []SlotLease) int) (SlotLease, bool)
	// Valid reports whether a request may still be sent under l. It is called
	// immediately before sending.
	Valid(l SlotLease) bool
	// Put marks a slot as free after its request ended or was not sent.
	Put(l SlotLease)
	// Changed returns a channel that is closed or receives a value when slots of a
	// service were added.
	Changed(service ServiceName) <-chan struct{}
	// Capacity returns the number of slots of all instances of a service, and false
	// when the service has no instance.
	Capacity(service ServiceName) (slots int, ok bool)
}

// Placer chooses workers for jobs.
type Placer interface {
	// Place chooses a worker. It fails with ErrQuota or ErrNoWorker.
	Place(job JobSpec, now time.Time) (Placement, error)
}

// JobSpec is what a job requires of a worker.
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

// Placement is the placement decision for one job.
type Placement struct {
	Worker VMName `json:"worker"`
	// Preempt lists deferrable jobs that must be checkpointed before the job
	// starts.
	Preempt []JobID `json:"preempt,omitempty"`
	// Throttle lists deferrable jobs that must be throttled before the job starts.
	Throttle []JobID `json:"throttle,omitempty"`
	// Candidates is the number of workers that were compared.
	Candidates int    `json:"candidates"`
	Reason     string `json:"reason"`
}
