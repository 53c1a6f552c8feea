package galenastate

import (
	"fmt"
	"slices"
)

const (
	// waveLimit is how many waves are kept. A new wave evicts the oldest ended one.
	waveLimit = 128
	// defaultSettleMS is the settling time of waves that do not set one, in
	// milliseconds.
	defaultSettleMS = 10_000
)

func (tx *transaction) waveStart(s *WaveStart) error {
	if err := tx.checkWaveStart(s); err != nil {
		return err
	}
	if err := tx.evictEndedWave(); err != nil {
		return err
	}
	w := Wave{
		Name:      s.Name,
		Pool:      s.Pool,
		MaxAtOnce: s.MaxAtOnce,
		SettleMS:  s.SettleMS,
		NextStep:  tx.lastStep + 1,
		StartedMS: tx.command.TimeMS,
	}
	if w.MaxAtOnce == 0 {
		w.MaxAtOnce = tx.weights().MaxAtOnce()
	}
	if w.SettleMS == 0 {
		w.SettleMS = defaultSettleMS
	}
	tx.waves.put(tx.gen, w.Name, &w)
	return nil
}

func (tx *transaction) checkWaveStart(s *WaveStart) error {
	if err := checkName("name", s.Name); err != nil {
		return err
	}
	if err := checkRange("max_at_once", s.MaxAtOnce, 0, largestMaxAtOnce); err != nil {
		return err
	}
	if err := checkRange("settle_ms", s.SettleMS, 0, maxDurationMS); err != nil {
		return err
	}
	if _, ok := tx.pools.get(s.Pool); !ok {
		return notFound("pool", s.Pool)
	}
	if _, ok := tx.waves.get(s.Name); ok {
		return invalid("name", s.Name, "a name that no wave has")
	}
	for w := range tx.waves.values() {
		if w.Pool == s.Pool && (w.Active() || w.InProgress > 0) {
			return invalid("pool", s.Pool, "a pool without an open wave; "+w.Name+" is "+w.State.String())
		}
	}
	return nil
}

// evictEndedWave deletes the ended wave that started first if the number of waves
// is at its limit.
func (tx *transaction) evictEndedWave() error {
	if tx.waves.rowCount < waveLimit {
		return nil
	}
	var oldest *Wave
	for w := range tx.waves.values() {
		if w.Active() || w.InProgress > 0 {
			continue
		}
		if oldest == nil || w.StartedMS < oldest.StartedMS {
			oldest = w
		}
	}
	if oldest == nil {
		return invalid("name", waveLimit, fmt.Sprintf("at most %d open waves", waveLimit))
	}
	tx.waves.del(tx.gen, oldest.Name)
	return nil
}

func (tx *transaction) waveControl(c *WaveControl) error {
	old, ok := tx.waves.get(c.Name)
	if !ok {
		return notFound("name", c.Name)
	}
	w := *old
	switch {
	case c.Action == WavePause && w.State == WaveRunning:
		w.State = WavePaused
		w.Reason = "paused by " + tx.command.Operator
	case c.Action == WaveResume && (w.State == WavePaused || w.State == WaveStopped):
		w.State = WaveRunning
		w.Reason = ""
		w.Failures = 0
	case c.Action == WaveCancel && w.Active():
		w.State = WaveCancelled
		w.Reason = "cancelled by " + tx.command.Operator
		w.EndedMS = tx.command.TimeMS
	default:
		return invalid("action", c.Action.String(), "pause while running, resume while paused or stopped, cancel while open; "+
			"wave "+w.Name+" is "+w.State.String())
	}
	tx.waves.put(tx.gen, w.Name, &w)
	return nil
}

// waveStep executes the step that has the wave's next step number. A step equal to
// the last executed one is reported as repeated. Any other number is rejected.
func (tx *transaction) waveStep(s *WaveStep) error {
	old, ok := tx.waves.get(s.Wave)
	if !ok {
		return notFound("wave", s.Wave)
	}
	if err := checkText("reason", s.Reason); err != nil {
		return err
	}
	repeats := s.Number+1 == old.NextStep && old.LastStep == *s
	if repeats && !tx.faults.rerunSteps {
		tx.repeated = true
		return nil
	}
	if s.Number != old.NextStep && !tx.faults.rerunSteps {
		return fenced("number", s.Number, old.NextStep)
	}
	w := *old
	if err := tx.applyStep(&w, s); err != nil {
		return err
	}
	w.LastStep = *s
	w.NextStep = s.Number + 1
	tx.lastStep = max(tx.lastStep, s.Number)
	tx.waves.put(tx.gen, w.Name, &w)
	return nil
}

func (tx *transaction) applyStep(w *Wave, s *WaveStep) error {
	switch s.Action {
	case StepStop:
		return tx.stepStop(w, s)
	case StepFinish:
		return tx.stepFinish(w, s)
	}
	old, ok := tx.vms.get(s.VM)
	if !ok {
		return notFound("vm", s.VM)
	}
	vm := *old
	progress, started := w.VM(s.VM)
	if s.Action == StepDrain {
		return tx.stepDrain(w, s, vm, progress, started)
	}
	if !started || !progress.InProgress() || vm.Wave != w.Name {
		return invalid("vm", s.VM, "a VM that the wave has out")
	}
	switch s.Action {
	case StepReboot:
		return tx.stepReboot(w, s, vm, progress)
	case StepRebooted:
		return tx.stepRebooted(w, s, vm, progress)
	case StepSettle:
		return tx.stepSettle(w, s, vm, progress)
	case StepFail:
		return tx.stepFail(w, s, vm)
	case StepAbort:
		return tx.stepAbort(w, s, vm, progress)
	}
	return invalid("action", uint8(s.Action), "drain, reboot, back, settle, fail, abort, stop or finish")
}

// setStep stores the VM and its new state in the wave.
func (tx *transaction) setStep(w *Wave, s *WaveStep, vm VM, state StepState) {
	w.vms.put(tx.gen, vm.Name, &WaveVM{VM: vm.Name, Number: s.Number, State: state, TimeMS: tx.command.TimeMS})
	tx.setVM(vm)
}

func (tx *transaction) stepDrain(w *Wave, s *WaveStep, vm VM, progress WaveVM, started bool) error {
	if w.State != WaveRunning {
		return invalid("wave.state", w.State.String(), "running")
	}
	if started && progress.State != StepAborted {
		return invalid("vm", s.VM, "a VM that the wave has not reached yet")
	}
	if vm.Pool != w.Pool || vm.Phase != PhaseOwned {
		return invalid("vm", s.VM, "a VM that pool "+string(w.Pool)+" owns")
	}
	if vm.Condition != ConditionUp || vm.Wave != "" {
		return invalid("condition", vm.Condition.String(), "up")
	}
	if unavailable := w.Unavailable(); unavailable >= w.MaxAtOnce {
		return invalid("max_at_once", unavailable+1, describeMax(int64(w.MaxAtOnce)))
	}
	vm.Wave = w.Name
	vm.Condition = ConditionDraining
	w.InProgress++
	tx.setStep(w, s, vm, StepDraining)
	return nil
}

// stepReboot requires proof that the VM is unused. It assigns a new epoch, by
// which the platform recognises a reboot that a new leader requests again.
func (tx *transaction) stepReboot(w *Wave, s *WaveStep, vm VM, progress WaveVM) error {
	if progress.State != StepDraining || vm.Condition != ConditionDraining {
		return invalid("condition", vm.Condition.String(), "draining")
	}
	if err := checkUnused(&vm, s.SlotsOut, s.Tasks, s.BrokerRevision); err != nil {
		return err
	}
	vm.Condition = ConditionRebooting
	vm.Epoch = tx.nextEpoch()
	tx.setStep(w, s, vm, StepRebooting)
	return nil
}

func (tx *transaction) stepRebooted(w *Wave, s *WaveStep, vm VM, progress WaveVM) error {
	if progress.State != StepRebooting || vm.Condition != ConditionRebooting {
		return invalid("condition", vm.Condition.String(), "rebooting")
	}
	vm.Condition = ConditionSettling
	tx.setStep(w, s, vm, StepSettling)
	return nil
}

func (tx *transaction) stepSettle(w *Wave, s *WaveStep, vm VM, progress WaveVM) error {
	if progress.State != StepSettling || vm.Condition != ConditionSettling {
		return invalid("condition", vm.Condition.String(), "settling")
	}
	if waited := tx.command.TimeMS - progress.TimeMS; waited < w.SettleMS {
		return invalid("settle_ms", waited, fmt.Sprintf("at least %d", w.SettleMS))
	}
	vm.Condition = ConditionUp
	vm.Wave = ""
	w.InProgress--
	tx.setStep(w, s, vm, StepDone)
	return nil
}

// stepFail marks the VM as down. The VM stays assigned to the wave until it is up
// again or removed.
func (tx *transaction) stepFail(w *Wave, s *WaveStep, vm VM) error {
	vm.Condition = ConditionDown
	w.InProgress--
	w.Failures++
	w.Failed = append(slices.Clone(w.Failed), vm.Name)
	tx.setStep(w, s, vm, StepFailed)
	return nil
}

// removeFromWave takes a failed VM off its wave's list of failed VMs.
func (tx *transaction) removeFromWave(vm *VM) {
	old, ok := tx.waves.get(vm.Wave)
	vm.Wave = ""
	if !ok {
		return
	}
	w := *old
	w.Failed = without(w.Failed, vm.Name)
	tx.waves.put(tx.gen, w.Name, &w)
}

// inMaintenance reports whether a wave is draining or rebooting the VM or lets it
// settle.
func (s *state) inMaintenance(vm *VM) bool {
	w, ok := s.waves.get(vm.Wave)
	if !ok {
		return false
	}
	progress, started := w.VM(vm.Name)
	return started && progress.InProgress()
}

func (tx *transaction) stepAbort(w *Wave, s *WaveStep, vm VM, progress WaveVM) error {
	if progress.State != StepDraining || vm.Condition != ConditionDraining {
		return invalid("condition", vm.Condition.String(), "draining")
	}
	vm.Condition = ConditionUp
	vm.Wave = ""
	w.InProgress--
	tx.setStep(w, s, vm, StepAborted)
	return nil
}

func (tx *transaction) stepStop(w *Wave, s *WaveStep) error {
	if w.State != WaveRunning && w.State != WavePaused {
		return invalid("wave.state", w.State.String(), "running or paused")
	}
	if s.Reason == "" {
		return invalid("reason", s.Reason, "the reason of the stop")
	}
	w.State = WaveStopped
	w.Reason = s.Reason
	return nil
}

func (tx *transaction) stepFinish(w *Wave, s *WaveStep) error {
	if w.State != WaveRunning {
		return invalid("wave.state", w.State.String(), "running")
	}
	if w.InProgress != 0 {
		return invalid("out", w.InProgress, "0")
	}
	w.State = WaveDone
	w.Reason = s.Reason
	w.EndedMS = tx.command.TimeMS
	return nil
}
