package galenafleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead/galenajob"
)

// Guards against a job that runs although its caller has cancelled it, because a copy of its
// submission waited at a suspended entry until after the cancellation, also if the owner has
// changed or all processes have restarted in between.
func TestLateSubmissionOfCancelledJobIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		ctx, stop := startOwner(t, o, testConfig)
		r, err := o.Do(ctx, Request{Kind: RequestCancel, Host: "h", Path: "/q/j"})
		is.NoErr(err)
		is.Equal(r.Outcome, OutcomeNoJob)
		stop()

		b, err := o.State.Snapshot()
		is.NoErr(err)
		restarted := &State{Timers: o.State.Timers}
		is.NoErr(restarted.Restore(b))
		next, _ := testOwner()
		next.State = restarted
		next.Log.(*fakeLog).state = restarted
		ctx, stop = startOwner(t, next, testConfig)
		defer stop()
		submit := Request{Kind: RequestSubmit, Host: "h", Path: "/q/j", Spec: &galenajob.Spec{Steps: []galenajob.Step{{Count: 1}}}}
		for range 2 {
			r, err = next.Do(ctx, submit)
			is.NoErr(err)
			is.Equal(r.Outcome, OutcomeRejected)
			r, err = next.Do(ctx, Request{Kind: RequestState, Host: "h", Path: "/q/j"})
			is.NoErr(err)
			is.Equal(r.Outcome, OutcomeNoJob)
		}
	})
}

// Guards against records of cancelled jobs that nobody submits and that are kept for ever,
// and against a submission that is accepted although the log has a cancellation before it.
func TestCancelledUnknownJobs(t *testing.T) {
	is := is.New(t)
	s := &State{}
	at := time.Unix(1000, 0)
	job := func() *galenajob.Job {
		return &galenajob.Job{ID: "j", Spec: galenajob.Spec{Steps: []galenajob.Step{{Count: 1}}}}
	}
	is.Equal(apply(t, s, Op{Cancel: &CancelOp{Job: "j", At: at}})[0].Code, CodeNotFound)
	is.Equal(apply(t, s, Op{Submit: job()})[0].Code, CodeCancelled)
	cutoff := at
	apply(t, s, Op{Expire: &cutoff})
	is.Equal(apply(t, s, Op{Submit: job()})[0].Code, CodeCancelled)
	cutoff = at.Add(time.Second)
	apply(t, s, Op{Expire: &cutoff})
	is.Equal(apply(t, s, Op{Submit: job()})[0].Code, CodeDone)
}
