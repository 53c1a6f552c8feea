package ends

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"
)

const troubleTime = 14 * time.Second

// trouble ends and starts processes as planned.
type trouble struct {
	d    *deployment
	rng  *rand.Rand
	mu   sync.Mutex
	down map[string]bool
}

// take marks a running process of a role as down. At most limit of them are down at a time.
func (tr *trouble) take(role string, number, limit int) (int, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	downs := 0
	for i := 1; i <= number; i++ {
		if tr.down[processName(role, i)] {
			downs++
		}
	}
	i := 1 + tr.rng.IntN(number)
	if role == "control" && tr.rng.IntN(2) == 0 {
		i = tr.d.ownerNumber()
	}
	if downs >= limit || tr.down[processName(role, i)] {
		return 0, false
	}
	tr.down[processName(role, i)] = true
	return i, true
}

// takeThis marks a process as down unless it is down already.
func (tr *trouble) takeThis(role string, i int) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	name := processName(role, i)
	if tr.down[name] {
		return false
	}
	tr.down[name] = true
	return true
}

func (tr *trouble) wait(stop <-chan struct{}, limit int) bool {
	tr.mu.Lock()
	pause := time.Duration(tr.rng.IntN(limit)) * time.Millisecond
	tr.mu.Unlock()
	select {
	case <-stop:
		return false
	case <-time.After(pause):
		return true
	}
}

// roll ends processes of a role and starts them again until stop is closed.
func (tr *trouble) roll(role string, number, limit int, stop <-chan struct{}, group *sync.WaitGroup) {
	defer group.Done()
	for tr.wait(stop, 1500) {
		i, ok := tr.take(role, number, limit)
		if !ok {
			continue
		}
		tr.restart(role, i, stop)
	}
}

// restart ends a process that take has marked as down, and starts it again.
func (tr *trouble) restart(role string, i int, stop <-chan struct{}) {
	name := processName(role, i)
	tr.d.stop(name)
	tr.wait(stop, 800)
	tr.d.start(role, i, false)
	tr.mu.Lock()
	defer tr.mu.Unlock()
	delete(tr.down, name)
}

// rollMachines ends both processes of a machine at once and starts them again until stop is closed.
func (tr *trouble) rollMachines(stop <-chan struct{}, group *sync.WaitGroup) {
	defer group.Done()
	for tr.wait(stop, 2000) {
		i, ok := tr.take("control", controls, 1)
		if !ok {
			continue
		}
		var processes sync.WaitGroup
		processes.Go(func() { tr.restart("control", i, stop) })
		if tr.takeThis("entry", i) {
			processes.Go(func() { tr.restart("entry", i, stop) })
		}
		processes.Wait()
	}
}

// hang changes settings, mostly with a SIGHUP, until stop is closed.
func (tr *trouble) hang(stop <-chan struct{}, group *sync.WaitGroup) {
	defer group.Done()
	for tr.wait(stop, 1200) {
		tr.mu.Lock()
		role, i, first, signal := "entry", 1+tr.rng.IntN(entries), tr.rng.IntN(diskControls), tr.rng.IntN(4) > 0
		number := diskControls - tr.rng.IntN(2)
		if tr.rng.IntN(2) == 0 {
			role, i = "control", 1+tr.rng.IntN(controls)
		}
		down := tr.down[processName(role, i)]
		tr.mu.Unlock()
		if !down {
			tr.d.changeSettings(role, i, seeds{first, number}, signal)
		}
	}
}

// changeSettings changes the settings of a process, and sends SIGHUP to it unless it has just started.
func (d *deployment) changeSettings(role string, i int, s seeds, signal bool) {
	path := d.writeSettings(role, i, false, s)
	if !signal {
		d.notef("changed %s", path)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.processes[processName(role, i)]
	if p.stopping || time.Since(p.startedAt) < time.Second {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGHUP)
	d.counts["hang-ups"]++
	d.noteLocked("SIGHUP to %s", p.name)
}

// checkProcesses checks that no process has ended by itself.
func (d *deployment) checkProcesses() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, p := range d.processes {
		select {
		case <-p.done:
			d.breakLocked("%s has ended by itself: %v", name, p.cmd.ProcessState)
		default:
		}
	}
}

// Guards against requests that get no whole answer, jobs that are not known or end
// without cause, and configurations that are gone, when entries and control daemons
// are told to end, restart, reload their settings and get new configurations.
func TestNothingIsLostAroundPlannedEnds(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		d := newDeployment(t)
		defer d.report()
		d.begins()
		stop := make(chan struct{})
		var group, troubles sync.WaitGroup
		for n := range uint64(4 * entries) {
			group.Add(1)
			go newCaller(d, seed, n+1).run(stop, &group)
		}
		group.Add(2)
		go (&operator{d: d, rng: rand.New(rand.NewPCG(seed, 101)), version: 1}).run(stop, &group)
		go d.loop(stop, &group)
		time.Sleep(time.Second)

		quiet := make(chan struct{})
		tr := &trouble{d: d, rng: rand.New(rand.NewPCG(seed, 102)), down: map[string]bool{}}
		troubles.Add(4)
		go tr.roll("entry", entries, 3, quiet, &troubles)
		go tr.roll("entry", entries, 3, quiet, &troubles)
		go tr.hang(quiet, &troubles)
		if seed%2 == 0 {
			go tr.rollMachines(quiet, &troubles)
		} else {
			// Up to three control daemons are down at a time.
			troubles.Add(1)
			go tr.roll("control", controls, 1+int(seed%3), quiet, &troubles)
			go tr.roll("control", controls, 1+int(seed%3), quiet, &troubles)
		}
		time.Sleep(troubleTime)
		close(quiet)
		troubles.Wait()
		time.Sleep(time.Second)
		close(stop)
		group.Wait()
		d.check()
		d.checkProcesses()
	})
}
