package galenajob

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenahead/galenahead"
)

// JobView describes a job that is not final, for operators. Times are in
// milliseconds.
type JobView struct {
	ID      galenahead.JobID       `json:"id"`
	Queue   string                 `json:"queue"`
	Service galenahead.ServiceName `json:"service"`
	State   State                  `json:"state"`
	// Class is the scheduling class: "lasting" for a long-running job, "on_time" or
	// "late" by the expected completion, or "hopeless" when the job would end too
	// late to be of use.
	Class       string `json:"class,omitempty"`
	AgeMS       int64  `json:"age_ms"`
	ObjectiveMS int64  `json:"objective_ms"`
	// Steps lists the steps of the occurrences that are due.
	Steps []StepView `json:"steps,omitempty"`
	// Runs lists the work items that occupy an instance.
	Runs []RunView `json:"runs,omitempty"`
}

// StepView describes one step of one occurrence. It counts work items.
type StepView struct {
	Occurrence int `json:"occurrence"`
	Step       int `json:"step"`
	// Open reports whether all steps that it depends on are done.
	Open  bool `json:"open"`
	Items int  `json:"items"`
	Done  int  `json:"done"`
	// Placed counts the work items that occupy an instance.
	Placed int `json:"placed"`
	// FailedRuns counts the recorded failed runs.
	FailedRuns int `json:"failed_runs"`
}

// RunView describes a work item that occupies an instance.
type RunView struct {
	Item     ItemKey               `json:"item"`
	Run      int64                 `json:"run"`
	Phase    string                `json:"phase"`
	Instance galenahead.InstanceID `json:"instance"`
	// Percent is the progress that the instance reports; 100 for a long-running
	// work item that serves.
	Percent    int    `json:"percent"`
	Checkpoint string `json:"checkpoint,omitempty"`
	FailedRuns int    `json:"failed_runs"`
}

// InstanceView describes an instance, for operators.
type InstanceView struct {
	ID       galenahead.InstanceID  `json:"id"`
	Service  galenahead.ServiceName `json:"service"`
	Zone     galenahead.DataCentre  `json:"zone"`
	Address  string                 `json:"address"`
	State    string                 `json:"state"`
	Items    int                    `json:"items"`
	Used     Resources              `json:"used"`
	Capacity Resources              `json:"capacity"`
	// AnsweredMS is the time since the last response of the instance.
	AnsweredMS int64 `json:"answered_ms"`
}

// QueueView counts the jobs of a queue that are not final, for operators.
type QueueView struct {
	Queue    string                 `json:"queue"`
	Service  galenahead.ServiceName `json:"service"`
	Priority int                    `json:"priority"`
	Jobs     int                    `json:"jobs"`
	// Waiting counts the jobs that have not started.
	Waiting int `json:"waiting"`
	// Hopeless counts the jobs that would end too late to be of use.
	Hopeless int `json:"hopeless"`
	// OldestMS is the age of the oldest job that has not started.
	OldestMS int64 `json:"oldest_ms"`
}

var classNames = map[int]string{
	classLongRunning: "lasting", classOnTime: "on_time", classLate: "late", classHopeless: "hopeless",
}

var phaseNames = map[phase]string{
	phasePending: "pending", phaseStarting: "starting", phaseRunning: "running",
	phaseStopping: "stopping", phaseStale: "stale",
}

// ViewQueue returns the view of a queue.
func (s *Scheduler) ViewQueue(now time.Time, queue string) QueueView {
	q := s.queues[queue]
	v := QueueView{Queue: queue, Service: s.Service, Priority: q.Priority}
	for _, j := range s.jobs {
		if j.Queue != queue {
			continue
		}
		v.Jobs++
		if j.rank(now).class == classHopeless {
			v.Hopeless++
		}
		if !j.started {
			v.Waiting++
			v.OldestMS = max(v.OldestMS, now.Sub(j.acceptedAt).Milliseconds())
		}
	}
	return v
}

// WithJobsOf returns the view with the jobs that another scheduler has of the queue.
func (v QueueView) WithJobsOf(o QueueView) QueueView {
	v.Jobs, v.Waiting, v.Hopeless = v.Jobs+o.Jobs, v.Waiting+o.Waiting, v.Hopeless+o.Hopeless
	v.OldestMS = max(v.OldestMS, o.OldestMS)
	return v
}

// ViewJobs returns the jobs of a queue without their runs, oldest first. An empty
// queue name selects all queues.
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

// ViewJob returns a job with its runs, and false for a job that is final or
// unknown.
func (s *Scheduler) ViewJob(now time.Time, id galenahead.JobID) (JobView, bool) {
	j := s.jobs[id]
	if j == nil {
		return JobView{}, false
	}
	v := s.viewJob(now, j)
	for _, k := range j.openAndDue() {
		for _, set := range j.sets[k] {
			for i := range set.items {
				if it := &set.items[i]; it.instance != nil {
					v.Runs = append(v.Runs, RunView{
						Item: it.id().Item, Run: it.run, Phase: phaseNames[it.phase], Instance: it.instance.ID,
						Percent: it.percent, Checkpoint: it.checkpoint, FailedRuns: it.failures,
					})
				}
			}
		}
	}
	return v, true
}

func (s *Scheduler) viewJob(now time.Time, j *job) JobView {
	v := JobView{
		ID: j.ID, Queue: j.Queue, Service: j.Service, State: StateQueued, Class: classNames[j.rank(now).class],
		AgeMS: now.Sub(j.acceptedAt).Milliseconds(), ObjectiveMS: j.objective().Milliseconds(),
	}
	if j.started {
		v.State = StateRunning
	}
	for _, k := range j.openAndDue() {
		for i, set := range j.sets[k] {
			sv := StepView{Occurrence: k, Step: i, Open: set.dependenciesDone(), Items: len(set.items), Done: len(set.items) - set.itemsLeft}
			for n := range set.items {
				if set.items[n].instance != nil {
					sv.Placed++
				}
				sv.FailedRuns += set.items[n].failures
			}
			v.Steps = append(v.Steps, sv)
		}
	}
	return v
}

// ViewInstances returns the instances in order of their IDs.
func (s *Scheduler) ViewInstances(now time.Time) []InstanceView {
	out := make([]InstanceView, 0, len(s.instances))
	for _, inst := range s.sortedInstances() {
		out = append(out, InstanceView{
			ID: inst.ID, Service: s.Service, Zone: inst.Zone, Address: inst.Address, State: s.instanceState(now, inst), Items: len(inst.items),
			Used: inst.used, Capacity: inst.Capacity, AnsweredMS: now.Sub(inst.respondedAt).Milliseconds(),
		})
	}
	return out
}

// instanceState returns the first reason that applies why the instance gets no
// work, or "ready".
func (s *Scheduler) instanceState(now time.Time, inst *instance) string {
	switch {
	case !inst.unansweredSince.IsZero():
		return "silent"
	case !inst.fenceConfirmed:
		return "not_looked_at"
	case inst.Draining:
		return "draining"
	case inst.evacuating:
		return "leaving"
	case inst.suspected(now):
		return "suspected"
	}
	return "ready"
}
