// Package galenametric holds the metrics of a process, which are published
// through expvar: counters, histograms, and a quantity integrated over time.
package galenametric

import (
	"expvar"
	"sync"
	"time"

	"github.com/galenahead/galenahead"
)

// Metrics holds the metrics of one process. Its zero value is ready to use. It
// is an expvar.Var; Publish makes it visible at /debug/vars.
type Metrics struct {
	// QueueWait is the time that requests spend in the queue, and Latency the time
	// from their acceptance to the response, by service.
	QueueWait, Latency DurationHistograms
	// Attempts is the number of attempts per request, by service.
	Attempts CountHistograms
	// Rollout is the duration of configuration rollouts and maintenance waves, by
	// kind.
	Rollout DurationHistograms
	// OwnerMax is the longest duration in each second of work of the owner of a
	// fleet, by kind.
	OwnerMax DurationHistograms
	// BufferCost is the idle reserved capacity integrated over time, in VM-seconds.
	BufferCost Integral
	// Moves counts the VMs moved between pools.
	Moves expvar.Int
	// Counters holds all other counters by name.
	Counters expvar.Map
}

// Snapshot holds the metrics at one point in time. Durations are in microseconds.
type Snapshot struct {
	QueueWait  map[string]Distribution `json:"queue_wait_us"`
	Latency    map[string]Distribution `json:"latency_us"`
	Attempts   map[string]Distribution `json:"attempts"`
	Rollout    map[string]Distribution `json:"rollout_us"`
	OwnerMax   map[string]Distribution `json:"owner_max_us,omitempty"`
	BufferCost float64                 `json:"buffer_cost_vm_seconds"`
	Moves      int64                   `json:"moves"`
	Counters   map[string]int64        `json:"counters"`
}

// Publish publishes the metrics under name in expvar. A process can publish a
// name only once.
func (m *Metrics) Publish(name string) { expvar.Publish(name, m) }

// RecordRequest records the queue wait, latency and attempts of one finished request.
func (m *Metrics) RecordRequest(service galenahead.ServiceName, wait, latency time.Duration, attempts int) {
	m.QueueWait.Record(string(service), wait)
	m.Latency.Record(string(service), latency)
	m.Attempts.Record(string(service), int64(attempts))
}

// Snapshot returns the current metrics.
func (m *Metrics) Snapshot() Snapshot {
	return Snapshot{
		QueueWait:  m.QueueWait.snapshot(),
		Latency:    m.Latency.snapshot(),
		Attempts:   m.Attempts.snapshot(),
		Rollout:    m.Rollout.snapshot(),
		OwnerMax:   m.OwnerMax.snapshot(),
		BufferCost: m.BufferCost.Value(),
		Moves:      m.Moves.Value(),
		Counters:   m.counters(),
	}
}

func (m *Metrics) counters() map[string]int64 {
	values := make(map[string]int64)
	m.Counters.Do(func(kv expvar.KeyValue) {
		if v, ok := kv.Value.(*expvar.Int); ok {
			values[kv.Key] = v.Value()
		}
	})
	return values
}

// Integral is a quantity integrated over time, in units of the quantity times
// seconds. Its zero value is ready to use.
type Integral struct {
	mu        sync.Mutex
	updatedAt time.Time
	quantity  float64
	sum       float64
}

// Set sets the quantity from now on. A time before that of an earlier call
// counts as the time of that call.
func (i *Integral) Set(now time.Time, quantity float64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.updatedAt.IsZero() && now.After(i.updatedAt) {
		i.sum += i.quantity * now.Sub(i.updatedAt).Seconds()
	}
	if now.After(i.updatedAt) {
		i.updatedAt = now
	}
	i.quantity = quantity
}

// Value returns the integral up to the last call of Set.
func (i *Integral) Value() float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.sum
}
