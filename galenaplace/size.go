package galenaplace

import "github.com/galenahead/galenahead"

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
