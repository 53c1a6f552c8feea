package galenajob

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// pacedInstance is an instance with a serving and a best-effort work item.
type pacedInstance struct {
	s    *Scheduler
	now  time.Time
	runs []Run
	// percent is the pace of the best-effort work item.
	percent int
	// late holds commands that have no response, and when they are executed.
	late map[time.Time]int
	// drop reports whether a command gets no response, and when it is executed; zero
	// means never.
	drop func(a Action) (dropped bool, after time.Duration)
	// sent counts the pace commands.
	sent int
}

func newPacedInstance() *pacedInstance {
	p := &pacedInstance{s: newFencedScheduler("a"), now: t0, percent: 100, late: map[time.Time]int{}}
	p.drop = func(Action) (bool, time.Duration) { return false, 0 }
	j := testJob("j", 1)
	j.Spec.Steps[0].LongRunning, j.Spec.Steps[0].TargetLatency = true, 100*time.Millisecond
	j.Spec.Steps = append(j.Spec.Steps, Step{Count: 1, Need: Resources{MilliCPU: 1000}, LongRunning: true, Filling: true})
	p.s.AddJob(t0, j, 0, false)
	for _, a := range starts(p.s.Plan(t0, t0)) {
		p.s.HandleOutcome(t0, a, OutcomeDone, 1000, t0)
		p.runs = append(p.runs, Run{Item: a.Item, Number: a.Run, Percent: 100})
	}
	return p
}

// run polls the instance every 100 ms for d, with the given tail latency of the serving
// work item, and executes pace commands.
func (p *pacedInstance) run(d time.Duration, latency int64) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.now = p.now.Add(100 * time.Millisecond)
		for at, percent := range p.late {
			if !p.now.Before(at) {
				p.percent = percent
				delete(p.late, at)
			}
		}
		for i := range p.runs {
			if p.runs[i].Item.Item.Step == 0 {
				p.runs[i].Usage = latency
			}
		}
		req, _ := p.s.NextPoll(p.now, "a")
		clock := 1000 + p.now.Sub(t0).Milliseconds()
		p.s.HandlePoll(p.now, "a", PollResponse{Fence: req.Fence, Clock: clock, Born: 1, Sent: p.now, Runs: p.runs})
		for _, a := range p.s.Plan(p.now, t0) {
			if a.Kind == ActPace {
				p.handle(a)
			}
		}
	}
}

func (p *pacedInstance) handle(a Action) {
	p.sent++
	dropped, after := p.drop(a)
	if !dropped {
		p.percent = a.Percent
		p.s.HandlePaceOutcome(a, OutcomeDone, p.now)
		return
	}
	if after > 0 {
		p.late[p.now.Add(after)] = a.Percent
	}
	p.s.HandlePaceOutcome(a, OutcomeUnknown, p.now)
}

// Guards against best-effort work that keeps the tail latency of a serving work item over
// its target, because the instance has not executed a pace command without a response.
func TestUnansweredPaceIsRepeated(t *testing.T) {
	is := is.New(t)
	p := newPacedInstance()
	p.drop = func(Action) (bool, time.Duration) { return p.sent <= 3, 0 }
	p.run(2*time.Second, 150)
	is.Equal(p.percent, 0)
}

// Guards against a pace that stays wrong because the instance has executed a command
// without a response after newer ones: best-effort work that stays slow for ever, or that
// keeps the tail latency beside it over its target.
func TestPaceIsRestoredAfterLateCommand(t *testing.T) {
	is := is.New(t)
	p := newPacedInstance()
	p.drop = func(Action) (bool, time.Duration) { return p.sent == 1, 12 * time.Second }
	p.run(2*time.Second, 150)
	is.Equal(p.percent, 0)
	p.run(5*time.Second, 40) // work beside it needs less
	is.Equal(p.percent, 100)
	p.run(7*time.Second, 40)
	is.Equal(len(p.late), 0) // the late command has paced it down
	is.Equal(p.percent, 100)

	before := p.sent
	p.run(20*time.Second, 40)
	sent := p.sent - before
	p.run(20*time.Second, 40)
	is.Equal(p.sent, before+sent) // nothing is repeated for ever
}

// Guards against best-effort work that stays slow for ever because an earlier owner has
// paced it down, and the present one takes its pace to be that of a new run.
func TestPaceOfAdoptedRunIsSet(t *testing.T) {
	is := is.New(t)
	p := newPacedInstance()
	p.run(2*time.Second, 150)
	is.Equal(p.percent, 0)

	j := testJob("j", 1)
	j.Spec.Steps = p.s.jobs["j"].Spec.Steps
	p.s = NewScheduler("counter", 2, testParams(), &Fences{})
	p.s.SetQueue(Queue{Name: "q", Service: "counter", MaxAttempts: 2})
	p.s.AddInheritedInstance(p.now, testInstance("a"), p.now.Add(time.Minute))
	p.s.AddJob(p.now, j, time.Second, true)
	p.run(3*time.Second, 40)
	is.Equal(p.percent, 100)
	is.True(p.sent < 10)
}
