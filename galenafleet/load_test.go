package galenafleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenagate"
	"github.com/galenahead/galenahead/galenajob"
	"github.com/galenahead/galenahead/galenalog"
	"github.com/galenahead/galenahead/galenametric"
)

// logLines returns the JSON log lines with the given message.
func logLines(t *testing.T, log, message string) []map[string]any {
	t.Helper()
	var out []map[string]any
	for line := range strings.Lines(log) {
		var f map[string]any
		if err := json.Unmarshal([]byte(line), &f); err != nil {
			t.Fatal(err)
		}
		if f["message"] == message {
			out = append(out, f)
		}
	}
	return out
}

// sum returns the sum of a field of log lines.
func sum(lines []map[string]any, field string) float64 {
	total := 0.0
	for _, f := range lines {
		total += f[field].(float64)
	}
	return total
}

// Guards against a field of the load line that is missing, renamed, in another unit
// or has the value of another one.
func TestLoadLineGolden(t *testing.T) {
	is := is.New(t)
	totals := func(n int64) durationTotals {
		return durationTotals{n, time.Duration(n) * 10 * time.Millisecond, time.Duration(n) * time.Millisecond}
	}
	l := &loadLine{
		epoch: 7, interval: 1001 * time.Millisecond, processor: 450 * time.Millisecond, goroutines: 900, commitQueue: 3,
		sizes: galenajob.Sizes{Waiting: 120, Active: 80, Instances: 350, Runs: 700, OverBudget: 22},
		plans: totals(1), lockWaits: totals(2), polls: totals(3), commands: totals(4), requests: totals(5), commits: totals(6), controlSteps: totals(8),
		tickLate: totals(9), pollsFailed: 10, starts: 11, stops: 12, repeats: 13, inFlight: 14, heartbeats: 15, ops: 16, exhausted: 19, lapsed: 23, repeated: 24, shed: 26, expired: 30, room: 31, gateWaits: [galenagate.Classes]time.Duration{27 * time.Millisecond, 28 * time.Millisecond, 29 * time.Millisecond}, runnableWait: 25 * time.Millisecond, commandLimit: 20 * time.Millisecond, pollLimit: 21 * time.Millisecond, logGap: 17 * time.Millisecond, logSync: 18 * time.Millisecond,
	}
	is.Equal(string(l.AppendFields(nil)), `,"epoch":7,"interval_ms":1001,"processor_ms":450,"tick_late_max_us":9000,"runnable_wait_max_us":25000,"goroutines":900`+
		`,"jobs_waiting":120,"jobs_active":80,"instances":350,"runs":700,"steps_over_budget":22,"lapsed":23`+
		`,"plans":1,"plan_us":10000,"plan_max_us":1000,"lock_waits":2,"lock_wait_us":20000,"lock_wait_max_us":2000`+
		`,"polls":3,"poll_us":30000,"poll_max_us":3000,"polls_failed":10,"starts":11,"stops":12,"repeats":13,"in_flight":14`+
		`,"commands":4,"command_us":40000,"command_max_us":4000,"command_limit_ms":20,"poll_limit_ms":21,"exhausted":19,"requests":5,"request_us":50000,"request_max_us":5000,"requests_repeated":24,"requests_shed":26,"requests_expired":30,"gate_wait_renewal_max_us":27000,"gate_wait_progress_max_us":28000,"gate_wait_demand_max_us":29000,"heartbeats":15`+
		`,"commits":6,"commit_us":60000,"commit_max_us":6000,"commit_ops":16,"commit_queue":3,"room_bytes":31,"log_gap_max_us":17000,"log_sync_max_us":18000`+
		`,"control_steps":8,"control_step_us":80000,"control_step_max_us":8000`)
}

// Guards against work of the owner that is not counted or counted twice, against more
// than one load line a second, and against a session that ends without its last one.
func TestOwnerLogsLoadEachSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, l := testOwner()
		var log bytes.Buffer
		o.Logger = galenalog.New(&log, logrus.InfoLevel)
		l.delay.Store(int64(30 * time.Millisecond))
		ctx, stop := startOwner(t, o, testConfig)
		_, err := o.Heartbeat(ctx, testHeartbeat)
		is.NoErr(err)
		_, err = o.Do(ctx, Request{Kind: RequestSubmit, Host: "h", Path: "/q/j1", Spec: &galenajob.Spec{Steps: []galenajob.Step{{Count: 2}, {Count: 1, After: []int{0}}}}})
		is.NoErr(err)
		time.Sleep(4500 * time.Millisecond)
		stop()

		lines := logLines(t, log.String(), "owner load")
		is.Equal(len(lines), 5) // one each second and the rest of the session
		is.Equal(lines[0]["epoch"], 1.0)
		is.Equal(lines[0]["interval_ms"], 1000.0)
		is.True(lines[4]["interval_ms"].(float64) < 1000)
		is.Equal(lines[0]["instances"], 1.0)
		is.Equal(lines[0]["jobs_active"], 1.0)
		is.Equal(lines[3]["jobs_active"], 0.0)
		is.Equal(sum(lines, "starts"), 3.0)
		is.Equal(sum(lines, "commands"), 3.0)
		is.Equal(sum(lines, "repeats"), 0.0)
		is.Equal(sum(lines, "requests"), 1.0)
		is.Equal(sum(lines, "request_us"), 30000.0)
		is.Equal(sum(lines, "heartbeats"), 1.0)
		is.Equal(sum(lines, "commit_ops"), 7.0) // owner, configuration, instance, job and three ends
		is.True(sum(lines, "plans") >= 40)
		is.True(sum(lines, "polls") > 0)
		is.True(sum(lines, "control_steps") >= 40)
		is.Equal(lines[0]["commit_max_us"], 30000.0)
		is.Equal(lines[3]["command_limit_ms"], float64(responseSlack.Milliseconds())) // the instance answers at once
		is.Equal(lines[3]["poll_limit_ms"], float64(responseSlack.Milliseconds()))
		is.Equal(o.Metrics.Snapshot().OwnerMax["command_limit"].Count, int64(5))
		is.Equal(o.Metrics.Snapshot().OwnerMax["poll_limit"].Count, int64(5))
		counters := o.Metrics.Snapshot().Counters
		is.Equal(float64(counters["owner_plans"]), sum(lines, "plans"))
		is.Equal(counters["owner_requests_us"], int64(30000))
		is.Equal(o.Metrics.Snapshot().OwnerMax["commit"].Count, int64(5))
	})
}

// Guards against a scheduling delay that is not noticed, counts the interval of the
// tick, or is forgotten when a load line is logged.
func TestTickLateness(t *testing.T) {
	is := is.New(t)
	sess := &ownerSession{Owner: &Owner{Log: &fakeLog{}}, committer: newCommitter(nil, 0, nil, nil), commandLimit: newCallLimit(0), pollLimit: newCallLimit(0)}
	sess.load.recordTick(leadershipCheckInterval)
	sess.load.recordTick(leadershipCheckInterval - time.Millisecond)
	is.Equal(sess.load.recentTickLate(), time.Duration(0))
	sess.load.recordTick(leadershipCheckInterval + 300*time.Millisecond)
	is.Equal(sess.load.recentTickLate(), 300*time.Millisecond)
	is.Equal(sess.takeLoad().tickLate.longest, 300*time.Millisecond)
	is.Equal(sess.load.recentTickLate(), 300*time.Millisecond)
	is.Equal(sess.takeLoad().tickLate.longest, time.Duration(0))
	is.Equal(sess.load.recentTickLate(), time.Duration(0))
}

// Guards against a repeated command that counts as a first one.
func TestRepeatedCommandsAreCounted(t *testing.T) {
	is := is.New(t)
	var l ownerLoad
	s := galenajob.NewScheduler("counter", 1, galenajob.Params{Lease: time.Second, UnresponsiveAfter: time.Second, ResendInterval: time.Millisecond, GoneAfter: time.Minute}, &galenajob.Fences{})
	t0 := time.Unix(1000, 0)
	in := testHeartbeat.Instance
	s.AddInstance(t0, in)
	req, _ := s.NextPoll(t0, in.ID)
	s.HandlePoll(t0, in.ID, galenajob.PollResponse{Clock: 1000, Born: 1, Sent: t0, Fence: req.Fence})
	s.AddJob(t0, &galenajob.Job{ID: "j", Spec: galenajob.Spec{Steps: []galenajob.Step{{Count: 1}}}, MaxAttempts: 1, Items: map[galenajob.ItemKey]galenajob.ItemRecord{}}, 0, false)
	for i := range 2 {
		now := t0.Add(time.Duration(i) * 10 * time.Millisecond)
		for _, a := range s.Plan(now, now) {
			l.countCommand(a)
			s.HandleOutcome(now, a, galenajob.OutcomeUnknown, 0, now)
		}
	}
	is.Equal(l.starts.Load(), int64(2))
	is.Equal(l.repeats.Load(), int64(1))
}

// Guards against a lost lease whose log line does not say what the lease depends on.
func TestLostLeaseLogsDiagnostics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, l := testOwner()
		var log bytes.Buffer
		o.Logger = galenalog.New(&log, logrus.InfoLevel)
		_, stop := startOwner(t, o, testConfig)
		l.holdsLease.Store(false)
		time.Sleep(time.Second)
		stop()
		lines := logLines(t, log.String(), "replicated log at the end of the owner session")
		is.Equal(len(lines), 1)
		is.Equal(lines[0]["replica"], "a") // a field of Diagnostics
		is.Equal(lines[0]["epoch"], 1.0)
		is.Equal(lines[0]["error"], errTermEnded.Error())
		is.Equal(lines[0]["tick_late_max_us"], 0.0)
		is.Equal(lines[0]["commit_queue"], 0.0)
	})
}

// Guards against a process without free connections whose failed polls and
// commands look like silent instances.
func TestExhaustedCallsAreCounted(t *testing.T) {
	is := is.New(t)
	var l ownerLoad
	l.countError(eris.Wrap(ErrExhausted, "POST /hold"))
	l.countError(eris.New("timeout"))
	l.countError(nil)
	is.Equal(l.exhausted.Load(), int64(1))
}

// silentInstances fails every poll and command after a second.
type silentInstances struct{ InstanceClient }

func (silentInstances) RenewAndPoll(ctx context.Context, _ galenajob.PollRequest, _, _ time.Duration) (galenajob.PollResponse, error) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Second):
	}
	return galenajob.PollResponse{}, eris.New("timeout")
}

// Guards against a failed poll or command whose log line can't tell a late instance
// from a late owner.
func TestFailedCallLogsWhoIsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		o.Instances = silentInstances{}
		var log bytes.Buffer
		o.Logger = galenalog.New(&log, logrus.InfoLevel)
		ctx, stop := startOwner(t, o, testConfig)
		_, err := o.Heartbeat(ctx, testHeartbeat)
		is.NoErr(err)
		o.session.Load().load.tickLate.record(123 * time.Millisecond)
		time.Sleep(1500 * time.Millisecond)
		stop()
		lines := logLines(t, log.String(), "instance does not answer polls")
		is.Equal(len(lines), 1)
		is.Equal(lines[0]["wait_ms"], 0.0)
		is.Equal(lines[0]["took_ms"], 1000.0)
		is.Equal(lines[0]["tick_late_max_us"], 123000.0)
		is.Equal(lines[0]["error"], "timeout")

		failed := string(actionLine{err: eris.New("timeout"), tickLate: 5 * time.Millisecond}.AppendFields(nil))
		is.True(strings.Contains(failed, `"error":"timeout","tick_late_max_us":5000`))
		is.True(!strings.Contains(string(actionLine{}.AppendFields(nil)), "tick_late"))
	})
}

// Guards against an unreachable owner that is logged without the failed call, or for
// each attempt.
func TestUnreachableOwnerLogsFailedCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		client := testOwnerClient(func(ctx context.Context, method string, result any) error {
			if method == MethodLeaderInfo {
				return answerLeaderInfo(result)
			}
			<-ctx.Done()
			return ctx.Err()
		})
		var log bytes.Buffer
		client.Logger = galenalog.New(&log, logrus.InfoLevel)
		client.Metrics = &galenametric.Metrics{}
		_ = doRequest(client, RequestState)
		lines := logLines(t, log.String(), "owner does not answer")
		is.Equal(len(lines), 1)
		is.Equal(lines[0]["method"], MethodDo)
		is.True(lines[0]["attempts"].(float64) >= 1)
		is.Equal(lines[0]["took_ms"], float64(attemptTimeout.Milliseconds()))
		is.True(lines[0]["elapsed_ms"].(float64) >= lines[0]["took_ms"].(float64))
		is.Equal(lines[0]["error"], context.DeadlineExceeded.Error())
	})
}

// Guards against a repeat of an attempt without an answer that looks like a new request.
func TestRepeatedRequestsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var seen []Request
		client := testOwnerClient(func(ctx context.Context, method string, result any) error {
			if method == MethodLeaderInfo {
				return answerLeaderInfo(result)
			}
			<-ctx.Done()
			return ctx.Err()
		})
		client.RPCClient = recordingClient{client.RPCClient, &seen}
		client.Logger = logrus.New()
		client.Logger.SetOutput(io.Discard)
		client.Metrics = &galenametric.Metrics{}
		_ = doRequest(client, RequestState)
		is.True(len(seen) >= 2)
		is.Equal(seen[0].Repeated, false)
		is.Equal(seen[1].Repeated, true)

		o, _ := testOwner()
		ctx, stop := startOwner(t, o, testConfig)
		for _, r := range []Request{{Kind: RequestState, Host: "h", Path: "/q/j"}, {Kind: RequestState, Host: "h", Path: "/q/j", Repeated: true}} {
			_, err := o.Do(ctx, r)
			is.NoErr(err)
		}
		is.Equal(o.session.Load().load.repeated.Load(), int64(1))
		stop()
	})
}

// recordingClient records the requests that it passes on.
type recordingClient struct {
	galenahead.RPCClient
	seen *[]Request
}

func (c recordingClient) Call(ctx context.Context, addr, method string, params, result any) error {
	if r, ok := params.(Request); ok {
		*c.seen = append(*c.seen, r)
	}
	return c.RPCClient.Call(ctx, addr, method, params, result)
}

// Guards against a process that is short of processor and does not show it.
func TestRunnableWaitShowsShortageOfProcessor(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	is := is.New(t)
	var r runnableWait
	r.takeLongest()
	var wg sync.WaitGroup
	// The runtime measures one goroutine of eight.
	for range 512 {
		wg.Go(func() {
			for start := time.Now(); time.Since(start) < 100*time.Microsecond; {
				runtime.KeepAlive(start)
			}
		})
	}
	wg.Wait()
	is.True(r.takeLongest() >= 16*time.Millisecond) // the last ones have waited for the others
}
