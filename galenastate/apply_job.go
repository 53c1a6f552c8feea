package galenastate

import (
	"fmt"
	"slices"

	"github.com/galenahead/galenahead"
)

const (
	// failureLimit is the number of different workers on which a job must fail to
	// be parked, and the number of different jobs that must fail on a worker
	// without a success in between to park the worker.
	failureLimit = 3
	// openJobLimit is the largest number of jobs that have not ended.
	openJobLimit = 1 << 17
	// endedJobLimit is how many done and cancelled jobs without a worker are kept.
	endedJobLimit = 2048
)

func (tx *transaction) jobSubmit(s *JobSubmit) error {
	if err := tx.checkJobSubmit(s); err != nil {
		return err
	}
	// Interning the names saves some 50 bytes for each job.
	j := Job{
		ID:           s.ID,
		Team:         galenahead.TeamName(tx.internName(string(s.Team))),
		Pool:         galenahead.PoolName(tx.internName(string(s.Pool))),
		Service:      galenahead.ServiceName(tx.internName(string(s.Service))),
		Cores:        s.Cores,
		MemoryMB:     s.MemoryMB,
		Accelerators: s.Accelerators,
		Urgent:       s.Urgent,
		Epoch:        tx.nextEpoch(),
		SubmittedMS:  tx.command.TimeMS,
	}
	tx.jobs.put(tx.gen, j.ID, &j)
	return nil
}

func (tx *transaction) checkJobSubmit(s *JobSubmit) error {
	if err := checkName("id", s.ID); err != nil {
		return err
	}
	if err := checkSize(s.Cores, s.MemoryMB, s.Accelerators); err != nil {
		return err
	}
	if _, ok := tx.pools.get(s.Pool); !ok {
		return notFound("pool", s.Pool)
	}
	if _, ok := tx.services.get(s.Service); !ok && s.Service != "" {
		return notFound("service", s.Service)
	}
	if _, ok := tx.jobs.get(s.ID); ok {
		return invalid("id", s.ID, "an id that no job has")
	}
	if tx.jobs.rowCount-len(tx.endedJobs) >= openJobLimit {
		return invalid("jobs", openJobLimit+1, describeMax(int64(openJobLimit)))
	}
	team, ok := tx.teams.get(s.Team)
	if !ok {
		return notFound("team", s.Team)
	}
	size := Size{int64(s.Cores), int64(s.MemoryMB), int64(s.Accelerators)}
	return checkQuotaUse(team, size, size)
}

// checkQuotaUse rejects a total that exceeds the team's quota.
func checkQuotaUse(team *Team, total, size Size) error {
	if total.Fits(team.Quota) {
		return nil
	}
	allowed := fmt.Sprintf("the quota of team %s, which is %v, including this job of %v", team.Name, team.Quota, size)
	return &rejection{CodeQuota, describe("size", total, allowed)}
}

func (tx *transaction) jobCancel(c *JobCancel) error {
	old, ok := tx.jobs.get(c.ID)
	if !ok {
		return notFound("id", c.ID)
	}
	if old.State == JobDone || old.State == JobCancelled {
		return invalid("state", old.State.String(), "queued, placed, running or parked")
	}
	j := *old
	j.State = JobCancelled
	j.Reason = "cancelled by " + tx.command.Operator
	tx.setJob(j)
	return nil
}

// setJob stores a job. If the job ended and ended jobs exceed their limit, the
// oldest of them is deleted.
func (tx *transaction) setJob(j Job) {
	tx.jobs.put(tx.gen, j.ID, &j)
	ended := j.State == JobDone || j.State == JobCancelled
	if !ended || j.Worker != "" {
		return
	}
	tx.endedJobs = append(tx.endedJobs, j.ID)
	if len(tx.endedJobs) <= endedJobLimit {
		return
	}
	tx.jobs.del(tx.gen, tx.endedJobs[0])
	tx.endedJobs = tx.endedJobs[1:]
}

func (tx *transaction) jobPlaced(p *JobPlacement) error {
	old, ok := tx.jobs.get(p.Job)
	if !ok {
		return notFound("job", p.Job)
	}
	j := *old
	if p.Epoch == j.Epoch && p.Worker == j.Worker {
		tx.repeated = true
		return nil
	}
	if p.Epoch != j.Epoch+1 && !tx.faults.skipEpochCheck {
		return fenced("epoch", p.Epoch, j.Epoch+1)
	}
	if j.State != JobQueued {
		return invalid("state", j.State.String(), "queued")
	}
	vm, err := tx.vmAtEpoch(p.Worker, p.WorkerEpoch)
	if err != nil {
		return err
	}
	if err := tx.checkWorker(j, vm); err != nil {
		return err
	}
	team, ok := tx.teams.get(j.Team)
	if !ok {
		return notFound("team", j.Team)
	}
	used := team.Used.Add(j.Size())
	if err := checkQuotaUse(team, used, j.Size()); err != nil {
		return err
	}
	tx.teams.put(tx.gen, team.Name, &Team{Name: team.Name, Quota: team.Quota, Used: used})
	vm.Jobs++
	tx.setVMJobState(vm)
	j.State = JobPlaced
	j.Worker = vm.Name
	j.Epoch = p.Epoch
	j.Reason = ""
	tx.lastEpoch = max(tx.lastEpoch, p.Epoch)
	tx.setJob(j)
	return nil
}

// checkWorker rejects workers that must not get the job. It does not check the
// worker's capacity, which is up to the placer, since declared job sizes are
// inaccurate.
func (tx *transaction) checkWorker(j Job, vm VM) error {
	if vm.Phase != PhaseOwned || vm.Condition != ConditionUp {
		return invalid("worker", vm.Name, "a worker that is owned and up; it is "+vm.Phase.String()+" and "+vm.Condition.String())
	}
	if vm.Parked {
		return invalid("worker", vm.Name, "a worker that is not parked")
	}
	pool, ok := tx.pools.get(vm.Pool)
	if vm.Pool != j.Pool && !(ok && pool.Spare) {
		return invalid("worker", vm.Name, "a worker of pool "+string(j.Pool)+" or of the spare pool")
	}
	return nil
}

// jobAtEpoch returns the job if epoch is the one of its newest task.
func (tx *transaction) jobAtEpoch(id galenahead.JobID, epoch galenahead.Epoch) (Job, error) {
	j, ok := tx.jobs.get(id)
	if !ok {
		return Job{}, notFound("job", id)
	}
	if j.Epoch != epoch && !tx.faults.skipEpochCheck {
		return Job{}, fenced("epoch", epoch, j.Epoch)
	}
	return *j, nil
}

func (tx *transaction) jobStarted(e *JobEvent) error {
	j, err := tx.jobAtEpoch(e.Job, e.Epoch)
	if err != nil {
		return err
	}
	if j.State == JobRunning {
		tx.repeated = true
		return nil
	}
	if j.State != JobPlaced {
		return invalid("state", j.State.String(), "placed")
	}
	j.State = JobRunning
	tx.setJob(j)
	return nil
}

// jobFinished records that a job's task succeeded, which clears the worker's
// failures. A job that was cancelled in the meantime stays cancelled.
func (tx *transaction) jobFinished(e *JobEvent) error {
	j, err := tx.jobAtEpoch(e.Job, e.Epoch)
	if err != nil {
		return err
	}
	if j.Worker == "" && (j.State == JobDone || j.State == JobCancelled) {
		tx.repeated = true
		return nil
	}
	if j.Worker == "" {
		return invalid("state", j.State.String(), "placed or running")
	}
	vm, known := tx.releaseWorker(&j)
	if known {
		vm.Failures = nil
		tx.setVMJobState(vm)
	}
	if j.State != JobCancelled {
		j.State = JobDone
	}
	tx.setJob(j)
	return nil
}

// releaseWorker subtracts the job's size from the team's used quota and removes the
// job from its worker. It returns the worker with its reduced job count, which is
// not stored yet, and false if the worker no longer exists.
func (tx *transaction) releaseWorker(j *Job) (VM, bool) {
	if team, ok := tx.teams.get(j.Team); ok {
		tx.teams.put(tx.gen, team.Name, &Team{Name: team.Name, Quota: team.Quota, Used: team.Used.Sub(j.Size())})
	}
	old, ok := tx.vms.get(j.Worker)
	j.Worker = ""
	if !ok {
		return VM{}, false
	}
	vm := *old
	vm.Jobs--
	return vm, true
}

func (tx *transaction) jobFailed(f *JobFailure) error {
	j, err := tx.jobAtEpoch(f.Job, f.Epoch)
	if err != nil {
		return err
	}
	if err := checkText("reason", f.Reason); err != nil {
		return err
	}
	if j.Worker == "" {
		tx.repeated = true
		return nil
	}
	worker := j.Worker
	vm, known := tx.releaseWorker(&j)
	if known {
		tx.setVMJobState(vm)
	}
	if j.State != JobCancelled {
		j.State = JobQueued
		j.Reason = f.Reason
	}
	tx.setJob(j)
	if f.Lost || j.State == JobCancelled {
		return nil
	}
	tx.attributeFailure(j.ID, worker)
	return nil
}

// attributeFailure counts a failure against both the job and the worker, and
// parks the one that reaches the limit. The worker is checked first: parking it
// only costs capacity, while parking the job costs a user's work.
func (tx *transaction) attributeFailure(id galenahead.JobID, worker galenahead.VMName) {
	j, _ := tx.jobs.get(id)
	job := *j
	job.FailedOn = appendUnique(job.FailedOn, worker)
	tx.jobs.put(tx.gen, id, &job)
	if v, ok := tx.vms.get(worker); ok {
		vm := *v
		vm.Failures = appendUnique(vm.Failures, id)
		tx.setVMJobState(vm)
		if len(vm.Failures) >= failureLimit {
			tx.parkWorker(vm)
		}
	}
	j, _ = tx.jobs.get(id)
	if len(j.FailedOn) >= failureLimit {
		tx.parkJob(*j)
	}
}

// parkWorker parks a worker. Its failures no longer count against the jobs.
func (tx *transaction) parkWorker(vm VM) {
	for _, id := range vm.Failures {
		old, ok := tx.jobs.get(id)
		if !ok {
			continue
		}
		j := *old
		j.FailedOn = without(j.FailedOn, vm.Name)
		tx.jobs.put(tx.gen, id, &j)
	}
	vm.Parked = true
	vm.Failures = nil
	tx.setVMJobState(vm)
}

// parkJob parks a job. Its failures no longer count against the workers.
func (tx *transaction) parkJob(j Job) {
	for _, name := range j.FailedOn {
		old, ok := tx.vms.get(name)
		if !ok {
			continue
		}
		vm := *old
		vm.Failures = without(vm.Failures, j.ID)
		tx.setVMJobState(vm)
	}
	j.State = JobParked
	j.Reason = fmt.Sprintf("failed on %d workers; last: %s", len(j.FailedOn), j.Reason)
	tx.jobs.put(tx.gen, j.ID, &j)
}

func (tx *transaction) jobParked(e *JobEvent) error {
	j, err := tx.jobAtEpoch(e.Job, e.Epoch)
	if err != nil {
		return err
	}
	if err := checkText("reason", e.Reason); err != nil {
		return err
	}
	if j.State == JobParked {
		tx.repeated = true
		return nil
	}
	if j.State != JobQueued {
		return invalid("state", j.State.String(), "queued")
	}
	j.State = JobParked
	j.Reason = e.Reason
	tx.setJob(j)
	return nil
}

// appendUnique returns list with v appended, unless list contains v. It does not
// modify list.
func appendUnique[T comparable](list []T, v T) []T {
	if slices.Contains(list, v) {
		return list
	}
	return append(slices.Clone(list), v)
}

// without returns list without v, or nil if nothing is left. It does not modify
// list.
func without[T comparable](list []T, v T) []T {
	out := slices.DeleteFunc(slices.Clone(list), func(x T) bool { return x == v })
	if len(out) == 0 {
		return nil
	}
	return out
}
