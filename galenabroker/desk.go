package galenabroker

import (
	"sync"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenapeer"
)

// desk is one service at one entry: the entry's holdings and, while the entry
// is the broker, the ledger.
type desk struct {
	mu       sync.Mutex
	holdings *Holdings
	ledger   *Ledger
	// served is the last epoch for which there was a ledger.
	served galenahead.Epoch
	// heardTick is the latest tick of the broker of heardEpoch.
	heardTick  int64
	heardEpoch galenahead.Epoch
	// changed is closed when slots were added. It exists while somebody waits.
	changed chan struct{}
	drained map[galenahead.VMName]struct{}
}

// serve follows the entry's tenure: it starts, extends or ends the ledger. It
// returns false when the ledger of this epoch was discarded before, so that the
// lease cannot be used any more. The caller holds d.mu.
func (d *desk) serve(s *Service, service galenahead.ServiceName, t Tenure, held bool) bool {
	switch {
	case !held:
		d.ledger = nil
	case d.ledger != nil && d.ledger.tenure.Epoch == t.Epoch:
		d.ledger.tenure.Until = t.Until
	case d.served == t.Epoch:
		return false
	default:
		d.served = t.Epoch
		d.ledger = NewLedger(service, s.cfg.Entries, t, s.cfg.MaxRequest)
		d.ledger.drained = d.drained
	}
	return true
}

// current returns the ledger while the lease holds. The caller holds d.mu.
func (d *desk) current(now galenapeer.Instant) *Ledger {
	if d.ledger != nil && now.Mono >= d.ledger.tenure.Until {
		d.ledger = nil
	}
	return d.ledger
}

// notify wakes those who wait for slots. The caller holds d.mu.
func (d *desk) notify() {
	if d.changed != nil {
		close(d.changed)
		d.changed = nil
	}
}

func (d *desk) accept(now galenapeer.Instant, item GrantItem) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.holdings.Granted(now, item) > 0 {
		d.notify()
	}
}

// tick advances both sides and returns the broker when a message to it is due.
func (d *desk) tick(s *Service, now galenapeer.Instant) (galenahead.EntryName, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holdings.Tick(now)
	if l := d.current(now); l != nil {
		l.Tick(now)
		s.wakePushes(l)
	}
	broker, _ := d.holdings.Broker()
	return broker, d.holdings.Due(now)
}
