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
	// reconcileInterval is the longest time between two reconciliations. Urgent
	// jobs must start within 1.8 s of their submission.
	reconcileInterval = 200 * time.Millisecond
	// maxPlatformCalls bounds the concurrent calls to the platform.
	maxPlatformCalls = 16
	// vmDrained is the platform's state of a drained VM, which runs no tasks.
	vmDrained = "drained"
)

// Driver executes waves, moves and jobs while this replica leads. In each
// reconciliation it compares the control state with reports and proposes the next
// changes. Its in-memory state can be lost at any time, because every command is
// fenced by an epoch or a step number and platform calls are idempotent by epoch.
type Driver struct {
	Store         *Store
	Reports       *ReportCollector
	Platform      *PlatformClient
	Timers        galenahead.Timers
	Log           *logrus.Logger
	Metrics       *galenametric.Metrics
	RenewInterval time.Duration
	// InitialSettings maps keys of settings to the values that the leader sets if
	// the settings do not exist.
	InitialSettings map[string]float64

	planner      *galenawave.Planner
	tracker      *tracker
	scheduler    *jobScheduler
	workerStates map[galenahead.VMName]workerState
	// pendingResumes contains the VMs in service that may still be drained at the
	// platform.
	pendingResumes map[galenahead.VMName]bool
	// doneWaves records for each wave whether it was done at the last
	// reconciliation.
	doneWaves map[string]bool
}

// workerState is the state of one VM that is out of service or moving, as the
// platform last reported it.
type workerState struct {
	epoch galenahead.Epoch
	// draining is set once the platform was called to drain the VM.
	draining bool
	// drained is set once the platform reported the VM as drained.
	drained bool
	// answeringSince is the time of the first of the VM's successful calls since
	// the last failed one. It is zero after a failed call.
	answeringSince time.Time
	failure        string
}

// Run reconciles on every tick and every change of the state until ctx ends.
func (d *Driver) Run(ctx context.Context) error {
	ticks := d.Timers.Subscribe(ctx, "driver", reconcileInterval)
	d.reset()
	for {
		changed := d.Store.Changed()
		d.reconcile(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
		case <-changed:
		}
	}
}

// reset discards the in-memory state of an earlier leadership.
func (d *Driver) reset() {
	d.planner = &galenawave.Planner{}
	d.tracker = newTracker()
	d.scheduler = newJobScheduler(d)
	d.workerStates = make(map[galenahead.VMName]workerState)
	d.pendingResumes = make(map[galenahead.VMName]bool)
	d.doneWaves = make(map[string]bool)
}

// reconcile proposes changes and calls the platform as the control state requires.
// It does nothing unless this replica leads.
func (d *Driver) reconcile(ctx context.Context) {
	v, err := d.Store.Current(ctx)
	if err != nil {
		d.reset()
		return
	}
	d.setInitialSettings(ctx, v)
	c := d.tracker.update(v)
	d.callPlatform(ctx, c)
	d.resumeVMs(ctx, v)
	now := d.Timers.Now()
	for _, c := range d.planner.Plan(v, d.measurements(v, now), now) {
		d.propose(ctx, now, c.Change)
	}
	d.updateMetrics(v, now)
	d.scheduler.reconcile(ctx, v, c)
}

// setInitialSettings proposes one initial setting that has no value. Each
// proposal needs a new base revision, so the next reconciliation proposes the
// next one.
func (d *Driver) setInitialSettings(ctx context.Context, v *galenastate.View) {
	for key, value := range d.InitialSettings {
		if _, ok := v.Setting(key); ok {
			continue
		}
		// The command is rejected if an operator's change was committed first. The
		// next reconciliation then uses the new state.
		_, _ = d.Store.Propose(ctx, galenastate.Command{
			RequestID: fmt.Sprintf("initial-%s-%d", key, v.Revision()), BaseRevision: v.Revision(), Operator: "galena-control", TimeMS: d.Timers.Now().UnixMilli(),
			Change: galenastate.Change{SettingSet: &galenastate.Setting{Key: key, Value: strconv.FormatFloat(value, 'g', -1, 64)}},
		})
		return
	}
}

// propose proposes a planned change and logs the result.
func (d *Driver) propose(ctx context.Context, now time.Time, ch galenastate.Change) {
	tookEffect, err := d.Store.proposeDriverChange(ctx, now, ch)
	logEntry := d.Log.WithFields(logrus.Fields{"decision": ch.Kind(), "change": ch, "took_effect": tookEffect})
	if err != nil {
		logEntry.WithField("error", err.Error()).Warn("change was not committed")
		return
	}
	logEntry.Info("fleet decision")
	if tookEffect && ch.VMAcquired != nil {
		d.Metrics.Moves.Add(1)
	}
}

// measurements combines the reports of the brokers and of the platform.
func (d *Driver) measurements(v *galenastate.View, now time.Time) galenawave.Measurements {
	return d.Reports.measurements(v, now, d.tracker.outOfService, d.workerStates)
}

// returnToService deletes the platform state of a VM that is in service again. A
// VM that was drained and not rebooted must be resumed at the platform.
func (d *Driver) returnToService(vm *galenastate.VM) {
	if w, ok := d.workerStates[vm.Name]; ok && w.draining && w.epoch == vm.Epoch {
		d.pendingResumes[vm.Name] = true
	}
	delete(d.workerStates, vm.Name)
}

// resumeVMs resumes the VMs of pendingResumes at the platform.
func (d *Driver) resumeVMs(ctx context.Context, v *galenastate.View) {
	for name := range d.pendingResumes {
		vm, ok := v.VM(name)
		if !ok || needsPlatformCall(&vm) {
			delete(d.pendingResumes, name)
			continue
		}
		if reply, err := d.Platform.Resume(ctx, name, vm.Epoch); err == nil && reply.GetState() == vmUp {
			delete(d.pendingResumes, name)
		}
	}
}

// callPlatform makes the due calls for VMs that are out of service or moving.
func (d *Driver) callPlatform(ctx context.Context, changed changes) {
	for _, vm := range changed.vms {
		if !needsPlatformCall(vm) {
			d.returnToService(vm)
		}
	}
	for _, name := range changed.removedVMs {
		delete(d.workerStates, name)
	}
	var calls []*vmCall
	for _, vm := range d.tracker.outOfService {
		if needsPlatformCall(vm) {
			calls = append(calls, &vmCall{driver: d, vm: *vm, state: d.workerStates[vm.Name]})
		}
	}
	g := &errgroup.Group{}
	g.SetLimit(maxPlatformCalls)
	for _, c := range calls {
		g.Go(func() error { return c.run(ctx) })
	}
	// run stores failures in the state and returns no error.
	_ = g.Wait()
	for _, c := range calls {
		d.workerStates[c.vm.Name] = c.state
	}
}

// needsPlatformCall reports whether the VM's state requires calls to the
// platform.
func needsPlatformCall(vm *galenastate.VM) bool {
	return vm.Condition != galenastate.ConditionUp || vm.Phase == galenastate.PhaseAcquiring
}

// vmCall is one platform call for one VM.
type vmCall struct {
	driver *Driver
	vm     galenastate.VM
	state  workerState
}

// run makes the call that the VM's condition requires and stores the result in
// state.
func (c *vmCall) run(ctx context.Context) error {
	if c.state.epoch != c.vm.Epoch {
		c.state = workerState{epoch: c.vm.Epoch}
	}
	p := c.driver.Platform
	switch c.vm.Condition {
	case galenastate.ConditionDraining:
		c.state.draining = true
		reply, err := p.Drain(ctx, c.vm.Name, c.vm.Epoch)
		c.state.drained = err == nil && reply.GetState() == vmDrained
	case galenastate.ConditionRebooting:
		reply, err := p.Reboot(ctx, c.vm.Name, c.vm.Epoch)
		c.recordAnswer(err == nil && reply.GetState() == vmUp)
	case galenastate.ConditionUp, galenastate.ConditionSettling, galenastate.ConditionDown:
		_, err := p.Usage(ctx, c.vm.Name)
		c.recordAnswer(err == nil)
	}
	return nil
}

func (c *vmCall) recordAnswer(ok bool) {
	if !ok {
		c.state.answeringSince = time.Time{}
		return
	}
	if c.state.answeringSince.IsZero() {
		c.state.answeringSince = c.driver.Timers.Now()
	}
}

// updateMetrics records the rollout times of waves that are done and sets the
// buffer cost, which is the number of VMs held in reserve.
func (d *Driver) updateMetrics(v *galenastate.View, now time.Time) {
	for _, w := range v.Waves() {
		done := w.State == galenastate.WaveDone
		if done && !d.doneWaves[w.Name] && d.doneWaves != nil {
			d.Metrics.Rollout.Record("wave", time.Duration(w.EndedMS-w.StartedMS)*time.Millisecond)
		}
		d.doneWaves[w.Name] = done
	}
	d.Metrics.BufferCost.Set(now, float64(d.tracker.reserveCount))
}
