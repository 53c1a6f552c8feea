package trace

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a committed trace that differs from the generator's output for
// Seed, and against a demand pattern other than that of the design page.
func TestCommittedTracesMatchGenerator(t *testing.T) {
	for _, name := range Deployments() {
		is := is.New(t)
		want, err := Generate(name, Seed)
		is.NoErr(err)
		got, err := Load("../testdata", name)
		is.NoErr(err)
		is.Equal(got, want)

		var at uint64
		inBurst, total := 0, 0
		for _, r := range got.Requests {
			at += uint64(r.After)
			phase := int(at / uint64(burstLength.Microseconds()))
			if r.Service == 0 {
				total++
				if phase%len(got.Services) == 0 {
					inBurst++
				}
			}
		}
		// Demand is 5 times the mean for a fifth of the time and 0.05 of it otherwise.
		is.True(float64(inBurst) > 0.94*float64(total))
		is.True(len(got.WithoutBursts().Requests) < len(got.Requests))
	}
}
