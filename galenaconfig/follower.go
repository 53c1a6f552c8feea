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

// Peers is the part of the peer table that a Follower uses.
type Peers interface {
	// Confirm records that the control leader confirmed revision as the latest in
	// its reply to a request that was sent at requestedAt.
	Confirm(requestedAt time.Time, revision galenahead.Revision)
	// RecordRevision records that this entry has applied revision.
	RecordRevision(revision galenahead.Revision)
	// Serving decides whether this entry may serve requests.
	Serving() galenapeer.ServingDecision
}

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Self galenahead.EntryName
	// Control lists the addresses of the control daemons.
	Control []string
	// Entries maps the other entries to their addresses.
	Entries   map[galenahead.EntryName]string
	RPCClient galenahead.RPCClient
	Timers    galenahead.Timers
	Peers     Peers
	// OnApply is called with each new configuration before the follower
	// acknowledges it.
	OnApply func(galenastate.Config)
}

// Follower keeps the configuration of one entry up to date. Its revision never
// decreases: a reply with an older revision, or with changes since another
// revision, is ignored.
type Follower struct {
	cfg     FollowerConfig
	current atomic.Pointer[galenastate.Config]
	// mu serializes changes of current and calls of OnApply.
	mu sync.Mutex
}

// NewFollower returns a follower with an empty configuration. Run updates it.
func NewFollower(cfg FollowerConfig) *Follower {
	f := &Follower{cfg: cfg}
	f.current.Store(&galenastate.Config{})
	return f
}

// Config returns the applied configuration. It must not be modified.
func (f *Follower) Config() *galenastate.Config { return f.current.Load() }

// Register adds to m the method with which other entries fetch the configuration.
func (f *Follower) Register(m *galenarpc.Mux) {
	galenarpc.Handle(m, methodFetch, func(context.Context, ConfigRequest) (ConfigReply, error) {
		return ConfigReply{Delta: fullDelta(f.Config())}, nil
	})
}

// Run polls the control daemons until ctx ends. It tries them in turn until one
// replies as the leader, and keeps polling that one until a poll fails.
func (f *Follower) Run(ctx context.Context) error {
	go f.runPeerFetches(ctx)
	target := 0
	for ctx.Err() == nil {
		if f.poll(ctx, f.cfg.Control[target]) {
			continue
		}
		target = (target + 1) % len(f.cfg.Control)
		select {
		case <-ctx.Done():
		case <-f.cfg.Timers.After(ctx, retryDelay):
		}
	}
	return nil
}

// poll sends one long poll to a control daemon and reports whether the daemon
// replied as the leader.
func (f *Follower) poll(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	applied := f.Config().Revision
	req := ConfigRequest{Entry: f.cfg.Self, Revision: applied, Full: applied == 0, WaitMS: longPollTimeout.Milliseconds()}
	requestedAt := f.cfg.Timers.Now()
	var reply ConfigReply
	if err := f.cfg.RPCClient.Call(ctx, addr, methodWait, req, &reply); err != nil {
		return false
	}
	revision, isLatest := f.apply(reply.Delta)
	if isLatest {
		f.cfg.Peers.Confirm(requestedAt, revision)
	}
	return isLatest
}

// apply applies a delta, unless it is older or starts after the applied revision,
// and returns the revision that is applied then. It reports whether that is the
// delta's revision, which a reply of the leader confirms as the latest.
func (f *Follower) apply(delta galenastate.Delta) (galenahead.Revision, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.Config()
	if delta.Revision == current.Revision {
		return current.Revision, true
	}
	next, ok := current.ApplyDelta(delta)
	if !ok {
		return current.Revision, false
	}
	f.cfg.OnApply(next)
	f.current.Store(&next)
	f.cfg.Peers.RecordRevision(next.Revision)
	return next.Revision, true
}

// runPeerFetches fetches newer revisions from peers until ctx ends. This covers
// the time in which the entry cannot reach the control leader.
func (f *Follower) runPeerFetches(ctx context.Context) {
	ticks := f.cfg.Timers.Subscribe(ctx, "config.peers", retryDelay)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		serving := f.cfg.Peers.Serving()
		if serving.NewerRevision > f.Config().Revision {
			f.fetchFromPeer(ctx, f.cfg.Entries[serving.Peer])
		}
	}
}

func (f *Follower) fetchFromPeer(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply ConfigReply
	if err := f.cfg.RPCClient.Call(ctx, addr, methodFetch, ConfigRequest{Entry: f.cfg.Self}, &reply); err != nil {
		return
	}
	f.apply(reply.Delta)
}

// fullDelta returns a configuration as a full delta.
func fullDelta(c *galenastate.Config) galenastate.Delta {
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
