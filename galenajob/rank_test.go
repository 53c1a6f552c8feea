package galenajob

import (
	"slices"
	"testing"
	"time"
)

// planChecked plans and checks that what the plan keeps from earlier ones is what it would
// work out anew.
func planChecked(t *testing.T, s *Scheduler, now time.Time) []Action {
	t.Helper()
	actions := s.Plan(now, now)
	var anew []*job
	for id, j := range s.jobs {
		anew = append(anew, j)
		if k := j.rank(now); k != j.key {
			t.Fatalf("job %s: rank is %+v, should be %+v", id, j.key, k)
		}
		if e := j.estimate(); j.estimates.valid && e != j.estimates {
			t.Fatalf("job %s: estimates are %+v, should be %+v", id, j.estimates, e)
		}
	}
	slices.SortFunc(anew, compareJobs)
	if !slices.Equal(anew, s.order.sorted) {
		t.Fatal("the jobs are not in scheduling order, or not all of them are in it")
	}
	return actions
}
