package galenafleet

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead/galenajob"
)

const (
	// usualResponse is the response time of an instance in the same region.
	usualResponse = 3 * time.Millisecond
	// settledLimit is above the limit of a call to such an instance.
	settledLimit = responseSlack + 20*time.Millisecond
)

// settledCallLimit returns a limit of commands that has measured usual response times of
// the instances a and b.
func settledCallLimit() *callLimit {
	l := newCallLimit(longestCommandLimit)
	l.limit("a", 0)
	l.limit("b", 0)
	for range 20 {
		l.answered("a", usualResponse)
		l.answered("b", usualResponse)
	}
	return l
}

// Guards against lost calls that are waited for many times longer than any response
// takes, and against a short limit before an instance's response time is known.
func TestCallLimitComesDownWithResponses(t *testing.T) {
	is := is.New(t)
	l := newCallLimit(longestCommandLimit)
	is.Equal(l.limit("a", 0), longestCommandLimit)
	is.Equal(l.typical(0), longestCommandLimit)
	l.answered("b", usualResponse)
	is.Equal(l.limit("a", 0), longestCommandLimit)
	for range 20 {
		l.answered("a", usualResponse)
	}
	is.True(l.limit("a", 0) <= settledLimit)
	is.True(l.typical(0) <= settledLimit)
	is.True(l.limit("a", 0) >= responseSlack)
	l.forget("a")
	l.answered("a", usualResponse) // a call that was under way
	l.unanswered("a")
	is.Equal(len(l.instances), 0)
	is.Equal(l.limit("a", 0), longestCommandLimit)
}

// Guards against an owner that runs late and repeats calls to instances that answer in
// time.
func TestLateOwnerRaisesCallLimit(t *testing.T) {
	is := is.New(t)
	l := settledCallLimit()
	before := l.limit("a", 0)
	is.Equal(l.limit("a", 250*time.Millisecond), before+250*time.Millisecond)
	is.Equal(l.typical(250*time.Millisecond), l.typical(0)+250*time.Millisecond)
	is.Equal(l.limit("a", time.Minute), longestCommandLimit)

	// Late responses of other instances.
	l.answered("b", 100*time.Millisecond)
	is.True(l.limit("a", 0) >= before+100*time.Millisecond)
	for range 20 {
		l.answered("b", time.Second)
		is.True(l.limit("a", 0) <= longestCommandLimit)
	}
	is.Equal(l.limit("a", 0), longestCommandLimit)
}

// Guards against lost calls that shrink the limit, raise that of later calls, or raise it
// above its bound (Karn's algorithm).
func TestLostCallsKeepCallLimit(t *testing.T) {
	is := is.New(t)
	l := settledCallLimit()
	before := l.limit("a", 0)
	for i := range 10*lossesBeforeLongCall - 1 {
		l.unanswered("a")
		want := before
		if (i+1)%lossesBeforeLongCall == 0 {
			want = longestCommandLimit
		}
		is.Equal(l.limit("a", 0), want)
		is.Equal(l.limit("b", 0), before)
	}
	l.answered("a", usualResponse)
	l.unanswered("a")
	is.True(l.limit("a", 0) <= before)
	is.True(l.limit("a", 0) >= responseSlack)
}

// Guards against an instance that is never heard again because it answers later than it
// did, or later than the others.
func TestSlowerInstanceIsMeasuredAgain(t *testing.T) {
	is := is.New(t)
	const slow = 400 * time.Millisecond
	l := settledCallLimit()
	lost := 0
	for range 100 {
		for range 20 {
			l.answered("b", usualResponse)
		}
		if l.limit("a", 0) > slow {
			l.answered("a", slow)
		} else {
			l.unanswered("a")
			lost++
		}
	}
	is.Equal(lost, lossesBeforeLongCall)
	for range 20 {
		l.answered("b", usualResponse)
	}
	is.True(l.limit("b", 0) < longestCommandLimit/2)
}

// callResult is what happens to the calls of limitedInstances.
type callResult int

const (
	callAnswered  callResult = iota // after usualResponse, and the wait of a poll
	callEarly                       // a poll is answered before the end of its wait
	callExhausted                   // not sent, after the limit
	callFailed                      // fails at once, without an outcome
	callLost                        // fails after the limit
)

// limitedInstances records the limits of the calls, all of which have the same result.
type limitedInstances struct {
	fakeInstances
	callMu          sync.Mutex
	result          callResult
	commands, polls []time.Duration
}

// call records the limit of a call that may take longer by wait, and returns the result.
func (f *limitedInstances) call(limits *[]time.Duration, wait, limit time.Duration) (callResult, error) {
	f.callMu.Lock()
	*limits = append(*limits, limit)
	result := f.result
	f.callMu.Unlock()
	switch result {
	case callFailed:
		return result, eris.New("test")
	case callExhausted, callLost:
		time.Sleep(wait + limit)
		if result == callExhausted {
			return result, eris.Wrap(ErrExhausted, "test")
		}
		return result, eris.New("test")
	}
	time.Sleep(usualResponse)
	return result, nil
}

func (f *limitedInstances) Start(ctx context.Context, a galenajob.Action, limit time.Duration) (galenajob.Outcome, int64, error) {
	result, err := f.call(&f.commands, 0, limit)
	switch {
	case result == callExhausted:
		return galenajob.OutcomeDeferred, 0, err
	case err != nil:
		return galenajob.OutcomeUnknown, 0, err
	}
	return f.fakeInstances.Start(ctx, a, limit)
}

func (f *limitedInstances) RenewAndPoll(ctx context.Context, req galenajob.PollRequest, wait, limit time.Duration) (galenajob.PollResponse, error) {
	result, err := f.call(&f.polls, wait, limit)
	if err != nil {
		return galenajob.PollResponse{}, err
	}
	if result == callEarly {
		wait /= 2
	}
	return f.fakeInstances.RenewAndPoll(ctx, req, wait, limit)
}

// Guards against an owner whose calls have the limits of another kind, and against limits
// that change by calls whose response time is unknown.
func TestOwnerLimitsCallsByResponseTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		f := &limitedInstances{fakeInstances: fakeInstances{running: map[galenajob.ItemID]int64{}}}
		o.Instances = f
		ctx, stop := startOwner(t, o, testConfig)
		_, err := o.Heartbeat(ctx, testHeartbeat)
		is.NoErr(err)
		// limits submits a job and returns the limits of the calls of three seconds.
		limits := func(result callResult, path string) (commands, polls []time.Duration) {
			f.callMu.Lock()
			f.result, f.commands, f.polls = result, nil, nil
			f.callMu.Unlock()
			_, err := o.Do(ctx, Request{Kind: RequestSubmit, Host: "h", Path: path, Spec: &galenajob.Spec{Steps: []galenajob.Step{{Count: 2}}}})
			is.NoErr(err)
			time.Sleep(3 * time.Second)
			f.callMu.Lock()
			defer f.callMu.Unlock()
			return f.commands, f.polls
		}
		settled := func(limits []time.Duration) {
			t.Helper()
			is.Helper()
			for _, l := range limits {
				is.True(l >= responseSlack && l <= settledLimit)
			}
		}
		commands, polls := limits(callAnswered, "/q/j1")
		is.Equal(commands, []time.Duration{longestCommandLimit, longestCommandLimit})
		settled(polls[1:])
		for i, result := range []callResult{callAnswered, callEarly, callExhausted, callFailed, callAnswered} {
			commands, polls = limits(result, fmt.Sprint("/q/j", i+2))
			is.True(len(commands) > 0)
			settled(commands)
			settled(polls)
		}
		commands, polls = limits(callLost, "/q/j")
		is.Equal(slices.Max(commands), longestCommandLimit)
		is.Equal(slices.Max(polls), longestPollLimit)

		sess := o.session.Load()
		_, err = o.Leave(ctx, LeaveRequest{ID: testHeartbeat.Instance.ID, Born: testHeartbeat.Instance.Born})
		is.NoErr(err)
		// It has work and does not answer, so that it stays until its lease has expired.
		is.Equal(knownTo(sess.commandLimit), 1)
		time.Sleep(testOwnerParams().Lease + time.Second)
		is.Equal(knownTo(sess.commandLimit), 0)
		is.Equal(knownTo(sess.pollLimit), 0)
		stop()
		time.Sleep(2 * time.Second)
	})
}

// knownTo returns how many instances l has measured.
func knownTo(l *callLimit) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.instances)
}
