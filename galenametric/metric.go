// Package galenametric holds the figures of a process: counters that are
// published through expvar, and latency histograms.
package galenametric

import (
	"expvar"
	"sync"
	"time"

	"github.com/galenahead/galenahead"
)

// Metrics are the figures of one process. Its zero value is ready to use. It is
// an expvar.Var; Publish makes it visible at /debug/vars.
type Metrics struct {
	// QueueWait is the time in the queue, Latency the time from acceptance to
	// answer, per service.
	QueueWait, Latency Durations
	// Attempts is the number of attempts for one request, per service.
	Attempts Counts
	// Rollout is the time a configuration or wave took, by kind.
	Rollout Durations
	// BufferCost is the idle reserved capacity in VM-seconds.
	BufferCost Integral
	// Moves counts the VMs moved between pools.
	Moves expvar.Int
	// Counters are further counters by name.
	Counters expvar.Map
}

// Snapshot holds the figures at one time. Durations are in microseconds.
type Snapshot struct {
	QueueWait  map[string]Distribution `json:"queue_wait_us"`
	Latency    map[string]Distribution `json:"latency_us"`
	Attempts   map[string]Distribution `json:"attempts"`
	Rollout    map[string]Distribution `json:"rollout_us"`
	BufferCost float64                 `json:"buffer_cost_vm_seconds"`
	Moves      int64                   `json:"moves"`
	Counters   map[string]int64        `json:"counters"`
}

// Publish publishes the figures under name. A name can be published once in a
// process.
func (m *Metrics) Publish(name string) { expvar.Publish(name, m) }

// Answered records the end of one request.
func (m *Metrics) Answered(service galenahead.ServiceName, wait, latency time.Duration, attempts int) {
	m.QueueWait.Record(string(service), wait)
	m.Latency.Record(string(service), latency)
	m.Attempts.Record(string(service), int64(attempts))
}

// Snapshot returns the current figures.
func (m *Metrics) Snapshot() Snapshot {
	return Snapshot{
		QueueWait:  m.QueueWait.snapshot(),
		Latency:    m.Latency.snapshot(),
		Attempts:   m.Attempts.snapshot(),
		Rollout:    m.Rollout.snapshot(),
		BufferCost: m.BufferCost.Value(),
		Moves:      m.Moves.Value(),
		Counters:   m.counters(),
	}
}

func (m *Metrics) counters() map[string]int64 {
	all := make(map[string]int64)
	m.Counters.Do(func(kv expvar.KeyValue) {
		if v, ok := kv.Value.(*expvar.Int); ok {
			all[kv.Key] = v.Value()
		}
	})
	return all
}

// Integral is a quantity integrated over time, in units of the quantity times
// seconds. Its zero value is ready to use.
type Integral struct {
	mu    sync.Mutex
	at    time.Time
	level float64
	sum   float64
}

// Set sets the quantity from now on. A time before the last call counts as the
// time of the last call.
func (i *Integral) Set(now time.Time, level float64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.at.IsZero() && now.After(i.at) {
		i.sum += i.level * now.Sub(i.at).Seconds()
	}
	if now.After(i.at) {
		i.at = now
	}
	i.level = level
}

// Value returns the integral up to the last call of Set.
func (i *Integral) Value() float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.sum
}
