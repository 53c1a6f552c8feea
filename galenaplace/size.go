package galenaplace

import (
	"math"

	"github.com/galenahead/galenahead"
)

// size is an amount of each resource: thousandths of a processor, MB of memory
// and accelerators.
type size struct {
	milliCPU     int64
	memoryMB     int64
	accelerators int64
}

func (a size) plus(b size) size {
	return size{a.milliCPU + b.milliCPU, a.memoryMB + b.memoryMB, a.accelerators + b.accelerators}
}
func (a size) minus(b size) size {
	return size{a.milliCPU - b.milliCPU, a.memoryMB - b.memoryMB, a.accelerators - b.accelerators}
}
func (a size) max(b size) size {
	return size{max(a.milliCPU, b.milliCPU), max(a.memoryMB, b.memoryMB), max(a.accelerators, b.accelerators)}
}
func (a size) min(b size) size {
	return size{min(a.milliCPU, b.milliCPU), min(a.memoryMB, b.memoryMB), min(a.accelerators, b.accelerators)}
}

// covers reports whether a is at least b in every resource.
func (a size) covers(b size) bool {
	return a.milliCPU >= b.milliCPU && a.memoryMB >= b.memoryMB && a.accelerators >= b.accelerators
}

// nonNegative returns a with negative amounts replaced by 0.
func (a size) nonNegative() size { return a.max(size{}) }

func declaredSize(j galenahead.JobSpec) size {
	return size{int64(j.Cores) * 1000, int64(j.MemoryMB), int64(j.Accelerators)}
}

// compactSize is the size of one job or worker in less memory. An index of 16,000
// workers holds some 100,000 jobs with two sizes each.
type compactSize struct {
	milliCPU     int32
	memoryMB     int32
	accelerators int32
}

func compact(a size) compactSize {
	return compactSize{saturateInt32(a.milliCPU), saturateInt32(a.memoryMB), saturateInt32(a.accelerators)}
}

func saturateInt32(n int64) int32 { return int32(min(n, math.MaxInt32)) }

func (p compactSize) size() size {
	return size{int64(p.milliCPU), int64(p.memoryMB), int64(p.accelerators)}
}
