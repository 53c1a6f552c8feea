package sim

import (
	"strconv"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/test/galena-bench/trace"
)

const (
	// wayCentres and wayLocal are one-way latencies between and within data
	// centres.
	wayCentres = 1500 * time.Microsecond
	wayLocal   = 100 * time.Microsecond
	// failTime is how long a failing instance takes to answer with an error.
	failTime = time.Millisecond
	// connections bounds the requests that an instance accepts.
	connections = 64
	// grace is how long an entry waits for an answer after the deadline.
	grace = 500 * time.Millisecond
	// announcePeriod and announceLease are those of the announcements.
	announcePeriod = time.Second
	announceLease  = 3 * time.Second
	// stopAfterLeaving is how long a leaving instance still accepts requests.
	stopAfterLeaving = 5 * time.Second
)

// epoch is the start of the virtual time.
var epoch = time.Unix(1_700_000_000, 0)

// result is how an attempt ended.
type result int

const (
	ran result = iota
	failed
	refused
	silent
)

// query is one request of the trace on its way.
type query struct {
	index    int
	r        galenahead.Request
	run      time.Duration
	deadline time.Duration
	entry    *entry
	attempts int
	runs     int
	done     bool
}

// attempt is one try of a query at an instance.
type attempt struct {
	q    *query
	e    *entry
	in   *instance
	sent time.Duration
	// observed tells that the entry has seen the end of the attempt, or has given
	// it up.
	observed bool
	life     int
	// ended is called when the instance is done with the attempt.
	ended func(result)
}

// took is how long the attempt runs.
func (a *attempt) took() time.Duration {
	return time.Duration(float64(a.q.run) * a.in.Slowness)
}

// instance is one upstream process.
type instance struct {
	trace.Instance
	index    int
	id       galenahead.InstanceID
	centre   galenahead.DataCentre
	running  int
	waiting  []*attempt
	inFlight int
	peak     int
	failing  bool
	// failingLate tells that it runs requests and then answers with an error.
	failingLate bool
	stopped     bool
	cutOff      bool
	leaving     bool
	frozenTo    time.Duration
	announced   bool
	spent       int
}

// entry is one entry VM.
type entry struct {
	index  int
	centre galenahead.DataCentre
	dead   bool
	// life counts the starts of its process.
	life int
	open map[*query]bool
}

// world is one replay.
type world struct {
	loop
	t         *trace.Trace
	instances []*instance
	entries   []*entry
	policy    policy
	buddy     bool
	ends      []End
	runsTwice int
	// ranFor is the time that slots ran requests, usefulFor the part of it whose
	// answers were on time.
	ranFor, usefulFor time.Duration
	// load counts attempts by instance and requests by entry since watch.
	watch        time.Duration
	instanceLoad []int
	entryLoad    []int
}

// policy is what decides about requests.
type policy interface {
	// arrived is called when a query reaches its entry.
	arrived(q *query)
	// membership is called when the announced instances or the entries changed.
	membership()
}

func newWorld(t *trace.Trace) *world {
	w := &world{t: t, loop: loop{now: -warmUp}, ends: make([]End, len(t.Requests))}
	w.instanceLoad = make([]int, len(t.Instances))
	w.entryLoad = make([]int, len(t.Entries))
	for i, x := range t.Instances {
		w.instances = append(w.instances, &instance{
			Instance: x, index: i, announced: true, frozenTo: -warmUp, id: galenahead.InstanceID("i" + strconv.Itoa(i)),
			centre: galenahead.DataCentre(t.Centres[x.Centre]),
		})
	}
	for i, c := range t.Entries {
		w.entries = append(w.entries, &entry{index: i, centre: galenahead.DataCentre(t.Centres[c]), open: make(map[*query]bool)})
	}
	return w
}

func (w *world) time() time.Time { return epoch.Add(w.now) }

// replay runs the whole trace.
func (w *world) replay() {
	for _, f := range w.t.Faults {
		w.schedule(f)
	}
	w.at(0, func() { w.next(0, 0) })
	w.loop.run()
}

// next schedules the request with the index, and from there the one after it.
func (w *world) next(index int, last time.Duration) {
	if index == len(w.t.Requests) {
		return
	}
	x := w.t.Requests[index]
	at := last + time.Duration(x.After)*time.Microsecond
	w.at(at, func() {
		w.next(index+1, at)
		w.arrive(index, x)
	})
}

func (w *world) arrive(index int, x trace.Request) {
	patience := time.Duration(x.PatienceMS) * time.Millisecond
	q := &query{
		index: index, run: time.Duration(x.RunMicros) * time.Microsecond, deadline: w.now + patience,
		r: galenahead.Request{
			Key: galenahead.RequestKey(strconv.Itoa(index)), Path: x.Path(), Idempotent: x.Idempotent(),
			Service: galenahead.ServiceName(w.t.Services[x.Service]), Caller: galenahead.CallerName(w.t.Callers[x.Caller]),
			Arrived: w.time(), Deadline: w.time().Add(patience),
		},
	}
	q.entry = w.balance(int(x.Entry), index)
	q.entry.open[q] = true
	if w.now >= w.watch {
		w.entryLoad[q.entry.index]++
	}
	w.at(q.deadline+grace, func() { w.finish(q, EndUnknown) })
	w.policy.arrived(q)
}

// balance returns the entry for a request: the one in the trace, or another
// one when it is lost. With buddy set, the next entry gets all of a lost entry's
// requests; else they are spread over all entries.
func (w *world) balance(chosen, index int) *entry {
	n := len(w.entries)
	for step := range n {
		e := w.entries[(chosen+step)%n]
		if !e.dead {
			return e
		}
		if step == 0 && !w.buddy {
			chosen += index % n
		}
	}
	return w.entries[chosen%n]
}

// finish ends a query unless it has ended.
func (w *world) finish(q *query, kind EndKind) {
	if q.done {
		return
	}
	q.done = true
	delete(q.entry.open, q)
	if kind == EndOnTime && w.now > q.deadline {
		kind = EndLate
	}
	if kind == EndOnTime {
		w.usefulFor += q.run
	}
	w.ends[q.index] = End{Kind: kind, After: w.now - q.deadline, Attempts: q.attempts}
}

func (w *world) way(e *entry, in *instance) time.Duration {
	if e.centre == in.centre {
		return wayLocal
	}
	return wayCentres
}

// send starts an attempt. ended is called when the answer or an error reaches
// the entry; with silent, the instance was cut off.
func (w *world) send(q *query, e *entry, in *instance, ended func(result)) *attempt {
	a := &attempt{q: q, e: e, in: in, sent: w.now, life: e.life, ended: ended}
	q.attempts++
	if w.now >= w.watch {
		w.instanceLoad[in.index]++
	}
	in.inFlight++
	in.peak = max(in.peak, in.inFlight)
	w.in(w.way(e, in), func() { w.reach(a) })
	return a
}

// reach handles the arrival of an attempt at its instance.
func (w *world) reach(a *attempt) {
	in := a.in
	switch {
	case in.cutOff:
		w.silence(a)
	case in.stopped, in.inFlight > connections:
		w.reply(a, refused)
	case in.failing:
		in.spent++
		w.in(failTime, func() { w.reply(a, failed) })
	case in.running < in.Actual && in.frozenTo <= w.now:
		w.start(a)
	default:
		in.waiting = append(in.waiting, a)
	}
}

func (w *world) start(a *attempt) {
	a.in.running++
	a.q.runs++
	if a.q.runs == 2 && !a.q.r.Idempotent {
		w.runsTwice++
	}
	w.ranFor += a.took()
	w.in(a.took(), func() { w.complete(a) })
}

func (w *world) complete(a *attempt) {
	in := a.in
	if in.cutOff {
		in.running--
		w.silence(a)
		return
	}
	if in.frozenTo > w.now {
		w.at(in.frozenTo+time.Millisecond, func() { w.complete(a) })
		return
	}
	in.running--
	w.drain(in)
	if in.failingLate {
		in.spent++
		w.reply(a, failed)
		return
	}
	w.reply(a, ran)
}

// drain starts attempts that wait inside the instance.
func (w *world) drain(in *instance) {
	for in.running < in.Actual && len(in.waiting) > 0 && in.frozenTo <= w.now {
		a := in.waiting[0]
		in.waiting = in.waiting[1:]
		w.start(a)
	}
}

func (w *world) reply(a *attempt, res result) {
	w.in(w.way(a.e, a.in), func() { w.end(a, res) })
}

// silence ends an attempt at a lost instance when the entry gives it up. Its
// slot counts as used until then.
func (w *world) silence(a *attempt) {
	w.at(a.q.deadline+grace, func() { w.end(a, silent) })
}

func (w *world) end(a *attempt, res result) {
	a.in.inFlight--
	a.ended(res)
}

// schedule schedules a fault and its end.
func (w *world) schedule(f trace.Fault) {
	switch f.Kind {
	case trace.FaultFailing:
		in := w.instances[f.Index]
		w.at(f.From, func() { in.failing = true })
		w.at(f.Until, func() { in.failing = false })
	case trace.FaultFailingLate:
		in := w.instances[f.Index]
		w.at(f.From, func() { in.failingLate = true })
		w.at(f.Until, func() { in.failingLate = false })
	case trace.FaultFrozen:
		in := w.instances[f.Index]
		w.at(f.From, func() { in.frozenTo = f.Until })
		w.at(f.Until, func() { w.drain(in) })
		w.announceGap(in, f.From, f.Until)
	case trace.FaultLeaving:
		in := w.instances[f.Index]
		w.at(f.From, func() {
			in.leaving = true
			w.announce(in, false)
		})
		w.at(f.From+stopAfterLeaving, func() { in.stopped = true })
		w.at(f.Until, func() {
			in.stopped, in.leaving = false, false
			w.announce(in, true)
		})
	case trace.FaultCentre:
		w.scheduleCentre(f)
	case trace.FaultEntry:
		w.at(f.From, func() { w.killEntry(w.entries[f.Index]) })
	}
}

func (w *world) scheduleCentre(f trace.Fault) {
	for _, in := range w.instances {
		if in.Centre != f.Index {
			continue
		}
		w.at(f.From, func() {
			in.cutOff = true
			for _, a := range in.waiting {
				w.silence(a)
			}
			in.waiting = nil
		})
		w.at(f.Until, func() { in.cutOff = false })
		w.announceGap(in, f.From, f.Until)
	}
	for i, c := range w.t.Entries {
		if c == f.Index {
			e := w.entries[i]
			w.at(f.From, func() { w.killEntry(e) })
			w.at(f.Until, func() {
				e.dead = false
				w.policy.membership()
			})
		}
	}
}

// announceGap lets the announcement lease run out during a fault.
func (w *world) announceGap(in *instance, from, until time.Duration) {
	if until-from > announceLease-announcePeriod {
		w.at(from+announceLease-announcePeriod/2, func() { w.announce(in, false) })
	}
	w.at(until+announcePeriod/2, func() { w.announce(in, true) })
}

func (w *world) announce(in *instance, on bool) {
	in.announced = on
	w.policy.membership()
}

// killEntry ends the entry and its open requests. Their callers see closed
// connections.
func (w *world) killEntry(e *entry) {
	e.dead = true
	e.life++
	for _, q := range w.openOf(e) {
		w.finish(q, EndUnknown)
	}
	w.policy.membership()
}

// openOf returns the open queries of an entry in a fixed order.
func (w *world) openOf(e *entry) []*query {
	var all []*query
	for q := range e.open {
		all = append(all, q)
	}
	return sortQueries(all)
}
