package galenaconfig

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenarpc"
	"github.com/galenahead/galenahead/galenastate"
)

// Source is the control state of one replica.
type Source interface {
	// Current returns the state as of the call. It fails with ErrNotLeader
	// unless this replica leads and its lease holds.
	Current(ctx context.Context) (*galenastate.View, error)
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// Holding is what the leader knows of one entry's configuration.
type Holding struct {
	Entry    galenahead.EntryName
	Revision galenahead.Revision
	// Heard is when the entry's newest question came.
	Heard time.Time
}

// Publisher answers the entries' questions at the control leader.
type Publisher struct {
	source  Source
	timers  galenahead.Timers
	entries []galenahead.EntryName

	mu       sync.Mutex
	holdings map[galenahead.EntryName]Holding
	heard    chan struct{}

	// encoding guards latest. It is held while a delta is encoded, so that the
	// entries that ask for the same one share the work and its memory.
	encoding sync.Mutex
	latest   encodedDelta
}

// encodedDelta is the JSON form of a delta. Its content depends only on from,
// full and revision, since each change that entries see takes a new revision.
type encodedDelta struct {
	from, revision galenahead.Revision
	full           bool
	data           json.RawMessage
}

// encodedReply is a Reply whose delta is encoded already.
type encodedReply struct {
	Delta json.RawMessage `json:"delta"`
}

// NewPublisher returns a publisher for the configured entries.
func NewPublisher(source Source, timers galenahead.Timers, entries []galenahead.EntryName) *Publisher {
	return &Publisher{
		source: source, timers: timers, entries: entries,
		holdings: make(map[galenahead.EntryName]Holding), heard: make(chan struct{}),
	}
}

// Register adds the publisher's method to m.
func (p *Publisher) Register(m *galenarpc.Mux) {
	galenarpc.Handle(m, methodWait, p.wait)
}

func (p *Publisher) wait(ctx context.Context, q Question) (encodedReply, error) {
	changed := p.source.Changed()
	v, err := p.source.Current(ctx)
	if err != nil {
		return encodedReply{}, err
	}
	p.hear(q)
	limit := p.timers.After(ctx, time.Duration(q.WaitMS)*time.Millisecond)
	for v.Revision() == q.Held && !q.Whole {
		select {
		case <-ctx.Done():
			return encodedReply{}, ctx.Err()
		case <-limit:
			return p.reply(ctx, q)
		case <-changed:
		}
		changed = p.source.Changed()
		if v, err = p.source.Current(ctx); err != nil {
			return encodedReply{}, err
		}
	}
	return p.reply(ctx, q)
}

// reply reads the state anew, since the reply confirms that nothing newer
// exists when it is sent.
func (p *Publisher) reply(ctx context.Context, q Question) (encodedReply, error) {
	v, err := p.source.Current(ctx)
	if err != nil {
		return encodedReply{}, err
	}
	data, err := p.encode(v, q)
	return encodedReply{Delta: data}, err
}

// encode returns the JSON form of what the question asks for. Most entries hold
// the same revision, so that the latest one is mostly the right one.
func (p *Publisher) encode(v *galenastate.View, q Question) (json.RawMessage, error) {
	p.encoding.Lock()
	defer p.encoding.Unlock()
	known := p.latest.data != nil && p.latest.revision == v.Revision()
	if known && !p.latest.full && !q.Whole && p.latest.from == q.Held {
		return p.latest.data, nil
	}
	d, ok := galenastate.Delta{}, false
	if !q.Whole {
		d, ok = v.Since(q.Held)
	}
	if !ok {
		if known && p.latest.full {
			return p.latest.data, nil
		}
		d = v.Full()
	}
	data, err := json.Marshal(d)
	if err != nil {
		return nil, eris.Wrap(err, "encode the configuration")
	}
	p.latest = encodedDelta{from: q.Held, revision: v.Revision(), full: d.Full, data: data}
	return data, nil
}

// hear records what an entry holds.
func (p *Publisher) hear(q Question) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := Holding{Entry: q.Entry, Revision: q.Held, Heard: p.timers.Now()}
	if q.Whole {
		h.Revision = 0
	}
	p.holdings[q.Entry] = h
	close(p.heard)
	p.heard = make(chan struct{})
}

// Holdings returns what is known of every configured entry, in their order. An
// entry that was never heard of has a zero time.
func (p *Publisher) Holdings() []Holding {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]Holding, 0, len(p.entries))
	for _, name := range p.entries {
		h := p.holdings[name]
		h.Entry = name
		list = append(list, h)
	}
	return list
}

// MajorityLive tells whether a majority of the configured entries asked within
// the lifetime of a confirmation. Without it a change would not be accepted.
func (p *Publisher) MajorityLive() bool {
	now := p.timers.Now()
	return p.majority(func(h Holding) bool {
		return !h.Heard.IsZero() && now.Sub(h.Heard) <= ConfirmationTTL
	})
}

func (p *Publisher) majority(has func(Holding) bool) bool {
	n := 0
	for _, h := range p.Holdings() {
		if has(h) {
			n++
		}
	}
	return 2*n > len(p.entries)
}

// WaitAccepted waits until a majority of entries holds the revision. Only then
// is a change accepted: an entry that loses the control leader goes on serving
// only with a majority of entries in sight, and learns the revision from one
// of them. It fails with the context's error.
func (p *Publisher) WaitAccepted(ctx context.Context, rev galenahead.Revision) error {
	return p.await(ctx, nil, func() bool {
		return p.majority(func(h Holding) bool { return h.Revision >= rev })
	})
}

// WaitInForce waits until the revision accepted at the given time is in force:
// every entry acknowledged it, or cannot hold a confirmation of an older one
// any more. It fails with the context's error.
func (p *Publisher) WaitInForce(ctx context.Context, rev galenahead.Revision, accepted time.Time) error {
	expired := p.timers.After(ctx, accepted.Add(ConfirmationTTL).Sub(p.timers.Now()))
	return p.await(ctx, expired, func() bool { return p.acknowledged(rev) })
}

// await waits until done holds, after each question of an entry, or until
// expired receives.
func (p *Publisher) await(ctx context.Context, expired <-chan time.Time, done func() bool) error {
	for {
		p.mu.Lock()
		heard := p.heard
		p.mu.Unlock()
		if done() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-expired:
			return nil
		case <-heard:
		}
	}
}

func (p *Publisher) acknowledged(rev galenahead.Revision) bool {
	for _, h := range p.Holdings() {
		if h.Revision < rev {
			return false
		}
	}
	return true
}
