package galenaentry

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenabudget"
	"github.com/galenahead/galenahead/galenametric"
)

// recorder logs every routing decision and counts every answer.
type recorder struct {
	log     *logrus.Logger
	metrics *galenametric.Metrics
	budgets *galenabudget.Tracker
	// dropped returns how many log lines were dropped.
	dropped func() int64
}

// Answered implements Observer.
func (o *recorder) Answered(x *Exchange, a galenahead.Answer, now time.Time) {
	r := x.Request
	latency := now.Sub(r.Arrived)
	o.metrics.Answered(r.Service, x.QueueWait, latency, x.Attempts)
	o.metrics.Counters.Add("outcome_"+string(a.Outcome), 1)
	if a.Reason != "" {
		o.metrics.Counters.Add("reason_"+a.Reason, 1)
	}
	if a.Reason != ReasonCancelled {
		o.budgets.Count(now, r.Service, r.Caller, budgetKind(x, a, now))
	}
	o.log.WithFields(logrus.Fields{
		"decision": "route", "key": r.Key, "service": r.Service, "caller": r.Caller, "idempotent": r.Idempotent,
		"outcome": a.Outcome, "reason": a.Reason, "status": a.Status, "attempts": x.Attempts,
		"instance": x.Lease.Instance, "vm": x.Lease.VM, "data_centre": x.Lease.DataCentre, "epoch": x.Lease.Epoch,
		"candidates": x.Candidates, "route_reason": x.RouteReason,
		"queue_us": x.QueueWait.Microseconds(), "latency_us": latency.Microseconds(),
	}).Info("routing decision")
}

// budgetKind tells how an answer counts against the caller's budget. A server
// error of the upstream is no answer that the caller can use.
func budgetKind(x *Exchange, a galenahead.Answer, now time.Time) galenabudget.Kind {
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
