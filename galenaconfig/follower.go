package galenaconfig

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenapeer"
	"github.com/galenahead/galenahead/galenarpc"
	"github.com/galenahead/galenahead/galenastate"
)

// Peers is what the follower needs of the peer table.
type Peers interface {
	// Confirm records a confirmation of revision, asked for at asked.
	Confirm(asked time.Time, revision galenahead.Revision)
	// RecordRevision records that revision is in force here.
	RecordRevision(revision galenahead.Revision)
	// Serving decides whether this entry may serve.
	Serving() galenapeer.Serving
}

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Self galenahead.EntryName
	// Control lists the addresses of the control daemons.
	Control []string
	// Entries maps the other entries to their addresses.
	Entries map[galenahead.EntryName]string
	Caller  galenahead.Caller
	Timers  galenahead.Timers
	Peers   Peers
	// Applied is called with each new configuration before it is acknowledged.
	Applied func(galenastate.Config)
}

// Follower keeps the configuration of one entry. The held revision never goes
// back: an older or crossed answer is ignored.
type Follower struct {
	cfg     FollowerConfig
	current atomic.Pointer[galenastate.Config]
	// mu orders changes of current and calls of Applied.
	mu sync.Mutex
}

// NewFollower returns a follower that holds nothing until Run.
func NewFollower(cfg FollowerConfig) *Follower {
	f := &Follower{cfg: cfg}
	f.current.Store(&galenastate.Config{})
	return f
}

// Config returns the configuration in force here. It must not be changed.
func (f *Follower) Config() *galenastate.Config { return f.current.Load() }

// Register adds the method by which other entries fetch the configuration.
func (f *Follower) Register(m *galenarpc.Mux) {
	galenarpc.Handle(m, methodFetch, func(context.Context, Question) (Reply, error) {
		return Reply{Delta: whole(f.Config())}, nil
	})
}

// Run asks the control daemons in turn, and stays with the one that leads,
// until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	go f.loopPeers(ctx)
	leader := 0
	for ctx.Err() == nil {
		if f.ask(ctx, f.cfg.Control[leader]) {
			continue
		}
		leader = (leader + 1) % len(f.cfg.Control)
		select {
		case <-ctx.Done():
		case <-f.cfg.Timers.After(ctx, retryDelay):
		}
	}
	return nil
}

// ask asks one control daemon for news and reports whether it answered as the
// leader.
func (f *Follower) ask(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	held := f.Config().Revision
	q := Question{Entry: f.cfg.Self, Held: held, Whole: held == 0, WaitMS: pollTime.Milliseconds()}
	asked := f.cfg.Timers.Now()
	var r Reply
	if err := f.cfg.Caller.Call(ctx, addr, methodWait, q, &r); err != nil {
		return false
	}
	rev, ok := f.apply(r.Delta)
	if ok {
		f.cfg.Peers.Confirm(asked, rev)
	}
	return ok
}

// apply puts a newer configuration in force. It reports whether the delta
// states that the revision held afterwards is the latest.
func (f *Follower) apply(d galenastate.Delta) (galenahead.Revision, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	cur := f.Config()
	if d.Revision == cur.Revision {
		return cur.Revision, true
	}
	next, ok := cur.With(d)
	if !ok {
		return cur.Revision, false
	}
	f.cfg.Applied(next)
	f.current.Store(&next)
	f.cfg.Peers.RecordRevision(next.Revision)
	return next.Revision, true
}

// loopPeers fetches a newer revision from a peer while the control leader does
// not answer this entry.
func (f *Follower) loopPeers(ctx context.Context) {
	ticks := f.cfg.Timers.Subscribe(ctx, "config.peers", retryDelay)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		s := f.cfg.Peers.Serving()
		if s.NewerRevision > f.Config().Revision {
			f.fetch(ctx, f.cfg.Entries[s.Peer])
		}
	}
}

func (f *Follower) fetch(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var r Reply
	if err := f.cfg.Caller.Call(ctx, addr, methodFetch, Question{Entry: f.cfg.Self}, &r); err != nil {
		return
	}
	f.apply(r.Delta)
}

// whole returns a configuration as a delta.
func whole(c *galenastate.Config) galenastate.Delta {
	d := galenastate.Delta{Revision: c.Revision, Full: true}
	for _, p := range c.Pools {
		d.Pools = append(d.Pools, p)
	}
	for _, v := range c.VMs {
		d.VMs = append(d.VMs, v)
	}
	for _, s := range c.Services {
		d.Services = append(d.Services, s)
	}
	for k, v := range c.Settings {
		d.Settings = append(d.Settings, galenastate.Setting{Key: k, Value: v})
	}
	return d
}
