package galenawave

import (
	"math"
	"slices"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenastate"
)

const (
	// smoothing is the time constant of the demand average. Queues burst to
	// five times their mean for some seconds, which must not move a VM.
	smoothing = 2 * time.Minute
	// reserve is the share of capacity above the average demand that a pool
	// keeps.
	reserve = 0.15
	// defaultMoveCost is taken for the duration of a move until one has been
	// measured.
	defaultMoveCost = 30 * time.Second
	// giveBackMargin is the part of a VM by which a pool must be above its need,
	// beyond one VM, to give it back. Without it a demand near a whole number of
	// VMs moves one back and forth.
	giveBackMargin = 0.5
	// moveCostWeight is the weight of the newest measured move.
	moveCostWeight = 0.25
	// minLasting and maxLasting bound how long a shift of demand must last
	// before a VM is moved.
	minLasting = time.Minute
	maxLasting = 30 * time.Minute
)

// mover plans moves between pools. Its state is the demand seen so far.
type mover struct {
	pools map[galenahead.PoolName]*poolDemand
	last  time.Time
	// cost is the average duration of a move.
	cost time.Duration
	// started holds when the moves under way began, in Unix milliseconds.
	started map[galenahead.VMName]int64
}

// poolDemand is one pool's demand over time.
type poolDemand struct {
	// use is the average share of the pool's capacity in use, weighted by VMs.
	use float64
	// observed is how long the demand has been known. Until it reaches the time
	// constant, use is the plain mean and no VM moves: a new leader may start
	// during a burst.
	observed time.Duration
	// surplus and deficit are how long the pool has had a VM too many or too
	// few.
	surplus, deficit time.Duration
}

func (mv *mover) plan(v *galenastate.View, s *survey, m Measurements, now time.Time) []galenastate.Command {
	out := mv.advance(s, m, now)
	step := mv.elapsed(now)
	pools := v.Pools()
	for _, p := range pools {
		mv.observe(p, s.pool(p.Name), step)
	}
	lasting := mv.lasting(v.Weights())
	for _, p := range pools {
		if c, ok := mv.planPool(v, s, m, p, lasting, now); ok {
			out = append(out, c)
		}
	}
	return out
}

func (mv *mover) elapsed(now time.Time) time.Duration {
	step := now.Sub(mv.last)
	if mv.last.IsZero() || step < 0 {
		step = 0
	}
	mv.last = now
	// A pause of the process is no evidence that a shift lasted.
	return min(step, smoothing/4)
}

// advance proposes the next phase of the moves under way.
func (mv *mover) advance(s *survey, m Measurements, now time.Time) []galenastate.Command {
	var out []galenastate.Command
	for _, vm := range s.moving {
		if c, ok := nextPhase(vm, m.VMs[vm.Name]); ok {
			out = append(out, command(now, c))
		}
	}
	mv.measure(s, now)
	return out
}

// nextPhase returns the change that brings a moving VM to its next phase, once
// the report proves that it may enter it.
func nextPhase(vm *galenastate.VM, r Report) (galenastate.Change, bool) {
	switch vm.Phase {
	case galenastate.PhaseReleasing:
		if r.proves(vm, msTime(vm.PhaseSinceMS)) {
			return galenastate.Change{VMReleased: &galenastate.VMReleased{
				VM:       vm.Name,
				Epoch:    vm.Epoch,
				SlotsOut: int32(r.SlotsOut),
				Tasks:    int32(r.Tasks),
				InForce:  r.InForce,
			}}, true
		}
	case galenastate.PhaseFree:
		return galenastate.Change{VMAcquire: &galenastate.VMAcquire{VM: vm.Name, Epoch: vm.Epoch}}, true
	case galenastate.PhaseAcquiring:
		if r.Pool == vm.Pool && !r.AnsweringSince.IsZero() {
			return galenastate.Change{VMAcquired: &galenastate.VMAcquired{VM: vm.Name, Epoch: vm.Epoch}}, true
		}
	}
	return galenastate.Change{}, false
}

// measure learns the duration of moves from those that ended since.
func (mv *mover) measure(s *survey, now time.Time) {
	if mv.cost == 0 {
		mv.cost = defaultMoveCost
		mv.started = make(map[galenahead.VMName]int64)
	}
	moving := make(map[galenahead.VMName]bool, len(s.moving))
	for _, vm := range s.moving {
		moving[vm.Name] = true
		if vm.Phase == galenastate.PhaseReleasing {
			mv.started[vm.Name] = vm.PhaseSinceMS
		}
	}
	for _, name := range sortedKeys(mv.started) {
		if moving[name] {
			continue
		}
		took := now.Sub(msTime(mv.started[name]))
		mv.cost += time.Duration(moveCostWeight * float64(took-mv.cost))
		delete(mv.started, name)
	}
}

func sortedKeys(m map[galenahead.VMName]int64) []galenahead.VMName {
	out := make([]galenahead.VMName, 0, len(m))
	for name := range m {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// observe updates a pool's average and how long it has been off its need.
func (mv *mover) observe(p galenastate.Pool, s *poolSurvey, step time.Duration) {
	if mv.pools == nil {
		mv.pools = make(map[galenahead.PoolName]*poolDemand)
	}
	d, ok := mv.pools[p.Name]
	if !ok {
		d = &poolDemand{}
		mv.pools[p.Name] = d
	}
	use, known := s.use()
	// A pool without a VM in service has no measured capacity; its need is that
	// of its last average.
	if known {
		d.average(use, step)
	}
	if !d.known() {
		return
	}
	d.surplus = lasted(d.surplus, step, known && float64(s.up) >= d.target()+1+giveBackMargin)
	d.deficit = lasted(d.deficit, step, s.up+s.in < d.need())
}

func (d *poolDemand) average(use float64, step time.Duration) {
	weight := 1 - math.Exp(-step.Seconds()/smoothing.Seconds())
	if !d.known() {
		weight = step.Seconds() / max(step, d.observed+step, 1).Seconds()
	}
	d.use += (use - d.use) * weight
	d.observed += step
}

func (d *poolDemand) known() bool { return d.observed >= smoothing }

func lasted(d, step time.Duration, holds bool) time.Duration {
	if !holds {
		return 0
	}
	return d + step
}

// use returns how many VMs' capacity the pool's demand takes up now.
func (s *poolSurvey) use() (vms float64, known bool) {
	for _, service := range s.services {
		if !service.known || service.perVM() == 0 {
			continue
		}
		known = true
		vms = max(vms, service.demand/service.perVM())
	}
	return vms, known
}

// target returns how many VMs' capacity the pool needs for its average demand.
func (d *poolDemand) target() float64 { return d.use * (1 + reserve) }

// need returns target in whole VMs.
func (d *poolDemand) need() int { return int(math.Ceil(d.target())) }

// lasting holds how long a shift must last before a VM is borrowed or given
// back.
type lasting struct {
	borrow, giveBack time.Duration
}

// lasting derives the hysteresis from the cost of a move: a shift is followed
// once waiting has cost as much as moving there and back. The weight of the
// buffer shortens the time that an idle VM is kept, that of the roll-out the
// time that a pool is short.
func (mv *mover) lasting(w galenastate.Weights) lasting {
	total := w.BufferCost + w.RolloutTime
	return lasting{
		borrow:   lastingFor(mv.cost, total, w.RolloutTime),
		giveBack: lastingFor(mv.cost, total, w.BufferCost),
	}
}

func lastingFor(cost time.Duration, total, weight float64) time.Duration {
	if weight <= 0 {
		return maxLasting
	}
	d := time.Duration(2 * float64(cost) * total / (2 * weight))
	return min(max(d, minLasting), maxLasting)
}

// planPool proposes at most one move into or out of a pool.
func (mv *mover) planPool(v *galenastate.View, s *survey, m Measurements, p galenastate.Pool, l lasting, now time.Time) (galenastate.Command, bool) {
	d, here := mv.pools[p.Name], s.pool(p.Name)
	if here.in+here.out > 0 {
		return galenastate.Command{}, false
	}
	if d.deficit >= l.borrow {
		return mv.fillDeficit(v, s, m, p, now)
	}
	if d.surplus >= l.giveBack && !here.waving {
		vm := idlest(here.vms, m, func(vm *galenastate.VM) bool { return vm.HomePool != p.Name })
		return mv.move(s, vm, homeOf(vm), now)
	}
	return galenastate.Command{}, false
}

func homeOf(vm *galenastate.VM) galenahead.PoolName {
	if vm == nil {
		return ""
	}
	return vm.HomePool
}

// fillDeficit takes a VM that belongs to the pool back from its borrower, or
// borrows one from the spare pool, or from the pool with the longest surplus.
func (mv *mover) fillDeficit(v *galenastate.View, s *survey, m Measurements, p galenastate.Pool, now time.Time) (galenastate.Command, bool) {
	for _, donor := range mv.donors(v, s, p.Name) {
		own := idlest(s.pool(donor).vms, m, func(vm *galenastate.VM) bool { return vm.HomePool == p.Name })
		if own != nil {
			return mv.move(s, own, p.Name, now)
		}
	}
	for _, donor := range mv.donors(v, s, p.Name) {
		vm := idlest(s.pool(donor).vms, m, func(*galenastate.VM) bool { return true })
		if vm != nil {
			return mv.move(s, vm, p.Name, now)
		}
	}
	return galenastate.Command{}, false
}

// donors returns the pools that can spare a VM, the spare pool first, then by
// the duration of their surplus.
func (mv *mover) donors(v *galenastate.View, s *survey, receiver galenahead.PoolName) []galenahead.PoolName {
	var spare, others []galenahead.PoolName
	for _, p := range v.Pools() {
		d, here := mv.pools[p.Name], s.pool(p.Name)
		if p.Name == receiver || here.waving || here.in+here.out > 0 || here.up <= d.need() {
			continue
		}
		if p.Spare && (d.known() || len(here.services) == 0) {
			spare = append(spare, p.Name)
			continue
		}
		if d.known() && d.surplus >= minLasting {
			others = append(others, p.Name)
		}
	}
	slices.SortStableFunc(others, func(a, b galenahead.PoolName) int {
		return int((mv.pools[b].surplus - mv.pools[a].surplus) / time.Millisecond)
	})
	return append(spare, others...)
}

// idlest returns the VM in service with the least work among those wanted.
func idlest(vms []*galenastate.VM, m Measurements, wanted func(*galenastate.VM) bool) *galenastate.VM {
	var best *galenastate.VM
	var bestWork int
	for _, vm := range vms {
		if !inService(vm) || vm.Wave != "" || !wanted(vm) {
			continue
		}
		r := m.VMs[vm.Name]
		work := r.SlotsOut + r.Tasks + int(vm.Jobs)
		if best == nil || work < bestWork {
			best, bestWork = vm, work
		}
	}
	return best
}

// move proposes a move and counts it, so that this plan moves no second VM of
// either pool.
func (mv *mover) move(s *survey, vm *galenastate.VM, to galenahead.PoolName, now time.Time) (galenastate.Command, bool) {
	if vm == nil || to == "" {
		return galenastate.Command{}, false
	}
	s.pool(vm.Pool).out++
	s.pool(to).in++
	mv.pools[vm.Pool].surplus = 0
	if d, ok := mv.pools[to]; ok {
		d.deficit = 0
	}
	return command(now, galenastate.Change{VMMove: &galenastate.VMMove{VM: vm.Name, ToPool: to, Epoch: vm.Epoch}}), true
}
