// Package galenajob schedules jobs of ordered steps on the instances of one
// service. It decides only: it has no sockets, goroutines or clocks, and its
// owner carries out the actions that it returns.
//
// A job consists of steps, a step of work items. Each start of a work item is
// a run with a number that only grows. A work item has at most one run at a
// time: another one may start only when the last one has ended, when its
// instance is known to be gone, or when the lease of everything that was
// ordered there has lapsed.
package galenajob

import (
	"time"

	"github.com/galenahead/galenahead"
)

// Resources is an amount of an instance's capacity.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int64 `cbor:"1,keyasint,omitempty" json:"milli_cpu"`
	MemoryMB int64 `cbor:"2,keyasint,omitempty" json:"memory_mb"`
	GPU      int64 `cbor:"3,keyasint,omitempty" json:"gpu"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.GPU + o.GPU}
}

// Sub returns the difference of r and o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.GPU - o.GPU}
}

// Holds tells whether o fits into r.
func (r Resources) Holds(o Resources) bool {
	return o.MilliCPU <= r.MilliCPU && o.MemoryMB <= r.MemoryMB && o.GPU <= r.GPU
}

// Step is a set of equal work items.
type Step struct {
	Count int       `cbor:"1,keyasint"`
	Need  Resources `cbor:"2,keyasint"`
	// Estimate is a rough guess of the duration of a work item.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists earlier steps that must be done first.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpointing work items can resume from a checkpoint.
	Checkpointing bool `cbor:"5,keyasint,omitempty"`
	// Gang work items run only together.
	Gang          bool   `cbor:"6,keyasint,omitempty"`
	RackSensitive bool   `cbor:"7,keyasint,omitempty"`
	Label         string `cbor:"8,keyasint,omitempty"`
	// DataRack is the rack on which a work item takes the least time.
	DataRack       galenahead.RackName `cbor:"9,keyasint,omitempty"`
	MaxPerInstance int                 `cbor:"10,keyasint,omitempty"`
	// LongRunning work items run until the job is cancelled.
	LongRunning bool `cbor:"12,keyasint,omitempty"`
	// TargetLatency bounds the tail latency of a work item that serves users of
	// its own.
	TargetLatency time.Duration `cbor:"14,keyasint,omitempty"`
	// Filling work items use the processor time that others leave unused.
	Filling bool `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is how many work items the system may take down at a time;
	// zero sets no bound.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// claim is what a work item of s takes from an instance's capacity.
func (s *Step) claim() Resources {
	n := s.Need
	if s.Filling {
		n.MilliCPU = 0
	}
	return n
}

// Spec is what a caller submits.
type Spec struct {
	// Payload is handed to the instances unchanged.
	Payload string `cbor:"1,keyasint"`
	Steps   []Step `cbor:"2,keyasint"`
	// Repetitions is the number of occurrences of a recurring job, or zero.
	Repetitions int `cbor:"3,keyasint,omitempty"`
	// StartAt is when the first occurrence is due.
	StartAt  time.Time     `cbor:"4,keyasint"`
	Interval time.Duration `cbor:"5,keyasint,omitempty"`
}

// Occurrences returns how often the steps run.
func (s *Spec) Occurrences() int { return max(1, s.Repetitions) }

// Due returns when an occurrence may start; the zero time stands for at once.
func (s *Spec) Due(occurrence int) time.Time {
	if s.Repetitions == 0 {
		return time.Time{}
	}
	return s.StartAt.Add(time.Duration(occurrence) * s.Interval)
}

// LongRunning tells whether the job lasts until it is cancelled.
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

// Ending is how a run ended.
type Ending string

// Endings of a run.
const (
	EndDone   Ending = "done"
	EndFailed Ending = "failed"
	// EndStopped and EndLapsed were ordered or caused by this system.
	EndStopped Ending = "stopped"
	EndLapsed  Ending = "lapsed"
	// EndBroken and EndAlone concern gangs.
	EndBroken Ending = "broken"
	EndAlone  Ending = "alone"
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

// Final tells whether a job in this state never runs again.
func (s State) Final() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// Job is a job with what is known durably of its work items.
type Job struct {
	ID      galenahead.JobID       `cbor:"1,keyasint"`
	Queue   string                 `cbor:"2,keyasint"`
	Service galenahead.ServiceName `cbor:"3,keyasint"`
	Spec    Spec                   `cbor:"4,keyasint"`
	// MaxAttempts is after how many failed runs of a work item the job fails.
	MaxAttempts int `cbor:"5,keyasint"`
	// Accepted is the time of day of the acceptance.
	Accepted time.Time `cbor:"6,keyasint"`
	// Ended is the time of day at which the job became final.
	Ended time.Time `cbor:"7,keyasint"`
	State State     `cbor:"8,keyasint"`
	// Items holds the work items of which an end is recorded.
	Items map[ItemKey]ItemFacts `cbor:"-"`
	// Left is how many work items are not done.
	Left int `cbor:"10,keyasint"`
}

// ItemFacts is what is durable of a work item.
type ItemFacts struct {
	Done bool `cbor:"1,keyasint,omitempty"`
	// Failed lists the runs that failed, so that an end that is listed again
	// after a change of owner counts once.
	Failed []int64 `cbor:"2,keyasint,omitempty"`
}

// Queue is what the configuration says of a queue.
type Queue struct {
	Name    string
	Service galenahead.ServiceName
	// Priority 0 comes first.
	Priority      int
	MaxAttempts   int
	Stretch       float64
	TargetLatency time.Duration
	// Advised queues start work only on instances that the advisor names.
	Advised bool
}

// Instance is one life of an upstream instance.
type Instance struct {
	ID galenahead.InstanceID `cbor:"1,keyasint"`
	// Born is when this life began, in Unix milliseconds of its own clock. An
	// instance may start again under the same ID.
	Born     int64                  `cbor:"2,keyasint"`
	Service  galenahead.ServiceName `cbor:"3,keyasint"`
	Address  string                 `cbor:"4,keyasint"`
	Zone     galenahead.DataCentre  `cbor:"5,keyasint"`
	Capacity Resources              `cbor:"6,keyasint"`
	Labels   []string               `cbor:"7,keyasint"`
	Draining bool                   `cbor:"8,keyasint"`
}

// Run is one start of a work item, as an instance lists it.
type Run struct {
	Item       ItemID
	Number     int64
	Checkpoint string
	// Percent is the pace; 100 once the work item is at work.
	Percent int
	// Usage is the tail latency in milliseconds of a work item that serves, and
	// the processor use in thousandths of a core of any other.
	Usage int64
}

// End is an end of a run, as an instance lists it.
type End struct {
	Sequence   int64
	Item       ItemID
	Number     int64
	How        Ending
	Checkpoint string
}
