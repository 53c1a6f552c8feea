package galenaraft

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/galenahead/galenahead"
)

// diagnosticsWindow is the shortest period that a recentMax covers.
const diagnosticsWindow = time.Second

// recentMax is the last duration of one kind of work, and the longest one in the
// current and the previous diagnosticsWindow.
type recentMax struct {
	last                       time.Duration
	windowStart                time.Duration
	currentWindow, priorWindow time.Duration
}

// roll starts a new window if the current one is over.
func (r *recentMax) roll(now time.Duration) {
	switch age := now - r.windowStart; {
	case age < diagnosticsWindow:
		return
	case age < 2*diagnosticsWindow:
		r.priorWindow = r.currentWindow
	default:
		r.priorWindow = 0
	}
	r.windowStart, r.currentWindow = now, 0
}

func (r *recentMax) record(now, d time.Duration) {
	r.roll(now)
	r.last = d
	r.currentWindow = max(r.currentWindow, d)
}

// maxOrLast returns the longest recent duration, or the last one if none is recent.
func (r *recentMax) maxOrLast(now time.Duration) time.Duration {
	if m := r.max(now); m > 0 {
		return m
	}
	return r.last
}

// max returns the longest recent duration.
func (r *recentMax) max(now time.Duration) time.Duration {
	r.roll(now)
	return max(r.currentWindow, r.priorWindow)
}

// diagnostics measures the work of Run for the log. Other goroutines may read it
// while Run is blocked. Its zero value is ready to use.
type diagnostics struct {
	mu sync.Mutex
	// loopGap is the time between two passes of Run over its inputs, and loopAt the
	// last pass.
	loopGap recentMax
	loopAt  time.Duration
	sync    recentMax
	// syncStart is when the write and sync in progress started, or zero.
	syncStart       time.Duration
	apply, snapshot recentMax
	proposals       int
	// calls are the answered calls, by the replica that was called.
	calls map[galenahead.ReplicaName]*voterCalls
	// voters are the other voters as the leader knew them last.
	voters []voterContact
}

// voterCall is the duration of an answered call, and of its handling by the receiver.
type voterCall struct{ took, handling time.Duration }

// voterCalls are the durations of the answered calls of one replica.
type voterCalls struct{ took, handling recentMax }

// voterContact is the state of the contact of a leader with another voter.
type voterContact struct {
	name galenahead.ReplicaName
	// responded is false if the voter has not responded in this term.
	responded bool
	// ackedSendTime is when the leader sent the latest request that the voter
	// responded to, and respondedAt when it handled the response.
	ackedSendTime, respondedAt time.Duration
}

// appendVoterContacts appends the other voters. This replica must be the leader.
func (c *core) appendVoterContacts(out []voterContact) []voterContact {
	for _, m := range c.members().members {
		if p := c.progress[idOf(m)]; p != nil && m.Voter {
			out = append(out, voterContact{m.Name, p.responded, p.ackedSendTime, p.respondedAt})
		}
	}
	return out
}

func (d *diagnostics) recordLoop(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.loopAt != 0 {
		d.loopGap.record(now, now-d.loopAt)
	}
	d.loopAt = now
}

func (d *diagnostics) beginSync(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncStart = now
}

func (d *diagnostics) endSync(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sync.record(now, now-d.syncStart)
	d.syncStart = 0
}

// record records a duration in r, which must be a field of d.
func (d *diagnostics) record(r *recentMax, now, v time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r.record(now, v)
}

func (d *diagnostics) recordCall(name galenahead.ReplicaName, now time.Duration, c voterCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	calls := d.calls[name]
	if calls == nil {
		if d.calls == nil {
			d.calls = map[galenahead.ReplicaName]*voterCalls{}
		}
		calls = &voterCalls{}
		d.calls[name] = calls
	}
	calls.took.record(now, c.took)
	calls.handling.record(now, c.handling)
}

// recentDelays returns the longest recent gap of Run and the longest recent sync.
func (d *diagnostics) recentDelays(now time.Duration) (loopGap, sync time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	loopGap, sync = max(d.loopGap.max(now), now-d.loopAt), d.sync.max(now)
	if d.syncStart != 0 {
		sync = max(sync, now-d.syncStart)
	}
	return loopGap, sync
}

// publish sets what other goroutines may read of the engine.
func (d *diagnostics) publish(proposals int, c *core) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.proposals = proposals
	if c.role == RoleLeader {
		d.voters = c.appendVoterContacts(d.voters[:0])
	}
}

// fields returns the log fields as of now.
func (d *diagnostics) fields(now time.Duration) map[string]any {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := map[string]any{
		"loop_age_ms":       (now - d.loopAt).Milliseconds(),
		"loop_gap_max_ms":   max(d.loopGap.max(now), now-d.loopAt).Milliseconds(),
		"sync_ms":           d.sync.last.Milliseconds(),
		"sync_max_ms":       d.sync.max(now).Milliseconds(),
		"apply_max_ms":      d.apply.max(now).Milliseconds(),
		"snapshot_max_ms":   d.snapshot.max(now).Milliseconds(),
		"pending_proposals": d.proposals,
		"voters":            d.formatVoters(d.voters, now),
	}
	if d.syncStart != 0 {
		f["sync_in_progress_ms"] = (now - d.syncStart).Milliseconds()
	}
	return f
}

// formatVoters returns the age of each voter's contact and the durations of the longest
// recent call as text, since quick calls without a sync follow each slow one. d.mu must be
// held.
func (d *diagnostics) formatVoters(vs []voterContact, now time.Duration) string {
	var out []string
	for _, v := range vs {
		if !v.responded {
			out = append(out, fmt.Sprintf("%s: no response", v.name))
			continue
		}
		var took, handling time.Duration
		if calls := d.calls[v.name]; calls != nil {
			took, handling = calls.took.maxOrLast(now), calls.handling.maxOrLast(now)
		}
		out = append(out, fmt.Sprintf("%s: request %d ms, response %d ms, call %d ms, handling %d ms", v.name,
			(now-v.ackedSendTime).Milliseconds(), (now-v.respondedAt).Milliseconds(), took.Milliseconds(), handling.Milliseconds()))
	}
	slices.Sort(out)
	return strings.Join(out, "; ")
}

// Diagnostics returns log fields that say what the lease of this replica depends on:
// how long ago Run handled inputs and each voter responded, how long the last writes
// to the disk took, and how many inputs and proposals wait.
func (n *Node) Diagnostics() map[string]any {
	now := n.now()
	f := n.engine.diagnostics.fields(now)
	p := n.published.Load()
	f["replica"], f["role"], f["term"] = n.cfg.Name, p.status.Role, p.status.Term
	f["queued_inputs"] = len(n.inputs)
	if p.leaseEnd > -maxDuration && p.leaseEnd < maxDuration {
		f["lease_left_ms"] = (p.leaseEnd - now).Milliseconds()
	}
	return f
}

// RecentDelays returns the longest gap between two passes of Run over its inputs and
// the longest write and sync in the last second or two.
func (n *Node) RecentDelays() (loopGap, sync time.Duration) {
	return n.engine.diagnostics.recentDelays(n.now())
}

// logStepDown logs that this replica stepped down because no majority of the voters
// responded, if it did.
func (n *Node) logStepDown(now time.Duration) {
	c := n.engine.core
	if c.lostVoters == nil {
		return
	}
	f := n.Diagnostics()
	d := &n.engine.diagnostics
	d.mu.Lock()
	f["voters"] = d.formatVoters(c.lostVoters, now)
	d.mu.Unlock()
	c.lostVoters = nil
	n.cfg.Log.WithFields(f).Warn("stepped down as leader of the log: no majority of the voters responds")
}
