package galenaqueue

import (
	"time"

	"github.com/galenahead/galenahead"
)

// compactSlack is how many cancelled requests a flow may keep beyond its
// waiting ones before it is rebuilt.
const compactSlack = 16

// flow holds the requests of one caller in a heap ordered by deadline.
// Cancelled requests stay in the heap until they reach its front or until they
// outnumber the waiting ones.
type flow struct {
	caller        galenahead.CallerName
	weight        int
	deficit       float64
	credited      bool
	inRing        bool
	before, after *flow
	heap          []*Ticket
	live          int
	bytes         int
	// latest is the latest deadline since the flow was empty.
	latest time.Time
}

// earlier estimates how many waiting requests have an earlier deadline, by
// interpolation between the first and the latest one.
func (f *flow) earlier(deadline time.Time) float64 {
	if f.live == 0 {
		return 0
	}
	first := f.heap[0].request.Deadline
	if !deadline.Before(f.latest) {
		return float64(f.live)
	}
	if !deadline.After(first) {
		return 0
	}
	span := f.latest.Sub(first).Seconds()
	return float64(f.live) * deadline.Sub(first).Seconds() / span
}

func (f *flow) push(t *Ticket) {
	if f.live == 0 || t.request.Deadline.After(f.latest) {
		f.latest = t.request.Deadline
	}
	f.live++
	f.bytes += t.size
	f.heap = append(f.heap, t)
	f.up(len(f.heap) - 1)
}

func (f *flow) pop() {
	n := len(f.heap) - 1
	f.heap[0] = f.heap[n]
	f.heap[n] = nil
	f.heap = f.heap[:n]
	f.down(0)
}

// compact rebuilds the heap when most of it is cancelled. A rebuild of n
// requests follows at least n/2 cancellations, so that the cost per
// cancellation is constant.
func (f *flow) compact() {
	if len(f.heap) <= 2*f.live+compactSlack {
		return
	}
	kept := f.heap[:0]
	for _, t := range f.heap {
		if t.state == StateWaiting {
			kept = append(kept, t)
		}
	}
	clear(f.heap[len(kept):])
	f.heap = kept
	for i := len(kept)/2 - 1; i >= 0; i-- {
		f.down(i)
	}
}

func (f *flow) less(i, j int) bool {
	a, b := f.heap[i], f.heap[j]
	if a.request.Deadline.Equal(b.request.Deadline) {
		return a.sequence < b.sequence
	}
	return a.request.Deadline.Before(b.request.Deadline)
}

func (f *flow) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !f.less(i, parent) {
			return
		}
		f.heap[i], f.heap[parent] = f.heap[parent], f.heap[i]
		i = parent
	}
}

func (f *flow) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(f.heap) {
			return
		}
		if child+1 < len(f.heap) && f.less(child+1, child) {
			child++
		}
		if !f.less(child, i) {
			return
		}
		f.heap[i], f.heap[child] = f.heap[child], f.heap[i]
		i = child
	}
}
