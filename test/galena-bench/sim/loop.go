// Package sim replays a trace in virtual time through the decision code of the
// library and through baselines. It models requests and slots only.
package sim

import "time"

// loop runs functions in the order of their virtual time.
type loop struct {
	now      time.Duration
	sequence uint64
	heap     []event
}

type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

func (e event) before(f event) bool {
	return e.at < f.at || e.at == f.at && e.sequence < f.sequence
}

// in runs f after d.
func (l *loop) in(d time.Duration, f func()) { l.at(l.now+d, f) }

// at runs f at t, or now when t is over.
func (l *loop) at(t time.Duration, f func()) {
	l.sequence++
	e := event{at: max(t, l.now), sequence: l.sequence, run: f}
	l.heap = append(l.heap, e)
	i := len(l.heap) - 1
	for i > 0 && e.before(l.heap[(i-1)/2]) {
		l.heap[i] = l.heap[(i-1)/2]
		i = (i - 1) / 2
	}
	l.heap[i] = e
}

// run runs all events.
func (l *loop) run() {
	for len(l.heap) > 0 {
		e := l.pop()
		l.now = e.at
		e.run()
	}
}

func (l *loop) pop() event {
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
		if child+1 < n && l.heap[child+1].before(l.heap[child]) {
			child++
		}
		if !l.heap[child].before(e) {
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
