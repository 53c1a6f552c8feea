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
			s.throttled[id] = true
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

// unthrottle gives throttled tasks their processors back where their workers
// have room again.
func (s *jobs) unthrottle(ctx context.Context, v *galenastate.View, now time.Time) {
	for id := range s.throttled {
		j, ok := v.Job(id)
		if !ok || j.Worker == "" {
			delete(s.throttled, id)
			continue
		}
		if !s.index.placer.Unthrottle(id, now) {
			continue
		}
		if _, err := s.driver.Platform.Throttle(ctx, task{job: j, lease: s.lease()}, wholePercent); err != nil {
			// The room is taken again until the platform answers.
			s.index.placer.Throttle(id, now)
			continue
		}
		delete(s.throttled, id)
	}
}

// wholePercent lifts a throttle.
const wholePercent = 100
