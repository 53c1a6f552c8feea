package galenafleet

import (
	"context"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenaaccount"
	"github.com/galenahead/galenahead/galenagate"
	"github.com/galenahead/galenahead/galenajob"
	"github.com/galenahead/galenahead/galenametric"
	"github.com/galenahead/galenahead/galenarpc"
)

// Log is the part of the replicated log that an Owner uses.
type Log interface {
	galenahead.ReplicatedLog
	// HoldsLease reports whether this replica is the leader of the log and its
	// lease is valid now.
	HoldsLease() bool
	// LeaderTerm returns the term in which this replica leads, or zero if it does not
	// lead, and whether its lease is valid now. A lease that becomes valid again in the
	// same term was that of no other replica in between.
	LeaderTerm() (term uint64, leased bool)
	// ProposeInTerm is Propose, but fails with ErrNotLeader in another term.
	ProposeInTerm(ctx context.Context, term uint64, command []byte) ([]byte, error)
	// Diagnostics returns log fields that say why the lease was lost.
	Diagnostics() map[string]any
	// RecentDelays returns the longest recent gap between two passes of the log over
	// its inputs, and the longest recent sync.
	RecentDelays() (loopGap, sync time.Duration)
}

// Owner schedules the fleet while its replica is the leader of the log.
type Owner struct {
	Name      galenahead.ReplicaName
	Log       Log
	State     *State
	Instances InstanceClient
	Advisor   Advisor
	Machines  MachineClient
	Timers    galenahead.Timers
	Logger    *logrus.Logger
	Metrics   *galenametric.Metrics
	Params    galenajob.Params
	// MaxStarting returns how many starts a service may have under way now, given
	// Params.MaxStarting. If it is nil, that is the bound.
	MaxStarting func(direct int) int
	// NewOverlaps returns a bound on the occurrences of recurring jobs that overlap, for a session. It
	// may be nil.
	NewOverlaps func() galenajob.Overlaps
	// MaxInstances bounds the registered instances, of which each is called. Zero means no bound.
	MaxInstances int
	// Gate orders the work of the owner, so that the log and the renewal of leases go before
	// what can wait or be rejected. It may be nil.
	Gate *galenagate.Gate
	// MachineLease is how long this owner waits after an order of an earlier owner
	// to a machine before it sends its own orders to that machine.
	MachineLease time.Duration
	// FinalJobRetention is how long the state of a final job is kept.
	FinalJobRetention time.Duration

	// requests is the turn of callers' requests that other processes send.
	requests galenarpc.Turn

	// startGate is closed when this process is about to end.
	startGate startGate

	session atomic.Pointer[ownerSession]
	// ending counts the ended sessions whose calls have not all returned.
	ending sync.WaitGroup
}

const (
	// leadershipCheckInterval is how often the owner checks whether it is the
	// leader of the log.
	leadershipCheckInterval = 20 * time.Millisecond
	// readBarrierTimeout bounds the read barrier that precedes a session.
	readBarrierTimeout = 3 * time.Second
	// expireInterval is how often old final jobs are deleted.
	expireInterval = 5 * time.Second
)

// Run runs a session whenever this replica is the leader of the log, until ctx
// ends.
func (o *Owner) Run(ctx context.Context) error {
	defer o.ending.Wait()
	ticks := o.Timers.Subscribe(ctx, "owner", leadershipCheckInterval)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
		}
		term, leased := o.Log.LeaderTerm()
		if !leased {
			continue
		}
		if err := o.runSession(ctx, term); err != nil {
			o.Logger.WithError(err).Warn("owner session ended")
		}
	}
}

// runSession starts a session in a term of the log and serves until it ends.
func (o *Owner) runSession(ctx context.Context, term uint64) error {
	sess, err := o.startSession(ctx, term)
	if err != nil {
		return err
	}
	o.session.Store(sess)
	o.Logger.WithFields(logrus.Fields{"epoch": sess.epoch, "owner": o.Name}).Info("became owner of the fleet")
	err = sess.run()
	o.session.Store(nil)
	o.Logger.WithFields(logrus.Fields{"epoch": sess.epoch, "owner": o.Name}).Info("no longer owner of the fleet")
	return err
}

// startSession records this replica as the owner in the replicated state, which
// increments the epoch, and loads the schedulers.
func (o *Owner) startSession(ctx context.Context, term uint64) (*ownerSession, error) {
	callCtx, cancel := context.WithTimeout(ctx, readBarrierTimeout)
	defer cancel()
	if err := o.Log.ReadBarrier(callCtx); err != nil {
		return nil, err
	}
	sessionCtx, resign := context.WithCancelCause(ctx)
	sess := &ownerSession{
		Owner: o, term: term, ctx: sessionCtx, resign: resign, shards: map[galenahead.ServiceName]*shard{},
		submitting: map[galenahead.JobID]*submission{}, configuring: make(chan struct{}, 1), reassigning: make(chan struct{}, 1),
		commandLimit: newCallLimit(longestCommandLimit), pollLimit: newCallLimit(longestPollLimit),
	}
	if o.NewOverlaps != nil {
		sess.overlaps = o.NewOverlaps()
	}
	sess.committer = newCommitter(o.Log, term, sessionCtx.Done(), resign)
	sess.committing.Go(func() { _ = sess.committer.loop(sessionCtx) })
	r, err := sess.committer.commit(Op{Owner: &OwnerOp{o.Name}})
	if err != nil {
		resign(err)
		sess.close()
		return nil, err
	}
	sess.epoch = r[0].Epoch
	sess.startedAt = o.Timers.Now()
	sess.loadState()
	return sess, nil
}

// ownerSession is a period during which this replica owns the fleet, within one term of
// the log. Each session has an epoch of its own. While the lease of the log has expired
// in that term, the session sends and answers nothing.
type ownerSession struct {
	*Owner
	epoch     uint64
	term      uint64
	startedAt time.Time
	ctx       context.Context
	// resign ends the session with a cause.
	resign    context.CancelCauseFunc
	committer *committer
	// ledger counts what client accounts may have running, and rates what they submit.
	ledger galenaaccount.Ledger
	rates  galenaaccount.Rates
	// overlaps bounds the occurrences of recurring jobs that overlap.
	overlaps galenajob.Overlaps
	// countedAccounts holds the accounts that have counters of their own.
	countedAccounts atomic.Pointer[map[galenahead.AccountName]bool]
	load            ownerLoad
	starts          startGovernor
	// leaseMissingSince is when the lease of the log was first seen to have expired, or
	// zero. Only run uses it.
	leaseMissingSince time.Time
	// commandLimit and pollLimit bound the calls to instances.
	commandLimit, pollLimit *callLimit
	// controller carries out orders to machines.
	controller *machineController

	// committing is done when the committer proposes nothing more.
	committing sync.WaitGroup

	spawnMu sync.Mutex
	group   errgroup.Group
	// closed is set when the session has ended; spawn then starts nothing more.
	closed bool

	mu     sync.Mutex
	shards map[galenahead.ServiceName]*shard
	fences galenajob.Fences
	// registrations holds an element for each instance that this session has heard of.
	registrations map[galenahead.InstanceID]*registration
	// submitting holds the jobs whose submission is under way.
	submitting map[galenahead.JobID]*submission

	// configuring holds one element while a configuration is committed and passed to
	// the shards.
	configuring chan struct{}
	// reassigning holds one element while jobs are handed from one shard to another, so that
	// none is handed back before the first shard has removed it.
	reassigning chan struct{}

	// lastMachines is the list of machines that the machine controller read last;
	// operators' views show it.
	lastMachines atomic.Pointer[machineSnapshot]
}

var errTermEnded = eris.New("no longer the leader of the log in the term of this session")

// run serves until the term of the session ends, a commit fails or the context ends.
func (sess *ownerSession) run() error {
	ticks := sess.Timers.Subscribe(sess.ctx, "office", leadershipCheckInterval)
	sess.spawn(func() error { return sess.expireLoop() })
	sess.spawn(func() error { return sess.loadLoop() })
	sess.spawn(func() error { return sess.controller.loop() })
	last := time.Now()
	for {
		select {
		case <-sess.ctx.Done():
			cause := context.Cause(sess.ctx)
			sess.logLeaseLoss(cause)
			sess.close()
			return cause
		case <-ticks:
			now := time.Now()
			sess.load.recordTick(now.Sub(last))
			sess.starts.observe(max(now.Sub(last)-leadershipCheckInterval, sess.recordGateWaits()))
			last = now
			sess.checkTerm(now)
		}
	}
}

// recordGateWaits records how long work has waited at the gate since the last call, and
// returns how long the renewal of a lease waits now.
func (sess *ownerSession) recordGateWaits() time.Duration {
	for c := range sess.load.gateWaits {
		sess.load.gateWaits[c].record(sess.Gate.TakeLongestWait(galenagate.Class(c)))
	}
	return sess.Gate.Wait(galenagate.Renewal)
}

// checkTerm ends the session if its term has ended, and logs a lease that was missing. A
// missing lease alone does not end the session: the next one would poll all instances
// anew while their leases run out, and a replica that is late would be later still.
func (sess *ownerSession) checkTerm(now time.Time) {
	term, leased := sess.Log.LeaderTerm()
	switch {
	case term != sess.term:
		sess.resign(errTermEnded)
	case !leased && sess.leaseMissingSince.IsZero():
		sess.leaseMissingSince = now
		sess.Metrics.Counters.Add("owner_lease_gaps", 1)
	case leased && !sess.leaseMissingSince.IsZero():
		sess.Logger.WithField("epoch", sess.epoch).WithField("gap_ms", now.Sub(sess.leaseMissingSince).Milliseconds()).
			WithField("tick_late_max_us", sess.load.recentTickLate().Microseconds()).
			Info("the lease of the log is valid again")
		sess.leaseMissingSince = time.Time{}
	}
}

// spawn runs fn in a goroutine of the session, unless the session is closing.
func (sess *ownerSession) spawn(fn func() error) {
	sess.spawnMu.Lock()
	defer sess.spawnMu.Unlock()
	if !sess.closed {
		sess.group.Go(func() error {
			defer sess.endAfterPanic()
			return fn()
		})
	}
}

// endAfterPanic ends the session after a panic in one of its goroutines. The next session
// reads the state anew; the replica in the same process goes on.
func (sess *ownerSession) endAfterPanic() {
	if p := recover(); p != nil {
		sess.Metrics.Counters.Add("panics", 1)
		sess.Logger.WithField("panic", p).WithField("epoch", sess.epoch).WithField("stack", string(debug.Stack())).
			Error("a part of the owner has failed; the session ends")
		sess.resign(errPanic)
	}
}

var errPanic = eris.New("a part of the owner has failed")

// close ends the session, whose context has ended. It returns once the log gets no
// more proposals of the session, since the next one loads the state. Calls to
// instances and machines may still be in flight: they carry the fencing token of this
// session, and their results are not used.
func (sess *ownerSession) close() {
	sess.spawnMu.Lock()
	sess.closed = true
	sess.spawnMu.Unlock()
	sess.committing.Wait()
	sess.ending.Go(func() {
		// The goroutines return no errors; a failure cancels the session's context.
		_ = sess.group.Wait()
	})
}

// loadState creates the shards from the replicated state. It starts them only when they
// are complete: a poll stops the runs of jobs that the scheduler does not know, and a
// plan starts work items that may run on instances that it does not know, or on machines
// that an earlier owner has sent an order.
func (sess *ownerSession) loadState() {
	sess.mu.Lock()
	defer sess.mu.Unlock()
	sess.registrations = map[galenahead.InstanceID]*registration{}
	sess.applyAccounts()
	wall := time.Now().Round(0)
	instances := sess.State.registeredInstances()
	for _, in := range instances {
		sess.shardLocked(in.Service, false).addInheritedInstance(in, sess.State.hasLeft(in.ID, in.Born))
	}
	for _, j := range sess.State.activeJobs() {
		sess.shardLocked(j.Service, false).addJob(j, wall.Sub(j.Accepted), true)
	}
	sess.controller = newMachineController(sess)
	for _, in := range sess.controller.adoptOrders() {
		sess.shardLocked(in.service, false).inspect(func(now time.Time, s *galenajob.Scheduler) { s.SetEvacuating(now, in.id, true) })
	}
	for _, sh := range sess.shards {
		sh.start()
	}
	for _, in := range instances {
		sess.shards[in.Service].startPolling(in.ID)
	}
}

// shardLocked returns the shard of a service. If necessary, it creates the shard and, if
// start is set, starts it. sess.mu must be held.
func (sess *ownerSession) shardLocked(service galenahead.ServiceName, start bool) *shard {
	if sh, ok := sess.shards[service]; ok {
		return sh
	}
	sh := newShard(sess, service)
	sess.shards[service] = sh
	if c := sess.State.Config(); c != nil {
		sh.scheduler.SetQueues(c.schedulerQueues())
	}
	if start {
		sh.start()
	}
	return sh
}

// shardFor returns the shard of a service and creates it if necessary.
func (sess *ownerSession) shardFor(service galenahead.ServiceName) *shard {
	sess.mu.Lock()
	defer sess.mu.Unlock()
	return sess.shardLocked(service, true)
}

// allShards returns the shards in no particular order.
func (sess *ownerSession) allShards() []*shard {
	sess.mu.Lock()
	defer sess.mu.Unlock()
	out := make([]*shard, 0, len(sess.shards))
	for _, sh := range sess.shards {
		out = append(out, sh)
	}
	return out
}

// expireLoop deletes jobs that have been final for longer than FinalJobRetention.
func (sess *ownerSession) expireLoop() error {
	ticks := sess.Timers.Subscribe(sess.ctx, "expire", expireInterval)
	for {
		select {
		case <-sess.ctx.Done():
			return nil
		case <-ticks:
		}
		cutoff := time.Now().Round(0).Add(-sess.FinalJobRetention)
		sess.forgetRegistrations(cutoff)
		if _, err := sess.committer.commit(Op{Expire: &cutoff}); err != nil {
			return nil
		}
	}
}

// currentSession returns the session in progress. It fails with ErrNotLeader if
// there is none or its lease is lost.
func (o *Owner) currentSession() (*ownerSession, error) {
	sess := o.session.Load()
	if sess == nil || !sess.isLeader() {
		return nil, galenahead.ErrNotLeader
	}
	return sess, nil
}

// isLeader reports whether the session is still valid, so that it may answer from
// its state.
func (sess *ownerSession) isLeader() bool {
	term, leased := sess.Log.LeaderTerm()
	return sess.ctx.Err() == nil && leased && term == sess.term
}
