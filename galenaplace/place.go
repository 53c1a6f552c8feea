package galenaplace

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
)

// defaultShare is the largest share of a service's jobs in one rack or data
// centre, where its pool has more than one: the loss of any one leaves half.
const defaultShare = 0.5

// Reasons of a Placement.
const (
	// ReasonHeadroom is a place on a VM of the job's pool.
	ReasonHeadroom = "headroom"
	// ReasonSpare is a place on a VM of a spare pool.
	ReasonSpare = "spare"
	// ReasonReserved is a place on a VM that was set aside.
	ReasonReserved = "reserved"
	// ReasonYield is a place that deferrable jobs have to leave first.
	ReasonYield = "yield"
)

// crowdedSuffix marks a place in a rack or data centre that holds more than
// its share of the service's jobs, for want of another.
const crowdedSuffix = ", share exceeded"

// SetSpread sets the largest share of a service's jobs, above 0 and at most 1,
// that one rack or data centre may hold as long as there is another place.
func (x *Index) SetSpread(name galenahead.ServiceName, share float64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	entry(&x.services, name).maxShare = share
}

// query is one job to place.
type query struct {
	spec      galenahead.JobSpec
	service   *service
	estimate  size
	declared  size
	rackLimit int
	dcLimit   int
	avoid     []galenahead.VMName
	// candidates counts the workers that were compared.
	candidates int
}

// Place chooses a worker: headroom of the job's pool, then a spare pool, then a
// reserved VM; for an urgent job then a worker that deferrable jobs can leave.
// Among these it takes the data centre and rack with the fewest jobs of the
// service, and there the worker with the least room. It fails with
// galenahead.ErrQuota, galenahead.ErrNoWorker or galenahead.ErrInvalid. Place
// changes nothing; Commit records the decision. A job that runs has to be ended
// before it is placed again. The time is not needed, because
// reports and starts carry theirs.
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
	if ok || !q.spec.Urgent || x.mutation == mutateYield {
		return p, ok
	}
	return x.placeYield(q)
}

func (x *Index) withinQuota(spec galenahead.JobSpec) bool {
	if x.mutation == mutateQuota {
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
	q.estimate = s.cautious(q.declared)
	racks, dcs := 1, 1
	if g := x.groups[groupKey{spec.Pool, false}]; g != nil {
		racks, dcs = g.racks, len(g.zones)
	}
	q.rackLimit = s.limit(racks)
	q.dcLimit = s.limit(dcs)
	return q
}

// limit returns how many jobs one of n racks or data centres may hold after
// one more job. A pool with a single one cannot spread.
func (s *service) limit(n int) int {
	share := cmp.Or(s.maxShare, defaultShare)
	if n > 0 {
		share = max(share, 1/float64(n))
	}
	return int(math.Ceil(share * float64(s.total+1)))
}

// tier is a set of workers in the order of preference.
type tier struct {
	group  *group
	reason string
}

func (x *Index) tiers(pool galenahead.PoolName) []tier {
	tiers := []tier{{x.groups[groupKey{pool, false}], ReasonHeadroom}}
	for _, reserved := range []bool{false, true} {
		reason := ReasonSpare
		if reserved {
			reason = ReasonReserved
			tiers = append(tiers, tier{x.groups[groupKey{pool, true}], reason})
		}
		for _, s := range x.spares {
			if s != pool {
				tiers = append(tiers, tier{x.groups[groupKey{s, reserved}], reason})
			}
		}
	}
	return slices.DeleteFunc(tiers, func(t tier) bool { return t.group == nil })
}

// placeFree looks for a place that nobody has to leave. A crowded place, which
// would hold too large a share of the service, is taken only when no tier has
// another.
func (x *Index) placeFree(q *query) (galenahead.Placement, bool) {
	var fallback choice
	reason := ""
	for _, t := range x.tiers(q.spec.Pool) {
		best, crowded := x.search(q, t.group)
		if best.worker != nil {
			return q.placement(best.worker, t.reason), true
		}
		if fallback.worker == nil && crowded.worker != nil {
			fallback, reason = crowded, t.reason+crowdedSuffix
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

// choice is the best worker so far: the one in the rack with the fewest jobs
// of the service, then the one with the least room.
type choice struct {
	worker *worker
	count  int
	room   float64
}

func (c *choice) offer(w *worker, count int, room float64) {
	if c.worker == nil || count < c.count || count == c.count && room < c.room {
		*c = choice{w, count, room}
	}
}

// search returns the best place of a group, and the best crowded one.
func (x *Index) search(q *query, g *group) (best, crowded choice) {
	for _, z := range q.order(g) {
		full := q.service.counts[z.dc] >= q.dcLimit
		for _, s := range z.shelves {
			if !s.maxFree.covers(q.estimate.min(s.minSize)) {
				continue
			}
			n := q.service.counts[s.rack]
			to := &best
			if (full || n >= q.rackLimit) && x.mutation != mutateSpread {
				to = &crowded
			}
			if to.worker == nil || n <= to.count {
				q.searchShelf(s, n, to)
			}
		}
		if best.worker != nil {
			break
		}
	}
	return best, crowded
}

// order returns the data centres of a group, those with the fewest jobs of the
// service first.
func (q *query) order(g *group) []*zone {
	zones := slices.Clone(g.zones)
	slices.SortStableFunc(zones, func(a, b *zone) int {
		return cmp.Compare(q.service.counts[a.dc], q.service.counts[b.dc])
	})
	return zones
}

func (q *query) searchShelf(s *shelf, count int, to *choice) {
	for _, w := range s.workers {
		q.candidates++
		free := w.free()
		if need, ok := q.need(w); ok && free.covers(need) {
			to.offer(w, count, room(w, free.minus(need)))
		}
	}
}

// need returns the charge of the job on a worker, and false when the worker is
// too small for it or to be avoided.
func (q *query) need(w *worker) (size, bool) {
	if slices.Contains(q.avoid, w.Name) {
		return size{}, false
	}
	return charge(q.estimate, q.declared, w.size)
}

// room is the part of a worker that stays free. Each free accelerator counts
// as a whole worker, so that jobs without accelerators take other workers
// first.
func room(w *worker, free size) float64 {
	return float64(free.milli)/float64(max(w.size.milli, 1)) +
		float64(free.mb)/float64(max(w.size.mb, 1)) +
		float64(free.acc)
}
