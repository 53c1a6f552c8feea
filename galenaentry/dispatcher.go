package galenaentry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenaqueue"
	"github.com/galenahead/galenahead/galenaroute"
	"github.com/galenahead/galenahead/galenaupstream"
)

const (
	// sweepPeriod is how often a dispatcher drops requests that cannot finish in
	// time or whose caller disconnected, and reports its demand to the broker.
	sweepPeriod = 20 * time.Millisecond
)

// slotPool is a galenahead.SlotPool that also accounts for callers and counts
// instances.
type slotPool interface {
	galenahead.SlotPool
	// TakeFor is Take with the caller whose request uses the slot.
	TakeFor(service galenahead.ServiceName, caller galenahead.CallerName, choose func([]galenahead.SlotLease) int) (galenahead.SlotLease, bool)
	// Instances returns how many instances of the service are usable.
	Instances(service galenahead.ServiceName) int
}

// dispatcher assigns the slots that this entry holds for one service to the
// requests in the service's queue.
type dispatcher struct {
	service galenahead.ServiceName
	queue   *galenaqueue.Queue
	slots   slotPool
	router  *galenaroute.Router
	timers  galenahead.Timers
	// liveEntries returns how many entries are live.
	liveEntries func() int
	pool        *galenaupstream.Pool
	// connectionLimit bounds the connections of this entry to one instance; 0
	// means no bound.
	connectionLimit atomic.Int64

	mu      sync.Mutex
	waiting map[*galenaqueue.Ticket]*Exchange
	// decisions holds the routing decision for each slot taken, by the ID of the
	// slot lease, until the queue filter passes the request on.
	decisions map[uint64]routeDecision
	// stopped is set when the service is no longer configured.
	stopped bool
}

// routeDecision is the part of a routing decision that is logged.
type routeDecision struct {
	candidates int
	reason     string
}

// run dispatches waiting requests when slots are added, and on every sweep.
func (d *dispatcher) run(ctx context.Context) {
	ticks := d.timers.Subscribe(ctx, "dispatcher "+string(d.service), sweepPeriod)
	for {
		changed := d.slots.Changed(d.service)
		select {
		case <-ctx.Done():
			d.stop()
			return
		case <-changed:
		case <-ticks:
			d.sweep(d.timers.Now())
		}
		d.dispatch(d.timers.Now())
	}
}

// enqueue queues the request of x and dispatches requests if slots are free.
func (d *dispatcher) enqueue(x *Exchange) (*galenaqueue.Ticket, error) {
	now := d.timers.Now()
	t, err := d.queue.Push(now, x.Request)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.waiting[t] = x
	stopped := d.stopped
	d.mu.Unlock()
	if stopped {
		d.queue.Cancel(t)
		return t, nil
	}
	d.dispatch(now)
	select {
	case <-t.Done():
	default:
		d.slots.SetWaiting(d.service, d.queue.Waiting())
	}
	return t, nil
}

// removeWaiting removes the exchange of t, which no longer waits.
func (d *dispatcher) removeWaiting(t *galenaqueue.Ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, t)
}

// stop cancels the waiting requests, because nothing dispatches or expires them
// any longer.
func (d *dispatcher) stop() {
	d.mu.Lock()
	d.stopped = true
	tickets := slices.Collect(maps.Keys(d.waiting))
	d.mu.Unlock()
	for _, t := range tickets {
		d.queue.Cancel(t)
	}
}

// cancelReason returns the reason for which a waiting request was cancelled.
func (d *dispatcher) cancelReason() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return ReasonServiceUnknown
	}
	return ReasonCancelled
}

// releaseSlot returns a slot to the pool and dispatches waiting requests.
func (d *dispatcher) releaseSlot(lease galenahead.SlotLease) {
	d.pool.Release(lease.Address)
	d.slots.Put(lease)
	d.dispatch(d.timers.Now())
}

// dispatch assigns free slots to waiting requests until there are no more slots
// or requests.
func (d *dispatcher) dispatch(now time.Time) {
	for {
		_, ok := d.queue.Dispatch(now, func(r galenahead.Request) (galenahead.SlotLease, bool) {
			return d.takeSlot(now, r)
		})
		if !ok {
			return
		}
	}
}

// takeSlot chooses a free slot for r and reserves a connection to its instance.
func (d *dispatcher) takeSlot(now time.Time, r galenahead.Request) (galenahead.SlotLease, bool) {
	var chosen routeDecision
	lease, ok := d.slots.TakeFor(d.service, r.Caller, func(candidates []galenahead.SlotLease) int {
		i, reason := d.chooseSlot(now, r, candidates)
		chosen = routeDecision{candidates: len(candidates), reason: reason}
		return i
	})
	if !ok {
		return lease, false
	}
	// The queue calls takeSlot for one request at a time, so the connection that
	// chooseSlot found free is still free.
	d.pool.Reserve(lease.Address, int(d.connectionLimit.Load()))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decisions[lease.ID] = chosen
	return lease, true
}

// chooseSlot returns the index of the router's choice for r among the candidates
// to whose instances this entry may open a connection, or -1, and the reason.
func (d *dispatcher) chooseSlot(now time.Time, r galenahead.Request, candidates []galenahead.SlotLease) (int, string) {
	limit := int(d.connectionLimit.Load())
	hasRoom := func(c galenahead.SlotLease) bool { return d.pool.CanReserve(c.Address, limit) }
	firstFull := slices.IndexFunc(candidates, func(c galenahead.SlotLease) bool { return !hasRoom(c) })
	if firstFull < 0 {
		return d.router.Choose(now, r, candidates)
	}
	var eligible []galenahead.SlotLease
	var indices []int
	for i, c := range candidates {
		if hasRoom(c) {
			eligible, indices = append(eligible, c), append(indices, i)
		}
	}
	i, reason := d.router.Choose(now, r, eligible)
	if i < 0 {
		return i, reason
	}
	return indices[i], reason
}

// takeDecision returns and removes the routing decision for a slot lease.
func (d *dispatcher) takeDecision(lease galenahead.SlotLease) routeDecision {
	d.mu.Lock()
	defer d.mu.Unlock()
	chosen := d.decisions[lease.ID]
	delete(d.decisions, lease.ID)
	return chosen
}

// sweep drops requests that cannot finish in time or whose caller disconnected,
// and reports the demand to the broker.
func (d *dispatcher) sweep(now time.Time) {
	d.updateCapacity()
	d.queue.Expire(now)
	for _, t := range d.disconnected() {
		d.queue.Cancel(t)
	}
	d.slots.SetWaiting(d.service, d.queue.Waiting())
}

// updateCapacity sets how many slots the queue can expect, which is this entry's
// even share, and how many instances the router can expect.
func (d *dispatcher) updateCapacity() {
	slots, ok := d.slots.Capacity(d.service)
	if !ok {
		d.queue.SetSlots(0)
		return
	}
	d.queue.SetSlots(max(1, slots/max(1, d.liveEntries())))
	d.router.SetInstanceCount(d.service, d.slots.Instances(d.service))
}

// disconnected returns the tickets whose callers closed their connections.
func (d *dispatcher) disconnected() []*galenaqueue.Ticket {
	d.mu.Lock()
	defer d.mu.Unlock()
	var tickets []*galenaqueue.Ticket
	for t, x := range d.waiting {
		if x.CallerDisconnected != nil && x.CallerDisconnected() {
			tickets = append(tickets, t)
		}
	}
	return tickets
}
