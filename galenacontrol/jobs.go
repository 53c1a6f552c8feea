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
	// taskLeaseFactor is how many renewals fit into one lease, so that two lost
	// ones in a row do not end a task.
	taskLeaseFactor = 3
	// leaseMargin is added to a task's lease before another worker may run the
	// job, since the platform's clock may run slower.
	leaseMargin = time.Second
	// placementsPerStep bounds the placements of one step.
	placementsPerStep = 256
)

// jobs carries jobs out: it places queued ones, starts and renews their tasks,
// and records how they end.
type jobs struct {
	driver *Driver
	index  *workerIndex
	// renewed is when a task's lease was last extended.
	renewed map[galenahead.JobID]time.Time
	// since is when this replica began to lead.
	since time.Time
	// throttled holds the tasks that this replica throttled.
	throttled map[galenahead.JobID]bool

	mu sync.Mutex
	// refused holds workers that refused to start a task, until they may be
	// tried again.
	refused map[galenahead.VMName]time.Time
}

func newJobs(d *Driver) *jobs {
	return &jobs{
		driver: d, index: newWorkerIndex(), renewed: make(map[galenahead.JobID]time.Time), refused: make(map[galenahead.VMName]time.Time),
		throttled: make(map[galenahead.JobID]bool), since: d.Timers.Now(),
	}
}

func (s *jobs) lease() time.Duration { return taskLeaseFactor * s.driver.RenewInterval }

// step places queued jobs and advances the tasks of the others. c is what
// changed since the last step.
func (s *jobs) step(ctx context.Context, v *galenastate.View, c changes) {
	now := s.driver.Timers.Now()
	s.index.sync(v, c, now)
	s.forget(c)
	queued := inOrder(s.driver.tracker.queued)
	for _, j := range queued[:min(len(queued), placementsPerStep)] {
		s.place(ctx, v, *j, now)
	}
	s.unthrottle(ctx, v, now)
	s.advance(ctx, v, now)
}

// forget drops the renewals of jobs that have no worker any more.
func (s *jobs) forget(c changes) {
	for _, id := range c.removedJobs {
		delete(s.renewed, id)
	}
	for _, j := range c.jobs {
		if j.Worker == "" {
			delete(s.renewed, j.ID)
		}
	}
}

// advance makes the calls that are due for tasks, several at a time.
func (s *jobs) advance(ctx context.Context, v *galenastate.View, now time.Time) {
	var due []*taskStep
	for _, j := range s.driver.tracker.tasks {
		if s.due(j, now) {
			vm, _ := v.VM(j.Worker)
			due = append(due, &taskStep{jobs: s, job: *j, vm: vm, now: now, lastRenewed: s.lastRenewed(j.ID)})
		}
	}
	g := &errgroup.Group{}
	g.SetLimit(platformCalls)
	for _, t := range due {
		g.Go(func() error { return t.run(ctx) })
	}
	// A failed step is taken again at the next tick.
	_ = g.Wait()
	for _, t := range due {
		s.renewed[t.job.ID] = t.lastRenewed
	}
	for vm := range s.refused {
		s.driver.resuming[vm] = true
	}
}

func (s *jobs) lastRenewed(id galenahead.JobID) time.Time {
	if t, ok := s.renewed[id]; ok {
		return t
	}
	// An earlier leader may have extended the lease just before this one began.
	return s.since
}

// due tells whether the task needs a call now.
func (s *jobs) due(j *galenastate.Job, now time.Time) bool {
	if j.State != galenastate.JobRunning {
		return true
	}
	t, ok := s.renewed[j.ID]
	return !ok || now.Sub(t) >= s.driver.RenewInterval
}
