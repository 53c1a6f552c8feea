// Package fleet runs real control daemons on loopback addresses together with fake
// entries and a fake platform, so that the daemons can be measured.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/cmd/galenactl/client"
	"github.com/galenahead/galenahead/galenapb"
	"github.com/galenahead/galenahead/test/galena-local/deployment"
)

// Options describe the fleet to run.
type Options struct {
	// Dir is an existing directory for the files of this fleet.
	Dir string
	// Bin is the directory of the programs.
	Bin string
	// Controls is the number of control daemons, Entries the number of fake entries,
	// and Brokers the number of these that send the reports of a service's broker.
	Controls, Entries, Brokers int
	Seed                       *Seed
	// LogTail is the number of prepared commands that are stored in the log but not in
	// the snapshot.
	LogTail       int
	RenewInterval time.Duration
}

// Fleet is a set of running control daemons.
type Fleet struct {
	Controls []*Control
	// LeaderElectedAfter is the time from the start of the daemons until one of them was
	// the leader.
	LeaderElectedAfter time.Duration

	options  Options
	entries  []*fakeEntry
	platform *fakePlatform
	cancel   context.CancelFunc
	leader   *Control
}

// Control is a control daemon that is reached through relays, which count traffic.
type Control struct {
	*deployment.Process
	name                                        string
	peerAddress, operatorAddress, statusAddress string
	// logRelay, entryRelay and operatorRelay forward the traffic of the replicated log,
	// of entries and of operators.
	logRelay, entryRelay, operatorRelay *Relay
}

// Start starts the daemons and waits until there is a leader and every fake entry has
// received the current revision.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	f := &Fleet{options: o}
	if err := f.start(ctx); err != nil {
		_ = f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	addr, err := f.prepareDaemons()
	if err != nil {
		return err
	}
	if err := f.writeDataDirs(); err != nil {
		return err
	}
	if f.platform, err = startPlatform(addr); err != nil {
		return err
	}
	started := time.Now()
	for _, c := range f.Controls {
		if err := c.Start(); err != nil {
			return err
		}
	}
	f.startEntries(ctx)
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if f.leader, err = f.AwaitLeader(ctx); err != nil {
		return err
	}
	f.LeaderElectedAfter = time.Since(started)
	return f.awaitEntries(ctx)
}

// prepareDaemons allocates the addresses of all daemons, opens their relays and writes
// their settings files. It returns the platform's address.
func (f *Fleet) prepareDaemons() (string, error) {
	ports := &portAllocator{}
	platformAddr := ports.next()
	for i := range f.options.Controls {
		f.Controls = append(f.Controls, &Control{
			name: fmt.Sprintf("control-%d", i+1), peerAddress: ports.next(), operatorAddress: ports.next(), statusAddress: ports.next(),
		})
	}
	// The relays get no port that was allocated to a daemon, as long as it is taken.
	for _, c := range f.Controls {
		if err := c.openRelays(); err != nil {
			return "", errors.Join(err, ports.close())
		}
	}
	if err := ports.close(); err != nil {
		return "", err
	}
	for _, c := range f.Controls {
		path := filepath.Join(f.options.Dir, c.name+".ini")
		if err := os.WriteFile(path, []byte(f.controlSettings(c, platformAddr)), 0o644); err != nil {
			return "", eris.Wrap(err, "write settings")
		}
		c.Process = deployment.NewProcess(c.name, filepath.Join(f.options.Bin, "galena-control"), f.options.Dir, "--settings", path)
	}
	return platformAddr, nil
}

func (c *Control) openRelays() (err error) {
	if c.logRelay, err = NewRelay(c.peerAddress); err != nil {
		return err
	}
	if c.entryRelay, err = NewRelay(c.peerAddress); err != nil {
		return err
	}
	c.operatorRelay, err = NewRelay(c.operatorAddress)
	return err
}

// portAllocator allocates free loopback ports. It listens on them until close, so
// that no port is allocated twice.
type portAllocator struct {
	listeners []net.Listener
	err       error
}

func (a *portAllocator) next() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		a.err = err
		return ""
	}
	a.listeners = append(a.listeners, ln)
	return ln.Addr().String()
}

func (a *portAllocator) close() error {
	for _, ln := range a.listeners {
		_ = ln.Close()
	}
	return a.err
}

func (f *Fleet) dataDir(c *Control) string { return filepath.Join(f.options.Dir, c.name) }

func (f *Fleet) controlSettings(c *Control, platformAddr string) string {
	var b strings.Builder
	fmt.Fprintf(&b, `[process]
name = %s
data_centre = dc-00
region = region-0
stop_delay = 0s
log_file = -
max_procs = 2

[listen]
operator_address = %s
peer_address = %s
status_address = %s

[data]
directory = %s

[platform]
worker_address = %s
renew_interval = %s

[weights]
buffer_cost = 1
rollout_time = 1

[control]
`, c.name, c.operatorAddress, c.peerAddress, c.statusAddress, f.dataDir(c), platformAddr, f.options.RenewInterval)
	for _, o := range f.Controls {
		fmt.Fprintf(&b, "%s = dc-00 %s %s\n", o.name, o.peerAddress, o.operatorAddress)
	}
	b.WriteString("\n[entries]\n")
	for i := range f.options.Entries {
		// Control daemons never call entries, so nothing listens at this address.
		fmt.Fprintf(&b, "%s = dc-%02d 127.1.%d.%d:7000\n", entryName(i), i%dataCentreCount, i/250, i%250+1)
	}
	return b.String()
}

func entryName(i int) galenahead.EntryName { return galenahead.EntryName(fmt.Sprintf("entry-%03d", i)) }

// writeDataDirs writes the prepared state to the data directory of every replica.
func (f *Fleet) writeDataDirs() error {
	var members []galenahead.Member
	for i, c := range f.Controls {
		members = append(members, galenahead.Member{
			Name: galenahead.ReplicaName(c.name), Address: c.logRelay.Address(), Incarnation: uint64(i + 1), Voter: true,
		})
	}
	for i, c := range f.Controls {
		if err := f.options.Seed.writeDataDir(f.dataDir(c), members[i], members, f.options.LogTail); err != nil {
			return eris.Wrapf(err, "prepare the data directory of %s", c.name)
		}
	}
	return nil
}

func (f *Fleet) startEntries(ctx context.Context) {
	ctx, f.cancel = context.WithCancel(ctx)
	var control []string
	for _, c := range f.Controls {
		control = append(control, c.entryRelay.Address())
	}
	for i := range f.options.Entries {
		e := &fakeEntry{name: entryName(i), controlAddresses: control}
		if i < f.options.Brokers {
			e.service = serviceName(i)
		}
		f.entries = append(f.entries, e)
		go e.run(ctx)
	}
}

// Leader returns the daemon that was the leader when Start returned.
func (f *Fleet) Leader() *Control { return f.leader }

// Follower returns a daemon that was a follower when Start returned.
func (f *Fleet) Follower() *Control {
	for _, c := range f.Controls {
		if c != f.leader {
			return c
		}
	}
	return f.leader
}

const (
	// pollPeriod is the interval at which the state of daemons and entries is polled.
	pollPeriod = 50 * time.Millisecond
	// startTimeout limits the time until there is a leader and all entries have its
	// configuration.
	startTimeout = 30 * time.Second
)

// AwaitLeader waits until a daemon answers reads, which only the leader does.
func (f *Fleet) AwaitLeader(ctx context.Context) (*Control, error) {
	for ctx.Err() == nil {
		for _, c := range f.Controls {
			if f.isLeader(ctx, c) {
				return c, nil
			}
		}
		sleep(ctx, pollPeriod)
	}
	return nil, eris.Wrap(ctx.Err(), "no control daemon is the leader")
}

func (f *Fleet) isLeader(ctx context.Context, c *Control) bool {
	conn, err := client.Dial(c.operatorAddress)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_, err = galenapb.NewControlClient(conn).Get(ctx, &galenapb.GetRequest{Kind: "pools"})
	return err == nil
}

// RespondsToStatus reports whether the daemon answers a status call.
func (c *Control) RespondsToStatus(ctx context.Context) bool {
	conn, err := client.Dial(c.operatorAddress)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_, err = galenapb.NewControlClient(conn).Status(ctx, &galenapb.StatusRequest{})
	return err == nil
}

func (f *Fleet) awaitEntries(ctx context.Context) error {
	for ctx.Err() == nil {
		if _, ok := f.InForceSince(f.options.Seed.Machine.View().Revision()); ok {
			return nil
		}
		sleep(ctx, pollPeriod)
	}
	return eris.Wrap(ctx.Err(), "fake entries did not receive the configuration")
}

// InForceSince returns the time at which the last entry received the revision. The
// result is false if some entry has not received it yet.
func (f *Fleet) InForceSince(rev galenahead.Revision) (time.Time, bool) {
	var last time.Time
	for _, e := range f.entries {
		at, ok := e.revisionTime(rev)
		if !ok {
			return last, false
		}
		if at.After(last) {
			last = at
		}
	}
	return last, true
}

// TaskCalls returns the number of task calls that the platform has received.
func (f *Fleet) TaskCalls() int64 { return f.platform.taskCalls.Load() }

// JobStartedAt returns the time of the first request to the platform to start a job's
// task.
func (f *Fleet) JobStartedAt(job string) (time.Time, bool) {
	f.platform.mu.Lock()
	defer f.platform.mu.Unlock()
	at, ok := f.platform.firstStarts[job]
	return at, ok
}

// UrgentJob returns the urgent job with number i, for a fleet with the pools and teams
// of a prepared state.
func UrgentJob(i int) *galenapb.Job {
	return &galenapb.Job{
		Id: fmt.Sprintf("urgent-%03d", i), Team: string(teamName(0)), Pool: string(poolName(1)), Cores: 1, MemoryMb: 1024, Urgent: true,
	}
}

// Traffic holds the bytes sent and received so far on the connections of the
// replicated log, of entries and of operators.
type Traffic struct{ Log, Entries, Operators int64 }

// Traffic returns the traffic of all daemons. Since only the leader sends the log, Log
// is the sum of its connections to all followers.
func (f *Fleet) Traffic() Traffic {
	var t Traffic
	for _, c := range f.Controls {
		t.Log += c.logRelay.Bytes()
		t.Entries += c.entryRelay.Bytes()
		t.Operators += c.operatorRelay.Bytes()
	}
	return t
}

// Operator returns a client that calls the leader through its operator relay.
func (f *Fleet) Operator() *client.Client {
	return client.New([]string{f.leader.operatorRelay.Address()}, client.Dial)
}

// Stop stops everything that Start started and returns the first error.
func (f *Fleet) Stop() error {
	if f.cancel != nil {
		f.cancel()
	}
	var first error
	for _, c := range f.Controls {
		if c.Process != nil {
			if err := c.Stop(); err != nil && first == nil {
				first = err
			}
		}
		for _, r := range []*Relay{c.logRelay, c.entryRelay, c.operatorRelay} {
			if r != nil {
				r.Close()
			}
		}
	}
	if f.platform != nil {
		f.platform.server.Stop()
	}
	return first
}
