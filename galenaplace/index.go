// Package galenaplace places jobs on workers. The user of the package keeps an
// Index of workers, jobs and quotas in sync with the control state. Index.Place
// decides without changing the index. All times are passed in, so that decisions
// depend only on the calls made.
package galenaplace

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
)

// Condition is the condition of a worker. Only a worker that is Up gets jobs.
type Condition string

// Conditions of a worker. A worker with the zero value gets no jobs.
const (
	Up        Condition = "up"
	Draining  Condition = "draining"
	Rebooting Condition = "rebooting"
	Settling  Condition = "settling"
	Down      Condition = "down"
	Parked    Condition = "parked"
)

// Worker is a VM that runs jobs. It is immutable.
type Worker struct {
	Name         galenahead.VMName
	Pool         galenahead.PoolName
	DataCentre   galenahead.DataCentre
	Rack         galenahead.RackName
	Cores        int
	MemoryMB     int
	Accelerators int
	Condition    Condition
	// Reserved marks a VM that gets jobs only when neither the other VMs of the
	// pool nor the spare pools have capacity.
	Reserved bool
}

// WithCondition returns a copy of w in condition c.
func (w Worker) WithCondition(c Condition) Worker {
	w.Condition = c
	return w
}

// Quota limits the total declared size of the running jobs of a team.
type Quota struct {
	Cores        int
	MemoryMB     int
	Accelerators int
}

// throttlePercent is the share of its processors that a throttled job keeps, in
// percent.
const throttlePercent = 25

// ThrottlePercent returns the share of its processors, in percent, at which
// jobs named by Placement.Throttle are to be throttled.
func ThrottlePercent() int32 { return throttlePercent }

// failureDomain is a rack or a data centre.
type failureDomain struct{ name string }

// job is a running job. Its times are Unix nanoseconds.
type job struct {
	id        galenahead.JobID
	team      *team
	service   *service
	worker    *worker
	startedAt int64
	// changedAt is when the job started or its throttling last changed. Usage
	// measured earlier does not show its current use.
	changedAt int64
	declared  compactSize
	// charge is the estimated size by which the job reduces the free capacity of
	// its worker.
	charge    compactSize
	urgent    bool
	throttled bool
}

// endedJob is a job that left its worker, perhaps after the measurement of the
// newest usage report.
type endedJob struct {
	job
	endedAt int64
}

type worker struct {
	Worker
	size        size
	rackWorkers *rackWorkers
	rack        *failureDomain
	dc          *failureDomain
	jobs        []*job
	// charged is the total charge of the jobs, deferrable that of the jobs that are
	// not urgent.
	charged    size
	deferrable size
	// measured is the usage in the newest report, less the jobs that ended since.
	// unmeasured is the total charge of the jobs that the report may not show.
	measured   size
	measuredAt int64
	unmeasured size
	endedJobs  []endedJob
	// droppedEndAt is the end of the newest job that was removed from endedJobs to
	// keep it within maxEndedJobs.
	droppedEndAt int64
}

// use returns the estimated current use of the worker. It is at least the total
// of the charges, so that a short dip in the measured usage does not attract jobs.
func (w *worker) use() size {
	return w.measured.plus(w.unmeasured).max(w.charged)
}

func (w *worker) free() size { return w.size.minus(w.use()) }

// rackWorkers holds the workers of one group in one rack, ordered by name. The
// sizes bound what any of them can take, so that a search can skip the rack.
type rackWorkers struct {
	domain         *failureDomain
	workers        []*worker
	maxFree        size
	maxPreemptible size
	minSize        size
}

func (r *rackWorkers) updateBounds() {
	r.maxFree, r.maxPreemptible, r.minSize = size{}, size{}, size{}
	for i, w := range r.workers {
		free := w.free()
		r.maxFree = r.maxFree.max(free)
		r.maxPreemptible = r.maxPreemptible.max(free.plus(w.deferrable))
		if i == 0 {
			r.minSize = w.size
		}
		r.minSize = r.minSize.min(w.size)
	}
}

// dcWorkers holds the racks of one group in one data centre, ordered by name.
type dcWorkers struct {
	domain *failureDomain
	racks  []*rackWorkers
}

// group holds the workers of one pool that are up: either its reserved workers or
// the others.
type group struct {
	dcs       []*dcWorkers
	rackCount int
}

type groupKey struct {
	pool     galenahead.PoolName
	reserved bool
}

type rackKey struct {
	dc   galenahead.DataCentre
	rack galenahead.RackName
}

type team struct {
	quota size
	used  size
}

// Index implements galenahead.Placer. The zero value is an empty index. It is safe
// for concurrent use.
type Index struct {
	mu            sync.Mutex
	workers       map[galenahead.VMName]*worker
	jobs          map[galenahead.JobID]*job
	teams         map[galenahead.TeamName]*team
	services      map[galenahead.ServiceName]*service
	groups        map[groupKey]*group
	racks         map[rackKey]*failureDomain
	dcs           map[galenahead.DataCentre]*failureDomain
	spares        []galenahead.PoolName
	avoided       map[galenahead.JobID][]galenahead.VMName
	injectedFault injectedFault
}

var _ galenahead.Placer = (*Index)(nil)

// injectedFault is a defect that only tests enable, to prove that their checks
// detect it. Each value other than faultNone disables one rule of the index.
type injectedFault int

const (
	faultNone injectedFault = iota
	faultIgnoreQuota
	faultIgnoreUnmeasured
	faultIgnoreSpread
	faultNoPreemption
	faultIgnoreCondition
)

func getOrCreate[K comparable, V any](m *map[K]*V, k K) *V {
	if *m == nil {
		*m = map[K]*V{}
	}
	v := (*m)[k]
	if v == nil {
		v = new(V)
		(*m)[k] = v
	}
	return v
}

// SetWorker adds a worker or replaces its attributes. It does not change the jobs
// on the worker.
func (x *Index) SetWorker(spec Worker) {
	x.mu.Lock()
	defer x.mu.Unlock()
	w := getOrCreate(&x.workers, spec.Name)
	x.removeFromGroup(w)
	for _, j := range w.jobs {
		j.service.countJob(w, -1)
	}
	w.Worker = spec
	w.size = size{int64(spec.Cores) * 1000, int64(spec.MemoryMB), int64(spec.Accelerators)}
	w.dc = getOrCreate(&x.dcs, spec.DataCentre)
	w.dc.name = string(spec.DataCentre)
	w.rack = getOrCreate(&x.racks, rackKey{spec.DataCentre, spec.Rack})
	w.rack.name = string(spec.Rack)
	for _, j := range w.jobs {
		j.service.countJob(w, 1)
	}
	if spec.Condition == Up || x.injectedFault == faultIgnoreCondition {
		x.addToGroup(w)
	}
}

// RemoveWorker removes a worker and the jobs on it. It returns the IDs of the jobs
// in order.
func (x *Index) RemoveWorker(name galenahead.VMName) []galenahead.JobID {
	x.mu.Lock()
	defer x.mu.Unlock()
	w := x.workers[name]
	if w == nil {
		return nil
	}
	ids := make([]galenahead.JobID, len(w.jobs))
	for i, j := range w.jobs {
		ids[i] = j.id
	}
	slices.Sort(ids)
	for _, id := range ids {
		x.removeJob(x.jobs[id], 0)
	}
	x.removeFromGroup(w)
	delete(x.workers, name)
	return ids
}

// SetPool sets whether a pool is spare, which is false by default. The workers of
// a spare pool may run the jobs of all pools.
func (x *Index) SetPool(pool galenahead.PoolName, spare bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	i, found := slices.BinarySearch(x.spares, pool)
	switch {
	case spare && !found:
		x.spares = slices.Insert(x.spares, i, pool)
	case !spare && found:
		x.spares = slices.Delete(x.spares, i, i+1)
	}
}

// SetQuota sets a team's quota. A team without a quota cannot run jobs.
func (x *Index) SetQuota(name galenahead.TeamName, q Quota) {
	x.mu.Lock()
	defer x.mu.Unlock()
	getOrCreate(&x.teams, name).quota = size{int64(q.Cores) * 1000, int64(q.MemoryMB), int64(q.Accelerators)}
}

// Avoid sets the workers on which a job failed. Place chooses one of them only if
// no other worker can run the job. This way a job that can never run fails on
// different workers, and a defective worker does not get the same job again.
// Without workers, Avoid clears the entry of the job.
func (x *Index) Avoid(id galenahead.JobID, workers ...galenahead.VMName) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(workers) == 0 {
		delete(x.avoided, id)
		return
	}
	if x.avoided == nil {
		x.avoided = map[galenahead.JobID][]galenahead.VMName{}
	}
	x.avoided[id] = slices.Clone(workers)
}

// Start records that a job has been running on a worker since the given time. It
// checks neither capacity nor quota, because the decision was made before. A
// repeated call has no effect, and a call with another worker moves the job. It
// fails with galenahead.ErrNotFound for an unknown worker.
func (x *Index) Start(spec galenahead.JobSpec, worker galenahead.VMName, at time.Time) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.start(spec, worker, at.UnixNano())
}

func (x *Index) start(spec galenahead.JobSpec, worker galenahead.VMName, at int64) error {
	w := x.workers[worker]
	if w == nil {
		return eris.Wrapf(galenahead.ErrNotFound, "worker %q", worker)
	}
	if j := x.jobs[spec.ID]; j != nil {
		if j.worker == w {
			return nil
		}
		x.removeJob(j, at)
	}
	j := getOrCreate(&x.jobs, spec.ID)
	*j = job{
		id: spec.ID, team: getOrCreate(&x.teams, spec.Team), service: getOrCreate(&x.services, spec.Service), worker: w,
		startedAt: at, changedAt: at, declared: compact(declaredSize(spec)), urgent: spec.Urgent,
	}
	j.service.name = spec.Service
	j.charge = compact(j.unthrottledCharge(false))
	w.jobs = append(w.jobs, j)
	j.service.countJob(w, 1)
	j.team.used = j.team.used.plus(j.declared.size())
	if w.isUnmeasured(at) && x.injectedFault != faultIgnoreUnmeasured {
		w.unmeasured = w.unmeasured.plus(j.charge.size())
	}
	w.addCharge(j.charge.size(), j.urgent)
	return nil
}

// addCharge adds delta, which may be negative, to the totals of the charges.
func (w *worker) addCharge(delta size, urgent bool) {
	w.charged = w.charged.plus(delta)
	if !urgent {
		w.deferrable = w.deferrable.plus(delta)
	}
	if w.rackWorkers != nil {
		w.rackWorkers.updateBounds()
	}
}

// End records that a job ended, was checkpointed or was cancelled. Unknown jobs
// are ignored.
func (x *Index) End(id galenahead.JobID, at time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if j := x.jobs[id]; j != nil {
		x.removeJob(j, at.UnixNano())
	}
}

func (x *Index) removeJob(j *job, at int64) {
	w := j.worker
	delete(x.jobs, j.id)
	w.jobs = slices.DeleteFunc(w.jobs, func(other *job) bool { return other == j })
	j.service.countJob(w, -1)
	j.team.used = j.team.used.minus(j.declared.size())
	w.recordEnd(j, at)
	w.addCharge(size{}.minus(j.charge.size()), j.urgent)
}

// Throttle records that a job is limited to ThrottlePercent of its processors.
// Unknown and already throttled jobs are ignored.
func (x *Index) Throttle(id galenahead.JobID, at time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.throttle(id, at.UnixNano())
}

func (x *Index) throttle(id galenahead.JobID, at int64) {
	j := x.jobs[id]
	if j == nil || j.throttled {
		return
	}
	j.throttled = true
	j.worker.setCharge(j, throttledCharge(j.charge.size()), at)
}

// Unthrottle ends the throttling of a job if its worker has enough free capacity.
// It reports whether the job is known and not throttled now.
func (x *Index) Unthrottle(id galenahead.JobID, at time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	j := x.jobs[id]
	if j == nil {
		return false
	}
	if !j.throttled {
		return true
	}
	full := j.unthrottledCharge(false)
	if !j.worker.free().covers(full.minus(j.charge.size())) {
		return false
	}
	j.throttled = false
	j.worker.setCharge(j, full, at.UnixNano())
	return true
}

func throttledCharge(c size) size {
	c.milliCPU = c.milliCPU * throttlePercent / 100
	return c
}

// setCharge changes the charge of a running job, whose use then counts as not
// measured yet.
func (w *worker) setCharge(j *job, to size, at int64) {
	w.subtractCharge(j)
	w.unmeasured = w.unmeasured.plus(to)
	delta := to.minus(j.charge.size())
	j.charge, j.changedAt = compact(to), at
	w.addCharge(delta, j.urgent)
}

// Commit records a placement: the jobs that are checkpointed or throttled for it,
// and the start of the job. It fails like Start.
func (x *Index) Commit(spec galenahead.JobSpec, p galenahead.Placement, at time.Time) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.workers[p.Worker] == nil {
		return eris.Wrapf(galenahead.ErrNotFound, "worker %q", p.Worker)
	}
	for _, id := range p.Preempt {
		if j := x.jobs[id]; j != nil {
			x.removeJob(j, at.UnixNano())
		}
	}
	for _, id := range p.Throttle {
		x.throttle(id, at.UnixNano())
	}
	return x.start(spec, p.Worker, at.UnixNano())
}

// addToGroup adds a worker to its group, which makes it available for placement.
func (x *Index) addToGroup(w *worker) {
	g := getOrCreate(&x.groups, groupKey{w.Pool, w.Reserved})
	i, found := slices.BinarySearchFunc(g.dcs, w.dc.name, func(dc *dcWorkers, n string) int { return cmp.Compare(dc.domain.name, n) })
	if !found {
		g.dcs = slices.Insert(g.dcs, i, &dcWorkers{domain: w.dc})
	}
	dc := g.dcs[i]
	i, found = slices.BinarySearchFunc(dc.racks, w.rack.name, func(rack *rackWorkers, n string) int { return cmp.Compare(rack.domain.name, n) })
	if !found {
		dc.racks = slices.Insert(dc.racks, i, &rackWorkers{domain: w.rack})
		g.rackCount++
	}
	rack := dc.racks[i]
	i, _ = slices.BinarySearchFunc(rack.workers, w.Name, compareName)
	rack.workers = slices.Insert(rack.workers, i, w)
	w.rackWorkers = rack
	rack.updateBounds()
}

func compareName(w *worker, n galenahead.VMName) int { return cmp.Compare(w.Name, n) }

// removeFromGroup removes a worker from its group, and with the last worker of a
// rack or data centre also that rack or data centre.
func (x *Index) removeFromGroup(w *worker) {
	rack := w.rackWorkers
	if rack == nil {
		return
	}
	i, _ := slices.BinarySearchFunc(rack.workers, w.Name, compareName)
	rack.workers = slices.Delete(rack.workers, i, i+1)
	w.rackWorkers = nil
	rack.updateBounds()
	if len(rack.workers) > 0 {
		return
	}
	g := x.groups[groupKey{w.Pool, w.Reserved}]
	for _, dc := range g.dcs {
		if dc.domain == w.dc {
			dc.racks = slices.DeleteFunc(dc.racks, func(other *rackWorkers) bool { return other == rack })
			g.rackCount--
		}
	}
	g.dcs = slices.DeleteFunc(g.dcs, func(dc *dcWorkers) bool { return len(dc.racks) == 0 })
}
