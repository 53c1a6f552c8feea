// Package caller generates load as callers do, over HTTP. It checks every response
// and prints a summary of the outcomes.
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

// responseGrace is the time that a caller waits for a response after the deadline,
// so that late responses are counted.
const responseGrace = 500 * time.Millisecond

// Options are the settings of a load generator.
type Options struct {
	Out io.Writer
	// Entries are the addresses at which entries serve callers.
	Entries  []string
	Services []string
	// Callers is the number of callers. Each request is sent as a random one.
	Callers int
	// Rate is the mean number of requests per second of all callers together.
	// Arrivals are a Poisson process.
	Rate     float64
	Duration time.Duration
	Deadline time.Duration
	// NonIdempotent is the share of non-idempotent requests, 0 to 1.
	NonIdempotent float64
	// Replay is the share of answered non-idempotent requests, 0 to 1, that
	// are sent once more with the same key.
	Replay float64
	// Resends is the maximum number of times that a request is resent if no response
	// arrives.
	Resends   int
	BodyBytes int
	// MaxInFlight limits the requests in flight.
	MaxInFlight int
	// Upstreams are the addresses of upstreams whose evidence is compared with the
	// responses at the end.
	Upstreams []string
	Seed      uint64
}

// NewCmdCaller returns the subcommand caller. Tests pass runF to replace Run.
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

// Run sends requests until Duration has passed or ctx is done, waits for the
// responses and writes the summary to Out.
func Run(ctx context.Context, o *Options) error {
	l := newLoadGenerator(o)
	start := l.timers.Now()
	l.run(ctx)
	s := l.collector.finish(l.timers.Now().Sub(start))
	if len(o.Upstreams) > 0 {
		s.Evidence = l.collector.compareEvidence(o.Upstreams)
	}
	return json.NewEncoder(o.Out).Encode(s)
}

// request is one request, the same for all attempts.
type request struct {
	key        string
	service    string
	caller     string
	idempotent bool
	body       string
	deadline   time.Duration
	entry      int
	replay     bool
	arrival    time.Time
}

type loadGenerator struct {
	options   *Options
	timers    galenahead.Timers
	client    *fasthttp.Client
	collector *collector
	rng       *rand.Rand
	inFlight  chan struct{}
	wg        sync.WaitGroup
}

func newLoadGenerator(o *Options) *loadGenerator {
	return &loadGenerator{
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

// run starts requests at random times that do not depend on the responses.
func (l *loadGenerator) run(ctx context.Context) {
	arrival := l.timers.Now()
	end := arrival.Add(l.options.Duration)
	for {
		arrival = arrival.Add(time.Duration(l.rng.ExpFloat64() / l.options.Rate * float64(time.Second)))
		if arrival.After(end) {
			break
		}
		select {
		case <-ctx.Done():
			end = arrival
		case <-time.After(arrival.Sub(l.timers.Now())):
			l.startRequest(l.newRequest(arrival))
		}
	}
	l.wg.Wait()
}

func (l *loadGenerator) startRequest(r request) {
	select {
	case l.inFlight <- struct{}{}:
	default:
		l.collector.increment(&l.collector.summary.Skipped)
		return
	}
	l.wg.Go(func() {
		l.sendWithRetries(r)
		<-l.inFlight
	})
}

// newRequest returns a random request. Its key consists of the issue time, "i" for
// an idempotent or "n" for a non-idempotent request, and a random number.
func (l *loadGenerator) newRequest(arrival time.Time) request {
	o := l.options
	r := request{
		service:    o.Services[l.rng.IntN(len(o.Services))],
		caller:     fmt.Sprintf("caller-%d", l.rng.IntN(o.Callers)+1),
		idempotent: l.rng.Float64() >= o.NonIdempotent,
		deadline:   o.Deadline,
		entry:      l.rng.IntN(len(o.Entries)),
		replay:     l.rng.Float64() < o.Replay,
		arrival:    arrival,
	}
	mark := "n"
	if r.idempotent {
		mark = "i"
	}
	r.key = fmt.Sprintf("%d-%s%016x", arrival.UnixMilli(), mark, l.rng.Uint64())
	r.body = r.key + strings.Repeat(".", max(0, o.BodyBytes-len(r.key)))
	return r
}

// sendWithRetries sends a request and, as long as no response arrives, resends it
// with the same key through the next entry.
func (l *loadGenerator) sendWithRetries(r request) {
	res := result{request: r}
	for n := 0; n <= l.options.Resends; n++ {
		if n > 0 {
			res.answerLost = true
			l.collector.increment(&l.collector.summary.Resent)
		}
		if l.attempt(r, &res) {
			break
		}
		r.entry++
	}
	res.elapsed = l.timers.Now().Sub(r.arrival)
	l.collector.add(res)
	if r.replay && !r.idempotent && res.runID != "" && !res.mismatched {
		l.replay(r, res.runID)
	}
}

// replay sends an answered request again. A response that names another run is
// counted as a duplicate run.
func (l *loadGenerator) replay(r request, runID string) {
	r.entry++
	var answer result
	l.collector.increment(&l.collector.summary.Replayed)
	if l.attempt(r, &answer) && answer.runID != "" && answer.runID != runID {
		l.collector.increment(&l.collector.summary.DuplicateRuns)
	}
}

// attempt sends r once and reports whether a response arrived.
func (l *loadGenerator) attempt(r request, res *result) bool {
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
	if err := l.client.DoTimeout(req, resp, r.deadline+responseGrace); err != nil {
		return false
	}
	res.outcome = galenahead.Outcome(resp.Header.Peek("X-Galena-Outcome"))
	res.reason = string(resp.Header.Peek("X-Galena-Reason"))
	res.status = resp.StatusCode()
	if res.outcome == galenahead.OutcomeRan {
		res.runID, res.mismatched = checkBody(r, string(resp.Body()))
	}
	return true
}

// checkBody parses the response body of an upstream: one line each for the key and
// the run, then the request body. It reports whether key or body do not match r.
func checkBody(r request, body string) (runID string, mismatched bool) {
	key, rest, _ := strings.Cut(body, "\n")
	runID, echo, _ := strings.Cut(rest, "\n")
	return runID, key != r.key || echo != r.body
}
