package galenaqueue

import (
	"time"

	"github.com/galenahead/galenahead"
)

// compactSlack is how many cancelled requests a flow may keep in its heap beyond
// the number of its waiting ones before the heap is rebuilt.
const compactSlack = 16

// flow holds the requests of one caller in a heap ordered by deadline.
// Cancelled requests stay in the heap until they reach its front or until they
// outnumber the waiting ones.
type flow struct {
	caller galenahead.CallerName
	weight int
	// deficit is the deficit counter of deficit round robin.
	deficit float64
	// quantumAdded is set when the quantum of the current turn is in deficit.
	quantumAdded bool
	inRing       bool
	prev, next   *flow
	heap         []*Ticket
	// waiting and bytes count the waiting requests and the size of their bodies.
	waiting int
	bytes   int
	// latestDeadline is the latest deadline since the flow was empty.
	latestDeadline time.Time
}

// countEarlier estimates how many waiting requests have an earlier deadline, by
// linear interpolation between the earliest and the latest one.
func (f *flow) countEarlier(deadline time.Time) float64 {
	if f.waiting == 0 {
		return 0
	}
	first := f.heap[0].request.Deadline
	if !deadline.Before(f.latestDeadline) {
		return float64(f.waiting)
	}
	if !deadline.After(first) {
		return 0
	}
	span := f.latestDeadline.Sub(first).Seconds()
	return float64(f.waiting) * deadline.Sub(first).Seconds() / span
}

func (f *flow) push(t *Ticket) {
	if f.waiting == 0 || t.request.Deadline.After(f.latestDeadline) {
		f.latestDeadline = t.request.Deadline
	}
	f.waiting++
	f.bytes += t.size
	f.heap = append(f.heap, t)
	f.siftUp(len(f.heap) - 1)
}

func (f *flow) pop() {
	n := len(f.heap) - 1
	f.heap[0] = f.heap[n]
	f.heap[n] = nil
	f.heap = f.heap[:n]
	f.siftDown(0)
}

// compact rebuilds the heap when most of its requests are cancelled. A rebuild
// of n requests follows at least n/2 cancellations, so that the amortized cost
// of a cancellation is constant.
func (f *flow) compact() {
	if len(f.heap) <= 2*f.waiting+compactSlack {
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
		f.siftDown(i)
	}
}

func (f *flow) less(i, j int) bool {
	a, b := f.heap[i], f.heap[j]
	if a.request.Deadline.Equal(b.request.Deadline) {
		return a.sequence < b.sequence
	}
	return a.request.Deadline.Before(b.request.Deadline)
}

func (f *flow) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !f.less(i, parent) {
			return
		}
		f.heap[i], f.heap[parent] = f.heap[parent], f.heap[i]
		i = parent
	}
}

func (f *flow) siftDown(i int) {
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
