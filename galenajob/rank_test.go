package galenajob

import (
	"testing"
	"time"
)

// planChecked plans and checks that what the plan keeps from earlier ones is what it would
// work out anew.
func planChecked(t *testing.T, s *Scheduler, now time.Time) []Action {
	t.Helper()
	actions := s.Plan(now, now)
	for id, j := range s.jobs {
		if e := j.estimate(); j.estimates.valid && e != j.estimates {
			t.Fatalf("job %s: estimates are %+v, should be %+v", id, j.estimates, e)
		}
	}
	return actions
}
