package galenabroker

import (
	"sync"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenapeer"
)

// serviceState is the state of one service at this entry: the slots that the entry
// holds and, while the entry is the broker, the slot allocator.
type serviceState struct {
	mu        sync.Mutex
	holder    *SlotHolder
	allocator *Allocator
	// lastEpoch is the epoch of the last allocator.
	lastEpoch galenahead.Epoch
	// brokerTick is the latest TickMS received from the broker of
	// brokerTickEpoch.
	brokerTick      int64
	brokerTickEpoch galenahead.Epoch
	// slotsAdded is closed when slots become available. It is nil while nobody
	// waits for slots.
	slotsAdded chan struct{}
	drained    map[galenahead.VMName]struct{}
}

// updateLease creates, extends or discards the allocator according to this entry's
// broker lease. It returns false if the allocator of this epoch was discarded
// before: the record of its grants is lost, so that the lease can't be used any
// more. st.mu must be held.
func (st *serviceState) updateLease(s *Service, service galenahead.ServiceName, lease BrokerLease, held bool) bool {
	switch {
	case !held:
		st.allocator = nil
	case st.allocator != nil && st.allocator.lease.Epoch == lease.Epoch:
		st.allocator.lease.Until = lease.Until
	case st.lastEpoch == lease.Epoch:
		return false
	default:
		st.lastEpoch = lease.Epoch
		st.allocator = NewAllocator(service, s.cfg.Entries, lease, s.cfg.MaxRequest)
		st.allocator.drained = st.drained
	}
	return true
}

// currentAllocator returns the allocator, or nil if this entry holds no valid broker
// lease. st.mu must be held.
func (st *serviceState) currentAllocator(now galenapeer.Instant) *Allocator {
	if st.allocator != nil && now.Mono >= st.allocator.lease.Until {
		st.allocator = nil
	}
	return st.allocator
}

// notify wakes the goroutines that wait for slots. st.mu must be held.
func (st *serviceState) notify() {
	if st.slotsAdded != nil {
		close(st.slotsAdded)
		st.slotsAdded = nil
	}
}

func (st *serviceState) applyGrants(now galenapeer.Instant, item GrantItem) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.holder.ApplyGrants(now, item) > 0 {
		st.notify()
	}
}

// tick advances the holder and the allocator. It returns the broker and whether a
// message to it is due.
func (st *serviceState) tick(s *Service, now galenapeer.Instant) (galenahead.EntryName, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.holder.Tick(now)
	if a := st.currentAllocator(now); a != nil {
		a.Tick(now)
		s.wakePushLoops(a)
	}
	broker, _ := st.holder.Broker()
	return broker, st.holder.Due(now)
}
