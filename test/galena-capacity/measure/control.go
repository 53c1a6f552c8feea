// Package measure measures the resource usage and latencies of the daemons and
// computes how they grow with the size of a deployment.
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
	// controlCount is the number of control daemons of a deployment.
	controlCount = 3
	// changePeriod is the interval of changes at an even rate of 17,000 per day.
	changePeriod = 24 * time.Hour / 17_000
	// warmUpTime is the time between the start and the first measurement, so that
	// connection setup, elections and the first full configurations are not measured.
	warmUpTime = 2 * time.Second
	// inForceTimeout limits the wait for a change to be in force. It is longer than the
	// target of 4 s, so that a change that misses the target is still measured.
	inForceTimeout = 15 * time.Second
)

// Spec describes a measurement of control daemons.
type Spec struct {
	Entries int
	Size    fleet.Size
	// RenewInterval is the interval of task lease renewals.
	RenewInterval time.Duration
	// Idle and Paced are the durations of the windows without changes and with 17,000
	// changes per day; 0 skips the window.
	Idle, Paced time.Duration
	// Burst is the number of changes to submit one after the other without a pause.
	Burst int
	// UrgentJobs is the number of urgent jobs to submit, each after the previous one has
	// started.
	UrgentJobs int
}

// DaemonUsage is the resource usage of one daemon in a window.
type DaemonUsage struct {
	// CPU is the processor time as a share of one core.
	CPU float64
	// RSS, AnonRSS and PeakRSS are the memory in bytes at the end of the window; see
	// fleet.Usage.
	RSS, AnonRSS, PeakRSS float64
	// IO is the number of bytes per second read and written by system calls, including
	// those on files.
	IO float64
}

// Window is the resource usage of the control daemons in a time window.
type Window struct {
	Leader, Follower DaemonUsage
	// Log, Entries and Operators are the bytes per second that the leader exchanges with
	// all followers, all entries and operators, in both directions together.
	Log, Entries, Operators float64
	// TaskCallRate is the number of calls per second to the worker platform.
	TaskCallRate float64
}

// LeaderTraffic returns the bytes per second that the leader sends and receives.
func (w Window) LeaderTraffic() float64 { return w.Log + w.Entries + w.Operators }

// Burst is the result of submitting a burst of changes.
type Burst struct {
	Changes int
	// TotalTime is the time from the first submission until all changes are in force.
	TotalTime time.Duration
	// AcceptedToInForce and SubmittedToInForce are the longest times from the acceptance
	// and from the submission of a change until every entry has it.
	AcceptedToInForce, SubmittedToInForce time.Duration
	// LeaderCPU and FollowerCPU are the processor times per change.
	LeaderCPU, FollowerCPU time.Duration
	// LogBytes, EntryBytes and OperatorBytes are the leader's bytes per change with
	// followers, entries and operators.
	LogBytes, EntryBytes, OperatorBytes float64
	LeaderPeakRSS                       float64
}

// ControlResult is the result of the measurement that Spec describes.
type ControlResult struct {
	Spec  Spec
	Idle  Window
	Paced Window
	// PacedInForce is the longest time from the submission of a change until it is in
	// force during the window with 17,000 changes per day. It includes the time until
	// the acceptance, as the rollout time that the daemon reports does.
	PacedInForce time.Duration
	Burst        Burst
	// UrgentStart is the longest time from the submission of an urgent job until the
	// platform receives the request to start its task.
	UrgentStart time.Duration
}

// Runner runs measurements with the programs in the directory Bin. It writes files
// below the directory Dir.
type Runner struct{ Bin, Dir string }

// MeasureControl measures control daemons as spec describes.
func (r *Runner) MeasureControl(ctx context.Context, spec Spec) (out ControlResult, err error) {
	seed, err := fleet.NewSeed(spec.Size)
	if err != nil {
		return out, err
	}
	f, err := r.startFleet(ctx, fleet.Options{
		Controls: controlCount, Entries: spec.Entries, Brokers: spec.Size.Services, Seed: seed, RenewInterval: spec.RenewInterval,
	})
	if err != nil {
		return out, err
	}
	defer func() { err = firstError(err, f.Stop()) }()
	m := &controlMeasurement{fleet: f, client: f.Operator(), result: ControlResult{Spec: spec}, revision: uint64(seed.Machine.View().Revision())}
	defer m.client.Close()
	err = m.run(ctx)
	return m.result, err
}

func (r *Runner) startFleet(ctx context.Context, o fleet.Options) (*fleet.Fleet, error) {
	dir, err := os.MkdirTemp(r.Dir, "fleet-")
	if err != nil {
		return nil, eris.Wrap(err, "create temporary directory")
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

// controlMeasurement is a running measurement of control daemons.
type controlMeasurement struct {
	fleet  *fleet.Fleet
	client *client.Client
	result ControlResult
	// revision is the revision of the newest accepted change.
	revision uint64
}

func (m *controlMeasurement) run(ctx context.Context) (err error) {
	if err := sleep(ctx, warmUpTime); err != nil {
		return err
	}
	spec := m.result.Spec
	if spec.Idle > 0 {
		m.result.Idle, err = m.measureWindow(func() error { return sleep(ctx, spec.Idle) })
		if err != nil {
			return err
		}
	}
	if spec.Paced > 0 {
		m.result.Paced, err = m.measureWindow(func() error { return m.sendPacedChanges(ctx, spec.Paced) })
		if err != nil {
			return err
		}
	}
	if spec.Burst > 0 {
		if err := m.sendBurst(ctx, spec.Burst); err != nil {
			return err
		}
	}
	if err := m.submitUrgentJobs(ctx, spec.UrgentJobs); err != nil {
		return err
	}
	return m.checkLeader(ctx)
}

// checkLeader returns an error if the leader has changed, which makes the results
// invalid.
func (m *controlMeasurement) checkLeader(ctx context.Context) error {
	leader, err := m.fleet.AwaitLeader(ctx)
	if err == nil && leader != m.fleet.Leader() {
		return eris.New("leader changed during the measurement; repeat it on a less busy machine")
	}
	return err
}

type usageReading struct {
	leader, follower fleet.Usage
	traffic          fleet.Traffic
	taskCalls        int64
}

func (m *controlMeasurement) readUsage() (reading usageReading, err error) {
	if reading.leader, err = fleet.ReadUsage(m.fleet.Leader().PID()); err != nil {
		return reading, err
	}
	if reading.follower, err = fleet.ReadUsage(m.fleet.Follower().PID()); err != nil {
		return reading, err
	}
	reading.traffic, reading.taskCalls = m.fleet.Traffic(), m.fleet.TaskCalls()
	return reading, nil
}

// measureWindow measures the resource usage while action runs.
func (m *controlMeasurement) measureWindow(action func() error) (Window, error) {
	before, err := m.readUsage()
	if err != nil {
		return Window{}, err
	}
	if err := action(); err != nil {
		return Window{}, err
	}
	after, err := m.readUsage()
	if err != nil {
		return Window{}, err
	}
	s := after.leader.At.Sub(before.leader.At).Seconds()
	return Window{
		Leader:       usageBetween(before.leader, after.leader),
		Follower:     usageBetween(before.follower, after.follower),
		Log:          float64(after.traffic.Log-before.traffic.Log) / s,
		Entries:      float64(after.traffic.Entries-before.traffic.Entries) / s,
		Operators:    float64(after.traffic.Operators-before.traffic.Operators) / s,
		TaskCallRate: float64(after.taskCalls-before.taskCalls) / s,
	}, nil
}

func usageBetween(before, after fleet.Usage) DaemonUsage {
	s := after.At.Sub(before.At).Seconds()
	return DaemonUsage{
		CPU: (after.CPU - before.CPU).Seconds() / s, IO: float64(after.IO-before.IO) / s,
		RSS: float64(after.RSS), AnonRSS: float64(after.AnonRSS), PeakRSS: float64(after.PeakRSS),
	}
}

// sendPacedChanges submits changes at changePeriod and waits until each is in force.
func (m *controlMeasurement) sendPacedChanges(ctx context.Context, window time.Duration) error {
	end := time.Now().Add(window)
	for next := time.Now(); next.Before(end); next = next.Add(changePeriod) {
		if err := sleep(ctx, time.Until(next)); err != nil {
			return err
		}
		c, err := m.sendChange(ctx)
		if err != nil {
			return err
		}
		at, err := m.awaitInForce(ctx, c.revision)
		if err != nil {
			return err
		}
		m.result.PacedInForce = max(m.result.PacedInForce, at.Sub(c.submitted))
	}
	return sleep(ctx, time.Until(end))
}

// acceptedChange is a change with the times of its submission and acceptance.
type acceptedChange struct {
	revision            galenahead.Revision
	submitted, accepted time.Time
}

// sendChange submits the change of a setting and waits for its acceptance.
func (m *controlMeasurement) sendChange(ctx context.Context) (acceptedChange, error) {
	return m.applyChange(ctx, &galenapb.ApplyRequest{Change: &galenapb.ApplyRequest_SettingSet{SettingSet: &galenapb.Setting{
		Key: fmt.Sprint("key-", m.revision%50), Value: fmt.Sprint("value-", m.revision),
	}}})
}

func (m *controlMeasurement) applyChange(ctx context.Context, req *galenapb.ApplyRequest) (acceptedChange, error) {
	c := acceptedChange{submitted: time.Now()}
	req.RequestId, req.BaseRevision, req.Operator = fmt.Sprintf("018f3a2b-7c4d-7e8f-9b0b-%012d", m.revision), m.revision, "operator"
	r, err := m.client.Apply(ctx, req)
	if err != nil {
		return c, eris.Wrap(err, "apply change")
	}
	m.revision = r.GetRevision()
	c.revision, c.accepted = galenahead.Revision(m.revision), time.Now()
	return c, nil
}

// submitUrgentJobs submits n urgent jobs, each after the previous one has started.
func (m *controlMeasurement) submitUrgentJobs(ctx context.Context, n int) error {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	for i := range n {
		job := fleet.UrgentJob(i)
		c, err := m.applyChange(ctx, &galenapb.ApplyRequest{Change: &galenapb.ApplyRequest_JobSubmit{JobSubmit: job}})
		if err != nil {
			return err
		}
		at, ok := m.fleet.JobStartedAt(job.GetId())
		for ; !ok; at, ok = m.fleet.JobStartedAt(job.GetId()) {
			if err := sleep(ctx, time.Millisecond); err != nil {
				return eris.Wrap(err, "urgent job was not started")
			}
		}
		m.result.UrgentStart = max(m.result.UrgentStart, at.Sub(c.submitted))
	}
	return nil
}

// awaitInForce waits until every entry has received the revision and returns the time
// at which the last one did.
func (m *controlMeasurement) awaitInForce(ctx context.Context, rev galenahead.Revision) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	for {
		if at, ok := m.fleet.InForceSince(rev); ok {
			return at, nil
		}
		if err := sleep(ctx, time.Millisecond); err != nil {
			return time.Time{}, eris.Wrapf(err, "revision %d is not in force after %v", rev, inForceTimeout)
		}
	}
}

func (m *controlMeasurement) sendBurst(ctx context.Context, n int) error {
	var changes []acceptedChange
	before, err := m.readUsage()
	if err != nil {
		return err
	}
	for range n {
		c, err := m.sendChange(ctx)
		if err != nil {
			return err
		}
		changes = append(changes, c)
	}
	last, err := m.awaitInForce(ctx, changes[n-1].revision)
	if err != nil {
		return err
	}
	after, err := m.readUsage()
	if err != nil {
		return err
	}
	burst := Burst{
		Changes: n, TotalTime: last.Sub(changes[0].submitted), LeaderPeakRSS: float64(after.leader.PeakRSS),
		LeaderCPU:     (after.leader.CPU - before.leader.CPU) / time.Duration(n),
		FollowerCPU:   (after.follower.CPU - before.follower.CPU) / time.Duration(n),
		LogBytes:      float64(after.traffic.Log-before.traffic.Log) / float64(n),
		EntryBytes:    float64(after.traffic.Entries-before.traffic.Entries) / float64(n),
		OperatorBytes: float64(after.traffic.Operators-before.traffic.Operators) / float64(n),
	}
	for _, c := range changes {
		at, _ := m.fleet.InForceSince(c.revision)
		burst.AcceptedToInForce = max(burst.AcceptedToInForce, at.Sub(c.accepted))
		burst.SubmittedToInForce = max(burst.SubmittedToInForce, at.Sub(c.submitted))
	}
	m.result.Burst = burst
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
