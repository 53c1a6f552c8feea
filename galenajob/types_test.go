package galenajob

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against steps that take much more room in messages than in the request that submitted them, and
// against steps that daemons of other versions read differently.
func TestStepsAreShortInMessages(t *testing.T) {
	is := is.New(t)
	b, err := json.Marshal(Step{Count: 1})
	is.NoErr(err)
	is.Equal(string(b), `{"Count":1}`)
	full := Step{
		Count: 2, Need: Resources{MilliCPU: 1, MemoryMB: 2, GPU: 3}, Estimate: time.Second, After: []int{0}, Checkpointing: true, Gang: true,
		RackSensitive: true, Label: "l", DataRack: "r", MaxPerInstance: 4, LongRunning: true, TargetLatency: time.Second, Filling: true, MaxUnavailable: 5,
	}
	b, err = json.Marshal(full)
	is.NoErr(err)
	var got Step
	is.NoErr(json.Unmarshal(b, &got))
	is.Equal(got, full)
	earlier := `{"Count":1,"Need":{"milli_cpu":0,"memory_mb":0,"gpu":0},"Estimate":0,"After":null,"Checkpointing":false,"Gang":false,"Label":""}`
	got = Step{}
	is.NoErr(json.Unmarshal([]byte(earlier), &got))
	is.Equal(got, Step{Count: 1})
}
