package galenasettings

import (
	"errors"
	"net/netip"
	"strings"
	"time"

	"github.com/galenahead/galenahead"
)

// Fleet holds the settings of a daemon of a fleet whose instances announce
// themselves. It is immutable; the slices must not be changed.
type Fleet struct {
	Process Process
	Listen  FleetListen
	Control FleetControl
	// Instances bounds the work on instances. Only control daemons have it.
	Instances FleetInstances
	// Platform holds the addresses of the platform's services. Only control
	// daemons have it.
	Platform FleetPlatform
}

// FleetListen is the section [listen]. An entry has Caller, a control daemon
// Operator and Peer.
type FleetListen struct {
	Caller   netip.AddrPort
	Operator netip.AddrPort
	Peer     netip.AddrPort
	Status   netip.AddrPort
}

// FleetControl is the section [control].
type FleetControl struct {
	// Seeds are addresses of some control daemons.
	Seeds []netip.AddrPort
	// PeerPort is the port on which control daemons answer other daemons.
	PeerPort int
	// DataDirectory holds the replica's durable state. Only control daemons have
	// it, like the fields below.
	DataDirectory string
	// Bootstrap tells that the whole deployment starts for the first time.
	Bootstrap bool
	// Losses is how many control daemons may be lost at the same time.
	Losses int
}

// SeedPeers returns the addresses on which the seeds answer other daemons.
func (c FleetControl) SeedPeers() []string {
	out := make([]string, len(c.Seeds))
	for i, s := range c.Seeds {
		out[i] = netip.AddrPortFrom(s.Addr(), uint16(c.PeerPort)).String()
	}
	return out
}

// FleetInstances is the section [instances].
type FleetInstances struct {
	// MaxLease is the longest lease that an instance grants.
	MaxLease time.Duration
	// StopTimeout is the longest time that a stop takes there.
	StopTimeout time.Duration
	// MachineLease is how long the orders of one owner to a machine exclude
	// those of another.
	MachineLease time.Duration
	// KeepFinal is how long the state of a final job is known.
	KeepFinal time.Duration
}

// FleetPlatform is the section [platform] of a control daemon of a fleet.
type FleetPlatform struct {
	Machines netip.AddrPort
	// Advisor is invalid where there is none.
	Advisor netip.AddrPort
}

// LoadFleetEntry reads the settings of an entry daemon of a fleet. It fails
// with Faults, which match ErrSettings, or with the error of reading the file.
func LoadFleetEntry(path string) (Fleet, error) { return load(path, ParseFleetEntry) }

// LoadFleetControl reads the settings of a control daemon of a fleet.
func LoadFleetControl(path string) (Fleet, error) { return load(path, ParseFleetControl) }

// ParseFleetEntry reads an entry's settings from the content of file.
func ParseFleetEntry(file string, data []byte) (Fleet, error) {
	r := newReader(file, data)
	f := Fleet{Process: readProcess(r)}
	f.Listen.Caller = readListen(r, "caller_address")
	f.Listen.Status = readListen(r, "status_address")
	f.Control = readFleetSeeds(r)
	return finish(r, f)
}

// ParseFleetControl reads a control daemon's settings from the content of file.
func ParseFleetControl(file string, data []byte) (Fleet, error) {
	r := newReader(file, data)
	f := Fleet{Process: readProcess(r)}
	f.Listen.Operator = readListen(r, "operator_address")
	f.Listen.Peer = readListen(r, "peer_address")
	f.Listen.Status = readListen(r, "status_address")
	f.Control = readFleetSeeds(r)
	const s = "control"
	f.Control.DataDirectory = required(r, s, "data_directory", text("the path of a directory"))
	f.Control.Bootstrap, _ = optional(r, s, "bootstrap", boolean(), false)
	f.Control.Losses, _ = optional(r, s, "losses", integer(0, 8, "control daemons"), 1)
	f.Instances = FleetInstances{
		MaxLease:     required(r, "instances", "max_lease", duration(time.Second, time.Hour)),
		StopTimeout:  required(r, "instances", "stop_timeout", duration(0, time.Minute)),
		MachineLease: required(r, "instances", "machine_lease", duration(0, time.Hour)),
		KeepFinal:    required(r, "instances", "keep_final", duration(time.Second, 24*time.Hour)),
	}
	f.Platform.Machines = required(r, "platform", "machines_address", address())
	f.Platform.Advisor, _ = optional(r, "platform", "advisor_address", address(), netip.AddrPort{})
	return finish(r, f)
}

func readFleetSeeds(r *reader) FleetControl {
	return FleetControl{
		Seeds:    required(r, "control", "seeds", addresses()),
		PeerPort: required(r, "control", "peer_port", integer(1, 65535, "")),
	}
}

// Replica returns the name of the control daemon's replica.
func (f Fleet) Replica() galenahead.ReplicaName { return galenahead.ReplicaName(f.Process.Name) }

var errBoolean = errors.New("neither true nor false")

func boolean() kind[bool] {
	return kind[bool]{"true or false", func(s string) (bool, error) {
		switch s {
		case "true":
			return true, nil
		case "false":
			return false, nil
		}
		return false, errBoolean
	}}
}

func addresses() kind[[]netip.AddrPort] {
	return kind[[]netip.AddrPort]{"<ip>:<port>, separated by commas", func(s string) ([]netip.AddrPort, error) {
		var out []netip.AddrPort
		for _, part := range strings.Split(s, ",") {
			a, err := parseAddress(strings.TrimSpace(part))
			if err != nil {
				return nil, err
			}
			out = append(out, a)
		}
		return out, nil
	}}
}
