package sim

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenahead/galenahead/test/galena-bench/trace"
)

// Outcome is the outcome of a request for its caller.
type Outcome int

// Outcomes of a request.
const (
	OutcomeUnknown Outcome = iota
	OutcomeOnTime
	OutcomeLate
	OutcomeRejected
	OutcomeFailed
)

// RequestResult is the result of one request.
type RequestResult struct {
	Outcome Outcome
	// PastDeadline is the time from the deadline to the end of the request, negative
	// if the request ended before its deadline.
	PastDeadline time.Duration
	Attempts     int
}

// Report holds the results of one policy on one trace. Late, Rejected, Unknown and
// Failed are shares of all requests.
type Report struct {
	Deployment string `json:"deployment"`
	Policy     string `json:"policy"`
	// WorstOnTime is the lowest on-time share of a caller, MeanOnTime the on-time
	// share of all requests.
	WorstOnTime float64 `json:"worst_on_time"`
	MeanOnTime  float64 `json:"mean_on_time"`
	// WorstOverOmniscient is WorstOnTime relative to that of the omniscient scheduler.
	WorstOverOmniscient float64 `json:"worst_over_omniscient"`
	Late                float64 `json:"late"`
	Rejected            float64 `json:"refused"`
	Unknown             float64 `json:"unknown"`
	Failed              float64 `json:"failed"`
	// DuplicateRuns counts non-idempotent requests that ran more than once.
	DuplicateRuns int `json:"doubled"`
	// PeakInFlight is the largest number of requests in flight at one instance.
	PeakInFlight int `json:"peak_in_flight"`
	// SpentOnFailing is the largest number of requests that one failing instance
	// failed.
	SpentOnFailing int `json:"spent_on_failing"`
	// BurstLoss is the on-time share that the bursts of other callers cost a caller
	// whose own demand is not in a burst, for the worst caller.
	BurstLoss          float64 `json:"burst_loss"`
	AttemptsPerRequest float64 `json:"attempts_per_request"`
	// Utilization is the time for which slots ran requests relative to their
	// capacity. UsefulUtilization counts only requests that were answered on time.
	Utilization       float64 `json:"ran"`
	UsefulUtilization float64 `json:"useful"`
	// InstanceImbalance and EntryImbalance are the highest load of an instance or
	// entry relative to the mean in the second half of the trace, among those that
	// are in service at its end.
	InstanceImbalance float64 `json:"instance_imbalance"`
	EntryImbalance    float64 `json:"entry_imbalance"`
	results           []RequestResult
}

func (sim *simulation) report(name string) Report {
	r := Report{Deployment: sim.trace.Deployment, Policy: name, DuplicateRuns: sim.duplicateRuns, results: sim.results}
	total := make([]float64, len(sim.trace.Callers))
	onTime := make([]float64, len(sim.trace.Callers))
	var counts [OutcomeFailed + 1]float64
	for i, result := range sim.results {
		c := sim.trace.Requests[i].Caller
		total[c]++
		counts[result.Outcome]++
		r.AttemptsPerRequest += float64(result.Attempts)
		if result.Outcome == OutcomeOnTime {
			onTime[c]++
		}
	}
	n := float64(len(sim.results))
	r.WorstOnTime = 1
	for c := range total {
		r.WorstOnTime = min(r.WorstOnTime, onTime[c]/total[c])
	}
	r.MeanOnTime, r.Late, r.Rejected = counts[OutcomeOnTime]/n, counts[OutcomeLate]/n, counts[OutcomeRejected]/n
	r.Unknown, r.Failed = counts[OutcomeUnknown]/n, counts[OutcomeFailed]/n
	r.AttemptsPerRequest /= n
	capacity := 0.0
	for _, inst := range sim.instances {
		capacity += float64(inst.ActualSlots) / inst.Slowness * sim.trace.Length.Seconds()
		r.PeakInFlight = max(r.PeakInFlight, inst.peakInFlight)
		r.SpentOnFailing = max(r.SpentOnFailing, inst.requestsWhileFailing)
	}
	r.Utilization = sim.busyTime.Seconds() / capacity
	r.UsefulUtilization = sim.usefulTime.Seconds() / capacity
	r.InstanceImbalance, r.EntryImbalance = sim.loadImbalance()
	return r
}

// burstLoss compares the results of the requests outside of bursts with their
// results in a replay without bursts, which has the same requests in the same
// order. It returns the on-time share that the worst caller loses.
func burstLoss(t *trace.Trace, with, without []RequestResult) float64 {
	total := make([]float64, len(t.Callers))
	lost := make([]float64, len(t.Callers))
	quietIndex := 0
	for i, traced := range t.Requests {
		if traced.Burst {
			continue
		}
		total[traced.Caller]++
		lost[traced.Caller] += onTimeValue(without[quietIndex]) - onTimeValue(with[i])
		quietIndex++
	}
	worst := 0.0
	for c := range total {
		worst = max(worst, lost[c]/total[c])
	}
	return worst
}

func onTimeValue(e RequestResult) float64 {
	if e.Outcome == OutcomeOnTime {
		return 1
	}
	return 0
}

func sortRequests(all []*request) []*request {
	slices.SortFunc(all, func(a, b *request) int { return cmp.Compare(a.index, b.index) })
	return all
}
