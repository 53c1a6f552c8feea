package galenafleet

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenaaccount"
	"github.com/galenahead/galenahead/galenaintake"
	"github.com/galenahead/galenahead/galenajob"
)

// State is the replicated state of the fleet. It implements
// galenahead.StateMachine and is safe for concurrent use. Its zero value is ready
// to use.
type State struct {
	// Timers is the clock of orderSeenAt. If it is nil, no order delays a new owner.
	Timers galenahead.Timers
	// ProcessStart is the time of day at which this process started. Earlier orders do
	// not delay this process as a new owner, since it did not compete with the
	// owner that sent them.
	ProcessStart time.Time
	// Room counts what the jobs hold. It may be nil.
	Room *galenaintake.Room

	mu     sync.RWMutex
	epoch  uint64
	config *Config
	// queues finds the queue of a request in config, and keys the account of a key.
	queues queueIndex
	keys   galenaaccount.Keys
	// retired are the accounts that config does not name any more and that may have jobs.
	retired []galenaaccount.Account
	jobs    map[galenahead.JobID]*galenajob.Job
	// cancelledUnknown holds when jobs were cancelled that were not known, until they would
	// be forgotten as cancelled jobs. A submission that arrives later is not accepted. Its keys
	// are those of cancelKey.
	cancelledUnknown map[galenahead.JobID]time.Time
	instances        map[galenahead.InstanceID]galenajob.Instance
	// left holds the last incarnations that have left, until their jobs would be forgotten.
	left map[galenahead.InstanceID]LeftOp
	// restarts holds the registered incarnations that follow another one.
	restarts map[galenahead.InstanceID]restart
	waves    map[int64]*Wave
	orders   map[galenahead.VMName]MachineOrder
	// orderSeenAt holds when this replica learned of the last order to each machine,
	// on its own clock.
	orderSeenAt map[galenahead.VMName]time.Time
	// demandPeaks holds the last demand peaks, oldest first.
	demandPeaks []DemandPeak
}

var _ galenahead.StateMachine = (*State)(nil)

func (s *State) init() {
	if s.jobs == nil {
		s.jobs = map[galenahead.JobID]*galenajob.Job{}
		s.cancelledUnknown = map[galenahead.JobID]time.Time{}
		s.instances = map[galenahead.InstanceID]galenajob.Instance{}
		s.left = map[galenahead.InstanceID]LeftOp{}
		s.restarts = map[galenahead.InstanceID]restart{}
		s.waves = map[int64]*Wave{}
		s.orders = map[galenahead.VMName]MachineOrder{}
		s.orderSeenAt = map[galenahead.VMName]time.Time{}
	}
}

// Apply implements galenahead.StateMachine.
func (s *State) Apply(_ uint64, command []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	c, err := decodeCommand(command)
	if err != nil {
		// All replicas skip it, since they get the same bytes. The owner that
		// proposed it gets no results, which ends its session.
		return nil
	}
	results := make([]Result, len(c.Ops))
	for i := range c.Ops {
		results[i] = s.applyOp(&c.Ops[i])
	}
	b, err := encoding.Marshal(results)
	if err != nil {
		return nil
	}
	return b
}

func (s *State) applyOp(op *Op) Result {
	switch {
	case op.Owner != nil:
		s.epoch++
		return Result{Code: CodeDone, Epoch: s.epoch}
	case op.Config != nil:
		return s.applyConfig(op.Config)
	case op.Submit != nil:
		return s.applySubmit(op.Submit)
	case op.Cancel != nil:
		return s.applyCancel(op.Cancel)
	case op.End != nil:
		return s.applyEnd(op.End)
	case op.Crash != nil:
		return s.applyCrash(op.Crash)
	case op.Clear != nil:
		return s.applyClear(op.Clear)
	case op.Instance != nil:
		s.recordRestart(*op.Instance)
		s.instances[op.Instance.ID] = *op.Instance
		return Result{Code: CodeDone}
	case op.Remove != nil:
		delete(s.instances, *op.Remove)
		delete(s.restarts, *op.Remove)
		if op.Left != nil {
			s.left[*op.Remove] = *op.Left
		}
		return Result{Code: CodeDone}
	case op.Left != nil:
		s.left[op.Left.Instance] = *op.Left
		return Result{Code: CodeDone}
	case op.Fenced != nil:
		return s.applyFenced(op.Fenced)
	case op.Unanswered != nil:
		return s.applyUnanswered(op.Unanswered)
	case op.Answered != nil:
		return s.applyAnswered(op.Answered)
	case op.Reassign != nil:
		return s.applyReassign(op.Reassign)
	case op.Wave != nil:
		return s.applyWave(op.Wave)
	case op.WaveStep != nil:
		return s.applyWaveStep(op.WaveStep)
	case op.Order != nil:
		s.recordOrder(*op.Order)
		return Result{Code: CodeDone}
	case op.Peak != nil:
		s.applyPeak(*op.Peak)
		return Result{Code: CodeDone}
	case op.Expire != nil:
		s.expireJobs(*op.Expire)
		return Result{Code: CodeDone}
	}
	return Result{Code: CodeNotFound}
}

func (s *State) applyConfig(c *Config) Result {
	if s.config != nil && c.Version <= s.config.Version {
		return Result{Code: CodeUnchanged}
	}
	if s.config != nil {
		s.retired = galenaaccount.Retire(s.retired, s.config.Accounts, c.Accounts)
	}
	s.setConfig(c)
	return Result{Code: CodeDone}
}

// cancelKey identifies a job that was cancelled by an account while it was not known. What one
// account cancels says nothing about the jobs of another. IDs of jobs contain no slash.
func cancelKey(account galenahead.AccountName, id galenahead.JobID) galenahead.JobID {
	if account == "" {
		return id
	}
	return galenahead.JobID(account) + "/" + id
}

// visible reports whether an account may see and cancel a job. Jobs without an account are
// those of public queues, and from before there were accounts.
func visible(j *galenajob.Job, account galenahead.AccountName) bool {
	return j.Account == "" || j.Account == account
}

func (s *State) applySubmit(j *galenajob.Job) Result {
	if old, ok := s.jobs[j.ID]; ok && !visible(old, j.Account) {
		return Result{Code: CodeTaken}
	} else if ok {
		return Result{Code: CodeUnchanged, JobState: old.State}
	}
	if _, ok := s.cancelledUnknown[cancelKey(j.Account, j.ID)]; ok {
		return Result{Code: CodeCancelled}
	}
	j.ItemsLeft = j.Spec.ItemsPerOccurrence() * j.Spec.Occurrences()
	j.State = galenajob.StateQueued
	j.Items, j.DoneItems = map[galenajob.ItemKey]galenajob.ItemRecord{}, map[int]int{}
	s.jobs[j.ID] = j
	s.count(j)
	return Result{Code: CodeDone, JobState: j.State}
}

func (s *State) applyCancel(c *CancelOp) Result {
	j, ok := s.jobs[c.Job]
	if !ok || !visible(j, c.Account) {
		key := cancelKey(c.Account, c.Job)
		if _, known := s.cancelledUnknown[key]; !known {
			s.Room.Force(holderForgotten, galenajob.HeldByUnknownJob)
		}
		s.cancelledUnknown[key] = c.At
		return Result{Code: CodeNotFound}
	}
	if j.State.Final() {
		return Result{Code: CodeUnchanged, JobState: j.State}
	}
	s.finishJob(j, galenajob.StateCancelled, c.At)
	return Result{Code: CodeDone, JobState: j.State}
}

// finishJob makes a job final and drops its work items and its spec, which are no
// longer needed.
func (s *State) finishJob(j *galenajob.Job, state galenajob.State, at time.Time) {
	s.Room.Free(galenajob.Holder(j.Account, j.Queue), j.Spec.HeldBytes())
	j.State, j.Ended = state, at
	j.Items, j.DoneItems, j.Unanswered, j.Over = nil, nil, nil, galenajob.OccurrenceSet{}
	j.Spec = galenajob.Spec{}
	s.count(j)
}

// holderForgotten holds what the state keeps for a while of jobs that are final or not known.
const holderForgotten = "forgotten later"

// count counts what a job holds that was not counted in its present state.
func (s *State) count(j *galenajob.Job) {
	if j.State.Final() {
		s.Room.Force(holderForgotten, galenajob.HeldByFinalJob)
		return
	}
	s.Room.Force(galenajob.Holder(j.Account, j.Queue), j.Spec.HeldBytes())
}

func (s *State) applyEnd(e *EndOp) Result {
	j, ok := s.jobs[e.Job]
	if !ok {
		return Result{Code: CodeNotFound}
	}
	if j.State.Final() || e.Item.Step < 0 || e.Item.Step >= len(j.Spec.Steps) || j.Over.Has(e.Item.Occurrence) {
		return Result{Code: CodeUnchanged, JobState: j.State}
	}
	record := j.Items[e.Item]
	// A run can end as failed and, executed once more by a later incarnation, as done.
	if record.Done || e.How == galenajob.EndFailed && slices.Contains(record.Failed, e.Run) {
		return Result{Code: CodeUnchanged, JobState: j.State}
	}
	j.State = galenajob.StateRunning
	if step := &j.Spec.Steps[e.Item.Step]; !step.LongRunning {
		s.countEnd(j, step, e)
	}
	return Result{Code: CodeDone, JobState: j.State}
}

// applyCrash records a crash under a work item. It ends no job: only runs that end as failed
// count as attempts.
func (s *State) applyCrash(c *CrashOp) Result {
	j, ok := s.jobs[c.Job]
	if !ok {
		return Result{Code: CodeNotFound}
	}
	record := j.Items[c.Item]
	unknown := c.Item.Step < 0 || c.Item.Step >= len(j.Spec.Steps) || j.Over.Has(c.Item.Occurrence)
	if j.State.Final() || unknown || record.Done || record.CrashedIn(c.Run) || c.Run <= record.Cleared {
		return Result{Code: CodeUnchanged, JobState: j.State}
	}
	j.Items[c.Item] = record.WithCleared(c.Cleared).WithCrash(c.Run, c.Uncertain)
	return Result{Code: CodeDone, JobState: j.State}
}

// applyClear forgets the crashes under a run of a work item and under earlier ones.
func (s *State) applyClear(c *ClearOp) Result {
	j, ok := s.jobs[c.Job]
	if !ok {
		return Result{Code: CodeNotFound}
	}
	record, ok := j.Items[c.Item]
	if !ok || j.State.Final() || c.Run <= record.Cleared {
		return Result{Code: CodeUnchanged, JobState: j.State}
	}
	j.Items[c.Item] = record.WithCleared(c.Run)
	return Result{Code: CodeDone, JobState: j.State}
}

// countEnd adds the end of a run to the record of its work item. A successful end in
// a gang step completes all members of the gang.
func (s *State) countEnd(j *galenajob.Job, step *galenajob.Step, e *EndOp) {
	if e.How == galenajob.EndFailed {
		record := j.Items[e.Item]
		record.Failed = append(slices.Clone(record.Failed), e.Run)
		j.Items[e.Item] = record
		if len(record.Failed) >= max(1, j.MaxAttempts) {
			s.finishJob(j, galenajob.StateFailed, e.At)
		}
		return
	}
	first, last := e.Item.Index, e.Item.Index
	if step.Gang {
		first, last = 0, step.Count-1
	}
	for i := first; i <= last; i++ {
		k := galenajob.ItemKey{Occurrence: e.Item.Occurrence, Step: e.Item.Step, Index: i}
		record := j.Items[k]
		if record.Done {
			continue
		}
		record.Done = true
		j.Items[k] = record
		delete(j.Unanswered, k)
		j.ItemsLeft--
		j.DoneItems[k.Occurrence]++
	}
	if j.ItemsLeft == 0 {
		s.finishJob(j, galenajob.StateCompleted, e.At)
		return
	}
	forgetOver(j, e.Item.Occurrence)
}

// forgetOver forgets the records of an occurrence if all its work items are done.
func forgetOver(j *galenajob.Job, occurrence int) {
	if j.Spec.Repetitions == 0 || j.DoneItems[occurrence] < j.Spec.ItemsPerOccurrence() {
		return
	}
	maps.DeleteFunc(j.Items, func(k galenajob.ItemKey, _ galenajob.ItemRecord) bool { return k.Occurrence == occurrence })
	delete(j.DoneItems, occurrence)
	j.Over = j.Over.With(occurrence)
}

func (s *State) applyReassign(r *ReassignOp) Result {
	j, ok := s.jobs[r.Job]
	if !ok {
		return Result{Code: CodeNotFound}
	}
	if j.State.Final() {
		return Result{Code: CodeUnchanged, JobState: j.State}
	}
	j.Service = r.Service
	return Result{Code: CodeDone, JobState: j.State}
}

func (s *State) applyWave(w *Wave) Result {
	if _, ok := s.waves[w.ID]; ok {
		return Result{Code: CodeUnchanged}
	}
	w.Steps = map[galenahead.VMName]StepState{}
	s.waves[w.ID] = w
	s.Room.Force(holderWaves, w.heldBytes())
	return Result{Code: CodeDone}
}

// holderWaves holds the maintenance waves.
const holderWaves = "maintenance waves"

func (s *State) applyWaveStep(o *WaveStepOp) Result {
	w, ok := s.waves[o.Wave]
	if !ok {
		return Result{Code: CodeNotFound}
	}
	w.Steps[o.Machine] = o.State
	return Result{Code: CodeDone}
}

// expireJobs deletes the jobs that became final before cutoff, and the records of unknown
// jobs that were cancelled and of instances that left before it.
func (s *State) expireJobs(cutoff time.Time) {
	maps.DeleteFunc(s.cancelledUnknown, func(_ galenahead.JobID, at time.Time) bool {
		if !at.Before(cutoff) {
			return false
		}
		s.Room.Free(holderForgotten, galenajob.HeldByUnknownJob)
		return true
	})
	maps.DeleteFunc(s.left, func(_ galenahead.InstanceID, l LeftOp) bool { return l.At.Before(cutoff) })
	maps.DeleteFunc(s.jobs, func(_ galenahead.JobID, j *galenajob.Job) bool {
		if !j.State.Final() || !j.Ended.Before(cutoff) {
			return false
		}
		s.Room.Free(holderForgotten, galenajob.HeldByFinalJob)
		return true
	})
	s.expireRetired()
}

// expireRetired forgets the retired accounts that have no jobs left.
func (s *State) expireRetired() {
	if len(s.retired) == 0 {
		return
	}
	left := map[galenahead.AccountName]bool{}
	for _, j := range s.jobs {
		left[j.Account] = left[j.Account] || !j.State.Final()
	}
	s.retired = slices.DeleteFunc(slices.Clone(s.retired), func(a galenaaccount.Account) bool { return !left[a.Name] })
}

// snapshot is the encoded form of a State.
type snapshot struct {
	Epoch     uint64               `cbor:"1,keyasint"`
	Config    *Config              `cbor:"2,keyasint"`
	Jobs      []storedJob          `cbor:"3,keyasint"`
	Instances []galenajob.Instance `cbor:"4,keyasint"`
	Waves     []*Wave              `cbor:"5,keyasint"`
	Orders    []MachineOrder       `cbor:"6,keyasint"`
	Peaks     []DemandPeak         `cbor:"7,keyasint"`
	// Left is missing in snapshots of earlier versions.
	Left map[galenahead.InstanceID]LeftOp `cbor:"8,keyasint,omitempty"`
	// CancelledUnknown is missing in snapshots of earlier versions.
	CancelledUnknown map[galenahead.JobID]time.Time `cbor:"9,keyasint,omitempty"`
	// Restarts is missing in snapshots of earlier versions.
	Restarts map[galenahead.InstanceID]restart `cbor:"10,keyasint,omitempty"`
	// Retired is missing in snapshots of earlier versions.
	Retired []galenaaccount.Account `cbor:"11,keyasint,omitempty"`
}

type storedJob struct {
	Job   *galenajob.Job `cbor:"1,keyasint"`
	Items []storedItem   `cbor:"2,keyasint"`
	// Unanswered is missing in snapshots of earlier versions.
	Unanswered []storedUnanswered `cbor:"3,keyasint,omitempty"`
}

type storedItem struct {
	Key   galenajob.ItemKey    `cbor:"1,keyasint"`
	Facts galenajob.ItemRecord `cbor:"2,keyasint"`
}

// Snapshot implements galenahead.StateMachine.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := snapshot{Epoch: s.epoch, Config: s.config, Peaks: s.demandPeaks, Left: s.left, CancelledUnknown: s.cancelledUnknown, Restarts: s.restarts, Retired: s.retired}
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		out.Jobs = append(out.Jobs, s.encodableJob(s.jobs[id]))
	}
	for _, id := range slices.Sorted(maps.Keys(s.instances)) {
		out.Instances = append(out.Instances, s.instances[id])
	}
	for _, id := range slices.Sorted(maps.Keys(s.waves)) {
		out.Waves = append(out.Waves, s.waves[id])
	}
	for _, name := range slices.Sorted(maps.Keys(s.orders)) {
		out.Orders = append(out.Orders, s.orders[name])
	}
	b, err := encoding.Marshal(out)
	return b, eris.Wrap(err, "encode the fleet's state")
}

func (s *State) encodableJob(j *galenajob.Job) storedJob {
	out := storedJob{Job: j}
	for k, record := range j.Items {
		out.Items = append(out.Items, storedItem{k, record})
	}
	slices.SortFunc(out.Items, func(a, b storedItem) int { return compareKeys(a.Key, b.Key) })
	out.Unanswered = storedUnansweredStarts(j)
	return out
}

// Restore implements galenahead.StateMachine.
func (s *State) Restore(b []byte) error {
	var in snapshot
	if err := decoding.Unmarshal(b, &in); err != nil {
		return eris.Wrap(err, "decode the fleet's state")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch, s.demandPeaks = in.Epoch, in.Peaks
	s.setConfig(in.Config)
	s.retired = in.Retired
	s.jobs = nil
	s.init()
	s.Room.Reset()
	s.Room.Force(holderForgotten, galenajob.HeldByUnknownJob*int64(len(in.CancelledUnknown)))
	for _, r := range in.Jobs {
		s.restoreJob(r)
	}
	for _, in := range in.Instances {
		s.instances[in.ID] = in
	}
	maps.Copy(s.left, in.Left)
	maps.Copy(s.cancelledUnknown, in.CancelledUnknown)
	s.restoreRestarts(in.Restarts)
	for _, o := range in.Orders {
		s.recordOrder(o)
	}
	for _, w := range in.Waves {
		if w.Steps == nil {
			w.Steps = map[galenahead.VMName]StepState{}
		}
		s.waves[w.ID] = w
		s.Room.Force(holderWaves, w.heldBytes())
	}
	return nil
}

// restoreJob adds a job of a snapshot.
func (s *State) restoreJob(r storedJob) {
	j := r.Job
	s.jobs[j.ID] = j
	s.count(j)
	if j.State.Final() {
		return
	}
	j.Items, j.DoneItems = map[galenajob.ItemKey]galenajob.ItemRecord{}, map[int]int{}
	for _, it := range r.Items {
		j.Items[it.Key] = it.Facts
		if it.Facts.Done {
			j.DoneItems[it.Key.Occurrence]++
		}
	}
	s.restoreUnanswered(j, r.Unanswered)
	// Snapshots of earlier versions hold the records of all occurrences.
	for _, k := range slices.Collect(maps.Keys(j.DoneItems)) {
		forgetOver(j, k)
	}
}

// Config returns the current configuration, or nil before the first one.
func (s *State) Config() *Config {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.config
}

// setConfig sets the current configuration, which may be nil.
func (s *State) setConfig(c *Config) {
	s.config, s.queues, s.keys = c, nil, nil
	if c != nil {
		s.queues, s.keys = newQueueIndex(c.Queues), galenaaccount.NewKeys(c.Accounts)
	}
}

// requestMatch is what the configuration says of a request.
type requestMatch struct {
	// version is that of the configuration if it has client accounts, or zero.
	version uint64
	queue   QueueRule
	// rest is the path after the queue's prefix.
	rest    string
	account galenahead.AccountName
	// authorized reports that the queue is public or the key is that of the account.
	authorized bool
}

// match returns what the configuration says of a request, or false if it has no queue for it.
// The longest matching prefix wins.
func (s *State) match(r *Request) (requestMatch, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var m requestMatch
	var ok bool
	m.queue, m.rest, ok = s.queues.match(r.Host, r.Path)
	m.authorized = true
	if s.config != nil && s.config.RequiresKeys {
		m.version = s.config.Version
		m.account = s.keys[r.Key]
		m.authorized = m.account != "" || m.queue.Public
	}
	return m, ok
}

// accounts returns the accounts whose limits and weights are in force.
func (s *State) accounts() []galenaaccount.Account {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.config == nil {
		return nil
	}
	return slices.Concat(s.config.Accounts, s.retired)
}

// MatchQueue returns the queue of a request and the rest of the path after the queue's
// prefix. The longest matching prefix wins.
func (s *State) MatchQueue(host, path string) (QueueRule, string, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.queues.match(host, path)
}

// queueIndex holds the queues of a configuration by host in lower case, those with the
// longest prefixes first.
type queueIndex map[string][]*QueueRule

func newQueueIndex(queues []QueueRule) queueIndex {
	x := queueIndex{}
	for i := range queues {
		host := strings.ToLower(queues[i].Host)
		x[host] = append(x[host], &queues[i])
	}
	for _, rules := range x {
		slices.SortStableFunc(rules, func(a, b *QueueRule) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return x
}

func (x queueIndex) match(host, path string) (QueueRule, string, bool) {
	for _, q := range x[strings.ToLower(host)] {
		if rest, ok := strings.CutPrefix(path, q.Prefix); ok {
			return *q, rest, true
		}
	}
	return QueueRule{}, "", false
}

// JobState returns the queue, the service and the state of a job.
func (s *State) JobState(id galenahead.JobID) (queue string, service galenahead.ServiceName, state galenajob.State, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	j, ok := s.jobs[id]
	if !ok {
		return "", "", "", false
	}
	return j.Queue, j.Service, j.State, true
}

// jobOf returns the state of a job, if it is known to the account, and whether another account
// has a job of that ID.
func (s *State) jobOf(account galenahead.AccountName, id galenahead.JobID) (service galenahead.ServiceName, state galenajob.State, known, taken bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	j, ok := s.jobs[id]
	if !ok || !visible(j, account) {
		return "", "", false, ok
	}
	return j.Service, j.State, true, false
}

// cancelledBefore reports whether an account has cancelled a job while it was not known.
func (s *State) cancelledBefore(account galenahead.AccountName, id galenahead.JobID) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	_, ok := s.cancelledUnknown[cancelKey(account, id)]
	return ok
}

// Wave returns a copy of a wave, or nil.
func (s *State) Wave(id int64) *Wave {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return cloneWave(s.waves[id])
}

// OpenWaves returns copies of the waves that are not completed, oldest first.
func (s *State) OpenWaves() []*Wave {
	return s.copyWaves(func(w *Wave) bool { return !w.Completed() })
}

// Waves returns copies of all waves, oldest first.
func (s *State) Waves() []*Wave {
	return s.copyWaves(func(*Wave) bool { return true })
}

func (s *State) copyWaves(wanted func(*Wave) bool) []*Wave {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var ws []*Wave
	for _, w := range s.waves {
		if wanted(w) {
			ws = append(ws, cloneWave(w))
		}
	}
	slices.SortFunc(ws, func(a, b *Wave) int { return a.Accepted.Compare(b.Accepted) })
	return ws
}

func cloneWave(w *Wave) *Wave {
	if w == nil {
		return nil
	}
	c := *w
	c.Steps = maps.Clone(w.Steps)
	return &c
}

// activeJobs returns copies of the jobs that are not final.
func (s *State) activeJobs() []*galenajob.Job {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var js []*galenajob.Job
	for _, j := range s.jobs {
		if !j.State.Final() {
			js = append(js, cloneJob(j))
		}
	}
	return js
}

// activeJob returns a copy of a job that is not final, or nil.
func (s *State) activeJob(id galenahead.JobID) *galenajob.Job {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if j, ok := s.jobs[id]; ok && !j.State.Final() {
		return cloneJob(j)
	}
	return nil
}

func cloneJob(j *galenajob.Job) *galenajob.Job {
	c := *j
	c.Items, c.DoneItems, c.Unanswered = maps.Clone(j.Items), nil, maps.Clone(j.Unanswered)
	return &c
}

// registeredInstances returns the registered instances.
func (s *State) registeredInstances() []galenajob.Instance {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.Collect(maps.Values(s.instances))
}

// hasLeft reports whether the incarnation of an instance, or a later one, has left.
func (s *State) hasLeft(id galenahead.InstanceID, born int64) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	l, ok := s.left[id]
	return ok && born <= l.Born
}

// instanceCount returns the number of registered instances.
func (s *State) instanceCount() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.instances)
}

// instance returns the registration of an instance.
func (s *State) instance(id galenahead.InstanceID) (galenajob.Instance, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	in, ok := s.instances[id]
	return in, ok
}

// recordOrder stores the last order to a machine and when this replica learned of
// it.
func (s *State) recordOrder(o MachineOrder) {
	last := s.orders[o.Machine]
	s.orders[o.Machine] = o
	if last.Epoch == o.Epoch && last.At.Equal(o.At) {
		return // the machine has another instance now
	}
	if o.At.Before(s.ProcessStart) || s.Timers == nil {
		delete(s.orderSeenAt, o.Machine)
		return
	}
	s.orderSeenAt[o.Machine] = s.Timers.Now()
}

// lastOrder returns the epoch of the last order to a machine, and when this
// replica learned of it on its own clock. That is the zero time for an order from
// before this process started.
func (s *State) lastOrder(name galenahead.VMName) (epoch uint64, seenAt time.Time, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	o, ok := s.orders[name]
	return o.Epoch, s.orderSeenAt[name], ok
}

// machineOrder returns the last order to a machine.
func (s *State) machineOrder(name galenahead.VMName) (MachineOrder, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	o, ok := s.orders[name]
	return o, ok
}

// machineOrders returns the last order to each machine.
func (s *State) machineOrders() []MachineOrder {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.Collect(maps.Values(s.orders))
}

// maxPeaks bounds the stored demand peaks of all services together.
const maxPeaks = 64

// applyPeak adds a demand peak, or replaces the stored one of the same service and
// start.
func (s *State) applyPeak(p DemandPeak) {
	for i := range s.demandPeaks {
		if s.demandPeaks[i].Service == p.Service && s.demandPeaks[i].Start.Equal(p.Start) {
			s.demandPeaks[i] = p
			return
		}
	}
	s.demandPeaks = append(s.demandPeaks, p)
	if len(s.demandPeaks) > maxPeaks {
		s.demandPeaks = slices.Delete(s.demandPeaks, 0, 1)
	}
}

// recentPeaks returns the last demand peaks, oldest first.
func (s *State) recentPeaks() []DemandPeak {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.Clone(s.demandPeaks)
}
