// Package sim replays a trace in virtual time through the decision code of the
// library and through baseline policies. It models requests and slots only.
package sim

import "time"

// eventLoop runs functions in the order of their virtual times, and functions
// with equal times in the order in which they were scheduled. It is a binary heap.
type eventLoop struct {
	now      time.Duration
	sequence uint64
	heap     []event
}

type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

func (e event) isBefore(f event) bool {
	return e.at < f.at || e.at == f.at && e.sequence < f.sequence
}

// after schedules f to run after the duration d.
func (l *eventLoop) after(d time.Duration, f func()) { l.at(l.now+d, f) }

// at schedules f to run at t, or at the current time if t has passed.
func (l *eventLoop) at(t time.Duration, f func()) {
	l.sequence++
	e := event{at: max(t, l.now), sequence: l.sequence, run: f}
	l.heap = append(l.heap, e)
	i := len(l.heap) - 1
	for i > 0 && e.isBefore(l.heap[(i-1)/2]) {
		l.heap[i] = l.heap[(i-1)/2]
		i = (i - 1) / 2
	}
	l.heap[i] = e
}

// run runs events, including those that they schedule, until none is left.
func (l *eventLoop) run() {
	for len(l.heap) > 0 {
		e := l.pop()
		l.now = e.at
		e.run()
	}
}

func (l *eventLoop) pop() event {
	first := l.heap[0]
	n := len(l.heap) - 1
	e := l.heap[n]
	l.heap[n] = event{}
	l.heap = l.heap[:n]
	i := 0
	for {
		child := 2*i + 1
		if child >= n {
			break
		}
		if child+1 < n && l.heap[child+1].isBefore(l.heap[child]) {
			child++
		}
		if !l.heap[child].isBefore(e) {
			break
		}
		l.heap[i] = l.heap[child]
		i = child
	}
	if n > 0 {
		l.heap[i] = e
	}
	return first
}
