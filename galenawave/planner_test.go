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

// deployment is one of the two deployments, as the design page sizes it.
type deployment struct {
	name    string
	centres []galenahead.DataCentre
	// pools are the services' pools; the last one is the spare.
	pools       []galenahead.PoolName
	buffer, out string
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

// world is a scripted platform, its brokers and one control state, in virtual
// time.
type world struct {
	t       *testing.T
	r       *rand.Rand
	d       deployment
	m       *galenastate.Machine
	p       *Planner
	start   time.Time
	now     time.Time
	index   uint64
	vms     map[galenahead.VMName]*worldVM
	shift   map[galenahead.PoolName]func(time.Duration) float64
	budget  float64
	broken  map[galenahead.VMName]bool
	leaders time.Duration
	sent    [][]byte
	reboots map[string]int

	// broke is the first broken invariant.
	broke error
	idle  time.Duration
	moves int
}

// worldVM is what really happens on a VM.
type worldVM struct {
	slotsOut  int
	answering time.Time
	returnAt  time.Time
	pool      galenahead.PoolName
	failure   string
}

func newWorld(t *testing.T, d deployment, seed uint64) *world {
	w := &world{
		t:       t,
		r:       rand.New(rand.NewPCG(seed, 1)),
		d:       d,
		m:       &galenastate.Machine{},
		p:       &Planner{},
		start:   time.Unix(startTime, 0),
		now:     time.Unix(startTime, 0),
		vms:     map[galenahead.VMName]*worldVM{},
		shift:   map[galenahead.PoolName]func(time.Duration) float64{},
		budget:  1,
		broken:  map[galenahead.VMName]bool{},
		reboots: map[string]int{},
	}
	w.operate(galenastate.Change{SettingSet: &galenastate.Setting{Key: galenastate.SettingBufferCost, Value: d.buffer}})
	w.operate(galenastate.Change{SettingSet: &galenastate.Setting{Key: galenastate.SettingRolloutTime, Value: d.out}})
	for i, pool := range d.pools {
		w.operate(galenastate.Change{PoolSet: &galenastate.Pool{Name: pool, Spare: i == len(d.pools)-1}})
		w.operate(galenastate.Change{ServiceSet: &galenastate.Service{Name: galenahead.ServiceName(pool), Pool: pool, Slots: slotsPerVM}})
		for n := range vmsPerPool {
			vm := galenastate.VMAdd{Name: galenahead.VMName(fmt.Sprint(pool, "-", n)), Pool: pool}
			rack := n / vmsPerRack
			vm.Rack = galenahead.RackName(fmt.Sprint("rack-", i, "-", rack))
			vm.DataCentre = d.centres[rack%len(d.centres)]
			w.operate(galenastate.Change{VMAdd: &vm})
			w.vms[vm.Name] = &worldVM{answering: w.start.Add(-time.Hour), pool: pool}
		}
	}
	return w
}

func (w *world) operate(c galenastate.Change) {
	base := w.m.View().Revision()
	res := w.apply(galenastate.Command{RequestID: fmt.Sprint("op-", base, w.now.Unix()), Operator: "op", Base: base, TimeMS: w.now.UnixMilli(), Change: c})
	if err := res.Err(); err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) apply(c galenastate.Command) galenastate.Result {
	b, err := c.Encode()
	if err != nil {
		w.t.Fatal(err)
	}
	w.sent = append(w.sent, b)
	return w.deliver(b)
}

// deliver applies a record, and carries out what it allows the first time.
func (w *world) deliver(b []byte) galenastate.Result {
	c, err := galenastate.DecodeCommand(b)
	if err != nil {
		w.t.Fatal(err)
	}
	before := w.m.View()
	w.index++
	res, err := galenastate.DecodeResult(w.m.Apply(w.index, b))
	if err != nil {
		w.t.Fatal(err)
	}
	if res.Code != galenastate.CodeOK || res.Repeated {
		return res
	}
	if c.Change.VMMove != nil {
		w.moves++
	}
	if s := c.Change.WaveStep; s != nil {
		w.carryOut(before, s)
	}
	return res
}

func (w *world) fail(format string, args ...any) {
	if w.broke == nil {
		w.broke = fmt.Errorf("after %v: "+format, append([]any{w.now.Sub(w.start)}, args...)...)
	}
}

func (w *world) carryOut(before *galenastate.View, s *galenastate.WaveStep) {
	switch s.Action {
	case galenastate.StepDrain:
		w.checkDrain(before, s)
	case galenastate.StepReboot:
		key := fmt.Sprint(s.Wave, "/", s.VM)
		w.reboots[key]++
		vm, _ := before.VM(s.VM)
		if w.reboots[key] > 1 || w.vms[s.VM].slotsOut > 0 || vm.Jobs > 0 {
			w.fail("reboot %d of %s with %d slots out and %d jobs", w.reboots[key], s.VM, w.vms[s.VM].slotsOut, vm.Jobs)
		}
		w.vms[s.VM].answering = time.Time{}
		w.vms[s.VM].returnAt = w.now.Add(30*time.Second + time.Duration(w.r.Int64N(int64(30*time.Second))))
		if w.broken[s.VM] {
			w.vms[s.VM].failure = "boot failed"
		}
	}
}

// checkDrain recomputes the headroom rule when a second rack or data centre is
// taken out.
func (w *world) checkDrain(before *galenastate.View, s *galenastate.WaveStep) {
	target, _ := before.VM(s.VM)
	up, racks, outRacks, outCentres := 0, map[string]int{}, map[string]bool{}, map[string]bool{}
	for vm := range before.VMs() {
		if vm.Pool != target.Pool {
			continue
		}
		rack := string(vm.DataCentre) + string(vm.Rack)
		if vm.Name == target.Name || !inService(vm) {
			outRacks[rack], outCentres[string(vm.DataCentre)] = true, true
			continue
		}
		up++
		racks["rack"+rack]++
		racks["centre"+string(vm.DataCentre)]++
	}
	lost := 0
	for name, n := range racks {
		if len(outCentres) > 1 || len(outRacks) > 1 && strings.HasPrefix(name, "rack") {
			lost = max(lost, n)
		}
	}
	if demand := w.demand(target.Pool); float64(slotsPerVM*(up-lost)) < demand {
		w.fail("drain of %s leaves %d VMs and may lose %d, demand is %.0f slots", s.VM, up, lost, demand)
	}
}

// demand returns a pool's demand now: each queue in turn bursts to five times
// its mean, and is almost idle in between.
func (w *world) demand(pool galenahead.PoolName) float64 {
	mean := meanDemand
	if f := w.shift[pool]; f != nil {
		mean = f(w.now.Sub(w.start))
	}
	turn := int(w.now.Sub(w.start)/burstPeriod) % len(w.d.pools)
	if w.d.pools[turn] == pool {
		return 4.8 * mean
	}
	return mean / 20
}

// measure lets the platform advance one second, and reports it.
func (w *world) measure() Measurements {
	m := Measurements{VMs: map[galenahead.VMName]Report{}}
	counts := map[galenahead.PoolName]map[galenahead.DataCentre]int{}
	for vm := range w.m.View().VMs() {
		x := w.vms[vm.Name]
		w.advance(vm, x)
		m.VMs[vm.Name] = Report{SlotsOut: x.slotsOut, At: w.now, InForce: w.m.View().Revision(), AnsweringSince: x.answering, Pool: x.pool, Failure: x.failure}
		if !inService(vm) {
			continue
		}
		if counts[vm.Pool] == nil {
			counts[vm.Pool] = map[galenahead.DataCentre]int{}
		}
		counts[vm.Pool][vm.DataCentre]++
	}
	for _, pool := range w.d.pools {
		for i, centre := range w.d.centres {
			n := counts[pool][centre]
			l := Load{Service: galenahead.ServiceName(pool), DataCentre: centre, Capacity: float64(n * slotsPerVM), VMs: n, Budget: w.budget}
			if i == 0 {
				l.Demand = w.demand(pool)
			}
			m.Loads = append(m.Loads, l)
		}
	}
	return m
}

func (w *world) advance(vm *galenastate.VM, x *worldVM) {
	switch {
	case inService(vm):
		x.slotsOut = w.r.IntN(slotsPerVM + 1)
	case x.slotsOut > 0 && w.r.IntN(2) == 0:
		x.slotsOut--
	}
	if vm.Phase == galenastate.PhaseAcquiring && x.pool != vm.Pool && x.returnAt.IsZero() {
		x.returnAt = w.now.Add(15 * time.Second)
	}
	if x.returnAt.IsZero() || w.now.Before(x.returnAt) || x.failure != "" {
		return
	}
	x.returnAt = time.Time{}
	x.answering = w.now
	x.pool = vm.Pool
}

// run advances by seconds. A new leader starts without the planner's state,
// from a snapshot, and sends old commands again.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(time.Second) {
		if w.leaders > 0 && w.now.Sub(w.start)%w.leaders == 0 {
			w.changeLeader()
		}
		for _, c := range w.p.Plan(w.m.View(), w.measure(), w.now) {
			if w.r.IntN(20) > 0 || w.leaders == 0 {
				w.apply(c)
			}
		}
		w.account()
	}
}

func (w *world) changeLeader() {
	snap, err := w.m.Snapshot()
	if err != nil {
		w.t.Fatal(err)
	}
	w.m, w.p = &galenastate.Machine{}, &Planner{}
	if err := w.m.Restore(snap); err != nil {
		w.t.Fatal(err)
	}
	for range 20 {
		w.deliver(w.sent[w.r.IntN(len(w.sent))])
	}
}

// account adds up VMs held without use: out in a wave or a move, or borrowed
// beyond the pool's need.
func (w *world) account() {
	v := w.m.View()
	up, borrowed := map[galenahead.PoolName]int{}, map[galenahead.PoolName]int{}
	for vm := range v.VMs() {
		if !inService(vm) {
			w.idle += time.Second
			continue
		}
		up[vm.Pool]++
		if vm.HomePool != vm.Pool {
			borrowed[vm.Pool]++
		}
	}
	for pool, f := range w.shift {
		need := int(f(w.now.Sub(w.start))*(1+reserve)/slotsPerVM) + 1
		w.idle += time.Duration(min(borrowed[pool], max(0, up[pool]-need))) * time.Second
	}
	for _, x := range v.Waves() {
		if x.Unavailable() > x.MaxAtOnce {
			w.fail("wave %s has %d VMs out, the limit is %d", x.Name, x.Unavailable(), x.MaxAtOnce)
		}
	}
}

// checked fails the test on a broken invariant.
func (w *world) checked() {
	if w.broke != nil {
		w.t.Fatal(w.broke)
	}
}

func (w *world) startWave(name string, pool galenahead.PoolName) {
	w.operate(galenastate.Change{WaveStart: &galenastate.WaveStart{Name: name, Pool: pool}})
}

// waitWave runs until the wave is no longer running, for an hour at most.
func (w *world) waitWave(name string) (galenastate.Wave, time.Duration) {
	from := w.now
	for w.now.Sub(from) < time.Hour {
		if x, _ := w.m.View().Wave(name); x.State != galenastate.WaveRunning {
			return x, w.now.Sub(from)
		}
		w.run(time.Second)
	}
	x, _ := w.m.View().Wave(name)
	return x, time.Hour
}

// Guards against waves that never end, repeat a reboot or break a limit while
// leaders change and commands are lost, delayed and sent again.
func TestWavesUnderChangesOfLeader(t *testing.T) {
	for seed := range uint64(6) {
		for _, d := range []deployment{kitakaze, consorcio} {
			is := is.New(t)
			w := newWorld(t, d, seed)
			w.leaders = 37 * time.Second
			w.startWave("a", d.pools[0])
			w.startWave("b", d.pools[1])
			a, _ := w.waitWave("a")
			b, _ := w.waitWave("b")
			w.checked()
			is.Equal(a.State, galenastate.WaveDone)
			is.Equal(b.State, galenastate.WaveDone)
			is.Equal(len(w.reboots), 2*vmsPerPool)
		}
	}
}

// Guards against checks of the planner that would not notice a defect.
func TestChecksCatchFaults(t *testing.T) {
	for name, f := range map[string]faults{
		"ignore headroom": {ignoreHeadroom: true},
		"ignore spread":   {ignoreSpread: true},
		"ignore reports":  {ignoreReports: true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, consorcio, 1)
			w.p.faults = f
			// 48 slots between bursts: six VMs are needed all the time.
			w.shift[w.d.pools[0]] = func(time.Duration) float64 { return 960 }
			w.startWave("w", w.d.pools[0])
			w.waitWave("w")
			is.New(t).True(w.broke != nil) // not caught
			t.Log(w.broke)
		})
	}
}

// Guards against waves that go on after two failures or on a spent budget, and
// against VMs that stay drained in a wave that stopped.
func TestAutomaticStops(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, consorcio, 1)
	w.broken["member-1-0"], w.broken["member-1-1"] = true, true
	w.startWave("failing", "member-1")
	x, _ := w.waitWave("failing")
	is.Equal(x.State, galenastate.WaveStopped)
	is.True(strings.Contains(x.Reason, "2 VMs failed"))
	w.run(2 * time.Minute)
	w.checked()
	x, _ = w.m.View().Wave("failing")
	is.Equal(x.InProgress, int32(0))

	w = newWorld(t, kitakaze, 1)
	w.startWave("costly", "counter")
	w.run(20 * time.Second)
	w.budget = 0.24
	x, _ = w.waitWave("costly")
	is.Equal(x.State, galenastate.WaveStopped)
	is.True(strings.Contains(x.Reason, "24% of its budget"))
	w.budget = 1
	w.run(2 * time.Minute)
	w.operate(galenastate.Change{WaveControl: &galenastate.WaveControl{Name: "costly", Action: galenastate.WaveResume}})
	x, _ = w.waitWave("costly")
	is.Equal(x.State, galenastate.WaveDone)
	w.checked()
}

// Guards against taking out a further VM while one that failed is not back.
func TestFailedVMStaysOut(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, kitakaze, 1)
	w.broken["counter-4"] = true
	w.startWave("w", "counter")
	w.run(5 * time.Minute)
	is.Equal(len(w.reboots), 1)
	vm, _ := w.m.View().VM("counter-4")
	is.Equal(vm.Condition, galenastate.ConditionDown)
	w.vms["counter-4"].failure = ""
	w.apply(galenastate.Command{Change: galenastate.Change{VMCondition: &galenastate.VMCondition{VM: vm.Name, Epoch: vm.Epoch}}})
	x, _ := w.waitWave("w")
	is.Equal(x.State, galenastate.WaveDone)
	is.Equal(len(w.reboots), vmsPerPool)
	w.checked()
}

// Guards against moves that follow bursts of some seconds, or that do not
// follow a shift of minutes there and back.
func TestMovesFollowLastingShifts(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, kitakaze, 1)
	w.leaders = 5*time.Minute + time.Second
	w.shift["counter"] = func(time.Duration) float64 { return 55 }
	w.run(time.Hour)
	is.Equal(w.moves, 0) // bursts only, also while new leaders start in one
	w.leaders = 0
	begin := w.now.Sub(w.start)
	w.shift["counter"] = func(at time.Duration) float64 {
		if at < begin+30*time.Minute {
			return 90
		}
		return meanDemand
	}
	w.run(30 * time.Minute)
	is.True(w.moves >= 2)
	lent := w.moves
	w.run(time.Hour)
	is.Equal(w.moves, 2*lent) // all went back
	for vm := range w.m.View().VMs() {
		is.Equal(vm.Pool, vm.HomePool)
	}
}

// Guards against a pool that gets no help because all its VMs are down.
func TestPoolWithoutVMsBorrows(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, kitakaze, 1)
	w.run(10 * time.Minute)
	for vm := range w.m.View().VMs() {
		if vm.Pool == "counter" {
			w.apply(galenastate.Command{Change: galenastate.Change{VMCondition: &galenastate.VMCondition{
				VM: vm.Name, Epoch: vm.Epoch, Condition: galenastate.ConditionDown}}})
		}
	}
	w.run(10 * time.Minute)
	is.True(w.moves >= 2)
}

// Guards against weights without effect; prints the figures of both
// deployments, each with its own weights and with the other's.
func TestWeightsTradeBufferForRollout(t *testing.T) {
	is := is.New(t)
	t.Log("deployment  buffer_cost rollout_time max_at_once wave      idle VM-s (wave) idle VM-s (moves) moves")
	for _, d := range []deployment{kitakaze, consorcio} {
		other := d
		other.buffer, other.out = d.out, d.buffer
		var waves, idles [2]time.Duration
		for i, x := range []deployment{d, other} {
			w := newWorld(t, x, 1)
			w.startWave("w", x.pools[0])
			wave, took := w.waitWave("w")
			is.Equal(wave.State, galenastate.WaveDone)
			w.checked()
			shifted := newWorld(t, x, 1)
			shifted.shift[x.pools[0]] = func(at time.Duration) float64 {
				if at < 40*time.Minute {
					return 90
				}
				return meanDemand
			}
			shifted.run(100 * time.Minute)
			waves[i], idles[i] = took, shifted.idle
			t.Logf("%-11s %-11s %-12s %-11d %-9v %-16.0f %-17.0f %d", x.name, x.buffer, x.out, wave.MaxAtOnce, took, w.idle.Seconds(), shifted.idle.Seconds(), shifted.moves)
		}
		if d.buffer > d.out {
			waves[0], waves[1] = waves[1], waves[0]
			idles[0], idles[1] = idles[1], idles[0]
		}
		is.True(waves[0] < waves[1]) // roll-out weight makes waves quicker
		is.True(idles[0] > idles[1]) // buffer weight keeps fewer idle VMs
	}
}
