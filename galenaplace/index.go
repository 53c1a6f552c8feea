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

type job struct {
	spec    galenahead.JobSpec
	service *service
	worker  *worker
	started time.Time
	// changed is when the job started or its throttling last changed. Usage
	// measured before does not show its present use.
	changed time.Time
	// charge is the estimated size that counts against the worker.
	charge    size
	throttled bool
}

// ended is a job that left a worker after the newest usage report may have
// been measured.
type ended struct {
	service   *service
	declared  size
	charge    size
	throttled bool
	started   time.Time
	changed   time.Time
	at        time.Time
}

type worker struct {
	Worker
	size  size
	shelf *shelf
	rack  *domain
	dc    *domain
	jobs  map[galenahead.JobID]*job
	// charged is the sum of all charges, and deferrable that of the deferrable
	// jobs.
	charged    size
	deferrable size
	// measured is the usage in the newest report, less the jobs that ended
	// since. recent is what started since.
	measured   size
	measuredAt time.Time
	recent     size
	ended      []ended
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
	mutation mutation
}

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
	if w.jobs == nil {
		w.jobs = map[galenahead.JobID]*job{}
	}
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
	var ids []galenahead.JobID
	for id := range w.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		x.remove(x.jobs[id], time.Time{})
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

// Start records that a job runs on a worker since a time. It checks neither
// room nor quota, because it records what was decided. A repeated call changes
// nothing; a call with another worker moves the job. It fails with
// galenahead.ErrNotFound for an unknown worker.
func (x *Index) Start(spec galenahead.JobSpec, on galenahead.VMName, at time.Time) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.start(spec, on, at)
}

func (x *Index) start(spec galenahead.JobSpec, on galenahead.VMName, at time.Time) error {
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
	j.spec, j.worker, j.started, j.changed = spec, w, at, at
	j.service = entry(&x.services, spec.Service)
	j.service.name = spec.Service
	j.charge, _ = charge(j.service, spec, w.size)
	w.jobs[spec.ID] = j
	j.service.count(w, 1)
	t := entry(&x.teams, spec.Team)
	t.used = t.used.plus(declaredSize(spec))
	if w.recently(at) && x.mutation != mutateRecent {
		w.recent = w.recent.plus(j.charge)
	}
	w.add(j.charge, spec.Urgent)
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
		x.remove(j, at)
	}
}

func (x *Index) remove(j *job, at time.Time) {
	w := j.worker
	delete(x.jobs, j.spec.ID)
	delete(w.jobs, j.spec.ID)
	j.service.count(w, -1)
	t := x.teams[j.spec.Team]
	t.used = t.used.minus(declaredSize(j.spec))
	w.leave(j, at)
	w.add(size{}.minus(j.charge), j.spec.Urgent)
}

// Throttle records that a job keeps ThrottlePercent of its processors. An
// unknown or throttled job is ignored.
func (x *Index) Throttle(id galenahead.JobID, at time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.throttle(id, at)
}

func (x *Index) throttle(id galenahead.JobID, at time.Time) {
	j := x.jobs[id]
	if j == nil || j.throttled {
		return
	}
	j.throttled = true
	j.worker.recharge(j, throttled(j.charge), at)
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
	full, _ := charge(j.service, j.spec, j.worker.size)
	if !j.worker.free().covers(full.minus(j.charge)) {
		return false
	}
	j.throttled = false
	j.worker.recharge(j, full, at)
	return true
}

func throttled(c size) size {
	c.milli = c.milli * throttlePercent / 100
	return c
}

// recharge changes the charge of a running job, which counts as recent then.
func (w *worker) recharge(j *job, to size, at time.Time) {
	w.uncount(j)
	w.recent = w.recent.plus(to)
	d := to.minus(j.charge)
	j.charge, j.changed = to, at
	w.add(d, j.spec.Urgent)
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
			x.remove(j, at)
		}
	}
	for _, id := range p.Throttle {
		x.throttle(id, at)
	}
	return x.start(spec, p.Worker, at)
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
