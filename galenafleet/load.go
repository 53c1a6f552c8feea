package galenafleet

import (
	"errors"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/galenahead/galenahead/galenagate"
	"github.com/galenahead/galenahead/galenajob"
	"github.com/galenahead/galenahead/galenalog"
	"github.com/galenahead/galenahead/galenametric"
)

// loadInterval is how often an owner logs its load.
const loadInterval = time.Second

// durationStat sums up the durations of one kind of work. Its zero value is ready to
// use, by several goroutines.
type durationStat struct{ count, total, longest atomic.Int64 }

// durationTotals is what a durationStat has summed up.
type durationTotals struct {
	count          int64
	total, longest time.Duration
}

func (d *durationStat) record(v time.Duration) {
	d.count.Add(1)
	d.total.Add(int64(v))
	for {
		longest := d.longest.Load()
		if int64(v) <= longest || d.longest.CompareAndSwap(longest, int64(v)) {
			return
		}
	}
}

// take returns the totals since the last call of take.
func (d *durationStat) take() durationTotals {
	return durationTotals{d.count.Swap(0), time.Duration(d.total.Swap(0)), time.Duration(d.longest.Swap(0))}
}

// ownerLoad counts the work of a session since the last log line. Its zero value is
// ready to use.
type ownerLoad struct {
	plans, lockWaits, polls, commands, requests, controlSteps durationStat
	pollsFailed, starts, stops, repeats, heartbeats           atomic.Int64
	// lapsed counts the runs that were found to have lapsed.
	lapsed atomic.Int64
	// gateWaits are the longest waits at the gate in each tick, by class.
	gateWaits [galenagate.Classes]durationStat
	// shed counts the requests that were rejected at the gate.
	shed atomic.Int64
	// repeated counts the requests that are a repeat of an attempt without an answer.
	repeated atomic.Int64
	// exhausted counts the polls and commands that failed with ErrExhausted.
	exhausted atomic.Int64
	// inFlight is the number of commands without an outcome.
	inFlight atomic.Int64
	// tickLate is the scheduling delay of the session's ticks, and lastTickLate the
	// longest one of the last full interval.
	tickLate     durationStat
	lastTickLate atomic.Int64
	// runnable is used by loadLoop only.
	runnable runnableWait
}

// recordTick records the delay of a tick that arrived gap after the one before it.
func (l *ownerLoad) recordTick(gap time.Duration) {
	l.tickLate.record(max(0, gap-leadershipCheckInterval))
}

// recentTickLate returns the longest delay of a tick in the current interval and the
// one before it.
func (l *ownerLoad) recentTickLate() time.Duration {
	return time.Duration(max(l.tickLate.longest.Load(), l.lastTickLate.Load()))
}

// countCommand counts a command that is sent to an instance.
func (l *ownerLoad) countCommand(a galenajob.Action) {
	switch a.Kind {
	case galenajob.ActStart:
		l.starts.Add(1)
	case galenajob.ActStop:
		l.stops.Add(1)
	}
	if a.Repeated() {
		l.repeats.Add(1)
	}
}

// countError counts the error of a poll or command if its cause is in this process.
func (l *ownerLoad) countError(err error) {
	if errors.Is(err, ErrExhausted) {
		l.exhausted.Add(1)
	}
}

// processorTime returns the processor time that this process has used, or zero if it
// is unknown.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// loadLine is the log line of the load of an owner in one interval.
type loadLine struct {
	epoch                   uint64
	interval, processor     time.Duration
	goroutines, commitQueue int
	// room is what accepted work holds, in bytes.
	room                                                               int64
	sizes                                                              galenajob.Sizes
	plans, lockWaits, polls, commands, requests, commits, controlSteps durationTotals
	tickLate                                                           durationTotals
	runnableWait                                                       time.Duration
	repeated, shed, expired                                            int64
	gateWaits                                                          [galenagate.Classes]time.Duration
	exhausted, lapsed                                                  int64
	commandLimit, pollLimit                                            time.Duration
	logGap, logSync                                                    time.Duration
	pollsFailed, starts, stops, repeats, inFlight, heartbeats, ops     int64
}

// AppendFields implements galenalog.Line.
func (l *loadLine) AppendFields(b []byte) []byte {
	b = galenalog.AppendInt(b, "epoch", int64(l.epoch))
	b = galenalog.AppendInt(b, "interval_ms", l.interval.Milliseconds())
	b = galenalog.AppendInt(b, "processor_ms", l.processor.Milliseconds())
	b = galenalog.AppendInt(b, "tick_late_max_us", l.tickLate.longest.Microseconds())
	b = galenalog.AppendInt(b, "runnable_wait_max_us", l.runnableWait.Microseconds())
	b = galenalog.AppendInt(b, "goroutines", int64(l.goroutines))
	b = galenalog.AppendInt(b, "jobs_waiting", int64(l.sizes.Waiting))
	b = galenalog.AppendInt(b, "jobs_active", int64(l.sizes.Active))
	b = galenalog.AppendInt(b, "instances", int64(l.sizes.Instances))
	b = galenalog.AppendInt(b, "runs", int64(l.sizes.Runs))
	b = galenalog.AppendInt(b, "steps_over_budget", int64(l.sizes.OverBudget))
	b = galenalog.AppendInt(b, "lapsed", l.lapsed)
	b = appendTotals(b, "plans", "plan", l.plans)
	b = appendTotals(b, "lock_waits", "lock_wait", l.lockWaits)
	b = appendTotals(b, "polls", "poll", l.polls)
	b = galenalog.AppendInt(b, "polls_failed", l.pollsFailed)
	b = galenalog.AppendInt(b, "starts", l.starts)
	b = galenalog.AppendInt(b, "stops", l.stops)
	b = galenalog.AppendInt(b, "repeats", l.repeats)
	b = galenalog.AppendInt(b, "in_flight", l.inFlight)
	b = appendTotals(b, "commands", "command", l.commands)
	b = galenalog.AppendInt(b, "command_limit_ms", l.commandLimit.Milliseconds())
	b = galenalog.AppendInt(b, "poll_limit_ms", l.pollLimit.Milliseconds())
	b = galenalog.AppendInt(b, "exhausted", l.exhausted)
	b = appendTotals(b, "requests", "request", l.requests)
	b = galenalog.AppendInt(b, "requests_repeated", l.repeated)
	b = galenalog.AppendInt(b, "requests_shed", l.shed)
	b = galenalog.AppendInt(b, "requests_expired", l.expired)
	for c, wait := range l.gateWaits {
		b = galenalog.AppendInt(b, "gate_wait_"+galenagate.Class(c).String()+"_max_us", wait.Microseconds())
	}
	b = galenalog.AppendInt(b, "heartbeats", l.heartbeats)
	b = appendTotals(b, "commits", "commit", l.commits)
	b = galenalog.AppendInt(b, "commit_ops", l.ops)
	b = galenalog.AppendInt(b, "commit_queue", int64(l.commitQueue))
	b = galenalog.AppendInt(b, "room_bytes", l.room)
	b = galenalog.AppendInt(b, "log_gap_max_us", l.logGap.Microseconds())
	b = galenalog.AppendInt(b, "log_sync_max_us", l.logSync.Microseconds())
	return appendTotals(b, "control_steps", "control_step", l.controlSteps)
}

func appendTotals(b []byte, count, prefix string, t durationTotals) []byte {
	b = galenalog.AppendInt(b, count, t.count)
	b = galenalog.AppendInt(b, prefix+"_us", t.total.Microseconds())
	return galenalog.AppendInt(b, prefix+"_max_us", t.longest.Microseconds())
}

// addTo adds the interval to the counters of the process.
func (l *loadLine) addTo(m *galenametric.Metrics) {
	count := func(name string, n int64) { m.Counters.Add("owner_"+name, n) }
	totals := func(name string, t durationTotals) {
		count(name, t.count)
		count(name+"_us", t.total.Microseconds())
	}
	count("processor_us", l.processor.Microseconds())
	totals("plans", l.plans)
	totals("lock_waits", l.lockWaits)
	totals("polls", l.polls)
	totals("commands", l.commands)
	totals("requests", l.requests)
	totals("commits", l.commits)
	totals("control_steps", l.controlSteps)
	count("polls_failed", l.pollsFailed)
	count("repeats", l.repeats)
	count("exhausted", l.exhausted)
	count("lapsed_runs", l.lapsed)
	count("requests_repeated", l.repeated)
	count("requests_shed", l.shed)
	count("requests_expired", l.expired)
	count("heartbeats", l.heartbeats)
	count("commit_ops", l.ops)
	m.OwnerMax.Record("tick_late", l.tickLate.longest)
	m.OwnerMax.Record("runnable_wait", l.runnableWait)
	m.OwnerMax.Record("plan", l.plans.longest)
	m.OwnerMax.Record("request", l.requests.longest)
	m.OwnerMax.Record("commit", l.commits.longest)
	m.OwnerMax.Record("command_limit", l.commandLimit)
	m.OwnerMax.Record("poll_limit", l.pollLimit)
	m.OwnerMax.Record("log_gap", l.logGap)
	m.OwnerMax.Record("log_sync", l.logSync)
}

// loadLoop logs the load of the session every loadInterval, and once more when the
// session ends.
func (sess *ownerSession) loadLoop() error {
	ticks := sess.Timers.Subscribe(sess.ctx, "load", loadInterval)
	last, processor := time.Now(), processorTime()
	for ended := false; !ended; {
		select {
		case <-sess.ctx.Done():
			ended = true
		case <-ticks:
		}
		now, used := time.Now(), processorTime()
		line := sess.takeLoad()
		line.interval, line.processor, line.room = now.Sub(last), used-processor, sess.State.Room.Used()
		last, processor = now, used
		line.addTo(sess.Metrics)
		galenalog.Info(sess.Logger, "owner load", line)
	}
	return nil
}

// takeLoad returns the load since the last call of takeLoad.
func (sess *ownerSession) takeLoad() *loadLine {
	l := &sess.load
	late := l.recentTickLate()
	line := &loadLine{
		commandLimit: sess.commandLimit.typical(late), pollLimit: sess.pollLimit.typical(late),
		epoch: sess.epoch, goroutines: runtime.NumGoroutine(), commitQueue: len(sess.committer.queue),
		plans: l.plans.take(), lockWaits: l.lockWaits.take(), polls: l.polls.take(), commands: l.commands.take(),
		requests: l.requests.take(), commits: sess.committer.commits.take(), controlSteps: l.controlSteps.take(),
		tickLate: l.tickLate.take(), pollsFailed: l.pollsFailed.Swap(0), starts: l.starts.Swap(0), stops: l.stops.Swap(0),
		repeats: l.repeats.Swap(0), inFlight: l.inFlight.Load(), heartbeats: l.heartbeats.Swap(0),
		runnableWait: l.runnable.takeLongest(), repeated: l.repeated.Swap(0), shed: l.shed.Swap(0), expired: sess.Owner.requests.TakeExpired(),
		exhausted: l.exhausted.Swap(0), lapsed: l.lapsed.Swap(0), ops: sess.committer.ops.Swap(0),
	}
	for c := range l.gateWaits {
		line.gateWaits[c] = l.gateWaits[c].take().longest
	}
	line.logGap, line.logSync = sess.Log.RecentDelays()
	l.lastTickLate.Store(int64(line.tickLate.longest))
	for _, sh := range sess.allShards() {
		sh.lock()
		line.sizes.Add(sh.scheduler.Sizes(sh.now()))
		sh.mu.Unlock()
	}
	return line
}

// logLeaseLoss logs what the lease of the log depends on when the session ends.
func (sess *ownerSession) logLeaseLoss(cause error) {
	sess.Logger.WithFields(sess.Log.Diagnostics()).WithError(cause).WithField("epoch", sess.epoch).
		WithField("tick_late_max_us", sess.load.recentTickLate().Microseconds()).
		WithField("commit_queue", len(sess.committer.queue)).
		Warn("replicated log at the end of the owner session")
}
