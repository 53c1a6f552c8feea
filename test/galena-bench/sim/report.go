package sim

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenahead/galenahead/test/galena-bench/trace"
)

// EndKind is how a request ended for its caller.
type EndKind int

// Kinds of ends.
const (
	EndUnknown EndKind = iota
	EndOnTime
	EndLate
	EndRefused
	EndFailed
)

// End is the end of one request.
type End struct {
	Kind     EndKind
	After    time.Duration
	Attempts int
}

// Report holds the figures of one policy on one trace. Shares are of all
// requests.
type Report struct {
	Deployment string `json:"deployment"`
	Policy     string `json:"policy"`
	// Worst is the on-time share of the worst caller, Mean that of all requests.
	Worst float64 `json:"worst_on_time"`
	Mean  float64 `json:"mean_on_time"`
	// Ratio is Worst over that of the omniscient scheduler.
	Ratio   float64 `json:"worst_over_omniscient"`
	Late    float64 `json:"late"`
	Refused float64 `json:"refused"`
	Unknown float64 `json:"unknown"`
	Failed  float64 `json:"failed"`
	// Doubled counts non-idempotent requests that ran more than once.
	Doubled int `json:"doubled"`
	// Peak is the largest number of requests in flight at one instance.
	Peak int `json:"peak_in_flight"`
	// Spent is the largest number of requests spent on one failing instance.
	Spent int `json:"spent_on_failing"`
	// BurstLoss is the share of the requests of callers below their mean that
	// were on time without the bursts of others and not with them, for the worst
	// caller.
	BurstLoss float64 `json:"burst_loss"`
	Attempts  float64 `json:"attempts_per_request"`
	// Ran is the time that slots ran requests over their capacity, Useful the part
	// of it that led to answers on time.
	Ran    float64 `json:"ran"`
	Useful float64 `json:"useful"`
	// InstanceImbalance and EntryImbalance are the largest load of an instance or
	// entry that works at the end over the mean, in the second half.
	InstanceImbalance float64 `json:"instance_imbalance"`
	EntryImbalance    float64 `json:"entry_imbalance"`
	ends              []End
}

func (w *world) report(name string) Report {
	r := Report{Deployment: w.t.Deployment, Policy: name, Doubled: w.runsTwice, ends: w.ends}
	total := make([]float64, len(w.t.Callers))
	onTime := make([]float64, len(w.t.Callers))
	var kinds [EndFailed + 1]float64
	for i, e := range w.ends {
		c := w.t.Requests[i].Caller
		total[c]++
		kinds[e.Kind]++
		r.Attempts += float64(e.Attempts)
		if e.Kind == EndOnTime {
			onTime[c]++
		}
	}
	n := float64(len(w.ends))
	r.Worst = 1
	for c := range total {
		r.Worst = min(r.Worst, onTime[c]/total[c])
	}
	r.Mean, r.Late, r.Refused = kinds[EndOnTime]/n, kinds[EndLate]/n, kinds[EndRefused]/n
	r.Unknown, r.Failed = kinds[EndUnknown]/n, kinds[EndFailed]/n
	r.Attempts /= n
	capacity := 0.0
	for _, in := range w.instances {
		capacity += float64(in.Actual) / in.Slowness * w.t.Length.Seconds()
		r.Peak = max(r.Peak, in.peak)
		r.Spent = max(r.Spent, in.spent)
	}
	r.Ran = w.ranFor.Seconds() / capacity
	r.Useful = w.usefulFor.Seconds() / capacity
	r.InstanceImbalance, r.EntryImbalance = w.imbalance()
	return r
}

// burstLoss compares the ends of the requests below their callers' means with
// those of a replay without bursts, which holds the same requests in order.
func burstLoss(t *trace.Trace, with, without []End) float64 {
	total := make([]float64, len(t.Callers))
	lost := make([]float64, len(t.Callers))
	k := 0
	for i, x := range t.Requests {
		if x.Burst {
			continue
		}
		total[x.Caller]++
		lost[x.Caller] += onTimeValue(without[k]) - onTimeValue(with[i])
		k++
	}
	worst := 0.0
	for c := range total {
		worst = max(worst, lost[c]/total[c])
	}
	return worst
}

func onTimeValue(e End) float64 {
	if e.Kind == EndOnTime {
		return 1
	}
	return 0
}

func sortQueries(all []*query) []*query {
	slices.SortFunc(all, func(a, b *query) int { return cmp.Compare(a.index, b.index) })
	return all
}
