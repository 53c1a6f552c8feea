package galenabroker

import (
	"context"
	"slices"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenapeer"
)

// link carries the messages to one entry, which may be the own one.
type link struct {
	service *Service
	peer    galenapeer.Entry
	wake    chan struct{}
	push    chan struct{}
}

func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *link) signalPush() {
	select {
	case l.push <- struct{}{}:
	default:
	}
}

// loop sends the slot messages that are due to this peer as the broker.
func (l *link) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		l.sync(ctx)
		select {
		case <-ctx.Done():
			return
		case <-l.service.cfg.Timers.After(ctx, syncGap):
		}
	}
}

// pushLoop sends changed grants and limits to this peer.
func (l *link) pushLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.push:
		}
		l.sendGrants(ctx)
	}
}

func (l *link) sync(ctx context.Context) {
	s := l.service
	now := s.clock.Now()
	uptime := min(now.Mono, longUptime)
	q := SyncRequest{From: s.cfg.Self, UptimeMS: uptime.Milliseconds()}
	for _, d := range s.allDesks() {
		d.mu.Lock()
		broker, _ := d.holdings.Broker()
		if broker == l.peer.Name && d.holdings.Due(now) {
			q.Items = append(q.Items, d.holdings.Sync(now))
		}
		d.mu.Unlock()
	}
	if len(q.Items) == 0 {
		return
	}
	r, err := l.callSync(ctx, q)
	if err != nil {
		return
	}
	s.accept(r.Items)
	s.rejoin(r.Retired)
}

func (l *link) callSync(ctx context.Context, q SyncRequest) (SyncReply, error) {
	s := l.service
	if l.peer.Name == s.cfg.Self {
		return s.serveSync(q), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var r SyncReply
	err := s.cfg.Caller.Call(ctx, l.peer.Address, methodSync, q, &r)
	return r, err
}

// sendGrants sends the present state. A lost message does no harm, since the
// reply to the entry's next message has the same content.
func (l *link) sendGrants(ctx context.Context) {
	s := l.service
	now := s.clock.Now()
	var m GrantMessage
	for _, d := range s.allDesks() {
		d.mu.Lock()
		if g, ok := d.pending(now, l.peer.Name); ok {
			m.Items = append(m.Items, g)
		}
		d.mu.Unlock()
	}
	if len(m.Items) == 0 {
		return
	}
	if l.peer.Name == s.cfg.Self {
		s.accept(m.Items)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_ = s.cfg.Caller.Call(ctx, l.peer.Address, methodGrant, m, nil)
}

// rejoin starts new accounts in place of those with the given lives.
func (s *Service) rejoin(lives []uint32) {
	if len(lives) == 0 {
		return
	}
	now := s.clock.Now()
	for _, d := range s.allDesks() {
		d.mu.Lock()
		if slices.Contains(lives, d.holdings.life) {
			d.holdings.Rejoin(now, uint32(s.cfg.Random()))
		}
		d.mu.Unlock()
	}
}

// leaseCall sends lease items to one entry and counts its votes.
type leaseCall struct {
	link    *link
	request LeaseRequest
	sent    galenapeer.Instant
}

func (c *leaseCall) run(ctx context.Context) {
	s := c.link.service
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var r LeaseReply
	err := s.cfg.Caller.Call(ctx, c.link.peer.Address, methodLease, c.request, &r)
	if err != nil {
		return
	}
	now := s.clock.Now()
	s.electorMu.Lock()
	s.elector.Count(c.sent, now, r)
	s.electorMu.Unlock()
	s.followTenures(now)
}

// pending returns the entry's item if it changed. The caller holds d.mu.
func (d *desk) pending(now galenapeer.Instant, entry galenahead.EntryName) (GrantItem, bool) {
	l := d.current(now)
	if l == nil {
		return GrantItem{}, false
	}
	if sess := l.sessions[entry]; sess == nil || !sess.changed {
		return GrantItem{}, false
	}
	return l.Item(now, entry)
}
