package galenafleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenarpc"
)

// MethodLeaderInfo is the method by which daemons ask each other for the members
// and the leader of the log.
const MethodLeaderInfo = "directory.where"

// Whereabouts is what a control daemon knows of the log.
type Whereabouts struct {
	// Self is the replica that answers.
	Self galenahead.Member `json:"self"`
	// Blank replicas hold no state.
	Blank bool `json:"blank"`
	// Leader is the address of the leader, or empty.
	Leader  string              `json:"leader"`
	Term    uint64              `json:"term"`
	Members []galenahead.Member `json:"members"`
}

// Directory finds the leader of the log, starting from a few seeds.
type Directory struct {
	Caller galenahead.Caller
	Timers galenahead.Timers
	Logger *logrus.Logger
	// Self describes this replica to those that it asks; nil for a daemon that
	// holds none.
	Self func() Whereabouts

	mu        sync.Mutex
	seeds     []string
	lastHeard map[string]time.Time
	leader    string
	term      uint64
	// leaderSuspected is when the leader last failed to answer.
	leaderSuspected bool
	wake            chan struct{}
	answers         map[string]Whereabouts
	// confirmedAt is when a daemon last named the leader.
	confirmedAt time.Time
}

const (
	// searchInterval is how often the daemons are asked while the leader is
	// doubted, refreshInterval otherwise.
	searchInterval  = 100 * time.Millisecond
	refreshInterval = time.Second
	// queryTimeout bounds one question.
	queryTimeout = 500 * time.Millisecond
	// forgetAfter drops daemons that have not answered for that long and are
	// neither seeds nor members.
	forgetAfter = time.Minute
)

// SetSeeds replaces the addresses to begin with.
func (d *Directory) SetSeeds(addresses []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.init()
	d.seeds = slices.Clone(addresses)
}

func (d *Directory) init() {
	if d.lastHeard == nil {
		d.lastHeard = map[string]time.Time{}
		d.answers = map[string]Whereabouts{}
		d.wake = make(chan struct{}, 1)
	}
}

// Leader returns the address of the leader, if one is known.
func (d *Directory) Leader() (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leader, d.leader != ""
}

// LeaderConfirmedAt returns when a daemon last named the leader.
func (d *Directory) LeaderConfirmedAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.confirmedAt
}

// ReportFailure reports that the leader at address failed to answer as such.
func (d *Directory) ReportFailure(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.init()
	if d.leader == address {
		d.leader = ""
	}
	d.leaderSuspected = true
	notify(d.wake)
}

// Answers returns the last answers by address.
func (d *Directory) Answers() map[string]Whereabouts {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]Whereabouts, len(d.answers))
	for a, info := range d.answers {
		out[a] = info
	}
	return out
}

// Run keeps looking for the leader until ctx ends.
func (d *Directory) Run(ctx context.Context) error {
	d.mu.Lock()
	d.init()
	d.mu.Unlock()
	for {
		pause := refreshInterval
		if !d.queryAll(ctx) {
			pause = searchInterval
		}
		select {
		case <-ctx.Done():
			return nil
		case <-d.Timers.After(ctx, pause):
		case <-d.wake:
			select {
			case <-ctx.Done():
				return nil
			case <-d.Timers.After(ctx, searchInterval/3):
			}
		}
	}
}

// queryAll asks the daemons that are known and tells whether a leader is known.
func (d *Directory) queryAll(ctx context.Context) bool {
	var group errgroup.Group
	for _, a := range d.queryTargets() {
		group.Go(func() error { d.query(ctx, a); return nil })
	}
	_ = group.Wait()
	_, ok := d.Leader()
	return ok
}

// queryTargets returns the addresses to ask: only the leader while all is well.
func (d *Directory) queryTargets() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader != "" && !d.leaderSuspected {
		return []string{d.leader}
	}
	d.leaderSuspected = false
	out := slices.Clone(d.seeds)
	now := d.Timers.Now()
	for a, at := range d.lastHeard {
		if now.Sub(at) > forgetAfter {
			delete(d.lastHeard, a)
			delete(d.answers, a)
			continue
		}
		if !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

func (d *Directory) query(ctx context.Context, address string) {
	call, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var info Whereabouts
	err := d.Caller.Call(call, address, MethodLeaderInfo, d.selfInfo(), &info)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		delete(d.answers, address)
		if d.leader == address {
			d.leader, d.leaderSuspected = "", true
		}
		return
	}
	now := d.Timers.Now()
	d.answers[address] = info
	d.lastHeard[address] = now
	for _, m := range info.Members {
		if _, ok := d.lastHeard[m.Address]; !ok {
			d.lastHeard[m.Address] = now
		}
	}
	if info.Leader == "" {
		if d.leader == address {
			d.leader, d.leaderSuspected = "", true
		}
		return
	}
	if info.Term >= d.term || d.leader == "" {
		if d.leader != info.Leader {
			d.Logger.WithField("leader", info.Leader).WithField("term", info.Term).Info("leader of the log")
		}
		d.leader, d.term, d.confirmedAt = info.Leader, info.Term, now
	}
}

func (d *Directory) selfInfo() Whereabouts {
	if d.Self == nil {
		return Whereabouts{}
	}
	return d.Self()
}

// Register adds the method that answers other daemons. A replica that asks is
// noted, so that the leader learns of those that are not members yet.
func (d *Directory) Register(mux *galenarpc.Mux) {
	galenarpc.Handle(mux, MethodLeaderInfo, func(_ context.Context, info Whereabouts) (Whereabouts, error) {
		if info.Self.Address != "" {
			d.mu.Lock()
			d.init()
			d.answers[info.Self.Address] = info
			d.lastHeard[info.Self.Address] = d.Timers.Now()
			d.mu.Unlock()
		}
		return d.selfInfo(), nil
	})
}

// lastHeardFrom returns when a daemon last answered or asked.
func (d *Directory) lastHeardFrom(address string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.answers[address]; !ok {
		return time.Time{}
	}
	return d.lastHeard[address]
}
