package galenarelay

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenafleet"
	"github.com/galenahead/galenahead/galenajob"
	"github.com/galenahead/galenahead/galenarpc"
	"github.com/galenahead/galenahead/galenatimer"
)

// network connects daemons in memory. A call takes delay in each direction.
type network struct {
	mu    sync.Mutex
	muxes map[string]*galenarpc.Mux
	// lost holds addresses that nothing reaches, and silent those that get calls but do not
	// answer. delay is the way of calls to an address.
	lost, silent map[string]bool
	delay        map[string]time.Duration
	calls        map[string]int
}

func newNetwork() *network {
	return &network{
		muxes: map[string]*galenarpc.Mux{}, lost: map[string]bool{}, silent: map[string]bool{}, delay: map[string]time.Duration{}, calls: map[string]int{},
	}
}

func (n *network) Call(ctx context.Context, addr, method string, params, result any) error {
	n.mu.Lock()
	mux, lost, silent, delay := n.muxes[addr], n.lost[addr], n.silent[addr], n.delay[addr]
	n.calls[method]++
	n.mu.Unlock()
	if lost || mux == nil {
		return eris.Wrap(galenahead.ErrUnreachable, addr)
	}
	done := make(chan error, 1)
	go func() {
		time.Sleep(delay + time.Millisecond)
		done <- mux.Call(context.Background(), method, params, result)
	}()
	select {
	case err := <-done:
		if !silent {
			return err
		}
		<-ctx.Done()
	case <-ctx.Done():
	}
	return ctx.Err()
}

func (n *network) set(m map[string]bool, addr string, v bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m[addr] = v
}

// instances records calls to instances and answers them.
type instances struct {
	mu       sync.Mutex
	commands []galenajob.Action
	polls    []galenajob.PollRequest
	limits   []time.Duration
	outcome  galenajob.Outcome
	clock    int64
	response galenajob.PollResponse
	err      error
	wait     time.Duration
}

func (f *instances) command(a galenajob.Action, limit time.Duration) (galenajob.Outcome, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commands, f.limits = append(f.commands, a), append(f.limits, limit)
	return f.outcome, f.clock, f.err
}

func (f *instances) Start(_ context.Context, a galenajob.Action, limit time.Duration) (galenajob.Outcome, int64, error) {
	return f.command(a, limit)
}

func (f *instances) Stop(_ context.Context, a galenajob.Action, limit time.Duration) (galenajob.Outcome, int64, error) {
	return f.command(a, limit)
}

func (f *instances) Pace(_ context.Context, a galenajob.Action, limit time.Duration) error {
	_, _, err := f.command(a, limit)
	return err
}

func (f *instances) RenewAndPoll(_ context.Context, req galenajob.PollRequest, wait, limit time.Duration) (galenajob.PollResponse, error) {
	f.mu.Lock()
	f.polls, f.limits, f.wait = append(f.polls, req), append(f.limits, limit), wait
	resp, err := f.response, f.err
	f.mu.Unlock()
	time.Sleep(wait)
	return resp, err
}

func (f *instances) counts() (commands, polls int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.commands), len(f.polls)
}

const (
	ownerAddr = "10.0.0.1:1"
	relayAddr = "10.0.0.2:1"
)

// fixture is an owner with one relay. All instances are relayed.
type fixture struct {
	net             *network
	client          *Client
	server          *Server
	direct, relayed *instances
}

func startFixture(t *testing.T) (f *fixture, ctx context.Context) {
	t.Helper()
	f = &fixture{net: newNetwork(), direct: &instances{}, relayed: &instances{}}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	timers := &galenatimer.Service{}
	f.client = &Client{
		Direct: f.direct, RPCClient: f.net, Timers: timers, Logger: logger, Self: ownerAddr, Peers: func() []string { return []string{relayAddr} },
	}
	f.server = &Server{Instances: f.relayed, RPCClient: f.net, Timers: timers, Logger: logger}
	for _, addr := range []string{ownerAddr, relayAddr} {
		f.net.muxes[addr] = &galenarpc.Mux{}
	}
	f.client.Register(f.net.muxes[ownerAddr])
	f.server.Register(f.net.muxes[relayAddr])
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = f.client.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
		time.Sleep(2 * outboxIdleTime) // the loops of the relay end
	})
	synctest.Wait()
	f.client.load.relayed, f.client.load.neededAt = 1, time.Now().Add(time.Hour)
	return f, ctx
}

var testAction = galenajob.Action{
	Instance: galenajob.Instance{ID: "i-1", Address: "10.1.0.1:80"}, Fence: 7, Item: galenajob.ItemID{Job: "j", Item: galenajob.ItemKey{Step: 1, Index: 2}},
	Run: 1001, Payload: "spec", Deadline: 4000, Checkpoint: "c", Ticket: "t",
}

var testPoll = galenajob.PollRequest{Instance: testAction.Instance, Fence: 7, Cursor: 3, Deadline: 5000}

// Guards against fields of calls and results that get lost on the way.
func TestRelayedCallsEqualDirectOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, ctx := startFixture(t)
		f.relayed.outcome, f.relayed.clock = galenajob.OutcomeNoRoom, 99
		o, clock, err := f.client.Start(ctx, testAction, 200*time.Millisecond)
		is.NoErr(err)
		is.Equal(o, galenajob.OutcomeNoRoom)
		is.Equal(clock, int64(99))
		_, _, err = f.client.Stop(ctx, testAction, 200*time.Millisecond)
		is.NoErr(err)
		pace := testAction
		pace.Percent = 40
		is.NoErr(f.client.Pace(ctx, pace, 200*time.Millisecond))
		is.Equal(f.relayed.commands, []galenajob.Action{testAction, testAction, pace})
		is.Equal(f.relayed.limits, []time.Duration{200 * time.Millisecond, 200 * time.Millisecond, 200 * time.Millisecond})

		f.relayed.response = galenajob.PollResponse{
			Clock: 100, Born: 5, More: true,
			Runs: []galenajob.Run{{Item: testAction.Item, Number: 1001, Checkpoint: "c", Percent: 50, Usage: 6}},
			Ends: []galenajob.End{{Sequence: 4, Item: testAction.Item, Number: 1000, Reason: galenajob.EndDone, Checkpoint: "d"}},
		}
		resp, err := f.client.RenewAndPoll(ctx, testPoll, time.Second, 300*time.Millisecond)
		is.NoErr(err)
		is.Equal(resp, f.relayed.response)
		is.Equal(f.relayed.polls, []galenajob.PollRequest{testPoll})
		is.Equal(f.relayed.wait, time.Second)
		commands, polls := f.direct.counts()
		is.Equal(commands+polls, 0)
	})
}

// Guards against an owner that does not learn that it has been replaced, or that another
// incarnation answers, because the call was relayed.
func TestRelayedErrorsKeepTheirMeaning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, ctx := startFixture(t)
		for _, want := range []error{galenafleet.ErrFenced, galenafleet.ErrOtherIncarnation} {
			f.relayed.err = eris.Wrap(want, "instance")
			_, err := f.client.RenewAndPoll(ctx, testPoll, 0, 300*time.Millisecond)
			is.True(errors.Is(err, want))
		}
		_, polls := f.direct.counts()
		is.Equal(polls, 0)

		f.relayed.outcome, f.relayed.err = galenajob.OutcomeUnsent, eris.Wrap(galenafleet.ErrRefused, "instance")
		o, _, err := f.client.Start(ctx, testAction, 200*time.Millisecond)
		is.Equal(o, galenajob.OutcomeUnsent)
		is.True(errors.Is(err, galenafleet.ErrRefused))
	})
}

// Guards against an instance that counts as silent, and loses its work, because a relay does
// not reach it or is out of connections.
func TestInstanceThatRelayDoesNotReachIsPolledDirectly(t *testing.T) {
	for _, failure := range []error{eris.New("timeout"), galenafleet.ErrExhausted} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f, ctx := startFixture(t)
			f.relayed.err = failure
			f.direct.response.Clock = 100
			resp, err := f.client.RenewAndPoll(ctx, testPoll, time.Second, 300*time.Millisecond)
			is.NoErr(err)
			is.Equal(resp.Clock, int64(100))
			is.Equal(f.direct.wait, time.Duration(0)) // the instance has waited long enough
			_, err = f.client.RenewAndPoll(ctx, testPoll, 0, 300*time.Millisecond)
			is.NoErr(err)
			_, polls := f.relayed.counts()
			is.Equal(polls, 1) // the relay is not asked again at once
		})
	}
}

// Guards against work that is started a second time because a relay has stopped: nobody knows
// whether it has carried out the start.
func TestCallOfLostRelayIsUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, ctx := startFixture(t)
		f.net.set(f.net.silent, relayAddr, true)
		f.net.set(f.net.lost, ownerAddr, true)
		began := time.Now()
		o, _, err := f.client.Start(ctx, testAction, time.Minute)
		is.Equal(o, galenajob.OutcomeUnknown)
		is.True(err != nil)
		is.True(time.Since(began) < time.Second) // the relay has not said that it has the call
		commands, _ := f.direct.counts()
		is.Equal(commands, 0)

		// The next calls are direct.
		_, _, err = f.client.Start(ctx, testAction, time.Minute)
		is.NoErr(err)
		commands, _ = f.direct.counts()
		is.Equal(commands, 1)
	})
}

// Guards against an owner that waits for the results of a relay which has stopped.
func TestResultThatDoesNotComeIsNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, ctx := startFixture(t)
		f.net.set(f.net.lost, ownerAddr, true) // the relay cannot deliver results
		f.direct.response.Clock = 100
		began := time.Now()
		resp, err := f.client.RenewAndPoll(ctx, testPoll, time.Second, 300*time.Millisecond)
		is.NoErr(err)
		is.Equal(resp.Clock, int64(100))
		is.True(time.Since(began) <= time.Second+300*time.Millisecond+relaySlack)
		is.Equal(len(f.client.waiting), 0)
	})
}

// Guards against calls that are lost, and not made directly, because a relay is gone.
func TestCallsWithoutRelayAreDirect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, ctx := startFixture(t)
		f.net.set(f.net.lost, relayAddr, true)
		f.direct.outcome = galenajob.OutcomeDone
		o, _, err := f.client.Start(ctx, testAction, 200*time.Millisecond)
		is.NoErr(err)
		is.Equal(o, galenajob.OutcomeDone)
		f.net.set(f.net.lost, relayAddr, false)
		time.Sleep(relayRestTime + time.Second)
		_, _, err = f.client.Start(ctx, testAction, 200*time.Millisecond)
		is.NoErr(err)
		commands, _ := f.relayed.counts()
		is.Equal(commands, 1) // the relay is back
	})
}

// Guards against a relay that was suspended, or cut off, and sends old calls when it wakes.
func TestLateCallsAreNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, ctx := startFixture(t)
		_, _, err := f.client.Start(ctx, testAction, 200*time.Millisecond)
		is.NoErr(err)
		f.net.mu.Lock()
		f.net.delay[relayAddr] = maxCallAge + 100*time.Millisecond
		f.net.mu.Unlock()
		o, _, _ := f.client.Start(ctx, testAction, 200*time.Millisecond)
		is.Equal(o, galenajob.OutcomeUnknown)
		time.Sleep(3 * time.Second)
		commands, _ := f.relayed.counts()
		is.Equal(commands, 1)
	})
}

// Guards against a relay that is suspended after it has taken a call, and sends it later.
func TestCallIsNotSentAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, _ := startFixture(t)
		out := f.server.outbox(callBatch{Session: 1, ReplyTo: ownerAddr})
		is.True(f.server.begin())
		f.server.run(out, newCommand(kindStart, &testAction, time.Second), time.Now().Add(-2*maxCallAge))
		commands, _ := f.relayed.counts()
		is.Equal(commands, 0)
		out.mu.Lock()
		defer out.mu.Unlock()
		is.Equal(out.pending[0].Outcome, galenajob.OutcomeDeferred)
	})
}

// Guards against messages that end the relay or the owner.
func TestOddBatchesAreRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, ctx := startFixture(t)
		for _, b := range [][]byte{nil, {0xff}, []byte("text"), {0x81, 0xa1, 0x01, 0x20}} {
			err := f.net.Call(ctx, relayAddr, MethodCalls, callBatch{Session: 1, ReplyTo: ownerAddr, Calls: b}, nil)
			is.True(errors.Is(err, galenahead.ErrInvalid))
			err = f.net.Call(ctx, ownerAddr, MethodResults, resultBatch{Session: f.client.session, Results: b}, nil)
			is.True(errors.Is(err, galenahead.ErrInvalid))
		}
		unknown, err := encode([]call{{ID: 1, Kind: 99}})
		is.NoErr(err)
		is.NoErr(f.net.Call(ctx, relayAddr, MethodCalls, callBatch{Session: 1, ReplyTo: ownerAddr, Calls: unknown}, nil))
		results, err := encode([]result{{ID: 0}, {ID: 12345}})
		is.NoErr(err)
		is.NoErr(f.net.Call(ctx, ownerAddr, MethodResults, resultBatch{Session: f.client.session, Results: results}, nil))
		commands, _ := f.relayed.counts()
		is.Equal(commands, 0)
	})
}

// Guards against results of an earlier life of the owner that end calls of this one.
func TestResultsOfOtherSessionAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, ctx := startFixture(t)
		x := newCommand(kindStart, &testAction, time.Second)
		r, done := f.client.enqueue(time.Now(), 1, &x)
		is.True(r != nil)
		b, err := encode([]result{{ID: x.ID, Outcome: galenajob.OutcomeDone}})
		is.NoErr(err)
		is.NoErr(f.net.Call(ctx, ownerAddr, MethodResults, resultBatch{Session: f.client.session + 1, Results: b}, nil))
		is.Equal(len(done), 0)
		is.NoErr(f.net.Call(ctx, ownerAddr, MethodResults, resultBatch{Session: f.client.session, Results: b}, nil))
		is.Equal((<-done).Outcome, galenajob.OutcomeDone)
	})
}

// Guards against hundreds of direct calls at once, when a new owner polls all instances.
func TestCallsBeyondBoundAreRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, ctx := startFixture(t)
		f.client.load.relayed = 0
		answer := make(chan struct{})
		f.client.Direct = &heldInstances{instances: f.direct, answer: answer}
		var wg sync.WaitGroup
		for range 3 * maxDirect {
			wg.Go(func() {
				time.Sleep(time.Microsecond)
				_, _ = f.client.RenewAndPoll(ctx, testPoll, 0, time.Minute)
			})
		}
		time.Sleep(time.Second)
		_, polls := f.relayed.counts()
		is.Equal(polls, 2*maxDirect)
		close(answer)
		wg.Wait()
		is.Equal(f.client.direct.Load(), int64(0))
	})
}

// heldInstances answers polls when answer is closed.
type heldInstances struct {
	*instances
	answer <-chan struct{}
}

func (h *heldInstances) RenewAndPoll(ctx context.Context, req galenajob.PollRequest, wait, limit time.Duration) (galenajob.PollResponse, error) {
	<-h.answer
	return h.instances.RenewAndPoll(ctx, req, wait, limit)
}

// Guards against a message for each call, which is what relays are to spare the owner.
func TestCallsShareMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, ctx := startFixture(t)
		var wg sync.WaitGroup
		for range 100 {
			wg.Go(func() { _, _, _ = f.client.Start(ctx, testAction, 200*time.Millisecond) })
		}
		wg.Wait()
		commands, _ := f.relayed.counts()
		is.Equal(commands, 100)
		is.Equal(f.net.calls[MethodCalls], 1)
		is.Equal(f.net.calls[MethodResults], 1)
	})
}

// Guards against relays on a fleet that the owner can call itself, against an owner that
// makes all calls of a large one, and against a share that follows each peak of the load.
func TestRelayedShareFollowsLoad(t *testing.T) {
	is := is.New(t)
	l := &loadMeter{}
	now := time.Unix(1000, 0)
	run := func(rate int, d time.Duration) float64 {
		for range int(d.Seconds() * float64(rate)) {
			now = now.Add(time.Second / time.Duration(rate))
			l.count(now)
		}
		return l.share(now)
	}
	is.Equal(run(directCalls*9/10, 5*time.Second), 0.0)
	is.Equal(run(2*directCalls, 2*time.Second), 0.5)
	is.Equal(run(8*directCalls, 2*time.Second), 7.0/8)
	is.Equal(run(directCalls/2, lowerPause-time.Second), 7.0/8)
	is.Equal(run(directCalls/2, 2*time.Second), 6.0/8)
	is.Equal(run(directCalls/2, 8*lowerPause), 0.0)

	c := &Client{Timers: &galenatimer.Service{}}
	is.Equal(c.MaxStarting(32), 32)
	c.load = loadMeter{began: time.Now(), relayed: 0.75}
	is.Equal(c.MaxStarting(32), 128)
	c.load = loadMeter{began: time.Now(), relayed: maxShare}
	is.Equal(c.MaxStarting(32), 32*maxStartingFactor)
}

// Guards against all instances being handed to one relay.
func TestInstancesAreSpreadOverRelays(t *testing.T) {
	is := is.New(t)
	c := &Client{}
	for _, a := range []string{"10.1.0.9:7060", "10.2.0.23:7060", "10.3.0.41:7060", "10.4.0.7:7060"} {
		c.relays = append(c.relays, &relay{addr: a})
	}
	counts := map[string]int{}
	const instances = 1000
	for i := range instances {
		id := galenahead.InstanceID([]byte{'i', '-', byte('a' + i%26), byte('a' + i/26%26), byte('0' + i/676)})
		counts[c.relayFor(time.Time{}, id).addr]++
	}
	for _, n := range counts {
		is.True(n > instances/8)
	}
	is.Equal(len(counts), len(c.relays))
}
