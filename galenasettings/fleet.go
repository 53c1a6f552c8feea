package galenasettings

import (
	"errors"
	"net/netip"
	"strings"
	"time"

	"github.com/galenahead/galenahead"
)

// Fleet holds the settings of an entry or control daemon of galena-fleet, whose
// settings do not list the other daemons. It is immutable; the slices must not
// be changed.
type Fleet struct {
	Process Process
	// GracePeriod is how long after SIGTERM the platform kills the process, or 0 if
	// it does not. Only entry daemons have it.
	GracePeriod time.Duration
	Listen      FleetListen
	Control     FleetControl
	// Instances holds time limits of instances, machines and jobs. Only control
	// daemons have it.
	Instances FleetInstances
	// Platform holds the addresses of the platform's services. Only control
	// daemons have it.
	Platform FleetPlatform
}

// FleetListen is the section [listen] of a daemon of galena-fleet: the addresses
// on which the daemon listens for callers, operators, other daemons and status
// requests. Caller is set for entries only, Operator and Peer for control
// daemons only.
type FleetListen struct {
	Caller   netip.AddrPort
	Operator netip.AddrPort
	Peer     netip.AddrPort
	Status   netip.AddrPort
}

// FleetControl is the section [control] of a daemon of galena-fleet.
type FleetControl struct {
	// Seeds are addresses of some control daemons.
	Seeds []netip.AddrPort
	// PeerPort is the port on which control daemons listen for other daemons.
	PeerPort int
	// DataDirectory holds the replica's durable state. It is empty on a machine
	// without a disk, whose control daemon keeps no replica. Only control daemons
	// have it and the fields below.
	DataDirectory string
	// Bootstrap is true when the whole deployment starts for the first time.
	Bootstrap bool
	// ToleratedFailures is how many control daemons may fail at the same time.
	ToleratedFailures int
	// ToleratedDataCentres is how many data centres may fail at the same time.
	ToleratedDataCentres int
	// CatchUp is how long after the start of its successor a control daemon that is lost
	// still counts as failed.
	CatchUp time.Duration
}

// VoterCount returns how many voters the log needs to tolerate the failures. The loss of a
// data centre needs voters in two others.
func (c FleetControl) VoterCount() int {
	return 2*max(c.ToleratedFailures, c.ToleratedDataCentres) + 1
}

// SeedPeers returns the addresses on which the seeds listen for other daemons.
func (c FleetControl) SeedPeers() []string {
	out := make([]string, len(c.Seeds))
	for i, s := range c.Seeds {
		out[i] = netip.AddrPortFrom(s.Addr(), uint16(c.PeerPort)).String()
	}
	return out
}

// FleetInstances is the section [instances] of a control daemon of galena-fleet.
type FleetInstances struct {
	// MaxLease is the longest lease that an instance grants.
	MaxLease time.Duration
	// StopTimeout is the longest time that an instance needs to stop a run.
	StopTimeout time.Duration
	// MachineLease is how long a command of one owner to a machine excludes
	// commands of other owners.
	MachineLease time.Duration
	// FinalJobRetention is how long the state of a job is kept after the job ended.
	FinalJobRetention time.Duration
}

// FleetPlatform is the section [platform] of a control daemon of galena-fleet.
type FleetPlatform struct {
	// Machines is the address of the machines service.
	Machines netip.AddrPort
	// Advisor is the address of the advice service, or the invalid zero value
	// when the platform has none.
	Advisor netip.AddrPort
}

// LoadFleetEntry reads the settings of an entry daemon of galena-fleet. It fails
// with Faults, which match ErrSettings, or with the error of reading the file.
func LoadFleetEntry(path string) (Fleet, error) { return load(path, ParseFleetEntry) }

// LoadFleetControl reads the settings of a control daemon of galena-fleet. It
// fails like LoadFleetEntry.
func LoadFleetControl(path string) (Fleet, error) { return load(path, ParseFleetControl) }

// ParseFleetEntry parses data as the settings of an entry daemon of
// galena-fleet. Faults name file as their file.
func ParseFleetEntry(file string, data []byte) (Fleet, error) {
	r := newReader(file, data)
	f := Fleet{Process: readProcess(r)}
	f.GracePeriod, _ = optional(r, "process", "grace_period", duration(0, maxStopDelay), 0)
	f.Listen.Caller = readListen(r, "caller_address")
	f.Listen.Status = readListen(r, "status_address")
	f.Control = readFleetSeeds(r)
	return finish(r, f)
}

// ParseFleetControl parses data as the settings of a control daemon of
// galena-fleet. Faults name file as their file.
func ParseFleetControl(file string, data []byte) (Fleet, error) {
	r := newReader(file, data)
	f := Fleet{Process: readProcess(r)}
	f.Listen.Operator = readListen(r, "operator_address")
	f.Listen.Peer = readListen(r, "peer_address")
	f.Listen.Status = readListen(r, "status_address")
	f.Control = readFleetSeeds(r)
	const section = "control"
	f.Control.DataDirectory = required(r, section, "data_directory", optionalText("the path of a directory, or empty for none"))
	f.Control.Bootstrap, _ = optional(r, section, "bootstrap", boolean(), false)
	f.Control.ToleratedFailures, _ = optional(r, section, "losses", integer(0, 8, "control daemons"), 1)
	f.Control.ToleratedDataCentres, _ = optional(r, section, "data_centre_losses", integer(0, 8, "data centres"), 0)
	f.Control.CatchUp, _ = optional(r, section, "catch_up", duration(100*time.Millisecond, time.Hour), 4*time.Second)
	f.Instances = FleetInstances{
		MaxLease:          required(r, "instances", "max_lease", duration(time.Second, time.Hour)),
		StopTimeout:       required(r, "instances", "stop_timeout", duration(0, time.Minute)),
		MachineLease:      required(r, "instances", "machine_lease", duration(0, time.Hour)),
		FinalJobRetention: required(r, "instances", "keep_final", duration(time.Second, 24*time.Hour)),
	}
	f.Platform.Machines = required(r, "platform", "machines_address", address())
	f.Platform.Advisor, _ = optional(r, "platform", "advisor_address", address(), netip.AddrPort{})
	return finish(r, f)
}

// readFleetSeeds reads the part of [control] that all daemons have.
func readFleetSeeds(r *reader) FleetControl {
	return FleetControl{
		Seeds:    required(r, "control", "seeds", addresses()),
		PeerPort: required(r, "control", "peer_port", integer(1, 65535, "")),
	}
}

// Replica returns the name of the control daemon's replica.
func (f Fleet) Replica() galenahead.ReplicaName { return galenahead.ReplicaName(f.Process.Name) }

var errNotBoolean = errors.New("neither true nor false")

func boolean() valueType[bool] {
	return valueType[bool]{"true or false", func(s string) (bool, error) {
		switch s {
		case "true":
			return true, nil
		case "false":
			return false, nil
		}
		return false, errNotBoolean
	}}
}

func addresses() valueType[[]netip.AddrPort] {
	return valueType[[]netip.AddrPort]{"<ip>:<port>, separated by commas", func(s string) ([]netip.AddrPort, error) {
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
