package galenabudget

import (
	"sync"

	"github.com/galenahead/galenahead"
)

// shard holds the windows of one service.
type shard struct {
	mu      sync.Mutex
	callers map[galenahead.CallerName]*window
}

// window returns the window of a caller, or the one of all callers beyond the
// bound.
func (s *shard) window(caller galenahead.CallerName, maxCallers int) *window {
	w := s.callers[caller]
	if w != nil {
		return w
	}
	if len(s.callers) >= maxCallers {
		caller = OtherCallers
	}
	if s.callers[caller] == nil {
		s.callers[caller] = &window{}
	}
	return s.callers[caller]
}

type counts [kindCount]int64

// window holds the counts of the newest slices in a ring. The slice with number
// n is at n modulo the ring's length.
type window struct {
	newest int64
	slices [sliceCount][kindCount]uint32
}

func (w *window) add(slice int64, k Kind) {
	w.advance(slice)
	if slice > w.newest-sliceCount {
		w.slices[slice%sliceCount][k]++
	}
}

// advance clears the slices between the newest one and slice.
func (w *window) advance(slice int64) {
	if slice <= w.newest {
		return
	}
	first := max(w.newest+1, slice-sliceCount+1)
	for i := first; i <= slice; i++ {
		w.slices[i%sliceCount] = [kindCount]uint32{}
	}
	w.newest = slice
}

func (w *window) sum(slice int64) counts {
	w.advance(slice)
	var n counts
	for _, s := range w.slices {
		for k, v := range s {
			n[k] += int64(v)
		}
	}
	return n
}
