package galenawave

import (
	"time"

	"github.com/galenahead/galenahead/galenastate"
)

// operator is the name under which the planner's commands are recorded.
const operator = "galena-control"

// Planner proposes the next steps of waves and moves. Its zero value is ready
// to use. It is not safe for concurrent use.
type Planner struct {
	survey survey
	mover  mover
	faults faults
}

// faults are defects that only tests set, to show that their checks find them.
type faults struct {
	ignoreHeadroom bool
	ignoreSpread   bool
	ignoreReports  bool
}

// Plan returns the commands to propose now, in this order. It is deterministic
// in the sequence of its arguments. Every command is fenced by a step number or
// an epoch, so that proposing one twice, or proposing an old one, has no
// second effect. A command that was refused is not proposed again blindly: the
// next call looks at the new view.
func (p *Planner) Plan(v *galenastate.View, m Measurements, now time.Time) []galenastate.Command {
	p.survey.take(v, m)
	var out []galenastate.Command
	for _, w := range v.Waves() {
		if w.State == galenastate.WaveRunning || w.InProgress > 0 {
			out = append(out, p.planWave(v, w, m, now)...)
		}
	}
	return append(out, p.mover.plan(v, &p.survey, m, now)...)
}

func command(now time.Time, c galenastate.Change) galenastate.Command {
	return galenastate.Command{Operator: operator, TimeMS: now.UnixMilli(), Change: c}
}
