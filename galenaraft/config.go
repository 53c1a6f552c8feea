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

// Config configures a Node. An optional field with its zero value gets its
// default.
type Config struct {
	// Name is this replica's name.
	Name galenahead.ReplicaName
	// Path is the path of the data directory. Tests set Dir instead.
	Path string
	Dir  galenawal.Dir
	// StateMachine is called by Open, to restore a snapshot, and after that only
	// by Run. It needs its own lock if other goroutines read its state.
	StateMachine galenahead.StateMachine
	// RPCClient sends messages to other replicas. It may be nil in a cluster of one
	// replica.
	RPCClient galenahead.RPCClient
	// Timers provides the time and periodic ticks; optional.
	Timers galenahead.Timers
	// Log receives a line for each change of this replica's role and each time
	// damaged data is quarantined; optional.
	Log logrus.FieldLogger
	// Fatal is called when the replica must stop, for example after a failed sync.
	// The default logs the error and exits the process. If Fatal returns, Run
	// returns the error.
	Fatal func(error)
	// Rand randomizes election timeouts and incarnations; optional.
	Rand *rand.Rand

	// Tick is the interval at which timeouts are checked.
	Tick time.Duration
	// Heartbeat is the interval at which a leader sends heartbeats.
	Heartbeat          time.Duration
	MinElectionTimeout time.Duration
	MaxElectionTimeout time.Duration
	// Lease is the duration of the leader lease. It must be shorter than
	// MinElectionTimeout by more than two clocks can drift apart in that time.
	Lease time.Duration
	// CallTimeout is the timeout of one call to another replica.
	CallTimeout time.Duration

	// SnapshotEntries and SnapshotBytes limit the number of entries applied and
	// the growth of the log file since the last snapshot. Reaching either limit
	// triggers the next snapshot.
	SnapshotEntries uint64
	SnapshotBytes   int64
	// RetainedEntries is the number of entries that stay in the log after a
	// snapshot, so that a slightly lagging replica needs no snapshot.
	RetainedEntries uint64
}

func orDefault[T comparable](p *T, def T) {
	var zero T
	if *p == zero {
		*p = def
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
	return timing{heartbeatInterval: c.Heartbeat, minElectionTimeout: c.MinElectionTimeout, maxElectionTimeout: c.MaxElectionTimeout, leaseDuration: c.Lease}
}

func (c Config) snapshotLimits() snapshotLimits {
	return snapshotLimits{logEntries: c.SnapshotEntries, logBytes: c.SnapshotBytes, retainedEntries: c.RetainedEntries}
}

// newIncarnation returns a random number other than zero.
func (c Config) newIncarnation() uint64 {
	for {
		if n := c.Rand.Uint64(); n != 0 {
			return n
		}
	}
}
