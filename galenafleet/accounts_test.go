package galenafleet

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenaaccount"
	"github.com/galenahead/galenahead/galenajob"
)

var (
	knotsKey, glueKey = galenaaccount.DigestKey("knots-1"), galenaaccount.DigestKey("glue-1")
	otherKey          = galenaaccount.DigestKey("nobody")
)

// accountsConfig is testConfig with two client accounts and a public queue.
func accountsConfig(version uint64, accounts ...galenaaccount.Account) Config {
	c := testConfig
	c.Version, c.RequiresKeys, c.Accounts = version, true, accounts
	c.Queues = append(c.Queues[:1:1], QueueRule{Name: "open", Host: "h", Prefix: "/open/", Service: "counter", MaxAttempts: 2, Stretch: 1.6, Public: true})
	return c
}

func knotsAndGlue() []galenaaccount.Account {
	return []galenaaccount.Account{
		{Name: "knots", Weight: 3, Keys: []galenaaccount.Digest{knotsKey}},
		{Name: "glue", Weight: 1, Keys: []galenaaccount.Digest{glueKey}},
	}
}

func oneItem(need galenajob.Resources) *galenajob.Spec {
	return &galenajob.Spec{Steps: []galenajob.Step{{Count: 1, Need: need}}}
}

func ask(ctx context.Context, t *testing.T, o *Owner, kind RequestKind, path string, key galenaaccount.Digest) Reply {
	t.Helper()
	r, err := o.Do(ctx, Request{Kind: kind, Host: "h", Path: path, Key: key, Spec: oneItem(galenajob.Resources{MilliCPU: 10})})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against requests without a valid key that are carried out, for each kind of request, and
// against accounts that see or cancel the jobs of others.
func TestJobsBelongToTheirAccounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		ctx, stop := startOwner(t, o, testConfig)
		defer stop()
		is.Equal(ask(ctx, t, o, RequestSubmit, "/q/early", "").Outcome, OutcomeAccepted)
		_, err := o.Configure(ctx, accountsConfig(2, knotsAndGlue()...))
		is.NoErr(err)
		for _, kind := range []RequestKind{RequestSubmit, RequestState, RequestCancel, RequestWaiting} {
			for _, key := range []galenaaccount.Digest{"", otherKey} {
				r := ask(ctx, t, o, kind, "/q/j1", key)
				is.Equal(r.Outcome, OutcomeUnauthorized)
				is.Equal(r.ConfigVersion, uint64(2))
			}
		}
		is.Equal(ask(ctx, t, o, RequestSubmit, "/q/j1", knotsKey).Outcome, OutcomeAccepted)
		is.Equal(ask(ctx, t, o, RequestSubmit, "/q/j1", knotsKey).Outcome, OutcomeAccepted) // sent again
		is.Equal(ask(ctx, t, o, RequestState, "/q/j1", knotsKey).Outcome, OutcomeState)
		is.Equal(ask(ctx, t, o, RequestState, "/q/j1", glueKey).Outcome, OutcomeNoJob)
		is.Equal(ask(ctx, t, o, RequestCancel, "/q/j1", glueKey).Outcome, OutcomeNoJob)
		is.Equal(ask(ctx, t, o, RequestSubmit, "/q/j1", glueKey).Outcome, OutcomeInvalid) // the ID is taken
		is.Equal(ask(ctx, t, o, RequestState, "/open/j1", "").Outcome, OutcomeNoJob)      // not by a public queue either
		is.Equal(ask(ctx, t, o, RequestWaiting, "/q/", glueKey).Waiting, 2)
		is.Equal(ask(ctx, t, o, RequestState, "/q/early", glueKey).Outcome, OutcomeState) // from before the accounts

		// What one account cancels before it is submitted says nothing about the job of another.
		is.Equal(ask(ctx, t, o, RequestCancel, "/q/j2", glueKey).Outcome, OutcomeNoJob)
		is.Equal(ask(ctx, t, o, RequestSubmit, "/q/j2", glueKey).Outcome, OutcomeRejected)
		is.Equal(ask(ctx, t, o, RequestSubmit, "/q/j2", knotsKey).Outcome, OutcomeAccepted)

		is.Equal(ask(ctx, t, o, RequestSubmit, "/open/j3", "").Outcome, OutcomeAccepted)
		is.Equal(ask(ctx, t, o, RequestSubmit, "/open/j4", knotsKey).Account, galenahead.AccountName("knots"))
		is.Equal(ask(ctx, t, o, RequestCancel, "/q/j1", knotsKey).Outcome, OutcomeAccepted)
	})
}

// Guards against a withdrawn key that still works, and against an account whose jobs are gone or
// stopped once it has lost all its keys.
func TestWithdrawnKeyAndNewKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		ctx, stop := startOwner(t, o, accountsConfig(1, knotsAndGlue()...))
		defer stop()
		_, err := o.Heartbeat(ctx, testHeartbeat)
		is.NoErr(err)
		is.Equal(ask(ctx, t, o, RequestSubmit, "/q/j1", knotsKey).Outcome, OutcomeAccepted)
		accounts := knotsAndGlue()
		accounts[0].Keys = nil
		_, err = o.Configure(ctx, accountsConfig(2, accounts...))
		is.NoErr(err)
		is.Equal(ask(ctx, t, o, RequestState, "/q/j1", knotsKey).Outcome, OutcomeUnauthorized)
		time.Sleep(5 * time.Second)
		newKey := galenaaccount.DigestKey("knots-2")
		accounts[0].Keys = []galenaaccount.Digest{newKey}
		_, err = o.Configure(ctx, accountsConfig(3, accounts...))
		is.NoErr(err)
		is.Equal(ask(ctx, t, o, RequestState, "/q/j1", newKey).State, galenajob.StateCompleted)
		is.Equal(ask(ctx, t, o, RequestState, "/q/j1", knotsKey).Outcome, OutcomeUnauthorized)
	})
}

// Guards against a configuration with no account left that opens the queues to all.
func TestQueuesStayClosedWithoutAccounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		ctx, stop := startOwner(t, o, accountsConfig(1))
		defer stop()
		is.Equal(ask(ctx, t, o, RequestSubmit, "/q/j1", knotsKey).Outcome, OutcomeUnauthorized)
		is.Equal(ask(ctx, t, o, RequestSubmit, "/open/j1", "").Outcome, OutcomeAccepted)
	})
}

// Guards against a job that waits for ever because its work item exceeds its account's limit, and
// against a rejection of what the limit allows.
func TestWorkThatNeverFitsTheLimitIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		accounts := knotsAndGlue()
		accounts[0].Limit = galenajob.Resources{MilliCPU: 100}
		ctx, stop := startOwner(t, o, accountsConfig(1, accounts...))
		defer stop()
		submit := func(path string, step galenajob.Step) Reply {
			r, err := o.Do(ctx, Request{Kind: RequestSubmit, Host: "h", Path: path, Key: knotsKey, Spec: &galenajob.Spec{Steps: []galenajob.Step{step}}})
			is.NoErr(err)
			return r
		}
		need := galenajob.Resources{MilliCPU: 50}
		is.Equal(submit("/q/fits", galenajob.Step{Count: 9, Need: galenajob.Resources{MilliCPU: 100, MemoryMB: 1 << 30}}).Outcome, OutcomeAccepted)
		is.Equal(submit("/q/gang-fits", galenajob.Step{Count: 2, Need: need, Gang: true}).Outcome, OutcomeAccepted)
		is.Equal(submit("/q/gang", galenajob.Step{Count: 3, Need: need, Gang: true}).Outcome, OutcomeInvalid)
		r := submit("/q/large", galenajob.Step{Count: 1, Need: galenajob.Resources{MilliCPU: 101}})
		is.Equal(r.Outcome, OutcomeInvalid)
		is.True(r.Reason != "")
	})
}

// startingInstances counts what it is told to start, and never ends a run.
type startingInstances struct{ slowInstances }

func (f *startingInstances) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.running)
}

// Guards against a limit that a new owner does not know, that a configuration changes without
// effect, or that an account loses because a configuration does not name it any more.
func TestLimitsOutliveOwnersAndConfigurations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, log := testOwner()
		f := &startingInstances{slowInstances{fakeInstances{running: map[galenajob.ItemID]int64{}}}}
		o.Instances = f
		accounts := knotsAndGlue()
		accounts[0].Limit = galenajob.Resources{MilliCPU: 100}
		ctx, stop := startOwner(t, o, accountsConfig(1, accounts...))
		defer stop()
		_, err := o.Heartbeat(ctx, testHeartbeat)
		is.NoErr(err)
		for i := range 30 {
			is.Equal(ask(ctx, t, o, RequestSubmit, fmt.Sprintf("/q/j%02d", i), knotsKey).Outcome, OutcomeAccepted)
		}
		time.Sleep(time.Second)
		is.Equal(f.count(), 10)

		log.holdsLease.Store(false)
		time.Sleep(time.Second)
		log.holdsLease.Store(true)
		time.Sleep(3 * time.Second)
		is.Equal(f.count(), 10)
		accounts[0].Limit.MilliCPU = 150
		_, err = o.Configure(ctx, accountsConfig(2, accounts...))
		is.NoErr(err)
		time.Sleep(time.Second)
		is.Equal(f.count(), 15)

		_, err = o.Configure(ctx, accountsConfig(3, accounts[1]))
		is.NoErr(err)
		time.Sleep(10 * time.Second)
		is.Equal(f.count(), 15)
		v, err := o.View(ctx, ViewQuery{Part: PartAccounts})
		is.NoErr(err)
		is.Equal(len(v.Accounts), 2)
		is.Equal(v.Accounts[1].Name, galenahead.AccountName("knots"))
		is.True(v.Accounts[1].Retired)
		is.Equal(v.Accounts[1].Running.MilliCPU, int64(150))
		is.Equal(v.Accounts[1].Waiting, 15)
		is.Equal(v.Accounts[1].FairMille, 750)
	})
}

// Guards against a snapshot without the accounts, their jobs and what they have cancelled.
func TestSnapshotKeepsAccounts(t *testing.T) {
	is := is.New(t)
	var s, restored State
	apply := func(op Op) {
		b, err := encodeCommand([]Op{op})
		is.NoErr(err)
		s.Apply(1, b)
	}
	first, second := accountsConfig(1, knotsAndGlue()...), accountsConfig(2, knotsAndGlue()[1])
	apply(Op{Config: &first})
	apply(Op{Submit: &galenajob.Job{ID: "j", Queue: "q", Service: "counter", Account: "knots", Excess: true, Spec: *oneItem(galenajob.Resources{})}})
	apply(Op{Cancel: &CancelOp{Job: "k", Account: "glue"}})
	apply(Op{Config: &second})
	b, err := s.Snapshot()
	is.NoErr(err)
	is.NoErr(restored.Restore(b))
	is.Equal(restored.accounts(), s.accounts())
	is.Equal(len(restored.accounts()), 2)
	is.True(restored.cancelledBefore("glue", "k"))
	is.True(!restored.cancelledBefore("knots", "k"))
	is.True(restored.activeJob("j").Excess)
	m, ok := restored.match(&Request{Host: "h", Path: "/q/j", Key: glueKey})
	is.True(ok && m.authorized)
	m, _ = restored.match(&Request{Host: "h", Path: "/q/j", Key: knotsKey})
	is.True(!m.authorized)
	cutoff := time.Now()
	apply(Op{Cancel: &CancelOp{Job: "j", Account: "knots", At: cutoff.Add(-time.Minute)}})
	apply(Op{Expire: &cutoff})
	is.Equal(len(s.accounts()), 1) // nothing of the other one is left
}

// Guards against more jobs within the rate of an account than its weight, and against counters for
// any number of accounts.
func TestRatesAndCountersOfAccounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		accounts := knotsAndGlue()
		for i := range 2 * maxCountedAccounts {
			accounts = append(accounts, galenaaccount.Account{Name: galenahead.AccountName(fmt.Sprintf("a%03d", i)), Weight: 1, Keys: []galenaaccount.Digest{galenaaccount.DigestKey(fmt.Sprint(i))}})
		}
		ctx, stop := startOwner(t, o, accountsConfig(1, accounts...))
		defer stop()
		for i := range 5 {
			ask(ctx, t, o, RequestSubmit, fmt.Sprintf("/q/j%d", i), knotsKey)
		}
		excess := 0
		for _, j := range o.State.activeJobs() {
			if j.Excess {
				excess++
			}
		}
		is.Equal(excess, 2) // its weight is 3
		for i := range 2 * maxCountedAccounts {
			ask(ctx, t, o, RequestSubmit, fmt.Sprintf("/q/k%03d", i), galenaaccount.DigestKey(fmt.Sprint(i)))
		}
		counters := o.Metrics.Snapshot().Counters
		is.Equal(counters["account_accepted_knots"], int64(5))
		is.Equal(counters["account_accepted_other"], int64(maxCountedAccounts+2))
	})
}
