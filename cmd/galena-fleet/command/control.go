package command

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenadaemon"
	"github.com/galenahead/galenahead/galenafleet"
	"github.com/galenahead/galenahead/galenagate"
	"github.com/galenahead/galenahead/galenajob"
	"github.com/galenahead/galenahead/galenametric"
	"github.com/galenahead/galenahead/galenaraft"
	"github.com/galenahead/galenahead/galenarelay"
	"github.com/galenahead/galenahead/galenarpc"
	"github.com/galenahead/galenahead/galenasettings"
	"github.com/galenahead/galenahead/galenatimer"
	"github.com/galenahead/galenahead/platform"
)

// controlDaemon keeps a replica of the fleet's state and owns the fleet while it
// is the leader.
type controlDaemon struct {
	controlBase
	node      *galenaraft.Node
	rpcClient *galenarpc.Client
	// logClient has the connections of the log, so that its messages wait for no others.
	logClient *galenarpc.Client
	// readClient has the connections of reads, which wait for their turn at the owner.
	readClient *galenarpc.Client
	owner      *galenafleet.Owner
	membership *galenafleet.MembershipManager
	// relays makes this daemon's calls to instances through others, and relayServer makes
	// those of others.
	relays      *galenarelay.Client
	relayServer *galenarelay.Server
	heartbeats  *galenafleet.HeartbeatCollector
	reads       *galenafleet.ReadCollector
	// diskFailed is closed when the replica cannot continue after a disk failure.
	diskFailed chan struct{}
}

// Timers of Raft. The lease of an instance is longer than a change of leader.
const (
	// raftTick is the resolution of the timers below.
	raftTick = 25 * time.Millisecond
	// heartbeatInterval is a quarter of the leader lease, so that three heartbeats
	// in a row may be lost.
	heartbeatInterval = 120 * time.Millisecond
	// leaderLease expires well before another replica may start an election, even
	// if the clock rates of the replicas differ by 2%.
	leaderLease = 500 * time.Millisecond
	// minElectionTimeout and maxElectionTimeout differ by more than the time that a
	// candidate needs to collect its votes (5 ms), so that two replicas rarely
	// campaign at the same time.
	minElectionTimeout = 650 * time.Millisecond
	maxElectionTimeout = 1100 * time.Millisecond
	// raftCallTimeout is the time after which a response can no longer keep a leader.
	raftCallTimeout = minElectionTimeout
)

// instanceLease is the time for which a command lets an instance work. It is
// longer than a change of leader takes, and otherwise as short as possible, since
// work of a lost instance restarts only after the lease has expired.
const instanceLease = 4 * time.Second

// supervisor runs a control daemon, and restarts it within the process when its
// disk fails: a full or faulty disk may recover, and the other replicas continue
// meanwhile.
type supervisor struct {
	// newDaemon creates a control daemon from the current settings.
	newDaemon func() (galenadaemon.Runner, error)
	log       *logrus.Logger
}

// reopenDelay is the delay before a replica whose disk failed is opened again.
const reopenDelay = time.Second

func runControl(_ context.Context, path string, f galenasettings.Fleet, load loadFunc, log *galenadaemon.Log) (galenadaemon.Runner, error) {
	metrics := &galenametric.Metrics{}
	metrics.Publish("galena")
	log.WithFields(logrus.Fields{
		"seeds": f.Control.SeedPeers(), "data_directory": f.Control.DataDirectory, "bootstrap": f.Control.Bootstrap, "losses": f.Control.ToleratedFailures,
		"data_centre_losses": f.Control.ToleratedDataCentres, "catch_up": f.Control.CatchUp.String(),
	}).Info("control daemon starts")
	if f.Control.DataDirectory == "" {
		return newRedirector(path, f, load, log), nil
	}
	newDaemon := func() (galenadaemon.Runner, error) {
		f, err := load(path)
		if err != nil {
			return nil, err
		}
		return newControl(path, f, load, log, metrics)
	}
	return &supervisor{newDaemon: newDaemon, log: log.Logger}, nil
}

// Run runs control daemons until ctx ends.
func (s *supervisor) Run(ctx context.Context) error {
	for {
		err := s.runOnce(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			return eris.New("control daemon ended without an error")
		}
		s.log.WithError(err).Error("control daemon failed; restarting it")
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(reopenDelay):
		}
	}
}

func (s *supervisor) runOnce(ctx context.Context) error {
	c, err := s.newDaemon()
	if err != nil {
		return err
	}
	return c.Run(ctx)
}

func newControl(path string, f galenasettings.Fleet, load loadFunc, log *galenadaemon.Log, metrics *galenametric.Metrics) (*controlDaemon, error) {
	timers := &galenatimer.BootTimeService{}
	rpcClient, logClient, gate := &galenarpc.Client{}, &galenarpc.Client{}, &galenagate.Gate{}
	readClient := &galenarpc.Client{Stamped: true}
	machine := machineOf(f)
	state := &galenafleet.State{Timers: timers, ProcessStart: time.Now().Round(0), Room: machine.NewRoom()}
	c := &controlDaemon{rpcClient: rpcClient, logClient: logClient, readClient: readClient, diskFailed: make(chan struct{})}
	node, err := galenaraft.Open(galenaraft.Config{
		Name: f.Replica(), Path: f.Control.DataDirectory, StateMachine: state, RPCClient: logClient, Timers: timers, Log: log.Logger,
		Tick: raftTick, Heartbeat: heartbeatInterval, Lease: leaderLease, MinElectionTimeout: minElectionTimeout, MaxElectionTimeout: maxElectionTimeout,
		CallTimeout: raftCallTimeout, Fatal: func(error) { close(c.diskFailed) },
	})
	if err != nil {
		return nil, err
	}
	c.node = node
	directory := &galenafleet.Directory{RPCClient: rpcClient, Timers: timers, Logger: log.Logger, Self: c.leaderInfo, Announce: true}
	directory.SetSeeds(f.Control.SeedPeers())
	c.controlBase.baseDaemon = baseDaemon{
		path: path, settings: f, load: load, log: log, timers: timers, directory: directory,
		ownerClient: &galenafleet.OwnerClient{
			Directory: directory, RPCClient: &galenarpc.LocalFirst{RPCClient: rpcClient, Self: f.Listen.Peer.String(), Mux: &c.mux},
			Logger: log.Logger, Metrics: metrics,
		},
	}
	c.heartbeats = &galenafleet.HeartbeatCollector{Owner: c.ownerClient, Timers: timers, Self: f.Listen.Peer.String()}
	c.reads = &galenafleet.ReadCollector{
		Owner: &galenafleet.OwnerClient{
			Directory: directory, RPCClient: &galenarpc.LocalFirst{RPCClient: readClient, Self: f.Listen.Peer.String(), Mux: &c.mux},
			Logger: log.Logger, Metrics: metrics,
		},
		Timers: timers,
	}
	client := &platform.Client{MaxConnections: machine.Files / instanceConnectionsPart}
	instances := &platform.InstanceClient{Client: client}
	c.relays = &galenarelay.Client{
		Direct: instances, RPCClient: rpcClient, Timers: timers, Logger: log.Logger, Self: f.Listen.Peer.String(), Peers: c.otherReplicas,
		Gate: gate,
	}
	c.relayServer = &galenarelay.Server{Instances: instances, RPCClient: rpcClient, Timers: timers, Logger: log.Logger}
	c.owner = &galenafleet.Owner{
		Name: f.Replica(), Log: node, State: state, Timers: timers, Logger: log.Logger, Metrics: metrics,
		Instances:    c.relays,
		Gate:         gate,
		MaxStarting:  c.relays.MaxStarting,
		Advisor:      &platform.Advisor{Client: platform.NewServiceClient(), Address: f.Platform.Advisor.String()},
		Machines:     &platform.MachineClient{Client: platform.NewServiceClient(), Address: f.Platform.Machines.String(), Logger: log.Logger},
		Params:       schedulerParams(f),
		MaxInstances: machine.Instances(),
		NewOverlaps:  func() galenajob.Overlaps { return machine.NewOverlapRoom() },
		MachineLease: f.Instances.MachineLease, FinalJobRetention: f.Instances.FinalJobRetention,
	}
	c.membership = &galenafleet.MembershipManager{
		Self: c.selfMember(), Log: node, Directory: directory, Timers: timers, Logger: log.Logger, Metrics: metrics,
		DataCentre: f.Process.DataCentre, Bootstrap: f.Control.Bootstrap, Seeds: f.Control.SeedPeers(), VoterCount: f.Control.VoterCount(),
		SpreadVoters: f.Control.ToleratedDataCentres > 0, CatchUp: f.Control.CatchUp,
	}
	node.Register(&c.mux)
	directory.Register(&c.mux)
	c.owner.Register(&c.mux)
	c.relays.Register(&c.mux)
	c.relayServer.Register(&c.mux)
	c.reads.Register(&c.mux)
	return c, nil
}

// Parameters of the scheduler.
const (
	// unresponsiveAfter is six times resendInterval.
	unresponsiveAfter = 900 * time.Millisecond
	// resendInterval is some fifty times the usual response time of a command
	// (3 ms), so that only lost commands are sent again.
	resendInterval = 150 * time.Millisecond
	// suspectTime is about the duration of one or two work items: a faulty instance
	// fails only a few of them, and an instance that is suspected because of a fault
	// elsewhere is unused only briefly.
	suspectTime = 1500 * time.Millisecond
	// restartDelay is short compared with a work item (0.6 to 2.1 s).
	restartDelay = 50 * time.Millisecond
	// drainGracePeriod lets most work items finish, and is shorter than the 2 s for
	// which a draining instance continues to serve.
	drainGracePeriod = 1500 * time.Millisecond
	// goneAfter is four missed heartbeats of 1.5 s, and longer than instanceLease. A
	// new owner waits for the lease of each instance that has not been removed.
	goneAfter = 6 * time.Second
	// adviceTimeout lets the advisor rate 100 instances at 5 ms each.
	adviceTimeout = 500 * time.Millisecond
	// maxStarting is a multiple of the starts that a service sends within the usual
	// response time of a command, and takes the owner about 10 ms to send.
	maxStarting = 32
)

// instanceConnectionsPart is the part of the process's descriptors that connections
// to instances may take. The others are for instances, callers and daemons that
// connect to this one, and for files.
const instanceConnectionsPart = 2

// maxLeaseFraction is the fraction of the instances' maximum lease that is
// requested, so that no instance shortens the lease.
const maxLeaseFraction = 0.9

// schedulerParams returns the parameters of the scheduler, limited by the
// settings.
func schedulerParams(f galenasettings.Fleet) galenajob.Params {
	maxLease := time.Duration(maxLeaseFraction * float64(f.Instances.MaxLease))
	return galenajob.Params{
		Lease:             min(instanceLease, maxLease),
		MaxLease:          f.Instances.MaxLease,
		UnresponsiveAfter: unresponsiveAfter,
		ResendInterval:    resendInterval,
		SuspectTime:       suspectTime,
		RestartDelay:      restartDelay,
		DrainGracePeriod:  drainGracePeriod,
		GoneAfter:         goneAfter,
		StopTimeout:       f.Instances.StopTimeout,
		AdviceTimeout:     adviceTimeout,
		MaxStarting:       maxStarting,
	}
}

// selfMember returns this replica as a member of the replicated log.
func (c *controlDaemon) selfMember() galenahead.Member {
	return galenahead.Member{
		Name: c.settings.Replica(), Address: c.settings.Listen.Peer.String(), Incarnation: c.node.Status().Incarnation,
	}
}

// otherReplicas returns the addresses of the other members of the replicated log.
func (c *controlDaemon) otherReplicas() []string {
	var addrs []string
	self := c.settings.Listen.Peer.String()
	for _, m := range c.node.Status().Members {
		if m.Address != self {
			addrs = append(addrs, m.Address)
		}
	}
	return addrs
}

// collectingOwner forwards the heartbeats of instances in batches.
type collectingOwner struct {
	*galenafleet.OwnerClient
	heartbeats *galenafleet.HeartbeatCollector
}

// Heartbeat implements platform.FleetOwner.
func (o collectingOwner) Heartbeat(ctx context.Context, hb galenafleet.Heartbeat) error {
	return o.heartbeats.Heartbeat(ctx, hb)
}

// heartbeatHost returns the host to which an instance should send its heartbeats: that of
// the owner, or of another replica if the owner would get too many.
func (c *controlDaemon) heartbeatHost(id galenahead.InstanceID) (string, bool) {
	owner, ok := c.directory.Leader()
	if !ok {
		return "", false
	}
	spread, owns := c.owner.HeartbeatSpread()
	if !owns {
		spread = c.heartbeats.Spread()
	}
	addr := owner
	if galenafleet.SpreadPosition(id) < spread {
		members := c.node.Status().Members
		i := galenafleet.SpreadOver(id, len(members),
			func(i int) string { return members[i].Address }, func(i int) bool { return members[i].Address != owner })
		if i >= 0 {
			addr = members[i].Address
		}
	}
	host, _, err := net.SplitHostPort(addr)
	return host, err == nil
}

// leaderInfo returns what other daemons may learn about the leader and the
// members.
func (c *controlDaemon) leaderInfo() galenafleet.LeaderInfo {
	status := c.node.Status()
	info := galenafleet.LeaderInfo{
		Self: c.selfMember(), DataCentre: c.settings.Process.DataCentre,
		Limits: c.owner.State.CallerLimits(),
		Blank:  status.Role == string(galenaraft.RoleBlank), Term: status.Term, Members: status.Members, Silence: c.directory.Silence(status),
	}
	for _, m := range status.Members {
		if m.Name == status.Leader {
			info.Leader = m.Address
		}
	}
	return info
}

const (
	// recordTimeout bounds the record of starts before the leadership transfer, so that a daemon
	// whose disk is slow ends as well. It is longer than resendInterval, in which starts are answered.
	recordTimeout = 500 * time.Millisecond
	// transferTimeout bounds the leadership transfer before the daemon stops.
	transferTimeout = time.Second
)

// Run serves until ctx ends or the disk fails. When ctx ends, it transfers
// leadership, and then answers the requests that have arrived.
func (c *controlDaemon) Run(ctx context.Context) error {
	defer c.rpcClient.Close()
	defer c.logClient.Close()
	defer c.readClient.Close()
	defer c.node.Close()
	intake := c.newIntake(maxPlatformBody)
	handler := &platform.ControlHandler{
		Intake: intake, Owner: collectingOwner{c.ownerClient, c.heartbeats}, Logger: c.log.Logger, HeartbeatHost: c.heartbeatHost,
		Port: int(c.settings.Listen.Operator.Port()),
	}
	return c.serve(ctx, controlWork{
		handle: handler.Handle, intake: intake,
		start: func(ctx context.Context, workers *errgroup.Group) {
			workers.Go(func() error { return c.node.Run(ctx) })
			workers.Go(func() error { return c.membership.Run(ctx) })
			workers.Go(func() error { return c.owner.Run(ctx) })
			workers.Go(func() error { return c.relays.Run(ctx) })
			workers.Go(func() error { return c.heartbeats.Run(ctx) })
			workers.Go(func() error { return c.reads.Run(ctx) })
			garbage := &galenadaemon.GarbageTuner{Timers: c.timers, MachineMemoryMB: c.settings.Process.MachineMemoryMB}
			workers.Go(func() error { return garbage.Run(ctx) })
		},
		failed:     c.diskFailed,
		beforeStop: c.handOver,
	})
}

// handOver records what the next owner can't know otherwise, and makes another replica the leader.
func (c *controlDaemon) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if err := c.owner.PrepareHandover(ctx); err != nil {
		c.log.WithError(err).Warn("could not record the starts without a response")
	}
	c.transferLeadership()
}

// transferLeadership makes another replica the leader if this one leads.
func (c *controlDaemon) transferLeadership() {
	if !c.node.HoldsLease() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	if err := c.node.TransferLeadership(ctx); err != nil {
		c.log.WithError(err).Warn("could not transfer leadership")
	}
}
