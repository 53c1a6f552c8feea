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
	// ErrOtherLife reports that another life of an instance answers.
	ErrOtherLife = eris.New("another life of the instance answers")
	// ErrFenced reports that an owner with a higher fence has given orders.
	ErrFenced = eris.New("another owner has given orders")
	// ErrBusy reports that a machine or service does not take the order now.
	ErrBusy = eris.New("busy")
	// ErrRejected reports an order that will never be accepted.
	ErrRejected = eris.New("order rejected")
)

// Instances gives orders to instances.
type Instances interface {
	// Start and Stop carry out an action. clock is the instance's clock in
	// milliseconds, or zero. An error is logged; the outcome says what it means.
	Start(ctx context.Context, a galenajob.Action) (o galenajob.Outcome, clock int64, err error)
	Stop(ctx context.Context, a galenajob.Action) (o galenajob.Outcome, clock int64, err error)
	Pace(ctx context.Context, a galenajob.Action) error
	// Hold renews the lease and looks. It fails with ErrOtherLife and ErrFenced.
	Hold(ctx context.Context, o galenajob.HoldOrder, wait time.Duration) (galenajob.HoldAnswer, error)
}

// Advisor says which instances may run a step.
type Advisor interface {
	// Advise returns a ticket for each instance that may run it. It fails with
	// ErrBusy when it has too many questions.
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

// Machines moves machines between pools and takes them out for upkeep. Orders
// carry the holder and its fencing token.
type Machines interface {
	List(ctx context.Context) ([]Machine, error)
	// Move and Maintain return nil also when the order was carried out before.
	// They fail with ErrFenced, ErrBusy and ErrRejected; any other error leaves
	// open whether the order is carried out.
	Move(ctx context.Context, m galenahead.VMName, pool galenahead.ServiceName, holder string, fence uint64) error
	Maintain(ctx context.Context, m galenahead.VMName, wave int64, holder string, fence uint64) error
}
