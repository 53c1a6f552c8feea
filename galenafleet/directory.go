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

// MethodWhere is the method by which daemons ask each other for the members
// and the leader of the log.
const MethodWhere = "directory.where"

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

	mu     sync.Mutex
	seeds  []string
	known  map[string]time.Time
	leader string
	term   uint64
	// doubted is when the leader last failed to answer.
	doubted bool
	wake    chan struct{}
	answers map[string]Whereabouts
	// confirmed is when a daemon last named the leader.
	confirmed time.Time
}

const (
	// searchInterval is how often the daemons are asked while the leader is
	// doubted, idleInterval otherwise.
	searchInterval = 100 * time.Millisecond
	idleInterval   = time.Second
	// whereTimeout bounds one question.
	whereTimeout = 500 * time.Millisecond
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
	if d.known == nil {
		d.known = map[string]time.Time{}
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

// Confirmed returns when a daemon last named the leader.
func (d *Directory) Confirmed() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.confirmed
}

// Doubt reports that the leader at address failed to answer as such.
func (d *Directory) Doubt(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.init()
	if d.leader == address {
		d.leader = ""
	}
	d.doubted = true
	poke(d.wake)
}

// Answers returns the last answers by address.
func (d *Directory) Answers() map[string]Whereabouts {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]Whereabouts, len(d.answers))
	for a, w := range d.answers {
		out[a] = w
	}
	return out
}

// Run keeps looking for the leader until ctx ends.
func (d *Directory) Run(ctx context.Context) error {
	d.mu.Lock()
	d.init()
	d.mu.Unlock()
	for {
		pause := idleInterval
		if !d.search(ctx) {
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

// search asks the daemons that are known and tells whether a leader is known.
func (d *Directory) search(ctx context.Context) bool {
	var group errgroup.Group
	for _, a := range d.targets() {
		group.Go(func() error { d.ask(ctx, a); return nil })
	}
	_ = group.Wait()
	_, ok := d.Leader()
	return ok
}

// targets returns the addresses to ask: only the leader while all is well.
func (d *Directory) targets() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader != "" && !d.doubted {
		return []string{d.leader}
	}
	d.doubted = false
	out := slices.Clone(d.seeds)
	now := d.Timers.Now()
	for a, at := range d.known {
		if now.Sub(at) > forgetAfter {
			delete(d.known, a)
			delete(d.answers, a)
			continue
		}
		if !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

func (d *Directory) ask(ctx context.Context, address string) {
	call, cancel := context.WithTimeout(ctx, whereTimeout)
	defer cancel()
	var w Whereabouts
	err := d.Caller.Call(call, address, MethodWhere, d.self(), &w)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		delete(d.answers, address)
		if d.leader == address {
			d.leader, d.doubted = "", true
		}
		return
	}
	now := d.Timers.Now()
	d.answers[address] = w
	d.known[address] = now
	for _, m := range w.Members {
		if _, ok := d.known[m.Address]; !ok {
			d.known[m.Address] = now
		}
	}
	if w.Leader == "" {
		if d.leader == address {
			d.leader, d.doubted = "", true
		}
		return
	}
	if w.Term >= d.term || d.leader == "" {
		if d.leader != w.Leader {
			d.Logger.WithField("leader", w.Leader).WithField("term", w.Term).Info("leader of the log")
		}
		d.leader, d.term, d.confirmed = w.Leader, w.Term, now
	}
}

func (d *Directory) self() Whereabouts {
	if d.Self == nil {
		return Whereabouts{}
	}
	return d.Self()
}

// Register adds the method that answers other daemons. A replica that asks is
// noted, so that the leader learns of those that are not members yet.
func (d *Directory) Register(mux *galenarpc.Mux) {
	galenarpc.Handle(mux, MethodWhere, func(_ context.Context, w Whereabouts) (Whereabouts, error) {
		if w.Self.Address != "" {
			d.mu.Lock()
			d.init()
			d.answers[w.Self.Address] = w
			d.known[w.Self.Address] = d.Timers.Now()
			d.mu.Unlock()
		}
		return d.self(), nil
	})
}

// heard returns when a daemon last answered or asked.
func (d *Directory) heard(address string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.answers[address]; !ok {
		return time.Time{}
	}
	return d.known[address]
}
