package galenawave

import (
	"time"

	"github.com/galenahead/galenahead/galenastate"
)

// operatorName is the operator name in the planner's commands.
const operatorName = "galena-control"

// Planner proposes the next steps of maintenance waves and of moves between
// pools. The zero value is ready to use. A Planner is not safe for concurrent
// use.
type Planner struct {
	fleet  fleetSummary
	moves  movePlanner
	faults injectedFaults
}

// injectedFaults are defects that only tests enable, to prove that their checks
// detect them.
type injectedFaults struct {
	ignoreHeadroom bool
	ignoreSpread   bool
	ignoreReports  bool
}

// Plan returns the commands to propose now, in order. The same sequence of calls
// always yields the same commands. Every command is fenced by a step number or an
// epoch, so that a repeated or outdated proposal has no effect. After a rejection,
// the next call plans anew from the then current view.
func (p *Planner) Plan(v *galenastate.View, m Measurements, now time.Time) []galenastate.Command {
	p.fleet.update(v, m)
	var out []galenastate.Command
	for _, w := range v.Waves() {
		if w.State == galenastate.WaveRunning || w.InProgress > 0 {
			out = append(out, p.planWave(v, w, m, now)...)
		}
	}
	return append(out, p.moves.plan(v, &p.fleet, m, now)...)
}

func newCommand(now time.Time, c galenastate.Change) galenastate.Command {
	return galenastate.Command{Operator: operatorName, TimeMS: now.UnixMilli(), Change: c}
}
