package galenafleet

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
)

// Errors of calls to the platform, tested with errors.Is.
var (
	// ErrOtherIncarnation reports that another incarnation of the instance answered.
	ErrOtherIncarnation = eris.New("another incarnation of the instance answered")
	// ErrFenced reports that the receiver has seen the higher fencing token of a newer
	// owner.
	ErrFenced = eris.New("an owner with a higher fencing token has sent orders")
	// ErrBusy reports that a machine or the advisor cannot accept the request now.
	ErrBusy = eris.New("busy")
	// ErrExhausted reports that this process could not send a call, for want of a connection,
	// a descriptor or a lease. Nothing was sent, and nothing is known about the receiver.
	ErrExhausted = eris.New("not sent by this process")
	// ErrRefused reports that the host of an instance refused a connection: nothing was sent, and
	// no incarnation listens at the address now.
	ErrRefused = eris.New("connection refused")
	// ErrRejected reports an order that the machine will never accept.
	ErrRejected = eris.New("order rejected")
)

// InstanceClient sends commands and polls to instances. limit is how long a call may
// take, and a poll beyond its wait.
type InstanceClient interface {
	// Start and Stop send a start or stop command. clock is the instance's clock in
	// milliseconds, or zero if it is unknown. err is ErrRefused beside OutcomeUnsent if the host
	// refused a connection, and is for the log only otherwise.
	Start(ctx context.Context, a galenajob.Action, limit time.Duration) (o galenajob.Outcome, clock int64, err error)
	Stop(ctx context.Context, a galenajob.Action, limit time.Duration) (o galenajob.Outcome, clock int64, err error)
	// Pace sets the pace of a run, in percent.
	Pace(ctx context.Context, a galenajob.Action, limit time.Duration) error
	// RenewAndPoll renews the lease of an instance and returns its runs and ends of
	// runs. It waits up to wait for an end. It fails with ErrOtherIncarnation,
	// ErrFenced, ErrExhausted or ErrRefused.
	RenewAndPoll(ctx context.Context, req galenajob.PollRequest, wait, limit time.Duration) (galenajob.PollResponse, error)
}

// Advisor decides which instances may run a step.
type Advisor interface {
	// Advise returns a ticket for each instance that may run the step, and how long
	// the tickets are valid. It fails with ErrBusy if it has too many requests.
	Advise(ctx context.Context, step galenajob.ItemID, ids []galenahead.InstanceID) (map[galenahead.InstanceID]string, time.Duration, error)
}

// MachineState is the state of a machine.
type MachineState string

// States of a machine.
const (
	MachineUp          MachineState = "up"
	MachineMoving      MachineState = "moving"
	MachineMaintenance MachineState = "maintenance"
	MachineDown        MachineState = "down"
	// MachineUnreadable is the state of an entry of the list that can't be read. It tells
	// only that a machine may be there; the entry has no name if that can't be read either.
	MachineUnreadable MachineState = "unreadable"
)

// Machine is a machine with its pool and the instance that runs on it.
type Machine struct {
	Name     galenahead.VMName
	Pool     galenahead.ServiceName
	State    MachineState
	Labels   []string
	Capacity galenajob.Resources
	Instance galenahead.InstanceID
}

// MachineClient lists the machines and sends them orders, which move them between
// pools or take them down for maintenance. Orders carry the name of the owner as
// holder, and a fencing token. For each machine, the tokens of an epoch are higher than
// those of earlier epochs, and the token of an order than those of earlier orders.
type MachineClient interface {
	// List returns the machines, those of unreadable entries in state MachineUnreadable.
	List(ctx context.Context) ([]Machine, error)
	// Move and Maintain also return nil if the same order was carried out before.
	// They fail with ErrFenced, ErrBusy or ErrRejected. After any other error it is
	// unknown whether the order is carried out.
	Move(ctx context.Context, m galenahead.VMName, pool galenahead.ServiceName, holder string, fencingToken uint64) error
	Maintain(ctx context.Context, m galenahead.VMName, wave int64, holder string, fencingToken uint64) error
}
