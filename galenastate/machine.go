// Package galenastate is the control state machine: pools, VMs with their
// owners, services, quotas, waves, jobs, settings and request ids. It is
// deterministic: a command carries its time, and no clock is read.
package galenastate

import (
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/galenahead/galenahead"
)

// Machine implements galenahead.StateMachine. Its zero value is an empty state.
// Its methods may be called concurrently.
type Machine struct {
	mu       sync.Mutex
	state    state
	requests requestTable
	view     *View
	faults   faults
	// snapshotSize is the length of the newest snapshot, in bytes.
	snapshotSize atomic.Int64
}

var _ galenahead.StateMachine = (*Machine)(nil)

// faults are defects that only tests set, to show that their checks find them.
type faults struct {
	ignoreEpoch    bool
	ignoreProof    bool
	forgetRequests bool
	repeatStep     bool
}

// state is everything that views show. A copy of it is a view once gen has
// been increased.
type state struct {
	gen      uint64
	index    uint64
	revision galenahead.Revision
	// operatorRevision is the revision of the newest operators' change. A base
	// revision older than it has lost. Drivers' changes do not make a base
	// revision stale, since waves and failures would starve operators.
	operatorRevision galenahead.Revision
	// epochs is the largest epoch given to any VM or job. Epochs come from one
	// counter so that a name that is used again gets a larger one.
	epochs galenahead.Epoch
	// steps is the largest step number of any wave; a new wave starts after it,
	// so that late steps of an earlier wave of the same name are refused.
	steps uint64

	pools    table[galenahead.PoolName, Pool]
	vms      table[galenahead.VMName, VM]
	services table[galenahead.ServiceName, Service]
	teams    table[galenahead.TeamName, Team]
	settings table[string, Setting]
	waves    table[string, Wave]
	jobs     table[galenahead.JobID, Job]
	// ended lists done and cancelled jobs, oldest first.
	ended []galenahead.JobID

	history []historyRecord
	deltas  []touched
	// deltaFloor is the oldest revision from which deltas are complete.
	deltaFloor galenahead.Revision

	// names holds one copy of each data centre and rack name.
	names map[string]string
}

// change is the work of one command.
type change struct {
	*state
	command *Command
	faults  faults
	touched []touched
	// repeated is set when the command had been applied before.
	repeated bool
}

// Apply executes the command at index and returns its encoded Result.
func (m *Machine) Apply(index uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.index = index
	m.view = nil
	c, err := DecodeCommand(command)
	if err != nil {
		return m.refuse(invalid("command", err.Error(), "a CBOR command")).Encode()
	}
	return m.applyCommand(&c).Encode()
}

func (m *Machine) applyCommand(c *Command) Result {
	if err := checkEnvelope(c); err != nil {
		return m.refuse(err)
	}
	if c.Change.Driver() {
		return m.execute(c)
	}
	return m.applyOperator(c)
}

func (m *Machine) refuse(err error) Result {
	r := ResultOf(err)
	r.Revision = m.state.revision
	return r
}

// applyOperator executes an operators' change at most once per request id.
func (m *Machine) applyOperator(c *Command) Result {
	digest, err := contentDigest(c)
	if err != nil {
		return m.refuse(invalid("change", err.Error(), "a change that can be encoded"))
	}
	if first, ok := m.requests.find(c.RequestID); ok {
		if first.Digest != digest {
			return m.refuse(&refusal{CodeRequestIDReused, describe("request_id", c.RequestID, "an id that was not used for another change")})
		}
		return first.result()
	}
	record := requestRecord{ID: c.RequestID, Digest: digest}
	r := m.executeAtBase(c, &record)
	record.Revision = r.Revision
	if r.Code != CodeOK && record.Detail == nil {
		record.Detail = &requestDetail{Code: r.Code, Message: r.Message}
	}
	m.requests.add(record)
	return r
}

// executeAtBase executes an operators' change unless its base revision lost.
func (m *Machine) executeAtBase(c *Command, record *requestRecord) Result {
	if c.Base > m.state.revision {
		return m.refuse(invalid("base_revision", c.Base, describeMax(m.state.revision)))
	}
	if c.Base >= m.state.operatorRevision {
		return m.execute(c)
	}
	r := Result{Code: CodeConflict, Revision: m.state.revision}
	winner, ok := m.state.winner(c.Base)
	if ok {
		w := winner.decode()
		r.Winner = &w
	}
	record.Detail = &requestDetail{Code: CodeConflict, Winner: winner.Accepted}
	return r
}

// contentDigest identifies what a request id stands for. Base revision and
// time are not part of it: a client that resends may have read newer ones.
func contentDigest(c *Command) (uint64, error) {
	content, err := encoding.Marshal(Command{Operator: c.Operator, Change: c.Change})
	if err != nil {
		return 0, err
	}
	return xxhash.Sum64(content), nil
}

// execute checks and makes a change. A refused change leaves the state as it
// was.
func (m *Machine) execute(c *Command) Result {
	ch := change{state: &m.state, command: c, faults: m.faults}
	if err := ch.make(); err != nil {
		return m.refuse(err)
	}
	if ch.repeated {
		return Result{Revision: m.state.revision, Repeated: true}
	}
	ch.commit()
	return Result{Revision: m.state.revision}
}

// commit assigns the revision. Drivers' changes that entries need not know
// keep the current one.
func (ch *change) commit() {
	driver := ch.command.Change.Driver()
	if driver && len(ch.touched) == 0 {
		return
	}
	ch.revision++
	for _, t := range ch.touched {
		t.revision = ch.revision
		ch.logTouched(t)
	}
	if driver {
		return
	}
	ch.operatorRevision = ch.revision
	ch.remember()
}

func (s *state) logTouched(t touched) {
	if n := len(s.deltas); n >= 2*deltaLimit {
		s.deltaFloor = s.deltas[n-deltaLimit-1].revision
	}
	s.deltas = appendBounded(s.deltas, deltaLimit, t)
}

// remember adds the command to the operators' history.
func (ch *change) remember() {
	c := ch.command
	a := Accepted{
		Revision:  ch.revision,
		RequestID: c.RequestID,
		Operator:  c.Operator,
		TimeMS:    c.TimeMS,
		Change:    c.Change,
	}
	b, err := encoding.Marshal(a)
	if err != nil {
		return
	}
	ch.history = appendBounded(ch.history, HistoryLimit, historyRecord{Revision: ch.revision, Accepted: cbor.ByteString(b)})
}

// make calls the method of the one change that is set.
func (ch *change) make() error {
	c := &ch.command.Change
	switch {
	case c.PoolSet != nil:
		return ch.poolSet(c.PoolSet)
	case c.VMAdd != nil:
		return ch.vmAdd(c.VMAdd)
	case c.VMRemove != nil:
		return ch.vmRemove(c.VMRemove)
	case c.VMMove != nil:
		return ch.vmMove(c.VMMove)
	case c.VMReleased != nil:
		return ch.vmReleased(c.VMReleased)
	case c.VMAcquire != nil:
		return ch.vmAcquire(c.VMAcquire)
	case c.VMAcquired != nil:
		return ch.vmAcquired(c.VMAcquired)
	case c.VMCondition != nil:
		return ch.vmCondition(c.VMCondition)
	case c.ServiceSet != nil:
		return ch.serviceSet(c.ServiceSet)
	case c.TeamSet != nil:
		return ch.teamSet(c.TeamSet)
	case c.SettingSet != nil:
		return ch.settingSet(c.SettingSet)
	}
	return ch.makeWork()
}

// makeWork handles the changes of waves and jobs.
func (ch *change) makeWork() error {
	c := &ch.command.Change
	switch {
	case c.WaveStart != nil:
		return ch.waveStart(c.WaveStart)
	case c.WaveControl != nil:
		return ch.waveControl(c.WaveControl)
	case c.WaveStep != nil:
		return ch.waveStep(c.WaveStep)
	case c.JobSubmit != nil:
		return ch.jobSubmit(c.JobSubmit)
	case c.JobCancel != nil:
		return ch.jobCancel(c.JobCancel)
	case c.JobPlaced != nil:
		return ch.jobPlaced(c.JobPlaced)
	case c.JobStarted != nil:
		return ch.jobStarted(c.JobStarted)
	case c.JobFinished != nil:
		return ch.jobFinished(c.JobFinished)
	case c.JobFailed != nil:
		return ch.jobFailed(c.JobFailed)
	case c.JobParked != nil:
		return ch.jobParked(c.JobParked)
	default:
		return ch.workerParked(c.WorkerPark)
	}
}

// touch marks a record that entries know as changed.
func (ch *change) touch(k kind, name string) {
	ch.touched = append(ch.touched, touched{kind: k, name: name})
}

// epoch returns the next epoch.
func (ch *change) epoch() galenahead.Epoch {
	ch.epochs++
	return ch.epochs
}
