package galenaentry

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenabudget"
	"github.com/galenahead/galenahead/galenalog"
	"github.com/galenahead/galenahead/galenametric"
)

// telemetry logs every routing decision and counts every answer in the metrics
// and in the error budget of its caller.
type telemetry struct {
	// configured reports whether a service is in the configuration.
	configured func(galenahead.ServiceName) bool
	log        *logrus.Logger
	metrics    *galenametric.Metrics
	budgets    *galenabudget.Tracker
	// droppedLogLines returns how many log lines were dropped.
	droppedLogLines func() int64
}

// unknownService stands for all services that are not configured.
const unknownService galenahead.ServiceName = "(unknown service)"

// Answered implements Observer.
func (t *telemetry) Answered(x *Exchange, a galenahead.Answer, now time.Time) {
	r := x.Request
	latency := now.Sub(r.Arrived)
	if !t.configured(r.Service) {
		// Callers may name any service, and each has histograms.
		r.Service, r.Caller = unknownService, ""
	}
	t.metrics.RecordRequest(r.Service, x.QueueWait, latency, x.Attempts)
	t.metrics.Counters.Add(outcomeCounter(a.Outcome), 1)
	if a.Reason != "" {
		t.metrics.Counters.Add("reason_"+a.Reason, 1)
	}
	if a.Reason != ReasonCancelled {
		t.budgets.Record(now, r.Service, r.Caller, budgetResult(x, a, now))
	}
	galenalog.Info(t.log, "routing decision", &routeLogLine{x: x, a: a, latency: latency})
}

// outcomeCounter returns the name of an outcome's counter. The most frequent one
// is a constant, which avoids an allocation.
func outcomeCounter(o galenahead.Outcome) string {
	if o == galenahead.OutcomeRan {
		return "outcome_" + string(galenahead.OutcomeRan)
	}
	return "outcome_" + string(o)
}

// routeLogLine is the log line of one routing decision.
type routeLogLine struct {
	x       *Exchange
	a       galenahead.Answer
	latency time.Duration
}

// AppendFields implements galenalog.Line.
func (l *routeLogLine) AppendFields(b []byte) []byte {
	r, lease := &l.x.Request, &l.x.Lease
	b = galenalog.AppendString(b, "decision", "route")
	b = galenalog.AppendString(b, "key", string(r.Key))
	b = galenalog.AppendString(b, "service", string(r.Service))
	b = galenalog.AppendString(b, "caller", string(r.Caller))
	b = galenalog.AppendBool(b, "idempotent", r.Idempotent)
	b = galenalog.AppendString(b, "outcome", string(l.a.Outcome))
	b = galenalog.AppendString(b, "reason", l.a.Reason)
	b = galenalog.AppendInt(b, "status", int64(l.a.Status))
	b = galenalog.AppendInt(b, "attempts", int64(l.x.Attempts))
	b = galenalog.AppendString(b, "instance", string(lease.Instance))
	b = galenalog.AppendString(b, "vm", string(lease.VM))
	b = galenalog.AppendString(b, "data_centre", string(lease.DataCentre))
	b = galenalog.AppendInt(b, "epoch", int64(lease.Epoch))
	b = galenalog.AppendInt(b, "candidates", int64(l.x.Candidates))
	b = galenalog.AppendString(b, "route_reason", l.x.RouteReason)
	b = galenalog.AppendInt(b, "queue_us", l.x.QueueWait.Microseconds())
	return galenalog.AppendInt(b, "latency_us", l.latency.Microseconds())
}

// budgetResult returns how an answer counts in the caller's error budget. A
// server error of the upstream counts as a failure, because the caller cannot
// use such an answer.
func budgetResult(x *Exchange, a galenahead.Answer, now time.Time) galenabudget.Result {
	switch {
	case a.Outcome == galenahead.OutcomeNotRun:
		return galenabudget.Refused
	case a.Outcome == galenahead.OutcomeUnknown || a.Status >= fasthttp.StatusInternalServerError:
		return galenabudget.Unknown
	case now.After(x.Request.Deadline):
		return galenabudget.Late
	}
	return galenabudget.OnTime
}
