package galenastate

import "github.com/rotisserie/eris"

// Phase is the ownership phase of a VM. The zero value is PhaseOwned.
type Phase uint8

// Phases of a VM, in the order in which a move passes through them.
const (
	PhaseOwned Phase = iota
	PhaseReleasing
	PhaseFree
	PhaseAcquiring
)

// Condition is whether a VM can take work, and if not, why. The zero value is
// ConditionUp.
type Condition uint8

// Conditions of a VM.
const (
	ConditionUp Condition = iota
	ConditionDraining
	ConditionRebooting
	ConditionSettling
	ConditionDown
)

// WaveState is the state of a maintenance wave.
type WaveState uint8

// States of a wave. WaveStopped is set by an automatic stop. An operator may
// resume a paused or stopped wave.
const (
	WaveRunning WaveState = iota
	WavePaused
	WaveStopped
	WaveCancelled
	WaveDone
)

// StepAction is the action of one wave step.
type StepAction uint8

// Actions of wave steps. StepStop and StepFinish apply to the whole wave, all
// others to one VM.
const (
	// StepDrain takes the VM out of service: it gets no new work.
	StepDrain StepAction = iota
	// StepReboot makes the platform reboot the drained VM.
	StepReboot
	// StepRebooted records that the VM answers again after its reboot.
	StepRebooted
	// StepSettle records that the VM answered throughout the settling time.
	StepSettle
	// StepFail records that the VM failed during the wave.
	StepFail
	// StepAbort returns a draining VM to service without a reboot.
	StepAbort
	// StepStop stops the wave with a reason.
	StepStop
	// StepFinish ends a wave that has no VM left to maintain.
	StepFinish
)

// StepState is the state of one VM in a wave.
type StepState uint8

// States of a VM in a wave.
const (
	StepDraining StepState = iota
	StepRebooting
	StepSettling
	StepDone
	StepFailed
	StepAborted
)

// JobState is the state of a job.
type JobState uint8

// States of a job. A cancelled job keeps its worker until its task ends. A
// parked job is no longer placed.
const (
	JobQueued JobState = iota
	JobPlaced
	JobRunning
	JobParked
	JobDone
	JobCancelled
)

// WaveAction is an operator's action on a wave.
type WaveAction uint8

// Operators' actions on a wave.
const (
	WavePause WaveAction = iota
	WaveResume
	WaveCancel
)

var (
	phaseNames      = []string{"owned", "releasing", "free", "acquiring"}
	conditionNames  = []string{"up", "draining", "rebooting", "settling", "down"}
	waveStateNames  = []string{"running", "paused", "stopped", "cancelled", "done"}
	stepActionNames = []string{"drain", "reboot", "back", "settle", "fail", "abort", "stop", "finish"}
	stepStateNames  = []string{"draining", "rebooting", "settling", "done", "failed", "aborted"}
	jobStateNames   = []string{"queued", "placed", "running", "parked", "done", "cancelled"}
	waveActionNames = []string{"pause", "resume", "cancel"}
)

func enumName[E ~uint8](names []string, e E) string {
	if int(e) < len(names) {
		return names[e]
	}
	return "unknown"
}

func enumParse[E ~uint8](names []string, e *E, text []byte) error {
	for i, name := range names {
		if name == string(text) {
			*e = E(i)
			return nil
		}
	}
	return eris.Errorf("found %q, allowed are %q", text, names)
}

// String returns the phase's name.
func (p Phase) String() string { return enumName(phaseNames, p) }

// MarshalText returns the phase's name.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText sets p from a name.
func (p *Phase) UnmarshalText(text []byte) error { return enumParse(phaseNames, p, text) }

// String returns the condition's name.
func (c Condition) String() string { return enumName(conditionNames, c) }

// MarshalText returns the condition's name.
func (c Condition) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText sets c from a name.
func (c *Condition) UnmarshalText(text []byte) error { return enumParse(conditionNames, c, text) }

// String returns the state's name.
func (s WaveState) String() string { return enumName(waveStateNames, s) }

// MarshalText returns the state's name.
func (s WaveState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText sets s from a name.
func (s *WaveState) UnmarshalText(text []byte) error { return enumParse(waveStateNames, s, text) }

// String returns the action's name.
func (a StepAction) String() string { return enumName(stepActionNames, a) }

// MarshalText returns the action's name.
func (a StepAction) MarshalText() ([]byte, error) { return []byte(a.String()), nil }

// UnmarshalText sets a from a name.
func (a *StepAction) UnmarshalText(text []byte) error { return enumParse(stepActionNames, a, text) }

// String returns the state's name.
func (s StepState) String() string { return enumName(stepStateNames, s) }

// MarshalText returns the state's name.
func (s StepState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText sets s from a name.
func (s *StepState) UnmarshalText(text []byte) error { return enumParse(stepStateNames, s, text) }

// String returns the state's name.
func (s JobState) String() string { return enumName(jobStateNames, s) }

// MarshalText returns the state's name.
func (s JobState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText sets s from a name.
func (s *JobState) UnmarshalText(text []byte) error { return enumParse(jobStateNames, s, text) }

// String returns the action's name.
func (a WaveAction) String() string { return enumName(waveActionNames, a) }

// MarshalText returns the action's name.
func (a WaveAction) MarshalText() ([]byte, error) { return []byte(a.String()), nil }

// UnmarshalText sets a from a name.
func (a *WaveAction) UnmarshalText(text []byte) error { return enumParse(waveActionNames, a, text) }
