package galenacontrol

import (
	"context"
	"time"

	"github.com/galenahead/galenahead/galenapb"
	"github.com/galenahead/galenahead/galenastate"
)

// taskCall makes one platform call for a task and commits the resulting change.
type taskCall struct {
	scheduler   *jobScheduler
	job         galenastate.Job
	vm          galenastate.VM
	now         time.Time
	lastRenewed time.Time
}

// run makes the call that the job's state requires and records the reply.
func (t *taskCall) run(ctx context.Context) error {
	leaving := t.vm.Phase != galenastate.PhaseOwned || t.vm.Condition == galenastate.ConditionDraining
	method := galenapb.WorkerClient.Renew
	switch {
	case t.job.State == galenastate.JobCancelled:
		method = galenapb.WorkerClient.Stop
	case leaving:
		if t.scheduler.checkpoint(ctx, t.job, "checkpointed because its worker leaves") {
			return nil
		}
		return t.handleUnreachable(ctx)
	case t.job.State == galenastate.JobPlaced:
		method = galenapb.WorkerClient.Start
	}
	requestedAt := t.scheduler.driver.Timers.Now()
	reply, err := t.scheduler.driver.Platform.callTask(ctx, method, taskParams{job: t.job, lease: t.scheduler.leaseDuration()})
	if err != nil {
		return t.handleUnreachable(ctx)
	}
	if reply.GetAccepted() && reply.GetState() == taskRunning {
		t.lastRenewed = requestedAt
	}
	return t.recordReply(ctx, reply)
}

// handleUnreachable returns the job to the queue once the lease of its task has
// expired without a successful call.
func (t *taskCall) handleUnreachable(ctx context.Context) error {
	if t.now.Sub(t.lastRenewed) < t.scheduler.leaseDuration()+leaseMargin {
		return nil
	}
	return t.propose(ctx, galenastate.Change{JobFailed: &galenastate.JobFailure{
		Job: t.job.ID, Epoch: t.job.Epoch, Reason: "lease ran out without contact to the platform", Lost: true,
	}})
}

// recordReply commits the state of the task that the platform reported.
func (t *taskCall) recordReply(ctx context.Context, reply *galenapb.TaskReply) error {
	event := &galenastate.JobEvent{Job: t.job.ID, Epoch: t.job.Epoch}
	if t.job.State == galenastate.JobPlaced && !reply.GetAccepted() {
		t.scheduler.avoidWorker(t.job.Worker, t.now)
	}
	failure := &galenastate.JobFailure{Job: t.job.ID, Epoch: t.job.Epoch, Reason: "task is " + reply.GetState(), Lost: true}
	switch reply.GetState() {
	case taskRunning:
		if t.job.State == galenastate.JobPlaced && reply.GetAccepted() {
			return t.propose(ctx, galenastate.Change{JobStarted: event})
		}
		return nil
	case taskDone:
		return t.propose(ctx, galenastate.Change{JobFinished: event})
	case taskFailed:
		failure.Lost = false
	case taskStopped, taskCheckpointed, taskExpired:
	}
	return t.propose(ctx, galenastate.Change{JobFailed: failure})
}

func (t *taskCall) propose(ctx context.Context, ch galenastate.Change) error {
	_, err := t.scheduler.driver.Store.proposeDriverChange(ctx, t.now, ch)
	return err
}
