package galenafleet

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenagate"
	"github.com/galenahead/galenahead/galenajob"
	"github.com/galenahead/galenahead/galenametric"
	"github.com/galenahead/galenahead/galenarpc"
	"github.com/galenahead/galenahead/galenatimer"
)

// rpcClientFunc is a galenahead.RPCClient that answers RPCs between daemons.
type rpcClientFunc func(ctx context.Context, method string, result any) error

func (f rpcClientFunc) Call(ctx context.Context, _, method string, _, result any) error {
	return f(ctx, method, result)
}

func testOwnerClient(f rpcClientFunc) *OwnerClient {
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := &Directory{RPCClient: f, Timers: &galenatimer.Service{}, Logger: log}
	d.SetSeeds([]string{"a:1"})
	return &OwnerClient{Directory: d, RPCClient: f, Logger: log, Metrics: &galenametric.Metrics{}}
}

// doRequest sends one request with a timeout of a second while the directory runs.
func doRequest(client *OwnerClient, kind RequestKind) Reply {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = client.Directory.Run(ctx) }()
	requestCtx, cancelRequest := context.WithTimeout(ctx, time.Second)
	defer cancelRequest()
	return client.Do(requestCtx, Request{Kind: kind})
}

func answerLeaderInfo(result any) error {
	*result.(*LeaderInfo) = LeaderInfo{Leader: "a:1", Term: 1}
	return nil
}

// Guards against the outcome uncertain for a request that was never sent; callers
// must not send such a request again.
func TestUnreachableOwnerReturnsUnready(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := doRequest(testOwnerClient(func(_ context.Context, method string, result any) error {
			if method == MethodLeaderInfo {
				return answerLeaderInfo(result)
			}
			return eris.Wrap(galenahead.ErrUnreachable, "refused")
		}), RequestSubmit)
		is.New(t).Equal(r.Outcome, OutcomeUnready)
		is.New(t).True(r.RetryAfter > 0)
	})
}

// Guards against the outcome unready for a job that may have been accepted.
func TestSubmitWithoutResponseIsUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hang := func(ctx context.Context, method string, result any) error {
			if method == MethodLeaderInfo {
				return answerLeaderInfo(result)
			}
			<-ctx.Done()
			return ctx.Err()
		}
		is := is.New(t)
		is.Equal(doRequest(testOwnerClient(hang), RequestSubmit).Outcome, OutcomeUncertain)
		is.Equal(doRequest(testOwnerClient(hang), RequestState).Outcome, OutcomeUnready)
	})
}

// refusals are the replies by which the owner tells that a request was not carried out.
var refusals = []Reply{
	overloadReply(time.Second), unreadyReply("no configuration yet"),
	{Outcome: OutcomeNoQueue}, {Outcome: OutcomeInvalid},
}

// ownerThatAnswersLate leaves the first attempt of a request without an answer, and answers
// the next one with reply.
func ownerThatAnswersLate(reply Reply) rpcClientFunc {
	calls := 0
	return func(ctx context.Context, method string, result any) error {
		if method == MethodLeaderInfo {
			return answerLeaderInfo(result)
		}
		if method == MethodAlive {
			return nil
		}
		if calls++; calls == 1 {
			<-ctx.Done()
			return ctx.Err()
		}
		*result.(*Reply) = reply
		return nil
	}
}

// Guards against telling a caller that its job never runs, because the owner refused a
// repeat, while an earlier attempt without an answer may still be carried out.
func TestRefusedRepeatOfUnansweredRequestIsUncertain(t *testing.T) {
	for _, kind := range []RequestKind{RequestSubmit, RequestCancel} {
		for _, refusal := range refusals {
			t.Run(string(kind)+" "+string(refusal.Outcome), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					start := time.Now()
					client := testOwnerClient(ownerThatAnswersLate(refusal))
					r := doRequest(client, kind)
					is.Equal(r.Outcome, OutcomeUncertain)
					is.Equal(r.RetryAfter, refusal.RetryAfter)
					is.True(time.Since(start) < attemptTimeout+searchInterval+2*attemptPause) // answered at once
					is.Equal(client.Metrics.Snapshot().Counters["answer_"+string(OutcomeUncertain)], int64(1))
				})
			})
		}
	}
}

// Guards against uncertain answers where the owner's answer holds whatever became of the
// attempts before it, and where nothing was sent before it.
func TestCertainAnswersStayCertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for _, refusal := range append(refusals, Reply{Outcome: OutcomeNoJob}) {
			neverSent := testOwnerClient(func(_ context.Context, method string, result any) error {
				if method == MethodLeaderInfo {
					return answerLeaderInfo(result)
				}
				*result.(*Reply) = refusal
				return nil
			})
			is.Equal(doRequest(neverSent, RequestSubmit), refusal)
			is.Equal(doRequest(testOwnerClient(ownerThatAnswersLate(refusal)), RequestState), refusal)
		}
		// A cancellation deletes no job.
		is.Equal(doRequest(testOwnerClient(ownerThatAnswersLate(Reply{Outcome: OutcomeNoJob})), RequestCancel).Outcome, OutcomeNoJob)
	})
}

// Guards against giving up a request after an attempt without a response, although
// a retry would be answered.
func TestRetriesWhenOwnerDoesNotRespond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := doRequest(testOwnerClient(ownerThatAnswersLate(Reply{Outcome: OutcomeAccepted})), RequestSubmit)
		is.New(t).Equal(r.Outcome, OutcomeAccepted)
	})
}

// Guards against daemons that search for the leader all the time while it answers late,
// and so delay it further, and against waiting for an election that does not come.
func TestLateOwnerIsNotSearchedForAllTheTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const late = 700 * time.Millisecond
		var queries, calls atomic.Int64
		client := testOwnerClient(func(ctx context.Context, method string, result any) error {
			if method == MethodLeaderInfo {
				queries.Add(1)
				return answerLeaderInfo(result)
			}
			calls.Add(1)
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(late):
				*result.(*Reply) = Reply{Outcome: OutcomeAccepted}
				return nil
			}
		})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = client.Directory.Run(ctx) }()
		time.Sleep(time.Second)
		queries.Store(0)
		const span = 4 * time.Second
		for range span / (10 * time.Millisecond) {
			go func() {
				requestCtx, cancelRequest := context.WithTimeout(ctx, 1800*time.Millisecond)
				defer cancelRequest()
				client.Do(requestCtx, Request{Kind: RequestSubmit})
			}()
			_, ok := client.Directory.Leader()
			is.True(ok) // it answers queries
			time.Sleep(10 * time.Millisecond)
		}
		is.True(queries.Load() <= int64(span/maxSearchPause)+int64(span/refreshInterval)+3)
		cancel()
		synctest.Wait()
	})
}

// Guards against an entry that stays with a leader that does not answer after another
// one was elected.
func TestFollowsNewLeaderWhileOldOneIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var elected atomic.Bool
		silent := func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }
		f := addressedRPC(func(ctx context.Context, addr, method string, result any) error {
			switch {
			case addr == "a:1" && elected.Load():
				return silent(ctx)
			case method != MethodLeaderInfo:
				*result.(*Reply) = Reply{Outcome: OutcomeAccepted}
			case elected.Load():
				*result.(*LeaderInfo) = LeaderInfo{Leader: "b:1", Term: 2}
			default:
				*result.(*LeaderInfo) = LeaderInfo{Leader: "a:1", Term: 1}
			}
			return nil
		})
		client := testOwnerClient(nil)
		client.RPCClient, client.Directory.RPCClient = f, f
		client.Directory.SetSeeds([]string{"a:1", "b:1"})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = client.Directory.Run(ctx) }()
		time.Sleep(time.Second)
		elected.Store(true)
		requestCtx, cancelRequest := context.WithTimeout(ctx, attemptTimeout+2*attemptPause+maxSearchPause)
		defer cancelRequest()
		is.Equal(client.Do(requestCtx, Request{Kind: RequestSubmit}).Outcome, OutcomeAccepted)
		cancel()
		synctest.Wait()
	})
}

// addressedRPC is a galenahead.RPCClient that also sees the address of a call.
type addressedRPC func(ctx context.Context, addr, method string, result any) error

func (f addressedRPC) Call(ctx context.Context, addr, method string, _, result any) error {
	return f(ctx, addr, method, result)
}

// Guards against a daemon without a replica that answers a call to the owner with an
// unknown method, after which the caller waits for that daemon.
func TestDaemonWithoutReplicaRefusesAllMethods(t *testing.T) {
	is := is.New(t)
	mux := &galenarpc.Mux{}
	RegisterNotOwner(mux)
	for _, method := range []string{
		MethodDo, MethodHeartbeat, MethodLeave, MethodConfigure, MethodPutConfig, MethodConfiguration, MethodBeginWave, MethodWave, MethodView,
	} {
		is.True(eris.Is(mux.Call(t.Context(), method, Empty{}, nil), galenahead.ErrNotLeader))
	}
}

// lateNetwork passes requests to an owner. The first request of a job named "late" arrives
// only after lateBy, when its sender has given it up.
type lateNetwork struct {
	owner  *Owner
	lateBy time.Duration
	held   atomic.Bool
}

func (n *lateNetwork) Call(ctx context.Context, _, method string, params, result any) error {
	if method == MethodLeaderInfo {
		return answerLeaderInfo(result)
	}
	if method == MethodAlive {
		_, err := n.owner.Alive(ctx, Empty{})
		return err
	}
	r := params.(Request)
	if r.Path == "/q/late" && !n.held.Swap(true) {
		time.AfterFunc(n.lateBy, func() { _, _ = n.owner.Do(context.Background(), r) })
		<-ctx.Done()
		return ctx.Err()
	}
	reply, err := n.owner.Do(ctx, r)
	*result.(*Reply) = reply
	return err
}

// Guards against a job that runs after its caller was told that it never will, because the
// first copy of its submission arrived after a repeat was rejected for slow commits.
func TestJobOfLateSubmissionWasNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, log := testOwner()
		ctx, stop := startOwner(t, o, testConfig)
		network := &lateNetwork{owner: o, lateBy: 3 * time.Second}
		client := testOwnerClient(nil)
		client.RPCClient, client.Directory.RPCClient = network, network
		go func() { _ = client.Directory.Run(ctx) }()
		time.Sleep(time.Second)

		spec := &galenajob.Spec{Steps: []galenajob.Step{{Count: 1}}}
		log.delay.Store(int64(attemptTimeout + 200*time.Millisecond))
		go func() { _, _ = o.Do(ctx, Request{Kind: RequestSubmit, Host: "h", Path: "/q/other", Spec: spec}) }()
		requestCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		reply := client.Do(requestCtx, Request{Kind: RequestSubmit, Host: "h", Path: "/q/late", Spec: spec})
		log.delay.Store(0)
		time.Sleep(network.lateBy)

		_, _, _, accepted := o.State.JobState("late")
		is.True(accepted)
		is.Equal(reply.Outcome, OutcomeUncertain)
		is.True(reply.RetryAfter > 0)
		stop()
	})
}

// Guards against a request that is sent again and again to an owner that has turned it away,
// and against an answer that it has not run while an earlier attempt may have.
func TestOverloadedOwnerIsNotAskedAgain(t *testing.T) {
	for _, tt := range []struct {
		name    string
		lost    int
		outcome Outcome
	}{{"first attempt", 0, OutcomeUnready}, {"after an attempt without an answer", 1, OutcomeUncertain}} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				calls := 0
				client := testOwnerClient(func(ctx context.Context, method string, result any) error {
					if method == MethodLeaderInfo {
						return answerLeaderInfo(result)
					}
					if method == MethodAlive {
						return nil
					}
					if calls++; calls <= tt.lost {
						<-ctx.Done()
						return ctx.Err()
					}
					return eris.Wrap(galenahead.ErrOverloaded, "overloaded")
				})
				reply := doRequest(client, RequestSubmit)
				is.Equal(calls, tt.lost+1)
				is.Equal(reply.Outcome, tt.outcome)
				is.True(tt.lost > 0 || reply.RetryAfter > 0)
			})
		})
	}
}

// Guards against a request that the owner has turned away and carried out nevertheless,
// against a job that is turned away although it was accepted or may still be, and against a
// gate that stays closed after the requests of all kinds.
func TestRequestsAreTurnedAwayUndone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		o.Gate = &galenagate.Gate{AtOnce: 1}
		ctx, stop := startOwner(t, o, testConfig)
		submit := Request{Kind: RequestSubmit, Host: "h", Path: "/q/j", Spec: &galenajob.Spec{Steps: []galenajob.Step{{Count: 1}}}}
		other, accepted := submit, submit
		other.Path, accepted.Path = "/q/other", "/q/accepted"
		r, err := o.Do(ctx, accepted)
		is.NoErr(err)
		is.Equal(r.Outcome, OutcomeAccepted)

		o.Gate.Enter(galenagate.Renewal)
		waiting := make(chan error, 1)
		go func() {
			_, err := o.Do(ctx, submit)
			waiting <- err
		}()
		time.Sleep(maxRequestWait/2 + time.Millisecond)
		_, err = o.Do(ctx, other)
		is.True(errors.Is(err, galenahead.ErrOverloaded)) // at once
		_, err = o.Do(ctx, submit)
		is.True(errors.Is(err, galenahead.ErrNotReady)) // the one that waits may be accepted
		r, err = o.Do(ctx, accepted)
		is.NoErr(err)
		is.Equal(r.Outcome, OutcomeAccepted) // a copy
		time.Sleep(maxRequestWait)
		o.Gate.Leave()
		is.True(errors.Is(<-waiting, galenahead.ErrOverloaded)) // too late
		for _, id := range []galenahead.JobID{"j", "other"} {
			_, _, _, known := o.State.JobState(id)
			is.True(!known)
		}
		is.Equal(o.session.Load().load.shed.Load(), int64(4))

		for _, kind := range []RequestKind{RequestSubmit, RequestState, RequestWaiting, RequestCancel} {
			r := submit
			r.Kind = kind
			if kind == RequestWaiting {
				r.Path = "/q/"
			}
			_, err := o.Do(ctx, r)
			is.NoErr(err)
		}
		is.True(o.Gate.EnterWithin(galenagate.Demand, 0)) // nothing holds the gate
		o.Gate.Leave()
		stop()
		time.Sleep(2 * time.Second)
	})
}

// Guards against a submission that is rejected for good by an owner which has lost its lease
// while the request waited: another owner may have accepted the job.
func TestRequestTurnedAwayWithoutLeaseIsNotFinal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, log := testOwner()
		o.Gate = &galenagate.Gate{AtOnce: 1}
		ctx, stop := startOwner(t, o, testConfig)
		o.Gate.Enter(galenagate.Renewal)
		answered := make(chan error, 1)
		go func() {
			_, err := o.Do(ctx, Request{Kind: RequestSubmit, Host: "h", Path: "/q/j", Spec: &galenajob.Spec{Steps: []galenajob.Step{{Count: 1}}}})
			answered <- err
		}()
		time.Sleep(maxRequestWait + time.Millisecond)
		log.gap.Store(true)
		o.Gate.Leave()
		is.True(errors.Is(<-answered, galenahead.ErrNotLeader))
		log.gap.Store(false)
		stop()
		time.Sleep(2 * time.Second)
	})
}
