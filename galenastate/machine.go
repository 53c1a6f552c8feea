// Package galenastate implements the replicated state machine of the control
// daemons. It holds pools, VMs with their owners, services, quotas, maintenance
// waves, jobs, settings and request ids. It is deterministic: each command
// carries its time, and no clock is read.
package galenastate

import (
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/galenahead/galenahead"
)

// StateMachine implements galenahead.StateMachine. The zero value is an empty
// state. Its methods are safe for concurrent use.
type StateMachine struct {
	mu       sync.Mutex
	state    state
	requests requestTable
	view     *View
	faults   injectedFaults
	// snapshotSize is the size of the newest snapshot, in bytes.
	snapshotSize atomic.Int64
}

var _ galenahead.StateMachine = (*StateMachine)(nil)

// injectedFaults are defects that only tests enable, to prove that their checks
// detect them.
type injectedFaults struct {
	skipEpochCheck   bool
	skipReleaseProof bool
	omitRequestIDs   bool
	rerunSteps       bool
}

// state is the replicated state except for the request ids. A copy of it becomes an
// immutable view once gen of the original has been incremented.
type state struct {
	gen      uint64
	index    uint64
	revision galenahead.Revision
	// operatorRevision is the revision of the newest operator change. A base
	// revision older than it is stale. Driver changes do not make a base
	// revision stale, since waves and failures would starve operators.
	operatorRevision galenahead.Revision
	// lastEpoch is the largest epoch assigned to any VM or job. All epochs come
	// from this counter, so that a reused name gets a larger epoch.
	lastEpoch galenahead.Epoch
	// lastStep is the largest step number of any wave. A new wave starts after
	// it, so that late steps of an earlier wave of the same name are rejected.
	lastStep uint64

	pools    table[galenahead.PoolName, Pool]
	vms      table[galenahead.VMName, VM]
	services table[galenahead.ServiceName, Service]
	teams    table[galenahead.TeamName, Team]
	settings table[string, Setting]
	waves    table[string, Wave]
	jobs     table[galenahead.JobID, Job]
	// endedJobs lists done and cancelled jobs that have no worker, oldest first.
	endedJobs []galenahead.JobID

	history []historyRecord
	changes []recordChange
	// oldestDelta is the oldest revision after which changes is complete.
	oldestDelta galenahead.Revision

	// names interns the names that many VMs and jobs share.
	names map[string]string
}

// transaction applies one command to the state.
type transaction struct {
	*state
	command *Command
	faults  injectedFaults
	changed []recordChange
	// repeated is set if the command was already applied.
	repeated bool
}

// Apply executes the command at index and returns its encoded Result.
func (m *StateMachine) Apply(index uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.index = index
	m.view = nil
	c, err := DecodeCommand(command)
	if err != nil {
		return m.reject(invalid("command", err.Error(), "a CBOR command")).Encode()
	}
	return m.applyCommand(&c).Encode()
}

func (m *StateMachine) applyCommand(c *Command) Result {
	if err := checkCommand(c); err != nil {
		return m.reject(err)
	}
	if c.Change.FromDriver() {
		return m.execute(c)
	}
	return m.applyOperator(c)
}

func (m *StateMachine) reject(err error) Result {
	r := ResultFromError(err)
	r.Revision = m.state.revision
	return r
}

// applyOperator executes an operator change at most once per request id.
func (m *StateMachine) applyOperator(c *Command) Result {
	digest, err := contentDigest(c)
	if err != nil {
		return m.reject(invalid("change", err.Error(), "a change that can be encoded"))
	}
	if first, ok := m.requests.find(c.RequestID); ok {
		if first.Digest != digest {
			return m.reject(&rejection{CodeRequestIDReused, describe("request_id", c.RequestID, "an id that was not used for another change")})
		}
		return first.result()
	}
	record := requestRecord{ID: c.RequestID, Digest: digest}
	r := m.executeIfCurrent(c, &record)
	record.Revision = r.Revision
	if r.Code != CodeOK && record.Detail == nil {
		record.Detail = &requestDetail{Code: r.Code, Message: r.Message}
	}
	m.requests.add(record)
	return r
}

// executeIfCurrent executes an operator change unless its base revision is
// stale. It stores the details of a conflict in record.
func (m *StateMachine) executeIfCurrent(c *Command, record *requestRecord) Result {
	if c.BaseRevision > m.state.revision {
		return m.reject(invalid("base_revision", c.BaseRevision, describeMax(m.state.revision)))
	}
	if c.BaseRevision >= m.state.operatorRevision {
		return m.execute(c)
	}
	r := Result{Code: CodeConflict, Revision: m.state.revision}
	conflicting, ok := m.state.firstChangeAfter(c.BaseRevision)
	if ok {
		accepted := conflicting.decode()
		r.Winner = &accepted
	}
	record.Detail = &requestDetail{Code: CodeConflict, Winner: conflicting.Accepted}
	return r
}

// contentDigest returns a digest of the operator and the change, by which a
// reused request id is detected. Base revision and time are not part of it,
// since a client that resends a request may have read newer ones.
func contentDigest(c *Command) (uint64, error) {
	content, err := encoding.Marshal(Command{Operator: c.Operator, Change: c.Change})
	if err != nil {
		return 0, err
	}
	return xxhash.Sum64(content), nil
}

// execute validates and applies a change. A rejected change leaves the state
// unmodified.
func (m *StateMachine) execute(c *Command) Result {
	tx := transaction{state: &m.state, command: c, faults: m.faults}
	if err := tx.applyChange(); err != nil {
		return m.reject(err)
	}
	if tx.repeated {
		return Result{Revision: m.state.revision, Repeated: true}
	}
	tx.commit()
	return Result{Revision: m.state.revision}
}

// commit assigns a new revision and lists the changed records under it. A driver
// change that entries do not need gets no new revision.
func (tx *transaction) commit() {
	driver := tx.command.Change.FromDriver()
	if driver && len(tx.changed) == 0 {
		return
	}
	tx.revision++
	for _, change := range tx.changed {
		change.revision = tx.revision
		tx.appendChange(change)
	}
	if driver {
		return
	}
	tx.operatorRevision = tx.revision
	tx.appendHistory()
}

// appendChange adds a changed record to changes. When that drops old changes, it
// advances oldestDelta.
func (s *state) appendChange(c recordChange) {
	if n := len(s.changes); n >= 2*changeLimit {
		s.oldestDelta = s.changes[n-changeLimit-1].revision
	}
	s.changes = appendBounded(s.changes, changeLimit, c)
}

// appendHistory adds the command to the history of operator changes.
func (tx *transaction) appendHistory() {
	c := tx.command
	accepted := AcceptedChange{
		Revision:  tx.revision,
		RequestID: c.RequestID,
		Operator:  c.Operator,
		TimeMS:    c.TimeMS,
		Change:    c.Change,
	}
	b, err := encoding.Marshal(accepted)
	if err != nil {
		return
	}
	tx.history = appendBounded(tx.history, HistoryLimit, historyRecord{Revision: tx.revision, Accepted: cbor.ByteString(b)})
}

// applyChange calls the method for the change that is set.
func (tx *transaction) applyChange() error {
	c := &tx.command.Change
	switch {
	case c.PoolSet != nil:
		return tx.poolSet(c.PoolSet)
	case c.VMAdd != nil:
		return tx.vmAdd(c.VMAdd)
	case c.VMRemove != nil:
		return tx.vmRemove(c.VMRemove)
	case c.VMMove != nil:
		return tx.vmMove(c.VMMove)
	case c.VMReleased != nil:
		return tx.vmReleased(c.VMReleased)
	case c.VMAcquire != nil:
		return tx.vmAcquire(c.VMAcquire)
	case c.VMAcquired != nil:
		return tx.vmAcquired(c.VMAcquired)
	case c.VMCondition != nil:
		return tx.vmCondition(c.VMCondition)
	case c.ServiceSet != nil:
		return tx.serviceSet(c.ServiceSet)
	case c.TeamSet != nil:
		return tx.teamSet(c.TeamSet)
	case c.SettingSet != nil:
		return tx.settingSet(c.SettingSet)
	}
	return tx.applyWorkChange()
}

// applyWorkChange is applyChange for the changes of waves, jobs and workers.
func (tx *transaction) applyWorkChange() error {
	c := &tx.command.Change
	switch {
	case c.WaveStart != nil:
		return tx.waveStart(c.WaveStart)
	case c.WaveControl != nil:
		return tx.waveControl(c.WaveControl)
	case c.WaveStep != nil:
		return tx.waveStep(c.WaveStep)
	case c.JobSubmit != nil:
		return tx.jobSubmit(c.JobSubmit)
	case c.JobCancel != nil:
		return tx.jobCancel(c.JobCancel)
	case c.JobPlaced != nil:
		return tx.jobPlaced(c.JobPlaced)
	case c.JobStarted != nil:
		return tx.jobStarted(c.JobStarted)
	case c.JobFinished != nil:
		return tx.jobFinished(c.JobFinished)
	case c.JobFailed != nil:
		return tx.jobFailed(c.JobFailed)
	case c.JobParked != nil:
		return tx.jobParked(c.JobParked)
	default:
		return tx.workerParked(c.WorkerParked)
	}
}

// markChanged adds a record of the entries' configuration to the changed ones.
func (tx *transaction) markChanged(kind recordKind, name string) {
	tx.changed = append(tx.changed, recordChange{kind: kind, name: name})
}

// nextEpoch allocates an epoch.
func (tx *transaction) nextEpoch() galenahead.Epoch {
	tx.lastEpoch++
	return tx.lastEpoch
}
