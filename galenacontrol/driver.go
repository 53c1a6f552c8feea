package galenacontrol

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenametric"
	"github.com/galenahead/galenahead/galenastate"
	"github.com/galenahead/galenahead/galenawave"
)

const (
	// stepPeriod is the time between two looks at the state. Urgent work has
	// 1.8 s from its submission to its start.
	stepPeriod = 200 * time.Millisecond
	// platformCalls bounds the calls to the platform at a time.
	platformCalls = 16
	// stateDrained is the platform's state of a VM that runs no more work.
	stateDrained = "drained"
)

// Driver carries waves, moves and jobs out while this replica leads. All it
// keeps in memory can be lost: every command is fenced by an epoch or a step
// number, and the platform's calls are idempotent by epoch.
type Driver struct {
	Store         *Store
	Reports       *Reports
	Platform      *Platform
	Timers        galenahead.Timers
	Log           *logrus.Logger
	Metrics       *galenametric.Metrics
	RenewInterval time.Duration
	// Weights holds the settings to begin with, by key.
	Weights map[string]float64

	planner *galenawave.Planner
	tracker *tracker
	jobs    *jobs
	workers map[galenahead.VMName]workerState
	// resuming holds VMs in service that the platform may still hold drained.
	resuming map[galenahead.VMName]bool
	waves    map[string]bool
}

// workerState is what the platform last said of one VM that is out or moving.
type workerState struct {
	epoch galenahead.Epoch
	// draining is set once a drain was asked for.
	draining bool
	// drained is set once the platform reported the VM as drained.
	drained bool
	// answering is when the VM's present run of answers began.
	answering time.Time
	failure   string
}

// Run takes a step on every tick and every change until ctx ends.
func (d *Driver) Run(ctx context.Context) error {
	ticks := d.Timers.Subscribe(ctx, "driver", stepPeriod)
	d.reset()
	for {
		changed := d.Store.Changed()
		d.step(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
		case <-changed:
		}
	}
}

// reset forgets what was learned in an earlier term.
func (d *Driver) reset() {
	d.planner = &galenawave.Planner{}
	d.tracker = newTracker()
	d.jobs = newJobs(d)
	d.workers = make(map[galenahead.VMName]workerState)
	d.resuming = make(map[galenahead.VMName]bool)
	d.waves = make(map[string]bool)
}

// step does nothing unless this replica leads.
func (d *Driver) step(ctx context.Context) {
	v, err := d.Store.Current(ctx)
	if err != nil {
		d.reset()
		return
	}
	d.setWeights(ctx, v)
	c := d.tracker.follow(v)
	d.command(ctx, c)
	d.resume(ctx, v)
	now := d.Timers.Now()
	for _, c := range d.planner.Plan(v, d.measure(v, now), now) {
		d.propose(ctx, now, c.Change)
	}
	d.observe(v, now)
	d.jobs.step(ctx, v, c)
}

// setWeights sets the weights that no operator has set yet.
func (d *Driver) setWeights(ctx context.Context, v *galenastate.View) {
	for key, value := range d.Weights {
		if _, ok := v.Setting(key); ok {
			continue
		}
		// A refusal means that an operator was faster; the next step sees it.
		_, _ = d.Store.Propose(ctx, galenastate.Command{
			RequestID: fmt.Sprintf("initial-%s-%d", key, v.Revision()), Base: v.Revision(), Operator: "galena-control", TimeMS: d.Timers.Now().UnixMilli(),
			Change: galenastate.Change{SettingSet: &galenastate.Setting{Key: key, Value: strconv.FormatFloat(value, 'g', -1, 64)}},
		})
		return
	}
}

// propose commits a planned change and logs it.
func (d *Driver) propose(ctx context.Context, now time.Time, ch galenastate.Change) {
	done, err := d.Store.drive(ctx, now, ch)
	line := d.Log.WithFields(logrus.Fields{"decision": ch.Kind(), "change": ch, "took_effect": done})
	if err != nil {
		line.WithField("error", err.Error()).Warn("change was not committed")
		return
	}
	line.Info("fleet decision")
	if done && ch.VMAcquired != nil {
		d.Metrics.Moves.Add(1)
	}
}

// measure joins the brokers' reports with the platform's.
func (d *Driver) measure(v *galenastate.View, now time.Time) galenawave.Measurements {
	return d.Reports.measurements(v, now, d.tracker.out, d.workers)
}

// leave forgets what the platform said of a VM that is in service again. One
// that was drained and not rebooted must be told so.
func (d *Driver) leave(vm *galenastate.VM) {
	if w, ok := d.workers[vm.Name]; ok && w.draining && w.epoch == vm.Epoch {
		d.resuming[vm.Name] = true
	}
	delete(d.workers, vm.Name)
}

// resume ends the drains of VMs that are in service.
func (d *Driver) resume(ctx context.Context, v *galenastate.View) {
	for name := range d.resuming {
		vm, ok := v.VM(name)
		if !ok || commanded(&vm) {
			delete(d.resuming, name)
			continue
		}
		if reply, err := d.Platform.Resume(ctx, name, vm.Epoch); err == nil && reply.GetState() == vmUp {
			delete(d.resuming, name)
		}
	}
}

// command calls the platform for every VM that is out or moving.
func (d *Driver) command(ctx context.Context, ch changes) {
	for _, vm := range ch.vms {
		if !commanded(vm) {
			d.leave(vm)
		}
	}
	for _, name := range ch.removedVMs {
		delete(d.workers, name)
	}
	var list []*vmCommand
	for _, vm := range d.tracker.out {
		if commanded(vm) {
			list = append(list, &vmCommand{driver: d, vm: *vm, state: d.workers[vm.Name]})
		}
	}
	g := &errgroup.Group{}
	g.SetLimit(platformCalls)
	for _, c := range list {
		g.Go(func() error { return c.run(ctx) })
	}
	// run reports its failures in the state.
	_ = g.Wait()
	for _, c := range list {
		d.workers[c.vm.Name] = c.state
	}
}

// commanded tells whether the VM's state asks for calls to the platform.
func commanded(vm *galenastate.VM) bool {
	return vm.Condition != galenastate.ConditionUp || vm.Phase == galenastate.PhaseAcquiring
}

// vmCommand is one call for one VM.
type vmCommand struct {
	driver *Driver
	vm     galenastate.VM
	state  workerState
}

// run calls what the VM's condition asks for and notes the platform's answer.
func (c *vmCommand) run(ctx context.Context) error {
	if c.state.epoch != c.vm.Epoch {
		c.state = workerState{epoch: c.vm.Epoch}
	}
	p := c.driver.Platform
	switch c.vm.Condition {
	case galenastate.ConditionDraining:
		c.state.draining = true
		reply, err := p.Drain(ctx, c.vm.Name, c.vm.Epoch)
		c.state.drained = err == nil && reply.GetState() == stateDrained
	case galenastate.ConditionRebooting:
		reply, err := p.Reboot(ctx, c.vm.Name, c.vm.Epoch)
		c.answered(err == nil && reply.GetState() == vmUp)
	case galenastate.ConditionUp, galenastate.ConditionSettling, galenastate.ConditionDown:
		_, err := p.Usage(ctx, c.vm.Name)
		c.answered(err == nil)
	}
	return nil
}

func (c *vmCommand) answered(ok bool) {
	if !ok {
		c.state.answering = time.Time{}
		return
	}
	if c.state.answering.IsZero() {
		c.state.answering = c.driver.Timers.Now()
	}
}

// observe updates the figures: roll-out time of ended waves and buffer cost.
func (d *Driver) observe(v *galenastate.View, now time.Time) {
	for _, w := range v.Waves() {
		ended := w.State == galenastate.WaveDone
		if ended && !d.waves[w.Name] && d.waves != nil {
			d.Metrics.Rollout.Record("wave", time.Duration(w.EndedMS-w.StartedMS)*time.Millisecond)
		}
		d.waves[w.Name] = ended
	}
	d.Metrics.BufferCost.Set(now, float64(d.tracker.idle))
}
