package galenajob

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenaaccount"
)

// accountStep is the interval between two plans of an accountLoad.
const accountStep = 20 * time.Millisecond

// accountLoad plays loads of client accounts on the instances of services, whose schedulers share
// a ledger. Commands and records take no time, and work items take their estimates.
type accountLoad struct {
	t      *testing.T
	is     *is.I
	now    time.Time
	ledger *galenaaccount.Ledger
	scheds map[galenahead.ServiceName]*Scheduler
	ends   map[galenahead.InstanceID][]accountEnd
	seq    map[galenahead.InstanceID]int64
	jobs   int
	// work is what each account has had done, in core milliseconds, and running what it has
	// running, in thousandths of a core.
	work, running map[galenahead.AccountName]int64
	// left counts the work items of each job that are not done.
	left map[galenahead.JobID]int
	done map[galenahead.AccountName]int
}

type accountEnd struct {
	at      time.Time
	item    ItemID
	run     int64
	account galenahead.AccountName
	milli   int64
}

// newAccountLoad returns a load on services with a number of instances of 10 cores each.
func newAccountLoad(t *testing.T, accounts []galenaaccount.Account, instances map[galenahead.ServiceName]int) *accountLoad {
	l := &accountLoad{
		t: t, is: is.New(t), now: t0, ledger: &galenaaccount.Ledger{}, scheds: map[galenahead.ServiceName]*Scheduler{},
		ends: map[galenahead.InstanceID][]accountEnd{}, seq: map[galenahead.InstanceID]int64{},
		work: map[galenahead.AccountName]int64{}, running: map[galenahead.AccountName]int64{},
		left: map[galenahead.JobID]int{}, done: map[galenahead.AccountName]int{},
	}
	l.ledger.SetAccounts(accounts)
	for _, service := range slices.Sorted(maps.Keys(instances)) {
		s := NewScheduler(service, 1, testParams(), &Fences{})
		s.UseLedger(l.ledger)
		s.SetQueue(Queue{Name: "q", Service: service, MaxAttempts: 2, Stretch: 1.6, TargetLatency: time.Minute})
		l.scheds[service] = s
		for i := range instances[service] {
			in := testInstance(fmt.Sprintf("%s-%d", service, i))
			in.Service, in.Capacity = service, Resources{MilliCPU: 10000, MemoryMB: 1 << 20}
			s.AddInstance(t0, in)
			l.poll(s, in.ID, nil)
		}
	}
	return l
}

func (l *accountLoad) poll(s *Scheduler, id galenahead.InstanceID, ends []accountEnd) {
	req, ok := s.NextPoll(l.now, id)
	if !ok {
		return
	}
	resp := PollResponse{Fence: req.Fence, Clock: l.clock(), Born: 1, Sent: l.now, Deadline: req.Deadline}
	for _, e := range ends {
		l.seq[id]++
		resp.Ends = append(resp.Ends, End{Sequence: l.seq[id], Item: e.item, Number: e.run, Reason: EndDone})
	}
	for _, e := range l.ends[id] {
		resp.Runs = append(resp.Runs, Run{Item: e.item, Number: e.run})
	}
	recorded := s.HandlePoll(l.now, id, resp)
	s.ConfirmRecorded(l.now, id, 1, recorded, slices.Repeat([]bool{true}, len(recorded)))
	for _, e := range ends {
		if l.left[e.item.Job]--; l.left[e.item.Job] == 0 {
			l.done[e.account]++
			s.RemoveJob(l.now, e.item.Job)
		}
	}
}

func (l *accountLoad) clock() int64 { return 1000 + l.now.Sub(t0).Milliseconds() }

// submit submits a job of count work items of a second each.
func (l *accountLoad) submit(service galenahead.ServiceName, account galenahead.AccountName, count int, milli int64) galenahead.JobID {
	l.jobs++
	j := testJob(fmt.Sprintf("j%06d", l.jobs), count)
	j.Service, j.Account = service, account
	j.Spec.Steps[0].Need = Resources{MilliCPU: milli, MemoryMB: 1}
	l.left[j.ID] = count
	l.scheds[service].AddJob(l.now, j, 0, false)
	return j.ID
}

// step plays one interval.
func (l *accountLoad) step() {
	l.now = l.now.Add(accountStep)
	for _, service := range slices.Sorted(maps.Keys(l.scheds)) {
		s := l.scheds[service]
		for _, id := range s.Instances() {
			var over []accountEnd
			l.ends[id] = slices.DeleteFunc(l.ends[id], func(e accountEnd) bool {
				if l.now.Before(e.at) {
					return false
				}
				over = append(over, e)
				l.running[e.account] -= e.milli
				l.work[e.account] += e.milli
				return true
			})
			l.poll(s, id, over)
		}
		for _, a := range s.Plan(l.now, l.now) {
			if a.Kind != ActStart {
				continue
			}
			it := s.activeItem(a.Item)
			e := accountEnd{l.now.Add(it.set.step.Estimate), a.Item, a.Run, it.set.job.Account, it.set.step.Need.MilliCPU}
			l.ends[a.Instance.ID] = append(l.ends[a.Instance.ID], e)
			l.running[e.account] += e.milli
			s.HandleOutcome(l.now, a, OutcomeDone, l.clock(), l.now)
		}
	}
}

// shareDelay is how long an account with waiting work may have less than its share: until work of
// others that has started ends, which takes a second here, and one more work item of each has its
// turn.
const shareDelay = 2 * time.Second

// shareCheck checks the property of shares in a shortage: no account with waiting work has less
// than its share, but for one job of its largest, for longer than shareDelay, and the pool is never
// idle while work fits.
type shareCheck struct {
	l *accountLoad
	// weights, capacity in thousandths of a core, and the largest work item.
	weights  map[galenahead.AccountName]float64
	capacity int64
	largest  int64
	behind   map[galenahead.AccountName]time.Time
}

func (c *shareCheck) check() {
	s := c.l.scheds["counter"]
	waits := s.AccountWaits(c.l.now)
	waiting, total := 0, 0.0
	for name := range waits {
		waiting += waits[name].Jobs
	}
	for _, w := range c.weights {
		total += w
	}
	if waiting > 0 {
		for _, inst := range s.sortedInstances() {
			if inst.free().MilliCPU >= c.largest {
				c.l.t.Fatalf("%s: %d milli CPU of %s are idle while %d jobs wait", c.l.now.Sub(t0), inst.free().MilliCPU, inst.ID, waiting)
			}
		}
	}
	for name, w := range c.weights {
		fair := int64(float64(c.capacity)*w/total) - c.largest
		if waits[name].Jobs == 0 || c.l.running[name] >= fair {
			delete(c.behind, name)
			continue
		}
		since, ok := c.behind[name]
		if !ok {
			c.behind[name] = c.l.now
		} else if c.l.now.Sub(since) > shareDelay {
			c.l.t.Fatalf("%s: account %s waits with %d of %d milli CPU for %s", c.l.now.Sub(t0), name, c.l.running[name], fair, c.l.now.Sub(since))
		}
	}
}

func newShareCheck(l *accountLoad, accounts []galenaaccount.Account, capacity, largest int64) *shareCheck {
	c := &shareCheck{l: l, weights: map[galenahead.AccountName]float64{}, capacity: capacity, largest: largest, behind: map[galenahead.AccountName]time.Time{}}
	for _, a := range accounts {
		c.weights[a.Name] = a.Weight
	}
	return c
}

func equalAccounts(n int) []galenaaccount.Account {
	out := make([]galenaaccount.Account, n)
	for i := range out {
		out[i] = galenaaccount.Account{Name: galenahead.AccountName(fmt.Sprintf("a%02d", i)), Weight: 1}
	}
	return out
}

// Load: one account sends eight times its usual beside nineteen others, which use all but a part of
// the pool. Guards against others that wait because of it.
func TestOneAccountFloodsBesideNineteen(t *testing.T) {
	accounts := equalAccounts(20)
	l := newAccountLoad(t, accounts, map[galenahead.ServiceName]int{"counter": 20})
	check := newShareCheck(l, accounts, 200_000, 1000)
	oldest := time.Duration(0)
	for n := range 1000 { // 20 s
		for i, a := range accounts {
			// The usual is 2 jobs of 4 cores a second, 8 of the 10 cores that an account gets.
			every := 25
			if i == 0 {
				every = 3
			}
			if n%every == i%every {
				l.submit("counter", a.Name, 4, 1000)
			}
		}
		l.step()
		check.check()
		if n > 100 {
			for name, w := range l.scheds["counter"].AccountWaits(l.now) {
				if name != accounts[0].Name {
					oldest = max(oldest, w.Oldest)
				}
			}
		}
	}
	l.is.True(oldest <= shareDelay) // what ends by then has room for all that the others send
	for _, a := range accounts[1:] {
		l.is.True(l.done[a.Name] >= 2*18-4) // all but the last second and a half
	}
	l.is.True(l.work["a00"] > l.work["a01"]) // what the others leave is its
}

// Load: one large account and nineteen small ones through a shortage of a third. Guards against
// shares that follow the number of jobs in place of the weights.
func TestLargeAndSmallAccountsInShortage(t *testing.T) {
	accounts := equalAccounts(20)
	accounts[0].Weight = 19
	l := newAccountLoad(t, accounts, map[galenahead.ServiceName]int{"counter": 10})
	check := newShareCheck(l, accounts, 100_000, 1000)
	for n := range 1000 {
		// 150 cores are asked for, half of them by the large account.
		if n%50 < 19 {
			l.submit("counter", accounts[0].Name, 4, 1000)
			l.submit("counter", accounts[1+n%50].Name, 4, 1000)
		}
		l.step()
		check.check()
	}
	small := int64(0)
	for _, a := range accounts[1:] {
		small += l.work[a.Name]
	}
	total := float64(small + l.work[accounts[0].Name])
	l.is.True(total >= 0.95*100_000*19)
	l.is.True(float64(small) >= 0.45*total && float64(small) <= 0.55*total)
}

// Load: work of very different size, one account with work items of eight cores and one with
// half cores, both more than there is room for. Guards against shares counted in work items.
func TestAccountsWithWorkOfDifferentSizeInShortage(t *testing.T) {
	accounts := equalAccounts(2)
	l := newAccountLoad(t, accounts, map[galenahead.ServiceName]int{"counter": 10})
	for n := range 1000 {
		if n%10 == 0 {
			l.submit("counter", "a00", 3, 8000)
			l.submit("counter", "a01", 48, 500)
		}
		l.step()
	}
	l.is.True(float64(l.work["a00"]) >= 0.8*float64(l.work["a01"]))
	l.is.True(float64(l.work["a01"]) >= 0.8*float64(l.work["a00"]))
}

// Load: a limit is lowered below what runs. Guards against work that is stopped for it, and against
// starts before there is room.
func TestLimitIsLoweredUnderLoad(t *testing.T) {
	accounts := equalAccounts(2)
	l := newAccountLoad(t, accounts, map[galenahead.ServiceName]int{"counter": 10})
	for range 40 {
		l.submit("counter", "a00", 4, 1000)
	}
	l.step()
	l.is.Equal(l.running["a00"], int64(100_000))
	accounts[0].Limit = Resources{MilliCPU: 30_500}
	l.ledger.SetAccounts(accounts)
	highest := int64(0)
	for range 400 {
		l.step()
		if l.now.Sub(t0) > 1100*time.Millisecond {
			highest = max(highest, l.running["a00"])
		}
	}
	l.is.Equal(highest, int64(30_000)) // all of the limit, and no more
	l.is.Equal(l.done["a00"], 40)
}

// Load: an account returns after a pause beside one that had all meanwhile. Guards against a claim
// for the past.
func TestAccountThatReturnsDoesNotClaimThePast(t *testing.T) {
	accounts := equalAccounts(2)
	l := newAccountLoad(t, accounts, map[galenahead.ServiceName]int{"counter": 10})
	check := newShareCheck(l, accounts, 100_000, 1000)
	for n := range 1000 {
		if n%2 == 0 {
			l.submit("counter", "a01", 5, 1000)
			if n >= 500 {
				l.submit("counter", "a00", 5, 1000)
			}
		}
		l.step()
		check.check()
		if l.now.Sub(t0) > 12500*time.Millisecond {
			l.is.True(l.running["a01"] >= 40_000)
		}
	}
}

// Load: an account has much at one service and competes at another. Guards against shares for each
// service by itself.
func TestSharesCountAllServices(t *testing.T) {
	accounts := equalAccounts(2)
	l := newAccountLoad(t, accounts, map[galenahead.ServiceName]int{"counter": 10, "courier": 10})
	for n := range 500 {
		if n%10 == 0 {
			for range 20 {
				l.submit("courier", "a01", 5, 1000)
				l.submit("counter", "a01", 5, 1000)
				l.submit("counter", "a00", 5, 1000)
			}
		}
		l.step()
	}
	l.is.True(l.running["a01"] >= 95_000) // all that only it wants, but for a job
	l.is.True(l.running["a00"] >= 95_000)
}

// Guards against a limit that each service has for itself, against a gang of which a part is
// counted, and against work that fits behind work that does not.
func TestLimitHoldsOverServicesAndForGangs(t *testing.T) {
	accounts := equalAccounts(1)
	accounts[0].Limit = Resources{MilliCPU: 10_000}
	l := newAccountLoad(t, accounts, map[galenahead.ServiceName]int{"counter": 5, "courier": 5})
	l.submit("courier", "a00", 7, 1000)
	l.step()
	l.is.Equal(l.running["a00"], int64(7000))
	gang := testJob("gang", 5)
	gang.Account, gang.Spec.Steps[0].Gang = "a00", true
	gang.Spec.Steps[0].Need = Resources{MilliCPU: 1000}
	l.left[gang.ID] = 5
	l.scheds["counter"].AddJob(l.now, gang, 0, false)
	l.step()
	l.is.Equal(l.running["a00"], int64(7000))
	l.submit("counter", "a00", 2, 1500)
	l.step()
	l.is.Equal(l.running["a00"], int64(10_000))
	l.is.Equal(l.ledger.Standing("a00").Running.MilliCPU, int64(10_000))
	for range 60 {
		l.step()
	}
	l.is.Equal(l.running["a00"], int64(5000)) // the gang, once it has room as a whole
}

// Guards against machines that are requested for work that its account's limit keeps waiting.
func TestWorkThatWaitsForItsLimitIsNoDemand(t *testing.T) {
	accounts := equalAccounts(2)
	accounts[0].Limit = Resources{MilliCPU: 2500}
	l := newAccountLoad(t, accounts, map[galenahead.ServiceName]int{"counter": 1})
	l.submit("counter", "a00", 10, 1000)
	l.submit("counter", "a01", 20, 1000)
	l.is.Equal(l.scheds["counter"].Usage(l.now).Demand.MilliCPU, int64(22_000))
	l.step()
	l.is.Equal(l.scheds["counter"].Usage(l.now).Demand.MilliCPU, int64(22_000)-10_000)
}

// Guards against jobs of an account within its share that are rejected because another one floods,
// and against a time to come back that counts the work of others.
func TestRejectionFollowsTheAccountsOwnQueue(t *testing.T) {
	accounts := equalAccounts(2)
	l := newAccountLoad(t, accounts, map[galenahead.ServiceName]int{"counter": 1})
	s := l.scheds["counter"]
	s.SetQueue(Queue{Name: "q", Service: "counter", MaxAttempts: 2, Stretch: 1.6, TargetLatency: 600 * time.Millisecond})
	s.SetPoolLimits(PoolLimits{MilliCPU: 10_000})
	admit := func(account galenahead.AccountName) (time.Duration, bool) {
		j := testJob("next", 10)
		j.Account = account
		return s.Admit(l.now, j)
	}
	accepted := 0
	for range 20 {
		if _, ok := admit("a00"); ok {
			accepted++
			l.submit("counter", "a00", 10, 1000)
			s.Plan(l.now, l.now)
		}
	}
	// The pool does a job in a second, and one is of use if it starts within 5.6 s.
	l.is.Equal(accepted, 7)
	var last time.Duration
	for range 3 {
		retry, ok := admit("a00")
		l.is.True(!ok)
		l.is.True(retry > last) // first come, first back
		last = retry
	}
	for range 3 {
		_, ok := admit("a01")
		l.is.True(ok) // it gets every other second, so that the third starts after 5 s
		l.submit("counter", "a01", 10, 1000)
		s.Plan(l.now, l.now)
	}
	_, ok := admit("a01")
	l.is.True(!ok)
}

// Guards against jobs beyond an account's rate that go before others' jobs, late ones among them.
func TestJobsBeyondTheRateGoLast(t *testing.T) {
	accounts := equalAccounts(2)
	l := newAccountLoad(t, accounts, map[galenahead.ServiceName]int{"counter": 1})
	l.submit("counter", "a01", 10, 1000)
	l.step()
	s := l.scheds["counter"]
	s.SetQueue(Queue{Name: "q", Service: "counter", MaxAttempts: 2, Stretch: 1.6, TargetLatency: 600 * time.Millisecond})
	excess := testJob("excess", 10)
	excess.Account, excess.Excess = "a00", true
	excess.Spec.Steps[0].Need = Resources{MilliCPU: 1000}
	l.left[excess.ID] = 10
	s.AddJob(l.now, excess, 0, false)
	late := testJob("late", 10)
	late.Account = "a01"
	late.Spec.Steps[0].Need = Resources{MilliCPU: 1000}
	l.left[late.ID] = 10
	s.AddJob(l.now, late, 1500*time.Millisecond, false) // it can't be in time any more
	for range 55 {
		l.step()
	}
	l.is.True(s.JobStarted("late"))
	l.is.True(!s.JobStarted("excess"))
	for range 50 {
		l.step()
	}
	l.is.True(s.JobStarted("excess"))
}

// Guards against a new owner that starts work beyond a limit because it has read half of the
// instances, and against one that waits for all of them with work that fits beside anything that
// an earlier owner may have started.
func TestNewOwnerCountsWorkOnInstancesThatAreNotRead(t *testing.T) {
	is := is.New(t)
	ledger := &galenaaccount.Ledger{}
	ledger.SetAccounts([]galenaaccount.Account{{Name: "a00", Weight: 1, Limit: Resources{MilliCPU: 6000}}})
	s := NewScheduler("counter", 2, testParams(), &Fences{})
	other := NewScheduler("courier", 2, testParams(), &Fences{})
	for _, x := range []*Scheduler{s, other} {
		x.UseLedger(ledger)
		x.SetQueue(Queue{Name: "q", MaxAttempts: 2})
	}
	for _, id := range []string{"a", "b"} {
		s.AddInheritedInstance(t0, testInstance(id), t0.Add(time.Minute))
	}
	inherited := testJob("inherited", 4)
	inherited.Account = "a00"
	s.AddJob(t0, inherited, time.Second, true)
	other.AddInstance(t0, testInstance("c"))
	req, _ := other.NextPoll(t0, "c")
	other.HandlePoll(t0, "c", PollResponse{Fence: req.Fence, Clock: 1000, Born: 1, Sent: t0})
	fresh := testJob("fresh", 4)
	fresh.Account = "a00"
	other.AddJob(t0, fresh, 0, false)
	is.Equal(len(starts(other.Plan(t0, t0))), 2) // the four of the inherited job may be at work

	read := func(id galenahead.InstanceID, at time.Time, runs ...Run) {
		req, ok := s.NextPoll(at, id)
		is.True(ok)
		s.HandlePoll(at, id, PollResponse{Fence: req.Fence, Clock: 1000, Born: 1, Sent: at, Runs: runs})
	}
	run := Run{Item: ItemID{Job: "inherited"}, Number: 1001}
	settled := t0.Add(testParams().StopTimeout)
	read("a", t0, run)
	read("a", settled, run)
	s.Plan(settled, settled)
	is.Equal(len(starts(other.Plan(settled, settled))), 0) // b is not read
	is.Equal(ledger.Standing("a00").Running, Resources{MilliCPU: 3000, MemoryMB: 3000})
	read("b", settled)
	read("b", settled.Add(testParams().StopTimeout))
	settled = settled.Add(testParams().StopTimeout)
	as := starts(s.Plan(settled, settled))
	is.Equal(len(as)+len(starts(other.Plan(settled, settled))), 3) // one was found, two are at work elsewhere
	is.Equal(ledger.Standing("a00").Running.MilliCPU, int64(6000))
}

// Guards against room for others while an instance executes a start late that was given up, and
// after an instance that has restarted under its ID may still hold work.
func TestLateStartsAndStaleRunsCountAgainstTheLimit(t *testing.T) {
	is := is.New(t)
	ledger := &galenaaccount.Ledger{}
	ledger.SetAccounts([]galenaaccount.Account{{Name: "a00", Weight: 1, Limit: Resources{MilliCPU: 2000}}})
	s := NewScheduler("counter", 1, testParams(), &Fences{})
	s.UseLedger(ledger)
	s.SetQueue(Queue{Name: "q", MaxAttempts: 2})
	s.AddInstance(t0, testInstance("a"))
	poll := func(now time.Time, born int64, runs ...Run) {
		req, ok := s.NextPoll(now, "a")
		is.True(ok)
		s.HandlePoll(now, "a", PollResponse{Fence: req.Fence, Clock: 1000 + now.Sub(t0).Milliseconds(), Born: born, Sent: now, Runs: runs})
	}
	poll(t0, 1)
	j := testJob("j", 3)
	j.Account = "a00"
	s.AddJob(t0, j, 0, false)
	as := starts(s.Plan(t0, t0))
	is.Equal(len(as), 2)
	for _, a := range as {
		s.HandleOutcome(t0, a, OutcomeNoRoom, 1000, t0) // nothing runs there
	}
	is.Equal(ledger.Standing("a00").Running, Resources{})
	now := t0.Add(time.Second)
	as = starts(s.Plan(now, now))
	is.Equal(len(as), 2)
	for _, a := range as {
		s.HandleOutcome(now, a, OutcomeDone, 2000, now)
	}
	now = now.Add(100 * time.Millisecond)
	runs := []Run{{Item: as[0].Item, Number: as[0].Run}, {Item: as[1].Item, Number: as[1].Run}}
	stray := Run{Item: ItemID{Job: "j", Item: ItemKey{Index: 2}}, Number: 999}
	s.instances["a"].items[as[0].Item].release(now) // its run has ended
	s.jobs["j"].item(as[0].Item.Item).done = true
	s.jobs["j"].item(stray.Item.Item).run = 1000
	s.jobs["j"].item(stray.Item.Item).unrecordedEnds = 1
	poll(now, 1, runs[1], stray)
	is.Equal(ledger.Standing("a00").Running.MilliCPU, int64(2000)) // one that is placed and the stray one
	poll(now.Add(time.Millisecond), 1, runs[1])
	is.Equal(ledger.Standing("a00").Running.MilliCPU, int64(1000))

	poll(now.Add(2*time.Millisecond), 1, runs[1], stray)
	again := testInstance("a")
	again.Born = 2
	s.AddInstance(now, again)
	is.Equal(ledger.Standing("a00").Running.MilliCPU, int64(1000)) // the next incarnation may still start it
	s.RemoveInstance(now, "a")
	is.Equal(ledger.Standing("a00").Running, Resources{})
}

// Guards against work of an account that stops for a pool's size while its limit does not let it
// start again.
func TestWorkBeyondALoweredLimitStaysWhereItIs(t *testing.T) {
	is := is.New(t)
	ledger := &galenaaccount.Ledger{}
	accounts := []galenaaccount.Account{{Name: "a00", Weight: 1}}
	ledger.SetAccounts(accounts)
	s := newFencedScheduler()
	s.UseLedger(ledger)
	for _, id := range []string{"a", "b"} {
		s.AddInstance(t0, testInstance(id))
		req, _ := s.NextPoll(t0, galenahead.InstanceID(id))
		s.HandlePoll(t0, galenahead.InstanceID(id), PollResponse{Fence: req.Fence, Clock: 1000, Born: 1, Sent: t0})
	}
	j := testJob("j", 2)
	j.Account, j.Spec.Steps[0].LongRunning, j.Spec.Steps[0].MaxUnavailable = "a00", true, 1
	s.AddJob(t0, j, 0, false)
	as := starts(s.Plan(t0, t0))
	is.Equal(len(as), 2)
	var runs []Run
	for _, a := range as {
		s.HandleOutcome(t0, a, OutcomeDone, 1000, t0)
		runs = append(runs, Run{Item: a.Item, Number: a.Run, Percent: 100})
	}
	id := as[0].Instance.ID
	req, _ := s.NextPoll(t0, id)
	s.HandlePoll(t0, id, PollResponse{Fence: req.Fence, Clock: 1000, Born: 1, Sent: t0, Deadline: req.Deadline, Runs: runs})
	accounts[0].Limit = Resources{MilliCPU: 1000}
	ledger.SetAccounts(accounts)
	s.SetVacating(id)
	is.Equal(len(stops(s.Plan(t0, t0))), 0)
	accounts[0].Limit = Resources{}
	ledger.SetAccounts(accounts)
	is.Equal(len(stops(s.Plan(t0, t0))), 1)
}

// Guards against an order of accounts that depends on how they were hashed.
func TestTurnsAreDeterministic(t *testing.T) {
	order := func() []galenahead.JobID {
		l := newAccountLoad(t, equalAccounts(5), map[galenahead.ServiceName]int{"counter": 2})
		for i := range 30 {
			l.submit("counter", galenahead.AccountName(fmt.Sprintf("a%02d", i%5)), 2, 1000)
		}
		var out []galenahead.JobID
		for _, a := range starts(l.scheds["counter"].Plan(l.now, l.now)) {
			out = append(out, a.Item.Job)
		}
		return out
	}
	first := order()
	for range 5 {
		if slices.CompareFunc(first, order(), cmp.Compare) != 0 {
			t.Fatal("two plans of the same state differ")
		}
	}
}
