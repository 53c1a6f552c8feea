package galenajob

import (
	"maps"
	"slices"
	"time"

	"github.com/galenahead/galenahead"
)

// Reassignment hands a job to the scheduler of the service that runs its queue now. It must be
// recorded, passed to AddReassignedJob of that scheduler, and then the job removed from this
// one, in this order: so the job is always with one of them.
type Reassignment struct {
	Job galenahead.JobID
	To  galenahead.ServiceName

	acceptedAt time.Time
	started    bool
	items      map[ItemKey]itemProgress
}

// itemProgress is what a scheduler knows of a work item beside the record of its job.
type itemProgress struct {
	run        int64
	checkpoint string
	stray      *strayStart
}

// notePlacement records whether another service runs the queue of the job. A queue that is in
// no configuration any more leaves its jobs where they are.
func (s *Scheduler) notePlacement(j *job) {
	if to := j.queue.Service; to != "" && to != s.Service {
		s.misplaced[j.ID] = j
	} else {
		delete(s.misplaced, j.ID)
	}
}

// awaitsReassignment reports whether the job starts nothing here, because it is handed to the
// scheduler of another service. A job of which something runs goes on where it is.
func (s *Scheduler) awaitsReassignment(j *job) bool {
	return j.reassigning || (s.misplaced[j.ID] != nil && !j.occupiesInstances())
}

// occupiesInstances reports whether a work item of the job runs or may run, or an end of one is
// being recorded.
func (j *job) occupiesInstances() bool {
	for _, sets := range j.sets {
		for _, set := range sets {
			for i := range set.items {
				if it := &set.items[i]; it.instance != nil || it.unrecordedEnds > 0 {
					return true
				}
			}
		}
	}
	return false
}

// maxReassignments bounds the jobs that one call of TakeReassignments returns, since they are
// recorded together.
const maxReassignments = 200

// TakeReassignments returns jobs that were found since the last call of TakeReassignments
// to belong to another service, and of which nothing runs or may run here.
func (s *Scheduler) TakeReassignments() []Reassignment {
	var out []Reassignment
	for _, id := range slices.Sorted(maps.Keys(s.misplaced)) {
		if len(out) == maxReassignments {
			break
		}
		j := s.misplaced[id]
		if j.reassigning || j.inherited && s.unreconciled > 0 || j.occupiesInstances() {
			continue
		}
		j.reassigning = true
		out = append(out, j.reassignment())
	}
	return out
}

func (j *job) reassignment() Reassignment {
	r := Reassignment{Job: j.ID, To: j.queue.Service, acceptedAt: j.acceptedAt, started: j.started, items: map[ItemKey]itemProgress{}}
	for occurrence, sets := range j.sets {
		for _, set := range sets {
			for i := range set.items {
				if it := &set.items[i]; it.lastRun() != 0 {
					r.items[ItemKey{occurrence, set.index, i}] = itemProgress{it.lastRun(), it.checkpoint, it.stray}
				}
			}
		}
	}
	return r
}

// AddReassignedJob adds a job that the scheduler of another service has handed over. record is
// the recorded state of the job.
func (s *Scheduler) AddReassignedJob(record *Job, r Reassignment) {
	j := s.addJob(record, r.acceptedAt)
	if j == nil {
		return
	}
	j.started = j.started || r.started
	for k, p := range r.items {
		if it := j.item(k); it != nil {
			it.run, it.checkpoint = p.run, p.checkpoint
			if p.stray != nil {
				s.setStrayStart(it, *p.stray)
			}
		}
	}
}
