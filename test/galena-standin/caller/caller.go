// Package caller is a fake load of callers over HTTP. It checks every answer
// and sums up the outcomes.
package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenatimer"
)

// answerGrace is how long a caller waits for an answer after the deadline, so
// that late answers are seen.
const answerGrace = 500 * time.Millisecond

// Options are the settings of a load.
type Options struct {
	Out io.Writer
	// Entries are the caller addresses of entries.
	Entries  []string
	Services []string
	// Callers is the number of callers; each request is from a random one.
	Callers int
	// Rate is the mean of all requests per second; arrivals are Poisson.
	Rate     float64
	Duration time.Duration
	Deadline time.Duration
	// NonIdempotent is the share of non-idempotent requests, 0 to 1.
	NonIdempotent float64
	// Replay is the share of answered non-idempotent requests, 0 to 1, that
	// are sent once more under the same key.
	Replay float64
	// Resends is how often a request is resent after a lost answer.
	Resends   int
	BodyBytes int
	// MaxInFlight bounds the requests in flight.
	MaxInFlight int
	// Upstreams are addresses whose evidence is compared at the end.
	Upstreams []string
	Seed      uint64
}

// NewCmdCaller returns the subcommand.
func NewCmdCaller(out io.Writer, runF func(context.Context, *Options) error) *cobra.Command {
	o := &Options{Out: out}
	if runF == nil {
		runF = Run
	}
	cmd := &cobra.Command{
		Use:   "caller",
		Short: "Send requests to entries and print a summary",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runF(cmd.Context(), o)
		},
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&o.Entries, "entries", []string{"127.0.0.1:8080"},
		"caller addresses of the entries (ip:port[,ip:port...])")
	flags.StringSliceVar(&o.Services, "service", []string{"counter"}, "services (name[,name...])")
	flags.IntVar(&o.Callers, "callers", 4, "number of callers (callers)")
	flags.Float64Var(&o.Rate, "rate", 100, "mean rate of all callers (requests per second)")
	flags.DurationVar(&o.Duration, "duration", 10*time.Second, "time to send requests (duration)")
	flags.DurationVar(&o.Deadline, "deadline", time.Second, "deadline of a request (duration)")
	flags.Float64Var(&o.NonIdempotent, "non-idempotent", 0.2, "share of non-idempotent requests (0 to 1)")
	flags.Float64Var(&o.Replay, "replay", 0, "share of answered non-idempotent requests sent again (0 to 1)")
	flags.IntVar(&o.Resends, "resends", 2, "resends after lost answers (per request)")
	flags.IntVar(&o.BodyBytes, "body-bytes", 256, "size of a request body (bytes)")
	flags.IntVar(&o.MaxInFlight, "max-in-flight", 4096, "largest number in flight (requests)")
	flags.StringSliceVar(&o.Upstreams, "upstreams", nil, "upstreams whose evidence is compared (ip:port[,ip:port...])")
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of the load (number)")
	return cmd
}

// Run sends requests until Duration has passed or ctx ends, waits for the
// answers and writes the summary to Out.
func Run(ctx context.Context, o *Options) error {
	l := newLoad(o)
	start := l.timers.Now()
	l.run(ctx)
	s := l.collector.finish(l.timers.Now().Sub(start))
	if len(o.Upstreams) > 0 {
		s.Evidence = l.collector.collect(o.Upstreams)
	}
	return json.NewEncoder(o.Out).Encode(s)
}

// request is one request before its first attempt.
type request struct {
	key        string
	service    string
	caller     string
	idempotent bool
	body       string
	deadline   time.Duration
	entry      int
	replay     bool
	due        time.Time
}

type load struct {
	options   *Options
	timers    galenahead.Timers
	client    *fasthttp.Client
	collector *collector
	rng       *rand.Rand
	inFlight  chan struct{}
	wg        sync.WaitGroup
}

func newLoad(o *Options) *load {
	return &load{
		options:   o,
		timers:    &galenatimer.Service{},
		collector: newCollector(),
		rng:       rand.New(rand.NewPCG(o.Seed, o.Seed)),
		inFlight:  make(chan struct{}, o.MaxInFlight),
		client: &fasthttp.Client{
			MaxConnsPerHost:           o.MaxInFlight,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
	}
}

// run starts requests at random times that do not depend on the answers.
func (l *load) run(ctx context.Context) {
	due := l.timers.Now()
	end := due.Add(l.options.Duration)
	for {
		due = due.Add(time.Duration(l.rng.ExpFloat64() / l.options.Rate * float64(time.Second)))
		if due.After(end) {
			break
		}
		select {
		case <-ctx.Done():
			end = due
		case <-time.After(due.Sub(l.timers.Now())):
			l.start(l.draw(due))
		}
	}
	l.wg.Wait()
}

func (l *load) start(r request) {
	select {
	case l.inFlight <- struct{}{}:
	default:
		l.collector.count(&l.collector.summary.Skipped)
		return
	}
	l.wg.Go(func() {
		l.handle(r)
		<-l.inFlight
	})
}

// draw returns a random request. Its key has "n" after the issue time when the
// request is non-idempotent, and "i" otherwise.
func (l *load) draw(due time.Time) request {
	o := l.options
	r := request{
		service:    o.Services[l.rng.IntN(len(o.Services))],
		caller:     fmt.Sprintf("caller-%d", l.rng.IntN(o.Callers)+1),
		idempotent: l.rng.Float64() >= o.NonIdempotent,
		deadline:   o.Deadline,
		entry:      l.rng.IntN(len(o.Entries)),
		replay:     l.rng.Float64() < o.Replay,
		due:        due,
	}
	mark := "n"
	if r.idempotent {
		mark = "i"
	}
	r.key = fmt.Sprintf("%d-%s%016x", due.UnixMilli(), mark, l.rng.Uint64())
	r.body = r.key + strings.Repeat(".", max(0, o.BodyBytes-len(r.key)))
	return r
}

// handle sends a request, and resends it under the same key through the next
// entry as long as no answer comes.
func (l *load) handle(r request) {
	res := result{request: r}
	for n := 0; n <= l.options.Resends; n++ {
		if n > 0 {
			res.lostBefore = true
			l.collector.count(&l.collector.summary.Resent)
		}
		if l.attempt(r, &res) {
			break
		}
		r.entry++
	}
	res.elapsed = l.timers.Now().Sub(r.due)
	l.collector.add(res)
	if r.replay && !r.idempotent && res.run != "" && !res.mismatched {
		l.replay(r, res.run)
	}
}

// replay sends an answered request again; the answer must name the same run.
func (l *load) replay(r request, run string) {
	r.entry++
	var again result
	l.collector.count(&l.collector.summary.Replayed)
	if l.attempt(r, &again) && again.run != "" && again.run != run {
		l.collector.count(&l.collector.summary.Doubled)
	}
}

// attempt sends r once. It returns false when no answer came.
func (l *load) attempt(r request, res *result) bool {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + l.options.Entries[r.entry%len(l.options.Entries)] + "/work")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("text/plain")
	req.Header.Set("X-Galena-Service", r.service)
	req.Header.Set("X-Galena-Caller", r.caller)
	req.Header.Set("X-Galena-Key", r.key)
	req.Header.Set("X-Galena-Deadline-Ms", fmt.Sprint(r.deadline.Milliseconds()))
	req.Header.Set("X-Galena-Idempotent", fmt.Sprint(r.idempotent))
	req.SetBodyString(r.body)
	if err := l.client.DoTimeout(req, resp, r.deadline+answerGrace); err != nil {
		return false
	}
	res.outcome = galenahead.Outcome(resp.Header.Peek("X-Galena-Outcome"))
	res.reason = string(resp.Header.Peek("X-Galena-Reason"))
	res.status = resp.StatusCode()
	if res.outcome == galenahead.OutcomeRan {
		res.run, res.mismatched = checkBody(r, string(resp.Body()))
	}
	return true
}

// checkBody reads an upstream's answer: key, run and request body in lines.
func checkBody(r request, body string) (run string, mismatched bool) {
	key, rest, _ := strings.Cut(body, "\n")
	run, echo, _ := strings.Cut(rest, "\n")
	return run, key != r.key || echo != r.body
}
