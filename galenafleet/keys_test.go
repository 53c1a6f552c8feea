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
	"github.com/galenahead/galenahead/galenagate"
	"github.com/galenahead/galenahead/galenarpc"
)

// keyFleet is an owner with client accounts, and an entry.
type keyFleet struct {
	*readFleet
	t     *testing.T
	log   *fakeLog
	entry *OwnerClient
}

func newKeyFleet(t *testing.T, c Config) (*keyFleet, context.Context) {
	o, log := testOwner()
	o.Gate = &galenagate.Gate{AtOnce: 1}
	f := &keyFleet{readFleet: &readFleet{owner: o, muxes: map[string]*galenarpc.Mux{"owner:1": {}}, calls: map[string]int{}, down: map[string]bool{}}, t: t, log: log}
	o.Register(f.muxes["owner:1"])
	f.entry = f.client()
	ctx, stop := startOwner(t, o, c)
	t.Cleanup(stop)
	return f, ctx
}

// request sends a request as an entry does.
func (f *keyFleet) request(ctx context.Context, path string, key galenaaccount.Digest) Outcome {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if r, ok := f.entry.Authorize(ctx, "h", path, key); !ok {
		return r.Outcome
	}
	return f.entry.Do(ctx, Request{Kind: RequestState, Host: "h", Path: path, Key: key}).Outcome
}

// Load: a flood of different wrong keys, and of requests without any. Guards against one that
// reaches the owner, against good keys that are refused meanwhile, and against lines of a log
// without bound.
func TestFloodOfWrongKeysEndsAtTheEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, ctx := newKeyFleet(t, accountsConfig(1, knotsAndGlue()...))
		is.Equal(f.request(ctx, "/q/j", otherKey), OutcomeUnauthorized) // the owner's word
		const floodFor = 10 * time.Second
		for i := 0; i < int(floodFor/time.Millisecond); i++ {
			key := galenaaccount.DigestKey(fmt.Sprint("wrong", i))
			if i%2 == 0 {
				key = ""
			}
			is.Equal(f.request(ctx, "/q/j", key), OutcomeUnauthorized)
			if i%100 == 0 {
				is.Equal(f.request(ctx, "/q/j", knotsKey), OutcomeNoJob)
				is.Equal(f.request(ctx, "/open/j", key), OutcomeNoJob)
				is.Equal(f.request(ctx, "/none/j", key), OutcomeNoQueue)
			}
			time.Sleep(time.Millisecond)
		}
		is.True(f.calls["owner:1 "+MethodKeys] <= 2+int(floodFor/maxKeyCopyAge))
		is.Equal(f.calls["owner:1 "+MethodDo], 1+3*100)
		is.True(f.entry.Metrics.Snapshot().Counters["answer_unauthorized"] >= 10_000)
	})
}

// Guards against a new key that is refused for longer than a copy is good, and against an old copy
// that refuses what the entry has seen in force.
func TestNewKeyIsAcceptedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, ctx := newKeyFleet(t, accountsConfig(1, knotsAndGlue()[0]))
		is.Equal(f.request(ctx, "/q/j", glueKey), OutcomeUnauthorized)
		is.Equal(f.request(ctx, "/q/j", glueKey), OutcomeUnauthorized) // by a copy
		_, err := f.owner.Configure(ctx, accountsConfig(2, knotsAndGlue()...))
		is.NoErr(err)
		is.Equal(f.request(ctx, "/q/j", glueKey), OutcomeUnauthorized) // by the same copy
		time.Sleep(maxKeyCopyAge)
		is.Equal(f.request(ctx, "/q/j", glueKey), OutcomeNoJob)

		newKey := galenaaccount.DigestKey("knots-2")
		is.Equal(f.request(ctx, "/q/j", newKey), OutcomeUnauthorized)
		accounts := knotsAndGlue()
		accounts[0].Keys = append(accounts[0].Keys, newKey)
		_, err = f.owner.Configure(ctx, accountsConfig(3, accounts...))
		is.NoErr(err)
		is.Equal(f.request(ctx, "/q/j", knotsKey), OutcomeNoJob) // shows that version 3 is in force
		is.Equal(f.request(ctx, "/q/j", newKey), OutcomeNoJob)
	})
}

// Guards against an entry that accepts a withdrawn key, or refuses one by an old copy, while its
// link to the owner is cut, and against keys that are needed only once an entry starts again.
func TestEntryWithoutOwnerDecidesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, ctx := newKeyFleet(t, testConfig)
		is.Equal(f.request(ctx, "/q/j", ""), OutcomeNoJob) // no accounts yet
		_, err := f.owner.Configure(ctx, accountsConfig(2, knotsAndGlue()...))
		is.NoErr(err)
		is.Equal(f.request(ctx, "/q/j", ""), OutcomeUnauthorized)
		is.Equal(f.request(ctx, "/q/j", glueKey), OutcomeNoJob)
		f.down["owner:1"] = true
		_, err = f.owner.Configure(ctx, accountsConfig(3, knotsAndGlue()[0]))
		is.NoErr(err)
		is.Equal(f.request(ctx, "/q/j", glueKey), OutcomeUnready)
		time.Sleep(maxKeyCopyAge)
		is.Equal(f.request(ctx, "/q/j", otherKey), OutcomeUnready)
		f.down["owner:1"] = false
		f.entry.Directory.leader = "owner:1"
		is.Equal(f.request(ctx, "/q/j", glueKey), OutcomeUnauthorized)
		is.Equal(f.request(ctx, "/q/j", knotsKey), OutcomeNoJob)
	})
}

// Guards against requests that an entry refuses because the owner is of an earlier version, which
// knows no copies of keys.
func TestOwnerWithoutCopiesOfKeysDecides(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, ctx := newKeyFleet(t, accountsConfig(1, knotsAndGlue()...))
		f.entry.keys.wanted.Store(true)
		mux := &galenarpc.Mux{}
		galenarpc.Handle(mux, MethodDo, func(context.Context, Request) (Reply, error) { return Reply{Outcome: OutcomeNoJob}, nil })
		f.muxes["owner:1"] = mux
		is.Equal(f.request(ctx, "/q/j", otherKey), OutcomeNoJob)
	})
}

// Guards against an owner that answers from a configuration which a later one has replaced.
func TestOwnerWithoutLeaseGivesNoKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, ctx := newKeyFleet(t, accountsConfig(1, knotsAndGlue()...))
		f.log.gap.Store(true)
		_, err := f.owner.Keys(ctx, KeysQuery{})
		is.Equal(err, galenahead.ErrNotLeader)
		f.log.gap.Store(false)
		r, err := f.owner.Keys(ctx, KeysQuery{Version: 1})
		is.NoErr(err)
		is.True(r.Required && len(r.Content) == 0) // the copy is current
	})
}
