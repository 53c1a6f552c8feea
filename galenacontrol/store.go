// Package galenacontrol implements the control daemon. It serves operators' calls,
// distributes the configuration to the entries, and executes waves, moves and jobs
// at the worker platform. All durable state is in the replicated log.
package galenacontrol

import (
	"context"
	"sync"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenastate"
)

// Store is the control state machine of one replica, with the replicated log that
// changes it.
type Store struct {
	// Log is the replicated log, which applies its commands to this store. It is
	// set once before use.
	Log galenahead.ReplicatedLog

	stateMachine galenastate.StateMachine
	mu           sync.Mutex
	changed      chan struct{}
}

var _ galenahead.StateMachine = (*Store)(nil)

// Apply implements galenahead.StateMachine.
func (s *Store) Apply(index uint64, command []byte) []byte {
	result := s.stateMachine.Apply(index, command)
	s.notifyChanged()
	return result
}

// Snapshot implements galenahead.StateMachine.
func (s *Store) Snapshot() ([]byte, error) { return s.stateMachine.Snapshot() }

// Restore implements galenahead.StateMachine.
func (s *Store) Restore(snapshot []byte) error {
	defer s.notifyChanged()
	return s.stateMachine.Restore(snapshot)
}

func (s *Store) notifyChanged() {
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

// Current returns a state that includes every change committed before the call. It
// fails with ErrNotLeader unless this replica leads and its lease is valid.
func (s *Store) Current(ctx context.Context) (*galenastate.View, error) {
	if err := s.Log.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	return s.stateMachine.View(), nil
}

// View returns the state that this replica has applied. It may be out of date.
func (s *Store) View() *galenastate.View { return s.stateMachine.View() }

// Propose commits one command and returns its result. Its error is one of
// galenahead.ReplicatedLog; the error of a rejected command is in the result.
func (s *Store) Propose(ctx context.Context, c galenastate.Command) (galenastate.Result, error) {
	record, err := c.Encode()
	if err != nil {
		return galenastate.Result{}, err
	}
	result, err := s.Log.Propose(ctx, record)
	if err != nil {
		return galenastate.Result{}, err
	}
	return galenastate.DecodeResult(result)
}

// proposeDriverChange commits a change of the driver and reports whether it was
// accepted and had not been applied before.
func (s *Store) proposeDriverChange(ctx context.Context, now time.Time, ch galenastate.Change) (bool, error) {
	r, err := s.Propose(ctx, galenastate.Command{TimeMS: now.UnixMilli(), Change: ch})
	if err != nil {
		return false, err
	}
	return r.Err() == nil && !r.Repeated, nil
}
