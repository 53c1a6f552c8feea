package galenaaccount

import (
	"flag"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Guards against configurations whose accounts contradict each other, and against messages that do
// not name the account, or that name a key.
func TestCheckNamesTheAccountAndNoKey(t *testing.T) {
	is := is.New(t)
	key, other := DigestKey("secret-1"), DigestKey("secret-2")
	cases := []struct {
		name     string
		accounts []Account
	}{
		{"none", nil},
		{"two keys", []Account{{Name: "knots", Weight: 1, Keys: []Digest{key, other}}, {Name: "glue"}}},
		{"the same key twice in one account", []Account{{Name: "knots", Weight: 1, Keys: []Digest{key, key}}}},
		{"shared key", []Account{{Name: "knots", Keys: []Digest{other, key}}, {Name: "glue", Keys: []Digest{key}}}},
		{"same name", []Account{{Name: "knots"}, {Name: "knots"}}},
		{"no name", []Account{{Name: "knots"}, {}}},
		{"long name", []Account{{Name: galenahead.AccountName(strings.Repeat("k", galenahead.MaxIDLength+1))}}},
		{"negative weight", []Account{{Name: "knots", Weight: -1}}},
		{"no number", []Account{{Name: "knots", Weight: math.NaN()}}},
		{"negative limit", []Account{{Name: "knots", Limit: galenahead.Resources{MemoryMB: -5}}}},
		{"huge limit", []Account{{Name: "knots", Limit: galenahead.Resources{GPU: math.MaxInt64}}}},
	}
	var out strings.Builder
	for _, c := range cases {
		result := "valid"
		if err := Check(c.accounts); err != nil {
			result = err.Error()
		}
		out.WriteString(c.name + ": " + result + "\n")
	}
	for _, k := range []Digest{key, other, "secret"} {
		is.True(!strings.Contains(out.String(), string(k)))
	}
	const golden = "testdata/check.golden"
	if *update {
		is.NoErr(os.WriteFile(golden, []byte(out.String()), 0o644))
	}
	want, err := os.ReadFile(golden)
	is.NoErr(err)
	is.Equal(out.String(), string(want))
}

// Guards against an account that loses its limit, or gets a key back, because a configuration does
// not name it any more.
func TestRetiredAccountsKeepTheirLimits(t *testing.T) {
	is := is.New(t)
	key := DigestKey("k")
	before := []Account{{Name: "a", Weight: 2, Limit: galenahead.Resources{MilliCPU: 5}, Keys: []Digest{key}}, {Name: "b"}}
	retired := Retire(nil, before, before[1:])
	is.Equal(retired, []Account{{Name: "a", Weight: 2, Limit: galenahead.Resources{MilliCPU: 5}}})
	is.Equal(Retire(retired, before[1:], nil), []Account{{Name: "b"}, retired[0]})
	is.Equal(len(Retire(retired, before[1:], before)), 0)
	is.Equal(len(NewKeys(retired)), 0)
}

// Guards against a limit of one resource that bounds another, and against counts that outlast a
// change of the configuration or vanish with it.
func TestLedgerKeepsLimits(t *testing.T) {
	is := is.New(t)
	var l Ledger
	is.True(!l.Active())
	is.True(l.Take("a", galenahead.Resources{MilliCPU: 9}))
	l.SetAccounts([]Account{{Name: "a", Weight: 1, Limit: galenahead.Resources{MilliCPU: 10}}})
	is.True(l.Active())
	is.True(!l.Take("a", galenahead.Resources{MilliCPU: 2, MemoryMB: 1}))
	is.True(l.Take("a", galenahead.Resources{MilliCPU: 1, MemoryMB: 1 << 40}))
	is.True(l.Take("a", galenahead.Resources{MemoryMB: 1})) // needs nothing of what is used up
	is.True(!l.CanEver("a", galenahead.Resources{MilliCPU: 11}))
	is.True(l.CanEver("a", galenahead.Resources{MilliCPU: 10}))
	l.SetAccounts(nil)
	is.Equal(l.Standing("a").Running.MilliCPU, int64(10))
	is.True(l.Fits("a", galenahead.Resources{MilliCPU: 5}))
	l.Release("a", galenahead.Resources{MilliCPU: 10, MemoryMB: 1<<40 + 1})
	l.SetAccounts(nil)
	is.Equal(l.Standing("a"), Standing{})
}

// Guards against expected work that leaves room below the limit, and against a limit that is over
// without more work.
func TestLedgerCountsExpectedWork(t *testing.T) {
	is := is.New(t)
	var l Ledger
	l.SetAccounts([]Account{{Name: "a", Weight: 1, Limit: galenahead.Resources{MilliCPU: 10}}})
	l.Expect("a", galenahead.Resources{MilliCPU: 6})
	is.True(!l.Fits("a", galenahead.Resources{MilliCPU: 5}))
	l.EndExpectation("a", galenahead.Resources{MilliCPU: 6})
	l.Charge("a", galenahead.Resources{MilliCPU: 12})
	is.True(l.Over("a"))
	is.Equal(l.Room("a").MilliCPU, int64(0))
	l.Release("a", galenahead.Resources{MilliCPU: 2})
	is.True(!l.Over("a"))
}

// Guards against shares by one resource alone, and against a weight of zero that divides by it.
func TestShareIsThatOfTheScarcestResource(t *testing.T) {
	is := is.New(t)
	var l Ledger
	l.SetAccounts([]Account{{Name: "a", Weight: 2}, {Name: "b", Weight: 2}, {Name: "z"}})
	l.AddCapacity(galenahead.Resources{MilliCPU: 1000, MemoryMB: 100})
	l.Charge("a", galenahead.Resources{MilliCPU: 100, MemoryMB: 50})
	l.Charge("b", galenahead.Resources{MilliCPU: 400, MemoryMB: 1})
	is.Equal(l.Share("a"), 0.5)
	is.Equal(l.Share("b"), 0.4)
	is.Equal(l.Share("z"), 0.0)
	is.True(l.Turn("b") < l.Turn("a"))
	l.Charge("z", galenahead.Resources{MilliCPU: 1})
	is.True(l.Turn("z") > l.Turn("a"))
	is.Equal(l.Weight(""), 4.0/3)
	is.True(l.Weight("z") > 0)
}

// Guards against an account that, after a pause or with little to do, claims what others took
// meanwhile, and against one that owes for long what nobody else wanted.
func TestTurnsForgetThePast(t *testing.T) {
	is := is.New(t)
	var l Ledger
	now := time.Unix(1000, 0)
	l.SetAccounts([]Account{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}, {Name: "c", Weight: 1}})
	l.AddCapacity(galenahead.Resources{MilliCPU: 100})
	play := func(d time.Duration, names ...galenahead.AccountName) {
		for end := now.Add(d); now.Before(end); now = now.Add(advanceInterval) {
			l.Wait(now, names)
		}
	}
	l.Charge("a", galenahead.Resources{MilliCPU: 90})
	l.Charge("b", galenahead.Resources{MilliCPU: 10})
	play(time.Minute, "a")
	play(advanceInterval, "a", "c")
	is.True(l.Turn("c") >= l.accounts["a"].served-0.02) // no claim for the minute

	play(time.Minute, "a", "b")
	lead := l.accounts["a"].served - l.accounts["b"].served
	is.True(lead > 0)
	is.True(lead <= maxLead.Seconds()/3+0.01) // two seconds in which each of three gets a third

	// While both wait, the one that was served less goes first, until it has caught up.
	l.Release("a", galenahead.Resources{MilliCPU: 90})
	l.Charge("b", galenahead.Resources{MilliCPU: 80})
	is.True(l.Turn("b") > l.Turn("a")-lead)
	play(maxLead, "a", "b")
	is.True(l.Turn("b") > l.Turn("a"))
}

// Guards against a wait that counts all work of others, or none of it.
func TestWorkBeforeCountsWhatOthersGetMeanwhile(t *testing.T) {
	is := is.New(t)
	is.Equal(WorkBefore(100, 1, nil), int64(100))
	is.Equal(WorkBefore(100, 1, []Backlog{{1, 1000}, {1, 30}}), int64(230))
	is.Equal(WorkBefore(100, 2, []Backlog{{1, 1000}}), int64(150))
	is.Equal(WorkBefore(0, 1, []Backlog{{1, 1000}}), int64(0))
}

// Guards against a rate that grows over a pause, or that a weight below one never reaches.
func TestRateIsOfOneSecond(t *testing.T) {
	is := is.New(t)
	var r Rates
	now := time.Unix(1000, 0)
	within := func(name galenahead.AccountName, weight float64, n int) int {
		count := 0
		for range n {
			if r.Submit(now, name, weight) {
				count++
			}
		}
		return count
	}
	is.Equal(within("a", 4, 10), 4)
	now = now.Add(500 * time.Millisecond)
	is.Equal(within("a", 4, 10), 2)
	now = now.Add(time.Hour)
	is.Equal(within("a", 4, 10), 4)
	is.Equal(within("b", 0.5, 10), 1)
	now = now.Add(2 * time.Second)
	is.Equal(within("b", 0.5, 10), 1)
	r.Reject("a")
	is.Equal(r.Rejected("a"), int64(1))
	r.Keep([]Account{{Name: "b"}})
	is.Equal(r.Rejected("a"), int64(0))
}
