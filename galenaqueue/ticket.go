package galenaqueue

import (
	"time"

	"github.com/galenahead/galenahead"
)

// State is the state of a ticket.
type State int

// States of a ticket. All but StateWaiting are final.
const (
	// StateWaiting is the state of a queued request.
	StateWaiting State = iota
	// StateDispatched is the state of a request that got a slot.
	StateDispatched
	// StateCancelled is the state of a request dropped by Cancel.
	StateCancelled
	// StateExpired is the state of a request that could no longer finish in time.
	StateExpired
)

// Ticket is a request's place in a queue.
type Ticket struct {
	request    galenahead.Request
	enqueuedAt time.Time
	sequence   uint64
	// latestStart is the latest start at which a short run meets the deadline.
	latestStart time.Time
	// latestSafeStart is the latest start at which a long run meets it.
	latestSafeStart time.Time
	size            int
	flow            *flow
	state           State
	lease           galenahead.SlotLease
	done            chan struct{}
}

func newTicket(now time.Time, r galenahead.Request, f *flow) *Ticket {
	return &Ticket{request: r, enqueuedAt: now, size: len(r.Body), flow: f, done: make(chan struct{})}
}

// Request returns the queued request.
func (t *Ticket) Request() galenahead.Request { return t.request }

// EnqueuedAt returns when the request was queued.
func (t *Ticket) EnqueuedAt() time.Time { return t.enqueuedAt }

// Done is closed when the ticket reaches a final state.
func (t *Ticket) Done() <-chan struct{} { return t.done }

// Lease returns the slot lease of a dispatched request. Call it only after Done
// is closed.
func (t *Ticket) Lease() galenahead.SlotLease { return t.lease }

// FinalState returns the final state. Call it only after Done is closed.
func (t *Ticket) FinalState() State { return t.state }

func (t *Ticket) finish(s State) {
	t.state = s
	close(t.done)
}
