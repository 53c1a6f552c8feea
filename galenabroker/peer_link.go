package galenabroker

import (
	"context"
	"slices"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenapeer"
)

// peerLink sends messages to one entry, which may be this one.
type peerLink struct {
	service  *Service
	peer     galenapeer.Entry
	syncWake chan struct{}
	pushWake chan struct{}
}

func (l *peerLink) signalSync() {
	select {
	case l.syncWake <- struct{}{}:
	default:
	}
}

func (l *peerLink) signalPush() {
	select {
	case l.pushWake <- struct{}{}:
	default:
	}
}

// syncLoop sends the sync messages that are due to the peer for the services that
// it brokers.
func (l *peerLink) syncLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.syncWake:
		}
		l.sync(ctx)
		select {
		case <-ctx.Done():
			return
		case <-l.service.cfg.Timers.After(ctx, minSyncGap):
		}
	}
}

// pushLoop sends changed grants and limits to the peer.
func (l *peerLink) pushLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.pushWake:
		}
		l.sendGrants(ctx)
	}
}

func (l *peerLink) sync(ctx context.Context) {
	s := l.service
	now := s.clock.Now()
	uptime := min(now.Mono, maxReportedUptime)
	q := SyncRequest{From: s.cfg.Self, UptimeMS: uptime.Milliseconds()}
	for _, st := range s.allStates() {
		st.mu.Lock()
		broker, _ := st.holder.Broker()
		if broker == l.peer.Name && st.holder.Due(now) {
			q.Items = append(q.Items, st.holder.Sync(now))
		}
		st.mu.Unlock()
	}
	if len(q.Items) == 0 {
		return
	}
	r, err := l.callSync(ctx, q)
	if err != nil {
		return
	}
	s.applyGrants(r.Items)
	s.restartSessions(r.ClosedSessions)
}

func (l *peerLink) callSync(ctx context.Context, q SyncRequest) (SyncReply, error) {
	s := l.service
	if l.peer.Name == s.cfg.Self {
		return s.serveSync(q), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var r SyncReply
	err := s.cfg.RPCClient.Call(ctx, l.peer.Address, methodSync, q, &r)
	return r, err
}

// sendGrants sends the current grants and limits of each service that changed.
// Losing the message does no harm, since the reply to the peer's next sync message
// has the same content.
func (l *peerLink) sendGrants(ctx context.Context) {
	s := l.service
	now := s.clock.Now()
	var m GrantMessage
	for _, st := range s.allStates() {
		st.mu.Lock()
		if g, ok := st.pendingGrants(now, l.peer.Name); ok {
			m.Items = append(m.Items, g)
		}
		st.mu.Unlock()
	}
	if len(m.Items) == 0 {
		return
	}
	if l.peer.Name == s.cfg.Self {
		s.applyGrants(m.Items)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_ = s.cfg.RPCClient.Call(ctx, l.peer.Address, methodGrant, m, nil)
}

// restartSessions starts new sessions in place of those with the given IDs.
func (s *Service) restartSessions(sessionIDs []uint32) {
	if len(sessionIDs) == 0 {
		return
	}
	now := s.clock.Now()
	for _, st := range s.allStates() {
		st.mu.Lock()
		if slices.Contains(sessionIDs, st.holder.sessionID) {
			st.holder.RestartSession(now, uint32(s.cfg.Random()))
		}
		st.mu.Unlock()
	}
}

// leaseCall sends lease items to one entry and counts its votes.
type leaseCall struct {
	link    *peerLink
	request LeaseRequest
	sent    galenapeer.Instant
}

func (c *leaseCall) run(ctx context.Context) {
	s := c.link.service
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var r LeaseReply
	err := s.cfg.RPCClient.Call(ctx, c.link.peer.Address, methodLease, c.request, &r)
	if err != nil {
		return
	}
	now := s.clock.Now()
	s.electorMu.Lock()
	s.elector.CountVotes(c.sent, now, r)
	s.electorMu.Unlock()
	s.updateAllocators(now)
}

// pendingGrants returns the entry's grants and limits if they changed since they
// were last sent. st.mu must be held.
func (st *serviceState) pendingGrants(now galenapeer.Instant, entry galenahead.EntryName) (GrantItem, bool) {
	a := st.currentAllocator(now)
	if a == nil {
		return GrantItem{}, false
	}
	if session := a.sessions[entry]; session == nil || !session.changed {
		return GrantItem{}, false
	}
	return a.GrantsFor(now, entry)
}
