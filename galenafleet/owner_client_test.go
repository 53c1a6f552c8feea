package galenafleet

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenametric"
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

// Guards against giving up a request after an attempt without a response, although
// a retry would be answered.
func TestRetriesWhenOwnerDoesNotRespond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		r := doRequest(testOwnerClient(func(ctx context.Context, method string, result any) error {
			if method == MethodLeaderInfo {
				return answerLeaderInfo(result)
			}
			if calls++; calls == 1 {
				<-ctx.Done()
				return ctx.Err()
			}
			*result.(*Reply) = Reply{Outcome: OutcomeAccepted}
			return nil
		}), RequestSubmit)
		is.New(t).Equal(r.Outcome, OutcomeAccepted)
	})
}
