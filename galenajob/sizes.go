package galenajob

import "time"

// Sizes is how much a Scheduler has to plan.
type Sizes struct {
	// Waiting and Active are the jobs that have not started and that have.
	Waiting, Active int
	Instances       int
	// Runs is the number of runs on instances, from the start command to the end.
	Runs int
	// OverBudget is the number of long-running steps of which more work items do not
	// serve than the scheduler may stop at a time.
	OverBudget int
}

// Add adds the sizes of another Scheduler.
func (s *Sizes) Add(o Sizes) {
	s.Waiting += o.Waiting
	s.Active += o.Active
	s.Instances += o.Instances
	s.Runs += o.Runs
	s.OverBudget += o.OverBudget
}

// Sizes returns the sizes at a time.
func (s *Scheduler) Sizes(now time.Time) Sizes {
	z := Sizes{Instances: len(s.instances)}
	for _, j := range s.jobs {
		if j.started {
			z.Active++
		} else {
			z.Waiting++
		}
		z.OverBudget += j.stepsOverBudget(now)
	}
	for _, inst := range s.instances {
		z.Runs += len(inst.items)
	}
	return z
}
