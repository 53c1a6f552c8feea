package galenajob

import (
	"time"

	"github.com/galenahead/galenahead"
)

// HoldOrder is a renewal of the lease of an instance, with a look at it.
type HoldOrder struct {
	Instance Instance
	Fence    int64
	Cursor   int64
	// Deadline is on the instance's clock; zero renews nothing.
	Deadline int64
	// Wait tells that the answer may wait for an end.
	Wait bool
}

// Hold returns the next look at an instance, and false when none is needed.
func (s *Scheduler) Hold(now time.Time, id galenahead.InstanceID) (HoldOrder, bool) {
	n := s.instances[id]
	if n == nil || (n.fenced && len(n.items) == 0 && n.acked >= n.seen) {
		return HoldOrder{}, false
	}
	o := HoldOrder{Instance: n.Instance, Fence: n.fence, Cursor: n.cursor, Wait: n.fenced && len(n.items) > 0}
	if n.fenced && len(n.items) > 0 && !s.silent(now, n) {
		o.Deadline = n.extend(now, s.params.Lease)
	}
	return o, true
}

// HoldAnswer is the answer to a look.
type HoldAnswer struct {
	Fence int64
	Clock int64
	Born  int64
	// Cursor is the cursor that the look carried.
	Cursor int64
	// Sent is when the look was sent.
	Sent time.Time
	Runs []Run
	Ends []End
	// More tells that further ends follow after these.
	More bool
}

// Held takes over the answer to a look. It returns the ends that must be
// recorded before the cursor may pass them; Recorded reports that they are.
func (s *Scheduler) Held(now time.Time, id galenahead.InstanceID, a HoldAnswer) []End {
	n := s.instances[id]
	if n == nil || a.Fence != n.fence {
		return nil
	}
	if a.Born != 0 && n.Born != 0 && a.Born != n.Born {
		s.reborn(now, n, a.Born)
		return nil
	}
	s.heard(now, n, a.Clock)
	n.fenced = true
	n.acked = max(n.acked, a.Cursor)
	record := s.takeEnds(now, n, a.Ends)
	s.takeRuns(now, n, a)
	if n.unresolved {
		// Everything that an earlier owner started here is adopted by now, and the
		// fence keeps its late orders out.
		s.resolve(n)
	}
	s.pace(now, n)
	return record
}

// heard notes an answer of the instance.
func (s *Scheduler) heard(now time.Time, n *instance, clock int64) {
	n.answered, n.silentSince = now, time.Time{}
	n.noteClock(now, clock)
}

// takeEnds handles ends that were not read before.
func (s *Scheduler) takeEnds(now time.Time, n *instance, ends []End) []End {
	var record []End
	for _, e := range ends {
		if e.Sequence <= n.seen {
			continue
		}
		n.seen = e.Sequence
		it := s.find(n, e.Item)
		if it == nil {
			continue
		}
		ours := it.on == n && it.run == e.Number
		if e.How == EndDone || e.How == EndFailed {
			// No other run may start until the end is recorded, also when an earlier
			// owner started this one.
			if ours || it.on == nil {
				it.ended = true
			}
			it.run = max(it.run, e.Number)
			record = append(record, e)
			continue
		}
		if ours {
			s.endedWithoutResult(now, it, e)
		}
	}
	if len(record) == 0 && !n.recording {
		n.cursor = n.seen
	}
	n.recording = n.recording || len(record) > 0
	return record
}

func (s *Scheduler) endedWithoutResult(now time.Time, it *item, e End) {
	if e.Checkpoint != "" && it.set.step.Checkpointing {
		it.checkpoint = e.Checkpoint
	}
	it.release(now)
}

// find returns a work item of an active job, or of a final one that still
// occupies n.
func (s *Scheduler) find(n *instance, id ItemID) *item {
	if it := n.items[id]; it != nil {
		return it
	}
	if j := s.jobs[id.Job]; j != nil {
		return j.item(id.Item)
	}
	return nil
}

// takeRuns compares what runs on n with what should.
func (s *Scheduler) takeRuns(now time.Time, n *instance, a HoldAnswer) {
	listed := make(map[ItemID]bool, len(a.Runs))
	for _, r := range a.Runs {
		it := s.find(n, r.Item)
		if it != nil && it.on == n && it.run == r.Number {
			listed[r.Item] = true
			s.confirm(now, it, r)
			continue
		}
		if it != nil && it.on == nil && !it.done && !it.ended && !it.set.job.cancelled {
			s.adopt(now, n, it, r)
			listed[r.Item] = true
			continue
		}
		s.out = append(s.out, Action{
			Kind: ActStop, Instance: n.Instance, Fence: n.fence, Item: r.Item, Run: r.Number, Reason: "unexpected run",
		})
	}
	for id, it := range n.items {
		if listed[id] || it.ended || a.More {
			continue
		}
		if it.phase == phaseStale || (!it.confirmed.IsZero() && it.confirmed.Before(a.Sent)) {
			s.lose(now, it)
		}
	}
}

// confirm notes that the run of it is listed.
func (s *Scheduler) confirm(now time.Time, it *item, r Run) {
	if it.phase == phaseStarting || it.phase == phaseStale {
		it.phase, it.confirmed = phaseRunning, now
	}
	it.set.job.started = true
	it.percent, it.usage = r.Percent, r.Usage
	if r.Checkpoint != "" && it.set.step.Checkpointing {
		it.checkpoint = r.Checkpoint
	}
}

// adopt takes over a run that an earlier owner started, or one that was
// started by a delayed order.
func (s *Scheduler) adopt(now time.Time, n *instance, it *item, r Run) {
	n.place(it, r.Number)
	it.phase, it.confirmed = phaseRunning, now
	s.confirm(now, it, r)
}

// Recorded tells that the ends that Held returned for the instance are durable,
// and lets the cursor pass them. fresh tells for each whether it was not
// recorded before.
func (s *Scheduler) Recorded(now time.Time, id galenahead.InstanceID, born int64, ends []End, fresh []bool) {
	n := s.instances[id]
	for i, e := range ends {
		s.settle(now, n, e, fresh[i])
	}
	if n != nil && n.Born == born && len(ends) > 0 {
		n.recording = false
		n.cursor = max(n.cursor, ends[len(ends)-1].Sequence)
	}
}

// settle applies a recorded end.
func (s *Scheduler) settle(now time.Time, n *instance, e End, fresh bool) {
	var it *item
	if n != nil {
		it = n.items[e.Item]
	}
	if it == nil {
		if j := s.jobs[e.Item.Job]; j != nil {
			it = j.item(e.Item.Item)
		}
	}
	if it == nil {
		return
	}
	if it.on == nil {
		it.ended = false
	} else if it.on.ID == instanceID(n) && it.run == e.Number {
		it.ended = false
		it.release(now)
	}
	switch {
	case !fresh:
	case e.How == EndDone:
		s.done(now, n, it)
	default:
		s.failed(now, n, it)
	}
}

func instanceID(n *instance) galenahead.InstanceID {
	if n == nil {
		return ""
	}
	return n.ID
}

func (s *Scheduler) done(now time.Time, n *instance, it *item) {
	if n != nil {
		n.strikes, n.suspectTill, n.strikeJob = 0, time.Time{}, ""
	}
	if it.set.step.LongRunning {
		return
	}
	members := []*item{it}
	if it.set.step.Gang {
		members = members[:0]
		for i := range it.set.items {
			members = append(members, &it.set.items[i])
		}
	}
	for _, m := range members {
		if m.done {
			continue
		}
		m.done = true
		m.set.left--
		if m.on != nil && m.phase != phaseStopping && !m.set.step.Gang {
			s.stop(now, m, "another run is done")
		}
	}
}

func (s *Scheduler) failed(now time.Time, n *instance, it *item) {
	it.failed++
	it.notBefore = now.Add(s.params.Restart)
	if n == nil {
		return
	}
	it.avoid = n.ID
	if it.set.step.LongRunning || n.strikeJob == it.set.job.ID {
		return
	}
	n.strikeJob = it.set.job.ID
	n.strikes++
	if n.strikes >= 2 {
		n.suspectTill = now.Add(s.params.Suspicion << min(n.strikes-2, 4))
	}
}
