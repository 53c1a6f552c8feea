package galenafleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
	"github.com/galenahead/galenahead/galenarpc"
	"github.com/galenahead/galenahead/galenatimer"
)

// sharedLog is the log of several replicas that all have the same state. An entry is committed in the
// term of its leader or not at all.
type sharedLog struct {
	mu     sync.Mutex
	state  *State
	term   uint64
	leader galenahead.ReplicaName
	index  uint64
	delay  time.Duration
}

// elect makes a replica the leader of the next term, or none if name is empty.
func (l *sharedLog) elect(name galenahead.ReplicaName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term++
	l.leader = name
}

// replicaLog is the view of a sharedLog that a replica has.
type replicaLog struct {
	*fakeLog
	name   galenahead.ReplicaName
	shared *sharedLog
}

func (l *replicaLog) LeaderTerm() (term uint64, leased bool) {
	l.shared.mu.Lock()
	defer l.shared.mu.Unlock()
	if l.shared.leader != l.name {
		return 0, false
	}
	return l.shared.term, true
}

func (l *replicaLog) HoldsLease() bool { _, ok := l.LeaderTerm(); return ok }

func (l *replicaLog) ProposeInTerm(ctx context.Context, term uint64, command []byte) ([]byte, error) {
	s := l.shared
	select {
	case <-ctx.Done():
		return nil, galenahead.ErrNoQuorum
	case <-time.After(s.delay):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term != term || s.leader != l.name {
		return nil, galenahead.ErrNoQuorum
	}
	s.index++
	return s.state.Apply(s.index, command), nil
}

// lossFleet is a deployment whose owner changes, with an entry. Messages to the owners are lost, late,
// or left without an answer.
type lossFleet struct {
	log    *sharedLog
	muxes  map[string]*galenarpc.Mux
	owners map[string]*Owner
	mu     sync.Mutex
	rng    *rand.Rand
	silent map[string]bool
	// faulty is set while messages are lost or late.
	faulty bool
	calls  map[string]int
	entry  *OwnerClient
}

func newLossFleet(ctx context.Context, seed uint64) *lossFleet {
	timers := &galenatimer.Service{}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	f := &lossFleet{
		log: &sharedLog{state: &State{Timers: timers}, delay: 5 * time.Millisecond}, muxes: map[string]*galenarpc.Mux{}, owners: map[string]*Owner{}, silent: map[string]bool{},
		rng: rand.New(rand.NewPCG(seed, 5)), calls: map[string]int{},
	}
	f.entry = testOwnerClient(nil)
	f.entry.RPCClient, f.entry.Directory.RPCClient = f, f
	f.entry.Directory.SetSeeds([]string{"a:1", "b:1"})
	for _, name := range []galenahead.ReplicaName{"a", "b"} {
		o, _ := testOwner()
		o.Name, o.State, o.Log, o.Logger = name, f.log.state, &replicaLog{&fakeLog{state: f.log.state}, name, f.log}, logger
		mux := &galenarpc.Mux{}
		o.Register(mux)
		d := &Directory{Timers: timers, Logger: logger, Self: func() LeaderInfo { return f.leaderInfo() }}
		d.Register(mux)
		f.muxes[string(name)+":1"], f.owners[string(name)+":1"] = mux, o
		go func() { _ = o.Run(ctx) }()
	}
	go func() { _ = f.entry.Directory.Run(ctx) }()
	f.log.elect("a")
	return f
}

func (f *lossFleet) leaderInfo() LeaderInfo {
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	info := LeaderInfo{Term: f.log.term}
	if f.log.leader != "" {
		info.Leader = string(f.log.leader) + ":1"
	}
	return info
}

// setSilent cuts a daemon off, or connects it again.
func (f *lossFleet) setSilent(addr string, silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent[addr] = silent
}

func (f *lossFleet) draw(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.faulty {
		return n - 1
	}
	return f.rng.IntN(n)
}

func (f *lossFleet) count(method string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[method]
}

// Call implements galenahead.RPCClient.
func (f *lossFleet) Call(ctx context.Context, addr, method string, params, result any) error {
	f.mu.Lock()
	f.calls[method]++
	silent := f.silent[addr]
	f.mu.Unlock()
	switch {
	case silent:
		<-ctx.Done()
		return ctx.Err()
	case method != MethodDo:
	case f.draw(5) == 0: // lost
		<-ctx.Done()
		return ctx.Err()
	case f.draw(4) == 0: // late, also at a later owner
		late := time.Duration(100+f.draw(4000)) * time.Millisecond
		time.AfterFunc(late, func() { _ = f.muxes[addr].Call(context.Background(), method, params, nil) })
		<-ctx.Done()
		return ctx.Err()
	case f.draw(5) == 0: // without an answer
		go func() { _ = f.muxes[addr].Call(context.Background(), method, params, nil) }()
		<-ctx.Done()
		return ctx.Err()
	case f.draw(3) == 0: // refused by an owner that has too much work
		reply, err := f.refuse(f.owners[addr], params.(Request))
		*result.(*Reply) = reply
		return err
	}
	return f.muxes[addr].Call(ctx, method, params, result)
}

// refuse answers a submission as an owner does that has too much work at the moment.
func (f *lossFleet) refuse(o *Owner, r Request) (Reply, error) {
	sess, err := o.currentSession()
	if err != nil || r.Term != sess.term || r.Kind != RequestSubmit {
		return Reply{}, galenahead.ErrNotLeader
	}
	id := sess.submittedJob(r)
	sess.beginSubmit(id)
	defer sess.endSubmit(id)
	reply, err := sess.turnAway(r, id)
	if err == nil {
		return reply, nil
	}
	return sess.withCertainty(&r, id, overloadReply(time.Second)), nil
}

// submit submits a job as an entry does for a caller.
func (f *lossFleet) submit(ctx context.Context, id string) Reply {
	const callerTimeout = 1800 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	return f.entry.Do(ctx, Request{Kind: RequestSubmit, Host: "h", Path: "/q/" + id, Spec: oneItem(galenajob.Resources{})})
}

// configure waits for an owner and sends it a configuration.
func (f *lossFleet) configure(ctx context.Context, t *testing.T) {
	t.Helper()
	for range 100 {
		if f.entry.Configure(ctx, testConfig) == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatal("no owner")
}

// Pattern: submissions while the owner is silent and another one begins. Guards against submissions
// that are written to an owner that has said nothing for long and then count as uncertain, and against
// callers that all come back at the same time.
func TestSubmissionsWaitWhileTheOwnerIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); time.Sleep(10 * time.Second) }()
		f := newLossFleet(ctx, 1)
		f.configure(ctx, t)
		f.setSilent("a:1", true)
		outcomes := map[Outcome]int{}
		spread := map[time.Duration]int{}
		var mu sync.Mutex
		var wg sync.WaitGroup
		submitted := f.count(MethodDo)
		for i := range 200 { // over 4 s, in which there is no owner
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 20 * time.Millisecond)
				r := f.submit(ctx, fmt.Sprintf("j%03d", i))
				mu.Lock()
				defer mu.Unlock()
				outcomes[r.Outcome]++
				if r.Outcome == OutcomeUnready {
					spread[r.RetryAfter]++
				}
			})
		}
		time.Sleep(4 * time.Second)
		f.log.elect("b")
		wg.Wait()
		// Those of the first 350 ms were written, and what the next owner accepts ends well.
		is.True(outcomes[OutcomeUncertain] <= 18)
		// Those of the last 1.8 s, but for a round of queries, the pause before it and the start of
		// the session, which may take 0.4 s together.
		is.True(outcomes[OutcomeAccepted] >= 70)
		is.Equal(outcomes[OutcomeUncertain]+outcomes[OutcomeAccepted]+outcomes[OutcomeUnready], 200)
		is.True(len(spread) == maxSpread)
		is.True(f.count(MethodDo)-submitted <= 18+18+outcomes[OutcomeAccepted]) // in doubt, none is written
		is.True(f.count(MethodAlive) > 0)
		is.True(f.count(MethodAlive) <= 4*1000/int(testTimeout/time.Millisecond)+2) // one at a time
	})
}

// Guards against a refusal by the next owner that is told as uncertain although no attempt can be
// carried out, and against one that is told as certain while the same owner may carry it out.
func TestRefusalOfTheNextOwnerIsCertain(t *testing.T) {
	for _, c := range []struct {
		name    string
		elect   galenahead.ReplicaName
		outcome Outcome
	}{{"next owner", "b", OutcomeRejected}, {"same daemon, next term", "a", OutcomeRejected}, {"same owner", "", OutcomeUncertain}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer func() { cancel(); time.Sleep(10 * time.Second) }()
				f := newLossFleet(ctx, 1)
				f.configure(ctx, t)
				// The owner refuses a job that was cancelled before.
				is.Equal(f.entry.Do(ctx, Request{Kind: RequestCancel, Host: "h", Path: "/q/j"}).Outcome, OutcomeNoJob)
				f.setSilent("a:1", true)
				done := make(chan Reply, 1)
				go func() { done <- f.submit(ctx, "j") }()
				time.Sleep(200 * time.Millisecond)
				f.setSilent("a:1", false)
				if c.elect != "" {
					f.log.elect(c.elect)
				}
				is.Equal((<-done).Outcome, c.outcome)
			})
		})
	}
}

// Guards against a submission that an owner of a later term carries out although its caller was told
// that it has not run, and against one that is told as accepted and is not in the log, where messages
// are lost, late or without an answer, and owners change.
func TestAnswersAreTrueAcrossOwners(t *testing.T) {
	certain, uncertain := 0, 0
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			f := newLossFleet(ctx, seed)
			f.configure(ctx, t)
			f.faulty = true
			var mu sync.Mutex
			answers := map[string][]Outcome{}
			var wg sync.WaitGroup
			for i := range 150 {
				at, id, late := time.Duration(f.draw(10000))*time.Millisecond, fmt.Sprintf("j%03d", i), f.draw(3) == 0
				cancelled := f.draw(4) == 0
				wg.Go(func() {
					time.Sleep(at)
					if cancelled {
						f.entry.Do(ctx, Request{Kind: RequestCancel, Host: "h", Path: "/q/" + id}) // so that it is refused
					}
					for range 2 {
						r := f.submit(ctx, id)
						mu.Lock()
						answers[id] = append(answers[id], r.Outcome)
						mu.Unlock()
						if !late || r.Outcome != OutcomeUncertain {
							return
						}
					}
				})
			}
			for range 12 {
				time.Sleep(time.Duration(200+f.draw(1500)) * time.Millisecond)
				f.log.elect([]galenahead.ReplicaName{"a", "b", ""}[f.draw(3)])
			}
			f.log.elect("a")
			wg.Wait()
			time.Sleep(10 * time.Second) // what is late arrives
			for id, outcomes := range answers {
				_, _, _, known := f.log.state.JobState(galenahead.JobID(id))
				last := outcomes[len(outcomes)-1]
				switch {
				case last == OutcomeAccepted && !known:
					t.Fatalf("seed %d: %s was accepted and is not known", seed, id)
				case last == OutcomeUncertain:
					uncertain++
				case last != OutcomeAccepted && known && len(outcomes) == 1:
					t.Fatalf("seed %d: %s was answered %s and is in the log", seed, id, last)
				case last != OutcomeAccepted:
					certain++
				}
			}
			cancel()
			time.Sleep(10 * time.Second)
		})
	}
	t.Logf("%d refusals that are certain, %d answers that are not", certain, uncertain)
	if certain < 100 {
		t.Fatalf("only %d certain refusals, want at least 100", certain)
	}
}

// Guards against an owner that carries out what was sent to another term, and against doubt in an
// owner that answers other calls.
func TestRequestsAreBoundToTheirTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		ctx, stop := startOwner(t, o, testConfig)
		defer stop()
		r := Request{Kind: RequestSubmit, Host: "h", Path: "/q/j", Spec: oneItem(galenajob.Resources{})}
		_, err := o.Do(ctx, r.WithTerm(7))
		is.True(errors.Is(err, galenahead.ErrNotLeader))
		reply, err := o.Do(ctx, r.WithTerm(1))
		is.NoErr(err)
		is.Equal(reply.Outcome, OutcomeAccepted)
	})
	is := is.New(t)
	var w ownerWatch
	now := time.Unix(1000, 0)
	owner := ownerAddress{"a:1", 1}
	is.True(!w.doubts(ownerAddress{}))
	w.noteAnswer(now.Add(time.Second), owner)
	w.noteSilence(now.Add(2*time.Second), now, owner) // it has said something since
	is.True(!w.doubts(owner))
	w.noteSilence(now.Add(3*time.Second), now.Add(2*time.Second), owner)
	is.True(w.doubts(owner))
	is.Equal(w.away(now.Add(4*time.Second)), time.Second)
	w.noteAnswer(now.Add(5*time.Second), owner)
	is.True(!w.doubts(owner))
	is.Equal(w.away(now.Add(6*time.Second)), time.Duration(0))
}

// Guards against a refusal that counts as certain although the state holds the job, or another
// submission of it is under way in the same session.
func TestCertaintyNeedsAnUnknownJobSubmittedAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		ctx, stop := startOwner(t, o, testConfig)
		defer stop()
		r := Request{Kind: RequestSubmit, Host: "h", Path: "/q/j", Spec: oneItem(galenajob.Resources{})}.WithTerm(1).WithRepeated()
		sess, err := o.currentSession()
		is.NoErr(err)
		refusal := unreadyReply("overloaded")
		certain := func(id galenahead.JobID) bool { return sess.withCertainty(&r, id, refusal).Term == 1 }
		sess.beginSubmit("j")
		is.True(certain("j"))
		sess.beginSubmit("j")
		is.True(!certain("j"))
		sess.endSubmit("j")
		sess.endSubmit("j")
		_, err = o.Do(ctx, r)
		is.NoErr(err)
		sess.beginSubmit("j")
		defer sess.endSubmit("j")
		is.True(!certain("j"))
		is.True(!certain(""))
		r.Term = 0
		is.True(!certain("k"))
	})
}
