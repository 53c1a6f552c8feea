package galenastate

import (
	"fmt"
	"slices"

	"github.com/galenahead/galenahead"
)

const (
	// attributionLimit is how many different workers park a job, and how many
	// different jobs in a row park a worker.
	attributionLimit = 3
	// jobLimit bounds the jobs that have not ended.
	jobLimit = 1 << 17
	// endedLimit is how many done and cancelled jobs are kept.
	endedLimit = 2048
)

func (ch *change) jobSubmit(s *JobSubmit) error {
	if err := ch.checkSubmit(s); err != nil {
		return err
	}
	// The shared copies of the names save some 50 bytes for each job.
	j := Job{
		ID:           s.ID,
		Team:         galenahead.TeamName(ch.sharedName(string(s.Team))),
		Pool:         galenahead.PoolName(ch.sharedName(string(s.Pool))),
		Service:      galenahead.ServiceName(ch.sharedName(string(s.Service))),
		Cores:        s.Cores,
		MemoryMB:     s.MemoryMB,
		Accelerators: s.Accelerators,
		Urgent:       s.Urgent,
		Epoch:        ch.epoch(),
		SubmittedMS:  ch.command.TimeMS,
	}
	ch.jobs.put(ch.gen, j.ID, &j)
	return nil
}

func (ch *change) checkSubmit(s *JobSubmit) error {
	if err := checkName("id", s.ID); err != nil {
		return err
	}
	if err := checkSize(s.Cores, s.MemoryMB, s.Accelerators); err != nil {
		return err
	}
	if _, ok := ch.pools.get(s.Pool); !ok {
		return notFound("pool", s.Pool)
	}
	if _, ok := ch.services.get(s.Service); !ok && s.Service != "" {
		return notFound("service", s.Service)
	}
	if _, ok := ch.jobs.get(s.ID); ok {
		return invalid("id", s.ID, "an id that no job has")
	}
	if ch.jobs.n-len(ch.ended) >= jobLimit {
		return invalid("jobs", jobLimit+1, describeMax(int64(jobLimit)))
	}
	team, ok := ch.teams.get(s.Team)
	if !ok {
		return notFound("team", s.Team)
	}
	size := Size{int64(s.Cores), int64(s.MemoryMB), int64(s.Accelerators)}
	return checkFits(team, size, size)
}

// checkFits refuses a total that exceeds the team's quota.
func checkFits(team *Team, total, size Size) error {
	if total.Fits(team.Quota) {
		return nil
	}
	allowed := fmt.Sprintf("the quota of team %s, which is %v, including this job of %v", team.Name, team.Quota, size)
	return &refusal{CodeQuota, describe("size", total, allowed)}
}

func (ch *change) jobCancel(c *JobCancel) error {
	old, ok := ch.jobs.get(c.ID)
	if !ok {
		return notFound("id", c.ID)
	}
	if old.State == JobDone || old.State == JobCancelled {
		return invalid("state", old.State.String(), "queued, placed, running or parked")
	}
	j := *old
	j.State = JobCancelled
	j.Reason = "cancelled by " + ch.command.Operator
	ch.setJob(j)
	return nil
}

// setJob stores a job and drops the oldest ended ones above their limit.
func (ch *change) setJob(j Job) {
	ch.jobs.put(ch.gen, j.ID, &j)
	ended := j.State == JobDone || j.State == JobCancelled
	if !ended || j.Worker != "" {
		return
	}
	ch.ended = append(ch.ended, j.ID)
	if len(ch.ended) <= endedLimit {
		return
	}
	ch.jobs.del(ch.gen, ch.ended[0])
	ch.ended = ch.ended[1:]
}

func (ch *change) jobPlaced(p *JobPlacement) error {
	old, ok := ch.jobs.get(p.Job)
	if !ok {
		return notFound("job", p.Job)
	}
	j := *old
	if p.Epoch == j.Epoch && p.Worker == j.Worker {
		ch.repeated = true
		return nil
	}
	if p.Epoch != j.Epoch+1 && !ch.faults.ignoreEpoch {
		return fenced("epoch", p.Epoch, j.Epoch+1)
	}
	if j.State != JobQueued {
		return invalid("state", j.State.String(), "queued")
	}
	vm, err := ch.fencedVM(p.Worker, p.WorkerEpoch)
	if err != nil {
		return err
	}
	if err := ch.checkWorker(j, vm); err != nil {
		return err
	}
	team, ok := ch.teams.get(j.Team)
	if !ok {
		return notFound("team", j.Team)
	}
	used := team.Used.Add(j.Size())
	if err := checkFits(team, used, j.Size()); err != nil {
		return err
	}
	ch.teams.put(ch.gen, team.Name, &Team{Name: team.Name, Quota: team.Quota, Used: used})
	vm.Jobs++
	ch.setVMWork(vm)
	j.State = JobPlaced
	j.Worker = vm.Name
	j.Epoch = p.Epoch
	j.Reason = ""
	ch.epochs = max(ch.epochs, p.Epoch)
	ch.setJob(j)
	return nil
}

// checkWorker refuses workers that must not get the job. Capacity is the
// placer's concern, since declared sizes are inaccurate.
func (ch *change) checkWorker(j Job, vm VM) error {
	if vm.Phase != PhaseOwned || vm.Condition != ConditionUp {
		return invalid("worker", vm.Name, "a worker that is owned and up; it is "+vm.Phase.String()+" and "+vm.Condition.String())
	}
	if vm.Parked {
		return invalid("worker", vm.Name, "a worker that is not parked")
	}
	pool, ok := ch.pools.get(vm.Pool)
	if vm.Pool != j.Pool && !(ok && pool.Spare) {
		return invalid("worker", vm.Name, "a worker of pool "+string(j.Pool)+" or of the spare pool")
	}
	return nil
}

// fencedJob returns the job if epoch is that of its newest task.
func (ch *change) fencedJob(id galenahead.JobID, epoch galenahead.Epoch) (Job, error) {
	j, ok := ch.jobs.get(id)
	if !ok {
		return Job{}, notFound("job", id)
	}
	if j.Epoch != epoch && !ch.faults.ignoreEpoch {
		return Job{}, fenced("epoch", epoch, j.Epoch)
	}
	return *j, nil
}

func (ch *change) jobStarted(e *JobEvent) error {
	j, err := ch.fencedJob(e.Job, e.Epoch)
	if err != nil {
		return err
	}
	if j.State == JobRunning {
		ch.repeated = true
		return nil
	}
	if j.State != JobPlaced {
		return invalid("state", j.State.String(), "placed")
	}
	j.State = JobRunning
	ch.setJob(j)
	return nil
}

// jobFinished records a success. It ends the worker's row of failures. A job
// that was cancelled in the meantime stays cancelled.
func (ch *change) jobFinished(e *JobEvent) error {
	j, err := ch.fencedJob(e.Job, e.Epoch)
	if err != nil {
		return err
	}
	if j.Worker == "" && (j.State == JobDone || j.State == JobCancelled) {
		ch.repeated = true
		return nil
	}
	if j.Worker == "" {
		return invalid("state", j.State.String(), "placed or running")
	}
	vm, known := ch.leaveWorker(&j)
	if known {
		vm.Failures = nil
		ch.setVMWork(vm)
	}
	if j.State != JobCancelled {
		j.State = JobDone
	}
	ch.setJob(j)
	return nil
}

// leaveWorker ends the job's use of its worker and of its team's quota. It
// returns the worker, with one job less, for the caller to store.
func (ch *change) leaveWorker(j *Job) (VM, bool) {
	if team, ok := ch.teams.get(j.Team); ok {
		ch.teams.put(ch.gen, team.Name, &Team{Name: team.Name, Quota: team.Quota, Used: team.Used.Sub(j.Size())})
	}
	old, ok := ch.vms.get(j.Worker)
	j.Worker = ""
	if !ok {
		return VM{}, false
	}
	vm := *old
	vm.Jobs--
	return vm, true
}

func (ch *change) jobFailed(f *JobFailure) error {
	j, err := ch.fencedJob(f.Job, f.Epoch)
	if err != nil {
		return err
	}
	if err := checkText("reason", f.Reason); err != nil {
		return err
	}
	if j.Worker == "" {
		ch.repeated = true
		return nil
	}
	worker := j.Worker
	vm, known := ch.leaveWorker(&j)
	if known {
		ch.setVMWork(vm)
	}
	if j.State != JobCancelled {
		j.State = JobQueued
		j.Reason = f.Reason
	}
	ch.setJob(j)
	if f.Lost || j.State == JobCancelled {
		return nil
	}
	ch.attribute(j.ID, worker)
	return nil
}

// attribute counts a failure against both the job and the worker, and parks
// the one that reaches the limit. The worker is looked at first: parking it
// loses capacity, while parking the job would lose a user's work.
func (ch *change) attribute(id galenahead.JobID, worker galenahead.VMName) {
	j, _ := ch.jobs.get(id)
	job := *j
	job.FailedOn = addOnce(job.FailedOn, worker)
	ch.jobs.put(ch.gen, id, &job)
	if v, ok := ch.vms.get(worker); ok {
		vm := *v
		vm.Failures = addOnce(vm.Failures, id)
		ch.setVMWork(vm)
		if len(vm.Failures) >= attributionLimit {
			ch.parkWorker(vm)
		}
	}
	j, _ = ch.jobs.get(id)
	if len(j.FailedOn) >= attributionLimit {
		ch.parkJob(*j)
	}
}

// parkWorker parks a worker; its failures no longer count against the jobs.
func (ch *change) parkWorker(vm VM) {
	for _, id := range vm.Failures {
		old, ok := ch.jobs.get(id)
		if !ok {
			continue
		}
		j := *old
		j.FailedOn = without(j.FailedOn, vm.Name)
		ch.jobs.put(ch.gen, id, &j)
	}
	vm.Parked = true
	vm.Failures = nil
	ch.setVMWork(vm)
}

// parkJob parks a job; its failures no longer count against the workers.
func (ch *change) parkJob(j Job) {
	for _, name := range j.FailedOn {
		old, ok := ch.vms.get(name)
		if !ok {
			continue
		}
		vm := *old
		vm.Failures = without(vm.Failures, j.ID)
		ch.setVMWork(vm)
	}
	j.State = JobParked
	j.Reason = fmt.Sprintf("failed on %d workers; last: %s", len(j.FailedOn), j.Reason)
	ch.jobs.put(ch.gen, j.ID, &j)
}

func (ch *change) jobParked(e *JobEvent) error {
	j, err := ch.fencedJob(e.Job, e.Epoch)
	if err != nil {
		return err
	}
	if err := checkText("reason", e.Reason); err != nil {
		return err
	}
	if j.State == JobParked {
		ch.repeated = true
		return nil
	}
	if j.State != JobQueued {
		return invalid("state", j.State.String(), "queued")
	}
	j.State = JobParked
	j.Reason = e.Reason
	ch.setJob(j)
	return nil
}

// addOnce returns list with v. The old list is not changed.
func addOnce[T comparable](list []T, v T) []T {
	if slices.Contains(list, v) {
		return list
	}
	return append(slices.Clone(list), v)
}

// without returns list without v, or nil when nothing is left. The old list is
// not changed.
func without[T comparable](list []T, v T) []T {
	out := slices.DeleteFunc(slices.Clone(list), func(x T) bool { return x == v })
	if len(out) == 0 {
		return nil
	}
	return out
}
