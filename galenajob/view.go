package galenajob

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenahead/galenahead"
)

// JobView is what a scheduler knows of a job that is not final. Times are in
// milliseconds.
type JobView struct {
	ID      galenahead.JobID       `json:"id"`
	Queue   string                 `json:"queue"`
	Service galenahead.ServiceName `json:"service"`
	State   State                  `json:"state"`
	// Class tells how the job is served: "lasting", "on_time", "late" or
	// "hopeless".
	Class       string `json:"class,omitempty"`
	AgeMS       int64  `json:"age_ms"`
	ObjectiveMS int64  `json:"objective_ms"`
	// Steps lists the steps of the occurrences that are due.
	Steps []StepView `json:"steps,omitempty"`
	// Runs lists the work items that occupy an instance.
	Runs []RunView `json:"runs,omitempty"`
}

// StepView is one occurrence of one step. The counts are of its work items.
type StepView struct {
	Occurrence int `json:"occurrence"`
	Step       int `json:"step"`
	// Open tells that all steps before it are done.
	Open  bool `json:"open"`
	Items int  `json:"items"`
	Done  int  `json:"done"`
	// Placed work items occupy an instance.
	Placed int `json:"placed"`
	// FailedRuns counts the recorded failures.
	FailedRuns int `json:"failed_runs"`
}

// RunView is a work item that occupies an instance.
type RunView struct {
	Item     ItemKey               `json:"item"`
	Run      int64                 `json:"run"`
	Phase    string                `json:"phase"`
	Instance galenahead.InstanceID `json:"instance"`
	// Percent is how far a run is at work; 100 for one that serves.
	Percent    int    `json:"percent"`
	Checkpoint string `json:"checkpoint,omitempty"`
	FailedRuns int    `json:"failed_runs"`
}

// InstanceView is what a scheduler knows of an instance.
type InstanceView struct {
	ID       galenahead.InstanceID  `json:"id"`
	Service  galenahead.ServiceName `json:"service"`
	Zone     galenahead.DataCentre  `json:"zone"`
	Address  string                 `json:"address"`
	State    string                 `json:"state"`
	Items    int                    `json:"items"`
	Used     Resources              `json:"used"`
	Capacity Resources              `json:"capacity"`
	// AnsweredMS is how long ago the instance answered last.
	AnsweredMS int64 `json:"answered_ms"`
}

// QueueView sums the jobs of a queue that are not final.
type QueueView struct {
	Queue    string                 `json:"queue"`
	Service  galenahead.ServiceName `json:"service"`
	Priority int                    `json:"priority"`
	Jobs     int                    `json:"jobs"`
	// Waiting jobs have not begun.
	Waiting int `json:"waiting"`
	// Hopeless jobs are too late to be worth anything.
	Hopeless int `json:"hopeless"`
	// OldestMS is the age of the oldest job that has not begun.
	OldestMS int64 `json:"oldest_ms"`
}

var classNames = map[int]string{
	classLasting: "lasting", classOnTime: "on_time", classLate: "late", classHopeless: "hopeless",
}

var phaseNames = map[phase]string{
	phasePending: "pending", phaseStarting: "starting", phaseRunning: "running",
	phaseStopping: "stopping", phaseStale: "stale",
}

// ViewQueue sums the jobs of a queue.
func (s *Scheduler) ViewQueue(now time.Time, queue string) QueueView {
	q := s.queues[queue]
	v := QueueView{Queue: queue, Service: s.Service, Priority: q.Priority}
	for _, j := range s.jobs {
		if j.Queue != queue {
			continue
		}
		v.Jobs++
		if s.rank(now, j).class == classHopeless {
			v.Hopeless++
		}
		if !j.started {
			v.Waiting++
			v.OldestMS = max(v.OldestMS, now.Sub(j.since).Milliseconds())
		}
	}
	return v
}

// ViewJobs returns the jobs of a queue, or of all of them when queue is empty,
// the oldest first.
func (s *Scheduler) ViewJobs(now time.Time, queue string) []JobView {
	var out []JobView
	for _, j := range s.jobs {
		if queue == "" || j.Queue == queue {
			out = append(out, s.viewJob(now, j))
		}
	}
	slices.SortFunc(out, func(a, b JobView) int {
		return cmp.Or(cmp.Compare(b.AgeMS, a.AgeMS), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// ViewJob returns a job with its runs; it is false for one that is final or not
// known.
func (s *Scheduler) ViewJob(now time.Time, id galenahead.JobID) (JobView, bool) {
	j := s.jobs[id]
	if j == nil {
		return JobView{}, false
	}
	v := s.viewJob(now, j)
	for k := range j.nextDue {
		for _, st := range j.sets[k] {
			for i := range st.items {
				if it := &st.items[i]; it.on != nil {
					v.Runs = append(v.Runs, RunView{
						Item: it.id().Item, Run: it.run, Phase: phaseNames[it.phase], Instance: it.on.ID,
						Percent: it.percent, Checkpoint: it.checkpoint, FailedRuns: it.failed,
					})
				}
			}
		}
	}
	return v, true
}

func (s *Scheduler) viewJob(now time.Time, j *job) JobView {
	v := JobView{
		ID: j.ID, Queue: j.Queue, Service: j.Service, State: StateQueued, Class: classNames[s.rank(now, j).class],
		AgeMS: now.Sub(j.since).Milliseconds(), ObjectiveMS: j.objective().Milliseconds(),
	}
	if j.started {
		v.State = StateRunning
	}
	for k := range j.nextDue {
		for i, st := range j.sets[k] {
			sv := StepView{Occurrence: k, Step: i, Open: st.open(), Items: len(st.items), Done: len(st.items) - st.left}
			for n := range st.items {
				if st.items[n].on != nil {
					sv.Placed++
				}
				sv.FailedRuns += st.items[n].failed
			}
			v.Steps = append(v.Steps, sv)
		}
	}
	return v
}

// ViewInstances returns the instances by id.
func (s *Scheduler) ViewInstances(now time.Time) []InstanceView {
	out := make([]InstanceView, 0, len(s.instances))
	for _, id := range s.Instances() {
		n := s.instances[id]
		out = append(out, InstanceView{
			ID: id, Service: s.Service, Zone: n.Zone, Address: n.Address, State: s.describe(now, n), Items: len(n.items),
			Used: n.used, Capacity: n.Capacity, AnsweredMS: now.Sub(n.answered).Milliseconds(),
		})
	}
	return out
}

// describe names the strongest reason for which an instance gets no work, or
// "ready".
func (s *Scheduler) describe(now time.Time, n *instance) string {
	switch {
	case !n.silentSince.IsZero():
		return "silent"
	case !n.fenced:
		return "not_looked_at"
	case n.Draining:
		return "draining"
	case n.leaving:
		return "leaving"
	case now.Before(n.suspectTill):
		return "suspected"
	}
	return "ready"
}
