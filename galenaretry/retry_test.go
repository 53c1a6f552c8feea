package galenaretry

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "rewrite golden files")

var startTime = time.Unix(1_700_000_000, 0)

func newRequest(idempotent bool, timeLeft time.Duration) galenahead.Request {
	return galenahead.Request{Service: "s", Idempotent: idempotent, Deadline: startTime.Add(timeLeft)}
}

// Guards against a second run of a non-idempotent request, a retry past the
// deadline, and endless attempts.
func TestDecide(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	b := New(Config{Random: rng.Float64})
	var out strings.Builder
	for _, idempotent := range []bool{false, true} {
		for _, unsent := range []bool{false, true} {
			for number := 1; number <= 4; number++ {
				a := Attempt{Number: number, Unsent: unsent, ExpectedRunTime: 10 * time.Millisecond}
				for _, timeLeft := range []time.Duration{10 * time.Millisecond, time.Second} {
					d := b.Decide(startTime, newRequest(idempotent, timeLeft), a)
					fmt.Fprintln(&out, idempotent, unsent, number, timeLeft, d.Retry, d.Delay, d.Reason)
				}
			}
		}
	}
	if *update {
		is.New(t).NoErr(os.WriteFile("testdata/decide.golden", []byte(out.String()), 0o644))
	}
	want, err := os.ReadFile("testdata/decide.golden")
	is.New(t).NoErr(err)
	is.New(t).Equal(out.String(), string(want))
}

// Guards against a retry storm: retries stop while every attempt fails, and stay
// below a tenth of the successful requests otherwise.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	b := New(Config{})
	retries := 0
	failOnce := func() {
		if b.Decide(startTime, newRequest(true, time.Minute), Attempt{Number: 1}).Retry {
			retries++
		}
	}
	for range 1000 {
		failOnce()
	}
	is.Equal(retries, defaultBurst)
	for range 1000 {
		b.RecordSuccess("s")
		failOnce()
	}
	is.True(retries >= defaultBurst+99 && retries <= defaultBurst+100)
}

// Guards against unsent attempts using up the retry budget of a service whose
// instances are merely busy, and against one service using another's budget.
func TestUnsentAttemptsUseNoTokens(t *testing.T) {
	is := is.New(t)
	b := New(Config{})
	before := b.Tokens("s")
	is.True(b.Decide(startTime, newRequest(false, time.Minute), Attempt{Number: 1, Unsent: true}).Retry)
	is.Equal(b.Tokens("s"), before)
	is.True(b.Decide(startTime, newRequest(true, time.Minute), Attempt{Number: 1}).Retry)
	is.Equal(b.Tokens("s"), before-1)
	is.Equal(b.Tokens("other"), before)
}

// Guards against delays that grow beyond their bound or are not spread.
func TestJitter(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(2, 2))
	b := New(Config{Random: rng.Float64, MaxAttempts: 100})
	var sum time.Duration
	for range 1000 {
		d := b.Decide(startTime, newRequest(true, time.Minute), Attempt{Number: 60, Unsent: true}).Delay
		is.True(d >= 0 && d < defaultMaxDelay)
		sum += d
	}
	mean := sum / 1000
	is.True(mean > defaultMaxDelay*9/20 && mean < defaultMaxDelay*11/20)
}
