package galenafleet

import (
	"context"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
	"github.com/galenahead/galenahead/galenalog"
)

// RequestKind is what a caller asks for.
type RequestKind string

// Kinds of requests.
const (
	RequestSubmit  RequestKind = "submit"
	RequestState   RequestKind = "state"
	RequestCancel  RequestKind = "cancel"
	RequestWaiting RequestKind = "waiting"
)

// Request is a caller's request. Host and Path select the queue; the rest of
// the path is the job.
type Request struct {
	Kind RequestKind     `json:"kind"`
	Host string          `json:"host"`
	Path string          `json:"path"`
	Spec *galenajob.Spec `json:"spec,omitempty"`
}

// Outcome is the answer to a request.
type Outcome string

// Answers to requests.
const (
	OutcomeAccepted Outcome = "accepted"
	// OutcomeRefused: not accepted, and never runs.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnready: nothing was done, since no owner can answer now.
	OutcomeUnready Outcome = "unready"
	// OutcomeUncertain: the request may have been carried out.
	OutcomeUncertain Outcome = "uncertain"
	OutcomeNoQueue   Outcome = "no_queue"
	OutcomeNoJob     Outcome = "no_job"
	OutcomeState     Outcome = "state"
	OutcomeWaiting   Outcome = "waiting"
	OutcomeInvalid   Outcome = "invalid"
)

// Reply is the answer to a Request.
type Reply struct {
	Outcome Outcome         `json:"outcome"`
	State   galenajob.State `json:"state,omitempty"`
	Waiting int             `json:"waiting,omitempty"`
	Reason  string          `json:"reason,omitempty"`
	// RetryAfter is when to come back after a refusal.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
}

// UnreadyRetry is when a caller should come back while no owner answers: an
// election takes about that long.
const UnreadyRetry = time.Second

func unready(reason string) Reply {
	return Reply{Outcome: OutcomeUnready, Reason: reason, RetryAfter: UnreadyRetry}
}

// Do answers a caller's request.
func (o *Owner) Do(_ context.Context, r Request) (Reply, error) {
	began := o.Timers.Now()
	f, err := o.inOffice()
	if err != nil {
		return Reply{}, err
	}
	reply, err := f.do(r)
	if err != nil {
		return Reply{}, err
	}
	if !f.leads() && reply.Outcome != OutcomeAccepted {
		return Reply{}, galenahead.ErrNotLeader
	}
	took := o.Timers.Now().Sub(began)
	o.Metrics.Latency.Record(string(r.Kind), took)
	galenalog.Info(o.Logger, "request", requestLine{r, reply, took, f.epoch})
	return reply, nil
}

func (f *office) do(r Request) (Reply, error) {
	c := f.State.Config()
	if c == nil {
		return unready("no configuration yet"), nil
	}
	q, rest, ok := c.Match(r.Host, r.Path)
	if !ok {
		return Reply{Outcome: OutcomeNoQueue}, nil
	}
	if r.Kind == RequestWaiting || rest == "" {
		if r.Kind == RequestSubmit || r.Kind == RequestCancel {
			return Reply{Outcome: OutcomeInvalid, Reason: "no job named"}, nil
		}
		return f.waiting(q), nil
	}
	id := galenahead.JobID(strings.TrimSuffix(rest, "/"))
	if len(id) > galenahead.MaxIDLength || strings.Contains(string(id), "/") {
		return Reply{Outcome: OutcomeNoQueue, Reason: "not the name of a job"}, nil
	}
	switch r.Kind {
	case RequestSubmit:
		return f.submit(q, id, r.Spec)
	case RequestCancel:
		return f.cancel(id)
	case RequestState:
		return f.jobState(id), nil
	}
	return Reply{Outcome: OutcomeInvalid, Reason: "unknown kind of request"}, nil
}

func (f *office) waiting(q QueueRule) Reply {
	sh := f.of(q.Service)
	n := 0
	sh.with(func(_ time.Time, s *galenajob.Scheduler) { n = s.Waiting(q.Name) })
	return Reply{Outcome: OutcomeWaiting, Waiting: n}
}

func (f *office) submit(q QueueRule, id galenahead.JobID, spec *galenajob.Spec) (Reply, error) {
	if spec == nil || len(spec.Steps) == 0 {
		return Reply{Outcome: OutcomeInvalid, Reason: "a job needs steps"}, nil
	}
	if _, _, _, known := f.State.JobState(id); known {
		return Reply{Outcome: OutcomeAccepted, Reason: "known job"}, nil
	}
	j := &galenajob.Job{
		ID: id, Queue: q.Name, Service: q.Service, Spec: *spec,
		MaxAttempts: q.MaxAttempts, Accepted: time.Now().Round(0),
	}
	r, err := f.commits.commit(Op{Submit: j})
	if err != nil {
		return Reply{}, err
	}
	if r[0].Code != CodeDone {
		return Reply{Outcome: OutcomeAccepted, Reason: "known job"}, nil
	}
	j.Items = map[galenajob.ItemKey]galenajob.ItemFacts{}
	f.of(q.Service).add(j, 0, false)
	return Reply{Outcome: OutcomeAccepted}, nil
}

func (f *office) cancel(id galenahead.JobID) (Reply, error) {
	_, service, _, known := f.State.JobState(id)
	if !known {
		return Reply{Outcome: OutcomeNoJob}, nil
	}
	r, err := f.commits.commit(Op{Cancel: &CancelOp{id, time.Now().Round(0)}})
	if err != nil {
		return Reply{}, err
	}
	f.of(service).with(func(now time.Time, s *galenajob.Scheduler) { s.Finish(now, id) })
	return Reply{Outcome: OutcomeAccepted, State: r[0].JobState}, nil
}

func (f *office) jobState(id galenahead.JobID) Reply {
	_, service, state, known := f.State.JobState(id)
	if !known {
		return Reply{Outcome: OutcomeNoJob}
	}
	if state == galenajob.StateQueued {
		f.of(service).with(func(_ time.Time, s *galenajob.Scheduler) {
			if s.Started(id) {
				state = galenajob.StateRunning
			}
		})
	}
	return Reply{Outcome: OutcomeState, State: state}
}

// Beat is a heartbeat of an instance.
type Beat struct {
	Instance galenajob.Instance `json:"instance"`
	Sequence int64              `json:"sequence"`
	// Clock is the instance's clock in milliseconds.
	Clock int64 `json:"clock"`
}

// lastBeat is the newest heartbeat of an instance.
type lastBeat struct {
	born, sequence int64
}

// Done is the empty answer.
type Done struct{}

// Heartbeat takes over a heartbeat. It returns once what is new in it is
// durable.
func (o *Owner) Heartbeat(_ context.Context, b Beat) (Done, error) {
	f, err := o.inOffice()
	if err != nil {
		return Done{}, err
	}
	return Done{}, f.heartbeat(b)
}

func (f *office) heartbeat(b Beat) error {
	in := b.Instance
	if !f.newer(in, b.Sequence) {
		f.Logger.WithField("instance", in.ID).WithField("sequence", b.Sequence).Info("late heartbeat ignored")
		return nil
	}
	sh := f.of(in.Service)
	if in.Draining {
		sh.with(func(now time.Time, s *galenajob.Scheduler) { s.Drain(now, in.ID) })
	}
	known, ok := f.State.instance(in.ID)
	if ok && known.Born == in.Born && known.Draining {
		in.Draining = true
	}
	if !ok || !same(known, in) {
		if _, err := f.commits.commit(Op{Instance: &in}); err != nil {
			return err
		}
		f.Logger.WithField("instance", in.ID).WithField("service", in.Service).WithField("born", in.Born).
			WithField("draining", in.Draining).WithField("address", in.Address).Info("instance registered")
		if ok && known.Service != in.Service {
			f.of(known.Service).remove(in.ID)
		}
		sh.addInstance(in, b.Clock)
		return nil
	}
	scheduled := false
	sh.with(func(now time.Time, s *galenajob.Scheduler) { scheduled = s.Beat(now, in.ID, b.Clock) })
	if !scheduled {
		// It registered while it was being given up for its silence.
		sh.addInstance(in, b.Clock)
	}
	return nil
}

// newer notes a heartbeat and tells whether it is newer than all before.
func (f *office) newer(in galenajob.Instance, sequence int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if known, ok := f.State.instance(in.ID); ok && in.Born < known.Born {
		return false
	}
	last := f.beats[in.ID]
	if in.Born < last.born || (in.Born == last.born && sequence <= last.sequence) {
		return false
	}
	f.beats[in.ID] = lastBeat{in.Born, sequence}
	return true
}

// same tells whether two registrations are equal.
func same(a, b galenajob.Instance) bool {
	if len(a.Labels) != len(b.Labels) {
		return false
	}
	for i := range a.Labels {
		if a.Labels[i] != b.Labels[i] {
			return false
		}
	}
	return a.Born == b.Born && a.Service == b.Service && a.Address == b.Address && a.Capacity == b.Capacity &&
		a.Draining == b.Draining && a.Zone == b.Zone
}

// Leaving is the end of an instance. Born is zero when the instance does not
// tell it.
type Leaving struct {
	ID   galenahead.InstanceID `json:"id"`
	Born int64                 `json:"born"`
}

// Leave takes over the end of an instance.
func (o *Owner) Leave(_ context.Context, l Leaving) (Done, error) {
	f, err := o.inOffice()
	if err != nil {
		return Done{}, err
	}
	known, ok := f.State.instance(l.ID)
	if !ok || (l.Born != 0 && l.Born < known.Born) {
		return Done{}, nil
	}
	if _, err := f.commits.commit(Op{Remove: &l.ID}); err != nil {
		return Done{}, err
	}
	f.Logger.WithField("instance", l.ID).Info("instance left")
	f.of(known.Service).remove(l.ID)
	return Done{}, nil
}

// Configure puts a valid configuration in force, unless a newer one is.
func (o *Owner) Configure(_ context.Context, c Config) (Done, error) {
	f, err := o.inOffice()
	if err != nil {
		return Done{}, err
	}
	r, err := f.commits.commit(Op{Config: &c})
	if err != nil {
		return Done{}, err
	}
	f.Logger.WithField("version", c.Version).WithField("outcome", r[0].Code).WithField("queues", len(c.Queues)).
		Info("configuration")
	if r[0].Code == CodeDone {
		for _, sh := range f.all() {
			sh.with(func(_ time.Time, s *galenajob.Scheduler) {
				for i := range c.Queues {
					s.SetQueue(c.Queues[i].queue())
				}
			})
		}
	}
	return Done{}, nil
}

// Document is the source of the configuration in force.
type Document struct {
	Version uint64 `json:"version"`
	Source  []byte `json:"source"`
}

// Configuration returns the configuration in force. It fails with ErrNotFound
// before the first one.
func (o *Owner) Configuration(_ context.Context, _ Done) (Document, error) {
	f, err := o.inOffice()
	if err != nil {
		return Document{}, err
	}
	c := f.State.Config()
	if !f.leads() {
		return Document{}, galenahead.ErrNotLeader
	}
	if c == nil {
		return Document{}, eris.Wrap(galenahead.ErrNotFound, "no configuration yet")
	}
	return Document{c.Version, c.Source}, nil
}

// BeginWave accepts a maintenance wave.
func (o *Owner) BeginWave(_ context.Context, w Wave) (Done, error) {
	f, err := o.inOffice()
	if err != nil {
		return Done{}, err
	}
	w.Accepted = time.Now().Round(0)
	r, err := f.commits.commit(Op{Wave: &w})
	if err != nil {
		return Done{}, err
	}
	f.Logger.WithField("wave", w.ID).WithField("machines", len(w.Machines)).WithField("max_down", w.MaxDown).
		WithField("duration", w.Duration.String()).WithField("outcome", r[0].Code).Info("wave")
	return Done{}, nil
}

// WaveState asks for a wave.
type WaveState struct {
	ID int64 `json:"id"`
	// Known and Completed are the answer.
	Known     bool `json:"known"`
	Completed bool `json:"completed"`
}

// Wave tells how far a wave is.
func (o *Owner) Wave(_ context.Context, q WaveState) (WaveState, error) {
	f, err := o.inOffice()
	if err != nil {
		return WaveState{}, err
	}
	w := f.State.Wave(q.ID)
	if !f.leads() {
		return WaveState{}, galenahead.ErrNotLeader
	}
	return WaveState{ID: q.ID, Known: w != nil, Completed: w != nil && w.Completed()}, nil
}
