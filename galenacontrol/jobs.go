package galenacontrol

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenapb"
	"github.com/galenahead/galenahead/galenaplace"
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

	mu sync.Mutex
	// refused holds workers that refused to start a task, until they may be
	// tried again.
	refused map[galenahead.VMName]time.Time
}

// refusalPause is how long a worker that refused a task gets no other one.
const refusalPause = 5 * time.Second

// refuse notes that a worker in service refused to start a task. The platform
// may hold it drained.
func (s *jobs) refuse(vm galenahead.VMName, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[vm] = now.Add(refusalPause)
}

// avoided returns the workers on which j should not be placed now.
func (s *jobs) avoided(j galenastate.Job, now time.Time) []galenahead.VMName {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := slices.Clone(j.FailedOn)
	for vm, until := range s.refused {
		if now.After(until) {
			delete(s.refused, vm)
			continue
		}
		list = append(list, vm)
	}
	return list
}

func newJobs(d *Driver) *jobs {
	return &jobs{
		driver: d, index: newWorkerIndex(), renewed: make(map[galenahead.JobID]time.Time), refused: make(map[galenahead.VMName]time.Time), since: d.Timers.Now(),
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

// inOrder returns queued jobs, urgent and older ones first.
func inOrder(jobs map[galenahead.JobID]*galenastate.Job) []*galenastate.Job {
	return slices.SortedFunc(maps.Values(jobs), func(a, b *galenastate.Job) int {
		if a.Urgent != b.Urgent {
			if a.Urgent {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.SubmittedMS, b.SubmittedMS), cmp.Compare(a.ID, b.ID))
	})
}

// place chooses a worker for a queued job, makes room on it and commits the
// decision. The task starts in a later step.
func (s *jobs) place(ctx context.Context, v *galenastate.View, j galenastate.Job, now time.Time) {
	avoided := s.avoided(j, now)
	s.index.placer.Avoid(j.ID, avoided...)
	p, err := s.index.placer.Place(j.Spec(), now)
	if err == nil && slices.Contains(avoided, p.Worker) && !slices.Contains(j.FailedOn, p.Worker) {
		err = galenahead.ErrNoWorker
	}
	line := s.driver.Log.WithFields(logrus.Fields{
		"decision": "job_placed", "job": j.ID, "team": j.Team, "urgent": j.Urgent, "worker": p.Worker,
		"candidates": p.Candidates, "reason": p.Reason, "preempt": p.Preempt, "throttle": p.Throttle,
	})
	if err != nil {
		line.WithField("error", err.Error()).Debug("job stays queued")
		return
	}
	vm, ok := v.VM(p.Worker)
	if !ok || !s.makeRoom(ctx, v, p) {
		return
	}
	done, err := s.driver.Store.drive(ctx, now, galenastate.Change{JobPlaced: &galenastate.JobPlacement{
		Job: j.ID, Epoch: j.Epoch + 1, Worker: p.Worker, WorkerEpoch: vm.Epoch,
	}})
	line.WithField("took_effect", done && err == nil).Info("placement decision")
	if done && err == nil {
		s.index.placed(j, p, now)
	}
}

// makeRoom checkpoints and throttles the jobs that give way to a placement.
func (s *jobs) makeRoom(ctx context.Context, v *galenastate.View, p galenahead.Placement) bool {
	for _, id := range p.Preempt {
		j, ok := v.Job(id)
		if ok && !s.checkpoint(ctx, j, "checkpointed for an urgent job") {
			return false
		}
	}
	for _, id := range p.Throttle {
		if j, ok := v.Job(id); ok {
			// An unthrottled task only slows the urgent one down.
			_, _ = s.driver.Platform.Throttle(ctx, task{job: j, lease: s.lease()}, galenaplace.ThrottlePercent())
		}
	}
	return true
}

// checkpoint ends a task and puts its job back into the queue.
func (s *jobs) checkpoint(ctx context.Context, j galenastate.Job, reason string) bool {
	reply, err := s.driver.Platform.call(ctx, galenapb.WorkerClient.Checkpoint, task{job: j, lease: s.lease()})
	if err != nil || reply.GetState() == taskRunning {
		return false
	}
	_, err = s.driver.Store.drive(ctx, s.driver.Timers.Now(), galenastate.Change{JobFailed: &galenastate.JobFailure{
		Job: j.ID, Epoch: j.Epoch, Reason: reason, Lost: true,
	}})
	return err == nil
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

// taskStep advances one task.
type taskStep struct {
	jobs        *jobs
	job         galenastate.Job
	vm          galenastate.VM
	now         time.Time
	lastRenewed time.Time
}

// run makes the call that the job's state asks for and records the answer.
func (t *taskStep) run(ctx context.Context) error {
	leaving := t.vm.Phase != galenastate.PhaseOwned || t.vm.Condition == galenastate.ConditionDraining
	method := galenapb.WorkerClient.Renew
	switch {
	case t.job.State == galenastate.JobCancelled:
		method = galenapb.WorkerClient.Stop
	case leaving:
		t.jobs.checkpoint(ctx, t.job, "checkpointed because its worker leaves")
		return nil
	case t.job.State == galenastate.JobPlaced:
		method = galenapb.WorkerClient.Start
	}
	asked := t.jobs.driver.Timers.Now()
	reply, err := t.jobs.driver.Platform.call(ctx, method, task{job: t.job, lease: t.jobs.lease()})
	if err != nil {
		return t.unreachable(ctx)
	}
	if reply.GetAccepted() && reply.GetState() == taskRunning {
		t.lastRenewed = asked
	}
	return t.record(ctx, reply)
}

// unreachable gives the job to another worker once its lease has run out.
func (t *taskStep) unreachable(ctx context.Context) error {
	if t.now.Sub(t.lastRenewed) < t.jobs.lease()+leaseMargin {
		return nil
	}
	return t.drive(ctx, galenastate.Change{JobFailed: &galenastate.JobFailure{
		Job: t.job.ID, Epoch: t.job.Epoch, Reason: "lease ran out without contact to the platform", Lost: true,
	}})
}

// record commits what the platform says of the task.
func (t *taskStep) record(ctx context.Context, reply *galenapb.TaskReply) error {
	event := &galenastate.JobEvent{Job: t.job.ID, Epoch: t.job.Epoch}
	if t.job.State == galenastate.JobPlaced && !reply.GetAccepted() {
		t.jobs.refuse(t.job.Worker, t.now)
	}
	failure := &galenastate.JobFailure{Job: t.job.ID, Epoch: t.job.Epoch, Reason: "task is " + reply.GetState(), Lost: true}
	switch reply.GetState() {
	case taskRunning:
		if t.job.State == galenastate.JobPlaced && reply.GetAccepted() {
			return t.drive(ctx, galenastate.Change{JobStarted: event})
		}
		return nil
	case taskDone:
		return t.drive(ctx, galenastate.Change{JobFinished: event})
	case taskFailed:
		failure.Lost = false
	case taskStopped, taskCheckpointed, taskExpired:
	}
	return t.drive(ctx, galenastate.Change{JobFailed: failure})
}

func (t *taskStep) drive(ctx context.Context, ch galenastate.Change) error {
	_, err := t.jobs.driver.Store.drive(ctx, t.now, ch)
	return err
}
