package galenabudget

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "rewrite golden files")

var startTime = time.Unix(1_700_000_000, 0)

// Guards against an accidental change of the JSON format that operators read,
// and against a wrong remaining share.
func TestSnapshotGolden(t *testing.T) {
	is := is.New(t)
	b := New(Config{Targets: map[galenahead.ServiceName]float64{"courier": 0.9}})
	rng := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		result := OnTime
		if rng.IntN(20) == 0 {
			result = Result(rng.IntN(int(resultCount)))
		}
		b.Record(startTime, "courier", galenahead.CallerName(fmt.Sprint("shop-", rng.IntN(3))), result)
	}
	b.Record(startTime, "counter", "shop-0", Unknown)
	got, err := b.JSON(startTime)
	is.NoErr(err)
	if *update {
		is.NoErr(os.WriteFile("testdata/snapshot.golden", append(got, '\n'), 0o644))
	}
	want, err := os.ReadFile("testdata/snapshot.golden")
	is.NoErr(err)
	is.Equal(string(got)+"\n", string(want))
	is.True(b.LowestRemaining(startTime, "counter") < -98)
	is.Equal(b.LowestRemaining(startTime, "intake"), 1.0)
}

// Guards against counts that stay in the window too long, leave it too early,
// or are lost when results arrive out of order or after a long pause.
func TestWindow(t *testing.T) {
	is := is.New(t)
	b := New(Config{Window: time.Minute})
	type event struct {
		at   time.Time
		late bool
	}
	var events []event
	rng := rand.New(rand.NewPCG(2, 2))
	now := startTime
	for range 2000 {
		now = now.Add(time.Duration(rng.IntN(200)) * time.Millisecond)
		if rng.IntN(200) == 0 {
			now = now.Add(time.Duration(rng.IntN(120)) * time.Second)
		}
		e := event{at: now.Add(-time.Duration(rng.IntN(3)) * time.Second), late: rng.IntN(2) == 0}
		result := OnTime
		if e.late {
			result = Late
		}
		b.Record(now, "s", "advance", OnTime)
		b.Record(e.at, "s", "c", result)
		events = append(events, e)
		var want [2]int64
		for _, x := range events {
			if x.at.Unix() > now.Unix()-60 {
				want[map[bool]int{false: 0, true: 1}[x.late]]++
			}
		}
		r := b.Report(now, "s", "c")
		is.Equal([2]int64{r.OnTime, r.Late}, want)
	}
}

// Guards against memory that grows with the number of callers, and against
// losing the counts of the callers beyond MaxCallers.
func TestBoundedCallers(t *testing.T) {
	is := is.New(t)
	b := New(Config{MaxCallers: 4})
	for i := range 1000 {
		b.Record(startTime, "s", galenahead.CallerName(fmt.Sprint(i)), OnTime)
	}
	reports := b.Snapshot(startTime)
	is.Equal(len(reports), 5)
	is.Equal(b.Report(startTime, "s", OtherCallers).OnTime, int64(996))
}

// Guards against a budget that keeps its previous target after a configuration
// change.
func TestSetTargets(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := New(Config{Targets: map[galenahead.ServiceName]float64{"s": 0.9}})
	for range 99 {
		b.Record(now, "s", "c", OnTime)
	}
	b.Record(now, "s", "c", Refused)
	is.True(b.Report(now, "s", "c").Remaining > 0.89)
	b.SetTargets(map[galenahead.ServiceName]float64{"s": 0.98})
	remaining := b.Report(now, "s", "c").Remaining
	is.True(remaining > 0.49 && remaining < 0.51)
}
