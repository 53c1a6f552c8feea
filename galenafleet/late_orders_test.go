package galenafleet

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
)

// lateMachines is a machines service with one machine, whose instance registers and
// sends heartbeats. It checks fencing tokens, and may leave an order unanswered and
// carry it out later.
type lateMachines struct {
	MachineClient
	mu       sync.Mutex
	owner    *Owner
	pool     galenahead.ServiceName
	state    MachineState
	instance galenahead.InstanceID
	token    uint64
	lives    int
	orders   int
	// maintained holds the waves whose maintenance the machine has had.
	maintained map[int64]bool
	// respond returns how an attempt, counted from 1, is answered: if late is set it is
	// not answered, and carried out after that time; otherwise it fails with err, or is
	// carried out at once.
	respond func(attempt int) (late time.Duration, err error)
	// answerTime is how long the answer to an order that was carried out takes.
	answerTime time.Duration
	// noList makes requests for the list fail.
	noList bool
	// work holds the runs on each instance, and lost the instances that an order stopped
	// although they had some.
	work map[galenahead.InstanceID]map[galenajob.ItemID]int64
	lost []galenahead.InstanceID
	// lateOutcome is the result of the order that was carried out late.
	lateDone    bool
	lateOutcome error
}

const (
	lateCallTimeout = 2 * time.Second
	lateMoveTime    = 1500 * time.Millisecond
)

func newLateMachines(o *Owner) *lateMachines {
	f := &lateMachines{
		owner: o, pool: "counter", state: MachineUp, instance: "i0",
		maintained: map[int64]bool{}, work: map[galenahead.InstanceID]map[galenajob.ItemID]int64{},
	}
	o.Machines, o.Instances = f, &workingInstances{f}
	return f
}

func (f *lateMachines) List(context.Context) ([]Machine, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.noList {
		return nil, eris.New("no list")
	}
	return []Machine{{Name: "m", Pool: f.pool, State: f.state, Instance: f.instance, Capacity: galenajob.Resources{MilliCPU: 1000}}}, nil
}

func (f *lateMachines) Move(_ context.Context, _ galenahead.VMName, pool galenahead.ServiceName, _ string, token uint64) error {
	return f.handle(func() error { return f.move(pool, token) })
}

func (f *lateMachines) Maintain(_ context.Context, _ galenahead.VMName, wave int64, _ string, token uint64) error {
	return f.handle(func() error { return f.maintain(wave, token) })
}

// handle answers an order, which is carried out by execute.
func (f *lateMachines) handle(execute func() error) error {
	f.mu.Lock()
	f.orders++
	late, err := f.respond(f.orders)
	f.mu.Unlock()
	switch {
	case late > 0:
		time.AfterFunc(late, func() {
			err := execute()
			f.mu.Lock()
			defer f.mu.Unlock()
			f.lateDone, f.lateOutcome = true, err
		})
		time.Sleep(lateCallTimeout)
		return eris.New("no response")
	case err != nil:
		return err
	}
	err = execute()
	time.Sleep(f.answerTime)
	return err
}

// move carries out an order to move the machine.
func (f *lateMachines) move(pool galenahead.ServiceName, token uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if done, err := f.check(pool == f.pool, token); done || err != nil {
		return err
	}
	f.stop(MachineMoving)
	time.AfterFunc(lateMoveTime, func() { f.start(pool) })
	return nil
}

// maintain carries out an order to maintain the machine.
func (f *lateMachines) maintain(wave int64, token uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if done, err := f.check(f.maintained[wave], token); done || err != nil {
		return err
	}
	f.maintained[wave] = true
	f.stop(MachineMaintenance)
	pool := f.pool
	time.AfterFunc(lateMoveTime, func() { f.start(pool) })
	return nil
}

// check reports whether an order was carried out before, or why it is rejected. f.mu
// must be held.
func (f *lateMachines) check(doneBefore bool, token uint64) (bool, error) {
	switch {
	case token < f.token:
		return false, ErrFenced
	case doneBefore:
	case f.state != MachineUp:
		return false, ErrBusy
	}
	f.token = token
	return doneBefore, nil
}

// stop ends what runs on the machine. f.mu must be held.
func (f *lateMachines) stop(state MachineState) {
	if len(f.work[f.instance]) > 0 {
		f.lost = append(f.lost, f.instance)
	}
	f.state, f.instance = state, ""
}

// start brings up the machine in a pool with another instance.
func (f *lateMachines) start(pool galenahead.ServiceName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lives++
	f.pool, f.state, f.instance = pool, MachineUp, ""
	if pool != "spare" {
		f.instance = galenahead.InstanceID(fmt.Sprintf("i%d", f.lives))
	}
}

// sendHeartbeats sends heartbeats of the present instance until ctx ends.
func (f *lateMachines) sendHeartbeats(ctx context.Context) {
	for n := int64(1); ctx.Err() == nil; n++ {
		f.mu.Lock()
		in := testHeartbeat.Instance
		in.ID, in.Service, in.Born = f.instance, f.pool, int64(f.lives+1)
		f.mu.Unlock()
		if in.ID != "" {
			// An owner may be missing for a while.
			_, _ = f.owner.Heartbeat(ctx, Heartbeat{Instance: in, Sequence: n, Clock: 1000 + 100*n})
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// restart ends what runs on the machine, which comes back with another instance. That is
// not the result of an order.
func (f *lateMachines) restart() {
	f.mu.Lock()
	delete(f.work, f.instance)
	pool := f.pool
	f.mu.Unlock()
	f.start(pool)
}

// attempts returns the number of orders sent.
func (f *lateMachines) attempts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.orders
}

// waitUntil sleeps until done, for at most limit.
func waitUntil(t *testing.T, limit time.Duration, done func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not reached in time")
		}
	}
}

// workingInstances runs all work until its machine stops.
type workingInstances struct{ f *lateMachines }

func (w *workingInstances) Start(_ context.Context, a galenajob.Action, _ time.Duration) (galenajob.Outcome, int64, error) {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	if a.Instance.ID != w.f.instance {
		return galenajob.OutcomeUnknown, 0, eris.New("no response")
	}
	if w.f.work[a.Instance.ID] == nil {
		w.f.work[a.Instance.ID] = map[galenajob.ItemID]int64{}
	}
	w.f.work[a.Instance.ID][a.Item] = a.Run
	return galenajob.OutcomeDone, 0, nil
}

func (w *workingInstances) Stop(_ context.Context, a galenajob.Action, _ time.Duration) (galenajob.Outcome, int64, error) {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	delete(w.f.work[a.Instance.ID], a.Item)
	return galenajob.OutcomeDone, 0, nil
}

func (w *workingInstances) Pace(context.Context, galenajob.Action, time.Duration) error { return nil }

func (w *workingInstances) RenewAndPoll(_ context.Context, req galenajob.PollRequest, wait, _ time.Duration) (galenajob.PollResponse, error) {
	time.Sleep(max(wait, 10*time.Millisecond))
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	if req.Instance.ID != w.f.instance {
		return galenajob.PollResponse{}, eris.New("no response")
	}
	resp := galenajob.PollResponse{Born: req.Instance.Born}
	for item, run := range w.f.work[req.Instance.ID] {
		resp.Runs = append(resp.Runs, galenajob.Run{Item: item, Number: run, Percent: 50})
	}
	return resp, nil
}

// spareConfig is testConfig with a spare pool.
var spareConfig = Config{
	Version: 1, Services: []Service{{Name: "counter"}, {Name: "spare", Spare: true}}, Queues: testConfig.Queues,
}

// startOwner starts the owner, which runs until stop or until the test ends.
func (f *lateMachines) startOwner(t *testing.T) (ctx context.Context, stop func()) {
	t.Helper()
	ctx, stop = startOwner(t, f.owner, spareConfig)
	t.Cleanup(func() {
		stop()
		time.Sleep(2 * lateCallTimeout) // until the calls have returned
	})
	return ctx, stop
}

// startIdle starts the owner with a machine that is powered off for lack of work, and
// returns when the first order has been sent.
func (f *lateMachines) startIdle(t *testing.T) (ctx context.Context, stop func()) {
	t.Helper()
	start := time.Now().Round(0).Add(-peakRiseTime)
	apply(t, f.owner.State, Op{Peak: &DemandPeak{Service: "counter", Start: start, Machines: 1}})
	ctx, stop = f.startOwner(t)
	go f.sendHeartbeats(t.Context())
	waitUntil(t, 10*time.Second, func() bool { return f.attempts() > 0 })
	return ctx, stop
}

// startWave starts the owner and a maintenance wave, and returns when the first order has
// been sent.
func (f *lateMachines) startWave(t *testing.T) (ctx context.Context, stop func()) {
	t.Helper()
	ctx, stop = f.startOwner(t)
	go f.sendHeartbeats(t.Context())
	time.Sleep(time.Second)
	wave := Wave{ID: 1, Machines: []galenahead.VMName{"m"}, Duration: 20 * time.Second, MaxDown: 1}
	if _, err := f.owner.BeginWave(ctx, wave); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, 5*time.Second, func() bool { return f.attempts() > 0 })
	return ctx, stop
}

// setList sets whether the list of machines can be read.
func (f *lateMachines) setList(available bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noList = !available
}

// submitWork submits a job of two work items, of which an instance has room for one. One
// of them may be sent to an instance that has crashed.
func submitWork(ctx context.Context, t *testing.T, o *Owner) {
	t.Helper()
	step := galenajob.Step{Count: 2, Need: galenajob.Resources{MilliCPU: 600}, Estimate: 30 * time.Second}
	r, err := o.Do(ctx, Request{Kind: RequestSubmit, Host: "h", Path: "/q/j", Spec: &galenajob.Spec{Steps: []galenajob.Step{step}}})
	if err != nil || r.Outcome != OutcomeAccepted {
		t.Fatalf("job not accepted: %v, %v", r.Outcome, err)
	}
}

// carriedOutLate reports whether the unanswered order has been carried out.
func (f *lateMachines) carriedOutLate() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lateDone
}

// works reports whether an instance has got work.
func (f *lateMachines) works(id galenahead.InstanceID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.work[id]) > 0
}

// lostWork returns the instances with work that an order stopped.
func (f *lateMachines) lostWork() []galenahead.InstanceID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost
}

// Guards against lost work on a machine whose move was sent twice: the refusal of the
// second order said nothing about the first one, which had no response and was carried
// out late, when the instance was at work again.
func TestRefusedRepeatKeepsUnansweredMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		f := newLateMachines(o)
		f.respond = func(attempt int) (time.Duration, error) {
			if attempt == 1 {
				return 6 * time.Second, nil
			}
			if !f.lateDone {
				return 0, ErrBusy
			}
			return 0, nil
		}
		ctx, _ := f.startIdle(t)
		waitUntil(t, 5*time.Second, func() bool { return f.attempts() > 1 })
		time.Sleep(100 * time.Millisecond)
		submitWork(ctx, t, o)
		waitUntil(t, 10*time.Second, f.carriedOutLate)
		is.Equal(len(f.lostWork()), 0)                                     // the instance got work although an order was pending
		waitUntil(t, 20*time.Second, func() bool { return f.works("i2") }) // the machine came back for the job
	})
}

// Guards against lost work on a machine that has been moved twice: an order of the first
// move that had no response was carried out after the second move.
func TestLaterMoveExcludesUnansweredOrderOfEarlierMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		f := newLateMachines(o)
		f.respond = func(attempt int) (time.Duration, error) {
			if attempt == 1 {
				return 12 * time.Second, nil
			}
			return 0, nil
		}
		ctx, _ := f.startIdle(t)
		waitUntil(t, 5*time.Second, func() bool { return f.attempts() > 1 })
		submitWork(ctx, t, o)
		waitUntil(t, 8*time.Second, func() bool { return f.works("i2") })
		waitUntil(t, 15*time.Second, f.carriedOutLate)
		is.Equal(len(f.lostWork()), 0)
		is.True(eris.Is(f.lateOutcome, ErrFenced))
		is.Equal(f.attempts(), 3) // to the spare pool twice, and back
	})
}

// Guards against lost work on a machine that comes back with another instance while a
// move of it has no answer. The move was given up, or the instance not kept idle, while
// the order could still be carried out. Also guards against repeating the order while the
// other instance has work.
func TestUnansweredMoveKeepsWorkOffLaterInstance(t *testing.T) {
	const untilListed = listInterval + 2*controlInterval
	tests := []struct {
		name             string
		restart, workAt  time.Duration
		busy             bool
		returnedInstance galenahead.InstanceID
	}{
		{"first order under way", 500 * time.Millisecond, 500*time.Millisecond + untilListed, true, "i3"},
		{"order unanswered", 2500 * time.Millisecond, 2500*time.Millisecond + untilListed, true, "i3"},
		{"work on the other instance", 1600 * time.Millisecond, 1800 * time.Millisecond, false, "i3"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				o, _ := testOwner()
				f := newLateMachines(o)
				f.respond = func(attempt int) (time.Duration, error) {
					if attempt == 1 {
						return 6 * time.Second, nil
					}
					if tt.busy && !f.lateDone {
						return 0, ErrBusy
					}
					return 0, nil
				}
				ctx, _ := f.startIdle(t)
				time.Sleep(tt.restart)
				f.restart()
				time.Sleep(tt.workAt - tt.restart)
				submitWork(ctx, t, o)
				waitUntil(t, 10*time.Second, f.carriedOutLate)
				is.Equal(len(f.lostWork()), 0) // the later instance was at work although an order was pending
				waitUntil(t, 20*time.Second, func() bool { return f.works(tt.returnedInstance) })
			})
		})
	}
}

// Guards against lost work after a change of owner: the next owner gave work to an
// instance whose machine the earlier one had sent elsewhere by an order without a
// response, which was carried out afterwards.
func TestNextOwnerKeepsWorkOffMachineWithUnansweredMove(t *testing.T) {
	for _, noList := range []bool{false, true} {
		t.Run(fmt.Sprintf("no list %v", noList), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				o, _ := testOwner()
				f := newLateMachines(o)
				f.respond = func(attempt int) (time.Duration, error) {
					if attempt == 1 {
						return 6 * time.Second, nil
					}
					return 0, nil
				}
				_, stop := f.startIdle(t)
				time.Sleep(100 * time.Millisecond)
				stop()
				time.Sleep(lateCallTimeout + time.Millisecond) // until the call has returned
				synctest.Wait()
				f.setList(!noList)
				ctx, _ := f.startOwner(t)
				submitWork(ctx, t, o)
				waitUntil(t, 10*time.Second, f.carriedOutLate)
				is.Equal(len(f.lostWork()), 0)
				f.setList(true)
				waitUntil(t, 20*time.Second, func() bool { return f.works("i2") })
			})
		})
	}
}

// Guards against a move that a new owner goes on with although it was ordered long ago,
// before all daemons stopped.
func TestNextOwnerDropsMoveOfLongAgo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		f := newLateMachines(o)
		f.respond = func(int) (time.Duration, error) { return 0, nil }
		at := time.Now().Round(0).Add(-2 * lateOrderTime)
		apply(t, o.State, Op{Order: &MachineOrder{Machine: "m", Epoch: 1, At: at, Instance: "i0", Born: 1, Pool: "spare"}})
		ctx, _ := f.startOwner(t)
		go f.sendHeartbeats(t.Context())
		submitWork(ctx, t, o)
		time.Sleep(5 * time.Second)
		is.True(f.works("i0"))
		is.Equal(f.attempts(), 0)
	})
}

// Guards against a machine without work after a change of owner, although its move was
// rejected before.
func TestNextOwnerUsesMachineWithRejectedMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		f := newLateMachines(o)
		f.respond = func(int) (time.Duration, error) { return 0, ErrBusy }
		_, stop := f.startIdle(t)
		time.Sleep(100 * time.Millisecond)
		stop()
		sent := f.attempts()
		ctx, _ := f.startOwner(t)
		submitWork(ctx, t, o)
		time.Sleep(time.Second)
		is.True(f.works("i0"))
		is.Equal(f.attempts(), sent)
	})
}

// Guards against lost work after a change of owner: the next owner gave work to an
// instance whose machine the earlier one had taken for maintenance by an order without a
// response, while the list of machines could not be read.
func TestNextOwnerKeepsWorkOffMachineWithUnansweredMaintenance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		f := newLateMachines(o)
		f.respond = func(attempt int) (time.Duration, error) {
			if attempt == 1 {
				return 6 * time.Second, nil
			}
			return 0, nil
		}
		_, stop := f.startWave(t)
		stop()
		time.Sleep(lateCallTimeout + time.Millisecond) // until the call has returned
		synctest.Wait()
		f.setList(false)
		ctx, _ := f.startOwner(t)
		submitWork(ctx, t, o)
		waitUntil(t, 10*time.Second, f.carriedOutLate)
		is.Equal(len(f.lostWork()), 0)
		f.setList(true)
		waitUntil(t, 20*time.Second, func() bool { return f.works("i1") })
		w, err := o.Wave(ctx, WaveStatus{ID: 1})
		is.NoErr(err)
		is.True(w.Completed)
	})
}

// Guards against lost work on a machine that comes back with another instance while its
// maintenance order is under way. The instance was kept idle only after the order had
// timed out, while it could be carried out.
func TestMaintenanceOrderUnderWayKeepsWorkOffLaterInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		f := newLateMachines(o)
		f.respond = func(attempt int) (time.Duration, error) {
			if attempt == 1 {
				return lateCallTimeout + 500*time.Millisecond, nil
			}
			return 0, ErrBusy
		}
		ctx, _ := f.startWave(t)
		time.Sleep(500 * time.Millisecond)
		f.restart()
		time.Sleep(listInterval + 2*controlInterval) // until a list shows the instance
		submitWork(ctx, t, o)
		waitUntil(t, 10*time.Second, f.carriedOutLate)
		is.Equal(len(f.lostWork()), 0)
	})
}

// Guards against two runs of the work on a machine that is back from its maintenance when
// the answer to the order is handled: the answer removed the present instance, with its
// runs, in place of the one that the order had ended.
func TestLateAnswerToMaintenanceOrderKeepsLaterInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, _ := testOwner()
		f := newLateMachines(o)
		f.respond = func(int) (time.Duration, error) { return 0, nil }
		f.answerTime = lateMoveTime + 2*listInterval
		ctx, _ := f.startWave(t)
		registered := func() bool {
			_, ok := o.State.instance("i1")
			return ok
		}
		waitUntil(t, 5*time.Second, registered)
		submitWork(ctx, t, o)
		for range 300 {
			time.Sleep(10 * time.Millisecond)
			is.True(registered())
		}
	})
}

// Guards against lost work after a change of owner on a machine that came back with
// another instance while an order to it had no response: the next owner knew only the
// instance that ran when the order was sent.
func TestNextOwnerKeepsWorkOffLaterInstance(t *testing.T) {
	for _, kind := range []string{"move", "maintenance"} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				o, _ := testOwner()
				f := newLateMachines(o)
				f.respond = func(attempt int) (time.Duration, error) {
					if attempt == 1 {
						return 8 * time.Second, nil
					}
					return 0, ErrBusy
				}
				var stop func()
				if kind == "move" {
					_, stop = f.startIdle(t)
				} else {
					_, stop = f.startWave(t)
				}
				time.Sleep(300 * time.Millisecond)
				f.restart()
				time.Sleep(listInterval + 2*controlInterval) // until a list shows the instance
				stop()
				time.Sleep(lateCallTimeout) // until the call has returned
				synctest.Wait()
				f.setList(false)
				ctx, _ := f.startOwner(t)
				submitWork(ctx, t, o)
				waitUntil(t, 10*time.Second, f.carriedOutLate)
				is.Equal(len(f.lostWork()), 0)
			})
		})
	}
}
