package galenafleet

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenagate"
	"github.com/galenahead/galenahead/galenajob"
	"github.com/galenahead/galenahead/galenarpc"
	"github.com/galenahead/galenahead/galenatimer"
)

// readFleet connects an entry, a control daemon that collects reads and an owner.
type readFleet struct {
	owner *Owner
	muxes map[string]*galenarpc.Mux
	// calls counts the calls by address and method. down holds the addresses that do not
	// answer.
	calls map[string]int
	down  map[string]bool
	mu    sync.Mutex
}

func (f *readFleet) Call(ctx context.Context, addr, method string, params, result any) error {
	f.mu.Lock()
	f.calls[addr+" "+method]++
	down := f.down[addr]
	f.mu.Unlock()
	if down {
		return galenahead.ErrUnreachable
	}
	return f.muxes[addr].Call(ctx, method, params, result)
}

func (f *readFleet) Notify(context.Context, string, string, any) error { return nil }

func (f *readFleet) client() *OwnerClient {
	oc := testOwnerClient(nil)
	oc.RPCClient = f
	oc.Directory.leader = "owner:1"
	oc.Directory.members = []galenahead.Member{{Name: "owner", Address: "owner:1"}, {Name: "other", Address: "other:1"}}
	return oc
}

func newReadFleet(t *testing.T) (f *readFleet, ctx context.Context) {
	o, _ := testOwner()
	o.Gate = &galenagate.Gate{AtOnce: 1}
	f = &readFleet{owner: o, muxes: map[string]*galenarpc.Mux{"owner:1": {}, "other:1": {}}, calls: map[string]int{}, down: map[string]bool{}}
	o.Register(f.muxes["owner:1"])
	reads := &ReadCollector{Owner: f.client(), Timers: &galenatimer.Service{}}
	reads.Register(f.muxes["other:1"])
	ctx, stop := startOwner(t, o, testConfig)
	go func() { _ = reads.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		time.Sleep(2 * time.Second)
	})
	return f, ctx
}

// Pattern: many questions for the state of jobs while the owner is short of processor time.
// Guards against a message to the owner for each of them, and against answers that are older
// than what the caller already knows.
func TestReadsOfABusyOwnerAreCollected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, ctx := newReadFleet(t)
		entry := f.client()
		submit := Request{Kind: RequestSubmit, Host: "h", Path: "/q/j", Spec: &galenajob.Spec{Steps: []galenajob.Step{{Count: 1}}}}
		state := Request{Kind: RequestState, Host: "h", Path: "/q/j"}
		is.Equal(entry.Do(ctx, state).Outcome, OutcomeNoJob)
		is.Equal(f.calls["other:1 "+MethodRead], 0) // the owner is not busy

		f.owner.Gate.Enter(galenagate.Renewal)
		time.AfterFunc(busyWait+10*time.Millisecond, f.owner.Gate.Leave)
		is.Equal(entry.Do(ctx, submit).Outcome, OutcomeAccepted)
		var wg sync.WaitGroup
		for range 50 {
			wg.Go(func() {
				r := entry.Do(ctx, state)
				is.Equal(r.Outcome, OutcomeState) // also at once after the submission
				is.Equal(r.State, galenajob.StateQueued)
			})
		}
		wg.Wait()
		is.Equal(f.calls["other:1 "+MethodRead], 50)
		is.Equal(f.calls["owner:1 "+MethodReads], 1)
		is.Equal(f.calls["owner:1 "+MethodDo], 2)

		f.down["other:1"] = true
		is.Equal(entry.Do(ctx, state).Outcome, OutcomeState) // from the owner
		is.Equal(f.calls["owner:1 "+MethodDo], 3)
		time.Sleep(spreadTime)
		is.Equal(entry.Do(ctx, Request{Kind: RequestWaiting, Host: "h", Path: "/q/"}).Waiting, 1)
		is.Equal(f.calls["owner:1 "+MethodDo], 4) // it is not busy any more
	})
}

// Guards against a request that changes something and reaches the owner as a read, and against
// collected reads that are answered without a valid lease or too late.
func TestOnlyTimelyReadsAreAnsweredInBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, ctx := newReadFleet(t)
		cancel := Request{Kind: RequestCancel, Host: "h", Path: "/q/j"}
		is.True(errors.Is(f.Call(ctx, "other:1", MethodRead, cancel, nil), galenahead.ErrInvalid))
		is.True(errors.Is(f.Call(ctx, "owner:1", MethodReads, ReadBatch{[]Request{cancel}}, nil), galenahead.ErrInvalid))
		read := ReadBatch{[]Request{{Kind: RequestState, Host: "h", Path: "/q/j"}}}
		_, err := f.owner.readInTurn(ctx, read, maxRequestWait+time.Millisecond)
		is.True(errors.Is(err, galenahead.ErrOverloaded))
		f.owner.Log.(*fakeLog).gap.Store(true)
		_, err = f.owner.readInTurn(ctx, read, 0)
		is.True(errors.Is(err, galenahead.ErrNotLeader))
		f.owner.Log.(*fakeLog).gap.Store(false)
	})
}
