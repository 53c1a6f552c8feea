// Package measure takes the figures of the daemons and works out their slopes.
package measure

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/cmd/galenactl/client"
	"github.com/galenahead/galenahead/galenapb"
	"github.com/galenahead/galenahead/test/galena-capacity/fleet"
)

const (
	// controls is the number of control daemons of a deployment.
	controls = 3
	// changePeriod spaces 17,000 changes evenly over a day.
	changePeriod = 24 * time.Hour / 17_000
	// settleTime is left after the start, so that connections, elections and the
	// first full configurations do not count.
	settleTime = 2 * time.Second
	// inForceLimit bounds the wait for a change to be in force. It is above the
	// bound of 4 s, so that a late change is measured and not lost.
	inForceLimit = 15 * time.Second
)

// Spec is one measurement of control daemons.
type Spec struct {
	Entries int
	Size    fleet.Size
	// Renew is the interval of task lease renewals.
	Renew time.Duration
	// Idle and Paced are the lengths of the windows without changes and with
	// changes at 17,000 a day; 0 leaves one out.
	Idle, Paced time.Duration
	// Burst is the number of changes sent one after the other.
	Burst int
	// Urgent is the number of urgent jobs submitted one after the other.
	Urgent int
}

// Daemon is what one daemon uses in a window.
type Daemon struct {
	// CPU is the share of one core.
	CPU float64
	// RSS, Anon and Peak are bytes at the end of the window.
	RSS, Anon, Peak float64
	// IO is bytes per second of all system calls, files included.
	IO float64
}

// Window is what control uses in a window.
type Window struct {
	Leader, Follower Daemon
	// Log, Entries and Operators are the leader's bytes per second with all
	// followers, all entries and operators, both directions.
	Log, Entries, Operators float64
	// Renewals is the number of task calls per second.
	Renewals float64
}

// Bytes is what the leader sends and receives per second.
func (w Window) Bytes() float64 { return w.Log + w.Entries + w.Operators }

// Burst is the outcome of a burst of changes.
type Burst struct {
	Changes int
	// Took is the time from the first submission until all are in force.
	Took time.Duration
	// InForce is the longest time from the acceptance of a change until every
	// entry holds it, and Submitted the one from its submission.
	InForce, Submitted time.Duration
	// LeaderCPU and FollowerCPU are processor time per change.
	LeaderCPU, FollowerCPU time.Duration
	// LogBytes, EntryBytes and OperatorBytes are bytes per change.
	LogBytes, EntryBytes, OperatorBytes float64
	LeaderPeak                          float64
}

// Control is the outcome of one Spec.
type Control struct {
	Spec  Spec
	Idle  Window
	Paced Window
	// PacedInForce is the longest time from the submission of a change until it
	// is in force, in the window of paced changes. It includes the time to the
	// acceptance, like the roll-out time that the daemon reports.
	PacedInForce time.Duration
	Burst        Burst
	// UrgentStart is the longest time from the submission of an urgent job until
	// the platform is asked to start its task.
	UrgentStart time.Duration
}

// Runner takes measurements with the programs in Bin below Dir.
type Runner struct{ Bin, Dir string }

// Control measures control daemons.
func (r *Runner) Control(ctx context.Context, spec Spec) (out Control, err error) {
	seed, err := fleet.NewSeed(spec.Size)
	if err != nil {
		return out, err
	}
	f, err := r.start(ctx, fleet.Options{
		Controls: controls, Entries: spec.Entries, Brokers: spec.Size.Services, Seed: seed, RenewInterval: spec.Renew,
	})
	if err != nil {
		return out, err
	}
	defer func() { err = firstError(err, f.Stop()) }()
	m := &controlRun{f: f, client: f.Operator(), out: Control{Spec: spec}, seq: uint64(seed.Machine.View().Revision())}
	defer m.client.Close()
	err = m.run(ctx)
	return m.out, err
}

func (r *Runner) start(ctx context.Context, o fleet.Options) (*fleet.Fleet, error) {
	dir, err := os.MkdirTemp(r.Dir, "fleet-")
	if err != nil {
		return nil, eris.Wrap(err, "make a directory")
	}
	o.Dir, o.Bin = dir, r.Bin
	return fleet.Start(ctx, o)
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// controlRun is one measurement under way.
type controlRun struct {
	f      *fleet.Fleet
	client *client.Client
	out    Control
	// seq is the revision of the newest change.
	seq uint64
}

func (m *controlRun) run(ctx context.Context) (err error) {
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	spec := m.out.Spec
	if spec.Idle > 0 {
		m.out.Idle, err = m.window(func() error { return sleep(ctx, spec.Idle) })
		if err != nil {
			return err
		}
	}
	if spec.Paced > 0 {
		m.out.Paced, err = m.window(func() error { return m.paced(ctx, spec.Paced) })
		if err != nil {
			return err
		}
	}
	if spec.Burst > 0 {
		if err := m.burst(ctx, spec.Burst); err != nil {
			return err
		}
	}
	if err := m.urgent(ctx, spec.Urgent); err != nil {
		return err
	}
	return m.checkLeader(ctx)
}

// checkLeader fails when the leader changed, which makes the figures useless.
func (m *controlRun) checkLeader(ctx context.Context) error {
	leader, err := m.f.AwaitLeader(ctx)
	if err == nil && leader != m.f.Leader() {
		return eris.New("the leader changed during the measurement; run it again on a less busy machine")
	}
	return err
}

type reading struct {
	leader, follower fleet.Usage
	traffic          fleet.Traffic
	renewals         int64
}

func (m *controlRun) read() (r reading, err error) {
	if r.leader, err = fleet.ReadUsage(m.f.Leader().PID()); err != nil {
		return r, err
	}
	if r.follower, err = fleet.ReadUsage(m.f.Follower().PID()); err != nil {
		return r, err
	}
	r.traffic, r.renewals = m.f.Traffic(), m.f.Renewals()
	return r, nil
}

// window measures while f runs.
func (m *controlRun) window(f func() error) (Window, error) {
	before, err := m.read()
	if err != nil {
		return Window{}, err
	}
	if err := f(); err != nil {
		return Window{}, err
	}
	after, err := m.read()
	if err != nil {
		return Window{}, err
	}
	s := after.leader.At.Sub(before.leader.At).Seconds()
	return Window{
		Leader:    used(before.leader, after.leader),
		Follower:  used(before.follower, after.follower),
		Log:       float64(after.traffic.Log-before.traffic.Log) / s,
		Entries:   float64(after.traffic.Entries-before.traffic.Entries) / s,
		Operators: float64(after.traffic.Operators-before.traffic.Operators) / s,
		Renewals:  float64(after.renewals-before.renewals) / s,
	}, nil
}

func used(before, after fleet.Usage) Daemon {
	s := after.At.Sub(before.At).Seconds()
	return Daemon{
		CPU: (after.CPU - before.CPU).Seconds() / s, IO: float64(after.IO-before.IO) / s,
		RSS: float64(after.RSS), Anon: float64(after.Anon), Peak: float64(after.Peak),
	}
}

// paced sends changes at 17,000 a day.
func (m *controlRun) paced(ctx context.Context, window time.Duration) error {
	end := time.Now().Add(window)
	for next := time.Now(); next.Before(end); next = next.Add(changePeriod) {
		if err := sleep(ctx, time.Until(next)); err != nil {
			return err
		}
		c, err := m.change(ctx)
		if err != nil {
			return err
		}
		at, err := m.inForce(ctx, c.revision)
		if err != nil {
			return err
		}
		m.out.PacedInForce = max(m.out.PacedInForce, at.Sub(c.submitted))
	}
	return sleep(ctx, time.Until(end))
}

// change is one accepted change.
type change struct {
	revision            galenahead.Revision
	submitted, accepted time.Time
}

// change sets a setting and waits for the acceptance.
func (m *controlRun) change(ctx context.Context) (change, error) {
	return m.apply(ctx, &galenapb.ApplyRequest{Change: &galenapb.ApplyRequest_SettingSet{SettingSet: &galenapb.Setting{
		Key: fmt.Sprint("key-", m.seq%50), Value: fmt.Sprint("value-", m.seq),
	}}})
}

func (m *controlRun) apply(ctx context.Context, req *galenapb.ApplyRequest) (change, error) {
	c := change{submitted: time.Now()}
	req.RequestId, req.BaseRevision, req.Operator = fmt.Sprintf("018f3a2b-7c4d-7e8f-9b0b-%012d", m.seq), m.seq, "operator"
	r, err := m.client.Apply(ctx, req)
	if err != nil {
		return c, eris.Wrap(err, "apply a change")
	}
	m.seq = r.GetRevision()
	c.revision, c.accepted = galenahead.Revision(m.seq), time.Now()
	return c, nil
}

// urgent submits urgent jobs and waits until each is started.
func (m *controlRun) urgent(ctx context.Context, n int) error {
	ctx, cancel := context.WithTimeout(ctx, inForceLimit)
	defer cancel()
	for i := range n {
		job := fleet.UrgentJob(i)
		c, err := m.apply(ctx, &galenapb.ApplyRequest{Change: &galenapb.ApplyRequest_JobSubmit{JobSubmit: job}})
		if err != nil {
			return err
		}
		at, ok := m.f.Started(job.GetId())
		for ; !ok; at, ok = m.f.Started(job.GetId()) {
			if err := sleep(ctx, time.Millisecond); err != nil {
				return eris.Wrap(err, "an urgent job was not started")
			}
		}
		m.out.UrgentStart = max(m.out.UrgentStart, at.Sub(c.submitted))
	}
	return nil
}

// inForce waits until every entry holds the revision and returns since when.
func (m *controlRun) inForce(ctx context.Context, rev galenahead.Revision) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, inForceLimit)
	defer cancel()
	for {
		if at, ok := m.f.InForce(rev); ok {
			return at, nil
		}
		if err := sleep(ctx, time.Millisecond); err != nil {
			return time.Time{}, eris.Wrapf(err, "revision %d is not in force after %v", rev, inForceLimit)
		}
	}
}

func (m *controlRun) burst(ctx context.Context, n int) error {
	var list []change
	before, err := m.read()
	if err != nil {
		return err
	}
	for range n {
		c, err := m.change(ctx)
		if err != nil {
			return err
		}
		list = append(list, c)
	}
	last, err := m.inForce(ctx, list[n-1].revision)
	if err != nil {
		return err
	}
	after, err := m.read()
	if err != nil {
		return err
	}
	b := Burst{
		Changes: n, Took: last.Sub(list[0].submitted), LeaderPeak: float64(after.leader.Peak),
		LeaderCPU:     (after.leader.CPU - before.leader.CPU) / time.Duration(n),
		FollowerCPU:   (after.follower.CPU - before.follower.CPU) / time.Duration(n),
		LogBytes:      float64(after.traffic.Log-before.traffic.Log) / float64(n),
		EntryBytes:    float64(after.traffic.Entries-before.traffic.Entries) / float64(n),
		OperatorBytes: float64(after.traffic.Operators-before.traffic.Operators) / float64(n),
	}
	for _, c := range list {
		at, _ := m.f.InForce(c.revision)
		b.InForce = max(b.InForce, at.Sub(c.accepted))
		b.Submitted = max(b.Submitted, at.Sub(c.submitted))
	}
	m.out.Burst = b
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(max(d, 0)):
		return nil
	}
}
