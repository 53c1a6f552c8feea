package galenastate

import (
	"fmt"
	"slices"
)

const (
	// waveLimit is how many waves are kept; the oldest ended one makes room.
	waveLimit = 128
	// defaultSettleMS is the settling time of waves that leave it open, in
	// milliseconds.
	defaultSettleMS = 10_000
)

func (ch *change) waveStart(s *WaveStart) error {
	if err := ch.checkWaveStart(s); err != nil {
		return err
	}
	if err := ch.makeRoomForWave(); err != nil {
		return err
	}
	w := Wave{
		Name:      s.Name,
		Pool:      s.Pool,
		MaxAtOnce: s.MaxAtOnce,
		SettleMS:  s.SettleMS,
		Next:      ch.steps + 1,
		StartedMS: ch.command.TimeMS,
	}
	if w.MaxAtOnce == 0 {
		w.MaxAtOnce = ch.weights().MaxAtOnce()
	}
	if w.SettleMS == 0 {
		w.SettleMS = defaultSettleMS
	}
	ch.waves.put(ch.gen, w.Name, &w)
	return nil
}

func (ch *change) checkWaveStart(s *WaveStart) error {
	if err := checkName("name", s.Name); err != nil {
		return err
	}
	if err := checkRange("max_at_once", s.MaxAtOnce, 0, maxAtOnceLimit); err != nil {
		return err
	}
	if err := checkRange("settle_ms", s.SettleMS, 0, maxMS); err != nil {
		return err
	}
	if _, ok := ch.pools.get(s.Pool); !ok {
		return notFound("pool", s.Pool)
	}
	if _, ok := ch.waves.get(s.Name); ok {
		return invalid("name", s.Name, "a name that no wave has")
	}
	for w := range ch.waves.values() {
		if w.Pool == s.Pool && (w.Active() || w.Out > 0) {
			return invalid("pool", s.Pool, "a pool without an open wave; "+w.Name+" is "+w.State.String())
		}
	}
	return nil
}

// makeRoomForWave drops the ended wave that started first, if waves are at
// their limit.
func (ch *change) makeRoomForWave() error {
	if ch.waves.n < waveLimit {
		return nil
	}
	var oldest *Wave
	for w := range ch.waves.values() {
		if w.Active() || w.Out > 0 {
			continue
		}
		if oldest == nil || w.StartedMS < oldest.StartedMS {
			oldest = w
		}
	}
	if oldest == nil {
		return invalid("name", waveLimit, fmt.Sprintf("at most %d open waves", waveLimit))
	}
	ch.waves.del(ch.gen, oldest.Name)
	return nil
}

func (ch *change) waveControl(c *WaveControl) error {
	old, ok := ch.waves.get(c.Name)
	if !ok {
		return notFound("name", c.Name)
	}
	w := *old
	switch {
	case c.Action == WavePause && w.State == WaveRunning:
		w.State = WavePaused
		w.Reason = "paused by " + ch.command.Operator
	case c.Action == WaveResume && (w.State == WavePaused || w.State == WaveStopped):
		w.State = WaveRunning
		w.Reason = ""
		w.Failures = 0
	case c.Action == WaveCancel && w.Active():
		w.State = WaveCancelled
		w.Reason = "cancelled by " + ch.command.Operator
		w.EndedMS = ch.command.TimeMS
	default:
		return invalid("action", c.Action.String(), "pause while running, resume while paused or stopped, cancel while open; "+
			"wave "+w.Name+" is "+w.State.String())
	}
	ch.waves.put(ch.gen, w.Name, &w)
	return nil
}

// waveStep executes the step that has the wave's next number. The step before
// it is reported as repeated when its content is the same; any other number is
// refused.
func (ch *change) waveStep(s *WaveStep) error {
	old, ok := ch.waves.get(s.Wave)
	if !ok {
		return notFound("wave", s.Wave)
	}
	if err := checkText("reason", s.Reason); err != nil {
		return err
	}
	repeats := s.Number+1 == old.Next && old.Last == *s
	if repeats && !ch.faults.repeatStep {
		ch.repeated = true
		return nil
	}
	if s.Number != old.Next && !ch.faults.repeatStep {
		return fenced("number", s.Number, old.Next)
	}
	w := *old
	if err := ch.takeStep(&w, s); err != nil {
		return err
	}
	w.Last = *s
	w.Next = s.Number + 1
	ch.steps = max(ch.steps, s.Number)
	ch.waves.put(ch.gen, w.Name, &w)
	return nil
}

func (ch *change) takeStep(w *Wave, s *WaveStep) error {
	switch s.Action {
	case StepStop:
		return ch.stepStop(w, s)
	case StepFinish:
		return ch.stepFinish(w, s)
	}
	old, ok := ch.vms.get(s.VM)
	if !ok {
		return notFound("vm", s.VM)
	}
	vm := *old
	at, reached := w.VM(s.VM)
	if s.Action == StepDrain {
		return ch.stepDrain(w, s, vm, at, reached)
	}
	if !reached || !at.Open() || vm.Wave != w.Name {
		return invalid("vm", s.VM, "a VM that the wave has out")
	}
	switch s.Action {
	case StepReboot:
		return ch.stepReboot(w, s, vm, at)
	case StepBack:
		return ch.stepBack(w, s, vm, at)
	case StepSettle:
		return ch.stepSettle(w, s, vm, at)
	case StepFail:
		return ch.stepFail(w, s, vm)
	case StepAbort:
		return ch.stepAbort(w, s, vm, at)
	}
	return invalid("action", uint8(s.Action), "drain, reboot, back, settle, fail, abort, stop or finish")
}

// setStep stores the VM and its state in the wave.
func (ch *change) setStep(w *Wave, s *WaveStep, vm VM, state StepState) {
	w.steps.put(ch.gen, vm.Name, &WaveVM{VM: vm.Name, Number: s.Number, State: state, TimeMS: ch.command.TimeMS})
	ch.setVM(vm)
}

func (ch *change) stepDrain(w *Wave, s *WaveStep, vm VM, at WaveVM, reached bool) error {
	if w.State != WaveRunning {
		return invalid("wave.state", w.State.String(), "running")
	}
	if reached && at.State != StepAborted {
		return invalid("vm", s.VM, "a VM that the wave has not reached yet")
	}
	if vm.Pool != w.Pool || vm.Phase != PhaseOwned {
		return invalid("vm", s.VM, "a VM that pool "+string(w.Pool)+" owns")
	}
	if vm.Condition != ConditionUp || vm.Wave != "" {
		return invalid("condition", vm.Condition.String(), "up")
	}
	if out := w.AllOut(); out >= w.MaxAtOnce {
		return invalid("max_at_once", out+1, describeMax(int64(w.MaxAtOnce)))
	}
	vm.Wave = w.Name
	vm.Condition = ConditionDraining
	w.Out++
	ch.setStep(w, s, vm, StepDraining)
	return nil
}

// stepReboot needs the proof that nothing uses the VM. The new epoch lets the
// platform recognise a reboot that a new leader sends again.
func (ch *change) stepReboot(w *Wave, s *WaveStep, vm VM, at WaveVM) error {
	if at.State != StepDraining || vm.Condition != ConditionDraining {
		return invalid("condition", vm.Condition.String(), "draining")
	}
	if err := checkUnused(&vm, s.SlotsOut, s.Tasks, s.InForce); err != nil {
		return err
	}
	vm.Condition = ConditionRebooting
	vm.Epoch = ch.epoch()
	ch.setStep(w, s, vm, StepRebooting)
	return nil
}

func (ch *change) stepBack(w *Wave, s *WaveStep, vm VM, at WaveVM) error {
	if at.State != StepRebooting || vm.Condition != ConditionRebooting {
		return invalid("condition", vm.Condition.String(), "rebooting")
	}
	vm.Condition = ConditionSettling
	ch.setStep(w, s, vm, StepSettling)
	return nil
}

func (ch *change) stepSettle(w *Wave, s *WaveStep, vm VM, at WaveVM) error {
	if at.State != StepSettling || vm.Condition != ConditionSettling {
		return invalid("condition", vm.Condition.String(), "settling")
	}
	if waited := ch.command.TimeMS - at.TimeMS; waited < w.SettleMS {
		return invalid("settle_ms", waited, fmt.Sprintf("at least %d", w.SettleMS))
	}
	vm.Condition = ConditionUp
	vm.Wave = ""
	w.Out--
	ch.setStep(w, s, vm, StepDone)
	return nil
}

// stepFail leaves the VM with the wave until it is up again or removed.
func (ch *change) stepFail(w *Wave, s *WaveStep, vm VM) error {
	vm.Condition = ConditionDown
	w.Out--
	w.Failures++
	w.Failed = append(slices.Clone(w.Failed), vm.Name)
	ch.setStep(w, s, vm, StepFailed)
	return nil
}

// leaveWave ends a failed VM's part in its wave.
func (ch *change) leaveWave(vm *VM) {
	old, ok := ch.waves.get(vm.Wave)
	vm.Wave = ""
	if !ok {
		return
	}
	w := *old
	w.Failed = without(w.Failed, vm.Name)
	ch.waves.put(ch.gen, w.Name, &w)
}

// outOpen tells whether the VM is out in a wave and has not failed.
func (s *state) outOpen(vm *VM) bool {
	w, ok := s.waves.get(vm.Wave)
	if !ok {
		return false
	}
	at, reached := w.VM(vm.Name)
	return reached && at.Open()
}

func (ch *change) stepAbort(w *Wave, s *WaveStep, vm VM, at WaveVM) error {
	if at.State != StepDraining || vm.Condition != ConditionDraining {
		return invalid("condition", vm.Condition.String(), "draining")
	}
	vm.Condition = ConditionUp
	vm.Wave = ""
	w.Out--
	ch.setStep(w, s, vm, StepAborted)
	return nil
}

func (ch *change) stepStop(w *Wave, s *WaveStep) error {
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

func (ch *change) stepFinish(w *Wave, s *WaveStep) error {
	if w.State != WaveRunning {
		return invalid("wave.state", w.State.String(), "running")
	}
	if w.Out != 0 {
		return invalid("out", w.Out, "0")
	}
	w.State = WaveDone
	w.Reason = s.Reason
	w.EndedMS = ch.command.TimeMS
	return nil
}
