package galenafleet

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
	"github.com/galenahead/galenahead/galenalog"
)

const (
	// planTick advances what depends on time when nothing else happens.
	planTick = 100 * time.Millisecond
	// planPause is the shortest time between two plans, so that events share one.
	planPause = 2 * time.Millisecond
	// lookWait is how long a look waits for an end; it renews the lease several
	// times before that lapses.
	lookWait = time.Second
	// lookPause follows a look, so that ends at nearly the same time share one.
	lookPause = 20 * time.Millisecond
	// lookRetry is the pause after a look that failed.
	lookRetry = 200 * time.Millisecond
)

// shard schedules one service under its own lock.
type shard struct {
	office  *office
	service galenahead.ServiceName
	wake    chan struct{}

	mu    sync.Mutex
	sched *galenajob.Scheduler
	looks map[galenahead.InstanceID]*look
	// questions holds the questions to the advisor that wait.
	questions chan galenajob.Action
}

// look is the loop that looks at one instance.
type look struct {
	poke   chan struct{}
	cancel context.CancelFunc
	// failed tells that the last look had no answer. Only the loop uses it.
	failed bool
}

// note logs when the instance stops answering and when it answers again.
func (l *look) note(log *logrus.Logger, id galenahead.InstanceID, err error) {
	if l.failed == (err != nil) {
		return
	}
	l.failed = err != nil
	if l.failed {
		log.WithError(err).WithField("instance", id).Info("instance does not answer")
	} else {
		log.WithField("instance", id).Info("instance answers again")
	}
}

// advisorQueue bounds the questions of one service that wait.
const advisorQueue = 32

func newShard(f *office, service galenahead.ServiceName) *shard {
	return &shard{
		office: f, service: service, wake: make(chan struct{}, 1),
		sched:     galenajob.NewScheduler(service, f.epoch, f.Params),
		looks:     map[galenahead.InstanceID]*look{},
		questions: make(chan galenajob.Action, advisorQueue),
	}
}

func (sh *shard) now() time.Time { return sh.office.Timers.Now() }

// signal lets the shard plan soon.
func (sh *shard) signal() { poke(sh.wake) }

func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// with runs f under the shard's lock and then lets it plan.
func (sh *shard) with(f func(now time.Time, s *galenajob.Scheduler)) {
	sh.mu.Lock()
	f(sh.now(), sh.sched)
	sh.mu.Unlock()
	sh.signal()
}

func (sh *shard) add(j *galenajob.Job, age time.Duration, earlier bool) {
	sh.with(func(now time.Time, s *galenajob.Scheduler) { s.AddJob(now, j, age, earlier) })
}

// addKnown adds an instance that an earlier owner may have given orders to.
func (sh *shard) addKnown(in galenajob.Instance) {
	const slowClock = 1.03
	lapse := time.Duration(slowClock * float64(sh.office.Params.Lease))
	sh.with(func(now time.Time, s *galenajob.Scheduler) { s.AddKnownInstance(now, in, now.Add(lapse)) })
	sh.look(in.ID)
}

// addInstance adds or updates an instance.
func (sh *shard) addInstance(in galenajob.Instance, clock int64) {
	sh.with(func(now time.Time, s *galenajob.Scheduler) {
		s.AddInstance(now, in)
		s.Beat(now, in.ID, clock)
	})
	sh.look(in.ID)
}

// remove forgets an instance.
func (sh *shard) remove(id galenahead.InstanceID) {
	sh.with(func(now time.Time, s *galenajob.Scheduler) { s.Remove(now, id) })
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if l := sh.looks[id]; l != nil {
		l.cancel()
		delete(sh.looks, id)
	}
}

// look starts the loop of an instance, unless it runs.
func (sh *shard) look(id galenahead.InstanceID) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if l, ok := sh.looks[id]; ok {
		poke(l.poke)
		return
	}
	ctx, cancel := context.WithCancel(sh.office.ctx)
	l := &look{poke: make(chan struct{}, 1), cancel: cancel}
	sh.looks[id] = l
	sh.office.spawn(func() error { return sh.lookLoop(ctx, id, l) })
}

// loop plans and hands out what follows.
func (sh *shard) loop(ctx context.Context) error {
	sh.office.spawn(func() error { return sh.adviseLoop(ctx) })
	ticks := sh.office.Timers.Subscribe(ctx, "plan", planTick)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
		case <-sh.wake:
		}
		sh.plan(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-sh.office.Timers.After(ctx, planPause):
		}
	}
}

func (sh *shard) plan(ctx context.Context) {
	sh.mu.Lock()
	actions := sh.sched.Plan(sh.now(), time.Now().Round(0))
	gone := sh.sched.Gone()
	sh.mu.Unlock()
	for _, a := range actions {
		sh.dispatch(ctx, a)
	}
	for _, id := range gone {
		sh.giveUp(id)
	}
}

// giveUp forgets an instance that is not heard of any more.
func (sh *shard) giveUp(id galenahead.InstanceID) {
	if _, err := sh.office.commits.commit(Op{Remove: &id}); err != nil {
		return
	}
	sh.office.Logger.WithField("instance", id).WithField("service", sh.service).Info("instance is gone")
	sh.remove(id)
}

func (sh *shard) dispatch(ctx context.Context, a galenajob.Action) {
	if a.Kind == galenajob.ActAdvise {
		select {
		case sh.questions <- a:
		default:
			sh.with(func(now time.Time, s *galenajob.Scheduler) { s.Advised(now, a, nil, 0) })
		}
		return
	}
	sh.office.spawn(func() error { sh.order(ctx, a); return nil })
}

// order sends one order and takes over its answer.
func (sh *shard) order(ctx context.Context, a galenajob.Action) {
	if !sh.office.leads() {
		return
	}
	sent := sh.now()
	o, clock, err := galenajob.OutcomeUnknown, int64(0), error(nil)
	switch a.Kind {
	case galenajob.ActStart:
		o, clock, err = sh.office.Instances.Start(ctx, a)
	case galenajob.ActStop:
		o, clock, err = sh.office.Instances.Stop(ctx, a)
	case galenajob.ActPace:
		if err = sh.office.Instances.Pace(ctx, a); err == nil {
			o = galenajob.OutcomeDone
		}
	}
	sh.record(a, o, sh.now().Sub(sent), err)
	if a.Kind == galenajob.ActPace {
		return
	}
	sh.with(func(now time.Time, s *galenajob.Scheduler) { s.Ordered(now, a, o, clock, sent) })
	sh.mu.Lock()
	l := sh.looks[a.Instance.ID]
	sh.mu.Unlock()
	if l != nil {
		poke(l.poke)
	}
}

// record logs and counts an order.
func (sh *shard) record(a galenajob.Action, o galenajob.Outcome, took time.Duration, err error) {
	sh.office.Metrics.Counters.Add("order_"+string(a.Kind)+"_"+o.String(), 1)
	galenalog.Info(sh.office.Logger, "order", orderLine{a, o, took, err})
}

// lookLoop looks at an instance whenever something runs there.
func (sh *shard) lookLoop(ctx context.Context, id galenahead.InstanceID, l *look) error {
	for ctx.Err() == nil {
		sh.mu.Lock()
		o, ok := sh.sched.Hold(sh.now(), id)
		sh.mu.Unlock()
		pause := time.Duration(0)
		if ok {
			pause = sh.lookOnce(ctx, id, l, o)
		}
		if !ok {
			select {
			case <-ctx.Done():
			case <-l.poke:
			}
			continue
		}
		select {
		case <-ctx.Done():
		case <-sh.office.Timers.After(ctx, pause):
		}
	}
	return nil
}

// lookOnce looks once and returns the pause until the next look.
func (sh *shard) lookOnce(ctx context.Context, id galenahead.InstanceID, l *look, o galenajob.HoldOrder) time.Duration {
	sent := sh.now()
	wait := time.Duration(0)
	if o.Wait {
		wait = lookWait
	}
	a, err := sh.office.Instances.Hold(ctx, o, wait)
	switch {
	case ctx.Err() != nil:
		return 0
	case errors.Is(err, ErrFenced):
		sh.office.resign(err)
		return 0
	case err != nil:
		sh.office.Metrics.Counters.Add("looks_failed", 1)
		l.note(sh.office.Logger, id, err)
		sh.with(func(_ time.Time, s *galenajob.Scheduler) { s.Unanswered(id, sent) })
		return lookRetry
	}
	l.note(sh.office.Logger, id, nil)
	sh.office.Metrics.Counters.Add("looks", 1)
	a.Fence, a.Cursor, a.Sent = o.Fence, o.Cursor, sent
	var ends []galenajob.End
	sh.with(func(now time.Time, s *galenajob.Scheduler) { ends = s.Held(now, id, a) })
	if len(ends) > 0 {
		sh.recordEnds(id, o.Instance.Born, ends)
	}
	return lookPause
}

// recordEnds makes ends durable and lets the schedule go on.
func (sh *shard) recordEnds(id galenahead.InstanceID, born int64, ends []galenajob.End) {
	at := time.Now().Round(0)
	ops := make([]Op, len(ends))
	for i, e := range ends {
		ops[i] = Op{End: &EndOp{Job: e.Item.Job, Item: e.Item.Item, How: e.How, At: at, Run: e.Number}}
	}
	results, err := sh.office.commits.commit(ops...)
	if err != nil {
		return
	}
	sh.with(func(now time.Time, s *galenajob.Scheduler) {
		fresh := make([]bool, len(ends))
		for i, r := range results {
			fresh[i] = r.Code == CodeDone
		}
		s.Recorded(now, id, born, ends, fresh)
		for i, r := range results {
			if r.JobState.Final() {
				s.Finish(now, ends[i].Item.Job)
			}
		}
	})
	for i, e := range ends {
		galenalog.Info(sh.office.Logger, "end", endLine{e, id, results[i].JobState})
	}
}

// adviseLoop asks the advisor one question at a time.
func (sh *shard) adviseLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case a := <-sh.questions:
			sh.ask(ctx, a)
		}
	}
}

func (sh *shard) ask(ctx context.Context, a galenajob.Action) {
	sent := sh.now()
	tickets, validity, err := sh.office.Advisor.Advise(ctx, a.Item, a.Candidates)
	if err != nil {
		sh.office.Logger.WithError(err).WithField("job", a.Item.Job).Info("advisor did not answer")
		tickets = nil
	}
	spent := sh.now().Sub(sent)
	sh.with(func(now time.Time, s *galenajob.Scheduler) { s.Advised(now, a, tickets, validity-spent) })
}
