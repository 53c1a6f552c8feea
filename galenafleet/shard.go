package galenafleet

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenagate"
	"github.com/galenahead/galenahead/galenajob"
	"github.com/galenahead/galenahead/galenalog"
)

const (
	// planInterval is how often a shard plans if no event requests a plan earlier.
	planInterval = 100 * time.Millisecond
	// minPlanPause is the shortest time between two plans, so that events at nearly
	// the same time share one plan. It is short compared with a work item (0.6 to 2.1 s).
	minPlanPause = 16 * time.Millisecond
	// planPauseFactor is how many times the duration of a plan the next one waits, so
	// that planning leaves most of the processor to the calls that it causes.
	planPauseFactor = 4
	// pollWait is how long a poll waits for the end of a run. It is short enough
	// that the polls renew the lease several times before it expires.
	pollWait = time.Second
	// pollPause is the pause after a poll, so that ends at nearly the same time
	// share the next poll.
	pollPause = 20 * time.Millisecond
	// pollRetryPause is the pause after a failed poll.
	pollRetryPause = 200 * time.Millisecond
)

// shard schedules one service under its own lock.
type shard struct {
	session *ownerSession
	service galenahead.ServiceName
	// wake requests a plan.
	wake chan struct{}

	mu        sync.Mutex
	scheduler *galenajob.Scheduler
	pollers   map[galenahead.InstanceID]*instancePoller
	// adviceRequests queues the requests to the advisor.
	adviceRequests chan galenajob.Action
	// takenOver is set once the work of earlier owners is known. Only plan uses it.
	takenOver  bool
	unanswered unansweredQueue
}

// instancePoller is the state of the loop that polls one instance.
type instancePoller struct {
	// wake requests a poll while the loop waits for work.
	wake   chan struct{}
	cancel context.CancelFunc
	// unreachable reports that the last poll failed. Only pollLoop uses it.
	unreachable bool
}

// pollTiming tells a poll that the instance answered late from one that this process
// handled late.
type pollTiming struct {
	// wait is how long the instance could delay its response, and took how long the
	// poll took.
	wait, took time.Duration
	// tickLate is the longest scheduling delay in this process at that time.
	tickLate time.Duration
}

// logReachability logs when the instance stops answering polls and when it answers
// again.
func (p *instancePoller) logReachability(log *logrus.Logger, id galenahead.InstanceID, t pollTiming, err error) {
	if p.unreachable == (err != nil) {
		return
	}
	p.unreachable = err != nil
	if p.unreachable {
		log.WithError(err).WithField("instance", id).WithField("wait_ms", t.wait.Milliseconds()).
			WithField("took_ms", t.took.Milliseconds()).WithField("tick_late_max_us", t.tickLate.Microseconds()).
			Info("instance does not answer polls")
	} else {
		log.WithField("instance", id).Info("instance answers polls again")
	}
}

// maxQueuedAdvice bounds the queued requests of one service to the advisor.
const maxQueuedAdvice = 32

func newShard(sess *ownerSession, service galenahead.ServiceName) *shard {
	sh := &shard{
		session: sess, service: service, wake: make(chan struct{}, 1),
		scheduler:      galenajob.NewScheduler(service, sess.epoch, sess.Params, &sess.fences),
		pollers:        map[galenahead.InstanceID]*instancePoller{},
		adviceRequests: make(chan galenajob.Action, maxQueuedAdvice),
	}
	sh.scheduler.UseLedger(&sess.ledger)
	sh.scheduler.SetOverlaps(sess.overlaps)
	return sh
}

func (sh *shard) now() time.Time { return sh.session.Timers.Now() }

// requestPlan makes the shard plan soon.
func (sh *shard) requestPlan() { notify(sh.wake) }

// notify wakes up the receiver of c, which has a buffer of one, unless a signal is
// pending.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// lock locks mu and records the time spent waiting for it.
func (sh *shard) lock() {
	if sh.mu.TryLock() {
		return
	}
	start := time.Now()
	sh.mu.Lock()
	sh.session.load.lockWaits.record(time.Since(start))
}

// withScheduler runs f while it holds the shard's lock, and then requests a plan.
func (sh *shard) withScheduler(f func(now time.Time, s *galenajob.Scheduler)) {
	sh.inspect(f)
	sh.requestPlan()
}

// inspect runs f while it holds the shard's lock. f must not change anything that
// calls for a plan.
func (sh *shard) inspect(f func(now time.Time, s *galenajob.Scheduler)) {
	sh.lock()
	defer sh.mu.Unlock()
	f(sh.now(), sh.scheduler)
}

func (sh *shard) addJob(j *galenajob.Job, age time.Duration, inherited bool) {
	sh.withScheduler(func(now time.Time, s *galenajob.Scheduler) { s.AddJob(now, j, age, inherited) })
}

// addInheritedInstance adds an instance to which an earlier owner may have sent
// commands, without polling it. The leases of those commands count as expired later than Lease, since
// the clock of the instance may be slow.
// An instance that has left may not have ended yet.
func (sh *shard) addInheritedInstance(in galenajob.Instance, left bool) {
	const slowClockFactor = 1.03
	leaseTimeout := time.Duration(slowClockFactor * float64(sh.session.Params.Lease))
	fenced, knownAt, restarted := sh.session.State.restartOf(in)
	sh.withScheduler(func(now time.Time, s *galenajob.Scheduler) {
		expiry := now.Add(leaseTimeout)
		if held := knownAt.Add(sh.session.Params.LongestLease()); restarted && fenced && held.After(expiry) {
			expiry = held
		}
		s.AddInheritedInstance(now, in, expiry)
		if restarted && !fenced {
			s.ExpectStrayCalls(now, in.ID, knownAt)
		}
		if left {
			s.Leave(now, in.ID)
		}
	})
}

// addInstance adds or updates an instance that has sent a heartbeat, and polls it. A poll of an
// earlier incarnation, which may wait for an answer in vain, does not delay the next one: until
// that, the new incarnation executes calls that were meant for the earlier one.
func (sh *shard) addInstance(in galenajob.Instance, clock int64) {
	sh.withScheduler(func(now time.Time, s *galenajob.Scheduler) {
		if p := sh.pollers[in.ID]; p != nil && s.IsLaterIncarnation(in) {
			p.cancel()
			delete(sh.pollers, in.ID)
		}
		s.AddInstance(now, in)
		s.Heartbeat(now, in.ID, clock)
		sh.startPollingLocked(in.ID)
	})
}

// removeInstance removes an instance from the scheduler and stops polling it.
func (sh *shard) removeInstance(id galenahead.InstanceID) {
	sh.withScheduler(func(now time.Time, s *galenajob.Scheduler) {
		s.RemoveInstance(now, id)
		if p := sh.pollers[id]; p != nil {
			p.cancel()
			delete(sh.pollers, id)
		}
	})
	sh.session.commandLimit.forget(id)
	sh.session.pollLimit.forget(id)
}

// startPolling starts the poll loop of an instance, or wakes it up if it runs.
func (sh *shard) startPolling(id galenahead.InstanceID) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.startPollingLocked(id)
}

// startPollingLocked is startPolling for callers that hold mu.
func (sh *shard) startPollingLocked(id galenahead.InstanceID) {
	if p, ok := sh.pollers[id]; ok {
		notify(p.wake)
		return
	}
	ctx, cancel := context.WithCancel(sh.session.ctx)
	p := &instancePoller{wake: make(chan struct{}, 1), cancel: cancel}
	sh.pollers[id] = p
	sh.session.spawn(func() error { return sh.pollLoop(ctx, id, p) })
}

// start starts the planning of the shard.
func (sh *shard) start() { sh.session.spawn(func() error { return sh.loop(sh.session.ctx) }) }

// loop plans after each event, and at least every planInterval, until ctx ends.
func (sh *shard) loop(ctx context.Context) error {
	sh.session.spawn(func() error { return sh.adviseLoop(ctx) })
	ticks := sh.session.Timers.Subscribe(ctx, "plan", planInterval)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
		case <-sh.wake:
		}
		took := sh.planAtGate(ctx)
		pause := min(max(minPlanPause, planPauseFactor*took), planInterval)
		select {
		case <-ctx.Done():
			return nil
		case <-sh.session.Timers.After(ctx, pause):
		}
	}
}

// planAtGate plans once it is the shard's turn, and returns how long that took.
func (sh *shard) planAtGate(ctx context.Context) time.Duration {
	sh.session.Gate.Enter(galenagate.Progress)
	defer sh.session.Gate.Leave()
	start := sh.now()
	sh.plan(ctx)
	return sh.now().Sub(start)
}

func (sh *shard) plan(ctx context.Context) {
	sh.lock()
	start := time.Now()
	maxStarting := sh.session.Params.MaxStarting
	if f := sh.session.MaxStarting; f != nil {
		maxStarting = f(maxStarting)
	}
	sh.scheduler.SetMaxStarting(sh.session.starts.bound(maxStarting))
	actions := sh.scheduler.Plan(sh.now(), start.Round(0))
	for _, id := range sh.scheduler.TakeOverdue() {
		sh.startPollingLocked(id)
	}
	gone, crashes, clearances := sh.scheduler.TakeGone(), sh.scheduler.TakeCrashes(), sh.scheduler.TakeClearances()
	reassignments, fenced := sh.scheduler.TakeReassignments(), sh.scheduler.TakeFenced()
	// Under the lock, so that recordStartsInFlight finds what is not yet recorded.
	sh.recordUnanswered(sh.scheduler.TakeUnansweredStarts())
	waits := sh.scheduler.TakeStrayWaits()
	reconciled, sizes := sh.scheduler.Reconciled(), galenajob.Sizes{}
	if reconciled && !sh.takenOver {
		sizes = sh.scheduler.Sizes(sh.now())
	}
	sh.session.load.plans.record(time.Since(start))
	sh.mu.Unlock()
	if reconciled && !sh.takenOver {
		sh.takenOver = true
		sh.logTakeover(sizes)
	}
	for _, a := range actions {
		sh.dispatch(ctx, a)
	}
	if len(crashes) > 0 {
		sh.session.spawn(func() error { sh.recordCrashes(crashes); return nil })
	}
	if len(clearances) > 0 {
		sh.session.spawn(func() error { sh.recordClearances(clearances); return nil })
	}
	if len(fenced) > 0 {
		sh.session.spawn(func() error { sh.recordFenced(fenced); return nil })
	}
	sh.logStrayWaits(sh.now(), waits)
	if len(reassignments) > 0 {
		sh.session.spawn(func() error { sh.reassign(reassignments); return nil })
	}
	if len(gone) > 0 {
		// Work must not wait for the log.
		sh.session.spawn(func() error { sh.removeGone(gone); return nil })
	}
}

// logTakeover logs how long this owner took to learn the work of earlier owners.
func (sh *shard) logTakeover(z galenajob.Sizes) {
	sh.session.Logger.WithFields(logrus.Fields{
		"service": sh.service, "epoch": sh.session.epoch, "took_ms": sh.now().Sub(sh.session.startedAt).Milliseconds(),
		"instances": z.Instances, "runs": z.Runs, "steps_over_budget": z.OverBudget,
	}).Info("work of earlier owners is known")
}

// removeGone removes instances that the scheduler has given up, because they showed
// no sign of life for Params.GoneAfter or have left and run nothing any more.
func (sh *shard) removeGone(ids []galenahead.InstanceID) {
	ops := make([]Op, len(ids))
	left := map[galenahead.InstanceID]bool{}
	for i := range ids {
		ops[i] = Op{Remove: &ids[i]}
		in, ok := sh.session.State.instance(ids[i])
		left[ids[i]] = ok && sh.session.State.hasLeft(in.ID, in.Born)
	}
	if _, err := sh.session.committer.commit(ops...); err != nil {
		return
	}
	for _, id := range ids {
		message := "removed an unresponsive instance"
		if left[id] {
			message = "removed an instance that has left"
		}
		sh.session.Logger.WithField("instance", id).WithField("service", sh.service).Info(message)
		sh.removeInstance(id)
	}
}

// recordCrashes records crashes of instances and then passes them to the scheduler.
func (sh *shard) recordCrashes(crashes []galenajob.Crash) {
	at := time.Now().Round(0)
	ops := make([]Op, len(crashes))
	for i, c := range crashes {
		ops[i] = Op{Crash: &CrashOp{Job: c.Item.Job, Item: c.Item.Item, At: at, Run: c.Number, Uncertain: c.Uncertain, Cleared: c.Cleared}}
	}
	results, err := sh.session.committer.commit(ops...)
	if err != nil {
		return // the session has ended
	}
	sh.withScheduler(func(_ time.Time, s *galenajob.Scheduler) {
		for i, r := range results {
			if r.Code == CodeDone {
				s.ConfirmCrash(crashes[i])
			}
		}
	})
	sh.session.Metrics.Counters.Add("crashed_runs", int64(len(crashes)))
	for i, c := range crashes {
		galenalog.Info(sh.session.Logger, "instance crashed", crashLine{c, results[i].JobState})
	}
}

// recordClearances records runs that clear their work items of crashes.
func (sh *shard) recordClearances(clearances []galenajob.Clearance) {
	ops := make([]Op, len(clearances))
	for i, c := range clearances {
		ops[i] = Op{Clear: &ClearOp{Job: c.Item.Job, Item: c.Item.Item, Run: c.Number}}
	}
	// An error means that the session has ended; the next owner finds the runs at work.
	_, _ = sh.session.committer.commit(ops...)
}

func (sh *shard) dispatch(ctx context.Context, a galenajob.Action) {
	if a.Kind == galenajob.ActAdvise {
		select {
		case sh.adviceRequests <- a:
		default:
			sh.withScheduler(func(now time.Time, s *galenajob.Scheduler) { s.HandleAdvice(now, a, nil, 0) })
		}
		return
	}
	sh.session.spawn(func() error { sh.sendCommand(ctx, a); return nil })
}

// sendCommand sends a command to an instance and passes the outcome to the
// scheduler.
func (sh *shard) sendCommand(ctx context.Context, a galenajob.Action) {
	if !sh.session.isLeader() {
		// The session goes on if the lease is renewed before its next check.
		sh.handleOutcome(a, galenajob.OutcomeDeferred, 0, sh.now())
		return
	}
	if !sh.session.enterStart(a) {
		// It is left to the next owner.
		sh.handleOutcome(a, galenajob.OutcomeDeferred, 0, sh.now())
		return
	}
	defer sh.session.leaveStart(a)
	load := &sh.session.load
	load.countCommand(a)
	load.inFlight.Add(1)
	defer load.inFlight.Add(-1)
	limits := sh.session.commandLimit
	limit := limits.limit(a.Instance.ID, load.recentTickLate())
	sent := sh.now()
	o, clock, err := galenajob.OutcomeUnknown, int64(0), error(nil)
	switch a.Kind {
	case galenajob.ActStart:
		o, clock, err = sh.session.Instances.Start(ctx, a, limit)
	case galenajob.ActStop:
		o, clock, err = sh.session.Instances.Stop(ctx, a, limit)
	case galenajob.ActPace:
		if err = sh.session.Instances.Pace(ctx, a, limit); err == nil {
			o = galenajob.OutcomeDone
		}
	}
	latency := sh.now().Sub(sent)
	if o == galenajob.OutcomeUnsent && errors.Is(err, ErrRefused) {
		o = galenajob.OutcomeRefused
	}
	switch {
	case o == galenajob.OutcomeUnsent || o == galenajob.OutcomeRefused || o == galenajob.OutcomeDeferred:
	case o != galenajob.OutcomeUnknown:
		limits.answered(a.Instance.ID, latency)
	case latency >= limit && ctx.Err() == nil:
		limits.unanswered(a.Instance.ID)
	}
	load.commands.record(latency)
	load.countError(err)
	sh.session.Gate.Enter(galenagate.Progress)
	defer sh.session.Gate.Leave()
	sh.logCommand(a, o, latency, err)
	sh.handleOutcome(a, o, clock, sent)
}

// handleOutcome passes the outcome of a command to the scheduler.
func (sh *shard) handleOutcome(a galenajob.Action, o galenajob.Outcome, clock int64, sent time.Time) {
	if a.Kind == galenajob.ActPace {
		sh.inspect(func(_ time.Time, s *galenajob.Scheduler) { s.HandlePaceOutcome(a, o, sent) })
		return
	}
	var p *instancePoller
	needsPlan := o != galenajob.OutcomeDone
	sh.inspect(func(now time.Time, s *galenajob.Scheduler) {
		s.HandleOutcome(now, a, o, clock, sent)
		needsPlan = needsPlan || s.StartsExhausted()
		p = sh.pollers[a.Instance.ID]
	})
	if needsPlan {
		sh.requestPlan()
	}
	if p != nil {
		notify(p.wake)
	}
}

// logCommand logs and counts a command.
func (sh *shard) logCommand(a galenajob.Action, o galenajob.Outcome, latency time.Duration, err error) {
	sh.session.Metrics.Counters.Add("order_"+string(a.Kind)+"_"+o.String(), 1)
	galenalog.Info(sh.session.Logger, "order", actionLine{a, o, latency, err, sh.session.load.recentTickLate()})
}

// pollLoop polls an instance while the scheduler needs its runs and ends, and
// otherwise waits for a signal on p.wake.
func (sh *shard) pollLoop(ctx context.Context, id galenahead.InstanceID, p *instancePoller) error {
	for ctx.Err() == nil {
		sh.lock()
		req, ok := sh.scheduler.NextPoll(sh.now(), id)
		sh.mu.Unlock()
		pause := time.Duration(0)
		if ok {
			pause = sh.pollOnce(ctx, id, p, req)
		}
		if !ok {
			select {
			case <-ctx.Done():
			case <-p.wake:
			}
			continue
		}
		select {
		case <-ctx.Done():
		case <-sh.session.Timers.After(ctx, pause):
		}
	}
	return nil
}

// pollOnce renews the lease of an instance, reads its runs and ends, and returns
// the pause until the next poll.
func (sh *shard) pollOnce(ctx context.Context, id galenahead.InstanceID, p *instancePoller, req galenajob.PollRequest) time.Duration {
	if !sh.session.isLeader() {
		// The next owner counts the lease of an instance that it can't reach from the
		// start of its session. Another one may have begun since the deadline was set.
		return pollRetryPause
	}
	sent := sh.now()
	wait := time.Duration(0)
	if req.MayWait {
		wait = pollWait
	}
	limits := sh.session.pollLimit
	limit := limits.limit(id, sh.session.load.recentTickLate())
	resp, err := sh.session.Instances.RenewAndPoll(ctx, req, wait, limit)
	beyondWait := sh.now().Sub(sent) - wait
	switch {
	case ctx.Err() != nil:
		return 0
	case errors.Is(err, ErrFenced):
		sh.session.resign(err)
		return 0
	case errors.Is(err, ErrExhausted):
		// The instance may well be alive, so it does not count as unresponsive.
		sh.session.Metrics.Counters.Add("looks_deferred", 1)
		sh.session.load.countError(err)
		p.logReachability(sh.session.Logger, id, sh.pollTiming(sent, wait), err)
		return pollRetryPause
	case err != nil:
		sh.session.Metrics.Counters.Add("looks_failed", 1)
		sh.session.load.pollsFailed.Add(1)
		if beyondWait >= limit {
			limits.unanswered(id)
		}
		p.logReachability(sh.session.Logger, id, sh.pollTiming(sent, wait), err)
		sh.withScheduler(func(_ time.Time, s *galenajob.Scheduler) {
			switch {
			case errors.Is(err, ErrRefused):
				s.HandleRefusal(id, sent)
			case errors.Is(err, ErrOtherIncarnation):
				s.HandleOtherInstance(id, sent)
			default:
				s.HandleNoResponse(id, sent)
			}
		})
		return pollRetryPause
	}
	if beyondWait >= 0 {
		// A response before the end of the wait came when a run ended, and that time is
		// unknown here.
		limits.answered(id, beyondWait)
	}
	ends, pause := sh.handlePoll(id, p, req, resp, sent)
	recording := time.Now()
	if len(ends) > 0 {
		sh.recordEnds(id, req.Instance.Born, ends)
	}
	// While records take long, more polls would only find fewer ends each.
	return max(pollPause, time.Since(recording), pause)
}

// handlePoll passes the response to a poll to the scheduler. It returns the ends that must
// be recorded and how long another poll would be of no use.
func (sh *shard) handlePoll(id galenahead.InstanceID, p *instancePoller, req galenajob.PollRequest, resp galenajob.PollResponse, sent time.Time) (ends []galenajob.End, pause time.Duration) {
	sh.session.Gate.Enter(galenagate.Renewal)
	defer sh.session.Gate.Leave()
	handling := time.Now()
	p.logReachability(sh.session.Logger, id, pollTiming{}, nil)
	sh.session.Metrics.Counters.Add("looks", 1)
	resp.Fence, resp.Cursor, resp.Deadline, resp.Sent = req.Fence, req.Cursor, req.Deadline, sent
	var lateRuns []galenajob.LateRun
	var lapsedRuns []galenajob.LapsedRun
	needsPlan := !req.MayWait
	sh.inspect(func(now time.Time, s *galenajob.Scheduler) {
		ends = s.HandlePoll(now, id, resp)
		lateRuns, lapsedRuns, pause = s.TakeLateRuns(), s.TakeLapsedRuns(), s.PollPause(now, id)
		// Ends that must be recorded call for a plan only after that.
		needsPlan = needsPlan || s.HasActions() || len(ends) < len(resp.Ends)
	})
	if needsPlan {
		sh.requestPlan()
	}
	sh.logLateRuns(lateRuns)
	sh.logLapsedRuns(lapsedRuns)
	sh.session.load.polls.record(time.Since(handling))
	return ends, pause
}

// logLateRuns logs and counts runs that were carried out after they were given up.
func (sh *shard) logLateRuns(runs []galenajob.LateRun) {
	for _, r := range runs {
		sh.session.Metrics.Counters.Add("late_runs", 1)
		galenalog.Info(sh.session.Logger, "late run", lateRunLine{r})
	}
}

// logLapsedRuns logs and counts runs that ended because nothing renewed their lease. Only
// the long-running ones have a line each: with many instances all others may lapse at once.
func (sh *shard) logLapsedRuns(runs []galenajob.LapsedRun) {
	sh.session.load.lapsed.Add(int64(len(runs)))
	for _, r := range runs {
		if r.LongRunning {
			galenalog.Info(sh.session.Logger, "run lapsed", lapsedRunLine{r})
		}
	}
}

func (sh *shard) pollTiming(sent time.Time, wait time.Duration) pollTiming {
	return pollTiming{wait: wait, took: sh.now().Sub(sent), tickLate: sh.session.load.recentTickLate()}
}

// recordEnds records ends of runs in the replicated state and then passes them to
// the scheduler.
func (sh *shard) recordEnds(id galenahead.InstanceID, born int64, ends []galenajob.End) {
	at := time.Now().Round(0)
	ops := make([]Op, len(ends))
	for i, e := range ends {
		ops[i] = Op{End: &EndOp{Job: e.Item.Job, Item: e.Item.Item, How: e.Reason, At: at, Run: e.Number}}
	}
	results, err := sh.session.committer.commit(ops...)
	if err != nil {
		return
	}
	sh.session.Gate.Enter(galenagate.Progress)
	defer sh.session.Gate.Leave()
	var suspicions []galenajob.Suspicion
	sh.withScheduler(func(now time.Time, s *galenajob.Scheduler) {
		newlyRecorded := make([]bool, len(ends))
		for i, r := range results {
			newlyRecorded[i] = r.Code == CodeDone
		}
		s.ConfirmRecorded(now, id, born, ends, newlyRecorded)
		suspicions = s.TakeSuspicions()
		for i, r := range results {
			if r.JobState.Final() {
				s.RemoveJob(now, ends[i].Item.Job)
			}
		}
	})
	for i, e := range ends {
		galenalog.Info(sh.session.Logger, "end", endLine{e, id, results[i].JobState})
	}
	sh.logSuspicions(suspicions)
}

// logSuspicions logs and counts the times in which instances are avoided, because jobs have
// failed there.
func (sh *shard) logSuspicions(suspicions []galenajob.Suspicion) {
	for _, sp := range suspicions {
		sh.session.Metrics.Counters.Add("suspicions", 1)
		galenalog.Info(sh.session.Logger, "instance suspected", suspicionLine{sp, sh.service})
	}
}

// adviseLoop sends requests to the advisor, one at a time.
func (sh *shard) adviseLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case a := <-sh.adviceRequests:
			sh.requestAdvice(ctx, a)
		}
	}
}

func (sh *shard) requestAdvice(ctx context.Context, a galenajob.Action) {
	sent := sh.now()
	tickets, validity, err := sh.session.Advisor.Advise(ctx, a.Item, a.Candidates)
	if err != nil {
		sh.session.Logger.WithError(err).WithField("job", a.Item.Job).Info("request to the advisor failed")
		tickets = nil
	}
	elapsed := sh.now().Sub(sent)
	sh.withScheduler(func(now time.Time, s *galenajob.Scheduler) { s.HandleAdvice(now, a, tickets, validity-elapsed) })
}
