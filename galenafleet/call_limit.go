package galenafleet

import (
	"sync"
	"time"

	"github.com/galenahead/galenahead"
)

const (
	// longestCommandLimit bounds a command, which an instance executes within
	// milliseconds, whatever response times were measured.
	longestCommandLimit = 600 * time.Millisecond
	// longestPollLimit bounds the time that a poll takes beyond its wait.
	longestPollLimit = 700 * time.Millisecond
	// responseSlack is what a limit allows beyond the estimated response time and the
	// lateness of this process. It is many times the delay between two zones (1 to 2 ms)
	// and an instance's own (1 to 5 ms). A longer way to an instance is in the estimate.
	responseSlack = 200 * time.Millisecond
	// lossesBeforeLongCall is how many calls to an instance are lost without a response
	// between them until one gets the longest limit, so that an instance which has become
	// slower is measured again. With three, a poll can still renew the lease in time.
	lossesBeforeLongCall = 3
)

// Weights of the estimate of response times, which are those of the retransmission
// timer of TCP (RFC 6298).
const (
	meanWeight       = 8
	deviationWeight  = 4
	deviationsInHigh = 4
)

// responseEstimate estimates the response times of calls. Its zero value knows none.
type responseEstimate struct {
	known           bool
	mean, deviation time.Duration
}

func (e *responseEstimate) add(took time.Duration) {
	if !e.known {
		*e = responseEstimate{true, took, took / 2}
		return
	}
	e.deviation += ((took - e.mean).Abs() - e.deviation) / deviationWeight
	e.mean += (took - e.mean) / meanWeight
}

// high returns a response time that few calls exceed.
func (e *responseEstimate) high() time.Duration { return e.mean + deviationsInHigh*e.deviation }

// callLimit tells how long one kind of call may wait for a response, from the response
// times that this process has measured. They contain its own lateness, so that it is not
// taken for the silence of others. A callLimit is for use by several goroutines.
type callLimit struct {
	// longest is the upper bound, and the limit before there is a response time.
	longest time.Duration

	mu sync.Mutex
	// all estimates the response times of all instances.
	all       responseEstimate
	instances map[galenahead.InstanceID]*instanceCalls
}

// instanceCalls is what is known about the calls to one instance.
type instanceCalls struct {
	responseEstimate
	// unanswered counts the lost calls since the last response or long call.
	unanswered int
}

func newCallLimit(longest time.Duration) *callLimit {
	return &callLimit{longest: longest, instances: map[galenahead.InstanceID]*instanceCalls{}}
}

// limit returns the limit of a new call to an instance while this process runs late by
// late.
func (l *callLimit) limit(id galenahead.InstanceID, late time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	in := l.instances[id]
	if in == nil {
		in = &instanceCalls{}
		l.instances[id] = in
	}
	if !in.known {
		return l.longest
	}
	if in.unanswered >= lossesBeforeLongCall {
		in.unanswered = 0
		return l.longest
	}
	return min(responseSlack+max(l.all.high(), in.high())+late, l.longest)
}

// typical returns the limit of a call to an instance that answers like most.
func (l *callLimit) typical(late time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.all.known {
		return l.longest
	}
	return min(responseSlack+l.all.high()+late, l.longest)
}

// answered records a response of an instance.
func (l *callLimit) answered(id galenahead.InstanceID, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all.add(took)
	if in := l.instances[id]; in != nil {
		in.add(took)
		in.unanswered = 0
	}
}

// unanswered records a call whose limit has passed without a response. It does not
// change the estimate: the response time is unknown, and may be infinite.
func (l *callLimit) unanswered(id galenahead.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if in := l.instances[id]; in != nil {
		in.unanswered++
	}
}

// forget removes an instance that gets no more calls. Some may still be under way.
func (l *callLimit) forget(id galenahead.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.instances, id)
}
