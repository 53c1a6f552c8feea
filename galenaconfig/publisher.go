package galenaconfig

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenarpc"
	"github.com/galenahead/galenahead/galenastate"
)

// maxPollWait bounds how long a request of an entry may wait for a change.
const maxPollWait = 30 * time.Second

// Source is the control state of one replica.
type Source interface {
	// Current returns a state that includes every change committed before the
	// call. It fails with ErrNotLeader unless this replica leads and its lease is
	// valid.
	Current(ctx context.Context) (*galenastate.View, error)
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// EntryRevision is the revision that an entry reported to the leader.
type EntryRevision struct {
	Entry    galenahead.EntryName
	Revision galenahead.Revision
	// LastRequest is when the entry's newest request arrived.
	LastRequest time.Time
}

// Publisher serves the configuration to the entries at the control leader.
type Publisher struct {
	source  Source
	timers  galenahead.Timers
	entries []galenahead.EntryName

	mu              sync.Mutex
	entryRevisions  map[galenahead.EntryName]EntryRevision
	requestReceived chan struct{}

	// encodeMu guards cachedDelta. It is held while a delta is encoded, so that
	// the requests for the same delta share one encoding and its memory.
	encodeMu    sync.Mutex
	cachedDelta encodedDelta
}

// encodedDelta is the JSON form of a delta. Its content depends only on since,
// full and revision, because each change that entries see has its own revision.
type encodedDelta struct {
	since, revision galenahead.Revision
	full            bool
	data            json.RawMessage
}

// encodedReply is a Reply with an encoded delta.
type encodedReply struct {
	Delta json.RawMessage `json:"delta"`
}

// NewPublisher returns a publisher for the configured entries.
func NewPublisher(source Source, timers galenahead.Timers, entries []galenahead.EntryName) *Publisher {
	return &Publisher{
		source: source, timers: timers, entries: entries,
		entryRevisions: make(map[galenahead.EntryName]EntryRevision), requestReceived: make(chan struct{}),
	}
}

// Register adds the long poll method to m.
func (p *Publisher) Register(m *galenarpc.Mux) {
	galenarpc.Handle(m, methodWait, p.handlePoll)
}

// handlePoll returns the changes since the revision of the request. If there are
// none, it first waits for a newer revision, for at most the time given in the
// request.
func (p *Publisher) handlePoll(ctx context.Context, req ConfigRequest) (encodedReply, error) {
	changed := p.source.Changed()
	v, err := p.source.Current(ctx)
	if err != nil {
		return encodedReply{}, err
	}
	p.recordRequest(req)
	timeout := p.timers.After(ctx, min(time.Duration(req.WaitMS)*time.Millisecond, maxPollWait))
	for v.Revision() == req.Revision && !req.Full {
		select {
		case <-ctx.Done():
			return encodedReply{}, ctx.Err()
		case <-timeout:
			return p.encodeReply(ctx, req)
		case <-changed:
		}
		changed = p.source.Changed()
		if v, err = p.source.Current(ctx); err != nil {
			return encodedReply{}, err
		}
	}
	return p.encodeReply(ctx, req)
}

// encodeReply reads the state again, because the reply confirms that no newer
// revision exists when it is sent.
func (p *Publisher) encodeReply(ctx context.Context, req ConfigRequest) (encodedReply, error) {
	v, err := p.source.Current(ctx)
	if err != nil {
		return encodedReply{}, err
	}
	data, err := p.encodeDelta(v, req)
	return encodedReply{Delta: data}, err
}

// encodeDelta returns the JSON form of the requested delta. It caches the last
// one, which serves most requests because most entries are at the same revision.
func (p *Publisher) encodeDelta(v *galenastate.View, req ConfigRequest) (json.RawMessage, error) {
	p.encodeMu.Lock()
	defer p.encodeMu.Unlock()
	isLatest := p.cachedDelta.data != nil && p.cachedDelta.revision == v.Revision()
	if isLatest && !p.cachedDelta.full && !req.Full && p.cachedDelta.since == req.Revision {
		return p.cachedDelta.data, nil
	}
	d, ok := galenastate.Delta{}, false
	if !req.Full {
		d, ok = v.Since(req.Revision)
	}
	if !ok {
		if isLatest && p.cachedDelta.full {
			return p.cachedDelta.data, nil
		}
		d = v.Full()
	}
	data, err := json.Marshal(d)
	if err != nil {
		return nil, eris.Wrap(err, "encode the configuration")
	}
	p.cachedDelta = encodedDelta{since: req.Revision, revision: v.Revision(), full: d.Full, data: data}
	return data, nil
}

// recordRequest records the revision that a configured entry has applied and wakes waiters.
func (p *Publisher) recordRequest(req ConfigRequest) {
	if !slices.Contains(p.entries, req.Entry) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	e := EntryRevision{Entry: req.Entry, Revision: req.Revision, LastRequest: p.timers.Now()}
	if req.Full {
		e.Revision = 0
	}
	p.entryRevisions[req.Entry] = e
	close(p.requestReceived)
	p.requestReceived = make(chan struct{})
}

// EntryRevisions returns the reported revisions in the order of the configured
// entries. LastRequest is zero for an entry that sent no request.
func (p *Publisher) EntryRevisions() []EntryRevision {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]EntryRevision, 0, len(p.entries))
	for _, name := range p.entries {
		e := p.entryRevisions[name]
		e.Entry = name
		list = append(list, e)
	}
	return list
}

// MajorityLive reports whether a majority of the configured entries sent a
// request within ConfirmationTTL. Without such a majority a change would not be
// accepted.
func (p *Publisher) MajorityLive() bool {
	now := p.timers.Now()
	return p.majorityMatches(func(e EntryRevision) bool {
		return !e.LastRequest.IsZero() && now.Sub(e.LastRequest) <= ConfirmationTTL
	})
}

// majorityMatches reports whether matches is true for a majority of entries.
func (p *Publisher) majorityMatches(matches func(EntryRevision) bool) bool {
	n := 0
	for _, e := range p.EntryRevisions() {
		if matches(e) {
			n++
		}
	}
	return 2*n > len(p.entries)
}

// WaitAccepted waits until a majority of entries has applied the revision. Only
// then is a change accepted: an entry that loses contact with the control leader
// serves only while a majority of entries is live, and fetches the revision from
// one of them. WaitAccepted fails with the context's error.
func (p *Publisher) WaitAccepted(ctx context.Context, rev galenahead.Revision) error {
	return p.waitUntil(ctx, nil, func() bool {
		return p.majorityMatches(func(e EntryRevision) bool { return e.Revision >= rev })
	})
}

// WaitInForce waits until the revision accepted at the given time is in force:
// each entry has acknowledged it, or ConfirmationTTL has passed, after which no
// entry can serve with a confirmation of an older revision. WaitInForce fails with
// the context's error.
func (p *Publisher) WaitInForce(ctx context.Context, rev galenahead.Revision, accepted time.Time) error {
	expired := p.timers.After(ctx, accepted.Add(ConfirmationTTL).Sub(p.timers.Now()))
	return p.waitUntil(ctx, expired, func() bool { return p.allAcknowledged(rev) })
}

// waitUntil checks condition now and after each request of an entry, and returns
// once it is true or expired receives.
func (p *Publisher) waitUntil(ctx context.Context, expired <-chan time.Time, condition func() bool) error {
	for {
		p.mu.Lock()
		requestReceived := p.requestReceived
		p.mu.Unlock()
		if condition() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-expired:
			return nil
		case <-requestReceived:
		}
	}
}

func (p *Publisher) allAcknowledged(rev galenahead.Revision) bool {
	for _, e := range p.EntryRevisions() {
		if e.Revision < rev {
			return false
		}
	}
	return true
}
