// Package galenabroker shares the slots of a service's instances between the
// entries by leases. One entry per service, the broker, grants them.
package galenabroker

import (
	"time"

	"github.com/galenahead/galenahead"
)

const (
	// BrokerTTL is how long a voter keeps its vote for a broker.
	BrokerTTL = 1200 * time.Millisecond
	// RenewInterval is the time between two renewals of a broker's lease. Ticks
	// in the renewals date the announcements that settle the accounts.
	RenewInterval = 250 * time.Millisecond
	// RestartSilence is how long a restarted entry does not vote: its former
	// process may have voted just before it ended.
	RestartSilence = BrokerTTL + 500*time.Millisecond
	// SlotTTL is how long idle slots may be used without a renewal.
	SlotTTL = 2 * time.Second
	// IdleReturn is how long an entry keeps an unused slot.
	IdleReturn = 200 * time.Millisecond
	// SyncInterval is the time between two renewals of an entry's slots.
	SyncInterval = 500 * time.Millisecond
	// rateMargin covers clocks that run at different rates for a few seconds.
	rateMargin = 100 * time.Millisecond
)

// LeaseKind is the purpose of a LeaseItem.
type LeaseKind string

// Kinds of lease items.
const (
	// LeaseAsk asks for a vote.
	LeaseAsk LeaseKind = "ask"
	// LeaseHeld renews the vote and tells that the sender is the broker.
	LeaseHeld LeaseKind = "held"
	// LeaseRelease gives the vote back.
	LeaseRelease LeaseKind = "release"
)

// LeaseItem concerns the broker lease of one service.
type LeaseItem struct {
	Service galenahead.ServiceName `json:"service"`
	Epoch   galenahead.Epoch       `json:"epoch"`
	Kind    LeaseKind              `json:"kind"`
	// Slots and Instances describe the service when Kind is LeaseHeld.
	Slots     int `json:"slots,omitempty"`
	Instances int `json:"instances,omitempty"`
	// Settled is set when the broker keeps no slots back.
	Settled bool `json:"settled,omitempty"`
}

// LeaseRequest carries the items for all services that the sender brokers or
// wants to broker.
type LeaseRequest struct {
	From galenahead.EntryName `json:"from"`
	// TickMS is the sender's monotonic clock, echoed in announcements.
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

// LeaseReply carries the votes.
type LeaseReply struct {
	From  galenahead.EntryName `json:"from"`
	Votes []LeaseVote          `json:"votes"`
}

// AnnounceRequest forwards an upstream's announcement to the broker.
type AnnounceRequest struct {
	// Epoch is the broker's epoch that the forwarding entry knew on arrival.
	Epoch galenahead.Epoch `json:"epoch"`
	// TickMS is the latest tick of the broker that the forwarding entry knew
	// when the announcement arrived. It dates the announcement on the broker's
	// clock.
	TickMS       int64                   `json:"tick_ms"`
	Announcement galenahead.Announcement `json:"announcement"`
}

// HeldSlots is an entry's account of one instance within one epoch. The slots
// that it holds are Base plus the granted ones minus Returned. All three only
// grow, so that lost, repeated and reordered messages do no harm.
type HeldSlots struct {
	Instance galenahead.InstanceID `json:"instance"`
	// Base is the number of slots held when the entry joined the epoch.
	Base int `json:"base,omitempty"`
	// Lapsed is the part of Base that was taken before its lease ran out. The
	// former broker may have granted it to another entry.
	Lapsed int `json:"lapsed,omitempty"`
	// VM is set when Base is.
	VM galenahead.VMName `json:"vm,omitempty"`
	// Granted is the total that the entry knows of.
	Granted uint64 `json:"granted,omitempty"`
	// Returned is the total of slots that the entry gave back.
	Returned uint64 `json:"returned,omitempty"`
}

// SyncItem renews an entry's slots of one service, returns unused ones and asks
// for more.
type SyncItem struct {
	Service galenahead.ServiceName `json:"service"`
	Epoch   galenahead.Epoch       `json:"epoch"`
	// Life is random for each account of the sender. A process starts a new one
	// when the broker closed the old one.
	Life uint32 `json:"life"`
	// Replaces is the life of the account that this one contains.
	Replaces uint32 `json:"replaces,omitempty"`
	// Seq grows with each message of the entry in this epoch.
	Seq uint64 `json:"seq"`
	// Demand is the number of waiting and running requests by caller.
	Demand map[galenahead.CallerName]int `json:"demand,omitempty"`
	Held   []HeldSlots                   `json:"held,omitempty"`
	// Avoid lists instances whose slots the entry declined lately.
	Avoid []galenahead.InstanceID `json:"avoid,omitempty"`
}

// SyncRequest carries the items for all services that the receiver brokers.
type SyncRequest struct {
	From galenahead.EntryName `json:"from"`
	// UptimeMS is how long the sender runs.
	UptimeMS int64      `json:"uptime_ms"`
	Items    []SyncItem `json:"items"`
}

// SyncReply carries the replies to a SyncRequest. Items that the receiver does
// not broker are left out.
type SyncReply struct {
	Items []GrantItem `json:"items"`
	// Retired lists the lives of closed accounts. The sender starts new ones.
	Retired []uint32 `json:"retired,omitempty"`
}

// Grant is the broker's account of an entry's slots at one instance.
type Grant struct {
	Instance galenahead.InstanceID `json:"instance"`
	// Granted is the total granted in this epoch.
	Granted uint64 `json:"granted"`
	// Address, DataCentre and VM are absent when the entry knows them.
	Address    string                `json:"address,omitempty"`
	DataCentre galenahead.DataCentre `json:"data_centre,omitempty"`
	VM         galenahead.VMName     `json:"vm,omitempty"`
}

// GrantItem is the reply to a SyncItem, and is sent to an entry when slots
// became free or are recalled.
type GrantItem struct {
	Service galenahead.ServiceName `json:"service"`
	Epoch   galenahead.Epoch       `json:"epoch"`
	Life    uint32                 `json:"life"`
	// Seq is the newest message of the entry that the broker received. The
	// entry's slots are valid for SlotTTL from the sending of that message.
	Seq uint64 `json:"seq"`
	// Version grows with each item sent to the entry.
	Version uint64  `json:"version"`
	Grants  []Grant `json:"grants,omitempty"`
	// Keep lists the instances known to the broker whose slots of an older epoch
	// the entry may go on using.
	Keep []galenahead.InstanceID `json:"keep,omitempty"`
	// Limits is the number of slots to keep by instance; slots beyond it are
	// to be returned once they are unused. An absent instance has no limit.
	Limits map[galenahead.InstanceID]int `json:"limits,omitempty"`
}

// GrantMessage carries grant items for several services.
type GrantMessage struct {
	Items []GrantItem `json:"items"`
}

// Outstanding is the number of slots counted as in use by VM, for one service.
type Outstanding struct {
	Service galenahead.ServiceName `json:"service"`
	Epoch   galenahead.Epoch       `json:"epoch"`
	// Ready is not set while requests may be in flight that an entry did not
	// report to this broker; the counts may then be too low.
	Ready bool                      `json:"ready"`
	VMs   map[galenahead.VMName]int `json:"vms,omitempty"`
}
