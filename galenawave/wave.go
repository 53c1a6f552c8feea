package galenawave

import (
	"fmt"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenastate"
)

const (
	// stopFailureCount is the number of VM failures at which a wave stops.
	stopFailureCount = 2
	// stopBudgetShare is the remaining share of an error budget below which a wave
	// stops.
	stopBudgetShare = 0.25
	// parallelBudgetShare is the remaining share of an error budget below which a
	// wave takes no VM out of service while another one is.
	parallelBudgetShare = 0.5
	// budgetMargin is the extra headroom, as a share of the demand, that must
	// remain after a drain when an error budget is used up. It decreases linearly
	// to none for a full budget.
	budgetMargin = 0.2
	// answerTimeout is how long a VM may take to answer after its reboot.
	answerTimeout = 10 * time.Minute
)

// planWave returns the commands for the next steps of one wave.
func (p *Planner) planWave(v *galenastate.View, w galenastate.Wave, m Measurements, now time.Time) []galenastate.Command {
	wp := &wavePlan{wave: w, view: v, now: now, nextStep: w.NextStep, failures: w.Failures, unavailable: w.Unavailable(), faults: p.faults}
	for _, progress := range w.VMs() {
		if progress.InProgress() {
			wp.advanceVM(progress, m.VMs[progress.VM])
		}
	}
	if w.State != galenastate.WaveRunning {
		return wp.commands
	}
	pool := p.fleet.pool(w.Pool)
	if reason := wp.stopReason(pool); reason != "" {
		wp.propose(galenastate.StepStop, "", reason)
		return wp.commands
	}
	wp.drainNext(pool)
	return wp.commands
}

// wavePlan collects the steps that one call of Plan proposes for one wave.
type wavePlan struct {
	wave     galenastate.Wave
	view     *galenastate.View
	now      time.Time
	nextStep uint64
	failures int32
	// unavailable counts the VMs that were out of service before this plan and
	// those that it drains. VMs that it returns to service count until the next
	// plan.
	unavailable int32
	// newlyFailed lists the VMs that this plan reports as failed.
	newlyFailed []galenahead.VMName
	commands    []galenastate.Command
	faults      injectedFaults
}

// propose appends a step and returns it, so that details can be added to it.
func (wp *wavePlan) propose(action galenastate.StepAction, vm galenahead.VMName, reason string) *galenastate.WaveStep {
	step := &galenastate.WaveStep{
		Wave:   wp.wave.Name,
		Number: wp.nextStep,
		Action: action,
		VM:     vm,
		Reason: reason,
	}
	wp.commands = append(wp.commands, newCommand(wp.now, galenastate.Change{WaveStep: step}))
	wp.nextStep++
	return step
}

// advanceVM proposes the next step for a VM that is in progress.
func (wp *wavePlan) advanceVM(progress galenastate.WaveVM, r VMReport) {
	vm, ok := wp.view.VM(progress.VM)
	if !ok {
		return
	}
	if reason := wp.failureReason(vm, progress, r); reason != "" {
		wp.failures++
		wp.newlyFailed = append(wp.newlyFailed, vm.Name)
		wp.propose(galenastate.StepFail, vm.Name, reason)
		return
	}
	since := msTime(progress.TimeMS)
	switch progress.State {
	case galenastate.StepDraining:
		wp.advanceDraining(vm, r, since)
	case galenastate.StepRebooting:
		if r.AnsweringSince.After(since) {
			wp.propose(galenastate.StepRebooted, vm.Name, "")
		}
	case galenastate.StepSettling:
		if wp.settled(r, since) {
			wp.propose(galenastate.StepSettle, vm.Name, "")
		}
	}
}

// advanceDraining proposes to reboot a VM that is proved unused. If the wave was
// stopped or cancelled, it proposes to return the VM to service instead.
func (wp *wavePlan) advanceDraining(vm galenastate.VM, r VMReport, since time.Time) {
	if wp.wave.State == galenastate.WaveStopped || wp.wave.State == galenastate.WaveCancelled {
		wp.propose(galenastate.StepAbort, vm.Name, "the wave is "+wp.wave.State.String())
		return
	}
	if wp.faults.ignoreReports {
		r = VMReport{BrokerRevision: vm.Revision}
	} else if !r.provesUnused(&vm, since) {
		return
	}
	step := wp.propose(galenastate.StepReboot, vm.Name, "")
	step.SlotsOut = int32(r.SlotsOut)
	step.Tasks = int32(r.Tasks)
	step.BrokerRevision = r.BrokerRevision
}

// settled reports whether the VM answered for the settling time since it entered
// the state.
func (wp *wavePlan) settled(r VMReport, since time.Time) bool {
	if r.AnsweringSince.IsZero() {
		return false
	}
	if r.AnsweringSince.After(since) {
		since = r.AnsweringSince
	}
	return wp.now.Sub(since) >= time.Duration(wp.wave.SettleMS)*time.Millisecond
}

// failureReason returns why the VM failed in the wave, or "".
func (wp *wavePlan) failureReason(vm galenastate.VM, progress galenastate.WaveVM, r VMReport) string {
	if vm.Condition == galenastate.ConditionDown {
		return "the VM is down"
	}
	if r.Failure != "" {
		return r.Failure
	}
	waited := wp.now.Sub(msTime(progress.TimeMS))
	settle := time.Duration(wp.wave.SettleMS) * time.Millisecond
	if progress.State == galenastate.StepRebooting && waited > answerTimeout {
		return fmt.Sprintf("the VM did not answer within %v after its reboot", answerTimeout)
	}
	if progress.State == galenastate.StepSettling && waited > answerTimeout+settle {
		return fmt.Sprintf("the VM did not answer for %v without interruption", settle)
	}
	return ""
}

// stopReason returns why the wave must stop, or "".
func (wp *wavePlan) stopReason(pool *poolSummary) string {
	if wp.failures >= stopFailureCount {
		return fmt.Sprintf("%d VMs failed in the wave, the limit is %d: %v",
			wp.failures, stopFailureCount, append(wp.wave.Failed[:len(wp.wave.Failed):len(wp.wave.Failed)], wp.newlyFailed...))
	}
	for _, service := range pool.services {
		if service.measured && service.budget < stopBudgetShare {
			return fmt.Sprintf("service %s has %.0f%% of its budget left, the limit is %.0f%%",
				service.name, 100*service.budget, 100*stopBudgetShare)
		}
	}
	return ""
}

// drainNext drains further VMs as far as the wave's limit and the headroom allow,
// and finishes the wave when no VM is left.
func (wp *wavePlan) drainNext(pool *poolSummary) {
	if wp.unavailable >= wp.wave.MaxAtOnce && wp.wave.InProgress > 0 {
		return
	}
	h := newHeadroom(pool)
	h.faults = wp.faults
	pending := wp.pendingVMs(h.vms)
	for len(pending) > 0 && wp.unavailable < wp.wave.MaxAtOnce {
		i := h.chooseNext(pending)
		if i < 0 {
			return
		}
		h.markDrained(pending[i])
		wp.propose(galenastate.StepDrain, pending[i].vm.Name, h.describeDecision())
		pending = append(pending[:i], pending[i+1:]...)
		wp.unavailable++
	}
	if wp.wave.InProgress == 0 && len(pending) == 0 && wp.nextStep == wp.wave.NextStep && pool.incoming+pool.outgoing == 0 {
		wp.propose(galenastate.StepFinish, "", wp.skippedReason(pool))
	}
}

// pendingVMs returns the VMs in service that the wave has still to maintain.
func (wp *wavePlan) pendingVMs(vms []vmDomains) []vmDomains {
	var out []vmDomains
	for _, p := range vms {
		if !inService(p.vm) || p.vm.Wave != "" {
			continue
		}
		progress, started := wp.wave.VM(p.vm.Name)
		if !started || progress.State == galenastate.StepAborted {
			out = append(out, p)
		}
	}
	return out
}

// skippedReason describes the VMs that the wave did not maintain because they are
// not in service, or returns "".
func (wp *wavePlan) skippedReason(pool *poolSummary) string {
	var names []galenahead.VMName
	for _, vm := range pool.vms {
		if progress, started := wp.wave.VM(vm.Name); !started || progress.State != galenastate.StepDone {
			names = append(names, vm.Name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	const shown = 8
	return fmt.Sprintf("not maintained, since not in service: %d, among them %v", len(names), names[:min(len(names), shown)])
}
