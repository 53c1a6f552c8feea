package galenajob

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/galenahead/galenahead"
)

// history plays owners, instances and a lossy network from a seed, and checks
// after every step what must hold whatever happens: a work item has at most one
// run at a time, none after a recorded end, none before its step's turn, and no
// instance holds more than its capacity.
type history struct {
	t      *testing.T
	seed   uint64
	rand   *rand.Rand
	now    time.Time
	epoch  uint64
	sched  *Scheduler
	mins   map[galenahead.InstanceID]*minion
	late   []lateOrder
	facts  map[galenahead.JobID]*Job
	ended  map[galenahead.JobID]bool
	starts int
}

// minion is an instance as the outside sees it.
type minion struct {
	Instance
	booted   time.Time
	fence    int64
	deadline int64
	runs     map[ItemID]*minionRun
	highest  map[ItemID]int64
	ends     []End
	sequence int64
	dead     bool
	cutTill  time.Time
}

type minionRun struct {
	number int64
	until  time.Time
	fails  bool
}

// lateOrder is an order that is carried out without an answer.
type lateOrder struct {
	at     time.Time
	action Action
	born   int64
}

const (
	historyStep = 20 * time.Millisecond
	maxLate     = 6 * time.Second
)

func (m *minion) clock(now time.Time) int64 {
	return int64(float64(now.Sub(m.booted).Milliseconds()) * 0.99)
}

// lapse ends everything whose lease is over.
func (m *minion) lapse(now time.Time) {
	if m.clock(now) < m.deadline {
		return
	}
	for _, id := range m.items() {
		m.end(id, m.runs[id], EndLapsed)
	}
}

func name(id ItemID) string { return fmt.Sprint(id.Job, id.Item) }

// items returns what runs, in a fixed order.
func (m *minion) items() []ItemID {
	return slices.SortedFunc(maps.Keys(m.runs), func(a, b ItemID) int { return cmp.Compare(name(a), name(b)) })
}

func (h *history) ids() []galenahead.InstanceID { return slices.Sorted(maps.Keys(h.mins)) }

func (h *history) jobs() []galenahead.JobID { return slices.Sorted(maps.Keys(h.facts)) }

func (m *minion) end(id ItemID, r *minionRun, how Ending) {
	m.sequence++
	m.ends = append(m.ends, End{Sequence: m.sequence, Item: id, Number: r.number, How: how})
	delete(m.runs, id)
}

func (h *history) used(m *minion) Resources {
	var u Resources
	for id := range m.runs {
		u = u.Add(h.facts[id.Job].Spec.Steps[id.Item.Step].Need)
	}
	return u
}

// start carries out an order to start.
func (h *history) start(m *minion, a Action) Outcome {
	if a.Fence < m.fence {
		return OutcomeFenced
	}
	m.fence = a.Fence
	if a.Deadline <= m.clock(h.now) {
		return OutcomeLate
	}
	m.deadline = max(m.deadline, a.Deadline)
	if r := m.runs[a.Item]; r != nil && r.number == a.Run {
		return OutcomeDone
	}
	if a.Run <= m.highest[a.Item] {
		return OutcomeOld
	}
	need := h.facts[a.Item.Job].Spec.Steps[a.Item.Item.Step].Need
	if !m.Capacity.Sub(h.used(m)).Holds(need) {
		return OutcomeRoom
	}
	h.checkStart(m, a)
	m.highest[a.Item] = a.Run
	m.runs[a.Item] = &minionRun{a.Run, h.now.Add(time.Duration(100+h.rand.IntN(900)) * time.Millisecond), h.rand.IntN(12) == 0}
	h.starts++
	return OutcomeDone
}

func (h *history) checkStart(m *minion, a Action) {
	for _, o := range h.mins {
		if o != m && !o.dead && o.runs[a.Item] != nil {
			h.fail("%v starts on %s and runs on %s", a.Item, m.ID, o.ID)
		}
	}
	j := h.facts[a.Item.Job]
	if j.Items[a.Item.Item].Done {
		h.fail("%v run %d starts on %s after its end was recorded; order for life %d, fence %d, epoch %d, life %d booted %s", a.Item, a.Run, m.ID, a.Instance.Born, a.Fence, h.epoch, m.Born, m.booted.Sub(t0))
	}
	if n := len(j.Items[a.Item.Item].Failed); n >= j.MaxAttempts {
		h.fail("%v starts after %d failed runs", a.Item, n)
	}
	for _, after := range j.Spec.Steps[a.Item.Item.Step].After {
		for i := range j.Spec.Steps[after].Count {
			if !j.Items[ItemKey{0, after, i}].Done {
				h.fail("%v starts before step %d is done", a.Item, after)
			}
		}
	}
}

func (h *history) fail(format string, args ...any) {
	h.t.Fatalf("seed %d after %s: %s", h.seed, h.now.Sub(t0), fmt.Sprintf(format, args...))
}

// stopRun carries out an order to stop.
func (m *minion) stopRun(a Action) Outcome {
	if a.Fence < m.fence {
		return OutcomeFenced
	}
	m.fence = a.Fence
	if r := m.runs[a.Item]; r != nil && r.number <= a.Run {
		m.end(a.Item, r, EndStopped)
	}
	m.highest[a.Item] = max(m.highest[a.Item], a.Run)
	return OutcomeDone
}

func (h *history) carryOut(m *minion, a Action) Outcome {
	m.lapse(h.now)
	if a.Kind == ActStop {
		return m.stopRun(a)
	}
	return h.start(m, a)
}

// order delivers an order, loses it, or delays it beyond its answer.
func (h *history) order(a Action) {
	m := h.mins[a.Instance.ID]
	switch {
	case a.Kind != ActStart && a.Kind != ActStop:
	case m == nil || m.dead || h.now.Before(m.cutTill) || h.rand.IntN(20) == 0:
		h.sched.Ordered(h.now, a, OutcomeUnknown, 0, h.now)
	case h.rand.IntN(15) == 0:
		h.late = append(h.late, lateOrder{h.now.Add(time.Duration(h.rand.Int64N(int64(maxLate)))), a, m.Born})
		h.sched.Ordered(h.now, a, OutcomeUnknown, 0, h.now)
	default:
		o := h.carryOut(m, a)
		if h.rand.IntN(25) == 0 {
			o = OutcomeUnknown // the answer is lost
		}
		h.sched.Ordered(h.now, a, o, m.clock(h.now), h.now)
	}
}

// look looks at an instance.
func (h *history) look(id galenahead.InstanceID) {
	o, ok := h.sched.Hold(h.now, id)
	if !ok {
		return
	}
	m := h.mins[id]
	if m == nil || m.dead || h.now.Before(m.cutTill) || h.rand.IntN(25) == 0 {
		h.sched.Unanswered(id, h.now)
		return
	}
	m.lapse(h.now)
	if o.Fence < m.fence {
		h.fail("owner of epoch %d is fenced by %d", h.epoch, m.fence)
	}
	m.fence = o.Fence
	if o.Deadline > 0 {
		m.deadline = max(m.deadline, o.Deadline)
	}
	for len(m.ends) > 0 && m.ends[0].Sequence <= o.Cursor {
		m.ends = m.ends[1:]
	}
	a := HoldAnswer{Fence: o.Fence, Clock: m.clock(h.now), Born: m.Born, Cursor: o.Cursor, Sent: h.now}
	a.Ends = append(a.Ends, m.ends...)
	for item, r := range m.runs {
		a.Runs = append(a.Runs, Run{Item: item, Number: r.number})
	}
	slices.SortFunc(a.Runs, func(x, y Run) int { return cmp.Compare(name(x.Item), name(y.Item)) })
	h.record(id, o.Instance.Born, h.sched.Held(h.now, id, a))
}

// record does what the replicated state does with ends.
func (h *history) record(id galenahead.InstanceID, born int64, ends []End) {
	if len(ends) == 0 {
		return
	}
	fresh := make([]bool, len(ends))
	for i, e := range ends {
		fresh[i] = h.recordEnd(e)
	}
	h.sched.Recorded(h.now, id, born, ends, fresh)
	for _, e := range ends {
		if h.ended[e.Item.Job] {
			h.sched.Finish(h.now, e.Item.Job)
		}
	}
}

func (h *history) recordEnd(e End) bool {
	j := h.facts[e.Item.Job]
	f := j.Items[e.Item.Item]
	for _, run := range f.Failed {
		if run == e.Number {
			return false
		}
	}
	if f.Done || h.ended[j.ID] {
		return false
	}
	if e.How == EndFailed {
		f.Failed = append(f.Failed, e.Number)
		h.ended[j.ID] = len(f.Failed) >= j.MaxAttempts
	} else {
		f.Done = true
		j.Left--
		h.ended[j.ID] = j.Left == 0
	}
	j.Items[e.Item.Item] = f
	return true
}

// boot starts an instance, under a new id or a new life of an old one.
func (h *history) boot(id galenahead.InstanceID) {
	in := testInstance(string(id))
	in.Born = h.now.UnixMilli()
	if old := h.mins[id]; old != nil && in.Born <= old.Born {
		return
	}
	h.mins[id] = &minion{Instance: in, booted: h.now.Add(-time.Second), runs: map[ItemID]*minionRun{}, highest: map[ItemID]int64{}}
	h.sched.AddInstance(h.now, in)
}

// succeed lets another owner take office.
func (h *history) succeed() {
	h.epoch++
	old := h.sched
	h.sched = NewScheduler("counter", h.epoch, testParams())
	h.sched.SetQueue(Queue{Name: "q", Service: "counter", MaxAttempts: 3, Stretch: 1.6, TargetLatency: 600 * time.Millisecond})
	if old != nil {
		for _, id := range old.Instances() {
			h.sched.AddKnownInstance(h.now, old.instances[id].Instance, h.now.Add(testParams().Lease*103/100+100*time.Millisecond))
		}
	}
	for _, id := range h.jobs() {
		if j := h.facts[id]; !h.ended[id] {
			h.sched.AddJob(h.now, copyJob(j), 0, true)
		}
	}
}

func copyJob(j *Job) *Job {
	c := *j
	c.Items = map[ItemKey]ItemFacts{}
	for k, f := range j.Items {
		c.Items[k] = f
	}
	return &c
}

func (h *history) submit(n int) {
	j := testJob(fmt.Sprintf("job%d", n), 1+h.rand.IntN(4))
	j.MaxAttempts = 3
	j.Spec.Steps = append(j.Spec.Steps, Step{Count: 1, Need: Resources{MilliCPU: 500}, Estimate: time.Second, After: []int{0}})
	j.Left++
	h.facts[j.ID] = j
	h.sched.AddJob(h.now, copyJob(j), 0, false)
}

// step plays one step of time.
func (h *history) step(n int) {
	h.now = h.now.Add(historyStep)
	for _, id := range h.ids() {
		m := h.mins[id]
		m.lapse(h.now)
		for _, id := range m.items() {
			r := m.runs[id]
			if h.now.After(r.until) {
				m.end(id, r, map[bool]Ending{true: EndFailed, false: EndDone}[r.fails])
			}
		}
	}
	rest := h.late[:0]
	for _, l := range h.late {
		m := h.mins[l.action.Instance.ID]
		switch {
		case h.now.Before(l.at):
			rest = append(rest, l)
		case m != nil && !m.dead && m.Born == l.born:
			// An order that was taken and left unanswered ends with the life that
			// took it: a later life knows nothing of before.
			h.carryOut(m, l.action)
		}
	}
	h.late = rest
	h.disturb(n)
	for _, id := range h.ids() {
		m := h.mins[id]
		if !m.dead && !h.now.Before(m.cutTill) && n%10 == 0 {
			h.sched.Beat(h.now, id, m.clock(h.now))
		}
		if n%5 == 0 || h.rand.IntN(4) == 0 {
			h.look(id)
		}
	}
	for _, a := range h.sched.Plan(h.now, h.now) {
		h.order(a)
	}
	for _, id := range h.sched.Gone() {
		h.sched.Remove(h.now, id)
	}
	for _, m := range h.mins {
		if !m.Capacity.Holds(h.used(m)) {
			h.fail("%s is over its capacity", m.ID)
		}
	}
}

func (h *history) disturb(n int) {
	ids := h.sched.Instances()
	if len(ids) == 0 {
		return
	}
	id := ids[h.rand.IntN(len(ids))]
	switch h.rand.IntN(300) {
	case 0:
		h.mins[id].dead = true
		h.mins[id].runs = map[ItemID]*minionRun{}
	case 1:
		h.mins[id].cutTill = h.now.Add(time.Duration(h.rand.IntN(8000)) * time.Millisecond)
	case 2:
		h.boot(galenahead.InstanceID(fmt.Sprintf("n%d", n)))
	case 3:
		h.succeed()
	case 4, 5, 6, 7, 8, 9, 10, 11, 12, 13:
		h.submit(n)
	case 15:
		// A dead instance starts again under its id.
		if m := h.mins[id]; m.dead {
			h.boot(id)
		}
	case 14:
		for _, jid := range h.jobs() {
			if !h.ended[jid] && h.rand.IntN(8) == 0 {
				h.ended[jid] = true
				h.sched.Finish(h.now, jid)
				break
			}
		}
	}
}

// Guards against two runs of a work item at a time, runs after a recorded end
// or out of order, and instances over their capacity, when orders and answers
// are lost or carried out late and owners and instances come and go.
func TestHistories(t *testing.T) {
	const steps = 1500
	seeds := 60
	if n, err := strconv.Atoi(os.Getenv("GALENA_HISTORIES")); err == nil {
		seeds = n
	}
	starts := 0
	for seed := range uint64(seeds) {
		h := &history{
			t: t, seed: seed, rand: rand.New(rand.NewPCG(seed, 1)), now: t0, mins: map[galenahead.InstanceID]*minion{},
			facts: map[galenahead.JobID]*Job{}, ended: map[galenahead.JobID]bool{},
		}
		h.succeed()
		for i := range 4 {
			h.now = h.now.Add(time.Millisecond)
			h.boot(galenahead.InstanceID(fmt.Sprintf("i%d", i)))
		}
		for n := range steps {
			h.step(n)
		}
		starts += h.starts
	}
	if starts < seeds*20 {
		t.Fatalf("%d starts in %d histories; they test too little", starts, seeds)
	}
}
