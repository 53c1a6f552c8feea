package galenacontrol

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenastate"
)

const (
	// taskLeaseFactor is the number of renew intervals in one lease. Two lost
	// renewals in a row do not end a task.
	taskLeaseFactor = 3
	// leaseMargin is the time after the end of a task's lease until another
	// worker may run the job, because the platform's clock may run slower.
	leaseMargin = time.Second
	// maxPlacements bounds the placements of one reconciliation.
	maxPlacements = 256
)

// jobScheduler places queued jobs, starts their tasks, renews the leases of the
// tasks and records how they end.
type jobScheduler struct {
	driver *Driver
	index  *workerIndex
	// renewedAt is when the lease of a task was last renewed.
	renewedAt map[galenahead.JobID]time.Time
	// leadingSince is when this replica last started to lead.
	leadingSince time.Time
	// throttled contains the jobs whose tasks this replica throttled.
	throttled map[galenahead.JobID]bool

	mu sync.Mutex
	// avoidUntil maps workers that rejected the start of a task to the time from
	// which jobs may be placed on them again.
	avoidUntil map[galenahead.VMName]time.Time
}

func newJobScheduler(d *Driver) *jobScheduler {
	return &jobScheduler{
		driver: d, index: newWorkerIndex(), renewedAt: make(map[galenahead.JobID]time.Time), avoidUntil: make(map[galenahead.VMName]time.Time),
		throttled: make(map[galenahead.JobID]bool), leadingSince: d.Timers.Now(),
	}
}

func (s *jobScheduler) leaseDuration() time.Duration { return taskLeaseFactor * s.driver.RenewInterval }

// reconcile places queued jobs and makes the due calls for the tasks of the
// others. c contains the changes since the last reconciliation.
func (s *jobScheduler) reconcile(ctx context.Context, v *galenastate.View, c changes) {
	now := s.driver.Timers.Now()
	s.index.sync(v, c, now)
	s.dropRenewals(c)
	queued := sortByPriority(s.driver.tracker.queued)
	for _, j := range queued[:min(len(queued), maxPlacements)] {
		s.place(ctx, v, *j, now)
	}
	s.unthrottle(ctx, v, now)
	s.advanceTasks(ctx, v, now)
}

// dropRenewals deletes the renewal times of jobs that no longer have a worker.
func (s *jobScheduler) dropRenewals(c changes) {
	for _, id := range c.removedJobs {
		delete(s.renewedAt, id)
	}
	for _, j := range c.jobs {
		if j.Worker == "" {
			delete(s.renewedAt, j.ID)
		}
	}
}

// advanceTasks makes the platform calls that are due for tasks, up to
// maxPlatformCalls concurrently.
func (s *jobScheduler) advanceTasks(ctx context.Context, v *galenastate.View, now time.Time) {
	var due []*taskCall
	for _, j := range s.driver.tracker.tasks {
		if s.isDue(j, now) {
			vm, _ := v.VM(j.Worker)
			due = append(due, &taskCall{scheduler: s, job: *j, vm: vm, now: now, lastRenewed: s.lastRenewed(j.ID)})
		}
	}
	g := &errgroup.Group{}
	g.SetLimit(maxPlatformCalls)
	for _, t := range due {
		g.Go(func() error { return t.run(ctx) })
	}
	// A failed call is repeated in the next reconciliation.
	_ = g.Wait()
	for _, t := range due {
		s.renewedAt[t.job.ID] = t.lastRenewed
	}
	for vm := range s.avoidUntil {
		s.driver.pendingResumes[vm] = true
	}
}

func (s *jobScheduler) lastRenewed(id galenahead.JobID) time.Time {
	if t, ok := s.renewedAt[id]; ok {
		return t
	}
	// The previous leader may have renewed the lease until this one started to
	// lead.
	return s.leadingSince
}

// isDue reports whether the task needs a platform call now.
func (s *jobScheduler) isDue(j *galenastate.Job, now time.Time) bool {
	if j.State != galenastate.JobRunning {
		return true
	}
	t, ok := s.renewedAt[j.ID]
	return !ok || now.Sub(t) >= s.driver.RenewInterval
}
