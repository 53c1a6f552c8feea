package galenajob

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
)

// rateAfter returns the rate that n jobs tell which came gap apart, the last one
// just now.
func rateAfter(n int, gap time.Duration, step Step) int64 {
	s := NewScheduler("s", 1, Params{})
	now := time.Unix(100, 0)
	for i := range n {
		id := galenahead.JobID(fmt.Sprint("j", i))
		s.AddJob(now.Add(time.Duration(i+1-n)*gap), &Job{ID: id, Spec: Spec{Steps: []Step{step}}}, 0, false)
	}
	return s.Usage(now).Rate
}

// Guards against peaks of a few large jobs that are noticed only once they wait,
// and against a job or two that draw machines as if they were a peak.
func TestRateOfArrivals(t *testing.T) {
	is := is.New(t)
	large := Step{Count: 8, Need: Resources{MilliCPU: 5000}, Estimate: 1300 * time.Millisecond}
	small := Step{Count: 2, Need: Resources{MilliCPU: 500}, Estimate: 400 * time.Millisecond}
	const work = 8 * 5000 * 1300 / 1000

	is.Equal(rateAfter(2, 100*time.Millisecond, large), int64(0)) // two large jobs are no peak
	is.Equal(rateAfter(3, 600*time.Millisecond, large), int64(0)) // nor are three within 1.2 s
	four := rateAfter(4, 125*time.Millisecond, large)
	is.True(four >= 6*work) // eight a second, of which four have come
	is.True(four <= 11*work)
	at := rateAfter(5, 0, large)
	is.True(at <= 13*work) // five at the same moment are not taken for more than a window's rate
	is.True(rateAfter(12, 30*time.Millisecond, small) > 0)
}
