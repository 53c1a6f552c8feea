package galenawave

import (
	"fmt"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenastate"
)

const (
	// stopFailures is how many failures among a wave's VMs stop it.
	stopFailures = 2
	// stopBudget is the share of a budget below which a wave stops.
	stopBudget = 0.25
	// severalBudget is the share of a budget below which a wave takes out no
	// second VM.
	severalBudget = 0.5
	// budgetMargin is the extra headroom, as a share of the demand, that a VM
	// taken out must leave when a budget is used up; a full budget needs none.
	budgetMargin = 0.2
	// returnLimit is how long a VM may take to answer after its reboot.
	returnLimit = 10 * time.Minute
)

// planWave returns the next steps of one wave.
func (p *Planner) planWave(v *galenastate.View, w galenastate.Wave, m Measurements, now time.Time) []galenastate.Command {
	s := &waveSteps{wave: w, view: v, now: now, next: w.NextStep, failures: w.Failures, out: w.Unavailable(), faults: p.faults}
	for _, at := range w.VMs() {
		if at.InProgress() {
			s.advance(at, m.VMs[at.VM])
		}
	}
	if w.State != galenastate.WaveRunning {
		return s.commands
	}
	pool := p.survey.pool(w.Pool)
	if reason := s.stopReason(pool); reason != "" {
		s.step(galenastate.StepStop, "", reason)
		return s.commands
	}
	s.drainNext(pool)
	return s.commands
}

// waveSteps collects the steps that one plan proposes for one wave.
type waveSteps struct {
	wave     galenastate.Wave
	view     *galenastate.View
	now      time.Time
	next     uint64
	failures int32
	// out counts VMs out before this plan, and those that it takes out. VMs
	// that this plan returns make room in the next one.
	out      int32
	failed   []galenahead.VMName
	commands []galenastate.Command
	faults   faults
}

func (s *waveSteps) step(action galenastate.StepAction, vm galenahead.VMName, reason string) *galenastate.WaveStep {
	step := &galenastate.WaveStep{
		Wave:   s.wave.Name,
		Number: s.next,
		Action: action,
		VM:     vm,
		Reason: reason,
	}
	s.commands = append(s.commands, command(s.now, galenastate.Change{WaveStep: step}))
	s.next++
	return step
}

// advance proposes the next step of a VM that is out.
func (s *waveSteps) advance(at galenastate.WaveVM, r Report) {
	vm, ok := s.view.VM(at.VM)
	if !ok {
		return
	}
	if reason := s.failure(vm, at, r); reason != "" {
		s.failures++
		s.failed = append(s.failed, vm.Name)
		s.step(galenastate.StepFail, vm.Name, reason)
		return
	}
	since := msTime(at.TimeMS)
	switch at.State {
	case galenastate.StepDraining:
		s.advanceDraining(vm, r, since)
	case galenastate.StepRebooting:
		if r.AnsweringSince.After(since) {
			s.step(galenastate.StepRebooted, vm.Name, "")
		}
	case galenastate.StepSettling:
		if s.settled(r, since) {
			s.step(galenastate.StepSettle, vm.Name, "")
		}
	}
}

// advanceDraining reboots a VM that nothing uses. A wave that stopped returns
// the VM to service instead.
func (s *waveSteps) advanceDraining(vm galenastate.VM, r Report, since time.Time) {
	if s.wave.State == galenastate.WaveStopped || s.wave.State == galenastate.WaveCancelled {
		s.step(galenastate.StepAbort, vm.Name, "the wave is "+s.wave.State.String())
		return
	}
	if s.faults.ignoreReports {
		r = Report{InForce: vm.Revision}
	} else if !r.proves(&vm, since) {
		return
	}
	step := s.step(galenastate.StepReboot, vm.Name, "")
	step.SlotsOut = int32(r.SlotsOut)
	step.Tasks = int32(r.Tasks)
	step.InForce = r.InForce
}

func (s *waveSteps) settled(r Report, since time.Time) bool {
	if r.AnsweringSince.IsZero() {
		return false
	}
	if r.AnsweringSince.After(since) {
		since = r.AnsweringSince
	}
	return s.now.Sub(since) >= time.Duration(s.wave.SettleMS)*time.Millisecond
}

func (s *waveSteps) failure(vm galenastate.VM, at galenastate.WaveVM, r Report) string {
	if vm.Condition == galenastate.ConditionDown {
		return "the VM is down"
	}
	if r.Failure != "" {
		return r.Failure
	}
	waited := s.now.Sub(msTime(at.TimeMS))
	settle := time.Duration(s.wave.SettleMS) * time.Millisecond
	if at.State == galenastate.StepRebooting && waited > returnLimit {
		return fmt.Sprintf("the VM did not answer within %v after its reboot", returnLimit)
	}
	if at.State == galenastate.StepSettling && waited > returnLimit+settle {
		return fmt.Sprintf("the VM did not answer for %v without interruption", settle)
	}
	return ""
}

func (s *waveSteps) stopReason(pool *poolSurvey) string {
	if s.failures >= stopFailures {
		return fmt.Sprintf("%d VMs failed in the wave, the limit is %d: %v",
			s.failures, stopFailures, append(s.wave.Failed[:len(s.wave.Failed):len(s.wave.Failed)], s.failed...))
	}
	for _, service := range pool.services {
		if service.known && service.budget < stopBudget {
			return fmt.Sprintf("service %s has %.0f%% of its budget left, the limit is %.0f%%",
				service.name, 100*service.budget, 100*stopBudget)
		}
	}
	return ""
}

// drainNext takes out further VMs, as far as the limit and the headroom go,
// and ends the wave when no VM is left.
func (s *waveSteps) drainNext(pool *poolSurvey) {
	if s.out >= s.wave.MaxAtOnce && s.wave.InProgress > 0 {
		return
	}
	h := newHeadroom(pool)
	h.faults = s.faults
	pending := s.pending(h.vms)
	for len(pending) > 0 && s.out < s.wave.MaxAtOnce {
		i := h.choose(pending)
		if i < 0 {
			return
		}
		h.takeOut(pending[i])
		s.step(galenastate.StepDrain, pending[i].vm.Name, h.describe())
		pending = append(pending[:i], pending[i+1:]...)
		s.out++
	}
	if s.wave.InProgress == 0 && len(pending) == 0 && s.next == s.wave.NextStep && pool.in+pool.out == 0 {
		s.step(galenastate.StepFinish, "", s.skipped(pool))
	}
}

// pending returns the VMs in service that the wave has not maintained.
func (s *waveSteps) pending(vms []placedVM) []placedVM {
	var out []placedVM
	for _, p := range vms {
		if !inService(p.vm) || p.vm.Wave != "" {
			continue
		}
		at, reached := s.wave.VM(p.vm.Name)
		if !reached || at.State == galenastate.StepAborted {
			out = append(out, p)
		}
	}
	return out
}

// skipped tells which VMs the wave leaves out because they are not in service.
func (s *waveSteps) skipped(pool *poolSurvey) string {
	var names []galenahead.VMName
	for _, vm := range pool.vms {
		if at, reached := s.wave.VM(vm.Name); !reached || at.State != galenastate.StepDone {
			names = append(names, vm.Name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	const shown = 8
	return fmt.Sprintf("not maintained, since not in service: %d, among them %v", len(names), names[:min(len(names), shown)])
}
