package galenaentry

import (
	"context"
	"sync"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenaqueue"
	"github.com/galenahead/galenahead/galenaroute"
	"github.com/galenahead/galenahead/galenaupstream"
)

// dispatchers holds the dispatcher of each configured service.
type dispatchers struct {
	slots  slotPool
	router *galenaroute.Router
	timers galenahead.Timers
	// liveEntries returns how many entries are live.
	liveEntries func() int
	pool        *galenaupstream.Pool

	mu        sync.RWMutex
	byService map[galenahead.ServiceName]*dispatcher
	cancel    map[galenahead.ServiceName]context.CancelFunc
}

// get returns the dispatcher of a service, or false when the service is not
// configured.
func (s *dispatchers) get(service galenahead.ServiceName) (*dispatcher, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	d, ok := s.byService[service]
	return d, ok
}

// getOrStart returns the dispatcher of a service and starts it if it is not
// running.
func (s *dispatchers) getOrStart(ctx context.Context, service galenahead.ServiceName, cfg galenaqueue.Config) *dispatcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d, ok := s.byService[service]; ok {
		return d
	}
	d := &dispatcher{
		service: service, queue: galenaqueue.New(cfg), slots: s.slots, router: s.router, timers: s.timers, liveEntries: s.liveEntries, pool: s.pool,
		waiting: make(map[*galenaqueue.Ticket]*Exchange), decisions: make(map[uint64]routeDecision),
	}
	ctx, cancel := context.WithCancel(ctx)
	if s.byService == nil {
		s.byService = make(map[galenahead.ServiceName]*dispatcher)
		s.cancel = make(map[galenahead.ServiceName]context.CancelFunc)
	}
	s.byService[service] = d
	s.cancel[service] = cancel
	go d.run(ctx)
	return d
}

// stopUnconfigured stops the dispatchers of services that are not configured.
// Their waiting requests are answered like those of an unknown service; requests
// that are already being sent continue.
func (s *dispatchers) stopUnconfigured(configured map[galenahead.ServiceName]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, cancel := range s.cancel {
		if configured[name] {
			continue
		}
		cancel()
		delete(s.byService, name)
		delete(s.cancel, name)
	}
}
