package galenawave

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenastate"
	"github.com/matryer/is"
)

// deployment describes one of the two deployments, at the size given in the design
// document.
type deployment struct {
	name        string
	dataCentres []galenahead.DataCentre
	// pools are the services' pools. The last one is the spare pool.
	pools                   []galenahead.PoolName
	bufferCost, rolloutTime string
}

var (
	kitakaze = deployment{"Kitakaze", []galenahead.DataCentre{"sapporo", "asahikawa", "hakodate"},
		[]galenahead.PoolName{"counter", "workshop", "courier", "intake", "other"}, "3", "1"}
	consorcio = deployment{"Consorcio", []galenahead.DataCentre{"lima-1", "lima-2", "lima-3", "lima-4"},
		[]galenahead.PoolName{"member-1", "member-2", "member-3", "member-4", "admin"}, "1", "3"}
)

const (
	vmsPerPool  = 10
	vmsPerRack  = 4
	slotsPerVM  = 8
	meanDemand  = 20.0
	burstPeriod = 6 * time.Second
	startTime   = 1767225600
)

// simulation runs the planner and the control state against a simulated platform
// and simulated brokers, in virtual time.
type simulation struct {
	t                  *testing.T
	rand               *rand.Rand
	deployment         deployment
	stateMachine       *galenastate.StateMachine
	planner            *Planner
	start              time.Time
	now                time.Time
	index              uint64
	vms                map[galenahead.VMName]*simulatedVM
	demandFunc         map[galenahead.PoolName]func(time.Duration) float64
	budget             float64
	failsBoot          map[galenahead.VMName]bool
	leaderChangePeriod time.Duration
	sent               [][]byte
	reboots            map[string]int

	// violation is the first violated invariant.
	violation error
	idleTime  time.Duration
	moves     int
}

// simulatedVM is the actual state of a VM on the platform.
type simulatedVM struct {
	slotsOut       int
	answeringSince time.Time
	answersAt      time.Time
	pool           galenahead.PoolName
	failure        string
}

func newSimulation(t *testing.T, d deployment, seed uint64) *simulation {
	sim := &simulation{
		t:            t,
		rand:         rand.New(rand.NewPCG(seed, 1)),
		deployment:   d,
		stateMachine: &galenastate.StateMachine{},
		planner:      &Planner{},
		start:        time.Unix(startTime, 0),
		now:          time.Unix(startTime, 0),
		vms:          map[galenahead.VMName]*simulatedVM{},
		demandFunc:   map[galenahead.PoolName]func(time.Duration) float64{},
		budget:       1,
		failsBoot:    map[galenahead.VMName]bool{},
		reboots:      map[string]int{},
	}
	sim.applyOperatorChange(galenastate.Change{SettingSet: &galenastate.Setting{Key: galenastate.SettingBufferCost, Value: d.bufferCost}})
	sim.applyOperatorChange(galenastate.Change{SettingSet: &galenastate.Setting{Key: galenastate.SettingRolloutTime, Value: d.rolloutTime}})
	for i, pool := range d.pools {
		sim.applyOperatorChange(galenastate.Change{PoolSet: &galenastate.Pool{Name: pool, Spare: i == len(d.pools)-1}})
		sim.applyOperatorChange(galenastate.Change{ServiceSet: &galenastate.Service{Name: galenahead.ServiceName(pool), Pool: pool, Slots: slotsPerVM}})
		for n := range vmsPerPool {
			vm := galenastate.VMAdd{Name: galenahead.VMName(fmt.Sprint(pool, "-", n)), Pool: pool}
			rack := n / vmsPerRack
			vm.Rack = galenahead.RackName(fmt.Sprint("rack-", i, "-", rack))
			vm.DataCentre = d.dataCentres[rack%len(d.dataCentres)]
			sim.applyOperatorChange(galenastate.Change{VMAdd: &vm})
			sim.vms[vm.Name] = &simulatedVM{answeringSince: sim.start.Add(-time.Hour), pool: pool}
		}
	}
	return sim
}

func (sim *simulation) applyOperatorChange(c galenastate.Change) {
	base := sim.stateMachine.View().Revision()
	res := sim.apply(galenastate.Command{RequestID: fmt.Sprint("op-", base, sim.now.Unix()), Operator: "op", BaseRevision: base, TimeMS: sim.now.UnixMilli(), Change: c})
	if err := res.Err(); err != nil {
		sim.t.Fatal(err)
	}
}

func (sim *simulation) apply(c galenastate.Command) galenastate.Result {
	b, err := c.Encode()
	if err != nil {
		sim.t.Fatal(err)
	}
	sim.sent = append(sim.sent, b)
	return sim.deliver(b)
}

// deliver applies a record, and executes its effects unless it is a repetition.
func (sim *simulation) deliver(b []byte) galenastate.Result {
	c, err := galenastate.DecodeCommand(b)
	if err != nil {
		sim.t.Fatal(err)
	}
	before := sim.stateMachine.View()
	sim.index++
	res, err := galenastate.DecodeResult(sim.stateMachine.Apply(sim.index, b))
	if err != nil {
		sim.t.Fatal(err)
	}
	if res.Code != galenastate.CodeOK || res.Repeated {
		return res
	}
	if c.Change.VMMove != nil {
		sim.moves++
	}
	if s := c.Change.WaveStep; s != nil {
		sim.executeEffects(before, s)
	}
	return res
}

func (sim *simulation) reportViolation(format string, args ...any) {
	if sim.violation == nil {
		sim.violation = fmt.Errorf("after %v: "+format, append([]any{sim.now.Sub(sim.start)}, args...)...)
	}
}

func (sim *simulation) executeEffects(before *galenastate.View, s *galenastate.WaveStep) {
	switch s.Action {
	case galenastate.StepDrain:
		sim.checkDrain(before, s)
	case galenastate.StepReboot:
		key := fmt.Sprint(s.Wave, "/", s.VM)
		sim.reboots[key]++
		vm, _ := before.VM(s.VM)
		if sim.reboots[key] > 1 || sim.vms[s.VM].slotsOut > 0 || vm.Jobs > 0 {
			sim.reportViolation("reboot %d of %s with %d granted slots and %d jobs", sim.reboots[key], s.VM, sim.vms[s.VM].slotsOut, vm.Jobs)
		}
		sim.vms[s.VM].answeringSince = time.Time{}
		sim.vms[s.VM].answersAt = sim.now.Add(30*time.Second + time.Duration(sim.rand.Int64N(int64(30*time.Second))))
		if sim.failsBoot[s.VM] {
			sim.vms[s.VM].failure = "boot failed"
		}
	}
}

// checkDrain verifies the headroom rule independently when a VM is drained.
func (sim *simulation) checkDrain(before *galenastate.View, s *galenastate.WaveStep) {
	target, _ := before.VM(s.VM)
	up, racks, affectedRacks, affectedDataCentres := 0, map[string]int{}, map[string]bool{}, map[string]bool{}
	for vm := range before.VMs() {
		if vm.Pool != target.Pool {
			continue
		}
		rack := string(vm.DataCentre) + string(vm.Rack)
		if vm.Name == target.Name || !inService(vm) {
			affectedRacks[rack], affectedDataCentres[string(vm.DataCentre)] = true, true
			continue
		}
		up++
		racks["rack"+rack]++
		racks["centre"+string(vm.DataCentre)]++
	}
	atRisk := 0
	for name, n := range racks {
		if len(affectedDataCentres) > 1 || len(affectedRacks) > 1 && strings.HasPrefix(name, "rack") {
			atRisk = max(atRisk, n)
		}
	}
	if demand := sim.demand(target.Pool); float64(slotsPerVM*(up-atRisk)) < demand {
		sim.reportViolation("drain of %s leaves %d VMs and may lose %d, demand is %.0f slots", s.VM, up, atRisk, demand)
	}
}

// demand returns a pool's current demand. One pool after the other bursts to almost
// five times its mean, and is almost idle in between.
func (sim *simulation) demand(pool galenahead.PoolName) float64 {
	mean := meanDemand
	if f := sim.demandFunc[pool]; f != nil {
		mean = f(sim.now.Sub(sim.start))
	}
	turn := int(sim.now.Sub(sim.start)/burstPeriod) % len(sim.deployment.pools)
	if sim.deployment.pools[turn] == pool {
		return 4.8 * mean
	}
	return mean / 20
}

// advancePlatform advances the platform by one second and returns the measurements.
func (sim *simulation) advancePlatform() Measurements {
	m := Measurements{VMs: map[galenahead.VMName]VMReport{}}
	counts := map[galenahead.PoolName]map[galenahead.DataCentre]int{}
	for vm := range sim.stateMachine.View().VMs() {
		simulated := sim.vms[vm.Name]
		sim.advanceVM(vm, simulated)
		m.VMs[vm.Name] = VMReport{SlotsOut: simulated.slotsOut, ReportedAt: sim.now, BrokerRevision: sim.stateMachine.View().Revision(), AnsweringSince: simulated.answeringSince, Pool: simulated.pool, Failure: simulated.failure}
		if !inService(vm) {
			continue
		}
		if counts[vm.Pool] == nil {
			counts[vm.Pool] = map[galenahead.DataCentre]int{}
		}
		counts[vm.Pool][vm.DataCentre]++
	}
	for _, pool := range sim.deployment.pools {
		for i, dataCentre := range sim.deployment.dataCentres {
			n := counts[pool][dataCentre]
			l := Load{Service: galenahead.ServiceName(pool), DataCentre: dataCentre, Capacity: float64(n * slotsPerVM), VMs: n, Budget: sim.budget}
			if i == 0 {
				l.Demand = sim.demand(pool)
			}
			m.Loads = append(m.Loads, l)
		}
	}
	return m
}

func (sim *simulation) advanceVM(vm *galenastate.VM, simulated *simulatedVM) {
	switch {
	case inService(vm):
		simulated.slotsOut = sim.rand.IntN(slotsPerVM + 1)
	case simulated.slotsOut > 0 && sim.rand.IntN(2) == 0:
		simulated.slotsOut--
	}
	if vm.Phase == galenastate.PhaseAcquiring && simulated.pool != vm.Pool && simulated.answersAt.IsZero() {
		simulated.answersAt = sim.now.Add(15 * time.Second)
	}
	if simulated.answersAt.IsZero() || sim.now.Before(simulated.answersAt) || simulated.failure != "" {
		return
	}
	simulated.answersAt = time.Time{}
	simulated.answeringSince = sim.now
	simulated.pool = vm.Pool
}

// run advances the simulation in steps of one second. While leaders change, some
// of the planner's commands are lost.
func (sim *simulation) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); sim.now = sim.now.Add(time.Second) {
		if sim.leaderChangePeriod > 0 && sim.now.Sub(sim.start)%sim.leaderChangePeriod == 0 {
			sim.changeLeader()
		}
		for _, c := range sim.planner.Plan(sim.stateMachine.View(), sim.advancePlatform(), sim.now) {
			if sim.rand.IntN(20) > 0 || sim.leaderChangePeriod == 0 {
				sim.apply(c)
			}
		}
		sim.addIdleTime()
	}
}

// changeLeader starts a new leader from a snapshot, without the planner's state,
// and delivers random old commands again.
func (sim *simulation) changeLeader() {
	snap, err := sim.stateMachine.Snapshot()
	if err != nil {
		sim.t.Fatal(err)
	}
	sim.stateMachine, sim.planner = &galenastate.StateMachine{}, &Planner{}
	if err := sim.stateMachine.Restore(snap); err != nil {
		sim.t.Fatal(err)
	}
	for range 20 {
		sim.deliver(sim.sent[sim.rand.IntN(len(sim.sent))])
	}
}

// addIdleTime adds up the time of VMs that serve no demand, since they are out of
// service for a wave or a move or borrowed beyond the pool's need. It also checks
// the limits of waves.
func (sim *simulation) addIdleTime() {
	v := sim.stateMachine.View()
	up, borrowed := map[galenahead.PoolName]int{}, map[galenahead.PoolName]int{}
	for vm := range v.VMs() {
		if !inService(vm) {
			sim.idleTime += time.Second
			continue
		}
		up[vm.Pool]++
		if vm.HomePool != vm.Pool {
			borrowed[vm.Pool]++
		}
	}
	for pool, f := range sim.demandFunc {
		need := int(f(sim.now.Sub(sim.start))*(1+capacityReserve)/slotsPerVM) + 1
		sim.idleTime += time.Duration(min(borrowed[pool], max(0, up[pool]-need))) * time.Second
	}
	for _, wave := range v.Waves() {
		if wave.Unavailable() > wave.MaxAtOnce {
			sim.reportViolation("wave %s has %d VMs out of service, the limit is %d", wave.Name, wave.Unavailable(), wave.MaxAtOnce)
		}
	}
}

// checkInvariants fails the test if an invariant was violated.
func (sim *simulation) checkInvariants() {
	if sim.violation != nil {
		sim.t.Fatal(sim.violation)
	}
}

func (sim *simulation) startWave(name string, pool galenahead.PoolName) {
	sim.applyOperatorChange(galenastate.Change{WaveStart: &galenastate.WaveStart{Name: name, Pool: pool}})
}

// waitForWave runs until the wave is no longer running, but at most for an hour. It
// returns the wave and the time taken.
func (sim *simulation) waitForWave(name string) (galenastate.Wave, time.Duration) {
	from := sim.now
	for sim.now.Sub(from) < time.Hour {
		if wave, _ := sim.stateMachine.View().Wave(name); wave.State != galenastate.WaveRunning {
			return wave, sim.now.Sub(from)
		}
		sim.run(time.Second)
	}
	wave, _ := sim.stateMachine.View().Wave(name)
	return wave, time.Hour
}

// Guards against waves that never end, reboot a VM twice or exceed a limit while
// leaders change and commands are lost, delayed and delivered again.
func TestWavesAcrossLeaderChanges(t *testing.T) {
	for seed := range uint64(6) {
		for _, d := range []deployment{kitakaze, consorcio} {
			is := is.New(t)
			sim := newSimulation(t, d, seed)
			sim.leaderChangePeriod = 37 * time.Second
			sim.startWave("a", d.pools[0])
			sim.startWave("b", d.pools[1])
			a, _ := sim.waitForWave("a")
			b, _ := sim.waitForWave("b")
			sim.checkInvariants()
			is.Equal(a.State, galenastate.WaveDone)
			is.Equal(b.State, galenastate.WaveDone)
			is.Equal(len(sim.reboots), 2*vmsPerPool)
		}
	}
}

// Guards against invariant checks that miss a defect of the planner.
func TestInvariantChecksDetectInjectedFaults(t *testing.T) {
	for name, faults := range map[string]injectedFaults{
		"ignore headroom": {ignoreHeadroom: true},
		"ignore spread":   {ignoreSpread: true},
		"ignore reports":  {ignoreReports: true},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, consorcio, 1)
			sim.planner.faults = faults
			// The demand is 48 slots between bursts, so that six VMs are always needed.
			sim.demandFunc[sim.deployment.pools[0]] = func(time.Duration) float64 { return 960 }
			sim.startWave("w", sim.deployment.pools[0])
			sim.waitForWave("w")
			is.New(t).True(sim.violation != nil) // the fault must be detected
			t.Log(sim.violation)
		})
	}
}

// Guards against waves that continue after two failures or with a nearly exhausted
// budget, and against VMs that stay drained in a stopped wave.
func TestWaveStopsAutomatically(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, consorcio, 1)
	sim.failsBoot["member-1-0"], sim.failsBoot["member-1-1"] = true, true
	sim.startWave("failing", "member-1")
	wave, _ := sim.waitForWave("failing")
	is.Equal(wave.State, galenastate.WaveStopped)
	is.True(strings.Contains(wave.Reason, "2 VMs failed"))
	sim.run(2 * time.Minute)
	sim.checkInvariants()
	wave, _ = sim.stateMachine.View().Wave("failing")
	is.Equal(wave.InProgress, int32(0))

	sim = newSimulation(t, kitakaze, 1)
	sim.startWave("costly", "counter")
	sim.run(20 * time.Second)
	sim.budget = 0.24
	wave, _ = sim.waitForWave("costly")
	is.Equal(wave.State, galenastate.WaveStopped)
	is.True(strings.Contains(wave.Reason, "24% of its budget"))
	sim.budget = 1
	sim.run(2 * time.Minute)
	sim.applyOperatorChange(galenastate.Change{WaveControl: &galenastate.WaveControl{Name: "costly", Action: galenastate.WaveResume}})
	wave, _ = sim.waitForWave("costly")
	is.Equal(wave.State, galenastate.WaveDone)
	sim.checkInvariants()
}

// Guards against draining another VM before a failed one is up again.
func TestFailedVMCountsAsUnavailable(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, kitakaze, 1)
	sim.failsBoot["counter-4"] = true
	sim.startWave("w", "counter")
	sim.run(5 * time.Minute)
	is.Equal(len(sim.reboots), 1)
	vm, _ := sim.stateMachine.View().VM("counter-4")
	is.Equal(vm.Condition, galenastate.ConditionDown)
	sim.vms["counter-4"].failure = ""
	sim.apply(galenastate.Command{Change: galenastate.Change{VMCondition: &galenastate.VMCondition{VM: vm.Name, Epoch: vm.Epoch}}})
	wave, _ := sim.waitForWave("w")
	is.Equal(wave.State, galenastate.WaveDone)
	is.Equal(len(sim.reboots), vmsPerPool)
	sim.checkInvariants()
}

// Guards against moves that react to bursts of a few seconds, and against missing
// moves when demand shifts for half an hour and then returns.
func TestMovesFollowOnlyLongDemandShifts(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, kitakaze, 1)
	sim.leaderChangePeriod = 5*time.Minute + time.Second
	sim.demandFunc["counter"] = func(time.Duration) float64 { return 55 }
	sim.run(time.Hour)
	is.Equal(sim.moves, 0) // only bursts, during some of which a new leader starts
	sim.leaderChangePeriod = 0
	begin := sim.now.Sub(sim.start)
	sim.demandFunc["counter"] = func(at time.Duration) float64 {
		if at < begin+30*time.Minute {
			return 90
		}
		return meanDemand
	}
	sim.run(30 * time.Minute)
	is.True(sim.moves >= 2)
	borrowed := sim.moves
	sim.run(time.Hour)
	is.Equal(sim.moves, 2*borrowed) // all borrowed VMs were returned
	for vm := range sim.stateMachine.View().VMs() {
		is.Equal(vm.Pool, vm.HomePool)
	}
}

// Guards against a pool that borrows no VMs because all its own VMs are down, which
// leaves its capacity unmeasured.
func TestPoolWithAllVMsDownBorrows(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, kitakaze, 1)
	sim.run(10 * time.Minute)
	for vm := range sim.stateMachine.View().VMs() {
		if vm.Pool == "counter" {
			sim.apply(galenastate.Command{Change: galenastate.Change{VMCondition: &galenastate.VMCondition{
				VM: vm.Name, Epoch: vm.Epoch, Condition: galenastate.ConditionDown}}})
		}
	}
	sim.run(10 * time.Minute)
	is.True(sim.moves >= 2)
}

// Guards against weights that have no effect. Logs the figures of both deployments,
// each with its own weights and with the two weights swapped.
func TestWeightsTradeBufferForRollout(t *testing.T) {
	is := is.New(t)
	t.Log("deployment  buffer_cost rollout_time max_at_once wave      idle VM-s (wave) idle VM-s (moves) moves")
	for _, d := range []deployment{kitakaze, consorcio} {
		swapped := d
		swapped.bufferCost, swapped.rolloutTime = d.rolloutTime, d.bufferCost
		var waveTimes, idleTimes [2]time.Duration
		for i, variant := range []deployment{d, swapped} {
			waveSim := newSimulation(t, variant, 1)
			waveSim.startWave("w", variant.pools[0])
			wave, took := waveSim.waitForWave("w")
			is.Equal(wave.State, galenastate.WaveDone)
			waveSim.checkInvariants()
			shiftSim := newSimulation(t, variant, 1)
			shiftSim.demandFunc[variant.pools[0]] = func(at time.Duration) float64 {
				if at < 40*time.Minute {
					return 90
				}
				return meanDemand
			}
			shiftSim.run(100 * time.Minute)
			waveTimes[i], idleTimes[i] = took, shiftSim.idleTime
			t.Logf("%-11s %-11s %-12s %-11d %-9v %-16.0f %-17.0f %d", variant.name, variant.bufferCost, variant.rolloutTime, wave.MaxAtOnce, took, waveSim.idleTime.Seconds(), shiftSim.idleTime.Seconds(), shiftSim.moves)
		}
		if d.bufferCost > d.rolloutTime {
			waveTimes[0], waveTimes[1] = waveTimes[1], waveTimes[0]
			idleTimes[0], idleTimes[1] = idleTimes[1], idleTimes[0]
		}
		is.True(waveTimes[0] < waveTimes[1]) // a larger rollout_time makes waves faster
		is.True(idleTimes[0] > idleTimes[1]) // a larger buffer_cost keeps fewer idle VMs
	}
}
