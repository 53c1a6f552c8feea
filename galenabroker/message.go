// Package galenabroker leases the slots of a service's instances to the entries.
// The leases are granted by the service's broker, an entry that the entries elect.
package galenabroker

import (
	"time"

	"github.com/galenahead/galenahead"
)

const (
	// BrokerTTL is how long a voter keeps its vote for a broker.
	BrokerTTL = 1200 * time.Millisecond
	// RenewInterval is the time between two renewals of a broker's lease. A
	// renewal carries the broker's clock, by which entries date the announcements
	// that they forward.
	RenewInterval = 250 * time.Millisecond
	// RestartSilence is how long an entry does not vote after it started: its
	// previous process may have voted just before it ended.
	RestartSilence = BrokerTTL + 500*time.Millisecond
	// SlotTTL is how long requests may be sent on slots without a renewal.
	SlotTTL = 2 * time.Second
	// IdleReturn is how long an entry keeps an unused slot before it returns it.
	IdleReturn = 200 * time.Millisecond
	// SyncInterval is the time between two renewals of an entry's slots.
	SyncInterval = 500 * time.Millisecond
	// rateMargin covers the drift between two clocks within a few seconds.
	rateMargin = 100 * time.Millisecond
)

// LeaseKind is the purpose of a LeaseItem.
type LeaseKind string

// Kinds of lease items.
const (
	// LeaseRequestVote requests a vote for the sender.
	LeaseRequestVote LeaseKind = "ask"
	// LeaseRenew renews the vote and states that the sender is the broker.
	LeaseRenew LeaseKind = "held"
	// LeaseRelease releases the vote.
	LeaseRelease LeaseKind = "release"
)

// LeaseItem concerns the broker lease of one service.
type LeaseItem struct {
	Service galenahead.ServiceName `json:"service"`
	Epoch   galenahead.Epoch       `json:"epoch"`
	Kind    LeaseKind              `json:"kind"`
	// Slots and Instances describe the service when Kind is LeaseRenew.
	Slots     int `json:"slots,omitempty"`
	Instances int `json:"instances,omitempty"`
	// Settled is set when the broker withholds no slots for requests of processes
	// that have not reported to it.
	Settled bool `json:"settled,omitempty"`
}

// LeaseRequest carries the items for all services that the sender brokers or
// wants to broker.
type LeaseRequest struct {
	From galenahead.EntryName `json:"from"`
	// TickMS is the reading of the sender's monotonic clock, in milliseconds.
	// Entries copy it into the announcements that they forward.
	TickMS int64       `json:"tick_ms"`
	Items  []LeaseItem `json:"items"`
}

// LeaseVote is the reply to one LeaseItem.
type LeaseVote struct {
	Service galenahead.ServiceName `json:"service"`
	Epoch   galenahead.Epoch       `json:"epoch"`
	Granted bool                   `json:"granted,omitempty"`
	// Newest is the newest epoch that the voter knows, if it is newer.
	Newest galenahead.Epoch `json:"newest,omitempty"`
}

// LeaseReply carries the votes for the items of a LeaseRequest.
type LeaseReply struct {
	From  galenahead.EntryName `json:"from"`
	Votes []LeaseVote          `json:"votes"`
}

// AnnounceRequest forwards an upstream's announcement to the broker.
type AnnounceRequest struct {
	// Epoch is the broker's epoch that the forwarding entry knew when the
	// announcement arrived.
	Epoch galenahead.Epoch `json:"epoch"`
	// TickMS is the latest LeaseRequest.TickMS that the forwarding entry had
	// received from the broker when the announcement arrived. By it, the broker
	// dates the announcement on its own clock.
	TickMS       int64                   `json:"tick_ms"`
	Announcement galenahead.Announcement `json:"announcement"`
}

// HeldSlots reports the slots of one instance that an entry holds in one session.
// Their number is Base + Granted - Returned. The three only grow, so that lost,
// repeated and reordered messages do no harm.
type HeldSlots struct {
	Instance galenahead.InstanceID `json:"instance"`
	// Base is the number of slots held at the start of the session.
	Base int `json:"base,omitempty"`
	// Expired is the part of Base that was taken before its lease expired. The
	// previous broker may have granted it to another entry.
	Expired int `json:"lapsed,omitempty"`
	// VM is the instance's VM. It is set when Base is.
	VM galenahead.VMName `json:"vm,omitempty"`
	// Granted is the total of slots granted in this session, as far as the entry
	// knows.
	Granted uint64 `json:"granted,omitempty"`
	// Returned is the total of slots that the entry returned in this session.
	Returned uint64 `json:"returned,omitempty"`
}

// SyncItem renews an entry's slots of one service, returns unused ones and asks
// for more.
type SyncItem struct {
	Service galenahead.ServiceName `json:"service"`
	Epoch   galenahead.Epoch       `json:"epoch"`
	// SessionID and Epoch identify the sender's session for this service. The ID
	// is random. A process starts a new session with the same ID in each epoch, and
	// with a new ID when the broker has closed the old session.
	SessionID uint32 `json:"life"`
	// Replaces is the ID of the session whose slots this one takes over.
	Replaces uint32 `json:"replaces,omitempty"`
	// Seq is a sequence number that grows with each message of the entry.
	Seq uint64 `json:"seq"`
	// Demand is the number of waiting and running requests, by caller.
	Demand map[galenahead.CallerName]int `json:"demand,omitempty"`
	Held   []HeldSlots                   `json:"held,omitempty"`
	// Avoid lists instances whose slots the entry declined recently.
	Avoid []galenahead.InstanceID `json:"avoid,omitempty"`
}

// SyncRequest carries the items for all services that the receiver brokers.
type SyncRequest struct {
	From galenahead.EntryName `json:"from"`
	// UptimeMS is how long the sender has been running.
	UptimeMS int64      `json:"uptime_ms"`
	Items    []SyncItem `json:"items"`
}

// SyncReply carries the replies to a SyncRequest. It leaves out services that the
// receiver does not broker.
type SyncReply struct {
	Items []GrantItem `json:"items"`
	// ClosedSessions lists the IDs of sessions that the broker has closed. The
	// sender of the SyncRequest must start new ones.
	ClosedSessions []uint32 `json:"retired,omitempty"`
}

// Grant states how many slots of one instance an entry was granted.
type Grant struct {
	Instance galenahead.InstanceID `json:"instance"`
	// Granted is the total of slots granted in this session.
	Granted uint64 `json:"granted"`
	// Address, DataCentre and VM are omitted when the entry knows them.
	Address    string                `json:"address,omitempty"`
	DataCentre galenahead.DataCentre `json:"data_centre,omitempty"`
	VM         galenahead.VMName     `json:"vm,omitempty"`
}

// GrantItem is the reply to a SyncItem. It is also sent to an entry when it is
// granted slots or when slots are recalled.
type GrantItem struct {
	Service   galenahead.ServiceName `json:"service"`
	Epoch     galenahead.Epoch       `json:"epoch"`
	SessionID uint32                 `json:"life"`
	// Seq is the sequence number of the entry's newest message that the broker
	// has received. The entry's slots are valid for SlotTTL from the sending of
	// that message.
	Seq uint64 `json:"seq"`
	// Version grows with each item sent to the entry in this session.
	Version uint64  `json:"version"`
	Grants  []Grant `json:"grants,omitempty"`
	// Keep lists usable instances whose slots of an older epoch the entry may
	// keep under the current lease.
	Keep []galenahead.InstanceID `json:"keep,omitempty"`
	// Limits is the number of slots that the entry may keep, by instance. Slots
	// beyond it must be returned as soon as they are unused. An instance that is
	// not listed has no limit.
	Limits map[galenahead.InstanceID]int `json:"limits,omitempty"`
}

// GrantMessage carries grant items for several services.
type GrantMessage struct {
	Items []GrantItem `json:"items"`
}

// Outstanding is the number of slots of one service that are counted as in use,
// by VM.
type Outstanding struct {
	Service galenahead.ServiceName `json:"service"`
	Epoch   galenahead.Epoch       `json:"epoch"`
	// Ready is false while requests may be in flight that were not reported to
	// this broker. The counts may then be too low.
	Ready bool                      `json:"ready"`
	VMs   map[galenahead.VMName]int `json:"vms,omitempty"`
}
