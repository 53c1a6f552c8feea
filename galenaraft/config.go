package galenaraft

import (
	"io"
	"log"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenatimer"
	"github.com/galenahead/galenahead/galenawal"
)

// Defaults of Config.
const (
	DefaultTick               = 50 * time.Millisecond
	DefaultHeartbeat          = 300 * time.Millisecond
	DefaultMinElectionTimeout = 1500 * time.Millisecond
	DefaultMaxElectionTimeout = 3 * time.Second
	DefaultLease              = time.Second
	DefaultCallTimeout        = time.Second
	DefaultSnapshotEntries    = 4096
	DefaultSnapshotBytes      = 4 << 20
	DefaultRetainedEntries    = 512
)

// Config configures a Node. Zero values of the optional fields stand for the
// defaults.
type Config struct {
	// Name is this replica's name.
	Name galenahead.ReplicaName
	// Path is the data directory. Dir replaces it in tests.
	Path string
	Dir  galenawal.Dir
	// StateMachine is called by Open, to restore a snapshot, and then only by
	// Run. Whoever reads it meanwhile needs a lock of its own.
	StateMachine galenahead.StateMachine
	// Caller sends messages to other replicas. A cluster of one needs none.
	Caller galenahead.Caller
	// Timers is the timer service; optional.
	Timers galenahead.Timers
	// Log gets one line for each change of role and each rejected data
	// directory; optional.
	Log logrus.FieldLogger
	// Fatal is called when the replica must not go on, such as after a failed
	// sync. The default logs the error and ends the process. When it returns,
	// Run returns the error.
	Fatal func(error)
	// Rand randomizes election timeouts and incarnations; optional.
	Rand *rand.Rand

	// Tick is how often time-outs are checked.
	Tick               time.Duration
	Heartbeat          time.Duration
	MinElectionTimeout time.Duration
	MaxElectionTimeout time.Duration
	// Lease must be shorter than MinElectionTimeout by more than the drift of two
	// clocks over that time.
	Lease       time.Duration
	CallTimeout time.Duration

	SnapshotEntries uint64
	SnapshotBytes   int64
	RetainedEntries uint64
}

func orDefault[T comparable](p *T, d T) {
	var zero T
	if *p == zero {
		*p = d
	}
}

// withDefaults returns a copy of c with every optional field set.
func (c Config) withDefaults() (Config, error) {
	if c.Name == "" || c.StateMachine == nil || (c.Path == "" && c.Dir == nil) {
		return c, eris.Wrap(galenahead.ErrInvalid, "a replica needs a name, a state machine and a data directory")
	}
	orDefault(&c.Tick, DefaultTick)
	orDefault(&c.Heartbeat, DefaultHeartbeat)
	orDefault(&c.MinElectionTimeout, DefaultMinElectionTimeout)
	orDefault(&c.MaxElectionTimeout, DefaultMaxElectionTimeout)
	orDefault(&c.Lease, DefaultLease)
	orDefault(&c.CallTimeout, DefaultCallTimeout)
	orDefault(&c.SnapshotEntries, DefaultSnapshotEntries)
	orDefault(&c.SnapshotBytes, DefaultSnapshotBytes)
	orDefault(&c.RetainedEntries, DefaultRetainedEntries)
	if c.Lease >= c.MinElectionTimeout || c.Heartbeat >= c.Lease || c.MinElectionTimeout >= c.MaxElectionTimeout {
		return c, eris.Wrap(galenahead.ErrInvalid,
			"heartbeat, lease, shortest and longest election timeout must increase in this order")
	}
	if c.Timers == nil {
		c.Timers = &galenatimer.Service{}
	}
	if c.Log == nil {
		l := logrus.New()
		l.SetOutput(io.Discard)
		c.Log = l
	}
	if c.Fatal == nil {
		c.Fatal = func(err error) { log.Fatalf("replicated log: %v", err) }
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return c, nil
}

func (c Config) timing() timing {
	return timing{heartbeat: c.Heartbeat, minElection: c.MinElectionTimeout, maxElection: c.MaxElectionTimeout, lease: c.Lease}
}

func (c Config) limits() limits {
	return limits{entries: c.SnapshotEntries, bytes: c.SnapshotBytes, retained: c.RetainedEntries}
}

// newIncarnation returns a random number other than zero.
func (c Config) newIncarnation() uint64 {
	for {
		if n := c.Rand.Uint64(); n != 0 {
			return n
		}
	}
}
