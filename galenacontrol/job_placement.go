package galenacontrol

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenapb"
	"github.com/galenahead/galenahead/galenaplace"
	"github.com/galenahead/galenahead/galenastate"
)

// avoidDuration is how long no job is placed on a worker that rejected a task.
const avoidDuration = 5 * time.Second

// avoidWorker records that a worker in service rejected the start of a task. The
// worker may still be drained at the platform.
func (s *jobScheduler) avoidWorker(vm galenahead.VMName, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoidUntil[vm] = now.Add(avoidDuration)
}

// avoidedWorkers returns the workers on which j should not be placed now: those
// on which it failed and those that rejected a task.
func (s *jobScheduler) avoidedWorkers(j galenastate.Job, now time.Time) []galenahead.VMName {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := slices.Clone(j.FailedOn)
	for vm, until := range s.avoidUntil {
		if now.After(until) {
			delete(s.avoidUntil, vm)
			continue
		}
		list = append(list, vm)
	}
	return list
}

// sortByPriority sorts jobs by urgency, then by age.
func sortByPriority(jobs map[galenahead.JobID]*galenastate.Job) []*galenastate.Job {
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

// place chooses a worker for a queued job, preempts or throttles other jobs there
// if necessary, and commits the placement. A later reconciliation starts the
// task.
func (s *jobScheduler) place(ctx context.Context, v *galenastate.View, j galenastate.Job, now time.Time) {
	avoidedWorkers := s.avoidedWorkers(j, now)
	s.index.placer.Avoid(j.ID, avoidedWorkers...)
	placement, err := s.index.placer.Place(j.Spec(), now)
	if err == nil && slices.Contains(avoidedWorkers, placement.Worker) && !slices.Contains(j.FailedOn, placement.Worker) {
		err = galenahead.ErrNoWorker
	}
	logEntry := s.driver.Log.WithFields(logrus.Fields{
		"decision": "job_placed", "job": j.ID, "team": j.Team, "urgent": j.Urgent, "worker": placement.Worker,
		"candidates": placement.Candidates, "reason": placement.Reason, "preempt": placement.Preempt, "throttle": placement.Throttle,
	})
	if err != nil {
		logEntry.WithField("error", err.Error()).Debug("job stays queued")
		return
	}
	vm, ok := v.VM(placement.Worker)
	if !ok || !s.makeRoom(ctx, v, placement) {
		return
	}
	tookEffect, err := s.driver.Store.proposeDriverChange(ctx, now, galenastate.Change{JobPlaced: &galenastate.JobPlacement{
		Job: j.ID, Epoch: j.Epoch + 1, Worker: placement.Worker, WorkerEpoch: vm.Epoch,
	}})
	logEntry.WithField("took_effect", tookEffect && err == nil).Info("placement decision")
	if tookEffect && err == nil {
		s.index.recordPlacement(j, placement, now)
	}
}

// makeRoom checkpoints the jobs that a placement preempts and throttles those that
// it throttles. It reports whether all preempted jobs were checkpointed.
func (s *jobScheduler) makeRoom(ctx context.Context, v *galenastate.View, placement galenahead.Placement) bool {
	for _, id := range placement.Preempt {
		j, ok := v.Job(id)
		if ok && !s.checkpoint(ctx, j, "checkpointed for an urgent job") {
			return false
		}
	}
	for _, id := range placement.Throttle {
		if j, ok := v.Job(id); ok {
			// The error is ignored: a task that is not throttled only slows down
			// the urgent one.
			_, _ = s.driver.Platform.Throttle(ctx, taskParams{job: j, lease: s.leaseDuration()}, galenaplace.ThrottlePercent())
			s.throttled[id] = true
		}
	}
	return true
}

// checkpoint ends a task with a checkpoint, returns its job to the queue and
// reports whether both succeeded.
func (s *jobScheduler) checkpoint(ctx context.Context, j galenastate.Job, reason string) bool {
	reply, err := s.driver.Platform.callTask(ctx, galenapb.WorkerClient.Checkpoint, taskParams{job: j, lease: s.leaseDuration()})
	if err != nil || reply.GetState() == taskRunning {
		return false
	}
	_, err = s.driver.Store.proposeDriverChange(ctx, s.driver.Timers.Now(), galenastate.Change{JobFailed: &galenastate.JobFailure{
		Job: j.ID, Epoch: j.Epoch, Reason: reason, Lost: true,
	}})
	return err == nil
}

// unthrottle lifts the throttling of tasks whose workers have enough free
// processors again.
func (s *jobScheduler) unthrottle(ctx context.Context, v *galenastate.View, now time.Time) {
	for id := range s.throttled {
		j, ok := v.Job(id)
		if !ok || j.Worker == "" {
			delete(s.throttled, id)
			continue
		}
		if !s.index.placer.Unthrottle(id, now) {
			continue
		}
		if _, err := s.driver.Platform.Throttle(ctx, taskParams{job: j, lease: s.leaseDuration()}, unthrottledPercent); err != nil {
			// Account for the task as throttled until a call succeeds.
			s.index.placer.Throttle(id, now)
			continue
		}
		delete(s.throttled, id)
	}
}

// unthrottledPercent is the processor share of a task that is not throttled.
const unthrottledPercent = 100
