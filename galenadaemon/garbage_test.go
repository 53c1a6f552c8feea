package galenadaemon

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a heap that grows beyond its share of the machine, and against garbage that is
// collected more often than Go does by itself.
func TestGarbageGrowsToItsShare(t *testing.T) {
	is := is.New(t)
	g := &GarbageTuner{MachineMemoryMB: 400}
	const mb = 1 << 20
	for live, percent := range map[uint64]int{0: maxGCPercent, 1 * mb: maxGCPercent, 25 * mb: 300, 40 * mb: 150, 50 * mb: 100, 90 * mb: 100, 500 * mb: 100} {
		is.Equal(g.percent(live), percent)
	}
}
