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
	"github.com/galenahead/galenahead/galenajob"
	"github.com/galenahead/galenahead/galenametric"
	"github.com/galenahead/galenahead/galenaraft"
	"github.com/galenahead/galenahead/galenarpc"
	"github.com/galenahead/galenahead/galenasettings"
	"github.com/galenahead/galenahead/galenatimer"
	"github.com/galenahead/galenahead/platform"
)

// control keeps a replica of the fleet's state and owns the fleet while it
// leads.
type control struct {
	daemon
	node   *galenaraft.Node
	owner  *galenafleet.Owner
	keeper *galenafleet.Keeper
	server *galenarpc.Server
	// failed is closed when the replica's disk has failed.
	failed chan struct{}
}

// Timing of the log. An instance's lease outlives the change of a leader.
const (
	// logTick is the grain of the timers below.
	logTick = 25 * time.Millisecond
	// heartbeat is a quarter of the lease: three may be lost in a row.
	heartbeat = 120 * time.Millisecond
	// lease ends well before another replica may stand for election, also when
	// the replicas' clocks run at rates 2% apart.
	lease = 500 * time.Millisecond
	// minElectionTimeout and maxElectionTimeout are apart by more than the time
	// in which a candidate gets its votes (5 ms), so that rarely two stand at once.
	minElectionTimeout = 650 * time.Millisecond
	maxElectionTimeout = 1100 * time.Millisecond
	// callTimeout is above a call that waits for a sync of a loaded disk (9 ms),
	// and below the lease.
	callTimeout = 400 * time.Millisecond
)

// instanceLease is how long an order lets an instance work; longer than the
// change of a leader takes, and as short as possible, since work on an instance
// that is lost restarts only after it.
const instanceLease = 4 * time.Second

// supervisor runs a control daemon, and starts it anew within the process when
// its disk fails: a full or faulty disk may recover, and meanwhile the others
// go on.
type supervisor struct {
	// open prepares a control daemon with the settings of now.
	open func() (galenadaemon.Runner, error)
	log  *logrus.Logger
}

// diskRetry is the pause before a replica whose disk failed is opened again.
const diskRetry = time.Second

func runControl(_ context.Context, path string, _ galenasettings.Fleet, load loader, log *galenadaemon.Log) (galenadaemon.Runner, error) {
	metrics := &galenametric.Metrics{}
	metrics.Publish("galena")
	open := func() (galenadaemon.Runner, error) {
		f, err := load(path)
		if err != nil {
			return nil, err
		}
		return newControl(path, f, load, log, metrics)
	}
	return &supervisor{open: open, log: log.Logger}, nil
}

// Run runs control daemons until ctx ends.
func (s *supervisor) Run(ctx context.Context) error {
	for {
		err := s.runOnce(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			return eris.New("the control daemon ended without a cause")
		}
		s.log.WithError(err).Error("control daemon failed; it starts again")
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(diskRetry):
		}
	}
}

func (s *supervisor) runOnce(ctx context.Context) error {
	c, err := s.open()
	if err != nil {
		return err
	}
	return c.Run(ctx)
}

func newControl(path string, f galenasettings.Fleet, load loader, log *galenadaemon.Log, metrics *galenametric.Metrics) (*control, error) {
	timers := &galenatimer.Steady{}
	caller := &galenarpc.Client{}
	state := &galenafleet.State{Timers: timers, Started: time.Now().Round(0)}
	c := &control{server: &galenarpc.Server{Mux: &galenarpc.Mux{}}, failed: make(chan struct{})}
	node, err := galenaraft.Open(galenaraft.Config{
		Name: f.Replica(), Path: f.Control.DataDirectory, StateMachine: state, Caller: caller, Timers: timers, Log: log.Logger,
		Tick: logTick, Heartbeat: heartbeat, Lease: lease, MinElectionTimeout: minElectionTimeout, MaxElectionTimeout: maxElectionTimeout,
		CallTimeout: callTimeout, Fatal: func(error) { close(c.failed) },
	})
	if err != nil {
		return nil, err
	}
	c.node = node
	directory := &galenafleet.Directory{Caller: caller, Timers: timers, Logger: log.Logger, Self: c.whereabouts}
	directory.SetSeeds(f.Control.SeedPeers())
	c.daemon = daemon{
		path: path, settings: f, load: load, log: log, timers: timers, directory: directory,
		gateway: &galenafleet.Gateway{Directory: directory, Caller: caller, Logger: log.Logger, Metrics: metrics},
	}
	client := &platform.Client{}
	c.owner = &galenafleet.Owner{
		Name: f.Replica(), Log: node, State: state, Timers: timers, Logger: log.Logger, Metrics: metrics,
		Instances:    &platform.Instances{Client: client},
		Advisor:      &platform.Advisor{Client: client, Address: f.Platform.Advisor.String()},
		Machines:     &platform.Machines{Client: client, Address: f.Platform.Machines.String()},
		Params:       params(f),
		MachineLease: f.Instances.MachineLease, Keep: f.Instances.KeepFinal,
	}
	c.keeper = &galenafleet.Keeper{
		Self: c.member(), Log: node, Directory: directory, Timers: timers, Logger: log.Logger,
		Bootstrap: f.Control.Bootstrap, Seeds: f.Control.SeedPeers(), Voters: 2*f.Control.Losses + 1,
	}
	node.Register(c.server.Mux)
	directory.Register(c.server.Mux)
	c.owner.Register(c.server.Mux)
	return c, nil
}

// Bounds of the scheduler.
const (
	// silence is six repetitions of an order.
	silence = 900 * time.Millisecond
	// resend is some fifty times the usual answer to an order (3 ms), so that only
	// lost ones are repeated.
	resend = 150 * time.Millisecond
	// suspicion is about the time of one or two work items: a faulty instance
	// spoils few, one that was suspected for another's fault is missed briefly.
	suspicion = 1500 * time.Millisecond
	// restart is short beside a work item (0.6 to 2.1 s).
	restart = 50 * time.Millisecond
	// drainPatience lets most work items end by themselves, below the 2 s that a
	// draining instance serves on.
	drainPatience = 1500 * time.Millisecond
	// goneAfter is four missed heartbeats of 1.5 s, and above the lease. A new owner
	// waits for the lease of each instance that is not forgotten.
	goneAfter = 6 * time.Second
	// adviceWait lets the advisor weigh 100 instances at 5 ms each.
	adviceWait = 500 * time.Millisecond
)

// leaseShare is the part of the longest lease that is used, so that the
// instance does not shorten it.
const leaseShare = 0.9

// params returns the bounds of the scheduler.
func params(f galenasettings.Fleet) galenajob.Params {
	longest := time.Duration(leaseShare * float64(f.Instances.MaxLease))
	return galenajob.Params{
		Lease:         min(instanceLease, longest),
		Silence:       silence,
		Resend:        resend,
		Suspicion:     suspicion,
		Restart:       restart,
		DrainPatience: drainPatience,
		GoneAfter:     goneAfter,
		StopTimeout:   f.Instances.StopTimeout,
		AdviceWait:    adviceWait,
	}
}

func (c *control) member() galenahead.Member {
	return galenahead.Member{
		Name: c.settings.Replica(), Address: c.settings.Listen.Peer.String(), Incarnation: c.node.Status().Incarnation,
	}
}

// whereabouts is what other daemons may know.
func (c *control) whereabouts() galenafleet.Whereabouts {
	st := c.node.Status()
	w := galenafleet.Whereabouts{
		Self: c.member(), Blank: st.Role == string(galenaraft.RoleBlank), Term: st.Term, Members: st.Members,
	}
	for _, m := range st.Members {
		if m.Name == st.Leader {
			w.Leader = m.Address
		}
	}
	return w
}

// leaderHost returns the host of the daemon that leads.
func (c *control) leaderHost() (string, bool) {
	addr, ok := c.directory.Leader()
	if !ok {
		return "", false
	}
	host, _, err := net.SplitHostPort(addr)
	return host, err == nil
}

// stopTimeout bounds the handing over of the lead at a stop.
const stopTimeout = time.Second

// Run serves until ctx ends; it then hands over the lead and finishes what has
// begun.
func (c *control) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	ln, err := galenadaemon.Listen(c.settings.Listen.Peer)
	if err != nil {
		return err
	}
	group.Go(func() error { return c.server.Serve(serving, ln) })
	operator := &platform.Control{
		Fleet: c.gateway, Logger: c.log.Logger, Leader: c.leaderHost, Port: int(c.settings.Listen.Operator.Port()),
	}
	closing := func() bool { return ctx.Err() != nil }
	if err := serveHTTP(serving, &group, platform.NewServer(operator.Handle, closing), c.settings.Listen.Operator); err != nil {
		return err
	}
	if err := serveHTTP(serving, &group, platform.NewStatus(func() error { return nil }), c.settings.Listen.Status); err != nil {
		return err
	}
	group.Go(func() error { return c.node.Run(serving) })
	group.Go(func() error { return c.directory.Run(serving) })
	group.Go(func() error { return c.keeper.Run(serving) })
	group.Go(func() error { return c.owner.Run(serving) })
	group.Go(func() error { return c.watchSettings(serving) })
	select {
	case <-ctx.Done():
		c.log.Info("control daemon stops")
		c.handOver()
	case <-c.failed:
	}
	stop()
	return group.Wait()
}

// handOver gives the lead to another replica.
func (c *control) handOver() {
	if !c.node.HoldsLease() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := c.node.TransferLeadership(ctx); err != nil {
		c.log.WithError(err).Warn("lead not handed over")
	}
}
