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
	// sweepPeriod is how often a lane drops requests that cannot finish in time,
	// drops those whose caller has gone, and tells the broker its demand.
	sweepPeriod = 20 * time.Millisecond
)

// slotPool is a galenahead.SlotPool that knows for which caller a slot is.
type slotPool interface {
	galenahead.SlotPool
	TakeFor(service galenahead.ServiceName, caller galenahead.CallerName, choose func([]galenahead.SlotLease) int) (galenahead.SlotLease, bool)
	// Instances returns how many instances of the service are usable.
	Instances(service galenahead.ServiceName) int
}

// lane joins the queue of one service with the slots this entry holds for it.
type lane struct {
	service galenahead.ServiceName
	queue   *galenaqueue.Queue
	slots   slotPool
	router  *galenaroute.Router
	timers  galenahead.Timers
	// entries returns how many entries are live.
	entries func() int
	pool    *galenaupstream.Pool
	// connections bounds the connections of this entry to one instance; 0 means
	// no bound.
	connections atomic.Int64

	mu      sync.Mutex
	waiting map[*galenaqueue.Ticket]*Exchange
	// decisions holds the routing decision behind each slot taken, by slot lease,
	// until its request goes on.
	decisions map[uint64]decision
	// ended is set when the service is no longer configured.
	ended bool
}

// decision is what the log tells of a routing decision.
type decision struct {
	candidates int
	reason     string
}

// run dispatches waiting requests when slots are added, and on every sweep.
func (l *lane) run(ctx context.Context) {
	ticks := l.timers.Subscribe(ctx, "lane "+string(l.service), sweepPeriod)
	for {
		changed := l.slots.Changed(l.service)
		select {
		case <-ctx.Done():
			l.end()
			return
		case <-changed:
		case <-ticks:
			l.sweep(l.timers.Now())
		}
		l.dispatch(l.timers.Now())
	}
}

// enter queues the request of x and dispatches if a slot is free.
func (l *lane) enter(x *Exchange) (*galenaqueue.Ticket, error) {
	now := l.timers.Now()
	t, err := l.queue.Push(now, x.Request)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.waiting[t] = x
	ended := l.ended
	l.mu.Unlock()
	if ended {
		l.queue.Cancel(t)
		return t, nil
	}
	l.dispatch(now)
	select {
	case <-t.Done():
	default:
		l.slots.Want(l.service, l.queue.Waiting())
	}
	return t, nil
}

// leave forgets the exchange of t, which no longer waits.
func (l *lane) leave(t *galenaqueue.Ticket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, t)
}

// end drops the waiting requests, which nothing would dispatch or expire.
func (l *lane) end() {
	l.mu.Lock()
	l.ended = true
	tickets := slices.Collect(maps.Keys(l.waiting))
	l.mu.Unlock()
	for _, t := range tickets {
		l.queue.Cancel(t)
	}
}

// dropReason tells why a waiting request was cancelled.
func (l *lane) dropReason() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return ReasonNoService
	}
	return ReasonCancelled
}

// put returns a slot and hands it to a waiting request.
func (l *lane) put(lease galenahead.SlotLease) {
	l.pool.Release(lease.Address)
	l.slots.Put(lease)
	l.dispatch(l.timers.Now())
}

// dispatch gives free slots to waiting requests until either runs out.
func (l *lane) dispatch(now time.Time) {
	for {
		_, ok := l.queue.Dispatch(now, func(r galenahead.Request) (galenahead.SlotLease, bool) {
			return l.take(now, r)
		})
		if !ok {
			return
		}
	}
}

// take chooses a free slot for r and reserves a connection to its instance.
func (l *lane) take(now time.Time, r galenahead.Request) (galenahead.SlotLease, bool) {
	var d decision
	lease, ok := l.slots.TakeFor(l.service, r.Caller, func(candidates []galenahead.SlotLease) int {
		i, reason := l.choose(now, r, candidates)
		d = decision{candidates: len(candidates), reason: reason}
		return i
	})
	if !ok {
		return lease, false
	}
	// The queue calls take for one request at a time, so the room that choose
	// found is still there.
	l.pool.Reserve(lease.Address, int(l.connections.Load()))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decisions[lease.ID] = d
	return lease, true
}

// choose returns the index of the candidate for r among those whose instances
// have a connection left at this entry, or -1, and the reason.
func (l *lane) choose(now time.Time, r galenahead.Request, candidates []galenahead.SlotLease) (int, string) {
	limit := int(l.connections.Load())
	free := func(c galenahead.SlotLease) bool { return l.pool.Room(c.Address, limit) }
	full := slices.IndexFunc(candidates, func(c galenahead.SlotLease) bool { return !free(c) })
	if full < 0 {
		return l.router.Choose(now, r, candidates)
	}
	var kept []galenahead.SlotLease
	var indices []int
	for i, c := range candidates {
		if free(c) {
			kept, indices = append(kept, c), append(indices, i)
		}
	}
	i, reason := l.router.Choose(now, r, kept)
	if i < 0 {
		return i, reason
	}
	return indices[i], reason
}

// decided returns the decision behind a slot lease and forgets it.
func (l *lane) decided(lease galenahead.SlotLease) decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.decisions[lease.ID]
	delete(l.decisions, lease.ID)
	return d
}

// sweep drops requests that are no longer worth serving and reports the demand.
func (l *lane) sweep(now time.Time) {
	l.expect()
	l.queue.Expire(now)
	for _, t := range l.gone() {
		l.queue.Cancel(t)
	}
	l.slots.Want(l.service, l.queue.Waiting())
}

// expect tells the queue how many slots it can expect to get, which is this
// entry's even part, and the router how many instances there are.
func (l *lane) expect() {
	slots, ok := l.slots.Known(l.service)
	if !ok {
		l.queue.SetSlots(0)
		return
	}
	l.queue.SetSlots(max(1, slots/max(1, l.entries())))
	l.router.SetInstances(l.service, l.slots.Instances(l.service))
}

// gone returns the tickets whose callers closed their connections.
func (l *lane) gone() []*galenaqueue.Ticket {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []*galenaqueue.Ticket
	for t, x := range l.waiting {
		if x.Gone != nil && x.Gone() {
			list = append(list, t)
		}
	}
	return list
}
