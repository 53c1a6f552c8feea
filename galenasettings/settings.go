// Package galenasettings reads the INI settings files of the entry and control
// daemons into immutable values. All errors of a file are reported at once,
// each with file, line, key, what was found and what is allowed.
package galenasettings

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/galenahead/galenahead"
)

// Process is the section [process].
type Process struct {
	// Name is an EntryName or a ReplicaName.
	Name       string
	DataCentre galenahead.DataCentre
	Region     string
	// StopDelay is how long the process keeps serving after SIGTERM, when it
	// already reports that it is not ready. The default is 2 s.
	StopDelay time.Duration
	// LogLevel is info by default.
	LogLevel logrus.Level
	// LogFile is a path, "-" (the default) for standard error, or "stdout" for
	// standard output.
	LogFile string
	// MaxOpenFiles is how many descriptors the process may have open, or 0 (the default) for the limit
	// that the system sets.
	MaxOpenFiles int
	// MachineMemoryMB is the memory that the process may take before the platform ends
	// it, in MB. Beyond half of it the process collects garbage more often, and it bounds what
	// the process holds of what others send. 0 (the default) means that it is not known.
	MachineMemoryMB int
	// MaxProcs limits GOMAXPROCS; 0 (the default) sets no limit.
	MaxProcs int
}

// EntryListen is the section [listen] of an entry: the addresses on which it
// listens for callers, upstreams, status requests and other daemons.
type EntryListen struct {
	Caller   netip.AddrPort
	Upstream netip.AddrPort
	Status   netip.AddrPort
	Peer     netip.AddrPort
}

// ControlListen is the section [listen] of a control daemon: the addresses on
// which it listens for operators, other daemons and status requests.
type ControlListen struct {
	Operator netip.AddrPort
	Peer     netip.AddrPort
	Status   netip.AddrPort
}

// EntryPeer is one line of the section [entries].
type EntryPeer struct {
	Name       galenahead.EntryName
	DataCentre galenahead.DataCentre
	Peer       netip.AddrPort
}

// ControlPeer is one line of the section [control].
type ControlPeer struct {
	Name       galenahead.ReplicaName
	DataCentre galenahead.DataCentre
	Peer       netip.AddrPort
	Operator   netip.AddrPort
}

// Limits is the section [limits].
type Limits struct {
	// MaxBodyKB bounds the body of one request.
	MaxBodyKB int
	// QueuePerService bounds the requests that wait for one service.
	QueuePerService int
	// QueueMB bounds the total size of the bodies of the requests that wait for
	// one service.
	QueueMB int
	// DefaultDeadline is the deadline of requests that do not set one.
	DefaultDeadline time.Duration
	// ClaimMemoryMB bounds the memory of the claim table, without the recorded
	// results.
	ClaimMemoryMB int
}

// Weights is the section [weights] of a control daemon: the relative weights of
// idle VMs held in reserve (BufferCost) and of the duration of waves
// (RolloutTime). They apply until an operator sets the replicated settings of
// the same names.
type Weights struct {
	BufferCost  float64
	RolloutTime float64
}

// Platform is the section [platform] of a control daemon.
type Platform struct {
	// Worker is the gRPC address of the worker platform.
	Worker netip.AddrPort
	// RenewInterval is the interval of the renewals of a task lease.
	RenewInterval time.Duration
}

// Entry holds the settings of an entry daemon. It is immutable; the slices
// must not be changed.
type Entry struct {
	Process Process
	Listen  EntryListen
	Entries []EntryPeer
	Control []ControlPeer
	Limits  Limits
}

// Control holds the settings of a control daemon. It is immutable; the slices
// must not be changed.
type Control struct {
	Process Process
	Listen  ControlListen
	// DataDirectory holds the replica's durable state.
	DataDirectory string
	Platform      Platform
	Entries       []EntryPeer
	Control       []ControlPeer
	Weights       Weights
}

// LoadEntry reads the settings of an entry daemon. It fails with Faults, which
// match ErrSettings, or with the error of reading the file.
func LoadEntry(path string) (Entry, error) {
	return load(path, ParseEntry)
}

// LoadControl reads the settings of a control daemon. It fails with Faults,
// which match ErrSettings, or with the error of reading the file.
func LoadControl(path string) (Control, error) {
	return load(path, ParseControl)
}

func load[T any](path string, parse func(string, []byte) (T, error)) (T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return *new(T), eris.Wrap(err, "read settings")
	}
	return parse(path, data)
}

// ParseEntry parses data as the settings of an entry daemon. Faults name file
// as their file.
func ParseEntry(file string, data []byte) (Entry, error) {
	r := newReader(file, data)
	e := Entry{Process: readProcess(r)}
	e.Listen.Caller = readListen(r, "caller_address")
	e.Listen.Upstream = readListen(r, "upstream_address")
	e.Listen.Status = readListen(r, "status_address")
	e.Listen.Peer = readListen(r, "peer_address")
	e.Entries = readEntries(r)
	e.Control = readControl(r)
	e.Limits = readLimits(r)
	registerListenAddress(r, "caller_address", e.Listen.Caller)
	registerListenAddress(r, "upstream_address", e.Listen.Upstream)
	registerListenAddress(r, "status_address", e.Listen.Status)
	for _, p := range e.Entries {
		if string(p.Name) == e.Process.Name {
			checkOwnPeer(r, "entries", e.Process, p.DataCentre, "peer_address", e.Listen.Peer, p.Peer)
		}
	}
	checkListed(r, "entries", e.Process.Name)
	checkBodyFits(r, e)
	return finish(r, e)
}

// maxBodyPart is the part of the machine's memory that the largest body may take. What an entry holds of
// bodies is an eighth, and a body that is received takes up to three times its length of that.
const maxBodyPart = 32

// checkBodyFits reports a limit of bodies for which the machine has too little memory.
func checkBodyFits(r *reader, e Entry) {
	largest := e.Process.MachineMemoryMB << 10 / maxBodyPart
	if kv, ok, _ := r.lookup("limits", "max_body_kb"); ok && largest > 0 && e.Limits.MaxBodyKB > largest {
		r.addFault("limits", "max_body_kb", kv.line, strconv.Quote(kv.value), fmt.Sprintf("at most %d KB with machine_memory_mb = %d", largest, e.Process.MachineMemoryMB))
	}
}

// ParseControl parses data as the settings of a control daemon. Faults name
// file as their file.
func ParseControl(file string, data []byte) (Control, error) {
	r := newReader(file, data)
	c := Control{Process: readProcess(r)}
	c.Listen.Operator = readListen(r, "operator_address")
	c.Listen.Peer = readListen(r, "peer_address")
	c.Listen.Status = readListen(r, "status_address")
	c.DataDirectory = required(r, "data", "directory", text("the path of a directory"))
	c.Platform = readPlatform(r)
	c.Entries = readEntries(r)
	c.Control = readControl(r)
	c.Weights = readWeights(r)
	registerListenAddress(r, "status_address", c.Listen.Status)
	for _, p := range c.Control {
		if string(p.Name) == c.Process.Name {
			checkOwnPeer(r, "control", c.Process, p.DataCentre, "peer_address", c.Listen.Peer, p.Peer)
			checkOwnPeer(r, "control", c.Process, p.DataCentre, "operator_address", c.Listen.Operator, p.Operator)
		}
	}
	checkListed(r, "control", c.Process.Name)
	return finish(r, c)
}

// finish returns v, or the faults of r.
func finish[T any](r *reader, v T) (T, error) {
	if err := r.finish(); err != nil {
		return *new(T), err
	}
	return v, nil
}
