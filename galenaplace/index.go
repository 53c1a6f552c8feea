// Package galenaplace places jobs on workers. An index of workers, jobs and
// quotas follows the control state; Place decides from it without changing it.
// All times are passed in, and decisions depend only on the calls made.
package galenaplace

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
)

// Condition is the condition of a worker. Only workers that are up get jobs.
type Condition string

// Conditions of a worker. The zero value counts as not up.
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
	// Reserved marks a VM that is set aside. It gets jobs only when neither the
	// other VMs of the pool nor the spare pools have a place.
	Reserved bool
}

// WithCondition returns a copy of w in condition c.
func (w Worker) WithCondition(c Condition) Worker {
	w.Condition = c
	return w
}

// Quota is the most that the running jobs of a team may ask for together.
type Quota struct {
	Cores        int
	MemoryMB     int
	Accelerators int
}

// throttlePercent is the share of its processors that a throttled job keeps.
const throttlePercent = 25

// ThrottlePercent returns the share of its processors, in percent, at which
// jobs named by Placement.Throttle are to be throttled.
func ThrottlePercent() int32 { return throttlePercent }

// domain is a rack or a data centre.
type domain struct{ name string }

// job is one running job. Its times are Unix nanoseconds.
type job struct {
	id      galenahead.JobID
	team    *team
	service *service
	worker  *worker
	started int64
	// changed is when the job started or its throttling last changed. Usage
	// measured before does not show its present use.
	changed  int64
	declared packed
	// charge is the estimated size that counts against the worker.
	charge    packed
	urgent    bool
	throttled bool
}

// ended is a job that left a worker at a time after the newest usage report
// may have been measured.
type ended struct {
	job
	at int64
}

type worker struct {
	Worker
	size  size
	shelf *shelf
	rack  *domain
	dc    *domain
	jobs  []*job
	// charged is the sum of all charges, and deferrable that of the deferrable
	// jobs.
	charged    size
	deferrable size
	// measured is the usage in the newest report, less the jobs that ended
	// since. recent is what started since.
	measured   size
	measuredAt int64
	recent     size
	ended      []ended
	// forgotten is the time of the newest entry that ended had no room for.
	forgotten int64
}

// use is what the worker is taken to use now. The sum of charges keeps a
// momentary dip in the measured usage from being given away.
func (w *worker) use() size {
	return w.measured.plus(w.recent).max(w.charged)
}

func (w *worker) free() size { return w.size.minus(w.use()) }

// shelf holds the workers of one group in one rack, ordered by name, and the
// bounds that decide whether any of them can fit a job.
type shelf struct {
	rack     *domain
	workers  []*worker
	maxFree  size
	maxYield size
	minSize  size
}

func (s *shelf) update() {
	s.maxFree, s.maxYield, s.minSize = size{}, size{}, size{}
	for i, w := range s.workers {
		free := w.free()
		s.maxFree = s.maxFree.max(free)
		s.maxYield = s.maxYield.max(free.plus(w.deferrable))
		if i == 0 {
			s.minSize = w.size
		}
		s.minSize = s.minSize.min(w.size)
	}
}

// zone holds the shelves of one group in one data centre, ordered by name.
type zone struct {
	dc      *domain
	shelves []*shelf
}

// group holds the workers that are up of one pool, reserved or not.
type group struct {
	zones []*zone
	racks int
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

// Index implements galenahead.Placer. The zero value is an empty index, ready
// to use by several goroutines.
type Index struct {
	mu       sync.Mutex
	workers  map[galenahead.VMName]*worker
	jobs     map[galenahead.JobID]*job
	teams    map[galenahead.TeamName]*team
	services map[galenahead.ServiceName]*service
	groups   map[groupKey]*group
	racks    map[rackKey]*domain
	dcs      map[galenahead.DataCentre]*domain
	spares   []galenahead.PoolName
	avoided  map[galenahead.JobID][]galenahead.VMName
	mutation mutation
}

var _ galenahead.Placer = (*Index)(nil)

// mutation switches off one rule, for tests that must then fail.
type mutation int

const (
	mutateNone mutation = iota
	mutateQuota
	mutateRecent
	mutateSpread
	mutateYield
	mutateCondition
)

func entry[K comparable, V any](m *map[K]*V, k K) *V {
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

// SetWorker adds a worker or replaces its attributes. Its jobs stay.
func (x *Index) SetWorker(spec Worker) {
	x.mu.Lock()
	defer x.mu.Unlock()
	w := entry(&x.workers, spec.Name)
	x.unshelve(w)
	for _, j := range w.jobs {
		j.service.count(w, -1)
	}
	w.Worker = spec
	w.size = size{int64(spec.Cores) * 1000, int64(spec.MemoryMB), int64(spec.Accelerators)}
	w.dc = entry(&x.dcs, spec.DataCentre)
	w.dc.name = string(spec.DataCentre)
	w.rack = entry(&x.racks, rackKey{spec.DataCentre, spec.Rack})
	w.rack.name = string(spec.Rack)
	for _, j := range w.jobs {
		j.service.count(w, 1)
	}
	if spec.Condition == Up || x.mutation == mutateCondition {
		x.shelve(w)
	}
}

// RemoveWorker removes a worker and the jobs on it, whose ids it returns in
// order.
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
		x.remove(x.jobs[id], 0)
	}
	x.unshelve(w)
	delete(x.workers, name)
	return ids
}

// SetPool tells whether a pool is a spare one, which lends its workers to the
// jobs of all pools. Pools are not spare by default.
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

// SetQuota sets a team's quota. A team without one may not run jobs.
func (x *Index) SetQuota(name galenahead.TeamName, q Quota) {
	x.mu.Lock()
	defer x.mu.Unlock()
	entry(&x.teams, name).quota = size{int64(q.Cores) * 1000, int64(q.MemoryMB), int64(q.Accelerators)}
}

// Avoid names the workers on which a job failed. Place takes another one as
// long as there is any, so that a job that can never run fails on different
// workers and a failing worker does not get the same job back. Without workers
// it forgets the job.
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

// Start records that a job runs on a worker since a time. It checks neither
// room nor quota, because it records what was decided. A repeated call changes
// nothing; a call with another worker moves the job. It fails with
// galenahead.ErrNotFound for an unknown worker.
func (x *Index) Start(spec galenahead.JobSpec, on galenahead.VMName, at time.Time) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.start(spec, on, at.UnixNano())
}

func (x *Index) start(spec galenahead.JobSpec, on galenahead.VMName, at int64) error {
	w := x.workers[on]
	if w == nil {
		return eris.Wrapf(galenahead.ErrNotFound, "worker %q", on)
	}
	if j := x.jobs[spec.ID]; j != nil {
		if j.worker == w {
			return nil
		}
		x.remove(j, at)
	}
	j := entry(&x.jobs, spec.ID)
	*j = job{
		id: spec.ID, team: entry(&x.teams, spec.Team), service: entry(&x.services, spec.Service), worker: w,
		started: at, changed: at, declared: pack(declaredSize(spec)), urgent: spec.Urgent,
	}
	j.service.name = spec.Service
	j.charge = pack(j.full(false))
	w.jobs = append(w.jobs, j)
	j.service.count(w, 1)
	j.team.used = j.team.used.plus(j.declared.size())
	if w.recently(at) && x.mutation != mutateRecent {
		w.recent = w.recent.plus(j.charge.size())
	}
	w.add(j.charge.size(), j.urgent)
	return nil
}

// add changes the sums of charges by d.
func (w *worker) add(d size, urgent bool) {
	w.charged = w.charged.plus(d)
	if !urgent {
		w.deferrable = w.deferrable.plus(d)
	}
	if w.shelf != nil {
		w.shelf.update()
	}
}

// End records that a job ended, was checkpointed or was cancelled. An unknown
// job is ignored.
func (x *Index) End(id galenahead.JobID, at time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if j := x.jobs[id]; j != nil {
		x.remove(j, at.UnixNano())
	}
}

func (x *Index) remove(j *job, at int64) {
	w := j.worker
	delete(x.jobs, j.id)
	w.jobs = slices.DeleteFunc(w.jobs, func(other *job) bool { return other == j })
	j.service.count(w, -1)
	j.team.used = j.team.used.minus(j.declared.size())
	w.leave(j, at)
	w.add(size{}.minus(j.charge.size()), j.urgent)
}

// Throttle records that a job keeps ThrottlePercent of its processors. An
// unknown or throttled job is ignored.
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
	j.worker.recharge(j, throttled(j.charge.size()), at)
}

// Unthrottle gives a throttled job its processors back if its worker has room
// for them, and tells whether the job runs unthrottled now.
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
	full := j.full(false)
	if !j.worker.free().covers(full.minus(j.charge.size())) {
		return false
	}
	j.throttled = false
	j.worker.recharge(j, full, at.UnixNano())
	return true
}

func throttled(c size) size {
	c.milli = c.milli * throttlePercent / 100
	return c
}

// recharge changes the charge of a running job, which counts as recent then.
func (w *worker) recharge(j *job, to size, at int64) {
	w.uncount(j)
	w.recent = w.recent.plus(to)
	d := to.minus(j.charge.size())
	j.charge, j.changed = pack(to), at
	w.add(d, j.urgent)
}

// Commit records a placement: the jobs that give way, and the start of the
// job. It fails like Start.
func (x *Index) Commit(spec galenahead.JobSpec, p galenahead.Placement, at time.Time) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.workers[p.Worker] == nil {
		return eris.Wrapf(galenahead.ErrNotFound, "worker %q", p.Worker)
	}
	for _, id := range p.Preempt {
		if j := x.jobs[id]; j != nil {
			x.remove(j, at.UnixNano())
		}
	}
	for _, id := range p.Throttle {
		x.throttle(id, at.UnixNano())
	}
	return x.start(spec, p.Worker, at.UnixNano())
}

// shelve makes a worker available for placement.
func (x *Index) shelve(w *worker) {
	g := entry(&x.groups, groupKey{w.Pool, w.Reserved})
	i, found := slices.BinarySearchFunc(g.zones, w.dc.name, func(z *zone, n string) int { return cmp.Compare(z.dc.name, n) })
	if !found {
		g.zones = slices.Insert(g.zones, i, &zone{dc: w.dc})
	}
	z := g.zones[i]
	i, found = slices.BinarySearchFunc(z.shelves, w.rack.name, func(s *shelf, n string) int { return cmp.Compare(s.rack.name, n) })
	if !found {
		z.shelves = slices.Insert(z.shelves, i, &shelf{rack: w.rack})
		g.racks++
	}
	s := z.shelves[i]
	i, _ = slices.BinarySearchFunc(s.workers, w.Name, compareName)
	s.workers = slices.Insert(s.workers, i, w)
	w.shelf = s
	s.update()
}

func compareName(w *worker, n galenahead.VMName) int { return cmp.Compare(w.Name, n) }

// unshelve takes a worker out of placement, and its rack and data centre out
// of the group when it was the last one there.
func (x *Index) unshelve(w *worker) {
	s := w.shelf
	if s == nil {
		return
	}
	i, _ := slices.BinarySearchFunc(s.workers, w.Name, compareName)
	s.workers = slices.Delete(s.workers, i, i+1)
	w.shelf = nil
	s.update()
	if len(s.workers) > 0 {
		return
	}
	g := x.groups[groupKey{w.Pool, w.Reserved}]
	for _, z := range g.zones {
		if z.dc == w.dc {
			z.shelves = slices.DeleteFunc(z.shelves, func(other *shelf) bool { return other == s })
			g.racks--
		}
	}
	g.zones = slices.DeleteFunc(g.zones, func(z *zone) bool { return len(z.shelves) == 0 })
}
