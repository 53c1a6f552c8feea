// Package galenacontrol is the control daemon: operators' calls, distribution
// of the configuration, and the driver that carries waves, moves and jobs out
// at the worker platform. All durable state is in the replicated log.
package galenacontrol

import (
	"context"
	"sync"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenastate"
)

// Store joins the control state with the replicated log.
type Store struct {
	// Log is set once before use; it applies its commands to this store.
	Log galenahead.ReplicatedLog

	machine galenastate.Machine
	mu      sync.Mutex
	changed chan struct{}
}

var _ galenahead.StateMachine = (*Store)(nil)

// Apply implements galenahead.StateMachine.
func (s *Store) Apply(index uint64, command []byte) []byte {
	result := s.machine.Apply(index, command)
	s.broadcast()
	return result
}

// Snapshot implements galenahead.StateMachine.
func (s *Store) Snapshot() ([]byte, error) { return s.machine.Snapshot() }

// Restore implements galenahead.StateMachine.
func (s *Store) Restore(snapshot []byte) error {
	defer s.broadcast()
	return s.machine.Restore(snapshot)
}

func (s *Store) broadcast() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Changed returns a channel that is closed at the next change.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// Current returns the state as of the call. It fails with ErrNotLeader unless
// this replica leads and its lease holds.
func (s *Store) Current(ctx context.Context) (*galenastate.View, error) {
	if err := s.Log.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	return s.machine.View(), nil
}

// View returns the state that this replica has applied so far.
func (s *Store) View() *galenastate.View { return s.machine.View() }

// Propose commits one command and returns its result. It fails with the errors
// of galenahead.ReplicatedLog, not with those of the command.
func (s *Store) Propose(ctx context.Context, c galenastate.Command) (galenastate.Result, error) {
	record, err := c.Encode()
	if err != nil {
		return galenastate.Result{}, err
	}
	out, err := s.Log.Propose(ctx, record)
	if err != nil {
		return galenastate.Result{}, err
	}
	return galenastate.DecodeResult(out)
}

// drive commits a driver's change and reports whether it took effect now.
func (s *Store) drive(ctx context.Context, now time.Time, ch galenastate.Change) (bool, error) {
	r, err := s.Propose(ctx, galenastate.Command{TimeMS: now.UnixMilli(), Change: ch})
	if err != nil {
		return false, err
	}
	return r.Err() == nil && !r.Repeated, nil
}
