package galenaqueue

import (
	"sync"

	"github.com/galenahead/galenahead"
)

// Set holds one queue for each service. The zero value is ready to use.
type Set struct {
	// New creates the queue of a service; nil means a queue with the zero
	// Config. It must not be changed after the first call of Queue.
	New    func(galenahead.ServiceName) *Queue
	mu     sync.RWMutex
	queues map[galenahead.ServiceName]*Queue
}

// Queue returns the queue of a service and creates it at the first call. Check
// first that the service is configured.
func (s *Set) Queue(service galenahead.ServiceName) *Queue {
	s.mu.RLock()
	q := s.queues[service]
	s.mu.RUnlock()
	if q != nil {
		return q
	}
	return s.create(service)
}

func (s *Set) create(service galenahead.ServiceName) *Queue {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q := s.queues[service]; q != nil {
		return q
	}
	if s.queues == nil {
		s.queues = make(map[galenahead.ServiceName]*Queue)
	}
	q := &Queue{}
	if s.New != nil {
		q = s.New(service)
	}
	s.queues[service] = q
	return q
}
