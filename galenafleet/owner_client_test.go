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

// callerFunc answers calls between daemons.
type callerFunc func(ctx context.Context, method string, result any) error

func (f callerFunc) Call(ctx context.Context, _, method string, _, result any) error {
	return f(ctx, method, result)
}

func testGateway(f callerFunc) *Gateway {
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := &Directory{Caller: f, Timers: &galenatimer.Service{}, Logger: log}
	d.SetSeeds([]string{"a:1"})
	return &Gateway{Directory: d, Caller: f, Logger: log, Metrics: &galenametric.Metrics{}}
}

// doRequest runs the directory beside one request that is given up after a second.
func doRequest(g *Gateway, kind RequestKind) Reply {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = g.Directory.Run(ctx) }()
	one, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	return g.Do(one, Request{Kind: kind})
}

func answerLeaderInfo(result any) error {
	*result.(*Whereabouts) = Whereabouts{Leader: "a:1", Term: 1}
	return nil
}

// Guards against an uncertain answer for a request that never left: callers may
// not send it again.
func TestUnreachableOwnerReturnsUnready(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := doRequest(testGateway(func(_ context.Context, method string, result any) error {
			if method == MethodLeaderInfo {
				return answerLeaderInfo(result)
			}
			return eris.Wrap(galenahead.ErrUnreachable, "refused")
		}), RequestSubmit)
		is.New(t).Equal(r.Outcome, OutcomeUnready)
		is.New(t).True(r.RetryAfter > 0)
	})
}

// Guards against a refusal for a job that may have been accepted.
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
		is.Equal(doRequest(testGateway(hang), RequestSubmit).Outcome, OutcomeUncertain)
		is.Equal(doRequest(testGateway(hang), RequestState).Outcome, OutcomeUnready)
	})
}

// Guards against giving a request up while an owner can still answer it.
func TestRetriesWhenOwnerDoesNotRespond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		r := doRequest(testGateway(func(ctx context.Context, method string, result any) error {
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
