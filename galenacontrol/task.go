package galenacontrol

import (
	"context"
	"time"

	"github.com/galenahead/galenahead/galenapb"
	"github.com/galenahead/galenahead/galenastate"
)

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
		if t.jobs.checkpoint(ctx, t.job, "checkpointed because its worker leaves") {
			return nil
		}
		return t.unreachable(ctx)
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
