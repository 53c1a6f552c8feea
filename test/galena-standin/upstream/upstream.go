// Package upstream is a fake upstream: an HTTP server that announces itself to
// entries and records which requests it ran.
package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenatimer"
)

const (
	announceInterval = time.Second
	announceTimeout  = 500 * time.Millisecond
	announceLease    = 3 * time.Second
	// pollInterval is the interval at which a leaving upstream checks whether
	// requests are still in flight.
	pollInterval = 20 * time.Millisecond
)

// Options are the settings of one upstream.
type Options struct {
	Out     io.Writer
	Address string
	// Entries are the addresses at which entries accept announcements, used in
	// rotation.
	Entries    []string
	Service    string
	Instance   string
	VM         string
	Rack       string
	DataCentre string
	Slots      int
	// Connections is announced but not enforced.
	Connections int
	RunTime     time.Duration
	// Shape is the distribution of run times with the mean RunTime: fixed, uniform or
	// exponential.
	Shape string
	// FailureShare is the share of requests, 0 to 1, that fail at once.
	FailureShare   float64
	IgnoreDeadline bool
	// LeaveTime is the minimum time for which a leaving upstream continues to serve
	// requests.
	LeaveTime time.Duration
	Seed      uint64
}

// NewCmdUpstream returns the subcommand upstream. Tests pass runF to replace Run.
func NewCmdUpstream(out io.Writer, runF func(context.Context, *Options) error) *cobra.Command {
	o := &Options{Out: out}
	if runF == nil {
		runF = Run
	}
	cmd := &cobra.Command{
		Use:   "upstream",
		Short: "Serve requests of entries and announce the instance to them",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runF(cmd.Context(), o)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&o.Address, "address", "127.0.0.1:9000", "listen address (ip:port)")
	flags.StringSliceVar(&o.Entries, "entries", nil, "upstream addresses of the entries (ip:port[,ip:port...])")
	flags.StringVar(&o.Service, "service", "counter", "service (name)")
	flags.StringVar(&o.Instance, "instance", "instance-1", "instance (name)")
	flags.StringVar(&o.VM, "vm", "vm-1", "VM (name)")
	flags.StringVar(&o.Rack, "rack", "rack-1", "rack (name)")
	flags.StringVar(&o.DataCentre, "data-centre", "dc-1", "data centre (name)")
	flags.IntVar(&o.Slots, "slots", 8, "slots to announce (requests)")
	flags.IntVar(&o.Connections, "connections", 64, "connections to announce (connections)")
	flags.DurationVar(&o.RunTime, "run-time", 20*time.Millisecond, "mean run time of a request (duration)")
	flags.StringVar(&o.Shape, "shape", "exponential", "run time distribution (fixed, uniform or exponential)")
	flags.Float64Var(&o.FailureShare, "failure-share", 0, "share of requests that fail at once (0 to 1)")
	flags.BoolVar(&o.IgnoreDeadline, "ignore-deadline", false, "answer after the deadline too (true or false)")
	flags.DurationVar(&o.LeaveTime, "leave-time", announceLease, "shortest time between leaving and exit (duration)")
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of run times and failures (number)")
	return cmd
}

// Run serves until ctx is done, announces that the instance is leaving, waits for
// the requests in flight, and writes the evidence to Out.
func Run(ctx context.Context, o *Options) error {
	ln, err := net.Listen("tcp4", o.Address)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	return New(o).Serve(ctx, ln)
}

// Upstream is one fake upstream instance.
type Upstream struct {
	options   *Options
	recorder  *recorder
	timers    galenahead.Timers
	client    fasthttp.Client
	nextEntry int
	address   string

	mu  sync.Mutex
	rng *rand.Rand
}

// New returns an upstream that is not yet serving.
func New(o *Options) *Upstream {
	return &Upstream{
		options:  o,
		recorder: newRecorder(o.Service, o.Instance),
		timers:   &galenatimer.Service{},
		rng:      rand.New(rand.NewPCG(o.Seed, o.Seed)),
	}
}

// Serve is like Run, but uses an existing listener.
func (u *Upstream) Serve(ctx context.Context, ln net.Listener) error {
	u.address = ln.Addr().String()
	server := &fasthttp.Server{Handler: u.handleRequest, NoDefaultServerHeader: true, CloseOnShutdown: true}
	g := &errgroup.Group{}
	g.Go(func() error { return server.Serve(ln) })
	g.Go(func() error {
		u.announceUntilStopped(ctx)
		return server.Shutdown()
	})
	if err := g.Wait(); err != nil {
		return eris.Wrap(err, "serve")
	}
	return json.NewEncoder(u.options.Out).Encode(u.recorder.snapshot())
}

// announceUntilStopped announces the instance at announceInterval. Once ctx is done
// it announces that the instance is leaving, until canStop.
func (u *Upstream) announceUntilStopped(ctx context.Context) {
	timerCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	ticks := u.timers.Subscribe(timerCtx, "announce", announceInterval)
	u.announce(false)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticks:
			u.announce(false)
		}
	}
	u.recorder.recordLeaving(u.timers.Now())
	u.announce(true)
	poll := u.timers.Subscribe(timerCtx, "leave", pollInterval)
	for !u.canStop() {
		select {
		case <-ticks:
			u.announce(true)
		case <-poll:
		}
	}
}

func (u *Upstream) canStop() bool {
	inFlight, leavingSince := u.recorder.state()
	return inFlight == 0 && u.timers.Now().Sub(leavingSince) >= u.options.LeaveTime
}

// announce sends an announcement to the next entry, or to the entries after it if
// that one does not accept it.
func (u *Upstream) announce(leaving bool) {
	body, err := json.Marshal(u.announcement(leaving))
	if err != nil {
		return
	}
	for range u.options.Entries {
		entry := u.options.Entries[u.nextEntry%len(u.options.Entries)]
		u.nextEntry++
		if u.postAnnouncement("http://"+entry+"/v1/announce", body) {
			return
		}
	}
}

func (u *Upstream) announcement(leaving bool) galenahead.Announcement {
	inFlight, _ := u.recorder.state()
	o := u.options
	return galenahead.Announcement{
		Instance:    galenahead.InstanceID(o.Instance),
		Address:     u.address,
		Service:     galenahead.ServiceName(o.Service),
		DataCentre:  galenahead.DataCentre(o.DataCentre),
		Rack:        galenahead.RackName(o.Rack),
		VM:          galenahead.VMName(o.VM),
		Slots:       o.Slots,
		Connections: o.Connections,
		LeaseMS:     announceLease.Milliseconds(),
		InFlight:    inFlight,
		Leaving:     leaving,
	}
}

func (u *Upstream) postAnnouncement(url string, body []byte) bool {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBody(body)
	err := u.client.DoTimeout(req, resp, announceTimeout)
	return err == nil && resp.StatusCode()/100 == 2
}

func (u *Upstream) handleRequest(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/evidence" {
		u.writeEvidence(ctx)
		return
	}
	key := string(ctx.Request.Header.Peek("X-Galena-Key"))
	run := u.recorder.recordStart(key, u.timers.Now())
	status := u.simulateRun(string(ctx.Request.Header.Peek("X-Galena-Deadline-Ms")))
	u.recorder.recordEnd(status != fasthttp.StatusOK)
	ctx.SetStatusCode(status)
	ctx.SetContentType("text/plain")
	ctx.Response.Header.Set("X-Galena-Key", key)
	ctx.Response.Header.SetBytesV("X-Galena-Attempt", ctx.Request.Header.Peek("X-Galena-Attempt"))
	fmt.Fprintf(ctx, "%s\n%s/%d\n%s", key, u.options.Instance, run, ctx.PostBody())
}

// simulateRun sleeps for a random run time, at most until the deadline unless
// IgnoreDeadline is set, and returns the HTTP status of the response.
func (u *Upstream) simulateRun(deadlineMS string) int {
	runTime, failed := u.drawRunTime()
	if failed {
		return fasthttp.StatusInternalServerError
	}
	ms, err := strconv.ParseInt(deadlineMS, 10, 64)
	timeLeft := time.Duration(ms) * time.Millisecond
	if err == nil && !u.options.IgnoreDeadline && timeLeft < runTime {
		time.Sleep(timeLeft)
		return fasthttp.StatusGatewayTimeout
	}
	time.Sleep(runTime)
	return fasthttp.StatusOK
}

// drawRunTime returns the run time of a request and whether it fails at once.
func (u *Upstream) drawRunTime() (time.Duration, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	failed := u.rng.Float64() < u.options.FailureShare
	mean := float64(u.options.RunTime)
	switch u.options.Shape {
	case "uniform":
		return time.Duration(2 * mean * u.rng.Float64()), failed
	case "exponential":
		return time.Duration(mean * u.rng.ExpFloat64()), failed
	}
	return u.options.RunTime, failed
}

func (u *Upstream) writeEvidence(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("application/json")
	if err := json.NewEncoder(ctx).Encode(u.recorder.snapshot()); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
	}
}
