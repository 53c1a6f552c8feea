package galenadaemon

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"github.com/galenahead/galenahead"
)

const (
	// garbageInterval is how often a GarbageTuner follows the size of the heap.
	garbageInterval = time.Second
	// minGCPercent is Go's default, and maxGCPercent bounds how much more garbage than live
	// memory there may be, so that a small heap does not take the share for nothing.
	minGCPercent, maxGCPercent = 100, 800
	// heapPart is the part of the machine's memory up to which a GarbageTuner lets the heap grow
	// before garbage is collected.
	heapPart = 4
)

// GarbageTuner trades memory that the machine has for processor time: garbage is collected
// each time the heap has grown to a share of the machine's memory, in place of twice the size
// of what is live. The memory limit stays in force.
type GarbageTuner struct {
	Timers galenahead.Timers
	// MachineMemoryMB is the memory of the machine; zero means that nothing is tuned.
	MachineMemoryMB int
}

// Run follows the size of the heap until ctx ends.
func (g *GarbageTuner) Run(ctx context.Context) error {
	if g.MachineMemoryMB <= 0 {
		return nil
	}
	defer debug.SetGCPercent(debug.SetGCPercent(minGCPercent))
	ticks := g.Timers.Subscribe(ctx, "garbage", garbageInterval)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
		}
		live := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
		metrics.Read(live)
		debug.SetGCPercent(g.percent(live[0].Value.Uint64()))
	}
}

// percent returns how much the heap may grow, relative to what of it is live.
func (g *GarbageTuner) percent(live uint64) int {
	target := uint64(g.MachineMemoryMB) << 20 / heapPart
	if live >= target {
		return minGCPercent
	}
	return int(min(max(minGCPercent, 100*(target-live)/max(1, live)), maxGCPercent))
}
