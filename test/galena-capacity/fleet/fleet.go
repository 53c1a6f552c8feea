// Package fleet runs control daemons on loopback with stand-in entries and a
// stand-in platform, for measurements of the real programs.
package fleet

import (
	"context"
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

// Options tells what to run.
type Options struct {
	// Dir is an existing directory for the files of this fleet.
	Dir string
	// Bin holds the programs.
	Bin string
	// Controls is the number of control daemons, Entries that of stand-in
	// entries, Brokers that of entries that report for a service.
	Controls, Entries, Brokers int
	Seed                       *Seed
	// Tail is the number of prepared commands that are in the log only.
	Tail          int
	RenewInterval time.Duration
}

// Fleet is a set of running control daemons.
type Fleet struct {
	Controls []*Control
	// LeadAfter is the time from the start of the daemons until one led.
	LeadAfter time.Duration

	options  Options
	entries  []*standIn
	platform *platform
	cancel   context.CancelFunc
	leader   *Control
}

// Control is one control daemon with counting relays before its addresses.
type Control struct {
	*deployment.Process
	name                   string
	peer, operator, status string
	// log, waits and operators count the bytes of the replicated log, of the
	// entries and of operators.
	log, waits, operators *Relay
}

// Start starts the daemons and waits until one leads and every stand-in entry
// holds its revision.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	f := &Fleet{options: o}
	if err := f.start(ctx); err != nil {
		_ = f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	addr, err := f.layOut()
	if err != nil {
		return err
	}
	if err := f.writeData(); err != nil {
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
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if f.leader, err = f.AwaitLeader(ctx); err != nil {
		return err
	}
	f.LeadAfter = time.Since(started)
	return f.awaitEntries(ctx)
}

// layOut gives every daemon its addresses and its settings file. It returns the
// platform's address.
func (f *Fleet) layOut() (string, error) {
	ports := &portSource{}
	platformAddr := ports.next()
	for i := range f.options.Controls {
		f.Controls = append(f.Controls, &Control{
			name: fmt.Sprintf("control-%d", i+1), peer: ports.next(), operator: ports.next(), status: ports.next(),
		})
	}
	if err := ports.close(); err != nil {
		return "", err
	}
	for _, c := range f.Controls {
		if err := c.openRelays(); err != nil {
			return "", err
		}
		path := filepath.Join(f.options.Dir, c.name+".ini")
		if err := os.WriteFile(path, []byte(f.settings(c, platformAddr)), 0o644); err != nil {
			return "", eris.Wrap(err, "write settings")
		}
		c.Process = deployment.NewProcess(c.name, filepath.Join(f.options.Bin, "galena-control"), f.options.Dir, "--settings", path)
	}
	return platformAddr, nil
}

func (c *Control) openRelays() (err error) {
	if c.log, err = NewRelay(c.peer); err != nil {
		return err
	}
	if c.waits, err = NewRelay(c.peer); err != nil {
		return err
	}
	c.operators, err = NewRelay(c.operator)
	return err
}

// portSource hands out free loopback ports and holds them until close, so that
// no port is handed out twice.
type portSource struct {
	held []net.Listener
	err  error
}

func (s *portSource) next() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.err = err
		return ""
	}
	s.held = append(s.held, ln)
	return ln.Addr().String()
}

func (s *portSource) close() error {
	for _, ln := range s.held {
		_ = ln.Close()
	}
	return s.err
}

func (f *Fleet) dataDir(c *Control) string { return filepath.Join(f.options.Dir, c.name) }

func (f *Fleet) settings(c *Control, platformAddr string) string {
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
`, c.name, c.operator, c.peer, c.status, f.dataDir(c), platformAddr, f.options.RenewInterval)
	for _, o := range f.Controls {
		fmt.Fprintf(&b, "%s = dc-00 %s %s\n", o.name, o.peer, o.operator)
	}
	b.WriteString("\n[entries]\n")
	for i := range f.options.Entries {
		// Control never calls an entry, so that nothing listens there.
		fmt.Fprintf(&b, "%s = dc-%02d 127.1.%d.%d:7000\n", entryName(i), i%dataCentres, i/250, i%250+1)
	}
	return b.String()
}

func entryName(i int) galenahead.EntryName { return galenahead.EntryName(fmt.Sprintf("entry-%03d", i)) }

// writeData stores the prepared state at every replica.
func (f *Fleet) writeData() error {
	var members []galenahead.Member
	for i, c := range f.Controls {
		members = append(members, galenahead.Member{
			Name: galenahead.ReplicaName(c.name), Address: c.log.Address(), Incarnation: uint64(i + 1), Voter: true,
		})
	}
	for i, c := range f.Controls {
		if err := f.options.Seed.write(f.dataDir(c), members[i], members, f.options.Tail); err != nil {
			return eris.Wrapf(err, "prepare the data directory of %s", c.name)
		}
	}
	return nil
}

func (f *Fleet) startEntries(ctx context.Context) {
	ctx, f.cancel = context.WithCancel(ctx)
	var control []string
	for _, c := range f.Controls {
		control = append(control, c.waits.Address())
	}
	for i := range f.options.Entries {
		e := &standIn{name: entryName(i), control: control}
		if i < f.options.Brokers {
			e.service = serviceName(i)
		}
		f.entries = append(f.entries, e)
		go e.run(ctx)
	}
}

// Leader returns the daemon that led when the fleet was started.
func (f *Fleet) Leader() *Control { return f.leader }

// Follower returns a daemon that did not lead then.
func (f *Fleet) Follower() *Control {
	for _, c := range f.Controls {
		if c != f.leader {
			return c
		}
	}
	return f.leader
}

const (
	// pollPeriod is the time between two looks at a daemon's state.
	pollPeriod = 50 * time.Millisecond
	// startLimit bounds the wait for a leader and for the entries.
	startLimit = 30 * time.Second
)

// AwaitLeader waits until a daemon answers reads as the leader.
func (f *Fleet) AwaitLeader(ctx context.Context) (*Control, error) {
	for ctx.Err() == nil {
		for _, c := range f.Controls {
			if f.leads(ctx, c) {
				return c, nil
			}
		}
		pause(ctx, pollPeriod)
	}
	return nil, eris.Wrap(ctx.Err(), "no control daemon leads")
}

func (f *Fleet) leads(ctx context.Context, c *Control) bool {
	conn, err := client.Dial(c.operator)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_, err = galenapb.NewControlClient(conn).Get(ctx, &galenapb.GetRequest{Kind: "pools"})
	return err == nil
}

// Answers tells whether the daemon answers a status call.
func (c *Control) Answers(ctx context.Context) bool {
	conn, err := client.Dial(c.operator)
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
		if _, ok := f.InForce(f.options.Seed.Machine.View().Revision()); ok {
			return nil
		}
		pause(ctx, pollPeriod)
	}
	return eris.Wrap(ctx.Err(), "the stand-in entries did not get the configuration")
}

// InForce returns when the last of the entries held the revision.
func (f *Fleet) InForce(rev galenahead.Revision) (time.Time, bool) {
	var last time.Time
	for _, e := range f.entries {
		at, ok := e.reached(rev)
		if !ok {
			return last, false
		}
		if at.After(last) {
			last = at
		}
	}
	return last, true
}

// Renewals is the number of calls for tasks that the platform got.
func (f *Fleet) Renewals() int64 { return f.platform.calls.Load() }

// Started returns when the platform was first asked to start a job's task.
func (f *Fleet) Started(job string) (time.Time, bool) {
	f.platform.mu.Lock()
	defer f.platform.mu.Unlock()
	at, ok := f.platform.started[job]
	return at, ok
}

// UrgentJob returns a new urgent job for a fleet with the pools and teams of a
// prepared state.
func UrgentJob(i int) *galenapb.Job {
	return &galenapb.Job{
		Id: fmt.Sprintf("urgent-%03d", i), Team: string(teamName(0)), Pool: string(poolName(1)), Cores: 1, MemoryMb: 1024, Urgent: true,
	}
}

// Traffic holds the bytes of the leader's links so far, in both directions.
type Traffic struct{ Log, Entries, Operators int64 }

// Traffic returns the bytes of all links. With one leader, the log's traffic is
// the sum of its links to the followers.
func (f *Fleet) Traffic() Traffic {
	var t Traffic
	for _, c := range f.Controls {
		t.Log += c.log.Bytes()
		t.Entries += c.waits.Bytes()
		t.Operators += c.operators.Bytes()
	}
	return t
}

// Operator returns a client of the leader that is called through its relay.
func (f *Fleet) Operator() *client.Client {
	return client.New([]string{f.leader.operators.Address()}, client.Dial)
}

// Stop stops everything that Start started and returns the first failure.
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
		for _, r := range []*Relay{c.log, c.waits, c.operators} {
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
