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

	current atomic.Pointer[office]
}

const (
	// officeTick is how often the owner checks whether it leads.
	officeTick = 20 * time.Millisecond
	// takeTimeout bounds the attempt to take office.
	takeTimeout = 3 * time.Second
	// expireInterval is how often final jobs are forgotten.
	expireInterval = 5 * time.Second
)

// Run takes office whenever this replica leads, until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	ticks := o.Timers.Subscribe(ctx, "owner", officeTick)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
		}
		if !o.Log.HoldsLease() {
			continue
		}
		if err := o.serve(ctx); err != nil {
			o.Logger.WithError(err).Warn("office ended")
		}
	}
}

// serve is one office.
func (o *Owner) serve(ctx context.Context) error {
	f, err := o.take(ctx)
	if err != nil {
		return err
	}
	o.current.Store(f)
	o.Logger.WithFields(logrus.Fields{"epoch": f.epoch, "owner": o.Name}).Info("took office")
	err = f.run()
	o.current.Store(nil)
	o.Logger.WithFields(logrus.Fields{"epoch": f.epoch, "owner": o.Name}).Info("left office")
	return err
}

// take makes this replica the owner in the replicated state.
func (o *Owner) take(ctx context.Context) (*office, error) {
	call, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	if err := o.Log.ReadBarrier(call); err != nil {
		return nil, err
	}
	officeCtx, resign := context.WithCancelCause(ctx)
	f := &office{Owner: o, ctx: officeCtx, resign: resign, shards: map[galenahead.ServiceName]*shard{}}
	f.commits = newCommitter(o.Log, officeCtx.Done(), resign)
	f.spawn(func() error { return f.commits.loop(officeCtx) })
	r, err := f.commits.commit(Op{Office: &OfficeOp{o.Name}})
	if err != nil {
		resign(err)
		f.wait()
		return nil, err
	}
	f.epoch = r[0].Epoch
	f.began = o.Timers.Now()
	f.load()
	return f, nil
}

// office is the time during which this replica owns the fleet.
type office struct {
	*Owner
	epoch   uint64
	began   time.Time
	ctx     context.Context
	resign  context.CancelCauseFunc
	commits *committer

	spawnMu sync.Mutex
	group   errgroup.Group
	// closed tells that run waits for the group, which must not grow any more.
	closed bool

	mu     sync.Mutex
	shards map[galenahead.ServiceName]*shard
	beats  map[galenahead.InstanceID]lastBeat

	// machines is the machinist's last reading, for operators.
	machines atomic.Pointer[machineReading]
}

var errLeaseLost = eris.New("lease of the log's leader is lost")

// run serves until the lease is lost, a commit fails or ctx ends.
func (f *office) run() error {
	ticks := f.Timers.Subscribe(f.ctx, "office", officeTick)
	f.spawn(func() error { return f.expireLoop() })
	f.spawn(func() error { return newMachinist(f).loop() })
	for {
		select {
		case <-f.ctx.Done():
			f.wait()
			return context.Cause(f.ctx)
		case <-ticks:
			if !f.Log.HoldsLease() {
				f.resign(errLeaseLost)
			}
		}
	}
}

// spawn runs fn beside the office, unless that has ended.
func (f *office) spawn(fn func() error) {
	f.spawnMu.Lock()
	defer f.spawnMu.Unlock()
	if !f.closed {
		f.group.Go(fn)
	}
}

// wait ends with everything that spawn began.
func (f *office) wait() {
	f.spawnMu.Lock()
	f.closed = true
	f.spawnMu.Unlock()
	// The functions return no errors; what fails ends the office by its context.
	_ = f.group.Wait()
}

// load builds the schedulers from the replicated state.
func (f *office) load() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.beats = map[galenahead.InstanceID]lastBeat{}
	wall := time.Now().Round(0)
	for _, in := range f.State.known() {
		f.shard(in.Service).addKnown(in)
	}
	for _, j := range f.State.active() {
		f.shard(j.Service).add(j, wall.Sub(j.Accepted), true)
	}
}

// shard returns the shard of a service, with f.mu held.
func (f *office) shard(service galenahead.ServiceName) *shard {
	if sh, ok := f.shards[service]; ok {
		return sh
	}
	sh := newShard(f, service)
	f.shards[service] = sh
	if c := f.State.Config(); c != nil {
		for i := range c.Queues {
			sh.sched.SetQueue(c.Queues[i].queue())
		}
	}
	f.spawn(func() error { return sh.loop(f.ctx) })
	return sh
}

// of returns the shard of a service.
func (f *office) of(service galenahead.ServiceName) *shard {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.shard(service)
}

// all returns the shards.
func (f *office) all() []*shard {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]*shard, 0, len(f.shards))
	for _, sh := range f.shards {
		out = append(out, sh)
	}
	return out
}

// expireLoop forgets jobs that have been final for long.
func (f *office) expireLoop() error {
	ticks := f.Timers.Subscribe(f.ctx, "expire", expireInterval)
	for {
		select {
		case <-f.ctx.Done():
			return nil
		case <-ticks:
		}
		before := time.Now().Round(0).Add(-f.Keep)
		if _, err := f.commits.commit(Op{Expire: &before}); err != nil {
			return nil
		}
	}
}

// inOffice returns the present office. It fails with ErrNotLeader when there is
// none that may answer.
func (o *Owner) inOffice() (*office, error) {
	f := o.current.Load()
	if f == nil || !f.leads() {
		return nil, galenahead.ErrNotLeader
	}
	return f, nil
}

// leads tells whether f may answer from its state now.
func (f *office) leads() bool { return f.ctx.Err() == nil && f.Log.HoldsLease() }
