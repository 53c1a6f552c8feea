package galenafleet

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
)

// Guards against a state that was stored and can't be read again.
func TestLargeStateIsReadAgain(t *testing.T) {
	is := is.New(t)
	const n = 140_000 // more elements than the decoder takes by default
	s := &State{}
	for first := 0; first < n; first += 1000 {
		var ops []Op
		for i := range 1000 {
			ops = append(ops, Op{Cancel: &CancelOp{Job: galenahead.JobID(fmt.Sprint("unknown-", first+i)), At: baseTime}})
			job := &galenajob.Job{ID: galenahead.JobID(fmt.Sprint("job-", first+i)), Queue: "q", Service: "counter", Accepted: baseTime, Spec: galenajob.Spec{Steps: []galenajob.Step{{Count: 1}}}}
			ops = append(ops, Op{Submit: job})
		}
		apply(t, s, ops...)
	}
	b, err := s.Snapshot()
	is.NoErr(err)
	var restored State
	is.NoErr(restored.Restore(b))
	is.Equal(len(restored.jobs), n)
	is.Equal(len(restored.cancelledUnknown), n)
}
