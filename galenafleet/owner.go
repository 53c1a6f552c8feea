package galenafleet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
	"github.com/galenahead/galenahead/galenametric"
)

// Log is the replicated log as an owner needs it.
type Log interface {
	galenahead.ReplicatedLog
	// HoldsLease tells whether this replica leads and its lease holds now.
	HoldsLease() bool
}

// Owner schedules the fleet while its replica leads the log.
type Owner struct {
	Name      galenahead.ReplicaName
	Log       Log
	State     *State
	Instances Instances
	Advisor   Advisor
	Machines  Machines
	Timers    galenahead.Timers
	Logger    *logrus.Logger
	Metrics   *galenametric.Metrics
	Params    galenajob.Params
	// MachineLease is how long the orders of an earlier owner to a machine keep
	// this one from giving any.
	MachineLease time.Duration
	// Keep is how long the state of a final job is known.
	Keep time.Duration

	session atomic.Pointer[ownerSession]
}

const (
	// leadershipCheckInterval is how often the owner checks whether it leads.
	leadershipCheckInterval = 20 * time.Millisecond
	// startSessionTimeout bounds the attempt to take office.
	startSessionTimeout = 3 * time.Second
	// expireInterval is how often final jobs are forgotten.
	expireInterval = 5 * time.Second
)

// Run takes office whenever this replica leads, until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	ticks := o.Timers.Subscribe(ctx, "owner", leadershipCheckInterval)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
		}
		if !o.Log.HoldsLease() {
			continue
		}
		if err := o.runSession(ctx); err != nil {
			o.Logger.WithError(err).Warn("office ended")
		}
	}
}

// runSession is one office.
func (o *Owner) runSession(ctx context.Context) error {
	sess, err := o.startSession(ctx)
	if err != nil {
		return err
	}
	o.session.Store(sess)
	o.Logger.WithFields(logrus.Fields{"epoch": sess.epoch, "owner": o.Name}).Info("took office")
	err = sess.run()
	o.session.Store(nil)
	o.Logger.WithFields(logrus.Fields{"epoch": sess.epoch, "owner": o.Name}).Info("left office")
	return err
}

// startSession makes this replica the owner in the replicated state.
func (o *Owner) startSession(ctx context.Context) (*ownerSession, error) {
	call, cancel := context.WithTimeout(ctx, startSessionTimeout)
	defer cancel()
	if err := o.Log.ReadBarrier(call); err != nil {
		return nil, err
	}
	sessionCtx, resign := context.WithCancelCause(ctx)
	sess := &ownerSession{Owner: o, ctx: sessionCtx, resign: resign, shards: map[galenahead.ServiceName]*shard{}}
	sess.committer = newCommitter(o.Log, sessionCtx.Done(), resign)
	sess.spawn(func() error { return sess.committer.loop(sessionCtx) })
	r, err := sess.committer.commit(Op{Owner: &OwnerOp{o.Name}})
	if err != nil {
		resign(err)
		sess.closeAndWait()
		return nil, err
	}
	sess.epoch = r[0].Epoch
	sess.startedAt = o.Timers.Now()
	sess.loadState()
	return sess, nil
}

// ownerSession is the time during which this replica owns the fleet.
type ownerSession struct {
	*Owner
	epoch     uint64
	startedAt time.Time
	ctx       context.Context
	resign    context.CancelCauseFunc
	committer *committer

	spawnMu sync.Mutex
	group   errgroup.Group
	// closed tells that run waits for the group, which must not grow any more.
	closed bool

	mu         sync.Mutex
	shards     map[galenahead.ServiceName]*shard
	heartbeats map[galenahead.InstanceID]lastHeartbeat

	// lastMachines is the machinist's last reading, for operators.
	lastMachines atomic.Pointer[machineSnapshot]
}

var errLeaseLost = eris.New("lease of the log's leader is lost")

// run serves until the lease is lost, a commit fails or ctx ends.
func (sess *ownerSession) run() error {
	ticks := sess.Timers.Subscribe(sess.ctx, "office", leadershipCheckInterval)
	sess.spawn(func() error { return sess.expireLoop() })
	sess.spawn(func() error { return newMachineController(sess).loop() })
	for {
		select {
		case <-sess.ctx.Done():
			sess.closeAndWait()
			return context.Cause(sess.ctx)
		case <-ticks:
			if !sess.Log.HoldsLease() {
				sess.resign(errLeaseLost)
			}
		}
	}
}

// spawn runs fn beside the office, unless that has ended.
func (sess *ownerSession) spawn(fn func() error) {
	sess.spawnMu.Lock()
	defer sess.spawnMu.Unlock()
	if !sess.closed {
		sess.group.Go(fn)
	}
}

// closeAndWait ends with everything that spawn began.
func (sess *ownerSession) closeAndWait() {
	sess.spawnMu.Lock()
	sess.closed = true
	sess.spawnMu.Unlock()
	// The functions return no errors; what fails ends the office by its context.
	_ = sess.group.Wait()
}

// loadState builds the schedulers from the replicated state.
func (sess *ownerSession) loadState() {
	sess.mu.Lock()
	defer sess.mu.Unlock()
	sess.heartbeats = map[galenahead.InstanceID]lastHeartbeat{}
	wall := time.Now().Round(0)
	for _, in := range sess.State.registeredInstances() {
		sess.shardLocked(in.Service).addKnownInstance(in)
	}
	for _, j := range sess.State.activeJobs() {
		sess.shardLocked(j.Service).addJob(j, wall.Sub(j.Accepted), true)
	}
}

// shardLocked returns the shard of a service, with f.mu held.
func (sess *ownerSession) shardLocked(service galenahead.ServiceName) *shard {
	if sh, ok := sess.shards[service]; ok {
		return sh
	}
	sh := newShard(sess, service)
	sess.shards[service] = sh
	if c := sess.State.Config(); c != nil {
		for i := range c.Queues {
			sh.scheduler.SetQueue(c.Queues[i].schedulerQueue())
		}
	}
	sess.spawn(func() error { return sh.loop(sess.ctx) })
	return sh
}

// shardFor returns the shard of a service.
func (sess *ownerSession) shardFor(service galenahead.ServiceName) *shard {
	sess.mu.Lock()
	defer sess.mu.Unlock()
	return sess.shardLocked(service)
}

// allShards returns the shards.
func (sess *ownerSession) allShards() []*shard {
	sess.mu.Lock()
	defer sess.mu.Unlock()
	out := make([]*shard, 0, len(sess.shards))
	for _, sh := range sess.shards {
		out = append(out, sh)
	}
	return out
}

// expireLoop forgets jobs that have been final for long.
func (sess *ownerSession) expireLoop() error {
	ticks := sess.Timers.Subscribe(sess.ctx, "expire", expireInterval)
	for {
		select {
		case <-sess.ctx.Done():
			return nil
		case <-ticks:
		}
		cutoff := time.Now().Round(0).Add(-sess.Keep)
		if _, err := sess.committer.commit(Op{Expire: &cutoff}); err != nil {
			return nil
		}
	}
}

// currentSession returns the present office. It fails with ErrNotLeader when there is
// none that may answer.
func (o *Owner) currentSession() (*ownerSession, error) {
	f := o.session.Load()
	if f == nil || !f.isLeader() {
		return nil, galenahead.ErrNotLeader
	}
	return f, nil
}

// isLeader tells whether f may answer from its state now.
func (f *ownerSession) isLeader() bool { return f.ctx.Err() == nil && f.Log.HoldsLease() }
