package galenajob

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenaaccount"
)

// phase is the scheduler's view of the current run of a work item.
type phase int

const (
	// phasePending means that there is no run.
	phasePending phase = iota
	// phaseStarting means that the start command is not confirmed yet.
	phaseStarting
	phaseRunning
	// phaseStopping means that a stop command was issued.
	phaseStopping
	// phaseStale means that the run belongs to an earlier incarnation of its
	// instance. A delayed start command could still start it in the current
	// incarnation until that has seen its own, higher fencing token.
	phaseStale
)

// item is the scheduling state of a work item.
type item struct {
	set   *itemSet
	index int
	phase phase
	// run is the number of the present run, or of the last one, and sentRun the highest of which a
	// start was sent.
	run, sentRun int64
	instance     *instance
	done         bool
	// failures counts the recorded failed runs.
	failures   int
	checkpoint string
	// failedOn is the instance on which the last run or start failed.
	failedOn galenahead.InstanceID
	// notBefore is the earliest time of the next start or resent command.
	notBefore time.Time
	// confirmed is when the instance confirmed the last command, or zero. For a
	// stop command it is the time by which the end must be listed.
	confirmed time.Time
	inFlight  bool
	// crashes counts the recorded crashes of instances under the work item since a run has
	// outlived its probation.
	crashes int
	// losses is nil while the work item is no suspect.
	losses *losses
	// cleared is the number of the last run that has outlived its probation.
	cleared int64
	// runningSince is when the instance first confirmed that the run is at work, or zero.
	runningSince time.Time
	// ageUnknown is set for a run of an earlier owner, which may have been at work for long.
	ageUnknown bool
	// alone is set while no run on probation of another job is beside the present run.
	alone bool
	// evicted is set while the run is stopped because its instance is evacuated, within
	// the step's limit of unavailable work items.
	evicted bool
	// charged is set while the account's ledger counts the run, and expected while it counts
	// a run that an earlier owner may have started.
	charged, expected bool
	// startsSent counts the start commands sent for the run, and startRecorded is set once one is
	// recorded as unanswered.
	startsSent    int
	startRecorded bool
	// inFirstStarts is set while the scheduler's firstStarts holds the work item.
	inFirstStarts bool
	// startDeadline is the deadline of the last start command. unansweredUntil is the
	// latest deadline of those that got no response, or zero: until then the instance
	// may still execute one of them, whatever it answers to others. Both are on the
	// instance's clock.
	startDeadline, unansweredUntil int64
	// uncertainSince is when a start first got no response, or zero.
	uncertainSince time.Time
	// absentClock is the first reading of the instance's clock after unansweredUntil at
	// which it did not list the run, or zero.
	absentClock int64
	// stray holds the start commands without a response that may still be executed, or nil.
	stray *strayStart
	// placementSeq is the position of this placement among all on the instance.
	placementSeq int64
	// endUnrecorded marks a run whose end is not recorded yet. unrecordedEnds counts the
	// ends of all runs of the work item that are being recorded.
	endUnrecorded  bool
	unrecordedEnds int
	percent        int
	usage          int64
	pace           int
	pacing         paceState
}

func (it *item) id() ItemID {
	return ItemID{it.set.job.ID, ItemKey{it.set.occurrence, it.set.index, it.index}}
}

// serving reports whether a long-running item is known to serve requests now.
func (it *item) serving(now time.Time) bool {
	return it.phase == phaseRunning && it.percent >= 100 && !it.endUnrecorded && it.instance.vouches(now)
}

// itemSet holds the work items of one step in one occurrence of the job.
type itemSet struct {
	job        *job
	step       *Step
	occurrence int
	index      int
	items      []item
	itemsLeft  int
	// suspects counts the work items that are suspects.
	suspects int
	// untouched is set until a work item of the set has a run or a record.
	untouched bool
	// failedOn holds the first instances on which work items of the set have failed.
	failedOn []galenahead.InstanceID
	tickets  map[galenahead.InstanceID]ticket
	// adviceRequestedAt is when the last advice request without a usable response
	// was sent, or zero.
	adviceRequestedAt time.Time
	// asked holds the instances that the advisor was asked about, in adviceRequests
	// requests. fruitlessRounds counts the requests in a row that asked again although the
	// advisor had allowed none of the instances.
	asked           map[galenahead.InstanceID]adviceInquiry
	adviceRequests  int
	fruitlessRounds int
}

func (set *itemSet) addSuspects(n int) {
	set.suspects += n
	set.job.suspects += n
}

// ticket is the advisor's permission to start work items of one step on an
// instance.
type ticket struct {
	text    string
	born    int64
	expires time.Time
}

// unavailable counts the work items that do not serve.
func (set *itemSet) unavailable(now time.Time) int {
	n := 0
	for i := range set.items {
		if !set.items[i].serving(now) {
			n++
		}
	}
	return n
}

// leaving counts the work items that serve on instances which drain, and so are about to
// stop serving.
func (set *itemSet) leaving(now time.Time) int {
	n := 0
	for i := range set.items {
		if it := &set.items[i]; it.serving(now) && it.instance.Draining {
			n++
		}
	}
	return n
}

// firstPending returns the first work item of the set that has no run, or nil.
func (set *itemSet) firstPending() *item {
	for i := range set.items {
		if it := &set.items[i]; it.phase == phasePending && !it.done {
			return it
		}
	}
	return nil
}

// stepsOverBudget counts the long-running steps of which more work items do not serve than
// may be stopped at a time. Steps without a limit and work that has not started don't count.
func (j *job) stepsOverBudget(now time.Time) int {
	n := 0
	for _, sets := range j.sets {
		for _, set := range sets {
			if j.started && set.step.LongRunning && set.step.MaxUnavailable > 0 && set.unavailable(now) > set.step.MaxUnavailable {
				n++
			}
		}
	}
	return n
}

// job is the scheduling state of a job that is not final.
type job struct {
	*Job
	queue Queue
	// ledger is that of the scheduler.
	ledger *galenaaccount.Ledger
	// sets holds the item sets of the open occurrences, one for each step, and open their numbers in
	// order.
	sets map[int][]*itemSet
	open []int
	// overlapBytes is what the job has taken of overlaps for open occurrences.
	overlapBytes int64
	overlaps     Overlaps
	// unplanned marks a job that is only judged, and has no item sets.
	unplanned bool
	// criticalPath is the estimated duration of the longest chain of dependent
	// steps.
	criticalPath time.Duration
	longRunning  bool
	estimates    jobEstimates
	// acceptedAt is when the job was accepted, on the monotonic clock.
	acceptedAt time.Time
	// inherited marks a job accepted under an earlier owner. Its work items may
	// run on instances that this owner has not polled yet.
	inherited bool
	// final marks a job that was removed from the scheduler.
	final   bool
	started bool
	// reassigning is set while the job is handed to the scheduler of another service.
	reassigning bool
	// dueOccurrences is the number of occurrences whose start time has come.
	dueOccurrences int
	key            sortKey
	// ranked is set while the job is in scheduling order by key, and rankStale while it
	// waits to be ranked anew. transitionAt is the earliest time at which that happens by
	// itself, or zero.
	ranked, rankStale bool
	transitionAt      time.Time
	// settled is set while no work item of the job waits for an instance, as of the last
	// plan: until a run ends, a plan has nothing to do for it.
	settled bool
	// reserveAfter is when instances may be reserved for the job again, and
	// uselessReservations counts its reservations in a row that have expired.
	reserveAfter        time.Time
	uselessReservations int
	// smallest is not more than any of the job's work items needs.
	smallest Resources
	// suspects counts the work items that are suspects.
	suspects int
}

// smallestNeed returns reservations that each step of the spec needs at least.
func smallestNeed(spec *Spec) Resources {
	var least Resources
	for i := range spec.Steps {
		r := spec.Steps[i].reservation()
		if i == 0 {
			least = r
			continue
		}
		least = Resources{MilliCPU: min(least.MilliCPU, r.MilliCPU), MemoryMB: min(least.MemoryMB, r.MemoryMB), GPU: min(least.GPU, r.GPU)}
	}
	return least
}

// item returns the work item with a key, or nil when the job has none or its occurrence is over.
func (j *job) item(k ItemKey) *item {
	if k.Step < 0 || k.Step >= len(j.Spec.Steps) || k.Occurrence < 0 || k.Occurrence >= j.Spec.Occurrences() {
		return nil
	}
	sets := j.occurrence(k.Occurrence)
	if sets == nil || k.Index < 0 || k.Index >= len(sets[k.Step].items) {
		return nil
	}
	return &sets[k.Step].items[k.Index]
}

// occurrence returns the item sets of an occurrence, which the first call
// creates, or nil if the occurrence is over.
func (j *job) occurrence(occurrence int) []*itemSet {
	if sets, ok := j.sets[occurrence]; ok {
		return sets
	}
	if j.Over.Has(occurrence) {
		return nil
	}
	sets := make([]*itemSet, len(j.Spec.Steps))
	for i := range j.Spec.Steps {
		step := &j.Spec.Steps[i]
		set := &itemSet{job: j, step: step, occurrence: occurrence, index: i, items: make([]item, step.Count), itemsLeft: step.Count, untouched: true}
		for k := range set.items {
			it := &set.items[k]
			it.set, it.index, it.pace = set, k, 100
			record, ok := j.Items[ItemKey{occurrence, i, k}]
			if !ok {
				continue
			}
			set.untouched = false
			it.done, it.failures, it.crashes = record.Done, len(record.Failed), len(record.Crashed)+len(record.Uncertain)
			it.cleared = record.Cleared
			if it.crashes > 0 {
				it.losses = &losses{count: it.crashes}
				set.addSuspects(1)
			}
			if record.Done {
				set.itemsLeft--
			}
		}
		sets[i] = set
	}
	j.sets[occurrence] = sets
	at, _ := slices.BinarySearch(j.open, occurrence)
	j.open = slices.Insert(j.open, at, occurrence)
	return sets
}

// dependenciesDone reports whether all steps that the set depends on are done.
func (set *itemSet) dependenciesDone() bool {
	sets := set.job.sets[set.occurrence]
	for _, a := range set.step.After {
		if a >= 0 && a < len(sets) && sets[a].itemsLeft > 0 {
			return false
		}
	}
	return true
}

// criticalPath returns the estimated duration of the longest chain of dependent
// steps.
func criticalPath(spec *Spec) time.Duration {
	ends := make([]time.Duration, len(spec.Steps))
	var longest time.Duration
	for i := range spec.Steps {
		var begin time.Duration
		for _, a := range spec.Steps[i].After {
			if a >= 0 && a < i {
				begin = max(begin, ends[a])
			}
		}
		ends[i] = begin + spec.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// instance is the scheduling state of an instance.
type instance struct {
	Instance
	// fence is the fencing token of commands to this incarnation.
	fence int64
	// fenceConfirmed is set once the instance has seen the fence. It then rejects
	// commands from earlier owners and for earlier incarnations.
	fenceConfirmed bool
	// fencedAt is when the instance first responded to a poll with the fence, or zero.
	fencedAt time.Time
	// unreconciled marks an instance that may still run work started by an
	// earlier owner. It is cleared by a poll response later than StopTimeout after the
	// first one, which lists all that is left to end, or at reconciledBy
	// when that owner's leases have expired.
	unreconciled bool
	reconciledBy time.Time
	used         Resources
	items        map[ItemID]*item
	// unconfirmed counts the work items with a command that waits for its confirmation.
	unconfirmed int
	// placements counts all placements of work items on the instance.
	placements int64
	// clock is a reading of the instance's clock, in milliseconds, that arrived at
	// clockAt.
	clock   int64
	clockAt time.Time
	// maxDeadline is the latest deadline sent to the instance, on its clock, and grantedUntil
	// the latest one that it has certainly received.
	maxDeadline, grantedUntil int64
	// renewedAt is when the last call was sent that renews the lease.
	renewedAt time.Time
	// heldUntil is how long the instance may hold a lease that maxDeadline does not show, on
	// the scheduler's clock.
	heldUntil time.Time
	// strayCalls counts the calls to earlier incarnations that this one may still execute,
	// and strayUntil is how long it may hold a lease of one that it has executed. Both are
	// zero once it refuses such calls.
	strayCalls int
	strayUntil time.Time
	// earlierClock is what the clock of the incarnation before had reached at the least.
	earlierClock int64
	// followsAnother is set if the instance had an earlier incarnation.
	followsAnother bool
	// pollOpen is set while a poll that renews the lease has no response, and lostCallAt is
	// when the last call that has got none was sent.
	pollOpen   bool
	lostCallAt time.Time
	// inheritedAt is when the instance was taken over from an earlier owner, or zero.
	inheritedAt time.Time
	// seenSeq is the sequence number of the last end that was received, cursor that
	// of the last end that was processed and recorded, and ackedSeq that of the
	// last end that the instance knows it may delete.
	seenSeq, cursor, ackedSeq int64
	// recording is set while ends up to seenSeq are being recorded.
	recording   bool
	respondedAt time.Time
	heartbeatAt time.Time
	// unansweredSince is the send time of the first unanswered call since the last
	// response, or zero.
	unansweredSince time.Time
	// overdue is set while an idle instance is polled because it has shown no sign of life.
	overdue bool
	// refusedSince and refusedAt are the send times of the first and the last of the calls in a row
	// for which the host refused a connection. refusedSince is zero if the last one was not refused.
	refusedSince, refusedAt time.Time
	// suspectUntil is how long the instance is suspected of a fault, which showed at suspectedAt
	// last, and barredUntil how long it gets no work for that.
	suspectedAt, barredUntil, suspectUntil time.Time
	// failedSets holds the sets of which runs have failed here since the last one that was done,
	// the latest of each job.
	failedSets []*itemSet
	// addressReused is set when another instance has registered at the address since the
	// last response.
	addressReused bool
	// isolated is the last suspect that was placed here, and heldFor the job of the one for
	// which the instance is kept free of other starts.
	isolated *item
	heldFor  *job
	// removing is set once the scheduler has given up the instance, until the owner
	// removes it.
	removing bool
	// leaving is set once the instance has deregistered, until it has certainly ended. It
	// gets no work, and its lease is not renewed.
	leaving bool
	// evacuating is set before a planned move or maintenance, with the evacuation.
	evacuating bool
	evacuation evacuation
	// maintenanceDue is set when the instance is to be taken down for maintenance
	// later.
	maintenanceDue bool
	drainingSince  time.Time
	idleSince      time.Time
	paceChangedAt  time.Time
	// lateRuns holds the latest late run of each work item that was reported.
	lateRuns map[ItemID]int64
	// strays holds the runs that the last poll listed although no work item is placed here for
	// them. They count against the limits of their accounts.
	strays []stray
}

// minClockRate is the slowest rate of an instance's clock. The users state that
// the clock may be 2% slow.
const minClockRate = 0.98

// expirySlack allows for the millisecond granularity of clock readings.
const expirySlack = 50 * time.Millisecond

// leaseExpired reports whether the lease of everything started on the instance
// has certainly expired.
func (inst *instance) leaseExpired(now time.Time) bool {
	if now.Before(inst.heldUntil) || now.Before(inst.strayUntil) {
		return false
	}
	if inst.maxDeadline == 0 {
		return true
	}
	rest := time.Duration(float64(inst.maxDeadline-inst.clock)/minClockRate) * time.Millisecond
	return now.After(inst.clockAt.Add(rest + expirySlack))
}

// vouches reports whether the last answer of the instance shows what is at work there now:
// it has left no call unanswered, its address is its own, its lease holds, and no stop of an
// earlier owner may be under way.
func (inst *instance) vouches(now time.Time) bool {
	latestClock := inst.clock + now.Sub(inst.clockAt).Milliseconds()
	return inst.unansweredSince.IsZero() && !inst.addressReused && !inst.unreconciled && latestClock < inst.grantedUntil
}

// estimatedClock returns a reading that the instance's clock has reached by now. A lease
// that ends some time after it is never longer than that on the instance.
func (inst *instance) estimatedClock(now time.Time) int64 {
	return inst.clock + int64(minClockRate*float64(now.Sub(inst.clockAt))/float64(time.Millisecond))
}

// updateClock corrects the estimate of the instance's clock by a reading.
func (inst *instance) updateClock(now time.Time, clock int64) {
	if clock <= 0 {
		return
	}
	// A delayed reading must not move the estimate back.
	if inst.clockAt.IsZero() || clock >= inst.estimatedClock(now) {
		inst.clock, inst.clockAt = clock, now
	}
}

// extendDeadline returns the deadline on the instance's clock for a lease that
// starts now, and keeps the latest one in maxDeadline and renewedAt.
func (inst *instance) extendDeadline(now time.Time, lease time.Duration) int64 {
	d := inst.estimatedClock(now) + lease.Milliseconds()
	inst.maxDeadline, inst.renewedAt = max(inst.maxDeadline, d), now
	return d
}

// sortedItems returns the work items on the instance in the order of their
// placement, so that the same events always lead to the same decisions.
func (inst *instance) sortedItems() []*item {
	out := make([]*item, 0, len(inst.items))
	for _, it := range inst.items {
		out = append(out, it)
	}
	slices.SortFunc(out, func(a, b *item) int { return cmp.Compare(a.placementSeq, b.placementSeq) })
	return out
}

func (inst *instance) free() Resources { return inst.Capacity.Sub(inst.used) }

func (inst *instance) rack() string {
	if len(inst.Labels) == 0 {
		return ""
	}
	return inst.Labels[len(inst.Labels)-1]
}

func (inst *instance) hasLabel(label string) bool {
	return label == "" || slices.Contains(inst.Labels, label)
}

// place assigns a run of a work item to the instance.
func (inst *instance) place(it *item, run int64) {
	inst.placements++
	it.set.untouched = false
	it.instance, it.run, it.placementSeq = inst, run, inst.placements
	it.confirmed, it.percent, it.usage = time.Time{}, 0, 0
	it.pace, it.pacing = 100, paceState{}
	it.endUnrecorded, it.evicted, it.startsSent, it.startRecorded = false, false, 0, false
	it.runningSince, it.ageUnknown = time.Time{}, false
	inst.beginProbation(it)
	it.startDeadline, it.unansweredUntil, it.uncertainSince, it.absentClock = 0, 0, time.Time{}, 0
	inst.items[it.id()] = it
	inst.used = inst.used.Add(it.set.step.reservation())
}

// setPhase changes the phase of the work item's run.
func (it *item) setPhase(p phase) {
	if it.instance != nil {
		if it.phase.unconfirmed() {
			it.instance.unconfirmed--
		}
		if p.unconfirmed() {
			it.instance.unconfirmed++
		}
	}
	it.phase = p
}

// unconfirmed reports whether a command waits for its confirmation in this phase.
func (p phase) unconfirmed() bool { return p == phaseStarting || p == phaseStopping }

// confirmRunning records that the instance has confirmed the start of the run.
func (it *item) confirmRunning(now time.Time) {
	it.setPhase(phaseRunning)
	it.confirmed, it.runningSince, it.unansweredUntil = now, now, 0
}

// release takes the work item off its instance and makes it pending again.
func (it *item) release(now time.Time) {
	inst := it.instance
	if inst == nil {
		return
	}
	delete(inst.items, it.id())
	inst.used = inst.used.Sub(it.set.step.reservation())
	if len(inst.items) == 0 {
		inst.idleSince = now
	}
	it.uncharge()
	it.setPhase(phasePending)
	it.instance, it.confirmed, it.inFlight = nil, time.Time{}, false
	it.set.job.settled = false
	it.endUnrecorded = false
	it.percent, it.usage, it.notBefore = 0, 0, time.Time{}
	if it.suspect() {
		it.notBefore = it.losses.pausedUntil
	}
}
