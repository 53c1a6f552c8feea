package ends

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// lastingTime is how long work that lasts may have nothing running while an owner answers.
const lastingTime = 6 * time.Second

// fault is which processes are killed after what was acknowledged.
type fault struct {
	rng   *rand.Rand
	after string
	// entries and diskless are whether these are killed together with the control
	// daemons that have a disk.
	entries, diskless bool
	// crash is whether an instance crashes at the same time.
	crash bool
}

func newFault(seed uint64) fault {
	return fault{
		rng: rand.New(rand.NewPCG(seed, 201)), after: []string{"configuration", "job", "cancel", "lasting job", "two configurations"}[seed%5],
		entries: seed%2 == 0, diskless: seed%3 > 0, crash: seed%4 > 1,
	}
}

// processes returns the roles and numbers of those that are killed.
func (f fault) processes() map[string]int {
	out := map[string]int{"control": diskControls, "entry": 0}
	if f.diskless {
		out["control"] = controls
	}
	if f.entries {
		out["entry"] = entries
	}
	return out
}

// acknowledge waits for one more acknowledgement of the kind that the fault follows.
func (f fault) acknowledge(d *deployment, c *caller, o *operator) {
	switch f.after {
	case "job", "lasting job":
		d.waitFor("an accepted job", func() bool { return c.submit(f.after == "lasting job", 0) != nil })
	case "cancel":
		d.waitFor("a cancel", func() bool {
			j := c.submit(true, 0)
			if j == nil {
				return false
			}
			time.Sleep(time.Duration(f.rng.IntN(400)) * time.Millisecond)
			c.cancel(j)
			return !j.cancelled.IsZero()
		})
	case "two configurations":
		// The older one is on its way while the newer one is acknowledged.
		o.version += 2
		go d.replace(o.version-1, 1+f.rng.IntN(controls))
		d.waitFor("a configuration", func() bool { return d.replace(o.version, 1+f.rng.IntN(controls)) })
	default:
		o.version++
		d.waitFor("a configuration", func() bool { return d.replace(o.version, 1+f.rng.IntN(controls)) })
	}
	d.mu.Lock()
	// The fault is later than everything acknowledged.
	d.acked.settled = d.acked.version
	d.mu.Unlock()
}

// strike kills the processes at one moment, and starts them again after 1 to 6 s.
func (f fault) strike(d *deployment) {
	var names []string
	numbers := f.processes()
	for role, n := range numbers {
		for i := 1; i <= n; i++ {
			names = append(names, processName(role, i))
		}
	}
	if f.crash {
		in := d.instances[f.rng.IntN(len(d.instances))]
		d.notef("%s crashes", in.id)
		in.crash()
	}
	d.kill(names)
	down, together := time.Duration(1000+f.rng.IntN(5000))*time.Millisecond, f.rng.IntN(2) == 0
	var group sync.WaitGroup
	for _, role := range []string{"control", "entry"} {
		for i := 1; i <= numbers[role]; i++ {
			pause := down
			if !together {
				pause = time.Duration(1000+f.rng.IntN(5000)) * time.Millisecond
			}
			group.Go(func() {
				time.Sleep(pause)
				d.start(role, i, false)
			})
		}
	}
	group.Wait()
}

// lasting returns the items that last, of jobs accepted by then, and how many of them are not running.
func (d *deployment) lasting(then time.Time) (all, idle int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, j := range d.jobs {
		if !j.long || j.accepted.IsZero() || j.accepted.After(then) || !j.cancelSent.IsZero() {
			continue
		}
		for i := range j.items {
			all++
			if it := d.items[fmt.Sprintf("%s.0.0.%d", j.id, i)]; it == nil || it.on == "" {
				idle++
			}
		}
	}
	return all, idle
}

// awaitLasting waits until all lasting work that was accepted by then runs.
func (d *deployment) awaitLasting(then time.Time) {
	begin, answersSince, answers := time.Now(), time.Time{}, false
	for time.Since(begin) < 30*time.Second {
		all, idle := d.lasting(then)
		_, ok := d.readConfig(1 + int(time.Since(begin).Milliseconds())%diskControls)
		switch {
		case ok && idle == 0:
			d.notef("%d items that last run %s after the machines are back", all, time.Since(begin))
			return
		case ok && !answers:
			answersSince = time.Now()
		case ok && time.Since(answersSince) > lastingTime:
			d.breakf("%d of %d items that last are not running, though an owner answers for %s", idle, all, time.Since(answersSince))
			return
		}
		answers = ok
		time.Sleep(50 * time.Millisecond)
	}
	d.breakf("no owner answers for long enough in the %s after the machines are back", time.Since(begin))
}

// Guards against acknowledged configurations, jobs and cancels that are gone, and work
// that does not run again, when all processes with disks are killed at one moment right
// after an acknowledgement, alone or with the other processes. What a killed process has
// written stays with the kernel, so that the loss of data before a sync is not shown.
func TestAcknowledgedSurvivesKillOfAll(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		d := newDeployment(t)
		defer d.report()
		d.begins()
		f := newFault(seed)
		c, o := newCaller(d, seed, 1), &operator{d: d, version: 1}
		defer c.conn.close()
		for range 4 {
			d.waitFor("a lasting job", func() bool { return c.submit(true, 0) != nil })
		}
		stop := make(chan struct{})
		var group sync.WaitGroup
		for n := range uint64(entries) {
			group.Add(1)
			go newCaller(d, seed, n+2).run(stop, &group)
		}
		group.Add(1)
		go d.loop(stop, &group)
		d.awaitLasting(time.Now())
		for range 1 + f.rng.IntN(2) {
			time.Sleep(time.Duration(500+f.rng.IntN(2500)) * time.Millisecond)
			f.acknowledge(d, c, o)
			at := time.Now()
			d.notef("kill after %s", f.after)
			d.setUnplanned(true)
			f.strike(d)
			d.awaitLasting(at)
			d.waitFor("ready entries", d.entriesReady)
			d.setUnplanned(false)
			for _, j := range c.jobs {
				c.read(j)
			}
		}
		close(stop)
		group.Wait()
		d.check()
		d.checkProcesses()
	})
}
