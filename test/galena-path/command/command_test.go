package command

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead/test/galena-path/load"
)

// Guards against a check that passes although a goal is missed, and against a
// comparison of results of different rounds.
func TestCheckListsUnmetGoals(t *testing.T) {
	is := is.New(t)
	rates := func(all ...float64) *loadSeries {
		l := &loadSeries{}
		for _, v := range all {
			l.addResult(load.Result{PerSecond: v, P50: time.Duration(v) * time.Microsecond})
		}
		return l
	}
	o := &Options{Rounds: 3, Check: true}
	m := &measurement{options: o, directFull: rates(100, 200, 400)}
	m.kinds = []*requestKind{
		{name: "a", full: rates(50, 100, 200), half: rates(300, 500, 399), directHalf: rates(10, 201, 100)},
		{name: "b", full: rates(400, 98, 4), half: rates(400, 500, 301), directHalf: rates(100, 100, 100)},
	}
	var out bytes.Buffer
	o.Out = &out
	err := m.check(o)
	is.True(err != nil)
	is.Equal(err.Error(), "goals not met: b throughput, b added latency")
	lines := strings.Split(out.String(), "\n")
	is.Equal(lines[0], "met a throughput: 0.50 of direct (at least 0.50)")
	is.Equal(lines[1], "met a added latency: 299µs at the median at half load (below 300µs)")
	is.Equal(lines[2], "UNMET b throughput: 0.49 of direct (at least 0.50)")
	is.Equal(lines[3], "UNMET b added latency: 300µs at the median at half load (below 300µs)")
	o.Check = false
	is.NoErr(m.check(o))
}
