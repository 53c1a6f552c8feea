package galenaplace

import (
	"math"

	"github.com/galenahead/galenahead"
)

// size is an amount of each resource: thousandths of a processor, MB of memory
// and accelerators.
type size struct {
	milli int64
	mb    int64
	acc   int64
}

func (a size) plus(b size) size  { return size{a.milli + b.milli, a.mb + b.mb, a.acc + b.acc} }
func (a size) minus(b size) size { return size{a.milli - b.milli, a.mb - b.mb, a.acc - b.acc} }
func (a size) max(b size) size {
	return size{max(a.milli, b.milli), max(a.mb, b.mb), max(a.acc, b.acc)}
}
func (a size) min(b size) size {
	return size{min(a.milli, b.milli), min(a.mb, b.mb), min(a.acc, b.acc)}
}

// covers tells whether a is at least b in every resource.
func (a size) covers(b size) bool { return a.milli >= b.milli && a.mb >= b.mb && a.acc >= b.acc }

// floor returns a without negative amounts.
func (a size) floor() size { return a.max(size{}) }

func declaredSize(j galenahead.JobSpec) size {
	return size{int64(j.Cores) * 1000, int64(j.MemoryMB), int64(j.Accelerators)}
}

// packed is a size of one job or worker in less memory. An index of 16,000
// workers holds some 100,000 jobs with two sizes each.
type packed struct {
	milli int32
	mb    int32
	acc   int32
}

func pack(a size) packed {
	return packed{narrow(a.milli), narrow(a.mb), narrow(a.acc)}
}

func narrow(n int64) int32 { return int32(min(n, math.MaxInt32)) }

func (p packed) size() size { return size{int64(p.milli), int64(p.mb), int64(p.acc)} }
