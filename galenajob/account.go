package galenajob

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenaaccount"
)

// UseLedger sets the ledger of client accounts, which the schedulers of all services share. It
// must be called before jobs or instances are added.
func (s *Scheduler) UseLedger(l *galenaaccount.Ledger) { s.ledger = l }

// counted reports whether the ledger counts the work items of the job.
func (j *job) counted() bool { return j.ledger != nil && (j.Account != "" || j.ledger.Active()) }

// mayTake reports whether the limit of the account allows the work item to start now.
func (s *Scheduler) mayTake(it *item) bool {
	return it.set.job.Account == "" || s.ledger.Fits(it.set.job.Account, it.set.step.Need)
}

// take counts the work item as running, unless the limit of its account forbids that.
func (s *Scheduler) take(it *item) bool {
	j := it.set.job
	if !j.counted() {
		return true
	}
	it.charged = s.ledger.Take(j.Account, it.set.step.Need)
	return it.charged
}

// charge counts a run that was found at work.
func (s *Scheduler) charge(it *item) {
	it.endExpectation()
	if j := it.set.job; j.counted() {
		s.ledger.Charge(j.Account, it.set.step.Need)
		it.charged = true
	}
}

func (it *item) uncharge() {
	if it.charged {
		it.charged = false
		it.set.job.ledger.Release(it.set.job.Account, it.set.step.Need)
	}
}

// mayRestart reports whether the limit of the account allows the work item to start again once
// it has been stopped.
func (s *Scheduler) mayRestart(it *item) bool {
	return it.set.job.Account == "" || !s.ledger.Over(it.set.job.Account)
}

// expectRuns counts the work items of an inherited job that an earlier owner may have started
// by wall, which the log does not hold.
func (s *Scheduler) expectRuns(j *job, wall time.Time) {
	if j.Account == "" || j.ledger == nil {
		return
	}
	s.wall = wall
	s.openDue(j)
	for _, k := range j.openAndDue() {
		for _, set := range j.sets[k] {
			if set.dependenciesDone() {
				set.expectRuns()
			}
		}
	}
	s.expecting = append(s.expecting, j)
}

func (set *itemSet) expectRuns() {
	for i := range set.items {
		if it := &set.items[i]; !it.done && !it.charged && !it.attemptsExhausted() {
			it.expected = true
			set.job.ledger.Expect(set.job.Account, set.step.Need)
		}
	}
}

func (it *item) endExpectation() {
	if it.expected {
		it.expected = false
		it.set.job.ledger.EndExpectation(it.set.job.Account, it.set.step.Need)
	}
}

// endExpectations ends what the ledger expects of the job.
func (s *Scheduler) endExpectations(j *job) {
	if len(s.expecting) == 0 || j.Account == "" {
		return
	}
	for _, sets := range j.sets {
		for _, set := range sets {
			for i := range set.items {
				set.items[i].endExpectation()
			}
		}
	}
}

// endAllExpectations ends what the ledger expects, once all that earlier owners have started
// is known.
func (s *Scheduler) endAllExpectations() {
	for _, j := range s.expecting {
		s.endExpectations(j)
	}
	s.expecting = nil
}

// stray is a run that an instance lists although no work item is placed there for it.
type stray struct {
	account galenahead.AccountName
	need    Resources
}

// setStrays replaces the stray runs of an instance, which the ledger counts.
func (s *Scheduler) setStrays(inst *instance, strays []stray) {
	if s.ledger == nil {
		return
	}
	for _, r := range strays {
		s.ledger.Charge(r.account, r.need)
	}
	for _, r := range inst.strays {
		s.ledger.Release(r.account, r.need)
	}
	inst.strays = strays
}

// accountTurns is the order in which the jobs of one class get their turns: those of the account
// that was served least go first. Its zero value is ready to use.
type accountTurns struct {
	names     []galenahead.AccountName
	byAccount map[galenahead.AccountName]*accountTurn
	// heap holds the accounts with jobs left, the one whose turn it is first.
	heap []*accountTurn
}

// accountTurn is an account with its jobs in scheduling order.
type accountTurn struct {
	account galenahead.AccountName
	// turn is what the ledger rates it at; the lowest goes first.
	turn float64
	jobs []*job
	// next is the index of the next job.
	next int
}

// Len implements heap.Interface.
func (t *accountTurns) Len() int { return len(t.heap) }

// Less implements heap.Interface.
func (t *accountTurns) Less(i, k int) bool {
	a, b := t.heap[i], t.heap[k]
	if c := cmp.Compare(a.turn, b.turn); c != 0 {
		return c < 0
	}
	return compareJobs(a.jobs[a.next], b.jobs[b.next]) < 0
}

// Swap implements heap.Interface.
func (t *accountTurns) Swap(i, k int) { t.heap[i], t.heap[k] = t.heap[k], t.heap[i] }

// Push implements heap.Interface.
func (t *accountTurns) Push(x any) { t.heap = append(t.heap, x.(*accountTurn)) }

// Pop implements heap.Interface.
func (t *accountTurns) Pop() any {
	last := len(t.heap) - 1
	x := t.heap[last]
	t.heap = t.heap[:last]
	return x
}

// add adds the next job in scheduling order.
func (t *accountTurns) add(j *job) {
	if t.byAccount == nil {
		t.byAccount = map[galenahead.AccountName]*accountTurn{}
	}
	a := t.byAccount[j.Account]
	if a == nil {
		a = &accountTurn{account: j.Account}
		t.byAccount[j.Account] = a
	}
	if len(a.jobs) == 0 {
		t.heap = append(t.heap, a)
	}
	a.jobs = append(a.jobs, j)
}

// maxTurnBuffers bounds the accounts for which buffers are kept.
const maxTurnBuffers = 1024

// reset forgets all jobs.
func (t *accountTurns) reset() {
	if len(t.byAccount) > maxTurnBuffers {
		t.byAccount = nil
	}
	for _, a := range t.byAccount {
		clear(a.jobs) // the buffer must not keep final jobs
		a.jobs, a.next = a.jobs[:0], 0
	}
	t.heap = t.heap[:0]
}

// planByShare starts work items of jobs in scheduling order, but for the jobs of one class that
// end by themselves in the order of the accounts' shares.
func (s *Scheduler) planByShare(now time.Time, sorted []*job) {
	for len(sorted) > 0 && !s.StartsExhausted() {
		class := sorted[0].key.class
		n := slices.IndexFunc(sorted, func(j *job) bool { return j.key.class != class })
		if n < 0 {
			n = len(sorted)
		}
		group := sorted[:n]
		sorted = sorted[n:]
		if class != classLongRunning {
			s.planInTurns(now, group)
			continue
		}
		for _, j := range group {
			if s.StartsExhausted() {
				return
			}
			s.planJob(now, j)
		}
	}
}

// planInTurns starts work items of jobs of one class, which are in scheduling order.
func (s *Scheduler) planInTurns(now time.Time, group []*job) {
	t := &s.turns
	t.reset()
	for _, j := range group {
		if s.maySchedule(j) {
			t.add(j)
		}
	}
	t.names = t.names[:0]
	for _, a := range t.heap {
		t.names = append(t.names, a.account)
	}
	s.ledger.Wait(now, t.names)
	for _, a := range t.heap {
		a.turn = s.ledger.Turn(a.account)
	}
	heap.Init(t)
	for len(t.heap) > 0 && !s.StartsExhausted() {
		a := t.heap[0]
		if s.planNext(now, a); a.next == len(a.jobs) {
			heap.Pop(t)
			continue
		}
		a.turn = s.ledger.Turn(a.account)
		heap.Fix(t, 0)
	}
}

// planNext plans the jobs of an account until work items of one start.
func (s *Scheduler) planNext(now time.Time, a *accountTurn) {
	starting := s.starting
	for a.next < len(a.jobs) && s.starting == starting {
		s.planJob(now, a.jobs[a.next])
		a.next++
	}
}

// workAheadOfAccount is workAhead while there are client accounts: other accounts come before
// with jobs of a better class, and with what their weights give them of the job's class.
func (s *Scheduler) workAheadOfAccount(j *job) (work int64, share float64) {
	var better, own int64
	others := map[galenahead.AccountName]int64{}
	for _, o := range s.order.sorted {
		if o.key.class > j.key.class {
			break
		}
		switch {
		case !o.waitsForRoom():
		case o.Account == j.Account:
			if compareJobs(o, j) < 0 {
				own += o.key.remainingWork
			}
		case o.key.class < j.key.class:
			better += o.key.remainingWork
		default:
			others[o.Account] += o.key.remainingWork
		}
	}
	weight := s.ledger.Weight(j.Account)
	sum := weight
	backlogs := make([]galenaaccount.Backlog, 0, len(others))
	for name, w := range others {
		b := galenaaccount.Backlog{Weight: s.ledger.Weight(name), Work: w}
		sum += b.Weight
		backlogs = append(backlogs, b)
	}
	own += j.remainingWork()
	return better + galenaaccount.WorkBefore(own, weight, backlogs) - j.remainingWork(), weight / sum
}

// accountRooms is what accounts may have more running, less what was taken of it.
type accountRooms struct {
	ledger *galenaaccount.Ledger
	rooms  map[galenahead.AccountName]Resources
}

// take returns how many of n work items the account may have more running, and takes their
// room.
func (r *accountRooms) take(account galenahead.AccountName, need Resources, n int64) int64 {
	if n == 0 || account == "" || !r.ledger.Active() {
		return n
	}
	room, ok := r.rooms[account]
	if !ok {
		if r.rooms == nil {
			r.rooms = map[galenahead.AccountName]Resources{}
		}
		room = r.ledger.Room(account)
	}
	for _, p := range [][2]int64{{room.MilliCPU, need.MilliCPU}, {room.MemoryMB, need.MemoryMB}, {room.GPU, need.GPU}} {
		if p[1] > 0 {
			n = min(n, p[0]/p[1])
		}
	}
	r.rooms[account] = room.Sub(need.Times(n))
	return n
}

// AccountWait is what waits of a client account at one service.
type AccountWait struct {
	// Jobs counts the jobs that have not started, and Oldest is how long the first of them
	// has waited.
	Jobs   int
	Oldest time.Duration
}

// AccountWaits returns what waits, by account.
func (s *Scheduler) AccountWaits(now time.Time) map[galenahead.AccountName]AccountWait {
	out := map[galenahead.AccountName]AccountWait{}
	for _, j := range s.jobs {
		if j.started || j.longRunning || j.Spec.Repetitions > 0 {
			continue
		}
		w := out[j.Account]
		w.Jobs++
		w.Oldest = max(w.Oldest, now.Sub(j.acceptedAt))
		out[j.Account] = w
	}
	return out
}
