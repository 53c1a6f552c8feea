package galenahead

import "time"

// Announcement is the report that an upstream instance sends every second with
// POST /v1/announce. JSON names and units are those of that call.
type Announcement struct {
	Instance    InstanceID  `json:"instance"`
	Address     string      `json:"address"`
	Service     ServiceName `json:"service"`
	DataCentre  DataCentre  `json:"data_centre"`
	Rack        RackName    `json:"rack"`
	VM          VMName      `json:"vm"`
	Slots       int         `json:"slots"`
	Connections int         `json:"connections"`
	LeaseMS     int64       `json:"lease_ms"`
	InFlight    int         `json:"in_flight"`
	Leaving     bool        `json:"leaving"`
}

// SlotLease is the right to have one request in flight at an instance.
type SlotLease struct {
	ID       uint64      `json:"id"`
	Service  ServiceName `json:"service"`
	Instance InstanceID  `json:"instance"`
	Address  string      `json:"address"`
	// DataCentre is where the instance runs.
	DataCentre DataCentre `json:"data_centre"`
	VM         VMName     `json:"vm"`
	// Epoch is the epoch of the broker that granted the slot.
	Epoch Epoch `json:"epoch"`
	// Expires is the end of the lease on the holder's monotonic clock. A request
	// may be sent only before it.
	Expires time.Time `json:"-"`
}

// WithExpires returns a copy of l that expires at t.
func (l SlotLease) WithExpires(t time.Time) SlotLease {
	l.Expires = t
	return l
}
