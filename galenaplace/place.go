package galenaplace

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
)

// defaultShare is the largest share of a service's jobs in one rack or data centre
// if its pool has more than one of them. Half of the jobs survive the loss of any
// one.
const defaultShare = 0.5

// Reasons of a Placement.
const (
	// ReasonHeadroom means free capacity on a VM of the job's pool.
	ReasonHeadroom = "headroom"
	// ReasonSpare means free capacity on a VM of a spare pool.
	ReasonSpare = "spare"
	// ReasonReserved means free capacity on a reserved VM.
	ReasonReserved = "reserved"
	// ReasonPreemption means capacity that deferrable jobs must release first, by
	// being checkpointed or throttled.
	ReasonPreemption = "yield"
)

// overSpreadSuffix is added to the reason of a placement that exceeds the spread
// limit of a rack or data centre because no other worker has room.
const overSpreadSuffix = ", share exceeded"

// SetSpreadLimit sets the largest share of a service's jobs, above 0 and at most 1,
// in one rack or data centre. A placement exceeds it only if no other worker has
// room.
func (x *Index) SetSpreadLimit(name galenahead.ServiceName, share float64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	getOrCreate(&x.services, name).maxShare = share
}

// query is a search for a worker for one job.
type query struct {
	spec      galenahead.JobSpec
	service   *service
	estimate  size
	declared  size
	rackLimit int
	dcLimit   int
	avoid     []galenahead.VMName
	// candidates counts the workers that were examined.
	candidates int
}

// Place chooses a worker for a job. It tries free capacity in the job's pool, then
// in the spare pools, then on reserved VMs. For an urgent job it then tries to
// preempt deferrable jobs. Within each of these it prefers the data centre and
// rack with the fewest jobs of the service, and there the worker with the least
// free capacity. It fails with galenahead.ErrQuota, galenahead.ErrNoWorker or
// galenahead.ErrInvalid. Place does not change the index; Commit records the
// decision. A running job must be ended before it is placed again. The time is
// not used, because usage reports and starts carry their own.
func (x *Index) Place(spec galenahead.JobSpec, _ time.Time) (galenahead.Placement, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if spec.Cores < 0 || spec.MemoryMB < 0 || spec.Accelerators < 0 {
		return galenahead.Placement{}, eris.Wrapf(galenahead.ErrInvalid, "job %q has a negative size", spec.ID)
	}
	if !x.withinQuota(spec) {
		return galenahead.Placement{}, eris.Wrapf(galenahead.ErrQuota, "team %q", spec.Team)
	}
	q := x.query(spec)
	p, ok := x.place(q)
	if !ok && len(q.avoid) > 0 {
		q.avoid = nil
		p, ok = x.place(q)
	}
	if !ok {
		return galenahead.Placement{Candidates: q.candidates}, eris.Wrapf(galenahead.ErrNoWorker, "job %q", spec.ID)
	}
	return p, nil
}

func (x *Index) place(q *query) (galenahead.Placement, bool) {
	p, ok := x.placeFree(q)
	if ok || !q.spec.Urgent || x.injectedFault == faultNoPreemption {
		return p, ok
	}
	return x.placeByPreemption(q)
}

func (x *Index) withinQuota(spec galenahead.JobSpec) bool {
	if x.injectedFault == faultIgnoreQuota {
		return true
	}
	t := x.teams[spec.Team]
	if t == nil {
		return false
	}
	return t.quota.covers(t.used.plus(declaredSize(spec)))
}

func (x *Index) query(spec galenahead.JobSpec) *query {
	s := x.services[spec.Service]
	if s == nil {
		s = &service{}
	}
	q := &query{spec: spec, service: s, declared: declaredSize(spec), avoid: x.avoided[spec.ID]}
	q.estimate = s.conservativeEstimate(q.declared)
	racks, dcs := 1, 1
	if g := x.groups[groupKey{spec.Pool, false}]; g != nil {
		racks, dcs = g.rackCount, len(g.dcs)
	}
	q.rackLimit = s.limit(racks)
	q.dcLimit = s.limit(dcs)
	return q
}

// limit returns how many jobs of the service one of n racks or data centres may
// hold once another job is placed. With a single one there is no limit.
func (s *service) limit(n int) int {
	share := cmp.Or(s.maxShare, defaultShare)
	if n > 0 {
		share = max(share, 1/float64(n))
	}
	return int(math.Ceil(share * float64(s.jobCount+1)))
}

// tier is a group of workers with the reason for choosing one of them.
type tier struct {
	group  *group
	reason string
}

// tiers returns the groups in which a job of the pool may run, in the order of
// preference.
func (x *Index) tiers(pool galenahead.PoolName) []tier {
	tiers := []tier{{x.groups[groupKey{pool, false}], ReasonHeadroom}}
	for _, reserved := range []bool{false, true} {
		reason := ReasonSpare
		if reserved {
			reason = ReasonReserved
			tiers = append(tiers, tier{x.groups[groupKey{pool, true}], reason})
		}
		for _, spare := range x.spares {
			if spare != pool {
				tiers = append(tiers, tier{x.groups[groupKey{spare, reserved}], reason})
			}
		}
	}
	return slices.DeleteFunc(tiers, func(t tier) bool { return t.group == nil })
}

// placeFree looks for a worker with enough free capacity. It exceeds the spread
// limits only when no tier has another worker.
func (x *Index) placeFree(q *query) (galenahead.Placement, bool) {
	var fallback choice
	reason := ""
	for _, t := range x.tiers(q.spec.Pool) {
		best, overSpread := x.searchGroup(q, t.group)
		if best.worker != nil {
			return q.placement(best.worker, t.reason), true
		}
		if fallback.worker == nil && overSpread.worker != nil {
			fallback, reason = overSpread, t.reason+overSpreadSuffix
		}
	}
	if fallback.worker == nil {
		return galenahead.Placement{}, false
	}
	return q.placement(fallback.worker, reason), true
}

func (q *query) placement(w *worker, reason string) galenahead.Placement {
	return galenahead.Placement{Worker: w.Name, Candidates: q.candidates, Reason: reason}
}

// choice is the best worker found so far: the one in the rack with the fewest jobs
// of the service, then the one with the least free capacity.
type choice struct {
	worker    *worker
	jobCount  int
	freeShare float64
}

func (c *choice) consider(w *worker, jobCount int, freeShare float64) {
	if c.worker == nil || jobCount < c.jobCount || jobCount == c.jobCount && freeShare < c.freeShare {
		*c = choice{w, jobCount, freeShare}
	}
}

// searchGroup returns the best worker of a group within the spread limits, and the
// best one that exceeds them.
func (x *Index) searchGroup(q *query, g *group) (best, overSpread choice) {
	for _, dc := range q.orderedDCs(g) {
		overDCLimit := q.service.jobCounts[dc.domain] >= q.dcLimit
		for _, rack := range dc.racks {
			if !rack.maxFree.covers(q.estimate.min(rack.minSize)) {
				continue
			}
			jobCount := q.service.jobCounts[rack.domain]
			target := &best
			if (overDCLimit || jobCount >= q.rackLimit) && x.injectedFault != faultIgnoreSpread {
				target = &overSpread
			}
			if target.worker == nil || jobCount <= target.jobCount {
				q.searchRack(rack, jobCount, target)
			}
		}
		if best.worker != nil {
			break
		}
	}
	return best, overSpread
}

// orderedDCs returns the data centres of a group in ascending order of the number
// of jobs of the service.
func (q *query) orderedDCs(g *group) []*dcWorkers {
	dcs := slices.Clone(g.dcs)
	slices.SortStableFunc(dcs, func(a, b *dcWorkers) int {
		return cmp.Compare(q.service.jobCounts[a.domain], q.service.jobCounts[b.domain])
	})
	return dcs
}

func (q *query) searchRack(rack *rackWorkers, jobCount int, target *choice) {
	for _, w := range rack.workers {
		q.candidates++
		free := w.free()
		if need, ok := q.chargeOn(w); ok && free.covers(need) {
			target.consider(w, jobCount, freeShare(w, free.minus(need)))
		}
	}
}

// chargeOn returns the charge of the job on a worker, and false when the worker is
// too small or to be avoided.
func (q *query) chargeOn(w *worker) (size, bool) {
	if slices.Contains(q.avoid, w.Name) {
		return size{}, false
	}
	return boundedCharge(q.estimate, q.declared, w.size)
}

// freeShare rates the free capacity of a worker as the sum of the free shares of
// its processors and memory and the number of its free accelerators. Accelerators
// weigh so much that jobs without accelerators prefer other workers.
func freeShare(w *worker, free size) float64 {
	return float64(free.milliCPU)/float64(max(w.size.milliCPU, 1)) +
		float64(free.memoryMB)/float64(max(w.size.memoryMB, 1)) +
		float64(free.accelerators)
}
