package galenafleet

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
)

const (
	simStartup     = 300 * time.Millisecond
	simNotice      = 5500 * time.Millisecond
	simMoveTime    = 1500 * time.Millisecond
	simMaintenance = 2 * time.Second
	simBatchTime   = 400 * time.Millisecond
	simBatchPrefix = "batch"
)

// fleetSimulation simulates machines, their instances and the platform's orders to
// them. Machines crash, orders are rejected as busy and responses are lost. It checks
// that no stop, move or maintenance ends a long-running work item that serves while
// MaxUnavailable others of its step are away.
type fleetSimulation struct {
	mu         sync.Mutex
	rng        *rand.Rand
	machines   map[galenahead.VMName]*simMachine
	items      map[galenajob.ItemID]*simItem
	lives      int
	startedAt  time.Time
	violations []string
	// orders counts the moves and maintenances that were carried out, starts the
	// started runs.
	orders, starts int
	// lateOrders makes some orders unanswered and carried out late, as far as their
	// fencing tokens allow. late counts those that were carried out.
	lateOrders bool
	late       int
	// failures makes work items fail, records slow, and some commands unanswered, of which
	// a part is carried out late. failed counts the failed runs.
	failures bool
	failed   int
}

type simMachine struct {
	name  galenahead.VMName
	pool  galenahead.ServiceName
	state MachineState
	// until is when the machine is up again.
	until time.Time
	life  *simLife
	// lastID is the ID of the last instance.
	lastID galenahead.InstanceID
	waves  map[int64]bool
	// token is the highest fencing token of an order that was carried out.
	token uint64
}

// simLife is one life of an instance.
type simLife struct {
	id       galenahead.InstanceID
	born     int64
	sequence int64
	fence    int64
	runs     map[galenajob.ItemID]*simRun
	highest  map[galenajob.ItemID]int64
	ends     []galenajob.End
	// forgotten is the highest cursor of a poll: earlier ends are not listed any more.
	forgotten int64
}

type simRun struct {
	number    int64
	startedAt time.Time
}

// simItem is a long-running work item.
type simItem struct {
	// evicted is set from an order that ends the work item until it serves again.
	evicted   bool
	awaySince time.Time
}

var simMaxUnavailable = 1

func newFleetSimulation(seed uint64) *fleetSimulation {
	sim := &fleetSimulation{
		rng: rand.New(rand.NewPCG(seed, 7)), machines: map[galenahead.VMName]*simMachine{}, items: map[galenajob.ItemID]*simItem{}, startedAt: time.Now(),
	}
	pools := []galenahead.ServiceName{"counter", "counter", "counter", "counter", "counter", "courier", "courier", "courier", "other", "other"}
	for i, pool := range pools {
		m := &simMachine{name: galenahead.VMName(fmt.Sprintf("m%d", i)), pool: pool, state: MachineUp, waves: map[int64]bool{}}
		sim.machines[m.name] = m
		sim.boot(m, false)
	}
	return sim
}

// boot starts an instance on a machine that is not in the spare pool.
func (sim *fleetSimulation) boot(m *simMachine, sameID bool) {
	m.state = MachineUp
	if m.pool == "other" {
		return
	}
	sim.lives++
	id := galenahead.InstanceID(fmt.Sprintf("i%d", sim.lives))
	if sameID && m.lastID != "" {
		id = m.lastID
	}
	m.lastID = id
	m.life = &simLife{id: id, born: time.Now().UnixMilli(), runs: map[galenajob.ItemID]*simRun{}, highest: map[galenajob.ItemID]int64{}}
}

func (sim *fleetSimulation) sortedMachines() []*simMachine {
	var out []*simMachine
	for _, name := range slices.Sorted(maps.Keys(sim.machines)) {
		out = append(out, sim.machines[name])
	}
	return out
}

func (sim *fleetSimulation) find(in galenajob.Instance) *simLife {
	for _, m := range sim.machines {
		if m.life != nil && m.life.id == in.ID {
			return m.life
		}
	}
	return nil
}

// serving reports whether a run of the work item serves.
func (sim *fleetSimulation) serving(id galenajob.ItemID) bool {
	for _, m := range sim.machines {
		if m.life == nil {
			continue
		}
		if r := m.life.runs[id]; r != nil && time.Since(r.startedAt) >= simStartup {
			return true
		}
	}
	return false
}

// crash ends an instance, and what runs on it, without an order.
func (sim *fleetSimulation) crash(m *simMachine) {
	sim.refresh()
	sim.endLife(m, "")
}

// refresh notes which work items serve now.
func (sim *fleetSimulation) refresh() {
	for id, it := range sim.items {
		switch {
		case sim.serving(id):
			it.evicted, it.awaySince = false, time.Time{}
		case it.awaySince.IsZero():
			it.awaySince = time.Now()
		}
	}
}

// endRun ends a run. byOrder is set for a stop, move or maintenance.
func (sim *fleetSimulation) endRun(l *simLife, id galenajob.ItemID, byOrder string) {
	sim.refresh()
	it := sim.items[id]
	if it != nil && byOrder != "" && sim.serving(id) {
		away := 0
		for other, o := range sim.items {
			if other != id && other.Job == id.Job && !sim.serving(other) && (o.evicted || time.Since(o.awaySince) >= simNotice) {
				away++
			}
		}
		if away >= simMaxUnavailable {
			sim.violations = append(sim.violations, fmt.Sprintf("after %s: %s on %s ends %v while %d others of its step are away", time.Since(sim.startedAt), byOrder, l.id, id.Item, away))
		}
		it.evicted = true
	}
	delete(l.runs, id)
	sim.refresh()
}

func (sim *fleetSimulation) endLife(m *simMachine, byOrder string) {
	if m.life == nil {
		return
	}
	for _, id := range slices.SortedFunc(maps.Keys(m.life.runs), func(a, b galenajob.ItemID) int {
		return strings.Compare(fmt.Sprint(a), fmt.Sprint(b))
	}) {
		sim.endRun(m.life, id, byOrder)
	}
	m.life = nil
}

func (sim *fleetSimulation) Start(_ context.Context, a galenajob.Action, _ time.Duration) (galenajob.Outcome, int64, error) {
	if sim.loseAnswer(func() { _, _, _ = sim.start(a) }) {
		return galenajob.OutcomeUnknown, 0, eris.New("no response")
	}
	return sim.start(a)
}

func (sim *fleetSimulation) start(a galenajob.Action) (galenajob.Outcome, int64, error) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	l := sim.find(a.Instance)
	switch {
	case l == nil:
		return galenajob.OutcomeUnknown, 0, eris.New("no instance")
	case a.Fence < l.fence:
		return galenajob.OutcomeFenced, 0, nil
	}
	l.fence = a.Fence
	clock := time.Now().UnixMilli() - l.born + 1
	if a.Run <= l.highest[a.Item] {
		return galenajob.OutcomeOldRun, clock, nil
	}
	if a.Deadline < clock {
		return galenajob.OutcomeDeadlinePassed, clock, nil
	}
	l.highest[a.Item] = a.Run
	l.runs[a.Item] = &simRun{a.Run, time.Now()}
	sim.starts++
	return galenajob.OutcomeDone, clock, nil
}

// loseAnswer reports whether a command gets no answer, after the time that the owner waits
// for one. What of it is carried out, and when, is drawn.
func (sim *fleetSimulation) loseAnswer(carryOut func()) bool {
	if !sim.failures || sim.rngIntN(12) != 0 {
		return false
	}
	switch sim.rngIntN(3) {
	case 0:
		carryOut()
	case 1:
		time.AfterFunc(time.Duration(sim.rngIntN(3000))*time.Millisecond, carryOut)
	}
	time.Sleep(longestCommandLimit)
	return true
}

func (sim *fleetSimulation) Stop(_ context.Context, a galenajob.Action, _ time.Duration) (galenajob.Outcome, int64, error) {
	if sim.loseAnswer(func() { _, _, _ = sim.stop(a, "") }) {
		return galenajob.OutcomeUnknown, 0, eris.New("no response")
	}
	return sim.stop(a, "stop ("+a.Reason+")")
}

// stop stops a run. order describes the command, unless it was held up.
func (sim *fleetSimulation) stop(a galenajob.Action, order string) (galenajob.Outcome, int64, error) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	l := sim.find(a.Instance)
	switch {
	case l == nil:
		return galenajob.OutcomeUnknown, 0, eris.New("no instance")
	case a.Fence < l.fence:
		return galenajob.OutcomeFenced, 0, nil
	}
	l.fence = a.Fence
	if r := l.runs[a.Item]; r != nil && r.number <= a.Run {
		sim.endRun(l, a.Item, order)
		l.ends = append(l.ends, galenajob.End{Sequence: int64(len(l.ends) + 1), Item: a.Item, Number: r.number, Reason: galenajob.EndStopped})
	}
	l.highest[a.Item] = max(l.highest[a.Item], a.Run)
	return galenajob.OutcomeDone, time.Now().UnixMilli() - l.born + 1, nil
}

func (sim *fleetSimulation) Pace(context.Context, galenajob.Action, time.Duration) error { return nil }

func (sim *fleetSimulation) RenewAndPoll(_ context.Context, req galenajob.PollRequest, wait, _ time.Duration) (galenajob.PollResponse, error) {
	time.Sleep(min(wait, 60*time.Millisecond))
	sim.mu.Lock()
	defer sim.mu.Unlock()
	l := sim.find(req.Instance)
	if l == nil {
		return galenajob.PollResponse{}, eris.New("no instance")
	}
	if req.Fence < l.fence {
		return galenajob.PollResponse{}, ErrFenced
	}
	l.fence = req.Fence
	resp := galenajob.PollResponse{Clock: time.Now().UnixMilli() - l.born + 1, Born: l.born}
	for id, r := range l.runs {
		if strings.HasPrefix(string(id.Job), simBatchPrefix) && time.Since(r.startedAt) >= simBatchTime {
			delete(l.runs, id)
			l.ends = append(l.ends, galenajob.End{Sequence: int64(len(l.ends) + 1), Item: id, Number: r.number, Reason: galenajob.EndDone})
			continue
		}
		run := galenajob.Run{Item: id, Number: r.number, Percent: 50}
		if time.Since(r.startedAt) >= simStartup {
			run.Percent = 100
		}
		resp.Runs = append(resp.Runs, run)
	}
	l.forgotten = max(l.forgotten, req.Cursor)
	resp.Ends = slices.Clone(l.ends[min(int(l.forgotten), len(l.ends)):])
	return resp, nil
}

func (sim *fleetSimulation) List(context.Context) ([]Machine, error) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var out []Machine
	for _, m := range sim.sortedMachines() {
		v := Machine{Name: m.name, Pool: m.pool, State: m.state, Capacity: galenajob.Resources{MilliCPU: 4000, MemoryMB: 4000}}
		if m.life != nil {
			v.Instance = m.life.id
		}
		out = append(out, v)
	}
	return out, nil
}

func (sim *fleetSimulation) Move(_ context.Context, name galenahead.VMName, pool galenahead.ServiceName, _ string, token uint64) error {
	return sim.order(name, "move", token, func(m *simMachine) bool { return m.pool == pool }, func(m *simMachine) {
		m.pool, m.state, m.until = pool, MachineMoving, time.Now().Add(simMoveTime)
	})
}

func (sim *fleetSimulation) Maintain(_ context.Context, name galenahead.VMName, wave int64, _ string, token uint64) error {
	return sim.order(name, "maintenance", token, func(m *simMachine) bool { return m.waves[wave] }, func(m *simMachine) {
		m.waves[wave], m.state, m.until = true, MachineMaintenance, time.Now().Add(simMaintenance)
	})
}

func (sim *fleetSimulation) order(name galenahead.VMName, kind string, token uint64, done func(*simMachine) bool, begin func(*simMachine)) error {
	if sim.lateOrders && sim.rngIntN(4) == 0 {
		time.AfterFunc(time.Duration(2000+sim.rngIntN(10000))*time.Millisecond, func() { sim.orderLate(name, kind, token, done, begin) })
		time.Sleep(lateCallTimeout)
		return eris.New("no response")
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	m := sim.machines[name]
	chance := sim.rng.IntN(10)
	switch {
	case token < m.token:
		return ErrFenced
	case chance == 0:
		return ErrBusy
	case chance == 1:
		return eris.New("the request is lost")
	case done(m):
		return nil
	case m.state != MachineUp:
		return ErrBusy
	}
	sim.endLife(m, kind)
	begin(m)
	m.token = token
	sim.orders++
	if chance == 2 {
		return eris.New("the response is lost")
	}
	return nil
}

// orderLate carries out an order that was not answered, unless its machine has carried
// out a later one. It must not end work that has started after a list could show the
// instance.
func (sim *fleetSimulation) orderLate(name galenahead.VMName, kind string, token uint64, done func(*simMachine) bool, begin func(*simMachine)) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	m := sim.machines[name]
	if token < m.token || done(m) || m.state != MachineUp {
		return
	}
	if l := m.life; l != nil {
		listed := time.UnixMilli(l.born).Add(listInterval + 4*controlInterval)
		for id, r := range l.runs {
			if r.startedAt.After(listed) {
				sim.violations = append(sim.violations, fmt.Sprintf("after %s: a late %s of %s ends %v on %s",
					time.Since(sim.startedAt), kind, name, id, l.id))
			}
		}
	}
	sim.endLife(m, "")
	begin(m)
	m.token = token
	sim.late++
}

// tick brings machines up again and, while disturbed is set, crashes some.
func (sim *fleetSimulation) tick(disturbed bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, m := range sim.sortedMachines() {
		switch {
		case m.state != MachineUp && !time.Now().Before(m.until):
			sim.boot(m, m.state == MachineDown && sim.rng.IntN(3) == 0)
		case disturbed && m.state == MachineUp && m.life != nil && sim.rng.IntN(400) == 0:
			sim.crash(m)
			m.state, m.until = MachineDown, time.Now().Add(time.Duration(500+sim.rng.IntN(3000))*time.Millisecond)
		case disturbed && sim.failures && m.life != nil:
			sim.failSome(m.life)
		}
	}
	sim.refresh()
}

// failSome makes some of the long-running work items fail that are at work on an instance.
func (sim *fleetSimulation) failSome(l *simLife) {
	for _, id := range slices.SortedFunc(maps.Keys(l.runs), func(a, b galenajob.ItemID) int { return a.Item.Index - b.Item.Index }) {
		if sim.items[id] == nil || sim.rng.IntN(200) != 0 {
			continue
		}
		number := l.runs[id].number
		sim.endRun(l, id, "")
		l.ends = append(l.ends, galenajob.End{Sequence: int64(len(l.ends) + 1), Item: id, Number: number, Reason: galenajob.EndFailed})
		sim.failed++
	}
}

// heartbeats sends a heartbeat of each instance.
func (sim *fleetSimulation) heartbeats(ctx context.Context, o *Owner) {
	sim.mu.Lock()
	var hbs []Heartbeat
	for _, m := range sim.sortedMachines() {
		if m.life == nil {
			continue
		}
		m.life.sequence++
		hbs = append(hbs, Heartbeat{Sequence: m.life.sequence, Clock: time.Now().UnixMilli() - m.life.born + 1, Instance: galenajob.Instance{
			ID: m.life.id, Born: m.life.born, Address: string(m.name), Service: m.pool, Capacity: galenajob.Resources{MilliCPU: 4000, MemoryMB: 4000},
		}})
	}
	sim.mu.Unlock()
	for _, hb := range hbs {
		go func() { _, _ = o.Heartbeat(ctx, hb) }()
	}
}

// run plays a simulation and returns what was wrong.
func (sim *fleetSimulation) run(t *testing.T) []string {
	o, l := testOwner()
	o.Instances, o.Machines, o.MachineLease = sim, sim, 3*time.Second
	o.Params.StopTimeout, o.Params.UnresponsiveAfter, o.Params.GoneAfter = 400*time.Millisecond, 900*time.Millisecond, 6*time.Second
	l.delay.Store(int64(15 * time.Millisecond))
	c := testConfig
	c.Services = []Service{{Name: "counter"}, {Name: "courier"}, {Name: "other", Spare: true}}
	ctx, stop := startOwner(t, o, c)
	defer func() {
		stop()
		// Polls and orders in progress end.
		time.Sleep(time.Second + lateCallTimeout)
	}()
	sim.heartbeats(ctx, o)
	time.Sleep(500 * time.Millisecond)
	serving := galenajob.Spec{Steps: []galenajob.Step{{
		Count: 8, Need: galenajob.Resources{MilliCPU: 1000, MemoryMB: 1000}, LongRunning: true, MaxUnavailable: simMaxUnavailable,
	}}}
	sim.mu.Lock()
	for i := range 8 {
		sim.items[galenajob.ItemID{Job: "serving", Item: galenajob.ItemKey{Index: i}}] = &simItem{}
	}
	sim.mu.Unlock()
	submit := func(id string, spec galenajob.Spec) {
		_, _ = o.Do(ctx, Request{Kind: RequestSubmit, Host: "h", Path: "/q/" + id, Spec: &spec})
	}
	submit("serving", serving)
	const step = 50 * time.Millisecond
	const length, disturbedFor = 45 * time.Second, 30 * time.Second
	wave := int64(0)
	for n := range int(length / step) {
		at := time.Duration(n) * step
		disturbed := at < disturbedFor
		sim.tick(disturbed)
		if n%5 == 0 {
			sim.heartbeats(ctx, o)
		}
		if disturbed && n%160 == 60 {
			wave++
			w := Wave{ID: wave, Duration: 20 * time.Second, MaxDown: 2, Machines: slices.Sorted(maps.Keys(sim.machines))}
			go func() { _, _ = o.BeginWave(ctx, w) }()
		}
		if at%(6*time.Second) < 2*time.Second && n%4 == 0 {
			spec := galenajob.Spec{Steps: []galenajob.Step{{Count: 4, Need: galenajob.Resources{MilliCPU: 1500, MemoryMB: 500}, Estimate: simBatchTime}}}
			go submit(fmt.Sprintf("%s%d", simBatchPrefix, n), spec)
		}
		ownerFaults := 250
		if sim.failures {
			ownerFaults = 60
			if n%20 == 0 {
				l.delay.Store(int64(time.Duration(5+sim.rngIntN(200)) * time.Millisecond))
			}
		}
		if disturbed && sim.rngIntN(ownerFaults) == 0 {
			if n%2 == 0 {
				l.gap.Store(true)
				time.AfterFunc(100*time.Millisecond, func() { l.gap.Store(false) })
			} else {
				l.holdsLease.Store(false)
				time.AfterFunc(200*time.Millisecond, func() { l.holdsLease.Store(true) })
			}
		}
		time.Sleep(step)
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for id, it := range sim.items {
		if !it.awaySince.IsZero() && time.Since(it.awaySince) > 5*time.Second {
			sim.violations = append(sim.violations, fmt.Sprintf("%v is away at the end for %s", id.Item, time.Since(it.awaySince)))
		}
	}
	return sim.violations
}

func (sim *fleetSimulation) rngIntN(n int) int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.rng.IntN(n)
}

// rebootingMachine crashes the machine m0 of a simulation during its first maintenance
// order, which is rejected as busy. The machine comes back with another instance.
type rebootingMachine struct {
	*fleetSimulation
	reboot *time.Timer
	calls  int
}

func (r *rebootingMachine) Maintain(context.Context, galenahead.VMName, int64, string, uint64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.machines["m0"]
	r.calls++
	switch {
	case r.calls == 1:
		r.endLife(m, "")
		m.state, m.until = MachineDown, time.Now().Add(time.Hour)
		r.reboot.Reset(time.Second)
		return ErrBusy
	case m.state != MachineUp:
		// The next attempt finds the work of the later instance.
		r.reboot.Reset(10 * time.Millisecond)
		return ErrBusy
	}
	r.endLife(m, "maintenance")
	m.state, m.until = MachineMaintenance, time.Now().Add(simMaintenance)
	r.orders++
	return nil
}

// Guards against repeating a maintenance order that was rejected as busy after the
// machine has come back with another instance, on which work runs.
func TestRepeatedOrderSparesWorkOfLaterInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim := newFleetSimulation(0)
		m, other := sim.machines["m0"], sim.machines["m1"]
		sim.machines = map[galenahead.VMName]*simMachine{"m0": m}
		o, _ := testOwner()
		r := &rebootingMachine{fleetSimulation: sim}
		o.Instances, o.Machines = sim, r
		ctx, stop := startOwner(t, o, testConfig)
		defer func() {
			stop()
			time.Sleep(time.Second)
		}()
		r.reboot = time.AfterFunc(time.Hour, func() {
			sim.mu.Lock()
			sim.boot(m, false)
			sim.mu.Unlock()
			sim.heartbeats(ctx, o)
		})
		sim.heartbeats(ctx, o)
		_, err := o.BeginWave(ctx, Wave{ID: 1, Machines: []galenahead.VMName{"m0"}, Duration: 20 * time.Second, MaxDown: 1})
		is.NoErr(err)
		time.Sleep(500 * time.Millisecond)
		_, err = o.Do(ctx, Request{Kind: RequestSubmit, Host: "h", Path: "/q/serving", Spec: &galenajob.Spec{Steps: []galenajob.Step{{
			Count: 2, Need: galenajob.Resources{MilliCPU: 1000}, LongRunning: true, MaxUnavailable: simMaxUnavailable,
		}}}})
		is.NoErr(err)
		sim.mu.Lock()
		for i := range 2 {
			sim.items[galenajob.ItemID{Job: "serving", Item: galenajob.ItemKey{Index: i}}] = &simItem{}
		}
		sim.mu.Unlock()
		for n := range 300 {
			time.Sleep(50 * time.Millisecond)
			if n == 60 {
				// The work can move here.
				sim.mu.Lock()
				sim.machines["m1"] = other
				sim.mu.Unlock()
			}
			sim.tick(false)
			sim.heartbeats(ctx, o)
		}
		sim.mu.Lock()
		violations, orders, serving := sim.violations, sim.orders, 0
		for id := range sim.items {
			if sim.serving(id) {
				serving++
			}
		}
		sim.mu.Unlock()
		for _, v := range violations {
			t.Error(v)
		}
		is.Equal(orders, 1)
		is.Equal(serving, 2) // the work runs again
		w, err := o.Wave(ctx, WaveStatus{ID: 1})
		is.NoErr(err)
		is.True(w.Completed)
	})
}

// Guards against orders to machines that end long-running work, beyond what its step
// may miss, because the machine's instance was replaced or got work between the
// decision and the order. Machines crash, orders are rejected or lost, and owners are
// replaced.
func TestMachineOrdersKeepWorkAvailable(t *testing.T) {
	seeds := 20
	if n, err := strconv.Atoi(os.Getenv("GALENA_HISTORIES")); err == nil {
		seeds = n
	}
	orders, starts := 0, 0
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			sim := newFleetSimulation(seed)
			for _, v := range sim.run(t) {
				t.Errorf("seed %d: %s", seed, v)
			}
			orders += sim.orders
			starts += sim.starts
		})
	}
	if orders < 20*seeds || starts < 100*seeds {
		t.Errorf("only %d orders and %d starts in %d simulations", orders, starts, seeds)
	}
}

// Guards against work that is lost because an order to its machine, of this owner or an
// earlier one, had no response and was carried out late, when the machine was in use again.
func TestLateMachineOrdersEndNoWork(t *testing.T) {
	seeds := 20
	if n, err := strconv.Atoi(os.Getenv("GALENA_HISTORIES")); err == nil {
		seeds = n
	}
	late := 0
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			sim := newFleetSimulation(seed)
			sim.lateOrders = true
			for _, v := range sim.run(t) {
				t.Errorf("seed %d: %s", seed, v)
			}
			sim.mu.Lock()
			defer sim.mu.Unlock()
			late += sim.late
		})
	}
	if late < 2*seeds {
		t.Errorf("only %d orders were carried out late in %d simulations", late, seeds)
	}
}

// Guards against a stop that ends long-running work beyond what its step may miss, after
// failures of work items whose record takes long, commands without an answer and changes of
// the owner: what the owner takes for serving may have ended, and what it takes for a stray
// run may be the one that serves.
func TestFailuresKeepWorkAvailable(t *testing.T) {
	seeds := 20
	if n, err := strconv.Atoi(os.Getenv("GALENA_HISTORIES")); err == nil {
		seeds = n
	}
	failed := 0
	for seed := range uint64(seeds) {
		var violations []string
		synctest.Test(t, func(t *testing.T) {
			sim := newFleetSimulation(seed)
			sim.failures = true
			violations = sim.run(t)
			failed += sim.failed
		})
		for _, v := range violations {
			t.Errorf("seed %d: %s", seed, v)
		}
	}
	if failed < 5*seeds {
		t.Errorf("only %d runs failed in %d simulations", failed, seeds)
	}
}
