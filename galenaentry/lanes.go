package galenaentry

import (
	"context"
	"sync"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenaqueue"
	"github.com/galenahead/galenahead/galenaroute"
	"github.com/galenahead/galenahead/galenaupstream"
)

// lanes holds the lane of each configured service.
type lanes struct {
	slots  slotPool
	router *galenaroute.Router
	timers galenahead.Timers
	// entries returns how many entries are live.
	entries func() int
	pool    *galenaupstream.Pool

	mu     sync.RWMutex
	active map[galenahead.ServiceName]*lane
	cancel map[galenahead.ServiceName]context.CancelFunc
}

// get returns the lane of a service, or false when it is not configured.
func (s *lanes) get(service galenahead.ServiceName) (*lane, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	l, ok := s.active[service]
	return l, ok
}

// ensure starts the lane of a service, if it is not running.
func (s *lanes) ensure(ctx context.Context, service galenahead.ServiceName, cfg galenaqueue.Config) *lane {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l, ok := s.active[service]; ok {
		return l
	}
	l := &lane{
		service: service, queue: galenaqueue.New(cfg), slots: s.slots, router: s.router, timers: s.timers, entries: s.entries, pool: s.pool,
		waiting: make(map[*galenaqueue.Ticket]*Exchange), decisions: make(map[uint64]decision),
	}
	ctx, cancel := context.WithCancel(ctx)
	if s.active == nil {
		s.active = make(map[galenahead.ServiceName]*lane)
		s.cancel = make(map[galenahead.ServiceName]context.CancelFunc)
	}
	s.active[service] = l
	s.cancel[service] = cancel
	go l.run(ctx)
	return l
}

// retain ends the lanes of services that are not listed. Their waiting requests
// are answered as of an unknown service; those being sent go on.
func (s *lanes) retain(listed map[galenahead.ServiceName]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, cancel := range s.cancel {
		if listed[name] {
			continue
		}
		cancel()
		delete(s.active, name)
		delete(s.cancel, name)
	}
}
