package galenawave

import (
	"math"
	"slices"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenastate"
)

const (
	// demandTimeConstant is the time constant of the exponential average of
	// demand. Queues burst to five times their mean for a few seconds, which must
	// not move a VM.
	demandTimeConstant = 2 * time.Minute
	// capacityReserve is the capacity that a pool keeps above its average demand,
	// as a share of that demand.
	capacityReserve = 0.15
	// defaultMoveDuration is the initial estimate of the duration of a move.
	defaultMoveDuration = 30 * time.Second
	// returnMargin is how many VMs a pool must have above its need, in addition to
	// the VM that it returns. Without this margin, a demand near a whole number
	// of VMs would move a VM back and forth.
	returnMargin = 0.5
	// moveDurationWeight is the weight of the newest move in the average
	// duration.
	moveDurationWeight = 0.25
	// minShiftDuration and maxShiftDuration bound how long a shift in demand must
	// last before a VM is moved.
	minShiftDuration = time.Minute
	maxShiftDuration = 30 * time.Minute
)

// movePlanner plans moves between pools from the demand observed so far.
type movePlanner struct {
	demand   map[galenahead.PoolName]*poolDemand
	lastPlan time.Time
	// moveDuration is the average duration of a move.
	moveDuration time.Duration
	// startedMS holds the start times of moves in progress, in Unix milliseconds.
	startedMS map[galenahead.VMName]int64
}

// poolDemand is one pool's demand over time.
type poolDemand struct {
	// averageVMs is the average demand, in units of one VM's capacity.
	averageVMs float64
	// observedFor is how long the demand has been measured. Until it reaches the
	// time constant, averageVMs is the arithmetic mean and no VM is moved, since a
	// new leader may start during a burst.
	observedFor time.Duration
	// surplus and deficit are how long the pool has had too many or too few VMs.
	surplus, deficit time.Duration
}

func (mp *movePlanner) plan(v *galenastate.View, s *fleetSummary, m Measurements, now time.Time) []galenastate.Command {
	out := mp.advanceMoves(s, m, now)
	elapsed := mp.elapsedSinceLastPlan(now)
	pools := v.Pools()
	for _, p := range pools {
		mp.updateDemand(p, s.pool(p.Name), elapsed)
	}
	thresholds := mp.hysteresis(v.Weights())
	for _, p := range pools {
		if c, ok := mp.planPool(v, s, m, p, thresholds, now); ok {
			out = append(out, c)
		}
	}
	return out
}

func (mp *movePlanner) elapsedSinceLastPlan(now time.Time) time.Duration {
	elapsed := now.Sub(mp.lastPlan)
	if mp.lastPlan.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	mp.lastPlan = now
	// The time during which the process was paused does not show that a shift
	// lasted.
	return min(elapsed, demandTimeConstant/4)
}

// advanceMoves proposes the next phases of moves in progress.
func (mp *movePlanner) advanceMoves(s *fleetSummary, m Measurements, now time.Time) []galenastate.Command {
	var out []galenastate.Command
	for _, vm := range s.moving {
		if c, ok := nextPhase(vm, m.VMs[vm.Name]); ok {
			out = append(out, newCommand(now, c))
		}
	}
	mp.updateMoveDuration(s, now)
	return out
}

// nextPhase returns the change that takes a moving VM to its next phase, and false
// if the report does not permit it yet.
func nextPhase(vm *galenastate.VM, r VMReport) (galenastate.Change, bool) {
	switch vm.Phase {
	case galenastate.PhaseReleasing:
		if r.provesUnused(vm, msTime(vm.PhaseSinceMS)) {
			return galenastate.Change{VMReleased: &galenastate.VMReleased{
				VM:             vm.Name,
				Epoch:          vm.Epoch,
				SlotsOut:       int32(r.SlotsOut),
				Tasks:          int32(r.Tasks),
				BrokerRevision: r.BrokerRevision,
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

// updateMoveDuration updates the average duration by the moves that ended since
// the last plan.
func (mp *movePlanner) updateMoveDuration(s *fleetSummary, now time.Time) {
	if mp.moveDuration == 0 {
		mp.moveDuration = defaultMoveDuration
		mp.startedMS = make(map[galenahead.VMName]int64)
	}
	moving := make(map[galenahead.VMName]bool, len(s.moving))
	for _, vm := range s.moving {
		moving[vm.Name] = true
		if vm.Phase == galenastate.PhaseReleasing {
			mp.startedMS[vm.Name] = vm.PhaseSinceMS
		}
	}
	for _, name := range sortedKeys(mp.startedMS) {
		if moving[name] {
			continue
		}
		took := now.Sub(msTime(mp.startedMS[name]))
		mp.moveDuration += time.Duration(moveDurationWeight * float64(took-mp.moveDuration))
		delete(mp.startedMS, name)
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

// updateDemand updates a pool's average demand and the durations of its surplus
// and deficit.
func (mp *movePlanner) updateDemand(p galenastate.Pool, s *poolSummary, elapsed time.Duration) {
	if mp.demand == nil {
		mp.demand = make(map[galenahead.PoolName]*poolDemand)
	}
	d, ok := mp.demand[p.Name]
	if !ok {
		d = &poolDemand{}
		mp.demand[p.Name] = d
	}
	usedVMs, measured := s.usedVMs()
	// The capacity of a pool without a VM in service cannot be measured; such a
	// pool keeps its last average.
	if measured {
		d.updateAverage(usedVMs, elapsed)
	}
	if !d.hasAverage() {
		return
	}
	d.surplus = extendDuration(d.surplus, elapsed, measured && float64(s.up) >= d.targetVMs()+1+returnMargin)
	d.deficit = extendDuration(d.deficit, elapsed, s.up+s.incoming < d.neededVMs())
}

func (d *poolDemand) updateAverage(usedVMs float64, elapsed time.Duration) {
	weight := 1 - math.Exp(-elapsed.Seconds()/demandTimeConstant.Seconds())
	if !d.hasAverage() {
		weight = elapsed.Seconds() / max(elapsed, d.observedFor+elapsed, 1).Seconds()
	}
	d.averageVMs += (usedVMs - d.averageVMs) * weight
	d.observedFor += elapsed
}

// hasAverage reports whether demand was measured long enough to plan moves.
func (d *poolDemand) hasAverage() bool { return d.observedFor >= demandTimeConstant }

// extendDuration returns d plus elapsed while a condition holds, and 0 otherwise.
func extendDuration(d, elapsed time.Duration, holds bool) time.Duration {
	if !holds {
		return 0
	}
	return d + elapsed
}

// usedVMs returns the pool's current demand, in units of one VM's capacity, of the
// service that needs most.
func (s *poolSummary) usedVMs() (vms float64, measured bool) {
	for _, service := range s.services {
		if !service.measured || service.capacityPerVM() == 0 {
			continue
		}
		measured = true
		vms = max(vms, service.demand/service.capacityPerVM())
	}
	return vms, measured
}

// targetVMs returns the capacity that the pool needs for its average demand and
// the reserve, in units of one VM's capacity.
func (d *poolDemand) targetVMs() float64 { return d.averageVMs * (1 + capacityReserve) }

// neededVMs returns targetVMs rounded up to whole VMs.
func (d *poolDemand) neededVMs() int { return int(math.Ceil(d.targetVMs())) }

// hysteresis holds how long a shift in demand must last before a VM is borrowed or
// returned.
type hysteresis struct {
	borrowAfter, returnAfter time.Duration
}

// hysteresis derives the thresholds from the cost of a move: a VM is moved once
// waiting has cost as much as moving it there and back. BufferCost shortens the
// time for which a surplus VM is kept, RolloutTime the time for which a pool is
// short of VMs.
func (mp *movePlanner) hysteresis(w galenastate.Weights) hysteresis {
	total := w.BufferCost + w.RolloutTime
	return hysteresis{
		borrowAfter: hysteresisDuration(mp.moveDuration, total, w.RolloutTime),
		returnAfter: hysteresisDuration(mp.moveDuration, total, w.BufferCost),
	}
}

func hysteresisDuration(moveDuration time.Duration, total, weight float64) time.Duration {
	if weight <= 0 {
		return maxShiftDuration
	}
	d := time.Duration(2 * float64(moveDuration) * total / (2 * weight))
	return min(max(d, minShiftDuration), maxShiftDuration)
}

// planPool proposes at most one move into or out of a pool.
func (mp *movePlanner) planPool(v *galenastate.View, s *fleetSummary, m Measurements, p galenastate.Pool, thresholds hysteresis, now time.Time) (galenastate.Command, bool) {
	demand, summary := mp.demand[p.Name], s.pool(p.Name)
	if summary.incoming+summary.outgoing > 0 {
		return galenastate.Command{}, false
	}
	if demand.deficit >= thresholds.borrowAfter {
		return mp.fillDeficit(v, s, m, p, now)
	}
	if demand.surplus >= thresholds.returnAfter && !summary.waveOpen {
		vm := leastLoadedVM(summary.vms, m, func(vm *galenastate.VM) bool { return vm.HomePool != p.Name })
		return mp.proposeMove(s, vm, homePool(vm), now)
	}
	return galenastate.Command{}, false
}

func homePool(vm *galenastate.VM) galenahead.PoolName {
	if vm == nil {
		return ""
	}
	return vm.HomePool
}

// fillDeficit moves a VM to a pool that is short of VMs: preferably one that was
// borrowed from it, else one from the spare pool or from the pool with the longest
// surplus.
func (mp *movePlanner) fillDeficit(v *galenastate.View, s *fleetSummary, m Measurements, p galenastate.Pool, now time.Time) (galenastate.Command, bool) {
	for _, donor := range mp.donors(v, s, p.Name) {
		own := leastLoadedVM(s.pool(donor).vms, m, func(vm *galenastate.VM) bool { return vm.HomePool == p.Name })
		if own != nil {
			return mp.proposeMove(s, own, p.Name, now)
		}
	}
	for _, donor := range mp.donors(v, s, p.Name) {
		vm := leastLoadedVM(s.pool(donor).vms, m, func(*galenastate.VM) bool { return true })
		if vm != nil {
			return mp.proposeMove(s, vm, p.Name, now)
		}
	}
	return galenastate.Command{}, false
}

// donors returns the pools that can lend or return a VM: the spare pool first, then
// the others by the duration of their surplus.
func (mp *movePlanner) donors(v *galenastate.View, s *fleetSummary, receiver galenahead.PoolName) []galenahead.PoolName {
	var spare, others []galenahead.PoolName
	for _, p := range v.Pools() {
		demand, summary := mp.demand[p.Name], s.pool(p.Name)
		if p.Name == receiver || summary.waveOpen || summary.incoming+summary.outgoing > 0 || summary.up <= demand.neededVMs() {
			continue
		}
		if p.Spare && (demand.hasAverage() || len(summary.services) == 0) {
			spare = append(spare, p.Name)
			continue
		}
		if demand.hasAverage() && demand.surplus >= minShiftDuration {
			others = append(others, p.Name)
		}
	}
	slices.SortStableFunc(others, func(a, b galenahead.PoolName) int {
		return int((mp.demand[b].surplus - mp.demand[a].surplus) / time.Millisecond)
	})
	return append(spare, others...)
}

// leastLoadedVM returns the VM with the least work among the VMs in service for
// which wanted returns true, or nil.
func leastLoadedVM(vms []*galenastate.VM, m Measurements, wanted func(*galenastate.VM) bool) *galenastate.VM {
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

// proposeMove proposes a move and counts it, so that the same plan takes no second
// VM from either pool.
func (mp *movePlanner) proposeMove(s *fleetSummary, vm *galenastate.VM, to galenahead.PoolName, now time.Time) (galenastate.Command, bool) {
	if vm == nil || to == "" {
		return galenastate.Command{}, false
	}
	s.pool(vm.Pool).outgoing++
	s.pool(to).incoming++
	mp.demand[vm.Pool].surplus = 0
	if d, ok := mp.demand[to]; ok {
		d.deficit = 0
	}
	return newCommand(now, galenastate.Change{VMMove: &galenastate.VMMove{VM: vm.Name, ToPool: to, Epoch: vm.Epoch}}), true
}
