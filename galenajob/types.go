// Package galenajob schedules jobs of ordered steps on the instances of one
// service. It only makes decisions: it uses no sockets, goroutines or clocks.
// The owner of the fleet carries out the actions that a Scheduler returns.
//
// A job consists of steps, and a step of work items. Each start of a work item
// is a run. The run numbers of a work item only increase. A work item has at
// most one run at a time: the next run may start only when the last one has
// ended, when its instance is known to be gone, or when the lease of that
// instance has expired.
package galenajob

import (
	"slices"
	"time"

	"github.com/galenahead/galenahead"
)

// Resources is an amount of an instance's capacity.
type Resources = galenahead.Resources

// Step is a set of identical work items. Its JSON form leaves out what is not set, since a job may have
// thousands of steps.
type Step struct {
	Count int       `cbor:"1,keyasint" json:",omitempty"`
	Need  Resources `cbor:"2,keyasint" json:",omitzero"`
	// Estimate is the approximate duration of a work item.
	Estimate time.Duration `cbor:"3,keyasint,omitempty" json:",omitempty"`
	// After lists the indexes of earlier steps that must be done first.
	After []int `cbor:"4,keyasint,omitempty" json:",omitempty"`
	// Checkpointing marks work items that can resume from a checkpoint.
	Checkpointing bool `cbor:"5,keyasint,omitempty" json:",omitempty"`
	// Gang marks work items that must all run at the same time.
	Gang          bool   `cbor:"6,keyasint,omitempty" json:",omitempty"`
	RackSensitive bool   `cbor:"7,keyasint,omitempty" json:",omitempty"`
	Label         string `cbor:"8,keyasint,omitempty" json:",omitempty"`
	// DataRack is the rack on which a work item takes the least time, or empty.
	DataRack       galenahead.RackName `cbor:"9,keyasint,omitempty" json:",omitempty"`
	MaxPerInstance int                 `cbor:"10,keyasint,omitempty" json:",omitempty"`
	// LongRunning marks work items that run until the job is cancelled.
	LongRunning bool `cbor:"12,keyasint,omitempty" json:",omitempty"`
	// TargetLatency is the highest acceptable tail latency of a work item that
	// serves requests.
	TargetLatency time.Duration `cbor:"14,keyasint,omitempty" json:",omitempty"`
	// Filling marks best-effort work items, which use only processor time that
	// other work items leave idle.
	Filling bool `cbor:"15,keyasint,omitempty" json:",omitempty"`
	// MaxUnavailable is how many work items the scheduler may stop at a time;
	// zero means no limit.
	MaxUnavailable int `cbor:"16,keyasint,omitempty" json:",omitempty"`
}

// reservation returns what a work item of s takes from an instance's capacity.
// Best-effort work items reserve no processor time.
func (s *Step) reservation() Resources {
	need := s.Need
	if s.Filling {
		need.MilliCPU = 0
	}
	return need
}

// Spec describes a job as a caller submits it.
type Spec struct {
	// Payload is passed to the instances unchanged.
	Payload string `cbor:"1,keyasint"`
	Steps   []Step `cbor:"2,keyasint"`
	// Repetitions is the number of occurrences of a recurring job, or zero.
	Repetitions int `cbor:"3,keyasint,omitempty"`
	// StartAt is when the first occurrence is due.
	StartAt  time.Time     `cbor:"4,keyasint"`
	Interval time.Duration `cbor:"5,keyasint,omitempty"`
}

// Occurrences returns how many times the steps run.
func (s *Spec) Occurrences() int { return max(1, s.Repetitions) }

// ItemsPerOccurrence returns the number of work items of one occurrence.
func (s *Spec) ItemsPerOccurrence() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count
	}
	return n
}

// Due returns when an occurrence may start. The zero time means immediately.
func (s *Spec) Due(occurrence int) time.Time {
	if s.Repetitions == 0 {
		return time.Time{}
	}
	return s.StartAt.Add(time.Duration(occurrence) * s.Interval)
}

// LongRunning reports whether any step runs until the job is cancelled.
func (s *Spec) LongRunning() bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// ItemKey identifies a work item within its job.
type ItemKey struct {
	Occurrence int `cbor:"1,keyasint,omitempty"`
	Step       int `cbor:"2,keyasint,omitempty"`
	Index      int `cbor:"3,keyasint,omitempty"`
}

// ItemID identifies a work item.
type ItemID struct {
	Job  galenahead.JobID
	Item ItemKey
}

// EndReason is the reason why a run ended.
type EndReason string

// Reasons for the end of a run.
const (
	EndDone   EndReason = "done"
	EndFailed EndReason = "failed"
	// EndStopped means that the scheduler stopped the run, EndLeaseExpired that
	// the instance stopped it because the lease was not renewed.
	EndStopped      EndReason = "stopped"
	EndLeaseExpired EndReason = "lapsed"
	// EndBroken and EndAlone occur only in gangs.
	EndBroken EndReason = "broken"
	EndAlone  EndReason = "alone"
)

// State is the state of a job.
type State string

// States of a job.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether a job in this state will not run again.
func (s State) Final() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// Job is a job with the recorded state of its work items.
type Job struct {
	ID      galenahead.JobID       `cbor:"1,keyasint"`
	Queue   string                 `cbor:"2,keyasint"`
	Service galenahead.ServiceName `cbor:"3,keyasint"`
	Spec    Spec                   `cbor:"4,keyasint"`
	// MaxAttempts is the number of failed runs of one work item after which the
	// job fails.
	MaxAttempts int `cbor:"5,keyasint"`
	// Accepted is the wall-clock time at which the job was accepted.
	Accepted time.Time `cbor:"6,keyasint"`
	// Ended is the wall-clock time at which the job reached a final state.
	Ended time.Time `cbor:"7,keyasint"`
	State State     `cbor:"8,keyasint"`
	// Items holds the work items that have a recorded end, but for those of occurrences that are over.
	Items map[ItemKey]ItemRecord `cbor:"-"`
	// DoneItems counts the work items that are done, by the occurrence of a recurring job that is not
	// over.
	DoneItems map[int]int `cbor:"-"`
	// Unanswered holds the work items of which a start had no response, but for those of occurrences
	// that are over.
	Unanswered map[ItemKey]UnansweredRecord `cbor:"-"`
	// ItemsLeft is the number of work items that are not done.
	ItemsLeft int `cbor:"10,keyasint"`
	// Account is the client account that submitted the job, or empty.
	Account galenahead.AccountName `cbor:"11,keyasint,omitempty"`
	// Excess marks a job beyond the rate of its account, which goes behind all that may
	// still be of use.
	Excess bool `cbor:"12,keyasint,omitempty"`
	// Over holds the occurrences of a recurring job of which all work items are done. It is unknown to
	// earlier versions.
	Over OccurrenceSet `cbor:"13,keyasint,omitempty"`
}

// ItemRecord is the recorded state of a work item.
type ItemRecord struct {
	Done bool `cbor:"1,keyasint,omitempty"`
	// Failed lists the numbers of the runs that failed, so that an end that an
	// instance lists again after a change of owner counts only once.
	Failed []int64 `cbor:"2,keyasint,omitempty"`
	// Crashed lists the numbers of the last runs under which an instance has crashed, and
	// Uncertain those that it may have started before it crashed.
	Crashed   []int64 `cbor:"3,keyasint,omitempty"`
	Uncertain []int64 `cbor:"4,keyasint,omitempty"`
	// Cleared is the number of the last run that is known to have outlived its probation
	// when a crash was recorded. Crashes under it and earlier runs do not count.
	Cleared int64 `cbor:"5,keyasint,omitempty"`
}

// WithCleared returns the record after a run that has outlived its probation.
func (r ItemRecord) WithCleared(run int64) ItemRecord {
	if run <= r.Cleared {
		return r
	}
	r.Cleared = run
	cleared := func(n int64) bool { return n <= run }
	r.Crashed = slices.DeleteFunc(slices.Clone(r.Crashed), cleared)
	r.Uncertain = slices.DeleteFunc(slices.Clone(r.Uncertain), cleared)
	return r
}

// maxRecordedCrashes bounds each list of crashes in the record of a work item, which has no
// bound of its own: its job goes on however many instances crash under it.
const maxRecordedCrashes = 4

// WithCrash returns the record with a run under which an instance has crashed.
func (r ItemRecord) WithCrash(run int64, uncertain bool) ItemRecord {
	if uncertain {
		r.Uncertain = appendRecent(r.Uncertain, run)
	} else {
		r.Crashed = appendRecent(r.Crashed, run)
	}
	return r
}

// appendRecent returns the last runs and the run, at most maxRecordedCrashes.
func appendRecent(runs []int64, run int64) []int64 {
	return append(slices.Clone(runs[max(0, len(runs)+1-maxRecordedCrashes):]), run)
}

// CrashedIn reports whether the record holds a crash under the run.
func (r ItemRecord) CrashedIn(run int64) bool {
	return slices.Contains(r.Crashed, run) || slices.Contains(r.Uncertain, run)
}

// Queue is the configuration of a queue.
type Queue struct {
	Name    string
	Service galenahead.ServiceName
	// Priority orders the queues; 0 is the highest.
	Priority    int
	MaxAttempts int
	// Stretch and TargetLatency set the completion objective of a job: Stretch
	// times its estimated duration, plus TargetLatency.
	Stretch       float64
	TargetLatency time.Duration
	// RequiresAdvice marks a queue that starts work only on instances for which the
	// advisor has issued a ticket.
	RequiresAdvice bool
}

// Instance is one incarnation of an upstream instance, from one start to the next.
type Instance struct {
	ID galenahead.InstanceID `cbor:"1,keyasint"`
	// Born identifies the incarnation: its start, in Unix milliseconds of the
	// instance's own clock. A restarted instance keeps its ID.
	Born     int64                  `cbor:"2,keyasint"`
	Service  galenahead.ServiceName `cbor:"3,keyasint"`
	Address  string                 `cbor:"4,keyasint"`
	Zone     galenahead.DataCentre  `cbor:"5,keyasint"`
	Capacity Resources              `cbor:"6,keyasint"`
	Labels   []string               `cbor:"7,keyasint"`
	Draining bool                   `cbor:"8,keyasint"`
}

// Run is a run of a work item as its instance lists it.
type Run struct {
	Item       ItemID
	Number     int64
	Checkpoint string
	// Percent is the progress that the instance reports. A long-running work item
	// serves once it is 100.
	Percent int
	// Usage is the tail latency in milliseconds for a work item that serves
	// requests, and the processor use in thousandths of a core for all others.
	Usage int64
}

// End is the end of a run as its instance lists it.
type End struct {
	Sequence   int64
	Item       ItemID
	Number     int64
	Reason     EndReason
	Checkpoint string
}
