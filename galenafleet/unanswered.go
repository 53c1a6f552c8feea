package galenafleet

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
	"github.com/galenahead/galenahead/galenalog"
)

// storedUnanswered is the encoded form of the record of a start without a response.
type storedUnanswered struct {
	Key      galenajob.ItemKey     `cbor:"1,keyasint"`
	Instance galenahead.InstanceID `cbor:"2,keyasint"`
	Address  string                `cbor:"3,keyasint"`
	// GivenUpAt and Hold are missing in snapshots of earlier versions.
	GivenUpAt time.Time     `cbor:"4,keyasint,omitzero"`
	Hold      time.Duration `cbor:"5,keyasint,omitempty"`
}

func compareKeys(a, b galenajob.ItemKey) int {
	return cmp.Or(cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// applyUnanswered records a start without a response, in place of the last one of the work item.
func (s *State) applyUnanswered(u *UnansweredOp) Result {
	j, ok := s.jobs[u.Job]
	if !ok {
		return Result{Code: CodeNotFound}
	}
	if j.State.Final() || j.Over.Has(u.Item.Occurrence) || j.Items[u.Item].Done {
		return Result{Code: CodeUnchanged, JobState: j.State}
	}
	if j.Unanswered == nil {
		j.Unanswered = map[galenajob.ItemKey]galenajob.UnansweredRecord{}
	}
	j.Unanswered[u.Item] = s.unansweredRecord(u.Instance, u.Address, u.GivenUpAt, u.Hold)
	return Result{Code: CodeDone, JobState: j.State}
}

// applyAnswered deletes the record of an unanswered start.
func (s *State) applyAnswered(a *AnsweredOp) Result {
	j, ok := s.jobs[a.Job]
	if !ok {
		return Result{Code: CodeNotFound}
	}
	if j.Unanswered[a.Item].Instance != a.Instance {
		return Result{Code: CodeUnchanged, JobState: j.State}
	}
	delete(j.Unanswered, a.Item)
	return Result{Code: CodeDone, JobState: j.State}
}

// unansweredRecord returns the record of a start that was given up at a time of day.
func (s *State) unansweredRecord(id galenahead.InstanceID, address string, givenUpAt time.Time, hold time.Duration) galenajob.UnansweredRecord {
	return galenajob.UnansweredRecord{Instance: id, Address: address, GivenUpAt: s.localTime(givenUpAt), TimeOfDay: givenUpAt, Hold: hold}
}

func storedUnansweredStarts(j *galenajob.Job) []storedUnanswered {
	var out []storedUnanswered
	for _, k := range slices.SortedFunc(maps.Keys(j.Unanswered), compareKeys) {
		r := j.Unanswered[k]
		out = append(out, storedUnanswered{k, r.Instance, r.Address, r.TimeOfDay, r.Hold})
	}
	return out
}

// restoreUnanswered sets the unanswered starts of a job in a snapshot.
func (s *State) restoreUnanswered(j *galenajob.Job, stored []storedUnanswered) {
	if len(stored) > 0 {
		j.Unanswered = map[galenajob.ItemKey]galenajob.UnansweredRecord{}
	}
	for _, u := range stored {
		j.Unanswered[u.Key] = s.unansweredRecord(u.Instance, u.Address, u.GivenUpAt, u.Hold)
	}
}

// unansweredQueue holds what is to be recorded of unanswered starts, in its order. Its zero value is
// ready to use.
type unansweredQueue struct {
	mu      sync.Mutex
	pending []galenajob.UnansweredStart
	// idle is nil, or closed once the goroutine that records what is pending has recorded all.
	idle chan struct{}
}

// add queues starts, and reports whether the caller has to record them.
func (q *unansweredQueue) add(starts []galenajob.UnansweredStart) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending = append(q.pending, starts...)
	if q.idle != nil {
		return false
	}
	q.idle = make(chan struct{})
	return true
}

// recorded returns a channel that is closed once what is pending now is recorded.
func (q *unansweredQueue) recorded() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.idle == nil {
		idle := make(chan struct{})
		close(idle)
		return idle
	}
	return q.idle
}

// take returns what is pending, or nothing if the caller has recorded all.
func (q *unansweredQueue) take() []galenajob.UnansweredStart {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := q.pending
	q.pending = nil
	if len(out) == 0 {
		close(q.idle)
		q.idle = nil
	}
	return out
}

// recordUnanswered records unanswered starts, and those of which nothing can come any more.
func (sh *shard) recordUnanswered(starts []galenajob.UnansweredStart) {
	if len(starts) == 0 || !sh.unanswered.add(starts) {
		return
	}
	sh.session.spawn(func() error {
		for starts := sh.unanswered.take(); len(starts) > 0; starts = sh.unanswered.take() {
			sh.commitUnanswered(starts)
		}
		return nil
	})
}

func (sh *shard) commitUnanswered(starts []galenajob.UnansweredStart) {
	now, timeOfDay := sh.now(), time.Now().Round(0)
	ops := make([]Op, len(starts))
	recorded := 0
	for i, u := range starts {
		if u.Over {
			ops[i] = Op{Answered: &AnsweredOp{u.Item.Job, u.Item.Item, u.Instance}}
			continue
		}
		recorded++
		ops[i] = Op{Unanswered: &UnansweredOp{u.Item.Job, u.Item.Item, u.Instance, u.Address, timeOfDay.Add(-now.Sub(u.GivenUpAt)), u.Hold}}
	}
	sh.session.Metrics.Counters.Add("unanswered_starts", int64(recorded))
	// An error means that the session has ended; the next owner then does not know of these.
	_, _ = sh.session.committer.commit(ops...)
}

// logStrayWaits logs and counts work items that wait because an earlier start may still be executed.
func (sh *shard) logStrayWaits(now time.Time, waits []galenajob.StrayWait) {
	for _, w := range waits {
		sh.session.Metrics.Counters.Add("starts_withheld", 1)
		galenalog.Info(sh.session.Logger, "start withheld", strayWaitLine{w, w.Until.Sub(now)})
	}
}

// strayWaitLine is the log line of a work item whose next start waits.
type strayWaitLine struct {
	wait galenajob.StrayWait
	left time.Duration
}

// AppendFields implements galenalog.Line.
func (l strayWaitLine) AppendFields(b []byte) []byte {
	b = appendItem(b, l.wait.Item)
	b = galenalog.AppendString(b, "instance", string(l.wait.Instance))
	return galenalog.AppendInt(b, "at_most_ms", l.left.Milliseconds())
}
