package galenafleet

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenaaccount"
	"github.com/galenahead/galenahead/galenajob"
	"github.com/galenahead/galenahead/galenalog"
	"github.com/galenahead/galenahead/galenarpc"
	"github.com/galenahead/galenahead/galenatimer"
)

// benchRun is a run on a benchInstance.
type benchRun struct{ number int64 }

// benchInstance runs work items for the duration in their payload, in milliseconds, or
// until they are stopped if that is zero.
type benchInstance struct {
	mu    sync.Mutex
	runs  map[galenajob.ItemID]benchRun
	ends  []galenajob.End
	seq   int64
	ended chan struct{}
}

// benchInstances is an InstanceClient with instances in memory.
type benchInstances struct {
	began         time.Time
	byID          map[galenahead.InstanceID]*benchInstance
	polls, starts atomic.Int64
	ends          atomic.Int64
}

// benchRoundTrip is the duration of a call to an instance.
const benchRoundTrip = 3 * time.Millisecond

func (f *benchInstances) clock() int64 { return time.Since(f.began).Milliseconds() + 1000 }

func (f *benchInstances) Start(_ context.Context, a galenajob.Action, _ time.Duration) (galenajob.Outcome, int64, error) {
	time.Sleep(benchRoundTrip)
	f.starts.Add(1)
	in := f.byID[a.Instance.ID]
	in.mu.Lock()
	defer in.mu.Unlock()
	if _, ok := in.runs[a.Item]; ok {
		return galenajob.OutcomeDone, f.clock(), nil
	}
	in.runs[a.Item] = benchRun{a.Run}
	if ms, _ := strconv.Atoi(a.Payload); ms > 0 {
		d := time.Duration(float64(ms) * (0.9 + 0.2*rand.Float64()) * float64(time.Millisecond))
		time.AfterFunc(d, func() { f.end(in, a.Item, galenajob.EndDone) })
	}
	return galenajob.OutcomeDone, f.clock(), nil
}

func (f *benchInstances) end(in *benchInstance, id galenajob.ItemID, reason galenajob.EndReason) {
	in.mu.Lock()
	defer in.mu.Unlock()
	r, ok := in.runs[id]
	if !ok {
		return
	}
	delete(in.runs, id)
	f.ends.Add(1)
	in.seq++
	in.ends = append(in.ends, galenajob.End{Sequence: in.seq, Item: id, Number: r.number, Reason: reason})
	notify(in.ended)
}

func (f *benchInstances) Stop(_ context.Context, a galenajob.Action, _ time.Duration) (galenajob.Outcome, int64, error) {
	time.Sleep(benchRoundTrip)
	f.end(f.byID[a.Instance.ID], a.Item, galenajob.EndStopped)
	return galenajob.OutcomeDone, f.clock(), nil
}

func (f *benchInstances) Pace(context.Context, galenajob.Action, time.Duration) error { return nil }

func (f *benchInstances) RenewAndPoll(ctx context.Context, req galenajob.PollRequest, wait, _ time.Duration) (galenajob.PollResponse, error) {
	f.polls.Add(1)
	in := f.byID[req.Instance.ID]
	time.Sleep(benchRoundTrip)
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		in.mu.Lock()
		for len(in.ends) > 0 && in.ends[0].Sequence <= req.Cursor {
			in.ends = in.ends[1:]
		}
		n := len(in.ends)
		in.mu.Unlock()
		if n > 0 || wait == 0 {
			break
		}
		select {
		case <-in.ended:
			continue
		case <-deadline.C:
		case <-ctx.Done():
			return galenajob.PollResponse{}, ctx.Err()
		}
		break
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	resp := galenajob.PollResponse{Clock: f.clock(), Born: req.Instance.Born, Ends: append([]galenajob.End(nil), in.ends...)}
	for id, r := range in.runs {
		resp.Runs = append(resp.Runs, galenajob.Run{Item: id, Number: r.number, Percent: 100})
	}
	return resp, nil
}

// benchMachines lists one machine for each instance.
type benchMachines struct {
	MachineClient
	machines []Machine
}

func (f *benchMachines) List(context.Context) ([]Machine, error) { return f.machines, nil }

// planCounter counts the plans of all shards by the pauses after them, which lie
// between minPlanPause and planInterval.
type planCounter struct {
	galenatimer.BootTimeService
	plans atomic.Int64
}

func (c *planCounter) After(ctx context.Context, d time.Duration) <-chan time.Time {
	if d >= minPlanPause && d <= planInterval && d != pollPause {
		c.plans.Add(1)
	}
	return c.BootTimeService.After(ctx, d)
}

// benchServices are the services of benchFleet with their share of 350 instances.
var benchServices = []struct {
	name      galenahead.ServiceName
	instances int
	// small and large are the accepted jobs a second.
	small, large float64
}{
	{"counter", 62, 35.7, 0},
	{"workshop", 70, 0, 4.67},
	{"courier", 77, 44.6, 0},
	{"intake", 85, 0, 5.72},
	{"misc", 56, 0, 0},
}

const benchServiceInstances = 350

// benchSize is the size of a benchFleet.
type benchSize struct {
	instances, backlog int
	// rate is the accepted jobs a second, relative to benchServices.
	rate float64
	// accounts is the number of client accounts, whose jobs follow each other.
	accounts int
}

func (s benchSize) String() string {
	name := fmt.Sprintf("instances=%d/backlog=%d/rate=%g", s.instances, s.backlog, s.rate)
	if s.accounts > 0 {
		name += fmt.Sprintf("/accounts=%d", s.accounts)
	}
	return name
}

// key returns the digest of the key of the account that sends the job of a number.
func (s benchSize) key(job int64) galenaaccount.Digest {
	if s.accounts == 0 {
		return ""
	}
	return galenaaccount.DigestKey(strconv.Itoa(int(job) % s.accounts))
}

// benchFleet is an owner with instances in memory.
type benchFleet struct {
	size      benchSize
	owner     *Owner
	instances *benchInstances
	timers    *planCounter
	all       []galenajob.Instance
	jobs      atomic.Int64
	requests  atomic.Int64
	latency   atomic.Int64
}

// newBenchFleet starts an owner and registers its instances. An instance has 64 cores
// in a fleet of 350, and in other fleets so many that the total is the same.
func newBenchFleet(ctx context.Context, b *testing.B, size benchSize) *benchFleet {
	o, l := testOwner()
	// The time of a sync and a round trip to a majority.
	l.delay.Store(int64(8 * time.Millisecond))
	w := galenalog.NewWriter(io.Discard)
	b.Cleanup(func() { _ = w.Close() })
	f := &benchFleet{size: size, owner: o, timers: &planCounter{}, instances: &benchInstances{began: time.Now(), byID: map[galenahead.InstanceID]*benchInstance{}}}
	machines := &benchMachines{}
	o.Logger, o.Timers, o.Instances, o.Machines = galenalog.New(w, logrus.InfoLevel), f.timers, f.instances, machines
	o.State.Timers, o.FinalJobRetention = f.timers, 2*time.Minute
	o.Params = galenajob.Params{
		Lease: 3 * time.Second, UnresponsiveAfter: 900 * time.Millisecond, ResendInterval: 150 * time.Millisecond,
		SuspectTime: 1500 * time.Millisecond, RestartDelay: 50 * time.Millisecond, DrainGracePeriod: 1500 * time.Millisecond,
		GoneAfter: 6 * time.Second, StopTimeout: 200 * time.Millisecond, AdviceTimeout: 500 * time.Millisecond,
	}
	capacity := galenajob.Resources{MilliCPU: 64000 * benchServiceInstances / int64(size.instances), MemoryMB: 128000 * benchServiceInstances / int64(size.instances)}
	c := Config{Version: 1, RequiresKeys: size.accounts > 0}
	for i := range size.accounts {
		c.Accounts = append(c.Accounts, galenaaccount.Account{
			Name: galenahead.AccountName("account-" + strconv.Itoa(i)), Weight: 1000, Keys: []galenaaccount.Digest{size.key(int64(i))},
		})
	}
	for _, svc := range benchServices {
		c.Services = append(c.Services, Service{Name: svc.name})
		for i, stretch := range []float64{2.2, 1.6} {
			q := string(svc.name) + strconv.Itoa(i)
			c.Queues = append(c.Queues, QueueRule{
				Name: q, Host: "h", Prefix: "/" + q + "/", Service: svc.name, Priority: i, MaxAttempts: 3, Stretch: stretch, TargetLatency: 600 * time.Millisecond,
			})
		}
		for i := range svc.instances * size.instances / benchServiceInstances {
			id := fmt.Sprintf("i-%s-%04d", svc.name, i)
			in := galenajob.Instance{
				ID: galenahead.InstanceID(id), Born: 1, Service: svc.name, Address: "10.0.0.1:80", Zone: "z",
				Capacity: capacity, Labels: []string{"z", "rack-" + strconv.Itoa(i/20)},
			}
			f.all = append(f.all, in)
			f.instances.byID[in.ID] = &benchInstance{runs: map[galenajob.ItemID]benchRun{}, ended: make(chan struct{}, 1)}
			machines.machines = append(machines.machines, Machine{
				Name: galenahead.VMName("m-" + id), Pool: svc.name, State: MachineUp, Capacity: capacity, Instance: in.ID,
			})
		}
	}
	go func() { _ = o.Run(ctx) }()
	for o.session.Load() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	if _, err := o.Configure(ctx, c); err != nil {
		b.Fatal(err)
	}
	var wg sync.WaitGroup
	for _, in := range f.all {
		wg.Go(func() { _, _ = o.Heartbeat(ctx, Heartbeat{Instance: in, Sequence: 1, Clock: f.instances.clock()}) })
	}
	for i, svc := range benchServices[:4] {
		q := string(svc.name)
		wg.Go(func() {
			f.submit(ctx, q+"0", benchJob(24, []int{0}, 2000, time.Second, true))
			for range size.backlog / 4 {
				// A work item that fits on no instance.
				f.submit(ctx, q+"1", benchJob(8, []int{640, 640}, capacity.MilliCPU+1+int64(i), 640*time.Millisecond, false))
			}
		})
	}
	wg.Wait()
	return f
}

// benchJob returns a job with a step for each duration, in milliseconds. Each step
// after the first follows the previous one.
func benchJob(count int, durations []int, milliCPU int64, estimate time.Duration, longRunning bool) *galenajob.Spec {
	spec := &galenajob.Spec{Payload: strconv.Itoa(durations[0])}
	for i := range durations {
		step := galenajob.Step{Count: count, Need: galenajob.Resources{MilliCPU: milliCPU, MemoryMB: milliCPU}, Estimate: estimate}
		if longRunning {
			step.LongRunning, step.MaxUnavailable = true, 3
		}
		if i > 0 {
			step.After = []int{i - 1}
		}
		spec.Steps = append(spec.Steps, step)
	}
	return spec
}

// do sends a request to the owner and records its latency.
func (f *benchFleet) do(ctx context.Context, r Request) {
	start := time.Now()
	_, _ = f.owner.Do(ctx, r)
	f.requests.Add(1)
	f.latency.Add(int64(time.Since(start)))
}

func (f *benchFleet) submit(ctx context.Context, queue string, spec *galenajob.Spec) (path string, key galenaaccount.Digest) {
	n := f.jobs.Add(1)
	path = fmt.Sprintf("/%s/job-%08d", queue, n)
	key = f.size.key(n)
	f.do(ctx, Request{Kind: RequestSubmit, Host: "h", Path: path, Spec: spec, Key: key})
	return path, key
}

// demand submits jobs and asks for the state of each of them twice, and sends a
// heartbeat of each instance each 1.5 s, until ctx ends.
func (f *benchFleet) demand(ctx context.Context, rate float64) {
	repeat := func(perSecond float64, fn func(i int)) {
		if perSecond == 0 {
			return
		}
		go func() {
			start := time.Now()
			for i := 0; ctx.Err() == nil; i++ {
				time.Sleep(time.Until(start.Add(time.Duration(float64(i) / perSecond * float64(time.Second)))))
				fn(i)
			}
		}()
	}
	job := func(queue string, spec *galenajob.Spec) {
		go func() {
			path, key := f.submit(ctx, queue, spec)
			for _, pause := range []time.Duration{100 * time.Millisecond, 900 * time.Millisecond} {
				time.Sleep(pause)
				f.do(ctx, Request{Kind: RequestState, Host: "h", Path: path, Key: key})
			}
		}()
	}
	for _, svc := range benchServices {
		repeat(svc.small*rate, func(i int) {
			job(string(svc.name)+strconv.Itoa(i%2), benchJob(8, []int{640, 640}[:1+min(1, i%5%3)], 6200, 640*time.Millisecond, false))
		})
		repeat(svc.large*rate, func(i int) {
			job(string(svc.name)+strconv.Itoa(i%2), benchJob(8, []int{2100, 2100}, 13000, 2100*time.Millisecond, false))
		})
	}
	repeat(float64(len(f.all))/1.5, func(i int) {
		hb := Heartbeat{Instance: f.all[i%len(f.all)], Sequence: int64(2 + i/len(f.all)), Clock: f.instances.clock()}
		_, _ = f.owner.Heartbeat(ctx, hb)
	})
}

// BenchmarkOwner measures the processor time of an owner for a second of demand, by
// the number of instances, of jobs that wait for an instance, and of accepted jobs.
// Its times are real, so it is run with -benchtime=1x.
func BenchmarkOwner(b *testing.B) {
	const warmUp, window = 1500 * time.Millisecond, 2 * time.Second
	for _, size := range []benchSize{
		{50, 0, 1, 0}, {50, 200, 1, 0}, {50, 1000, 1, 0},
		{350, 0, 1, 0}, {350, 200, 1, 0}, {350, 1000, 1, 0},
		{1400, 0, 1, 0}, {1400, 200, 1, 0}, {1400, 1000, 1, 0},
		{350, 0, 0, 0}, {350, 0, 0.5, 0}, {350, 0, 2, 0}, {1400, 1000, 4, 0},
		{350, 200, 1, 20}, {350, 200, 1, 2000}, {350, 1000, 1, 20}, {350, 1000, 1, 2000},
	} {
		b.Run(size.String(), func(b *testing.B) {
			for range b.N {
				benchOwner(b, size, warmUp, window)
			}
		})
	}
}

func benchOwner(b *testing.B, size benchSize, warmUp, window time.Duration) {
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	f := newBenchFleet(ctx, b, size)
	f.demand(ctx, size.rate)
	time.Sleep(warmUp)
	counts := func() []int64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return []int64{
			int64(processorTime() / time.Microsecond), f.timers.plans.Load(), f.instances.polls.Load(), f.instances.starts.Load(),
			f.instances.ends.Load(), f.requests.Load(), int64(m.Mallocs), f.latency.Load() / int64(time.Microsecond),
		}
	}
	before, start := counts(), time.Now()
	time.Sleep(window)
	after, elapsed := counts(), time.Since(start).Seconds()
	for i := range after {
		after[i] -= before[i]
	}
	b.ReportMetric(float64(after[0])/1000/elapsed, "cpu-ms/s")
	for i, unit := range []string{"plans/s", "polls/s", "starts/s", "ends/s", "requests/s", "allocs/s"} {
		b.ReportMetric(float64(after[1+i])/elapsed, unit)
	}
	b.ReportMetric(float64(after[7])/float64(max(1, after[5])), "us/request")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkOwnerChange measures the processor time and the polls in the first second of
// a new session, while instances run work of the previous one.
func BenchmarkOwnerChange(b *testing.B) {
	const warmUp, window = 1500 * time.Millisecond, time.Second
	for _, size := range []benchSize{{50, 200, 1, 0}, {350, 200, 1, 0}, {1400, 200, 1, 0}} {
		b.Run(size.String(), func(b *testing.B) {
			for range b.N {
				ctx, cancel := context.WithCancel(b.Context())
				f := newBenchFleet(ctx, b, size)
				f.demand(ctx, size.rate)
				time.Sleep(warmUp)
				l := f.owner.Log.(*fakeLog)
				l.holdsLease.Store(false)
				for f.owner.session.Load() != nil {
					time.Sleep(time.Millisecond)
				}
				l.holdsLease.Store(true)
				cpu, polls, starts := processorTime(), f.instances.polls.Load(), f.instances.starts.Load()
				time.Sleep(window)
				b.ReportMetric(float64((processorTime()-cpu).Microseconds())/1000, "cpu-ms")
				b.ReportMetric(float64(f.instances.polls.Load()-polls), "polls")
				b.ReportMetric(float64(f.instances.starts.Load()-starts), "starts")
				b.ReportMetric(0, "ns/op")
				cancel()
			}
		})
	}
}

// BenchmarkApplyEnds measures the encoding of a log entry with ends of runs, its
// application, and the decoding of the results, by the number of ends.
func BenchmarkApplyEnds(b *testing.B) {
	for _, n := range []int{1, 16} {
		b.Run(fmt.Sprintf("ends=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			s := &State{}
			var ops []Op
			for i := range n {
				id := galenahead.JobID(fmt.Sprintf("job-%08d", i))
				j := &galenajob.Job{ID: id, Queue: "counter0", Service: "counter", Spec: *benchJob(8, []int{640, 640}, 6200, 640*time.Millisecond, false)}
				submit, err := encodeCommand([]Op{{Submit: j}})
				if err != nil {
					b.Fatal(err)
				}
				s.Apply(0, submit)
				ops = append(ops, Op{End: &EndOp{Job: id, Item: galenajob.ItemKey{Index: i % 8}, How: galenajob.EndDone, At: time.Unix(1e9, 1), Run: 1001}})
			}
			c := &committer{log: &applyLog{state: s}}
			done := make(chan commitResult, 1)
			for b.Loop() {
				if err := c.propose(b.Context(), []proposal{{ops: ops, done: done}}); err != nil {
					b.Fatal(err)
				}
				<-done
			}
		})
	}
}

// applyLog applies commands at once.
type applyLog struct{ state *State }

func (l *applyLog) LeaderTerm() (term uint64, leased bool) { return 1, true }

func (l *applyLog) ProposeInTerm(_ context.Context, _ uint64, command []byte) ([]byte, error) {
	return l.state.Apply(1, command), nil
}

// BenchmarkSnapshot measures a snapshot of the state, by the number of final jobs.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{1000, 10000} {
		b.Run(fmt.Sprintf("jobs=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			s := &State{}
			s.init()
			for i := range n {
				id := galenahead.JobID(fmt.Sprintf("job-%08d", i))
				s.jobs[id] = &galenajob.Job{
					ID: id, Queue: "counter0", Service: "counter", MaxAttempts: 3, State: galenajob.StateCompleted,
					Accepted: time.Unix(1e9, 1), Ended: time.Unix(1e9+1, 1),
				}
			}
			size := 0
			for b.Loop() {
				out, err := s.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				size = len(out)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// BenchmarkOrderLine measures the log line of a start command.
func BenchmarkOrderLine(b *testing.B) {
	b.ReportAllocs()
	w := galenalog.NewWriter(io.Discard)
	defer func() { _ = w.Close() }()
	logger := galenalog.New(w, logrus.InfoLevel)
	line := actionLine{action: galenajob.Action{
		Kind: galenajob.ActStart, Item: galenajob.ItemID{Job: "job-00000001"}, Run: 1001, Reason: "room", Fence: 1000,
		Instance: galenajob.Instance{ID: "i-counter-0001"},
	}, outcome: galenajob.OutcomeDone, latency: benchRoundTrip}
	for b.Loop() {
		galenalog.Info(logger, "order", line)
	}
}

// BenchmarkRequestCall measures a request from an entry to the owner and back on
// loopback, with the processor time of both ends.
func BenchmarkRequestCall(b *testing.B) {
	mux := &galenarpc.Mux{}
	galenarpc.Handle(mux, MethodDo, func(context.Context, Request) (Reply, error) { return Reply{Outcome: OutcomeAccepted}, nil })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(b.Context())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = (&galenarpc.Server{Mux: mux}).Serve(ctx, ln)
	}()
	defer func() { cancel(); <-served }()
	client := &galenarpc.Client{}
	defer client.Close()
	for _, r := range []Request{
		{Kind: RequestSubmit, Host: "h", Path: "/counter0/job-00000001", Spec: benchJob(8, []int{640, 640}, 6200, 640*time.Millisecond, false)},
		{Kind: RequestState, Host: "h", Path: "/counter0/job-00000001"},
	} {
		b.Run("kind="+string(r.Kind), func(b *testing.B) {
			b.ReportAllocs()
			before := processorTime()
			for b.Loop() {
				var reply Reply
				if err := client.Call(ctx, ln.Addr().String(), MethodDo, r, &reply); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}
