package galenafleet

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenaaccount"
	"github.com/galenahead/galenahead/galenagate"
	"github.com/galenahead/galenahead/galenajob"
	"github.com/galenahead/galenahead/galenalog"
)

// RequestKind is the kind of a caller's request.
type RequestKind string

// Kinds of requests.
const (
	RequestSubmit  RequestKind = "submit"
	RequestState   RequestKind = "state"
	RequestCancel  RequestKind = "cancel"
	RequestWaiting RequestKind = "waiting"
)

// Request is a caller's request. Host and Path select the queue; the rest of the
// path after the queue's prefix is the id of the job.
type Request struct {
	Kind RequestKind     `json:"kind"`
	Host string          `json:"host"`
	Path string          `json:"path"`
	Spec *galenajob.Spec `json:"spec,omitempty"`
	// Key is the digest of the caller's key, or empty if it sent none.
	Key galenaaccount.Digest `json:"key,omitempty"`
	// Repeated marks an attempt after one to which there was no answer.
	Repeated bool `json:"repeated,omitempty"`
	// Term is that of the only owner that carries the request out, or zero if any one does.
	Term uint64 `json:"term,omitempty"`
}

// WithTerm returns the request as only the owner of a term carries it out.
func (r Request) WithTerm(term uint64) Request {
	r.Term = term
	return r
}

// bound reports whether the request is to be bound to the term of its owner.
func (r Request) bound() bool { return r.changesJob() }

// WithRepeated returns the request as it is sent after an attempt without an answer.
func (r Request) WithRepeated() Request {
	r.Repeated = true
	return r
}

// changesJob reports whether the request submits or cancels a job.
func (r Request) changesJob() bool { return r.Kind == RequestSubmit || r.Kind == RequestCancel }

// Outcome is the outcome of a request.
type Outcome string

// Outcomes of requests.
const (
	OutcomeAccepted Outcome = "accepted"
	// OutcomeRejected means that the job was not accepted and will never run.
	OutcomeRejected Outcome = "refused"
	// OutcomeUnready means that nothing was done, because no owner can answer now.
	OutcomeUnready Outcome = "unready"
	// OutcomeUncertain means that the request may have been carried out, or may still be.
	OutcomeUncertain Outcome = "uncertain"
	OutcomeNoQueue   Outcome = "no_queue"
	OutcomeNoJob     Outcome = "no_job"
	OutcomeState     Outcome = "state"
	OutcomeWaiting   Outcome = "waiting"
	OutcomeInvalid   Outcome = "invalid"
	// OutcomeUnauthorized means that the queue needs a key of a client account, and the
	// request has none that is in the configuration.
	OutcomeUnauthorized Outcome = "unauthorized"
)

// isRefusal reports whether the owner did not carry out the attempt that it answered, so
// that the outcome of the request depends on the other attempts. OutcomeNoJob is none: no
// attempt to cancel a job makes it unknown.
func (o Outcome) isRefusal() bool {
	switch o {
	case OutcomeRejected, OutcomeUnready, OutcomeNoQueue, OutcomeInvalid, OutcomeUnauthorized:
		return true
	}
	return false
}

// Reply is the answer to a Request.
type Reply struct {
	Outcome Outcome         `json:"outcome"`
	State   galenajob.State `json:"state,omitempty"`
	Waiting int             `json:"waiting,omitempty"`
	Reason  string          `json:"reason,omitempty"`
	// RetryAfter is how long the caller should wait before it sends the request
	// again; zero if the reply is final or it may do so at once.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	// Busy reports that the owner is short of processor time, so that reads should be sent to
	// other control daemons, which collect them.
	Busy bool `json:"busy,omitempty"`
	// ConfigVersion is the version of the configuration that the reply follows, if that has
	// client accounts.
	ConfigVersion uint64 `json:"config_version,omitempty"`
	// Account is that of the caller, or empty.
	Account galenahead.AccountName `json:"account,omitempty"`
	// Term is that of the owner, if it refuses a repeated submission and knows that no attempt of
	// an earlier term was carried out.
	Term uint64 `json:"term,omitempty"`
}

// UnreadyRetryAfter is how long a caller should wait before it tries again while no
// owner answers. An election takes about that long.
const UnreadyRetryAfter = time.Second

func unreadyReply(reason string) Reply {
	return Reply{Outcome: OutcomeUnready, Reason: reason, RetryAfter: UnreadyRetryAfter}
}

// maxRequestWait is how long a request may wait for its turn: the daemon that has sent it
// waits for twice as long, and the caller should rather come back than wait.
const maxRequestWait = attemptTimeout / 2

// Do handles a caller's request, which waits for its turn.
func (o *Owner) Do(_ context.Context, r Request) (Reply, error) {
	start := time.Now()
	enter := func() (time.Duration, bool) {
		ok := o.Gate.EnterWithin(galenagate.Demand, maxRequestWait)
		return time.Since(start), ok
	}
	return o.do(r, enter, o.Gate.Leave)
}

// doInTurn handles a caller's request in its turn, for which it has waited.
func (o *Owner) doInTurn(_ context.Context, r Request, waited time.Duration) (Reply, error) {
	return o.do(r, func() (time.Duration, bool) { return waited, waited <= maxRequestWait }, func() {})
}

// do handles a caller's request once enter has returned how long it has waited for its turn,
// and turns it away if that reports false. leave ends the turn.
func (o *Owner) do(r Request, enter func() (time.Duration, bool), leave func()) (Reply, error) {
	sess, err := o.currentSession()
	if err != nil {
		return Reply{}, err
	}
	if r.Term != 0 && r.Term != sess.term {
		// Its sender does not count on this owner any more.
		return Reply{}, galenahead.ErrNotLeader
	}
	var submitted galenahead.JobID
	if r.Kind == RequestSubmit {
		// From here on, no other submission of the job is rejected.
		submitted = sess.submittedJob(r)
		sess.beginSubmit(submitted)
		defer sess.endSubmit(submitted)
	}
	waited, ok := enter()
	if !ok {
		sess.load.shed.Add(1)
		reply, err := sess.turnAway(r, submitted)
		if errors.Is(err, galenahead.ErrOverloaded) && r.Repeated && r.Kind == RequestSubmit {
			return sess.withCertainty(&r, submitted, unreadyReply(err.Error())), nil
		}
		return reply, err
	}
	defer leave()
	reply, err := sess.answer(r, waited)
	if err != nil {
		return Reply{}, err
	}
	reply = sess.withCertainty(&r, submitted, reply)
	if !sess.isLeader() && reply.Outcome != OutcomeAccepted {
		return Reply{}, galenahead.ErrNotLeader
	}
	return reply, nil
}

// withCertainty adds the term to the refusal of a repeated submission if no attempt of an earlier
// term was carried out: the state holds all that earlier owners have committed, and they commit
// nothing more. Another submission of the job may be under way in this session. id is that of the
// job, or empty if the request has no queue.
func (sess *ownerSession) withCertainty(r *Request, id galenahead.JobID, reply Reply) Reply {
	if !r.Repeated || r.Kind != RequestSubmit || r.Term == 0 || id == "" || !reply.Outcome.isRefusal() {
		return reply
	}
	if _, _, _, known := sess.State.JobState(id); !known && sess.submitsAlone(id) {
		reply.Term = sess.term
	}
	return reply
}

// answer handles a request whose turn has come, and logs the reply.
func (sess *ownerSession) answer(r Request, waited time.Duration) (Reply, error) {
	start := sess.Timers.Now()
	if r.Repeated {
		sess.load.repeated.Add(1)
	}
	reply, err := sess.handleRequest(r)
	if err != nil {
		return Reply{}, err
	}
	reply.Busy = waited > busyWait
	latency := sess.Timers.Now().Sub(start)
	sess.Metrics.Latency.Record(string(r.Kind), latency)
	sess.load.requests.record(latency)
	galenalog.Info(sess.Logger, "request", requestLine{r, reply, latency, sess.epoch})
	return reply, nil
}

// turnAway answers a request that did not get its turn in time. id is the job that it
// submits, if it is a submission.
func (sess *ownerSession) turnAway(r Request, id galenahead.JobID) (Reply, error) {
	if !sess.isLeader() {
		// The next owner may answer, and may know the job.
		return Reply{}, galenahead.ErrNotLeader
	}
	m, ok := sess.State.match(&r)
	if r.Kind != RequestSubmit || !ok || !m.authorized {
		return Reply{}, galenahead.ErrOverloaded
	}
	if _, _, known, _ := sess.State.jobOf(m.account, id); known {
		return knownJobReply(), nil
	}
	if !sess.submitsAlone(id) {
		// Another submission of it may be accepted.
		return Reply{}, galenahead.ErrNotReady
	}
	return Reply{}, galenahead.ErrOverloaded
}

// jobNamed returns the ID of a job from the part of a path after the prefix of its queue.
func jobNamed(rest string) galenahead.JobID { return galenahead.JobID(strings.TrimSuffix(rest, "/")) }

// submittedJob returns the ID of the job that a request submits, or an empty one.
func (sess *ownerSession) submittedJob(r Request) galenahead.JobID {
	_, rest, ok := sess.State.MatchQueue(r.Host, r.Path)
	if !ok {
		return ""
	}
	return jobNamed(rest)
}

func (sess *ownerSession) handleRequest(r Request) (Reply, error) {
	m, ok := sess.State.match(&r)
	if !ok && sess.State.Config() == nil {
		return unreadyReply("no configuration yet"), nil
	}
	if !ok {
		return Reply{Outcome: OutcomeNoQueue, ConfigVersion: m.version}, nil
	}
	reply, err := sess.handleMatched(&r, &m)
	reply.ConfigVersion, reply.Account = m.version, m.account
	return reply, err
}

// handleMatched handles a request of a queue.
func (sess *ownerSession) handleMatched(r *Request, m *requestMatch) (Reply, error) {
	if !m.authorized {
		sess.Metrics.Counters.Add("rejected_key", 1)
		return unauthorizedReply(r.Key), nil
	}
	if r.Kind == RequestWaiting || m.rest == "" {
		if r.Kind == RequestSubmit || r.Kind == RequestCancel {
			return Reply{Outcome: OutcomeInvalid, Reason: "no job named"}, nil
		}
		return sess.countWaiting(m.queue), nil
	}
	id := jobNamed(m.rest)
	if len(id) > galenahead.MaxIDLength || strings.Contains(string(id), "/") {
		return Reply{Outcome: OutcomeNoQueue, Reason: "not the name of a job"}, nil
	}
	switch r.Kind {
	case RequestSubmit:
		return sess.submit(m, id, r.Spec)
	case RequestCancel:
		return sess.cancel(m.account, id)
	case RequestState:
		return sess.jobState(m.account, id), nil
	}
	return Reply{Outcome: OutcomeInvalid, Reason: "unknown kind of request"}, nil
}

func (sess *ownerSession) countWaiting(q QueueRule) Reply {
	n := 0
	for _, sh := range sess.shardsOf(&q) {
		sh.inspect(func(_ time.Time, s *galenajob.Scheduler) { n += s.CountWaiting(q.Name) })
	}
	return Reply{Outcome: OutcomeWaiting, Waiting: n}
}

func (sess *ownerSession) submit(m *requestMatch, id galenahead.JobID, spec *galenajob.Spec) (Reply, error) {
	if spec == nil || len(spec.Steps) == 0 {
		return Reply{Outcome: OutcomeInvalid, Reason: "a job needs steps"}, nil
	}
	// An earlier submission that has ended shows here.
	_, _, known, taken := sess.State.jobOf(m.account, id)
	switch {
	case known:
		return knownJobReply(), nil
	case taken:
		return takenReply(), nil
	case sess.State.cancelledBefore(m.account, id):
		return cancelledReply(), nil
	}
	if reply, ok := sess.checkAccountLimit(m.account, spec); !ok {
		return reply, nil
	}
	if delay := sess.committer.delay(); delay > maxCommitDelay && sess.submitsAlone(id) {
		return overloadReply(delay), nil
	}
	q := &m.queue
	release, reply, ok := sess.takeRoom(m, spec)
	if !ok && reply.Outcome == OutcomeRejected && !sess.submitsAlone(id) {
		// Another submission of it may be accepted.
		return Reply{}, galenahead.ErrNotReady
	}
	if !ok {
		return reply, nil
	}
	defer release()
	j := &galenajob.Job{
		ID: id, Queue: q.Name, Service: q.Service, Spec: *spec,
		MaxAttempts: q.MaxAttempts, Accepted: time.Now().Round(0),
		Account: m.account, Excess: !sess.withinRate(m.account),
	}
	if reply, ok := sess.admit(q, j); !ok {
		sess.countAccount(m.account, "rejected")
		sess.rates.Reject(m.account)
		return reply, nil
	}
	r, err := sess.commitOutsideGate(Op{Submit: j})
	if errors.Is(err, galenahead.ErrInvalid) {
		return Reply{Outcome: OutcomeInvalid, Reason: err.Error()}, nil
	}
	if err != nil {
		return Reply{}, err
	}
	switch r[0].Code {
	case CodeDone:
	case CodeCancelled:
		return cancelledReply(), nil
	case CodeTaken:
		return takenReply(), nil
	default:
		return knownJobReply(), nil
	}
	j.Items = map[galenajob.ItemKey]galenajob.ItemRecord{}
	sess.shardFor(q.Service).addJob(j, 0, false)
	sess.countAccount(m.account, "accepted")
	return Reply{Outcome: OutcomeAccepted}, nil
}

// admit reports whether a job can still be of use, and otherwise returns the answer that
// rejects it. A job that is being submitted more than once must not be rejected, since
// another submission may be accepted.
func (sess *ownerSession) admit(q *QueueRule, j *galenajob.Job) (Reply, bool) {
	retryAfter, ok := time.Duration(0), false
	sess.shardFor(q.Service).inspect(func(now time.Time, s *galenajob.Scheduler) { retryAfter, ok = s.Admit(now, j) })
	if ok || !sess.submitsAlone(j.ID) {
		return Reply{}, true
	}
	sess.Metrics.Counters.Add("rejected_backlog", 1)
	return Reply{
		Outcome: OutcomeRejected, Reason: "the work that waits takes longer than the result is of use", RetryAfter: retryAfter,
	}, false
}

// roomRetryAfter is how long the caller of a job should wait for which there is no room. Jobs that are
// accepted take seconds.
const roomRetryAfter = 5 * time.Second

// takeRoom takes the room that a job needs until the state counts it, or returns the answer that
// refuses it. release gives it back.
func (sess *ownerSession) takeRoom(m *requestMatch, spec *galenajob.Spec) (release func(), reply Reply, ok bool) {
	room, n, holder := sess.State.Room, spec.HeldBytes(), galenajob.Holder(m.account, m.queue.Name)
	if !room.Fits(n) {
		return nil, Reply{Outcome: OutcomeInvalid, Reason: "the job is larger than what is ever accepted: it would hold " + strconv.FormatInt(n, 10) + " bytes"}, false
	}
	if !room.Take(holder, n) {
		sess.Metrics.Counters.Add("rejected_room", 1)
		sess.countAccount(m.account, "rejected")
		return nil, Reply{Outcome: OutcomeRejected, Reason: "no room for more jobs", RetryAfter: roomRetryAfter}, false
	}
	return func() { room.Free(holder, n) }, Reply{}, true
}

// maxCommitDelay is how long an accepted job may take to become durable. The daemon
// of the caller waits half as long again; after that the outcome is uncertain.
const maxCommitDelay = attemptTimeout * 2 / 3

// overloadReply rejects a job that could not be accepted in time.
func overloadReply(delay time.Duration) Reply {
	return Reply{
		Outcome: OutcomeRejected, Reason: "commits take " + delay.Round(time.Millisecond).String(), RetryAfter: max(time.Second, 2*delay),
	}
}

// knownJobReply answers the copy of a submission that was accepted.
func knownJobReply() Reply { return Reply{Outcome: OutcomeAccepted, Reason: "known job"} }

// cancelledReply rejects a submission that arrives after its caller has cancelled the job.
func cancelledReply() Reply {
	return Reply{Outcome: OutcomeRejected, Reason: "the job was cancelled before it was submitted"}
}

// submission is a job whose submission is under way, also more than once.
type submission struct {
	calls int
	// ended is closed when no call submits the job any more.
	ended chan struct{}
}

// beginSubmit records that a call submits a job, which may wait at the gate.
func (sess *ownerSession) beginSubmit(id galenahead.JobID) {
	sess.mu.Lock()
	defer sess.mu.Unlock()
	s := sess.submitting[id]
	if s == nil {
		s = &submission{ended: make(chan struct{})}
		sess.submitting[id] = s
	}
	s.calls++
}

// submitsAlone reports whether only one call submits the job. A job that is being submitted
// more than once must not be rejected, since another submission may be accepted.
func (sess *ownerSession) submitsAlone(id galenahead.JobID) bool {
	sess.mu.Lock()
	defer sess.mu.Unlock()
	return sess.submitting[id].calls == 1
}

func (sess *ownerSession) endSubmit(id galenahead.JobID) {
	sess.mu.Lock()
	defer sess.mu.Unlock()
	s := sess.submitting[id]
	if s.calls--; s.calls == 0 {
		delete(sess.submitting, id)
		close(s.ended)
	}
}

// awaitSubmit returns once the submissions of a job that are under way have passed it to
// its scheduler. It fails with ErrNotLeader when the session ends.
func (sess *ownerSession) awaitSubmit(id galenahead.JobID) error {
	sess.mu.Lock()
	s := sess.submitting[id]
	sess.mu.Unlock()
	if s == nil {
		return nil
	}
	sess.Gate.Leave()
	defer sess.Gate.Enter(galenagate.Progress)
	select {
	case <-s.ended:
		return nil
	case <-sess.ctx.Done():
		return galenahead.ErrNotLeader
	}
}

// commitOutsideGate commits for a request, which leaves the gate meanwhile.
func (sess *ownerSession) commitOutsideGate(ops ...Op) ([]Result, error) {
	sess.Gate.Leave()
	defer sess.Gate.Enter(galenagate.Progress)
	return sess.committer.commit(ops...)
}

func (sess *ownerSession) cancel(account galenahead.AccountName, id galenahead.JobID) (Reply, error) {
	if err := sess.awaitSubmit(id); err != nil {
		return Reply{}, err
	}
	if _, _, known, _ := sess.State.jobOf(account, id); !known {
		// The job is remembered, so that it isn't accepted later.
		if !sess.State.Room.Take(holderForgotten, galenajob.HeldByUnknownJob) {
			return Reply{Outcome: OutcomeUnready, Reason: "no room for more jobs", RetryAfter: roomRetryAfter}, nil
		}
		defer sess.State.Room.Free(holderForgotten, galenajob.HeldByUnknownJob)
	}
	r, err := sess.commitOutsideGate(Op{Cancel: &CancelOp{Job: id, At: time.Now().Round(0), Account: account}})
	if err != nil {
		return Reply{}, err
	}
	if r[0].Code == CodeNotFound {
		return Reply{Outcome: OutcomeNoJob}, nil
	}
	sess.removeFinalJob(id)
	return Reply{Outcome: OutcomeAccepted, State: r[0].JobState}, nil
}

func (sess *ownerSession) jobState(account galenahead.AccountName, id galenahead.JobID) Reply {
	service, state, known, _ := sess.State.jobOf(account, id)
	if !known {
		return Reply{Outcome: OutcomeNoJob}
	}
	if state == galenajob.StateQueued {
		sess.shardFor(service).inspect(func(_ time.Time, s *galenajob.Scheduler) {
			if s.JobStarted(id) {
				state = galenajob.StateRunning
			}
		})
	}
	return Reply{Outcome: OutcomeState, State: state}
}

// Empty is the parameter or result of an RPC method that has none.
type Empty struct{}

// ConfigureEncoded applies a valid configuration like Configure.
func (o *Owner) ConfigureEncoded(ctx context.Context, e EncodedConfig) (Empty, error) {
	c, err := e.decode()
	if err != nil {
		return Empty{}, err
	}
	return o.Configure(ctx, c)
}

// Configure applies a valid configuration, unless the current one is at least as
// new.
func (o *Owner) Configure(_ context.Context, c Config) (Empty, error) {
	sess, err := o.currentSession()
	if err != nil {
		return Empty{}, err
	}
	// A copy that an operator sends again waits for the first one and then costs nothing.
	select {
	case sess.configuring <- struct{}{}:
		defer func() { <-sess.configuring }()
	case <-sess.ctx.Done():
		return Empty{}, galenahead.ErrNotLeader
	}
	if current := sess.State.Config(); current != nil && c.Version <= current.Version {
		if !sess.isLeader() {
			return Empty{}, galenahead.ErrNotLeader
		}
		sess.logConfiguration(c, CodeUnchanged)
		return Empty{}, nil
	}
	r, err := sess.committer.commit(Op{Config: &c})
	if err != nil {
		return Empty{}, err
	}
	sess.logConfiguration(c, r[0].Code)
	if r[0].Code == CodeDone {
		sess.applyAccounts()
		queues := c.schedulerQueues()
		for _, sh := range sess.allShards() {
			sh.withScheduler(func(_ time.Time, s *galenajob.Scheduler) { s.SetQueues(queues) })
		}
	}
	return Empty{}, nil
}

func (sess *ownerSession) logConfiguration(c Config, outcome Code) {
	sess.Logger.WithField("version", c.Version).WithField("outcome", outcome).WithField("queues", len(c.Queues)).
		WithField("accounts", len(c.Accounts)).Info("configuration")
}

// ConfigDocument is the source of the current configuration.
type ConfigDocument struct {
	Version uint64 `json:"version"`
	// Source is compressed between daemons if it is large.
	Source []byte `json:"source"`
}

// Configuration returns the current configuration. It fails with ErrNotFound before
// the first one.
func (o *Owner) Configuration(_ context.Context, _ Empty) (ConfigDocument, error) {
	sess, err := o.currentSession()
	if err != nil {
		return ConfigDocument{}, err
	}
	c := sess.State.Config()
	if !sess.isLeader() {
		return ConfigDocument{}, galenahead.ErrNotLeader
	}
	if c == nil {
		return ConfigDocument{}, eris.Wrap(galenahead.ErrNotFound, "no configuration yet")
	}
	source, err := compress(c.Source)
	return ConfigDocument{c.Version, source}, err
}

// BeginWave accepts a maintenance wave, unless one with the same ID exists.
func (o *Owner) BeginWave(_ context.Context, w Wave) (Empty, error) {
	sess, err := o.currentSession()
	if err != nil {
		return Empty{}, err
	}
	w.Accepted = time.Now().Round(0)
	if sess.State.Wave(w.ID) == nil {
		if !sess.State.Room.Take(holderWaves, w.heldBytes()) {
			return Empty{}, eris.Wrap(galenahead.ErrOverloaded, "no room for the wave")
		}
		defer sess.State.Room.Free(holderWaves, w.heldBytes())
	}
	r, err := sess.committer.commit(Op{Wave: &w})
	if err != nil {
		return Empty{}, err
	}
	sess.Logger.WithField("wave", w.ID).WithField("machines", len(w.Machines)).WithField("max_down", w.MaxDown).
		WithField("duration", w.Duration.String()).WithField("outcome", r[0].Code).Info("wave")
	return Empty{}, nil
}

// WaveStatus asks for the state of a maintenance wave by its ID, and is the answer
// as well.
type WaveStatus struct {
	ID int64 `json:"id"`
	// Known and Completed are set in the answer only.
	Known     bool `json:"known"`
	Completed bool `json:"completed"`
}

// Wave returns the state of a maintenance wave.
func (o *Owner) Wave(_ context.Context, q WaveStatus) (WaveStatus, error) {
	sess, err := o.currentSession()
	if err != nil {
		return WaveStatus{}, err
	}
	w := sess.State.Wave(q.ID)
	if !sess.isLeader() {
		return WaveStatus{}, galenahead.ErrNotLeader
	}
	return WaveStatus{ID: q.ID, Known: w != nil, Completed: w != nil && w.Completed()}, nil
}
